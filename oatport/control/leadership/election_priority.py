"""Election priority: a node that is a less suitable leader backs off, so that other candidates are elected first."""

from __future__ import annotations

from collections.abc import Collection

from oatport.settings import Settings
from oatport.times import MS, SECOND, micros

# A worker waits 4 s for each of two nodes and 1 s before the next (PROTOCOL), and needs some time to get a response.
TWO_NODE_FAILOVER_TIME = 11 * SECOND
BACKOFF_SUCCESSOR_DOWN = 200 * MS
BACKOFF_SUCCESSOR_IN_ZONE = 150 * MS


class ElectionPriority:
    """Ranks a candidate by its successor: the node that workers try next if they lose their leader.

    The successor is the next node in the order of names; the first node is the successor of the last.
    """

    def __init__(self, settings: Settings) -> None:
        self._node_name, self._zone = settings.node_name, settings.zone
        self._zones = {peer.node_name: peer.zone for peer in settings.peers}
        self._worker_lease_us = micros(settings.cluster.workers.lease_s)

    def successor_of(self, node_name: str) -> str:
        """Returns the node that the workers of `node_name` try next."""
        names = sorted([self._node_name, *self._zones])
        return names[(names.index(node_name) + 1) % len(names)]

    def is_successor_answering(self, node_name: str, answering: Collection[str]) -> bool:
        """Returns whether the successor of a node would answer the node's workers before their leases expire.

        `answering`: the other nodes that answer. If the successor is down too, workers wait for both nodes in turn,
        which takes longer than a short lease.
        """
        if self._worker_lease_us > TWO_NODE_FAILOVER_TIME:
            return True
        successor = self.successor_of(node_name)
        return successor == self._node_name or successor in answering

    def backoff(self, answering: Collection[str]) -> int:
        """Returns how long (us) this node lets other candidates go first."""
        if not self.is_successor_answering(self._node_name, answering):
            return BACKOFF_SUCCESSOR_DOWN
        # If the leader's zone is partitioned, workers outside the zone try the successor next. If the successor is in
        # the same zone, the two waits take 10 s of the workers' leases: with one further crash, 1,200 tasks were killed
        # although a node was reachable.
        is_successor_in_zone = self._zones.get(self.successor_of(self._node_name)) == self._zone
        has_several_zones = set(self._zones.values()) != {self._zone}
        return BACKOFF_SUCCESSOR_IN_ZONE if is_successor_in_zone and has_several_zones else 0
