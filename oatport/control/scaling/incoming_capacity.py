"""Holds incoming capacity (booting machines and machines about to be rented) and assigns it to pending tasks.

When each pending job examined every slot, this was most of the cost of a burst of submissions with hundreds of booting
machines and thousands of pending jobs. Capacity only shrinks while rentals are planned, so the search of each job
continues where that of the previous job of its equivalence class stopped.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from oatport import wire
from oatport.control.scaling.capacity_slot import CapacitySlot

# CPUs, GPUs, memory in GB, whether spot machines may be used, names of the preferred types.
EquivalenceKey = tuple[float, float, float, bool, tuple[str, ...]]


@dataclass(slots=True)
class IncomingCapacity:
    """Holds all incoming slots in order; slots are only ever added, and their capacity is only ever reserved."""

    slots_examined: int = 0  # a measure of work for tests, used instead of time
    _slots: list[CapacitySlot] = field(default_factory=list)
    _slots_by_zone: dict[str, list[CapacitySlot]] = field(default_factory=dict)
    # Index at which the search of an equivalence class in a zone continues: no slot before it is feasible any more.
    _search_from: dict[tuple[EquivalenceKey, str], int] = field(default_factory=dict)

    def add(self, slot: CapacitySlot) -> None:
        """Appends a slot."""
        slot.position = len(self._slots)
        self._slots.append(slot)
        self._slots_by_zone.setdefault(slot.zone, []).append(slot)

    def __iter__(self) -> Iterator[CapacitySlot]:
        return iter(self._slots)

    def zones(self) -> list[str]:
        """Returns the zones that have a slot, in the order of their first slots."""
        return list(self._slots_by_zone)

    def first_feasible(
        self, spec: wire.Submission, spot: bool, preferred_types: tuple[str, ...], zones: list[str]
    ) -> CapacitySlot | None:
        """Returns the first slot in these zones that a task of `spec` fits into; None if there is none.

        `spot`: whether spot machines are allowed; `preferred_types`: names of the allowed types.
        """
        equivalence = (spec.cpus, spec.gpus, spec.memory_gb, spot, preferred_types)
        first: CapacitySlot | None = None
        for zone in zones:
            slots = self._slots_by_zone.get(zone, ())
            index = self._search_from.get((equivalence, zone), 0)
            while index < len(slots):
                slot = slots[index]
                self.slots_examined += 1
                if (spot or not slot.spot) and slot.type.name in preferred_types and slot.free_slots(spec) > 0:
                    if first is None or slot.position < first.position:
                        first = slot
                    break
                index += 1  # the slot has no capacity for this class, and never will
            self._search_from[(equivalence, zone)] = index
        return first
