"""The tasks of one job that rentals are planned for, and the zones that they may go to."""

from __future__ import annotations

from dataclasses import dataclass

from oatport.control.queueing.tier_router import SPOT
from oatport.control.state.capacity import max_tasks_per_zone
from oatport.control.state.job import Job


@dataclass(slots=True)
class Demand:
    """Tasks of a job that no capacity was found for yet, and how many there are in each zone."""

    job: Job
    remaining: int
    only_zone: str | None
    tasks_by_zone: dict[str, int]
    zone_limit: int
    spot: bool

    @classmethod
    def of_tasks(cls, job: Job, count: int) -> Demand:
        """`count` tasks beside those of the job that are on machines already."""
        tasks_by_zone = dict(job.tasks_by_zone)
        only_zone = next(iter(tasks_by_zone)) if job.spec.single_zone and tasks_by_zone else job.spec.zone
        return cls(job, count, only_zone, tasks_by_zone, max_tasks_per_zone(job.spec), job.tier == SPOT)

    @classmethod
    def of_gang(cls, job: Job, zone: str | None) -> Demand:
        """All tasks of a gang, in one zone unless that is None."""
        return cls(job, job.pending, zone, {}, max_tasks_per_zone(job.spec), job.tier == SPOT)

    def is_zone_full(self, zone: str) -> bool:
        """The job is spread over zones, and this one has its share."""
        return self.job.spec.spread and self.tasks_by_zone.get(zone, 0) >= self.zone_limit

    def limit_in(self, zone: str) -> int:
        """How many of the remaining tasks may go to a zone."""
        if not self.job.spec.spread:
            return self.remaining
        return min(self.remaining, self.zone_limit - self.tasks_by_zone.get(zone, 0))

    def assign(self, zone: str, count: int) -> None:
        """Capacity for so many tasks was found in a zone."""
        self.remaining -= count
        self.tasks_by_zone[zone] = self.tasks_by_zone.get(zone, 0) + count
        if self.job.spec.single_zone:
            self.only_zone = zone
