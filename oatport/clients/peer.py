"""Client for the other controller nodes; `oatport.peer_messages` defines the messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from oatport import wire
from oatport.clients.http import Connector, NoResponseError
from oatport.peer_codec import PeerArray, PeerMessage, decode_reply, ignore_reply
from oatport.times import MS

REQUEST_TIMEOUT = 800 * MS

ReplyT = TypeVar("ReplyT")


class UnexpectedReplyError(NoResponseError):
    """The peer replied with an error status or without a message, as an earlier version does for an unknown tag."""


class PeerClient:
    """Sends messages to one other node."""

    def __init__(self, connector: Connector, name: str, address: str) -> None:
        self.name = name
        self._http = connector.client(address)

    async def ask(
        self, request: PeerMessage, decode: Callable[[PeerArray], ReplyT], *, timeout_us: int = REQUEST_TIMEOUT
    ) -> ReplyT:
        """Sends a request and returns the decoded reply.

        Raises NoResponseError, its subclass UnexpectedReplyError for a reply that is not a message, and
        `oatport.peer_messages.MalformedReplyError` for a message that `decode` rejects.
        """
        status, value = await self._http.request("POST", wire.PEER_PATH, request.encode(), timeout_us=timeout_us)
        if status != 200 or not isinstance(value, list) or not value:
            raise UnexpectedReplyError(f"status {status}")
        return decode_reply(value, decode)

    async def notify(self, request: PeerMessage) -> None:
        """Sends a message and ignores the content of the reply. Raises NoResponseError."""
        await self.ask(request, ignore_reply)
