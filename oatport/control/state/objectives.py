"""The operators' service objectives by class of jobs, as the scheduler uses them."""

from __future__ import annotations

from collections.abc import Iterable

from oatport.control.state.job import Job
from oatport.settings import Objective
from oatport.times import micros


class ServiceObjectives:
    """How soon jobs of a class should start and be done, and by which multiples of their deadlines."""

    def __init__(self, objectives: Iterable[Objective]) -> None:
        rows = list(objectives)
        # class -> how soon its jobs should start
        self.start_within = {aim.job_class: micros(aim.within_s) for aim in rows if aim.kind == "wait"}
        # class -> the multiples of its jobs' deadlines that users look at, the nearest first
        self.deadline_multiples: dict[str, tuple[float, ...]] = {}
        self.completion_within: dict[str, tuple[int, ...]] = {}  # class -> how soon its jobs should be done
        for aim in sorted(rows, key=lambda a: a.times):
            if aim.kind == "finished":
                within = micros(aim.within_s)
                self.completion_within[aim.job_class] = (*self.completion_within.get(aim.job_class, ()), within)
            if aim.kind == "deadline":
                self.deadline_multiples[aim.job_class] = (*self.deadline_multiples.get(aim.job_class, ()), aim.times)

    def deadlines_of(self, job: Job) -> list[int]:
        """Times of day by which its users look for its end: its deadline, and the multiples of it that they name."""
        if job.spec.deadline_s is None:
            return []
        multiples = self.deadline_multiples.get(job.spec.job_class) or (1.0,)
        return sorted(job.submitted_at + micros(job.spec.deadline_s * multiple) for multiple in multiples)
