"""The lease proxy: a node that does not lead renews the leases of workers that no leader reaches.

In a partitioned zone, tasks continue as long as a node there answers its workers' heartbeats with a valid token
(PROTOCOL, "Outages and cuts"). A node that reaches neither the leader nor the state service answers them with the
leader's token and without commands. Tasks are moved only after the leader has proved them gone, so a lease proxy can't
cause a task to run twice. It could violate a cancellation: tasks of a job whose cancellation was confirmed to its user
must be gone `cancel_s` later. Therefore, like a leader during an outage (`LeaseRenewalLimit`), a lease proxy stops
early enough for leases to expire before that. The time counts from the cancellation watermark: the latest time such
that, by the leader's answer, all cancellations confirmed up to then were carried out.

A node that restarts in the zone obtains the watermark from another node there. If all of them stopped, no lease can be
renewed: a live lease of a worker only shows that a heartbeat of the worker was answered up to `lease_s` ago, possibly
by a proxy at the end of its own limit. A new process can't rule out that a cancellation was confirmed so long ago that
a further answer, and the lease that it renews, would last beyond `cancel_s`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.control.leadership.fencing_tokens import FencingTokens
from oatport.control.leadership.lease_renewal import LeaseRenewalLimit
from oatport.settings import ClusterSettings
from oatport.times import MS, SECOND

ISOLATED_AFTER = 1_500 * MS  # without an answer from the leader, while the state service does not answer either
NO_LEADER = 0  # token while no leader has answered
CLOCK_DRIFT_DIVISOR = 500  # ages by the leader's clock are extended by 1/500 for clock drift


@dataclass(frozen=True, slots=True)
class SharedWatermark:
    """Holds what a lease proxy shares with a restarted node."""

    fencing_token: int
    watermark_age_us: int  # age of the cancellation watermark
    contact_age_us: int  # time since the leader was asked for the watermark
    highest_token: int = 0  # highest token of the leader's term that is known here


@dataclass(slots=True)
class LeaseProxy:
    """Holds the leader's token and cancellation watermark, and decides whether a heartbeat may be answered.

    Times are steady, in microseconds; ages are by the leader's clock.
    """

    renewal_limit: LeaseRenewalLimit
    tokens: FencingTokens = field(default_factory=lambda: FencingTokens(NO_LEADER))  # of the leader that answered last
    leader_contact_at: int = 0  # when that leader was asked

    @property
    def fencing_token(self) -> int:
        """Returns the token of the term of the leader that answered last; NO_LEADER: none answered."""
        return self.tokens.term

    @property
    def highest_token(self) -> int:
        """Returns the highest known token of that leader's term: the leader raises the tokens of single machines."""
        return self.tokens.highest

    @classmethod
    def create(cls, settings: ClusterSettings) -> LeaseProxy:
        """Creates a lease proxy that has not received a leader's answer yet."""
        return cls(LeaseRenewalLimit(settings, 0))

    def on_watermark(
        self,
        fencing_token: int,
        requested_at: int,
        watermark_age_us: int,
        contact_age_us: int = 0,
        highest_token: int = 0,
    ) -> None:
        """Records a watermark: all cancellations confirmed more than `watermark_age_us` ago were carried out.

        `contact_age_us`: if another node shares the watermark, the time since that node asked the leader. The answer is
        no older than the request, so both ages count from the request. Each receiving node subtracts clock drift, so a
        watermark that nodes share in a circle only becomes earlier. `highest_token` is that of the leader's term, or 0
        from a node of an earlier version.
        """
        if fencing_token < self.fencing_token or min(watermark_age_us, contact_age_us) < 0:
            return
        if fencing_token > self.fencing_token:
            self.tokens = FencingTokens(fencing_token)
        self.tokens.on_committed(highest_token)
        self.leader_contact_at = max(self.leader_contact_at, requested_at - contact_age_us)
        self.renewal_limit.on_cancellations_read(
            requested_at - watermark_age_us - watermark_age_us // CLOCK_DRIFT_DIVISOR
        )

    def share(self, now: int) -> SharedWatermark | None:
        """Returns the watermark for a restarted node; None if no leader ever answered."""
        if not self.fencing_token:
            return None
        return SharedWatermark(
            self.fencing_token,
            now - self.renewal_limit.cancellations_read_at,
            now - self.leader_contact_at,
            self.highest_token,
        )

    def valid_until(self) -> int:
        """Returns the time until which heartbeats may be answered; 0 if no leader ever answered."""
        return self.renewal_limit.until if self.fencing_token else 0

    def may_answer(self, seen_token: int, now: int, state_ok_at: int, state_failed_at: int) -> bool:
        """Returns whether this node may answer a heartbeat of a worker that has seen the token `seen_token`.

        The node may not answer while the leader or the state service answers it: then other nodes have newer
        information. It may not answer a worker that has seen a token of another term. A higher token may belong to a
        leader whose cancellations are unknown here, so this node has no valid answer under that token. A lower token
        means that the leader never reached that worker, so no cancellation was carried out there.
        """
        if not self.fencing_token or not self.tokens.includes(seen_token) or now >= self.valid_until():
            return False
        return self.is_isolated(now, state_ok_at, state_failed_at)

    def is_isolated(self, now: int, state_ok_at: int, state_failed_at: int) -> bool:
        """Returns whether neither the leader nor the state service answers this node."""
        is_state_service_unreachable = state_failed_at > state_ok_at and now - state_ok_at > SECOND
        return now - self.leader_contact_at >= ISOLATED_AFTER and is_state_service_unreachable
