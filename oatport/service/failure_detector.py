"""The failure detector: finds silent machines, and releases them unless this node is the one that failed."""

from __future__ import annotations

import asyncio
import logging

from oatport.control.leadership.failure_detection import (
    all_silent_machines,
    is_isolated,
    partition_suspects,
    silent_machines,
)
from oatport.control.scaling.capacity_planner import CapacityPlanner
from oatport.control.scaling.scale_in import MACHINES_PER_RELEASE
from oatport.control.state.machine import Machine
from oatport.service.failover import announce_leader
from oatport.service.leader_context import LeaderContext
from oatport.service.network import Network
from oatport.service.partition_controller import PartitionController, Release
from oatport.service.reachability import Reachability
from oatport.times import steady

log = logging.getLogger(__name__)

INTERVAL_S = 0.5
INTERVAL_PARTITIONED_S = 0.25  # while any zone is partitioned
PROBES_PER_STEP = 8  # probes of machines in partitioned zones, or of those that commands do not reach
NEVER = -(1 << 62)  # a time long before the start of any process


class FailureDetector:
    """Detects failed machines for a leader and passes them to `release`; the cloud's response proves them gone."""

    def __init__(
        self, leader: LeaderContext, net: Network, release: Release, capacity_planner: CapacityPlanner
    ) -> None:
        self._leader = leader
        self._net = net
        self._release = release
        self.reachability = Reachability(leader, net)
        self.partitions = PartitionController(leader, self.reachability, release, capacity_planner)
        self._silent_us = leader.tuning.duration_us("silent_s")
        self._peers_asked_at = 0  # when peers were last asked because all machines were silent at once
        self._peers_asked_about_commands_at = 0
        self._node_suspected_at = NEVER  # when this node, not the many silent machines, was suspected to be partitioned

    async def loop(self) -> None:
        """Runs detection rounds until the leader stops."""
        while not self._leader.stopped:
            partitioned = bool(self._leader.cluster.zones.partitioned)
            await asyncio.sleep(INTERVAL_PARTITIONED_S if partitioned else INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Runs one round: probes silent machines, asks the other nodes about them, and releases failed ones."""
        now, cluster = self._leader.now(), self._leader.cluster
        machines = list(cluster.machines.values())
        self._announce_to_recovered_zones(machines)
        connected = [m for m in machines if m.zone not in cluster.zones.partitioned]
        quiet = silent_machines(connected, now, self._silent_us // 2)
        self.probe(quiet, now)
        self._check_commands(connected, now)
        self._probe_partitioned([m for m in machines if m.zone in cluster.zones.partitioned], now)
        all_silent = all_silent_machines(machines, now, cluster.heartbeat_interval_us, self._leader.led_since)
        if all_silent and now - self._peers_asked_at > self._silent_us // 2:
            self._peers_asked_at = now
            await self.reachability.step_down_if_reached_by_peer(all_silent)
            return
        suspects = partition_suspects(machines, now, self._silent_us)
        partitioned = [m for m in suspects if m.zone not in cluster.zones.partitioned]
        lost = partitioned or self._individually_silent(quiet, now)
        grace = self._silent_us * (3 if partitioned else 7) // 10
        if not lost or now - self._leader.led_since < grace:
            await self.partitions.step(now)
            return
        # Isolation is judged by all machines silent for half the threshold, not only by those past it: machines pass
        # the threshold one by one, and a leader that was itself partitioned released the first of them.
        if partitioned or is_isolated(len(quiet), connected):
            survey = await self.reachability.step_down_if_reached_by_peer(lost)
            if survey.reached_by is not None or not survey.majority_reaches_none:
                self._node_suspected_at = now
                return
        elif now - self._node_suspected_at < self._silent_us:
            # The partition has just ended, and heartbeats arrive machine by machine, since a worker may have just begun
            # to wait for an unreachable node. Without this check the last machines were released as failed ones.
            await self.partitions.step(now)
            return
        if await self.reachability.may_release_machines():
            await self._release_silent_machines(lost, zones_suspected=bool(partitioned))

    def _individually_silent(self, quiet: list[Machine], now: int) -> list[Machine]:
        """Returns machines past the silence threshold, except those that may hold the only copy of a completion."""
        leader = self._leader
        leases_expired_at = leader.led_since + leader.cluster.lease_us
        return [
            machine
            for machine in silent_machines(quiet, now, self._silent_us)
            if not leader.cluster.completions.may_hold_unknown_completions(machine, now, leases_expired_at)
        ]

    async def _release_silent_machines(self, suspects: list[Machine], *, zones_suspected: bool) -> None:
        """Releases machines that are still silent, except those in zones that are partitioned as a whole."""
        silent_us = self._silent_us // 2 if zones_suspected else self._silent_us
        still_silent = silent_machines(suspects, self._leader.now(), silent_us)
        lost = [m for m in still_silent if m.probed_at > 0 and not m.removed]
        # A zone that is partitioned as a whole is evacuated gradually; other silent machines are released at once.
        partitioned_zones = self._leader.cluster.zones.mark_partitioned(lost, steady())
        self.partitions.confirmed_at = steady()
        lost = [m for m in lost if m.zone not in partitioned_zones][:MACHINES_PER_RELEASE]
        if lost:
            names = ",".join(machine.name for machine in lost)
            log.info("releasing silent machines count=%d names=%s", len(lost), names)
            await self._release(lost, "silent")
        self._leader.wake()

    # --- probes -----------------------------------------------------------------------------

    def probe(self, machines: list[Machine], now: int) -> None:
        """Probes whether these machines are running and commands reach them."""
        self.reachability.probe(machines, now)

    def _check_commands(self, connected: list[Machine], now: int) -> None:
        """Probes machines that send heartbeats but receive no commands: this node's route to them may be at fault."""
        unreachable = [m for m in connected if m.command_unreachable]
        self.probe(unreachable[:PROBES_PER_STEP], now)
        asked_recently = now - self._peers_asked_about_commands_at <= self._silent_us
        if is_isolated(len(unreachable), connected) and not asked_recently:
            self._peers_asked_about_commands_at = now
            check = self.reachability.step_down_if_commands_reach_from_peer(unreachable)
            self._leader.background.spawn("commands unreachable", check)

    def _probe_partitioned(self, machines: list[Machine], now: int) -> None:
        """Probes a few machines of partitioned zones in turn: enough to notice at once that a zone has recovered."""
        by_last_probe = sorted((m for m in machines if m.address and not m.probing), key=lambda m: m.probed_at)
        self.probe(by_last_probe[:PROBES_PER_STEP], now)

    def _announce_to_recovered_zones(self, machines: list[Machine]) -> None:
        """Contacts all machines of recovered zones, those with replicas first.

        Their own heartbeats arrive over several seconds: a worker may have just begun to wait for an unreachable node.
        """
        cluster = self._leader.cluster
        recovered, cluster.zones.recovered = cluster.zones.recovered, set()
        zone_machines = [m for m in machines if m.zone in recovered and m.address and not m.removed]
        for machine in sorted(zone_machines, key=lambda m: -m.service_cpus):
            self._leader.background.spawn("announce leader", announce_leader(self._leader, self._net, machine))
