"""The cloud that rents machines."""

from __future__ import annotations

import aiohttp

from oatport import wire
from oatport.clients.http import Bucket, HttpClient, Refused
from oatport.times import SECOND

DEADLINE = 5 * SECOND
PAGE = 500


class CloudClient:
    def __init__(self, session: aiohttp.ClientSession, address: str, rps: float) -> None:
        self._http = HttpClient(session, address)
        # A little under the cloud's own limit, since an earlier leader may have used some of it.
        self._budget = Bucket(rps * 0.85)

    async def catalog(self) -> dict[str, wire.MachineType]:
        await self._budget.spend()
        status, value = await self._http.request("GET", wire.CATALOG, timeout_us=DEADLINE)
        if status != 200:
            raise Refused(status, value)
        return wire.catalog(value)

    async def rent(self, request: str, type_name: str, zone: str, spot: bool, count: int) -> list[str]:
        """Names of the machines rented; Refused where there are none. `request` is never reused."""
        await self._budget.spend()
        body = wire.rental(request, type_name, zone, spot, count)
        status, value = await self._http.request("POST", wire.HOSTS, body, timeout_us=DEADLINE)
        if status != 200:
            raise Refused(status, value)
        return [str(name) for name in value["berths"]]

    async def release(self, names: list[str]) -> None:
        """Once this returns, the machines and all on them are gone."""
        await self._budget.spend()
        status, value = await self._http.request("POST", wire.RELEASE, {"berths": names}, timeout_us=DEADLINE)
        if status != 200:
            raise Refused(status, value)

    async def list_all(self) -> list[wire.Listed]:
        rows: list[wire.Listed] = []
        after = ""
        while True:
            await self._budget.spend()
            query = f"page={PAGE}" + (f"&from={after}" if after else "")
            status, value = await self._http.request("GET", wire.HOSTS, query=query, timeout_us=DEADLINE)
            if status != 200:
                raise Refused(status, value)
            page, more = wire.listed(value)
            rows += page
            if not more or not page:
                return rows
            after = page[-1].machine
