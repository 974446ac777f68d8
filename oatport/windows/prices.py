"""Price series: what a feed says, how far it is believed, and what a moment costs.

Pure. Times are whole microseconds of the time of day (UTC, so that no clock change moves an hour); prices are per unit
of work in whatever currency the feed has, carbon in grams of CO2 per kWh. A series is day-ahead: of hours to come.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from oatport.errors import OatportError
from oatport.times import SECOND

INTERVALS_MOST = 2_000
LENGTH_MOST = 2 * 86_400 * SECOND
PRICE_MOST = 1e6
AHEAD_MOST = 300 * SECOND  # a series from the future: one of the two clocks is wrong
OUTLIER = 5.0  # times the middle price: what lies beyond counts no more, or one lie would move the whole night


class InvalidPriceSeriesError(OatportError, ValueError):
    """A series that can't be used; the text is one line that says why."""


@dataclass(frozen=True, slots=True)
class Interval:
    start: int
    end: int
    price: float
    co2: float | None = None
    read_at: int = 0  # when it was last said


def check(intervals: Iterable[Interval], made_at: int, now: int) -> list[Interval]:
    """The intervals in order. Raises BadSeries: overlaps, lengths, numbers that are none, a series from the future.

    Negative prices are legal, and so are gaps: there nothing is known.
    """
    if made_at > now + AHEAD_MOST:
        raise InvalidPriceSeriesError(f"made {(made_at - now) // SECOND} s in the future")
    rows = sorted(intervals, key=lambda interval: interval.start)
    if not rows:
        raise InvalidPriceSeriesError("no intervals")
    if len(rows) > INTERVALS_MOST:
        raise InvalidPriceSeriesError(f"{len(rows)} intervals, at most {INTERVALS_MOST}")
    for row in rows:
        if not 0 < row.end - row.start <= LENGTH_MOST:
            raise InvalidPriceSeriesError(f"interval at {row.start // SECOND}: length out of range")
        for name, value in (("price", row.price), ("co2", row.co2)):
            if value is not None and not (math.isfinite(value) and abs(value) <= PRICE_MOST):
                raise InvalidPriceSeriesError(f"interval at {row.start // SECOND}: {name} is not a usable number")
    for before, after in pairwise(rows):
        if after.start < before.end:
            raise InvalidPriceSeriesError(f"intervals at {before.start // SECOND} and {after.start // SECOND} overlap")
    return rows


@dataclass(slots=True)
class Book:
    """The last that is known of each hour, and how far it counts.

    A new series replaces what it tells of; hours of which it says nothing keep what was said before (a series
    that shrinks takes nothing away), with their own age.
    """

    fresh_us: int  # up to this age what was said counts in full
    dead_us: int  # from this age on it counts for nothing
    rows: list[Interval] = field(default_factory=list)
    read_at: int = 0  # when a good series was last read; 0: never
    version: int = 0
    problem: str = ""  # why the last one was refused
    # The middle price and carbon, what costs are multiples of. Kept until it moves by more than a fifth: scaled anew
    # with each hour that goes by, every hour's cost would change, and all held work be planned anew.
    _middles: tuple[float, float] = (0.0, 0.0)

    def __post_init__(self) -> None:
        if not 0 <= self.fresh_us < self.dead_us:
            raise ValueError("fresh_us must be below dead_us")

    def learn(self, intervals: Iterable[Interval], made_at: int, now: int) -> bool:
        """Take a series in; True if any hour to come costs something else now. Raises BadSeries."""
        fresh = [Interval(row.start, row.end, row.price, row.co2, now) for row in check(intervals, made_at, now)]
        kept: list[Interval] = []
        for old in self.rows:
            if old.end > now - self.dead_us:
                kept += _without(old, fresh)
        rows = sorted(kept + fresh, key=lambda row: row.start)
        changed = [_terms(r) for r in rows if r.end > now] != [_terms(r) for r in self.rows if r.end > now]
        self.rows, self.read_at, self.problem = rows[-2 * INTERVALS_MOST :], now, ""
        self.version += changed
        self._rescale()
        return changed

    def _rescale(self) -> None:
        now = (
            _middle([row.price for row in self.rows]),
            _middle([row.co2 for row in self.rows if row.co2 is not None]),
        )
        if any(abs(new - old) > 0.2 * abs(old) for new, old in zip(now, self._middles, strict=True)):
            self._middles = now

    def weight(self, row: Interval, now: int) -> float:
        """How far an interval counts: 1 fresh, then less by its age, 0 dead."""
        age = now - row.read_at
        if age <= self.fresh_us:
            return 1.0
        return max(0.0, 1.0 - (age - self.fresh_us) / (self.dead_us - self.fresh_us))

    def age(self, now: int) -> int | None:
        """How long ago a good series was last read (us); None: never."""
        return now - self.read_at if self.read_at else None

    def slots(
        self, first: int, count: int, step: int, now: int, price_weight: float, carbon_weight: float
    ) -> list[float]:
        """What a unit of work costs in each of `count` slots of `step` from slot number `first` on.

        In multiples of the middle price (and of the middle carbon): 1 is ordinary, and what nothing is known of,
        or too long ago, is ordinary too, so that it is no reason to wait.
        """
        total = price_weight + carbon_weight
        plain = [1.0] * count
        rows = [row for row in self.rows if row.end > first * step and row.start < (first + count) * step]
        if not rows or total <= 0:
            return plain
        values: list[float] = []
        for row in rows:
            price = _scaled(row.price, self._middles[0])
            carbon = 1.0 if row.co2 is None else _scaled(row.co2, self._middles[1])
            value = (price_weight * price + carbon_weight * carbon) / total
            values.append(1.0 + self.weight(row, now) * (value - 1.0))
        starts = [row.start for row in rows]
        for number in range(count):
            low, high = (first + number) * step, (first + number + 1) * step
            known = cost = 0.0
            place = max(bisect.bisect_right(starts, low) - 1, 0)
            while place < len(rows) and rows[place].start < high:
                part = min(rows[place].end, high) - max(rows[place].start, low)
                if part > 0:
                    known += part
                    cost += part * values[place]
                place += 1
            plain[number] = (cost + (step - known)) / step
        return plain

    # --- kept in the state service --------------------------------------------------------------

    def record(self, now: int, most: int = 240) -> dict[str, Any]:
        """What a new leader goes on from: the hours to come, as last said."""
        rows = [row for row in self.rows if row.end > now][:most]
        return {"read": self.read_at, "rows": [[r.start, r.end, r.price, r.co2, r.read_at] for r in rows]}

    def load(self, value: Any, now: int) -> None:
        """Take a record back; a strange one is as good as none."""
        try:
            rows = [
                Interval(int(s), int(e), float(p), None if c is None else float(c), min(int(r), now))
                for s, e, p, c, r in value["rows"]
            ]
            self.rows = check(rows, 0, now) if rows else []
            self.read_at = min(int(value["read"]), now)
            self.version += 1
            self._rescale()
        except (InvalidPriceSeriesError, KeyError, TypeError, ValueError):
            self.rows, self.read_at = [], 0


def _terms(row: Interval) -> tuple[int, int, float, float | None]:
    return row.start, row.end, row.price, row.co2


def _without(old: Interval, fresh: list[Interval]) -> list[Interval]:
    """The parts of an interval that none of the new ones tells of."""
    left = [(old.start, old.end)]
    for row in fresh:
        if row.end <= old.start or row.start >= old.end:
            continue
        left = [
            part
            for low, high in left
            for part in ((low, min(high, row.start)), (max(low, row.end), high))
            if part[0] < part[1]
        ]
    return [Interval(low, high, old.price, old.co2, old.read_at) for low, high in left]


def _middle(values: list[float]) -> float:
    return sorted(abs(value) for value in values)[len(values) // 2] if values else 0.0


def _scaled(value: float, middle: float) -> float:
    """In multiples of the middle, outliers cut. Where most hours are free, one that is not is as dear as can be."""
    if middle <= 0:
        return 1.0 if value == 0 else max(-OUTLIER, min(1.0 + value, OUTLIER))
    return max(-OUTLIER, min(value / middle, OUTLIER))
