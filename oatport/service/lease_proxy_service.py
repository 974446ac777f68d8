"""Runs the lease proxy of a node, and exchanges its state with other nodes.

The rules are in `control/leadership/lease_proxy.py`. The proxy's state comes from the leader, which is asked with every
ping. A node that restarts in a partitioned zone has no state and cannot reach the leader, so it asks another node of
that zone instead.
"""

from __future__ import annotations

import logging
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
from oatport.times import SECOND, seconds, steady

log = logging.getLogger(__name__)

PROXY_STATUS_VALIDITY = 2 * SECOND  # workers are redirected to a proxy whose last reply is no older


class ProxyNode(Protocol):
    """Defines what `LeaseProxyService` uses of its node."""

    state: StateClient

    @property
    def leader(self) -> Leader | None:
        """Returns the `Leader` of this node, or None while the node does not lead."""


class LeaseProxyService:
    """Renews workers' leases on behalf of an unreachable leader, as long as this is safe."""

    def __init__(self, node: ProxyNode, settings: ClusterSettings) -> None:
        self._node = node
        self.proxy = LeaseProxy.create(settings)
        self._logged_contact_at = 0  # the leader contact after which it was logged that this node answers workers
        self._other_proxies: dict[str, int] = {}  # node name -> when it last reported that it answers workers (steady)

    def may_answer(self, heartbeat: wire.Heartbeat) -> bool:
        """Returns whether this node may answer a heartbeat on behalf of the leader."""
        now, state = steady(), self._node.state
        if not self.proxy.may_answer(heartbeat.fencing_token, now, state.last_success_at, state.last_failure_at):
            return False
        if self._logged_contact_at != self.proxy.leader_contact_at:
            self._logged_contact_at = self.proxy.leader_contact_at
            log.info(
                "lease proxy answers workers fencing_token=%d highest_token=%d for_s=%.1f",
                self.proxy.fencing_token,
                self.proxy.highest_token,
                seconds(self.proxy.valid_until() - now),
            )
        return True

    def redirect_target(self, leader: str | None) -> str | None:
        """Returns the node to which workers are redirected: the leader, or if isolated from it, another lease proxy.

        Each worker that was redirected to a leader outside its partition lost 5 s of its lease there.
        """
        now = steady()
        if not self._is_isolated(now):
            return leader
        proxies = self._other_proxies.items()
        return next((name for name, at in proxies if now - at < PROXY_STATUS_VALIDITY), leader)

    def _is_isolated(self, now: int) -> bool:
        state = self._node.state
        return self.proxy.is_isolated(now, state.last_success_at, state.last_failure_at)

    # --- messages between nodes -------------------------------------------------------------

    async def on_watermark_request(self, request: CancellationWatermarkRequest) -> CancellationWatermark | No:
        """Returns the cancellation watermark, which only the leader has; other nodes reply `No`."""
        leader = self._node.leader
        if leader is None:
            return No()
        return CancellationWatermark(leader.token, leader.cancellation_watermark_age(), leader.cluster.tokens.highest)

    async def on_proxy_state_request(self, request: LeaseProxyStateRequest) -> LeaseProxyState | No:
        """Returns this node's lease proxy state to a restarted node, or `No` if this node leads or has none."""
        now = steady()
        shared = self.proxy.share(now)
        if self._node.leader is not None or shared is None:
            return No()
        answering = self._is_isolated(now) and now < self.proxy.valid_until()
        return LeaseProxyState(
            shared.fencing_token, shared.watermark_age_us, shared.contact_age_us, answering, shared.highest_token
        )

    async def refresh_from_leader(self, peer: PeerClient) -> None:
        """Updates the proxy state from the leader. Raises NoResponseError or MalformedReplyError."""
        requested_at = steady()
        watermark = await peer.ask(CancellationWatermarkRequest(), CancellationWatermark.decode_if_known)
        if watermark is not None:
            self.proxy.on_watermark(
                watermark.fencing_token, requested_at, watermark.age_us, highest_token=watermark.highest_token
            )

    async def refresh_from_proxy(self, peer: PeerClient) -> None:
        """Updates the proxy state from another node while the state service is unreachable; ignores request errors."""
        self._other_proxies.pop(peer.name, None)
        requested_at = steady()
        try:
            # A node of an earlier version responds with status 400.
            state = await peer.ask(LeaseProxyStateRequest(), LeaseProxyState.decode_if_known)
        except (NoResponseError, MalformedReplyError):
            return
        if state is None:
            return
        self.proxy.on_watermark(
            state.fencing_token,
            requested_at,
            state.watermark_age_us,
            state.contact_age_us,
            state.highest_token,
        )
        if state.answering:
            self._other_proxies[peer.name] = requested_at
