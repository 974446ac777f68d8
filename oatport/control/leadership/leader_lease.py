"""The leader lease as its holder tracks it, and the detection of process pauses.

A process may be paused for seconds while its clocks continue. When the process resumes, its timers fire before it reads
the responses in its socket buffers, every machine appears silent, and another node may lead. Therefore whether the
lease is held depends on when its last renewal *was requested*, and is checked immediately before each send.
"""

from __future__ import annotations

from dataclasses import dataclass

from oatport.times import MS, SECOND, shortened_by_drift

SEND_MARGIN = 200 * MS  # time to send a request after the check
PAUSE_THRESHOLD = 1_500 * MS  # the checking loops run at least three times per threshold
HANDOVER_OUTCOME_TIMEOUT = 5 * SECOND  # a node asked to take over does so well within this time, or not at all


@dataclass(slots=True)
class LeaderLease:
    """Holds the state of the leader lease, which is held until the lease behind the leader key may have expired.

    Commits, starts and stops carry the fencing token and are safe without this check; requests to the cloud service
    can't be fenced.
    """

    duration_us: int
    renewal_requested_at: int  # when the last renewal that was granted was sent (steady)
    handover_undecided_until: int = 0

    def on_renewed(self, requested_at: int) -> None:
        """Records that the renewal requested at `requested_at` was granted."""
        self.renewal_requested_at = max(self.renewal_requested_at, requested_at)

    def on_handover_requested(self, now: int) -> None:
        """Records that another node was asked to take over and may replace the leader key before the lease expires."""
        self.handover_undecided_until = now + HANDOVER_OUTCOME_TIMEOUT

    def on_handover_declined(self) -> None:
        """Records that the other node does not take over."""
        self.handover_undecided_until = 0

    def is_held(self, now: int) -> bool:
        """Returns whether this node holds the lease, so that no other node can be the leader."""
        held_for = shortened_by_drift(self.duration_us) - SEND_MARGIN
        return now - self.renewal_requested_at < held_for and now >= self.handover_undecided_until


@dataclass(slots=True)
class PauseDetector:
    """Detects pauses of the process, during which none of its periodic checks ran."""

    last_checked_at: int

    def check(self, now: int) -> int:
        """Returns how long (us) the process was paused since the last check; 0 if it was not paused."""
        gap, self.last_checked_at = now - self.last_checked_at, now
        return gap if gap > PAUSE_THRESHOLD else 0
