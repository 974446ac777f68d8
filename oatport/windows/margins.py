"""How wrong predictions of run times have been, by class: what a latest safe start has to leave."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

KEPT = 200
ENOUGH = 20
PRIOR = 3.0  # until enough is known, a task may take three times as long as predicted
LEAST = 1.2
QUANTILE = 0.97


@dataclass(slots=True)
class Margins:
    _ratios: dict[str, deque[float]] = field(default_factory=dict)  # class -> took / predicted at its release
    _factors: dict[str, float] = field(default_factory=dict)

    def finished(self, job_class: str, took: int, predicted: int) -> bool:
        """A task ended; True if the class's factor moved enough to plan anew."""
        if predicted <= 0 or took < 0:
            return False
        ratios = self._ratios.setdefault(job_class, deque(maxlen=KEPT))
        ratios.append(min(took / predicted, 100.0))
        if len(ratios) % 10 and len(ratios) > ENOUGH:
            return False  # sorted now and then: tasks end by the thousand
        before, now = self._factors.get(job_class, PRIOR), self._reckon(ratios)
        self._factors[job_class] = now
        return abs(now - before) > 0.1 * before

    def factor(self, job_class: str) -> float:
        """A task of this class takes at most this many times its prediction, nearly always."""
        return self._factors.get(job_class, PRIOR)

    @staticmethod
    def _reckon(ratios: deque[float]) -> float:
        ordered = sorted(ratios)
        high = ordered[min(int(len(ordered) * QUANTILE), len(ordered) - 1)]
        # A few fast tasks prove little: what is not seen yet is filled up with the prior.
        known = min(len(ordered) / ENOUGH, 1.0)
        return max(LEAST, high * known + PRIOR * (1 - known), high)

    def __bool__(self) -> bool:
        """Something was learnt."""
        return bool(self._ratios)

    def record(self) -> dict[str, list[float]]:
        return {name: [round(ratio, 3) for ratio in ratios] for name, ratios in self._ratios.items()}

    def load(self, value: Any) -> None:
        if not isinstance(value, dict):
            return
        for name, ratios in value.items():
            try:
                kept = deque((min(max(float(r), 0.0), 100.0) for r in ratios), maxlen=KEPT)
            except (TypeError, ValueError):
                continue
            if kept:
                self._ratios[str(name)] = kept
                self._factors[str(name)] = self._reckon(kept)
