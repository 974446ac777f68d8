"""Applies the planner's plans to the leader's cluster state: defers the starts of jobs and releases them when due.

The code does no I/O, and the caller passes the time. A deferred task is not pending; after its release it is routed and
placed like any other. A job's plan is recorded with the job: a new leader releases the tasks at the recorded times, and
plans only jobs without a recorded plan.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import Any

from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import DeferredStart, Job, JobKind
from oatport.control.state.task import TaskPhase
from oatport.sizes import json_size
from oatport.times import SECOND, micros, seconds
from oatport.windows.margins import RuntimeMargins
from oatport.windows.plan import JobDemand, Plan
from oatport.windows.planner import Planner
from oatport.windows.prices import PriceBook
from oatport.windows.settings import Deferral, WindowSettings

MAX_REPLANS_PER_STEP = 150
MAX_DEMAND_UPDATES_PER_STEP = 100
MAX_STALE_PREDICTIONS = 1_000  # predictions of finished jobs that are stored before a clean-up
MAX_MOVES_PER_JOB = 6  # bounds how often a job's record is written for a changed plan
MAX_PAUSES_PER_JOB = 2
ARRIVAL_RATE_PERIOD = 3600 * SECOND
MAX_ARRIVAL_GAP = 3 * 3600 * SECOND  # an arrival after a longer gap starts a new busy period (another night)
MAX_FORECAST_SPAN = 3 * 3600 * SECOND
MIN_PAUSE_SAVING = 0.25  # share of the remaining cost; running tasks are not stopped for less
PRICE_UPDATE_INTERVAL = 60 * SECOND  # how often the weight of a stale price series is lowered


@dataclass(slots=True)
class ArrivalForecast:
    """Estimates from recent arrivals how much deferrable work will still arrive and need cheap hours too."""

    _started_at: int = 0
    _recent: deque[tuple[int, float]] = field(default_factory=deque)  # (time, CPU-us) of the last hour

    def add(self, now: int, work: float) -> None:
        """Records an arrival of `work` CPU-us."""
        if not self._recent or now - self._recent[-1][0] > MAX_ARRIVAL_GAP:
            self._started_at = now  # a new busy period
        self._recent.append((now, work))

    def expected_work(self, now: int) -> float:
        """Returns the CPU-us expected to arrive: the last hour's rate, for as long again as the busy period has lasted.

        The forecast covers at most MAX_FORECAST_SPAN.
        """
        while self._recent and self._recent[0][0] <= now - ARRIVAL_RATE_PERIOD:
            self._recent.popleft()
        if not self._recent:
            return 0.0
        elapsed = now - self._started_at
        return sum(work for _, work in self._recent) / ARRIVAL_RATE_PERIOD * min(elapsed, MAX_FORECAST_SPAN)


@dataclass(slots=True)
class DayClock:
    """Provides the time of day for deadlines: the later of the wall clock and its start value plus the time elapsed.

    A wall clock that jumps back therefore defers nothing for longer. One that jumps ahead releases tasks early, which
    costs money but misses no deadline.
    """

    wall: int
    steady: int

    def at(self, wall: int, steady: int) -> int:
        """Returns the time of day, given the current readings of both clocks."""
        return max(wall, self.wall + steady - self.steady)


class DeferralManager:
    """Decides which jobs of the leader are deferred, releases their tasks when due, and records their plans."""

    def __init__(self, cluster: ClusterState, settings: WindowSettings, book: PriceBook, wall: int) -> None:
        self.cluster = cluster
        self.settings = settings
        self.book = book
        self.margins = RuntimeMargins()
        step = micros(settings.step_s)
        self.planner = Planner(step, max(2, round(settings.horizon_s / settings.step_s)), settings.capacity_cpus)
        self.planner.advance_to(wall)
        # The price book's version and the time (in multiples of PRICE_UPDATE_INTERVAL) of the last price update.
        self._prices_key: tuple[int, int] = (-1, 0)
        self._predicted_runtimes: dict[str, int] = {}  # job -> run time predicted at its first release
        self._pause_checked_slot = self._early_start_slot = 0
        self.arrival_forecast = ArrivalForecast()
        self._pending_updates: dict[str, None] = {}  # jobs whose latest safe start changed
        self.replan_count = 0  # plans changed by a replan, for the figures of the lab
        self.late_release_count = 0  # releases more than a slot after a job's latest safe start
        cluster.tasks.on_runtime_measured = self.on_runtime_measured
        self._update_prices(wall)

    # --- jobs -------------------------------------------------------------------------------------

    def on_job_added(self, job: Job, wall: int) -> None:
        """Defers a job that is new to this leader: as recorded, or as planned now if that saves enough.

        A recorded deferral that the settings no longer allow is released.
        """
        deferral = self._deferral(job)
        if deferral is None or job.cancelled or job.completing:
            if job.start_limit >= 0:  # an earlier leader deferred it under other settings
                self._release_all(job)
            return
        if job.deferral is not None:
            self._restore_plan(job, deferral, wall)
        elif job.next_unbound_index == 0 and job.start_limit < 0:
            self._plan_job(job, deferral, wall)

    def _deferral(self, job: Job) -> Deferral | None:
        """Returns how a job may be deferred; None for a service, without a deadline, or if no setting applies."""
        if job.kind is JobKind.SERVICE or job.spec.deadline_s is None:
            return None
        return self.settings.deferral(job.spec.job_class, job.spec.priority)

    def _demand(self, job: Job, deferral: Deferral, tasks: int) -> JobDemand:
        """Returns the demand of `tasks` tasks of a job, with the latest safe start; a gang counts as one task."""
        spec = job.spec
        runtime = self.cluster.predictor.run_time(job.job_id, spec)
        is_gang = job.kind is JobKind.GANG
        cpus = spec.cpus * (spec.task_count if is_gang else 1)
        # The deferred tasks run in rounds, each as large as the capacity allows.
        rounds = -(-tasks * spec.cpus // self.settings.capacity_cpus)
        deadline = job.deadline
        assert deadline is not None
        max_duration = round(runtime * self.margins.factor(spec.job_class) * max(rounds, 1))
        latest_start = deadline - max_duration - self._startup_reserve(job)
        return JobDemand(
            job.job_id,
            cpus,
            1 if is_gang else tasks,
            max(runtime, SECOND),
            latest_start,
            self._profile(deferral.price, deferral.carbon),
            deferral.lateness,
        )

    def _startup_reserve(self, job: Job) -> int:
        """Returns the time for boot and image fetch, which plans omit; twice each, as a machine may never come up."""
        machine_types = self.cluster.catalog.preferred_types(job)
        boot = max((micros(machine_type.boot_time_s) for machine_type in machine_types), default=0)
        fetch = max(
            (
                micros(job.spec.image_size_gb / max(machine_type.image_fetch_gb_per_s, 0.01))
                for machine_type in machine_types
            ),
            default=0,
        )
        return micros(self.settings.reserve_s) + 2 * boot + 2 * fetch

    @staticmethod
    def _profile(price: float, carbon: float) -> str:
        """Returns the name of a price profile: jobs with the same weights have the same unit costs."""
        return f"{price:g}/{carbon:g}"

    def _plan_job(self, job: Job, deferral: Deferral, wall: int) -> None:
        self.planner.advance_to(wall)
        demand = self._demand(job, deferral, job.spec.task_count)
        self.arrival_forecast.add(wall, demand.runtime * demand.cpus * demand.task_count)
        plan = self.planner.add(demand)
        if self._starts_now(plan):
            self.planner.remove(job.job_id)
            return
        self._write_plan(job, plan, 0)

    def _starts_now(self, plan: Plan) -> bool:
        return set(plan.starts) <= {self.planner.now // self.planner.step}

    def _update_recorded_plan(self, job: Job, plan: Plan) -> None:
        """Updates the plan in the job's next record; a leader that takes over earlier uses the plan recorded now."""
        if job.deferral is not None:
            job.deferral.plan = self._plan_rows(job, plan)

    def _plan_rows(self, job: Job, plan: Plan) -> list[tuple[int, int]]:
        return [(slot * self.planner.step, self._task_count(job, count)) for slot, count in sorted(plan.starts.items())]

    def _write_plan(self, job: Job, plan: Plan, start_limit: int) -> None:
        previous = job.deferral or DeferredStart([], "")
        deferred_start = DeferredStart(
            self._plan_rows(job, plan), plan.reason, previous.write_count, 0, previous.pause_count
        )
        self.cluster.job_lifecycle.defer(job, start_limit, deferred_start)

    @staticmethod
    def _task_count(job: Job, count: int) -> int:
        return job.spec.task_count if job.kind is JobKind.GANG else count

    def _restore_plan(self, job: Job, deferral: Deferral, wall: int) -> None:
        """Restores the plan and the pause that an earlier leader recorded with a job."""
        deferred_start = job.deferral
        assert deferred_start is not None
        if deferred_start.paused_until > wall:
            job.retry_at = self.cluster.now + deferred_start.paused_until - wall
        deferred_count = job.deferred
        if deferred_count <= 0 or not deferred_start.plan:
            self._release_all(job)
            return
        demand = self._demand(job, deferral, deferred_count)
        starts: dict[int, int] = {}
        for at, count in deferred_start.plan:
            slot = at // self.planner.step
            starts[slot] = starts.get(slot, 0) + (1 if job.kind is JobKind.GANG else count)
        self.planner.restore(demand, starts, deferred_start.reason)
        if not job.pending:
            self.cluster.pending.discard(job)

    def _release_all(self, job: Job) -> None:
        self.planner.remove(job.job_id)
        if job.start_limit >= 0:
            self.cluster.job_lifecycle.release_deferred(job, job.spec.task_count)
        if job.deferral is not None:
            job.deferral.plan = []

    def on_runtime_measured(self, job: Job, actual: int) -> None:
        """Records the actual run time of a completed task, and schedules updates if its class's margin changed."""
        predicted = self._predicted_runtimes.get(job.job_id)
        if predicted is None:
            predicted = self._predicted_runtimes[job.job_id] = self.cluster.predictor.run_time(job.job_id, job.spec)
        if self.margins.on_task_completed(job.spec.job_class, actual, predicted):
            self._schedule_demand_updates(job.spec.job_class)

    def _schedule_demand_updates(self, job_class: str) -> None:
        """Schedules new latest safe starts for the jobs of a class whose run time margin changed.

        MAX_DEMAND_UPDATES_PER_STEP of them are applied per step, those with the earliest latest start first.
        """
        plans = self.planner.plans
        class_job_ids = [job_id for job_id in plans if self.cluster.jobs[job_id].spec.job_class == job_class]
        self._pending_updates.update(
            dict.fromkeys(sorted(class_job_ids, key=lambda job_id: (plans[job_id].demand.latest_start, job_id)))
        )

    def _apply_demand_updates(self) -> None:
        for job_id in list(self._pending_updates)[:MAX_DEMAND_UPDATES_PER_STEP]:
            del self._pending_updates[job_id]
            job = self.cluster.jobs.get(job_id)
            deferral = self._deferral(job) if job is not None else None
            if job is not None and deferral is not None and job_id in self.planner.plans:
                self.planner.update_demand(job_id, self._demand(job, deferral, max(job.deferred, 1)))

    # --- steps ------------------------------------------------------------------------------------

    def tick(self, wall: int) -> int:
        """Releases the tasks that are due, and replans jobs affected by a change; returns the number released."""
        planner = self.planner
        for job_id in [job_id for job_id in planner.plans if self._is_finished(job_id)]:
            planner.remove(job_id)  # cancelled, completing or removed since the last step
        planner.advance_to(wall)
        self._apply_demand_updates()
        if planner.now // planner.step != self._early_start_slot:
            self._early_start_slot = planner.now // planner.step
            for profile in {plan.demand.profile for plan in planner.plans.values()}:
                for job_id in planner.start_early(profile, self.arrival_forecast.expected_work(wall)):
                    self._update_recorded_plan(self.cluster.jobs[job_id], planner.plans[job_id])
        released_tasks = 0
        overdue = planner.overdue()
        for job_id, count in planner.take_due():
            job = self.cluster.jobs[job_id]
            self.late_release_count += job_id in overdue
            self._predicted_runtimes.setdefault(job_id, self.cluster.predictor.run_time(job_id, job.spec))
            tasks = self._task_count(job, count)
            if job.deferral is not None:
                job.deferral.plan = [row for row in job.deferral.plan if row[0] > wall]
            self.cluster.job_lifecycle.release_deferred(job, tasks)
            if job_id not in planner.plans:
                self.cluster.job_lifecycle.release_deferred(job, job.spec.task_count)  # tasks that rounding left over
            released_tasks += tasks
        if len(self._predicted_runtimes) > 2 * len(self.cluster.jobs) + MAX_STALE_PREDICTIONS:
            self._predicted_runtimes = {
                job_id: runtime for job_id, runtime in self._predicted_runtimes.items() if job_id in self.cluster.jobs
            }
        self._update_prices(wall)
        frozen = (
            [job_id for job_id, plan in planner.plans.items() if plan.move_count >= MAX_MOVES_PER_JOB]
            if planner.dirty_count
            else []
        )
        for job_id in planner.replan_dirty(MAX_REPLANS_PER_STEP, frozen):
            self.replan_count += 1
            job = self.cluster.jobs[job_id]
            self._write_plan(job, planner.plans[job_id], max(job.start_limit, job.next_unbound_index))
        self._update_upcoming_starts(wall)
        if planner.now // planner.step != self._pause_checked_slot:
            self._pause_checked_slot = planner.now // planner.step
            self._pause_running(wall)
        return released_tasks

    def _is_finished(self, job_id: str) -> bool:
        job = self.cluster.jobs.get(job_id)
        return job is None or job.cancelled or job.completing

    def _update_prices(self, wall: int) -> None:
        """Passes the prices of the coming slots to the planner if the price book or its age has changed."""
        key = (self.book.version, wall // PRICE_UPDATE_INTERVAL)
        if key == self._prices_key:
            return
        self._prices_key = key
        planner = self.planner
        weights = {
            (deferral.price, deferral.carbon) for _, deferral in (*self.settings.classes, *self.settings.priorities)
        }
        for price, carbon in sorted(weights):
            costs = self.book.slot_costs(wall // planner.step, planner.horizon.slots, planner.step, wall, price, carbon)
            planner.set_prices(self._profile(price, carbon), [round(cost, 2) for cost in costs])

    def _update_upcoming_starts(self, wall: int) -> None:
        """Publishes the tasks that are released soon (`ahead_s`), so that queue wait estimates include them."""
        self.cluster.upcoming_starts = [
            (job, self._task_count(job, count))
            for job_id, count in self.planner.starts_until(wall + micros(self.settings.ahead_s))
            if (job := self.cluster.jobs.get(job_id)) is not None
        ]

    def _pause_running(self, wall: int) -> None:
        """Pauses running jobs that write checkpoints, if the settings allow it and much cheaper hours come in time."""
        for job in list(self.cluster.jobs.values()):
            deferral = self._deferral(job)
            if (
                deferral is None
                or not deferral.pause
                or job.spec.checkpoint_interval_s <= 0
                or job.cancelled
                or job.completing
            ):
                continue
            running = [
                t for t in job.tasks.values() if t.phase is TaskPhase.BOUND and t.running_since and not t.stop_grace_s
            ]
            deferred_start = job.deferral or DeferredStart([], "")
            if not running or job.deferred or deferred_start.pause_count >= MAX_PAUSES_PER_JOB:
                continue
            demand = self._demand(job, deferral, len(running))
            checkpoint_time = micros(job.spec.checkpoint_duration_s) + 10 * SECOND
            plan = self.planner.quote(replace(demand, latest_start=demand.latest_start - checkpoint_time))
            if self._starts_now(plan) or plan.is_overcommitted or plan.saving < MIN_PAUSE_SAVING:
                continue
            until = min(plan.starts) * self.planner.step
            for task in running:
                self.cluster.tasks.stop(task, job.spec.stop_grace_s)
            job.retry_at = self.cluster.now + until - wall
            self.cluster.job_lifecycle.defer(
                job,
                -1,
                DeferredStart(
                    [], "paused for a cheaper hour", deferred_start.write_count, until, deferred_start.pause_count + 1
                ),
            )

    # --- inspection and records -------------------------------------------------------------------

    def explain(self, job_id: str, wall: int) -> dict[str, Any]:
        """Returns why a job is deferred, until when, what that saves, and what would release it earlier."""
        job = self.cluster.jobs.get(job_id)
        if job is None:
            return {"job": job_id, "held": False, "why": "no unfinished job of this id"}
        plan = self.planner.plans.get(job_id)
        if plan is None:
            paused = job.deferral is not None and job.deferral.paused_until > wall
            reason = job.deferral.reason if paused and job.deferral else "not held: it is routed as ever"
            return {"job": job_id, "held": paused, "why": reason, "pending": job.pending}
        age = self.book.age(wall)
        return {
            "job": job_id,
            "held": True,
            "why": plan.reason,
            "tasks_held": job.deferred,
            "windows": [
                {"from": slot * self.planner.step / SECOND, "tasks": self._task_count(job, count)}
                for slot, count in sorted(plan.starts.items())
            ],
            "until_s": seconds(max(min(plan.starts) * self.planner.step - wall, 0)),
            "latest_start_s": seconds(plan.demand.latest_start - wall),
            "saves": round(plan.saving, 3),
            "margin": round(self.margins.factor(job.spec.job_class), 2),
            "prices_age_s": None if age is None else seconds(age),
            "earlier_if": "the latest safe start comes, its class's tasks take longer than predicted, "
            "an earlier hour gets cheaper or has room, or the price series gets too old to count",
        }

    def record(self, max_bytes: int) -> dict[str, Any]:
        """Returns the run time margins for the next leader, in at most `max_bytes` of JSON."""
        envelope_bytes = json_size({"margins": {}})
        return {"margins": self.margins.record(max_bytes - envelope_bytes)}

    def load_record(self, value: Any) -> None:
        """Restores the run time margins from an earlier leader's record."""
        if isinstance(value, dict):
            self.margins.load(value.get("margins"))
