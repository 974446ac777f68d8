"""The failure detector: which machines are silent, whether they or this node are partitioned, and the verdict."""

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
from oatport.service.failover import introduce
from oatport.service.leader_context import LeaderContext
from oatport.service.network import Network
from oatport.service.partition_controller import PartitionController, Release
from oatport.service.reachability import Reachability
from oatport.times import steady

log = logging.getLogger(__name__)

INTERVAL_S = 0.5
INTERVAL_PARTITIONED_S = 0.25  # while a zone is partitioned
PROBES_PER_STEP = 8  # of machines in partitioned zones, or of those that commands don't reach
NEVER = -(1 << 62)


class FailureDetector:
    """Acts for a leader; what is judged lost goes to `release`, whose answer proves it gone."""

    def __init__(
        self, leader: LeaderContext, net: Network, release: Release, capacity_planner: CapacityPlanner
    ) -> None:
        self._leader = leader
        self._net = net
        self._release = release
        self.reachability = Reachability(leader, net)
        self.partitions = PartitionController(leader, self.reachability, release, capacity_planner)
        self._silent_us = leader.tuning.duration_us("silent_s")
        self._peers_asked_at = 0  # about machines that were all silent at once
        self._peers_asked_about_commands_at = 0
        self._node_suspected_at = NEVER  # when many were silent, and it was rather this node that was partitioned

    async def loop(self) -> None:
        """Machines not heard from: probe them, ask the other nodes, and release the lost ones."""
        while not self._leader.stopped:
            partitioned = bool(self._leader.cluster.zones.partitioned)
            await asyncio.sleep(INTERVAL_PARTITIONED_S if partitioned else INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """One round."""
        now, cluster = self._leader.now(), self._leader.cluster
        machines = list(cluster.machines.values())
        self._introduce_to_recovered_zones(machines)
        connected = [m for m in machines if m.zone not in cluster.zones.partitioned]
        quiet = silent_machines(connected, now, self._silent_us // 2)
        self.probe(quiet, now)
        self._check_commands(connected, now)
        self._probe_partitioned([m for m in machines if m.zone in cluster.zones.partitioned], now)
        unheard = all_silent_machines(machines, now, cluster.heartbeat_us, self._leader.led_since)
        if unheard and now - self._peers_asked_at > self._silent_us // 2:
            self._peers_asked_at = now
            await self.reachability.step_down_if_reached_by_peer(unheard)
            return
        suspects = partition_suspects(machines, now, self._silent_us)
        partitioned = [m for m in suspects if m.zone not in cluster.zones.partitioned]
        lost = partitioned or self._lost_one_by_one(quiet, now)
        grace = self._silent_us * (3 if partitioned else 7) // 10
        if not lost or now - self._leader.led_since < grace:
            await self.partitions.step(now)
            return
        # Judged by all that are quiet: one by one they pass the mark, and those that came first were once
        # released by a leader that was partitioned itself.
        if partitioned or is_isolated(len(quiet), connected):
            survey = await self.reachability.step_down_if_reached_by_peer(lost)
            if survey.reached_by is not None or not survey.most_reach_none:
                self._node_suspected_at = now
                return
        elif now - self._node_suspected_at < self._silent_us:
            # The partition has just ended, and they are heard from one after the other. Those that came last were once
            # released as if they were silent by themselves: a worker may just have begun to wait for a node in vain.
            await self.partitions.step(now)
            return
        if await self.reachability.may_judge():
            await self._judge(lost, zones_suspected=bool(partitioned))

    def _lost_one_by_one(self, quiet: list[Machine], now: int) -> list[Machine]:
        """Machines that were silent for long, but those that may know of completions that nobody else knows."""
        leader = self._leader
        leases_expired_at = leader.led_since + leader.cluster.lease_us
        return [
            machine
            for machine in silent_machines(quiet, now, self._silent_us)
            if not leader.cluster.completions.may_hold_unknown_completions(machine, now, leases_expired_at)
        ]

    async def _judge(self, suspects: list[Machine], *, zones_suspected: bool) -> None:
        """Release machines that are still silent, but those of a zone that is partitioned as a whole."""
        silent_us = self._silent_us // 2 if zones_suspected else self._silent_us
        still_silent = silent_machines(suspects, self._leader.now(), silent_us)
        lost = [m for m in still_silent if m.probed_at > 0 and not m.removed]
        # A zone that is partitioned as a whole is evacuated bit by bit; others that fell silent are gone.
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
        """Are they there, and do commands reach them?"""
        self.reachability.probe(machines, now)

    def _check_commands(self, connected: list[Machine], now: int) -> None:
        """Machines that are heard from and that commands don't reach: it may be this node's way to them."""
        unreachable = [m for m in connected if m.command_unreachable]
        self.probe(unreachable[:PROBES_PER_STEP], now)
        asked_recently = now - self._peers_asked_about_commands_at <= self._silent_us
        if is_isolated(len(unreachable), connected) and not asked_recently:
            self._peers_asked_about_commands_at = now
            check = self.reachability.step_down_if_commands_reach_from_peer(unreachable)
            self._leader.background.spawn("commands unreachable", check)

    def _probe_partitioned(self, machines: list[Machine], now: int) -> None:
        """A few at a time, in turn: enough to see at once that a zone is back."""
        by_last_probe = sorted((m for m in machines if m.address and not m.probing), key=lambda m: m.probed_at)
        self.probe(by_last_probe[:PROBES_PER_STEP], now)

    def _introduce_to_recovered_zones(self, machines: list[Machine]) -> None:
        """Ask all machines of a zone that is heard from again, those with replicas first.

        Their own reports would come over seconds: each may just have begun to wait for a node in vain.
        """
        cluster = self._leader.cluster
        recovered, cluster.zones.recovered = cluster.zones.recovered, set()
        there = [m for m in machines if m.zone in recovered and m.address and not m.removed]
        for machine in sorted(there, key=lambda m: -m.service_cpus):
            self._leader.background.spawn("introduce", introduce(self._leader, self._net, machine))
