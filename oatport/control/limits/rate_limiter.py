"""An adaptive token bucket that limits the changes per second that a node requests for users' submissions.

All nodes and the leader's bindings share the limit of the state service, and no node knows the usage of the others.
Each node starts at its share, raises its rate slowly while demand exceeds the rate, and returns to its share when it is
throttled. The rate never falls below the share: a burst of best-effort jobs, whose bindings the leader writes, once
reduced every node to a tenth, and jobs of other teams were rejected. A submission that finds no tokens receives a retry
time, each a little later than the previous one, so that the retries don't arrive all at once.
"""

from __future__ import annotations

from oatport.times import SECOND

TARGET_UTILIZATION = 0.9  # of the limit; the rest is for the leader's records
BURST_FRACTION = 0.3  # of the limit; bursts of three idle nodes at once stay within the burst that the service allows
UNTHROTTLED_BURST_FRACTION = 0.6  # of the limit, after UNTHROTTLED_AFTER without throttling
UNTHROTTLED_AFTER = 10 * SECOND
NEARLY_FULL_FRACTION = 0.1  # of a burst; a bucket that lacks no more than this is nearly full
RESERVED_FROM_BEST_EFFORT_FRACTION = 0.6  # of a burst; not available to the lowest priority
RATE_INCREASE_FRACTION = 0.3  # of the limit per second, while demand exceeds the rate
THROTTLED_DURATION = SECOND  # how long a node counts as throttled after a refused request
MAX_RETRY_AFTER_S = 9  # the longest retry time


class AdaptiveRateLimiter:
    """Limits the rate of changes of one node. Times are steady, in microseconds; rates are changes per second."""

    def __init__(self, limit: float, nodes: int, reduced_limit: float = 0.0) -> None:
        """Creates a full bucket at the node's share of `limit`.

        `reduced_limit`: the value to which the limit may be lowered at any time; the first refused request counts as a
        sign that it was.
        """
        self._reduced_limit = reduced_limit or limit
        self._nodes = max(nodes, 1)
        self._set_limit(limit)
        self._level = self._burst
        self._refilled_at = self._unthrottled_since = -1  # -1: not started
        self._rate_raised_at = 0
        self._throttled_at = -2 * SECOND
        self._retries_scheduled_until = 0

    def _set_limit(self, limit: float) -> None:
        self._max_rate = limit * TARGET_UTILIZATION
        self._rate_increase_per_s = limit * RATE_INCREASE_FRACTION
        self._node_share = self.rate = self._max_rate / self._nodes
        self._limit = limit
        self._burst = limit * BURST_FRACTION

    def _refill(self, now: int) -> float:
        if self._refilled_at < 0:
            self._refilled_at = self._unthrottled_since = now
        is_unthrottled = now - self._unthrottled_since > UNTHROTTLED_AFTER
        self._burst = self._limit * (UNTHROTTLED_BURST_FRACTION if is_unthrottled else BURST_FRACTION)
        self._level = min(self._burst, self._level + (now - self._refilled_at) * self.rate / SECOND)
        self._refilled_at = now
        return self._level

    def available(self, now: int) -> int:
        """Returns the number of changes that may be requested now."""
        return max(0, int(self._refill(now)))

    def wait_us(self, now: int, changes: int) -> int:
        """Returns how long (us) until `changes` are available."""
        missing = min(changes, self._burst) - self._refill(now)
        return round(missing / self.rate * SECOND) + 1 if missing > 0 else 0

    def is_available_to_best_effort(self, now: int, changes: int) -> bool:
        """Returns whether `changes` are available to the lowest priority, besides the reserve for all others."""
        # If a burst holds only a few changes, the reserve is capped so that a nearly full bucket admits one submission:
        # of a burst of 4.5, RESERVED_FROM_BEST_EFFORT_FRACTION left less than a submission needs, so that only a node
        # that had not been throttled for long accepted such jobs.
        level = self._refill(now)
        reserved = min(
            self._burst * RESERVED_FROM_BEST_EFFORT_FRACTION, self._burst - changes - self._burst * NEARLY_FULL_FRACTION
        )
        return level - changes >= reserved

    def consume(self, now: int, changes: int) -> None:
        """Takes the tokens for `changes` that are being requested."""
        self._refill(now)
        self._level -= changes

    def raise_rate(self, now: int) -> None:
        """Raises the rate because demand exceeds the available tokens, unless the node was throttled recently."""
        elapsed = min(now - self._rate_raised_at, SECOND)
        self._rate_raised_at = now
        if now - self._throttled_at > THROTTLED_DURATION:
            self.rate = min(self._max_rate, self.rate + self._rate_increase_per_s * elapsed / SECOND)

    def on_throttled(self, now: int) -> None:
        """Resets the rate to the node's share, because the state service refused a request as above the limit."""
        self._throttled_at = self._unthrottled_since = now
        if self._reduced_limit < self._limit:
            self._set_limit(self._reduced_limit)
            self._level = min(self._level, self._burst)
        self.rate = self._node_share

    def is_throttled(self, now: int) -> bool:
        """Returns whether a request was refused recently."""
        return now - self._throttled_at < THROTTLED_DURATION

    def retry_after_s(self, now: int, changes: int) -> int:
        """Returns the retry time (whole seconds) for a rejected request of `changes`, and reserves that time for it."""
        self._retries_scheduled_until = max(self._retries_scheduled_until, now) + round(changes / self.rate * SECOND)
        latest = now + MAX_RETRY_AFTER_S * SECOND
        if self._retries_scheduled_until > latest:
            self._retries_scheduled_until = now + SECOND  # beyond the maximum: start over
        return max(1, -((now - self._retries_scheduled_until) // SECOND))
