"""Commits accepted jobs in batches: submissions that arrive during a commit go into the next one."""

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

COMMIT_TIMEOUTS = (700 * MS, 400 * MS)  # per attempt; the state service usually takes 10 ms, at times a few hundred
MAX_PENDING = 100
BEST_EFFORT_SHARE = 0.6
MAX_CONCURRENT_COMMITS = 4
MAX_SEND_DELAY = 150 * MS


class SubmitOutcome(Enum):
    """Lists the possible outcomes of a submission."""

    CREATED = auto()
    ALREADY_KNOWN = auto()  # the job has a record
    UNKNOWN = auto()  # the user has to retry
    REFUSED = auto()  # the state service does not take the job's record


@dataclass(frozen=True, slots=True)
class SubmitResult:
    """Holds the outcome of a submission, and the revision at which the job was created."""

    outcome: SubmitOutcome
    revision: int = 0


@dataclass(slots=True, eq=False)
class PendingSubmission:
    """Holds a submission that waits to be committed; best-effort submissions are committed last.

    `sent` is done once the commit is sent, `result` once the outcome is decided.
    """

    record: dict[str, Any]
    best_effort: bool
    result: asyncio.Future[SubmitResult] = field(default_factory=lambda: asyncio.get_running_loop().create_future())
    sent: asyncio.Future[None] = field(default_factory=lambda: asyncio.get_running_loop().create_future())


class SubmissionBatcher:
    """Commits submissions within the node's share of the state service's write limit."""

    def __init__(self, state: StateClient, transaction_operations: int, limiter: AdaptiveRateLimiter) -> None:
        self._state = state
        self._max_batch = max(1, transaction_operations // KEYS_PER_ACCEPTED_JOB)
        self._limiter = limiter
        self._pending: dict[str, PendingSubmission] = {}
        self._commits: set[asyncio.Task[None]] = set()

    def is_full(self) -> bool:
        """Returns whether another submission could not be sent within `MAX_SEND_DELAY`.

        Best-effort submissions don't count, since they are sent last. If the batcher is full, it requests a larger
        share of the write limit.
        """
        now = steady()
        ahead = (sum(not pending.best_effort for pending in self._pending.values()) + 1) * KEYS_PER_ACCEPTED_JOB
        if len(self._pending) < MAX_PENDING and self._limiter.wait_us(now, ahead) <= MAX_SEND_DELAY:
            return False
        self._limiter.raise_rate(now)
        return True

    def has_capacity_for_best_effort(self) -> bool:
        """Returns whether the limit has capacity left after all waiting submissions are sent."""
        return self._limiter.is_available_to_best_effort(steady(), (len(self._pending) + 1) * KEYS_PER_ACCEPTED_JOB)

    def is_throttled(self) -> bool:
        """Returns whether the write limit, rather than an outage of the state service, delays submissions."""
        return self._limiter.is_throttled(steady())

    def retry_after_s(self) -> int:
        """Returns after how many whole seconds a rejected submission will find capacity."""
        return self._limiter.retry_after_s(steady(), KEYS_PER_ACCEPTED_JOB)

    async def write_overflow(self, job_id: str, parts: list[Any]) -> bool:
        """Writes the overflow records of a job before its own record, without which they have no effect.

        Returns False if the user has to retry.
        """
        for number, part in enumerate(parts):
            wait = self._limiter.wait_us(steady(), 1)
            await asyncio.sleep(seconds(wait))
            self._limiter.consume(steady(), 1)
            try:
                result = await self._state.commit({job_key(job_id): 0}, {overflow_key(job_id, number): part})
            except (NoResponseError, RequestRefusedError):
                return False
            if not isinstance(result, Applied):
                return True  # the job has a record, which the submission will find
        return True

    async def submit(self, job_id: str, record: dict[str, Any], *, best_effort: bool = False) -> SubmitResult:
        """Commits a job unless it has a record, and returns the outcome."""
        pending = self._pending.get(job_id)
        is_first = pending is None
        if pending is None:
            pending = self._pending[job_id] = PendingSubmission(record, best_effort)
        if len(self._commits) < MAX_CONCURRENT_COMMITS:
            task = asyncio.get_running_loop().create_task(self._commit_pending())
            self._commits.add(task)
            task.add_done_callback(self._commits.discard)
        try:
            async with asyncio.timeout(seconds(MAX_SEND_DELAY)):
                await asyncio.shield(pending.sent)
        except TimeoutError:
            # All commits hang and this submission was never sent, so its user gets a response without further waiting.
            if self._pending.get(job_id) is pending:
                del self._pending[job_id]
                pending.result.set_result(SubmitResult(SubmitOutcome.UNKNOWN))
        result = await asyncio.shield(pending.result)
        if not is_first and result.outcome is SubmitOutcome.CREATED:
            return SubmitResult(SubmitOutcome.ALREADY_KNOWN)  # a concurrent submission created the job
        return result

    async def _commit_pending(self) -> None:
        """Commits one batch after another until no submission is pending."""
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
        """Removes and returns as many submissions as a transaction and the limit allow, best-effort ones last."""
        batch: dict[str, PendingSubmission] = {}
        size = wire.EMPTY_TRANSACTION_BYTES
        max_batch = min(self._max_batch, max(1, self._limiter.available(steady()) // KEYS_PER_ACCEPTED_JOB))
        for job_id in sorted(self._pending, key=lambda job_id: self._pending[job_id].best_effort):
            size += _submission_size(job_id, self._pending[job_id].record)
            if batch and (len(batch) >= max_batch or size > wire.MAX_TRANSACTION_BYTES):
                break
            batch[job_id] = self._pending.pop(job_id)
            batch[job_id].sent.set_result(None)
        return batch

    async def _commit(self, records: dict[str, dict[str, Any]]) -> dict[str, SubmitResult]:
        """Commits a batch and returns the outcomes that are decided.

        Only a commit of unknown outcome is repeated: a conflict then shows that the job has a record.
        """
        results: dict[str, SubmitResult] = {}
        remaining = dict(records)
        for timeout_us in COMMIT_TIMEOUTS:
            while remaining:
                conditions = {job_key(job_id): 0 for job_id in remaining}
                try:
                    result = await self._state.commit(conditions, _records_to_set(remaining), timeout_us=timeout_us)
                except NoResponseError:
                    break
                except RequestRefusedError as error:
                    if error.is_throttled:
                        self._limiter.on_throttled(steady())
                    elif error.is_malformed:
                        return results | await self._commit_one_by_one(remaining)
                    return results
                if isinstance(result, Applied):
                    created = SubmitResult(SubmitOutcome.CREATED, result.revision)
                    return results | dict.fromkeys(remaining, created)
                existing = [job_id for job_id in remaining if job_key(job_id) in result.failed_keys] or list(remaining)
                for job_id in existing:  # the other jobs of the batch are committed without them
                    results[job_id] = SubmitResult(SubmitOutcome.ALREADY_KNOWN)
                    del remaining[job_id]
        return results

    async def _commit_one_by_one(self, records: dict[str, dict[str, Any]]) -> dict[str, SubmitResult]:
        """Commits each job of a refused batch alone, so that a job whose record is refused stops no other."""
        if len(records) == 1:
            return dict.fromkeys(records, SubmitResult(SubmitOutcome.REFUSED))
        results: dict[str, SubmitResult] = {}
        for job_id, record in records.items():
            self._limiter.consume(steady(), KEYS_PER_ACCEPTED_JOB)
            results |= await self._commit({job_id: record})
        return results


def _submission_size(job_id: str, record: dict[str, Any]) -> int:
    """Returns the bytes by which a transaction grows if it accepts a job."""
    sets = _records_to_set({job_id: record})
    return sum(wire.set_size(key, value) for key, value in sets.items()) + wire.condition_size(job_key(job_id))


def _records_to_set(records: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Returns the keys to write: a job is stored under jobs/ and live/, a blocked job under jobs/ and `blocked_key`.

    A blocked job is not under live/ because an earlier version would start it there.
    """
    sets: dict[str, Any] = {}
    for job_id, record in records.items():
        second_key = blocked_key(job_id) if is_accepted_as_blocked(record) else live_key(job_id)
        sets[job_key(job_id)] = record
        sets[second_key] = record
    return sets


class BestEffortShare:
    """Limits the share of the write limit that best-effort jobs may use at each node; the rest is for other jobs.

    The share is not divided by the number of nodes: two nodes may have to serve the load of three, and users'
    connections are not spread evenly.
    """

    def __init__(self, write_rps: float) -> None:
        self._bucket = TokenBucket(BEST_EFFORT_SHARE * write_rps / KEYS_PER_ACCEPTED_JOB)

    def try_acquire(self) -> bool:
        """Takes the capacity for one submission and returns True, or returns False if there is none."""
        if self._bucket.available() < 1:
            return False
        self._bucket.reserve()
        return True
