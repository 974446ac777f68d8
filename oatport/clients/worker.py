"""Workers, one per machine."""

from __future__ import annotations

import asyncio

from oatport import wire
from oatport.clients.http import Connector, Keep, NoResponseError
from oatport.times import MS

COMMANDS_DEADLINE = 2_000 * MS
SHOW_DEADLINE = 1_000 * MS


async def count_reached(net: Connector, addresses: list[str]) -> int:
    """How many of these workers answer."""

    async def reach(address: str) -> bool:
        try:
            await WorkerClient(net, address, Keep.ONCE).show()
        except NoResponseError:
            return False
        return True

    return sum(await asyncio.gather(*(reach(address) for address in addresses)))


class WorkerClient:
    def __init__(self, net: Connector, address: str, keep: Keep = Keep.WORKER) -> None:
        self._http = net.client(address, keep)

    async def commands(self, token: int, session: int, orders: list[wire.Command]) -> wire.Heartbeat:
        """The worker's report after the commands, or after refusing them (409): either way it has answered."""
        body = wire.command_request(token, session, orders)
        status, value = await self._http.request("POST", wire.COMMANDS_PATH, body, timeout_us=COMMANDS_DEADLINE)
        return self._report(status, value)

    async def show(self) -> wire.Heartbeat:
        status, value = await self._http.request("GET", wire.WORKER_STATUS_PATH, timeout_us=SHOW_DEADLINE)
        return self._report(status, value)

    @staticmethod
    def _report(status: int, value: object) -> wire.Heartbeat:
        if status not in (200, 409):
            raise NoResponseError(f"status {status}")
        try:
            return wire.decode_heartbeat(value)
        except wire.InvalidMessageError as error:
            raise NoResponseError(f"not a report: {error}") from None
