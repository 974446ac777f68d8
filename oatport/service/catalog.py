"""The machine types as recorded: one value, or several where one can't hold them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from oatport import wire
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.clients.state import Applied, StateClient
from oatport.control.storage.keys import CATALOG_KEY, LEADER_KEY
from oatport.sizes import json_size
from oatport.times import MS, SECOND

REREAD_INTERVAL = 20 * SECOND
READ_RETRY = 500 * MS  # while no types are known
ROW_OVERHEAD_BYTES = 32

ONE_VALUE = 1 << 30  # bytes: the limit while some node may not read several values

Types = dict[str, wire.MachineType]


@dataclass(frozen=True, slots=True)
class RecordedCatalog:
    """The types, and the version of the first value; 0 if there is none."""

    types: Types
    version: int


async def read_catalog(state: StateClient) -> RecordedCatalog | None:
    """The recorded types; None if there are none.

    Raises NoResponseError or RequestRefusedError.
    """
    found = await state.get(CATALOG_KEY)
    if found is None:
        return None
    types = wire.decode_catalog(found[0])
    for number in range(1, int(found[0].get("parts", 1))):
        part = await state.get(f"{CATALOG_KEY}/{number}")
        if part is None:
            raise NoResponseError("a part of the catalog is missing")  # it was written before the first value
        types |= wire.decode_catalog(part[0])
    return RecordedCatalog(types, found[1])


def catalog_values(types: Iterable[wire.MachineType], limit: int) -> list[dict[str, Any]]:
    """Values of at most `limit` bytes as JSON; the first tells how many there are, if it is not the only one."""
    values: list[dict[str, Any]] = [{"berthKinds": []}]
    for kind in types:
        row = msgspec.to_builtins(kind)
        if values[-1]["berthKinds"] and json_size(values[-1]) + json_size(row) + ROW_OVERHEAD_BYTES > limit:
            values.append({"berthKinds": []})
        values[-1]["berthKinds"].append(row)
    if len(values) > 1:
        values[0]["parts"] = len(values)
    return values


async def write_catalog(state: StateClient, token: int, catalog: RecordedCatalog, limit: int) -> None:
    """Record them for a leader, in values of at most `limit` bytes; `catalog.version` is that of the record before.

    Raises NoResponseError or RequestRefusedError.
    """
    values = catalog_values(catalog.types.values(), limit)
    for number in range(1, len(values)):  # the first value, which tells of the others, comes last
        result = await state.commit({LEADER_KEY: token}, {f"{CATALOG_KEY}/{number}": values[number]})
        if not isinstance(result, Applied):
            return
    await state.commit({LEADER_KEY: token, CATALOG_KEY: catalog.version}, {CATALOG_KEY: values[0]})


class CatalogNode(Protocol):
    """The node whose machine types are kept up to date."""

    types: Types
    state: StateClient


class CatalogReader:
    """Reads the recorded machine types again and again."""

    def __init__(self, node: CatalogNode) -> None:
        self._node = node

    async def loop(self) -> None:
        """Read until there are types, then every 20 s."""
        while True:
            with contextlib.suppress(NoResponseError, RequestRefusedError):
                found = await read_catalog(self._node.state)
                if found is not None:
                    self._node.types = found.types
            await asyncio.sleep(jitter(REREAD_INTERVAL if self._node.types else READ_RETRY))
