"""What a node's sockets are for: who gets them first, and how long a connection to a worker is worth keeping.

Each worker holds one for its reports, at whichever node it reports to: after a node ends, that is one node for all of
them. A leader holds another to each worker that it told something lately. Once the latter were kept for 30 s each, so
that at 929 machines a leader held 1,873 of its 2,044 connections, and refused whoever came next, whoever that was.
"""

from __future__ import annotations

from dataclasses import dataclass

from oatport.times import SECOND

LEAST_IDLE, MOST_IDLE = SECOND, 30 * SECOND
USED = 0.72  # of the sockets, on an ordinary day: the rest is for all workers that come at once
USERS_LEAST = 64
LEAST_KEPT = 32  # connections to workers, however few sockets there are


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """Shares of a node's connections; `most` is what the deploy file gives."""

    most: int

    @property
    def calls(self) -> int:
        """Requests to workers at a time that each have a connection of their own, such as a takeover's questions."""
        return max(16, self.most // 8)

    def idle_us(self, machines: int, a_second: float) -> int:
        """How long to keep an idle connection to a worker, with so many machines and so many commands a second."""
        room = max(self.most * USED - machines - USERS_LEAST, LEAST_KEPT)
        return round(min(MOST_IDLE, max(LEAST_IDLE, room / max(a_second, 0.1) * SECOND)))

    def closes(self, held: int) -> bool:
        """With so many held by users and workers, a user's is closed once it is answered."""
        return held > self.most - self.calls - USERS_LEAST

    def full(self, held: int) -> bool:
        """No user's request is taken any more: what is left is for reports and for the leader's calls."""
        return held > self.most - self.calls
