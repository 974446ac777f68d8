"""Times are whole microseconds everywhere in the code; only the edges speak seconds."""

import time

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


def with_drift(us: int) -> int:
    """A bound shortened so that it holds by every machine's steady clock."""
    return us - us * DRIFT_PER_MILLION // SECOND


def steady() -> int:
    """The steady clock."""
    return time.monotonic_ns() // 1_000


def time_of_day() -> int:
    """The time of day; only for what has to mean the same on another node."""
    return time.time_ns() // 1_000
