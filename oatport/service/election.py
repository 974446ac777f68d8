"""Leader election: watches the leader key, runs for leader, and steps down."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from oatport import wire
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.clients.state import Applied, LeaseExpiredError
from oatport.clients.worker import count_reachable
from oatport.control.leadership.election_priority import ElectionPriority
from oatport.control.storage.keys import LEADER_KEY
from oatport.control.storage.recovery import UnknownMachineTypeError
from oatport.peer_messages import Handover, No, Ok
from oatport.service.leader import Leader
from oatport.service.network import Network
from oatport.service.node_context import NodeContext
from oatport.service.peer_status import PeerStatus
from oatport.times import MS, SECOND, seconds, steady

log = logging.getLogger(__name__)

BACKOFF_AFTER_STEP_DOWN = 6 * SECOND  # gives other nodes time to take over
BACKOFF_AFTER_FAILED_LOAD = SECOND
BACKOFF_WORKERS_UNREACHABLE = 1_500 * MS
HANDOVER_VALIDITY = 2 * SECOND  # an accepted handover request expires after this time
WATCH_TIMEOUT = 5 * SECOND
WATCH_RETRY_INTERVAL = 300 * MS
CANDIDACY_INTERVAL_S = 1.0
CANDIDACY_RETRY_INTERVAL = 200 * MS

LeaderFactory = Callable[[int, int, int], Leader]  # fencing token, lease id, time of the lease request (steady)


class Election:
    """Tracks which node leads, and runs for leader on behalf of this node."""

    def __init__(
        self,
        node: NodeContext,
        net: Network,
        peer_status: PeerStatus,
        priority: ElectionPriority,
        make_leader: LeaderFactory,
        on_deposed: Callable[[Leader], None],
    ) -> None:
        """Creates the election; `on_deposed` is called with a leader that stepped down, before it is closed."""
        self._node = node
        self._net = net
        self._peer_status = peer_status
        self._priority = priority
        self._make_leader = make_leader
        self._on_deposed = on_deposed
        self._lease_us = node.tuning.duration_us("leader_lease_s")
        self.leader: Leader | None = None
        self.leader_name: str | None = None
        self.leader_token = 0
        self.last_other_leader = ""
        self.backoff_until = 0
        self.handover_token = 0  # fencing token of the leader that this node may replace
        self.handover_until = 0
        self._wakeup = asyncio.Event()
        self._unreachable_workers: list[str] = []  # a peer reached them while this node led and did not

    def mark_workers_unreachable(self, addresses: list[str]) -> None:
        """Records that a peer reaches these workers and this node does not."""
        self._unreachable_workers = addresses

    # --- the current leader -----------------------------------------------------------------

    def observe_leader(self, name: str | None, token: int) -> None:
        """Records that a node leads or led with this token; the node with the highest token is the current leader."""
        if token <= self.leader_token:
            return
        log.info("leader observed leader=%s fencing_token=%d", name, token)
        self.leader_name, self.leader_token = name, token
        if name not in (None, self._node.node_name):
            self.last_other_leader = str(name)
        if self.leader is not None and token > self.leader.token:
            self.step_down(f"{name} leads with token {token}")

    async def watch_loop(self) -> None:
        """Watches the leader key until cancelled."""
        while True:
            try:
                await self._follow_leader_key()
            except (NoResponseError, RequestRefusedError):
                await asyncio.sleep(jitter(WATCH_RETRY_INTERVAL))

    async def _follow_leader_key(self) -> None:
        """Applies changes of the leader key until the watch has fallen too far behind and must be restarted.

        Raises NoResponseError or RequestRefusedError.
        """
        found = await self._node.state.get(LEADER_KEY)
        revision = self._on_leader_record(found)
        while True:
            result = await self._node.state.watch(LEADER_KEY, revision, WATCH_TIMEOUT)
            if result is None:
                return
            revision = result.revision
            for change in result.changes:
                if change.key == LEADER_KEY:
                    record = None if change.deleted else wire.StoredValue(change.value, change.revision)
                    self._on_leader_record(record)

    def _on_leader_record(self, found: wire.StoredValue | None) -> int:
        """Applies the leader record or its absence; returns its revision, which is the fencing token, or 0."""
        if found is None:
            if self.leader is None:
                self.leader_name = None
                self._wakeup.set()
            return 0
        value, revision = found
        name = value.get("node")
        self.observe_leader(name, revision)
        if name == self._node.node_name and value.get("boot") != self._node.boot_id and self.leader is None:
            # An earlier process of this node wrote the record: it is replaced without waiting for its lease to expire.
            self.handover_token = revision
            self.handover_until = steady() + HANDOVER_VALIDITY
            self._wakeup.set()
        return revision

    # --- candidacy --------------------------------------------------------------------------

    async def on_handover(self, handover: Handover) -> Ok | No:
        """Accepts or declines a handover request of the leader."""
        if steady() <= self.backoff_until or self._unreachable_workers:
            return No()
        try:
            # This reads the state service instead of using the last known status, which is outdated when an outage
            # for all nodes begins. If a node accepted then, no leader would renew the workers' leases until it ends.
            await self._node.state.get(LEADER_KEY)
        except (NoResponseError, RequestRefusedError):
            return No()
        self.handover_token = max(self.handover_token, handover.fencing_token)
        self.handover_until = steady() + HANDOVER_VALIDITY
        self._wakeup.set()
        return Ok()

    async def loop(self) -> None:
        """Runs for leader whenever there is none, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CANDIDACY_INTERVAL_S):
                    await self._wakeup.wait()
            self._wakeup.clear()
            if self.leader is not None or steady() < self.backoff_until:
                continue
            try:
                await self._run_for_leader()
            except (NoResponseError, RequestRefusedError, LeaseExpiredError) as error:
                log.debug('candidacy failed error="%s"', error)
                await asyncio.sleep(jitter(CANDIDACY_RETRY_INTERVAL))

    async def backoff(self) -> int:
        """Returns how long (us) this node waits before running for leader, so that better placed nodes run first."""
        if self._unreachable_workers:
            if not await self._count_reached(self._unreachable_workers):
                return BACKOFF_WORKERS_UNREACHABLE
            self._unreachable_workers = []
        return self._priority.backoff(self._peer_status.state_service_answers)

    async def _count_reached(self, addresses: list[str]) -> int:
        return await count_reachable(self._net, addresses)

    async def _run_for_leader(self) -> None:
        """Becomes the leader if there is none, or if the current leader has handed over to this node.

        Raises NoResponseError, RequestRefusedError or LeaseExpiredError.
        """
        found = await self._node.state.get(LEADER_KEY)
        revision = 0
        if found is None:
            await asyncio.sleep(seconds(await self.backoff()))
            found = await self._node.state.get(LEADER_KEY)
        if found is not None:
            self.observe_leader(found[0].get("node"), found[1])
            if found[1] != self.handover_token or steady() > self.handover_until:
                return
            revision = found[1]
        requested_at = steady()
        lease_id = await self._node.state.grant_lease(self._lease_us)
        token = await self._take_leader_key(revision, lease_id)
        if token:
            await self._become_leader(token, lease_id, requested_at)

    async def _take_leader_key(self, revision: int, lease_id: int) -> int:
        """Replaces the leader record of this revision; returns the fencing token, or 0 if another node was faster."""
        value = {"node": self._node.node_name, "boot": self._node.boot_id, "lease": lease_id}
        try:
            result = await self._node.state.commit({LEADER_KEY: revision}, {LEADER_KEY: value}, lease=lease_id)
        except (NoResponseError, RequestRefusedError):
            # The outcome is unknown, so the record is read back. If the commit arrives later, its condition on the
            # replaced revision makes it fail.
            found = await self._node.state.get(LEADER_KEY)
            if found is not None and found[0].get("boot") == self._node.boot_id and found[0].get("lease") == lease_id:
                return found[1]
            return 0
        return result.revision if isinstance(result, Applied) else 0

    async def _become_leader(self, token: int, lease_id: int, requested_at: int) -> None:
        self.handover_token = 0
        self.leader_name, self.leader_token = self._node.node_name, token
        self._peer_status.successor_answered_at = steady()
        leader = self._make_leader(token, lease_id, requested_at)
        self.leader = leader
        try:
            await leader.fail_over()
        except (NoResponseError, RequestRefusedError, UnknownMachineTypeError) as error:
            if self.leader is leader:
                self.step_down(f"could not load the records: {error}")
                self.backoff_until = steady() + BACKOFF_AFTER_FAILED_LOAD
        except Exception:
            if self.leader is leader:
                self.step_down("could not take over")
            raise

    # --- stepping down ----------------------------------------------------------------------

    def step_down(self, reason: str) -> None:
        """Stops leading, if this node leads, so that other nodes can take over."""
        leader, self.leader = self.leader, None
        if leader is None:
            return
        log.warning('lost leadership fencing_token=%d reason="%s"', leader.token, reason)
        self._on_deposed(leader)
        leader.close()
        self.backoff_until = steady() + BACKOFF_AFTER_STEP_DOWN
        if self.leader_name == self._node.node_name:
            self.leader_name = None
        if not self._node.background.closed:
            self._node.background.spawn("release leader key", self._release_leader_key(leader))

    async def _release_leader_key(self, leader: Leader) -> None:
        """Deletes the leader key at once, so that no node has to wait for the lease to expire."""
        with contextlib.suppress(NoResponseError, RequestRefusedError, LeaseExpiredError):
            await self._node.state.commit({LEADER_KEY: leader.token}, {}, [LEADER_KEY])
