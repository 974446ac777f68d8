"""Which tier a job's waiting tasks are for: owned room, spot or on-demand (DESIGN, thesis 3.3 and 3.4)."""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.state.job import IDLE_RANK, Job

OWNED, SPOT, ON_DEMAND = "owned", "spot", "on-demand"


@dataclass(slots=True)
class TierRouter:
    predictor: RuntimePredictor
    start_threshold: int
    slack_factor: float
    share: float = 0.9
    threshold: int = 0
    tail_factor: float = 1.0  # the last task of a job is taken to run this many predicted run times
    start_aims: dict[str, int] = field(default_factory=dict)  # class -> how soon its tasks should start

    def __post_init__(self) -> None:
        self.threshold = self.start_threshold

    def learn(self, spot_ages: list[int], running: list[int]) -> None:
        """The smaller of a high percentile of run times and spot's half life; the start value until known."""
        percentile = self.predictor.percentile_run(self.share, running) or self.start_threshold
        self.threshold = min(percentile, self.predictor.half_life(spot_ages) or percentile)

    def route(
        self,
        job: Job,
        wall: int,
        queue_wait: int | None,
        spot_open: bool = True,
        on_demand_open: bool = True,
        spot_wait: int = 0,
    ) -> str:
        """The tier of a job for which no owned room is free.

        `queue_wait`: predicted work ahead over owned machines; None where none is owned.
        `spot_wait`: the same over all machines that it may use, for when no more spot is to be had.
        `spot_open`, `on_demand_open`: whether the cloud still rents such machines. DESIGN assumes that
        on-demand comes when called; where the cloud has refused it, a job that may use spot goes there
        rather than wait for what does not come, and the other way round.
        """
        if not job.spec.spot:
            return ON_DEMAND
        tier = self._ordinary(job, wall, queue_wait)
        if tier == ON_DEMAND and not on_demand_open and spot_open:
            return SPOT
        if tier == SPOT and not spot_open and on_demand_open:
            risks = self._risks(job, wall, spot_wait)
            if risks or (risks is None and job.priority_rank != IDLE_RANK):
                return ON_DEMAND
        return tier

    def _risks(self, job: Job, wall: int, wait: int) -> bool | None:
        """Waiting this long would miss what users expect of the job; None if they expect nothing.

        Where a start is what they expect by a certain time, that is a deadline too: gangs without one
        once waited for minutes while nothing was rented for them.
        """
        start = self.start_aims.get(job.spec.job_class)
        deadline = job.attainable_deadline or job.deadline
        if start is not None and wall + wait > job.eligible_at + start:
            return True
        if deadline is None:
            return None if start is None else False
        return wall + wait + self._last_run(job) > deadline

    def _last_run(self, job: Job) -> int:
        """How long the last of its tasks may run: a job of many ends with its slowest."""
        predicted = self.predictor.run_time(job.job_id, job.spec)
        return round(predicted * self.tail_factor) if job.pending > 1 else predicted

    def _ordinary(self, job: Job, wall: int, queue_wait: int | None) -> str:
        """DESIGN's ordinary path."""
        predicted = self.predictor.run_time(job.job_id, job.spec)
        deadline = job.attainable_deadline or job.deadline
        if predicted < self.threshold:
            # After a take-back: spot again only if the deadline leaves twice the predicted time.
            if job.loss_count and deadline is not None and deadline - wall < self.slack_factor * predicted:
                return ON_DEMAND
            return SPOT
        if job.priority_rank == IDLE_RANK and not self._risks(job, wall, predicted):
            # Guests' long arrays waited for owned room for the whole day: nobody is late if they start again.
            return SPOT
        if queue_wait is None or self._risks(job, wall, queue_wait):
            return ON_DEMAND
        return OWNED
