"""Log and counters of the commands to workers: by which rule each was sent, and what shows that a rule failed."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Sequence

from oatport import wire
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task

log = logging.getLogger(__name__)

MAX_REMEMBERED_FORGETS = 10_000


class CommandAudit:
    """Logs each message with commands, and counts refused ones and attempts that reappear after a forget command."""

    def __init__(self) -> None:
        self.refused_commands = 0  # direct messages that a worker refused by their token or epoch
        self.reappeared_attempts = 0  # running again after a forget command
        # Machine, task and attempt of the newest forget commands -> the token under which they were sent.
        self._forgotten: dict[tuple[str, str, int], int] = {}

    def on_sent(
        self, machine: Machine, token: int, commands: Sequence[wire.Command], starts: Iterable[Task], *, direct: bool
    ) -> None:
        """Logs the commands of a message. `starts`: the tasks that its start commands start."""
        if not commands:
            return
        forgets = [command for command in commands if isinstance(command, wire.ForgetCommand)]
        for command in forgets:
            self._remember(machine, command, token)
        if not log.isEnabledFor(logging.INFO):
            return  # the texts below cost more than the rest of a small message
        stops = [command for command in commands if isinstance(command, wire.StopCommand)]
        log.info(
            "commands sent machine=%s worker_epoch=%d fencing_token=%d direct=%s starts=%s stops=%s forgets=%s",
            machine.name,
            machine.worker_epoch,
            token,
            direct,
            _join(f"{task.name}@{task.attempt}:bound_at={task.bound_at_revision}" for task in starts),
            _join(f"{command.task_name}@{command.attempt}:grace_s={command.grace_s:g}" for command in stops),
            _join(f"{command.task_name}@{command.attempt}" for command in forgets),
        )

    def on_refused(self, machine: Machine, token: int, reply: wire.Heartbeat) -> None:
        """Logs and counts a direct message that the worker refused because of its token or epoch."""
        self.refused_commands += 1
        log.info(
            "commands refused machine=%s worker_epoch=%d fencing_token=%d seen_epoch=%d seen_token=%d",
            machine.name,
            machine.worker_epoch,
            token,
            reply.worker_epoch,
            reply.fencing_token,
        )

    def on_orphaned(self, machine: Machine, key: tuple[str, int]) -> None:
        """Counts an orphaned attempt if it was forgotten: a copy of its start was executed after the forget command."""
        token = self._forgotten.get((machine.name, *key))
        if token is None:
            return
        self.reappeared_attempts += 1
        log.warning(
            "attempt reappeared after forget task=%s attempt=%d machine=%s forgotten_under_token=%d",
            *key,
            machine.name,
            token,
        )

    def _remember(self, machine: Machine, command: wire.ForgetCommand, token: int) -> None:
        self._forgotten[machine.name, command.task_name, command.attempt] = token
        if len(self._forgotten) > MAX_REMEMBERED_FORGETS:
            del self._forgotten[next(iter(self._forgotten))]


def _join(items: Iterable[str]) -> str:
    """Returns the items separated by commas, or "-" if there are none."""
    return ",".join(items) or "-"
