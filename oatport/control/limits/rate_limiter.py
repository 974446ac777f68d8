"""How many changes a second a node asks of the state service for users' submissions, found out by itself.

The limit is one for all nodes and for the leader's claims, and no node knows what the others use. Each begins with its
part, goes up slowly while it is asked for more, and back to its part when it is refused. Not below: a swarm of guests,
whose claims the leader writes, once had every node at a tenth, and other teams' jobs were sent away. Who finds no room
is told when there will be some: each one a little later than the one before, so that they don't all come back at once.
"""

from __future__ import annotations

from oatport.times import SECOND

USED = 0.9  # of the limit: the rest is for the leader's own records
BURST = 0.3  # of the limit, for a node that was quiet: three such at once find it in the limit's own burst
CALM_BURST = 0.6  # once nothing was refused for a while
CALM_AFTER = 10 * SECOND
NEARLY = 0.1  # of a burst that is not full yet
IDLE = 0.6  # of its burst, which the lowest priority leaves to the others
RISE = 0.3  # of the limit a second, while more is asked for
LONGEST_S = 9  # nobody is sent away for longer


class AdaptiveRateLimiter:
    """Times are steady, in microseconds; rates are changes a second."""

    def __init__(self, limit: float, nodes: int, later: float = 0.0) -> None:
        """`later`: what the limit may fall to at any moment; taken to have fallen at the first refusal."""
        self._later = later or limit
        self._nodes = max(nodes, 1)
        self._set_limit(limit)
        self._level = self._burst
        self._at = self._calm_since = -1  # not begun
        self._risen_at = 0
        self._refused_at = -2 * SECOND
        self._booked_until = 0

    def _set_limit(self, limit: float) -> None:
        self._most = limit * USED
        self._rise = limit * RISE
        self._part = self.rate = self._most / self._nodes
        self._limit = limit
        self._burst = limit * BURST

    def _now(self, now: int) -> float:
        if self._at < 0:
            self._at = self._calm_since = now
        self._burst = self._limit * (CALM_BURST if now - self._calm_since > CALM_AFTER else BURST)
        self._level = min(self._burst, self._level + (now - self._at) * self.rate / SECOND)
        self._at = now
        return self._level

    def room(self, now: int) -> int:
        """Changes that may be asked for now."""
        return max(0, int(self._now(now)))

    def wait(self, now: int, changes: int) -> int:
        """How long until so many may be asked for."""
        missing = min(changes, self._burst) - self._now(now)
        return round(missing / self.rate * SECOND) + 1 if missing > 0 else 0

    def spare(self, now: int, changes: int) -> bool:
        """There is enough for so many of work of the lowest priority beside the others'."""
        # Where few changes fit in a burst at all, one submission's worth is what is left to the others: of 4.5 the
        # share above left less than it took, so that such work was taken only by a node that had been calm for long.
        level = self._now(now)
        return level - changes >= min(self._burst * IDLE, self._burst - changes - self._burst * NEARLY)

    def asked(self, now: int, changes: int) -> None:
        self._now(now)
        self._level -= changes

    def wanting(self, now: int) -> None:
        """More is asked for than goes: go up, unless just refused."""
        passed = min(now - self._risen_at, SECOND)
        self._risen_at = now
        if now - self._refused_at > SECOND:
            self.rate = min(self._most, self.rate + self._rise * passed / SECOND)

    def refused(self, now: int) -> None:
        """Above the limit: back to its part."""
        self._refused_at = self._calm_since = now
        if self._later < self._limit:
            self._set_limit(self._later)
            self._level = min(self._level, self._burst)
        self.rate = self._part

    def short(self, now: int) -> bool:
        """Refused a moment ago."""
        return now - self._refused_at < SECOND

    def book(self, now: int, changes: int) -> int:
        """Whole seconds until there is room for one more that was sent away."""
        self._booked_until = max(self._booked_until, now) + round(changes / self.rate * SECOND)
        most = now + LONGEST_S * SECOND
        if self._booked_until > most:
            self._booked_until = now + SECOND  # more than that: from the front again
        return max(1, -((now - self._booked_until) // SECOND))
