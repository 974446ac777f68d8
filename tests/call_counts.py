"""Counts how much work grows with the size of the cluster, on the in-memory cluster and without timing.

    python -m tests.call_counts [MACHINES ...] [--waiting TASKS ...] [--on MACHINES]   tables for docs/measurements.md

The counts are function calls (Python's and built-in), changes of the state service, bytes of records and bytes held
by the leader's view. Each measurement includes many small jobs, a huge array and a failover. With `--waiting`, all
machines are full and that many tasks are pending: the calls of ten seconds of the leader's loops are counted while
nothing changes, while tasks complete, and while jobs are submitted.
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


def count_calls(work: Callable[[], Any]) -> int:
    """Returns the number of function calls that `work` makes, which is the same on every machine and in every run."""
    count = 0

    def on_event(frame: Any, event: str, arg: Any) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(on_event)
    try:
        work()
    finally:
        sys.setprofile(None)
    return count


@dataclass
class Counts:
    """Calls, changes and bytes for one size of the cluster; the field names are the rows of the printed table."""

    machines: int
    tasks: int = 0
    fill: int = 0  # the first planning pass: all tasks are pending, all machines are empty
    route: int = 0
    plan: int = 0
    rent: int = 0  # scale-out and scale-in
    move: int = 0  # rebalancing of replicas
    heartbeats: int = 0  # one heartbeat of each machine
    tick: int = 0
    small_jobs: int = 0  # a planning pass with many small jobs and a huge array pending
    failover: int = 0
    failover_bytes: int = 0
    changes: int = 0  # puts and deletes from an empty cluster to a full one
    held: int = 0  # bytes held by the leader's view


def measure(machines: int) -> Counts:
    """Returns the counts for a cluster of `machines` machines."""
    counts = Counts(machines)
    tracemalloc.start()
    initial_memory = tracemalloc.get_traced_memory()[0]
    harness = ClusterHarness([Team("crew")])
    for number in range(1, machines + 1):
        harness.machine(number, "ab"[number % 2], spot=number % 4 == 3)
    harness.step()
    harness.step(1.0)
    last_job_number = 0

    def submit(**changes: Any) -> None:
        nonlocal last_job_number
        last_job_number += 1
        harness.submit(ref=f"j-{last_job_number:06d}", hull=f"img-{last_job_number % 10}", **changes)

    for _ in range(machines // 6):
        submit(rig="standing", legs=4, cores=2.0, urgency="production", driftwood=False, spread=True)
    for _ in range(machines // 12):  # twice the capacity
        submit(legs=30, voyageS=50.0, tideS=120.0)
    counts.fill = count_calls(harness.plan)
    for _ in range(10):
        harness.step(4.0)
    # The tasks of half of the machines complete in this round, so that the planning pass has free capacity to assign.
    harness.now += 8_000_000
    for number, worker in enumerate(harness.workers.values()):
        for task in worker.tasks.values():
            if number % 2 and task.completes_at is not None:
                task.completes_at = harness.now
        harness.report(worker)
    harness.commit()
    counts.tasks = sum(job.placed_task_count for job in harness.cluster.jobs.values())
    counts.route = count_calls(
        lambda: route_pending(harness.cluster, harness.fleet.availability, harness.now, harness.now)
    )
    counts.plan = count_calls(lambda: harness.placer.plan(harness.now))
    harness.commit()
    harness.send()
    counts.rent = count_calls(
        lambda: (
            harness.fleet.scale_in.update_cordons(),
            harness.fleet.scale_out.plan(harness.now),
            harness.fleet.scale_in.machines_to_release(harness.now),
        )
    )
    counts.move = count_calls(lambda: harness.fleet.rebalancer.replicas_to_move(harness.now))
    harness.now += 1_000_000
    heartbeats = [wire.decode_heartbeat(worker.report()) for worker in harness.workers.values()]
    counts.heartbeats = count_calls(
        lambda: [harness.cluster.heartbeats.receive(r, harness.now, harness.now) for r in heartbeats]
    )
    counts.tick = count_calls(lambda: harness.cluster.accounting.update(harness.now))
    for _ in range(machines // 2):
        submit(legs=1, cores=1.0, urgency="idle")
    submit(legs=20 * machines, cores=1.0, voyageS=100.0)
    counts.small_jobs = count_calls(harness.plan)
    harness.commit()
    harness.send()
    counts.held = tracemalloc.get_traced_memory()[0] - initial_memory
    tracemalloc.stop()
    counts.changes = len(harness.state.log)
    rows = [
        row
        for key, (value, _, _) in harness.state.items.items()
        if key.startswith(("live/", "fleet/"))
        for row in (key, value)
    ]
    counts.failover_bytes = len(wire.encode(rows))
    counts.failover = count_calls(harness.fail_over)
    return counts


@dataclass
class Backlog:
    """Calls within ten seconds while `pending` tasks are pending and all machines are full.

    The field names are the rows of the printed table.
    """

    pending: int
    unchanged: int = 0  # while nothing changes
    longest: int = 0  # the most expensive step, which may delay a binding, a heartbeat or a lease renewal
    completions: int = 0  # while ten tasks complete each second
    bindings: int = 0  # tasks bound while ten tasks complete each second
    submissions: int = 0  # while a job is submitted each second and no machine has capacity
    heartbeats: int = 0  # one unchanged heartbeat of each machine
    held: int = 0  # bytes held by the leader's view


def measure_backlog(machines: int, tasks: int) -> Backlog:
    """Returns the counts for `tasks` pending tasks on `machines` full machines."""
    counts = Backlog(tasks)
    harness = ClusterHarness([Team("crew")])
    for number in range(1, machines + 1):
        harness.machine(number, "ab"[number % 2], spot=number % 4 == 3)
    harness.step()
    harness.step(1.0)
    job_numbers = count(1)

    def submit(**changes: Any) -> None:
        number = next(job_numbers)
        harness.submit(ref=f"j-{number:06d}", hull=f"img-{number % 10}", **changes)

    for _ in range(machines * 3 // 10):
        submit(rig="standing", legs=4, cores=2.0, urgency="production", driftwood=False, spread=True, cargo="serve")
    for _ in range(3):
        harness.step(2.0)
    free_slots = sum(int(m.free_cpus // 4) for m in harness.cluster.machines.values())
    for _ in range(free_slots // 10):
        submit(legs=10, voyageS=3000.0, cargo="long", memoryGb=1.0)
    submit(legs=max(1, free_slots % 10), voyageS=3000.0, cargo="long", memoryGb=1.0)
    for _ in range(3):
        harness.step(2.0)
    for offering in [
        (kind, zone, spot) for kind in harness.cluster.catalog.types for zone in "ab" for spot in (False, True)
    ]:
        harness.fleet.availability.refused_until[offering] = harness.now + 3600 * SECOND
    tracemalloc.start()
    initial_memory = tracemalloc.get_traced_memory()[0]
    for number in range(tasks // 12):
        submit(legs=12, voyageS=50.0 + number % 7, tideS=120.0 + 10 * (number % 50), cargo="van")
    router, cluster = PendingJobRouter(harness.cluster, harness.fleet.availability), harness.cluster
    harness.plan()
    counts.held = tracemalloc.get_traced_memory()[0] - initial_memory
    tracemalloc.stop()

    def run_planning_step() -> None:
        """Does what a step of the leader's planning loop does (`service/planning_loop.py`)."""
        router.step(harness.now, harness.now)
        if harness.placer.is_due(harness.now):
            harness.placer.plan(harness.now)

    def run_scaling_step() -> None:
        """Does what a step of the leader's scaling loop does (`service/scaling_controller.py`)."""
        cluster.refresh_usable_machines(harness.now)
        if harness.fleet.scale_out.is_due(harness.now):
            harness.fleet.scale_in.update_cordons()
            harness.fleet.scale_out.plan(harness.now)
        harness.fleet.scale_in.machines_to_release(harness.now)

    def count_ten_seconds(each_second: Callable[[], None]) -> int:
        """Returns the calls of the loops within ten seconds, and updates the most expensive step."""
        total = 0
        for step in range(100):
            harness.now += SECOND // 10
            for machine in cluster.machines.values():
                machine.last_heartbeat_at = harness.now
            if step % 10 == 5:
                each_second()
            planning_calls = count_calls(run_planning_step)
            counts.longest = max(counts.longest, planning_calls)
            total += planning_calls + (count_calls(run_scaling_step) if step % 3 == 0 else 0)
        return total

    def complete_tasks() -> None:
        """Completes ten running tasks."""
        running = [t for m in cluster.machines.values() for t in m.tasks if t.job.spec.job_class == "long"]
        for task in running[:10]:
            cluster.tasks.complete(task, harness.now, measured=False)

    count_ten_seconds(lambda: None)  # until machines and routing have settled
    counts.longest = 0
    counts.unchanged = count_ten_seconds(lambda: None)
    counts.submissions = count_ten_seconds(lambda: submit(legs=12, voyageS=50.0, tideS=300.0, cargo="van"))
    placed_task_count = sum(cluster.tasks.bound_by_priority)
    counts.completions = count_ten_seconds(complete_tasks)
    counts.bindings = sum(cluster.tasks.bound_by_priority) - placed_task_count + 100
    harness.commit()
    harness.send()
    harness.settle(3)
    heartbeats = [wire.decode_heartbeat(worker.report()) for worker in harness.workers.values()]
    counts.heartbeats = count_calls(
        lambda: [cluster.heartbeats.receive(r, harness.now, harness.now) for r in heartbeats]
    )
    return counts


def print_table(rows: list[Any], names: list[str]) -> None:
    """Prints a Markdown table: a row for each count, with its growth from each size to the next."""
    for name in names:
        values = [getattr(row, name) for row in rows]
        growth = [f"x{b / a:.2f}" if a else "-" for a, b in pairwise(values)]
        print(f"| {name} | " + " | ".join(f"{value:,}" for value in values) + " | " + ", ".join(growth) + " |")


def main() -> None:
    """Measures the sizes or backlogs of the command line and prints their table."""
    parser = argparse.ArgumentParser(prog="python -m tests.call_counts", description=__doc__.splitlines()[0])
    parser.add_argument("machines", nargs="*", type=int)
    parser.add_argument("--waiting", nargs="+", type=int, help="numbers of tasks that are pending on full machines")
    parser.add_argument("--on", type=int, default=430, help="number of full machines")
    arguments = parser.parse_args()
    if arguments.waiting:
        print_table(
            [measure_backlog(arguments.on, tasks) for tasks in arguments.waiting], list(Backlog.__dataclass_fields__)
        )
    else:
        print_table([measure(size) for size in arguments.machines or [75, 150, 300]], list(Counts.__dataclass_fields__))


if __name__ == "__main__":
    main()
