"""Places pending tasks: one planning pass over the pending queue binds as many tasks as possible.

Machines are filtered (`feasibility.py`), then scored (`scoring.py`) and ranked (`candidate_search.py`). Gangs are
placed whole (`gang_placement.py`), and a job that finds no capacity may preempt others (`preemption.py`).
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

UNWRITTEN_BINDINGS_MAX = 24  # with more bindings not yet recorded, best-effort tasks are not bound
UNWRITTEN_BINDINGS_PAUSE = SECOND // 10  # until the number of unwritten bindings is checked again
# A pass runs after this time even if no change was noted. It guards against a missed change; nothing relies on it.
PASS_INTERVAL_MAX = 2 * SECOND


@dataclass(slots=True)
class InfeasibleRequests:
    """Records the requests that found no capacity in this pass; equal or larger ones will find none either."""

    _requests: dict[tuple[object, ...], list[tuple[float, float, float]]] = field(default_factory=dict)

    def add(self, equivalence: tuple[object, ...], spec: wire.Submission) -> None:
        """Records that a task of this size found no capacity; `equivalence`: everything but size that affects it."""
        self._requests.setdefault(equivalence, []).append((spec.cpus, spec.gpus, spec.memory_gb))

    def covers(self, equivalence: tuple[object, ...], spec: wire.Submission) -> bool:
        """Returns whether a request of the same or a smaller size has already found no capacity."""
        return any(
            spec.cpus >= cpus and spec.gpus >= gpus and spec.memory_gb >= memory_gb
            for cpus, gpus, memory_gb in self._requests.get(equivalence, ())
        )


@dataclass(slots=True)
class PlacementPass:
    """Holds the inputs and the working state of one planning pass."""

    now: int
    usable: list[Machine]
    with_capacity: list[Machine]  # usable machines on which the smallest pending task may fit
    smallest_cpus: float  # the smallest CPU request of a pending task
    zones: set[str]
    infeasible: InfeasibleRequests = field(default_factory=InfeasibleRequests)
    bindings_when_filtered: int = 0  # bindings of this pass when full machines were last dropped

    @classmethod
    def begin(cls, now: int, usable: list[Machine], smallest_cpus: float) -> PlacementPass:
        """Returns a pass without the machines that have too few free CPUs for any pending task.

        Most machines are full most of the time, so this spares every job from examining them.
        """
        with_capacity = [m for m in usable if m.free_cpus >= smallest_cpus]
        return cls(now, usable, with_capacity, smallest_cpus, {m.zone for m in usable})

    def drop_full_machines(self, bindings: int) -> None:
        """Filters out full machines again, once enough tasks were bound for it to be worth the cost."""
        if bindings - self.bindings_when_filtered > len(self.with_capacity) // 4:
            self.bindings_when_filtered = bindings
            self.with_capacity = [m for m in self.with_capacity if m.free_cpus >= self.smallest_cpus]

    def exclude(self, reserved: set[Machine]) -> None:
        """Removes machines that are reserved for a job from the rest of the pass."""
        self.usable = [m for m in self.usable if m not in reserved]
        self.with_capacity = [m for m in self.with_capacity if m not in reserved]


@dataclass(slots=True)
class TaskPlacement:
    """Holds the outcome of placing a job's tasks one by one."""

    bound_count: int
    fallback: Machine | None = None  # the machine to use if no machine with the replica's image becomes free in time


class Placer:
    """Binds pending tasks to machines, in planning passes."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._wakeup = Wakeup()
        self.feasibility = FeasibilityFilter(cluster)
        self._scorer = MachineScorer(cluster)
        self.candidates = CandidateSearch(cluster, self.feasibility, self._scorer)
        self._gang_placer = GangPlacer(cluster, self.feasibility)
        self.preemption = PreemptionPlanner(cluster, self.feasibility, self._wakeup)
        self._warm_starts = WarmStarts(self._scorer, self.preemption)

    def is_due(self, now: int) -> bool:
        """Returns whether anything has changed since the last pass that could let it bind more tasks.

        Without this check, full machines were searched again and again for thousands of pending tasks though no
        capacity could have become free. Events that free capacity or change the queue set `planning_needed`; changes
        that depend on time alone are noted in the wakeup.
        """
        return self._cluster.planning_needed or (bool(self._cluster.pending) and now >= self._wakeup.at)

    def plan(self, now: int) -> int:
        """Binds as many pending tasks as possible; returns how many."""
        cluster = self._cluster
        cluster.planning_needed = False
        cluster.now = now
        self._wakeup.reset(now + PASS_INTERVAL_MAX)
        usable = cluster.refresh_usable_machines(now)
        if not cluster.pending:
            return 0
        self._schedule_wakeups_for_cordons(now)
        planning_pass = self._begin_pass(now, usable)
        bound_count = 0
        for equivalence_class, job in cluster.pending.walk():
            startable = self._startable_tasks(job, equivalence_class, planning_pass)
            if startable <= 0:
                continue
            if job.kind is JobKind.GANG:
                bound_count += self._place_gang(job, planning_pass)
            else:
                bound_count += self._place_tasks(job, startable, equivalence_class, planning_pass)
            planning_pass.drop_full_machines(len(self.candidates.bound_machines))
        return bound_count

    def _schedule_wakeups_for_cordons(self, now: int) -> None:
        for machine in self._cluster.machines.values():
            if machine.cordoned_until > now:
                self._wakeup.schedule_by(machine.cordoned_until)

    def _begin_pass(self, now: int, usable: list[Machine]) -> PlacementPass:
        planning_pass = PlacementPass.begin(now, usable, self._cluster.pending.smallest_cpus() - 1e-9)
        self._scorer.start_pass(usable)
        self.candidates.start_pass(planning_pass.with_capacity)
        self._gang_placer.start_pass()
        return planning_pass

    def _startable_tasks(self, job: Job, equivalence_class: EquivalenceClass, planning_pass: PlacementPass) -> int:
        """Returns how many tasks of a job may start now if capacity is found."""
        if job.retry_at > planning_pass.now:
            self._wakeup.schedule_by(job.retry_at)
            return 0
        if job.orphaned_attempt_count:
            return 0
        startable = self._tasks_within_quota(job, equivalence_class, planning_pass.now)
        if job.priority_rank == IDLE_RANK and len(self._cluster.writes.urgent_keys) > UNWRITTEN_BINDINGS_MAX:
            # Capacity that is bound but not yet recorded cannot be given to any other work.
            self._wakeup.schedule_by(planning_pass.now + UNWRITTEN_BINDINGS_PAUSE)
            equivalence_class.exhausted = equivalence_class.interchangeable
            return 0
        if job.suspected_faulty and job.kind is not JobKind.GANG:
            startable = min(startable, 1 - job.placed_task_count)  # one task shows whether the job fails again
        if startable > 0 and job.spec.spread and self._is_every_zone_full(job, planning_pass.zones):
            return 0  # while a zone is partitioned, the tasks that belong there are not placed in other zones
        return startable

    @staticmethod
    def _is_every_zone_full(job: Job, zones: set[str]) -> bool:
        limit = max_tasks_per_zone(job.spec)
        return all(job.tasks_by_zone.get(zone, 0) >= limit for zone in zones)

    def _tasks_within_quota(self, job: Job, equivalence_class: EquivalenceClass, now: int) -> int:
        """Returns how many pending tasks of a job its team's quota allows.

        At the quota, the team's own work of lower priority may be stopped for the job.
        """
        quotas = self._cluster.quotas
        usage = quotas.get(job.spec.team)
        allowed = min(job.pending, quotas.remaining_tasks(job.spec))
        if usage is not None and allowed < (job.pending if job.kind is JobKind.GANG else 1):
            self.preemption.preempt_own_team(job, now)
            # All jobs of the class are of the same team and request the same resources.
            can_preempt = any(usage.array_tasks_by_priority[job.priority_rank + 1 :])
            equivalence_class.exhausted = equivalence_class.interchangeable and not can_preempt
        return allowed

    def _place_gang(self, job: Job, planning_pass: PlacementPass) -> int:
        """Binds a whole gang, or preempts and reserves machines for it; returns the number of tasks that were bound."""
        machines = self._gang_placer.place(job, planning_pass.with_capacity, planning_pass.now)
        if machines:
            self.candidates.bound_machines += machines
            # Machines with GPUs may have capacity left beside the gang for jobs that found none earlier in the pass.
            self._cluster.planning_needed = True
        elif not job.placed_task_count and not job.suspected_faulty:
            self.preemption.preempt(job, planning_pass.usable, planning_pass.now)
            reserved = self._gang_placer.machines_to_reserve(job, planning_pass.with_capacity, planning_pass.now)
            if reserved:
                self._reserve(reserved, planning_pass)
        return len(machines)

    def _reserve(self, reserved: set[Machine], planning_pass: PlacementPass) -> None:
        """Reserves machines for a job: the other jobs of the pass are placed on the rest."""
        self.candidates.exclude(reserved)
        planning_pass.exclude(reserved)

    def _place_tasks(
        self, job: Job, startable: int, equivalence_class: EquivalenceClass, planning_pass: PlacementPass
    ) -> int:
        """Binds tasks that start independently of each other; returns how many were bound."""
        spec = job.spec
        key = self._capacity_key(job)
        can_use_any_zone = not (spec.spread or spec.single_zone)
        if can_use_any_zone and planning_pass.infeasible.covers(key, spec):
            equivalence_class.exhausted = equivalence_class.interchangeable
            return 0
        placement = self._bind_tasks(job, startable, planning_pass)
        if placement.fallback is not None:
            # No other job takes the fallback's capacity, which may have been freed for this replica.
            self._reserve({placement.fallback}, planning_pass)
            self._wakeup.schedule_by(planning_pass.now + WARM_START_WAIT // 4)
        elif placement.bound_count < startable:
            if can_use_any_zone:
                planning_pass.infeasible.add(key, spec)
            equivalence_class.exhausted = equivalence_class.interchangeable
            self.preemption.preempt(job, planning_pass.usable, planning_pass.now)
        return placement.bound_count

    def _capacity_key(self, job: Job) -> tuple[object, ...]:
        """Returns everything that decides whether a job's tasks find capacity, except their size."""
        spec = job.spec
        return (
            spec.spot,
            job.tier,
            spec.zone,
            tuple(spec.machine_types) if spec.machine_types else None,
            job.priority_rank,
            self.candidates.has_gpu_machines and job.runtime_bucket,
        )

    def _bind_tasks(self, job: Job, startable: int, planning_pass: PlacementPass) -> TaskPlacement:
        bound_count = 0
        while bound_count < startable:
            machine = self.candidates.best(job, planning_pass.with_capacity)
            if machine is None:
                break
            if job.kind is JobKind.SERVICE and self._warm_starts.should_wait(
                job, machine, planning_pass.usable, planning_pass.now
            ):
                return TaskPlacement(bound_count, machine)
            self._cluster.tasks.begin_binding(job, machine, planning_pass.now)
            self.candidates.bound_machines.append(machine)
            bound_count += 1
        return TaskPlacement(bound_count)
