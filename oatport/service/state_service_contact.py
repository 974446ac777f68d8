"""Contact with the state service: tracks whether it answers this node, and renews the leader lease."""

from __future__ import annotations

import asyncio
import logging

from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.clients.state import LeaseExpiredError
from oatport.control.storage.keys import LEADER_KEY
from oatport.service.election import Election
from oatport.service.handover import LeadershipHandover
from oatport.service.leader import Leader
from oatport.service.node_context import NodeContext
from oatport.times import MS, SECOND, seconds, steady

log = logging.getLogger(__name__)

ANSWER_VALIDITY = 2 * SECOND
CHECK_INTERVAL = 500 * MS  # between contact checks while this node does not lead
RETRY_INTERVAL = 250 * MS
RENEWALS_PER_LEASE = 4


class StateServiceContact:
    """Renews the leader lease, and tracks whether the state service answers this node."""

    def __init__(self, node: NodeContext, election: Election, handover: LeadershipHandover) -> None:
        self._node = node
        self._election = election
        self._handover = handover
        self._lease_us = node.tuning.duration_us("leader_lease_s")

    def answers(self) -> bool:
        """Returns whether the state service answers this node."""
        state = self._node.state
        return state.last_success_at > 0 and (
            steady() - state.last_success_at < ANSWER_VALIDITY or state.last_failure_at <= state.last_success_at
        )

    async def loop(self) -> None:
        """Checks contact with the state service until cancelled; a leader does so by renewing its lease."""
        while True:
            leader = self._election.leader
            try:
                if leader is not None:
                    await self._renew_lease(leader)
                elif steady() - self._node.state.last_success_at > SECOND:
                    await self._node.state.get(LEADER_KEY)
            except LeaseExpiredError:
                if leader is self._election.leader:
                    self._election.step_down("the lease expired")
            except (NoResponseError, RequestRefusedError) as error:
                log.debug('state service does not answer error="%s"', error)
                await asyncio.sleep(jitter(RETRY_INTERVAL))
                continue
            interval = self._lease_us // RENEWALS_PER_LEASE if leader is not None else CHECK_INTERVAL
            await asyncio.sleep(seconds(interval))

    async def _renew_lease(self, leader: Leader) -> None:
        requested_at = steady()
        await self._node.state.renew_lease(leader.lease_id, min(self._lease_us // 2, SECOND))
        leader.leader_lease.on_renewed(requested_at)
        peer = self._handover.better_placed_peer()
        if peer is not None and leader is self._election.leader and leader.loaded:
            self._handover.offer_in_background(leader, peer)  # so that lease renewals are not delayed
