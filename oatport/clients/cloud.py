"""Client for the cloud that rents out machines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from oatport import wire
from oatport.clients.http import Connector, RequestNotSentError, RequestRefusedError
from oatport.clients.token_bucket import TokenBucket
from oatport.times import SECOND

REQUEST_TIMEOUT = 5 * SECOND
MACHINES_PER_PAGE = 500
RATE_SHARE = 0.85  # of the cloud's rate limit, since an earlier leader may have used a part of it


class CloudClient:
    """Calls the cloud within its rate limit. Every call raises NoResponseError or RequestRefusedError if it fails."""

    def __init__(self, connector: Connector, address: str, rps: float, is_lease_held: Callable[[], bool]) -> None:
        self._http = connector.client(address)
        self._rate_limit = TokenBucket(rps * RATE_SHARE)
        self._is_lease_held = is_lease_held

    async def catalog(self) -> dict[str, wire.MachineType]:
        """Returns the machine types by name, with current prices. Raises wire.InvalidMessageError, too."""
        await self._rate_limit.acquire()
        value = await self._call("GET", wire.CATALOG_PATH)
        return wire.decode_catalog(value)

    async def rent(self, request_id: str, machine_type: str, zone: str, spot: bool, count: int) -> list[str]:
        """Rents up to `count` machines and returns their names; `request_id` is never reused.

        Raises RequestRefusedError if no machine is available.
        """
        await self._acquire_for_change()
        body = wire.rental_request(request_id, machine_type, zone, spot, count)
        value = await self._call("POST", wire.MACHINES_PATH, body)
        return wire.rented_machines(value)

    async def release(self, machine_names: list[str]) -> None:
        """Releases machines; after the call the machines and everything on them are gone."""
        await self._acquire_for_change()
        await self._call("POST", wire.RELEASE_PATH, wire.release_request(machine_names))

    async def list_machines(self) -> list[wire.ListedMachine]:
        """Returns all machines that the cloud lists, read page by page. Raises wire.InvalidMessageError, too."""
        machines: list[wire.ListedMachine] = []
        last_machine = ""
        while True:
            await self._rate_limit.acquire()
            query = f"page={MACHINES_PER_PAGE}" + (f"&from={last_machine}" if last_machine else "")
            page = wire.decode_machine_page(await self._call("GET", wire.MACHINES_PATH, query=query))
            machines += page.machines
            if not page.has_next or not page.machines:
                return machines
            last_machine = page.machines[-1].machine_name

    async def _acquire_for_change(self) -> None:
        """Waits for the rate limit, and raises RequestNotSentError if the leader lease is not held afterwards.

        The cloud doesn't support fencing tokens: without the check a paused leader that resumed after another one had
        been elected could have released machines that were running the new leader's tasks.
        """
        await self._rate_limit.acquire()
        if not self._is_lease_held():
            raise RequestNotSentError("the leader lease is not held any more")

    async def _call(self, method: str, path: str, body: Any = None, *, query: str = "") -> Any:
        status, value = await self._http.request(method, path, body, query=query, timeout_us=REQUEST_TIMEOUT)
        if status != 200:
            raise RequestRefusedError(status, value)
        return value
