"""Election priority: a node that would be worse placed as the leader lets the others go first."""

from __future__ import annotations

from collections.abc import Collection

from oatport.settings import Settings
from oatport.times import MS, SECOND, micros

# A worker waits 4 s for a node and goes on 1 s later, twice (PROTOCOL), and needs some time to be answered.
FAILOVER_OVER_TWO_NODES = 11 * SECOND
BACKOFF_SUCCESSOR_DOWN = 200 * MS
BACKOFF_SUCCESSOR_IN_ZONE = 150 * MS


class ElectionPriority:
    """Rates candidates by their successor: the node that workers try next if they lose their leader.

    The successor is the next node by name, and after the last one the first.
    """

    def __init__(self, settings: Settings) -> None:
        self._node_name, self._zone = settings.node_name, settings.zone
        self._zones = {peer.node_name: peer.zone for peer in settings.peers}
        self._worker_lease_us = micros(settings.cluster.workers.lease_s)

    def successor_of(self, node_name: str) -> str:
        """The node that workers of this one try next."""
        names = sorted([self._node_name, *self._zones])
        return names[(names.index(node_name) + 1) % len(names)]

    def is_successor_answering(self, node_name: str, answering: Collection[str]) -> bool:
        """Would the successor of this node answer its workers in time? `answering`: the other nodes that do.

        If it is down too, they wait for both in turn, which a short lease does not outlast.
        """
        if self._worker_lease_us > FAILOVER_OVER_TWO_NODES:
            return True
        successor = self.successor_of(node_name)
        return successor == self._node_name or successor in answering

    def backoff(self, answering: Collection[str]) -> int:
        """How long (us) to let the others go first."""
        if not self.is_successor_answering(self._node_name, answering):
            return BACKOFF_SUCCESSOR_DOWN
        # After a leader in a partitioned zone workers outside try its successor. If that is partitioned as well, two
        # waits take 10 s of their leases: with one more crash 1,200 tasks were killed beside a node that was reachable.
        successor_is_near = self._zones.get(self.successor_of(self._node_name)) == self._zone
        has_several_zones = set(self._zones.values()) != {self._zone}
        return BACKOFF_SUCCESSOR_IN_ZONE if successor_is_near and has_several_zones else 0
