"""The workers' interface: heartbeats, their responses, and commands."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from oatport.wire.codec import InvalidMessageError


class TaskStatus(StrEnum):
    """Lists the phases of a task that workers report; other values may occur and are stored unchanged."""

    FETCHING_IMAGE = "pulling"
    WAITING_FOR_GANG = "waiting"
    RUNNING = "running"
    CHECKPOINTING = "flushing"
    EXITED = "ended"


class ExitReason(StrEnum):
    """Lists the reasons why a task exited or its start was refused."""

    COMPLETED = "done"
    STOPPED = "halted"
    GANG_MEMBER_LOST = "mates_gone"
    GANG_INCOMPLETE = "incomplete"
    ERROR = "error"
    INSUFFICIENT_CAPACITY = "full"
    OTHER_ATTEMPT_PRESENT = "in_use"
    UNKNOWN_TASK = "unknown"


class TaskReport(msgspec.Struct, frozen=True):
    """Holds one task of a heartbeat. `checkpointed`: the task's progress was saved before the task exited."""

    task_name: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="sailing")
    status: str
    exit_reason: str | None = msgspec.field(name="wreckCause", default=None)
    checkpointed: bool | None = msgspec.field(name="stored", default=None)


class Heartbeat(msgspec.Struct, frozen=True):
    """Holds the body of POST /hello, and of every response of /commands and /show.

    `worker_epoch` counts the worker's starts, `heartbeat_seq` the heartbeats since the last start; `fencing_token` is
    the highest token of a leader that the worker has seen; `reclamation_notice_s` is set once the cloud has announced
    that it will reclaim the machine.
    """

    machine_name: str = msgspec.field(name="berth")
    address: str
    machine_type: str = msgspec.field(name="berthKind")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    worker_epoch: int = msgspec.field(name="watch")
    heartbeat_seq: int = msgspec.field(name="logline")
    fencing_token: int = msgspec.field(name="helm")
    tasks: list[TaskReport] = msgspec.field(name="legs")
    reclamation_notice_s: float | None = msgspec.field(name="recallS", default=None)


def decode_heartbeat(value: Any) -> Heartbeat:
    """Returns the heartbeat of a decoded body. Raises InvalidMessageError."""
    try:
        return msgspec.convert(value, Heartbeat, strict=True)
    except msgspec.ValidationError as error:
        raise InvalidMessageError(str(error)) from error


class StartCommand(msgspec.Struct, frozen=True, tag_field="orderKind", tag="start"):
    """Starts an attempt of a task."""

    task_name: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="sailing")


class StopCommand(msgspec.Struct, frozen=True, tag_field="orderKind", tag="stop"):
    """Stops an attempt; a task with checkpoints may save one first if `grace_s` suffices."""

    task_name: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="sailing")
    grace_s: float = msgspec.field(name="slackS")


class ForgetCommand(msgspec.Struct, frozen=True, tag_field="orderKind", tag="forget"):
    """Makes the worker omit a terminated attempt from further heartbeats."""

    task_name: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="sailing")


Command = StartCommand | StopCommand | ForgetCommand


def heartbeat_response(fencing_token: int, commands: list[Command]) -> dict[str, Any]:
    """Returns the leader's response to a heartbeat, which renews the worker's lease and carries commands."""
    return {"helm": fencing_token, "orders": msgspec.to_builtins(commands)}


def command_request(fencing_token: int, worker_epoch: int, commands: list[Command]) -> dict[str, Any]:
    """Returns the body of POST /commands; a worker that was restarted since `worker_epoch` refuses the request."""
    return {"helm": fencing_token, "watch": worker_epoch, "orders": msgspec.to_builtins(commands)}


def leader_redirect(leader: str | None) -> dict[str, Any]:
    """Returns the response of a node that is not the leader; it names the leader, if known."""
    return {"harbormaster": leader} if leader else {}
