"""Stores the machine catalog in the state service: as one value, or as several if it exceeds the value size limit."""

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
READ_RETRY_INTERVAL = 500 * MS  # while no types are known
ROW_OVERHEAD_BYTES = 32

UNLIMITED_VALUE_BYTES = 1 << 30  # the limit while some node may be unable to read a catalog of several values

MachineTypes = dict[str, wire.MachineType]


@dataclass(frozen=True, slots=True)
class RecordedCatalog:
    """Holds the recorded machine types and the revision of the first value (0 if nothing is recorded)."""

    types: MachineTypes
    revision: int


async def read_catalog(state: StateClient) -> RecordedCatalog | None:
    """Returns the recorded machine types, or None if nothing is recorded.

    Raises NoResponseError or RequestRefusedError.
    """
    found = await state.get(CATALOG_KEY)
    if found is None:
        return None
    types = wire.decode_catalog(found[0])
    for number in range(1, int(found[0].get("parts", 1))):
        part = await state.get(f"{CATALOG_KEY}/{number}")
        if part is None:
            raise NoResponseError(f"{CATALOG_KEY}/{number} is missing")  # parts are written before the first value
        types |= wire.decode_catalog(part[0])
    return RecordedCatalog(types, found[1])


def catalog_values(types: Iterable[wire.MachineType], limit: int) -> list[dict[str, Any]]:
    """Splits the types into values of at most `limit` JSON bytes; if there are several, the first holds their count."""
    values: list[dict[str, Any]] = [{"berthKinds": []}]
    for machine_type in types:
        row = msgspec.to_builtins(machine_type)
        if values[-1]["berthKinds"] and json_size(values[-1]) + json_size(row) + ROW_OVERHEAD_BYTES > limit:
            values.append({"berthKinds": []})
        values[-1]["berthKinds"].append(row)
    if len(values) > 1:
        values[0]["parts"] = len(values)
    return values


async def write_catalog(state: StateClient, token: int, catalog: RecordedCatalog, limit: int) -> None:
    """Records the catalog for a leader in values of at most `limit` bytes, replacing the record of `catalog.revision`.

    Raises NoResponseError or RequestRefusedError.
    """
    values = catalog_values(catalog.types.values(), limit)
    for number in range(1, len(values)):  # the first value is written last, because it refers to the others
        result = await state.commit({LEADER_KEY: token}, {f"{CATALOG_KEY}/{number}": values[number]})
        if not isinstance(result, Applied):
            return
    await state.commit({LEADER_KEY: token, CATALOG_KEY: catalog.revision}, {CATALOG_KEY: values[0]})


class CatalogNode(Protocol):
    """Defines what `CatalogReader` uses of its node; the reader keeps `types` up to date."""

    types: MachineTypes
    state: StateClient


class CatalogReader:
    """Reads the recorded machine types periodically."""

    def __init__(self, node: CatalogNode) -> None:
        self._node = node

    async def loop(self) -> None:
        """Reads every 0.5 s until types are found, then every 20 s."""
        while True:
            with contextlib.suppress(NoResponseError, RequestRefusedError):
                found = await read_catalog(self._node.state)
                if found is not None:
                    self._node.types = found.types
            await asyncio.sleep(jitter(REREAD_INTERVAL if self._node.types else READ_RETRY_INTERVAL))
