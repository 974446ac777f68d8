"""Clocks and time units. Times are whole microseconds of the steady clock unless a name says otherwise.

Names that end in `_s` are in seconds, as on the wire, in settings and in libraries; `_wall` is the time of day.
"""

import time
from contextvars import ContextVar
from typing import Protocol

MS = 1_000
SECOND = 1_000_000

# Steady clocks drift by up to 0.05 % relative to one another (PROTOCOL, first part). Bounds that must hold on two
# machines at once are shortened by this margin.
DRIFT_MARGIN_PPM = 1_000


def micros(seconds: float) -> int:
    """Converts seconds, as on the wire and in settings files, to microseconds."""
    return round(seconds * SECOND)


def seconds(us: int) -> float:
    """Converts microseconds to seconds, for the wire, libraries and logs."""
    return us / SECOND


def shortened_by_drift(us: int) -> int:
    """Returns a time bound shortened by the drift margin, so that it holds on every machine's steady clock."""
    return us - us * DRIFT_MARGIN_PPM // SECOND


class Clock(Protocol):
    """Provides the two clocks of one machine."""

    def steady(self) -> int:
        """Returns microseconds since an arbitrary start; the value never decreases."""

    def time_of_day(self) -> int:
        """Returns microseconds since 1970 by the machine's clock."""


# Replaces the machine's clocks if set: in the simulation each node has its own clocks.
CLOCK: ContextVar[Clock | None] = ContextVar("clock", default=None)


def steady() -> int:
    """Returns the time of the steady clock in microseconds."""
    clock = CLOCK.get()
    return time.monotonic_ns() // 1_000 if clock is None else clock.steady()


def time_of_day() -> int:
    """Returns the time of day in microseconds since 1970; only for values that other nodes have to interpret."""
    clock = CLOCK.get()
    return time.time_ns() // 1_000 if clock is None else clock.time_of_day()
