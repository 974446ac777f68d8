"""Who needs whom: which jobs wait for others, are released, are cancelled with them, and how soon they are wanted.

Pure, and about ids only: what is known of a job's state is told, never guessed. Needed jobs are done when that is
*recorded*: a job whose tasks have all ended may still lose to a cancellation. All that is kept here follows from
records (`waits/REF`, `live/REF`, and the states under `jobs/`), so any leader finds the same.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum


class Known(StrEnum):
    """What is known of a needed job."""

    OPEN = "open"  # neither done nor cancelled
    DONE = "done"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"  # its record has to be read


def earliest(one: tuple[int, ...], other: tuple[int, ...]) -> tuple[int, ...]:
    """Of two lists of times the one that begins first; none is later than any."""
    return min(one, other) if one and other else one or other


@dataclass(frozen=True, slots=True)
class Urgency:
    """How soon a job is wanted. `rank`: 0 is the highest priority; `dues`: times by which it should be done."""

    rank: int
    dues: tuple[int, ...] = ()


@dataclass(slots=True)
class DependencyGraph:
    """`unmet`: waiting job -> jobs that it needs and that are not known to be done. A released job is not in it."""

    unmet: dict[str, dict[str, None]] = field(default_factory=dict)
    unknown: dict[str, None] = field(default_factory=dict)  # needed jobs whose records have to be read
    stale: dict[str, None] = field(default_factory=dict)  # jobs whose urgency may have changed
    _after: dict[str, dict[str, None]] = field(default_factory=dict)  # job -> waiting jobs that name it

    def add(self, ref: str, needs: Iterable[str], known: Callable[[str], Known]) -> Known:
        """A job that names others. OPEN: it waits; DONE: for nobody; CANCELLED: one of them is."""
        states = {need: known(need) for need in needs}
        if Known.CANCELLED in states.values():
            return Known.CANCELLED
        left = {need: None for need, state in states.items() if state is not Known.DONE}
        if not left:
            return Known.DONE
        self.unmet[ref] = left
        if ref in self._after:
            self.stale[ref] = None  # told of out of order
        for need in left:
            self._after.setdefault(need, {})[ref] = None
            self.stale[need] = None
            if states[need] is Known.UNKNOWN:
                self.unknown[need] = None
        return Known.OPEN

    def seen(self, ref: str) -> None:
        """It is among the unfinished jobs: its record need not be read."""
        self.unknown.pop(ref, None)

    def waits(self, ref: str) -> list[str]:
        """The jobs that it waits for."""
        return list(self.unmet.get(ref, ()))

    def after(self, ref: str) -> list[str]:
        """Waiting jobs that name it."""
        return list(self._after.get(ref, ()))

    def done(self, ref: str) -> tuple[list[str], list[str]]:
        """Its end is recorded: the jobs that named it, and those of them that wait for nobody now."""
        self.unknown.pop(ref, None)
        named = list(self._after.pop(ref, ()))
        released = []
        for after in named:
            left = self.unmet[after]
            del left[ref]
            if not left:
                del self.unmet[after]
                released.append(after)
        return named, released

    def cancelled(self, ref: str) -> list[str]:
        """It is cancelled: all that need it, directly or through others, each after those that it needs of them."""
        self.unknown.pop(ref, None)
        found: dict[str, None] = {}
        left = [ref]
        while left:
            for after in self._after.get(left.pop(), ()):
                if after not in found:
                    found[after] = None
                    left.append(after)
        for after in found:
            self.leave(after)
        self.leave(ref)
        self._after.pop(ref, None)
        return list(found)

    def leave(self, ref: str) -> None:
        """It waits no more: it was cancelled."""
        for need in self.unmet.pop(ref, ()):
            named = self._after.get(need)
            if named is not None:
                named.pop(ref, None)
                self.stale[need] = None  # what it gave is taken back
                if not named:
                    del self._after[need]
                    self.unknown.pop(need, None)

    def wanted(self, ref: str, of: Callable[[str], tuple[Urgency, int]]) -> Urgency | None:
        """What the jobs that name it ask of it; None if there is none.

        `of`: a waiting job's own urgency, with what was asked of it, and the time that it will take once released.
        """
        named = self._after.get(ref)
        if not named:
            return None
        rank = 1 << 30
        dues: tuple[int, ...] = ()
        for after in named:
            urgency, span = of(after)
            rank = min(rank, urgency.rank)
            dues = earliest(dues, tuple(due - span for due in urgency.dues))
        return Urgency(rank, dues)
