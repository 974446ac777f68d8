"""Connection budget of a node: shares of its connections, and the idle timeout of connections to workers.

Each worker holds one connection for its heartbeats to the node that it reports to; after a node has stopped, all
workers may report to the same node. A leader holds another connection to each worker that it recently sent a command.
When these were kept for 30 s each, a leader with 929 machines held 1,873 of its 2,044 connections and refused any
further ones, whether they came from users or from workers.
"""

from __future__ import annotations

from dataclasses import dataclass

from oatport.times import SECOND

MIN_IDLE_TIMEOUT, MAX_IDLE_TIMEOUT = SECOND, 30 * SECOND
TARGET_UTILIZATION = 0.72  # in normal operation; the rest is for the case that all workers connect at once
RESERVED_FOR_USERS = 64
MIN_WORKER_CONNECTIONS = 32  # idle connections to keep, even if the limit is low
MIN_CONCURRENT_CALLS = 16
CALLS_DIVISOR = 8  # 1/8 of the connections is for requests to workers
MIN_COMMANDS_PER_S = 0.1


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """Divides a node's connections; `limit` is the number of sockets in the deploy file."""

    limit: int

    @property
    def concurrent_calls(self) -> int:
        """Returns the number of concurrent requests to workers with a connection each, such as probes at failover."""
        return max(MIN_CONCURRENT_CALLS, self.limit // CALLS_DIVISOR)

    def idle_timeout_us(self, machines: int, commands_per_s: float) -> int:
        """Returns how long (us) to keep an idle connection to a worker."""
        spare = self.limit * TARGET_UTILIZATION - machines - RESERVED_FOR_USERS
        idle_connections = max(spare, MIN_WORKER_CONNECTIONS)
        timeout = idle_connections / max(commands_per_s, MIN_COMMANDS_PER_S) * SECOND
        return round(min(MAX_IDLE_TIMEOUT, max(MIN_IDLE_TIMEOUT, timeout)))

    def should_close_after_response(self, open_connections: int) -> bool:
        """Returns whether to close a user's connection after the response, because few connections are left."""
        return open_connections > self.limit - self.concurrent_calls - RESERVED_FOR_USERS

    def is_exhausted(self, open_connections: int) -> bool:
        """Returns whether to refuse users' requests: the rest is reserved for heartbeats and the leader's calls."""
        return open_connections > self.limit - self.concurrent_calls
