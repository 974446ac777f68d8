"""The price feed's format, version 1: the body of the response to a GET of its address, as JSON or CBOR.

    {"v": 1, "zone": "tallinn", "at": 1790000000, "intervals":
      [{"start": 1790002800, "len": 3600, "price": 84.2, "co2": 310.0}, ...]}

`at`: when the series was made; `start`: the time of day in UTC; `len`: the length (all in seconds); `price`: per unit
of work; `co2`: grams per kWh, may be omitted. Unknown fields are ignored. docs/windows.md has the full description.
"""

from __future__ import annotations

import json
import math
from typing import Any

import msgspec

from oatport import wire
from oatport.times import SECOND
from oatport.windows.prices import Interval, InvalidPriceSeriesError

MAX_BODY_BYTES = 256 * 1024
JSON_TYPE = "application/json"
VERSION = 1
MAX_TIME_S = 1e11  # upper bound of `at` and `start`
MAX_LENGTH_S = 1e9  # upper bound of `len`


class IntervalRow(msgspec.Struct, frozen=True):
    """Holds one interval of the feed, with times in seconds."""

    start: float
    length: float = msgspec.field(name="len")
    price: float
    co2: float | None = None


class PriceSeries(msgspec.Struct, frozen=True):
    """Holds the body of the feed's response."""

    v: int
    zone: str
    at: float
    intervals: list[IntervalRow]


def decode_series(body: bytes, content_type: str, zone: str) -> tuple[list[Interval], int]:
    """Returns the intervals, checked for format and time ranges only, and when the series was made.

    Raises InvalidPriceSeriesError.
    """
    if len(body) > MAX_BODY_BYTES:
        raise InvalidPriceSeriesError(f"body of {len(body)} bytes, at most {MAX_BODY_BYTES}")
    try:
        # The standard library's parser accepts NaN, so that a NaN is reported as such and not as malformed JSON.
        raw: Any = json.loads(body) if content_type.startswith(JSON_TYPE) else wire.decode(body)
        series = msgspec.convert(raw, PriceSeries, strict=True)
    except (ValueError, RecursionError, wire.InvalidMessageError, msgspec.ValidationError) as error:
        raise InvalidPriceSeriesError(f"not a price series: {str(error).splitlines()[0][:120]}") from error
    if series.v != VERSION:
        raise InvalidPriceSeriesError(f"version {series.v}, expected {VERSION}")
    if series.zone != zone:
        raise InvalidPriceSeriesError(f"zone {series.zone[:40]!r}, expected {zone!r}")
    _check_times(series)
    intervals = [
        Interval(round(row.start * SECOND), round((row.start + row.length) * SECOND), row.price, row.co2)
        for row in series.intervals
    ]
    return intervals, round(series.at * SECOND)


def _check_times(series: PriceSeries) -> None:
    for row in series.intervals:
        if not (math.isfinite(row.start) and math.isfinite(row.length) and 0 <= row.start < MAX_TIME_S):
            raise InvalidPriceSeriesError(f"interval at {row.start}, length {row.length}: not a usable number")
        if not 0 < row.length < MAX_LENGTH_S:
            raise InvalidPriceSeriesError(f"interval at {row.start}: length {row.length} is out of range")
    if not math.isfinite(series.at) or not 0 <= series.at < MAX_TIME_S:
        raise InvalidPriceSeriesError(f"at: {series.at} is not a usable number")


def encode_series(intervals: list[Interval], zone: str, made_at: int) -> dict[str, Any]:
    """Returns the body of the feed's response for these intervals, to be encoded as JSON or CBOR."""
    return {
        "v": VERSION,
        "zone": zone,
        "at": made_at / SECOND,
        "intervals": [
            {"start": row.start / SECOND, "len": (row.end - row.start) / SECOND, "price": row.price}
            | ({"co2": row.co2} if row.co2 is not None else {})
            for row in intervals
        ],
    }
