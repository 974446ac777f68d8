"""One night three ways: all at once, by windows, and the least possible. In virtual time, the same from a seed.

The room is a number of CPUs on which what has been let go starts by its deadline, the earliest first. Held and let go
is by the code that the leader runs: `Cluster`, `Holder` and its planner, the price book.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job
from oatport.lab.cost_lower_bound import least_cost, possible
from oatport.lab.window_workload import BEGINS, CLASS, CPUS, HOUR, Night, NightJob, draw
from oatport.settings import CloudLimits, ClusterSettings, StateLimits, Team, Tuning, Workers
from oatport.times import SECOND
from oatport.windows.holding import Holder
from oatport.windows.prices import Book
from oatport.windows.settings import Deferral, WindowSettings
from oatport.wire import MachineType

TICK = 30 * SECOND
ASKED_EVERY = 600 * SECOND
__all__ = ["AcceptOutcome", "run", "run_night"]


@dataclass(slots=True)
class AcceptOutcome:
    met: set[str] = field(default_factory=set)
    cost: float = 0.0  # CPU-hours times the true price
    load: list[float] = field(default_factory=list)  # CPUs in use, by tick
    held: list[int] = field(default_factory=list)  # tasks held, by tick
    slack: dict[str, float] = field(default_factory=dict)  # hours between a job's end and its deadline
    plan_ms: list[float] = field(default_factory=list)
    released_late: int = 0
    replans: int = 0


class CapacitySlot:
    """CPUs on which tasks run, those with the earliest deadline first."""

    def __init__(self, night: Night, outcome: AcceptOutcome) -> None:
        self._night = night
        self._outcome = outcome
        self._free = night.capacity
        self._queue: list[tuple[int, str, int]] = []
        self._running: list[tuple[int, str, int, int]] = []  # ends, job, task, began
        self._left = {job.ref: len(job.runs) for job in night.jobs}
        self.jobs = {job.ref: job for job in night.jobs}

    def let_go(self, job: NightJob, first: int, count: int) -> None:
        for index in range(first, first + count):
            heapq.heappush(self._queue, (job.deadline, job.ref, index))

    def until(self, now: int, begin: int) -> list[tuple[str, int]]:
        """Run on to a moment; the tasks that were done, and what they took."""
        done: list[tuple[str, int]] = []
        at = begin
        while True:
            while self._queue and self._free >= CPUS:
                _, ref, index = heapq.heappop(self._queue)
                self._free -= CPUS
                heapq.heappush(self._running, (at + self.jobs[ref].runs[index], ref, index, at))
            if not self._running or self._running[0][0] > now:
                return done
            at, ref, _, began = heapq.heappop(self._running)
            self._free += CPUS
            self._outcome.cost += self._paid(began, at)
            done.append((ref, at - began))
            self._left[ref] -= 1
            if not self._left[ref]:
                job = self.jobs[ref]
                self._outcome.slack[ref] = (job.deadline - at) / HOUR
                if at <= job.deadline:
                    self._outcome.met.add(ref)

    def _paid(self, began: int, ended: int) -> float:
        total = 0.0
        while began < ended:
            part = min((began - BEGINS) // HOUR * HOUR + HOUR + BEGINS, ended) - began
            total += part / HOUR * self._night.price(began) * CPUS
            began += part
        return total

    @property
    def busy(self) -> float:
        return self._night.capacity - self._free

    @property
    def empty(self) -> bool:
        return not self._queue and not self._running


def _cluster() -> ClusterState:
    limits = ClusterSettings(
        workers=Workers(report_s=1.0, lease_s=10.0, gang_wait_s=40.0, gang_peer_s=4.0, cancel_s=35.0),
        state=StateLimits(rps=100.0, write_rps=50.0, value_kb=8.0, txn_ops=12),
        cloud=CloudLimits(rps=5.0, list_lag_s=3.0),
        size=1,
        zones=["z"],
        teams=[Team("crew")],
    )
    types = {
        "plain": MachineType(
            name="plain",
            cpus=64.0,
            gpus=0.0,
            memory_gb=256.0,
            price=1.0,
            spot_price=0.4,
            boot_time_s=30.0,
            zones=["z"],
            image_fetch_gb_per_s=1.0,
            image_cache_gb=100.0,
        )
    }
    return ClusterState(1, limits, Tuning(), types, RuntimePredictor())


def settings(night: Night) -> WindowSettings:
    return WindowSettings(
        on=True,
        capacity_cpus=night.capacity,
        horizon_s=16 * 3600.0,
        classes=((CLASS, Deferral()),),
        fresh_s=3 * 3600.0,
        dead_s=12 * 3600.0,
    )


def by_windows(night: Night) -> AcceptOutcome:
    outcome = AcceptOutcome()
    room = CapacitySlot(night, outcome)
    cluster = _cluster()
    book = Book(3 * HOUR, 12 * HOUR)
    now = BEGINS
    book.learn(night.series(now) or [], now, now)
    holder = Holder(cluster, settings(night), book, now)
    opened: dict[str, int] = {}
    coming = list(night.jobs)[::-1]
    asked_at = now
    while coming or cluster.jobs or not room.empty:
        before, now = now, now + TICK
        if now - asked_at >= ASKED_EVERY:
            asked_at = now
            series = night.series(now)
            if series is not None:
                book.learn(series, now, now)
        while coming and coming[-1].at <= now:
            job = coming.pop()
            held = cluster.job_lifecycle.add(job.ref, job.spec, 1, job.at)
            opened[job.ref] = 0
            _timed(outcome, holder.joined, held, now)
        _timed(outcome, holder.tick, now)
        for ref, took in room.until(now, before):
            held = cluster.jobs[ref]
            cluster.tasks.on_runtime_measured(held, took)
            cluster.predictor.task_completed(ref, held.spec, took)
            held.completed.add(len(held.completed))
            if len(held.completed) == held.spec.task_count:
                cluster.job_lifecycle.remove(held)
        for ref, count in opened.items():
            if ref in cluster.jobs:
                may = _may(cluster.jobs[ref])
                if may > count:
                    room.let_go(room.jobs[ref], count, may - count)
                    opened[ref] = may
        room.until(now, now)
        cluster.pending.clear()
        outcome.load.append(room.busy)
        outcome.held.append(sum(job.deferred for job in cluster.jobs.values()))
    outcome.released_late, outcome.replans = holder.late, holder.anew
    return outcome


def _may(job: Job) -> int:
    """How many of its tasks may have started."""
    return job.spec.task_count if job.start_limit < 0 else job.start_limit


def _timed(outcome: AcceptOutcome, work: Callable[..., Any], *arguments: Any) -> None:
    began = time.process_time()
    work(*arguments)
    outcome.plan_ms.append((time.process_time() - began) * 1000)


def at_once(night: Night) -> AcceptOutcome:
    outcome = AcceptOutcome()
    room = CapacitySlot(night, outcome)
    coming = list(night.jobs)[::-1]
    now = BEGINS
    while coming or not room.empty:
        before, now = now, now + TICK
        while coming and coming[-1].at <= now:
            job = coming.pop()
            room.let_go(job, 0, len(job.runs))
        room.until(now, before)
        outcome.load.append(room.busy)
    return outcome


def run_night(night: Night) -> tuple[AcceptOutcome, AcceptOutcome, float]:
    """All at once, by windows, and the least cost for what the first of them met."""
    immediate, windows = at_once(night), by_windows(night)
    return immediate, windows, least_cost(night, {job.ref for job in night.jobs} - immediate.met)


def run(seed: int, jobs: int, fault: str, page: str | None = None) -> dict[str, Any]:
    """The figures of one night, as `oatport lab windows --json` prints them; `page`: where an HTML page goes."""
    night = draw(seed, jobs, fault)
    immediate, windows, least = run_night(night)
    times = sorted(windows.plan_ms)
    result = {
        "seed": seed,
        "fault": fault,
        "jobs": len(night.jobs),
        "capacity_cpus": night.capacity,
        "deadlines_met": {"immediate": len(immediate.met), "windows": len(windows.met), "bound": possible(night)},
        "cost": {"immediate": round(immediate.cost, 2), "windows": round(windows.cost, 2), "bound": round(least, 2)},
        "released_late": windows.released_late,
        "replans": windows.replans,
        "plan_ms_p99": round(times[int(0.99 * (len(times) - 1))], 3),
        "plan_ms_max": round(times[-1], 3),
    }
    if page is not None:
        from oatport.lab.report_page import write

        write(page, night, immediate, windows, result)
    return result
