"""Partitioned zones: their detection, record and recovery."""

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
    """Holds the partitioned zones, and those of them in which another node renews the workers' leases."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.partitioned: dict[str, int] = {}  # zone without heartbeats -> since when (steady)
        # Partitioned zones with a node in the same partition that renews the workers' leases.
        self.lease_proxied: set[str] = set()
        self.recovered: set[str] = set()  # heartbeats arrive again; machines to be probed at once

    def record(self) -> dict[str, Any]:
        """Returns the value of the record of partitioned zones."""
        zones = {zone: since + self.cluster.wall_offset for zone, since in self.partitioned.items()}
        return encode_partitioned_zones(zones, self.lease_proxied)

    def mark_partitioned(self, silent: list[Machine], now: int) -> set[str]:
        """Marks zones without any heartbeat as partitioned, given silent machines that most nodes can't reach either.

        Returns the zones found. Nothing is rented or placed in them: a rented machine would be charged but not come up
        before the partition ends.
        """
        found: set[str] = set()
        for zone in {m.zone for m in silent}:
            newest_heartbeat_at = max(m.last_heartbeat_at for m in self.cluster.machines.values() if m.zone == zone)
            has_recent_heartbeat = newest_heartbeat_at > now - self.cluster.tuning.duration_us("silent_s") // 2
            if not has_recent_heartbeat and sum(m.zone == zone for m in silent) >= MIN_PARTITION_MACHINES:
                found.add(zone)
                if zone not in self.partitioned:
                    log.warning("zone partitioned zone=%s", zone)
                    # Without any heartbeat since this leader's term began, the zone was partitioned before.
                    self.partitioned[zone] = newest_heartbeat_at or min(
                        m.first_known_at for m in silent if m.zone == zone
                    )
                    self.cluster.writes.dirty_keys[PARTITIONED_ZONES_KEY] = None
                    self.cluster.planning_needed = True
        return found

    def mark_lease_proxied(self, zones: Iterable[str]) -> None:
        """Marks partitioned zones in which nodes that became silent along with the zone renew the leases.

        The mark is recorded: a restarted leader that had never had contact with those nodes assumed that the zone's
        tasks were dead after one lease, and released the machines of all replicas at once.
        """
        added = set(zones) - self.lease_proxied
        if added:
            self.lease_proxied |= added
            self.cluster.writes.dirty_keys[PARTITIONED_ZONES_KEY] = None

    def on_recovered(self, zone: str, now: int) -> None:
        """Marks a zone as recovered; its machines, silent due to the partition, get time to send heartbeats."""
        log.info("zone recovered zone=%s", zone)
        del self.partitioned[zone]
        self.lease_proxied.discard(zone)
        self.recovered.add(zone)
        self.cluster.writes.dirty_keys[PARTITIONED_ZONES_KEY] = None
        for machine in self.cluster.machines.values():
            if machine.zone == zone:
                machine.first_known_at = now
