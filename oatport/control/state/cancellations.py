"""Cancellations that were told to users, and what follows from them for workers' leases.

A leader whom the state service refuses can't read what other nodes confirm to users. So each node keeps a list of what
its own users were told, whichever way it knew of it, written before the answer leaves; and a leader asks all nodes for
theirs. What it has been told so it stops; when every configured node told all since the moment up to which
cancellations were known, that moment moves on to when the question was sent. A node that can't be asked, that began
later, that left something out, or that is of an earlier version leaves the moment where it is, and with it the bound.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.settings import Workers
from oatport.times import MS, SECOND, micros, with_drift

MARGIN = 2 * SECOND  # of `answers_until`
MOST = 4_000  # told of in one answer: 64 KiB of job ids, and more than any state service here records in `cancel_s`
SLACK = 2 * SECOND  # told of beyond the moment asked for: the question was on its way for less
ANSWERED_WITHIN = 1_500 * MS  # else it may have been on its way for longer than that


def answers_until(workers: Workers, known_at: int) -> int:
    """Until when (steady, us) a report may be answered, by who knows all cancellations told up to `known_at`.

    A cancellation may be told by another node at any moment; its tasks must be gone `cancel_s`
    later, and a worker that hears nothing more kills them after `lease_s`, counted from when it *sent* the report:
    before the answer was given, however late that goes out. So with K up to which cancellations are known, an
    answer at t < K + cancel_s - lease_s - MARGIN renews a lease that ends before K + cancel_s - MARGIN, and a
    cancellation that is not known was told after K. A start that a cut held finds the session only for as long. The
    answer itself stops the tasks of those that are known. What is left for the margin are clocks (0.05% of both
    spans, 20 ms) and timers.
    """
    return known_at + with_drift(micros(workers.cancel_s - workers.lease_s)) - MARGIN


@dataclass(frozen=True, slots=True)
class ConfirmedCancellations:
    """One node's answer: jobs whose users it told that they are cancelled, and for how long back (us) that is all."""

    refs: list[str]
    whole_us: int

    def covers(self, since: int, asked: int, answered: int) -> bool:
        """Nothing that this node told after `since` is missing. All three by the asker's steady clock (us).

        The node's clock may run fast, and it answered at the latest when its answer was there.
        """
        return answered - asked <= ANSWERED_WITHIN and answered - with_drift(self.whole_us) <= since


@dataclass(slots=True)
class CancellationLog:
    """What this node's users were told is cancelled: each job once, and when it was first told (steady, us).

    A moment is enough: a leader knows what was told up to its own, and whoever leads later reads the records, in which
    a cancellation stands before anybody is told of it. `began`: of what an earlier process told nothing is known here.
    """

    began: int
    kept_us: int  # for longer no lease rests on what isn't known
    most: int = MOST
    _told: dict[str, int] = field(default_factory=dict)  # in the order of their moments
    _whole_since: int = field(init=False)  # what was told after this is all there

    def __post_init__(self) -> None:
        self._whole_since = self.began

    def tell(self, ref: str, now: int) -> bool:
        """Its user is about to be told; False if one was before."""
        while self._told and next(iter(self._told.values())) < now - self.kept_us:
            self._drop_oldest()
        if ref in self._told:
            return False
        if len(self._told) >= self.most:
            self._drop_oldest()
        self._told[ref] = now
        return True

    def _drop_oldest(self) -> None:
        self._whole_since = self._told.pop(next(iter(self._told)))

    def since(self, now: int, age: int) -> ConfirmedCancellations:
        """All that was told within the last `age` us by the asker's clock, when it sent its question."""
        after = now - age - age // 500 - SLACK
        return ConfirmedCancellations(
            [ref for ref, at in self._told.items() if at > after], max(0, now - self._whole_since)
        )

    def quiet(self, now: int) -> int:
        """For so long (us) nothing was told that had not been told before: what leaders of before 0.8 go by."""
        return now - max([self._whole_since, *list(self._told.values())[-1:]])
