"""Which jobs are held and until when: the planner's plans on the leader's view. Pure; fed the time.

A held job isn't waiting yet. Let go, it is routed and placed like any other. Its plan is recorded with it: a new leader
lets go what that says at the times that it says, and plans anew only what an earlier one had not planned.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import Any

from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import DeferredStart, Job, JobKind
from oatport.control.state.task import TaskPhase
from oatport.times import SECOND, micros, seconds
from oatport.windows.margins import RuntimeMargins
from oatport.windows.planner import Need, Plan, Planner
from oatport.windows.prices import Book
from oatport.windows.settings import Deferral, WindowSettings

IMPROVED_AT_ONCE = 150  # plans made anew in one step
REKEYED_AT_ONCE = 100
FORGET_OVER = 1_000  # predictions of jobs that are over, beyond which they are dropped
MOVES_MOST = 6  # times that a job's record is written for a plan that was made anew
PAUSES_MOST = 2
RATE_OVER = 3600 * SECOND
QUIET = 3 * 3600 * SECOND  # nothing came for that long: what comes then is another night's
EXPECT_MOST = 3 * 3600 * SECOND
PAUSE_SAVES = 0.25  # share of its remaining cost that running work is stopped for
AGED_EVERY = 60 * SECOND  # a stale series loses weight that often


@dataclass(slots=True)
class Arrivals:
    """How much deferrable work comes: what is still to come needs cheap hours too."""

    _since: int = 0
    _rows: deque[tuple[int, float]] = field(default_factory=deque)  # of the last hour

    def came(self, now: int, work: float) -> None:
        if not self._rows or now - self._rows[-1][0] > QUIET:
            self._since = now  # a new night
        self._rows.append((now, work))

    def expected(self, now: int) -> float:
        """CPU-us to come: as much an hour as in the last, for as long again as it has gone on already."""
        while self._rows and self._rows[0][0] <= now - RATE_OVER:
            self._rows.popleft()
        if not self._rows:
            return 0.0
        gone_on = now - self._since
        return sum(work for _, work in self._rows) / RATE_OVER * min(gone_on, EXPECT_MOST)


@dataclass(slots=True)
class DayClock:
    """The time of day for deadlines, whichever of two clocks is further: a jump back holds nothing longer.

    A clock that jumps ahead lets work go early, which costs money and no deadline.
    """

    wall: int
    steady: int

    def at(self, wall: int, steady: int) -> int:
        return max(wall, self.wall + steady - self.steady)


class Holder:
    def __init__(self, cluster: ClusterState, settings: WindowSettings, book: Book, wall: int) -> None:
        self.cluster = cluster
        self.settings = settings
        self.book = book
        self.margins = RuntimeMargins()
        step = micros(settings.step_s)
        self.planner = Planner(step, max(2, round(settings.horizon_s / settings.step_s)), settings.capacity_cpus)
        self.planner.at(wall)
        self._priced: tuple[int, int] = (-1, 0)  # the book's version and the age that prices were read at
        self._predicted: dict[str, int] = {}  # job -> run time as predicted when it was let go
        self._checked_slot = self._advanced_slot = 0
        self.arrivals = Arrivals()
        self._rekeyed: dict[str, None] = {}
        self.anew = 0  # plans made anew: for the status, and for tests
        self.late = 0  # jobs let go after their latest safe start
        cluster.tasks.on_runtime_measured = self.measured
        self._price(wall)

    # --- jobs that come and go ---------------------------------------------------------------------

    def joined(self, job: Job, wall: int) -> None:
        """A job is new to this leader: hold it if that is worth something, or as was recorded."""
        deferral = self._deferral(job)
        if deferral is None or job.cancelled or job.completing:
            if job.start_limit >= 0:  # recorded under other settings
                self._open_all(job)
            return
        if job.deferral is not None:
            self._restore(job, deferral, wall)
        elif job.next_unbound_index == 0 and job.start_limit < 0:
            self._plan(job, deferral, wall)

    def _deferral(self, job: Job) -> Deferral | None:
        if job.kind is JobKind.SERVICE or job.spec.deadline_s is None:
            return None
        return self.settings.deferral(job.spec.job_class, job.spec.priority)

    def _need(self, job: Job, deferral: Deferral, tasks: int) -> Need:
        spec = job.spec
        run = self.cluster.predictor.run_time(job.job_id, spec)
        whole = job.kind is JobKind.GANG
        cpus = spec.cpus * (spec.task_count if whole else 1)
        # So many of its tasks run at a time, in so many rounds.
        rounds = -(-tasks * spec.cpus // self.settings.capacity_cpus)
        deadline = job.deadline
        assert deadline is not None
        longest = round(run * self.margins.factor(spec.job_class) * max(rounds, 1))
        latest = deadline - longest - self._reserve(job)
        return Need(
            job.job_id,
            cpus,
            1 if whole else tasks,
            max(run, SECOND),
            latest,
            self._sort(deferral.price, deferral.carbon),
            deferral.lateness,
        )

    def _reserve(self, job: Job) -> int:
        """Time for what the plan knows nothing of: a machine to boot, once more if it never comes up, an image."""
        kinds = self.cluster.catalog.preferred_types(job)
        boot = max((micros(kind.boot_time_s) for kind in kinds), default=0)
        fetch = max(
            (micros(job.spec.image_size_gb / max(kind.image_fetch_gb_per_s, 0.01)) for kind in kinds), default=0
        )
        return micros(self.settings.reserve_s) + 2 * boot + 2 * fetch

    @staticmethod
    def _sort(price: float, carbon: float) -> str:
        """Jobs with the same weights look at the same prices."""
        return f"{price:g}/{carbon:g}"

    def _plan(self, job: Job, deferral: Deferral, wall: int) -> None:
        self.planner.at(wall)
        need = self._need(job, deferral, job.spec.task_count)
        self.arrivals.came(wall, need.run * need.cpus * need.tasks)
        plan = self.planner.add(need)
        if self._starts_now(plan):
            self.planner.remove(job.job_id)
            return
        self._write(job, plan, 0)

    def _starts_now(self, plan: Plan) -> bool:
        return set(plan.starts) <= {self.planner.now // self.planner.step}

    def _keep_plan(self, job: Job, plan: Plan) -> None:
        """The plan that goes with the job's next record; what is recorded now holds for whoever takes over before."""
        if job.deferral is not None:
            job.deferral.plan = self._rows(job, plan)

    def _rows(self, job: Job, plan: Plan) -> list[tuple[int, int]]:
        return [(slot * self.planner.step, self._tasks(job, count)) for slot, count in sorted(plan.starts.items())]

    def _write(self, job: Job, plan: Plan, opened: int) -> None:
        before = job.deferral or DeferredStart([], "")
        hold = DeferredStart(self._rows(job, plan), plan.why, before.write_count, 0, before.pause_count)
        self.cluster.job_lifecycle.defer(job, opened, hold)

    @staticmethod
    def _tasks(job: Job, count: int) -> int:
        return job.spec.task_count if job.kind is JobKind.GANG else count

    def _restore(self, job: Job, deferral: Deferral, wall: int) -> None:
        """As an earlier leader recorded it."""
        hold = job.deferral
        assert hold is not None
        if hold.paused_until > wall:
            job.retry_at = self.cluster.now + hold.paused_until - wall
        left = job.deferred
        if left <= 0 or not hold.plan:
            self._open_all(job)
            return
        need = self._need(job, deferral, left)
        starts: dict[int, int] = {}
        for at, count in hold.plan:
            slot = at // self.planner.step
            starts[slot] = starts.get(slot, 0) + (1 if job.kind is JobKind.GANG else count)
        self.planner.restore(need, starts, hold.reason)
        if not job.pending:
            self.cluster.pending.discard(job)

    def _open_all(self, job: Job) -> None:
        self.planner.remove(job.job_id)
        if job.start_limit >= 0:
            self.cluster.job_lifecycle.release_deferred(job, job.spec.task_count)
        if job.deferral is not None:
            job.deferral.plan = []

    def measured(self, job: Job, took: int) -> None:
        """A task of some job was done after so long."""
        predicted = self._predicted.get(job.job_id)
        if predicted is None:
            predicted = self._predicted[job.job_id] = self.cluster.predictor.run_time(job.job_id, job.spec)
        if self.margins.on_task_completed(job.spec.job_class, took, predicted):
            self._rekey(job.spec.job_class)

    def _rekey(self, job_class: str) -> None:
        """Predictions of a class turned out otherwise: its latest safe starts are others now.

        Taken up a few hundred at a time, those whose bound comes first.
        """
        plans = self.planner.plans
        of_class = [ref for ref in plans if self.cluster.jobs[ref].spec.job_class == job_class]
        self._rekeyed.update(dict.fromkeys(sorted(of_class, key=lambda ref: (plans[ref].need.latest, ref))))

    def _rebound(self) -> None:
        for ref in list(self._rekeyed)[:REKEYED_AT_ONCE]:
            del self._rekeyed[ref]
            job = self.cluster.jobs.get(ref)
            deferral = self._deferral(job) if job is not None else None
            if job is not None and deferral is not None and ref in self.planner.plans:
                self.planner.bound(ref, self._need(job, deferral, max(job.deferred, 1)))

    # --- the time goes on ------------------------------------------------------------------------

    def tick(self, wall: int) -> int:
        """Let go what is due, and plan anew what a change concerns; how many tasks were let go."""
        planner = self.planner
        for ref in [ref for ref in planner.plans if self._over(ref)]:
            planner.remove(ref)  # cancelled meanwhile
        planner.at(wall)
        self._rebound()
        if planner.now // planner.step != self._advanced_slot:
            self._advanced_slot = planner.now // planner.step
            for sort in {plan.need.sort for plan in planner.plans.values()}:
                for ref in planner.advance(sort, self.arrivals.expected(wall)):
                    self._keep_plan(self.cluster.jobs[ref], planner.plans[ref])
        let_go = 0
        overdue = planner.overdue()
        for ref, count in planner.due():
            job = self.cluster.jobs[ref]
            self.late += ref in overdue
            self._predicted.setdefault(ref, self.cluster.predictor.run_time(ref, job.spec))
            tasks = self._tasks(job, count)
            if job.deferral is not None:
                job.deferral.plan = [row for row in job.deferral.plan if row[0] > wall]
            self.cluster.job_lifecycle.release_deferred(job, tasks)
            if ref not in planner.plans:
                self.cluster.job_lifecycle.release_deferred(job, job.spec.task_count)  # whatever rounding left
            let_go += tasks
        if len(self._predicted) > 2 * len(self.cluster.jobs) + FORGET_OVER:
            self._predicted = {ref: run for ref, run in self._predicted.items() if ref in self.cluster.jobs}
        self._price(wall)
        frozen = [ref for ref, plan in planner.plans.items() if plan.moves >= MOVES_MOST] if planner.marked else []
        for ref in planner.improve(IMPROVED_AT_ONCE, frozen):
            self.anew += 1
            job = self.cluster.jobs[ref]
            self._write(job, planner.plans[ref], max(job.start_limit, job.next_unbound_index))
        self._coming(wall)
        if planner.now // planner.step != self._checked_slot:
            self._checked_slot = planner.now // planner.step
            self._pause(wall)
        return let_go

    def _over(self, ref: str) -> bool:
        job = self.cluster.jobs.get(ref)
        return job is None or job.cancelled or job.completing

    def _price(self, wall: int) -> None:
        """The prices of the hours to come, when the book or its age has changed."""
        key = (self.book.version, wall // AGED_EVERY)
        if key == self._priced:
            return
        self._priced = key
        planner = self.planner
        sorts = {(d.price, d.carbon) for _, d in (*self.settings.classes, *self.settings.priorities)}
        for price, carbon in sorted(sorts):
            unit = self.book.slots(wall // planner.step, planner.slots, planner.step, wall, price, carbon)
            planner.price(self._sort(price, carbon), [round(cost, 2) for cost in unit])

    def _coming(self, wall: int) -> None:
        """What is let go within a moment counts in the queue estimate already."""
        self.cluster.upcoming_starts = [
            (job, self._tasks(job, count))
            for ref, count in self.planner.soon(wall + micros(self.settings.ahead_s))
            if (job := self.cluster.jobs.get(ref)) is not None
        ]

    def _pause(self, wall: int) -> None:
        """Stop running work that saves, where the settings allow it and much cheaper hours come in time."""
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
            hold = job.deferral or DeferredStart([], "")
            if not running or job.deferred or hold.pause_count >= PAUSES_MOST:
                continue
            need = self._need(job, deferral, len(running))
            save = micros(job.spec.checkpoint_duration_s) + 10 * SECOND
            plan = self.planner.quote(replace(need, latest=need.latest - save))
            if self._starts_now(plan) or plan.crowded or plan.saving < PAUSE_SAVES:
                continue
            until = min(plan.starts) * self.planner.step
            for task in running:
                self.cluster.tasks.stop(task, job.spec.stop_grace_s)
            job.retry_at = self.cluster.now + until - wall
            self.cluster.job_lifecycle.defer(
                job, -1, DeferredStart([], "paused for a cheaper hour", hold.write_count, until, hold.pause_count + 1)
            )

    # --- questions -------------------------------------------------------------------------------

    def explain(self, ref: str, wall: int) -> dict[str, Any]:
        """Why a job is held, until when, what that saves, and what would let it go earlier."""
        job = self.cluster.jobs.get(ref)
        if job is None:
            return {"job": ref, "held": False, "why": "no unfinished job of this id"}
        plan = self.planner.plans.get(ref)
        if plan is None:
            paused = job.deferral is not None and job.deferral.paused_until > wall
            why = job.deferral.reason if paused and job.deferral else "not held: it is routed as ever"
            return {"job": ref, "held": paused, "why": why, "pending": job.pending}
        age = self.book.age(wall)
        return {
            "job": ref,
            "held": True,
            "why": plan.why,
            "tasks_held": job.deferred,
            "windows": [
                {"from": slot * self.planner.step / SECOND, "tasks": self._tasks(job, count)}
                for slot, count in sorted(plan.starts.items())
            ],
            "until_s": seconds(max(min(plan.starts) * self.planner.step - wall, 0)),
            "latest_start_s": seconds(plan.need.latest - wall),
            "saves": round(plan.saving, 3),
            "margin": round(self.margins.factor(job.spec.job_class), 2),
            "prices_age_s": None if age is None else seconds(age),
            "earlier_if": "the latest safe start comes, its class's tasks take longer than predicted, "
            "an earlier hour gets cheaper or has room, or the price series gets too old to count",
        }

    def record(self) -> dict[str, Any]:
        return {"margins": self.margins.record()}

    def set_up(self, value: Any) -> None:
        if isinstance(value, dict):
            self.margins.load(value.get("margins"))
