"""The network interface of a node: its HTTP clients and its servers."""

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

IDLE_TIMEOUT_HYSTERESIS = 1.5  # the idle timeout is changed only if the new one differs by this factor
CONNECTION_COUNT_VALIDITY = 250 * MS
SESSION_CLOSE_DELAY = 5 * SECOND  # requests on a replaced session have been answered or timed out by then
PROBE_CONNECTION_FACTOR = 4  # as a multiple of the limit of other calls, since most probes hang


class Listener(Protocol):
    """Defines a server on one listening address."""

    async def start(self) -> None:
        """Starts to listen."""

    async def close(self) -> None:
        """Stops listening."""


class Network(Connector, Protocol):
    """Defines a node's network; `oatport.simulation` has an implementation in memory."""

    def open(self) -> None:
        """Opens the sessions; must be called in the event loop before any other method."""

    @property
    def session(self) -> aiohttp.ClientSession:
        """Returns the session for services outside the cluster, such as a price feed."""

    def set_expected_load(self, machines: int, commands_per_s: float) -> None:
        """Sets the number of machines and the expected rate of commands to them."""

    def open_connections(self) -> int:
        """Returns the number of connections that users, workers and other nodes hold to this node."""

    def server(self, address: str, handler: Handler, body_limit: int = wire.MAX_BODY_BYTES) -> Listener:
        """Returns a listener that has not been started."""

    async def close(self) -> None:
        """Closes all connections that this node opened."""


class HttpNetwork:
    """Implements the network of a process with HTTP over TCP, within its connection budget."""

    def __init__(self, connections: int) -> None:
        self._budget = ConnectionBudget(connections)
        self._sessions: dict[ConnectionReuse, aiohttp.ClientSession] = {}
        self._idle_timeout_us = MAX_IDLE_TIMEOUT
        self._session_closers: set[asyncio.Task[None]] = set()
        self._servers: list[Server] = []
        self._open_connections, self._counted_at = 0, -CONNECTION_COUNT_VALIDITY

    def open(self) -> None:
        """Opens the sessions; must be called in the event loop before any other method."""
        self._sessions = {
            ConnectionReuse.KEEP_ALIVE: make_session(self._budget.limit),
            ConnectionReuse.WHILE_SPARE: make_session(self._budget.limit),
            ConnectionReuse.NEVER: make_session(self._budget.concurrent_calls * PROBE_CONNECTION_FACTOR, idle_us=0),
        }

    @property
    def session(self) -> aiohttp.ClientSession:
        """Returns the session for services outside the cluster, such as a price feed."""
        return self._sessions[ConnectionReuse.KEEP_ALIVE]

    def client(self, address: str, reuse: ConnectionReuse = ConnectionReuse.KEEP_ALIVE) -> Requester:
        """Returns a client that sends requests to an address."""
        return HttpClient(self._sessions[reuse], address)

    def set_expected_load(self, machines: int, commands_per_s: float) -> None:
        """Sets the idle timeout to the longest one that leaves enough connections for these machines and commands."""
        idle_timeout_us = self._budget.idle_timeout_us(machines, commands_per_s)
        ratio = idle_timeout_us / self._idle_timeout_us
        if 1 / IDLE_TIMEOUT_HYSTERESIS < ratio < IDLE_TIMEOUT_HYSTERESIS:
            return
        self._idle_timeout_us = idle_timeout_us
        replaced_session = self._sessions[ConnectionReuse.WHILE_SPARE]
        self._sessions[ConnectionReuse.WHILE_SPARE] = make_session(self._budget.limit, idle_us=idle_timeout_us)
        task = asyncio.get_running_loop().create_task(self._close_later(replaced_session))
        self._session_closers.add(task)
        task.add_done_callback(self._session_closers.discard)

    @staticmethod
    async def _close_later(session: aiohttp.ClientSession) -> None:
        try:
            await asyncio.sleep(seconds(SESSION_CLOSE_DELAY))
        finally:
            try:
                await session.close()
            except Exception:
                log.exception("closing connections to workers failed")

    def open_connections(self) -> int:
        """Returns the number of connections that users, workers and other nodes hold to this node."""
        # The count is cached: its cost grows with the number of connections, and every user request needs it.
        now = steady()
        if now - self._counted_at > CONNECTION_COUNT_VALIDITY:
            self._open_connections, self._counted_at = sum(server.connection_count for server in self._servers), now
        return self._open_connections

    def server(self, address: str, handler: Handler, body_limit: int = wire.MAX_BODY_BYTES) -> Listener:
        """Returns a listener that has not been started."""
        server = Server(address, handler, body_limit=body_limit)
        self._servers.append(server)
        return server

    async def close(self) -> None:
        """Closes all connections that this node opened."""
        for task in list(self._session_closers):
            task.cancel()
        await asyncio.gather(*self._session_closers, return_exceptions=True)
        for session in self._sessions.values():
            await session.close()
