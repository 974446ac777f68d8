"""Where pending tasks go: one planning pass over the pending queue binds as many as possible.

Machines are filtered (`feasibility.py`), then scored (`scoring.py`) and ranked (`candidate_search.py`). Gangs are
placed whole (`gang_placement.py`), and what finds no capacity may preempt others (`preemption.py`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport import wire
from oatport.control.placement.candidate_search import CandidateSearch
from oatport.control.placement.feasibility import FeasibilityFilter
from oatport.control.placement.gang_placement import GangPlacer
from oatport.control.placement.preemption import PreemptionPlanner
from oatport.control.placement.scoring import MachineScorer
from oatport.control.placement.wakeup import Wakeup
from oatport.control.placement.warm_start import WARM_START_WAIT, WarmStarts
from oatport.control.queueing.pending_queue import EquivalenceClass
from oatport.control.state.capacity import max_tasks_per_zone
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK, Job, JobKind
from oatport.control.state.machine import Machine
from oatport.times import SECOND

UNWRITTEN_BINDINGS_MAX = 24  # beyond which best-effort tasks wait
UNWRITTEN_BINDINGS_PAUSE = SECOND // 10
PASS_INTERVAL_MAX = 2 * SECOND  # a pass though nothing is known to have changed: a guard, not a means


@dataclass(slots=True)
class InfeasibleRequests:
    """Requests that found no capacity in this pass: nothing as large will either."""

    _requests: dict[tuple[object, ...], list[tuple[float, float, float]]] = field(default_factory=dict)

    def add(self, equivalence: tuple[object, ...], spec: wire.Submission) -> None:
        """A task of this size found none; `equivalence`: all else that decides about capacity."""
        self._requests.setdefault(equivalence, []).append((spec.cpus, spec.gpus, spec.memory_gb))

    def covers(self, equivalence: tuple[object, ...], spec: wire.Submission) -> bool:
        """A task that wants no more found none."""
        return any(
            spec.cpus >= cpus and spec.gpus >= gpus and spec.memory_gb >= memory_gb
            for cpus, gpus, memory_gb in self._requests.get(equivalence, ())
        )


@dataclass(slots=True)
class PlacementPass:
    """What one pass looks at."""

    now: int
    usable: list[Machine]
    with_capacity: list[Machine]  # usable machines on which the smallest pending task may fit
    smallest_cpus: float  # the least that a pending task takes
    zones: set[str]
    infeasible: InfeasibleRequests = field(default_factory=InfeasibleRequests)
    bindings_when_filtered: int = 0  # bindings of this pass when full machines were last dropped

    @classmethod
    def begin(cls, now: int, usable: list[Machine], smallest_cpus: float) -> PlacementPass:
        """Most machines are full most of the time: no job looks at those where none that is pending would fit."""
        with_capacity = [m for m in usable if m.free_cpus >= smallest_cpus]
        return cls(now, usable, with_capacity, smallest_cpus, {m.zone for m in usable})

    def drop_full_machines(self, bindings: int) -> None:
        """Filter again, once enough tasks were bound for it to be worth the cost."""
        if bindings - self.bindings_when_filtered > len(self.with_capacity) // 4:
            self.bindings_when_filtered = bindings
            self.with_capacity = [m for m in self.with_capacity if m.free_cpus >= self.smallest_cpus]

    def exclude(self, kept: set[Machine]) -> None:
        """These are kept for a job: the others do without."""
        self.usable = [m for m in self.usable if m not in kept]
        self.with_capacity = [m for m in self.with_capacity if m not in kept]


@dataclass(slots=True)
class TaskPlacement:
    """How many tasks of a job were bound; if it waits for a machine with its image, the one that it falls back on."""

    bound_count: int
    fallback: Machine | None = None


class Placer:
    """Binds pending tasks to machines."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._wakeup = Wakeup()
        self.feasibility = FeasibilityFilter(cluster)
        self._scorer = MachineScorer(cluster)
        self.candidates = CandidateSearch(cluster, self.feasibility, self._scorer)
        self._gangs = GangPlacer(cluster, self.feasibility)
        self.preemption = PreemptionPlanner(cluster, self.feasibility, self._wakeup)
        self._warm_starts = WarmStarts(self._scorer, self.preemption)

    def is_due(self, now: int) -> bool:
        """Is a pass worth its cost: has anything changed since the last one that could matter to it?

        Full machines with thousands of tasks pending were searched again and again for capacity that could not be
        there. What frees capacity or changes the queue sets `planning_needed`; what only time brings is noted as a
        wakeup.
        """
        return self._cluster.planning_needed or (bool(self._cluster.pending) and now >= self._wakeup.at)

    def plan(self, now: int) -> int:
        """Bind as many pending tasks as possible; returns how many."""
        cluster = self._cluster
        cluster.planning_needed = False
        cluster.now = now
        self._wakeup.reset(now + PASS_INTERVAL_MAX)
        usable = cluster.refresh_usable_machines(now)
        if not cluster.pending:
            return 0
        self._note_cordons(now)
        current = self._begin_pass(now, usable)
        bound_count = 0
        for equivalence_class, job in cluster.pending.walk():
            startable = self._startable_tasks(job, equivalence_class, current)
            if startable <= 0:
                continue
            if job.kind is JobKind.GANG:
                bound_count += self._place_gang(job, current)
            else:
                bound_count += self._place_tasks(job, startable, equivalence_class, current)
            current.drop_full_machines(len(self.candidates.bound))
        return bound_count

    def _note_cordons(self, now: int) -> None:
        for machine in self._cluster.machines.values():
            if machine.cordoned_until > now:
                self._wakeup.no_later_than(machine.cordoned_until)

    def _begin_pass(self, now: int, usable: list[Machine]) -> PlacementPass:
        current = PlacementPass.begin(now, usable, self._cluster.pending.smallest_cpus() - 1e-9)
        self._scorer.start_pass(usable)
        self.candidates.start_pass(current.with_capacity)
        self._gangs.start_pass()
        return current

    def _startable_tasks(self, job: Job, equivalence_class: EquivalenceClass, current: PlacementPass) -> int:
        """How many tasks of a job may start now, were there capacity."""
        if job.retry_at > current.now:
            self._wakeup.no_later_than(job.retry_at)
            return 0
        if job.orphaned_attempt_count:
            return 0
        startable = self._within_quota(job, equivalence_class, current.now)
        if job.priority_rank == IDLE_RANK and len(self._cluster.writes.urgent_keys) > UNWRITTEN_BINDINGS_MAX:
            # Capacity that is bound but not written down can't be given to anybody else.
            self._wakeup.no_later_than(current.now + UNWRITTEN_BINDINGS_PAUSE)
            equivalence_class.exhausted = equivalence_class.interchangeable
            return 0
        if job.suspected_faulty and job.kind is not JobKind.GANG:
            startable = min(startable, 1 - job.placed_task_count)  # one is enough to see whether it fails again
        if startable > 0 and job.spec.spread and self._zones_are_full(job, current.zones):
            return 0  # while a zone is partitioned, those that belong there look for nothing elsewhere
        return startable

    @staticmethod
    def _zones_are_full(job: Job, zones: set[str]) -> bool:
        limit = max_tasks_per_zone(job.spec)
        return all(job.tasks_by_zone.get(zone, 0) >= limit for zone in zones)

    def _within_quota(self, job: Job, equivalence_class: EquivalenceClass, now: int) -> int:
        """How many pending tasks of a job its team's limit allows; at the limit the team's own work may be stopped."""
        quotas = self._cluster.quotas
        usage = quotas.get(job.spec.team)
        allowed = min(job.pending, quotas.remaining_tasks(job.spec))
        if usage is not None and allowed < (job.pending if job.kind is JobKind.GANG else 1):
            self.preemption.preempt_own_team(job, now)
            # The others of its class are of the same team, and want as much.
            can_preempt = any(usage.array_tasks_by_priority[job.priority_rank + 1 :])
            equivalence_class.exhausted = equivalence_class.interchangeable and not can_preempt
        return allowed

    def _place_gang(self, job: Job, current: PlacementPass) -> int:
        """Bind a whole gang, or free capacity and keep machines for it; returns the number of tasks that were bound."""
        machines = self._gangs.place(job, current.with_capacity, current.now)
        if machines:
            self.candidates.bound += machines
            # What machines with GPUs have left beside a gang is capacity for those that found none before.
            self._cluster.planning_needed = True
        elif not job.placed_task_count and not job.suspected_faulty:
            self.preemption.preempt(job, current.usable, current.now)
            kept = self._gangs.machines_to_keep(job, current.with_capacity, current.now)
            if kept:
                self._keep(kept, current)
        return len(machines)

    def _keep(self, kept: set[Machine], current: PlacementPass) -> None:
        """Keep some machines for a job: what is left is for the others."""
        self.candidates.exclude(kept)
        current.exclude(kept)

    def _place_tasks(
        self, job: Job, startable: int, equivalence_class: EquivalenceClass, current: PlacementPass
    ) -> int:
        """Bind tasks that start one by one; returns how many were bound."""
        spec = job.spec
        key = self._capacity_key(job)
        any_zone = not (spec.spread or spec.single_zone)
        if any_zone and current.infeasible.covers(key, spec):
            equivalence_class.exhausted = equivalence_class.interchangeable
            return 0
        placement = self._bind_tasks(job, startable, current)
        if placement.fallback is not None:
            # Nobody else takes the capacity that it falls back on, which may have been made for it.
            self._keep({placement.fallback}, current)
            self._wakeup.no_later_than(current.now + WARM_START_WAIT // 4)
        elif placement.bound_count < startable:
            if any_zone:
                current.infeasible.add(key, spec)
            equivalence_class.exhausted = equivalence_class.interchangeable
            self.preemption.preempt(job, current.usable, current.now)
        return placement.bound_count

    def _capacity_key(self, job: Job) -> tuple[object, ...]:
        """All that decides about capacity for a job's tasks besides their size."""
        spec = job.spec
        return (
            spec.spot,
            job.tier,
            spec.zone,
            tuple(spec.machine_types) if spec.machine_types else None,
            job.priority_rank,
            self.candidates.gpus_available and job.runtime_bucket,
        )

    def _bind_tasks(self, job: Job, startable: int, current: PlacementPass) -> TaskPlacement:
        bound_count = 0
        while bound_count < startable:
            machine = self.candidates.best(job, current.with_capacity)
            if machine is None:
                break
            if job.kind is JobKind.SERVICE and self._warm_starts.should_wait(job, machine, current.usable, current.now):
                return TaskPlacement(bound_count, machine)
            self._cluster.tasks.begin_binding(job, machine, current.now)
            self.candidates.bound.append(machine)
            bound_count += 1
        return TaskPlacement(bound_count)
