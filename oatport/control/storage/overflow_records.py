"""Long lists of a job's description, laid over records of their own where a value can't hold them (`more/JOB/0000`...).

They are written ahead, on the condition that the job was not accepted yet, and count only with its acceptance: the
record under `jobs/` tells how many there are.
"""

from __future__ import annotations

from typing import Any

from oatport import wire
from oatport.control.storage.record_layout import HEAD_FRAME
from oatport.sizes import json_size

LONG_LISTS = (wire.DEPENDENCIES_FIELD, wire.MACHINE_TYPES_FIELD)


def is_accepted_as_blocked(record: Any) -> bool:
    """Is it accepted under `waits/` instead of `live/`?

    It names others, or an earlier version, which knows no `more`, would read it without its lists.
    """
    return wire.DEPENDENCIES_FIELD in record["job"] or "more" in record


def merge_overflow(value: Any, parts: list[Any]) -> Any:
    """The record of a job with the lists that lie in records of their own (`more/`), in order."""
    lists: dict[str, list[Any]] = {}
    for part in parts:
        for name, rows in part.items():
            lists.setdefault(name, []).extend(rows)
    return {**value, "job": {**value["job"], **lists}}


def split_overflow(value: Any, limit: int) -> tuple[Any, list[Any]]:
    """The record of a job without the lists that make it larger than `limit` (bytes as JSON), and these in parts.

    `more` in the record then tells how many parts there are, and of which lists.
    """
    available_bytes = limit - HEAD_FRAME - 64
    names = [name for name in LONG_LISTS if value["job"].get(name)]
    if json_size(value) <= available_bytes or not names:
        return value, []
    parts: list[Any] = []
    for name in names:
        for row in value["job"][name]:
            last = parts[-1].get(name) if parts else None
            if last is not None and json_size(parts[-1]) + json_size(row) + 1 <= limit - 64:
                last.append(row)
            else:
                parts.append({name: [row]})
    description = {k: v for k, v in value["job"].items() if k not in names}
    return {**value, "job": description, "more": [len(parts), names]}, parts
