"""CBOR bodies: one value each, encoded and decoded in one place for all interfaces."""

from __future__ import annotations

import io
from typing import Any

import cbor2

from oatport.errors import OatportError

MAX_BODY_BYTES = 64 * 1024  # of a request that oatport reads
CBOR_CONTENT_TYPE = "application/cbor"


class InvalidMessageError(OatportError, ValueError):
    """A message that can't be read; the sender gets 400 with this text."""


def encode(value: Any) -> bytes:
    """The value as CBOR."""
    return cbor2.dumps(value)


def decode(body: bytes) -> Any:
    """The one CBOR value of a body, of the kinds that the protocol allows. Raises InvalidMessageError."""
    try:
        stream = io.BytesIO(body)
        value = cbor2.CBORDecoder(stream).decode()
        # Trailing bytes mean that the body is not one value.
        if stream.read(1):
            raise InvalidMessageError("more than one value")
        return value
    except InvalidMessageError:
        raise
    except Exception as error:  # whatever a decoder throws at strange bytes is the sender's doing
        raise InvalidMessageError(f"not CBOR: {type(error).__name__}") from error
