"""What only machines tell: attempts that no record puts there, and ends that no record says yet."""

from __future__ import annotations

import logging

from oatport import wire
from oatport.control.state.completions import ROWS_MOST, Completion
from oatport.control.state.identifiers import split_task
from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import TaskPhase
from oatport.control.state.task_lifecycle import TaskLifecycle

log = logging.getLogger(__name__)


def _ref_of(name: str) -> str:
    """The job that a machine names a task of; a name of another form stands for itself."""
    parts = split_task(name)
    return parts[0] if parts else name


class OrphanedAttempts(TaskLifecycle):
    # --- attempts that no record puts where they are ------------------------------------------

    def _add_orphan(self, machine: Machine, key: tuple[str, int]) -> None:
        """It counts for its team and its job's zones as any task does, until a report or a release proves it gone."""
        log.info("stray task %s attempt %d on %s", *key, machine.name)
        ref = _ref_of(key[0])
        job = self.jobs.get(ref)
        machine.orphaned_attempts[key] = (job, job.spec if job is not None else None)
        if job is not None:
            job.orphaned_attempt_count += 1
            self.count_usage(job, job.spec, machine, 1)
        else:
            self.quotas.unknown[ref] += 1
        self.machines_to_command.add(machine)

    def _remove_orphan(self, machine: Machine, key: tuple[str, int]) -> None:
        job, spec = machine.orphaned_attempts.pop(key)
        ref = _ref_of(key[0])
        if spec is not None:
            self.count_usage(job, spec, machine, -1)
        elif ref in self.quotas.unknown:  # else nobody submitted it
            self.quotas.lost_sight(ref)
        self.planning_needed = True
        if job is not None and self.jobs.get(ref) is job:  # else its end is recorded
            job.orphaned_attempt_count = max(0, job.orphaned_attempt_count - 1)
            self._delete_if_gone(job)

    def resolve_orphaned_attempts(self, ref: str, spec: wire.Submission | None) -> None:
        job = self.jobs.get(ref)
        for machine in self.machines.values():
            for key, (_, known) in list(machine.orphaned_attempts.items()):
                if known is not None or _ref_of(key[0]) != ref:
                    continue
                machine.orphaned_attempts[key] = (job, spec)
                if spec is not None:
                    self.count_usage(job, spec, machine, 1)
                if job is not None:
                    job.orphaned_attempt_count += 1
        self.quotas.unknown.pop(ref, None)
        self.planning_needed = True

    # --- ends that no record says yet -----------------------------------------------------------

    def _completions_known_only_from(self, machine: Machine) -> list[tuple[Job, int]]:
        """Tasks that are done, which no record says yet: this machine alone would tell the next leader so."""
        found: list[tuple[Job, int]] = []
        for name, _ in machine.terminated_attempts:
            parts = split_task(name)
            job = self.jobs.get(parts[0]) if parts else None
            if job is None or parts is None or job.cancelled or parts[1] not in job.completed:
                continue
            if job.completing or self.is_unwritten(job, parts[1]):
                found.append((job, parts[1]))
        return found

    def completions_to_replicate(self) -> list[Completion]:
        """Ends that are in no record yet."""
        for job, index in list(self.unwritten_completions):
            if (
                self.jobs.get(job.job_id) is not job
                or job.cancelled
                or not (job.completing or self.is_unwritten(job, index))
            ):
                del self.unwritten_completions[job, index]
        return [(job.job_id, index, attempt) for (job, index), attempt in self.unwritten_completions.items()][
            :ROWS_MOST
        ]

    def take_new_completions(self) -> list[Completion]:
        """Those that came since this was last asked."""
        new, self.new_completions = self.new_completions, []
        return new

    def apply_completions(self, ends: list[Completion]) -> None:
        """What earlier leaders took in and may not have recorded.

        The attempt was reported as ended, so it is on no machine; one that began since is left to its own report.
        """
        for ref, index, attempt in ends:
            job = self.jobs.get(ref)
            task = job.tasks.get(index) if job is not None else None
            if job is None or task is None or job.kind is JobKind.SERVICE or job.cancelled or task.retry_exhausted:
                continue
            if task.phase is TaskPhase.BOUND and (task.attempt != attempt or task.binding_at):
                continue
            log.info("task %s was done under an earlier leader", task.name)
            if task.index in job.retry_queue:
                job.retry_queue.remove(task.index)
            self.complete_task(task, self.now, measured=False)
            if not job.pending:
                self.pending.discard(job)

    def apply_late_completions(self, machine: Machine, report: wire.Heartbeat) -> None:
        """That an attempt was done is true in a message of any age.

        The sessions of a machine that was back within a blink began anew: what it told after an old copy had come was
        taken for older, and answered all the same.
        """
        done = {
            (row.task_name, row.attempt)
            for row in report.tasks
            if row.status == wire.TaskStatus.EXITED and row.exit_reason == wire.ExitReason.COMPLETED
        }
        for task in [task for task in machine.tasks if (task.name, task.attempt) in done] if done else ():
            if task.phase is TaskPhase.BOUND and task.job.kind is not JobKind.SERVICE:
                self.complete_task(task, self.now, measured=False)

    def may_report_unknown_completions(self, machine: Machine, now: int, until: int) -> bool:
        """A silent machine that may come back and tell of ends that nobody else knows any more.

        All nodes ended in an outage, and with them what had been reported and not recorded; or the last leader was cut
        off from the others as well as from the state service, and was still reported to. `until` (steady): by then
        the leases have ended that an earlier leader gave, and with them what the machine could tell.
        """
        return (
            self.completions_unknown
            and now < until
            and not machine.last_heartbeat_at
            and any(not task.binding_at for task in machine.finite_tasks)
        )

    def holds_unwritten_completions(self, machine: Machine) -> bool:
        """It must not be returned or given up yet: it holds ends that are written nowhere else.

        Machines that were drained, or silent for 5 s, were once returned between the report of an end and its record.
        When that record was late and the leader ended, the next one found the task on a machine that was gone, and ran
        it again.
        """
        found = self._completions_known_only_from(machine)
        self._expedite(found)
        return bool(found)

    def expedite_completions(self, machine: Machine) -> None:
        """What only this machine tells is written at once: it will soon tell nothing any more."""
        self._expedite(self._completions_known_only_from(machine))

    def _expedite(self, ends: list[tuple[Job, int]]) -> None:
        for job, index in ends:
            for key in self.task_record_keys(job, index):
                if key in self.dirty_keys:
                    del self.dirty_keys[key]
                    self.urgent_keys[key] = 0
