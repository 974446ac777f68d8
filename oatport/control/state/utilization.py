"""What machines did and cost, counted for the status line."""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.control.state.task_lifecycle import TaskLifecycle
from oatport.times import SECOND


@dataclass(slots=True)
class FleetUtilization:
    """Machines and waiting tasks as last counted (`Cluster.account`)."""

    up: int = 0
    up_spot: int = 0
    down: int = 0
    cpus: float = 0.0
    free_owned: float = 0.0
    free_spot: float = 0.0
    waiting: dict[str, int] = field(default_factory=dict)  # tier -> tasks


def account(work: TaskLifecycle, now: int, since: int) -> FleetUtilization:
    """Add up what the time since then cost, by what machines did, and count them. `since` 0: the first call."""
    hours = (now - since) / (3600 * SECOND) if since else 0.0
    tally = FleetUtilization()
    for job in work.pending:
        tally.waiting[job.tier or "?"] = tally.waiting.get(job.tier or "?", 0) + job.pending
    for machine in work.machines.values():
        kind, money = machine.type, machine.price * hours
        if not machine.ready_at:
            tally.down += 1
            work.cost_by_use["boot"] += money
            continue
        tally.up += 1
        tally.cpus += kind.cpus
        if machine.spot:
            tally.up_spot += 1
            tally.free_spot += machine.free_cpus
        else:
            tally.free_owned += machine.free_cpus
        running = fetching = 0.0
        for task in machine.tasks:
            spec = task.job.spec
            share = max(spec.cpus / kind.cpus, spec.gpus / kind.gpus if kind.gpus else 0.0)
            if task.running_since:
                running += share
            else:
                fetching += share
        work.cost_by_use["run"] += money * min(running, 1.0)
        work.cost_by_use["fetch"] += money * fetching
        idle = "idle gpu" if kind.gpus else "idle spot" if machine.spot else "idle owned"
        work.cost_by_use[idle] += money * max(1.0 - running - fetching, 0.0)
    return tally
