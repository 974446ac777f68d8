"""The lease proxy of a node, and what nodes tell one another about it.

What it goes by is in `control/leadership/lease_proxy.py`. The leader tells it, asked with every ping. A
node that was started again knows nothing; in a partitioned zone it can ask the leader no more, so another node
there passes on what it knows.
"""

from __future__ import annotations

from typing import Protocol

from oatport import wire
from oatport.clients.http import NoResponseError
from oatport.clients.peer import PeerClient
from oatport.clients.state import StateClient
from oatport.control.leadership.lease_proxy import LeaseProxy
from oatport.peer_codec import MalformedReplyError
from oatport.peer_messages import (
    CancellationWatermark,
    CancellationWatermarkRequest,
    LeaseProxyState,
    LeaseProxyStateRequest,
    No,
)
from oatport.service.leader import Leader
from oatport.settings import ClusterSettings
from oatport.times import SECOND, steady

REDIRECTS_TO_PROXY_FOR = 2 * SECOND  # workers are sent to a proxy that answered so recently


class ProxyNode(Protocol):
    """The node that it belongs to."""

    state: StateClient

    @property
    def leader(self) -> Leader | None:
        """What acts as the leader on this node."""


class LeaseProxyService:
    """Renews agents' leases for a leader that can't be reached, as long as that is safe."""

    def __init__(self, node: ProxyNode, settings: ClusterSettings) -> None:
        self._node = node
        self.proxy = LeaseProxy.create(settings)
        self._other_proxies: dict[str, int] = {}  # node -> when it said that it answers workers (steady)

    def may_answer(self, report: wire.Heartbeat) -> bool:
        """May this report be answered in the leader's name?"""
        state = self._node.state
        return self.proxy.may_answer(report.fencing_token, steady(), state.last_success_at, state.last_failure_at)

    def redirect_target(self, leader: str | None) -> str | None:
        """Where to send a worker that can't be answered here: to another lease proxy, if the leader can't be reached.

        Sent to a leader outside the partition, each worker once lost 5 s of its lease there.
        """
        now = steady()
        if not self._is_isolated(now):
            return leader
        proxies = self._other_proxies.items()
        return next((name for name, at in proxies if now - at < REDIRECTS_TO_PROXY_FOR), leader)

    def _is_isolated(self, now: int) -> bool:
        state = self._node.state
        return self.proxy.is_isolated(now, state.last_success_at, state.last_failure_at)

    # --- what nodes tell one another --------------------------------------------------------

    async def on_watermark_request(self, request: CancellationWatermarkRequest) -> CancellationWatermark | No:
        """Up to when are cancellations carried out? Only the leader knows."""
        leader = self._node.leader
        if leader is None:
            return No()
        return CancellationWatermark(leader.token, leader.cancellation_watermark_age())

    async def on_proxy_state_request(self, request: LeaseProxyStateRequest) -> LeaseProxyState | No:
        """What this node goes by as a lease proxy, for one that was started again."""
        now = steady()
        known = self.proxy.share(now)
        if self._node.leader is not None or known is None:
            return No()
        answering = self._is_isolated(now) and now < self.proxy.valid_until()
        return LeaseProxyState(known.fencing_token, known.watermark_age_us, known.contact_age_us, answering)

    async def refresh_from_leader(self, peer: PeerClient) -> None:
        """Ask the leader. Raises NoResponseError or MalformedReplyError."""
        asked_at = steady()
        watermark = await peer.ask(CancellationWatermarkRequest(), CancellationWatermark.decode_if_known)
        if watermark is not None:
            self.proxy.on_watermark(watermark.fencing_token, asked_at, watermark.age_us)

    async def refresh_from_proxy(self, peer: PeerClient) -> None:
        """Isolated from the state service: what does another node go by? Never raises for its answer."""
        self._other_proxies.pop(peer.name, None)
        asked_at = steady()
        try:
            # A node of an earlier version answers 400.
            state = await peer.ask(LeaseProxyStateRequest(), LeaseProxyState.decode_if_known)
        except (NoResponseError, MalformedReplyError):
            return
        if state is None:
            return
        self.proxy.on_watermark(state.fencing_token, asked_at, state.watermark_age_us, state.contact_age_us)
        if state.answering:
            self._other_proxies[peer.name] = asked_at
