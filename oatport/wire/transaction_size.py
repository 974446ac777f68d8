"""Sizes of transactions as the state service counts them (PROTOCOL, POST /commit): in bytes of JSON."""

from __future__ import annotations

from typing import Any

from oatport.sizes import json_size

MAX_TRANSACTION_BYTES = 64 * 1024  # of the whole body of POST /commit
MAX_KEY_BYTES = 200
CONDITIONS_PER_OPERATION = 4  # the limit on conditions, in multiples of the limit on operations
MAX_REVISION = 2**64 - 1  # the largest integer on the wire

_SEPARATOR_BYTES = 1  # the comma after an element of a list

EMPTY_TRANSACTION_BYTES = json_size({"if": [], "then": []})


def set_size(key: str, value: Any) -> int:
    """Returns the bytes by which a transaction grows if it sets a key to a value."""
    return json_size({"set": key, "value": value}) + _SEPARATOR_BYTES


def delete_size(key: str) -> int:
    """Returns the bytes by which a transaction grows if it deletes a key."""
    return json_size({"drop": key}) + _SEPARATOR_BYTES


def condition_size(key: str, revision: int = MAX_REVISION) -> int:
    """Returns the bytes by which a transaction grows for a condition on a key, by default the most for any revision."""
    return json_size({"path": key, "entryRev": revision}) + _SEPARATOR_BYTES


def describe_transaction(conditions: dict[str, int], sets: dict[str, Any], deletes: list[str]) -> str:
    """Returns the figures of a transaction that the state service limits, as `key=value` pairs for the log."""
    value_sizes = {key: json_size(value) for key, value in sets.items()}
    largest_key = max(value_sizes, key=value_sizes.__getitem__, default="")
    size = (
        EMPTY_TRANSACTION_BYTES
        + sum(condition_size(key, revision) for key, revision in conditions.items())
        + sum(set_size(key, value) for key, value in sets.items())
        + sum(delete_size(key) for key in deletes)
    )
    return (
        f"operations={len(sets) + len(deletes)} conditions={len(conditions)} bytes={size} "
        f"largest_key={largest_key} largest_value_bytes={value_sizes.get(largest_key, 0)}"
    )
