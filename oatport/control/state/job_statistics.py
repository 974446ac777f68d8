"""Jobs accepted, started and completed, by class and by team, for as long as this leader leads.

Counted as it happens. What completed under an earlier leader is not counted; what that left unfinished is.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from oatport.control.state.job import Job

MAX_SIZES = 2_000  # jobs of a class whose sizes are known; of more, the smaller half is dropped


@dataclass(slots=True)
class JobCounts:
    """Jobs that their users cancelled are not counted any more."""

    accepted: int = 0
    started: int = 0  # a task of it ran
    completed: int = 0


@dataclass(slots=True)
class JobStatistics:
    """Counts of jobs by class and by team."""

    classes: dict[str, JobCounts] = field(default_factory=dict)
    teams: dict[str, JobCounts] = field(default_factory=dict)
    # class -> job -> what it takes, and whether a task of it ran
    _sizes: dict[str, dict[str, tuple[float, bool]]] = field(default_factory=dict)

    def _rows(self, job: Job) -> Iterator[JobCounts]:
        yield self.classes.setdefault(job.spec.job_class, JobCounts())
        yield self.teams.setdefault(job.spec.team, JobCounts())

    def on_accepted(self, job: Job) -> None:
        """It was accepted."""
        for row in self._rows(job):
            row.accepted += 1
        sizes = self._sizes.setdefault(job.spec.job_class, {})
        sizes[job.job_id] = (job.spec.cpus * job.spec.task_count, job.started)
        if len(sizes) > MAX_SIZES:
            started_of_largest = sorted(sizes.items(), key=lambda item: item[1], reverse=True)[: MAX_SIZES // 2]
            self._sizes[job.spec.job_class] = dict(started_of_largest)

    def _mark(self, job: Job, started: bool) -> None:
        sizes = self._sizes.get(job.spec.job_class, {})
        if job.job_id not in sizes:
            return
        if job.cancelled:
            del sizes[job.job_id]
        else:
            sizes[job.job_id] = (sizes[job.job_id][0], started)

    def started_of_largest(self) -> dict[str, tuple[int, int]]:
        """Of each class's largest tenth by what a job takes, one at least: how many began, and how many there are."""
        found = {}
        for name, sizes in sorted(self._sizes.items()):
            rows = sorted(sizes.values(), key=lambda row: row[0], reverse=True)
            top = rows[: max(1, len(rows) // 10)]
            if top:
                found[name] = (sum(began for _, began in top), len(top))
        return found

    def on_started(self, job: Job) -> None:
        """A task of it was seen running."""
        if not job.started:
            job.started = True
            self._mark(job, True)
            for row in self._rows(job):
                row.started += 1

    def on_finished(self, job: Job) -> None:
        """It is completed, failed or cancelled."""
        self._mark(job, True)
        for row in self._rows(job):
            if job.cancelled:
                row.accepted -= 1
                row.started -= job.started
            else:
                row.completed += 1
                row.started += not job.started  # too short to be seen running
        job.started = True

    def summary(self) -> str:
        """Started of accepted, and done, of each."""
        rows = [("class", self.classes), ("team", self.teams)]
        return (
            "served (started/accepted, done): "
            + "; ".join(
                f"{kind} {name} {row.started}/{row.accepted}, {row.completed}"
                for kind, named in rows
                for name, row in sorted(named.items())
            )
            + "; largest "
            + " ".join(f"{name} {began}/{count}" for name, (began, count) in self.started_of_largest().items())
        )
