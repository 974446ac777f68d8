"""Who is served: jobs accepted, started and done, by class and by team, for as long as this leader leads.

Counted as it happens. What an earlier leader saw to its end is not counted; what it left unfinished is.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from oatport.control.model import Job


@dataclass(slots=True)
class Row:
    """Jobs that their users cancelled are not counted any more."""

    accepted: int = 0
    started: int = 0  # a task of it ran
    done: int = 0


@dataclass(slots=True)
class Served:
    classes: dict[str, Row] = field(default_factory=dict)
    teams: dict[str, Row] = field(default_factory=dict)

    def _rows(self, job: Job) -> Iterator[Row]:
        yield self.classes.setdefault(job.spec.job_class, Row())
        yield self.teams.setdefault(job.spec.team, Row())

    def joined(self, job: Job) -> None:
        for row in self._rows(job):
            row.accepted += 1

    def began(self, job: Job) -> None:
        if not job.began:
            job.began = True
            for row in self._rows(job):
                row.started += 1

    def over(self, job: Job) -> None:
        """The job is done, or it was cancelled."""
        for row in self._rows(job):
            if job.cancelled:
                row.accepted -= 1
                row.started -= job.began
            else:
                row.done += 1
                row.started += not job.began  # too short to be seen running
        job.began = True

    def line(self) -> str:
        """Started of accepted, and done, of each."""
        rows = [("class", self.classes), ("team", self.teams)]
        return "served (started/accepted, done): " + "; ".join(
            f"{kind} {name} {row.started}/{row.accepted}, {row.done}"
            for kind, named in rows for name, row in sorted(named.items())
        )
