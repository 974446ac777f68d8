"""How soon a node stands for election: those that are worse placed as leaders let the others go first."""

from __future__ import annotations

from collections.abc import Collection

from oatport.settings import Settings
from oatport.times import MS, SECOND, micros

TWO_NODES_WAIT = 11 * SECOND  # a worker waits 4 s for a node and goes on 1 s later, twice (PROTOCOL)
DEFER_NEXT_DOWN = 200 * MS
DEFER_NEXT_NEAR = 150 * MS


class ElectionPriority:
    """Workers that lose their leader try the node after it, by name."""

    def __init__(self, settings: Settings) -> None:
        self._name, self._zone = settings.node_name, settings.zone
        self._zones = {peer.node_name: peer.zone for peer in settings.peers}
        self._lease_us = micros(settings.cluster.workers.lease_s)

    def after(self, name: str) -> str:
        names = sorted([self._name, *self._zones])
        return names[(names.index(name) + 1) % len(names)]

    def next_answers(self, name: str, answering: Collection[str]) -> bool:
        """Would the node after this one answer its workers in time? `answering`: the others that do.

        If it is down too, they wait for both in turn, which a short lease does not outlast.
        """
        if self._lease_us > TWO_NODES_WAIT:
            return True
        after = self.after(name)
        return after == self._name or after in answering

    def deference(self, answering: Collection[str]) -> int:
        """How long (us) to let the others go first."""
        if not self.next_answers(self._name, answering):
            return DEFER_NEXT_DOWN
        # After a leader in a cut zone workers outside try the next node. If that is cut off as well, two waits take
        # 10 s of their leases: with one more crash 1,200 tasks were killed beside a node that could be reached.
        near = self._zones.get(self.after(self._name)) == self._zone
        return DEFER_NEXT_NEAR if near and set(self._zones.values()) != {self._zone} else 0
