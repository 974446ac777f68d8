"""The HTTP client that all service clients share: CBOR bodies, a timeout on every request."""

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
MIN_CONNECTIONS = 16  # of a session, even if the socket limit is lower
MAX_CONNECTIONS_PER_HOST = 12
IDLE_TIMEOUT = 30 * SECOND
TOO_MANY_REQUESTS = 429


class NoResponseError(OatportError):
    """No response arrived: the request may have been executed, or may still be."""


class RequestNotSentError(NoResponseError):
    """No connection was established, so the request can't be executed (PROTOCOL, "Delayed messages")."""


class RequestRefusedError(OatportError):
    """The response says that the request was not executed (400, 429, 503). `value` is the response's decoded body."""

    def __init__(self, status: int, value: Any = None) -> None:
        super().__init__(f"status {status}")
        self.status = status
        self.value = value

    @property
    def is_throttled(self) -> bool:
        """Returns whether the request exceeded a rate limit, so that it may be sent again later."""
        return self.status == TOO_MANY_REQUESTS

    @property
    def is_malformed(self) -> bool:
        """Returns whether the request itself is at fault, so that a repetition would be refused as well."""
        return self.status < TOO_MANY_REQUESTS


def jitter(base_us: int) -> float:
    """Returns a random pause in seconds, between 0.5 and 1.5 times `base_us`."""
    return seconds(base_us) * random.uniform(0.5, 1.5)


class ConnectionReuse(StrEnum):
    """Defines whether a connection is kept open after a response."""

    KEEP_ALIVE = "keep_alive"  # kept for IDLE_TIMEOUT
    WHILE_SPARE = "while_spare"  # kept as long as enough sockets are free
    NEVER = "never"  # closed


def make_session(sockets: int, *, idle_us: int = IDLE_TIMEOUT) -> aiohttp.ClientSession:
    """Returns a session with up to `sockets` // 4 concurrent connections (at least `MIN_CONNECTIONS`).

    `idle_us`: how long an idle connection is kept; 0 closes it at once.
    """
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
    """Sends requests to one address: an HTTP client, or its counterpart on the simulated network."""

    async def request(
        self, method: str, path: str, body: Any = None, *, timeout_us: int, query: str = ""
    ) -> tuple[int, Any]:
        """Sends a request and returns the status and the decoded body.

        Raises NoResponseError, or RequestNotSentError if the request certainly never arrived.
        """


class Connector(Protocol):
    """Creates a node's clients."""

    def client(self, address: str, reuse: ConnectionReuse = ConnectionReuse.KEEP_ALIVE) -> Requester:
        """Returns a client for the service at `address`."""


class HttpConnector:
    """Creates clients that share the connections of one session; `reuse` is ignored."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    def client(self, address: str, reuse: ConnectionReuse = ConnectionReuse.KEEP_ALIVE) -> Requester:
        """Returns a client for the service at `address`."""
        return HttpClient(self._session, address)


class HttpClient:
    """Sends requests to one address over a session's connections."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base_url = f"http://{address}"

    async def request(
        self, method: str, path: str, body: Any = None, *, timeout_us: int, query: str = ""
    ) -> tuple[int, Any]:
        """Sends a request and returns the status and the decoded body.

        Raises NoResponseError, or RequestNotSentError if the request certainly never arrived.
        """
        # The URL is passed as encoded, since the protocol sends slashes in keys unescaped.
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
            raise NoResponseError(f"status {status}, invalid body: {error}") from error
