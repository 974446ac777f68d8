"""Sums the machines' CPUs by type, and the predicted work that they must finish before they can take more."""

from __future__ import annotations

from dataclasses import dataclass

from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK
from oatport.control.state.machine import Machine
from oatport.times import micros

BOOT_TIME_MARGIN = 1.2  # expected boot time relative to the one in the catalog


@dataclass(slots=True)
class CapacityPool:
    """Holds the CPUs of a set of machine types and the predicted work queued on them, in CPU-microseconds."""

    cpus: float = 0.0
    work: float = 0.0
    owned_cpus: float = 0.0
    owned_work: float = 0.0
    best_effort_work: float = 0.0  # of tasks of the lowest priority, which all others may preempt

    def add(self, other: CapacityPool) -> None:
        """Adds the machines of another pool to this one."""
        self.cpus += other.cpus
        self.work += other.work
        self.owned_cpus += other.owned_cpus
        self.owned_work += other.owned_work
        self.best_effort_work += other.best_effort_work


PoolsByType = dict[str, CapacityPool]  # by the name of the machine type


def pools_by_type(cluster: ClusterState, now: int) -> PoolsByType:
    """Returns, by machine type, the CPUs that services do not use and the remaining work of the running tasks."""
    pools: PoolsByType = {}
    for machine in cluster.machines.values():
        if (
            machine.draining
            or machine.releasing
            or machine.reclaimed_at
            or machine.command_unreachable
            or machine.zone in cluster.zones.partitioned
        ):
            continue
        pool = pools.get(machine.type.name)
        if pool is None:
            pool = pools[machine.type.name] = CapacityPool()
        _add_machine(pool, machine, cluster.predictor, now)
    return pools


def _add_machine(pool: CapacityPool, machine: Machine, predictor: RuntimePredictor, now: int) -> None:
    """Adds one machine to a pool, unless it should have booted long ago."""
    cpus, work, best_effort_work = machine.type.cpus - machine.service_cpus, 0.0, 0.0
    if not machine.ready_at:
        # A booting machine counts as capacity from the end of its boot. Otherwise a burst of jobs would rent on-demand
        # machines for work that the spot machines rented just before will be able to do.
        boot_time = micros(machine.type.boot_time_s)
        until_ready = machine.rented_at + round(boot_time * BOOT_TIME_MARGIN) - now
        if until_ready < -boot_time:
            return
        work = max(until_ready, 0) * cpus
    for task in machine.finite_tasks:
        job = task.job
        elapsed = now - task.running_since if task.running_since else 0
        remaining = max(predictor.run_time(job.job_id, job.spec) - elapsed, 0) * job.spec.cpus
        if job.priority_rank == IDLE_RANK:
            best_effort_work += remaining
        else:
            work += remaining
    pool.cpus += cpus
    pool.work += work
    pool.best_effort_work += best_effort_work
    if not machine.spot:
        pool.owned_cpus += cpus
        pool.owned_work += work


def joint_pool(pools: PoolsByType, type_names: tuple[str, ...]) -> CapacityPool:
    """Returns one pool for all machines of these types."""
    pool = CapacityPool()
    for name in type_names:
        pool.add(pools.get(name, CapacityPool()))
    return pool
