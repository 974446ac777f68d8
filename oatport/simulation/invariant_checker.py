"""The invariants of PROTOCOL, judged by what is on machines and what users were told; never by what nodes believe."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oatport.settings import ClusterSettings
from oatport.simulation.attempt import EXIT_DONE
from oatport.simulation.submitted_job import SubmittedJob
from oatport.simulation.team_usage import EPSILON, TeamUsage
from oatport.simulation.virtual_time import VirtualLoop
from oatport.simulation.worker import Worker
from oatport.times import SECOND

UNANSWERED_MAX_S = 75.0  # a job about which no question is answered for so long is forgotten
EXTERNAL_LOSSES = ("died", "taken", "lease")  # what destroys a result and is not the service's doing
UNFINISHED = ("queued", "running")  # statuses of a job on the wire


@dataclass
class TaskLocation:
    """Where a task is, since a time of the loop."""

    worker: Worker
    attempt: int
    since: float


@dataclass
class InvariantChecker:
    """Follows every task and every answer of a run, and notes what must not happen."""

    loop: VirtualLoop
    settings: ClusterSettings
    jobs: dict[str, SubmittedJob] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    on_first_violation: Callable[[], None] = lambda: None
    # Its user was told for the first time that a job is accepted, done or cancelled.
    on_status_change: Callable[[SubmittedJob], None] = lambda job: None
    on_job_completed: Callable[[SubmittedJob], None] = lambda job: None  # all tasks of a job have ended
    last_fault_ends_at: float = 0.0
    unanswered_s_max: float = 0.0  # the longest that no question about a job was answered, after all faults
    closed: bool = False  # what happens now is no part of the run
    locations: dict[str, TaskLocation] = field(default_factory=dict)  # by task
    _workers_by_job: defaultdict[str, dict[str, Worker]] = field(default_factory=lambda: defaultdict(dict))
    _completed_tasks: defaultdict[str, set[str]] = field(default_factory=lambda: defaultdict(set))  # by job
    _completed_on: dict[str, Worker] = field(default_factory=dict)  # task -> where it completed
    # Tasks whose completion a leader knows, since it answered the heartbeat that listed it -> the task that was listed:
    # this one, or its gang's mate.
    _acknowledged: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.usage = TeamUsage(self.settings.teams)

    def report_violation(self, invariant: str, what: str) -> None:
        """Note that an invariant is broken now."""
        if not self.violations:
            self.on_first_violation()
        self.violations.append(f"{invariant} at {self.loop.time() - 1000:.2f} s: {what}")

    @property
    def broken_invariants(self) -> set[str]:
        """The names of the invariants that were violated."""
        return {row.split(" ", 1)[0] for row in self.violations}

    # --- machines ------------------------------------------------------------------------------

    def on_task_started(self, worker: Worker, task: str, attempt: int) -> None:
        """A task has its image and is on a machine from now on."""
        if self.closed:
            return
        now = self.loop.time()
        self.counts["starts"] += 1
        job_id = task.rsplit("/", 1)[0]
        job = self.jobs[job_id]
        job.started_at = job.started_at or now
        self._check_runs_once(worker, task, attempt)
        if task in self._completed_tasks[job_id]:
            self._on_completed_task_started(worker, task)
        self.counts["starts_cancelled"] += job.cancelled_at is not None
        if job.cancelled_at is not None and now > job.cancelled_at + self.settings.workers.cancel_s + EPSILON:
            self.report_violation("ran_cancelled", f"{task} starts on {worker.name}")
        self._check_dependencies(worker, task, job)
        self._check_placement(job.body, worker, task)
        self.locations[task] = TaskLocation(worker, attempt, now)
        self._workers_by_job[job_id][task] = worker
        self.usage.add(job.body)
        self._check_quota(str(job.body["crew"]), worker, task)

    def _check_runs_once(self, worker: Worker, task: str, attempt: int) -> None:
        other = self.locations.get(task)
        if other is not None:
            self.report_violation(
                "ran_twice",
                f"{task} attempt {attempt} starts on {worker.name}, attempt {other.attempt} is on {other.worker.name}",
            )

    def _check_dependencies(self, worker: Worker, task: str, job: SubmittedJob) -> None:
        for dependency in job.dependencies:
            if not dependency.releases_dependents:
                what = f"has done {dependency.completed_tasks} tasks"
                if dependency.cancelled_at is not None:
                    what = "was cancelled"
                self.report_violation(
                    "too_early", f"{task} starts on {worker.name}, {dependency.job_id} that it needs {what}"
                )

    def _check_quota(self, team: str, worker: Worker, task: str) -> None:
        if self.usage.is_over_limit(team):
            usage = self.usage.of(team)
            self.report_violation(
                "quota", f"{team} uses {usage.cpus:g} CPUs and {usage.gpus:g} GPUs with {task} on {worker.name}"
            )

    def _on_completed_task_started(self, worker: Worker, task: str) -> None:
        """A task starts though it is done.

        That breaks an invariant if a leader had acknowledged its completion, unless a fault destroyed the result before
        that could be recorded: the machine died, was reclaimed, or its lease ended. What the service itself did with
        the machine is no excuse.
        """
        self.counts["starts_after_done"] += 1
        if task not in self._acknowledged:
            return
        listed = self._acknowledged[task]
        loss = self._completed_on[listed].lost_completions.get(listed, "")
        if loss in EXTERNAL_LOSSES:
            self.counts["results_lost"] += 1
            return
        self.report_violation(
            "ran_twice",
            f"{task} starts on {worker.name} though it was done on "
            f"{self._completed_on[task].name}{': ' + loss if loss else ''}",
        )

    def on_completions_acknowledged(self, tasks: list[str]) -> None:
        """A leader answered a heartbeat that listed these completions.

        That of one task of a gang tells of all (PROTOCOL).
        """
        for task in tasks:
            if task not in self._completed_on or self._acknowledged.get(task) == task:
                continue
            self._acknowledged[task] = task
            job_id = task.rsplit("/", 1)[0]
            if self.jobs[job_id].body["rig"] == "gang":
                for mate in self._completed_tasks[job_id]:
                    self._acknowledged.setdefault(mate, task)

    def _check_placement(self, body: dict[str, Any], worker: Worker, task: str) -> None:
        mates = self._workers_by_job[str(body["ref"])]
        zones = Counter(other.zone for name, other in mates.items() if name != task)
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
        """A task left a machine."""
        if self.closed:
            return
        job = self.jobs[task.rsplit("/", 1)[0]]
        location = self.locations.get(task)
        if location is not None and location.worker is worker and location.attempt == attempt:
            del self.locations[task]
            del self._workers_by_job[job.job_id][task]
            self._count_uptime(job, location)
        self.usage.remove(job.body)
        self.counts["stops"] += why == "halted"
        self.counts["lease_kills"] += why == "lease"
        if why == EXIT_DONE:
            self._on_task_completed(worker, task, job)

    def _on_task_completed(self, worker: Worker, task: str, job: SubmittedJob) -> None:
        self._completed_tasks[job.job_id].add(task)
        self._completed_on.setdefault(task, worker)
        job.completed_tasks = len(self._completed_tasks[job.job_id])
        if job.completed_tasks >= int(job.body["legs"]) and job.completed_at is None:
            job.completed_at = self.loop.time()
            self.on_job_completed(job)

    def _count_uptime(self, job: SubmittedJob, location: TaskLocation) -> None:
        if job.body["rig"] == "standing":
            job.replica_uptime_us += round((self.loop.time() - location.since) * SECOND)

    def on_cancellation_due(self, job: SubmittedJob) -> None:
        """So long after its user was told of its cancellation nothing of a job may be left."""
        for task in self._workers_by_job[job.job_id]:
            self.report_violation("ran_cancelled", f"{task} is still on {self.locations[task].worker.name}")

    # --- users ---------------------------------------------------------------------------------

    def on_user_answer(self, job: SubmittedJob, request: str, status: int, value: Any) -> None:
        """A user's request (submit, poll or cancel) was answered; `status` is 0 if it was not."""
        if self.closed:
            return
        self.counts["answers" if status else "no_answer"] += 1
        if request == "poll":
            self._on_poll(job, status, self.loop.time())
        refused = status == 404 or (request == "submit" and status in (400, 422))
        if job.accepted_at is not None and refused:
            self.report_violation("forgotten", f"{request} of {job.job_id} was answered {status}")
        state = str(value.get("status")) if status in (200, 201) and isinstance(value, dict) else ""
        if not state:
            return
        self._check_stays_terminal(job, state)
        self._check_not_orphaned(job, state)
        if state == "aborted":
            self._on_reported_cancelled(job, request)
        if state == "done":
            self._on_reported_done(job)
        elif status == 201 and state == "queued":
            self.on_status_change(job)

    def _check_stays_terminal(self, job: SubmittedJob, state: str) -> None:
        if job.cancelled_at is not None and state != "aborted":
            self.report_violation("went_back", f"{job.job_id} was cancelled, and is called {state}")
        if job.done_at is not None and state != "done":
            self.report_violation("went_back", f"{job.job_id} was done, and is called {state}")

    def _check_not_orphaned(self, job: SubmittedJob, state: str) -> None:
        since = job.dependency_cancelled_at
        if state not in UNFINISHED or since is None:
            return
        now = self.loop.time()
        if now > max(since, job.accepted_at or now) + self.settings.workers.cancel_s + EPSILON:
            self.report_violation(
                "orphaned", f"{job.job_id} is called {state}, a job before it was cancelled {now - since:.0f} s ago"
            )

    def _on_reported_cancelled(self, job: SubmittedJob, request: str) -> None:
        if request != "cancel" and job.cancel_at is None and not job.may_be_cancelled_with_others:
            self.report_violation("went_back", f"{job.job_id} is called cancelled, and nobody cancelled it")
        if job.cancelled_at is None:
            job.cancelled_at = self.loop.time()
            self.on_status_change(job)
            due_us = round(self.settings.workers.cancel_s * SECOND) + 1000
            self.loop.call_later_us(due_us, None, self.on_cancellation_due, job)

    def _on_reported_done(self, job: SubmittedJob) -> None:
        if job.completed_at is None:
            self.report_violation(
                "not_done", f"{job.job_id} is called done after {job.completed_tasks} of {job.body['legs']} tasks"
            )
        if job.done_at is None:
            job.done_at = self.loop.time()
            self.on_status_change(job)

    def _on_poll(self, job: SubmittedJob, status: int, now: float) -> None:
        """Once all faults are over, a job about which no question is answered for so long is forgotten."""
        if status in (200, 404):
            job.answered_at = now
            return
        quiet_s = now - max(job.answered_at, self.last_fault_ends_at, job.accepted_at or now)
        self.unanswered_s_max = max(self.unanswered_s_max, quiet_s)
        if quiet_s >= UNANSWERED_MAX_S:
            self.report_violation("forgotten", f"no question about {job.job_id} was answered for {quiet_s:.0f} s")
            job.answered_at = now

    def on_invalid_submission(self, body: dict[str, Any], status: int, expected: tuple[int, ...]) -> None:
        """A job that can't run, or lacks a field, and what was answered."""
        self.counts["odd_requests"] += 1
        if status and status not in (*expected, 413, 429, 503):
            self.report_violation("accepted_wrongly", f"{body['ref']} was answered {status}, not {expected[0]}")

    def on_unknown_job_poll(self, job_id: str, status: int) -> None:
        """A poll for a job that nobody submitted."""
        if status == 200:
            self.report_violation("invented", f"{job_id} was never submitted")

    def finish(self) -> None:
        """The run is over: replicas that are up count until now."""
        if self.jobs and not self.counts["starts"]:
            self.report_violation("nothing_ran", "no task was started")
        for task, location in list(self.locations.items()):
            self._count_uptime(self.jobs[task.rsplit("/", 1)[0]], location)
