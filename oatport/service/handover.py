"""Hands leadership over to a better placed node: one whose successor is up, or that the state service answers."""

from __future__ import annotations

import logging

from oatport.clients.http import NoResponseError
from oatport.clients.peer import PeerClient
from oatport.control.leadership.election_priority import ElectionPriority
from oatport.peer_messages import Handover, is_ok
from oatport.service.election import Election
from oatport.service.leader import Leader
from oatport.service.node_context import NodeContext
from oatport.service.peer_status import PeerStatus
from oatport.times import SECOND, steady

log = logging.getLogger(__name__)

SUCCESSOR_DOWN_TIMEOUT = 4 * SECOND  # before leadership is offered to another node
HANDOVER_TIMEOUT = 2 * SECOND


class LeadershipHandover:
    """Asks better placed nodes to lead instead of this one."""

    def __init__(
        self, node: NodeContext, election: Election, peer_status: PeerStatus, priority: ElectionPriority
    ) -> None:
        self._node = node
        self._election = election
        self._peer_status = peer_status
        self._priority = priority

    def better_placed_peer(self) -> PeerClient | None:
        """Returns a peer whose successor answers, if this node's has been down for `SUCCESSOR_DOWN_TIMEOUT`, else None.

        The successor of a node is the node that its workers try next if it fails.
        """
        now = steady()
        answering = self._peer_status.state_service_answers
        if self._priority.is_successor_answering(self._node.node_name, answering):
            self._peer_status.successor_answered_at = now
        if now - self._peer_status.successor_answered_at < SUCCESSOR_DOWN_TIMEOUT:
            return None
        return next(
            (
                peer
                for name, peer in self._node.peers.items()
                if name in answering
                and answering[name].answers
                and self._priority.is_successor_answering(name, answering)
            ),
            None,
        )

    def offer_in_background(self, leader: Leader, peer: PeerClient) -> None:
        """Offers leadership to a better placed peer in a background task."""
        self._peer_status.successor_answered_at = steady()  # no immediate retry if the peer declines
        self._node.background.spawn("offer", self._offer(leader, peer))

    async def _offer(self, leader: Leader, peer: PeerClient) -> None:
        try:
            await self.hand_over(leader, peer, "its workers could not fail over from this node")
        except NoResponseError as error:
            log.info('handover failed peer=%s error="%s"', peer.name, error)

    async def hand_over_if_isolated(self, leader: Leader, peer: PeerClient) -> None:
        """Hands over to a peer that the state service answers, if the state service does not answer this node."""
        if leader.is_state_service_down(steady()):
            await self.hand_over(leader, peer, "the state service answers it")

    async def hand_over(self, leader: Leader, peer: PeerClient, reason: str) -> None:
        """Asks a peer to lead, and steps down if it agrees. Raises NoResponseError."""
        leader.leader_lease.on_handover_requested(steady())  # the peer may take over even if its reply is lost
        agreed = await peer.ask(Handover(leader.token), is_ok, timeout_us=HANDOVER_TIMEOUT)
        if not agreed:
            leader.leader_lease.on_handover_declined()
        elif leader is self._election.leader:
            self._election.step_down(f"handed over to {peer.name}: {reason}")
