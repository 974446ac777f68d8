"""Measures the size of values as the state service counts it."""

from __future__ import annotations

import json
from typing import Any


def json_size(value: Any) -> int:
    """Returns the size of a value in bytes, encoded as JSON (PROTOCOL: bodies are CBOR, limits apply to JSON sizes)."""
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())
