"""Cancellations that were confirmed to users, and what follows from them for agents' leases.

A leader whom the state service refuses can't read what other nodes confirm to users. So each node keeps a list of what
it confirmed to its own users, whichever way it knew of it, written before the response is sent; and a leader asks all
nodes for theirs. What it learns so it stops; when every configured node reported all since the moment up to which
cancellations were known, that moment moves on to when the request was sent. A node that can't be asked, that began
later, that left something out, or that is of an earlier version leaves the moment where it is, and with it the bound.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.settings import Workers
from oatport.times import MS, SECOND, micros, shortened_by_drift

RENEWAL_MARGIN = 2 * SECOND  # of `renewals_allowed_until`
MAX_CONFIRMED = 4_000  # in one response: 64 KiB of job ids, and more than any state service here records in `cancel_s`
REQUEST_DELAY_ALLOWANCE = 2 * SECOND  # reported beyond the moment asked for: the request was on its way for less
MAX_RESPONSE_TIME = 1_500 * MS  # else the request may have been on its way for longer than SLACK


def renewals_allowed_until(workers: Workers, known_at: int) -> int:
    """Until when (steady, us) a heartbeat may be answered, by who knows all cancellations confirmed up to `known_at`.

    A cancellation may be confirmed by another node at any moment; its tasks must be gone `cancel_s`
    later, and an agent that receives nothing more kills them after `lease_s`, counted from when it *sent* the report:
    before the answer was given, however late that goes out. So with K up to which cancellations are known, an
    answer at t < K + cancel_s - lease_s - MARGIN renews a lease that ends before K + cancel_s - MARGIN, and a
    cancellation that is not known was confirmed after K. A start that a partition held finds the epoch only for as
    long. The answer itself stops the tasks of those that are known. What is left for the margin are clocks (0.05% of
    both spans, 20 ms) and timers.
    """
    return known_at + shortened_by_drift(micros(workers.cancel_s - workers.lease_s)) - RENEWAL_MARGIN


@dataclass(frozen=True, slots=True)
class ConfirmedCancellations:
    """One node's response: jobs whose cancellation it confirmed, and for how long back (us) these are all."""

    job_ids: list[str]
    complete_within_us: int

    def covers(self, since: int, asked: int, answered: int) -> bool:
        """Nothing that this node confirmed after `since` is missing. All three by the asker's steady clock (us).

        The node's clock may run fast, and it answered at the latest when its answer was there.
        """
        return answered - asked <= MAX_RESPONSE_TIME and answered - shortened_by_drift(self.complete_within_us) <= since


@dataclass(slots=True)
class CancellationLog:
    """The cancellations that this node confirmed: each job once, and when that was first (steady, us).

    A moment is enough: a leader knows what was confirmed up to its own, and whoever leads later reads the records, in
    which a cancellation stands before it is confirmed to anybody. `began_at`: what an earlier process confirmed is not
    known here.
    """

    began_at: int
    retention_us: int  # for longer no lease rests on what isn't known
    max_entries: int = MAX_CONFIRMED
    _confirmed: dict[str, int] = field(default_factory=dict)  # in the order of their moments
    _complete_since: int = field(init=False)  # what was confirmed after this is all there

    def __post_init__(self) -> None:
        self._complete_since = self.began_at

    def record(self, job_id: str, now: int) -> bool:
        """It is about to be confirmed to its user; False if it was before."""
        while self._confirmed and next(iter(self._confirmed.values())) < now - self.retention_us:
            self._drop_oldest()
        if job_id in self._confirmed:
            return False
        if len(self._confirmed) >= self.max_entries:
            self._drop_oldest()
        self._confirmed[job_id] = now
        return True

    def _drop_oldest(self) -> None:
        self._complete_since = self._confirmed.pop(next(iter(self._confirmed)))

    def confirmed_within(self, now: int, age: int) -> ConfirmedCancellations:
        """All that was confirmed within the last `age` us by the asker's clock, when it sent its request."""
        after = now - age - age // 500 - REQUEST_DELAY_ALLOWANCE
        return ConfirmedCancellations(
            [job_id for job_id, at in self._confirmed.items() if at > after], max(0, now - self._complete_since)
        )

    def quiet_us(self, now: int) -> int:
        """For so long (us) nothing new was confirmed: what leaders of before 0.8 go by."""
        return now - max([self._complete_since, *list(self._confirmed.values())[-1:]])
