"""Limits on the bodies of requests and responses on the simulated network."""

from __future__ import annotations

from dataclasses import dataclass

from oatport import wire
from oatport.sizes import json_size

# A CBOR body of up to this share of a limit can't exceed the limit as JSON, as no item grows by more than this factor.
MAX_JSON_EXPANSION = 8


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Holds the largest bodies that an address takes and sends, in bytes of JSON; None: unlimited."""

    request: int | None = None
    response: int | None = None


def is_larger(data: bytes, limit: int | None) -> bool:
    """Returns whether an encoded body exceeds a limit, which counts bytes of JSON."""
    if limit is None or len(data) * MAX_JSON_EXPANSION <= limit:
        return False
    return json_size(wire.decode(data)) > limit
