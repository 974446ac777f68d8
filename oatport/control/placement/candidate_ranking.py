"""Machines that may take a task of one sort of job, best first, kept true while tasks are bound.

A planning pass in which much is pending and much is free (a start, a zone that is back) looked at every machine for
every task of every job: work that grew with the square of the size. Jobs that look for the same things share a
ranking, and a binding moves one machine in those that are used again.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Iterable

from oatport.control.placement.scoring import Score
from oatport.control.state.machine import Machine

# A machine with its score and its position in the pass: ties go to the machine that comes first. A plain tuple, since
# there is one for each machine in each ranking.
Candidate = tuple[Score, int, Machine]


class CandidateRanking:
    """The feasible machines of a pass by zone, each zone's in a heap.

    `is_feasible` and `score` are asked again when a machine comes up, and `catch_up` looks at those that may have
    become better.
    """

    def __init__(
        self,
        machines: Iterable[Machine],
        is_feasible: Callable[[Machine], bool],
        score: Callable[[Machine], Score],
        bindings_seen: int = 0,
    ) -> None:
        self._is_feasible = is_feasible
        self._score = score
        self._bindings_seen = bindings_seen  # of this pass
        self._positions: dict[Machine, int] = {}
        self._heaps: dict[str, list[Candidate]] = {}
        for position, machine in enumerate(machines):
            self._positions[machine] = position
            if is_feasible(machine):
                self._heaps.setdefault(machine.zone, []).append((score(machine), position, machine))
        for heap in self._heaps.values():
            heapq.heapify(heap)

    @property
    def zones(self) -> Collection[str]:
        """Zones in which a machine is, or was, feasible."""
        return self._heaps.keys()

    def catch_up(self, bound: list[Machine]) -> None:
        """Look at the machines on which tasks were bound in this pass, given in order: they may rank higher now.

        Goes on from where it was left; a ranking that is not asked any more costs nothing.
        """
        for machine in dict.fromkeys(bound[self._bindings_seen :]):
            position = self._positions.get(machine)
            if position is not None and self._is_feasible(machine):
                heap = self._heaps.setdefault(machine.zone, [])
                heapq.heappush(heap, (self._score(machine), position, machine))
        self._bindings_seen = len(bound)

    def exclude(self, machines: Iterable[Machine]) -> None:
        """Nobody takes these any more in this pass."""
        for machine in machines:
            self._positions.pop(machine, None)

    def best(self, zone: str, excluded: Collection[str] = ()) -> Candidate | None:
        """The best machine of a zone, except those of these names."""
        heap = self._heaps.get(zone)
        if not heap:
            return None
        set_aside: list[Candidate] = []
        found = None
        while heap:
            score, _, machine = heap[0]
            if machine not in self._positions or not self._is_feasible(machine) or score != self._score(machine):
                heapq.heappop(heap)  # full, or its score has changed: its newer entry is elsewhere in the heap
            elif machine.name in excluded:
                set_aside.append(heapq.heappop(heap))
            else:
                found = heap[0]
                break
        for candidate in set_aside:
            heapq.heappush(heap, candidate)
        return found
