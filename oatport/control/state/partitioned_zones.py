"""Zones that nothing is heard from: found, recorded and recovered."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from oatport.control.leadership.failure_detection import MIN_PARTITION_MACHINES
from oatport.control.state.machine import Machine
from oatport.control.storage.fleet_records import encode_partitioned_zones
from oatport.control.storage.keys import PARTITIONED_ZONES_KEY

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState

log = logging.getLogger(__name__)


class PartitionedZones:
    """The zones that are cut off, and those of them where a node renews the workers' leases."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.partitioned: dict[str, int] = {}  # zones that nothing is heard from -> since when (steady)
        # Of these, where a node was cut off along and keeps the workers' leases.
        self.lease_proxied: set[str] = set()
        self.recovered: set[str] = set()  # zones that are heard from again: their machines are to be asked at once

    def record(self) -> dict[str, Any]:
        """Zones that are cut off, and since when by the time of day; those with a node that keeps leases there."""
        zones = {zone: since + self.cluster.wall_offset for zone, since in self.partitioned.items()}
        return encode_partitioned_zones(zones, self.lease_proxied)

    def mark_partitioned(self, silent: list[Machine], now: int) -> set[str]:
        """Silent machines that most nodes can't reach either: zones of theirs that nothing is heard from.

        Nothing is rented or placed there; what is rented would be charged and not come up before the cut ends.
        """
        found: set[str] = set()
        for zone in {m.zone for m in silent}:
            last = max(m.last_heartbeat_at for m in self.cluster.machines.values() if m.zone == zone)
            heard = last > now - self.cluster.tuning.us("silent_s") // 2
            if not heard and sum(m.zone == zone for m in silent) >= MIN_PARTITION_MACHINES:
                found.add(zone)
                if zone not in self.partitioned:
                    log.warning("zone %s is taken to be cut off", zone)
                    # Not heard of since this leader began: then it was cut off before.
                    self.partitioned[zone] = last or min(m.known_since for m in silent if m.zone == zone)
                    self.cluster.writes.dirty_keys[PARTITIONED_ZONES_KEY] = None
                    self.cluster.planning_needed = True
        return found

    def mark_lease_proxied(self, zones: Iterable[str]) -> None:
        """Nodes that fell silent with these dark zones answer the workers there.

        Recorded: a leader that was started again never heard those nodes, took the zone's tasks for dead after one
        lease and gave up the machines of all replicas at once.
        """
        new = set(zones) - self.lease_proxied
        if new:
            self.lease_proxied |= new
            self.cluster.writes.dirty_keys[PARTITIONED_ZONES_KEY] = None

    def on_recovered(self, zone: str, now: int) -> None:
        """A zone is back: its machines were silent for its sake, and have a moment to be heard of."""
        log.info("zone %s is heard from again", zone)
        del self.partitioned[zone]
        self.lease_proxied.discard(zone)
        self.recovered.add(zone)
        self.cluster.writes.dirty_keys[PARTITIONED_ZONES_KEY] = None
        for machine in self.cluster.machines.values():
            if machine.zone == zone:
                machine.known_since = now
