"""Which tier a job's waiting tasks are for: owned room, spot or on-demand (DESIGN, thesis 3.3 and 3.4)."""

from __future__ import annotations

from dataclasses import dataclass

from oatport.control.model import Job
from oatport.control.predictor import Predictor

OWNED, SPOT, ON_DEMAND = "owned", "spot", "on-demand"


@dataclass(slots=True)
class Router:
    predictor: Predictor
    start_threshold: int
    slack_factor: float
    threshold: int = 0

    def __post_init__(self) -> None:
        self.threshold = self.start_threshold

    def learn(self, spot_ages: list[int]) -> None:
        """The smaller of the 90th-percentile run time and spot's half life; the start value until known."""
        known = [t for t in (self.predictor.percentile_run(0.9), self.predictor.half_life(spot_ages)) if t]
        self.threshold = min(known) if known else self.start_threshold

    def route(self, job: Job, wall: int, queue_wait: int | None) -> str:
        """The tier of a job for which no owned room is free.

        `queue_wait`: predicted work ahead over owned machines; None where none is owned.
        """
        if not job.spec.spot:
            return ON_DEMAND
        predicted = self.predictor.run_time(job.ref, job.spec)
        deadline = job.deadline
        if predicted < self.threshold:
            # After a take-back: spot again only if the deadline leaves twice the predicted time.
            if job.lost and deadline is not None and deadline - wall < self.slack_factor * predicted:
                return ON_DEMAND
            return SPOT
        if queue_wait is None:
            return ON_DEMAND
        if deadline is not None and wall + queue_wait + predicted > deadline:
            return ON_DEMAND
        return OWNED
