"""How much work grows with the size: counted on the in-memory world, never timed.

    python -m tests.call_counts [MACHINES ...] [--waiting TASKS ...] [--on MACHINES]   tables for docs/measurements.md

Counted are calls of functions (Python's and built-in), changes of the state service, bytes of records and bytes held
by the leader's view. Many small jobs, a huge array and a failover come in the middle of each. With `--waiting`, all
machines are full and so many tasks are pending: what ten seconds of the leader's loops call while nothing changes,
while tasks complete, and while jobs are submitted.
"""

from __future__ import annotations

import argparse
import sys
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count, pairwise
from typing import Any

from oatport import wire
from oatport.control.queueing.pending_job_router import PendingJobRouter, route_pending
from oatport.settings import Team
from oatport.times import SECOND
from tests.cluster_fixture import World


def calls(work: Callable[[], Any]) -> int:
    """How many functions a piece of work calls: the same on every machine and at every run."""
    count = 0

    def seen(frame: Any, event: str, arg: Any) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(seen)
    try:
        work()
    finally:
        sys.setprofile(None)
    return count


@dataclass
class Counts:
    machines: int
    tasks: int = 0
    fill: int = 0  # the first planning pass: everything is pending, all machines are empty
    route: int = 0
    plan: int = 0
    rent: int = 0  # scale-out and scale-in
    move: int = 0  # rebalancing of replicas
    heartbeats: int = 0  # all machines' heartbeats once
    tick: int = 0
    small_jobs: int = 0  # a planning pass with many small jobs and a huge array pending
    failover: int = 0
    failover_bytes: int = 0
    changes: int = 0  # puts and deletes from an empty world to a full one
    held: int = 0  # bytes


def measure(machines: int) -> Counts:
    found = Counts(machines)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    world = World([Team("crew")])
    for number in range(1, machines + 1):
        world.machine(number, "ab"[number % 2], spot=number % 4 == 3)
    world.step()
    world.step(1.0)
    refs = 0

    def submit(**changes: Any) -> None:
        nonlocal refs
        refs += 1
        world.submit(ref=f"j-{refs:06d}", hull=f"img-{refs % 10}", **changes)

    for _ in range(machines // 6):
        submit(rig="standing", legs=4, cores=2.0, urgency="production", driftwood=False, spread=True)
    for _ in range(machines // 12):  # twice the room
        submit(legs=30, voyageS=50.0, tideS=120.0)
    found.fill = calls(world.plan)
    for _ in range(10):
        world.step(4.0)
    # What half of the machines run ends in this round: that is what planning is about.
    world.now += 8_000_000
    for number, worker in enumerate(world.workers.values()):
        for task in worker.tasks.values():
            if number % 2 and task.completes_at is not None:
                task.completes_at = world.now
        world.report(worker)
    world.commit()
    found.tasks = sum(job.on_machines for job in world.cluster.jobs.values())
    found.route = calls(lambda: route_pending(world.cluster, world.fleet.availability, world.now, world.now))
    found.plan = calls(lambda: world.placer.plan(world.now))
    world.commit()
    world.send()
    found.rent = calls(
        lambda: (
            world.fleet.scale_in.update_cordons(),
            world.fleet.scale_out.plan(world.now),
            world.fleet.scale_in.machines_to_release(world.now),
        )
    )
    found.move = calls(lambda: world.fleet.rebalancer.replicas_to_move(world.now))
    world.now += 1_000_000
    reports = [wire.decode_heartbeat(worker.report()) for worker in world.workers.values()]
    found.heartbeats = calls(lambda: [world.cluster.heartbeats.receive(r, world.now, world.now) for r in reports])
    found.tick = calls(lambda: world.cluster.accounting.update(world.now))
    for _ in range(machines // 2):
        submit(legs=1, cores=1.0, urgency="idle")
    submit(legs=20 * machines, cores=1.0, voyageS=100.0)
    found.small_jobs = calls(world.plan)
    world.commit()
    world.send()
    found.held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    found.changes = len(world.state.log)
    rows = [
        row
        for key, (value, _, _) in world.state.items.items()
        if key.startswith(("live/", "fleet/"))
        for row in (key, value)
    ]
    found.failover_bytes = len(wire.encode(rows))
    found.failover = calls(world.fail_over)
    return found


@dataclass
class Backlog:
    """What ten seconds call with so many tasks pending on full machines."""

    pending: int
    unchanged: int = 0  # nothing changes
    longest: int = 0  # the dearest of those looks: what a binding, a heartbeat or a lease renewal may have to wait for
    completions: int = 0  # ten tasks complete each second
    bindings: int = 0  # and so many were bound for that
    submissions: int = 0  # a job is submitted each second, and no machine has capacity
    heartbeats: int = 0  # all machines' heartbeats once, which are unchanged
    held: int = 0  # bytes, by the leader's view


def backlog(machines: int, tasks: int) -> Backlog:
    found = Backlog(tasks)
    world = World([Team("crew")])
    for number in range(1, machines + 1):
        world.machine(number, "ab"[number % 2], spot=number % 4 == 3)
    world.step()
    world.step(1.0)
    refs = count(1)

    def submit(**changes: Any) -> None:
        number = next(refs)
        world.submit(ref=f"j-{number:06d}", hull=f"img-{number % 10}", **changes)

    for _ in range(machines * 3 // 10):
        submit(rig="standing", legs=4, cores=2.0, urgency="production", driftwood=False, spread=True, cargo="serve")
    for _ in range(3):
        world.step(2.0)
    room = sum(int(m.free_cpus // 4) for m in world.cluster.machines.values())
    for _ in range(room // 10):
        submit(legs=10, voyageS=3000.0, cargo="long", memoryGb=1.0)
    submit(legs=max(1, room % 10), voyageS=3000.0, cargo="long", memoryGb=1.0)
    for _ in range(3):
        world.step(2.0)
    for sort in [(kind, zone, spot) for kind in world.cluster.catalog.types for zone in "ab" for spot in (False, True)]:
        world.fleet.availability.refused_until[sort] = world.now + 3600 * SECOND
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(tasks // 12):
        submit(legs=12, voyageS=50.0 + number % 7, tideS=120.0 + 10 * (number % 50), cargo="van")
    router, cluster = PendingJobRouter(world.cluster, world.fleet.availability), world.cluster
    world.plan()
    found.held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()

    def look() -> None:
        """As the leader's loops do (`service/planning_loop.py`, `service/scaling_controller.py`)."""
        router.step(world.now, world.now)
        if world.placer.due(world.now):
            world.placer.plan(world.now)

    def rent() -> None:
        cluster.find_usable(world.now)
        if world.fleet.scale_out.due(world.now):
            world.fleet.scale_in.update_cordons()
            world.fleet.scale_out.plan(world.now)
        world.fleet.scale_in.machines_to_release(world.now)

    def ten_seconds(each_second: Callable[[], None]) -> int:
        total = 0
        for step in range(100):
            world.now += SECOND // 10
            for machine in cluster.machines.values():
                machine.last_heartbeat_at = world.now
            if step % 10 == 5:
                each_second()
            looked = calls(look)
            found.longest = max(found.longest, looked)
            total += looked + (calls(rent) if step % 3 == 0 else 0)
        return total

    def ends() -> None:
        running = [t for m in cluster.machines.values() for t in m.tasks if t.job.spec.job_class == "long"]
        for task in running[:10]:
            cluster.tasks.complete(task, world.now, measured=False)

    ten_seconds(lambda: None)  # machines and routes settle
    found.longest = 0
    found.unchanged = ten_seconds(lambda: None)
    found.submissions = ten_seconds(lambda: submit(legs=12, voyageS=50.0, tideS=300.0, cargo="van"))
    on_machines = sum(cluster.tasks.bound_by_priority)
    found.completions = ten_seconds(ends)
    found.bindings = sum(cluster.tasks.bound_by_priority) - on_machines + 100
    world.commit()
    world.send()
    world.settle(3)
    reports = [wire.decode_heartbeat(worker.report()) for worker in world.workers.values()]
    found.heartbeats = calls(lambda: [cluster.heartbeats.receive(r, world.now, world.now) for r in reports])
    return found


def table(rows: list[Any], names: list[str]) -> None:
    for name in names:
        values = [getattr(row, name) for row in rows]
        growth = [f"x{b / a:.2f}" if a else "-" for a, b in pairwise(values)]
        print(f"| {name} | " + " | ".join(f"{value:,}" for value in values) + " | " + ", ".join(growth) + " |")


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m tests.call_counts", description=__doc__.splitlines()[0])
    parser.add_argument("machines", nargs="*", type=int)
    parser.add_argument("--waiting", nargs="+", type=int, help="tasks that are pending on full machines")
    parser.add_argument("--on", type=int, default=430, help="how many machines those are")
    asked = parser.parse_args()
    if asked.waiting:
        table([backlog(asked.on, tasks) for tasks in asked.waiting], list(Backlog.__dataclass_fields__))
    else:
        table([measure(size) for size in asked.machines or [75, 150, 300]], list(Counts.__dataclass_fields__))


if __name__ == "__main__":
    main()
