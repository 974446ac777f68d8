"""Which jobs depend on which: who is blocked, released, cancelled with others, and how soon each is wanted.

Pure, and about ids only: what is known of a job's state is passed in, never guessed. A dependency is met when its
completion is *recorded*: a job whose tasks have all ended may still lose to a cancellation. All that is kept here
follows from records (`waits/REF`, `live/REF`, and the states under `jobs/`), so any leader finds the same.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

LOWEST_RANK = 1 << 30  # below all priority ranks


class DependencyState(StrEnum):
    """What is known of a job that others depend on."""

    OPEN = "open"  # neither completed nor cancelled
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"  # its record has to be read


def earlier(one: tuple[int, ...], other: tuple[int, ...]) -> tuple[int, ...]:
    """Of two lists of deadlines the one that begins first; an empty one is no deadline at all."""
    return min(one, other) if one and other else one or other


@dataclass(frozen=True, slots=True)
class Urgency:
    """How soon a job is wanted: 0 is the highest priority; deadlines are times of day, in order."""

    priority_rank: int
    deadlines: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class CompletionOutcome:
    """What a job's completion means for those that depend on it."""

    dependents: list[str]
    released: list[str]  # those of them that depend on nothing else any more


@dataclass(slots=True)
class DependencyGraph:
    """Blocked jobs and the jobs that they depend on; a released job is not in it."""

    unmet_dependencies: dict[str, dict[str, None]] = field(default_factory=dict)  # by blocked job
    unresolved: dict[str, None] = field(default_factory=dict)  # dependencies whose records have to be read
    dirty: dict[str, None] = field(default_factory=dict)  # jobs whose urgency may have changed
    _dependents: dict[str, dict[str, None]] = field(default_factory=dict)  # job -> blocked jobs that depend on it

    def add(
        self, job_id: str, dependencies: Iterable[str], state_of: Callable[[str], DependencyState]
    ) -> DependencyState:
        """Add a job that depends on others.

        OPEN: it is blocked; COMPLETED: all its dependencies are met; CANCELLED: one of them is cancelled.
        """
        states = {dependency: state_of(dependency) for dependency in dependencies}
        if DependencyState.CANCELLED in states.values():
            return DependencyState.CANCELLED
        unmet = {dependency: None for dependency, state in states.items() if state is not DependencyState.COMPLETED}
        if not unmet:
            return DependencyState.COMPLETED
        self.unmet_dependencies[job_id] = unmet
        if job_id in self._dependents:
            self.dirty[job_id] = None  # jobs that depend on it were added before it
        for dependency in unmet:
            self._dependents.setdefault(dependency, {})[job_id] = None
            self.dirty[dependency] = None
            if states[dependency] is DependencyState.UNKNOWN:
                self.unresolved[dependency] = None
        return DependencyState.OPEN

    def mark_resolved(self, job_id: str) -> None:
        """It is among the unfinished jobs: its record need not be read."""
        self.unresolved.pop(job_id, None)

    def dependencies_of(self, job_id: str) -> list[str]:
        """The unmet dependencies of a job."""
        return list(self.unmet_dependencies.get(job_id, ()))

    def dependents_of(self, job_id: str) -> list[str]:
        """The blocked jobs that depend on a job."""
        return list(self._dependents.get(job_id, ()))

    def complete(self, job_id: str) -> CompletionOutcome:
        """The job's completion is recorded."""
        self.unresolved.pop(job_id, None)
        dependents = list(self._dependents.pop(job_id, ()))
        released = []
        for dependent in dependents:
            unmet = self.unmet_dependencies[dependent]
            del unmet[job_id]
            if not unmet:
                del self.unmet_dependencies[dependent]
                released.append(dependent)
        return CompletionOutcome(dependents, released)

    def cancel(self, job_id: str) -> list[str]:
        """The job is cancelled, and with it all that depend on it, directly or through others.

        Returns those, each after the ones of them that it depends on.
        """
        self.unresolved.pop(job_id, None)
        found: dict[str, None] = {}
        to_visit = [job_id]
        while to_visit:
            for dependent in self._dependents.get(to_visit.pop(), ()):
                if dependent not in found:
                    found[dependent] = None
                    to_visit.append(dependent)
        for dependent in found:
            self.remove(dependent)
        self.remove(job_id)
        self._dependents.pop(job_id, None)
        return list(found)

    def remove(self, job_id: str) -> None:
        """The job is blocked no more: it was cancelled."""
        for dependency in self.unmet_dependencies.pop(job_id, ()):
            dependents = self._dependents.get(dependency)
            if dependents is not None:
                dependents.pop(job_id, None)
                self.dirty[dependency] = None  # the urgency that it gave is revoked
                if not dependents:
                    del self._dependents[dependency]
                    self.unresolved.pop(dependency, None)

    def inherited_urgency(self, job_id: str, urgency_of: Callable[[str], tuple[Urgency, int]]) -> Urgency | None:
        """The urgency that a job inherits from those that depend on it; None if there is none.

        `urgency_of`: a blocked job's own urgency joined with what it inherits, and the time that it will take once
        released.
        """
        dependents = self._dependents.get(job_id)
        if not dependents:
            return None
        rank = LOWEST_RANK
        deadlines: tuple[int, ...] = ()
        for dependent in dependents:
            urgency, duration = urgency_of(dependent)
            rank = min(rank, urgency.priority_rank)
            deadlines = earlier(deadlines, tuple(deadline - duration for deadline in urgency.deadlines))
        return Urgency(rank, deadlines)
