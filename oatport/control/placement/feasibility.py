"""Filters the machines that a task may run on, before the remaining ones are scored."""

from __future__ import annotations

from collections.abc import Callable

from oatport.control.queueing.tier_router import SPOT
from oatport.control.state.capacity import max_tasks_per_zone
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK, Job
from oatport.control.state.machine import Machine


def is_machine_allowed(job: Job, machine: Machine) -> bool:
    """Returns whether the machine's type, zone and tier are allowed for the job's next task.

    The zones of the job's other tasks at this moment count too. This is the rule `wrong_place`.
    """
    spec = job.spec
    if machine.spot and not spec.spot:
        return False
    if spec.machine_types is not None and machine.type.name not in spec.machine_types:
        return False
    if spec.zone is not None and machine.zone != spec.zone:
        return False
    if spec.single_zone and job.tasks_by_zone and machine.zone not in job.tasks_by_zone:
        return False
    return not spec.spread or job.tasks_by_zone.get(machine.zone, 0) < max_tasks_per_zone(spec)


class FeasibilityFilter:
    """Filters machines by capacity, type, zone and the work that they are reserved for."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster

    def predicate(self, job: Job) -> Callable[[Machine], bool]:
        """Returns a predicate for the machines that can take a task of the job now.

        The predicate ignores the zones of the job's other tasks and the machines on which the job has failed.
        """
        spec, cluster = job.spec, self._cluster
        # Replicas run for a long time, and arrays follow one another. Either would block machines with GPUs for the
        # jobs that need them, or keep expensive machines rented for work that any machine can do.
        should_avoid_gpus = self.should_avoid_gpus(job)
        may_use_spot = spec.spot and cluster.may_use_free_spot(job)
        # Best-effort tasks use the capacity that replicas leave free on owned machines. An owned machine without
        # replicas would stay rented for them alone, at two to three times the price of the spot machines that they
        # may use.
        only_beside_replicas = job.priority_rank == IDLE_RANK and spec.spot and not spec.gpus and job.tier == SPOT

        def is_feasible(machine: Machine) -> bool:
            return (
                machine.has_capacity_for(spec)
                and (may_use_spot or not machine.spot)
                and (spec.machine_types is None or machine.type.name in spec.machine_types)
                and (spec.zone is None or machine.zone == spec.zone)
                and not (
                    should_avoid_gpus and machine.type.gpus > 0 and not cluster.may_backfill(job, machine, cluster.now)
                )
                and not (only_beside_replicas and not machine.spot and machine.service_cpus <= 0)
            )

        return is_feasible

    def feasible_machines(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """Returns the machines that can take a task of the job now.

        Machines on which the job has failed are left out, unless it has failed on as many machines as there are.
        """
        is_feasible = self.predicate(job)
        error_machines = job.error_machines if len(machines) > len(job.error_machines) else ()
        return [m for m in machines if is_feasible(m) and is_machine_allowed(job, m) and m.name not in error_machines]

    def should_avoid_gpus(self, job: Job) -> bool:
        """Returns whether the job needs no GPUs and could run on a machine type without any."""
        return job.spec.gpus == 0 and any(
            machine_type.gpus == 0 for machine_type in self._cluster.catalog.preferred_types(job)
        )
