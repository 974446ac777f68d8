"""Represents the tasks of one job for which rentals are planned, and the zones where they may run."""

from __future__ import annotations

from dataclasses import dataclass

from oatport.control.queueing.tier_router import SPOT
from oatport.control.state.capacity import max_tasks_per_zone
from oatport.control.state.job import Job


@dataclass(slots=True)
class Demand:
    """Holds the number of a job's tasks that still need capacity, and the number of its tasks in each zone."""

    job: Job
    remaining: int
    only_zone: str | None
    tasks_by_zone: dict[str, int]
    zone_limit: int
    spot: bool

    @classmethod
    def of_tasks(cls, job: Job, count: int) -> Demand:
        """Returns the demand for `count` tasks in addition to those of the job that are already on machines."""
        tasks_by_zone = dict(job.tasks_by_zone)
        only_zone = next(iter(tasks_by_zone)) if job.spec.single_zone and tasks_by_zone else job.spec.zone
        return cls(job, count, only_zone, tasks_by_zone, max_tasks_per_zone(job.spec), job.tier == SPOT)

    @classmethod
    def of_gang(cls, job: Job, zone: str | None) -> Demand:
        """Returns the demand for all tasks of a gang in one zone, or in any zones if `zone` is None."""
        return cls(job, job.pending, zone, {}, max_tasks_per_zone(job.spec), job.tier == SPOT)

    def is_zone_full(self, zone: str) -> bool:
        """Returns whether the job is spread over zones and has reached its limit in this one."""
        return self.job.spec.spread and self.tasks_by_zone.get(zone, 0) >= self.zone_limit

    def limit_in(self, zone: str) -> int:
        """Returns how many of the remaining tasks may go to a zone."""
        if not self.job.spec.spread:
            return self.remaining
        return min(self.remaining, self.zone_limit - self.tasks_by_zone.get(zone, 0))

    def assign(self, zone: str, count: int) -> None:
        """Assigns `count` of the remaining tasks to capacity in a zone."""
        self.remaining -= count
        self.tasks_by_zone[zone] = self.tasks_by_zone.get(zone, 0) + count
        if self.job.spec.single_zone:
            self.only_zone = zone
