"""Tracks dependencies between jobs: which jobs are blocked, released or cancelled transitively, and their urgency.

The graph holds only job ids and does no I/O; the state of a job is always passed in. A dependency is met when its
completion is *recorded*, because a job whose tasks have all ended may still be cancelled before that. The whole graph
follows from records (`waits/REF`, `live/REF`, and the states under `jobs/`), so every leader derives the same one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

LOWEST_RANK = 1 << 30  # below all priority ranks


class DependencyState(StrEnum):
    """Defines the states of a job that others depend on, as far as the leader knows."""

    OPEN = "open"  # neither completed nor cancelled
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"  # the job's record must be read


def earlier_deadlines(one: tuple[int, ...], other: tuple[int, ...]) -> tuple[int, ...]:
    """Returns the list of deadlines whose first one is earlier; an empty list stands for no deadline."""
    return min(one, other) if one and other else one or other


@dataclass(frozen=True, slots=True)
class Urgency:
    """Holds a job's priority rank (0 is the highest priority) and its deadlines (times of day, in order)."""

    priority_rank: int
    deadlines: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class CompletionOutcome:
    """Holds the jobs that depend on a completed job, and those of them that its completion released."""

    dependents: list[str]
    released: list[str]  # the dependents that have no unmet dependency left


@dataclass(slots=True)
class DependencyGraph:
    """Holds the blocked jobs and the jobs that they depend on; a released job is removed from it."""

    unmet_dependencies: dict[str, dict[str, None]] = field(default_factory=dict)  # by blocked job
    unresolved: dict[str, None] = field(default_factory=dict)  # dependencies whose records must be read
    dirty: dict[str, None] = field(default_factory=dict)  # jobs whose urgency may have changed
    _dependents: dict[str, dict[str, None]] = field(default_factory=dict)  # job -> blocked jobs that depend on it

    def add(
        self, job_id: str, dependencies: Iterable[str], state_of: Callable[[str], DependencyState]
    ) -> DependencyState:
        """Adds a job that depends on others, and returns its state.

        OPEN: the job is blocked. COMPLETED: all its dependencies are met. CANCELLED: a dependency is cancelled.
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
        """Records that the job is known to be unfinished, so that its record need not be read."""
        self.unresolved.pop(job_id, None)

    def dependencies_of(self, job_id: str) -> list[str]:
        """Returns the unmet dependencies of a job."""
        return list(self.unmet_dependencies.get(job_id, ()))

    def dependents_of(self, job_id: str) -> list[str]:
        """Returns the blocked jobs that depend on a job."""
        return list(self._dependents.get(job_id, ()))

    def complete(self, job_id: str) -> CompletionOutcome:
        """Marks the job as a met dependency, once its completion is recorded; returns the effect on its dependents."""
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
        """Removes a cancelled job and all jobs that depend on it, directly or transitively.

        Returns these dependents, each after those of its dependencies that are among them.
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
        """Removes a blocked job that was cancelled."""
        for dependency in self.unmet_dependencies.pop(job_id, ()):
            dependents = self._dependents.get(dependency)
            if dependents is not None:
                dependents.pop(job_id, None)
                self.dirty[dependency] = None  # the dependency no longer inherits the urgency of the removed job
                if not dependents:
                    del self._dependents[dependency]
                    self.unresolved.pop(dependency, None)

    def inherited_urgency(self, job_id: str, urgency_of: Callable[[str], tuple[Urgency, int]]) -> Urgency | None:
        """Returns the urgency that a job inherits from the jobs that depend on it; None if no job does.

        `urgency_of` returns the effective urgency of a blocked job (its own combined with the inherited one) and the
        time that the job will take once it is released.
        """
        dependents = self._dependents.get(job_id)
        if not dependents:
            return None
        rank = LOWEST_RANK
        deadlines: tuple[int, ...] = ()
        for dependent in dependents:
            urgency, duration = urgency_of(dependent)
            rank = min(rank, urgency.priority_rank)
            deadlines = earlier_deadlines(deadlines, tuple(deadline - duration for deadline in urgency.deadlines))
        return Urgency(rank, deadlines)
