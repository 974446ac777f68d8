"""What machines did and cost, counted for the status line."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from oatport.times import SECOND

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState


@dataclass(slots=True)
class FleetUtilization:
    """Machines and waiting tasks as last counted (`FleetAccounting.update`)."""

    ready: int = 0
    ready_spot: int = 0
    not_ready: int = 0
    cpus: float = 0.0
    owned_free_cpus: float = 0.0
    spot_free_cpus: float = 0.0
    pending_tasks: dict[str, int] = field(default_factory=dict)  # tier -> tasks


class FleetAccounting:
    """Counts machines, and the money and time that they took, for the status line."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.utilization = FleetUtilization()
        self.cost_by_use: defaultdict[str, float] = defaultdict(float)  # money by what machines did
        self.accounted_at = 0
        self.replica_bound_us = 0  # time that replicas were on machines, all in all
        self.replica_downtime_us = 0  # and what they missed by being moved

    def update(self, now: int) -> None:
        """Add up what the time since the last call cost, by what machines did, and count them."""
        since = self.accounted_at
        hours = (now - since) / (3600 * SECOND) if since else 0.0
        counted = FleetUtilization()
        for job in self.cluster.pending:
            counted.pending_tasks[job.tier or "?"] = counted.pending_tasks.get(job.tier or "?", 0) + job.pending
        for machine in self.cluster.machines.values():
            kind, money = machine.type, machine.price * hours
            if not machine.ready_at:
                counted.not_ready += 1
                self.cost_by_use["boot"] += money
                continue
            counted.ready += 1
            counted.cpus += kind.cpus
            if machine.spot:
                counted.ready_spot += 1
                counted.spot_free_cpus += machine.free_cpus
            else:
                counted.owned_free_cpus += machine.free_cpus
            running = fetching = 0.0
            for task in machine.tasks:
                spec = task.job.spec
                share = max(spec.cpus / kind.cpus, spec.gpus / kind.gpus if kind.gpus else 0.0)
                if task.running_since:
                    running += share
                else:
                    fetching += share
            self.cost_by_use["run"] += money * min(running, 1.0)
            self.cost_by_use["fetch"] += money * fetching
            idle = "idle gpu" if kind.gpus else "idle spot" if machine.spot else "idle owned"
            self.cost_by_use[idle] += money * max(1.0 - running - fetching, 0.0)
        self.utilization = counted
        self.accounted_at = now
