"""Owned (on-demand) machines without GPUs: what is free on them, and what is kept free for services to come."""

from __future__ import annotations

from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import JobKind


def free_owned_cpus(cluster: ClusterState) -> float:
    """Free CPUs on owned machines that services can use."""
    return sum(m.free_cpus for m in cluster.usable_machines if not m.spot and m.type.gpus == 0)


def warm_cpus(cluster: ClusterState) -> float:
    """CPUs of owned machines that are kept free for services to come, so that they start at once."""
    used = sum(j.spec.cpus * j.placed_task_count for j in cluster.jobs.values() if j.kind is JobKind.SERVICE)
    return cluster.tuning.warm_share * used
