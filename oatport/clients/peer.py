"""The other controller nodes: tagged tuples, as CBOR arrays."""

from __future__ import annotations

from typing import Any

from oatport import wire
from oatport.clients.http import Connector, NoResponseError
from oatport.times import MS

DEADLINE = 800 * MS


class UnexpectedReplyError(NoResponseError):
    """It answered, and not what was asked: an earlier version, for one."""


class PeerClient:
    def __init__(self, net: Connector, name: str, address: str) -> None:
        self.name = name
        self._http = net.client(address)

    async def ask(self, *message: Any, timeout_us: int = DEADLINE) -> list[Any]:
        """Send ("tag", ...) and return the answer, another such tuple."""
        status, value = await self._http.request("POST", wire.PEER_PATH, list(message), timeout_us=timeout_us)
        if status != 200 or not isinstance(value, list) or not value:
            raise UnexpectedReplyError(f"status {status}")
        return value
