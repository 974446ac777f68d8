"""The cloud that rents machines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from oatport import wire
from oatport.clients.http import Connector, RequestNotSentError, RequestRefusedError
from oatport.clients.token_bucket import TokenBucket
from oatport.times import SECOND

TIMEOUT = 5 * SECOND
PAGE_MACHINES = 500
RATE_SHARE = 0.85  # of the cloud's own limit, since an earlier leader may have used some of it


class CloudClient:
    """Calls of the cloud within its rate limit. Each raises NoResponseError or RequestRefusedError if it fails."""

    def __init__(self, net: Connector, address: str, rps: float, may_act: Callable[[], bool]) -> None:
        self._http = net.client(address)
        self._rate_limit = TokenBucket(rps * RATE_SHARE)
        self._may_act = may_act

    async def catalog(self) -> dict[str, wire.MachineType]:
        """The machine types by name, at their present prices. Raises wire.InvalidMessageError, too."""
        await self._rate_limit.acquire()
        value = await self._call("GET", wire.CATALOG_PATH)
        return wire.decode_catalog(value)

    async def rent(self, request_id: str, machine_type: str, zone: str, spot: bool, count: int) -> list[str]:
        """Names of the machines rented; RequestRefusedError if there are none. `request_id` is never reused."""
        await self._acquire_for_change()
        body = wire.rental_request(request_id, machine_type, zone, spot, count)
        value = await self._call("POST", wire.MACHINES_PATH, body)
        return wire.rented_machines(value)

    async def release(self, machine_names: list[str]) -> None:
        """Return machines: once this returns, they and all on them are gone."""
        await self._acquire_for_change()
        await self._call("POST", wire.RELEASE_PATH, wire.release_request(machine_names))

    async def list_machines(self) -> list[wire.ListedMachine]:
        """All machines that the cloud lists, read page by page. Raises wire.InvalidMessageError, too."""
        machines: list[wire.ListedMachine] = []
        after = ""
        while True:
            await self._rate_limit.acquire()
            query = f"page={PAGE_MACHINES}" + (f"&from={after}" if after else "")
            page = wire.decode_machine_page(await self._call("GET", wire.MACHINES_PATH, query=query))
            machines += page.machines
            if not page.has_next or not page.machines:
                return machines
            after = page.machines[-1].machine_name

    async def _acquire_for_change(self) -> None:
        """Wait for the rate limit; what changes something goes out only if its sender may still act then.

        The cloud has no fencing tokens: a leader that woke after another had taken its place once could have returned
        machines that were at work for that one.
        """
        await self._rate_limit.acquire()
        if not self._may_act():
            raise RequestNotSentError("the leader lease is not held any more")

    async def _call(self, method: str, path: str, body: Any = None, *, query: str = "") -> Any:
        status, value = await self._http.request(method, path, body, query=query, timeout_us=TIMEOUT)
        if status != 200:
            raise RequestRefusedError(status, value)
        return value
