"""The gateway's access to its rows in the state service: batched, conditional and rate-limited."""

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
from oatport.queues.rows import ROWS_PREFIX, MessageRow, row_key
from oatport.times import MS, SECOND

log = logging.getLogger(__name__)

BATCHING_WINDOW_S = 0.004  # changes are collected into a batch for this long
MAX_PENDING_CHANGES = 5_000
MAX_COMMIT_TRIES = 6


class StoreUnavailableError(OatportError):
    """Raised if a row can't be read or changed now; a change may or may not have been applied. Callers retry later."""


@dataclass(slots=True)
class _PendingChange:
    conditions: dict[str, int]
    key: str
    value: Any  # None: delete the key
    outcome: asyncio.Future[int] = field(default_factory=lambda: asyncio.get_running_loop().create_future())

    @property
    def transaction_bytes(self) -> int:
        """Returns the bytes by which a transaction grows for this change."""
        size = wire.delete_size(self.key) if self.value is None else wire.set_size(self.key, self.value)
        return size + sum(wire.condition_size(key, revision) for key, revision in self.conditions.items())


class Store:
    """Batches changes into transactions. A change whose conditions fail does not affect the others of its batch."""

    def __init__(self, state: StateClient, changes_per_s: float, requests_per_s: float, txn_ops: int) -> None:
        self.state = state
        self._change_limit = TokenBucket(changes_per_s)
        self.request_limit = TokenBucket(requests_per_s)
        self._txn_ops = txn_ops
        self._pending: list[_PendingChange] = []
        self._commit_task: asyncio.Task[None] | None = None
        self.write_count = self.request_count = 0  # operations and requests, for the cost per message

    async def change(self, key: str, value: Any, conditions: dict[str, int]) -> int:
        """Writes or deletes a key. Returns the revision; 0 if a condition fails. Raises StoreUnavailableError."""
        if len(self._pending) >= MAX_PENDING_CHANGES:
            raise StoreUnavailableError("too many changes are pending")
        change = _PendingChange(conditions, key, value)
        self._pending.append(change)
        if self._commit_task is None or self._commit_task.done():
            self._commit_task = asyncio.get_running_loop().create_task(self._commit_pending())
        return await change.outcome

    async def get(self, key: str) -> wire.StoredValue | None:
        """Returns the value of a key; None if there is none. Raises StoreUnavailableError."""
        await self.request_limit.acquire()
        self.request_count += 1
        try:
            return await self.state.get(key)
        except (NoResponseError, RequestRefusedError) as error:
            raise StoreUnavailableError(str(error)) from error

    async def get_row(self, job_id: str) -> tuple[MessageRow, int] | None:
        """Returns a message's row and its version; None if there is none. Raises StoreUnavailableError."""
        found = await self.get(row_key(job_id))
        return None if found is None else (MessageRow.decode(job_id, found.value), found.revision)

    async def list_rows(self, prefix: str = ROWS_PREFIX) -> tuple[list[tuple[MessageRow, int]], int]:
        """Returns all rows under a prefix with their versions, and the revision to watch from.

        Raises StoreUnavailableError.
        """
        await self.request_limit.acquire()
        self.request_count += 1
        try:
            items, revision = await self.state.list_prefix(prefix)
        except (NoResponseError, RequestRefusedError) as error:
            raise StoreUnavailableError(str(error)) from error
        return [row for item in items if (row := decode_row(*item))], revision

    async def _commit_pending(self) -> None:
        await asyncio.sleep(BATCHING_WINDOW_S)
        while self._pending:
            batch: list[_PendingChange] = []
            keys: set[str] = set()
            size = wire.EMPTY_TRANSACTION_BYTES
            while self._pending and len(batch) < self._txn_ops:
                change = self._pending[0]
                size += change.transaction_bytes
                if change.key in keys or (batch and size > wire.MAX_TRANSACTION_BYTES):
                    break
                keys.add(change.key)
                batch.append(self._pending.pop(0))
            try:
                await self._commit(batch)
            finally:
                for change in batch:
                    if not change.outcome.done():
                        change.outcome.set_exception(StoreUnavailableError())

    @staticmethod
    def _resolve(batch: list[_PendingChange], revision: int) -> None:
        for change in batch:
            if not change.outcome.done():  # the caller may have been cancelled
                change.outcome.set_result(revision)

    async def _commit(self, batch: list[_PendingChange]) -> None:
        """Commits a batch. Changes whose conditions fail get the outcome 0; the others are committed without them."""
        failures = 0
        while batch:
            conditions: dict[str, int] = {}
            for change in batch:
                conditions |= change.conditions
            await self._change_limit.acquire(len(batch))
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
                # The same transaction is repeated. If an earlier attempt of unknown outcome was applied, its own
                # conditions fail now, and the caller reads the current row.
                failures += 1
                if isinstance(error, RequestRefusedError) and error.is_malformed:
                    await self._commit_one_by_one(batch)
                    return
                if failures >= MAX_COMMIT_TRIES:
                    return
                await asyncio.sleep(jitter(min(50 * MS << failures, SECOND)))
                continue
            if isinstance(result, Applied):
                self._resolve(batch, result.revision)
                return
            failed = [c for c in batch if any(key in result.failed_keys for key in c.conditions)]
            self._resolve(failed or batch, 0)
            batch = [c for c in batch if not c.outcome.done()]

    async def _commit_one_by_one(self, batch: list[_PendingChange]) -> None:
        """Commits each change of a refused batch alone, so that a row that is refused stops no other one."""
        if len(batch) > 1:
            for change in batch:
                await self._commit([change])


def decode_row(key: str, value: Any, version: int) -> tuple[MessageRow, int] | None:
    """Returns a decoded row and its version; None if it is malformed, which is logged, as only gateways write rows."""
    job_id = key.rpartition("/")[2]
    try:
        return MessageRow.decode(job_id, value), int(version)
    except (KeyError, TypeError, ValueError):
        log.error("record is not a message row key=%s", key)
        return None
