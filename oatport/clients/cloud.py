"""The cloud that rents machines."""

from __future__ import annotations

from collections.abc import Callable

from oatport import wire
from oatport.clients.http import Bucket, Connector, RequestNotSentError, RequestRefusedError
from oatport.times import SECOND

DEADLINE = 5 * SECOND
PAGE = 500


class CloudClient:
    def __init__(self, net: Connector, address: str, rps: float, may_act: Callable[[], bool]) -> None:
        self._http = net.client(address)
        # A little under the cloud's own limit, since an earlier leader may have used some of it.
        self._budget = Bucket(rps * 0.85)
        self._may_act = may_act

    async def catalog(self) -> dict[str, wire.MachineType]:
        await self._budget.spend()
        status, value = await self._http.request("GET", wire.CATALOG_PATH, timeout_us=DEADLINE)
        if status != 200:
            raise RequestRefusedError(status, value)
        return wire.decode_catalog(value)

    async def _turn(self) -> None:
        """Wait for the budget; what changes something goes out only if its sender may still act then.

        The cloud knows no tokens: a leader that woke after another had taken its place once could have returned
        machines that were at work for that one.
        """
        await self._budget.spend()
        if not self._may_act():
            raise RequestNotSentError("not entitled any more")

    async def rent(self, request: str, type_name: str, zone: str, spot: bool, count: int) -> list[str]:
        """Names of the machines rented; Refused where there are none. `request` is never reused."""
        await self._turn()
        body = wire.rental_request(request, type_name, zone, spot, count)
        status, value = await self._http.request("POST", wire.MACHINES_PATH, body, timeout_us=DEADLINE)
        if status != 200:
            raise RequestRefusedError(status, value)
        return wire.rented_machines(value)

    async def release(self, names: list[str]) -> None:
        """Once this returns, the machines and all on them are gone."""
        await self._turn()
        status, value = await self._http.request(
            "POST", wire.RELEASE_PATH, wire.release_request(names), timeout_us=DEADLINE
        )
        if status != 200:
            raise RequestRefusedError(status, value)

    async def list_all(self) -> list[wire.ListedMachine]:
        rows: list[wire.ListedMachine] = []
        after = ""
        while True:
            await self._budget.spend()
            query = f"page={PAGE}" + (f"&from={after}" if after else "")
            status, value = await self._http.request("GET", wire.MACHINES_PATH, query=query, timeout_us=DEADLINE)
            if status != 200:
                raise RequestRefusedError(status, value)
            page = wire.decode_machine_page(value)
            rows += page.machines
            if not page.has_next or not page.machines:
                return rows
            after = page.machines[-1].machine_name
