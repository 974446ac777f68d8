"""What is recorded of each message: who sent it, which job it is, and its one answer. Pure.

A row goes through three changes: taken (before its job is submitted), answered (before the answer is published),
delivered (after the broker confirmed that). A delivered row keeps the identity and the kind of answer, so that a
message that comes again finds it, and its answer is not published anew.

    q/PART/REF   {"q": queue, "id": identity, "to": reply address, "job": submission or null, "exp": time or 0,
                  "s": "taken" | "answered" | "told", "a": kind, "why": cause, "at": when it was delivered}
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, NamedTuple

from oatport import wire
from oatport.queues.identity import answer_id, part_of

ROWS = "q/"
PART_KEYS, MEMBERS = "qp/", "qm/"


class RowState(StrEnum):
    """How far a message has come, as it is stored."""

    TAKEN = "taken"
    ANSWERED = "answered"
    DELIVERED = "told"


class AnswerKind(StrEnum):
    """What the sender of a message receives, as it is stored and published."""

    COMPLETED = "done"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
    FAILED = "lost"


class Answer(NamedTuple):
    """The kind of an answer, and its cause for people."""

    kind: AnswerKind
    cause: str


def part_prefix(part: int) -> str:
    """The prefix of a part's rows."""
    return f"{ROWS}{part:02d}/"


def row_key(job_id: str) -> str:
    """The key of a message's row."""
    return part_prefix(part_of(job_id)) + job_id


def part_key(part: int) -> str:
    """The key that a part's owner holds."""
    return f"{PART_KEYS}{part:02d}"


@dataclass(frozen=True, slots=True)
class MessageRow:
    """The row of a message; times are those of day, 0: none.

    `job`: as submitted, kept until the job is known to be accepted or the row answered.
    """

    job_id: str
    queue: str
    identity: str
    reply_to: str = ""
    job: dict[str, Any] | None = None
    expires_at: int = 0
    state: str = RowState.TAKEN
    answer: str = ""
    cause: str = ""
    delivered_at: int = 0

    def encode(self) -> dict[str, Any]:
        """The stored value."""
        value: dict[str, Any] = {"q": self.queue, "id": self.identity, "s": self.state}
        if self.state != RowState.DELIVERED:
            value |= {"to": self.reply_to, "job": self.job, "exp": self.expires_at}
        if self.answer:
            value |= {"a": self.answer, "why": self.cause}
        return value | ({"at": self.delivered_at} if self.delivered_at else {})

    @classmethod
    def decode(cls, job_id: str, value: Any) -> MessageRow:
        """From a stored value. Raises KeyError, TypeError or ValueError at a strange one."""
        return cls(
            job_id,
            str(value["q"]),
            str(value["id"]),
            str(value.get("to") or ""),
            value.get("job"),
            int(value.get("exp") or 0),
            str(value["s"]),
            str(value.get("a") or ""),
            str(value.get("why") or ""),
            int(value.get("at") or 0),
        )

    def belongs_to(self, queue: str, identity: str) -> bool:
        """Whether it is the row of this message, and not of another one with the same job id."""
        return (self.queue, self.identity) == (queue, identity)

    def with_answer(self, answer: str, cause: str) -> MessageRow:
        """With its one answer: the first stays."""
        if self.answer:
            return self
        return replace(self, state=RowState.ANSWERED, answer=answer, cause=cause, job=None)

    def as_delivered(self, now: int) -> MessageRow:
        """Once the broker has confirmed the answer."""
        return replace(self, state=RowState.DELIVERED, job=None, delivered_at=now)

    def answer_body(self) -> dict[str, Any]:
        """The body of the published answer."""
        return {
            "id": self.identity,
            "queue": self.queue,
            "job": self.job_id,
            "answer": self.answer,
            "cause": self.cause,
        }

    @property
    def answer_id(self) -> str:
        """The message id of the published answer."""
        return answer_id(self.job_id)


def answer_of_record(record: Any, row: MessageRow, now: int) -> Answer | None:
    """The answer that a job's record means for its sender; None while it has not terminated."""
    state = record.get("state") if isinstance(record, dict) else None
    if state == wire.JobStatus.COMPLETED:
        return Answer(AnswerKind.COMPLETED, "")
    if state == wire.JobStatus.FAILED:
        return Answer(AnswerKind.FAILED, str(record.get("cause") or ""))
    if state == wire.JobStatus.CANCELLED:
        # It is cancelled for its sender, or because its time was over: whoever came first.
        if row.expires_at and now >= row.expires_at:
            return Answer(AnswerKind.EXPIRED, "not done by its expiry")
        return Answer(AnswerKind.CANCELLED, "cancelled on request")
    return None
