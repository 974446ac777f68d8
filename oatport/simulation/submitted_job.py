"""A job as its user has it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(eq=False)
class SubmittedJob:
    """What a user wants (`body`: the submission on the wire), and what came of it. Times are seconds of the loop."""

    body: dict[str, Any]
    submit_at: float
    cancel_at: float | None = None
    accepted_at: float | None = None
    always_fails: bool = False  # it fails on every machine, until its user cancels it
    refusal_count: int = 0  # submissions that were not accepted
    cancelled_at: float | None = None  # when its user was told so
    done_at: float | None = None  # when its user was told so
    gave_up: bool = False  # it was never accepted, and its user tries no more
    started_at: float | None = None  # the first task of it ran
    completed_at: float | None = None  # the last one did
    completed_tasks: int = 0
    replica_uptime_us: int = 0  # time that replicas ran
    dependencies: list[SubmittedJob] = field(default_factory=list)  # jobs that it names
    ends_pipeline: bool = False  # it is the last job of a pipeline
    submitted_after_dependencies: bool = False  # submitted when its dependencies are known to be done or cancelled
    answered_at: float = 0.0  # when a question about it was last answered

    @property
    def is_cancellable(self) -> bool:
        """It was accepted, is not known to be done, and nobody has cancelled it or is about to."""
        return self.accepted_at is not None and self.done_at is None and self.cancel_at is None

    @property
    def releases_dependents(self) -> bool:
        """All its tasks have ended, and its user was not told that it is cancelled."""
        return self.completed_at is not None and self.cancelled_at is None

    def may_follow(self, dependency: SubmittedJob) -> bool:
        """Its user may submit it now, as far as this dependency goes."""
        if dependency.accepted_at is None:
            return False
        over = dependency.done_at or dependency.cancelled_at
        return not self.submitted_after_dependencies or bool(over)

    @property
    def is_blocked(self) -> bool:
        """It can't begin: a job before it isn't done, or is cancelled."""
        return any(not dependency.releases_dependents for dependency in self.dependencies)

    @property
    def may_be_cancelled_with_others(self) -> bool:
        """A user asked for the cancellation of a job before it."""
        return any(job.cancel_at is not None or job.may_be_cancelled_with_others for job in self.dependencies)

    @property
    def dependency_cancelled_at(self) -> float | None:
        """Since when a user knows that a job before it is cancelled; None: nobody was told so."""
        times = [
            job.cancelled_at if job.cancelled_at is not None else job.dependency_cancelled_at
            for job in self.dependencies
            if not job.releases_dependents
        ]
        return min((at for at in times if at is not None), default=None)

    @property
    def startable_at(self) -> float:
        """When nothing kept it from being started any more."""
        return max([self.accepted_at or self.submit_at, *(job.completed_at or 0.0 for job in self.dependencies)])

    @property
    def deadline_at(self) -> float:
        """When it is due, from its submission on; only of jobs that have a deadline."""
        return self.submit_at + float(self.body["tideS"])

    @property
    def job_id(self) -> str:
        """Its identifier on the wire."""
        return str(self.body["ref"])
