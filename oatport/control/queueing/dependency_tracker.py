"""Tracks jobs that are blocked by their dependencies, separately from the unfinished jobs until they are released.

Blocked jobs therefore do not count towards quotas, guarantees, queues or starvation, and add no cost to planning. Once
all its dependencies are recorded as completed, a job becomes an ordinary unfinished job; its first binding writes
`live/JOB` and deletes `waits/JOB`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from oatport.control.queueing.dependency_graph import DependencyGraph, DependencyState, Urgency, earlier_deadlines
from oatport.control.state.job import NORMAL_RANK, PRIORITIES, Job, JobKind
from oatport.control.storage.keys import blocked_key, cancel_key
from oatport.times import SECOND

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState

log = logging.getLogger(__name__)

# Time from the end of a stage's last task to the start of the next stage's first: heartbeat, record, binding, command.
STAGE_LATENCY = 2 * SECOND
MAX_LISTED_JOBS = 10  # job ids in one line of text
MAX_REMEMBERED_CANCELLATIONS = 10_000


class DependencyTracker:
    """Holds the accepted jobs that are blocked by others, and the urgency that jobs inherit from their dependents."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.graph = DependencyGraph()
        self.blocked_jobs: dict[str, Job] = {}  # by id
        self.on_released: Callable[[Job], None] = lambda job: None
        # Cancelled jobs that this leader does not know, with the time after which that was confirmed (steady clock).
        self.confirmed_cancellations: dict[str, int] = {}
        self.inherited_urgency: dict[str, Urgency] = {}  # of blocked jobs, from their dependents

    # --- blocking and release -----------------------------------------------------------------

    def state_of(self, job_id: str) -> DependencyState:
        """Returns the state of a job that others depend on, as far as this leader knows."""
        job = self.cluster.jobs.get(job_id)
        if job is not None:
            return DependencyState.CANCELLED if job.cancelled and not job.failure_reason else DependencyState.OPEN
        if job_id in self.blocked_jobs:
            return DependencyState.OPEN
        return DependencyState.CANCELLED if job_id in self.confirmed_cancellations else DependencyState.UNKNOWN

    def add_blocked(self, job: Job) -> None:
        """Adds an accepted job that depends on others and of which no task was ever bound."""
        if (
            job.job_id in self.cluster.jobs
            or job.job_id in self.blocked_jobs
            or job.job_id in self.cluster.writes.jobs_to_cancel
        ):
            return
        self.cluster.writes.versions[blocked_key(job.job_id)] = job.version
        self.graph.mark_resolved(job.job_id)
        self.cluster.job_lifecycle.on_accepted(job)
        state = self.graph.add(job.job_id, job.dependencies, self.state_of)
        if job.job_id in self.confirmed_cancellations:
            self.blocked_jobs[job.job_id] = job
            self.cancel_blocked(job.job_id, 0)
        elif state is DependencyState.OPEN:
            self.blocked_jobs[job.job_id] = job
            log.info(
                "job blocked job=%s dependencies=%s", job.job_id, format_job_ids(self.graph.dependencies_of(job.job_id))
            )
        elif state is DependencyState.CANCELLED:
            self._cancel_blocked(job)
        else:
            self._release(job)

    def _release(self, job: Job) -> None:
        log.info("job released job=%s", job.job_id)
        self.inherited_urgency.pop(job.job_id, None)
        self.cluster.jobs[job.job_id] = job
        self.cluster.job_lifecycle.admit(job)
        self.on_released(job)

    def on_completion_recorded(self, job_id: str, at: int) -> None:
        """Releases the jobs whose last unmet dependency is recorded as completed at `at` (time of day).

        No dependent of the completed job counts as eligible before `at`.
        """
        outcome = self.graph.complete(job_id)
        for dependent_id in outcome.dependents:
            job = self.blocked_jobs[dependent_id]
            job.eligible_at = max(job.eligible_at, at)
        for dependent_id in outcome.released:
            self._release(self.blocked_jobs.pop(dependent_id))

    # --- cancellation -------------------------------------------------------------------------

    def cancel_dependents(self, job_id: str) -> None:
        """Cancels all jobs that depend, directly or transitively, on a job that was cancelled."""
        for dependent_id in self.graph.cancel(job_id):
            job = self.blocked_jobs.pop(dependent_id)
            log.info("dependent job cancelled job=%s dependency=%s", dependent_id, job_id)
            self._cancel_blocked(job)

    def _cancel_blocked(self, job: Job) -> None:
        job.cancelled = True
        self.inherited_urgency.pop(job.job_id, None)
        self.cluster.writes.jobs_to_cancel[job.job_id] = job

    def cancel_blocked(self, job_id: str, mark_version: int) -> None:
        """Cancels a blocked job at the request of its own user.

        If the cancellation is recorded already, the job's remaining records are deleted. With `mark_version` 0, another
        node reported the cancellation, which may also follow from a dependency: it is then recorded in the same way as
        that of a job whose dependency was cancelled, on the condition that it is not recorded yet.
        """
        job = self.blocked_jobs.pop(job_id, None) or self.cluster.writes.jobs_to_cancel.pop(job_id, None)
        if job is None:
            return
        if not mark_version:
            self.graph.remove(job_id)
            self._cancel_blocked(job)
            return
        job.cancelled = True
        self.inherited_urgency.pop(job_id, None)
        self.cluster.writes.versions[cancel_key(job_id)] = mark_version
        self.cluster.writes.jobs_to_delete[job] = None

    def remember_cancelled(self, job_id: str, confirmed_after: int) -> None:
        """Stores a cancellation that was confirmed to the user, of a job that this leader does not know.

        Either the job was accepted while the records could not be read, or it has ended. If it becomes known later,
        none of its tasks starts. The number of entries is bounded; the binding of a job whose entry was dropped fails
        by its transaction condition.
        """
        self.confirmed_cancellations.setdefault(job_id, confirmed_after)  # the first confirmation counts
        if len(self.confirmed_cancellations) > MAX_REMEMBERED_CANCELLATIONS:
            del self.confirmed_cancellations[next(iter(self.confirmed_cancellations))]

    # --- urgency ------------------------------------------------------------------------------

    def _urgency(self, job_id: str) -> tuple[Urgency, int]:
        """Returns a blocked job's effective urgency and duration, for `DependencyGraph.inherited_urgency`."""
        job = self.blocked_jobs[job_id]
        inherited = self.inherited_urgency.get(job_id)
        deadlines = tuple(self.cluster.objectives.deadlines_of(job))
        rank = stage_priority_rank(job)
        if inherited is not None:
            rank = min(rank, inherited.priority_rank)
            deadlines = earlier_deadlines(deadlines, inherited.deadlines)
        return Urgency(rank, deadlines), self.cluster.predictor.run_time(
            job_id, job.spec
        ) + self.cluster.catalog.image_fetch_us(job) + STAGE_LATENCY

    def propagate_urgency(self) -> None:
        """Propagates deadlines and priorities from dependents to their dependencies, where jobs were added or removed.

        Each changed job is processed once, however many jobs depend on it.
        """
        dirty = self.graph.dirty
        while dirty:
            job_id = next(iter(dirty))
            del dirty[job_id]
            job = self.blocked_jobs.get(job_id) or self.cluster.jobs.get(job_id)
            if job is None:
                continue
            inherited = self.graph.inherited_urgency(job_id, self._urgency)
            if job_id in self.blocked_jobs:
                if inherited != self.inherited_urgency.get(job_id):
                    if inherited is None:
                        del self.inherited_urgency[job_id]
                    else:
                        self.inherited_urgency[job_id] = inherited
                    dirty.update(dict.fromkeys(self.graph.dependencies_of(job_id)))
                continue
            own_rank = stage_priority_rank(job)
            rank = (
                own_rank if inherited is None or job.kind is JobKind.SERVICE else min(own_rank, inherited.priority_rank)
            )
            self.cluster.job_lifecycle.set_urgency(
                job, rank, list(inherited.deadlines) if inherited is not None else []
            )

    def explain(self, job_id: str) -> str:
        """Returns a text that names the jobs for which a blocked job waits; empty if the job is not blocked."""
        failed = [
            dependency
            for dependency in self.graph.dependencies_of(job_id)
            if dependency in self.cluster.jobs and self.cluster.jobs[dependency].failure_reason
        ]
        text = f"waits for {format_job_ids(self.graph.dependencies_of(job_id))}" if job_id in self.blocked_jobs else ""
        return text + (f"; lost, so that it waits until it is cancelled: {format_job_ids(failed)}" if failed else "")


def stage_priority_rank(job: Job) -> int:
    """Returns a job's own priority rank, which for a job with dependencies is never best-effort.

    Such a job is a stage of a pipeline for whose result users wait. Users set the priority that they need only on the
    last job, and some submit that job after the others have ended. Without this rule, a stage of the lowest priority
    waited 100 to 200 s behind everything else.
    """
    own_rank = PRIORITIES[job.spec.priority]
    return min(own_rank, NORMAL_RANK) if job.dependencies else own_rank


def format_job_ids(job_ids: list[str]) -> str:
    """Returns the first of the job ids and the number of the others, for one line of text."""
    more = len(job_ids) - MAX_LISTED_JOBS
    return ", ".join(job_ids[:MAX_LISTED_JOBS]) + (f" and {more} more" if more > 0 else "")
