"""Holds the time at which the next planning pass is due even if no event requests one."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Wakeup:
    """Holds the earliest wakeup time that the last pass requested; events set `planning_needed` instead."""

    at: int = 0  # steady clock

    def reset(self, at: int) -> None:
        """Sets the time of the next pass, when a pass begins; `schedule_by` may bring it forward."""
        self.at = at

    def schedule_by(self, at: int) -> None:
        """Schedules the next pass at `at` or earlier, for a change that depends on time alone and causes no event."""
        self.at = min(self.at, at)
