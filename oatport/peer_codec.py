"""Encoding and decoding of the tagged arrays that controller nodes exchange.

`oatport.peer_messages` defines the messages.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Self, TypeVar

import msgspec

from oatport.errors import OatportError

PeerArray = list[Any]  # a message in its wire form: the tag, then the fields
ReplyT = TypeVar("ReplyT")

# The exceptions that a decoder may raise for a malformed array.
DECODE_ERRORS = (ValueError, TypeError, KeyError, IndexError, AttributeError)


class MalformedReplyError(OatportError, ValueError):
    """A peer's reply has none of the expected forms; `tag` is the reply's first element."""

    def __init__(self, tag: Any, reason: str) -> None:
        super().__init__(f"reply {str(tag)[:40]!r}: {reason}")
        self.tag = tag


class PeerMessage(msgspec.Struct, array_like=True, frozen=True):
    """A message to or from another node."""

    def encode(self) -> PeerArray:
        """Returns the array to send."""
        array: PeerArray = msgspec.to_builtins(self)
        return array

    @classmethod
    def tag(cls) -> str:
        """Returns the message type's tag, the first element of the array."""
        return str(cls.__struct_config__.tag)

    @classmethod
    def decode(cls, message: PeerArray) -> Self:
        """Parses an array with this class's tag; the default is for messages without fields."""
        return cls()

    @classmethod
    def decode_reply(cls, reply: PeerArray) -> Self:
        """Parses a reply. Raises ValueError if the reply doesn't have this class's tag."""
        if reply[0] != cls.tag():
            raise ValueError(f"not {cls.tag()!r}")
        return cls.decode(reply)

    @classmethod
    def decode_if_known(cls, reply: PeerArray) -> Self | None:
        """Parses a reply; returns None if it has another tag, as from a node that doesn't have the information."""
        return cls.decode(reply) if reply[0] == cls.tag() else None


def decode_reply(reply: PeerArray, decode: Callable[[PeerArray], ReplyT]) -> ReplyT:
    """Returns a decoded reply. Raises MalformedReplyError if `decode` fails."""
    try:
        return decode(reply)
    except DECODE_ERRORS as error:
        raise MalformedReplyError(reply[0] if reply else None, f"{type(error).__name__} {error}") from error


def ignore_reply(reply: PeerArray) -> None:
    """Accepts any reply; the decoder for requests whose reply only confirms that they arrived."""
