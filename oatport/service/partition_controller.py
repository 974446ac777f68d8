"""Releases machines of partitioned zones, where something is won by it.

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

CONFIRMED_FOR = 4 * SECOND  # that most nodes reach nothing of a zone is asked again after this
NODE_LOST_WITHIN = 4 * SECOND  # a node and its zone's machines are lost at about the same time

Release = Callable[[list[Machine], str], Awaitable[None]]  # machines, and why they are released


class PartitionController:
    """Acts for a leader, asked by the failure detector."""

    def __init__(
        self, leader: LeaderContext, reachability: Reachability, release: Release, capacity_planner: CapacityPlanner
    ) -> None:
        self._leader = leader
        self._reachability = reachability
        self._release = release
        self._evacuation = ZoneEvacuation(leader.cluster, capacity_planner)
        self.confirmed_at = 0  # when most nodes said that they reach nothing of a zone (steady)

    async def step(self, now: int) -> None:
        """Release what is due, if it is confirmed that it is not this node that is partitioned."""
        leader = self._leader
        leaving = self._machines_to_release(now)
        if not leaving or leader.decisions_paused(now):
            return
        if now - self.confirmed_at > CONFIRMED_FOR:
            survey = await self._reachability.step_down_if_reached_by_peer(leaving)
            if survey.reached_by is not None or not survey.most_reach_none:
                return
            self.confirmed_at = steady()
        if not await self._reachability.may_judge():
            return
        still_partitioned = [m for m in leaving if m.zone in leader.cluster.zones.partitioned and not m.removed]
        leaving = still_partitioned[:MACHINES_PER_RELEASE]
        if leaving:
            names = ",".join(machine.name for machine in leaving)
            log.info("releasing partitioned machines count=%d names=%s", len(leaving), names)
            await self._release(leaving, "partitioned")

    def _machines_to_release(self, now: int) -> list[Machine]:
        leader, cluster = self._leader, self._leader.cluster
        if not cluster.zones.partitioned:
            return []
        leaving = self._evacuation.machines_to_release(now, self._zones_with_proxy())
        # A leader that was partitioned along with them answers for so long, and nobody can ask what it received.
        answered_until = leader.led_since + micros(leader.settings.cluster.workers.cancel_s)
        return [m for m in leaving if not cluster.completions.may_hold_unknown_completions(m, now, answered_until)]

    def _zones_with_proxy(self) -> frozenset[str]:
        """Partitioned zones with a node that was partitioned along with them: it is a lease proxy for their workers."""
        contact_times = self._leader.node.peer_contact_times()
        cluster = self._leader.cluster
        cluster.zones.mark_lease_proxied(
            zone
            for zone, since in cluster.zones.partitioned.items()
            if any(abs(at - since) < NODE_LOST_WITHIN for at in contact_times.get(zone, ()))
        )
        return frozenset(cluster.zones.lease_proxied)
