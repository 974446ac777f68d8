"""How long a leader may act on its own word, and what it makes of time in which it did not run.

A node may stand still for seconds while its clocks run on. When it wakes, its timers fire before the answers that
wait in its sockets are read, every machine looks silent, and another node may lead. So entitlement is a matter of
the time since the last proof of leadership *was asked for*, looked at when something goes out.
"""

from __future__ import annotations

from dataclasses import dataclass

from oatport.times import MS, SECOND, with_drift

MARGIN = 200 * MS  # for a request to be sent after the look
STILL = 1_500 * MS  # loops come round at least three times as often
DOUBT = 5 * SECOND  # a node that was asked to take over does so well within this, or never


@dataclass(slots=True)
class LeaderLease:
    """Entitled for as long as the lease that the leader key hangs on can't have ended.

    Commits, starts and stops carry the token and need none of this to be safe; what the cloud is asked to do
    can't be fenced.
    """

    life_us: int
    asked_at: int  # when the last renewal that was granted was sent (steady)
    doubt_until: int = 0

    def proven(self, asked_at: int) -> None:
        self.asked_at = max(self.asked_at, asked_at)

    def doubt(self, now: int) -> None:
        """Another node was asked to take over: it replaces the key while the lease lives on."""
        self.doubt_until = now + DOUBT

    def holds(self, now: int) -> bool:
        return now - self.asked_at < with_drift(self.life_us) - MARGIN and now >= self.doubt_until


@dataclass(slots=True)
class PauseDetector:
    """Notices that the process stood still: nothing that it looks at was looked at meanwhile."""

    at: int

    def beat(self, now: int) -> int:
        """How long it stood still since the last beat; 0 if it did not."""
        gap, self.at = now - self.at, now
        return gap if gap > STILL else 0
