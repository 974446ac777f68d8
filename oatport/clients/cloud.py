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
        status, value = await self._http.request("GET", wire.CATALOG, timeout_us=DEADLINE)
        if status != 200:
            raise RequestRefusedError(status, value)
        return wire.catalog(value)

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
        body = wire.rental(request, type_name, zone, spot, count)
        status, value = await self._http.request("POST", wire.HOSTS, body, timeout_us=DEADLINE)
        if status != 200:
            raise RequestRefusedError(status, value)
        return [str(name) for name in value["berths"]]

    async def release(self, names: list[str]) -> None:
        """Once this returns, the machines and all on them are gone."""
        await self._turn()
        status, value = await self._http.request("POST", wire.RELEASE, {"berths": names}, timeout_us=DEADLINE)
        if status != 200:
            raise RequestRefusedError(status, value)

    async def list_all(self) -> list[wire.Listed]:
        rows: list[wire.Listed] = []
        after = ""
        while True:
            await self._budget.spend()
            query = f"page={PAGE}" + (f"&from={after}" if after else "")
            status, value = await self._http.request("GET", wire.HOSTS, query=query, timeout_us=DEADLINE)
            if status != 200:
                raise RequestRefusedError(status, value)
            page, more = wire.listed(value)
            rows += page
            if not more or not page:
                return rows
            after = page[-1].machine
