"""The network as a node sees it: what it calls, and where it is called."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

import aiohttp

from oatport import wire
from oatport.api.server import Handler, Server
from oatport.clients.http import ConnectionReuse, Connector, HttpClient, Requester, make_session
from oatport.control.limits.connection_budget import MAX_IDLE_TIMEOUT, ConnectionBudget
from oatport.times import MS, SECOND, seconds, steady

log = logging.getLogger(__name__)

IDLE_TIMEOUT_HYSTERESIS = 1.5  # connections are kept for another time only if that differs by this factor
COUNT_IS_VALID = 250 * MS
SESSION_CLOSED_AFTER = 5 * SECOND  # requests on a replaced session have been answered by then, or given up
PROBE_CONNECTIONS = 4  # times as many as for other calls, since most of them hang


class Listener(Protocol):
    """A listening address."""

    async def start(self) -> None:
        """Begin to listen."""

    async def close(self) -> None:
        """Stop listening."""


class Network(Connector, Protocol):
    """A node's network; `oatport.simulation` has another one, in memory."""

    def open(self) -> None:
        """To be called in the event loop before anything else."""

    @property
    def session(self) -> aiohttp.ClientSession:
        """For what is no part of the cluster, such as a price feed."""

    def set_expected_load(self, machines: int, commands_per_s: float) -> None:
        """There are so many machines, and so many commands a second to them."""

    def open_connections(self) -> int:
        """Connections that users, workers and other nodes hold."""

    def server(self, address: str, handler: Handler, body_limit: int = wire.MAX_BODY_BYTES) -> Listener:
        """A listener that is yet to be started."""

    async def close(self) -> None:
        """Close all connections that this node opened."""


class HttpNetwork:
    """The network of a process: HTTP over TCP, within its budget of connections."""

    def __init__(self, connections: int) -> None:
        self._budget = ConnectionBudget(connections)
        self._sessions: dict[ConnectionReuse, aiohttp.ClientSession] = {}
        self._idle_timeout_us = MAX_IDLE_TIMEOUT
        self._replaced: set[asyncio.Task[None]] = set()
        self._servers: list[Server] = []
        self._open_connections, self._counted_at = 0, -COUNT_IS_VALID

    def open(self) -> None:
        """To be called in the event loop before anything else."""
        self._sessions = {
            ConnectionReuse.KEEP_ALIVE: make_session(self._budget.limit),
            ConnectionReuse.WHILE_SPARE: make_session(self._budget.limit),
            ConnectionReuse.NEVER: make_session(self._budget.concurrent_calls * PROBE_CONNECTIONS, idle_us=0),
        }

    @property
    def session(self) -> aiohttp.ClientSession:
        """For what is no part of the cluster, such as a price feed."""
        return self._sessions[ConnectionReuse.KEEP_ALIVE]

    def client(self, address: str, reuse: ConnectionReuse = ConnectionReuse.KEEP_ALIVE) -> Requester:
        """What to send requests to an address by."""
        return HttpClient(self._sessions[reuse], address)

    def set_expected_load(self, machines: int, commands_per_s: float) -> None:
        """Keep idle connections for as long as there are enough for so many machines and commands."""
        idle_timeout_us = self._budget.idle_timeout_us(machines, commands_per_s)
        ratio = idle_timeout_us / self._idle_timeout_us
        if 1 / IDLE_TIMEOUT_HYSTERESIS < ratio < IDLE_TIMEOUT_HYSTERESIS:
            return
        self._idle_timeout_us = idle_timeout_us
        before = self._sessions[ConnectionReuse.WHILE_SPARE]
        self._sessions[ConnectionReuse.WHILE_SPARE] = make_session(self._budget.limit, idle_us=idle_timeout_us)
        task = asyncio.get_running_loop().create_task(self._close_later(before))
        self._replaced.add(task)
        task.add_done_callback(self._replaced.discard)

    @staticmethod
    async def _close_later(session: aiohttp.ClientSession) -> None:
        try:
            await asyncio.sleep(seconds(SESSION_CLOSED_AFTER))
        finally:
            try:
                await session.close()
            except Exception:
                log.exception("closing connections to workers failed")

    def open_connections(self) -> int:
        """Connections that users, workers and other nodes hold."""
        # Counting takes as long as there are connections, and every user's request asks.
        now = steady()
        if now - self._counted_at > COUNT_IS_VALID:
            self._open_connections, self._counted_at = sum(server.connection_count for server in self._servers), now
        return self._open_connections

    def server(self, address: str, handler: Handler, body_limit: int = wire.MAX_BODY_BYTES) -> Listener:
        """A listener that is yet to be started."""
        server = Server(address, handler, body_limit=body_limit)
        self._servers.append(server)
        return server

    async def close(self) -> None:
        """Close all connections that this node opened."""
        for task in list(self._replaced):
            task.cancel()
        await asyncio.gather(*self._replaced, return_exceptions=True)
        for session in self._sessions.values():
            await session.close()
