"""Heartbeats of workers: what a report changes in the leader's view."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oatport import wire
from oatport.control.placement import failure_attribution
from oatport.control.placement.retry_policy import REFUSAL_REASONS
from oatport.control.state.job import JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase
from oatport.control.storage.keys import live_key
from oatport.times import MS, SECOND, micros

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState

log = logging.getLogger(__name__)

UNHEARD = 6 * SECOND  # after a claim: reports still don't list the task that was started


class HeartbeatReceiver:
    """Takes in workers' reports."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster

    def receive(self, report: wire.Heartbeat, now: int, wall: int) -> Machine | None:
        """Take in a worker's report, an answer of /commands or of /show; None: not a usable machine."""
        machine = self.cluster.add_machine(
            report.machine_name, report.machine_type, report.zone, report.spot, report.address, now, wall
        )
        if machine is None:
            return None
        if (report.agent_epoch, report.heartbeat_seq) <= (machine.agent_epoch, machine.heartbeat_seq):
            self.cluster.now = now
            self.cluster.completions.apply_late(machine, report)
            return machine  # an older message that came late: of all the rest it tells nothing
        new_session = report.agent_epoch != machine.agent_epoch
        if now - machine.last_heartbeat_at > self.cluster.heartbeat_fresh_us:
            self.cluster.planning_needed = True  # its free room counts again
        machine.last_heartbeat_at = self.cluster.now = now
        self.cluster.wall_offset = wall - now
        if machine.zone in self.cluster.zones.partitioned:
            self.cluster.zones.on_recovered(machine.zone, now)
        if not machine.ready_at:
            machine.ready_at = machine.gpus_idle_since = now
            if not machine.tasks:
                machine.idle_since = now
            self.cluster.writes.mark_machine_dirty(
                machine, urgent=not machine.persisted
            )  # nothing is placed on it before
            self.cluster.planning_needed = True
        if machine.fencing_token != report.fencing_token or new_session:
            self.cluster.planning_needed = True
        if new_session:
            if machine.agent_epoch:
                # It heard no answer for a lease, while it may have been heard all the time: empty as it is then, it
                # looks like the best place for the next tasks.
                machine.command_unreachable = True
            machine.agent_epoch_since = now
            # Starts sent under an earlier session are refused from now on, and so are those of an
            # earlier token once the worker has seen ours.
            machine.unacknowledged_starts.clear()
            machine.starts_in_response.clear()
            # Its images are kept, but a fetch that nobody waits for any more is given up.
            machine.images = {image: at for image, at in machine.images.items() if at == 1}
        elif machine.command_unreachable and now - machine.agent_epoch_since > self.cluster.lease_us:
            machine.command_unreachable = False  # else its session would have ended
        machine.agent_epoch, machine.heartbeat_seq, machine.fencing_token = (
            report.agent_epoch,
            report.heartbeat_seq,
            report.fencing_token,
        )
        if report.reclamation_notice_s is None:
            self.cluster.planning_needed = self.cluster.planning_needed or machine.reclaimed_at > 0
            machine.reclaimed_at = 0
        else:
            reclaimed_at = now + micros(max(report.reclamation_notice_s, 0.0))
            if not machine.reclaimed_at:
                machine.reclaimed_at = reclaimed_at
                self._on_reclamation_notice(machine, report.reclamation_notice_s, now)
            machine.reclaimed_at = min(machine.reclaimed_at, reclaimed_at)
        if machine.settled_heartbeat is not None and not new_session and machine.settled_heartbeat == report.tasks:
            return machine  # what it runs is as it was told before, and as it should be
        listed = {(row.task_name, row.attempt): row for row in report.tasks}
        for task in list(machine.tasks):
            if task.phase is not TaskPhase.BOUND:
                continue
            row = listed.get((task.name, task.attempt))
            if row is None:
                self._on_absent(task, machine, report, now)
                continue
            self._on_listed(task, machine, row, report, now)
        self._on_unbound_attempts(machine, report.tasks, now)
        if machine.tasks or machine.orphaned_attempts:
            machine.idle_since = 0
        elif not machine.idle_since:
            machine.idle_since = now
        machine.settled_heartbeat = report.tasks if self._is_settled(machine, len(report.tasks)) else None
        return machine

    @staticmethod
    def _is_settled(machine: Machine, listed: int) -> bool:
        """The same report once more would change nothing: all that should be there is, and nothing else.

        `Work` and `sent` take this back with whatever they change about the machine.
        """
        return (
            not machine.orphaned_attempts
            and not machine.terminated_attempts
            and not machine.unacknowledged_starts
            and listed == len(machine.tasks)
            and all(
                task.start_acknowledged is not None
                and task.stop_grace_s is None
                and not task.job.suspected_faulty
                and not task.job.cancelled
                for task in machine.tasks
            )
        )

    def _on_listed(self, task: Task, machine: Machine, row: wire.TaskReport, report: wire.Heartbeat, now: int) -> None:
        if task.start_acknowledged is None and task.start_epoch == report.agent_epoch:
            machine.command_unreachable = False
        task.start_acknowledged = (report.agent_epoch, report.heartbeat_seq)
        self.cluster.unacknowledged_tasks.discard(task)
        if row.status != wire.TaskStatus.EXITED:
            if row.status != wire.TaskStatus.FETCHING_IMAGE:
                machine.images[task.job.spec.image] = 1  # it has it
            if row.status == wire.TaskStatus.RUNNING and not task.running_since:
                task.running_since = now
                self.cluster.job_statistics.began(task.job)
                if task.binding_at:
                    log.debug(
                        "task %s %s runs on %s %d ms after its claim",
                        task.name,
                        task.job.kind,
                        machine.name,
                        (now - task.binding_at) // MS,
                    )
            job = task.job
            if task.status != row.status:
                task.status = row.status
                self.cluster.jobs_with_changed_counts[job] = None
            if job.suspected_faulty and job.kind is JobKind.SERVICE and failure_attribution.has_succeeded(job, now):
                failure_attribution.record_success(job, machine, self.cluster.machines, now)
            if task.job.cancelled and task.stop_grace_s is None:
                self.cluster.tasks.stop(task, 0.0)
            return
        self._on_exit(task, machine, row, now)

    def _on_exit(self, task: Task, machine: Machine, row: wire.TaskReport, now: int) -> None:
        job, why = task.job, row.exit_reason
        log.debug("task %s attempt %d on %s ended: %s", task.name, task.attempt, machine.name, why)
        if why == wire.ExitReason.COMPLETED and job.kind is not JobKind.SERVICE:
            self.cluster.tasks.complete(task, now)
            return
        wanted = task.stop_grace_s is not None
        if why == wire.ExitReason.ERROR:
            if failure_attribution.record_failure(job, machine, self.cluster.machines, task.attempt, now):
                self.cluster.writes.dirty_keys.setdefault(live_key(job.job_id), None)  # for the next leader
        elif why == wire.ExitReason.INSUFFICIENT_CAPACITY:
            machine.cordoned_until = now + 3 * SECOND
        elif why == wire.ExitReason.UNKNOWN_TASK:
            job.retry_at = now + 2 * SECOND
        elif why == wire.ExitReason.OTHER_ATTEMPT_PRESENT:
            machine.cordoned_until = now + SECOND
        self.cluster.tasks.requeue(
            task,
            lost=not wanted and why in (wire.ExitReason.GANG_MEMBER_LOST, wire.ExitReason.STOPPED),
            unexecuted=why in REFUSAL_REASONS,
        )

    def _on_absent(self, task: Task, machine: Machine, report: wire.Heartbeat, now: int) -> None:
        """A placed task that the newest report does not list: gone only if nothing can still bring it."""
        if report.fencing_token != self.cluster.token:
            return  # a start of an earlier leader may still land
        key = (task.name, task.attempt)
        if task.binding_at and not task.start_epoch:
            self.cluster.machines_to_command.add(machine)  # placed by this leader, its first start is just due
            return
        if task.start_epoch and report.agent_epoch <= task.start_epoch:
            if (
                task.job.cancelled
                and task.start_acknowledged is None
                and not (machine.unacknowledged_starts.get(key) or key in machine.starts_in_response)
            ):
                pass  # no start of it is under way, and none goes out any more: it isn't there and won't be
            elif task.start_acknowledged is None or machine.unacknowledged_starts.get(key):
                self.cluster.machines_to_command.add(machine)  # our start is on its way or was lost: repeat it
                if task.binding_at and now - task.binding_at > UNHEARD:
                    machine.command_unreachable = True
                return
        log.info("task %s attempt %d is not on %s any more", task.name, task.attempt, machine.name)
        # In the session in which it was claimed, and never seen by this leader: no start of it was executed.
        unexecuted = (
            task.start_acknowledged is None
            and report.agent_epoch == task.binding_epoch
            and not machine.unacknowledged_starts.get(key)
        )
        self.cluster.tasks.requeue(task, lost=bool(task.start_epoch), unexecuted=unexecuted)

    def _on_unbound_attempts(self, machine: Machine, rows: list[wire.TaskReport], now: int) -> None:
        """Tasks in the report that no record puts there."""
        ended: set[tuple[str, int]] = set()
        strays: dict[tuple[str, int], None] = {}
        here = {(t.name, t.attempt) for t in machine.tasks if t.phase is not TaskPhase.PENDING}
        for row in rows:
            key = (row.task_name, row.attempt)
            if row.status == wire.TaskStatus.EXITED:
                ended.add(key)
                continue
            if key not in here:
                strays[key] = None
        machine.terminated_attempts = ended
        for key in [key for key in machine.orphaned_attempts if key not in strays]:
            self.cluster.orphans.remove(machine, key)
        for key in strays:
            if key not in machine.orphaned_attempts:
                self.cluster.orphans.add(machine, key)
        if machine.reclaimed_at:
            self.cluster.completions.expedite(machine)  # soon it can't tell of them any more

    def _on_reclamation_notice(self, machine: Machine, notice_s: float, now: int) -> None:
        """The cloud takes it back soon: what can't finish in time leaves now, saving if it can.

        What may not run again stays: it may just be done before.
        """
        log.info("machine %s will be taken back in %.0f s", machine.name, notice_s)
        self.cluster.planning_needed = True
        left = micros(notice_s)
        for task in list(machine.tasks):
            self.cluster.tasks.drain(task, left, now)
