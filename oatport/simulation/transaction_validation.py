"""The limits of the state service's requests, as PROTOCOL states them: what it refuses as malformed (400)."""

from __future__ import annotations

from typing import Any

from oatport import wire
from oatport.sizes import json_size

MAX_LISTED_ENTRIES = 1_000
MAX_LISTED_BYTES = 512 * 1024  # of one response to GET /store
LEASE_DURATION_MS = range(100, 600_001)
WATCH_WAIT_MS = range(60_001)


def is_valid_key(key: object) -> bool:
    """Returns whether a key is a string of 1 to 200 bytes without spaces."""
    return isinstance(key, str) and 0 < len(key.encode()) <= wire.MAX_KEY_BYTES and " " not in key


def transaction_error(body: dict[str, Any], value_limit: int, operations_limit: int) -> str:
    """Returns why a transaction exceeds a limit, or an empty string. `value_limit`: bytes as JSON."""
    conditions, operations = body.get("if") or [], body.get("then") or []
    keys = [row["path"] for row in conditions] + [op["set"] if "set" in op else op["drop"] for op in operations]
    if not all(is_valid_key(key) for key in keys):
        return "invalid key"
    if len(operations) > operations_limit or len(conditions) > wire.CONDITIONS_PER_OPERATION * operations_limit:
        return "too many"
    if any("set" in op and json_size(op["value"]) > value_limit for op in operations):
        return "value too large"
    return "transaction too large" if json_size(body) > wire.MAX_TRANSACTION_BYTES else ""


def job_id_in(key: str) -> str:
    """Returns the job id in the key of a job's record; an empty string for other keys."""
    _, _, rest = key.partition("/")
    return rest.partition("/")[0]


def rows_within_response(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns the first rows, as many as the bytes of one response allow, and at least one if there is any."""
    size = 0
    for number, row in enumerate(rows):
        size += json_size(row) + 1
        if number and size > MAX_LISTED_BYTES:
            return rows[:number]
    return rows
