"""How many attempts and commands fit into one message to or from a worker, by the protocol's limit on bodies.

Sizes are counted as JSON, for the longest names, the largest integers and the longest texts of each field.
"""

from __future__ import annotations

import sys

import msgspec

from oatport.sizes import json_size
from oatport.wire.codec import MAX_BODY_BYTES
from oatport.wire.submission import MAX_JOB_ID_LENGTH, MAX_TASKS, MAX_TEXT_LENGTH
from oatport.wire.worker import (
    ExitReason,
    Heartbeat,
    StopCommand,
    TaskReport,
    TaskStatus,
    command_request,
)

_SEPARATOR_BYTES = 1  # the comma after an element of a list
_LARGEST_INTEGER = 2**64 - 1
_LONGEST_NUMBER = -sys.float_info.max
_LONGEST_TEXT = "x" * MAX_TEXT_LENGTH
_LONGEST_TASK_NAME = "x" * MAX_JOB_ID_LENGTH + f"/{MAX_TASKS}"

_LARGEST_REPORT = TaskReport(
    _LONGEST_TASK_NAME,
    _LARGEST_INTEGER,
    max(TaskStatus, key=len),
    max(ExitReason, key=len),
    checkpointed=False,
)
_EMPTY_HEARTBEAT = Heartbeat(
    machine_name=_LONGEST_TEXT,
    address=_LONGEST_TEXT,
    machine_type=_LONGEST_TEXT,
    zone=_LONGEST_TEXT,
    spot=False,
    worker_epoch=_LARGEST_INTEGER,
    heartbeat_seq=_LARGEST_INTEGER,
    fencing_token=_LARGEST_INTEGER,
    tasks=[],
    reclamation_notice_s=_LONGEST_NUMBER,
)
_LARGEST_COMMAND = StopCommand(_LONGEST_TASK_NAME, _LARGEST_INTEGER, _LONGEST_NUMBER)
_EMPTY_REQUEST = command_request(_LARGEST_INTEGER, _LARGEST_INTEGER, [])


def _elements_per_body(empty_bytes: int, element_bytes: int) -> int:
    return (MAX_BODY_BYTES - empty_bytes) // (element_bytes + _SEPARATOR_BYTES)


# Attempts that one machine may have, terminated ones included: its heartbeats list them all.
MAX_ATTEMPTS_PER_MACHINE = _elements_per_body(
    json_size(msgspec.to_builtins(_EMPTY_HEARTBEAT)), json_size(msgspec.to_builtins(_LARGEST_REPORT))
)
# Commands in one request to a worker, or in the response to a heartbeat, which is smaller besides its commands.
MAX_COMMANDS_PER_MESSAGE = _elements_per_body(
    json_size(_EMPTY_REQUEST), json_size(msgspec.to_builtins(_LARGEST_COMMAND))
)
