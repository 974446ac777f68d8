"""Predicted run times: the mean of finished tasks of a kind, seeded by the owner's estimate.

DESIGN, "Tiers by length". A kind is a job's class; what is learnt is how far the class's
estimates are off, so that a job's own estimate still tells long jobs from short ones.
"""

from __future__ import annotations

import bisect
import math
from collections import deque
from typing import Any

from oatport import wire
from oatport.sizes import json_size
from oatport.times import SECOND, micros

SEED_WEIGHT = 5.0  # how many finished tasks the owner's estimate is worth
FEW_TAKEN = 4
IDLE = "idle"
RECENT = 1000  # run times that the threshold is read off
MEMORY = 200  # old tasks fade, so that a day of too high estimates is followed


def _lost_by(left: float, ended: list[int], lasting: list[int]) -> int | None:
    """When no more than a share is left, by Kaplan and Meier's estimate; None while that is not known.

    `ended`: how long those lasted whose end was seen; `lasting`: how long the others have so far.
    """
    spans = sorted(ended + lasting)
    survival = 1.0
    for span in sorted(ended):
        at_risk = len(spans) - bisect.bisect_left(spans, span)
        survival *= 1 - 1 / max(at_risk, 1)
        if survival <= left:
            return span
    return None


class RuntimePredictor:
    def __init__(self) -> None:
        self._ratio: dict[str, tuple[float, float]] = {}  # class -> (weight, sum of actual/estimate)
        self._mean: dict[str, tuple[float, float]] = {}  # class -> (weight, sum of run times)
        self._job: dict[str, tuple[int, int]] = {}  # job -> (tasks, sum of run times)
        self._recent: deque[int] = deque(maxlen=RECENT)
        self._lives: deque[tuple[int, bool]] = deque(maxlen=MEMORY)  # spot: (time held, taken back?)
        self.changed = False
        self._seen: dict[str, int] = {}  # class -> finished tasks: what was predicted before is out of date
        self._predicted: dict[str, tuple[int, int]] = {}  # job -> (class's finished tasks then, prediction)

    def finished(self, ref: str, spec: wire.Submission, took: int) -> None:
        """A task ran from start to end in `took`."""
        self.changed = True
        if spec.priority != IDLE:
            # Idle work is for spot whatever its length: a guest's 25,000 tasks of five seconds once sent all else
            # to steady room.
            self._recent.append(took)
        self._seen[spec.job_class] = self._seen.get(spec.job_class, 0) + 1
        count, total = self._job.get(ref, (0, 0))
        self._job[ref] = (count + 1, total + took)
        weight, sum_took = self._mean.get(spec.job_class, (0.0, 0.0))
        if weight >= MEMORY:
            weight, sum_took = weight * 0.9, sum_took * 0.9
        self._mean[spec.job_class] = (weight + 1, sum_took + took)
        estimate = micros(spec.estimated_runtime_s)
        if estimate <= 0:
            return
        weight, total_ratio = self._ratio.get(spec.job_class, (0.0, 0.0))
        if weight >= MEMORY:
            weight, total_ratio = weight * 0.9, total_ratio * 0.9
        self._ratio[spec.job_class] = (weight + 1, total_ratio + min(took / estimate, 20.0))

    def forget_job(self, ref: str) -> None:
        self._job.pop(ref, None)
        self._predicted.pop(ref, None)

    def run_time(self, ref: str, spec: wire.Submission) -> int:
        """Predicted run time of one task of a job; asked for each task often, so reckoned when something ended."""
        seen = self._seen.get(spec.job_class, 0)
        known = self._predicted.get(ref)
        if known is None or known[0] != seen:
            known = self._predicted[ref] = (seen, self._reckon(ref, spec))
        return known[1]

    def _reckon(self, ref: str, spec: wire.Submission) -> int:
        weight, total = self._ratio.get(spec.job_class, (0.0, 0.0))
        guess = micros(spec.estimated_runtime_s) * (total + SEED_WEIGHT) / (weight + SEED_WEIGHT)
        tasks, sum_took = self._mean.get(spec.job_class, (0.0, 0.0))
        if tasks >= SEED_WEIGHT and guess > 0:
            # Estimates are often off by as much as a class's jobs differ: half of the belief, on the
            # scale of ratios, goes to the class's mean.
            guess = math.sqrt(guess * (sum_took / tasks))
        count, own = self._job.get(ref, (0, 0))
        # Tasks of the same job tell more than other jobs of its class.
        return round((guess * 2 + own) / (2 + count)) if count else round(guess)

    def percentile_run(self, share: float, running: list[int]) -> int | None:
        """The run time that a share of tasks stays below, given how long the running ones have run.

        Those count: while a day is young, or a leader, only short tasks have ended, and taken by
        themselves they say that all tasks are short.
        """
        if len(self._recent) < 10:
            return None
        return _lost_by(1 - share, list(self._recent), running)

    def spot_held(self, held: int, taken: bool) -> None:
        """A rented spot machine ended: taken back, or returned by us (a survivor)."""
        self.changed = True
        self._lives.append((held, taken))

    def half_life(self, alive: list[int]) -> int | None:
        """Time by which half of the rented spot machines were taken back, counting survivors."""
        taken = [life for life, gone in self._lives if gone]
        if len(taken) < FEW_TAKEN:
            return None  # one early take-back among a handful of machines says nothing
        return _lost_by(0.5, taken, [life for life, gone in self._lives if not gone] + alive)

    def record(self) -> dict[str, Any]:
        """What the next leader should know, small enough for one value."""
        ratios = sorted(self._ratio.items(), key=lambda item: -item[1][0])[:40]
        return {
            "ratio": [[name, round(weight, 3), round(total, 3)] for name, (weight, total) in ratios],
            "mean": [
                [name, round(self._mean[name][0], 3), round(self._mean[name][1])]
                for name, _ in ratios
                if name in self._mean
            ],
            "recent": [took // (SECOND // 10) for took in list(self._recent)[-60:]],
            "lives": [[held // SECOND, taken] for held, taken in list(self._lives)[-60:]],
        }

    def parts(self, limit: int) -> list[dict[str, Any]]:
        """The record in values of at most `limit` bytes as JSON. Each can be read without the others."""
        whole = self.record()
        room = max(limit - 64, 0)
        first = {**whole, "ratio": [], "mean": []}
        while json_size(first) > room and (first["recent"] or first["lives"]):
            first["recent"], first["lives"] = first["recent"][1:], first["lives"][1:]
        found, means = [first], dict((row[0], row) for row in whole["mean"])
        for row in whole["ratio"]:
            rows = {"ratio": [row], "mean": [means[row[0]]] if row[0] in means else []}
            last = found[-1]
            wider = {**last, "ratio": last["ratio"] + rows["ratio"], "mean": last["mean"] + rows["mean"]}
            if json_size(wider) <= room:
                found[-1] = wider
            else:
                found.append(rows)
        return found

    def load(self, value: Any) -> None:
        """One part of the record."""
        try:
            self._ratio |= {str(n): (float(w), float(t)) for n, w, t in value["ratio"]}
            self._mean |= {str(n): (float(w), float(t)) for n, w, t in value["mean"]}
            self._predicted.clear()
            if "recent" not in value:
                return
            self._recent.extend(int(tenths) * (SECOND // 10) for tenths in value["recent"])
            self._lives.extend((int(held) * SECOND, bool(taken)) for held, taken in value["lives"])
        except (KeyError, TypeError, ValueError):
            # A record of another version: learn anew rather than fail a takeover.
            self._ratio = {}
