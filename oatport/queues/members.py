"""The assignment of the outbox's parts to gateways. The module does no I/O.

Each gateway has a member key under its own lease. Parts are assigned by rendezvous hashing, so that a gateway that
joins or leaves moves only its own share. A part's key is under its owner's lease too and is deleted when that lease
ends; the version of the key is the fencing token on which all writes of the owner to the part's rows are conditioned.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from oatport.queues.identity import PART_COUNT


def choose_owner(part: int, members: Iterable[str]) -> str | None:
    """Returns the gateway that the part is assigned to; None without members."""
    return max(
        members, key=lambda name: hashlib.blake2b(f"{part}/{name}".encode(), digest_size=8).digest(), default=None
    )


def parts_for(name: str, members: Iterable[str]) -> set[int]:
    """Returns the parts that are assigned to a gateway."""
    all_members = sorted(set(members))
    return {part for part in range(PART_COUNT) if choose_owner(part, all_members) == name}
