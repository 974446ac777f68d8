"""The network as a node sees it: what it calls, and where it is called."""

from __future__ import annotations

from typing import Protocol

import aiohttp

from oatport import wire
from oatport.api.server import Handler, Server
from oatport.clients.http import Connector, HttpClient, Requester, make_session


class Listener(Protocol):
    async def start(self) -> None: ...
    async def close(self) -> None: ...


class Network(Connector, Protocol):
    """A node's; `oatport.lab.world` has another one, in memory."""

    def open(self) -> None:
        """To be called in the event loop before anything else."""

    @property
    def session(self) -> aiohttp.ClientSession:
        """For what is no part of the cluster, such as a price feed."""

    def server(self, address: str, handler: Handler, body_limit: int = wire.BODY_LIMIT) -> Listener: ...
    async def close(self) -> None: ...


class HttpNetwork:
    def __init__(self, sockets: int) -> None:
        self._sockets = sockets
        self._session: aiohttp.ClientSession | None = None

    def open(self) -> None:
        self._session = make_session(self._sockets)

    @property
    def session(self) -> aiohttp.ClientSession:
        assert self._session is not None
        return self._session

    def client(self, address: str) -> Requester:
        return HttpClient(self.session, address)

    def server(self, address: str, handler: Handler, body_limit: int = wire.BODY_LIMIT) -> Listener:
        return Server(address, handler, body_limit=body_limit)

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()
