"""Resource usage of teams: the single account used by placement, preemption, renting and guarantees.

| counted for its team | from | until |
| --- | --- | --- |
| a binding, recorded or being recorded | `TaskLifecycle.begin_binding`: before its start can be sent | it is withdrawn with no start sent, or as below |
| a task on a machine, stopped or not, cancelled or not, started by this leader or an earlier one | its binding, or its record at a takeover | a heartbeat under this leader's token or of a later epoch doesn't list it or lists it as exited; its machine is proven gone |
| an orphaned attempt: listed in a heartbeat of a machine to which no record binds it | that heartbeat | a newer heartbeat doesn't list it, or its machine is proven gone |

An attempt of an unknown job may belong to any team: until the job's record is read, no team has any quota left.
"""  # noqa: E501 (a table)

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from oatport import wire
from oatport.control.state.capacity import fitting_count
from oatport.control.state.job import PRIORITIES
from oatport.settings import Team


@dataclass(slots=True)
class TeamUsage:
    """Holds the resources that a team's tasks take, including all not proven gone (PROTOCOL, rule `quota`)."""

    limits: Team
    cpus: float = 0.0
    gpus: float = 0.0
    array_tasks_by_priority: list[int] = field(default_factory=lambda: [0] * len(PRIORITIES))  # on machines

    def remaining_tasks(self, spec: wire.Submission) -> int:
        """Returns how many more tasks of a job the team's limit allows."""
        count = spec.task_count
        if self.limits.cpus_max > 0:
            count = fitting_count(self.limits.cpus_max - self.cpus, spec.cpus, count)
        if self.limits.gpus_max > 0 and spec.gpus > 0:
            count = fitting_count(self.limits.gpus_max - self.gpus, spec.gpus, count)
        return count

    def exceeds_guarantee(self) -> bool:
        """Returns whether the team uses more than its guarantee."""
        return self.cpus > self.limits.cpus + 1e-9 or self.gpus > self.limits.gpus + 1e-9


class TeamQuotas(dict[str, TeamUsage]):
    """Holds the usage of all teams by name, and the attempts on machines whose team is unknown."""

    def __init__(self, teams: Iterable[Team]) -> None:
        super().__init__((team.name, TeamUsage(team)) for team in teams)
        self.attempts_of_unknown_jobs: Counter[str] = Counter()  # id of an unknown job -> its attempts on machines

    def remaining_tasks(self, spec: wire.Submission) -> int:
        """Returns how many more tasks of a job its team's limit allows now; 0 if that can't be determined."""
        usage = self.get(spec.team)
        return 0 if usage is None or self.attempts_of_unknown_jobs else usage.remaining_tasks(spec)

    def count_usage(self, spec: wire.Submission, sign: int) -> None:
        """Counts a task of the job that was placed on a machine (`sign` 1) or is proven gone from one (-1)."""
        usage = self.get(spec.team)
        if usage is not None:
            usage.cpus += sign * spec.cpus
            usage.gpus += sign * spec.gpus

    def on_unknown_job_attempt_gone(self, job_id: str) -> None:
        """Discounts an attempt of an unknown job that is gone or whose job is known now."""
        self.attempts_of_unknown_jobs[job_id] -= 1
        if self.attempts_of_unknown_jobs[job_id] <= 0:
            del self.attempts_of_unknown_jobs[job_id]
