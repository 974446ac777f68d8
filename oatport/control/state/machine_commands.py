"""Commands to machines: which ones are due, and the outcome of those that were sent.

Starts and forgets are sent in heartbeat responses only. A worker drops a response that is late, whereas a copy of a
direct message may be executed minutes later (PROTOCOL, "Delayed messages"), also by a machine that has restarted with
its first epoch and no token, which nothing can fence. A direct message contains stops only, which start nothing however
late they arrive. If a start is due, its token is raised, which makes the worker send a heartbeat soon.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from oatport import wire
from oatport.control.state.identifiers import split_task
from oatport.control.state.job import JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase
from oatport.times import MS

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState

HEARTBEAT_REQUEST_MARGIN = 50 * MS  # added to half of the lease, for clock drift and latency


@dataclass(frozen=True, slots=True)
class DirectMessage:
    """Holds a message to a worker that is no heartbeat response. `requests_heartbeat`: its token is raised."""

    fencing_token: int
    stops: list[wire.Command]
    requests_heartbeat: bool


class MachineCommands:
    """Determines the start, stop and forget commands for workers, and tracks starts in flight."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        # A worker sends a heartbeat for a higher token at most once in half of its lease.
        self._heartbeat_request_interval = cluster.lease_us // 2 + HEARTBEAT_REQUEST_MARGIN
        shortest_objective = min(cluster.objectives.start_within.values(), default=None)
        self._are_requests_reserved = (
            shortest_objective is not None and shortest_objective < cluster.heartbeat_interval_us
        )

    # --- heartbeat responses ----------------------------------------------------------------------

    def for_response(self, machine: Machine) -> tuple[list[wire.Command], list[Task]]:
        """Returns the commands due in the response to a machine's heartbeat, and the tasks that they start.

        At most as many as fit into one message; the others are due again with the next one.
        """
        starts = [task for task in machine.tasks if self._is_start_due(machine, task)][: wire.MAX_COMMANDS_PER_MESSAGE]
        commands: list[wire.Command] = [wire.StartCommand(task.name, task.attempt) for task in starts]
        commands += self._due_stops(machine)
        if self.cluster.tokens.includes(machine.fencing_token):
            commands += [
                wire.ForgetCommand(name, attempt)
                for name, attempt in machine.terminated_attempts
                if self._may_forget(machine, name, attempt)
            ]
        return commands[: wire.MAX_COMMANDS_PER_MESSAGE], starts

    def _is_start_due(self, machine: Machine, task: Task) -> bool:
        """Returns whether a task's start is to be sent, or repeated because no heartbeat has listed the task.

        A gang starts as a whole, so all its bindings must be committed.
        """
        if task.phase is not TaskPhase.BOUND or task.start_acknowledged is not None:
            return False
        if task.stop_grace_s is not None or task.job.cancelled:
            return False
        if not task.start_epoch and (task.binding_at == 0 or not machine.is_confirmed(self.cluster.fencing_token)):
            # Started by an earlier leader: the first heartbeat under this leader's token shows whether it is there.
            return False
        if task.job.kind is not JobKind.GANG:
            return True
        return all(member.phase is not TaskPhase.BINDING for member in task.job.tasks.values())

    def _due_stops(self, machine: Machine) -> list[wire.Command]:
        """Returns the stops of tasks that are to leave the machine and of its orphaned attempts."""
        stops: list[wire.Command] = [
            wire.StopCommand(task.name, task.attempt, task.stop_grace_s)
            for task in machine.tasks
            if task.phase is TaskPhase.BOUND and task.stop_grace_s is not None
        ]
        stops += [wire.StopCommand(name, attempt, 0.0) for name, attempt in machine.orphaned_attempts]
        return stops

    def _may_forget(self, machine: Machine, name: str, attempt: int) -> bool:
        """Returns whether a worker may forget an attempt.

        It may not while a response with its start may arrive, nor before the attempt's completion is committed.
        """
        if (name, attempt) in machine.starts_in_response:
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

    def on_starts_sent(self, machine: Machine, starts: Iterable[Task]) -> None:
        """Records the starts in a heartbeat response that is about to be sent."""
        for task in starts:
            task.start_epoch = machine.worker_epoch
            self.cluster.unacknowledged_tasks.add(task)
            # On a slow link direct messages overtake a heartbeat response: a task was stopped and forgotten, then
            # started by the response while it ran on another machine.
            machine.starts_in_response.add((task.name, task.attempt))

    # --- direct messages --------------------------------------------------------------------------

    def token_for(self, machine: Machine) -> int:
        """Returns the fencing token for messages to a machine; the worker drops any with a lower one."""
        return max(self.cluster.fencing_token, machine.command_token)

    def direct_message(self, machine: Machine, now: int) -> DirectMessage | None:
        """Returns the message to send to a machine without waiting for its heartbeat; None if there is none."""
        stops = self._due_stops(machine)[: wire.MAX_COMMANDS_PER_MESSAGE]
        requests_heartbeat = self._may_request_heartbeat(machine, now) and self._is_heartbeat_wanted(machine)
        if not stops and not requests_heartbeat:
            return None
        return DirectMessage(self.token_for(machine) + requests_heartbeat, stops, requests_heartbeat)

    def _is_heartbeat_wanted(self, machine: Machine) -> bool:
        """Returns whether a start is due that should not wait for the machine's next heartbeat.

        A request for an array task keeps the next service or gang on the machine from being requested. So, if some
        class has to start sooner than heartbeats come, the start of an array task waits, except on an idle machine: one
        that runs tasks sends a heartbeat whenever one of them changes.
        """
        unsent = [
            task
            for task in machine.tasks
            if self._is_start_due(machine, task) and (task.name, task.attempt) not in machine.starts_in_response
        ]
        is_idle = len(unsent) == len(machine.tasks)
        if is_idle or not self._are_requests_reserved:
            return bool(unsent)
        return any(task.job.kind is not JobKind.ARRAY for task in unsent)

    def _may_request_heartbeat(self, machine: Machine, now: int) -> bool:
        """Returns whether a higher token makes the worker send a heartbeat, and an own commit allows that token."""
        tokens = self.cluster.tokens
        return (
            now - machine.token_changed_at > self._heartbeat_request_interval
            and tokens.includes(machine.fencing_token)
            and tokens.includes(self.token_for(machine) + 1)
        )

    def on_direct_message(self, machine: Machine, message: DirectMessage, now: int) -> None:
        """Records a direct message that is about to be sent."""
        machine.command_token = message.fencing_token
        if message.requests_heartbeat:
            machine.token_changed_at = now

    def on_contact(self, machine: Machine) -> None:
        """Clears `command_unreachable` of a machine that answered a direct request."""
        if machine.command_unreachable:
            machine.command_unreachable = False
            self.cluster.planning_needed = True
