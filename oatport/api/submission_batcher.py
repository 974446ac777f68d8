"""Accepted jobs are committed together: those that come while a commit is under way go into the next one."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from oatport import wire
from oatport.clients.http import NoResponseError, RequestRefusedError
from oatport.clients.state import Applied, StateClient
from oatport.clients.token_bucket import TokenBucket
from oatport.control.limits.rate_limiter import AdaptiveRateLimiter
from oatport.control.storage.keys import KEYS_PER_ACCEPTED_JOB, blocked_key, job_key, live_key, overflow_key
from oatport.control.storage.overflow_records import is_accepted_as_blocked
from oatport.times import MS, seconds, steady

COMMIT_TIMEOUTS = (700 * MS, 400 * MS)  # of each try; the state service mostly takes 10 ms, at times a few hundred
MAX_PENDING = 100
BEST_EFFORT_SHARE = 0.6
MAX_COMMITS = 4  # at a time
MAX_SEND_DELAY = 150 * MS
MAX_BATCH_BYTES = 24 * 1024  # of records in one transaction: well below its limit


class SubmitOutcome(Enum):
    """What became of a submission."""

    CREATED = auto()
    ALREADY_KNOWN = auto()  # there is a record
    UNKNOWN = auto()  # its user must come back


@dataclass(frozen=True, slots=True)
class SubmitResult:
    """The outcome, and the revision that the job was created with."""

    outcome: SubmitOutcome
    revision: int = 0


@dataclass(slots=True, eq=False)
class PendingSubmission:
    """A submission that waits to be committed. Those of best effort go last."""

    record: dict[str, Any]
    best_effort: bool
    result: asyncio.Future[SubmitResult] = field(default_factory=lambda: asyncio.get_running_loop().create_future())
    sent: asyncio.Future[None] = field(default_factory=lambda: asyncio.get_running_loop().create_future())


class SubmissionBatcher:
    """Commits submissions within the node's share of the state service's limit for writes."""

    def __init__(self, state: StateClient, transaction_operations: int, limiter: AdaptiveRateLimiter) -> None:
        self._state = state
        self._max_batch = max(1, transaction_operations // KEYS_PER_ACCEPTED_JOB)
        self._limiter = limiter
        self._pending: dict[str, PendingSubmission] = {}
        self._commits: set[asyncio.Task[None]] = set()

    def is_full(self) -> bool:
        """One more would wait in vain: it could not be sent soon. Best-effort jobs go last, and don't count."""
        now = steady()
        ahead = (sum(not pending.best_effort for pending in self._pending.values()) + 1) * KEYS_PER_ACCEPTED_JOB
        if len(self._pending) < MAX_PENDING and self._limiter.wait_us(now, ahead) <= MAX_SEND_DELAY:
            return False
        self._limiter.raise_rate(now)
        return True

    def has_capacity_for_best_effort(self) -> bool:
        """The limit leaves something once all that wait are sent."""
        return self._limiter.is_available_to_best_effort(steady(), (len(self._pending) + 1) * KEYS_PER_ACCEPTED_JOB)

    def is_throttled(self) -> bool:
        """Writes are scarce, rather than the state service away."""
        return self._limiter.is_throttled(steady())

    def retry_after_s(self) -> int:
        """When somebody who was sent away finds capacity, in whole seconds."""
        return self._limiter.retry_after_s(steady(), KEYS_PER_ACCEPTED_JOB)

    async def write_overflow(self, job_id: str, parts: list[Any]) -> bool:
        """Write long lists of a job ahead of its accept, which they count with. False: its user must come back."""
        for number, part in enumerate(parts):
            wait = self._limiter.wait_us(steady(), 1)
            await asyncio.sleep(seconds(wait))
            self._limiter.consume(steady(), 1)
            try:
                result = await self._state.commit({job_key(job_id): 0}, {overflow_key(job_id, number): part})
            except (NoResponseError, RequestRefusedError):
                return False
            if not isinstance(result, Applied):
                return True  # it is known: its submission will find that
        return True

    async def submit(self, job_id: str, record: dict[str, Any], *, best_effort: bool = False) -> SubmitResult:
        """Commit a job if it isn't known."""
        pending = self._pending.get(job_id)
        first = pending is None
        if pending is None:
            pending = self._pending[job_id] = PendingSubmission(record, best_effort)
        if len(self._commits) < MAX_COMMITS:
            task = asyncio.get_running_loop().create_task(self._commit_pending())
            self._commits.add(task)
            task.add_done_callback(self._commits.discard)
        try:
            async with asyncio.timeout(seconds(MAX_SEND_DELAY)):
                await asyncio.shield(pending.sent)
        except TimeoutError:
            # All calls hang: it was never sent, and its user gets that answer rather than being kept waiting.
            if self._pending.get(job_id) is pending:
                del self._pending[job_id]
                pending.result.set_result(SubmitResult(SubmitOutcome.UNKNOWN))
        result = await asyncio.shield(pending.result)
        if not first and result.outcome is SubmitOutcome.CREATED:
            return SubmitResult(SubmitOutcome.ALREADY_KNOWN)  # submitted twice at once: the other one created it
        return result

    async def _commit_pending(self) -> None:
        """Commit one batch after the other until none waits."""
        while self._pending:
            wait = self._limiter.wait_us(steady(), KEYS_PER_ACCEPTED_JOB)
            if wait:
                await asyncio.sleep(seconds(wait))
                continue
            batch = self._take_batch()
            self._limiter.consume(steady(), len(batch) * KEYS_PER_ACCEPTED_JOB)
            try:
                results = await self._commit({job_id: pending.record for job_id, pending in batch.items()})
            except Exception:
                for pending in batch.values():
                    pending.result.set_result(SubmitResult(SubmitOutcome.UNKNOWN))
                raise
            for job_id, pending in batch.items():
                pending.result.set_result(results.get(job_id, SubmitResult(SubmitOutcome.UNKNOWN)))

    def _take_batch(self) -> dict[str, PendingSubmission]:
        """As many as a transaction and the limit allow, those of best effort last."""
        batch: dict[str, PendingSubmission] = {}
        size = 0
        max_batch = min(self._max_batch, max(1, self._limiter.available(steady()) // KEYS_PER_ACCEPTED_JOB))
        for job_id in sorted(self._pending, key=lambda job_id: self._pending[job_id].best_effort):
            size += len(wire.encode(self._pending[job_id].record)) * KEYS_PER_ACCEPTED_JOB
            if batch and (len(batch) >= max_batch or size > MAX_BATCH_BYTES):
                break
            batch[job_id] = self._pending.pop(job_id)
            batch[job_id].sent.set_result(None)
        return batch

    async def _commit(self, records: dict[str, dict[str, Any]]) -> dict[str, SubmitResult]:
        """Only a commit of unknown outcome is tried again: a conflict then shows that the job is there."""
        results: dict[str, SubmitResult] = {}
        left = dict(records)
        for timeout_us in COMMIT_TIMEOUTS:
            while left:
                conditions = {job_key(job_id): 0 for job_id in left}
                try:
                    result = await self._state.commit(conditions, _records_to_set(left), timeout_us=timeout_us)
                except NoResponseError:
                    break
                except RequestRefusedError as error:
                    if error.status == 429:
                        self._limiter.on_throttled(steady())
                    return results
                if isinstance(result, Applied):
                    created = SubmitResult(SubmitOutcome.CREATED, result.revision)
                    return results | dict.fromkeys(left, created)
                known = [job_id for job_id in left if job_key(job_id) in result.failed_keys] or list(left)
                for job_id in known:  # the others are none the worse for it
                    results[job_id] = SubmitResult(SubmitOutcome.ALREADY_KNOWN)
                    del left[job_id]
        return results


def _records_to_set(records: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Jobs are under jobs/ and live/; one that names others not there, where an earlier version would start it."""
    sets: dict[str, Any] = {}
    for job_id, record in records.items():
        second_key = blocked_key(job_id) if is_accepted_as_blocked(record) else live_key(job_id)
        sets[job_key(job_id)] = record
        sets[second_key] = record
    return sets


class BestEffortShare:
    """What best-effort jobs may take of the limit for writes at each node, so that the rest always finds some.

    Not divided by the nodes: two may have to serve for three, and connections are not spread evenly.
    """

    def __init__(self, write_rps: float) -> None:
        self._bucket = TokenBucket(BEST_EFFORT_SHARE * write_rps / KEYS_PER_ACCEPTED_JOB)

    def try_acquire(self) -> bool:
        """Take one submission's worth, if there is one."""
        if self._bucket.available() < 1:
            return False
        self._bucket.reserve()
        return True
