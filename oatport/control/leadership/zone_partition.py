"""Partitioned zones: which of their machines to release, and when.

A machine behind a partition can only be reclaimed through the cloud: a release proves its tasks gone, so that they
can run elsewhere. But until then they go on (PROTOCOL, "Outages and cuts"): for about as long as an outage may last if
a node in the zone is a lease proxy for their workers (`control/leadership/lease_proxy.py`), for one lease if none is.
So nothing is won by releasing machines at once, and much is lost if the partition ends soon: what they run, their
images, and capacity that is not to be had anywhere else meanwhile. The rules here, in order of worth:

1. A replica that may run in another zone is moved before its lease can expire, a few at a time, so that each is
   missed only for a start and a fetch, and a leader that ends meanwhile leaves few of them nowhere.
   One that may not (its job's spread over zones allows no more in the others) stays: it is back where its image
   is as soon as the zone is.
2. Machines without replicas are kept until what they run is done, as predicted, if their like is to be had
   elsewhere (a result is kept: started again, such a task is done at once). If it is not, for as long after the leases
   expire as a new one would take to boot: a long partition then costs at most twice what is lost by releasing them at
   once (the ski rental rule).
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

MAX_REPLICAS_MOVING = 24  # missed at the same time while they are moved
EVACUATE_AFTER = 6 * SECOND  # a partition that ends before that costs nothing
RELEASE_UNMOVABLE_AFTER = 600 * SECOND  # machines with replicas that may run nowhere else
REPORT_AGE_LIMIT = 1.25  # report intervals, the age of a worker's last answered report (PROTOCOL)


def tasks_alive_until(settings: ClusterSettings, since: int, has_proxy: bool) -> int:
    """Up to when the tasks of a zone that was last heard from at `since` are alive (steady).

    `has_proxy`: a node there is a lease proxy for its workers.
    """
    lease, report = micros(settings.workers.lease_s), micros(settings.workers.report_s * REPORT_AGE_LIMIT)
    answered_until = max(LeaseRenewalLimit(settings, since).until, since) if has_proxy else since
    return answered_until - report + lease


def placeable_elsewhere(cluster: ClusterState, job: Job) -> int:
    """How many more replicas of a service may run in zones without a partition, beside those that are pending."""
    spec = job.spec
    zones = {
        zone for kind in cluster.catalog.preferred_types(job) for zone in kind.zones
    } - cluster.zones.partitioned.keys()
    if spec.zone is not None:
        zones &= {spec.zone}
    if spec.single_zone and job.tasks_by_zone:
        zones &= job.tasks_by_zone.keys()
    cap = max_tasks_per_zone(spec)
    return max(0, sum(cap - job.tasks_by_zone.get(zone, 0) for zone in zones) - job.pending)


@dataclass(slots=True)
class ZoneEvacuation:
    """Which machines of partitioned zones to release now; asked again and again."""

    cluster: ClusterState
    capacity_planner: CapacityPlanner
    _placeable: dict[Job, int] = field(default_factory=dict)  # replicas that may run elsewhere, in this round

    def machines_to_release(self, now: int, zones_with_proxy: frozenset[str]) -> list[Machine]:
        """`zones_with_proxy`: those in which a node is a lease proxy for the workers."""
        chosen: list[Machine] = []
        self._placeable.clear()
        for zone, since in self.cluster.zones.partitioned.items():
            alive_until = tasks_alive_until(self.cluster.settings, since, zone in zones_with_proxy)
            silent = self._silent_machines(zone, since)
            movable = self._movable_machines(silent)
            if now >= alive_until:
                chosen += [machine for machine, _ in movable]
            elif now - since > EVACUATE_AFTER:
                chosen += self._next_to_evacuate(movable)
            moving = {machine for machine, _ in movable}
            chosen += [m for m in silent if m not in moving and self._is_not_worth_keeping(m, now, since, alive_until)]
        return chosen

    def _silent_machines(self, zone: str, since: int) -> list[Machine]:
        """Machines of a zone that were not heard from since the partition began."""
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
        """As many as may be missed at the same time, and one at least."""
        chosen = []
        missed = self._replicas_missed()
        for machine, replicas in movable:
            if missed and missed + replicas > MAX_REPLICAS_MOVING:
                break
            missed += replicas
            chosen.append(machine)
        return chosen

    def _replicas_missed(self) -> int:
        """Replicas that lost their machine and wait for another one outside the partitioned zones."""
        return sum(
            min(len(job.retry_queue), placeable_elsewhere(self.cluster, job) + job.pending)
            for job in self.cluster.pending
            if job.kind is JobKind.SERVICE and not job.suspected_faulty
        )

    def _movable_machines(self, machines: list[Machine]) -> list[tuple[Machine, int]]:
        """Machines most of whose replicas may run elsewhere, and how many do."""
        found = []
        for machine in machines:
            movable: Counter[Job] = Counter()
            bound = 0
            for task in machine.tasks:
                job = task.job
                if job.kind is not JobKind.SERVICE or task.phase is not TaskPhase.BOUND or job.cancelled:
                    continue
                if job not in self._placeable:
                    self._placeable[job] = placeable_elsewhere(self.cluster, job)
                if movable[job] < self._placeable[job]:
                    movable[job] += 1
                else:
                    bound += 1
            # Those that stay would come back where they are: they lose their machine for the others' sake.
            if movable.total() > bound:
                found.append((machine, movable.total()))
                for job, count in movable.items():
                    self._placeable[job] -= count
        return found

    def _is_not_worth_keeping(self, machine: Machine, now: int, since: int, alive_until: int) -> bool:
        """It has no replica that could run elsewhere: is the rest of what it runs not worth keeping it?"""
        if any(task.job.kind is JobKind.SERVICE and not task.job.cancelled for task in machine.tasks):
            return now - since > RELEASE_UNMOVABLE_AFTER
        if now > alive_until + micros(machine.type.boot_time_s):
            return True
        return self.capacity_planner.availability.is_replacement_available(machine, now) and now >= min(
            self._predicted_completion(machine, since), alive_until
        )

    def _predicted_completion(self, machine: Machine, since: int) -> int:
        """When its tasks are done, as predicted; those of an earlier leader ran before it was last heard from."""
        predictor = self.cluster.predictor
        return max(
            ((t.running_since or since) + predictor.run_time(t.job.job_id, t.job.spec) for t in machine.tasks),
            default=since,
        )
