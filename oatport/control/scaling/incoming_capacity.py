"""Room that is on its way: booting machines and those about to be rented, and who is to have it.

Each waiting job once looked at every one of them: with hundreds booting and thousands waiting, that was most of what a
rush cost. Room only shrinks while rentals are reckoned, so jobs of one shape go on where the one before them stopped.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from oatport import wire
from oatport.control.state.capacity import task_slots

Shape = tuple[float, float, float, bool, tuple[str, ...]]  # CPUs, GPUs, memory, may it use spot, types that suit


@dataclass(slots=True)
class CapacitySlot:
    type: wire.MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float
    place: int = 0  # among all, in the order in which they are taken up

    @classmethod
    def of(cls, kind: wire.MachineType, zone: str, spot: bool) -> CapacitySlot:
        return cls(kind, zone, spot, kind.cpus, kind.gpus, kind.memory_gb)

    def holds(self, spec: wire.Submission) -> int:
        """How many tasks of a job it has room for."""
        return task_slots(spec, self.cpus, self.gpus, self.memory)

    def take(self, spec: wire.Submission, most: int) -> int:
        """Give room to up to `most` tasks; how many got it."""
        count = max(0, min(self.holds(spec), most))
        self.cpus -= count * spec.cpus
        self.gpus -= count * spec.gpus
        self.memory -= count * spec.memory_gb
        return count


@dataclass(slots=True)
class IncomingCapacity:
    """All room that is coming, in order; only ever added to and taken from."""

    looked_at: int = 0  # what tests count instead of time
    _all: list[CapacitySlot] = field(default_factory=list)
    _zones: dict[str, list[CapacitySlot]] = field(default_factory=dict)
    _from: dict[tuple[Shape, str], int] = field(default_factory=dict)

    def add(self, room: CapacitySlot) -> None:
        room.place = len(self._all)
        self._all.append(room)
        self._zones.setdefault(room.zone, []).append(room)

    def __iter__(self) -> Iterator[CapacitySlot]:
        return iter(self._all)

    def zones(self) -> list[str]:
        return list(self._zones)

    def first(
        self, spec: wire.Submission, spot: bool, suited: tuple[str, ...], zones: list[str]
    ) -> CapacitySlot | None:
        """The first in these zones that has room for a task of such a job; None if there is none.

        `spot`: may it be a spot machine? `suited`: names of the types that it may be.
        """
        shape = (spec.cpus, spec.gpus, spec.memory_gb, spot, suited)
        best: CapacitySlot | None = None
        for zone in zones:
            there = self._zones.get(zone, ())
            at = self._from.get((shape, zone), 0)
            while at < len(there):
                room = there[at]
                self.looked_at += 1
                if (spot or not room.spot) and room.type.name in suited and room.holds(spec) > 0:
                    if best is None or room.place < best.place:
                        best = room
                    break
                at += 1  # it has none for this shape, and will never have any
            self._from[(shape, zone)] = at
        return best
