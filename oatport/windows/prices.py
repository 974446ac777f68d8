"""Price series: validation, the weight of aging prices, and the cost of each time slot.

The code does no I/O and reads no clock. Times are whole microseconds of the time of day, in UTC, so that daylight
saving changes move no hour. Prices are per unit of work in the feed's currency, carbon is in grams of CO2 per kWh.
A series is day-ahead: it covers hours to come.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from oatport.errors import OatportError
from oatport.sizes import json_size
from oatport.times import SECOND

MAX_INTERVALS = 2_000
MAX_RECORDED_INTERVALS = 240
MAX_INTERVAL_LENGTH = 2 * 86_400 * SECOND
MAX_PRICE = 1e6
MAX_CLOCK_SKEW = 300 * SECOND  # a series made later than this means that one of the two clocks is wrong
MAX_RELATIVE_COST = 5.0  # in multiples of the median; uncapped, one wrong price would shift the whole night's plans


class InvalidPriceSeriesError(OatportError, ValueError):
    """Raised for an unusable price series; the message gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class Interval:
    """Holds the price and, if known, the carbon intensity of an interval of time."""

    start: int
    end: int
    price: float
    co2: float | None = None
    read_at: int = 0  # when the feed last reported it


def validate_intervals(intervals: Iterable[Interval], made_at: int, now: int) -> list[Interval]:
    """Returns the intervals in order of time.

    Negative prices are legal, and so are gaps, in which the price is unknown. Raises InvalidPriceSeriesError for an
    empty or too long series, overlaps, lengths or numbers out of range, and a series made in the future.
    """
    if made_at > now + MAX_CLOCK_SKEW:
        raise InvalidPriceSeriesError(f"made {(made_at - now) // SECOND} s in the future")
    rows = sorted(intervals, key=lambda interval: interval.start)
    if not rows:
        raise InvalidPriceSeriesError("no intervals")
    if len(rows) > MAX_INTERVALS:
        raise InvalidPriceSeriesError(f"{len(rows)} intervals, at most {MAX_INTERVALS}")
    for row in rows:
        if not 0 < row.end - row.start <= MAX_INTERVAL_LENGTH:
            raise InvalidPriceSeriesError(f"interval at {row.start // SECOND}: length out of range")
        for name, value in (("price", row.price), ("co2", row.co2)):
            if value is not None and not (math.isfinite(value) and abs(value) <= MAX_PRICE):
                raise InvalidPriceSeriesError(f"interval at {row.start // SECOND}: {name} is not a usable number")
    for earlier, later in pairwise(rows):
        if later.start < earlier.end:
            raise InvalidPriceSeriesError(f"intervals at {earlier.start // SECOND} and {later.start // SECOND} overlap")
    return rows


@dataclass(slots=True)
class PriceBook:
    """Holds the last known price of each hour; the weight of a price falls with its age.

    A new series replaces the hours that it covers. Other hours keep their last price and its age, so that a shorter
    series removes nothing.
    """

    fresh_us: int  # up to this age a price has full weight
    dead_us: int  # from this age on a price has no weight
    rows: list[Interval] = field(default_factory=list)
    read_at: int = 0  # when a valid series was last read; 0 if never
    version: int = 0
    last_error: str = ""  # why the last fetch failed or its series was rejected; empty if it succeeded
    # The median price and carbon, the units of relative costs. They change only when a median moves by more than a
    # fifth: rescaling with each passing hour would change every slot's cost and replan all deferred jobs.
    _medians: tuple[float, float] = (0.0, 0.0)

    def __post_init__(self) -> None:
        if not 0 <= self.fresh_us < self.dead_us:
            raise ValueError(f"expected 0 <= fresh_us < dead_us, got {self.fresh_us} and {self.dead_us}")

    def add_series(self, intervals: Iterable[Interval], made_at: int, now: int) -> bool:
        """Merges a series; returns whether the price of any coming hour changed. Raises InvalidPriceSeriesError."""
        added = [
            Interval(row.start, row.end, row.price, row.co2, now) for row in validate_intervals(intervals, made_at, now)
        ]
        remaining: list[Interval] = []
        for old in self.rows:
            if old.end > now - self.dead_us:
                remaining += _subtract(old, added)
        rows = sorted(remaining + added, key=lambda row: row.start)
        changed = [_price_terms(r) for r in rows if r.end > now] != [_price_terms(r) for r in self.rows if r.end > now]
        self.rows, self.read_at, self.last_error = rows[-2 * MAX_INTERVALS :], now, ""
        self.version += changed
        self._rescale()
        return changed

    def _rescale(self) -> None:
        medians = (
            _median_magnitude([row.price for row in self.rows]),
            _median_magnitude([row.co2 for row in self.rows if row.co2 is not None]),
        )
        if any(abs(new - old) > 0.2 * abs(old) for new, old in zip(medians, self._medians, strict=True)):
            self._medians = medians

    def weight(self, row: Interval, now: int) -> float:
        """Returns an interval's weight: 1 up to the age `fresh_us`, then falling linearly to 0 at `dead_us`."""
        age = now - row.read_at
        if age <= self.fresh_us:
            return 1.0
        return max(0.0, 1.0 - (age - self.fresh_us) / (self.dead_us - self.fresh_us))

    def age(self, now: int) -> int | None:
        """Returns the time since a valid series was last read, in us; None if none ever was."""
        return now - self.read_at if self.read_at else None

    def slot_costs(
        self, first: int, count: int, step: int, now: int, price_weight: float, carbon_weight: float
    ) -> list[float]:
        """Returns the cost of a unit of work in each of `count` slots of length `step`, from slot number `first` on.

        Costs are in multiples of the median price and carbon; 1 is the ordinary cost. Unknown and outdated prices count
        as ordinary, so that they are no reason to defer a start.
        """
        total = price_weight + carbon_weight
        costs = [1.0] * count
        rows = [row for row in self.rows if row.end > first * step and row.start < (first + count) * step]
        if not rows or total <= 0:
            return costs
        values: list[float] = []
        for row in rows:
            price = _relative_cost(row.price, self._medians[0])
            carbon = 1.0 if row.co2 is None else _relative_cost(row.co2, self._medians[1])
            value = (price_weight * price + carbon_weight * carbon) / total
            values.append(1.0 + self.weight(row, now) * (value - 1.0))
        starts = [row.start for row in rows]
        for number in range(count):
            low, high = (first + number) * step, (first + number + 1) * step
            covered = cost = 0.0
            index = max(bisect.bisect_right(starts, low) - 1, 0)
            while index < len(rows) and rows[index].start < high:
                part = min(rows[index].end, high) - max(rows[index].start, low)
                if part > 0:
                    covered += part
                    cost += part * values[index]
                index += 1
            costs[number] = (cost + (step - covered)) / step
        return costs

    # --- record in the state service --------------------------------------------------------------

    def record(self, now: int, max_bytes: int) -> dict[str, Any]:
        """Returns the record for the next leader: the last known prices of the coming hours, the next ones first.

        It has at most MAX_RECORDED_INTERVALS, and no more than fit into `max_bytes` of JSON.
        """
        coming = [row for row in self.rows if row.end > now][:MAX_RECORDED_INTERVALS]
        value: dict[str, Any] = {"read": self.read_at, "rows": []}
        available_bytes = max_bytes - json_size(value)
        for row in coming:
            terms = [row.start, row.end, row.price, row.co2, row.read_at]
            available_bytes -= json_size(terms) + 1
            if available_bytes < 0:
                break
            value["rows"].append(terms)
        return value

    def load(self, value: Any, now: int) -> None:
        """Restores the prices from a record; an invalid record counts as none."""
        try:
            rows = [
                Interval(int(s), int(e), float(p), None if c is None else float(c), min(int(r), now))
                for s, e, p, c, r in value["rows"]
            ]
            self.rows = validate_intervals(rows, 0, now) if rows else []
            self.read_at = min(int(value["read"]), now)
            self.version += 1
            self._rescale()
        except (InvalidPriceSeriesError, KeyError, TypeError, ValueError):
            self.rows, self.read_at = [], 0


def _price_terms(row: Interval) -> tuple[int, int, float, float | None]:
    """Returns the fields that count as a change of price: all but `read_at`."""
    return row.start, row.end, row.price, row.co2


def _subtract(old: Interval, added: list[Interval]) -> list[Interval]:
    """Returns the parts of an interval that no added interval covers."""
    parts = [(old.start, old.end)]
    for row in added:
        if row.end <= old.start or row.start >= old.end:
            continue
        parts = [
            part
            for low, high in parts
            for part in ((low, min(high, row.start)), (max(low, row.end), high))
            if part[0] < part[1]
        ]
    return [Interval(low, high, old.price, old.co2, old.read_at) for low, high in parts]


def _median_magnitude(values: list[float]) -> float:
    return sorted(abs(value) for value in values)[len(values) // 2] if values else 0.0


def _relative_cost(value: float, median: float) -> float:
    """Returns a value in multiples of the median, capped at MAX_RELATIVE_COST in both directions.

    A median of 0 means that most hours are free: 0 is then the ordinary cost, and a usual price reaches the cap.
    """
    if median <= 0:
        return 1.0 if value == 0 else max(-MAX_RELATIVE_COST, min(1.0 + value, MAX_RELATIVE_COST))
    return max(-MAX_RELATIVE_COST, min(value / median, MAX_RELATIVE_COST))
