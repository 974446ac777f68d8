"""Attempts of tasks on a machine."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from oatport.times import micros

# Exit reasons on the wire that the worker itself decides.
EXIT_DONE, EXIT_STOPPED, EXIT_GANG_LOST, EXIT_GANG_INCOMPLETE = "done", "halted", "mates_gone", "incomplete"

GangAttempt = tuple[str, int]  # job and attempt


class AttemptKey(NamedTuple):
    """A task and the number of its attempt."""

    task: str
    attempt: int

    @property
    def job_id(self) -> str:
        """The job that the task belongs to."""
        return self.task.rsplit("/", 1)[0]

    @property
    def gang_attempt(self) -> GangAttempt:
        """What all tasks of the gang have in common in this attempt."""
        return self.job_id, self.attempt


@dataclass(eq=False)
class Attempt:
    """A task on a machine; status, exit reason and job in the wire's own terms. Times are the worker's microseconds."""

    status: str
    exit_reason: str | None = None
    completes_at: int | None = None  # if it runs on
    fails_at: int | None = None  # when it ends with an error, if it does
    cores: float = 0.0
    job: dict[str, Any] = field(default_factory=dict)
    image_ready_at: int = 0
    started_at: int = 0
    stopped_at: int | None = None  # its progress stops with the first stop
    checkpoint_done_at: int = 0  # when what it saves is safe
    checkpoint_stored: bool | None = None
    on_machine: bool = False  # it has its image, and is on the machine as the invariants count

    @property
    def is_ended(self) -> bool:
        """It has exited, and is listed until it is forgotten."""
        return self.status == "ended"

    @property
    def is_gang_member(self) -> bool:
        """It belongs to a gang."""
        return self.job.get("rig") == "gang"

    @property
    def checkpoint_interval_us(self) -> int:
        """How often it saves its progress; 0: never."""
        return micros(float(self.job.get("mooringS") or 0.0))
