"""Checks the invariants of PROTOCOL against the tasks on machines and the responses to users.

The checker never reads the state that nodes hold.
"""

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

UNANSWERED_MAX_S = 75.0  # if all polls of a job fail for this long, the invariant "forgotten" is violated
EXTERNAL_LOSSES = ("died", "taken", "lease")  # exit reasons that destroy a result and are not actions of the service
UNFINISHED_STATUSES = ("queued", "running")  # statuses of a job on the wire


@dataclass
class TaskLocation:
    """Holds the worker that runs a task, the attempt number, and the start time in seconds of the event loop."""

    worker: Worker
    attempt: int
    started_at: float


@dataclass
class InvariantChecker:
    """Tracks every task and every response of a run, and records violations of the invariants."""

    loop: VirtualLoop
    settings: ClusterSettings
    jobs: dict[str, SubmittedJob] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    on_first_violation: Callable[[], None] = lambda: None
    # Called when a response first reports a job as accepted, done or cancelled.
    on_status_change: Callable[[SubmittedJob], None] = lambda job: None
    on_job_completed: Callable[[SubmittedJob], None] = lambda job: None  # called when all tasks of a job are done
    last_fault_ends_at: float = 0.0
    unanswered_s_max: float = 0.0  # the longest time without a response to a poll of a job, after all faults
    is_closed: bool = False  # set at the end of the run: later events are ignored
    locations: dict[str, TaskLocation] = field(default_factory=dict)  # by task
    _workers_by_job: defaultdict[str, dict[str, Worker]] = field(default_factory=lambda: defaultdict(dict))
    _completed_tasks: defaultdict[str, set[str]] = field(default_factory=lambda: defaultdict(set))  # by job
    _completed_on: dict[str, Worker] = field(default_factory=dict)  # task -> the worker on which it completed
    # Task whose completion a leader acknowledged by responding to a heartbeat -> the completed task in the heartbeat:
    # the task itself, or another member of its gang.
    _acknowledged: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.usage = TeamUsage(self.settings.teams)

    def report_violation(self, invariant: str, details: str) -> None:
        """Records that an invariant is violated now."""
        if not self.violations:
            self.on_first_violation()
        self.violations.append(f"{invariant} at {self.loop.time() - 1000:.2f} s: {details}")

    @property
    def broken_invariants(self) -> set[str]:
        """Returns the names of the violated invariants."""
        return {row.split(" ", 1)[0] for row in self.violations}

    # --- machines ------------------------------------------------------------------------------

    def on_task_started(self, worker: Worker, task: str, attempt: int) -> None:
        """Records that a task has its image and counts as on the machine now, and checks that it may start there."""
        if self.is_closed:
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
                details = f"has completed {dependency.completed_tasks} tasks"
                if dependency.cancelled_at is not None:
                    details = "was cancelled"
                self.report_violation(
                    "too_early", f"{task} starts on {worker.name}, but its dependency {dependency.job_id} {details}"
                )

    def _check_quota(self, team: str, worker: Worker, task: str) -> None:
        if self.usage.is_over_limit(team):
            usage = self.usage.of(team)
            self.report_violation(
                "quota", f"{team} uses {usage.cpus:g} CPUs and {usage.gpus:g} GPUs with {task} on {worker.name}"
            )

    def _on_completed_task_started(self, worker: Worker, task: str) -> None:
        """Checks the start of a task that has completed before.

        The start violates an invariant if a leader had acknowledged the completion, unless a fault destroyed the result
        before the completion could be recorded: the machine died, was reclaimed, or its lease ended. An action of the
        service on the machine does not excuse the start.
        """
        self.counts["starts_after_done"] += 1
        if task not in self._acknowledged:
            return
        reported_task = self._acknowledged[task]
        loss_reason = self._completed_on[reported_task].lost_completions.get(reported_task, "")
        if loss_reason in EXTERNAL_LOSSES:
            self.counts["results_lost"] += 1
            return
        self.report_violation(
            "ran_twice",
            f"{task} starts on {worker.name} although it was done on "
            f"{self._completed_on[task].name}{': ' + loss_reason if loss_reason else ''}",
        )

    def on_completions_acknowledged(self, tasks: list[str]) -> None:
        """Records that a leader responded to a heartbeat that listed these completions.

        The completion of one task of a gang implies that of all its tasks (PROTOCOL).
        """
        for task in tasks:
            if task not in self._completed_on or self._acknowledged.get(task) == task:
                continue
            self._acknowledged[task] = task
            job_id = task.rsplit("/", 1)[0]
            if self.jobs[job_id].body["rig"] == "gang":
                for member in self._completed_tasks[job_id]:
                    self._acknowledged.setdefault(member, task)

    def _check_placement(self, body: dict[str, Any], worker: Worker, task: str) -> None:
        workers = self._workers_by_job[str(body["ref"])]
        zones = Counter(other.zone for name, other in workers.items() if name != task)
        mismatch = ""
        if worker.spot and not body["driftwood"]:
            mismatch = "a spot machine"
        elif body["berthKinds"] is not None and worker.type not in body["berthKinds"]:
            mismatch = f"type {worker.type}"
        elif body["harbor"] not in (None, worker.zone):
            mismatch = f"zone {worker.zone}"
        elif body["samePlace"] and any(zone != worker.zone for zone in zones):
            mismatch = f"zone {worker.zone}, others are in {sorted(zones)}"
        elif body["spread"] and zones[worker.zone] + 1 > (int(body["legs"]) + 1) // 2:
            mismatch = f"zone {worker.zone} has {zones[worker.zone]} of {body['legs']} already"
        if mismatch:
            self.report_violation("wrong_place", f"{task} starts on {worker.name}: {mismatch}")

    def on_task_stopped(self, worker: Worker, task: str, attempt: int, reason: str) -> None:
        """Records that a task left a machine, and whether it completed."""
        if self.is_closed:
            return
        job = self.jobs[task.rsplit("/", 1)[0]]
        location = self.locations.get(task)
        if location is not None and location.worker is worker and location.attempt == attempt:
            del self.locations[task]
            del self._workers_by_job[job.job_id][task]
            self._count_uptime(job, location)
        self.usage.remove(job.body)
        self.counts["stops"] += reason == "halted"
        self.counts["lease_kills"] += reason == "lease"
        if reason == EXIT_DONE:
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
            job.replica_uptime_us += round((self.loop.time() - location.started_at) * SECOND)

    def on_cancellation_due(self, job: SubmittedJob) -> None:
        """Checks that no task of a job is left on a machine, `cancel_s` after its cancellation was reported."""
        for task in self._workers_by_job[job.job_id]:
            self.report_violation("ran_cancelled", f"{task} is still on {self.locations[task].worker.name}")

    # --- users ---------------------------------------------------------------------------------

    def on_user_response(self, job: SubmittedJob, request: str, status: int, value: Any) -> None:
        """Checks the response to a user's request (submit, poll or cancel); `status` is 0 if there was no response."""
        if self.is_closed:
            return
        self.counts["answers" if status else "no_answer"] += 1
        if request == "poll":
            self._on_poll(job, status, self.loop.time())
        is_rejected = status == 404 or (request == "submit" and status in (400, 422))
        if job.accepted_at is not None and is_rejected:
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
            self.report_violation("went_back", f"{job.job_id} was cancelled, but is reported as {state}")
        if job.done_at is not None and state != "done":
            self.report_violation("went_back", f"{job.job_id} was done, but is reported as {state}")

    def _check_not_orphaned(self, job: SubmittedJob, state: str) -> None:
        cancelled_at = job.dependency_cancelled_at
        if state not in UNFINISHED_STATUSES or cancelled_at is None:
            return
        now = self.loop.time()
        if now > max(cancelled_at, job.accepted_at or now) + self.settings.workers.cancel_s + EPSILON:
            self.report_violation(
                "orphaned",
                f"{job.job_id} is reported as {state}, but a dependency was cancelled {now - cancelled_at:.0f} s ago",
            )

    def _on_reported_cancelled(self, job: SubmittedJob, request: str) -> None:
        if request != "cancel" and job.cancel_at is None and not job.may_inherit_cancellation:
            self.report_violation("went_back", f"{job.job_id} is reported as cancelled, but no user cancelled it")
        if job.cancelled_at is None:
            job.cancelled_at = self.loop.time()
            self.on_status_change(job)
            delay_us = round(self.settings.workers.cancel_s * SECOND) + 1000
            self.loop.call_later_us(delay_us, None, self.on_cancellation_due, job)

    def _on_reported_done(self, job: SubmittedJob) -> None:
        if job.completed_at is None:
            self.report_violation(
                "not_done", f"{job.job_id} is reported as done after {job.completed_tasks} of {job.body['legs']} tasks"
            )
        if job.done_at is None:
            job.done_at = self.loop.time()
            self.on_status_change(job)

    def _on_poll(self, job: SubmittedJob, status: int, now: float) -> None:
        """Checks that polls get responses: UNANSWERED_MAX_S without one, after all faults, is a violation."""
        if status in (200, 404):
            job.answered_at = now
            return
        unanswered_s = now - max(job.answered_at, self.last_fault_ends_at, job.accepted_at or now)
        self.unanswered_s_max = max(self.unanswered_s_max, unanswered_s)
        if unanswered_s >= UNANSWERED_MAX_S:
            self.report_violation("forgotten", f"no poll of {job.job_id} was answered for {unanswered_s:.0f} s")
            job.answered_at = now

    def on_invalid_submission(self, body: dict[str, Any], status: int, expected: tuple[int, ...]) -> None:
        """Checks the response to a submission that can't run or lacks a field."""
        self.counts["odd_requests"] += 1
        if status and status not in (*expected, 413, 429, 503):
            self.report_violation("accepted_wrongly", f"{body['ref']} was answered {status}, not {expected[0]}")

    def on_unknown_job_poll(self, job_id: str, status: int) -> None:
        """Checks the response to a poll of a job that no user submitted."""
        if status == 200:
            self.report_violation("invented", f"{job_id} was never submitted")

    def finish(self) -> None:
        """Checks at the end of a run that tasks ran, and counts the uptime of replicas that still run."""
        if self.jobs and not self.counts["starts"]:
            self.report_violation("nothing_ran", "no task was started")
        for task, location in list(self.locations.items()):
            self._count_uptime(self.jobs[task.rsplit("/", 1)[0]], location)
