"""The lease proxy: renews the leases of agents that hear of no leader, on a node that does not lead.

In a partitioned zone, work goes on as long as a node there answers its workers' reports with a valid token
(PROTOCOL, "Outages and cuts"). A node that reaches neither the leader nor the state service does so with the
leader's token and no commands. Only the leader's proofs move a task, so this can't run one twice; what it could
break is a cancellation: a task of a job whose cancellation was confirmed to its user must be gone `cancel_s` later.
So, like a leader in an outage (`LeaseRenewalLimit`), it stops in time for leases to expire before that. It counts from
the cancellation watermark: the last moment of which the leader said that all cancellations confirmed up to then were
carried out.

A node that was started again in the zone learns the watermark from another one there. Where all of them ended no lease
is renewed, and can't be: that a worker's lease is alive says only that it was answered up to `lease_s` ago, perhaps
by a proxy at the very end of what it might do. By all that a new process can see, a cancellation may have been
confirmed so long ago that another answer, and the lease that comes with it, would outlast `cancel_s`.
"""

from __future__ import annotations

from dataclasses import dataclass

from oatport.control.leadership.lease_renewal import LeaseRenewalLimit
from oatport.settings import ClusterSettings
from oatport.times import MS, SECOND

ISOLATED_AFTER = 1_500 * MS  # without an answer from the leader and from the state service
DRIFT_DIVISOR = 500  # a watermark's age, measured by the leader's clock, is taken to be longer by this part


@dataclass(frozen=True, slots=True)
class SharedWatermark:
    """What a lease proxy passes on to a node that was started again."""

    fencing_token: int
    watermark_age_us: int  # how long ago the cancellation watermark was
    contact_age_us: int  # how long ago the leader was asked for it


@dataclass(slots=True)
class LeaseProxy:
    """Times are steady, in microseconds; ages are by the leader's clock."""

    renewal_limit: LeaseRenewalLimit
    fencing_token: int = 0  # of the leader that answered last; 0: none did
    leader_contact_at: int = 0  # when it was asked

    @classmethod
    def create(cls, settings: ClusterSettings) -> LeaseProxy:
        """One that knows of no leader yet."""
        return cls(LeaseRenewalLimit(settings, 0))

    def on_watermark(self, fencing_token: int, asked_at: int, watermark_age_us: int, contact_age_us: int = 0) -> None:
        """The leader of this token said: what was confirmed more than `watermark_age_us` ago is carried out.

        `contact_age_us`: another node passes on what the leader said to it so long ago. The answer is no older than the
        question, so both are counted from that. Drift of the clocks is taken off by each hand: what is passed on
        in a circle only gets less.
        """
        if fencing_token < self.fencing_token or min(watermark_age_us, contact_age_us) < 0:
            return
        self.fencing_token = fencing_token
        self.leader_contact_at = max(self.leader_contact_at, asked_at - contact_age_us)
        self.renewal_limit.on_cancellations_read(asked_at - watermark_age_us - watermark_age_us // DRIFT_DIVISOR)

    def share(self, now: int) -> SharedWatermark | None:
        """For a node that was started again; None if no leader ever answered."""
        if not self.fencing_token:
            return None
        return SharedWatermark(
            self.fencing_token, now - self.renewal_limit.cancellations_read_at, now - self.leader_contact_at
        )

    def valid_until(self) -> int:
        """Until when reports may be answered."""
        return self.renewal_limit.until if self.fencing_token else 0

    def may_answer(self, report_token: int, now: int, state_ok_at: int, state_failed_at: int) -> bool:
        """May this node answer a report of a worker that has seen `report_token`?

        Not while the leader answers it, or the state service does: then others know better. Not to a worker
        that has seen another token: a higher one means a leader whose cancellations are not known here, and
        an answer under it would be made up; a lower one, that the leader never reached that worker, so nothing
        was carried out there.
        """
        if not self.fencing_token or report_token != self.fencing_token or now >= self.valid_until():
            return False
        return self.is_isolated(now, state_ok_at, state_failed_at)

    def is_isolated(self, now: int, state_ok_at: int, state_failed_at: int) -> bool:
        """Neither the leader nor the state service answers this node."""
        state_service_is_lost = state_failed_at > state_ok_at and now - state_ok_at > SECOND
        return now - self.leader_contact_at >= ISOLATED_AFTER and state_service_is_lost
