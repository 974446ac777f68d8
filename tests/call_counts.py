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
from tests.cluster_fixture import ClusterHarness


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
    harness = ClusterHarness([Team("crew")])
    for number in range(1, machines + 1):
        harness.machine(number, "ab"[number % 2], spot=number % 4 == 3)
    harness.step()
    harness.step(1.0)
    refs = 0

    def submit(**changes: Any) -> None:
        nonlocal refs
        refs += 1
        harness.submit(ref=f"j-{refs:06d}", hull=f"img-{refs % 10}", **changes)

    for _ in range(machines // 6):
        submit(rig="standing", legs=4, cores=2.0, urgency="production", driftwood=False, spread=True)
    for _ in range(machines // 12):  # twice the room
        submit(legs=30, voyageS=50.0, tideS=120.0)
    found.fill = calls(harness.plan)
    for _ in range(10):
        harness.step(4.0)
    # What half of the machines run ends in this round: that is what planning is about.
    harness.now += 8_000_000
    for number, worker in enumerate(harness.workers.values()):
        for task in worker.tasks.values():
            if number % 2 and task.completes_at is not None:
                task.completes_at = harness.now
        harness.report(worker)
    harness.commit()
    found.tasks = sum(job.placed_task_count for job in harness.cluster.jobs.values())
    found.route = calls(lambda: route_pending(harness.cluster, harness.fleet.availability, harness.now, harness.now))
    found.plan = calls(lambda: harness.placer.plan(harness.now))
    harness.commit()
    harness.send()
    found.rent = calls(
        lambda: (
            harness.fleet.scale_in.update_cordons(),
            harness.fleet.scale_out.plan(harness.now),
            harness.fleet.scale_in.machines_to_release(harness.now),
        )
    )
    found.move = calls(lambda: harness.fleet.rebalancer.replicas_to_move(harness.now))
    harness.now += 1_000_000
    reports = [wire.decode_heartbeat(worker.report()) for worker in harness.workers.values()]
    found.heartbeats = calls(lambda: [harness.cluster.heartbeats.receive(r, harness.now, harness.now) for r in reports])
    found.tick = calls(lambda: harness.cluster.accounting.update(harness.now))
    for _ in range(machines // 2):
        submit(legs=1, cores=1.0, urgency="idle")
    submit(legs=20 * machines, cores=1.0, voyageS=100.0)
    found.small_jobs = calls(harness.plan)
    harness.commit()
    harness.send()
    found.held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    found.changes = len(harness.state.log)
    rows = [
        row
        for key, (value, _, _) in harness.state.items.items()
        if key.startswith(("live/", "fleet/"))
        for row in (key, value)
    ]
    found.failover_bytes = len(wire.encode(rows))
    found.failover = calls(harness.fail_over)
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
    harness = ClusterHarness([Team("crew")])
    for number in range(1, machines + 1):
        harness.machine(number, "ab"[number % 2], spot=number % 4 == 3)
    harness.step()
    harness.step(1.0)
    refs = count(1)

    def submit(**changes: Any) -> None:
        number = next(refs)
        harness.submit(ref=f"j-{number:06d}", hull=f"img-{number % 10}", **changes)

    for _ in range(machines * 3 // 10):
        submit(rig="standing", legs=4, cores=2.0, urgency="production", driftwood=False, spread=True, cargo="serve")
    for _ in range(3):
        harness.step(2.0)
    room = sum(int(m.free_cpus // 4) for m in harness.cluster.machines.values())
    for _ in range(room // 10):
        submit(legs=10, voyageS=3000.0, cargo="long", memoryGb=1.0)
    submit(legs=max(1, room % 10), voyageS=3000.0, cargo="long", memoryGb=1.0)
    for _ in range(3):
        harness.step(2.0)
    for sort in [
        (kind, zone, spot) for kind in harness.cluster.catalog.types for zone in "ab" for spot in (False, True)
    ]:
        harness.fleet.availability.refused_until[sort] = harness.now + 3600 * SECOND
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(tasks // 12):
        submit(legs=12, voyageS=50.0 + number % 7, tideS=120.0 + 10 * (number % 50), cargo="van")
    router, cluster = PendingJobRouter(harness.cluster, harness.fleet.availability), harness.cluster
    harness.plan()
    found.held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()

    def look() -> None:
        """As the leader's loops do (`service/planning_loop.py`, `service/scaling_controller.py`)."""
        router.step(harness.now, harness.now)
        if harness.placer.is_due(harness.now):
            harness.placer.plan(harness.now)

    def rent() -> None:
        cluster.refresh_usable_machines(harness.now)
        if harness.fleet.scale_out.is_due(harness.now):
            harness.fleet.scale_in.update_cordons()
            harness.fleet.scale_out.plan(harness.now)
        harness.fleet.scale_in.machines_to_release(harness.now)

    def ten_seconds(each_second: Callable[[], None]) -> int:
        total = 0
        for step in range(100):
            harness.now += SECOND // 10
            for machine in cluster.machines.values():
                machine.last_heartbeat_at = harness.now
            if step % 10 == 5:
                each_second()
            looked = calls(look)
            found.longest = max(found.longest, looked)
            total += looked + (calls(rent) if step % 3 == 0 else 0)
        return total

    def ends() -> None:
        running = [t for m in cluster.machines.values() for t in m.tasks if t.job.spec.job_class == "long"]
        for task in running[:10]:
            cluster.tasks.complete(task, harness.now, measured=False)

    ten_seconds(lambda: None)  # machines and routes settle
    found.longest = 0
    found.unchanged = ten_seconds(lambda: None)
    found.submissions = ten_seconds(lambda: submit(legs=12, voyageS=50.0, tideS=300.0, cargo="van"))
    placed_task_count = sum(cluster.tasks.bound_by_priority)
    found.completions = ten_seconds(ends)
    found.bindings = sum(cluster.tasks.bound_by_priority) - placed_task_count + 100
    harness.commit()
    harness.send()
    harness.settle(3)
    reports = [wire.decode_heartbeat(worker.report()) for worker in harness.workers.values()]
    found.heartbeats = calls(lambda: [cluster.heartbeats.receive(r, harness.now, harness.now) for r in reports])
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
