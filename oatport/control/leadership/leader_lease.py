"""The leader lease as its holder sees it, and the detection of process pauses.

A process may be paused for seconds while its clocks run on. When it goes on, its timers fire before the answers that
wait in its sockets are read, every machine looks silent, and another node may lead. So whether the lease is held
depends on when its last renewal *was requested*, checked at the moment at which something is sent.
"""

from __future__ import annotations

from dataclasses import dataclass

from oatport.times import MS, SECOND, shortened_by_drift

SEND_MARGIN = 200 * MS  # for a request to be sent after the check
PAUSE_THRESHOLD = 1_500 * MS  # loops come round at least three times as often
HANDOVER_OUTCOME_TIMEOUT = 5 * SECOND  # a node that was asked to take over does so well within this, or never


@dataclass(slots=True)
class LeaderLease:
    """Held for as long as the lease that the leader key depends on can't have expired.

    Commits, starts and stops carry the fencing token and need none of this to be safe; requests to the cloud
    can't be fenced.
    """

    duration_us: int
    renewal_requested_at: int  # when the last renewal that was granted was sent (steady)
    handover_undecided_until: int = 0

    def on_renewed(self, requested_at: int) -> None:
        """A renewal that was requested at this moment was granted."""
        self.renewal_requested_at = max(self.renewal_requested_at, requested_at)

    def on_handover_requested(self, now: int) -> None:
        """Another node was asked to take over: it may replace the leader key while the lease is alive."""
        self.handover_undecided_until = now + HANDOVER_OUTCOME_TIMEOUT

    def on_handover_declined(self) -> None:
        """The other node does not take over."""
        self.handover_undecided_until = 0

    def is_held(self, now: int) -> bool:
        """Nobody else can be leading."""
        held_for = shortened_by_drift(self.duration_us) - SEND_MARGIN
        return now - self.renewal_requested_at < held_for and now >= self.handover_undecided_until


@dataclass(slots=True)
class PauseDetector:
    """Notices that the process was paused: nothing that it checks was checked meanwhile."""

    last_checked_at: int

    def check(self, now: int) -> int:
        """How long (us) the process was paused since the last check; 0 if it was not."""
        gap, self.last_checked_at = now - self.last_checked_at, now
        return gap if gap > PAUSE_THRESHOLD else 0
