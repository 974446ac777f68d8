"""Resource usage of the teams, counted from the tasks on the machines, and the time that each team is at its limits."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from oatport.settings import Team

EPSILON = 1e-6
AT_LIMIT_SHARE = 0.9  # above this share of its limit a team has no capacity for most of its tasks


@dataclass
class Usage:
    """Holds the resources in use."""

    cpus: float = 0.0
    gpus: float = 0.0


class TeamUsage:
    """Holds the usage of each team by all its tasks on machines. A limit of 0 means no limit."""

    def __init__(self, teams: list[Team]) -> None:
        self._teams = {team.name: team for team in teams}
        self._usage = {team.name: Usage() for team in teams}
        self._samples = 0
        self._samples_at_limit: Counter[str] = Counter()

    def of(self, team: str) -> Usage:
        """Returns the current usage of a team."""
        return self._usage[team]

    def add(self, body: dict[str, Any]) -> None:
        """Adds the resources of a task that is on a machine now; `body` is the submission of its job."""
        usage = self._usage[str(body["crew"])]
        usage.cpus += float(body["cores"])
        usage.gpus += float(body["accelerators"])

    def remove(self, body: dict[str, Any]) -> None:
        """Subtracts the resources of a task that has left its machine; `body` is the submission of its job."""
        usage = self._usage[str(body["crew"])]
        usage.cpus -= float(body["cores"])
        usage.gpus -= float(body["accelerators"])

    def is_over_limit(self, team: str) -> bool:
        """Returns whether a team uses more than its limits allow."""
        limits, usage = self._teams[team], self._usage[team]
        return (limits.cpus_max > 0 and usage.cpus > limits.cpus_max + EPSILON) or (
            limits.gpus_max > 0 and usage.gpus > limits.gpus_max + EPSILON
        )

    def has_cpus_left(self, team: str, cpus: float) -> bool:
        """Returns whether a task of `cpus` CPUs fits within the team's limit."""
        limits = self._teams[team]
        return limits.cpus_max <= 0 or self._usage[team].cpus + cpus <= limits.cpus_max

    def sample(self) -> None:
        """Records which teams are at their limits now. Must be called at equal intervals."""
        self._samples += 1
        for name, limits in self._teams.items():
            usage = self._usage[name]
            self._samples_at_limit[name] += (
                limits.cpus_max > 0 and usage.cpus >= AT_LIMIT_SHARE * limits.cpus_max
            ) or (limits.gpus_max > 0 and usage.gpus >= AT_LIMIT_SHARE * limits.gpus_max)

    def share_at_limit(self) -> dict[str, float]:
        """Returns for each team the share of samples in which it was at a limit."""
        return {name: self._samples_at_limit[name] / max(1, self._samples) for name in self._teams}
