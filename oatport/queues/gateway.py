"""A gateway's lifecycle: membership, parts, watches on the state service, and what is told. AMQP is in `link`."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Awaitable, Callable
from itertools import islice
from typing import Any

from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.clients.state import Applied, LeaseExpiredError, StateClient
from oatport.control.leadership.leader_lease import LeaderLease
from oatport.control.storage.keys import JOBS_PREFIX
from oatport.queues.core import Core
from oatport.queues.intake import SubmissionBatcher
from oatport.queues.members import parts_for
from oatport.queues.outbox import Outbox
from oatport.queues.rows import MEMBERS, PART_KEYS, ROWS, MessageRow, RowState, part_key, part_prefix
from oatport.queues.settings import GatewaySettings
from oatport.queues.store import Store, StoreUnavailableError, decode_row
from oatport.service.background_tasks import BackgroundTasks
from oatport.times import MS, SECOND, micros, seconds, steady, time_of_day

log = logging.getLogger(__name__)

TOLD_AT_ONCE = 128
WATCH_WAIT = 2 * SECOND
WATCH_GAP = 100 * MS  # between two looks: a busy time costs no request a change
SWEEP_S = 1.0
LOOKED_AT_ONCE = 20  # rows whose jobs are read in one sweep
KEEP_TOLD = 30 * 86_400 * SECOND  # identities are kept for this long after the answer


class Gateway:
    """`publish`: an answer to its sender, True once the broker confirmed it (or there is nobody to tell)."""

    def __init__(
        self,
        settings: GatewaySettings,
        state: StateClient,
        core: Core,
        publish: Callable[[MessageRow], Awaitable[bool]],
    ) -> None:
        self.settings = settings
        self.state = state
        self.core = core
        self.store = Store(state, settings.changes_per_s, settings.requests_per_s, settings.txn_ops)
        self.outbox = Outbox(self.store, core, publish, self.entitled, time_of_day)
        self.intake = SubmissionBatcher(self.store, core, self._saw)
        self.group = BackgroundTasks()
        self.boot = secrets.token_hex(6)
        self._life = micros(settings.lease_s)
        self._mandate = LeaderLease(self._life, 0)
        self._lease = 0
        self._ousted = False
        self._telling: set[str] = set()
        self._ready = asyncio.Event()

    def start(self) -> None:
        for name, loop in (
            ("members", self._member_loop),
            ("rows", self._rows_loop),
            ("jobs", self._jobs_loop),
            ("tell", self._tell_loop),
            ("sweep", self._sweep_loop),
            ("prune", self._prune_loop),
        ):
            self.group.supervise(name, loop)

    def close(self) -> None:
        self.group.close()

    def entitled(self) -> bool:
        """The lease that the parts hang on can't have ended; after a freeze it may have."""
        return self._lease > 0 and self._mandate.is_held(steady())

    def _saw(self, row: MessageRow, version: int) -> None:
        self.outbox.saw(row, version)
        if self.outbox.ready:
            self._ready.set()

    # --- membership and parts -----------------------------------------------------------------------

    async def _member_loop(self) -> None:
        while True:
            try:
                if not self._lease:
                    await self._join()
                else:
                    asked = steady()
                    await self.state.renew_lease(self._lease, min(self._life // 2, SECOND))
                    self._mandate.on_renewed(asked)
                if self._lease:
                    await self._share_parts()
            except LeaseExpiredError:
                log.warning("the lease ended: %d parts are others' now", len(self.outbox.parts))
                self._lose_all()
                continue
            except (NoResponseError, RequestRefusedError, StoreUnavailableError) as error:
                log.info("members: %s", error)
                await asyncio.sleep(jitter(min(self._life // 10, SECOND)))
                continue
            await asyncio.sleep(seconds(self._life // 5))

    def _lose_all(self) -> None:
        self._lease = 0
        for part in list(self.outbox.parts):
            self.outbox.disown(part)

    async def _join(self) -> None:
        """A key of our own on a new lease. One that an earlier process of this name left is replaced."""
        key = MEMBERS + self.settings.name
        found = await self.state.get(key)
        if found is not None and self._ousted:
            raise StoreUnavailableError(f"another process goes by the name {self.settings.name}")
        self._ousted = False
        if found is not None and found[0].get("boot") != self.boot:
            log.info("taking the place of an earlier gateway %s", self.settings.name)
        asked = steady()
        lease = await self.state.grant_lease(self._life)
        result = await self.state.commit({key: found[1] if found else 0}, {key: {"boot": self.boot}}, lease=lease)
        if isinstance(result, Applied):
            self._lease = lease
            self._mandate = LeaderLease(self._life, asked)
            log.info("gateway %s joined", self.settings.name)

    async def _share_parts(self) -> None:
        members, _ = await self.state.list_prefix(MEMBERS)
        mine = next((entry for entry in members if entry.key == MEMBERS + self.settings.name), None)
        if mine is None or mine.value.get("boot") != self.boot:
            # Another process has this name: two must not share one place, nor take it from one another in turns.
            self._ousted = mine is not None
            raise LeaseExpiredError
        wanted = parts_for(self.settings.name, [entry.key[len(MEMBERS) :] for entry in members])
        rows, _ = await self.state.list_prefix(PART_KEYS)
        held = {int(entry.key[len(PART_KEYS) :]): (entry.value, entry.revision) for entry in rows}
        for part, token in list(self.outbox.parts.items()):
            if held.get(part, ({}, 0))[1] != token:
                self.outbox.disown(part)
            elif part not in wanted:
                self.outbox.disown(part)  # nothing is told of it from here on, then it is given away
                await self.state.commit({part_key(part): token}, {}, [part_key(part)])
        for part in sorted(wanted - self.outbox.parts.keys()):
            before = held.get(part)
            if before is not None and before[0].get("boot") != self.boot:
                continue  # its owner gives it up, or its lease ends
            await self._take_part(part, before[1] if before else 0)

    async def _take_part(self, part: int, version: int) -> None:
        value = {"name": self.settings.name, "boot": self.boot}
        result = await self.state.commit({part_key(part): version}, {part_key(part): value}, lease=self._lease)
        if not isinstance(result, Applied):
            return
        # Ours before it is read: a row written while the list was on its way was once seen by nobody.
        self.outbox.own(part, result.revision, [])
        try:
            rows, _ = await self.store.rows(part_prefix(part))
        except StoreUnavailableError:
            self.outbox.disown(part)  # taken again, and read then
            raise
        open_rows = [(row, at) for row, at in rows if row.state != RowState.DELIVERED]
        taken = self.outbox.own(part, result.revision, open_rows)
        if open_rows:
            log.info("part %d: %d messages without an answer told", part, len(open_rows))
            self._ready.set()
        for ref in taken:
            self.group.spawn("look after", self._look_after(ref))

    async def _look_after(self, ref: str) -> None:
        try:
            found = await self.store.get(JOBS_PREFIX + ref)
            await self.outbox.look_after(ref, found[0] if found else None)
        except StoreUnavailableError:
            return  # the sweep comes round
        self._ready.set()

    # --- watches ----------------------------------------------------------------------------------

    async def _watch(
        self, prefix: str, take: Callable[[str, Any, int], Awaitable[None]], again: Callable[[], Awaitable[None]]
    ) -> None:
        """Follow the changes under a prefix; `again` reads anew where some were missed."""
        revision = 0
        while True:
            try:
                if not revision:
                    revision = await self.state.current_revision(prefix)
                    await again()
                self.store.request_count += 1
                found = await self.state.watch(prefix, revision, WATCH_WAIT)
                if found is None:
                    revision = 0
                    continue
                for key, change in {change.key: change for change in found.changes if not change.deleted}.items():
                    await take(key, change.value, change.revision)
                revision = max(revision, found.revision)
            except (NoResponseError, RequestRefusedError, StoreUnavailableError):
                await asyncio.sleep(jitter(300 * MS))
                continue
            if self.outbox.ready:
                self._ready.set()
            await asyncio.sleep(seconds(WATCH_GAP))

    async def _rows_loop(self) -> None:
        async def take(key: str, value: Any, version: int) -> None:
            row = decode_row(key, value, version)
            if row is not None:
                self.outbox.saw(*row)

        async def again() -> None:
            for part in list(self.outbox.parts):
                for row, version in (await self.store.rows(part_prefix(part)))[0]:
                    self.outbox.saw(row, version)

        await self._watch(ROWS, take, again)

    async def _jobs_loop(self) -> None:
        async def take(key: str, value: Any, version: int) -> None:
            ref = key[len(JOBS_PREFIX) :]
            if ref in self.outbox.rows:
                # Recorded together: each waits for the others' company in one transaction.
                self.group.spawn("answer", self._job_changed(ref, value))

        async def again() -> None:
            self.outbox.look_at_all()

        await self._watch(JOBS_PREFIX, take, again)

    async def _job_changed(self, ref: str, value: Any) -> None:
        try:
            await self.outbox.job_changed(ref, value)
        except StoreUnavailableError:
            return  # the sweep comes round
        if self.outbox.ready:
            self._ready.set()

    # --- telling and sweeping -------------------------------------------------------------------------

    async def _tell_loop(self) -> None:
        while True:
            try:
                async with asyncio.timeout(0.5):
                    await self._ready.wait()
            except TimeoutError:
                pass
            self._ready.clear()
            if not self.entitled():
                continue
            # The first that are ready, not all: there may be thousands, and this comes round for each that is told.
            for ref in islice(self.outbox.ready, TOLD_AT_ONCE):
                if len(self._telling) >= TOLD_AT_ONCE:
                    break
                if ref not in self._telling:
                    self._telling.add(ref)
                    self.group.spawn("tell", self._tell(ref))

    async def _tell(self, ref: str) -> None:
        try:
            if not await self.outbox.tell(ref):
                await asyncio.sleep(0.2)
        except StoreUnavailableError:
            await asyncio.sleep(0.2)
        finally:
            self._telling.discard(ref)
            if self.outbox.ready:
                self._ready.set()

    async def _sweep_loop(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            for ref in self.outbox.expired()[:LOOKED_AT_ONCE]:
                outcome = await self.core.cancel(ref)
                log.debug("job %s expired: %s", ref, outcome.outcome)
            for ref in self.outbox.unseen()[:LOOKED_AT_ONCE]:
                await self._look_after(ref)

    async def _prune_loop(self) -> None:
        """Told rows are dropped long after: no broker brings a message back that late."""
        while True:
            await asyncio.sleep(3600)
            for part, token in list(self.outbox.parts.items()):
                try:
                    rows, _ = await self.store.rows(part_prefix(part))
                    for row, version in rows:
                        if row.state == RowState.DELIVERED and 0 < row.delivered_at < time_of_day() - KEEP_TOLD:
                            key = part_prefix(part) + row.job_id
                            await self.store.change(key, None, {key: version, part_key(part): token}, 100)
                except StoreUnavailableError:
                    break
