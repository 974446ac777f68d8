"""The use and cost of machines, for the status line."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from oatport.times import SECOND

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState


@dataclass(slots=True)
class FleetUtilization:
    """Counts of machines and pending tasks as of the last `FleetAccounting.update`."""

    ready: int = 0
    ready_spot: int = 0
    not_ready: int = 0
    cpus: float = 0.0
    owned_free_cpus: float = 0.0
    spot_free_cpus: float = 0.0
    pending_tasks: dict[str, int] = field(default_factory=dict)  # tier -> tasks


class FleetAccounting:
    """Counts machines, and adds up their cost and the time of replicas, for the status line."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.utilization = FleetUtilization()
        self.cost_by_use: defaultdict[str, float] = defaultdict(float)  # cost by what the machines did
        self.accounted_at = 0
        self.replica_bound_us = 0  # total time of service replicas on machines
        self.replica_downtime_us = 0  # total downtime of replicas due to moves

    def update(self, now: int) -> None:
        """Adds the cost of the time since the last call, by what the machines did, and counts machines and tasks."""
        since = self.accounted_at
        hours = (now - since) / (3600 * SECOND) if since else 0.0
        counted = FleetUtilization()
        for job in self.cluster.pending:
            counted.pending_tasks[job.tier or "?"] = counted.pending_tasks.get(job.tier or "?", 0) + job.pending
        for machine in self.cluster.machines.values():
            machine_type, cost = machine.type, machine.price * hours
            if not machine.ready_at:
                counted.not_ready += 1
                self.cost_by_use["boot"] += cost
                continue
            counted.ready += 1
            counted.cpus += machine_type.cpus
            if machine.spot:
                counted.ready_spot += 1
                counted.spot_free_cpus += machine.free_cpus
            else:
                counted.owned_free_cpus += machine.free_cpus
            running = fetching = 0.0
            for task in machine.tasks:
                spec = task.job.spec
                share = max(spec.cpus / machine_type.cpus, spec.gpus / machine_type.gpus if machine_type.gpus else 0.0)
                if task.running_since:
                    running += share
                else:
                    fetching += share
            self.cost_by_use["run"] += cost * min(running, 1.0)
            self.cost_by_use["fetch"] += cost * fetching
            idle = "idle gpu" if machine_type.gpus else "idle spot" if machine.spot else "idle owned"
            self.cost_by_use[idle] += cost * max(1.0 - running - fetching, 0.0)
        self.utilization = counted
        self.accounted_at = now
