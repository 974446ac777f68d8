"""The cloud's interface: machine types, rentals, and the list of machines."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from oatport.wire.codec import InvalidMessageError


class MachineType(msgspec.Struct, frozen=True):
    """Holds one machine type of GET /catalog; prices are per hour."""

    name: str = msgspec.field(name="label")
    cpus: float = msgspec.field(name="cores")
    gpus: float = msgspec.field(name="accelerators")
    memory_gb: float = msgspec.field(name="memoryGb")
    price: float
    spot_price: float = msgspec.field(name="marketPrice")
    boot_time_s: float = msgspec.field(name="startupS")
    zones: list[str] = msgspec.field(name="harbors")
    image_cache_gb: float = msgspec.field(name="cacheGb", default=0.0)
    image_fetch_gb_per_s: float = msgspec.field(name="fetchGbPerS", default=1.0)


def decode_catalog(value: Any) -> dict[str, MachineType]:
    """Returns the machine types by name from a decoded response of GET /catalog. Raises InvalidMessageError."""
    try:
        types = msgspec.convert(value["berthKinds"], list[MachineType], strict=False)
    except (msgspec.ValidationError, KeyError, TypeError) as error:
        raise InvalidMessageError(f"catalog: {error}") from error
    return {machine_type.name: machine_type for machine_type in types}


class MachineStatus(StrEnum):
    """Lists the machine states that oatport evaluates; the cloud may report others."""

    BOOTING = "booting"
    FAILED = "failed"


class ListedMachine(msgspec.Struct, frozen=True):
    """Holds one machine in a response of GET /hosts."""

    machine_name: str = msgspec.field(name="ref")
    address: str
    machine_type: str = msgspec.field(name="berthKind")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    status: str
    age_s: float = msgspec.field(name="ageS", default=0.0)


class MachinePage(msgspec.Struct, frozen=True):
    """Holds one page of GET /hosts."""

    machines: list[ListedMachine]
    has_next: bool


def decode_machine_page(value: Any) -> MachinePage:
    """Returns a page of the machine list from a decoded response of GET /hosts. Raises InvalidMessageError."""
    try:
        machines = msgspec.convert(value["berths"], list[ListedMachine], strict=False)
        return MachinePage(machines, bool(value.get("hasNext")))
    except (msgspec.ValidationError, KeyError, TypeError, AttributeError) as error:
        raise InvalidMessageError(f"machine list: {error}") from error


def rental_request(request_id: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    """Returns the body of POST /hosts; `request_id` is never reused."""
    return {"charter": request_id, "berthKind": machine_type, "harbor": zone, "driftwood": spot, "howMany": count}


def rented_machines(value: Any) -> list[str]:
    """Returns the names of the rented machines from a decoded response of POST /hosts."""
    return [str(name) for name in value["berths"]]


def release_request(machine_names: list[str]) -> dict[str, Any]:
    """Returns the body of POST /hosts/release."""
    return {"berths": machine_names}
