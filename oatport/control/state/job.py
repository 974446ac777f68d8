"""A job as the leader sees it: what it asks for, which of its tasks were touched, and what was found out about it."""

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
    """How the tasks of a job relate; the values are the protocol's."""

    ARRAY = "array"
    GANG = "gang"
    SERVICE = "standing"


@dataclass(slots=True)
class DeferredStart:
    """Why some of a job's tasks may not start yet; recorded with the job, so that the next leader goes on from it."""

    plan: list[tuple[int, int]]  # from when (time of day) how many more may start
    reason: str
    write_count: int = 0  # times that it was written: bounded
    paused_until: int = 0  # time of day; running tasks were stopped for a cheaper hour
    pause_count: int = 0


@dataclass(frozen=True, slots=True)
class CompactSpec:
    """What of a job's description lies in its own record, where lists of it lie in overflow records."""

    description: dict[str, Any]
    overflow: list[Any]  # how many overflow records there are, and the names of the lists in them


@dataclass(slots=True, eq=False)
class Job:
    """An unfinished job. Times are steady microseconds where it isn't said that they are times of day."""

    job_id: str
    spec: wire.Submission
    version: int  # revision of jobs/JOB, the condition of every commit of a binding
    submitted_at: int  # time of day, since it must mean the same on the next leader
    kind: JobKind = field(init=False)
    priority_rank: int = field(init=False)
    cancelled: bool = False
    cancelled_after: int = 0  # its cancellation was confirmed after this; 0: not known
    tasks: dict[int, Task] = field(default_factory=dict)
    next_unbound_index: int = 0  # tasks from here on were never touched
    start_limit: int = -1  # tasks from here on are deferred (-1: none is)
    deferral: DeferredStart | None = None
    retry_queue: deque[int] = field(default_factory=deque)  # tasks that were bound before and are pending again
    completed: set[int] = field(default_factory=set)
    placed_task_count: int = 0  # tasks binding or bound
    gang_attempt: int = 0
    loss_count: int = 0  # how often its tasks were lost with machines or preempted: the retry count
    tier: str = ""  # what the router decided last
    retry_at: int = 0  # backing off after errors (steady)
    errors: int = 0  # since a task of it was completed last
    error_machines: set[str] = field(default_factory=set)
    suspected_faulty: bool = False  # it failed on several machines and completed on none: rather its fault
    tasks_by_zone: dict[str, int] = field(default_factory=dict)  # tasks on machines, by zone
    completing: bool = False  # its completion is being committed
    started: bool = False  # a task of it was seen running
    starving: bool = False  # it is pending for so long that no equal goes before it any more
    at_most_once: bool = False  # its class limits retries: rows of its records tell more
    failure_reason: str = ""  # a task of it may not run again: it fails
    orphaned_attempt_count: int = 0  # orphaned attempts of it: nothing of it is placed meanwhile
    deadline_at: int = 0  # time of day of the deadline that it can still meet
    deadline_missed: bool = False  # it can meet none any more
    attainable_deadline: int = 0  # time of day, the first that it could meet if it ran now; 0: not judged
    within_guarantee: bool = False  # it fits its team's guarantee together with the team's earlier jobs
    unplaced_since: int = 0  # when it last began to wait without getting a machine
    preempt_after: int = 0  # one round of preemption at a time
    predicted_runtime: int = 0  # as of the last routing
    runtime_bucket: int = 0  # the same in coarse steps
    queue_entry: object = None  # its place in the pending queue (`control/queueing/pending_queue.py`)
    deadlines: list[int] | None = None  # times of day by which its completion is measured: they never change
    # Machine types that can run it, the names of those that suit it, and the catalog that they were found in.
    feasible_types: tuple[int, list[wire.MachineType]] | None = None
    preferred_types: tuple[int, list[wire.MachineType], tuple[str, ...]] | None = None

    number: int = 0  # the digits of its id
    # Time of day from which all times but its deadline count: its submission, or when its last dependency completed.
    eligible_at: int = 0
    inherited_deadlines: list[int] = field(default_factory=list)  # times of day, from jobs that depend on it
    tasks_in_first_record: int = -1  # tasks that lie with the job in one record; -1: not computed yet
    dependencies: tuple[str, ...] = ()
    in_statistics: bool = False  # it is counted in JobStatistics
    compact_spec: CompactSpec | None = None  # set if lists of its description lie in overflow records

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
        """Tasks that want a machine now; deferred ones don't."""
        if self.start_limit < 0:
            return self.spec.task_count - self.next_unbound_index + len(self.retry_queue)
        return max(self.start_limit - self.next_unbound_index, 0) + len(self.retry_queue)

    @property
    def deferred(self) -> int:
        """Tasks that may not start yet."""
        return 0 if self.start_limit < 0 else self.spec.task_count - max(self.start_limit, self.next_unbound_index)

    @property
    def deadline(self) -> int | None:
        """Time of day by which it should be complete: its own deadline, else what jobs that depend on it leave it."""
        if self.spec.deadline_s is None:
            return self.inherited_deadlines[0] if self.inherited_deadlines else None
        return self.submitted_at + micros(self.spec.deadline_s)

    def next_pending(self) -> int | None:
        """Index of the first pending task; None if there is none."""
        if self.retry_queue:
            return self.retry_queue[0]
        return (
            self.next_unbound_index
            if self.next_unbound_index < (self.spec.task_count if self.start_limit < 0 else self.start_limit)
            else None
        )

    def take_pending(self) -> Task:
        """Remove the first pending task from the queue; the caller binds it."""
        if self.retry_queue:
            return self.tasks[self.retry_queue.popleft()]
        task = Task(self, self.next_unbound_index)
        self.tasks[self.next_unbound_index] = task
        self.next_unbound_index += 1
        return task
