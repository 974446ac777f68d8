"""Keeping the leases of workers that hear of no leader: what a node may answer that does not lead.

In a zone that is cut off, work goes on as long as a node there answers its workers' reports with a valid token
(PROTOCOL, "Outages and cuts"). A node that reaches neither the leader nor the state service does so with the
leader's token and no commands. Only the leader's proofs move a task, so this can't run one twice; what it could
break is a cancellation: a task of a job whose user was told that it is cancelled must be gone `cancel_s` later.
So, like a leader in an outage (`OutageClock`), it stops in time for leases to end before that. It counts from the
last moment of which the leader said that all cancellations told up to then were carried out.

A node that was started again in the zone learns that moment from another one there. Where all of them ended nothing is
kept, and can't be: that a worker's lease lives says only that it was answered up to `lease_s` ago, perhaps by a steward
at the very end of what it might do. By all that a new process can see, a cancellation may have been told so long
ago that another answer, and the lease that comes with it, would outlast `cancel_s`.
"""

from __future__ import annotations

from dataclasses import dataclass

from oatport.control.storage.recovery import LeaseRenewalLimit
from oatport.settings import ClusterSettings
from oatport.times import MS, SECOND

ISOLATED_AFTER = 1_500 * MS  # without an answer from the leader and from the state service


@dataclass(slots=True)
class LeaseProxy:
    """Times are steady, in microseconds; ages are by the leader's clock."""

    clock: LeaseRenewalLimit
    token: int = 0  # of the leader that told last
    told_at: int = 0  # when that was asked for

    @classmethod
    def of(cls, settings: ClusterSettings) -> LeaseProxy:
        return cls(LeaseRenewalLimit(settings, 0))

    def told(self, token: int, asked_at: int, age: int, told_age: int = 0) -> None:
        """The leader of this token said: what was told more than `age` ago is carried out.

        `told_age`: another node passes on what the leader said to it so long ago. The answer is no older than the
        question, so both are counted from that. Drift of the clocks is taken off by each hand: what is passed on
        in a circle only gets less.
        """
        if token < self.token or min(age, told_age) < 0:
            return
        self.token = token
        self.told_at = max(self.told_at, asked_at - told_age)
        self.clock.known(asked_at - age - age // 500)

    def pass_on(self, now: int) -> tuple[int, int, int] | None:
        """For a node that was started again: the leader's token, and how long ago (us) was the moment up to which
        cancellations are carried out, and the question that the leader answered last; None if it never did."""
        return (self.token, now - self.clock.known_at, now - self.told_at) if self.token else None

    def ends(self) -> int:
        """Until when reports may be answered."""
        return self.clock.until if self.token else 0

    def answers(self, report_token: int, now: int, state_ok_at: int, state_failed_at: int) -> bool:
        """May this node answer a report of a worker that has seen `report_token`?

        Not while the leader answers it, or the state service does: then others know better. Not to a worker
        that has seen another token: a higher one means a leader whose cancellations are not known here, and
        an answer under it would be made up; a lower one, that the leader never reached that worker, so nothing
        was carried out there.
        """
        if not self.token or report_token != self.token or now >= self.ends():
            return False
        return self.is_isolated(now, state_ok_at, state_failed_at)

    def is_isolated(self, now: int, state_ok_at: int, state_failed_at: int) -> bool:
        """Neither the leader nor the state service answers this node."""
        return now - self.told_at >= ISOLATED_AFTER and state_failed_at > state_ok_at and now - state_ok_at > SECOND
