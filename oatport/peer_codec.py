"""What all messages between controller nodes have in common: tagged arrays, encoded and taken apart.

The messages themselves are in `oatport.peer_messages`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Self, TypeVar

import msgspec

from oatport.errors import OatportError

PeerArray = list[Any]  # a message as it is on the wire: the tag, then the fields
ReplyT = TypeVar("ReplyT")

# What a decoder may raise for an array of another form.
DECODE_ERRORS = (ValueError, TypeError, KeyError, IndexError, AttributeError)


class MalformedReplyError(OatportError, ValueError):
    """A peer answered, in a form that is none of those expected.

    `tag` is the first element of its reply.
    """

    def __init__(self, tag: Any, reason: str) -> None:
        super().__init__(f"reply {str(tag)[:40]!r}: {reason}")
        self.tag = tag


class PeerMessage(msgspec.Struct, array_like=True, frozen=True):
    """A message to or from another node."""

    def encode(self) -> PeerArray:
        """The array that goes over the wire."""
        array: PeerArray = msgspec.to_builtins(self)
        return array

    @classmethod
    def tag(cls) -> str:
        """The first element of the array."""
        return str(cls.__struct_config__.tag)

    @classmethod
    def decode(cls, message: PeerArray) -> Self:
        """Take an array with this class's tag apart; the default is for messages without fields."""
        return cls()

    @classmethod
    def decode_reply(cls, reply: PeerArray) -> Self:
        """Take a reply apart that must have this class's tag."""
        if reply[0] != cls.tag():
            raise ValueError(f"not {cls.tag()!r}")
        return cls.decode(reply)

    @classmethod
    def decode_if_known(cls, reply: PeerArray) -> Self | None:
        """Take a reply apart; None if it has another tag, as from a node that does not know."""
        return cls.decode(reply) if reply[0] == cls.tag() else None


def decode_reply(reply: PeerArray, decode: Callable[[PeerArray], ReplyT]) -> ReplyT:
    """Decode a reply. Raises MalformedReplyError."""
    try:
        return decode(reply)
    except DECODE_ERRORS as error:
        raise MalformedReplyError(reply[0] if reply else None, f"{type(error).__name__} {error}") from error


def ignore_reply(reply: PeerArray) -> None:
    """Decoder for requests whose reply says nothing beyond that they arrived."""
