"""From a message to a durably accepted job: only then is it acknowledged.

The row goes first (identity, job, reply address), then the job is submitted; both are idempotent: a redelivery after
any crash finds what is there and goes on. What is not settled stays unacknowledged: the prefetch is the only buffer.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from oatport.clients.http import jitter
from oatport.queues.core import Core, CoreOutcome
from oatport.queues.identity import MAX_JOB_ID_TRIES, identity_of, job_id_of
from oatport.queues.rows import AnswerKind, MessageRow, row_key
from oatport.queues.settings import QueueSettings
from oatport.queues.store import Store, StoreUnavailableError
from oatport.queues.templates import InvalidMessageError
from oatport.times import MS, SECOND, time_of_day

log = logging.getLogger(__name__)

ACK, AGAIN, DEAD = "ack", "again", "dead"  # acknowledge; put back; dead-letter with a reason, then acknowledge
CANCEL_TYPE = "cancel"
PATIENCE = 30 * SECOND  # after this a message goes back to the broker: another gateway may fare better


@dataclass(frozen=True, slots=True)
class Message:
    """What of an AMQP message matters here. `expires_s`: from now, or None."""

    body: bytes
    message_id: str | None = None
    headers: dict[str, Any] = field(default_factory=dict)
    reply_to: str = ""
    correlation_id: str | None = None
    kind: str = ""
    expires_s: float | None = None


@dataclass(frozen=True, slots=True)
class Verdict:
    action: str
    reason: str = ""
    ref: str = ""
    answer_now: MessageRow | None = None  # an answer for which there can be no row


class SubmissionBatcher:
    """`wrote`: told of each row that was written here, with its version."""

    def __init__(
        self,
        store: Store,
        core: Core,
        wrote: Callable[[MessageRow, int], None],
        clock: Callable[[], int] = time_of_day,
        pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._core = core
        self._wrote = wrote
        self._clock = clock
        self._pause = pause

    async def take(self, queue: QueueSettings, message: Message) -> Verdict:
        """What becomes of a message; nothing is acknowledged by this itself."""
        if message.kind == CANCEL_TYPE:
            return await self._cancel(queue, message)
        identity = identity_of(
            message.message_id, message.headers, queue.identity_header, message.body, queue.hash_identity
        )
        if identity is None:
            # Nothing tells it from another: it can't be run once. Its answer's id is derived from all that it is.
            digest = hashlib.blake2b(message.body + message.reply_to.encode(), digest_size=16).hexdigest()
            row = MessageRow(job_id_of(queue.name, f"?{digest}"), queue.name, "", message.reply_to)
            reason = "no message_id" + (f" and no header {queue.identity_header}" if queue.identity_header else "")
            return Verdict(DEAD, reason, answer_now=row.with_answer(AnswerKind.REFUSED, reason))
        expires_at = 0 if message.expires_s is None else self._clock() + round(message.expires_s * SECOND)
        try:
            for attempt in range(MAX_JOB_ID_TRIES):
                ref = job_id_of(queue.name, identity, attempt)
                row, version, reason = await self._row(queue, identity, ref, message, expires_at)
                if row.belongs_to(queue.name, identity):
                    return await self._settle(row, version, reason)
                log.warning("job %s belongs to another message: trying another id", ref)
        except StoreUnavailableError:
            return Verdict(AGAIN, "the state service is away")
        reason = "its job id belongs to other messages"
        row = MessageRow(job_id_of(queue.name, f"?{identity}"), queue.name, identity, message.reply_to)
        return Verdict(DEAD, reason, answer_now=row.with_answer(AnswerKind.REFUSED, reason))

    async def _row(
        self, queue: QueueSettings, identity: str, ref: str, message: Message, expires_at: int
    ) -> tuple[MessageRow, int, str]:
        """The row of this message: made now, or as it is there already (perhaps another message's)."""
        row, reason = MessageRow(ref, queue.name, identity, message.reply_to, None, expires_at), ""
        try:
            job = queue.template.render_job(ref, message.body)
            row = MessageRow(ref, queue.name, identity, message.reply_to, job, expires_at)
        except InvalidMessageError as error:
            reason = str(error)
            row = row.with_answer(AnswerKind.REFUSED, reason)
        version = await self._store.change(row_key(ref), row.encode(), {row_key(ref): 0}, 400 + len(message.body))
        if version:
            self._wrote(row, version)
            return row, version, reason
        found = await self._store.row(ref)
        if found is None:
            raise StoreUnavailableError  # pruned this moment: look again later
        self._wrote(*found)  # our own change may have been applied without an answer
        return found[0], found[1], reason if found[0].answer == AnswerKind.REFUSED else ""

    async def _settle(self, row: MessageRow, version: int, reason: str) -> Verdict:
        if row.answer:
            return Verdict(DEAD if reason else ACK, reason, row.job_id)
        return await self.submit(row, version)

    async def submit(self, row: MessageRow, version: int) -> Verdict:
        """Submit a taken row's job until that is settled, or for a while. Raises Away."""
        until = self._clock() + PATIENCE
        while True:
            if row.expires_at and self._clock() >= row.expires_at:
                await self._answer(row, version, AnswerKind.EXPIRED, "expired before it was accepted")
                return Verdict(ACK, ref=row.job_id)
            assert row.job is not None
            response = await self._core.submit(row.job)
            if response.outcome is CoreOutcome.ACCEPTED:
                return Verdict(ACK, ref=row.job_id)
            if response.outcome is CoreOutcome.REFUSED:
                await self._answer(row, version, AnswerKind.REFUSED, response.cause)
                return Verdict(DEAD, response.cause, row.job_id)
            if self._clock() > until:
                return Verdict(AGAIN, "the core accepts nothing now", row.job_id)
            await self._pause(jitter(round(response.retry_after_s * SECOND)))

    async def _answer(self, row: MessageRow, version: int, answer: str, cause: str) -> None:
        answered = row.with_answer(answer, cause)
        revision = await self._store.change(row_key(row.job_id), answered.encode(), {row_key(row.job_id): version})
        if revision:
            self._wrote(answered, revision)

    async def _cancel(self, queue: QueueSettings, message: Message) -> Verdict:
        """A sender takes a message back, named by `correlation_id`; it may come before what it cancels."""
        identity = message.correlation_id
        if not identity:
            return Verdict(DEAD, "a cancellation without correlation_id")
        try:
            for attempt in range(MAX_JOB_ID_TRIES):
                ref = job_id_of(queue.name, identity, attempt)
                row = MessageRow(ref, queue.name, identity, message.reply_to).with_answer(
                    AnswerKind.CANCELLED, "cancelled before it came"
                )
                version = await self._store.change(row_key(ref), row.encode(), {row_key(ref): 0})
                if version:
                    self._wrote(row, version)
                    return Verdict(ACK, ref=ref)
                found = await self._store.row(ref)
                if found is None:
                    raise StoreUnavailableError
                if not found[0].belongs_to(queue.name, identity):
                    continue
                if found[0].answer:
                    return Verdict(ACK, ref=ref)
                response = await self._core.cancel(ref)
                if response.outcome is CoreOutcome.TERMINATED:
                    return Verdict(ACK, ref=ref)
                # Not accepted yet: it will be, or refused; either way the cancellation is wanted again then.
                await self._pause(jitter(500 * MS if response.outcome is CoreOutcome.NOT_FOUND else SECOND))
                return Verdict(AGAIN, "the job is not accepted yet", ref)
        except StoreUnavailableError:
            return Verdict(AGAIN, "the state service is away")
        return Verdict(DEAD, "its job id belongs to other messages")
