"""The operators' service objectives by job class, in the form that the scheduler uses."""

from __future__ import annotations

from collections.abc import Iterable

from oatport.control.state.job import Job
from oatport.settings import Objective
from oatport.times import micros


class ServiceObjectives:
    """Holds how soon jobs of each class should start and complete, and by which multiples of their deadlines."""

    def __init__(self, objectives: Iterable[Objective]) -> None:
        rows = list(objectives)
        # class -> time within which its jobs should start
        self.start_within = {
            objective.job_class: micros(objective.within_s) for objective in rows if objective.kind == "wait"
        }
        # class -> the multiples of its jobs' deadlines that the objectives name, in ascending order
        self.deadline_multiples: dict[str, tuple[float, ...]] = {}
        self.completion_within: dict[str, tuple[int, ...]] = {}  # class -> times within which its jobs should complete
        for objective in sorted(rows, key=lambda a: a.times):
            if objective.kind == "finished":
                within = micros(objective.within_s)
                self.completion_within[objective.job_class] = (
                    *self.completion_within.get(objective.job_class, ()),
                    within,
                )
            if objective.kind == "deadline":
                self.deadline_multiples[objective.job_class] = (
                    *self.deadline_multiples.get(objective.job_class, ()),
                    objective.times,
                )

    def deadlines_of(self, job: Job) -> list[int]:
        """Returns the times of day by which a job should complete: its deadline times each multiple of its class."""
        if job.spec.deadline_s is None:
            return []
        multiples = self.deadline_multiples.get(job.spec.job_class) or (1.0,)
        return sorted(job.submitted_at + micros(job.spec.deadline_s * multiple) for multiple in multiples)
