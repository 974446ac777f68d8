"""A job as its user sees it: the submission and the results that responses reported."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(eq=False)
class SubmittedJob:
    """Holds a submission (`body`, as on the wire) and its outcome. Times are seconds of the event loop."""

    body: dict[str, Any]
    submit_at: float
    cancel_at: float | None = None
    accepted_at: float | None = None
    always_fails: bool = False  # the job fails on every machine until its user cancels it
    refusal_count: int = 0  # submissions that were not accepted
    cancelled_at: float | None = None  # when its user received the cancellation
    done_at: float | None = None  # when its user received the completion
    is_abandoned: bool = False  # the job was never accepted, and its user no longer submits it
    started_at: float | None = None  # start of its first task
    completed_at: float | None = None  # completion of its last task
    completed_tasks: int = 0
    replica_uptime_us: int = 0  # total run time of its replicas
    dependencies: list[SubmittedJob] = field(default_factory=list)  # jobs that it depends on
    is_last_in_pipeline: bool = False  # whether it is the last job of a pipeline
    submitted_after_dependencies: bool = False  # the job is submitted only after its dependencies ended
    answered_at: float = 0.0  # time of the last response to a poll of the job

    @property
    def is_cancellable(self) -> bool:
        """Returns whether the job is accepted, not reported as done, and has no past or planned cancellation."""
        return self.accepted_at is not None and self.done_at is None and self.cancel_at is None

    @property
    def releases_dependents(self) -> bool:
        """Returns whether all tasks have completed and no cancellation was confirmed to the user."""
        return self.completed_at is not None and self.cancelled_at is None

    def can_be_submitted_after(self, dependency: SubmittedJob) -> bool:
        """Returns whether this dependency allows the user to submit the job now."""
        if dependency.accepted_at is None:
            return False
        finished_at = dependency.done_at or dependency.cancelled_at
        return not self.submitted_after_dependencies or bool(finished_at)

    @property
    def is_blocked(self) -> bool:
        """Returns whether the job can't start because a dependency is not complete or is cancelled."""
        return any(not dependency.releases_dependents for dependency in self.dependencies)

    @property
    def may_inherit_cancellation(self) -> bool:
        """Returns whether a user cancels a direct or indirect dependency."""
        return any(job.cancel_at is not None or job.may_inherit_cancellation for job in self.dependencies)

    @property
    def dependency_cancelled_at(self) -> float | None:
        """Returns when the first cancellation of a direct or indirect dependency was confirmed; None: none was."""
        times = [
            job.cancelled_at if job.cancelled_at is not None else job.dependency_cancelled_at
            for job in self.dependencies
            if not job.releases_dependents
        ]
        return min((at for at in times if at is not None), default=None)

    @property
    def startable_at(self) -> float:
        """Returns the time from which the job could start: accepted, with all dependencies complete."""
        return max([self.accepted_at or self.submit_at, *(job.completed_at or 0.0 for job in self.dependencies)])

    @property
    def deadline_at(self) -> float:
        """Returns the deadline, counted from the submission. Must be called only for jobs with a deadline."""
        return self.submit_at + float(self.body["tideS"])

    @property
    def job_id(self) -> str:
        """Returns the job id on the wire."""
        return str(self.body["ref"])
