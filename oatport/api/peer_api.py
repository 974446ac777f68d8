"""The interface that the other controller nodes call: tagged arrays in, tagged arrays out."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

from oatport import wire
from oatport.api.server import BodyReader, Response
from oatport.peer_codec import PeerArray, PeerMessage

RequestT = TypeVar("RequestT", bound=PeerMessage)


class PeerApi:
    """Dispatches on the tag. A message of an unknown kind or form gets 400 and disturbs nothing."""

    def __init__(self) -> None:
        self._handlers: dict[str, Callable[[PeerArray], Awaitable[PeerMessage]]] = {}

    def on(self, request_type: type[RequestT], handler: Callable[[RequestT], Awaitable[PeerMessage]]) -> None:
        """Have messages of this type answered by `handler`."""

        async def decode_and_handle(message: PeerArray) -> PeerMessage:
            return await handler(request_type.decode(message))

        self._handlers[request_type.tag()] = decode_and_handle

    async def handle(self, method: str, path: str, body: BodyReader) -> Response:
        """Answer one request. Raises wire.InvalidMessageError, which the server answers with 400."""
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
