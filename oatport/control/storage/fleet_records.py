"""Records of machines and partitioned zones in the state service: the only module that names their stored fields."""

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
    """Holds one rented machine; stored as an array, so the order of the fields is fixed."""

    name: str
    type_name: str
    zone: str
    spot: bool
    address: str
    rented_at_wall: int
    was_ready: bool


class FleetRecord(msgspec.Struct):
    """Holds the value of `fleet/000002` or `fleet/000002.18`: the machines in a range of machine numbers."""

    machines: list[MachineRow] = field(name="m")
    span: int | UnsetType = field(name="n", default=UNSET)  # machine numbers covered; UNSET: a whole group


def encode_fleet(machines: Iterable[Machine], span: int) -> dict[str, Any]:
    """Returns the value of a fleet record that covers `span` machine numbers, of which only `machines` exist."""
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
    """Decodes a value under `fleet/`. Raises msgspec.ValidationError if the value is no fleet record."""
    return msgspec.convert(value, FleetRecord, strict=False)


def fleet_size(value: Any) -> int:
    """Returns the number of machines in a value under `fleet/`."""
    return len(value["m"])


def fleet_span(value: Any) -> int:
    """Returns the number of machine numbers that a value under `fleet/` covers."""
    return int(value.get("n", MACHINES_PER_GROUP))


def recorded_machines(entries: list[wire.StoredEntry]) -> list[MachineRow]:
    """Returns the machines of all fleet records, by number.

    Where two records cover the same machine numbers, the one with the higher revision is valid.
    """
    rows_by_number: dict[int, MachineRow] = {}
    for entry in sorted((e for e in entries if e.key.startswith(FLEET_PREFIX)), key=lambda e: e.revision):
        low, _ = first_machine(entry.key)
        record = decode_fleet(entry.value)
        span = range(low, low + fleet_span(entry.value))
        for number in [n for n in rows_by_number if n in span]:
            del rows_by_number[number]
        rows_by_number |= {number_in_name(row.name): row for row in record.machines}
    return [rows_by_number[number] for number in sorted(rows_by_number)]


def recorded_machine_types(entries: list[wire.StoredEntry]) -> set[str]:
    """Returns the type names of all machines in the fleet records."""
    return {row.type_name for row in recorded_machines(entries)}


class PartitionedZonesRecord(msgspec.Struct):
    """Holds the value of `dark`: the partitioned zones."""

    zones: dict[str, int]  # zone -> start of the partition (time of day)
    # Partitioned zones in which a node acts as the lease proxy and renews the workers' leases.
    lease_proxied: list[str] | UnsetType = field(name="kept", default=UNSET)


def encode_partitioned_zones(zones: dict[str, int], lease_proxied: set[str]) -> dict[str, Any]:
    """Returns the value of `dark`. `zones`: zone -> start of the partition (time of day)."""
    record = PartitionedZonesRecord(zones, sorted(lease_proxied) if lease_proxied else UNSET)
    value: dict[str, Any] = msgspec.to_builtins(record)
    return value


def decode_partitioned_zones(value: Any) -> PartitionedZonesRecord:
    """Decodes the value of `dark`. Raises msgspec.ValidationError if the value is no such record."""
    return msgspec.convert(value, PartitionedZonesRecord, strict=False)
