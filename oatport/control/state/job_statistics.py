"""Counts of jobs accepted, started and completed during this leader's term, by class and by team.

Jobs that completed under an earlier leader are not counted; jobs that it left unfinished are.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from oatport.control.state.job import Job

MAX_TRACKED_JOBS = 2_000  # jobs per class whose sizes are stored; beyond that, all but the largest half are dropped


@dataclass(slots=True)
class JobCounts:
    """Counts of jobs, without those that their users cancelled."""

    accepted: int = 0
    started: int = 0  # at least one task ran
    completed: int = 0


@dataclass(slots=True)
class JobStatistics:
    """Counts of jobs by class and by team, and the sizes of each class's largest jobs."""

    classes: dict[str, JobCounts] = field(default_factory=dict)
    teams: dict[str, JobCounts] = field(default_factory=dict)
    # class -> job id -> CPUs of all its tasks, and whether a task of it ran
    _sizes: dict[str, dict[str, tuple[float, bool]]] = field(default_factory=dict)

    def _counts_of(self, job: Job) -> Iterator[JobCounts]:
        yield self.classes.setdefault(job.spec.job_class, JobCounts())
        yield self.teams.setdefault(job.spec.team, JobCounts())

    def on_accepted(self, job: Job) -> None:
        """Counts an accepted job and stores its size."""
        for row in self._counts_of(job):
            row.accepted += 1
        sizes = self._sizes.setdefault(job.spec.job_class, {})
        sizes[job.job_id] = (job.spec.cpus * job.spec.task_count, job.started)
        if len(sizes) > MAX_TRACKED_JOBS:
            largest = sorted(sizes.items(), key=lambda item: item[1], reverse=True)[: MAX_TRACKED_JOBS // 2]
            self._sizes[job.spec.job_class] = dict(largest)

    def _set_started(self, job: Job, started: bool) -> None:
        sizes = self._sizes.get(job.spec.job_class, {})
        if job.job_id not in sizes:
            return
        if job.cancelled:
            del sizes[job.job_id]
        else:
            sizes[job.job_id] = (sizes[job.job_id][0], started)

    def started_of_largest(self) -> dict[str, tuple[int, int]]:
        """Returns, for the largest tenth of each class (by CPUs, at least one job), the started jobs and all jobs."""
        found = {}
        for name, sizes in sorted(self._sizes.items()):
            rows = sorted(sizes.values(), key=lambda row: row[0], reverse=True)
            top = rows[: max(1, len(rows) // 10)]
            if top:
                found[name] = (sum(started for _, started in top), len(top))
        return found

    def on_started(self, job: Job) -> None:
        """Counts a job as started when one of its tasks is first seen running."""
        if not job.started:
            job.started = True
            self._set_started(job, True)
            for row in self._counts_of(job):
                row.started += 1

    def on_finished(self, job: Job) -> None:
        """Counts a completed or failed job as completed, and removes a cancelled one from the counts."""
        self._set_started(job, True)
        for row in self._counts_of(job):
            if job.cancelled:
                row.accepted -= 1
                row.started -= job.started
            else:
                row.completed += 1
                row.started += not job.started  # too short to be seen running
        job.started = True

    def summary(self) -> str:
        """Returns one line with the started, accepted and completed jobs of each class and team."""
        rows = [("class", self.classes), ("team", self.teams)]
        return (
            "served (started/accepted, done): "
            + "; ".join(
                f"{kind} {name} {row.started}/{row.accepted}, {row.completed}"
                for kind, named in rows
                for name, row in sorted(named.items())
            )
            + "; largest "
            + " ".join(f"{name} {started}/{count}" for name, (started, count) in self.started_of_largest().items())
        )
