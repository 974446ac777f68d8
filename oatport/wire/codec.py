"""Encodes and decodes the CBOR bodies of all interfaces; a body holds one value."""

from __future__ import annotations

import io
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NoReturn

import cbor2

from oatport.errors import OatportError

MAX_BODY_BYTES = 64 * 1024  # of a request that oatport reads
CBOR_CONTENT_TYPE = "application/cbor"


class InvalidMessageError(OatportError, ValueError):
    """A message is malformed; the sender gets 400 with the error's text."""


def _refuse_tag(*_: Any) -> NoReturn:
    raise InvalidMessageError("a semantic tag")


class _RefusedTags(Mapping[int, Callable[..., NoReturn]]):
    """Maps each semantic tag of CBOR to a decoder that refuses it.

    The protocol has none, and decoding some of them costs much: a text with tag 35 is compiled as a regular expression.
    """

    def __getitem__(self, tag: int) -> Callable[..., NoReturn]:
        return _refuse_tag

    def __iter__(self) -> Iterator[int]:
        return iter(())

    def __len__(self) -> int:
        return 0


_REFUSED_TAGS = _RefusedTags()


def encode(value: Any) -> bytes:
    """Returns the value encoded as CBOR."""
    return cbor2.dumps(value)


def decode(body: bytes) -> Any:
    """Returns the single CBOR value of a body. Raises InvalidMessageError."""
    try:
        stream = io.BytesIO(body)
        value = cbor2.CBORDecoder(stream, semantic_decoders=_REFUSED_TAGS).decode()
        # Trailing bytes mean that the body is not one value.
        if stream.read(1):
            raise InvalidMessageError("more than one value")
        return value
    except InvalidMessageError:
        raise
    except Exception as error:  # any exception of the decoder means that the sender's bytes are invalid
        raise InvalidMessageError(f"not CBOR: {type(error).__name__}") from error
