"""Zones that are cut off: which of their machines to give up, and when.

A machine that is cut off can be had back by nobody but the cloud: a release proves its tasks gone, so that they can
run elsewhere. But until then they go on (PROTOCOL, "Outages and cuts"): for about as long as an outage may last if a
node in the zone answers their workers (`control/leadership/lease_proxy.py`), for one lease if none does. So nothing
is won by giving machines up at once, and much is lost if the cut ends soon: what they run, their images, and room that
is not to be had anywhere else meanwhile. The rules here, in order of worth:

1. A replica that may run in another zone leaves before its lease can end, a few at a time, so that each is missed
   only for a start and a fetch, and a leader that ends meanwhile leaves few of them nowhere.
   One that may not (its job's spread over zones allows no more in the others) stays: it is back where its image
   is as soon as the zone is.
2. Machines without replicas are kept until what they run is done, as predicted, if their like is to be had
   elsewhere (a result is kept: started again, such a task is done at once). If it is not, for as long after the leases'
   end as a new one would take to boot: what is cut off for long then costs at most twice what is lost by giving up at
   once (the ski rental rule).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from oatport.control.scaling.capacity_planner import CapacityPlanner
from oatport.control.state.capacity import zone_cap
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import TaskPhase
from oatport.control.storage.recovery import LeaseRenewalLimit
from oatport.settings import ClusterSettings
from oatport.times import SECOND, micros

REPLICAS_AT_ONCE = 24  # missed at the same time while they leave
LEAVE_AFTER = 6 * SECOND  # a cut that ends before that costs nothing
KEEP_BOUND = 600 * SECOND  # replicas that may run nowhere else: their machines are given up after this


def lives_until(settings: ClusterSettings, since: int, kept: bool) -> int:
    """Up to when the tasks of a zone that was last heard at `since` are alive (steady).

    `kept`: a node there answers its workers. A worker's last answered report may be one and a quarter
    report intervals old (PROTOCOL, "Workers -> controller nodes").
    """
    lease, report = micros(settings.workers.lease_s), micros(settings.workers.report_s * 1.25)
    answered_until = max(LeaseRenewalLimit(settings, since).until, since) if kept else since
    return answered_until - report + lease


def elsewhere(cluster: ClusterState, job: Job) -> int:
    """How many more replicas of a service may run in zones that are heard from, its waiting ones counted."""
    spec = job.spec
    zones = {
        zone for kind in cluster.catalog.preferred_types(job) for zone in kind.zones
    } - cluster.zones.partitioned.keys()
    if spec.zone is not None:
        zones &= {spec.zone}
    if spec.single_zone and job.tasks_by_zone:
        zones &= job.tasks_by_zone.keys()
    cap = zone_cap(spec)
    return max(0, sum(cap - job.tasks_by_zone.get(zone, 0) for zone in zones) - job.pending)


@dataclass(slots=True)
class ZoneEvacuation:
    """Which machines of dark zones to give up now; asked again and again."""

    cluster: ClusterState
    fleet: CapacityPlanner
    _room: dict[Job, int] = field(default_factory=dict)

    def now(self, now: int, kept: frozenset[str]) -> list[Machine]:
        """`kept`: zones in which a node answers the workers."""
        chosen: list[Machine] = []
        self._room.clear()
        for zone, since in self.cluster.zones.partitioned.items():
            alive = lives_until(self.cluster.settings, since, zone in kept)
            there = sorted(
                (
                    m
                    for m in self.cluster.machines.values()
                    if m.zone == zone
                    and not m.releasing
                    and m.last_heartbeat_at <= since
                    and (m.ready_at or m.was_ready)
                ),
                key=lambda m: m.name,
            )
            movers = self._movers(there)
            if now >= alive:
                chosen += [machine for machine, _ in movers]
            elif now - since > LEAVE_AFTER:
                missed = self._missed()
                for machine, replicas in movers:
                    if missed and missed + replicas > REPLICAS_AT_ONCE:
                        break
                    missed += replicas
                    chosen.append(machine)
            moving = {machine for machine, _ in movers}
            chosen += [m for m in there if m not in moving and self._given_up(m, now, since, alive)]
        return chosen

    def _missed(self) -> int:
        """Replicas that lost their machine and wait for another one outside the dark zones."""
        return sum(
            min(len(job.retry_queue), elsewhere(self.cluster, job) + job.pending)
            for job in self.cluster.pending
            if job.kind is JobKind.SERVICE and not job.suspected_faulty
        )

    def _movers(self, machines: list[Machine]) -> list[tuple[Machine, int]]:
        """Machines most of whose replicas may run elsewhere, and how many do."""
        found = []
        for machine in machines:
            movable: Counter[Job] = Counter()
            bound = 0
            for task in machine.tasks:
                job = task.job
                if job.kind is not JobKind.SERVICE or task.phase is not TaskPhase.BOUND or job.cancelled:
                    continue
                if job not in self._room:
                    self._room[job] = elsewhere(self.cluster, job)
                if movable[job] < self._room[job]:
                    movable[job] += 1
                else:
                    bound += 1
            # Those that stay would come back where they are: they lose their machine for the others' sake.
            if movable.total() > bound:
                found.append((machine, movable.total()))
                for job, count in movable.items():
                    self._room[job] -= count
        return found

    def _given_up(self, machine: Machine, now: int, since: int, alive: int) -> bool:
        """It holds no replica that could be elsewhere: is the rest of what it runs worth keeping it?"""
        if any(task.job.kind is JobKind.SERVICE and not task.job.cancelled for task in machine.tasks):
            return now - since > KEEP_BOUND
        if now > alive + micros(machine.type.boot_time_s):
            return True
        return self.fleet.availability.replacement_available(machine, now) and now >= min(
            self._done_by(machine, since), alive
        )

    def _done_by(self, machine: Machine, since: int) -> int:
        """When its tasks are done, as predicted; those of an earlier leader ran before it was last heard."""
        predictor = self.cluster.predictor
        return max(
            ((t.running_since or since) + predictor.run_time(t.job.job_id, t.job.spec) for t in machine.tasks),
            default=since,
        )
