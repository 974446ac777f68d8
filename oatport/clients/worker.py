"""Client for the workers; one worker runs on each machine."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from oatport import wire
from oatport.clients.http import ConnectionReuse, Connector, NoResponseError
from oatport.times import MS

COMMANDS_TIMEOUT = 2_000 * MS
STATUS_TIMEOUT = 1_000 * MS


async def count_reachable(connector: Connector, addresses: list[str]) -> int:
    """Returns how many of the workers at these addresses respond."""

    async def is_reachable(address: str) -> bool:
        try:
            await WorkerClient(connector, address, ConnectionReuse.NEVER).fetch_status()
        except NoResponseError:
            return False
        return True

    return sum(await asyncio.gather(*(is_reachable(address) for address in addresses)))


@dataclass(frozen=True, slots=True)
class CommandReply:
    """Holds a worker's reply to commands: its heartbeat, and whether it executed the commands or refused them (409)."""

    heartbeat: wire.Heartbeat
    executed: bool


class WorkerClient:
    """Calls one worker. Every call raises NoResponseError if it fails, or if the response is not a heartbeat."""

    def __init__(
        self, connector: Connector, address: str, reuse: ConnectionReuse = ConnectionReuse.WHILE_SPARE
    ) -> None:
        self._http = connector.client(address, reuse)

    async def send_commands(self, fencing_token: int, worker_epoch: int, commands: list[wire.Command]) -> CommandReply:
        """Sends commands and returns the worker's reply, also if the worker refused the commands."""
        body = wire.command_request(fencing_token, worker_epoch, commands)
        status, value = await self._http.request("POST", wire.COMMANDS_PATH, body, timeout_us=COMMANDS_TIMEOUT)
        return CommandReply(self._decode_response(status, value), executed=status == 200)

    async def fetch_status(self) -> wire.Heartbeat:
        """Returns the worker's current heartbeat."""
        status, value = await self._http.request("GET", wire.WORKER_STATUS_PATH, timeout_us=STATUS_TIMEOUT)
        return self._decode_response(status, value)

    @staticmethod
    def _decode_response(status: int, value: object) -> wire.Heartbeat:
        if status not in (200, 409):
            raise NoResponseError(f"status {status}")
        try:
            return wire.decode_heartbeat(value)
        except wire.InvalidMessageError as error:
            raise NoResponseError(f"not a heartbeat: {error}") from error
