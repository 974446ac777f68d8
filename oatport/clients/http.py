"""One HTTP client for all that oatport calls: CBOR bodies, a timeout on every request."""

from __future__ import annotations

import asyncio
import random
from enum import StrEnum
from typing import Any, Protocol

import aiohttp
from yarl import URL

from oatport import wire
from oatport.errors import OatportError
from oatport.times import SECOND, seconds

HEADERS = {"Content-Type": wire.CBOR_CONTENT_TYPE}
MIN_CONNECTIONS = 16  # of a session, however few sockets there are
MAX_CONNECTIONS_PER_HOST = 12
KEEP_IDLE = 30 * SECOND


class NoResponseError(OatportError):
    """No response came: the request may have been executed, or may still be."""


class RequestNotSentError(NoResponseError):
    """No connection came about: the request can't be executed (PROTOCOL, "Delayed messages")."""


class RequestRefusedError(OatportError):
    """The response says that the request was not executed (429, 503). `value` is the response's decoded body."""

    def __init__(self, status: int, value: Any = None) -> None:
        super().__init__(f"status {status}")
        self.status = status
        self.value = value


def jitter(base_us: int) -> float:
    """A pause in seconds of half to one and a half times `base_us`."""
    return seconds(base_us) * random.uniform(0.5, 1.5)


class ConnectionReuse(StrEnum):
    """What becomes of a connection after its response."""

    KEEP_ALIVE = "keep_alive"  # kept for KEEP_IDLE
    WHILE_SPARE = "while_spare"  # kept for as long as there are sockets to spare
    NEVER = "never"  # closed


def make_session(sockets: int, *, idle_us: int = KEEP_IDLE) -> aiohttp.ClientSession:
    """`sockets` // 4 connections in use at a time; `idle_us`: how long an idle one is kept, 0 for not at all."""
    connector = aiohttp.TCPConnector(
        limit=max(MIN_CONNECTIONS, sockets // 4),
        limit_per_host=MAX_CONNECTIONS_PER_HOST,
        use_dns_cache=False,
        keepalive_timeout=seconds(idle_us) if idle_us else None,
        force_close=not idle_us,
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


class Requester(Protocol):
    """Sends requests to one address: an HTTP client, or its like on the simulation's network."""

    async def request(
        self, method: str, path: str, body: Any = None, *, timeout_us: int, query: str = ""
    ) -> tuple[int, Any]:
        """Status and decoded body. Raises NoResponseError, or RequestNotSentError if it surely never arrived."""


class Connector(Protocol):
    """Makes the clients of a node."""

    def client(self, address: str, reuse: ConnectionReuse = ConnectionReuse.KEEP_ALIVE) -> Requester:
        """A client of the service at `address`."""


class HttpConnector:
    """Clients that share a session's connections, whatever reuse they ask for."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    def client(self, address: str, reuse: ConnectionReuse = ConnectionReuse.KEEP_ALIVE) -> Requester:
        """A client of the service at `address`."""
        return HttpClient(self._session, address)


class HttpClient:
    """Sends requests to one address over a session's connections."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base_url = f"http://{address}"

    async def request(
        self, method: str, path: str, body: Any = None, *, timeout_us: int, query: str = ""
    ) -> tuple[int, Any]:
        """Status and decoded body. Raises NoResponseError, or RequestNotSentError if it surely never arrived."""
        # Built encoded, since slashes in keys go over the wire as they are.
        url = URL(f"{self._base_url}{path}{'?' + query if query else ''}", encoded=True)
        data = None if body is None else wire.encode(body)
        try:
            async with asyncio.timeout(seconds(timeout_us)):
                async with self._session.request(
                    method, url, data=data, headers=HEADERS, allow_redirects=False
                ) as response:
                    raw = await response.read()
                    status = response.status
        except aiohttp.ClientConnectorError as error:
            raise RequestNotSentError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise NoResponseError(f"{type(error).__name__} {error}") from error
        if not raw:
            return status, None
        try:
            return status, wire.decode(raw)
        except wire.InvalidMessageError as error:
            raise NoResponseError(f"status {status} with a body that is {error}") from error
