"""Task completions that are in no record yet: replicated to the other nodes, and taken over from earlier leaders."""

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
    """Holds the completions that were reported and may be in no record yet."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.may_miss_earlier_completions = False  # earlier leaders may have received some that no node has
        self.unwritten: dict[tuple[Job, int], int] = {}  # completed task -> its attempt; possibly in no record
        self.unreplicated: list[Completion] = []  # those of `unwritten` that are not replicated yet

    def on_completed(self, task: Task) -> None:
        """Adds the completion of a task, to be replicated until it is recorded."""
        self.unwritten[task.job, task.index] = task.attempt
        if len(self.unreplicated) < MAX_COMPLETIONS:
            self.unreplicated.append((task.job.job_id, task.index, task.attempt))

    def _unwritten_on(self, machine: Machine) -> list[tuple[Job, int]]:
        """Returns completed tasks in no record yet, which only this machine could report to the next leader."""
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
        """Returns the completions that are in no record yet, and drops the recorded ones."""
        for job, index in list(self.unwritten):
            if (
                self.cluster.jobs.get(job.job_id) is not job
                or job.cancelled
                or not (job.completing or self.cluster.writes.is_unwritten(job, index))
            ):
                del self.unwritten[job, index]
        return [(job.job_id, index, attempt) for (job, index), attempt in self.unwritten.items()][:MAX_COMPLETIONS]

    def drain_new(self) -> list[Completion]:
        """Returns the completions added since the last call, and clears them."""
        unreplicated, self.unreplicated = self.unreplicated, []
        return unreplicated

    def apply(self, completions: list[Completion]) -> None:
        """Applies completions that earlier leaders received and may not have recorded.

        The attempt was reported as terminated, so it is on no machine. A later attempt is updated by heartbeats.
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

    def apply_stale_heartbeat(self, machine: Machine, report: wire.Heartbeat) -> None:
        """Applies the completions of an out-of-order heartbeat, as a completion is final whatever the message's age.

        A machine that restarted at once counted its epochs from the start again: after a delayed copy of an old
        heartbeat had arrived, its new heartbeats were taken for older ones, though they were answered.
        """
        finished = {
            (row.task_name, row.attempt)
            for row in report.tasks
            if row.status == wire.TaskStatus.EXITED and row.exit_reason == wire.ExitReason.COMPLETED
        }
        for task in [task for task in machine.tasks if (task.name, task.attempt) in finished] if finished else ():
            if task.phase is TaskPhase.BOUND and task.job.kind is not JobKind.SERVICE:
                self.cluster.tasks.complete(task, self.cluster.now, measured=False)

    def may_hold_unknown_completions(self, machine: Machine, now: int, until: int) -> bool:
        """Returns whether a silent machine may return and report completions that no node has any more.

        This happens when all nodes stopped in an outage, losing reported but unrecorded completions, or when the last
        leader was partitioned from the other nodes and the state service but still received heartbeats. `until`
        (steady) is when the leases granted by earlier leaders have expired, and with them what the machine could
        report.
        """
        return (
            self.may_miss_earlier_completions
            and now < until
            and not machine.last_heartbeat_at
            and any(not task.binding_at for task in machine.finite_tasks)
        )

    def has_unwritten_completions(self, machine: Machine) -> bool:
        """Returns whether a machine may not be released yet, as it reports completions in no record; expedites these.

        Machines that were drained, or silent for 5 s, were released between the report of a completion and its record.
        When the record was delayed and the leader's term ended, the next leader found the task bound to a machine that
        was gone, and ran the task again.
        """
        found = self._unwritten_on(machine)
        self._expedite(found)
        return bool(found)

    def expedite(self, machine: Machine) -> None:
        """Expedites the records of completions that only this machine reports, as its heartbeats will end soon."""
        self._expedite(self._unwritten_on(machine))

    def _expedite(self, completions: list[tuple[Job, int]]) -> None:
        for job, index in completions:
            for key in self.cluster.writes.task_record_keys(job, index):
                self.cluster.writes.expedite(key)
