"""Commands for machines: which are due, and what became of those that were sent."""

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
    """What agents are to start, stop and forget."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster

    def for_machine(self, machine: Machine, now: int, *, direct: bool) -> tuple[list[wire.Command], list[Task]]:
        """The commands for a machine now, and the tasks whose start is among them. `direct`: not in a response."""
        commands: list[wire.Command] = []
        starts: list[Task] = []
        confirmed = machine.fencing_token == self.cluster.fencing_token
        for task in machine.tasks:
            if task.phase is not TaskPhase.BOUND:
                continue
            if self._start_is_due(task, now, direct=direct, confirmed=confirmed):
                commands.append(wire.StartCommand(task.name, task.attempt))
                starts.append(task)
            if task.stop_grace_s is not None:
                commands.append(wire.StopCommand(task.name, task.attempt, task.stop_grace_s))
        for name, attempt in machine.orphaned_attempts:
            commands.append(wire.StopCommand(name, attempt, 0.0))
        if confirmed:
            for name, attempt in machine.terminated_attempts:
                if self._may_forget(machine, name, attempt):
                    commands.append(wire.ForgetCommand(name, attempt))
        return commands, starts

    def _start_is_due(self, task: Task, now: int, *, direct: bool, confirmed: bool) -> bool:
        """Its start is to be sent now, or once more. `confirmed`: the machine's newest heartbeat has our token."""
        if not task.start_epoch and (not confirmed or task.binding_at == 0):
            # Of an earlier leader's: its first heartbeat under our token tells whether it is there.
            return False
        waits_for_retry = direct and task.start_retry_at > now
        return task.start_acknowledged is None and not waits_for_retry and self._may_start(task, now)

    def _may_start(self, task: Task, now: int) -> bool:
        """A gang starts whole: all its bindings must be committed.

        Of a cancelled job a start that may be under way is repeated, and stopped at once: so the attempt is known
        there, and what comes late does nothing. But not when its user was told long ago, as after an outage.
        """
        job = task.job
        if job.cancelled and not job.failure_reason and now >= self.cluster.job_lifecycle.lease_renewal_bound(job):
            return False
        if job.kind is not JobKind.GANG:
            return True
        return all(mate.phase is not TaskPhase.BINDING for mate in job.tasks.values())

    def must_let_lease_expire(self, machine: Machine, now: int) -> bool:
        """May a start of a cancelled job still land there, so late that only another epoch is proof against it?

        A start that a link holds for long is neither there to be stopped nor proven lost: the machine's lease has to
        end before `cancel_s` is over.
        """
        return bool(machine.unacknowledged_starts) and any(
            task.job.cancelled
            and not task.job.failure_reason
            and task.start_acknowledged is None
            and task.start_epoch == machine.agent_epoch
            and machine.unacknowledged_starts.get((task.name, task.attempt))
            and now >= self.cluster.job_lifecycle.lease_renewal_bound(task.job)
            for task in machine.tasks
        )

    def _may_forget(self, machine: Machine, name: str, attempt: int) -> bool:
        """Not while a start of it may land (it would start again), nor before its completion is committed."""
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
        """A report that is about to be answered. A worker has one in flight at a time: what the answer to an earlier
        one told it has been executed by now, or is dropped (PROTOCOL, "Workers -> controller nodes")."""
        number = (report.agent_epoch, report.heartbeat_seq)
        if number > machine.answered_heartbeat:  # not one that a partition held
            machine.answered_heartbeat = number
            machine.starts_in_response.clear()

    def on_sent(self, machine: Machine, starts: Iterable[Task], now: int, *, direct: bool) -> None:
        """Starts are about to be sent under the machine's present epoch."""
        for task in starts:
            task.start_epoch = machine.agent_epoch
            self.cluster.unacknowledged_tasks.add(task)
            if direct:
                key = (task.name, task.attempt)
                machine.unacknowledged_starts[key] = machine.unacknowledged_starts.get(key, 0) + 1
                task.start_retry_at = now + SECOND
            else:
                # On a slow link direct commands overtake an answer: a task was started by one, stopped and forgotten,
                # and then started again by the answer, while it ran elsewhere.
                machine.starts_in_response.add((task.name, task.attempt))

    def on_contact(self, machine: Machine) -> None:
        """It answered a direct request."""
        if machine.command_unreachable:
            machine.command_unreachable = False
            self.cluster.planning_needed = True

    def on_start_response(self, machine: Machine, starts: Iterable[tuple[str, int]]) -> None:
        """A direct command was answered, whether executed or refused: its starts can't land later."""
        for key in starts:
            count = machine.unacknowledged_starts.get(key, 0) - 1
            if count > 0:
                machine.unacknowledged_starts[key] = count
            else:
                machine.unacknowledged_starts.pop(key, None)
