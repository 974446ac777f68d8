"""Emulates a price feed on loopback, with injectable faults: no, refused, slow, oversized or truncated responses."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from aiohttp import web

from oatport import wire
from oatport.windows.feed import encode_series
from oatport.windows.prices import Interval

MODES = ("good", "silent", "refuse", "drip", "huge", "broken")


class FeedServer:
    """Serves price intervals at /prices; `mode`, one of MODES, selects a fault."""

    def __init__(self, zone: str, *, as_json: bool = True) -> None:
        self.zone = zone
        self.as_json = as_json
        self.mode = "good"
        self.intervals: list[Interval] = []
        self.made_at = 0
        self.request_count = 0
        self._runner: web.AppRunner | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Starts the server and returns its URL, the value of the setting `feed`."""
        app = web.Application()
        app.router.add_get("/prices", self._respond)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        assert site._server is not None
        return f"http://{host}:{site._server.sockets[0].getsockname()[1]}/prices"  # type: ignore[attr-defined]

    async def close(self) -> None:
        """Stops serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _respond(self, request: web.Request) -> web.StreamResponse:
        self.request_count += 1
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "refuse":
            return web.Response(status=503)
        value: Any = encode_series(self.intervals, self.zone, self.made_at)
        body = json.dumps(value).encode() if self.as_json else wire.encode(value)
        content_type = "application/json" if self.as_json else wire.CBOR_CONTENT_TYPE
        if self.mode == "huge":
            body += b" " * 1_000_000
        if self.mode == "broken":
            body = body[: len(body) // 2]
        if self.mode != "drip":
            return web.Response(body=body, content_type=content_type)
        response = web.StreamResponse(headers={"Content-Type": content_type})
        await response.prepare(request)
        for byte in body:
            await response.write(bytes([byte]))
            await asyncio.sleep(0.05)
        return response
