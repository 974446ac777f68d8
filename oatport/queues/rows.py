"""The row that the gateway stores for each message: its identity, its job and its single answer.

The module does no I/O.

A row is written three times: as taken (before its job is submitted), as answered (before the answer is published)
and as delivered (after the broker confirmed the answer). A delivered row keeps the identity and the kind of answer, so
that a redelivered message is recognised and its answer is not published again.

    q/PART/REF   {"q": queue, "id": identity, "to": reply address, "job": submission or null, "exp": time or 0,
                  "s": "taken" | "answered" | "told", "a": kind, "why": cause, "at": time of delivery}
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, NamedTuple

from oatport import wire
from oatport.queues.identity import answer_id, part_of

ROWS_PREFIX = "q/"
PARTS_PREFIX, MEMBERS_PREFIX = "qp/", "qm/"


class RowState(StrEnum):
    """The states of a row, as stored."""

    TAKEN = "taken"
    ANSWERED = "answered"
    DELIVERED = "told"


class AnswerKind(StrEnum):
    """The kinds of answer that a sender receives, as stored and published."""

    COMPLETED = "done"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
    FAILED = "lost"


class Answer(NamedTuple):
    """Holds the kind of an answer, and its cause as text for people."""

    kind: AnswerKind
    cause: str


def part_prefix(part: int) -> str:
    """Returns the key prefix of a part's rows."""
    return f"{ROWS_PREFIX}{part:02d}/"


def row_key(job_id: str) -> str:
    """Returns the key of a message's row."""
    return part_prefix(part_of(job_id)) + job_id


def part_key(part: int) -> str:
    """Returns the key that the owner of a part holds."""
    return f"{PARTS_PREFIX}{part:02d}"


@dataclass(frozen=True, slots=True)
class MessageRow:
    """Holds the row of a message. Times are wall-clock times; 0 means none.

    `job` is the submission, which is stored until the row is answered.
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
        """Returns the value to store."""
        value: dict[str, Any] = {"q": self.queue, "id": self.identity, "s": self.state}
        if self.state != RowState.DELIVERED:
            value |= {"to": self.reply_to, "job": self.job, "exp": self.expires_at}
        if self.answer:
            value |= {"a": self.answer, "why": self.cause}
        return value | ({"at": self.delivered_at} if self.delivered_at else {})

    @classmethod
    def decode(cls, job_id: str, value: Any) -> MessageRow:
        """Decodes a stored value. Raises KeyError, TypeError or ValueError if it is malformed."""
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
        """Returns whether this is the row of the given message, not of another one with the same job id."""
        return (self.queue, self.identity) == (queue, identity)

    def with_answer(self, answer: str, cause: str) -> MessageRow:
        """Returns the row with this answer, or unchanged if it has an answer already: the first answer is final."""
        if self.answer:
            return self
        return replace(self, state=RowState.ANSWERED, answer=answer, cause=cause, job=None)

    def as_delivered(self, now: int) -> MessageRow:
        """Returns the row as it is stored after the broker confirmed the answer."""
        return replace(self, state=RowState.DELIVERED, job=None, delivered_at=now)

    def answer_body(self) -> dict[str, Any]:
        """Returns the body of the published answer."""
        return {
            "id": self.identity,
            "queue": self.queue,
            "job": self.job_id,
            "answer": self.answer,
            "cause": self.cause,
        }

    @property
    def answer_id(self) -> str:
        """Returns the message id of the published answer."""
        return answer_id(self.job_id)


def answer_of_record(record: Any, row: MessageRow, now: int) -> Answer | None:
    """Returns the answer that follows from a job's record; None while the job has not terminated."""
    state = record.get("state") if isinstance(record, dict) else None
    if state == wire.JobStatus.COMPLETED:
        return Answer(AnswerKind.COMPLETED, "")
    if state == wire.JobStatus.FAILED:
        return Answer(AnswerKind.FAILED, str(record.get("cause") or ""))
    if state == wire.JobStatus.CANCELLED:
        # The sender or the expiry may have cancelled the job: from the expiry on, the answer is EXPIRED.
        if row.expires_at and now >= row.expires_at:
            return Answer(AnswerKind.EXPIRED, "not done by its expiry")
        return Answer(AnswerKind.CANCELLED, "cancelled on request")
    return None
