"""Which job a message is: a job id derived from the queue and the message's identity."""

from __future__ import annotations

import hashlib
from typing import Any

MAX_JOB_ID_TRIES = 4  # job ids tried where one belongs to another message
PARTS = 16  # shares of the outbox, each owned by one gateway


def job_id_of(queue: str, identity: str, attempt: int = 0) -> str:
    """A job id in PROTOCOL's form: `j-` and digits. `attempt`: the next one to try after a collision."""
    # Lengths first: no two pairs of queue and identity read the same.
    text = f"{len(queue)}:{queue}{len(identity)}:{identity}#{attempt}".encode()
    return f"j-{int.from_bytes(hashlib.blake2b(text, digest_size=16).digest()):039d}"


def part_of(job_id: str) -> int:
    """The part of the outbox that a job belongs to."""
    return int(job_id[2:]) % PARTS


def answer_id(job_id: str) -> str:
    """The message id of a job's one answer: the same however often it is published."""
    return f"oatport-answer-{job_id}"


def identity_of(message_id: str | None, headers: dict[str, Any], header: str, body: bytes, hashed: bool) -> str | None:
    """`message_id`, else the agreed header, else (if the settings say so) a hash of the body; None: none."""
    if message_id:
        return message_id
    named = headers.get(header) if header else None
    if isinstance(named, str | int) and str(named):
        return f"h:{named}"
    return f"b:{hashlib.blake2b(body, digest_size=16).hexdigest()}" if hashed else None
