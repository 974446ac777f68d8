"""Client for the other controller nodes; the messages are in `oatport.peer_messages`."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from oatport import wire
from oatport.clients.http import Connector, NoResponseError
from oatport.peer_codec import PeerArray, PeerMessage, decode_reply, ignore_reply
from oatport.times import MS

TIMEOUT = 800 * MS

ReplyT = TypeVar("ReplyT")


class UnexpectedReplyError(NoResponseError):
    """The peer answered with an error status or no message: one of an earlier version does, for a tag unknown to it."""


class PeerClient:
    """Sends messages to one other node."""

    def __init__(self, net: Connector, name: str, address: str) -> None:
        self.name = name
        self._http = net.client(address)

    async def ask(
        self, request: PeerMessage, decode: Callable[[PeerArray], ReplyT], *, timeout_us: int = TIMEOUT
    ) -> ReplyT:
        """Send a request and decode its reply.

        Raises NoResponseError, its subclass UnexpectedReplyError for a reply that is no message, and
        `oatport.peer_messages.MalformedReplyError` for a message that `decode` doesn't take.
        """
        status, value = await self._http.request("POST", wire.PEER_PATH, request.encode(), timeout_us=timeout_us)
        if status != 200 or not isinstance(value, list) or not value:
            raise UnexpectedReplyError(f"status {status}")
        return decode_reply(value, decode)

    async def notify(self, request: PeerMessage) -> None:
        """Send a message; any reply will do. Raises NoResponseError."""
        await self.ask(request, ignore_reply)
