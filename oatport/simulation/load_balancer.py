"""The load balancer between users and nodes: health probes, exclusion of failing nodes, and the choice of a node."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from oatport import wire
from oatport.clients.http import NoResponseError, RequestNotSentError
from oatport.simulation.network import SimulatedNetwork
from oatport.simulation.virtual_time import Host, VirtualLoop
from oatport.times import SECOND

PROBE_INTERVAL_S, PROBE_TIMEOUT = 1.0, SECOND


@dataclass
class BackendNode:
    """Holds the load balancer's view of one node."""

    address: str
    healthy: bool = False
    was_ever_healthy: bool = False
    consecutive_successes: int = 0
    recent_probes: list[bool] = field(default_factory=list)
    excluded_until: float = 0.0
    exclusion_s: float = 3.0
    removed_at: float = -1000.0
    open_connections: int = 0
    # Breaks ties between nodes with equally few open connections; otherwise the first one would always be chosen.
    connections_opened: int = 0


class LoadBalancer:
    """Chooses a healthy node for each new connection (PROTOCOL, "Users -> controller nodes")."""

    def __init__(self, loop: VirtualLoop, net: SimulatedNetwork, host: Host, addresses: list[str]) -> None:
        self._loop, self._net, self._host = loop, net, host
        self.nodes = [BackendNode(address) for address in addresses]

    async def probe(self, node: BackendNode) -> None:
        """Probes a node's readiness every PROBE_INTERVAL_S until it is cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            try:
                status, _ = await self._net.request(
                    self._host, node.address, "GET", wire.READY_PATH, None, PROBE_TIMEOUT, ""
                )
            except NoResponseError:
                status = 0
            self._on_probe_result(node, status == 200)

    def _on_probe_result(self, node: BackendNode, succeeded: bool) -> None:
        now = self._loop.time()
        node.recent_probes = [*node.recent_probes[-5:], succeeded]
        node.consecutive_successes = node.consecutive_successes + 1 if succeeded else 0
        if node.healthy and (node.recent_probes[-2:] == [False, False] or node.recent_probes.count(False) >= 3):
            node.healthy = False
            node.exclusion_s = min(60.0, 2 * node.exclusion_s) if now - node.removed_at < 120 else 3.0
            node.removed_at, node.excluded_until = now, now + node.exclusion_s
            node.recent_probes = []
        elif not node.healthy and succeeded:
            has_recovered = node.consecutive_successes >= 2 and now >= node.excluded_until
            if has_recovered or not node.was_ever_healthy:
                node.healthy = node.was_ever_healthy = True

    async def request_node(
        self, user: Host, address: str, method: str, path: str, body: Any, timeout_us: int
    ) -> tuple[int, Any]:
        """Sends one request to a given node, without load balancing. Raises NoResponseError."""
        return await self._net.request(user, address, method, path, body, timeout_us, "")

    async def request(self, user: Host, method: str, path: str, body: Any, timeout_us: int) -> tuple[int, Any]:
        """Sends one request on a new connection to a healthy node; tries up to three nodes until a connection opens.

        Raises NoResponseError.
        """
        tried: list[BackendNode] = []
        for _ in range(3):
            candidates = [node for node in self.nodes if node.healthy and node not in tried]
            if not candidates:
                break
            node = min(candidates, key=lambda backend: (backend.open_connections, backend.connections_opened))
            tried.append(node)
            node.open_connections += 1
            node.connections_opened += 1
            try:
                return await self._net.request(user, node.address, method, path, body, timeout_us, "")
            except RequestNotSentError:
                continue
            finally:
                node.open_connections -= 1
        raise NoResponseError("no healthy node")
