"""Routes a job's pending tasks to a tier: owned machines, spot or on-demand (DESIGN, thesis 3.3 and 3.4)."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.state.job import IDLE_RANK, Job

OWNED, SPOT, ON_DEMAND = "owned", "spot", "on-demand"


class TierAvailability(msgspec.Struct, frozen=True):
    """Holds how soon machines of each tier can take a job's tasks.

    DESIGN assumes that on-demand machines can always be rented; in fact the cloud may refuse them.
    """

    owned_wait: int | None  # predicted wait for owned machines; None if there is none that the job can use
    spot_rentable: bool = True  # False while the cloud refuses such machines
    on_demand_rentable: bool = True
    spot_wait: int = 0  # predicted wait for any machine that the job may use, in case no spot machine is rentable


@dataclass(slots=True)
class TierRouter:
    """Routes jobs by comparing their predicted run time with a learnt threshold."""

    predictor: RuntimePredictor
    start_threshold: int  # used until enough run times are known
    slack_factor: float  # after a loss, a job uses spot again only if its deadline leaves this many run times
    percentile: float = 0.9  # of run times, used for the threshold
    threshold: int = 0
    tail_factor: float = 1.0  # assumed run time of a job's last task, in predicted run times
    start_objectives: dict[str, int] = field(default_factory=dict)  # class -> time within which its tasks should start

    def __post_init__(self) -> None:
        self.threshold = self.start_threshold

    def update_threshold(self, spot_ages: list[int], running: list[int]) -> None:
        """Sets the threshold to the smaller of a high percentile of run times and the half-life of spot machines.

        `spot_ages` holds the ages of the spot machines, `running` the elapsed times of the running tasks.
        """
        percentile = self.predictor.runtime_percentile(self.percentile, running) or self.start_threshold
        self.threshold = min(percentile, self.predictor.spot_half_life(spot_ages) or percentile)

    def route(self, job: Job, wall: int, availability: TierAvailability) -> str:
        """Returns the tier of a job's pending tasks while no owned machine is free for them; `wall`: the time of day.

        If the cloud has refused on-demand machines, a job that may use spot is routed to spot instead of waiting, and
        the other way round.
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
        """Returns whether a wait this long would miss the job's deadline or start objective; None if it has neither.

        A start objective counts like a deadline: before it did, gangs without a deadline waited for minutes while no
        machine was rented for them.
        """
        start_within = self.start_objectives.get(job.spec.job_class)
        deadline = job.attainable_deadline or job.deadline
        if start_within is not None and wall + wait > job.eligible_at + start_within:
            return True
        if deadline is None:
            return None if start_within is None else False
        return wall + wait + self._last_task_runtime(job) > deadline

    def _last_task_runtime(self, job: Job) -> int:
        """Returns the assumed run time of the job's last task: a job of many tasks ends with its slowest one."""
        predicted = self.predictor.run_time(job.job_id, job.spec)
        return round(predicted * self.tail_factor) if job.pending > 1 else predicted

    def _preferred_tier(self, job: Job, wall: int, owned_wait: int | None) -> str:
        """Returns the tier to use if both spot and on-demand machines can be rented (DESIGN)."""
        predicted = self.predictor.run_time(job.job_id, job.spec)
        deadline = job.attainable_deadline or job.deadline
        if predicted < self.threshold:
            # After a reclamation the job uses spot again only if the deadline leaves `slack_factor` (by default twice)
            # the predicted time.
            if job.loss_count and deadline is not None and deadline - wall < self.slack_factor * predicted:
                return ON_DEMAND
            return SPOT
        if job.priority_rank == IDLE_RANK and not self._misses_objectives(job, wall, predicted):
            # Long best-effort arrays would wait for owned machines all day. On spot they may have to restart, but no
            # deadline is missed by that.
            return SPOT
        if owned_wait is None or self._misses_objectives(job, wall, owned_wait):
            return ON_DEMAND
        return OWNED
