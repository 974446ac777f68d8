"""What the teams' running tasks take, counted on the machines, and how long each team is at its limits."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from oatport.settings import Team

EPSILON = 1e-6
NEAR_LIMIT = 0.9  # of its limit: a team that takes so much has no capacity left for most of its tasks


@dataclass
class Usage:
    """Resources in use."""

    cpus: float = 0.0
    gpus: float = 0.0


class TeamUsage:
    """Usage of each team by all its tasks that are on machines. A limit of 0 is none."""

    def __init__(self, teams: list[Team]) -> None:
        self._teams = {team.name: team for team in teams}
        self._usage = {team.name: Usage() for team in teams}
        self._samples = 0
        self._samples_at_limit: Counter[str] = Counter()

    def of(self, team: str) -> Usage:
        """What a team uses now."""
        return self._usage[team]

    def add(self, body: dict[str, Any]) -> None:
        """A task of this job came onto a machine."""
        usage = self._usage[str(body["crew"])]
        usage.cpus += float(body["cores"])
        usage.gpus += float(body["accelerators"])

    def remove(self, body: dict[str, Any]) -> None:
        """A task of this job left a machine."""
        usage = self._usage[str(body["crew"])]
        usage.cpus -= float(body["cores"])
        usage.gpus -= float(body["accelerators"])

    def is_over_limit(self, team: str) -> bool:
        """A team uses more than it may."""
        limits, usage = self._teams[team], self._usage[team]
        return (limits.cpus_max > 0 and usage.cpus > limits.cpus_max + EPSILON) or (
            limits.gpus_max > 0 and usage.gpus > limits.gpus_max + EPSILON
        )

    def has_cpus_left(self, team: str, cpus: float) -> bool:
        """A task of so many CPUs fits into what the team may still use."""
        limits = self._teams[team]
        return limits.cpus_max <= 0 or self._usage[team].cpus + cpus <= limits.cpus_max

    def sample(self) -> None:
        """Note which teams are at their limits now: to be called at equal intervals."""
        self._samples += 1
        for name, limits in self._teams.items():
            usage = self._usage[name]
            self._samples_at_limit[name] += (limits.cpus_max > 0 and usage.cpus >= NEAR_LIMIT * limits.cpus_max) or (
                limits.gpus_max > 0 and usage.gpus >= NEAR_LIMIT * limits.gpus_max
            )

    def share_at_limit(self) -> dict[str, float]:
        """For each team the share of the time in which it was at its limit."""
        return {name: self._samples_at_limit[name] / max(1, self._samples) for name in self._teams}
