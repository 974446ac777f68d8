"""Processing of workers' heartbeats, which update the leader's view of machines and tasks."""

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

UNREPORTED_START_TIMEOUT = 6 * SECOND  # after a binding; if heartbeats still don't list the task, commands don't arrive
INSUFFICIENT_CAPACITY_PAUSE = 3 * SECOND  # no placement on a machine for this long after it refused a start
OTHER_ATTEMPT_PAUSE = SECOND  # the same, after a refusal because another attempt of the task is on the machine
UNKNOWN_TASK_BACKOFF = 2 * SECOND  # of a job, after a machine refused to start one of its tasks as unknown


class HeartbeatReceiver:
    """Applies heartbeats and workers' responses to commands, which have the same form, to the cluster state."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster

    def receive(self, report: wire.Heartbeat, now: int, wall: int) -> Machine | None:
        """Applies a heartbeat; returns its machine, or None if it is unknown or released. `wall`: time of day."""
        cluster = self.cluster
        machine = cluster.add_machine(
            report.machine_name, report.machine_type, report.zone, report.spot, report.address, now, wall
        )
        if machine is None:
            return None
        if (report.worker_epoch, report.heartbeat_seq) <= (machine.worker_epoch, machine.heartbeat_seq):
            cluster.now = now
            cluster.completions.apply_stale_heartbeat(machine, report)
            return machine  # an older message that arrived late: only its completions are still valid
        is_new_epoch = report.worker_epoch != machine.worker_epoch
        if now - machine.last_heartbeat_at > cluster.max_heartbeat_age_us:
            cluster.planning_needed = True  # its free capacity is usable again
        machine.last_heartbeat_at = cluster.now = now
        cluster.wall_offset = wall - now
        if machine.zone in cluster.zones.partitioned:
            cluster.zones.on_recovered(machine.zone, now)
        if not machine.ready_at:
            self._on_ready(machine, now)
        if is_new_epoch or machine.fencing_token < cluster.fencing_token <= report.fencing_token:
            cluster.planning_needed = True
        if is_new_epoch:
            self._on_new_epoch(machine, now)
        elif machine.command_unreachable and now - machine.worker_epoch_seen_at > cluster.lease_us:
            machine.command_unreachable = False  # otherwise the worker's lease and epoch would have ended
        self._update_position(machine, report, now)
        self._apply_reclamation_notice(machine, report.reclamation_notice_s, now)
        if machine.settled_heartbeat is not None and not is_new_epoch and machine.settled_heartbeat == report.tasks:
            return machine  # its tasks are unchanged since the last heartbeat, and as intended
        self._apply_tasks(machine, report, now)
        return machine

    # --- the machine --------------------------------------------------------------------------

    def _on_ready(self, machine: Machine, now: int) -> None:
        machine.ready_at = machine.gpus_idle_since = now
        if not machine.tasks:
            machine.idle_since = now
        # Nothing is placed on the machine before it is recorded.
        self.cluster.writes.mark_machine_dirty(machine, urgent=not machine.persisted)
        self.cluster.planning_needed = True

    @staticmethod
    def _update_position(machine: Machine, report: wire.Heartbeat, now: int) -> None:
        machine.worker_epoch, machine.heartbeat_seq = report.worker_epoch, report.heartbeat_seq
        if report.fencing_token > max(machine.fencing_token, machine.command_token):
            machine.token_changed_at = now
        machine.fencing_token = report.fencing_token

    @staticmethod
    def _on_new_epoch(machine: Machine, now: int) -> None:
        """Handles a new worker epoch: all tasks of the machine ended, and starts of earlier epochs are refused."""
        if machine.worker_epoch:
            # The worker received no response for a whole lease, though its heartbeats may have arrived all the time.
            # The machine is now empty and would otherwise look like the best place for the next tasks.
            machine.command_unreachable = True
        machine.worker_epoch_seen_at = now
        machine.starts_in_response.clear()  # the worker drops responses to heartbeats of an earlier epoch
        # Images on the machine stay, but fetches in progress are dropped, as no task waits for them any more.
        machine.images = {image: at for image, at in machine.images.items() if at == 1}

    def _apply_reclamation_notice(self, machine: Machine, notice_s: float | None, now: int) -> None:
        if notice_s is None:
            self.cluster.planning_needed = self.cluster.planning_needed or machine.reclaimed_at > 0
            machine.reclaimed_at = 0
            return
        reclaimed_at = now + micros(max(notice_s, 0.0))
        if not machine.reclaimed_at:
            machine.reclaimed_at = reclaimed_at
            self._on_reclamation_notice(machine, notice_s, now)
        machine.reclaimed_at = min(machine.reclaimed_at, reclaimed_at)

    def _on_reclamation_notice(self, machine: Machine, notice_s: float, now: int) -> None:
        """Drains a machine that the cloud reclaims soon: tasks that can't finish in time stop, saving if possible.

        Tasks that may not run again stay, as they may complete before the reclamation.
        """
        log.info("spot reclamation notice machine=%s in_s=%.0f", machine.name, notice_s)
        self.cluster.planning_needed = True
        time_left = micros(notice_s)
        for task in list(machine.tasks):
            self.cluster.tasks.drain(task, time_left, now)

    # --- the tasks ----------------------------------------------------------------------------

    def _apply_tasks(self, machine: Machine, report: wire.Heartbeat, now: int) -> None:
        listed = {(row.task_name, row.attempt): row for row in report.tasks}
        for task in list(machine.tasks):
            if task.phase is not TaskPhase.BOUND:
                continue
            row = listed.get((task.name, task.attempt))
            if row is None:
                self._on_unlisted_task(task, machine, report, now)
            else:
                self._on_listed_task(task, machine, row, report, now)
        self._on_unbound_attempts(machine, report.tasks)
        if machine.tasks or machine.orphaned_attempts:
            machine.idle_since = 0
        elif not machine.idle_since:
            machine.idle_since = now
        machine.settled_heartbeat = report.tasks if self._is_settled(machine, len(report.tasks)) else None

    @staticmethod
    def _is_settled(machine: Machine, listed_count: int) -> bool:
        """Returns whether the same heartbeat again would change nothing: the machine runs exactly the intended tasks.

        `TaskLifecycle` and `MachineCommands` clear `settled_heartbeat` with every change to the machine.
        """
        return (
            not machine.orphaned_attempts
            and not machine.terminated_attempts
            and listed_count == len(machine.tasks)
            and all(
                task.start_acknowledged is not None
                and task.stop_grace_s is None
                and not task.job.suspected_faulty
                and not task.job.cancelled
                for task in machine.tasks
            )
        )

    def _on_listed_task(
        self, task: Task, machine: Machine, row: wire.TaskReport, report: wire.Heartbeat, now: int
    ) -> None:
        if task.start_acknowledged is None and task.start_epoch == report.worker_epoch:
            machine.command_unreachable = False
        task.start_acknowledged = (report.worker_epoch, report.heartbeat_seq)
        self.cluster.unacknowledged_tasks.discard(task)
        if row.status == wire.TaskStatus.EXITED:
            self._on_exit(task, machine, row, now)
        else:
            self._on_status(task, machine, row.status, now)

    def _on_status(self, task: Task, machine: Machine, status: str, now: int) -> None:
        job = task.job
        if status != wire.TaskStatus.FETCHING_IMAGE:
            machine.images[job.spec.image] = 1  # the image is on the machine
        if status == wire.TaskStatus.RUNNING and not task.running_since:
            task.running_since = now
            self.cluster.job_statistics.on_started(job)
            if task.binding_at:
                waited_ms = (now - task.binding_at) // MS
                log.debug(
                    "task running task=%s kind=%s machine=%s since_binding_ms=%d",
                    task.name,
                    job.kind,
                    machine.name,
                    waited_ms,
                )
        if task.status != status:
            task.status = status
            self.cluster.jobs_with_changed_counts[job] = None
        if job.suspected_faulty and job.kind is JobKind.SERVICE and failure_attribution.has_succeeded(job, now):
            failure_attribution.record_success(job, machine, self.cluster.machines, now)
        if job.cancelled and task.stop_grace_s is None:
            self.cluster.tasks.stop(task, 0.0)

    def _on_exit(self, task: Task, machine: Machine, row: wire.TaskReport, now: int) -> None:
        job, reason = task.job, row.exit_reason
        log.debug("task exited task=%s attempt=%d machine=%s reason=%s", task.name, task.attempt, machine.name, reason)
        if reason == wire.ExitReason.COMPLETED and job.kind is not JobKind.SERVICE:
            self.cluster.tasks.complete(task, now)
            return
        was_stopped = task.stop_grace_s is not None
        if reason == wire.ExitReason.ERROR:
            if failure_attribution.record_failure(job, machine, self.cluster.machines, task.attempt, now):
                self.cluster.writes.dirty_keys.setdefault(live_key(job.job_id), None)  # for the next leader
        elif reason == wire.ExitReason.INSUFFICIENT_CAPACITY:
            machine.cordoned_until = now + INSUFFICIENT_CAPACITY_PAUSE
        elif reason == wire.ExitReason.UNKNOWN_TASK:
            job.retry_at = now + UNKNOWN_TASK_BACKOFF
        elif reason == wire.ExitReason.OTHER_ATTEMPT_PRESENT:
            machine.cordoned_until = now + OTHER_ATTEMPT_PAUSE
        is_loss = reason in (wire.ExitReason.GANG_MEMBER_LOST, wire.ExitReason.STOPPED)
        self.cluster.tasks.requeue(task, lost=is_loss and not was_stopped, unexecuted=reason in REFUSAL_REASONS)

    def _on_unlisted_task(self, task: Task, machine: Machine, report: wire.Heartbeat, now: int) -> None:
        """Requeues a bound task that the newest heartbeat does not list, unless a start may still create it."""
        if not self.cluster.tokens.includes(report.fencing_token):
            return  # a start of an earlier leader may still arrive
        if task.binding_at and not task.start_epoch:
            self.cluster.machines_to_command.add(machine)  # bound by this leader, and its first start is due now
            return
        may_start = task.start_acknowledged is None and not self._was_withdrawn_unstarted(task, machine)
        if task.start_epoch and report.worker_epoch <= task.start_epoch and may_start:
            self.cluster.machines_to_command.add(machine)  # this leader's start is in flight or was lost: repeat it
            if task.binding_at and now - task.binding_at > UNREPORTED_START_TIMEOUT:
                machine.command_unreachable = True
            return
        log.info("task gone from machine task=%s attempt=%d machine=%s", task.name, task.attempt, machine.name)
        # The epoch is that of the binding, and no heartbeat to this leader listed the attempt: no start was executed.
        unexecuted = task.start_acknowledged is None and report.worker_epoch == task.binding_epoch
        self.cluster.tasks.requeue(task, lost=bool(task.start_epoch), unexecuted=unexecuted)

    @staticmethod
    def _was_withdrawn_unstarted(task: Task, machine: Machine) -> bool:
        """Returns whether a task is to leave a machine that it was never on: no start is in flight or will be sent."""
        is_withdrawn = task.job.cancelled or task.stop_grace_s is not None
        return is_withdrawn and (task.name, task.attempt) not in machine.starts_in_response

    def _on_unbound_attempts(self, machine: Machine, rows: list[wire.TaskReport]) -> None:
        """Updates the terminated attempts, and the orphaned ones: in the heartbeat, but not bound to this machine."""
        terminated: set[tuple[str, int]] = set()
        orphaned: dict[tuple[str, int], None] = {}
        bound = {(task.name, task.attempt) for task in machine.tasks if task.phase is not TaskPhase.PENDING}
        for row in rows:
            key = (row.task_name, row.attempt)
            if row.status == wire.TaskStatus.EXITED:
                terminated.add(key)
            elif key not in bound:
                orphaned[key] = None
        machine.terminated_attempts = terminated
        for key in [key for key in machine.orphaned_attempts if key not in orphaned]:
            self.cluster.orphans.remove(machine, key)
        for key in orphaned:
            if key not in machine.orphaned_attempts:
                self.cluster.orphans.add(machine, key)
        if machine.reclaimed_at:
            self.cluster.completions.expedite(machine)  # the machine can't report them after its reclamation
