"""Accepted jobs are committed together: those that come while a commit is under way go into the next one."""

from __future__ import annotations

import asyncio
from typing import Any

from oatport import wire
from oatport.clients.http import NoResponseError, RequestRefusedError
from oatport.clients.state import Applied, StateClient
from oatport.clients.token_bucket import TokenBucket
from oatport.control.limits.rate_limiter import AdaptiveRateLimiter
from oatport.control.storage.keys import ACCEPT_KEYS, blocked_key, job_key, live_key, overflow_key
from oatport.control.storage.overflow_records import is_accepted_as_blocked
from oatport.times import MS, seconds, steady

TRIES = (700 * MS, 400 * MS)  # the state service mostly takes 10 ms, at times a few hundred
WAITING_MOST = 100
IDLE_SHARE = 0.6
AT_ONCE = 4
SENT_WITHIN = 150 * MS
BYTES_MOST = 24 * 1024  # of records in one transaction: well below its limit

CREATED, KNOWN, UNSURE = "created", "known", "unsure"
AcceptOutcome = tuple[str, int]  # what became of it, and the revision it was created with
Entry = tuple[
    dict[str, Any], asyncio.Future[AcceptOutcome], asyncio.Future[None], bool
]  # record, outcome, sent, goes last


class SubmissionBatcher:
    def __init__(self, state: StateClient, txn_ops: int, limiter: AdaptiveRateLimiter) -> None:
        self._state = state
        self._most = max(1, txn_ops // ACCEPT_KEYS)
        self._limiter = limiter
        self._waiting: dict[str, Entry] = {}
        self._running: set[asyncio.Task[None]] = set()

    def full(self) -> bool:
        """One more would wait in vain: it could not be sent soon. Work of the lowest priority goes last."""
        now = steady()
        ahead = (sum(not entry[3] for entry in self._waiting.values()) + 1) * ACCEPT_KEYS
        if len(self._waiting) < WAITING_MOST and self._limiter.wait_us(now, ahead) <= SENT_WITHIN:
            return False
        self._limiter.request_more(now)
        return True

    def spare(self) -> bool:
        return self._limiter.available_to_best_effort(steady(), (len(self._waiting) + 1) * ACCEPT_KEYS)

    def short(self) -> bool:
        """Changes are short, rather than the state service away."""
        return self._limiter.is_throttled(steady())

    def comes_back(self) -> int:
        """When somebody who was sent away finds room, in whole seconds."""
        return self._limiter.retry_after_s(steady(), ACCEPT_KEYS)

    async def ahead(self, ref: str, parts: list[Any]) -> bool:
        """Write long lists of a job ahead of its accept, which they count with. False: its user must come back."""
        for number, part in enumerate(parts):
            wait = self._limiter.wait_us(steady(), 1)
            await asyncio.sleep(seconds(wait))
            self._limiter.consume(steady(), 1)
            try:
                result = await self._state.commit({job_key(ref): 0}, {overflow_key(ref, number): part})
            except (NoResponseError, RequestRefusedError):
                return False
            if not isinstance(result, Applied):
                return True  # it is known: that will be told
        return True

    async def add(self, ref: str, record: dict[str, Any], last: bool = False) -> AcceptOutcome:
        """Commit a job if it isn't known. KNOWN: there is a record. UNSURE: its user must come back."""
        entry = self._waiting.get(ref)
        if entry is None:
            loop = asyncio.get_running_loop()
            entry = self._waiting[ref] = (record, loop.create_future(), loop.create_future(), last)
            created = True
        else:
            created = False  # submitted twice at once: the second is told what became of the first
        if len(self._running) < AT_ONCE:
            task = asyncio.get_running_loop().create_task(self._rounds())
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        try:
            async with asyncio.timeout(seconds(SENT_WITHIN)):
                await asyncio.shield(entry[2])
        except TimeoutError:
            # All calls hang: it was never sent, and its user is told so rather than kept waiting.
            if self._waiting.get(ref) is entry:
                del self._waiting[ref]
                entry[1].set_result((UNSURE, 0))
        outcome, revision = await asyncio.shield(entry[1])
        return (outcome, revision) if created or outcome != CREATED else (KNOWN, 0)

    async def _rounds(self) -> None:
        while self._waiting:
            wait = self._limiter.wait_us(steady(), ACCEPT_KEYS)
            if wait:
                await asyncio.sleep(seconds(wait))
                continue
            batch: dict[str, Entry] = {}
            size = 0
            most = min(self._most, max(1, self._limiter.available(steady()) // ACCEPT_KEYS))
            for ref in sorted(self._waiting, key=lambda ref: self._waiting[ref][3]):
                size += len(wire.encode(self._waiting[ref][0])) * ACCEPT_KEYS
                if batch and (len(batch) >= most or size > BYTES_MOST):
                    break
                batch[ref] = self._waiting.pop(ref)
                batch[ref][2].set_result(None)
            self._limiter.consume(steady(), len(batch) * ACCEPT_KEYS)
            try:
                outcomes = await self._commit({ref: record for ref, (record, *_) in batch.items()})
            except Exception:
                for _, future, *_ in batch.values():
                    future.set_result((UNSURE, 0))
                raise
            for ref, (_, future, *_) in batch.items():
                future.set_result(outcomes.get(ref, (UNSURE, 0)))

    async def _commit(self, records: dict[str, dict[str, Any]]) -> dict[str, AcceptOutcome]:
        """Only an unsure commit is tried again: the conflict that follows a lost answer tells that the job is there."""
        outcomes: dict[str, AcceptOutcome] = {}
        left = dict(records)
        for timeout_us in TRIES:
            while left:
                sets: dict[str, Any] = {}
                for ref, record in left.items():
                    # One that names others is not laid under live/, where an earlier version would start it.
                    sets[job_key(ref)] = sets[(blocked_key if is_accepted_as_blocked(record) else live_key)(ref)] = (
                        record
                    )
                try:
                    result = await self._state.commit({job_key(ref): 0 for ref in left}, sets, timeout_us=timeout_us)
                except NoResponseError:
                    break
                except RequestRefusedError as error:
                    if error.status == 429:
                        self._limiter.on_throttled(steady())
                    return outcomes
                if isinstance(result, Applied):
                    return outcomes | {ref: (CREATED, result.revision) for ref in left}
                known = [ref for ref in left if job_key(ref) in result.failed_keys] or list(left)
                for ref in known:  # the others are none the worse for it
                    outcomes[ref] = (KNOWN, 0)
                    del left[ref]
        return outcomes


class Share:
    """What idle work may take of the budget for writes at each node, so that the rest always finds some.

    Not divided by the nodes: two may have to serve for three, and connections are not spread evenly.
    """

    def __init__(self, write_rps: float) -> None:
        self._bucket = TokenBucket(IDLE_SHARE * write_rps / ACCEPT_KEYS)

    def take(self) -> bool:
        if self._bucket.available() < 1:
            return False
        self._bucket.reserve()
        return True
