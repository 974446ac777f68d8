"""One final answer for each message: recorded, published with a confirm, marked. For the parts that this gateway owns.

Recording is conditioned on the part's token, so an answer is recorded once; publishing can't be fenced, so it goes out
only while the gateway's lease can't have ended (`control/leadership/leader_lease.py`). A crash between
repeats the identical answer under the same message id, which `oatport.queues.client` drops.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

from oatport.queues.core import Core, CoreOutcome
from oatport.queues.identity import part_of
from oatport.queues.rows import (
    ANSWERED,
    EXPIRED,
    TAKEN,
    TOLD,
    Row,
    answer_from,
    part_key,
    row_key,
)
from oatport.queues.rows import REFUSED as ANSWER_REFUSED
from oatport.queues.store import Store
from oatport.times import SECOND

log = logging.getLogger(__name__)

ORPHAN_AFTER = 10 * SECOND  # a row whose job nobody saw for that long is looked after
Publish = Callable[[Row], Awaitable[bool]]  # True: confirmed, or there is nobody to tell


class Outbox:
    """`entitled`: the lease can't have ended. Times are of the time of day, in microseconds."""

    def __init__(
        self,
        store: Store,
        core: Core,
        publish: Publish,
        entitled: Callable[[], bool],
        clock: Callable[[], int],
    ) -> None:
        self._store = store
        self._core = core
        self._publish = publish
        self._entitled = entitled
        self._clock = clock
        self.parts: dict[int, int] = {}  # part -> token
        self.rows: dict[str, tuple[Row, int]] = {}  # of these parts, not told yet
        self.ready: dict[str, None] = {}  # answered, to be published
        self._seen_at: dict[str, int] = {}

    # --- parts ------------------------------------------------------------------------------------

    def own(self, part: int, token: int, rows: list[tuple[Row, int]]) -> list[str]:
        """A part is ours, with these rows; the refs whose jobs are to be looked at."""
        self.parts[part] = token
        for row, version in rows:
            self.saw(row, version)
        return [row.ref for row, _ in rows if row.state == TAKEN]

    def disown(self, part: int) -> None:
        self.parts.pop(part, None)
        for ref in [ref for ref in self.rows if part_of(ref) == part]:
            self._forget(ref)

    def saw(self, row: Row, version: int) -> None:
        """A row as it is now; of other gateways' parts it is none of ours."""
        if part_of(row.ref) not in self.parts:
            return
        known = self.rows.get(row.ref)
        if known is not None and known[1] >= version:
            return
        if row.state == TOLD:
            self._forget(row.ref)
            return
        self.rows[row.ref] = (row, version)
        self._seen_at.setdefault(row.ref, self._clock())
        if row.state == ANSWERED:
            self.ready[row.ref] = None

    def _forget(self, ref: str) -> None:
        self.rows.pop(ref, None)
        self.ready.pop(ref, None)
        self._seen_at.pop(ref, None)

    # --- answers ----------------------------------------------------------------------------------

    async def job_changed(self, ref: str, record: Any) -> None:
        """A job's record as it is now. Raises Away."""
        known = self.rows.get(ref)
        if known is None or known[0].state != TAKEN:
            return
        answer = answer_from(record, known[0], self._clock())
        if answer is not None:
            await self._record(*known, *answer)

    async def _record(self, row: Row, version: int, answer: str, cause: str) -> None:
        token = self.parts.get(part_of(row.ref))
        if token is None:
            return
        answered = row.answered(answer, cause)
        revision = await self._store.change(
            row_key(row.ref), answered.value(), {row_key(row.ref): version, part_key(part_of(row.ref)): token}
        )
        if revision:
            self.saw(answered, revision)
            return
        await self._reread(row.ref)

    async def _reread(self, ref: str) -> None:
        """Somebody else changed it, or our own change was applied without an answer."""
        found = await self._store.row(ref)
        if found is None:
            self._forget(ref)
        else:
            self.rows.pop(ref, None)
            self.saw(*found)

    async def tell(self, ref: str) -> bool:
        """Publish an answer that is recorded, and mark that; True when it is told. Raises Away."""
        known = self.rows.get(ref)
        token = self.parts.get(part_of(ref))
        if known is None or known[0].state != ANSWERED or token is None:
            self.ready.pop(ref, None)
            return False
        row, version = known
        if not self._entitled():
            return False  # another gateway may own the part by now
        if not await self._publish(row):
            return False
        told = row.told(self._clock())
        revision = await self._store.change(
            row_key(ref), told.value(), {row_key(ref): version, part_key(part_of(ref)): token}
        )
        if revision:
            self._forget(ref)
            return True
        await self._reread(ref)
        return False

    # --- what time brings ---------------------------------------------------------------------------

    def look_at_all(self) -> None:
        """Changes were missed: any job may be over, and the next sweeps look."""
        self._seen_at = dict.fromkeys(self.rows, 0)

    def expired(self) -> list[str]:
        """Rows whose time is over though nothing was answered."""
        now = self._clock()
        return [ref for ref, (row, _) in self.rows.items() if row.state == TAKEN and 0 < row.expires_at <= now]

    def unseen(self) -> list[str]:
        """Rows that wait for their job for long: their gateway may have died between row and job."""
        now = self._clock()
        found = [
            ref
            for ref, (row, _) in self.rows.items()
            if row.state == TAKEN and now - self._seen_at.get(ref, now) > ORPHAN_AFTER
        ]
        for ref in found:
            self._seen_at[ref] = now
        return found

    async def look_after(self, ref: str, record: Any) -> None:
        """A row whose job was not heard of: `record` is its job's as read now, None if there is none. Raises Away."""
        known = self.rows.get(ref)
        if known is None or known[0].state != TAKEN:
            return
        row, version = known
        if record is not None:
            await self.job_changed(ref, record)
        elif row.expires_at and self._clock() >= row.expires_at:
            await self._record(row, version, EXPIRED, "expired before it was accepted")
        elif row.job is not None:
            response = await self._core.submit(row.job)
            if response.outcome is CoreOutcome.REFUSED:
                await self._record(row, version, ANSWER_REFUSED, response.cause)
            elif response.outcome is CoreOutcome.ACCEPTED:
                log.info("job %s: submitted for a gateway that did not get to it", ref)
