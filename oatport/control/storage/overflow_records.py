"""Overflow records (`more/JOB/0000`...): long lists of a job's description that don't fit into one value.

Overflow records are written before the job, on the condition that the job is not accepted yet, and become valid only
with its acceptance: the record under `jobs/` holds their number.
"""

from __future__ import annotations

from typing import Any

from oatport import wire
from oatport.control.storage.record_layout import HEAD_RECORD_OVERHEAD_BYTES
from oatport.sizes import json_size

SPLITTABLE_FIELDS = (wire.DEPENDENCIES_FIELD, wire.MACHINE_TYPES_FIELD)


def is_accepted_as_blocked(record: Any) -> bool:
    """Returns whether a job is accepted under `waits/` instead of `live/`.

    That is so if the job has dependencies, or overflow records: an earlier version does not support `more` and would
    read the job without its lists.
    """
    return wire.DEPENDENCIES_FIELD in record["job"] or "more" in record


def merge_overflow(value: Any, parts: list[Any]) -> Any:
    """Returns the record of a job with the lists of its overflow records (`more/`), given in order, merged in."""
    lists: dict[str, list[Any]] = {}
    for part in parts:
        for name, rows in part.items():
            lists.setdefault(name, []).extend(rows)
    return {**value, "job": {**value["job"], **lists}}


def split_overflow(value: Any, limit: int) -> tuple[Any, list[Any]]:
    """Splits the lists that make a job's record larger than `limit` (bytes as JSON) off into overflow records.

    Returns the record without the lists and the overflow records. The field `more` of the record then holds the number
    of overflow records and the names of the lists.
    """
    available_bytes = limit - HEAD_RECORD_OVERHEAD_BYTES - 64
    names = [name for name in SPLITTABLE_FIELDS if value["job"].get(name)]
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
