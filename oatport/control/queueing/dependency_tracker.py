"""Jobs that wait for others, in the leader's view: kept apart from the unfinished ones until they are released.

So they count for no limit, guarantee, queue or hunger, and cost no pass anything. Whose needed jobs are all done, by
their records, becomes an unfinished job as any; its first claim writes `live/REF` and drops `waits/REF`.
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

STEP = 2 * SECOND  # between a stage's last task and the next one's first: report, record, claim, command
NAMED_MOST = 10  # jobs that are named in one line
REMEMBERED_MOST = 10_000


class DependencyTracker:
    """Accepted jobs that wait for others, and what those that need them ask of the jobs before them."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.graph = DependencyGraph()
        self.blocked_jobs: dict[str, Job] = {}  # jobs that wait for others
        self.on_released: Callable[[Job], None] = lambda job: None
        self.confirmed_cancellations: dict[str, int] = {}  # jobs not known here -> told after this (steady)
        self.inherited_urgency: dict[str, Urgency] = {}  # what is asked of waiting jobs by those that need them

    # --- waiting and release ------------------------------------------------------------------

    def state_of(self, ref: str) -> DependencyState:
        job = self.cluster.jobs.get(ref)
        if job is not None:
            return DependencyState.CANCELLED if job.cancelled and not job.failure_reason else DependencyState.OPEN
        if ref in self.blocked_jobs:
            return DependencyState.OPEN
        return DependencyState.CANCELLED if ref in self.confirmed_cancellations else DependencyState.UNKNOWN

    def add_blocked(self, job: Job) -> None:
        """An accepted job that names others, no task of which was ever claimed."""
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
            log.info("job %s waits for %s", job.job_id, list_job_ids(self.graph.dependencies_of(job.job_id)))
        elif state is DependencyState.CANCELLED:
            self._cancel_blocked(job)
        else:
            self._release(job)

    def _release(self, job: Job) -> None:
        log.info("job %s is released", job.job_id)
        self.inherited_urgency.pop(job.job_id, None)
        self.cluster.jobs[job.job_id] = job
        self.cluster.job_lifecycle.admit(job)
        self.on_released(job)

    def on_completion_recorded(self, ref: str, at: int) -> None:
        """That it is done is recorded, since then (time of day)."""
        outcome = self.graph.complete(ref)
        for name in outcome.dependents:
            job = self.blocked_jobs[name]
            job.eligible_at = max(job.eligible_at, at)
        for name in outcome.released:
            self._release(self.blocked_jobs.pop(name))

    # --- cancellation -------------------------------------------------------------------------

    def cancel_dependents(self, ref: str) -> None:
        """It was cancelled, and with it all that need it."""
        for name in self.graph.cancel(ref):
            job = self.blocked_jobs.pop(name)
            log.info("job %s is cancelled with %s", name, ref)
            self._cancel_blocked(job)

    def _cancel_blocked(self, job: Job) -> None:
        job.cancelled = True
        self.inherited_urgency.pop(job.job_id, None)
        self.cluster.writes.jobs_to_cancel[job.job_id] = job

    def cancel_blocked(self, ref: str, mark_version: int) -> None:
        """Its own user cancelled it: that is recorded already, and what is left of it goes.

        Without the version of its mark (0) that is only told, and may as well follow from a needed job: it is recorded
        like a job whose needed one was cancelled, on the condition that it isn't recorded yet.
        """
        job = self.blocked_jobs.pop(ref, None) or self.cluster.writes.jobs_to_cancel.pop(ref, None)
        if job is None:
            return
        if not mark_version:
            self.graph.remove(ref)
            self._cancel_blocked(job)
            return
        job.cancelled = True
        self.inherited_urgency.pop(ref, None)
        self.cluster.writes.versions[cancel_key(ref)] = mark_version
        self.cluster.writes.jobs_to_delete[job] = None

    def remember_cancelled(self, ref: str, told_after: int) -> None:
        """Its user was told so, and nothing is known of it here: accepted while the records could not be read, or over.

        Should it be heard of, nothing of it starts. Bounded: what is forgotten fails by the condition of its claim.
        """
        self.confirmed_cancellations.setdefault(ref, told_after)  # told again it was told no later
        if len(self.confirmed_cancellations) > REMEMBERED_MOST:
            del self.confirmed_cancellations[next(iter(self.confirmed_cancellations))]

    # --- urgency ------------------------------------------------------------------------------

    def _urgency(self, ref: str) -> tuple[Urgency, int]:
        """A waiting job's urgency, and the time that it takes: what `Pipelines.wanted` asks."""
        job = self.blocked_jobs[ref]
        asked = self.inherited_urgency.get(ref)
        dues = tuple(self.cluster.objectives.deadlines_of(job))
        rank = stage_priority_rank(job)
        if asked is not None:
            rank = min(rank, asked.priority_rank)
            dues = earlier(dues, asked.deadlines)
        return Urgency(rank, dues), self.cluster.predictor.run_time(
            ref, job.spec
        ) + self.cluster.catalog.image_fetch_us(job) + STEP

    def propagate_urgency(self) -> None:
        """Carry deadlines and priorities back, where jobs came or went. Each job once, however many need it."""
        stale = self.graph.dirty
        while stale:
            ref = next(iter(stale))
            del stale[ref]
            job = self.blocked_jobs.get(ref) or self.cluster.jobs.get(ref)
            if job is None:
                continue
            asked = self.graph.inherited_urgency(ref, self._urgency)
            if ref in self.blocked_jobs:
                if asked != self.inherited_urgency.get(ref):
                    if asked is None:
                        del self.inherited_urgency[ref]
                    else:
                        self.inherited_urgency[ref] = asked
                    stale.update(dict.fromkeys(self.graph.dependencies_of(ref)))
                continue
            own = stage_priority_rank(job)
            rank = own if asked is None or job.kind is JobKind.SERVICE else min(own, asked.priority_rank)
            self.cluster.job_lifecycle.set_urgency(job, rank, list(asked.deadlines) if asked is not None else [])

    def explain(self, ref: str) -> str:
        """What a waiting job waits for, in words; empty if it doesn't wait for others."""
        lost = [
            need
            for need in self.graph.dependencies_of(ref)
            if need in self.cluster.jobs and self.cluster.jobs[need].failure_reason
        ]
        text = f"waits for {list_job_ids(self.graph.dependencies_of(ref))}" if ref in self.blocked_jobs else ""
        return text + (f"; lost, so that it waits until it is cancelled: {list_job_ids(lost)}" if lost else "")


def stage_priority_rank(job: Job) -> int:
    """A job's own priority. One that names others is a stage of what somebody waits for, which is no idle work.

    Users set the priority that they care about on the last job only, and some submit that when the others are over: a
    stage of the lowest priority then waited 100 to 200 s behind everything else.
    """
    own = PRIORITIES[job.spec.priority]
    return min(own, NORMAL_RANK) if job.dependencies else own


def list_job_ids(refs: list[str]) -> str:
    more = len(refs) - NAMED_MOST
    return ", ".join(refs[:NAMED_MOST]) + (f" and {more} more" if more > 0 else "")
