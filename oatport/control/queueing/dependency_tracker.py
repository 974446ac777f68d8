"""Jobs that are blocked by their dependencies: kept apart from the unfinished ones until they are released.

So they count for no quota, guarantee, queue or starvation, and cost planning nothing. A job whose dependencies are all
completed, by their records, becomes an unfinished job as any; its first binding writes `live/JOB` and deletes
`waits/JOB`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from oatport.control.queueing.dependency_graph import DependencyGraph, DependencyState, Urgency, earlier
from oatport.control.state.job import NORMAL_RANK, PRIORITIES, Job, JobKind
from oatport.control.storage.keys import blocked_key, cancel_key
from oatport.times import SECOND

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState

log = logging.getLogger(__name__)

STAGE_LATENCY = 2 * SECOND  # from a stage's last task to the next one's first: heartbeat, record, binding, command
MAX_LISTED_JOBS = 10  # in one line
MAX_REMEMBERED_CANCELLATIONS = 10_000


class DependencyTracker:
    """Accepted jobs that are blocked by others, and the urgency that jobs inherit from those that depend on them."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.graph = DependencyGraph()
        self.blocked_jobs: dict[str, Job] = {}  # by id
        self.on_released: Callable[[Job], None] = lambda job: None
        self.confirmed_cancellations: dict[str, int] = {}  # jobs not known here -> confirmed after (steady)
        self.inherited_urgency: dict[str, Urgency] = {}  # of blocked jobs, from their dependents

    # --- waiting and release ------------------------------------------------------------------

    def state_of(self, job_id: str) -> DependencyState:
        """How a job stands that others depend on, as far as this leader knows."""
        job = self.cluster.jobs.get(job_id)
        if job is not None:
            return DependencyState.CANCELLED if job.cancelled and not job.failure_reason else DependencyState.OPEN
        if job_id in self.blocked_jobs:
            return DependencyState.OPEN
        return DependencyState.CANCELLED if job_id in self.confirmed_cancellations else DependencyState.UNKNOWN

    def add_blocked(self, job: Job) -> None:
        """An accepted job that depends on others, no task of which was ever bound."""
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
                "job blocked job=%s dependencies=%s", job.job_id, list_job_ids(self.graph.dependencies_of(job.job_id))
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
        """It is recorded as completed since `at` (time of day): dependents of it may be released."""
        outcome = self.graph.complete(job_id)
        for name in outcome.dependents:
            job = self.blocked_jobs[name]
            job.eligible_at = max(job.eligible_at, at)
        for name in outcome.released:
            self._release(self.blocked_jobs.pop(name))

    # --- cancellation -------------------------------------------------------------------------

    def cancel_dependents(self, job_id: str) -> None:
        """It was cancelled, and with it all jobs that depend on it."""
        for name in self.graph.cancel(job_id):
            job = self.blocked_jobs.pop(name)
            log.info("dependent job cancelled job=%s dependency=%s", name, job_id)
            self._cancel_blocked(job)

    def _cancel_blocked(self, job: Job) -> None:
        job.cancelled = True
        self.inherited_urgency.pop(job.job_id, None)
        self.cluster.writes.jobs_to_cancel[job.job_id] = job

    def cancel_blocked(self, job_id: str, mark_version: int) -> None:
        """Its own user cancelled it: that is recorded already, and what is left of it is deleted.

        Without the version of its mark (0) that was only received from a node, and may as well follow from a
        dependency: it is recorded like a job whose dependency was cancelled, on the condition that it isn't recorded
        yet.
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
        """Its user was told so, and it isn't known here: accepted while the records could not be read, or over.

        Should it become known, nothing of it starts. Bounded: what is forgotten fails by the condition of its binding.
        """
        self.confirmed_cancellations.setdefault(job_id, confirmed_after)  # confirmed again, it wasn't confirmed later
        if len(self.confirmed_cancellations) > MAX_REMEMBERED_CANCELLATIONS:
            del self.confirmed_cancellations[next(iter(self.confirmed_cancellations))]

    # --- urgency ------------------------------------------------------------------------------

    def _urgency(self, job_id: str) -> tuple[Urgency, int]:
        """A blocked job's urgency, and the time that it takes: what `DependencyGraph.inherited_urgency` asks."""
        job = self.blocked_jobs[job_id]
        inherited = self.inherited_urgency.get(job_id)
        deadlines = tuple(self.cluster.objectives.deadlines_of(job))
        rank = stage_priority_rank(job)
        if inherited is not None:
            rank = min(rank, inherited.priority_rank)
            deadlines = earlier(deadlines, inherited.deadlines)
        return Urgency(rank, deadlines), self.cluster.predictor.run_time(
            job_id, job.spec
        ) + self.cluster.catalog.image_fetch_us(job) + STAGE_LATENCY

    def propagate_urgency(self) -> None:
        """Carry deadlines and priorities back where jobs came or went: each job once, however many depend on it."""
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
            own = stage_priority_rank(job)
            rank = own if inherited is None or job.kind is JobKind.SERVICE else min(own, inherited.priority_rank)
            self.cluster.job_lifecycle.set_urgency(
                job, rank, list(inherited.deadlines) if inherited is not None else []
            )

    def explain(self, job_id: str) -> str:
        """What a blocked job waits for, in words; empty if it isn't blocked."""
        failed = [
            dependency
            for dependency in self.graph.dependencies_of(job_id)
            if dependency in self.cluster.jobs and self.cluster.jobs[dependency].failure_reason
        ]
        text = f"waits for {list_job_ids(self.graph.dependencies_of(job_id))}" if job_id in self.blocked_jobs else ""
        return text + (f"; lost, so that it waits until it is cancelled: {list_job_ids(failed)}" if failed else "")


def stage_priority_rank(job: Job) -> int:
    """A job's own priority rank; one with dependencies is a stage of what somebody waits for, hence not best-effort.

    Users set the priority that they care about on the last job only, and some submit that when the others are over: a
    stage of the lowest priority then waited 100 to 200 s behind everything else.
    """
    own = PRIORITIES[job.spec.priority]
    return min(own, NORMAL_RANK) if job.dependencies else own


def list_job_ids(job_ids: list[str]) -> str:
    """Some of the jobs, for one line of text."""
    more = len(job_ids) - MAX_LISTED_JOBS
    return ", ".join(job_ids[:MAX_LISTED_JOBS]) + (f" and {more} more" if more > 0 else "")
