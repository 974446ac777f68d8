"""The gateway's rows in the state service: batched, conditioned, within its share of the budget."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import Any

from oatport import wire
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.clients.state import Applied, LeaseExpiredError, StateClient
from oatport.clients.token_bucket import TokenBucket
from oatport.errors import OatportError
from oatport.queues.rows import ROWS, MessageRow, row_key
from oatport.times import MS, SECOND

log = logging.getLogger(__name__)

BATCHING_WINDOW_S = 0.004  # changes wait this long for others to go with them
MAX_PENDING = 5_000
MAX_BATCH_BYTES = 40 * 1024  # of a transaction, the protocol's 64 KiB less what else is in it
MAX_TRIES = 6


class StoreUnavailableError(OatportError):
    """The state service can't be reached now: nothing is known to be changed. Come back later."""


@dataclass(slots=True)
class _Change:
    conditions: dict[str, int]
    key: str
    value: Any  # None: drop
    size: int
    done: asyncio.Future[int] = field(default_factory=lambda: asyncio.get_running_loop().create_future())


class Store:
    """Each change is alone in being applied or not, whatever goes with it in a transaction."""

    def __init__(self, state: StateClient, changes_per_s: float, requests_per_s: float, txn_ops: int) -> None:
        self.state = state
        self._changes = TokenBucket(changes_per_s)
        self.request_limit = TokenBucket(requests_per_s)
        self._txn_ops = txn_ops
        self._waiting: list[_Change] = []
        self._runner: asyncio.Task[None] | None = None
        self.write_count = self.request_count = 0  # operations, and requests: what a message costs

    async def change(self, key: str, value: Any, conditions: dict[str, int], size: int = 512) -> int:
        """The revision; 0 if a condition does not hold. Raises StoreUnavailableError."""
        if len(self._waiting) >= MAX_PENDING:
            raise StoreUnavailableError("too many changes are pending")
        change = _Change(conditions, key, value, size)
        self._waiting.append(change)
        if self._runner is None or self._runner.done():
            self._runner = asyncio.get_running_loop().create_task(self._run())
        return await change.done

    async def get(self, key: str) -> wire.StoredValue | None:
        """The value of a key; None if there is none. Raises StoreUnavailableError."""
        await self.request_limit.acquire()
        self.request_count += 1
        try:
            return await self.state.get(key)
        except (NoResponseError, RequestRefusedError) as error:
            raise StoreUnavailableError(str(error)) from error

    async def row(self, job_id: str) -> tuple[MessageRow, int] | None:
        """A message's row and its version; None if there is none. Raises StoreUnavailableError."""
        found = await self.get(row_key(job_id))
        return None if found is None else (MessageRow.decode(job_id, found.value), found.revision)

    async def rows(self, prefix: str = ROWS) -> tuple[list[tuple[MessageRow, int]], int]:
        """All rows under a prefix with their versions, and the revision to watch from. Raises StoreUnavailableError."""
        await self.request_limit.acquire()
        self.request_count += 1
        try:
            items, revision = await self.state.list_prefix(prefix)
        except (NoResponseError, RequestRefusedError) as error:
            raise StoreUnavailableError(str(error)) from error
        return [row for item in items if (row := decode_row(*item))], revision

    async def _run(self) -> None:
        await asyncio.sleep(BATCHING_WINDOW_S)
        while self._waiting:
            batch: list[_Change] = []
            keys: set[str] = set()
            size = 0
            while self._waiting and len(batch) < self._txn_ops:
                change = self._waiting[0]
                if change.key in keys or (batch and size + change.size > MAX_BATCH_BYTES):
                    break
                keys.add(change.key)
                size += change.size
                batch.append(self._waiting.pop(0))
            try:
                await self._commit(batch)
            finally:
                for change in batch:
                    if not change.done.done():
                        change.done.set_exception(StoreUnavailableError())

    @staticmethod
    def _settle(batch: list[_Change], revision: int) -> None:
        for change in batch:
            if not change.done.done():  # whoever asked may have ended
                change.done.set_result(revision)

    async def _commit(self, batch: list[_Change]) -> None:
        tries = 0
        while batch:
            conditions: dict[str, int] = {}
            for change in batch:
                conditions |= change.conditions
            await self._changes.acquire(len(batch))
            await self.request_limit.acquire()
            self.request_count += 1
            self.write_count += len(batch)
            try:
                result = await self.state.commit(
                    conditions,
                    {c.key: c.value for c in batch if c.value is not None},
                    [c.key for c in batch if c.value is None],
                )
            except LeaseExpiredError:
                return
            except (NoResponseError, RequestRefusedError) as error:
                # Tried again as it is: should one of unknown outcome have been applied, its own conditions fail then,
                # and whoever asked reads what is there.
                tries += 1
                if tries >= MAX_TRIES or (isinstance(error, RequestRefusedError) and 400 <= error.status < 429):
                    return
                await asyncio.sleep(jitter(min(50 * MS << tries, SECOND)))
                continue
            if isinstance(result, Applied):
                self._settle(batch, result.revision)
                return
            failed = [c for c in batch if any(key in result.failed_keys for key in c.conditions)]
            self._settle(failed or batch, 0)
            batch = [c for c in batch if not c.done.done()]


def decode_row(key: str, value: Any, version: int) -> tuple[MessageRow, int] | None:
    """A row as read; None for one that is none (logged: nothing else writes there)."""
    job_id = key.rpartition("/")[2]
    try:
        return MessageRow.decode(job_id, value), int(version)
    except (KeyError, TypeError, ValueError):
        log.error("record is not a message row key=%s", key)
        return None
