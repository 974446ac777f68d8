"""The answers of the parts that this gateway owns: each is recorded, published with a confirm, marked as delivered.

Recording is conditioned on the part's fencing token, so an answer is recorded once. Publishing can't be fenced, so
an answer is published only while the gateway's lease can't have expired (`control/leadership/leader_lease.py`). After a
crash between publishing and marking, the identical answer is published again under the same message id, and
`oatport.queues.client` drops the duplicate.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

from oatport.queues.core import SchedulerClient, SchedulerOutcome
from oatport.queues.identity import part_of
from oatport.queues.rows import (
    AnswerKind,
    MessageRow,
    RowState,
    answer_of_record,
    part_key,
    row_key,
)
from oatport.queues.store import Store
from oatport.times import SECOND

log = logging.getLogger(__name__)

RECONCILE_INTERVAL = 10 * SECOND  # taken rows are reconciled with the records of their jobs this often
Publish = Callable[[MessageRow], Awaitable[bool]]  # True: confirmed, or there is no recipient


class Outbox:
    """Holds the undelivered rows of the gateway's parts, and records and publishes their answers.

    `holds_lease` returns whether the gateway's lease can't have expired. Times are wall-clock times.
    """

    def __init__(
        self,
        store: Store,
        scheduler: SchedulerClient,
        publish: Publish,
        holds_lease: Callable[[], bool],
        clock: Callable[[], int],
    ) -> None:
        self._store = store
        self._scheduler = scheduler
        self._publish = publish
        self._holds_lease = holds_lease
        self._clock = clock
        self.parts: dict[int, int] = {}  # part -> fencing token
        self.rows: dict[str, tuple[MessageRow, int]] = {}  # job id -> undelivered row of these parts, and its version
        self.ready_answers: dict[str, None] = {}  # job ids of answered rows that are not published yet
        self._reconciled_at: dict[str, int] = {}

    # --- parts ------------------------------------------------------------------------------------

    def add_part(self, part: int, token: int, rows: list[tuple[MessageRow, int]]) -> list[str]:
        """Adds a part that this gateway acquired, and its rows. Returns the job ids of those without an answer."""
        self.parts[part] = token
        for row, version in rows:
            self.on_row_changed(row, version)
        return [row.job_id for row, _ in rows if row.state == RowState.TAKEN]

    def remove_part(self, part: int) -> None:
        """Removes a part and its rows: the gateway does not own the part any more."""
        self.parts.pop(part, None)
        for job_id in [job_id for job_id in self.rows if part_of(job_id) == part]:
            self._remove_row(job_id)

    def on_row_changed(self, row: MessageRow, version: int) -> None:
        """Stores the new version of a row. Rows of other gateways' parts and older versions are ignored."""
        if part_of(row.job_id) not in self.parts:
            return
        entry = self.rows.get(row.job_id)
        if entry is not None and entry[1] >= version:
            return
        if row.state == RowState.DELIVERED:
            self._remove_row(row.job_id)
            return
        self.rows[row.job_id] = (row, version)
        self._reconciled_at.setdefault(row.job_id, self._clock())
        if row.state == RowState.ANSWERED:
            self.ready_answers[row.job_id] = None

    def _remove_row(self, job_id: str) -> None:
        self.rows.pop(job_id, None)
        self.ready_answers.pop(job_id, None)
        self._reconciled_at.pop(job_id, None)

    # --- answers ----------------------------------------------------------------------------------

    async def on_job_changed(self, job_id: str, record: Any) -> None:
        """Records the answer that follows from a job's record, if there is one. Raises StoreUnavailableError."""
        entry = self.rows.get(job_id)
        if entry is None or entry[0].state != RowState.TAKEN:
            return
        answer = answer_of_record(record, entry[0], self._clock())
        if answer is not None:
            await self._record_answer(*entry, *answer)

    async def _record_answer(self, row: MessageRow, version: int, answer: str, cause: str) -> None:
        token = self.parts.get(part_of(row.job_id))
        if token is None:
            return
        answered = row.with_answer(answer, cause)
        revision = await self._store.change(
            row_key(row.job_id), answered.encode(), {row_key(row.job_id): version, part_key(part_of(row.job_id)): token}
        )
        if revision:
            self.on_row_changed(answered, revision)
            return
        await self._reload_row(row.job_id)

    async def _reload_row(self, job_id: str) -> None:
        """Reads a row again after a failed change: another writer changed it, or an earlier change got no response."""
        found = await self._store.get_row(job_id)
        if found is None:
            self._remove_row(job_id)
        else:
            self.rows.pop(job_id, None)
            self.on_row_changed(*found)

    async def publish_answer(self, job_id: str) -> bool:
        """Publishes a recorded answer and marks its row as delivered. Returns whether both succeeded.

        Raises StoreUnavailableError.
        """
        entry = self.rows.get(job_id)
        token = self.parts.get(part_of(job_id))
        if entry is None or entry[0].state != RowState.ANSWERED or token is None:
            self.ready_answers.pop(job_id, None)
            return False
        row, version = entry
        if not self._holds_lease():
            return False  # another gateway may own the part by now
        if not await self._publish(row):
            return False
        delivered = row.as_delivered(self._clock())
        revision = await self._store.change(
            row_key(job_id), delivered.encode(), {row_key(job_id): version, part_key(part_of(job_id)): token}
        )
        if revision:
            self._remove_row(job_id)
            return True
        await self._reload_row(job_id)
        return False

    # --- expiry and reconciliation ------------------------------------------------------------------

    def mark_all_stale(self) -> None:
        """Makes all rows stale after missed changes, as any job may have terminated; the next sweeps reconcile them."""
        self._reconciled_at = dict.fromkeys(self.rows, 0)

    def list_expired(self) -> list[str]:
        """Returns the job ids of rows that expired without an answer."""
        now = self._clock()
        return [
            job_id
            for job_id, (row, _) in self.rows.items()
            if row.state == RowState.TAKEN and 0 < row.expires_at <= now
        ]

    def collect_stale(self) -> list[str]:
        """Returns the job ids of taken rows that are due for reconciliation, and restarts their interval.

        The gateway that wrote such a row may have died before it submitted the job.
        """
        now = self._clock()
        stale = [
            job_id
            for job_id, (row, _) in self.rows.items()
            if row.state == RowState.TAKEN and now - self._reconciled_at.get(job_id, now) > RECONCILE_INTERVAL
        ]
        for job_id in stale:
            self._reconciled_at[job_id] = now
        return stale

    async def reconcile(self, job_id: str, record: Any) -> None:
        """Answers a taken row from its job's current record, or submits the job if `record` is None (no such job).

        Raises StoreUnavailableError.
        """
        entry = self.rows.get(job_id)
        if entry is None or entry[0].state != RowState.TAKEN:
            return
        row, version = entry
        if record is not None:
            await self.on_job_changed(job_id, record)
        elif row.expires_at and self._clock() >= row.expires_at:
            await self._record_answer(row, version, AnswerKind.EXPIRED, "expired before it was accepted")
        elif row.job is not None:
            response = await self._scheduler.submit(row.job)
            if response.outcome is SchedulerOutcome.REFUSED:
                await self._record_answer(row, version, AnswerKind.REFUSED, response.cause)
            elif response.outcome is SchedulerOutcome.ACCEPTED:
                log.info("submitted job of an orphaned message job_id=%s", job_id)
