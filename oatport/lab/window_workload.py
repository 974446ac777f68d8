"""A night of deferrable work: prices, jobs and what a price feed says of them, drawn from a seed.

Times are whole microseconds of the time of day; the night goes from 20:00 to 08:00.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from oatport import wire
from oatport.lab import FAULTS
from oatport.times import SECOND
from oatport.windows.prices import Interval

HOUR = 3600 * SECOND
BEGINS = 500_000 * HOUR  # a round number of hours and of slots
HOURS = 12
CLASS = "rebalance"
CPUS = 4.0
BUSY = 0.4  # of the room, all night, by all jobs together


@dataclass(frozen=True, slots=True)
class NightJob:
    ref: str
    at: int  # when it comes
    spec: wire.Submission
    runs: tuple[int, ...]  # what its tasks really take

    @property
    def deadline(self) -> int:
        assert self.spec.deadline_s is not None
        return self.at + round(self.spec.deadline_s * SECOND)


@dataclass(frozen=True, slots=True)
class Night:
    jobs: tuple[NightJob, ...]  # in the order in which they come
    prices: tuple[float, ...]  # true ones, by hour
    carbon: tuple[float, ...]
    capacity: float  # CPUs
    fault: str
    seed: int

    def price(self, at: int) -> float:
        """The true price at a moment."""
        return self.prices[min(max((at - BEGINS) // HOUR, 0), len(self.prices) - 1)]

    def series(self, now: int) -> list[Interval] | None:
        """What the feed says at a moment; None if it says nothing."""
        if self.fault == "silent" and now >= BEGINS + 3 * HOUR:
            return None
        prices = list(self.prices)
        if self.fault == "lying" and now >= BEGINS + 2 * HOUR:
            # Zero for ever; and on every other night an hour of 1000 that is none.
            prices = [0.0] * len(prices)
            if self.seed % 2:
                prices = list(self.prices)
                prices[5] = 1000.0
        return [
            Interval(BEGINS + hour * HOUR, BEGINS + (hour + 1) * HOUR, price, co2)
            for hour, (price, co2) in enumerate(zip(prices, self.carbon, strict=True))
        ]


def draw(seed: int, jobs: int, fault: str) -> Night:
    """A night with so many jobs. Raises ValueError for an unknown fault."""
    if fault not in FAULTS:
        raise ValueError(f"fault: must be one of {', '.join(FAULTS)}")
    if not 1 <= jobs <= 20_000:
        raise ValueError("jobs: must be 1 to 20000")
    rng = np.random.default_rng([seed, jobs])
    hours = np.arange(HOURS + 4)
    # Dear in the evening, cheapest some hours after midnight, dear again before the day.
    shape = 60 + 45 * np.cos((hours - 0.5) / 12 * 2 * np.pi) + rng.normal(0, 8, len(hours))
    prices = np.clip(shape, -5, 300)
    if fault == "expensive-deadline":
        prices[7:11] = prices[7:11] * 0.3 + 220  # from 03:00 to 07:00, where the deadlines fall
        prices[11:] = 10
    carbon = np.clip(250 + 1.5 * (prices - 60) + rng.normal(0, 20, len(hours)), 20, 800)
    drawn = [_job(rng, number, fault) for number in range(jobs)]
    if fault == "burst":
        drawn += [_burst(rng, jobs + number) for number in range(max(1, jobs // 2))]
    drawn.sort(key=lambda job: (job.at, job.ref))
    work = sum(sum(job.runs) for job in drawn) * CPUS
    capacity = float(max(CPUS * 8, CPUS * round(work / (BUSY * HOURS * HOUR) / CPUS)))
    return Night(
        tuple(drawn),
        tuple(round(float(p), 2) for p in prices),
        tuple(round(float(c), 1) for c in carbon),
        capacity,
        fault,
        seed,
    )


def _job(rng: np.random.Generator, number: int, fault: str) -> NightJob:
    at = BEGINS + int(rng.uniform(0, 6 * HOUR))
    mean_s = float(np.clip(rng.lognormal(np.log(420), 0.6), 60, 2400))
    tasks = int(np.clip(rng.lognormal(np.log(8), 0.7), 1, 60))
    if rng.random() < 0.15:
        due = at + round((2.5 * mean_s + 600 + rng.uniform(0, 1800)) * SECOND)  # there is next to nothing to choose
    elif fault == "expensive-deadline":
        due = BEGINS + round(rng.uniform(8, 10.5) * HOUR)
    else:
        due = BEGINS + round(rng.uniform(8.5, 11) * HOUR)
    return _make(rng, number, at, mean_s, tasks, due)


def _burst(rng: np.random.Generator, number: int) -> NightJob:
    at = BEGINS + int(rng.uniform(4.0, 4.2) * HOUR)
    mean_s = float(np.clip(rng.lognormal(np.log(300), 0.4), 60, 900))
    return _make(rng, number, at, mean_s, int(rng.integers(1, 9)), BEGINS + 9 * HOUR)


def _make(rng: np.random.Generator, number: int, at: int, mean_s: float, tasks: int, due: int) -> NightJob:
    runs = np.clip(rng.normal(mean_s, 0.1 * mean_s, tasks), 0.7 * mean_s, 1.4 * mean_s)
    estimate = mean_s * float(np.exp(rng.normal(0, 0.3)))
    spec = wire.Submission(
        job_id=f"j-{number:06d}",
        job_class=CLASS,
        team="crew",
        kind="array",
        priority="normal",
        task_count=tasks,
        cpus=CPUS,
        gpus=0.0,
        memory_gb=4.0,
        image=f"img-{number % 5}",
        image_size_gb=1.0,
        single_zone=False,
        spread=False,
        spot=True,
        estimated_runtime_s=round(estimate, 1),
        checkpoint_interval_s=0.0,
        checkpoint_duration_s=0.0,
        deadline_s=(due - at) / SECOND,
    )
    return NightJob(spec.job_id, at, spec, tuple(round(float(run) * SECOND) for run in runs))
