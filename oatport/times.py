"""Times are whole microseconds of the steady clock everywhere in the code, unless a name says otherwise.

Names that end in `_s` are seconds, as the wire, settings and libraries have them; `_wall` is the time of day.
"""

import time
from contextvars import ContextVar
from typing import Protocol

MS = 1_000
SECOND = 1_000_000

# Steady clocks drift by up to 0.05 % against one another (PROTOCOL, first part); bounds that
# must hold on two machines at once are widened by this much.
DRIFT_PER_MILLION = 1_000


def micros(seconds: float) -> int:
    """Seconds from the wire or a settings file, as microseconds."""
    return round(seconds * SECOND)


def seconds(us: int) -> float:
    """Microseconds as seconds, for the wire, libraries and logs."""
    return us / SECOND


def shortened_by_drift(us: int) -> int:
    """A bound shortened so that it holds by every machine's steady clock."""
    return us - us * DRIFT_PER_MILLION // SECOND


class Clock(Protocol):
    """The two clocks of one machine."""

    def steady(self) -> int:
        """Microseconds from an arbitrary start; never set back."""

    def time_of_day(self) -> int:
        """Microseconds since 1970, by the machine's clock."""


# The machine's own clocks, unless whoever started the node set others: in the simulation each node has its own.
CLOCK: ContextVar[Clock | None] = ContextVar("clock", default=None)


def steady() -> int:
    """The steady clock."""
    clock = CLOCK.get()
    return time.monotonic_ns() // 1_000 if clock is None else clock.steady()


def time_of_day() -> int:
    """The time of day; only for what has to mean the same on another node."""
    clock = CLOCK.get()
    return time.time_ns() // 1_000 if clock is None else clock.time_of_day()
