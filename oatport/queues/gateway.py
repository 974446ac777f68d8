"""The gateway's control loops: membership, ownership of parts, watches on the state service and publishing of answers.

The AMQP side is in `link.py`.
"""

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
from oatport.queues.core import SchedulerClient
from oatport.queues.intake import MessageIntake
from oatport.queues.members import parts_for
from oatport.queues.outbox import Outbox
from oatport.queues.rows import MEMBERS_PREFIX, PARTS_PREFIX, ROWS_PREFIX, MessageRow, RowState, part_key, part_prefix
from oatport.queues.settings import GatewaySettings
from oatport.queues.store import Store, StoreUnavailableError, decode_row
from oatport.service.background_tasks import BackgroundTasks
from oatport.times import MS, SECOND, micros, seconds, steady, time_of_day

log = logging.getLogger(__name__)

MAX_CONCURRENT_PUBLISHES = 128
WATCH_WAIT = 2 * SECOND  # a watch request returns after this long without a change
WATCH_INTERVAL = 100 * MS  # pause between watch requests, so that under load not every change costs a request
SWEEP_INTERVAL_S = 1.0
MAX_ROWS_PER_SWEEP = 20  # of expired rows, and as many of rows to reconcile
DELIVERED_ROW_RETENTION = 30 * 86_400 * SECOND  # identities of answered messages are stored for this long


class Gateway:
    """Runs one gateway: joins as a member under a lease, owns some parts of the outbox and publishes their answers.

    `publish` sends an answer to its sender, and returns True once the broker confirmed it or if there is no recipient.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        state: StateClient,
        scheduler: SchedulerClient,
        publish: Callable[[MessageRow], Awaitable[bool]],
    ) -> None:
        self.settings = settings
        self.state = state
        self.scheduler = scheduler
        self.store = Store(state, settings.changes_per_s, settings.requests_per_s, settings.txn_ops)
        self.outbox = Outbox(self.store, scheduler, publish, self.holds_lease, time_of_day)
        self.intake = MessageIntake(self.store, scheduler, self._on_row_changed)
        self.background = BackgroundTasks()
        self.boot_id = secrets.token_hex(6)
        self._lease_duration = micros(settings.lease_s)
        self._member_lease = LeaderLease(self._lease_duration, 0)
        self._lease_id = 0
        self._is_name_taken = False
        self._publishing_ids: set[str] = set()
        self._answers_ready = asyncio.Event()

    def start(self) -> None:
        """Starts the background loops."""
        for name, loop in (
            ("members", self._membership_loop),
            ("rows", self._rows_loop),
            ("jobs", self._jobs_loop),
            ("tell", self._publish_loop),
            ("sweep", self._sweep_loop),
            ("prune", self._prune_loop),
        ):
            self.background.supervise(name, loop)

    def close(self) -> None:
        """Cancels all background tasks. The member key and the parts are left until the lease expires."""
        self.background.close()

    def holds_lease(self) -> bool:
        """Returns whether the lease of the parts is certainly held; a paused process may have lost it."""
        return self._lease_id > 0 and self._member_lease.is_held(steady())

    def _on_row_changed(self, row: MessageRow, version: int) -> None:
        self.outbox.on_row_changed(row, version)
        if self.outbox.ready_answers:
            self._answers_ready.set()

    # --- membership and parts -----------------------------------------------------------------------

    async def _membership_loop(self) -> None:
        while True:
            try:
                if not self._lease_id:
                    await self._join()
                else:
                    requested_at = steady()
                    await self.state.renew_lease(self._lease_id, min(self._lease_duration // 2, SECOND))
                    self._member_lease.on_renewed(requested_at)
                if self._lease_id:
                    await self._rebalance_parts()
            except LeaseExpiredError:
                log.warning("gateway lease expired parts=%d", len(self.outbox.parts))
                self._remove_all_parts()
                continue
            except (NoResponseError, RequestRefusedError, StoreUnavailableError) as error:
                log.info('membership update failed error="%s"', error)
                await asyncio.sleep(jitter(min(self._lease_duration // 10, SECOND)))
                continue
            await asyncio.sleep(seconds(self._lease_duration // 5))

    def _remove_all_parts(self) -> None:
        self._lease_id = 0
        for part in list(self.outbox.parts):
            self.outbox.remove_part(part)

    async def _join(self) -> None:
        """Writes the member key under a new lease, replacing a key that an earlier process of this name left."""
        key = MEMBERS_PREFIX + self.settings.name
        found = await self.state.get(key)
        if found is not None and self._is_name_taken:
            raise StoreUnavailableError(f"another process has joined as gateway {self.settings.name}")
        self._is_name_taken = False
        if found is not None and found[0].get("boot") != self.boot_id:
            log.info("replacing the member key of an earlier process gateway=%s", self.settings.name)
        requested_at = steady()
        lease = await self.state.grant_lease(self._lease_duration)
        result = await self.state.commit({key: found[1] if found else 0}, {key: {"boot": self.boot_id}}, lease=lease)
        if isinstance(result, Applied):
            self._lease_id = lease
            self._member_lease = LeaderLease(self._lease_duration, requested_at)
            log.info("gateway joined gateway=%s", self.settings.name)

    async def _rebalance_parts(self) -> None:
        """Releases parts that are lost or assigned to another gateway, and acquires those assigned to this one.

        What is to be released follows from the stored keys alone. A request to delete or write a key may be refused,
        stay unanswered or be executed late; the next rebalance repeats what is still needed. Each is conditional on the
        key's version, so a late one changes nothing that was written after it.

        Raises LeaseExpiredError, NoResponseError, RequestRefusedError or StoreUnavailableError.
        """
        members, _ = await self.state.list_prefix(MEMBERS_PREFIX)
        own_entry = next((entry for entry in members if entry.key == MEMBERS_PREFIX + self.settings.name), None)
        if own_entry is None or own_entry.value.get("boot") != self.boot_id:
            # If another process has joined under this name, this one leaves and does not join while the key exists:
            # two processes must neither share the member key nor replace it in turns.
            self._is_name_taken = own_entry is not None
            raise LeaseExpiredError
        assigned_parts = parts_for(self.settings.name, [entry.key[len(MEMBERS_PREFIX) :] for entry in members])
        stored = {
            int(entry.key[len(PARTS_PREFIX) :]): entry for entry in (await self.state.list_prefix(PARTS_PREFIX))[0]
        }
        for part, token in list(self.outbox.parts.items()):
            if part not in stored or stored[part].revision != token or part not in assigned_parts:
                self.outbox.remove_part(part)  # no answer may be published once the part key is deleted
        for part, entry in stored.items():
            if part not in assigned_parts and entry.value.get("boot") == self.boot_id:
                await self.state.commit({entry.key: entry.revision}, {}, [entry.key])
        for part in sorted(assigned_parts - self.outbox.parts.keys()):
            existing = stored.get(part)
            if existing is not None and existing.value.get("boot") != self.boot_id:
                continue  # retried until the owner releases the part or its lease expires
            await self._acquire_part(part, existing.revision if existing else 0)

    async def _acquire_part(self, part: int, version: int) -> None:
        value = {"name": self.settings.name, "boot": self.boot_id}
        result = await self.state.commit({part_key(part): version}, {part_key(part): value}, lease=self._lease_id)
        if not isinstance(result, Applied):
            return
        # The part is added before its rows are listed: otherwise a row written during the listing would be in neither
        # the listing nor the outbox, and would never be answered.
        self.outbox.add_part(part, result.revision, [])
        try:
            rows, _ = await self.store.list_rows(part_prefix(part))
        except BaseException:
            self.outbox.remove_part(part)  # its rows are unknown; the next rebalance acquires and lists it again
            raise
        open_rows = [(row, row_version) for row, row_version in rows if row.state != RowState.DELIVERED]
        taken_job_ids = self.outbox.add_part(part, result.revision, open_rows)
        if open_rows:
            log.info("acquired part part=%d undelivered=%d", part, len(open_rows))
            self._answers_ready.set()
        for job_id in taken_job_ids:
            self.background.spawn("reconcile", self._reconcile(job_id))

    async def _reconcile(self, job_id: str) -> None:
        try:
            found = await self.store.get(JOBS_PREFIX + job_id)
            await self.outbox.reconcile(job_id, found[0] if found else None)
        except StoreUnavailableError:
            return  # retried by the sweep
        self._answers_ready.set()

    # --- watches ----------------------------------------------------------------------------------

    async def _watch(
        self, prefix: str, on_change: Callable[[str, Any, int], Awaitable[None]], resync: Callable[[], Awaitable[None]]
    ) -> None:
        """Calls `on_change` for each changed key under a prefix, and `resync` at the start and after missed changes."""
        revision = 0
        while True:
            try:
                if not revision:
                    revision = await self.state.current_revision(prefix)
                    await resync()
                self.store.request_count += 1
                found = await self.state.watch(prefix, revision, WATCH_WAIT)
                if found is None:
                    revision = 0
                    continue
                for key, change in {change.key: change for change in found.changes if not change.deleted}.items():
                    await on_change(key, change.value, change.revision)
                revision = max(revision, found.revision)
            except (NoResponseError, RequestRefusedError, StoreUnavailableError):
                await asyncio.sleep(jitter(300 * MS))
                continue
            if self.outbox.ready_answers:
                self._answers_ready.set()
            await asyncio.sleep(seconds(WATCH_INTERVAL))

    async def _rows_loop(self) -> None:
        async def on_change(key: str, value: Any, version: int) -> None:
            row = decode_row(key, value, version)
            if row is not None:
                self.outbox.on_row_changed(*row)

        async def resync() -> None:
            for part in list(self.outbox.parts):
                for row, version in (await self.store.list_rows(part_prefix(part)))[0]:
                    self.outbox.on_row_changed(row, version)

        await self._watch(ROWS_PREFIX, on_change, resync)

    async def _jobs_loop(self) -> None:
        async def on_change(key: str, value: Any, version: int) -> None:
            job_id = key[len(JOBS_PREFIX) :]
            if job_id in self.outbox.rows:
                # Spawned, not awaited, so that the answers are batched into one transaction.
                self.background.spawn("answer", self._on_job_changed(job_id, value))

        async def resync() -> None:
            self.outbox.mark_all_stale()

        await self._watch(JOBS_PREFIX, on_change, resync)

    async def _on_job_changed(self, job_id: str, value: Any) -> None:
        try:
            await self.outbox.on_job_changed(job_id, value)
        except StoreUnavailableError:
            return  # retried by the sweep
        if self.outbox.ready_answers:
            self._answers_ready.set()

    # --- publishing, sweeping and pruning -----------------------------------------------------------

    async def _publish_loop(self) -> None:
        while True:
            try:
                async with asyncio.timeout(0.5):
                    await self._answers_ready.wait()
            except TimeoutError:
                pass
            self._answers_ready.clear()
            if not self.holds_lease():
                continue
            # Only the first ones are tried: thousands may be ready, and the loop runs again after each publishing.
            for job_id in islice(self.outbox.ready_answers, MAX_CONCURRENT_PUBLISHES):
                if len(self._publishing_ids) >= MAX_CONCURRENT_PUBLISHES:
                    break
                if job_id not in self._publishing_ids:
                    self._publishing_ids.add(job_id)
                    self.background.spawn("tell", self._publish_answer(job_id))

    async def _publish_answer(self, job_id: str) -> None:
        try:
            if not await self.outbox.publish_answer(job_id):
                await asyncio.sleep(0.2)
        except StoreUnavailableError:
            await asyncio.sleep(0.2)
        finally:
            self._publishing_ids.discard(job_id)
            if self.outbox.ready_answers:
                self._answers_ready.set()

    async def _sweep_loop(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for job_id in self.outbox.list_expired()[:MAX_ROWS_PER_SWEEP]:
                outcome = await self.scheduler.cancel(job_id)
                log.debug("job expired job_id=%s outcome=%s", job_id, outcome.outcome)
            for job_id in self.outbox.collect_stale()[:MAX_ROWS_PER_SWEEP]:
                await self._reconcile(job_id)

    async def _prune_loop(self) -> None:
        """Deletes rows DELIVERED_ROW_RETENTION after their delivery: no broker redelivers a message that late."""
        while True:
            await asyncio.sleep(3600)
            for part, token in list(self.outbox.parts.items()):
                try:
                    rows, _ = await self.store.list_rows(part_prefix(part))
                    for row, version in rows:
                        if (
                            row.state == RowState.DELIVERED
                            and 0 < row.delivered_at < time_of_day() - DELIVERED_ROW_RETENTION
                        ):
                            key = part_prefix(part) + row.job_id
                            await self.store.change(key, None, {key: version, part_key(part): token})
                except StoreUnavailableError:
                    break
