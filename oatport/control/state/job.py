"""A job in the leader's view: its specification, the state of its tasks and what the scheduler derived about it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from oatport import wire
from oatport.control.state.identifiers import number_in_name
from oatport.control.state.task import Task
from oatport.times import micros

PRIORITIES = {"production": 0, "high": 1, "normal": 2, "idle": 3}
NORMAL_RANK, IDLE_RANK = PRIORITIES["normal"], PRIORITIES["idle"]


class JobKind(StrEnum):
    """Defines the relation between the tasks of a job; the values are those of the protocol."""

    ARRAY = "array"
    GANG = "gang"
    SERVICE = "standing"


@dataclass(slots=True)
class DeferredStart:
    """Holds the deferral of some of a job's tasks; recorded with the job, so that the next leader continues it."""

    plan: list[tuple[int, int]]  # (time of day, number of further tasks that may start from then)
    reason: str
    write_count: int = 0  # number of writes of the deferral, which is limited
    paused_until: int = 0  # time of day; running tasks were stopped until a cheaper hour
    pause_count: int = 0


@dataclass(frozen=True, slots=True)
class CompactSpec:
    """Holds the part of a job's description in its own record, if lists of the description are in overflow records."""

    description: dict[str, Any]
    overflow: list[Any]  # number of overflow records, and the names of the lists in them


@dataclass(slots=True, eq=False)
class Job:
    """Holds an unfinished job. Times are in microseconds of the steady clock, except those marked as times of day."""

    job_id: str
    spec: wire.Submission
    version: int  # revision of jobs/JOB, the condition of every commit of a binding
    submitted_at: int  # time of day, as the next leader has another steady clock
    kind: JobKind = field(init=False)
    priority_rank: int = field(init=False)
    cancelled: bool = False
    cancelled_after: int = 0  # lower bound (steady) on when its cancellation was confirmed; 0: unknown
    tasks: dict[int, Task] = field(default_factory=dict)
    next_unbound_index: int = 0  # tasks from this index on were never bound
    start_limit: int = -1  # tasks from this index on are deferred; -1: none
    deferral: DeferredStart | None = None
    retry_queue: deque[int] = field(default_factory=deque)  # tasks bound before that are pending again
    completed: set[int] = field(default_factory=set)
    placed_task_count: int = 0  # tasks binding or bound
    gang_attempt: int = 0
    loss_count: int = 0  # retry count: tasks lost with machines or preempted
    tier: str = ""  # the router's last decision
    retry_at: int = 0  # end of the backoff after errors (steady)
    errors: int = 0  # since the last completion of one of its tasks
    error_machines: set[str] = field(default_factory=set)
    suspected_faulty: bool = False  # failed on several machines, completed on none: the job is the likely cause
    tasks_by_zone: dict[str, int] = field(default_factory=dict)  # tasks on machines, by zone
    completing: bool = False  # the completion is being committed
    started: bool = False  # one of its tasks was seen running
    starving: bool = False  # pending for so long that no job of equal priority may overtake it
    at_most_once: bool = False  # its class limits retries: its task records have more fields
    failure_reason: str = ""  # set if the job fails because a task may not run again
    orphaned_attempt_count: int = 0  # while above 0, none of its tasks is placed
    deadline_at: int = 0  # time of day of the next deadline that can still be met
    deadline_missed: bool = False  # no deadline can be met any more
    attainable_deadline: int = 0  # time of day of the first deadline that the job meets if it runs now; 0: not computed
    within_guarantee: bool = False  # fits its team's guarantee along with the team's earlier jobs
    unplaced_since: int = 0  # start of the current wait for a machine
    preempt_after: int = 0  # no search for victims before this time
    predicted_runtime: int = 0  # as of the last routing
    runtime_bucket: int = 0  # `predicted_runtime` in coarse steps
    queue_entry: object = None  # its entry in the pending queue (`control/queueing/pending_queue.py`)
    deadlines: list[int] | None = None  # times of day against which its completion is measured; constant
    # Machine types that can run the job, and the preferred ones with their names, each with the catalog generation.
    feasible_types: tuple[int, list[wire.MachineType]] | None = None
    preferred_types: tuple[int, list[wire.MachineType], tuple[str, ...]] | None = None

    number: int = 0  # the digits of its id
    # Time of day from which all its times except the deadline count: submission, or completion of its last dependency.
    eligible_at: int = 0
    inherited_deadlines: list[int] = field(default_factory=list)  # times of day, from jobs that depend on it
    tasks_in_first_record: int = -1  # tasks stored in the job's own record; -1: not computed yet
    dependencies: tuple[str, ...] = ()
    in_statistics: bool = False  # counted in JobStatistics
    compact_spec: CompactSpec | None = None  # set if lists of its description are in overflow records

    def __post_init__(self) -> None:
        self.kind = JobKind(self.spec.kind)
        self.priority_rank = PRIORITIES[self.spec.priority]
        self.number = number_in_name(self.job_id)
        self.eligible_at = self.submitted_at
        self.dependencies = tuple(self.spec.dependencies or ())

    def __hash__(self) -> int:
        return self.number

    @property
    def pending(self) -> int:
        """Returns the number of tasks that wait for a machine now, without the deferred ones."""
        if self.start_limit < 0:
            return self.spec.task_count - self.next_unbound_index + len(self.retry_queue)
        return max(self.start_limit - self.next_unbound_index, 0) + len(self.retry_queue)

    @property
    def deferred(self) -> int:
        """Returns the number of tasks that may not start yet."""
        return 0 if self.start_limit < 0 else self.spec.task_count - max(self.start_limit, self.next_unbound_index)

    @property
    def deadline(self) -> int | None:
        """Returns the time of day by which the job should complete: its own deadline, else the first inherited one."""
        if self.spec.deadline_s is None:
            return self.inherited_deadlines[0] if self.inherited_deadlines else None
        return self.submitted_at + micros(self.spec.deadline_s)

    def next_pending(self) -> int | None:
        """Returns the index of the first pending task; None if there is none."""
        if self.retry_queue:
            return self.retry_queue[0]
        return (
            self.next_unbound_index
            if self.next_unbound_index < (self.spec.task_count if self.start_limit < 0 else self.start_limit)
            else None
        )

    def take_pending(self) -> Task:
        """Removes and returns the first pending task; the caller binds it."""
        if self.retry_queue:
            return self.tasks[self.retry_queue.popleft()]
        task = Task(self, self.next_unbound_index)
        self.tasks[self.next_unbound_index] = task
        self.next_unbound_index += 1
        return task
