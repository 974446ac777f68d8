"""Releases machines of partitioned zones where their tasks gain from a replacement.

The rules are in `control/leadership/zone_partition.py`.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

from oatport.control.leadership.zone_partition import ZoneEvacuation
from oatport.control.scaling.capacity_planner import CapacityPlanner
from oatport.control.scaling.scale_in import MACHINES_PER_RELEASE
from oatport.control.state.machine import Machine
from oatport.service.leader_context import LeaderContext
from oatport.service.reachability import Reachability
from oatport.times import SECOND, micros, steady

log = logging.getLogger(__name__)

CONFIRMATION_VALIDITY = (
    4 * SECOND
)  # after this, peers are asked again whether a majority reaches no machine of the zone
NODE_LOSS_WINDOW = 4 * SECOND  # maximum time between the loss of a node and of its zone's machines in one partition

Release = Callable[[list[Machine], str], Awaitable[None]]  # takes the machines and the reason for the release


class PartitionController:
    """Evacuates partitioned zones for a leader; the failure detector calls `step`."""

    def __init__(
        self, leader: LeaderContext, reachability: Reachability, release: Release, capacity_planner: CapacityPlanner
    ) -> None:
        self._leader = leader
        self._reachability = reachability
        self._release = release
        self._evacuation = ZoneEvacuation(leader.cluster, capacity_planner)
        self.confirmed_at = 0  # when a majority of nodes last confirmed that they reach no machine of a zone (steady)

    async def step(self, now: int) -> None:
        """Releases the machines that are due, after confirming that this node is not the partitioned one."""
        leader = self._leader
        to_release = self._machines_to_release(now)
        if not to_release or leader.are_decisions_paused(now):
            return
        if now - self.confirmed_at > CONFIRMATION_VALIDITY:
            survey = await self._reachability.step_down_if_reached_by_peer(to_release)
            if survey.reached_by is not None or not survey.majority_reaches_none:
                return
            self.confirmed_at = steady()
        if not await self._reachability.may_release_machines():
            return
        still_partitioned = [m for m in to_release if m.zone in leader.cluster.zones.partitioned and not m.removed]
        to_release = still_partitioned[:MACHINES_PER_RELEASE]
        if to_release:
            names = ",".join(machine.name for machine in to_release)
            log.info("releasing partitioned machines count=%d names=%s", len(to_release), names)
            await self._release(to_release, "partitioned")

    def _machines_to_release(self, now: int) -> list[Machine]:
        leader, cluster = self._leader, self._leader.cluster
        if not cluster.zones.partitioned:
            return []
        to_release = self._evacuation.machines_to_release(now, self._zones_with_proxy())
        # An earlier leader in the same partition may answer heartbeats until `answered_until`, and no node can ask it
        # which completions it received.
        answered_until = leader.led_since + micros(leader.settings.cluster.workers.cancel_s)
        return [m for m in to_release if not cluster.completions.may_hold_unknown_completions(m, now, answered_until)]

    def _zones_with_proxy(self) -> frozenset[str]:
        """Returns partitioned zones that were lost together with a node, which is a lease proxy for their workers."""
        contact_times = self._leader.node.peer_contact_times()
        cluster = self._leader.cluster
        cluster.zones.mark_lease_proxied(
            zone
            for zone, since in cluster.zones.partitioned.items()
            if any(abs(at - since) < NODE_LOSS_WINDOW for at in contact_times.get(zone, ()))
        )
        return frozenset(cluster.zones.lease_proxied)
