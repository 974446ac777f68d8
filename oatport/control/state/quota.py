"""What teams take of the machines: the one account that placing, preemption, renting and guarantees go by.

| counted for its team | from | until |
| --- | --- | --- |
| a binding, recorded or under way | `TaskLifecycle.begin_binding`: before its start can be sent | it is withdrawn and no start went out, or as below |
| a task on a machine, stopped or not, cancelled or not, of this leader or an earlier one | its binding, or its record at a takeover | a report under the own token or of a later epoch doesn't list it or lists it as exited; its machine is proven gone |
| an orphaned attempt: one that a report shows and no record puts there | that report | a newer report doesn't list it, or its machine is proven gone |

An attempt of a job that isn't known may be of any team: until its job's record is read, no team has any quota left.
"""  # noqa: E501 (a table)

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from oatport import wire
from oatport.control.state.job import PRIORITIES
from oatport.settings import Team


@dataclass(slots=True)
class TeamUsage:
    """What a team's tasks take; those not proven gone count (PROTOCOL, rule `quota`)."""

    limits: Team
    cpus: float = 0.0
    gpus: float = 0.0
    array_tasks_by_priority: list[int] = field(
        default_factory=lambda: [0] * len(PRIORITIES)
    )  # array tasks, by priority

    def remaining_tasks(self, spec: wire.Submission) -> int:
        """How many more tasks of a job the team's limit allows."""
        count = spec.task_count
        if self.limits.cpus_max > 0:
            count = min(count, int((self.limits.cpus_max - self.cpus + 1e-9) // spec.cpus))
        if self.limits.gpus_max > 0 and spec.gpus > 0:
            count = min(count, int((self.limits.gpus_max - self.gpus + 1e-9) // spec.gpus))
        return max(count, 0)

    def exceeds_guarantee(self) -> bool:
        """It takes more than its guarantee."""
        return self.cpus > self.limits.cpus + 1e-9 or self.gpus > self.limits.gpus + 1e-9


class TeamQuotas(dict[str, TeamUsage]):
    """All teams by name, and the attempts seen on machines whose team isn't known."""

    def __init__(self, teams: Iterable[Team]) -> None:
        super().__init__((team.name, TeamUsage(team)) for team in teams)
        self.attempts_of_unknown_jobs: Counter[str] = (
            Counter()
        )  # ids of jobs that aren't known -> attempts of them on machines

    def remaining_tasks(self, spec: wire.Submission) -> int:
        """How many more tasks of a job may start now; none where that can't be known."""
        use = self.get(spec.team)
        return 0 if use is None or self.attempts_of_unknown_jobs else use.remaining_tasks(spec)

    def count_usage(self, spec: wire.Submission, sign: int) -> None:
        """A task of the job has come to a machine (1), or is proven gone from one (-1)."""
        use = self.get(spec.team)
        if use is not None:
            use.cpus += sign * spec.cpus
            use.gpus += sign * spec.gpus

    def on_unknown_attempt_gone(self, ref: str) -> None:
        """An attempt of a job that isn't known is gone, or its job is known now."""
        self.attempts_of_unknown_jobs[ref] -= 1
        if self.attempts_of_unknown_jobs[ref] <= 0:
            del self.attempts_of_unknown_jobs[ref]
