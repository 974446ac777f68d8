"""Who gets a node's connections first, and for how long an idle connection to a worker is kept.

Each worker holds one for its reports, at whichever node it reports to: after a node ends, that is one node for all of
them. A leader holds another to each worker that it sent a command lately. Once the latter were kept for 30 s each, so
that at 929 machines a leader held 1,873 of its 2,044 connections, and refused whoever came next, whoever that was.
"""

from __future__ import annotations

from dataclasses import dataclass

from oatport.times import SECOND

MIN_IDLE_TIMEOUT, MAX_IDLE_TIMEOUT = SECOND, 30 * SECOND
TARGET_UTILIZATION = 0.72  # on an ordinary day: the rest is for all workers that come at once
RESERVED_FOR_USERS = 64
MIN_WORKER_CONNECTIONS = 32  # idle ones that are kept, however few connections there are
MIN_CONCURRENT_CALLS = 16
CALLS_DIVISOR = 8  # the share of connections that is for calls
MIN_COMMANDS_PER_S = 0.1


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """Shares of a node's connections; `limit` is what the deploy file gives."""

    limit: int

    @property
    def concurrent_calls(self) -> int:
        """Requests to workers at a time that each have a connection of their own, such as a failover's questions."""
        return max(MIN_CONCURRENT_CALLS, self.limit // CALLS_DIVISOR)

    def idle_timeout_us(self, machines: int, commands_per_s: float) -> int:
        """How long to keep an idle connection to a worker."""
        free = self.limit * TARGET_UTILIZATION - machines - RESERVED_FOR_USERS
        kept = max(free, MIN_WORKER_CONNECTIONS)
        timeout = kept / max(commands_per_s, MIN_COMMANDS_PER_S) * SECOND
        return round(min(MAX_IDLE_TIMEOUT, max(MIN_IDLE_TIMEOUT, timeout)))

    def should_close_after_response(self, open_connections: int) -> bool:
        """With so many held by users and workers, a user's is closed once it is answered."""
        return open_connections > self.limit - self.concurrent_calls - RESERVED_FOR_USERS

    def is_exhausted(self, open_connections: int) -> bool:
        """No user's request is taken any more: what is left is for reports and for the leader's calls."""
        return open_connections > self.limit - self.concurrent_calls
