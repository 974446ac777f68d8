"""When the next planning pass is worth its cost though no event asked for one."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Wakeup:
    """The earliest time that a pass noted; events that change anything set `planning_needed` instead."""

    at: int = 0  # steady

    def reset(self, at: int) -> None:
        """A pass begins: the next one comes at this time, unless something earlier is noted."""
        self.at = at

    def no_later_than(self, at: int) -> None:
        """From this time on a pass may find what no event tells of."""
        self.at = min(self.at, at)
