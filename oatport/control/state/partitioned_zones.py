"""Partitioned zones: found, recorded and recovered."""

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
    """The partitioned zones, and those of them where a node renews the agents' leases."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.partitioned: dict[str, int] = {}  # no heartbeat arrives from these zones -> since when (steady)
        # Of these, zones with a node in the same partition that renews the agents' leases.
        self.lease_proxied: set[str] = set()
        self.recovered: set[str] = set()  # heartbeats arrive again: their machines are to be probed at once

    def record(self) -> dict[str, Any]:
        """The value of their record."""
        zones = {zone: since + self.cluster.wall_offset for zone, since in self.partitioned.items()}
        return encode_partitioned_zones(zones, self.lease_proxied)

    def mark_partitioned(self, silent: list[Machine], now: int) -> set[str]:
        """Silent machines that most nodes can't reach either: zones of theirs without any heartbeat are partitioned.

        Nothing is rented or placed there; what is rented would be charged and not come up before the partition ends.
        """
        found: set[str] = set()
        for zone in {m.zone for m in silent}:
            last = max(m.last_heartbeat_at for m in self.cluster.machines.values() if m.zone == zone)
            is_heard_from = last > now - self.cluster.tuning.duration_us("silent_s") // 2
            if not is_heard_from and sum(m.zone == zone for m in silent) >= MIN_PARTITION_MACHINES:
                found.add(zone)
                if zone not in self.partitioned:
                    log.warning("zone partitioned zone=%s", zone)
                    # No heartbeat since this leader began: then it was partitioned before.
                    self.partitioned[zone] = last or min(m.first_known_at for m in silent if m.zone == zone)
                    self.cluster.writes.dirty_keys[PARTITIONED_ZONES_KEY] = None
                    self.cluster.planning_needed = True
        return found

    def mark_lease_proxied(self, zones: Iterable[str]) -> None:
        """Nodes that fell silent with these partitioned zones renew the leases there.

        Recorded: a leader that was started again never heard of those nodes, took the zone's tasks for dead after one
        lease and released the machines of all replicas at once.
        """
        new = set(zones) - self.lease_proxied
        if new:
            self.lease_proxied |= new
            self.cluster.writes.dirty_keys[PARTITIONED_ZONES_KEY] = None

    def on_recovered(self, zone: str, now: int) -> None:
        """A zone is back: its machines were silent for its sake, and have a moment to send heartbeats."""
        log.info("zone recovered zone=%s", zone)
        del self.partitioned[zone]
        self.lease_proxied.discard(zone)
        self.recovered.add(zone)
        self.cluster.writes.dirty_keys[PARTITIONED_ZONES_KEY] = None
        for machine in self.cluster.machines.values():
            if machine.zone == zone:
                machine.first_known_at = now
