"""Evacuation of partitioned zones: decides which of their machines to release, and when.

A machine behind a partition can only be reclaimed through the cloud service: a release proves its tasks gone, so that
they can run elsewhere. Until then the tasks continue (PROTOCOL, "Outages and cuts"): for about as long as an outage may
last if a node in the zone is a lease proxy for their workers (`control/leadership/lease_proxy.py`), otherwise for one
lease. Releasing the machines at once gains nothing, and loses much if the partition ends soon: the running tasks, the
images, and capacity that may not be available elsewhere. The rules, in order of value:

1. A replica that may run in another zone is moved before its lease can expire. Replicas are moved a few at a time, so
   that each is unavailable only for a start and an image fetch, and few are left without a machine if the leader's
   term ends meanwhile. A replica that may not move (its job's spread over zones allows no more in other zones) stays:
   it is back on a machine with its image as soon as the zone recovers.
2. Machines without replicas are kept until the predicted completion of their tasks, if a replacement is available
   elsewhere (results are stored, so a completed task that is started again finishes at once). If none is available,
   they are kept for one boot time after the leases expire: a long partition then costs at most twice what an immediate
   release loses (the ski rental rule).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from oatport.control.leadership.lease_renewal import LeaseRenewalLimit
from oatport.control.scaling.capacity_planner import CapacityPlanner
from oatport.control.state.capacity import max_tasks_per_zone
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import TaskPhase
from oatport.settings import ClusterSettings
from oatport.times import SECOND, micros

MAX_REPLICAS_MOVING = 24  # replicas without a machine at the same time during evacuation
EVACUATE_AFTER = 6 * SECOND  # a shorter partition costs nothing
RELEASE_UNMOVABLE_AFTER = 600 * SECOND  # for machines with replicas that may not run elsewhere
MAX_HEARTBEAT_AGE_INTERVALS = 1.25  # of a worker's last answered heartbeat (PROTOCOL)


def tasks_alive_until(settings: ClusterSettings, since: int, has_proxy: bool) -> int:
    """Returns the time (steady) until which tasks run in a zone whose last heartbeat arrived at `since`.

    `has_proxy`: a node in the zone is a lease proxy for its workers.
    """
    lease, max_age = micros(settings.workers.lease_s), micros(settings.workers.report_s * MAX_HEARTBEAT_AGE_INTERVALS)
    answered_until = max(LeaseRenewalLimit(settings, since).until, since) if has_proxy else since
    return answered_until - max_age + lease


def placeable_elsewhere(cluster: ClusterState, job: Job) -> int:
    """Returns how many more replicas of a service, besides the pending ones, may run in zones without a partition."""
    spec = job.spec
    zones = {
        zone for machine_type in cluster.catalog.preferred_types(job) for zone in machine_type.zones
    } - cluster.zones.partitioned.keys()
    if spec.zone is not None:
        zones &= {spec.zone}
    if spec.single_zone and job.tasks_by_zone:
        zones &= job.tasks_by_zone.keys()
    max_per_zone = max_tasks_per_zone(spec)
    return max(0, sum(max_per_zone - job.tasks_by_zone.get(zone, 0) for zone in zones) - job.pending)


@dataclass(slots=True)
class ZoneEvacuation:
    """Selects the machines of partitioned zones to release; called periodically."""

    cluster: ClusterState
    capacity_planner: CapacityPlanner
    _placeable_elsewhere: dict[Job, int] = field(default_factory=dict)  # replicas that may still be moved, in this call

    def machines_to_release(self, now: int, zones_with_proxy: frozenset[str]) -> list[Machine]:
        """Returns the machines to release now. `zones_with_proxy`: zones with a lease proxy for their workers."""
        chosen: list[Machine] = []
        self._placeable_elsewhere.clear()
        for zone, since in self.cluster.zones.partitioned.items():
            alive_until = tasks_alive_until(self.cluster.settings, since, zone in zones_with_proxy)
            silent = self._silent_machines(zone, since)
            movable = self._movable_machines(silent)
            if now >= alive_until:
                chosen += [machine for machine, _ in movable]
            elif now - since > EVACUATE_AFTER:
                chosen += self._next_to_evacuate(movable)
            moving = {machine for machine, _ in movable}
            chosen += [
                m for m in silent if m not in moving and self._should_release_unmovable(m, now, since, alive_until)
            ]
        return chosen

    def _silent_machines(self, zone: str, since: int) -> list[Machine]:
        """Returns the machines of a zone without a heartbeat since the partition began, ordered by name."""
        silent = (
            machine
            for machine in self.cluster.machines.values()
            if machine.zone == zone
            and not machine.releasing
            and machine.last_heartbeat_at <= since
            and (machine.ready_at or machine.was_ready)
        )
        return sorted(silent, key=lambda machine: machine.name)

    def _next_to_evacuate(self, movable: list[tuple[Machine, int]]) -> list[Machine]:
        """Returns as many machines as the limit on replicas without a machine allows.

        Replicas that already wait for a machine count towards the limit. If none waits, the result has at least one
        machine.
        """
        chosen = []
        unplaced = self._unplaced_replica_count()
        for machine, replicas in movable:
            if unplaced and unplaced + replicas > MAX_REPLICAS_MOVING:
                break
            unplaced += replicas
            chosen.append(machine)
        return chosen

    def _unplaced_replica_count(self) -> int:
        """Returns how many replicas lost their machine and wait for another one outside the partitioned zones."""
        return sum(
            min(len(job.retry_queue), placeable_elsewhere(self.cluster, job) + job.pending)
            for job in self.cluster.pending
            if job.kind is JobKind.SERVICE and not job.suspected_faulty
        )

    def _movable_machines(self, machines: list[Machine]) -> list[tuple[Machine, int]]:
        """Returns the machines most of whose replicas may run elsewhere, each with the number of those replicas."""
        found = []
        for machine in machines:
            movable: Counter[Job] = Counter()
            unmovable = 0
            for task in machine.tasks:
                job = task.job
                if job.kind is not JobKind.SERVICE or task.phase is not TaskPhase.BOUND or job.cancelled:
                    continue
                if job not in self._placeable_elsewhere:
                    self._placeable_elsewhere[job] = placeable_elsewhere(self.cluster, job)
                if movable[job] < self._placeable_elsewhere[job]:
                    movable[job] += 1
                else:
                    unmovable += 1
            # Replicas that may not move would recover in place; a release of the machine ends them, too.
            if movable.total() > unmovable:
                found.append((machine, movable.total()))
                for job, count in movable.items():
                    self._placeable_elsewhere[job] -= count
        return found

    def _should_release_unmovable(self, machine: Machine, now: int, since: int, alive_until: int) -> bool:
        """Returns whether to release a machine without replicas, or most of whose replicas can't be moved."""
        if any(task.job.kind is JobKind.SERVICE and not task.job.cancelled for task in machine.tasks):
            return now - since > RELEASE_UNMOVABLE_AFTER
        if now > alive_until + micros(machine.type.boot_time_s):
            return True
        return self.capacity_planner.availability.is_replacement_available(machine, now) and now >= min(
            self._predicted_completion(machine, since), alive_until
        )

    def _predicted_completion(self, machine: Machine, since: int) -> int:
        """Returns when the tasks of a machine are predicted to be completed.

        Tasks without a start time were started under an earlier leader, and so no later than `since`.
        """
        predictor = self.cluster.predictor
        return max(
            ((t.running_since or since) + predictor.run_time(t.job.job_id, t.job.spec) for t in machine.tasks),
            default=since,
        )
