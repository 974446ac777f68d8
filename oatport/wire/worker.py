"""The workers' interface: heartbeats, their answers, and commands."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from oatport.wire.codec import InvalidMessageError


class TaskStatus(StrEnum):
    """What a worker says that a task is doing; other words may come and are kept as they are."""

    FETCHING_IMAGE = "pulling"
    WAITING_FOR_GANG = "waiting"
    RUNNING = "running"
    CHECKPOINTING = "flushing"
    EXITED = "ended"


class ExitReason(StrEnum):
    """Why a task exited, or why its start was refused."""

    COMPLETED = "done"
    STOPPED = "halted"
    GANG_MEMBER_LOST = "mates_gone"
    GANG_INCOMPLETE = "incomplete"
    ERROR = "error"
    INSUFFICIENT_CAPACITY = "full"
    OTHER_ATTEMPT_PRESENT = "in_use"
    UNKNOWN_TASK = "unknown"


class TaskReport(msgspec.Struct, frozen=True):
    """One task in a worker's heartbeat. `checkpointed`: its progress was saved before it exited."""

    task_name: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="sailing")
    status: str
    exit_reason: str | None = msgspec.field(name="wreckCause", default=None)
    checkpointed: bool | None = msgspec.field(name="stored", default=None)


class Heartbeat(msgspec.Struct, frozen=True):
    """POST /hello, and the body of every answer of /commands and /show.

    `agent_epoch` counts the starts of the worker, `heartbeat_seq` its heartbeats since then; `fencing_token` is the
    highest that it has seen of a leader; `reclamation_notice_s` is set once the cloud is going to reclaim the machine.
    """

    machine_name: str = msgspec.field(name="berth")
    address: str
    machine_type: str = msgspec.field(name="berthKind")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    agent_epoch: int = msgspec.field(name="watch")
    heartbeat_seq: int = msgspec.field(name="logline")
    fencing_token: int = msgspec.field(name="helm")
    tasks: list[TaskReport] = msgspec.field(name="legs")
    reclamation_notice_s: float | None = msgspec.field(name="recallS", default=None)


def decode_heartbeat(value: Any) -> Heartbeat:
    """A heartbeat from a decoded body. Raises InvalidMessageError."""
    try:
        return msgspec.convert(value, Heartbeat, strict=True)
    except msgspec.ValidationError as error:
        raise InvalidMessageError(str(error)) from error


class StartCommand(msgspec.Struct, frozen=True, tag_field="orderKind", tag="start"):
    """Start an attempt of a task."""

    task_name: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="sailing")


class StopCommand(msgspec.Struct, frozen=True, tag_field="orderKind", tag="stop"):
    """Stop an attempt; one that has checkpoints may save first if `grace_s` suffices."""

    task_name: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="sailing")
    grace_s: float = msgspec.field(name="slackS")


class ForgetCommand(msgspec.Struct, frozen=True, tag_field="orderKind", tag="forget"):
    """Leave a terminated attempt out of the heartbeats from now on."""

    task_name: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="sailing")


Command = StartCommand | StopCommand | ForgetCommand


def heartbeat_response(fencing_token: int, commands: list[Command]) -> dict[str, Any]:
    """The leader's answer to a heartbeat: it renews the lease of the worker, and carries commands."""
    return {"helm": fencing_token, "orders": msgspec.to_builtins(commands)}


def command_request(fencing_token: int, agent_epoch: int, commands: list[Command]) -> dict[str, Any]:
    """The body of POST /commands; a worker that was restarted since `agent_epoch` refuses it."""
    return {"helm": fencing_token, "watch": agent_epoch, "orders": msgspec.to_builtins(commands)}


def leader_redirect(leader: str | None) -> dict[str, Any]:
    """The answer of a node that doesn't lead: the node that does, if known."""
    return {"harbormaster": leader} if leader else {}
