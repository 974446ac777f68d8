"""The lifecycle of jobs in the leader's view: acceptance, deferral, cancellation, failure and removal."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oatport import wire
from oatport.control.placement.retry_policy import RetryPolicy
from oatport.control.state.cancellations import renewals_allowed_until
from oatport.control.state.job import DeferredStart, Job, JobKind
from oatport.control.state.task import Task, TaskPhase
from oatport.control.storage.keys import cancel_key, live_key

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState

log = logging.getLogger(__name__)


class JobLifecycle:
    """Carries out the state changes of whole jobs, from acceptance to the removal of their records."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster

    def add(self, job_id: str, spec: wire.Submission, version: int, submitted_at: int) -> Job:
        """Adds an accepted job that no other job blocks, and returns it; returns the existing job if there is one."""
        job = self.cluster.jobs.get(job_id)
        if job is None:
            job = self.cluster.jobs[job_id] = Job(job_id, spec, version, submitted_at)
            self.cluster.writes.versions[live_key(job_id)] = version
            self.admit(job)
            self.on_accepted(job)
            if job_id in self.cluster.quotas.attempts_of_unknown_jobs:
                self.cluster.orphans.resolve(job_id, spec)
            if job_id in self.cluster.dependencies.confirmed_cancellations:
                self.cancel(job_id, 0, self.cluster.dependencies.confirmed_cancellations[job_id])
        return job

    def admit(self, job: Job) -> None:
        """Makes a job eligible to start: adds it to the pending queue."""
        policy = self.cluster.retry_policies.get(job.spec.job_class, RetryPolicy.ANY)
        job.at_most_once = policy is not RetryPolicy.ANY and job.kind is not JobKind.SERVICE
        job.unplaced_since = self.cluster.now or 1
        self.cluster.pending.add(job)
        self.cluster.planning_needed = True
        self.cluster.dependencies.graph.mark_resolved(job.job_id)
        self.cluster.dependencies.graph.dirty[job.job_id] = None

    def on_accepted(self, job: Job) -> None:
        """Counts an accepted job in the statistics."""
        job.in_statistics = True
        self.cluster.job_statistics.on_accepted(job)

    def set_urgency(self, job: Job, priority_rank: int, inherited_deadlines: list[int]) -> None:
        """Sets the priority and deadlines that a job inherits from dependents, and recounts its tasks by priority."""
        if priority_rank == job.priority_rank and inherited_deadlines == job.inherited_deadlines:
            return
        for task in job.tasks.values():
            if task.machine is not None:
                self.cluster.tasks.count_priority(task, task.machine, -1)
        job.priority_rank = priority_rank
        for task in job.tasks.values():
            if task.machine is not None:
                self.cluster.tasks.count_priority(task, task.machine, 1)
        job.inherited_deadlines, job.deadlines = inherited_deadlines, None
        job.deadline_at = job.attainable_deadline = 0
        self.cluster.pending.reroute(job)
        self.cluster.planning_needed = True

    def cancel(self, job_id: str, mark_version: int, confirmed_after: int = 0) -> None:
        """Cancels a job whose cancellation was confirmed to its user: none of its tasks starts any more, all must stop.

        All jobs that depend on it are cancelled too. `mark_version` is the revision of its cancellation mark under
        `live/`; 0 if the cancellation is confirmed but not yet read from the records. `confirmed_after` (steady) is a
        lower bound on the time of the confirmation, as far as known.
        """
        self.cluster.dependencies.cancel_dependents(job_id)
        job = self.cluster.jobs.get(job_id)
        if job is None:
            self.cluster.dependencies.cancel_blocked(job_id, mark_version)
            return
        if mark_version:
            self.cluster.writes.versions[cancel_key(job_id)] = mark_version
        if job.failure_reason:  # the user cancelled the job before its failure was recorded
            job.failure_reason, job.completing, job.cancelled_after = "", False, confirmed_after
            self.cluster.writes.jobs_to_complete.pop(job, None)
        if job.cancelled:
            self.delete_if_gone(job)
            return
        job.cancelled = True
        job.cancelled_after = confirmed_after
        self.cluster.pending.discard(job)
        self.cluster.writes.jobs_to_complete.pop(job, None)
        self._cancel_tasks(job)

    def cancel_confirmed(self, job_id: str, mark_version: int, confirmed_after: int) -> None:
        """Cancels a job whose cancellation a node confirmed to its user, even if the job is not in the view yet."""
        if (
            job_id not in self.cluster.jobs
            and job_id not in self.cluster.dependencies.blocked_jobs
            and job_id not in self.cluster.writes.jobs_to_cancel
        ):
            self.cluster.dependencies.remember_cancelled(job_id, confirmed_after)
        self.cancel(job_id, mark_version, confirmed_after)

    def _cancel_tasks(self, job: Job) -> None:
        """Unbinds tasks that are not started yet, and stops those on machines."""
        for task in list(job.tasks.values()):
            if task.phase is TaskPhase.BINDING:
                self.cluster.tasks.unbind(task)
            elif task.phase is TaskPhase.BOUND:
                self.cluster.tasks.stop(task, 0.0)
        self.delete_if_gone(job)

    def fail(self, task: Task, cause: str) -> None:
        """Fails the job of a task that may not run again: stops its other tasks, then has the failure recorded.

        The next record of the task itself marks it as not to be retried, which holds for any later leader.
        """
        job = task.job
        if task.machine is not None:
            self.cluster.tasks.unbind(task)
        task.retry_exhausted = True
        self.cluster.writes.mark_dirty(task, urgent=True)
        if job.cancelled or job.completing:
            self.delete_if_gone(job)
            return
        log.info('job failed job=%s task=%d cause="%s"', job.job_id, task.index, cause)
        job.failure_reason, job.cancelled = cause, True
        self.cluster.pending.discard(job)
        self._cancel_tasks(job)

    def cancellation_watermark(self, known_at: int) -> int:
        """Returns the time (steady) up to which all confirmed cancellations are known and their tasks proven gone.

        `known_at` is the time up to which they are known. Returns 0 while there are orphaned attempts, as these may
        belong to a cancelled job.
        """
        if any(machine.orphaned_attempts for machine in self.cluster.machines.values()):
            return 0
        remaining = [
            job.cancelled_after
            for job in self.cluster.jobs.values()
            if job.cancelled and (job.placed_task_count or job.orphaned_attempt_count)
        ]
        return min([known_at, *remaining])

    def defer(self, job: Job, start_limit: int, deferral: DeferredStart) -> None:
        """Lets only the first `start_limit` tasks of a job start; recorded, so that the next leader defers it too."""
        job.start_limit, job.deferral = start_limit, deferral
        if not job.pending:
            self.cluster.pending.discard(job)
        elif not (job.cancelled or job.completing):
            self.cluster.pending.add(job)
        self.cluster.planning_needed = True
        deferral.write_count += 1
        self.cluster.writes.dirty_keys[live_key(job.job_id)] = None

    def release_deferred(self, job: Job, count: int) -> None:
        """Lets `count` more tasks of a deferred job start; not written, as the recorded plan already includes them."""
        if job.start_limit < 0 or job.cancelled or job.completing:
            return
        job.start_limit = min(max(job.start_limit, job.next_unbound_index) + count, job.spec.task_count)
        if job not in self.cluster.pending:
            job.unplaced_since = self.cluster.now or 1
        self.cluster.pending.add(job)
        self.cluster.planning_needed = True

    def delete_if_gone(self, job: Job) -> None:
        """Has a cancelled job's records deleted, or its failure recorded, once none of its attempts is on a machine."""
        if not job.cancelled or job.placed_task_count or job.orphaned_attempt_count:
            return
        if job.failure_reason:
            job.completing = True
            self.cluster.writes.jobs_to_complete[job] = None
        elif self.cluster.writes.versions.get(cancel_key(job.job_id)):
            # The keys are deleted only once the mark's revision was read, since the mark is deleted along with them.
            self.cluster.writes.jobs_to_delete[job] = None

    def lease_renewal_bound(self, job: Job) -> int:
        """Returns until when (steady) leases of workers that may run tasks of a cancelled job may be renewed."""
        return renewals_allowed_until(self.cluster.settings.workers, job.cancelled_after)

    def remove(self, job: Job) -> None:
        """Removes a job from the view after its completion or the deletion of its records was committed."""
        self.cluster.jobs.pop(job.job_id, None)
        if job.in_statistics:
            job.in_statistics = False
            self.cluster.job_statistics.on_finished(job)
        self.cluster.jobs_with_changed_counts.pop(job, None)
        self.cluster.pending.discard(job)
        self.cluster.predictor.forget_job(job.job_id)
        self.cluster.writes.forget_job(job)
