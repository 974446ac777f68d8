"""Attempts of tasks on a simulated machine: their keys, their state and the exit reasons that the worker sets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from oatport.times import micros

# Exit reasons on the wire that the worker sets itself.
EXIT_DONE, EXIT_STOPPED, EXIT_GANG_LOST, EXIT_GANG_INCOMPLETE = "done", "halted", "mates_gone", "incomplete"

GangAttempt = tuple[str, int]  # job id and attempt number


class AttemptKey(NamedTuple):
    """Identifies an attempt by its task and its attempt number."""

    task: str
    attempt: int

    @property
    def job_id(self) -> str:
        """Returns the id of the job that the task belongs to."""
        return self.task.rsplit("/", 1)[0]

    @property
    def gang_attempt(self) -> GangAttempt:
        """Returns the job id and attempt number, which all tasks of a gang share."""
        return self.job_id, self.attempt


@dataclass(eq=False)
class Attempt:
    """Holds the state of a task on a machine.

    Status, exit reason and job are as on the wire; times are microseconds of the worker's clock.
    """

    status: str
    exit_reason: str | None = None
    completes_at: int | None = None  # unless the attempt is stopped or fails before
    fails_at: int | None = None  # None: the attempt does not fail
    cores: float = 0.0
    job: dict[str, Any] = field(default_factory=dict)
    image_ready_at: int = 0
    started_at: int = 0
    stopped_at: int | None = None  # time of the first stop command: progress counts up to this time
    checkpoint_done_at: int = 0  # when the checkpoint that a stop command started is stored
    checkpoint_stored: bool | None = None
    is_on_machine: bool = False  # whether the image is ready: the invariant checker counts the attempt from then on

    @property
    def is_ended(self) -> bool:
        """Returns whether the attempt has exited. Heartbeats list an ended attempt until a forget command."""
        return self.status == "ended"

    @property
    def is_gang_member(self) -> bool:
        """Returns whether the task belongs to a gang."""
        return self.job.get("rig") == "gang"

    @property
    def checkpoint_interval_us(self) -> int:
        """Returns the interval between checkpoints; 0: the task saves none."""
        return micros(float(self.job.get("mooringS") or 0.0))
