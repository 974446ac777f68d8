"""The interface for the other controller nodes; requests and replies are tagged arrays (`oatport.peer_messages`)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

from oatport import wire
from oatport.api.server import BodyReader, Response
from oatport.peer_codec import PeerArray, PeerMessage

RequestT = TypeVar("RequestT", bound=PeerMessage)


class PeerApi:
    """Dispatches requests by tag. A message with an unknown tag or a malformed one gets 400 and has no effect."""

    def __init__(self) -> None:
        self._handlers: dict[str, Callable[[PeerArray], Awaitable[PeerMessage]]] = {}

    def on(self, request_type: type[RequestT], handler: Callable[[RequestT], Awaitable[PeerMessage]]) -> None:
        """Registers the handler for requests of one type."""

        async def decode_and_handle(message: PeerArray) -> PeerMessage:
            return await handler(request_type.decode(message))

        self._handlers[request_type.tag()] = decode_and_handle

    async def handle(self, method: str, path: str, body: BodyReader) -> Response:
        """Returns the response to one request. Raises wire.InvalidMessageError, which the server turns into 400."""
        if path != wire.PEER_PATH:
            return Response(404, {"error": "no such path"})
        if method != "POST":
            return Response(405, {"error": "wrong method"}, {"Allow": "POST"})
        message = await body.read()
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise wire.InvalidMessageError("not a tagged tuple")
        tag = message[0]
        handler = self._handlers.get(tag)
        if handler is None:
            raise wire.InvalidMessageError(f"unknown tag {tag[:40]!r}")
        try:
            reply = await handler(message)
        except (ValueError, TypeError, KeyError, IndexError) as error:
            raise wire.InvalidMessageError(f"{tag[:40]}: {type(error).__name__} {error}") from error
        return Response(200, reply.encode())
