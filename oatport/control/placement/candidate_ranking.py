"""Machines that may take a task of one sort of job, best first, kept true while tasks are claimed.

A planning pass in which much waits and much is free (a start, a zone that is back) looked at every machine for every
task of every job: work that grew with the square of the size. Jobs that look for the same things share a ranking, and
a claim moves one machine in those that are used again.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Iterable

from oatport.control.state.machine import Machine

Score = tuple[float, ...]


class Ranking:
    """`may`: has it room, and is it of the right kind? `merit`: the smaller the better.

    Both are asked again when a machine comes up, and `catch_up` reads which may have become better. Ties go to the
    machine that comes first in the pass.
    """

    def __init__(
        self,
        machines: Iterable[Machine],
        may: Callable[[Machine], bool],
        merit: Callable[[Machine], Score],
        read: int = 0,
    ) -> None:
        self._may = may
        self._merit = merit
        self._read = read  # claims of this pass that it knows of
        self._place: dict[Machine, int] = {}
        self._heaps: dict[str, list[tuple[Score, int, Machine]]] = {}
        for place, machine in enumerate(machines):
            self._place[machine] = place
            if may(machine):
                self._heaps.setdefault(machine.zone, []).append((merit(machine), place, machine))
        for heap in self._heaps.values():
            heapq.heapify(heap)

    @property
    def zones(self) -> Collection[str]:
        return self._heaps.keys()

    def catch_up(self, claimed: list[Machine]) -> None:
        """Machines on which tasks were claimed in this pass, in order: they may rank higher now.

        Read from where it was left; a ranking that is not asked any more costs nothing.
        """
        for machine in dict.fromkeys(claimed[self._read :]):
            place = self._place.get(machine)
            if place is not None and self._may(machine):
                heapq.heappush(self._heaps.setdefault(machine.zone, []), (self._merit(machine), place, machine))
        self._read = len(claimed)

    def drop(self, machines: Iterable[Machine]) -> None:
        """Nobody takes these any more in this pass."""
        for machine in machines:
            self._place.pop(machine, None)

    def best(self, zone: str, but: Collection[str] = ()) -> tuple[Score, int, Machine] | None:
        """The best machine of a zone, except those of these names."""
        heap = self._heaps.get(zone)
        if not heap:
            return None
        aside: list[tuple[Score, int, Machine]] = []
        found = None
        while heap:
            row = heap[0]
            machine = row[2]
            if machine not in self._place or not self._may(machine) or row[0] != self._merit(machine):
                heapq.heappop(heap)  # full, or moved: its newer row stands elsewhere
            elif machine.name in but:
                aside.append(heapq.heappop(heap))
            else:
                found = row
                break
        for row in aside:
            heapq.heappush(heap, row)
        return found
