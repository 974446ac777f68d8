"""An adaptive token bucket: how many changes a second a node asks of the state service for users' submissions.

The limit is one for all nodes and for the leader's bindings, and no node knows what the others use. Each begins with
its share, goes up slowly while more is asked for, and back to its share when it is throttled. Not below: a burst of
best-effort jobs, whose bindings the leader writes, once had every node at a tenth, and other teams' jobs were sent
away. Who finds nothing available is told when to retry: each one a little later than the one before, so that they
don't all come back at once.
"""

from __future__ import annotations

from oatport.times import SECOND

TARGET_UTILIZATION = 0.9  # of the limit: the rest is for the leader's own records
BURST = 0.3  # of the limit, for a node that was quiet: three such at once find it in the limit's own burst
BURST_UNTHROTTLED = 0.6  # once nothing was throttled for a while
UNTHROTTLED_AFTER = 10 * SECOND
NEARLY_FULL = 0.1  # of a burst that is not full yet
RESERVED_FROM_BEST_EFFORT = 0.6  # of its burst, which the lowest priority leaves to the others
RISE = 0.3  # of the limit a second, while more is asked for
THROTTLED_FOR = SECOND  # after a refusal
MAX_RETRY_AFTER_S = 9  # nobody is sent away for longer


class AdaptiveRateLimiter:
    """Times are steady, in microseconds; rates are changes a second."""

    def __init__(self, limit: float, nodes: int, reduced_limit: float = 0.0) -> None:
        """`reduced_limit`: what the limit may fall to at any moment; taken to have fallen at the first refusal."""
        self._reduced_limit = reduced_limit or limit
        self._nodes = max(nodes, 1)
        self._set_limit(limit)
        self._level = self._burst
        self._refilled_at = self._unthrottled_since = -1  # not begun
        self._risen_at = 0
        self._throttled_at = -2 * SECOND
        self._retries_booked_until = 0

    def _set_limit(self, limit: float) -> None:
        self._max_rate = limit * TARGET_UTILIZATION
        self._rise = limit * RISE
        self._share = self.rate = self._max_rate / self._nodes
        self._limit = limit
        self._burst = limit * BURST

    def _refill(self, now: int) -> float:
        if self._refilled_at < 0:
            self._refilled_at = self._unthrottled_since = now
        unthrottled = now - self._unthrottled_since > UNTHROTTLED_AFTER
        self._burst = self._limit * (BURST_UNTHROTTLED if unthrottled else BURST)
        self._level = min(self._burst, self._level + (now - self._refilled_at) * self.rate / SECOND)
        self._refilled_at = now
        return self._level

    def available(self, now: int) -> int:
        """Changes that may be asked for now."""
        return max(0, int(self._refill(now)))

    def wait_us(self, now: int, changes: int) -> int:
        """How long until so many are available."""
        missing = min(changes, self._burst) - self._refill(now)
        return round(missing / self.rate * SECOND) + 1 if missing > 0 else 0

    def is_available_to_best_effort(self, now: int, changes: int) -> bool:
        """Are so many available to work of the lowest priority beside the others'?"""
        # Where few changes fit in a burst at all, one submission's worth is what is left to the others: of 4.5 the
        # share above left less than it took, so that such work was taken only by a node that had been calm for long.
        level = self._refill(now)
        reserved = min(self._burst * RESERVED_FROM_BEST_EFFORT, self._burst - changes - self._burst * NEARLY_FULL)
        return level - changes >= reserved

    def consume(self, now: int, changes: int) -> None:
        """So many are asked for."""
        self._refill(now)
        self._level -= changes

    def raise_rate(self, now: int) -> None:
        """More is asked for than is available: go up, unless just throttled."""
        passed = min(now - self._risen_at, SECOND)
        self._risen_at = now
        if now - self._throttled_at > THROTTLED_FOR:
            self.rate = min(self._max_rate, self.rate + self._rise * passed / SECOND)

    def on_throttled(self, now: int) -> None:
        """The state service refused a request as above the limit: back to this node's share."""
        self._throttled_at = self._unthrottled_since = now
        if self._reduced_limit < self._limit:
            self._set_limit(self._reduced_limit)
            self._level = min(self._level, self._burst)
        self.rate = self._share

    def is_throttled(self, now: int) -> bool:
        """Refused a moment ago."""
        return now - self._throttled_at < THROTTLED_FOR

    def retry_after_s(self, now: int, changes: int) -> int:
        """Whole seconds until one more that was sent away finds so many available; books them for it."""
        self._retries_booked_until = max(self._retries_booked_until, now) + round(changes / self.rate * SECOND)
        latest = now + MAX_RETRY_AFTER_S * SECOND
        if self._retries_booked_until > latest:
            self._retries_booked_until = now + SECOND  # more than that: from the front again
        return max(1, -((now - self._retries_booked_until) // SECOND))
