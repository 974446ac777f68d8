"""Compares two schedules of one night, immediate and with windows, with a cost lower bound, in virtual time.

The cluster is simulated as a number of CPUs on which released tasks start in the order of their deadlines, the earliest
first. Jobs are held and released by the code that the leader runs: `ClusterState`, `DeferralManager` and its planner,
and the price book. The same seed gives the same jobs and schedules.
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
from oatport.lab.cost_lower_bound import compute_cost_lower_bound, count_feasible_jobs
from oatport.lab.window_workload import (
    CPUS_PER_TASK,
    HOUR,
    JOB_CLASS,
    NIGHT_START,
    DeferrableJob,
    NightWorkload,
    generate_workload,
)
from oatport.settings import CloudLimits, ClusterSettings, StateLimits, Team, Tuning, Workers
from oatport.times import SECOND
from oatport.windows.holding import DeferralManager
from oatport.windows.prices import PriceBook
from oatport.windows.settings import Deferral, WindowSettings
from oatport.wire import MachineType

TICK_INTERVAL = 30 * SECOND
FEED_POLL_INTERVAL = 600 * SECOND
__all__ = ["ScheduleOutcome", "run", "run_comparison"]


@dataclass(slots=True)
class ScheduleOutcome:
    """Holds the results of one schedule of a night: jobs on time, cost, and measurements by tick."""

    jobs_on_time: set[str] = field(default_factory=set)
    cost: float = 0.0  # CPU-hours times the actual price
    cpus_in_use: list[float] = field(default_factory=list)  # by tick
    tasks_held: list[int] = field(default_factory=list)  # by tick
    slack_hours: dict[str, float] = field(default_factory=dict)  # time between a job's end and its deadline, by job id
    plan_ms: list[float] = field(default_factory=list)  # CPU time of each planning step
    released_late: int = 0  # jobs released after their latest safe start
    replans: int = 0


class SimulatedCapacity:
    """Simulates a number of CPUs on which tasks run, those with the earliest deadline first."""

    def __init__(self, workload: NightWorkload, outcome: ScheduleOutcome) -> None:
        self._workload = workload
        self._outcome = outcome
        self._free = workload.capacity
        self._queue: list[tuple[int, str, int]] = []
        self._running: list[tuple[int, str, int, int]] = []  # end, job id, task index, start
        self._remaining_tasks = {job.job_id: len(job.task_runtimes) for job in workload.jobs}
        self.jobs = {job.job_id: job for job in workload.jobs}

    def release(self, job: DeferrableJob, first: int, count: int) -> None:
        """Queues `count` tasks of a job, from task `first` on."""
        for index in range(first, first + count):
            heapq.heappush(self._queue, (job.deadline, job.job_id, index))

    def advance(self, now: int, start: int) -> list[tuple[str, int]]:
        """Simulates the time from `start` to `now`; returns the job id and run time of each task that completed."""
        completed: list[tuple[str, int]] = []
        at = start
        while True:
            while self._queue and self._free >= CPUS_PER_TASK:
                _, job_id, index = heapq.heappop(self._queue)
                self._free -= CPUS_PER_TASK
                heapq.heappush(self._running, (at + self.jobs[job_id].task_runtimes[index], job_id, index, at))
            if not self._running or self._running[0][0] > now:
                return completed
            at, job_id, _, started_at = heapq.heappop(self._running)
            self._free += CPUS_PER_TASK
            self._outcome.cost += self._compute_cost(started_at, at)
            completed.append((job_id, at - started_at))
            self._remaining_tasks[job_id] -= 1
            if not self._remaining_tasks[job_id]:
                job = self.jobs[job_id]
                self._outcome.slack_hours[job_id] = (job.deadline - at) / HOUR
                if at <= job.deadline:
                    self._outcome.jobs_on_time.add(job_id)

    def _compute_cost(self, started_at: int, ended_at: int) -> float:
        cost = 0.0
        while started_at < ended_at:
            interval = min((started_at - NIGHT_START) // HOUR * HOUR + HOUR + NIGHT_START, ended_at) - started_at
            cost += interval / HOUR * self._workload.price_at(started_at) * CPUS_PER_TASK
            started_at += interval
        return cost

    @property
    def cpus_in_use(self) -> float:
        """Returns the number of CPUs that running tasks occupy."""
        return self._workload.capacity - self._free

    @property
    def is_idle(self) -> bool:
        """Returns whether no task is queued or running."""
        return not self._queue and not self._running


def _make_cluster() -> ClusterState:
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


def window_settings(workload: NightWorkload) -> WindowSettings:
    """Returns the execution window settings of a night's cluster."""
    return WindowSettings(
        on=True,
        capacity_cpus=workload.capacity,
        horizon_s=16 * 3600.0,
        classes=((JOB_CLASS, Deferral()),),
        fresh_s=3 * 3600.0,
        dead_s=12 * 3600.0,
    )


def run_with_windows(workload: NightWorkload) -> ScheduleOutcome:
    """Runs a night in which the leader's code holds jobs until cheaper windows."""
    outcome = ScheduleOutcome()
    capacity = SimulatedCapacity(workload, outcome)
    cluster = _make_cluster()
    book = PriceBook(3 * HOUR, 12 * HOUR)
    now = NIGHT_START
    book.add_series(workload.published_intervals(now) or [], now, now)
    deferrals = DeferralManager(cluster, window_settings(workload), book, now)
    released_counts: dict[str, int] = {}
    arrivals = list(workload.jobs)[::-1]
    polled_at = now
    while arrivals or cluster.jobs or not capacity.is_idle:
        previous, now = now, now + TICK_INTERVAL
        if now - polled_at >= FEED_POLL_INTERVAL:
            polled_at = now
            intervals = workload.published_intervals(now)
            if intervals is not None:
                book.add_series(intervals, now, now)
        while arrivals and arrivals[-1].submitted_at <= now:
            job = arrivals.pop()
            cluster_job = cluster.job_lifecycle.add(job.job_id, job.spec, 1, job.submitted_at)
            released_counts[job.job_id] = 0
            _record_plan_time(outcome, deferrals.on_job_added, cluster_job, now)
        _record_plan_time(outcome, deferrals.tick, now)
        for job_id, runtime in capacity.advance(now, previous):
            cluster_job = cluster.jobs[job_id]
            cluster.tasks.on_runtime_measured(cluster_job, runtime)
            cluster.predictor.task_completed(job_id, cluster_job.spec, runtime)
            cluster_job.completed.add(len(cluster_job.completed))
            if len(cluster_job.completed) == cluster_job.spec.task_count:
                cluster.job_lifecycle.remove(cluster_job)
        for job_id, count in released_counts.items():
            if job_id in cluster.jobs:
                limit = _start_limit(cluster.jobs[job_id])
                if limit > count:
                    capacity.release(capacity.jobs[job_id], count, limit - count)
                    released_counts[job_id] = limit
        capacity.advance(now, now)
        cluster.pending.clear()
        outcome.cpus_in_use.append(capacity.cpus_in_use)
        outcome.tasks_held.append(sum(job.deferred for job in cluster.jobs.values()))
    outcome.released_late, outcome.replans = deferrals.late_release_count, deferrals.replan_count
    return outcome


def _start_limit(job: Job) -> int:
    """Returns the number of the job's tasks that may be started; a negative `start_limit` means all."""
    return job.spec.task_count if job.start_limit < 0 else job.start_limit


def _record_plan_time(outcome: ScheduleOutcome, work: Callable[..., Any], *arguments: Any) -> None:
    started_at = time.process_time()
    work(*arguments)
    outcome.plan_ms.append((time.process_time() - started_at) * 1000)


def run_immediately(workload: NightWorkload) -> ScheduleOutcome:
    """Runs a night in which every job is released when it is submitted."""
    outcome = ScheduleOutcome()
    capacity = SimulatedCapacity(workload, outcome)
    arrivals = list(workload.jobs)[::-1]
    now = NIGHT_START
    while arrivals or not capacity.is_idle:
        previous, now = now, now + TICK_INTERVAL
        while arrivals and arrivals[-1].submitted_at <= now:
            job = arrivals.pop()
            capacity.release(job, 0, len(job.task_runtimes))
        capacity.advance(now, previous)
        outcome.cpus_in_use.append(capacity.cpus_in_use)
    return outcome


def run_comparison(workload: NightWorkload) -> tuple[ScheduleOutcome, ScheduleOutcome, float]:
    """Returns the immediate schedule, the schedule with windows, and the cost lower bound.

    The bound keeps the deadlines that the immediate schedule met, and ignores the others.
    """
    immediate, windows = run_immediately(workload), run_with_windows(workload)
    return (
        immediate,
        windows,
        compute_cost_lower_bound(workload, {job.job_id for job in workload.jobs} - immediate.jobs_on_time),
    )


def run(seed: int, jobs: int, fault: str, page: str | None = None) -> dict[str, Any]:
    """Returns the figures of one night, as `oatport lab windows --json` prints them.

    `page` is the path of an HTML report, None for no report. Raises ValueError for an unknown fault or a number of jobs
    out of range, and OSError if the report can't be written.
    """
    workload = generate_workload(seed, jobs, fault)
    immediate, windows, lower_bound = run_comparison(workload)
    plan_times_ms = sorted(windows.plan_ms)
    result = {
        "seed": seed,
        "fault": fault,
        "jobs": len(workload.jobs),
        "capacity_cpus": workload.capacity,
        "deadlines_met": {
            "immediate": len(immediate.jobs_on_time),
            "windows": len(windows.jobs_on_time),
            "bound": count_feasible_jobs(workload),
        },
        "cost": {
            "immediate": round(immediate.cost, 2),
            "windows": round(windows.cost, 2),
            "bound": round(lower_bound, 2),
        },
        "released_late": windows.released_late,
        "replans": windows.replans,
        "plan_ms_p99": round(plan_times_ms[int(0.99 * (len(plan_times_ms) - 1))], 3),
        "plan_ms_max": round(plan_times_ms[-1], 3),
    }
    if page is not None:
        from oatport.lab.report_page import write_report

        write_report(page, workload, immediate, windows, result)
    return result
