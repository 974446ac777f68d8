"""Formats the status line that a leader logs about its cluster every ten seconds."""

from __future__ import annotations

from oatport.control.scaling.capacity_planner import CapacityPlanner
from oatport.control.state.cluster_state import ClusterState
from oatport.times import seconds


def status_line(cluster: ClusterState, capacity_planner: CapacityPlanner, now: int) -> str:
    """Returns the status line, built only from figures that are already maintained elsewhere."""
    utilization, availability = cluster.accounting.utilization, capacity_planner.availability
    values = {
        "machines_up": utilization.ready,
        "spot_machines_up": utilization.ready_spot,
        "machines_not_up": utilization.not_ready,
        "cpus": f"{utilization.cpus:.0f}",
        "cpus_free_owned": f"{utilization.owned_free_cpus:.0f}",
        "cpus_free_spot": f"{utilization.spot_free_cpus:.0f}",
        "jobs": len(cluster.jobs),
        "pending_tasks": utilization.pending_tasks or 0,
        "runtime_threshold_s": f"{seconds(cluster.router.threshold):.0f}",
        "rent_requests_in_flight": len(availability.requests_in_flight),
        "offerings_refused": availability.refused_count(now),
        "commands_refused": cluster.command_audit.refused_commands,
        "attempts_reappeared": cluster.command_audit.reappeared_attempts,
    }
    values |= {f"cost_{use}": f"{cost:.2f}" for use, cost in sorted(cluster.accounting.cost_by_use.items())}
    return " ".join(f"{name}={value}" for name, value in values.items())
