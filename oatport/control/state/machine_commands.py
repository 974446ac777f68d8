"""Commands to machines: which ones are due, and the outcome of those that were sent."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from oatport import wire
from oatport.control.state.identifiers import split_task
from oatport.control.state.job import JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase
from oatport.times import SECOND

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState


class MachineCommands:
    """Determines the start, stop and forget commands for workers, and tracks start commands in flight."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster

    def for_machine(self, machine: Machine, now: int, *, direct: bool) -> tuple[list[wire.Command], list[Task]]:
        """Returns the commands due for a machine, and the tasks that they start. `direct`: not a heartbeat response.

        At most as many as fit into one message; the others are due again with the next one.
        """
        commands: list[wire.Command] = []
        starts: list[Task] = []
        confirmed = self.cluster.tokens.includes(machine.fencing_token)
        for task in machine.tasks:
            if task.phase is not TaskPhase.BOUND:
                continue
            is_start_due = self._is_start_due(task, now, direct=direct, confirmed=confirmed)
            if len(commands) + is_start_due + (task.stop_grace_s is not None) > wire.MAX_COMMANDS_PER_MESSAGE:
                break  # a start is never sent without the stop that follows it
            if is_start_due:
                commands.append(wire.StartCommand(task.name, task.attempt))
                starts.append(task)
            if task.stop_grace_s is not None:
                commands.append(wire.StopCommand(task.name, task.attempt, task.stop_grace_s))
        commands += [wire.StopCommand(name, attempt, 0.0) for name, attempt in machine.orphaned_attempts]
        if confirmed and self._is_fenced(machine):
            commands += [
                wire.ForgetCommand(name, attempt)
                for name, attempt in machine.terminated_attempts
                if self._may_forget(machine, name, attempt)
            ]
        return commands[: wire.MAX_COMMANDS_PER_MESSAGE], starts

    def _is_start_due(self, task: Task, now: int, *, direct: bool, confirmed: bool) -> bool:
        """Returns whether a task's start is to be sent or repeated. `confirmed`: the newest heartbeat has our token."""
        if not task.start_epoch and (not confirmed or task.binding_at == 0):
            # Started by an earlier leader: the first heartbeat under this leader's token shows whether it is there.
            return False
        waits_for_retry = direct and task.start_retry_at > now
        return task.start_acknowledged is None and not waits_for_retry and self._may_start(task, now)

    def _may_start(self, task: Task, now: int) -> bool:
        """Returns whether a start may be sent; a gang starts as a whole, so all its bindings must be committed.

        A start of a cancelled job that may be in flight is repeated, and stopped at once: the worker then knows the
        attempt, and a start that arrives late has no effect. It is not repeated if the cancellation was confirmed too
        long ago, as after an outage.
        """
        job = task.job
        if job.cancelled and not job.failure_reason and now >= self.cluster.job_lifecycle.lease_renewal_bound(job):
            return False
        if job.kind is not JobKind.GANG:
            return True
        return all(member.phase is not TaskPhase.BINDING for member in job.tasks.values())

    def must_let_lease_expire(self, machine: Machine, now: int) -> bool:
        """Returns whether a start of a cancelled job may arrive so late that only a new worker epoch can refuse it.

        A start delayed in the network is neither on the machine, to be stopped, nor proven lost: the machine's lease
        has to end before `cancel_s` is over.
        """
        return bool(machine.unacknowledged_starts) and any(
            task.job.cancelled
            and not task.job.failure_reason
            and task.start_acknowledged is None
            and task.start_epoch == machine.worker_epoch
            and machine.unacknowledged_starts.get((task.name, task.attempt))
            and now >= self.cluster.job_lifecycle.lease_renewal_bound(task.job)
            for task in machine.tasks
        )

    def token_for(self, machine: Machine) -> int:
        """Returns the fencing token for messages to a machine; the worker drops any with a lower one."""
        return max(self.cluster.fencing_token, machine.command_token)

    def raise_token_for_forgets(self, machine: Machine) -> None:
        """Raises a machine's token so that its terminated attempts can be forgotten, if an own commit allows it.

        For heartbeat responses only, and while no direct request is in flight: the worker refuses requests and drops
        responses that were sent under the lower token.
        """
        if self._is_fenced(machine) or not self.cluster.tokens.includes(machine.fencing_token):
            return
        raised_token = self.token_for(machine) + 1
        if not self.cluster.tokens.includes(raised_token):
            return
        if any(self._may_forget(machine, name, attempt) for name, attempt in machine.terminated_attempts):
            machine.command_token = raised_token

    def _is_fenced(self, machine: Machine) -> bool:
        """Returns whether messages to a machine now carry a higher token than every start that was sent to it.

        The worker's memory of an attempt is what makes copies of its start harmless; a `forget` may remove it only
        once the worker refuses those copies by their token.
        """
        return self.token_for(machine) > machine.newest_start_token

    def _may_forget(self, machine: Machine, name: str, attempt: int) -> bool:
        """Returns whether a worker may forget an attempt in a message whose token fences all its starts.

        It may not while a start is unacknowledged, nor before the attempt's completion is committed.
        """
        if machine.unacknowledged_starts.get((name, attempt)) or (name, attempt) in machine.starts_in_response:
            return False
        parts = split_task(name)
        if parts is None:
            return False
        job = self.cluster.jobs.get(parts[0])
        if job is None:
            return True
        if job.completing:
            return False
        task = job.tasks.get(parts[1])
        if task is not None and task.machine is machine and task.attempt == attempt:
            return False
        return not self.cluster.writes.is_unwritten(job, parts[1])

    def on_heartbeat_delivered(self, machine: Machine, report: wire.Heartbeat) -> None:
        """Handles a heartbeat that is about to be answered: starts in the response to an earlier one are settled.

        A worker has one heartbeat in flight at a time, so the commands in an earlier response have been executed by now
        or are dropped (PROTOCOL, "Workers -> controller nodes").
        """
        heartbeat_id = (report.worker_epoch, report.heartbeat_seq)
        if heartbeat_id > machine.answered_heartbeat:  # not a heartbeat that a partition delayed
            machine.answered_heartbeat = heartbeat_id
            machine.starts_in_response.clear()

    def on_sent(self, machine: Machine, starts: Iterable[Task], now: int, *, direct: bool) -> None:
        """Records starts that are about to be sent under the machine's present epoch and token."""
        for task in starts:
            machine.newest_start_token = self.token_for(machine)
            task.start_epoch = machine.worker_epoch
            self.cluster.unacknowledged_tasks.add(task)
            if direct:
                key = (task.name, task.attempt)
                machine.unacknowledged_starts[key] = machine.unacknowledged_starts.get(key, 0) + 1
                task.start_retry_at = now + SECOND
            else:
                # On a slow link direct commands overtake a heartbeat response: a task was started by a direct command,
                # stopped and forgotten, then started again by the response while it ran on another machine.
                machine.starts_in_response.add((task.name, task.attempt))

    def on_contact(self, machine: Machine) -> None:
        """Clears `command_unreachable` of a machine that answered a direct request."""
        if machine.command_unreachable:
            machine.command_unreachable = False
            self.cluster.planning_needed = True

    def on_start_response(self, machine: Machine, starts: Iterable[tuple[str, int]]) -> None:
        """Clears the starts of a direct command that was answered: executed, refused or never sent.

        A copy of the command has no effect: while the worker lists an attempt, its start is ignored, and a `forget`
        carries a token under which the worker refuses the copy.
        """
        for key in starts:
            count = machine.unacknowledged_starts.get(key, 0) - 1
            if count > 0:
                machine.unacknowledged_starts[key] = count
            else:
                machine.unacknowledged_starts.pop(key, None)
