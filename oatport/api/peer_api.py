"""What the other controller nodes ask: tagged tuples in, tagged tuples out."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from oatport import wire
from oatport.api.server import Answer, BodyReader

Message = list[Any]
PeerHandler = Callable[[Message], Awaitable[Message]]


class PeerApi:
    """Dispatches on the tag. A message of a kind or form not known gets 400 and disturbs nothing."""

    def __init__(self) -> None:
        self._handlers: dict[str, PeerHandler] = {}

    def on(self, tag: str, handler: PeerHandler) -> None:
        self._handlers[tag] = handler

    async def handle(self, method: str, path: str, body: BodyReader) -> Answer:
        if path != wire.PEER_PATH:
            return Answer(404, {"error": "no such path"})
        if method != "POST":
            return Answer(405, {"error": "wrong method"}, {"Allow": "POST"})
        message = await body.read()
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise wire.InvalidMessageError("not a tagged tuple")
        handler = self._handlers.get(message[0])
        if handler is None:
            raise wire.InvalidMessageError(f"unknown tag {message[0][:40]!r}")
        try:
            return Answer(200, await handler(message))
        except (ValueError, TypeError, KeyError, IndexError) as error:
            raise wire.InvalidMessageError(f"{message[0][:40]}: {type(error).__name__} {error}") from None
