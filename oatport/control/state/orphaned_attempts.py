"""What only machines tell: attempts that no record puts there, and ends that no record says yet."""

from __future__ import annotations

import logging

from oatport import wire
from oatport.control.state.completions import ROWS_MOST, End
from oatport.control.state.model import Job, Kind, Machine, Phase, split_task
from oatport.control.state.task_lifecycle import TaskLifecycle

log = logging.getLogger(__name__)


def _ref_of(name: str) -> str:
    """The job that a machine names a task of; a name of another form stands for itself."""
    parts = split_task(name)
    return parts[0] if parts else name


class OrphanedAttempts(TaskLifecycle):
    # --- attempts that no record puts where they are ------------------------------------------

    def _stray_came(self, machine: Machine, key: tuple[str, int]) -> None:
        """It counts for its team and its job's zones as any task does, until a report or a release proves it gone."""
        log.info("stray task %s attempt %d on %s", *key, machine.name)
        ref = _ref_of(key[0])
        job = self.jobs.get(ref)
        machine.strays[key] = (job, job.spec if job is not None else None)
        if job is not None:
            job.strays += 1
            self.occupy(job, job.spec, machine, 1)
        else:
            self.teams.unknown[ref] += 1
        self.to_send.add(machine)

    def _stray_left(self, machine: Machine, key: tuple[str, int]) -> None:
        job, spec = machine.strays.pop(key)
        ref = _ref_of(key[0])
        if spec is not None:
            self.occupy(job, spec, machine, -1)
        elif ref in self.teams.unknown:  # else nobody submitted it
            self.teams.lost_sight(ref)
        self.replan = True
        if job is not None and self.jobs.get(ref) is job:  # else its end is recorded
            job.strays = max(0, job.strays - 1)
            self._clean_if_gone(job)

    def settle_strays(self, ref: str, spec: wire.Submission | None) -> None:
        job = self.jobs.get(ref)
        for machine in self.machines.values():
            for key, (_, known) in list(machine.strays.items()):
                if known is not None or _ref_of(key[0]) != ref:
                    continue
                machine.strays[key] = (job, spec)
                if spec is not None:
                    self.occupy(job, spec, machine, 1)
                if job is not None:
                    job.strays += 1
        self.teams.unknown.pop(ref, None)
        self.replan = True

    # --- ends that no record says yet -----------------------------------------------------------

    def _only_told_here(self, machine: Machine) -> list[tuple[Job, int]]:
        """Tasks that are done, which no record says yet: this machine alone would tell the next leader so."""
        found: list[tuple[Job, int]] = []
        for name, _ in machine.ended:
            parts = split_task(name)
            job = self.jobs.get(parts[0]) if parts else None
            if job is None or parts is None or job.cancelled or parts[1] not in job.done:
                continue
            if job.finishing or self.unwritten(job, parts[1]):
                found.append((job, parts[1]))
        return found

    def ends_to_tell(self) -> list[End]:
        """Ends that are in no record yet."""
        for job, index in list(self.unwritten_ends):
            if self.jobs.get(job.ref) is not job or job.cancelled or not (job.finishing or self.unwritten(job, index)):
                del self.unwritten_ends[job, index]
        return [(job.ref, index, attempt) for (job, index), attempt in self.unwritten_ends.items()][:ROWS_MOST]

    def take_new_ends(self) -> list[End]:
        """Those that came since this was last asked."""
        new, self.new_ends = self.new_ends, []
        return new

    def take_ends(self, ends: list[End]) -> None:
        """What earlier leaders took in and may not have recorded.

        The attempt was reported as ended, so it is on no machine; one that began since is left to its own report.
        """
        for ref, index, attempt in ends:
            job = self.jobs.get(ref)
            task = job.tasks.get(index) if job is not None else None
            if job is None or task is None or job.kind is Kind.SERVICE or job.cancelled or task.spent:
                continue
            if task.phase is Phase.PLACED and (task.attempt != attempt or task.claimed_at):
                continue
            log.info("task %s was done under an earlier leader", task.name)
            if task.index in job.again:
                job.again.remove(task.index)
            self.finish_task(task, self.now, measured=False)
            if not job.pending:
                self.waiting.discard(job)

    def take_old_ends(self, machine: Machine, report: wire.Report) -> None:
        """That an attempt was done is true in a message of any age.

        The sessions of a machine that was back within a blink began anew: what it told after an old copy had come was
        taken for older, and answered all the same.
        """
        done = {
            (row.task, row.attempt) for row in report.tasks if row.status == wire.EXITED and row.why == wire.WHY_DONE
        }
        for task in [task for task in machine.tasks if (task.name, task.attempt) in done] if done else ():
            if task.phase is Phase.PLACED and task.job.kind is not Kind.SERVICE:
                self.finish_task(task, self.now, measured=False)

    def may_still_tell(self, machine: Machine, now: int, until: int) -> bool:
        """A silent machine that may come back and tell of ends that nobody else knows any more.

        All nodes ended in an outage, and with them what had been reported and not recorded; or the last leader was cut
        off from the others as well as from the state service, and was still reported to. `until` (steady): by then
        the leases have ended that an earlier leader gave, and with them what the machine could tell.
        """
        return (
            self.ends_unknown
            and now < until
            and not machine.last_heartbeat_at
            and any(not task.claimed_at for task in machine.work)
        )

    def witnesses(self, machine: Machine) -> bool:
        """It must not be returned or given up yet: it holds ends that are written nowhere else.

        Machines that were drained, or silent for 5 s, were once returned between the report of an end and its record.
        When that record was late and the leader ended, the next one found the task on a machine that was gone, and ran
        it again.
        """
        found = self._only_told_here(machine)
        self._hasten(found)
        return bool(found)

    def hasten(self, machine: Machine) -> None:
        """What only this machine tells is written at once: it will soon tell nothing any more."""
        self._hasten(self._only_told_here(machine))

    def _hasten(self, ends: list[tuple[Job, int]]) -> None:
        for job, index in ends:
            for key in self.keys_of(job, index):
                if key in self.dirty:
                    del self.dirty[key]
                    self.urgent[key] = 0
