"""Predicted run times: the mean of completed tasks of a class, seeded by the owner's estimate.

DESIGN, "Tiers by length". What is learnt is how far a class's estimates are off, so that a job's own estimate still
tells long jobs from short ones.
"""

from __future__ import annotations

import bisect
import math
from collections import deque
from typing import Any

from oatport import wire
from oatport.sizes import json_size
from oatport.times import SECOND, micros

SEED_WEIGHT = 5.0  # how many completed tasks the owner's estimate is worth
RECLAMATIONS_MIN = 4  # from which on spot's half-life is known
RECENT_RUNTIMES = 1000  # that the threshold is read off
RECENT_RUNTIMES_MIN = 10
MEMORY = 200  # old tasks fade, so that a day of too high estimates is followed
FADING = 0.9
RATIO_MAX = 20.0  # of run time over estimate
ESTIMATE_WEIGHT = 2  # of the estimate against the tasks of the same job, in tasks
BEST_EFFORT = "idle"  # the priority's name on the wire

# What is recorded for the next leader.
RECORDED_CLASSES = 40
RECORDED_RUNTIMES = 60
RECORDED_LIFETIMES = 60
RUNTIME_UNIT = SECOND // 10
RECORD_MARGIN = 64  # bytes for what surrounds the value


def _time_until_left(share: float, completed: list[int], censored: list[int]) -> int | None:
    """When no more than a share is left, by Kaplan and Meier's estimate; None while that is not known.

    `completed`: how long those lasted whose end was seen; `censored`: how long the others have so far. (E. L. Kaplan,
    P. Meier, "Nonparametric estimation from incomplete observations", JASA 53, 1958.)
    """
    spans = sorted(completed + censored)
    survival = 1.0
    for span in sorted(completed):
        at_risk = len(spans) - bisect.bisect_left(spans, span)
        survival *= 1 - 1 / max(at_risk, 1)
        if survival <= share:
            return span
    return None


class RuntimePredictor:
    """Learns from completed tasks and from spot machines that were reclaimed or returned."""

    def __init__(self) -> None:
        self.changed = False  # since it was last recorded
        # By class: weight, and sum of run time over estimate (ratios) or of run times (means).
        self._ratios: dict[str, tuple[float, float]] = {}
        self._means: dict[str, tuple[float, float]] = {}
        self._completed_by_job: dict[str, tuple[int, int]] = {}  # job -> (tasks, sum of run times)
        self._recent_runtimes: deque[int] = deque(maxlen=RECENT_RUNTIMES)
        self._spot_lifetimes: deque[tuple[int, bool]] = deque(maxlen=MEMORY)  # (time held, was it reclaimed?)
        # Completed tasks by class: with each of them what was predicted for the class before is out of date.
        self._completed_by_class: dict[str, int] = {}
        self._predicted: dict[str, tuple[int, int]] = {}  # job -> (class's completed tasks then, prediction)

    def task_completed(self, job_id: str, spec: wire.Submission, runtime: int) -> None:
        """A task ran from start to end in `runtime`."""
        self.changed = True
        job_class = spec.job_class
        if spec.priority != BEST_EFFORT:
            # Best-effort work is for spot whatever its length: 25,000 of its tasks of five seconds once sent all else
            # to owned machines.
            self._recent_runtimes.append(runtime)
        self._completed_by_class[job_class] = self._completed_by_class.get(job_class, 0) + 1
        count, total = self._completed_by_job.get(job_id, (0, 0))
        self._completed_by_job[job_id] = (count + 1, total + runtime)
        _add_fading(self._means, job_class, runtime)
        estimate = micros(spec.estimated_runtime_s)
        if estimate > 0:
            _add_fading(self._ratios, job_class, min(runtime / estimate, RATIO_MAX))

    def forget_job(self, job_id: str) -> None:
        """The job has completed or is cancelled."""
        self._completed_by_job.pop(job_id, None)
        self._predicted.pop(job_id, None)

    def run_time(self, job_id: str, spec: wire.Submission) -> int:
        """Predicted run time of one task of a job; asked for each task often, so kept until one of its class ends."""
        completed = self._completed_by_class.get(spec.job_class, 0)
        known = self._predicted.get(job_id)
        if known is None or known[0] != completed:
            known = self._predicted[job_id] = (completed, self._predict(job_id, spec))
        return known[1]

    def _predict(self, job_id: str, spec: wire.Submission) -> int:
        weight, ratio_sum = self._ratios.get(spec.job_class, (0.0, 0.0))
        predicted = micros(spec.estimated_runtime_s) * (ratio_sum + SEED_WEIGHT) / (weight + SEED_WEIGHT)
        weight, runtime_sum = self._means.get(spec.job_class, (0.0, 0.0))
        if weight >= SEED_WEIGHT and predicted > 0:
            # Estimates are often off by as much as a class's jobs differ: half of the belief, on the scale of ratios,
            # goes to the class's mean.
            predicted = math.sqrt(predicted * (runtime_sum / weight))
        count, own_sum = self._completed_by_job.get(job_id, (0, 0))
        if not count:
            return round(predicted)
        # Tasks of the same job tell more than other jobs of its class.
        return round((predicted * ESTIMATE_WEIGHT + own_sum) / (ESTIMATE_WEIGHT + count))

    def runtime_percentile(self, share: float, running: list[int]) -> int | None:
        """The run time that a share of tasks stays below, given how long the running ones have run.

        Those count: while a day is young, or a leader, only short tasks have ended, and taken by themselves they say
        that all tasks are short. None while too few have ended.
        """
        if len(self._recent_runtimes) < RECENT_RUNTIMES_MIN:
            return None
        return _time_until_left(1 - share, list(self._recent_runtimes), running)

    def spot_machine_ended(self, lifetime: int, reclaimed: bool) -> None:
        """A rented spot machine ended: reclaimed by the cloud, or returned by us (a survivor)."""
        self.changed = True
        self._spot_lifetimes.append((lifetime, reclaimed))

    def spot_half_life(self, alive: list[int]) -> int | None:
        """Time by which half of the rented spot machines were reclaimed, counting survivors and those alive.

        None while that is not known.
        """
        reclaimed = [lifetime for lifetime, was_reclaimed in self._spot_lifetimes if was_reclaimed]
        if len(reclaimed) < RECLAMATIONS_MIN:
            return None  # one early reclamation among a handful of machines says nothing
        survivors = [lifetime for lifetime, was_reclaimed in self._spot_lifetimes if not was_reclaimed]
        return _time_until_left(0.5, reclaimed, survivors + alive)

    def record(self) -> dict[str, Any]:
        """What the next leader should know, small enough for one value."""
        ratios = sorted(self._ratios.items(), key=lambda item: -item[1][0])[:RECORDED_CLASSES]
        return {
            "ratio": [[name, round(weight, 3), round(total, 3)] for name, (weight, total) in ratios],
            "mean": [
                [name, round(self._means[name][0], 3), round(self._means[name][1])]
                for name, _ in ratios
                if name in self._means
            ],
            "recent": [runtime // RUNTIME_UNIT for runtime in list(self._recent_runtimes)[-RECORDED_RUNTIMES:]],
            "lives": [
                [lifetime // SECOND, reclaimed]
                for lifetime, reclaimed in list(self._spot_lifetimes)[-RECORDED_LIFETIMES:]
            ],
        }

    def parts(self, limit: int) -> list[dict[str, Any]]:
        """The record in values of at most `limit` bytes as JSON. Each can be read without the others."""
        record = self.record()
        size_max = max(limit - RECORD_MARGIN, 0)
        first = {**record, "ratio": [], "mean": []}
        while json_size(first) > size_max and (first["recent"] or first["lives"]):
            first["recent"], first["lives"] = first["recent"][1:], first["lives"][1:]
        parts = [first]
        means = {row[0]: row for row in record["mean"]}
        for row in record["ratio"]:
            rows = {"ratio": [row], "mean": [means[row[0]]] if row[0] in means else []}
            last = parts[-1]
            wider = {**last, "ratio": last["ratio"] + rows["ratio"], "mean": last["mean"] + rows["mean"]}
            if json_size(wider) <= size_max:
                parts[-1] = wider
            else:
                parts.append(rows)
        return parts

    def load(self, value: Any) -> None:
        """Take in one part of the record that an earlier leader wrote."""
        try:
            self._ratios |= {str(n): (float(w), float(t)) for n, w, t in value["ratio"]}
            self._means |= {str(n): (float(w), float(t)) for n, w, t in value["mean"]}
            self._predicted.clear()
            if "recent" not in value:
                return
            self._recent_runtimes.extend(int(units) * RUNTIME_UNIT for units in value["recent"])
            self._spot_lifetimes.extend(
                (int(lifetime_s) * SECOND, bool(reclaimed)) for lifetime_s, reclaimed in value["lives"]
            )
        except (KeyError, TypeError, ValueError):
            # A record of another version: learn anew rather than fail a takeover.
            self._ratios = {}


def _add_fading(sums: dict[str, tuple[float, float]], job_class: str, value: float) -> None:
    """Add a value to a class's weight and sum; old ones fade."""
    weight, total = sums.get(job_class, (0.0, 0.0))
    if weight >= MEMORY:
        weight, total = weight * FADING, total * FADING
    sums[job_class] = (weight + 1, total + value)
