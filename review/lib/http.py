"""HTTP/1.1 with CBOR bodies, for stand-ins and users."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import cbor2
from aiohttp import web
from yarl import URL

Handler = Callable[[str, str, Any], Awaitable[tuple[int, Any]]]  # method, target and decoded body


class Client:
    """Sends requests. Status 0 stands for no response."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def request(self, method: str, url: str, body: Any, timeout_s: float) -> tuple[int, Any]:
        """Returns the status and the decoded body of the response; (0, None) if there is none in time."""
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        data = None if body is None else cbor2.dumps(body)
        headers = {"Content-Type": "application/cbor"}
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(
                    method, URL(url, encoded=True), data=data, headers=headers, allow_redirects=False
                ) as response:
                    raw = await response.read()
                    return response.status, cbor2.loads(raw) if raw else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, None

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()


class Listener:
    """Serves one address."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._runner: web.ServerRunner | None = None

    async def start(self, address: str) -> str:
        """Starts to listen; returns the address, with the port that the system chose if the given one is 0."""
        host, _, port = address.rpartition(":")
        self._runner = web.ServerRunner(web.Server(self._serve, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port), reuse_address=True, shutdown_timeout=0.2).start()
        return f"{host}:{self._runner.addresses[0][1]}"

    async def close(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        raw = await request.read()
        status, value = await self._handler(request.method, request.raw_path, cbor2.loads(raw) if raw else None)
        body = b"" if value is None else cbor2.dumps(value)
        return web.Response(status=status, body=body, content_type="application/cbor")
