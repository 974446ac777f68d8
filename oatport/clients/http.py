"""One HTTP client for all that oatport calls: CBOR bodies, a deadline on every request."""

from __future__ import annotations

import asyncio
import random
from enum import StrEnum
from typing import Any, Protocol

import aiohttp
from yarl import URL

from oatport import wire
from oatport.errors import OatportError
from oatport.times import SECOND, seconds, steady

HEADERS = {"Content-Type": wire.CBOR_CONTENT_TYPE}


class NoResponseError(OatportError):
    """No answer came: the request may have been executed, or may still be."""


class RequestNotSentError(NoResponseError):
    """No connection came about: the request can't be executed (PROTOCOL, "Delayed messages")."""


class RequestRefusedError(OatportError):
    """Answered that it was not executed (429, 503)."""

    def __init__(self, status: int, value: Any = None) -> None:
        super().__init__(f"status {status}")
        self.status = status
        self.value = value


class Bucket:
    """A rate budget: `rate` a second, with bursts of a second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate = max(rate, 0.1)
        self.level = self.rate
        self.at = steady()

    def available(self) -> float:
        """What can be used without waiting; below 0 if more was reserved."""
        now = steady()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate / SECOND)
        self.at = now
        return self.level

    def take(self, count: float = 1.0) -> int:
        """Reserve `count`; the time to wait before using them (us)."""
        self.available()
        self.level -= count
        return 0 if self.level >= 0 else round(-self.level / self.rate * SECOND)

    async def spend(self, count: float = 1.0) -> None:
        wait = self.take(count)
        if wait:
            await asyncio.sleep(seconds(wait))


def jitter(base_us: int) -> float:
    """A pause in seconds of half to one and a half times `base_us`."""
    return seconds(base_us) * random.uniform(0.5, 1.5)


class Keep(StrEnum):
    """What becomes of a connection after its answer."""

    LONG = "long"  # kept for half a minute
    WORKER = "worker"  # kept for as long as there are sockets to spare
    ONCE = "once"  # closed


def make_session(sockets: int, *, idle_us: int = 30 * SECOND) -> aiohttp.ClientSession:
    """`sockets` // 4 connections in use at a time; `idle_us`: how long an idle one is kept, 0 for not at all."""
    connector = aiohttp.TCPConnector(
        limit=max(16, sockets // 4),
        limit_per_host=12,
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
    """What one address is asked by: an HTTP client, or its like on the lab's network."""

    async def request(
        self, method: str, path: str, body: Any = None, *, timeout_us: int, query: str = ""
    ) -> tuple[int, Any]:
        """Status and decoded body. Raises NoAnswer, or NotSent if it surely never arrived."""


class Connector(Protocol):
    def client(self, address: str, keep: Keep = Keep.LONG) -> Requester: ...


class HttpConnector:
    """Clients that share a session's connections."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    def client(self, address: str, keep: Keep = Keep.LONG) -> Requester:
        return HttpClient(self._session, address)


class HttpClient:
    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f"http://{address}"

    async def request(
        self, method: str, path: str, body: Any = None, *, timeout_us: int, query: str = ""
    ) -> tuple[int, Any]:
        """Status and decoded body."""
        # Built encoded, since slashes in keys go over the wire as they are.
        url = URL(f"{self._base}{path}{'?' + query if query else ''}", encoded=True)
        data = None if body is None else wire.encode(body)
        try:
            async with asyncio.timeout(seconds(timeout_us)):
                async with self._session.request(
                    method, url, data=data, headers=HEADERS, allow_redirects=False
                ) as response:
                    raw = await response.read()
                    status = response.status
        except aiohttp.ClientConnectorError as error:
            raise RequestNotSentError(str(error)) from None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise NoResponseError(f"{type(error).__name__} {error}") from None
        if not raw:
            return status, None
        try:
            return status, wire.decode(raw)
        except wire.InvalidMessageError as error:
            raise NoResponseError(f"status {status} with a body that is {error}") from None
