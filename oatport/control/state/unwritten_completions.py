"""Completions of tasks that no record says yet: replicated to the other nodes, taken over from earlier leaders."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oatport import wire
from oatport.control.state.completions import MAX_COMPLETIONS, Completion
from oatport.control.state.identifiers import split_task
from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState

log = logging.getLogger(__name__)


class UnwrittenCompletions:
    """Completions that were reported and may be in no record yet."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.may_miss_earlier_completions = False  # earlier leaders may have received some that nobody reports now
        self.unwritten: dict[tuple[Job, int], int] = {}  # completed tasks -> the attempt; maybe in no record
        self.new: list[Completion] = []  # of these, not replicated yet

    def note(self, task: Task) -> None:
        """A task was completed: to be replicated until it is recorded."""
        self.unwritten[task.job, task.index] = task.attempt
        if len(self.new) < MAX_COMPLETIONS:
            self.new.append((task.job.job_id, task.index, task.attempt))

    def _known_only_from(self, machine: Machine) -> list[tuple[Job, int]]:
        """Completed tasks that are in no record yet: the next leader would hear of them from this machine alone."""
        found: list[tuple[Job, int]] = []
        for name, _ in machine.terminated_attempts:
            parts = split_task(name)
            job = self.cluster.jobs.get(parts[0]) if parts else None
            if job is None or parts is None or job.cancelled or parts[1] not in job.completed:
                continue
            if job.completing or self.cluster.writes.is_unwritten(job, parts[1]):
                found.append((job, parts[1]))
        return found

    def to_replicate(self) -> list[Completion]:
        """Those that are in no record yet."""
        for job, index in list(self.unwritten):
            if (
                self.cluster.jobs.get(job.job_id) is not job
                or job.cancelled
                or not (job.completing or self.cluster.writes.is_unwritten(job, index))
            ):
                del self.unwritten[job, index]
        return [(job.job_id, index, attempt) for (job, index), attempt in self.unwritten.items()][:MAX_COMPLETIONS]

    def drain_new(self) -> list[Completion]:
        """Those that came since this was last asked."""
        new, self.new = self.new, []
        return new

    def apply(self, completions: list[Completion]) -> None:
        """What earlier leaders received and may not have recorded.

        The attempt was reported as terminated, so it is on no machine; one that began since is left to its own report.
        """
        for job_id, index, attempt in completions:
            job = self.cluster.jobs.get(job_id)
            task = job.tasks.get(index) if job is not None else None
            if job is None or task is None or job.kind is JobKind.SERVICE or job.cancelled or task.retry_exhausted:
                continue
            if task.phase is TaskPhase.BOUND and (task.attempt != attempt or task.binding_at):
                continue
            log.info("task completed under an earlier leader task=%s", task.name)
            if task.index in job.retry_queue:
                job.retry_queue.remove(task.index)
            self.cluster.tasks.complete(task, self.cluster.now, measured=False)
            if not job.pending:
                self.cluster.pending.discard(job)

    def apply_late(self, machine: Machine, report: wire.Heartbeat) -> None:
        """That an attempt was completed is true in a message of any age.

        The epochs of a machine that was back at once began anew: what it reported after an old copy had arrived was
        taken for older, and answered all the same.
        """
        done = {
            (row.task_name, row.attempt)
            for row in report.tasks
            if row.status == wire.TaskStatus.EXITED and row.exit_reason == wire.ExitReason.COMPLETED
        }
        for task in [task for task in machine.tasks if (task.name, task.attempt) in done] if done else ():
            if task.phase is TaskPhase.BOUND and task.job.kind is not JobKind.SERVICE:
                self.cluster.tasks.complete(task, self.cluster.now, measured=False)

    def may_hold_unknown_completions(self, machine: Machine, now: int, until: int) -> bool:
        """A silent machine that may come back and report completions that nobody else knows any more.

        All nodes ended in an outage, and with them what had been reported and not recorded; or the last leader was
        partitioned from the others as well as from the state service, and still received heartbeats. `until` (steady):
        by then the leases have ended that an earlier leader gave, and with them what the machine could report.
        """
        return (
            self.may_miss_earlier_completions
            and now < until
            and not machine.last_heartbeat_at
            and any(not task.binding_at for task in machine.finite_tasks)
        )

    def has_unwritten_completions(self, machine: Machine) -> bool:
        """It must not be released yet: it holds completions that are written nowhere else.

        Machines that were drained, or silent for 5 s, were once released between a report of a completion and its
        record. When that record was late and the leader ended, the next one found the task on a machine that was gone,
        and ran it again.
        """
        found = self._known_only_from(machine)
        self._expedite(found)
        return bool(found)

    def expedite(self, machine: Machine) -> None:
        """What only this machine reports is written at once: it will soon report nothing any more."""
        self._expedite(self._known_only_from(machine))

    def _expedite(self, completions: list[tuple[Job, int]]) -> None:
        for job, index in completions:
            for key in self.cluster.writes.task_record_keys(job, index):
                self.cluster.writes.expedite(key)
