"""A task of a job and its binding to a machine, in the leader's view."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from oatport.control.state.job import Job
    from oatport.control.state.machine import Machine


class TaskPhase(IntEnum):
    """Defines the progress of the binding of a task to a machine."""

    PENDING = 0  # on no machine, waiting for one
    BINDING = 1  # machine selected, commit not known to be applied: no start sent
    BOUND = 2  # binding committed: on its machine until proven gone


@dataclass(slots=True, eq=False)
class Task:
    """Holds a task that was bound at least once and is not completed; other tasks are only indexes in their job."""

    job: Job
    index: int
    phase: TaskPhase = TaskPhase.PENDING
    attempt: int = 0
    machine: Machine | None = None
    # Worker epoch of the heartbeat whose response last contained the start; 0: not sent by this leader.
    start_epoch: int = 0
    # Worker epoch and number of the last processed heartbeat that listed this attempt; None: none has.
    start_acknowledged: tuple[int, int] | None = None
    status: str = ""  # as in the newest heartbeat
    binding_at: int = 0  # when this leader last bound it; 0: it never did
    running_since: int = 0
    stop_grace_s: float | None = None  # set when the task is to leave its machine: its grace period
    stop_sent_at: int = 0
    binding_epoch: int = 0  # worker epoch at the binding (recorded for classes that limit retries)
    retry_exhausted: bool = False  # it may not run again
    bound_at_revision: int = 0  # of the commit of its binding by this leader; 0: an earlier leader bound it

    def __hash__(self) -> int:
        """Returns a hash that is the same in every run, so that sets of tasks are iterated in the same order."""
        return self.job.number * 131_071 + self.index

    @property
    def name(self) -> str:
        """Returns the name of the task in the protocol: job id and index."""
        return f"{self.job.job_id}/{self.index}"

    def reset_to_pending(self) -> None:
        """Resets the task to pending on no machine; its attempt number stays."""
        self.phase = TaskPhase.PENDING
        self.machine = None
        self.start_epoch = 0
        self.start_acknowledged = None
        self.status = ""
        self.running_since = 0
        self.stop_grace_s = None
        self.stop_sent_at = 0
        self.binding_epoch = 0
        self.bound_at_revision = 0
