"""Demands and plans: the unstarted work of a job, and the times at which its tasks start."""

from __future__ import annotations

from dataclasses import dataclass, field

EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class JobDemand:
    """Describes the unstarted work of a job: `task_count` tasks, each of which takes `cpus` CPUs for `runtime` us."""

    job_id: str
    cpus: float
    task_count: int
    runtime: int
    latest_start: int  # the latest safe start, us of the time of day
    profile: str = ""  # the unit costs that apply, one profile per pair of price and carbon weights
    delay_penalty: float = 0.0  # cost of waiting until the latest start, as a share of the immediate cost


@dataclass(slots=True)
class Plan:
    """Holds the planned starts of a job's tasks, their cost and the reason for the choice."""

    demand: JobDemand
    starts: dict[int, int] = field(default_factory=dict)  # slot number -> tasks that start in it
    cost: float = 0.0
    immediate_cost: float = 0.0
    reason: str = ""
    is_overcommitted: bool = False  # some tasks found no free capacity before the latest start
    move_count: int = 0

    @property
    def saving(self) -> float:
        """Returns the share of the cost of an immediate start that the plan saves."""
        return (
            (self.immediate_cost - self.cost) / abs(self.immediate_cost) if abs(self.immediate_cost) > EPSILON else 0.0
        )
