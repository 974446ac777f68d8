"""Generates a night of deferrable jobs, its prices and the responses of its price feed from a seed.

Times are whole microseconds of the time of day; the night lasts from 20:00 to 08:00.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from oatport import wire
from oatport.lab import WINDOW_FAULTS
from oatport.times import SECOND
from oatport.windows.prices import Interval

HOUR = 3600 * SECOND
NIGHT_START = 500_000 * HOUR  # a multiple of an hour and of the planner's slots
NIGHT_HOURS = 12
JOB_CLASS = "rebalance"
CPUS_PER_TASK = 4.0
TARGET_UTILIZATION = 0.4  # share of the capacity that all jobs together use, averaged over the night


@dataclass(frozen=True, slots=True)
class DeferrableJob:
    """Holds a job's submission, the time of the submission, and the actual run time of each task."""

    job_id: str
    submitted_at: int
    spec: wire.Submission
    task_runtimes: tuple[int, ...]  # actual run times, in the order of the tasks

    @property
    def deadline(self) -> int:
        """Returns the time by which the last task must end."""
        assert self.spec.deadline_s is not None
        return self.submitted_at + round(self.spec.deadline_s * SECOND)


@dataclass(frozen=True, slots=True)
class NightWorkload:
    """Holds the jobs, actual prices and capacity of one night, and the fault that is injected into it."""

    jobs: tuple[DeferrableJob, ...]  # by submission time
    prices: tuple[float, ...]  # actual, by hour
    carbon: tuple[float, ...]  # carbon intensity by hour
    capacity: float  # CPUs
    fault: str
    seed: int

    def price_at(self, at: int) -> float:
        """Returns the actual price at a time."""
        return self.prices[min(max((at - NIGHT_START) // HOUR, 0), len(self.prices) - 1)]

    def published_intervals(self, now: int) -> list[Interval] | None:
        """Returns the price intervals that the feed publishes at a time, or None if the feed does not respond."""
        if self.fault == "silent" and now >= NIGHT_START + 3 * HOUR:
            return None
        prices = list(self.prices)
        if self.fault == "lying" and now >= NIGHT_START + 2 * HOUR:
            # With an even seed every published price is zero; with an odd seed one hour has a false peak of 1000.
            prices = [0.0] * len(prices)
            if self.seed % 2:
                prices = list(self.prices)
                prices[5] = 1000.0
        return [
            Interval(NIGHT_START + hour * HOUR, NIGHT_START + (hour + 1) * HOUR, price, co2)
            for hour, (price, co2) in enumerate(zip(prices, self.carbon, strict=True))
        ]


def generate_workload(seed: int, jobs: int, fault: str) -> NightWorkload:
    """Returns a night with `jobs` jobs; the fault `burst` adds half that number.

    Raises ValueError for an unknown fault or a number of jobs out of range.
    """
    if fault not in WINDOW_FAULTS:
        raise ValueError(f"fault: must be one of {', '.join(WINDOW_FAULTS)}")
    if not 1 <= jobs <= 20_000:
        raise ValueError("jobs: must be 1 to 20000")
    rng = np.random.default_rng([seed, jobs])
    hours = np.arange(NIGHT_HOURS + 4)
    # Prices are high in the evening, lowest some hours after midnight, and high again before the morning.
    price_curve = 60 + 45 * np.cos((hours - 0.5) / 12 * 2 * np.pi) + rng.normal(0, 8, len(hours))
    prices = np.clip(price_curve, -5, 300)
    if fault == "expensive-deadline":
        prices[7:11] = prices[7:11] * 0.3 + 220  # from 03:00 to 07:00, when most jobs are due
        prices[11:] = 10
    carbon = np.clip(250 + 1.5 * (prices - 60) + rng.normal(0, 20, len(hours)), 20, 800)
    generated = [_generate_job(rng, number, fault) for number in range(jobs)]
    if fault == "burst":
        generated += [_generate_burst_job(rng, jobs + number) for number in range(max(1, jobs // 2))]
    generated.sort(key=lambda job: (job.submitted_at, job.job_id))
    total_work = sum(sum(job.task_runtimes) for job in generated) * CPUS_PER_TASK
    capacity = float(
        max(
            CPUS_PER_TASK * 8,
            CPUS_PER_TASK * round(total_work / (TARGET_UTILIZATION * NIGHT_HOURS * HOUR) / CPUS_PER_TASK),
        )
    )
    return NightWorkload(
        tuple(generated),
        tuple(round(float(p), 2) for p in prices),
        tuple(round(float(c), 1) for c in carbon),
        capacity,
        fault,
        seed,
    )


def _generate_job(rng: np.random.Generator, number: int, fault: str) -> DeferrableJob:
    submitted_at = NIGHT_START + int(rng.uniform(0, 6 * HOUR))
    mean_s = float(np.clip(rng.lognormal(np.log(420), 0.6), 60, 2400))
    task_count = int(np.clip(rng.lognormal(np.log(8), 0.7), 1, 60))
    if rng.random() < 0.15:
        # Almost no slack: the planner has hardly any choice of start times.
        deadline = submitted_at + round((2.5 * mean_s + 600 + rng.uniform(0, 1800)) * SECOND)
    elif fault == "expensive-deadline":
        deadline = NIGHT_START + round(rng.uniform(8, 10.5) * HOUR)
    else:
        deadline = NIGHT_START + round(rng.uniform(8.5, 11) * HOUR)
    return _build_job(rng, number, submitted_at, mean_s, task_count, deadline)


def _generate_burst_job(rng: np.random.Generator, number: int) -> DeferrableJob:
    submitted_at = NIGHT_START + int(rng.uniform(4.0, 4.2) * HOUR)
    mean_s = float(np.clip(rng.lognormal(np.log(300), 0.4), 60, 900))
    return _build_job(rng, number, submitted_at, mean_s, int(rng.integers(1, 9)), NIGHT_START + 9 * HOUR)


def _build_job(
    rng: np.random.Generator, number: int, submitted_at: int, mean_s: float, task_count: int, deadline: int
) -> DeferrableJob:
    task_runtimes = np.clip(rng.normal(mean_s, 0.1 * mean_s, task_count), 0.7 * mean_s, 1.4 * mean_s)
    estimate_s = mean_s * float(np.exp(rng.normal(0, 0.3)))
    spec = wire.Submission(
        job_id=f"j-{number:06d}",
        job_class=JOB_CLASS,
        team="crew",
        kind="array",
        priority="normal",
        task_count=task_count,
        cpus=CPUS_PER_TASK,
        gpus=0.0,
        memory_gb=4.0,
        image=f"img-{number % 5}",
        image_size_gb=1.0,
        single_zone=False,
        spread=False,
        spot=True,
        estimated_runtime_s=round(estimate_s, 1),
        checkpoint_interval_s=0.0,
        checkpoint_duration_s=0.0,
        deadline_s=(deadline - submitted_at) / SECOND,
    )
    return DeferrableJob(
        spec.job_id, submitted_at, spec, tuple(round(float(runtime) * SECOND) for runtime in task_runtimes)
    )
