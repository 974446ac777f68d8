"""Predicts run times from completed tasks of the same class and job, starting from the owner's estimate.

See DESIGN, "Tiers by length". The predictor learns by what factor the estimates of a class are wrong, so that a job's
own estimate still distinguishes long jobs from short ones.
"""

from __future__ import annotations

import bisect
import math
from collections import deque
from typing import Any

from oatport import wire
from oatport.sizes import json_size
from oatport.times import SECOND, micros

SEED_WEIGHT = 5.0  # weight of the owner's estimate, in completed tasks of the class
RECLAMATIONS_MIN = 4  # fewer reclamations yield no estimate of the half-life of spot machines
RECENT_RUNTIMES = 1000  # from which the spot threshold is computed
RECENT_RUNTIMES_MIN = 10
SAMPLE_WINDOW = 200  # tasks; older ones lose weight, so that the prediction adapts to a day of too high estimates
DECAY_FACTOR = 0.9  # of the older tasks' weight
RATIO_MAX = 20.0  # cap on the ratio of run time to estimate
ESTIMATE_WEIGHT = 2  # weight of the prediction for the class, in completed tasks of the same job
BEST_EFFORT = "idle"  # the priority's name on the wire

# Limits of the record for the next leader.
RECORDED_CLASSES = 40
RECORDED_RUNTIMES = 60
RECORDED_LIFETIMES = 60
RUNTIME_UNIT = SECOND // 10  # of the recorded run times
RECORD_MARGIN_BYTES = 64  # bytes for the envelope of the value


def _kaplan_meier_quantile(share: float, completed: list[int], censored: list[int]) -> int | None:
    """Returns the time after which no more than `share` survives, by the Kaplan-Meier estimate; None while unknown.

    `completed` holds the durations whose end was observed, `censored` the durations so far of the others. (E. L.
    Kaplan, P. Meier, "Nonparametric estimation from incomplete observations", JASA 53, 1958.)
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
        self.changed = False  # since the predictor was last recorded
        # By class: weight, and sum of run time over estimate (ratios) or of run times (means).
        self._ratios: dict[str, tuple[float, float]] = {}
        self._means: dict[str, tuple[float, float]] = {}
        self._completed_by_job: dict[str, tuple[int, int]] = {}  # job -> (tasks, sum of run times)
        self._recent_runtimes: deque[int] = deque(maxlen=RECENT_RUNTIMES)
        self._spot_lifetimes: deque[tuple[int, bool]] = deque(
            maxlen=SAMPLE_WINDOW
        )  # (time held, whether it was reclaimed)
        # Number of completed tasks by class: each completion invalidates the cached predictions for the class.
        self._completed_by_class: dict[str, int] = {}
        self._predicted: dict[str, tuple[int, int]] = {}  # job -> (class's completed tasks at that time, prediction)

    def task_completed(self, job_id: str, spec: wire.Submission, runtime: int) -> None:
        """Records that a task ran from start to end in `runtime`."""
        self.changed = True
        job_class = spec.job_class
        if spec.priority != BEST_EFFORT:
            # Best-effort work runs on spot machines whatever its length, so it must not affect the threshold: 25,000
            # best-effort tasks of five seconds once lowered it so far that all other work went to owned machines.
            self._recent_runtimes.append(runtime)
        self._completed_by_class[job_class] = self._completed_by_class.get(job_class, 0) + 1
        count, total = self._completed_by_job.get(job_id, (0, 0))
        self._completed_by_job[job_id] = (count + 1, total + runtime)
        _add_decayed(self._means, job_class, runtime)
        estimate = micros(spec.estimated_runtime_s)
        if estimate > 0:
            _add_decayed(self._ratios, job_class, min(runtime / estimate, RATIO_MAX))

    def forget_job(self, job_id: str) -> None:
        """Discards what was learnt about a job that has completed or was cancelled."""
        self._completed_by_job.pop(job_id, None)
        self._predicted.pop(job_id, None)

    def run_time(self, job_id: str, spec: wire.Submission) -> int:
        """Returns the predicted run time of one task of a job.

        The function is called often for each task, so the result is cached until a task of the class completes.
        """
        completed = self._completed_by_class.get(spec.job_class, 0)
        cached = self._predicted.get(job_id)
        if cached is None or cached[0] != completed:
            cached = self._predicted[job_id] = (completed, self._predict(job_id, spec))
        return cached[1]

    def _predict(self, job_id: str, spec: wire.Submission) -> int:
        weight, ratio_sum = self._ratios.get(spec.job_class, (0.0, 0.0))
        predicted = micros(spec.estimated_runtime_s) * (ratio_sum + SEED_WEIGHT) / (weight + SEED_WEIGHT)
        weight, runtime_sum = self._means.get(spec.job_class, (0.0, 0.0))
        if weight >= SEED_WEIGHT and predicted > 0:
            # Estimates are often wrong by as much as the jobs of a class differ, so the class's mean gets half of the
            # weight on a logarithmic scale (geometric mean).
            predicted = math.sqrt(predicted * (runtime_sum / weight))
        count, own_sum = self._completed_by_job.get(job_id, (0, 0))
        if not count:
            return round(predicted)
        # Completed tasks of the same job predict better than other jobs of its class.
        return round((predicted * ESTIMATE_WEIGHT + own_sum) / (ESTIMATE_WEIGHT + count))

    def runtime_percentile(self, share: float, running: list[int]) -> int | None:
        """Returns the run time below which a share of tasks stays; None while too few tasks have completed.

        `running` holds the elapsed times of running tasks. Early in a day, or soon after a failover, only short tasks
        have completed, and without the running ones all tasks would seem short.
        """
        if len(self._recent_runtimes) < RECENT_RUNTIMES_MIN:
            return None
        return _kaplan_meier_quantile(1 - share, list(self._recent_runtimes), running)

    def spot_machine_ended(self, lifetime: int, reclaimed: bool) -> None:
        """Records that a spot machine was reclaimed by the cloud, or returned by the leader (a survivor)."""
        self.changed = True
        self._spot_lifetimes.append((lifetime, reclaimed))

    def spot_half_life(self, alive: list[int]) -> int | None:
        """Returns the age by which half of the spot machines are reclaimed; None while that is not known.

        `alive` holds the ages of the machines still rented, which count as censored like the survivors.
        """
        reclaimed = [lifetime for lifetime, was_reclaimed in self._spot_lifetimes if was_reclaimed]
        if len(reclaimed) < RECLAMATIONS_MIN:
            return None  # one early reclamation among a few machines is no evidence
        survivors = [lifetime for lifetime, was_reclaimed in self._spot_lifetimes if not was_reclaimed]
        return _kaplan_meier_quantile(0.5, reclaimed, survivors + alive)

    def record(self) -> dict[str, Any]:
        """Returns the learnt state for the next leader, limited in size to fit into one value."""
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
        """Returns the record split into values of at most `limit` bytes as JSON, each readable without the others."""
        record = self.record()
        size_max = max(limit - RECORD_MARGIN_BYTES, 0)
        first = {**record, "ratio": [], "mean": []}
        while json_size(first) > size_max and (first["recent"] or first["lives"]):
            first["recent"], first["lives"] = first["recent"][1:], first["lives"][1:]
        parts = [first]
        means = {row[0]: row for row in record["mean"]}
        for row in record["ratio"]:
            rows = {"ratio": [row], "mean": [means[row[0]]] if row[0] in means else []}
            last = parts[-1]
            merged = {**last, "ratio": last["ratio"] + rows["ratio"], "mean": last["mean"] + rows["mean"]}
            if json_size(merged) <= size_max:
                parts[-1] = merged
            else:
                parts.append(rows)
        return parts

    def load(self, value: Any) -> None:
        """Loads one part of the record that an earlier leader wrote."""
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
            # The record is of another version: the ratios are learnt again, since a failover must not fail due to it.
            self._ratios = {}


def _add_decayed(sums: dict[str, tuple[float, float]], job_class: str, value: float) -> None:
    """Adds a value to a class's weight and sum, with exponential decay of the older values."""
    weight, total = sums.get(job_class, (0.0, 0.0))
    if weight >= SAMPLE_WINDOW:
        weight, total = weight * DECAY_FACTOR, total * DECAY_FACTOR
    sums[job_class] = (weight + 1, total + value)
