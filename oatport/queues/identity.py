"""Derives the job id of a message from its queue and its identity, so that a redelivery yields the same job."""

from __future__ import annotations

import hashlib
from typing import Any

MAX_JOB_ID_TRIES = 4  # job ids tried per message; one that belongs to another message is skipped
PART_COUNT = 16  # parts (partitions) of the outbox, each owned by one gateway at a time


def job_id_of(queue: str, identity: str, attempt: int = 0) -> str:
    """Returns a job id in PROTOCOL's form: `j-` and digits. `attempt` counts the collisions so far.

    The lengths come first, so that no two pairs of queue and identity give the same text.
    """
    text = f"{len(queue)}:{queue}{len(identity)}:{identity}#{attempt}".encode()
    return f"j-{int.from_bytes(hashlib.blake2b(text, digest_size=16).digest()):039d}"


def part_of(job_id: str) -> int:
    """Returns the part of the outbox that a job belongs to."""
    return int(job_id[2:]) % PART_COUNT


def answer_id(job_id: str) -> str:
    """Returns the message id of a job's single answer: the same each time the answer is published."""
    return f"oatport-answer-{job_id}"


def identity_of(message_id: str | None, headers: dict[str, Any], header: str, body: bytes, hashed: bool) -> str | None:
    """Returns the identity of a message; None if it has none.

    It is `message_id`, else the value of `header`, else (if `hashed`) a hash of the body.
    """
    if message_id:
        return message_id
    named = headers.get(header) if header else None
    if isinstance(named, str | int) and str(named):
        return f"h:{named}"
    return f"b:{hashlib.blake2b(body, digest_size=16).hexdigest()}" if hashed else None
