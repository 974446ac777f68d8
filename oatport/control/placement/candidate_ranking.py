"""Ranks the machines that are feasible for a class of equivalent jobs, and updates the ranking as tasks are bound.

Without a ranking, a planning pass with many pending tasks and many free machines (at startup, or after a zone has
recovered) examined every machine for every task of every job, so that its cost grew quadratically. Equivalent jobs
share a ranking, and a binding moves only one machine in each ranking that is used again.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Iterable

from oatport.control.placement.scoring import Score
from oatport.control.state.machine import Machine

# A machine with its score and its position in the pass: among equal scores the first machine wins. It is a plain tuple
# because each ranking holds one per machine.
Candidate = tuple[Score, int, Machine]


class CandidateRanking:
    """Holds the feasible machines of a pass in one heap per zone.

    `is_feasible` and `score` are evaluated again when a machine reaches the top of its heap; `update_for_bindings`
    inserts machines whose rank may have improved.
    """

    def __init__(
        self,
        machines: Iterable[Machine],
        is_feasible: Callable[[Machine], bool],
        score: Callable[[Machine], Score],
        bindings_processed: int = 0,
    ) -> None:
        self._is_feasible = is_feasible
        self._score = score
        self._bindings_processed = bindings_processed  # number of bindings of this pass that the ranking accounts for
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
        """Returns the zones in which a machine is, or was, feasible."""
        return self._heaps.keys()

    def update_for_bindings(self, bound_machines: list[Machine]) -> None:
        """Reinserts the machines on which tasks were bound in this pass, given in order: they may rank higher now.

        Each call processes only the bindings since the last one, so a ranking that is no longer used costs nothing.
        """
        for machine in dict.fromkeys(bound_machines[self._bindings_processed :]):
            position = self._positions.get(machine)
            if position is not None and self._is_feasible(machine):
                heap = self._heaps.setdefault(machine.zone, [])
                heapq.heappush(heap, (self._score(machine), position, machine))
        self._bindings_processed = len(bound_machines)

    def exclude(self, machines: Iterable[Machine]) -> None:
        """Removes machines from the ranking for the rest of the pass."""
        for machine in machines:
            self._positions.pop(machine, None)

    def best(self, zone: str, excluded: Collection[str] = ()) -> Candidate | None:
        """Returns the best machine of a zone whose name is not in `excluded`; None if there is none."""
        heap = self._heaps.get(zone)
        if not heap:
            return None
        skipped: list[Candidate] = []
        found = None
        while heap:
            score, _, machine = heap[0]
            if machine not in self._positions or not self._is_feasible(machine) or score != self._score(machine):
                heapq.heappop(heap)  # full, or its score has changed and the heap holds a newer entry of it
            elif machine.name in excluded:
                skipped.append(heapq.heappop(heap))
            else:
                found = heap[0]
                break
        for candidate in skipped:
            heapq.heappush(heap, candidate)
        return found
