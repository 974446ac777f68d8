"""How much work grows with the size: counted on the in-memory world, never timed.

    python -m tests.scale [MACHINES ...]      a table for docs/measurements.md

Counted are calls of functions (Python's and built-in), changes of the state service, bytes of records and bytes held
by the leader's view. A swarm, a huge array and a takeover come in the middle of each.
"""

from __future__ import annotations

import sys
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

from oatport import wire
from oatport.settings import Team
from tests.world import World


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
    fill: int = 0  # the first planning pass: everything waits, all machines are empty
    route: int = 0
    plan: int = 0
    rent: int = 0  # renting and returning
    move: int = 0  # replicas together
    report: int = 0  # all machines' reports once
    tick: int = 0
    swarm: int = 0  # a planning pass with a swarm and a huge array waiting
    takeover: int = 0
    takeover_bytes: int = 0
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
            if number % 2 and task.ends_at is not None:
                task.ends_at = world.now
        world.report(worker)
    world.commit()
    found.tasks = sum(job.on_machines for job in world.cluster.jobs.values())
    from oatport.control.backlog import route_waiting
    found.route = calls(lambda: route_waiting(world.cluster, world.fleet, world.now, world.now))
    found.plan = calls(lambda: world.placer.plan(world.now))
    world.commit()
    world.send()
    found.rent = calls(lambda: (world.fleet.mark_surplus(world.now), world.fleet.wanted(world.now),
                                world.fleet.to_release(world.now)))
    found.move = calls(lambda: world.fleet.to_move(world.now))
    world.now += 1_000_000
    reports = [wire.report(worker.report()) for worker in world.workers.values()]
    found.report = calls(lambda: [world.cluster.on_report(r, world.now, world.now) for r in reports])
    found.tick = calls(lambda: world.cluster.account(world.now))
    for _ in range(machines // 2):
        submit(legs=1, cores=1.0, urgency="idle")
    submit(legs=20 * machines, cores=1.0, voyageS=100.0)
    found.swarm = calls(world.plan)
    world.commit()
    world.send()
    found.held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    found.changes = len(world.state.log)
    rows = [row for key, (value, _, _) in world.state.items.items() if key.startswith(("live/", "fleet/"))
            for row in (key, value)]
    found.takeover_bytes = len(wire.dumps(rows))
    found.takeover = calls(world.take_over)
    return found


def main() -> None:
    sizes = [int(text) for text in sys.argv[1:]] or [75, 150, 300]
    rows = [measure(size) for size in sizes]
    for name in Counts.__dataclass_fields__:
        values = [getattr(row, name) for row in rows]
        growth = [f"x{b / a:.2f}" if a else "-" for a, b in pairwise(values)]
        print(f"| {name} | " + " | ".join(f"{value:,}" for value in values) + " | " + ", ".join(growth) + " |")


if __name__ == "__main__":
    main()
