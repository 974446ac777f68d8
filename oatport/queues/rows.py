"""What is recorded of each message: who sent it, which job it is, and its one answer. Pure.

A row goes through three changes: taken (before its job is submitted), answered (before the answer is published), told
(after the broker confirmed that). A told row keeps the identity and the kind of answer, so that a message that comes
again finds it, and its answer is not published anew.

    q/PART/REF   {"q": queue, "id": identity, "to": reply address, "job": submission or null, "exp": time or 0,
                  "s": "taken" | "answered" | "told", "a": kind, "why": cause, "at": when it was told}
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from oatport import wire
from oatport.queues.identity import answer_id, part_of

ROWS = "q/"
PART_KEYS, MEMBERS = "qp/", "qm/"

TAKEN, ANSWERED, TOLD = "taken", "answered", "told"
DONE, REFUSED, CANCELLED, EXPIRED, LOST = "done", "refused", "cancelled", "expired", "lost"
ANSWERS = (DONE, REFUSED, CANCELLED, EXPIRED, LOST)


def part_prefix(part: int) -> str:
    return f"{ROWS}{part:02d}/"


def row_key(ref: str) -> str:
    return part_prefix(part_of(ref)) + ref


def part_key(part: int) -> str:
    return f"{PART_KEYS}{part:02d}"


@dataclass(frozen=True, slots=True)
class Row:
    ref: str
    queue: str
    identity: str
    reply_to: str = ""
    job: dict[str, Any] | None = None  # as submitted; kept until the job is known to be accepted or the row answered
    expires_at: int = 0  # time of day (us); 0: never
    state: str = TAKEN
    answer: str = ""
    cause: str = ""
    told_at: int = 0  # time of day (us)

    def value(self) -> dict[str, Any]:
        value: dict[str, Any] = {"q": self.queue, "id": self.identity, "s": self.state}
        if self.state != TOLD:
            value |= {"to": self.reply_to, "job": self.job, "exp": self.expires_at}
        if self.answer:
            value |= {"a": self.answer, "why": self.cause}
        return value | ({"at": self.told_at} if self.told_at else {})

    @classmethod
    def of(cls, ref: str, value: Any) -> Row:
        """Raises KeyError, TypeError or ValueError at a strange value."""
        return cls(
            ref,
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

    def same(self, queue: str, identity: str) -> bool:
        return (self.queue, self.identity) == (queue, identity)

    def answered(self, answer: str, cause: str) -> Row:
        """With its one answer: the first stays."""
        if self.answer:
            return self
        return replace(self, state=ANSWERED, answer=answer, cause=cause, job=None)

    def told(self, now: int) -> Row:
        return replace(self, state=TOLD, job=None, told_at=now)

    def message(self) -> dict[str, Any]:
        """The answer's body."""
        return {"id": self.identity, "queue": self.queue, "job": self.ref, "answer": self.answer, "cause": self.cause}

    @property
    def answer_id(self) -> str:
        return answer_id(self.ref)


def answer_from(record: Any, row: Row, now: int) -> tuple[str, str] | None:
    """The answer that a job's record means for its sender; None while it is not over."""
    state = record.get("state") if isinstance(record, dict) else None
    if state == wire.JobStatus.COMPLETED:
        return DONE, ""
    if state == wire.JobStatus.FAILED:
        return LOST, str(record.get("cause") or "")
    if state == wire.JobStatus.CANCELLED:
        # It is cancelled for its sender, or because its time was over: whoever came first.
        if row.expires_at and now >= row.expires_at:
            return EXPIRED, "not done by its expiry"
        return CANCELLED, "cancelled on request"
    return None
