"""Preemption: capacity for work of higher priority, for teams that lack their guarantee, and within a team's quota."""

from __future__ import annotations

from dataclasses import dataclass

from oatport.control.placement.feasibility import FeasibilityFilter
from oatport.control.placement.victim_selection import EPSILON, VictimSearch, VictimSelector
from oatport.control.placement.wakeup import Wakeup
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK, Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.quota import TeamUsage
from oatport.control.state.task import Task, TaskPhase
from oatport.times import SECOND

# How long a job that has looked for victims waits until it looks again.
PREEMPTION_INTERVAL = 4 * SECOND
BEST_EFFORT_PREEMPTION_INTERVAL = SECOND
FAILED_SEARCH_INTERVAL = SECOND // 2

# Tasks to free capacity for in one round.
TASKS_PER_ROUND = 8
TASKS_PER_BEST_EFFORT_ROUND = 64


@dataclass(slots=True)
class QuotaShortfall:
    """What a job wants beyond its team's limits."""

    cpus: float
    gpus: float

    @classmethod
    def of(cls, job: Job, usage: TeamUsage) -> QuotaShortfall:
        """The shortfall for all pending tasks of a job; a resource without a limit lacks nothing."""
        limits = usage.limits
        cpus = job.spec.cpus * job.pending
        gpus = job.spec.gpus * job.pending
        cpus -= max(limits.cpus_max - usage.cpus, 0.0) if limits.cpus_max > 0 else cpus
        gpus -= max(limits.gpus_max - usage.gpus, 0.0) if limits.gpus_max > 0 else gpus
        return cls(cpus, gpus)

    def subtract(self, tasks: list[Task]) -> None:
        """These tasks leave."""
        self.cpus -= sum(task.job.spec.cpus for task in tasks)
        self.gpus -= sum(task.job.spec.gpus for task in tasks)

    def is_reduced_by(self, task: Task) -> bool:
        """Does it help if the task leaves?"""
        spec = task.job.spec
        return (self.cpus > EPSILON and spec.cpus > 0) or (self.gpus > EPSILON and spec.gpus > 0)


class PreemptionPlanner:
    """Stops running tasks for those of a job, and notes when it is worth looking again."""

    def __init__(self, cluster: ClusterState, feasibility: FeasibilityFilter, wakeup: Wakeup) -> None:
        self._cluster = cluster
        self._wakeup = wakeup
        self.victims = VictimSelector(cluster, feasibility)

    def preempt(
        self, job: Job, usable: list[Machine], now: int, *, failed_search_interval: int = FAILED_SEARCH_INTERVAL
    ) -> None:
        """Free capacity for a job of higher priority, or for a team that lacks its guarantee.

        A search in vain is not repeated for `failed_search_interval`: it looks at every task of every machine.
        """
        if job.suspected_faulty or not self._may_preempt(job, now):
            return
        if job.preempt_after > now:
            self._wakeup.no_later_than(job.preempt_after)
            return
        for_guarantee = self._is_for_guarantee(job, now)
        wanted = self._tasks_per_round(job, for_guarantee)
        victims = self.victims.cheapest(VictimSearch(job, wanted, for_guarantee, now), usable)
        only_best_effort = all(victim.job.priority_rank == IDLE_RANK for victim in victims)
        if not victims:
            job.preempt_after = now + failed_search_interval
        else:
            job.preempt_after = now + (BEST_EFFORT_PREEMPTION_INTERVAL if only_best_effort else PREEMPTION_INTERVAL)
        self._wakeup.no_later_than(max(job.preempt_after, now + FAILED_SEARCH_INTERVAL))
        for victim in victims:
            self._stop(victim)

    def _tasks_per_round(self, job: Job, for_guarantee: bool) -> int:
        """Best-effort tasks give way at once; of others a few are stopped at a time."""
        if job.kind is JobKind.GANG:
            return 1
        best_effort = self._cluster.tasks.bound_by_priority[IDLE_RANK] > 0 and not for_guarantee
        return min(job.pending, TASKS_PER_BEST_EFFORT_ROUND if best_effort else TASKS_PER_ROUND)

    def _stop(self, victim: Task) -> None:
        """Stop a task; of a gang all."""
        stopped = victim.job.tasks.values() if victim.job.kind is JobKind.GANG else (victim,)
        for task in list(stopped):
            if task.phase is TaskPhase.BOUND:
                self._cluster.tasks.stop(task, victim.job.spec.stop_grace_s)

    def _may_preempt(self, job: Job, now: int) -> bool:
        """Is there anybody at all whom it may stop? If only later, that is when to look again."""
        tasks_by_priority = self._cluster.tasks.bound_by_priority
        if any(tasks_by_priority[job.priority_rank + 1 :]):
            return True
        if not job.within_guarantee or not tasks_by_priority[job.priority_rank]:
            return False
        if self._is_for_guarantee(job, now):
            return True
        if job.unplaced_since:
            self._wakeup.no_later_than(job.unplaced_since + self._guarantee_patience() + 1)
        return False

    def _is_for_guarantee(self, job: Job, now: int) -> bool:
        """May it stop other teams' work of its own priority? Only after a moment: capacity may just come free."""
        return (
            job.within_guarantee and bool(job.unplaced_since) and now - job.unplaced_since > self._guarantee_patience()
        )

    def _guarantee_patience(self) -> int:
        return self._cluster.tuning.duration_us("guarantee_patience_s")

    def preempt_own_team(self, job: Job, now: int) -> None:
        """Its team is at its limit: stop the team's own work of lower priority, the youngest first.

        A service once waited 60 s for its team's own arrays.
        """
        usage = self._cluster.quotas[job.spec.team]
        # Looked for among all that the team runs, for each of its pending jobs twice a second: only if there is any.
        if job.suspected_faulty or not any(usage.array_tasks_by_priority[job.priority_rank + 1 :]):
            return
        if job.preempt_after > now:
            self._wakeup.no_later_than(job.preempt_after)
            return
        shortfall = QuotaShortfall.of(job, usage)
        lower = self._lower_tasks_of_team(job)
        shortfall.subtract([task for task in lower if task.stop_grace_s is not None])  # they free some already
        job.preempt_after = now + FAILED_SEARCH_INTERVAL
        self._wakeup.no_later_than(job.preempt_after)
        for task in sorted(lower, key=lambda t: (-t.job.priority_rank, now - (t.running_since or now), t.name)):
            if task.stop_grace_s is None and shortfall.is_reduced_by(task):
                shortfall.subtract([task])
                self._cluster.tasks.stop(task, task.job.spec.stop_grace_s)

    def _lower_tasks_of_team(self, job: Job) -> list[Task]:
        """Array tasks of the team with a lower priority that may be stopped."""
        return [
            task
            for other in self._cluster.jobs.values()
            if other.spec.team == job.spec.team
            and other.priority_rank > job.priority_rank
            and other.kind is JobKind.ARRAY
            and not other.at_most_once
            for task in other.tasks.values()
            if task.phase is TaskPhase.BOUND
        ]
