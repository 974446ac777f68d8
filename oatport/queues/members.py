"""Which gateway owns which part of the outbox. Pure.

Each gateway has a key on a lease of its own; parts are shared by rendezvous hashing, so that one that comes or goes
moves only its own share. A part's key hangs on its owner's lease too: it goes when that ends, and its version is the
fencing token that all writes of the owner to the part's rows are conditioned on.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from oatport.queues.identity import PARTS


def owner(part: int, members: Iterable[str]) -> str | None:
    """The gateway whose part it is to be."""
    return max(
        members, key=lambda name: hashlib.blake2b(f"{part}/{name}".encode(), digest_size=8).digest(), default=None
    )


def parts_for(name: str, members: Iterable[str]) -> set[int]:
    """The parts that a gateway is to own."""
    all_members = sorted(set(members))
    return {part for part in range(PARTS) if owner(part, all_members) == name}
