"""Turns a message into a durably accepted job; the message is acknowledged only after that.

The row (identity, job, reply address) is written first, then the job is submitted. Both steps are idempotent: a
redelivery after a crash at any point continues from the stored row. Messages that are not settled stay unacknowledged:
the prefetch limit is the only buffer.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from oatport.clients.http import jitter
from oatport.queues.core import SchedulerClient, SchedulerOutcome
from oatport.queues.identity import MAX_JOB_ID_TRIES, identity_of, job_id_of
from oatport.queues.rows import AnswerKind, MessageRow, row_key
from oatport.queues.settings import QueueSettings
from oatport.queues.store import Store, StoreUnavailableError
from oatport.queues.templates import InvalidMessageError
from oatport.times import MS, SECOND, time_of_day

log = logging.getLogger(__name__)

ACK, REQUEUE, DEAD_LETTER = "ack", "again", "dead"  # acknowledge; requeue; dead-letter with a reason, then acknowledge
CANCEL_TYPE = "cancel"
SUBMIT_TIMEOUT = 30 * SECOND  # after this a message is requeued: another gateway may reach the scheduler


@dataclass(frozen=True, slots=True)
class Message:
    """Holds the properties of an AMQP message that the intake uses. `expires_s` counts from now; None: never."""

    body: bytes
    message_id: str | None = None
    headers: dict[str, Any] = field(default_factory=dict)
    reply_to: str = ""
    correlation_id: str | None = None
    kind: str = ""
    expires_s: float | None = None


@dataclass(frozen=True, slots=True)
class Disposition:
    """Holds how a message is to be settled, ACK, REQUEUE or DEAD_LETTER, and why."""

    action: str
    reason: str = ""
    job_id: str = ""
    unrecorded_answer: MessageRow | None = None  # the answer to a message that can have no row


class MessageIntake:
    """Writes the rows of messages and submits or cancels their jobs.

    `on_row_written` is called with each written row and its version.
    """

    def __init__(
        self,
        store: Store,
        scheduler: SchedulerClient,
        on_row_written: Callable[[MessageRow, int], None],
        clock: Callable[[], int] = time_of_day,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._scheduler = scheduler
        self._on_row_written = on_row_written
        self._clock = clock
        self._sleep = sleep

    async def process(self, queue: QueueSettings, message: Message) -> Disposition:
        """Submits or cancels the job of a message; returns how the caller is to settle the message."""
        if message.kind == CANCEL_TYPE:
            return await self._cancel(queue, message)
        identity = identity_of(
            message.message_id, message.headers, queue.identity_header, message.body, queue.hash_identity
        )
        if identity is None:
            # Without an identity a redelivery can't be told from a new message, so the job could run twice. The id of
            # the answer is derived from the message's body and reply address.
            digest = hashlib.blake2b(message.body + message.reply_to.encode(), digest_size=16).hexdigest()
            row = MessageRow(job_id_of(queue.name, f"?{digest}"), queue.name, "", message.reply_to)
            reason = "no message_id" + (f" and no header {queue.identity_header}" if queue.identity_header else "")
            return Disposition(DEAD_LETTER, reason, unrecorded_answer=row.with_answer(AnswerKind.REFUSED, reason))
        expires_at = 0 if message.expires_s is None else self._clock() + round(message.expires_s * SECOND)
        try:
            for attempt in range(MAX_JOB_ID_TRIES):
                job_id = job_id_of(queue.name, identity, attempt)
                row, version, reason = await self._create_or_read_row(queue, identity, job_id, message, expires_at)
                if row.belongs_to(queue.name, identity):
                    return await self._settle(row, version, reason)
                log.warning("job id belongs to another message, trying the next one job_id=%s", job_id)
        except StoreUnavailableError:
            return Disposition(REQUEUE, "the state service is unavailable")
        reason = "its job id belongs to other messages"
        row = MessageRow(job_id_of(queue.name, f"?{identity}"), queue.name, identity, message.reply_to)
        return Disposition(DEAD_LETTER, reason, unrecorded_answer=row.with_answer(AnswerKind.REFUSED, reason))

    async def _create_or_read_row(
        self, queue: QueueSettings, identity: str, job_id: str, message: Message, expires_at: int
    ) -> tuple[MessageRow, int, str]:
        """Returns the row under a job id, its version and the reason of a refusal. The row may be another message's."""
        row, reason = MessageRow(job_id, queue.name, identity, message.reply_to, None, expires_at), ""
        try:
            job = queue.template.render_job(job_id, message.body)
            row = MessageRow(job_id, queue.name, identity, message.reply_to, job, expires_at)
        except InvalidMessageError as error:
            reason = str(error)
            row = row.with_answer(AnswerKind.REFUSED, reason)
        version = await self._store.change(row_key(job_id), row.encode(), {row_key(job_id): 0})
        if version:
            self._on_row_written(row, version)
            return row, version, reason
        found = await self._store.get_row(job_id)
        if found is None:
            raise StoreUnavailableError  # the row was pruned meanwhile; the message is retried later
        self._on_row_written(*found)  # this gateway's write may have been applied without a response
        return found[0], found[1], reason if found[0].answer == AnswerKind.REFUSED else ""

    async def _settle(self, row: MessageRow, version: int, reason: str) -> Disposition:
        if row.answer:
            return Disposition(DEAD_LETTER if reason else ACK, reason, row.job_id)
        return await self.submit(row, version)

    async def submit(self, row: MessageRow, version: int) -> Disposition:
        """Submits a taken row's job until it is accepted, refused or expired, or SUBMIT_TIMEOUT passed.

        Raises StoreUnavailableError.
        """
        deadline = self._clock() + SUBMIT_TIMEOUT
        while True:
            if row.expires_at and self._clock() >= row.expires_at:
                await self._answer(row, version, AnswerKind.EXPIRED, "expired before it was accepted")
                return Disposition(ACK, job_id=row.job_id)
            assert row.job is not None
            response = await self._scheduler.submit(row.job)
            if response.outcome is SchedulerOutcome.ACCEPTED:
                return Disposition(ACK, job_id=row.job_id)
            if response.outcome is SchedulerOutcome.REFUSED:
                await self._answer(row, version, AnswerKind.REFUSED, response.cause)
                return Disposition(DEAD_LETTER, response.cause, row.job_id)
            if self._clock() > deadline:
                return Disposition(REQUEUE, "the scheduler accepts no jobs now", row.job_id)
            await self._sleep(jitter(round(response.retry_after_s * SECOND)))

    async def _answer(self, row: MessageRow, version: int, answer: str, cause: str) -> None:
        answered = row.with_answer(answer, cause)
        revision = await self._store.change(row_key(row.job_id), answered.encode(), {row_key(row.job_id): version})
        if revision:
            self._on_row_written(answered, revision)

    async def _cancel(self, queue: QueueSettings, message: Message) -> Disposition:
        """Cancels the message named by `correlation_id`. The cancellation may arrive before that message."""
        identity = message.correlation_id
        if not identity:
            return Disposition(DEAD_LETTER, "a cancellation without correlation_id")
        try:
            for attempt in range(MAX_JOB_ID_TRIES):
                job_id = job_id_of(queue.name, identity, attempt)
                row = MessageRow(job_id, queue.name, identity, message.reply_to).with_answer(
                    AnswerKind.CANCELLED, "cancelled before it came"
                )
                version = await self._store.change(row_key(job_id), row.encode(), {row_key(job_id): 0})
                if version:
                    self._on_row_written(row, version)
                    return Disposition(ACK, job_id=job_id)
                found = await self._store.get_row(job_id)
                if found is None:
                    raise StoreUnavailableError
                if not found[0].belongs_to(queue.name, identity):
                    continue
                if found[0].answer:
                    return Disposition(ACK, job_id=job_id)
                response = await self._scheduler.cancel(job_id)
                if response.outcome is SchedulerOutcome.TERMINATED:
                    return Disposition(ACK, job_id=job_id)
                # The job is not accepted yet. Once it is accepted or refused, the cancellation must be handled again.
                await self._sleep(jitter(500 * MS if response.outcome is SchedulerOutcome.NOT_FOUND else SECOND))
                return Disposition(REQUEUE, "the job is not accepted yet", job_id)
        except StoreUnavailableError:
            return Disposition(REQUEUE, "the state service is unavailable")
        return Disposition(DEAD_LETTER, "its job id belongs to other messages")
