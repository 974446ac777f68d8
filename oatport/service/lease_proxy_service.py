"""How a node that does not lead keeps workers' leases, and what nodes tell one another about that.

What it goes by is in `control/leadership/lease_proxy.py`. The leader tells it, asked with every ping. A
node that was started again knows nothing; in a zone that is cut off it can ask the leader no more, so another node
there passes on what it was told.
"""

from __future__ import annotations

from typing import Protocol

from oatport import wire
from oatport.clients.http import NoResponseError
from oatport.clients.peer import PeerClient
from oatport.clients.state import StateClient
from oatport.control.leadership.lease_proxy import LeaseProxy
from oatport.peer_messages import (
    CancellationWatermark,
    CancellationWatermarkRequest,
    LeaseProxyState,
    LeaseProxyStateRequest,
    MalformedReplyError,
    No,
    decode_lease_proxy_state,
    decode_watermark,
)
from oatport.service.leader import Leader
from oatport.settings import ClusterSettings
from oatport.times import SECOND, steady

NAMED_FOR = 2 * SECOND  # a keeper that answered so recently is named to workers


class ProxyNode(Protocol):
    """The node that it belongs to."""

    leader: Leader | None
    state: StateClient


class LeaseProxyService:
    def __init__(self, here: ProxyNode, settings: ClusterSettings) -> None:
        self._here = here
        self.steward = LeaseProxy.of(settings)
        self._keepers: dict[str, int] = {}  # node -> when it said that it answers workers (steady)

    def take_report(self, report: wire.Heartbeat) -> bool:
        """May this report be answered in the leader's name?"""
        state = self._here.state
        return self.steward.answers(report.fencing_token, steady(), state.ok_at, state.failed_at)

    def named(self, leader: str | None) -> str | None:
        """Where to send a worker that can't be answered here: to a node that keeps its lease, if the leader can't.

        Sent to a leader outside the cut, each worker once lost 5 s of its lease there.
        """
        now = steady()
        if not self._out_of_touch(now):
            return leader
        return next((name for name, at in self._keepers.items() if now - at < NAMED_FOR), leader)

    def _out_of_touch(self, now: int) -> bool:
        state = self._here.state
        return self.steward.is_isolated(now, state.ok_at, state.failed_at)

    # --- what nodes tell one another --------------------------------------------------------

    async def on_carried_out(self, request: CancellationWatermarkRequest) -> CancellationWatermark | No:
        """Up to when are cancellations carried out? Only the leader knows."""
        lead = self._here.leader
        return CancellationWatermark(lead.token, lead.cancellation_watermark_age()) if lead is not None else No()

    async def on_kept(self, request: LeaseProxyStateRequest) -> LeaseProxyState | No:
        """What this node keeps leases by, for one that was started again."""
        now = steady()
        told = self.steward.pass_on(now)
        if self._here.leader is not None or told is None:
            return No()
        return LeaseProxyState(*told, self._out_of_touch(now) and now < self.steward.ends())

    async def ask_leader(self, peer: PeerClient) -> None:
        asked = steady()
        watermark = await peer.ask(CancellationWatermarkRequest(), decode_watermark)
        if watermark is not None:
            self.steward.told(watermark.fencing_token, asked, watermark.age_us)

    async def ask_keeper(self, peer: PeerClient) -> None:
        """Out of touch with the state service: what does another node there go by? Never raises for its answer."""
        self._keepers.pop(peer.name, None)
        asked = steady()
        try:
            # 400 from a node of before this tag
            state = await peer.ask(LeaseProxyStateRequest(), decode_lease_proxy_state)
        except (NoResponseError, MalformedReplyError):
            return
        if state is None:
            return
        self.steward.told(state.fencing_token, asked, state.watermark_age_us, state.contact_age_us)
        if state.answering:
            self._keepers[peer.name] = asked
