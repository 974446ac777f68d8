"""Which tier a job's pending tasks are for: owned machines, spot or on-demand (DESIGN, thesis 3.3 and 3.4)."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.state.job import IDLE_RANK, Job

OWNED, SPOT, ON_DEMAND = "owned", "spot", "on-demand"


class TierAvailability(msgspec.Struct, frozen=True):
    """How soon machines of each tier can take a job's tasks.

    DESIGN assumes that on-demand machines come when called; here the cloud may have refused them.
    """

    owned_wait: int | None  # predicted work ahead on owned machines; None if there is none that the job can use
    spot_rentable: bool = True  # does the cloud still rent such machines?
    on_demand_rentable: bool = True
    spot_wait: int = 0  # predicted work ahead on all machines that the job may use, for when no spot is rentable


@dataclass(slots=True)
class TierRouter:
    """Routes jobs by their predicted run time against a threshold that is learnt."""

    predictor: RuntimePredictor
    start_threshold: int  # used until enough is learnt
    slack_factor: float  # how many predicted run times a deadline must leave for spot after a loss
    percentile: float = 0.9  # of run times, that the threshold is set by
    threshold: int = 0
    tail_factor: float = 1.0  # the last task of a job is taken to run this many predicted run times
    start_objectives: dict[str, int] = field(default_factory=dict)  # class -> how soon its tasks should start

    def __post_init__(self) -> None:
        self.threshold = self.start_threshold

    def learn(self, spot_ages: list[int], running: list[int]) -> None:
        """Set the threshold: the smaller of a high percentile of run times and spot's half-life.

        `spot_ages`: of the spot machines; `running`: how long the running tasks have run.
        """
        percentile = self.predictor.runtime_percentile(self.percentile, running) or self.start_threshold
        self.threshold = min(percentile, self.predictor.spot_half_life(spot_ages) or percentile)

    def route(self, job: Job, wall: int, availability: TierAvailability) -> str:
        """The tier of a job for which no owned machine is free; `wall`: time of day.

        Where the cloud has refused on-demand machines, a job that may use spot goes there rather than wait for what
        does not come, and the other way round.
        """
        if not job.spec.spot:
            return ON_DEMAND
        tier = self._preferred_tier(job, wall, availability.owned_wait)
        if tier == ON_DEMAND and not availability.on_demand_rentable and availability.spot_rentable:
            return SPOT
        if tier == SPOT and not availability.spot_rentable and availability.on_demand_rentable:
            misses = self._misses_objectives(job, wall, availability.spot_wait)
            if misses or (misses is None and job.priority_rank != IDLE_RANK):
                return ON_DEMAND
        return tier

    def _misses_objectives(self, job: Job, wall: int, wait: int) -> bool | None:
        """Would waiting this long miss what users expect of the job? None if they expect nothing.

        Where a start is what they expect by a certain time, that is a deadline too: gangs without one once waited for
        minutes while nothing was rented for them.
        """
        start_within = self.start_objectives.get(job.spec.job_class)
        deadline = job.attainable_deadline or job.deadline
        if start_within is not None and wall + wait > job.eligible_at + start_within:
            return True
        if deadline is None:
            return None if start_within is None else False
        return wall + wait + self._last_task_runtime(job) > deadline

    def _last_task_runtime(self, job: Job) -> int:
        """How long the last of its tasks may run: a job of many ends with its slowest."""
        predicted = self.predictor.run_time(job.job_id, job.spec)
        return round(predicted * self.tail_factor) if job.pending > 1 else predicted

    def _preferred_tier(self, job: Job, wall: int, owned_wait: int | None) -> str:
        """The tier if the cloud has both kinds of machines (DESIGN)."""
        predicted = self.predictor.run_time(job.job_id, job.spec)
        deadline = job.attainable_deadline or job.deadline
        if predicted < self.threshold:
            # After a reclamation: spot again only if the deadline leaves twice the predicted time.
            if job.loss_count and deadline is not None and deadline - wall < self.slack_factor * predicted:
                return ON_DEMAND
            return SPOT
        if job.priority_rank == IDLE_RANK and not self._misses_objectives(job, wall, predicted):
            # Long best-effort arrays waited for owned machines for the whole day: nobody is late if they start again.
            return SPOT
        if owned_wait is None or self._misses_objectives(job, wall, owned_wait):
            return ON_DEMAND
        return OWNED
