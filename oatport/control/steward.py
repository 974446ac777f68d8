"""Keeping the leases of workers that hear of no leader: what a node may answer that does not lead.

In a zone that is cut off, work goes on as long as a node there answers its workers' reports with a valid token
(PROTOCOL, "Outages and cuts"). A node that reaches neither the leader nor the state service does so with the
leader's token and no commands. Only the leader's proofs move a task, so this can't run one twice; what it could
break is a cancellation: a task of a job whose user was told that it is cancelled must be gone `cancel_s` later.
So, like a leader in an outage (`OutageClock`), it stops in time for leases to end before that. It counts from the
last moment of which the leader said that all cancellations told up to then were carried out.
"""

from __future__ import annotations

from dataclasses import dataclass

from oatport.control.recovery import OutageClock
from oatport.settings import ClusterSettings
from oatport.times import MS, SECOND

OUT_OF_TOUCH = 1_500 * MS  # without an answer from the leader and from the state service


@dataclass(slots=True)
class Steward:
    """Times are steady, in microseconds; ages are by the leader's clock."""

    clock: OutageClock
    token: int = 0  # of the leader that told last
    told_at: int = 0  # when that was asked for

    @classmethod
    def of(cls, settings: ClusterSettings) -> Steward:
        return cls(OutageClock(settings, 0))

    def told(self, token: int, asked_at: int, age: int) -> None:
        """The leader of this token said: what was told more than `age` ago is carried out.

        Its answer is no older than the question, so the moment is counted from that, with the clocks' drift.
        """
        if token < self.token or age < 0:
            return
        self.token = token
        self.told_at = max(self.told_at, asked_at)
        self.clock.known(asked_at - age - age // 500)

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
        if now - self.told_at < OUT_OF_TOUCH:
            return False
        return state_failed_at > state_ok_at and now - state_ok_at > SECOND
