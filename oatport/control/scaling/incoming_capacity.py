"""Capacity that is on its way: booting machines and those about to be rented, and which pending tasks are to have it.

Each pending job once looked at every slot: with hundreds of machines booting and thousands of jobs pending, that was
most of what a burst of submissions cost. Capacity only shrinks while rentals are planned, so jobs of one equivalence
class go on where the one before them stopped.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from oatport import wire
from oatport.control.scaling.capacity_slot import CapacitySlot

# CPUs, GPUs, memory in GB, may it use spot machines, names of the preferred types.
EquivalenceKey = tuple[float, float, float, bool, tuple[str, ...]]


@dataclass(slots=True)
class IncomingCapacity:
    """All slots that are on their way, in order; slots are only ever added, and capacity only reserved."""

    slots_examined: int = 0  # what tests count instead of time
    _slots: list[CapacitySlot] = field(default_factory=list)
    _slots_by_zone: dict[str, list[CapacitySlot]] = field(default_factory=dict)
    # Where the search of an equivalence class in a zone goes on: no slot before it is feasible any more.
    _search_from: dict[tuple[EquivalenceKey, str], int] = field(default_factory=dict)

    def add(self, slot: CapacitySlot) -> None:
        """Append a slot."""
        slot.position = len(self._slots)
        self._slots.append(slot)
        self._slots_by_zone.setdefault(slot.zone, []).append(slot)

    def __iter__(self) -> Iterator[CapacitySlot]:
        return iter(self._slots)

    def zones(self) -> list[str]:
        """The zones that have a slot, in order of their first one."""
        return list(self._slots_by_zone)

    def first_feasible(
        self, spec: wire.Submission, spot: bool, preferred_types: tuple[str, ...], zones: list[str]
    ) -> CapacitySlot | None:
        """The first slot in these zones that a task of such a job fits into; None if there is none.

        `spot`: may it be a spot machine? `preferred_types`: names of the types that it may be.
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
                index += 1  # it has no capacity for this class, and will never have any
            self._search_from[(equivalence, zone)] = index
        return first
