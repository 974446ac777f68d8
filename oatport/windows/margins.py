"""Run time margins by job class: factors for the error of predictions, from which latest safe starts are computed."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from oatport.sizes import json_size

MAX_RATIOS = 200  # stored per class
SUFFICIENT_RATIOS = 20  # below this number PRIOR_FACTOR counts as well
PRIOR_FACTOR = 3.0  # a task may take three times as long as predicted
MIN_FACTOR = 1.2
MAX_RATIO = 100.0  # larger ratios are stored as this
QUANTILE = 0.97  # of the ratios, which a factor must cover
RECOMPUTE_EVERY = 10  # completions of a class
CHANGE_THRESHOLD = 0.1  # share of the previous factor


@dataclass(slots=True)
class RuntimeMargins:
    """Holds, by class, the ratios of actual to predicted run time and a factor that nearly all of them stay below."""

    _ratios: dict[str, deque[float]] = field(default_factory=dict)
    _factors: dict[str, float] = field(default_factory=dict)

    def on_task_completed(self, job_class: str, runtime: int, predicted: int) -> bool:
        """Records a completed task; returns whether the class's factor changed by more than CHANGE_THRESHOLD."""
        if predicted <= 0 or runtime < 0:
            return False
        ratios = self._ratios.setdefault(job_class, deque(maxlen=MAX_RATIOS))
        ratios.append(min(runtime / predicted, MAX_RATIO))
        if len(ratios) % RECOMPUTE_EVERY and len(ratios) > SUFFICIENT_RATIOS:
            return False  # sorting on each of thousands of completions would be too slow
        previous, current = self._factors.get(job_class, PRIOR_FACTOR), self._compute_factor(ratios)
        self._factors[job_class] = current
        return abs(current - previous) > CHANGE_THRESHOLD * previous

    def factor(self, job_class: str) -> float:
        """Returns the multiple of its predicted run time that nearly every task of this class stays below."""
        return self._factors.get(job_class, PRIOR_FACTOR)

    @staticmethod
    def _compute_factor(ratios: deque[float]) -> float:
        ordered = sorted(ratios)
        high = ordered[min(int(len(ordered) * QUANTILE), len(ordered) - 1)]
        # A few fast tasks are weak evidence, so PRIOR_FACTOR replaces the ratios that are still missing.
        observed_share = min(len(ordered) / SUFFICIENT_RATIOS, 1.0)
        return max(MIN_FACTOR, high * observed_share + PRIOR_FACTOR * (1 - observed_share), high)

    def __bool__(self) -> bool:
        """Returns whether any completion was recorded."""
        return bool(self._ratios)

    def record(self, max_bytes: int) -> dict[str, list[float]]:
        """Returns the newest ratios by class in at most `max_bytes` of JSON, as `load` accepts them.

        Each class keeps the same number; classes are left out only if one ratio of each does not fit.
        """
        rounded = {name: [round(ratio, 3) for ratio in ratios] for name, ratios in self._ratios.items()}
        kept_count = MAX_RATIOS
        while json_size(rounded) > max_bytes and kept_count > 1:
            kept_count //= 2
            rounded = {name: ratios[-kept_count:] for name, ratios in rounded.items()}
        while json_size(rounded) > max_bytes and rounded:
            rounded.popitem()
        return rounded

    def load(self, value: Any) -> None:
        """Restores the ratios from a record; skips classes whose ratios are invalid."""
        if not isinstance(value, dict):
            return
        for name, recorded in value.items():
            try:
                ratios = deque((min(max(float(ratio), 0.0), MAX_RATIO) for ratio in recorded), maxlen=MAX_RATIOS)
            except (TypeError, ValueError):
                continue
            if ratios:
                self._ratios[str(name)] = ratios
                self._factors[str(name)] = self._compute_factor(ratios)
