"""The rules of PROTOCOL, judged by what is on machines and what users were told; never by what controllers believe."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oatport.settings import ClusterSettings
from oatport.simulation.users import SubmittedJob
from oatport.simulation.virtual_time import VirtualLoop
from oatport.simulation.worker import EXIT_DONE, Worker
from oatport.times import SECOND

POLLS_FAIL_FOR = 75.0
EPSILON = 1e-6
AT_LIMIT = 0.9  # of its limit: a team that takes so much has no room for most of its tasks
TROUBLES = ("died", "taken", "lease")  # what destroys a result and is not the service's doing
STARTED_WITHIN = 30.0  # seconds; a job accepted later than so long before the end may just be waiting for a boot


@dataclass
class TaskLocation:
    worker: Worker
    attempt: int
    since: float


@dataclass
class InvariantChecker:
    loop: VirtualLoop
    settings: ClusterSettings
    jobs: dict[str, SubmittedJob] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    on_first_violation: Callable[[], None] = lambda: None  # a rule breaks for the first time
    on_status_change: Callable[[SubmittedJob], None] = lambda ask: (
        None
    )  # its user was told for the first time: accepted, done, cancelled
    on_job_completed: Callable[[SubmittedJob], None] = lambda ask: None  # all tasks of a job have ended
    last_fault_ends_at: float = 0.0  # when the last trouble ends
    unanswered_s_max: float = 0.0  # the longest that no question about a job was answered, after all troubles
    closed: bool = False  # what happens now is no part of the run
    locations: dict[str, TaskLocation] = field(default_factory=dict)  # task -> where it is
    _by_job: defaultdict[str, dict[str, Worker]] = field(default_factory=lambda: defaultdict(dict))
    _team_usage: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(lambda: [0.0, 0.0]))
    _completed_tasks: defaultdict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    _completed_on: dict[str, Worker] = field(default_factory=dict)  # task -> where it completed
    # Tasks whose end a leader knows, since it answered the report that told of it: of that task, or of its gang's mate.
    _acknowledged: dict[str, str] = field(default_factory=dict)
    _limit_samples: int = 0
    _samples_at_limit: Counter[str] = field(default_factory=Counter)  # team -> looks at which it was at its limit

    def report_violation(self, rule: str, what: str) -> None:
        if not self.violations:
            self.on_first_violation()
        self.violations.append(f"{rule} at {self.loop.time() - 1000:.2f} s: {what}")

    @property
    def broken_invariants(self) -> set[str]:
        return {row.split(" ", 1)[0] for row in self.violations}

    # --- machines ---------------------------------------------------------------------------

    def on_task_started(self, worker: Worker, task: str, attempt: int) -> None:
        if self.closed:
            return
        now = self.loop.time()
        self.counts["starts"] += 1
        ref = task.rsplit("/", 1)[0]
        ask = self.jobs[ref]
        ask.started_at = ask.started_at or now
        there = self.locations.get(task)
        if there is not None:
            self.report_violation(
                "ran_twice",
                f"{task} attempt {attempt} starts on {worker.name}, attempt {there.attempt} is on {there.worker.name}",
            )
        if task in self._completed_tasks[ref]:
            self._on_completed_task_started(worker, task)
        self.counts["starts_cancelled"] += ask.cancelled_at is not None
        if ask.cancelled_at is not None and now > ask.cancelled_at + self.settings.workers.cancel_s + EPSILON:
            self.report_violation("ran_cancelled", f"{task} starts on {worker.name}")
        for need in ask.dependencies:
            if need.completed_at is None or need.cancelled_at is not None:
                what = "was cancelled" if need.cancelled_at is not None else f"has done {need.completed_tasks} tasks"
                self.report_violation(
                    "too_early", f"{task} starts on {worker.name}, {need.job_id} that it needs {what}"
                )
        self._check_placement(ask.body, worker, task)
        self.locations[task] = TaskLocation(worker, attempt, now)
        self._by_job[ref][task] = worker
        team = str(ask.body["crew"])
        use = self._team_usage[team]
        use[0] += float(ask.body["cores"])
        use[1] += float(ask.body["accelerators"])
        limits = next(t for t in self.settings.teams if t.name == team)
        if (limits.cpus_max > 0 and use[0] > limits.cpus_max + EPSILON) or (
            limits.gpus_max > 0 and use[1] > limits.gpus_max + EPSILON
        ):
            self.report_violation(
                "quota", f"{team} uses {use[0]:g} CPUs and {use[1]:g} GPUs with {task} on {worker.name}"
            )

    def _on_completed_task_started(self, worker: Worker, task: str) -> None:
        """A task starts though it is done.

        That breaks a rule if a leader had taken its end in, unless a trouble destroyed the result before that could be
        recorded: the machine died, was taken, or its lease ended. What the service itself did with it is no excuse.
        """
        self.counts["starts_after_done"] += 1
        if task not in self._acknowledged:
            return
        told = self._acknowledged[task]
        fate = self._completed_on[told].lost_completions.get(told, "")
        if fate in TROUBLES:
            self.counts["results_lost"] += 1
            return
        self.report_violation(
            "ran_twice",
            f"{task} starts on {worker.name} though it was done on "
            f"{self._completed_on[task].name}{': ' + fate if fate else ''}",
        )

    def on_completions_acknowledged(self, tasks: list[str]) -> None:
        """A leader answered a report that told of these ends. That of one task of a gang tells of all (PROTOCOL)."""
        for task in tasks:
            if task not in self._completed_on or self._acknowledged.get(task) == task:
                continue
            self._acknowledged[task] = task
            ref = task.rsplit("/", 1)[0]
            if self.jobs[ref].body["rig"] == "gang":
                for mate in self._completed_tasks[ref]:
                    self._acknowledged.setdefault(mate, task)

    def sample_limits(self) -> None:
        """Which teams are at their limits now: to be called at equal intervals."""
        self._limit_samples += 1
        for team in self.settings.teams:
            cpus, gpus = self._team_usage[team.name]
            self._samples_at_limit[team.name] += (team.cpus_max > 0 and cpus >= AT_LIMIT * team.cpus_max) or (
                team.gpus_max > 0 and gpus >= AT_LIMIT * team.gpus_max
            )

    def at_limit(self) -> dict[str, float]:
        """For each team the share of the time in which it was at its limit."""
        return {
            team.name: self._samples_at_limit[team.name] / max(1, self._limit_samples) for team in self.settings.teams
        }

    def _check_placement(self, body: dict[str, Any], worker: Worker, task: str) -> None:
        zones = Counter(w.zone for t, w in self._by_job[str(body["ref"])].items() if t != task)
        wrong = ""
        if worker.spot and not body["driftwood"]:
            wrong = "a spot machine"
        elif body["berthKinds"] is not None and worker.type not in body["berthKinds"]:
            wrong = f"type {worker.type}"
        elif body["harbor"] not in (None, worker.zone):
            wrong = f"zone {worker.zone}"
        elif body["samePlace"] and any(zone != worker.zone for zone in zones):
            wrong = f"zone {worker.zone}, others are in {sorted(zones)}"
        elif body["spread"] and zones[worker.zone] + 1 > (int(body["legs"]) + 1) // 2:
            wrong = f"zone {worker.zone} has {zones[worker.zone]} of {body['legs']} already"
        if wrong:
            self.report_violation("wrong_place", f"{task} starts on {worker.name}: {wrong}")

    def on_task_stopped(self, worker: Worker, task: str, attempt: int, why: str) -> None:
        if self.closed:
            return
        now = self.loop.time()
        ref = task.rsplit("/", 1)[0]
        ask = self.jobs[ref]
        place = self.locations.get(task)
        if place is not None and place.worker is worker and place.attempt == attempt:
            del self.locations[task]
            del self._by_job[ref][task]
            if ask.body["rig"] == "standing":
                ask.replica_uptime_us += round((now - place.since) * SECOND)
        use = self._team_usage[str(ask.body["crew"])]
        use[0] -= float(ask.body["cores"])
        use[1] -= float(ask.body["accelerators"])
        self.counts["stops"] += why == "halted"
        self.counts["lease_kills"] += why == "lease"
        if why == EXIT_DONE:
            self._completed_tasks[ref].add(task)
            self._completed_on.setdefault(task, worker)
            ask.completed_tasks = len(self._completed_tasks[ref])
            if ask.completed_tasks >= int(ask.body["legs"]) and ask.completed_at is None:
                ask.completed_at = now
                self.on_job_completed(ask)

    def on_cancellation_due(self, ask: SubmittedJob) -> None:
        """So long after its user was told: nothing of it may be left."""
        for task in self._by_job[ask.job_id]:
            self.report_violation("ran_cancelled", f"{task} is still on {self.locations[task].worker.name}")

    # --- users ------------------------------------------------------------------------------

    def on_user_answer(self, ask: SubmittedJob, what: str, status: int, value: Any) -> None:
        if self.closed:
            return
        now = self.loop.time()
        self.counts["answers" if status else "no_answer"] += 1
        state = str(value.get("status")) if status in (200, 201) and isinstance(value, dict) else ""
        if what == "poll":
            self._on_poll(ask, status, now)
        if ask.accepted_at is not None and (status == 404 or (what == "submit" and status in (400, 422))):
            self.report_violation("forgotten", f"{what} of {ask.job_id} was answered {status}")
        if not state:
            return
        if ask.cancelled_at is not None and state != "aborted":
            self.report_violation("went_back", f"{ask.job_id} was cancelled, and is called {state}")
        if ask.done_at is not None and state != "done":
            self.report_violation("went_back", f"{ask.job_id} was done, and is called {state}")
        fallen = self._cancelled_dependency_since(ask)
        if (
            state in ("queued", "running")
            and fallen is not None
            and (now > max(fallen, ask.accepted_at or now) + self.settings.workers.cancel_s + EPSILON)
        ):
            self.report_violation(
                "orphaned", f"{ask.job_id} is called {state}, a job before it was cancelled {now - fallen:.0f} s ago"
            )
        if state == "aborted":
            if what != "cancel" and ask.cancel_at is None and not self._may_be_cancelled(ask):
                self.report_violation("went_back", f"{ask.job_id} is called cancelled, and nobody cancelled it")
            if ask.cancelled_at is None:
                ask.cancelled_at = now
                self.on_status_change(ask)
                self.loop.call_later_us(
                    round(self.settings.workers.cancel_s * SECOND) + 1000, None, self.on_cancellation_due, ask
                )
        if state == "done":
            if ask.completed_at is None:
                self.report_violation(
                    "not_done", f"{ask.job_id} is called done after {ask.completed_tasks} of {ask.body['legs']} tasks"
                )
            if ask.done_at is None:
                ask.done_at = now
                self.on_status_change(ask)
        elif status == 201 and state == "queued":
            self.on_status_change(ask)

    def _cancelled_dependency_since(self, ask: SubmittedJob) -> float | None:
        """Since when a user knows that a job before it is cancelled; None: nobody was told so."""
        times = [
            need.cancelled_at if need.cancelled_at is not None else self._cancelled_dependency_since(need)
            for need in ask.dependencies
            if need.completed_at is None or need.cancelled_at is not None
        ]
        return min((at for at in times if at is not None), default=None)

    @staticmethod
    def _is_blocked(ask: SubmittedJob) -> bool:
        """It can't begin: a job before it isn't done, or is cancelled."""
        return any(need.completed_at is None or need.cancelled_at is not None for need in ask.dependencies)

    def _may_be_cancelled(self, ask: SubmittedJob) -> bool:
        """A user asked for the cancellation of a job before it."""
        return any(need.cancel_at is not None or self._may_be_cancelled(need) for need in ask.dependencies)

    def _on_poll(self, ask: SubmittedJob, status: int, now: float) -> None:
        """Once all troubles are over, a job about which no question is answered for so long is forgotten."""
        if status in (200, 404):
            ask.answered_at = now
            return
        quiet = now - max(ask.answered_at, self.last_fault_ends_at, ask.accepted_at or now)
        self.unanswered_s_max = max(self.unanswered_s_max, quiet)
        if quiet >= POLLS_FAIL_FOR:
            self.report_violation("forgotten", f"no question about {ask.job_id} was answered for {quiet:.0f} s")
            ask.answered_at = now

    def on_invalid_submission(self, body: dict[str, Any], status: int, right: tuple[int, ...]) -> None:
        """A job that can't run, or lacks a field, and what was answered."""
        self.counts["odd_requests"] += 1
        if status and status not in (*right, 413, 429, 503):
            self.report_violation("accepted_wrongly", f"{body['ref']} was answered {status}, not {right[0]}")

    def on_unknown_job_poll(self, ref: str, status: int) -> None:
        """A poll for a job that nobody submitted."""
        if status == 200:
            self.report_violation("invented", f"{ref} was never submitted")

    def largest_job_figures(self) -> tuple[float, float]:
        """Of each class's largest tenth (by tasks times room): the least share that began, and the longest wait (s).

        Of jobs that could begin: not cancelled, not mistaken, waiting for no other, accepted a while before the end.
        """
        end = self.loop.time()
        rows: defaultdict[str, list[SubmittedJob]] = defaultdict(list)
        for ask in self.jobs.values():
            if (
                ask.accepted_at is not None
                and ask.accepted_at < end - STARTED_WITHIN
                and not ask.always_fails
                and (ask.cancel_at is None)
                and not self._is_blocked(ask)
                and not self._may_be_cancelled(ask)
            ):
                rows[str(ask.body["cargo"])].append(ask)
        least, longest = 1.0, 0.0
        for asks in rows.values():
            asks.sort(key=lambda a: -float(a.body["cores"]) * int(a.body["legs"]))
            top = asks[: max(1, len(asks) // 10)]
            least = min(least, sum(a.started_at is not None for a in top) / len(top))
            longest = max([longest, *((a.started_at or end) - self._could_start_at(a) for a in top)])
        return least, longest

    @staticmethod
    def _could_start_at(ask: SubmittedJob) -> float:
        return max([ask.accepted_at or ask.submit_at, *(need.completed_at or 0.0 for need in ask.dependencies)])

    def pipeline_figures(self) -> dict[str, int]:
        """Pipelines whose last job was submitted and not cancelled, and those of them that were complete in time."""
        lasts = [
            a
            for a in self.jobs.values()
            if a.ends_pipeline
            and a.accepted_at is not None
            and a.cancelled_at is None
            and a.submit_at + float(a.body["tideS"]) < self.loop.time()
        ]
        return {
            "pipelines": len(lasts),
            "in_time": sum(
                a.completed_at is not None and a.completed_at <= a.submit_at + float(a.body["tideS"]) for a in lasts
            ),
        }

    # --- shares -----------------------------------------------------------------------------

    def finish(self) -> None:
        """The day is over."""
        if self.jobs and not self.counts["starts"]:
            self.report_violation("nothing_ran", "no task was started")
        for task, place in list(self.locations.items()):
            ask = self.jobs[task.rsplit("/", 1)[0]]
            if ask.body["rig"] == "standing":
                ask.replica_uptime_us += round((self.loop.time() - place.since) * SECOND)

    def starved_groups(self, workers: list[Worker]) -> list[str]:
        """Classes and teams less than half of whose jobs were ever started, though one that waits finds room now."""
        end = self.loop.time()
        found = []
        for by in ("cargo", "crew"):
            rows: defaultdict[str, list[SubmittedJob]] = defaultdict(list)
            for ask in self.jobs.values():
                if (
                    ask.accepted_at is not None
                    and ask.accepted_at < end - STARTED_WITHIN
                    and not ask.always_fails
                    and (ask.cancel_at is None or ask.cancel_at > end)
                    and not self._is_blocked(ask)
                ):
                    rows[str(ask.body[by])].append(ask)
            for name, asks in sorted(rows.items()):
                waiting = [ask for ask in asks if ask.started_at is None]
                if len(waiting) * 2 > len(asks) and any(self._fits(a.body, w) for a in waiting for w in workers):
                    found.append(f"{name}: {len(waiting)} of {len(asks)} jobs wait beside free room")
        return found

    def _fits(self, body: dict[str, Any], worker: Worker) -> bool:
        limits = next(t for t in self.settings.teams if t.name == body["crew"])
        use = self._team_usage[str(body["crew"])][0] + float(body["cores"])
        if (limits.cpus_max > 0 and use > limits.cpus_max) or (worker.spot and not body["driftwood"]):
            return False
        if body["berthKinds"] is not None and worker.type not in body["berthKinds"]:
            return False
        return body["harbor"] in (None, worker.zone) and worker.fits(body)

    def served_shares(self, by: str) -> dict[str, dict[str, float]]:
        """By class (`cargo`) or team (`crew`): shares accepted, started and completed of what was first submitted.

        Of services the share of their replicas' time, from their submission on, that they were up counts as completed.
        Jobs that their users cancelled, or submitted with a mistake, count only as submitted and accepted.
        """
        end = self.loop.time()
        rows: defaultdict[str, list[SubmittedJob]] = defaultdict(list)
        for ask in self.jobs.values():
            if ask.submit_at < end:
                rows[str(ask.body[by])].append(ask)
        found = {}
        for name, asks in sorted(rows.items()):
            kept = [a for a in asks if a.cancelled_at is None and not a.always_fails and not self._is_blocked(a)]
            kept = kept or [a for a in asks if not self._is_blocked(a)]
            if not kept:
                continue
            completed = 0.0
            for ask in kept:
                tasks = int(ask.body["legs"])
                wanted = (end - ask.submit_at) * SECOND * tasks
                completed += (
                    min(1.0, ask.replica_uptime_us / wanted)
                    if ask.body["rig"] == "standing" and wanted > 0
                    else ask.completed_tasks / tasks
                )
            found[name] = {
                "accepted": sum(a.accepted_at is not None for a in asks) / len(asks),
                "started": sum(a.started_at is not None for a in kept) / len(kept),
                "completed": completed / len(kept),
            }
        return found
