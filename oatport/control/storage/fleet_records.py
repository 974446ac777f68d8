"""Records of machines, zones and the schema version in the state service: the one place that knows their fields."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec
from msgspec import UNSET, UnsetType, field

from oatport import wire
from oatport.control.state.identifiers import number_in_name
from oatport.control.state.machine import Machine
from oatport.control.storage.keys import FLEET_PREFIX, MACHINES_PER_GROUP, first_machine


class MachineRow(msgspec.Struct, array_like=True):
    """A rented machine, as one row."""

    name: str
    type_name: str
    zone: str
    spot: bool
    address: str
    rented_at_wall: int
    was_ready: bool


class FleetRecord(msgspec.Struct):
    """The value of `fleet/000002` or `fleet/000002.18`: machines by number."""

    machines: list[MachineRow] = field(name="m")
    span: int | UnsetType = field(name="n", default=UNSET)  # how many numbers it tells of, if not of a whole group


def encode_fleet(machines: Iterable[Machine], span: int) -> dict[str, Any]:
    """The record of these machines, the only ones of `span` numbers."""
    rows = [
        MachineRow(
            machine.name,
            machine.type.name,
            machine.zone,
            machine.spot,
            machine.address,
            machine.rented_at_wall,
            bool(machine.ready_at or machine.was_ready),
        )
        for machine in machines
    ]
    value: dict[str, Any] = msgspec.to_builtins(FleetRecord(rows, span if span < MACHINES_PER_GROUP else UNSET))
    return value


def decode_fleet(value: Any) -> FleetRecord:
    """From a value under fleet/. Raises msgspec.ValidationError if it is none."""
    return msgspec.convert(value, FleetRecord, strict=False)


def fleet_size(value: Any) -> int:
    """How many machines a record under fleet/ holds."""
    return len(value["m"])


def fleet_span(value: Any) -> int:
    """How many machine numbers a record under fleet/ tells of."""
    return int(value.get("n", MACHINES_PER_GROUP))


def recorded_machines(entries: list[wire.StoredEntry]) -> list[MachineRow]:
    """The machines of all fleet records. Where two tell of the same numbers, the one written last is right."""
    known: dict[int, MachineRow] = {}
    for found in sorted((e for e in entries if e.key.startswith(FLEET_PREFIX)), key=lambda e: e.revision):
        low, _ = first_machine(found.key)
        record = decode_fleet(found.value)
        span = range(low, low + fleet_span(found.value))
        for number in [n for n in known if n in span]:
            del known[number]
        known |= {number_in_name(row.name): row for row in record.machines}
    return [known[number] for number in sorted(known)]


def recorded_machine_types(entries: list[wire.StoredEntry]) -> set[str]:
    """The types of all recorded machines."""
    return {row.type_name for row in recorded_machines(entries)}


class PartitionedZonesRecord(msgspec.Struct):
    """The value of `dark`: zones that are partitioned."""

    zones: dict[str, int]  # since when, by the time of day
    # Of these, zones with a node that renews the agents' leases.
    lease_proxied: list[str] | UnsetType = field(name="kept", default=UNSET)


def encode_partitioned_zones(zones: dict[str, int], lease_proxied: set[str]) -> dict[str, Any]:
    """The record of these zones. `zones`: since when, by the time of day."""
    record = PartitionedZonesRecord(zones, sorted(lease_proxied) if lease_proxied else UNSET)
    value: dict[str, Any] = msgspec.to_builtins(record)
    return value


def decode_partitioned_zones(value: Any) -> PartitionedZonesRecord:
    """From the value of `dark`. Raises msgspec.ValidationError if it is none."""
    return msgspec.convert(value, PartitionedZonesRecord, strict=False)
