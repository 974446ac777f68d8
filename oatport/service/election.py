"""Leader election: the watch on the leader key, candidacy, taking the lead and stepping down."""

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

BACKOFF_AFTER_STEP_DOWN = 6 * SECOND  # to let others take over
BACKOFF_AFTER_FAILED_LOAD = SECOND
BACKOFF_WORKERS_UNREACHABLE = 1_500 * MS
HANDOVER_IS_VALID = 2 * SECOND  # a handover that was agreed to is off after this
WATCH_WAIT = 5 * SECOND
WATCH_RETRY = 300 * MS
CANDIDACY_INTERVAL_S = 1.0
CANDIDACY_RETRY = 200 * MS

LeaderFactory = Callable[[int, int, int], Leader]  # fencing token, lease, when the lease was requested (steady)


class Election:
    """Which node leads, and this node's own candidacy."""

    def __init__(
        self,
        node: NodeContext,
        net: Network,
        peer_status: PeerStatus,
        priority: ElectionPriority,
        make_leader: LeaderFactory,
        on_deposed: Callable[[Leader], None],
    ) -> None:
        """`on_deposed` is called with a leader that stepped down, before it is closed."""
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
        self.handover_token = 0  # token of a leader that handed over to this node
        self.handover_until = 0
        self._wanted = asyncio.Event()
        self._unreachable_workers: list[str] = []  # not reached by this node as the leader, while another one did

    def mark_workers_unreachable(self, addresses: list[str]) -> None:
        """These workers are reached by another node, but not by this one."""
        self._unreachable_workers = addresses

    # --- who leads --------------------------------------------------------------------------

    def learn_leader(self, name: str | None, token: int) -> None:
        """A node leads with this token, or led; the highest token tells who leads now."""
        if token <= self.leader_token:
            return
        self.leader_name, self.leader_token = name, token
        if name not in (None, self._node.node_name):
            self.last_other_leader = str(name)
        if self.leader is not None and token > self.leader.token:
            self.step_down(f"{name} leads with token {token}")

    async def watch_loop(self) -> None:
        """Follow the leader key."""
        while True:
            try:
                await self._follow_leader_key()
            except (NoResponseError, RequestRefusedError):
                await asyncio.sleep(jitter(WATCH_RETRY))

    async def _follow_leader_key(self) -> None:
        """Until the watch fell too far behind. Raises NoResponseError or RequestRefusedError."""
        found = await self._node.state.get(LEADER_KEY)
        revision = self._on_leader_record(found)
        while True:
            result = await self._node.state.watch(LEADER_KEY, revision, WATCH_WAIT)
            if result is None:
                return
            revision = result.revision
            for change in result.changes:
                if change.key == LEADER_KEY:
                    record = None if change.deleted else wire.StoredValue(change.value, change.revision)
                    self._on_leader_record(record)

    def _on_leader_record(self, found: wire.StoredValue | None) -> int:
        """Take in the leader record or its absence; its version, which is the fencing token."""
        if found is None:
            if self.leader is None:
                self.leader_name = None
                self._wanted.set()
            return 0
        value, version = found
        name = value.get("node")
        self.learn_leader(name, version)
        if name == self._node.node_name and value.get("boot") != self._node.boot_id and self.leader is None:
            # Left by an earlier process of this node's: no use waiting for its lease to expire.
            self.handover_token = version
            self.handover_until = steady() + HANDOVER_IS_VALID
            self._wanted.set()
        return version

    # --- candidacy --------------------------------------------------------------------------

    async def on_handover(self, handover: Handover) -> Ok | No:
        """The leader asks this node to replace it."""
        if steady() <= self.backoff_until or self._unreachable_workers:
            return No()
        try:
            # Asked just now: at the start of an outage for all, what was known a moment ago is wrong,
            # and without a leader nobody would keep the workers' leases alive until it ends.
            await self._node.state.get(LEADER_KEY)
        except (NoResponseError, RequestRefusedError):
            return No()
        self.handover_token = max(self.handover_token, handover.fencing_token)
        self.handover_until = steady() + HANDOVER_IS_VALID
        self._wanted.set()
        return Ok()

    async def loop(self) -> None:
        """Become the leader whenever there is none."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CANDIDACY_INTERVAL_S):
                    await self._wanted.wait()
            self._wanted.clear()
            if self.leader is not None or steady() < self.backoff_until:
                continue
            try:
                await self._run_for_leader()
            except (NoResponseError, RequestRefusedError, LeaseExpiredError) as error:
                log.debug('candidacy failed error="%s"', error)
                await asyncio.sleep(jitter(CANDIDACY_RETRY))

    async def backoff(self) -> int:
        """How long (us) to let the others go first, where they are better placed."""
        if self._unreachable_workers:
            if not await self._count_reached(self._unreachable_workers):
                return BACKOFF_WORKERS_UNREACHABLE
            self._unreachable_workers = []
        return self._priority.backoff(self._peer_status.state_service_answers)

    async def _count_reached(self, addresses: list[str]) -> int:
        return await count_reachable(self._net, addresses)

    async def _run_for_leader(self) -> None:
        """Become the leader if there is none, or if the one there is handed over."""
        found = await self._node.state.get(LEADER_KEY)
        version = 0
        if found is None:
            await asyncio.sleep(seconds(await self.backoff()))
            found = await self._node.state.get(LEADER_KEY)
        if found is not None:
            self.learn_leader(found[0].get("node"), found[1])
            if found[1] != self.handover_token or steady() > self.handover_until:
                return
            version = found[1]
        requested_at = steady()
        lease = await self._node.state.grant_lease(self._lease_us)
        token = await self._take_leader_key(version, lease)
        if token:
            await self._become_leader(token, lease, requested_at)

    async def _take_leader_key(self, version: int, lease: int) -> int:
        """Write the leader record over the one of this version; the fencing token, or 0 if another node was faster."""
        value = {"node": self._node.node_name, "boot": self._node.boot_id, "lease": lease}
        try:
            result = await self._node.state.commit({LEADER_KEY: version}, {LEADER_KEY: value}, lease=lease)
        except (NoResponseError, RequestRefusedError):
            # Outcome unknown: read it back. A late one is conditioned on what it replaces.
            found = await self._node.state.get(LEADER_KEY)
            if found is not None and found[0].get("boot") == self._node.boot_id and found[0].get("lease") == lease:
                return found[1]
            return 0
        return result.revision if isinstance(result, Applied) else 0

    async def _become_leader(self, token: int, lease: int, requested_at: int) -> None:
        self.handover_token = 0
        self.leader_name, self.leader_token = self._node.node_name, token
        self._peer_status.successor_answered_at = steady()
        leader = self._make_leader(token, lease, requested_at)
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
        """Stop leading, if this node leads, and let others take over."""
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
        """Free the leader key at once, so that nobody has to wait for the lease to expire."""
        with contextlib.suppress(NoResponseError, RequestRefusedError, LeaseExpiredError):
            await self._node.state.commit({LEADER_KEY: leader.token}, {}, [LEADER_KEY])
