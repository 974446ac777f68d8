"""The HTTP server: bounded bodies, CBOR answers, and no request that ends the process."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from oatport import wire
from oatport.errors import OatportError

log = logging.getLogger(__name__)

BODY_DEADLINE_S = 5.0


@dataclass(slots=True)
class Answer:
    status: int
    value: Any = None
    headers: dict[str, str] = field(default_factory=dict)


def later(after_s: int = 1) -> Answer:
    """Can't be decided now; tells the caller when to come back."""
    return Answer(503, {"error": "try again later"}, {"Retry-After": str(after_s)})


Handler = Callable[[str, str, "BodyReader"], Awaitable[Answer]]


class BodyTooLargeError(OatportError):
    pass


class BodyReader:
    """A request's body, read only when wanted and only up to the limit."""

    def __init__(self, request: web.BaseRequest, limit: int) -> None:
        self._request = request
        self._limit = limit

    async def read(self) -> Any:
        """The decoded body. Raises BodyTooLarge or wire.BadMessage."""
        length = self._request.content_length
        if length is not None and length > self._limit:
            raise BodyTooLargeError
        content = self._request.content
        if content.is_eof():
            # All of it came along with the head, as nearly always: no timer, no wait.
            body = content.read_nowait()
            if len(body) > self._limit:
                raise BodyTooLargeError
            return wire.decode(body)
        chunks: list[bytes] = []
        size = 0
        async with asyncio.timeout(BODY_DEADLINE_S):
            async for chunk in content.iter_any():
                size += len(chunk)
                if size > self._limit:
                    raise BodyTooLargeError
                chunks.append(chunk)
        return wire.decode(b"".join(chunks))


class Server:
    """One listening address."""

    def __init__(self, address: str, handler: Handler, *, body_limit: int = wire.MAX_BODY_BYTES) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._handler = handler
        self._limit = body_limit
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        server = web.Server(self._serve, access_log=None, keepalive_timeout=75.0)
        self._runner = web.ServerRunner(server, handle_signals=False)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port, backlog=256, reuse_address=True)
        await site.start()

    @property
    def held(self) -> int:
        """Open connections."""
        server = self._runner.server if self._runner is not None else None
        return len(server.connections) if server is not None else 0

    async def close(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        try:
            answer = await self._handler(request.method, request.rel_url.raw_path, BodyReader(request, self._limit))
        except BodyTooLargeError:
            answer = Answer(413, {"error": "body too large"}, {"Connection": "close"})
        except wire.InvalidMessageError as error:
            log.info("%s %s: %s", request.method, request.path, error)
            answer = Answer(400, {"error": str(error)})
        except (TimeoutError, ConnectionError):
            answer = Answer(408, {"error": "body did not come"}, {"Connection": "close"})
        except asyncio.CancelledError:
            raise
        except Exception:
            # Guards against one strange request ending more than itself.
            log.exception("%s %s failed", request.method, request.path)
            answer = Answer(500, {"error": "internal error"}, {"Retry-After": "1"})
        body = b"" if answer.value is None else wire.encode(answer.value)
        response = web.Response(
            status=answer.status, body=body, headers=answer.headers, content_type=wire.CBOR_CONTENT_TYPE
        )
        if answer.headers.get("Connection") == "close":
            response.force_close()
        return response
