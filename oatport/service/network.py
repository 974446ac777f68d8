"""The network as a node sees it: what it calls, and where it is called."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

import aiohttp

from oatport import wire
from oatport.api.server import Handler, Server
from oatport.clients.http import Connector, HttpClient, Keep, Requester, make_session
from oatport.control.limits.connection_budget import MOST_IDLE, ConnectionBudget
from oatport.times import MS, SECOND, seconds, steady

log = logging.getLogger(__name__)

CHANGED_BY = 1.5  # connections are kept for another time only if that differs by so much
COUNTED_FOR = 250 * MS
REPLACED_AFTER = 5 * SECOND  # requests on the session before have been answered by then, or given up


class Listener(Protocol):
    async def start(self) -> None: ...
    async def close(self) -> None: ...


class Network(Connector, Protocol):
    """A node's; `oatport.simulation` has another one, in memory."""

    def open(self) -> None:
        """To be called in the event loop before anything else."""

    @property
    def session(self) -> aiohttp.ClientSession:
        """For what is no part of the cluster, such as a price feed."""

    def expect(self, machines: int, a_second: float) -> None:
        """There are so many machines, and so many commands a second to them."""

    def held(self) -> int:
        """Connections that users, workers and other nodes hold."""

    def server(self, address: str, handler: Handler, body_limit: int = wire.MAX_BODY_BYTES) -> Listener: ...
    async def close(self) -> None: ...


class HttpNetwork:
    def __init__(self, sockets: int) -> None:
        self._sockets = ConnectionBudget(sockets)
        self._sessions: dict[Keep, aiohttp.ClientSession] = {}
        self._idle_us = MOST_IDLE
        self._replaced: set[asyncio.Task[None]] = set()
        self._servers: list[Server] = []
        self._held, self._counted_at = 0, -COUNTED_FOR

    def open(self) -> None:
        self._sessions = {
            Keep.LONG: make_session(self._sockets.most),
            Keep.WORKER: make_session(self._sockets.most),
            Keep.ONCE: make_session(self._sockets.calls * 4, idle_us=0),  # probes: most of them hang
        }

    @property
    def session(self) -> aiohttp.ClientSession:
        return self._sessions[Keep.LONG]

    def client(self, address: str, keep: Keep = Keep.LONG) -> Requester:
        return HttpClient(self._sessions[keep], address)

    def expect(self, machines: int, a_second: float) -> None:
        idle = self._sockets.idle_us(machines, a_second)
        if 1 / CHANGED_BY < idle / self._idle_us < CHANGED_BY:
            return
        self._idle_us = idle
        before = self._sessions[Keep.WORKER]
        self._sessions[Keep.WORKER] = make_session(self._sockets.most, idle_us=idle)
        task = asyncio.get_running_loop().create_task(self._replace(before))
        self._replaced.add(task)
        task.add_done_callback(self._replaced.discard)

    @staticmethod
    async def _replace(session: aiohttp.ClientSession) -> None:
        try:
            await asyncio.sleep(seconds(REPLACED_AFTER))
        finally:
            try:
                await session.close()
            except Exception:
                log.exception("connections to workers were not closed")

    def held(self) -> int:
        # Counting takes as long as there are connections, and every user's request asks.
        now = steady()
        if now - self._counted_at > COUNTED_FOR:
            self._held, self._counted_at = sum(server.held for server in self._servers), now
        return self._held

    def server(self, address: str, handler: Handler, body_limit: int = wire.MAX_BODY_BYTES) -> Listener:
        server = Server(address, handler, body_limit=body_limit)
        self._servers.append(server)
        return server

    async def close(self) -> None:
        for task in list(self._replaced):
            task.cancel()
        await asyncio.gather(*self._replaced, return_exceptions=True)
        for session in self._sessions.values():
            await session.close()
