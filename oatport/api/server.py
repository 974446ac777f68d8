"""The HTTP server: limits the size of bodies, encodes responses as CBOR, and turns any error into a response."""

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

BODY_TIMEOUT_S = 5.0
KEEPALIVE_TIMEOUT_S = 75.0
LISTEN_BACKLOG = 256


@dataclass(slots=True)
class Response:
    """Holds a handler's response; `value` is sent as CBOR, None as an empty body."""

    status: int
    value: Any = None
    headers: dict[str, str] = field(default_factory=dict)


def retry_later(after_s: int = 1) -> Response:
    """Returns the response to a request that can't be decided now; `after_s` is the time to wait before a retry."""
    return Response(503, {"error": "try again later"}, {"Retry-After": str(after_s)})


Handler = Callable[[str, str, "BodyReader"], Awaitable[Response]]  # method, path, body


class BodyTooLargeError(OatportError):
    """The body is larger than `limit` bytes; the sender gets 413."""

    def __init__(self, limit: int | None = None) -> None:
        super().__init__("body too large" if limit is None else f"body larger than {limit} bytes")
        self.limit = limit


class BodyReader:
    """Reads a request's body on demand and only up to a limit."""

    def __init__(self, request: web.BaseRequest, limit: int) -> None:
        self._request = request
        self._limit = limit

    async def read(self) -> Any:
        """Returns the decoded body.

        Raises BodyTooLargeError, wire.InvalidMessageError, or TimeoutError if the body doesn't arrive in time.
        """
        length = self._request.content_length
        if length is not None and length > self._limit:
            raise BodyTooLargeError(self._limit)
        content = self._request.content
        if content.is_eof():
            # The body arrived together with the header, as nearly always, so no timer and no wait are needed.
            body = content.read_nowait()
            if len(body) > self._limit:
                raise BodyTooLargeError(self._limit)
            return wire.decode(body)
        chunks: list[bytes] = []
        size = 0
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for chunk in content.iter_any():
                size += len(chunk)
                if size > self._limit:
                    raise BodyTooLargeError(self._limit)
                chunks.append(chunk)
        return wire.decode(b"".join(chunks))


class Server:
    """Serves HTTP on one address."""

    def __init__(self, address: str, handler: Handler, *, body_limit: int = wire.MAX_BODY_BYTES) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._handler = handler
        self._body_limit = body_limit
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Starts listening. Raises OSError if the address can't be bound."""
        server = web.Server(self._serve, access_log=None, keepalive_timeout=KEEPALIVE_TIMEOUT_S)
        self._runner = web.ServerRunner(server, handle_signals=False)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port, backlog=LISTEN_BACKLOG, reuse_address=True)
        await site.start()

    @property
    def connection_count(self) -> int:
        """Returns the number of open connections."""
        server = self._runner.server if self._runner is not None else None
        return len(server.connections) if server is not None else 0

    async def close(self) -> None:
        """Stops listening and waits for requests in progress."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        response = await self._handle(request)
        body = b"" if response.value is None else wire.encode(response.value)
        http_response = web.Response(
            status=response.status, body=body, headers=response.headers, content_type=wire.CBOR_CONTENT_TYPE
        )
        if response.headers.get("Connection") == "close":
            http_response.force_close()
        return http_response

    async def _handle(self, request: web.BaseRequest) -> Response:
        """Returns the handler's response, or one for the error that the handler raised."""
        try:
            body = BodyReader(request, self._body_limit)
            return await self._handler(request.method, request.rel_url.raw_path, body)
        except BodyTooLargeError:
            return Response(413, {"error": "body too large"}, {"Connection": "close"})
        except wire.InvalidMessageError as error:
            log.info('invalid request method=%s path=%s error="%s"', request.method, request.path, error)
            return Response(400, {"error": str(error)})
        except (TimeoutError, ConnectionError):
            return Response(408, {"error": "body did not come"}, {"Connection": "close"})
        except asyncio.CancelledError:
            raise
        except Exception:
            # An unexpected error fails only the request that caused it.
            log.exception("request failed method=%s path=%s", request.method, request.path)
            return Response(500, {"error": "internal error"}, {"Retry-After": "1"})
