"""Which machines a task may go to, and which of them suits it best."""

from __future__ import annotations

from collections.abc import Callable

from oatport import wire
from oatport.control.queueing.tier_router import SPOT
from oatport.control.state.capacity import zone_cap
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK, Job, JobKind
from oatport.control.state.machine import Machine
from oatport.times import SECOND, micros

BEFORE_ZONES = 6  # parts of a machine's merit that weigh more than a job's replicas in its zone


def machine_allowed(job: Job, machine: Machine) -> bool:
    """Type, zone and kind of machine, given the job's other tasks at this moment (rule `wrong_place`)."""
    spec = job.spec
    if machine.spot and not spec.spot:
        return False
    if spec.machine_types is not None and machine.type.name not in spec.machine_types:
        return False
    if spec.zone is not None and machine.zone != spec.zone:
        return False
    if spec.single_zone and job.tasks_by_zone and machine.zone not in job.tasks_by_zone:
        return False
    return not spec.spread or job.tasks_by_zone.get(machine.zone, 0) < zone_cap(spec)


class Feasibility:
    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self._crowded = False  # owned room is taken up, or there is work to use what services leave

    def _suits(self, job: Job) -> Callable[[Machine], bool]:
        """May a machine take a task of the job now, its other tasks' zones and its errors apart?"""
        spec, cluster = job.spec, self.cluster
        # Replicas stay for long, and arrays follow one another: either way the machines would be kept from
        # those who need the GPUs, or kept at their price for work that any machine can do.
        no_gpus = self._elsewhere(job)
        on_spot = spec.spot and cluster.may_use_free_spot(job)
        # Idle work fills owned room beside replicas; an owned machine of its own would be kept for it, at two to
        # three times the price of the spot room that it may use.
        beside = job.priority_rank == IDLE_RANK and spec.spot and not spec.gpus and job.tier == SPOT

        def may(machine: Machine) -> bool:
            return (
                machine.has_capacity_for(spec)
                and (on_spot or not machine.spot)
                and (spec.machine_types is None or machine.type.name in spec.machine_types)
                and (spec.zone is None or machine.zone == spec.zone)
                and not (no_gpus and machine.type.gpus > 0 and not cluster.may_backfill(job, machine, cluster.now))
                and not (beside and not machine.spot and machine.service_cpus <= 0)
            )

        return may

    def _fitting(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """The machines that may take a task of the job now."""
        may = self._suits(job)
        errors = job.error_machines if len(machines) > len(job.error_machines) else ()
        return [m for m in machines if may(m) and machine_allowed(job, m) and m.name not in errors]

    def _merit(self, job: Job, machine: Machine, within: int | None) -> tuple[float, ...]:
        """Free owned room first; the smaller the better. For services, the job's other replicas come between."""
        spec = job.spec
        service = job.kind is JobKind.SERVICE
        return (
            machine.spot,
            machine.slowdown > 1.6 and machine.slowdown_samples > 1,
            machine.type.gpus if spec.gpus == 0 else 0,
            service and within is not None and self._fetch(spec, machine) > within,
            # A machine full of replicas can't take over a lost mate of theirs, which would need no fetch there:
            # room for one more is left to work that can be stopped for it, where there is such work.
            service
            and self._crowded
            and spec.task_count >= self.cluster.tuning.mate_room_tasks
            and machine.type.cpus - machine.service_cpus < 2 * spec.cpus - 1e-9,
            spec.image not in machine.images,
            # Otherwise replicas together, and the rest away from them: machines without replicas can be
            # returned, and those with them, where the images are, have room for more.
            -machine.service_cpus if service else machine.service_cpus,
            machine.free_cpus,  # the fullest first
        )

    def _start_within(self, job: Job) -> int | None:
        """How soon the next task should run; a lost replica is missed at once."""
        index = job.next_pending()
        if job.kind is JobKind.SERVICE and index is not None and index in job.tasks and job.tasks[index].attempt > 0:
            return SECOND
        return self.cluster.objectives.start_within.get(job.spec.job_class)

    @staticmethod
    def _fetch(spec: wire.Submission, machine: Machine) -> int:
        """How long until a machine has the image."""
        if spec.image in machine.images:
            return 0
        return micros(spec.image_size_gb / max(machine.type.image_fetch_gb_per_s, 0.01))

    def _elsewhere(self, job: Job) -> bool:
        """It needs no GPUs, and could run on a type without any."""
        return job.spec.gpus == 0 and any(kind.gpus == 0 for kind in self.cluster.catalog.preferred_types(job))
