"""The fencing tokens that a leader may use: that of its term, and higher ones for single machines.

A worker sends a heartbeat soon after it receives a higher token (PROTOCOL, "Workers -> controller nodes"), so a leader
raises the token of a single machine to request its heartbeat.

The token of a term is the revision of the leader key. A commit of the leader is conditional on that revision, so each
revision at which such a commit was applied is lower than the token of every later leader. A leader may therefore use
all tokens from that of its term up to the revision of its newest commit.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FencingTokens:
    """Holds the range of tokens of one leader's term."""

    term: int  # revision of the leader key
    highest: int = 0  # newest revision at which the leader key is known to have been this leader's

    def __post_init__(self) -> None:
        self.highest = max(self.highest, self.term)

    def on_committed(self, revision: int) -> None:
        """Records the revision of an applied commit that was conditional on the leader key."""
        self.highest = max(self.highest, revision)

    def includes(self, token: int) -> bool:
        """Returns whether a token is of this term: no earlier or later leader has it."""
        return self.term <= token <= self.highest

    def is_superseded_by(self, token: int) -> bool:
        """Returns whether a token is of a later leader."""
        return token > self.highest
