"""Jobs, tasks and machines as the leader sees them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import Any

import msgspec

from oatport import wire
from oatport.times import SECOND, micros

CHUNK_TASKS = 100  # tasks in one record, where that fits (`control/storage/record_layout.py`)

PRIORITIES = {"production": 0, "high": 1, "normal": 2, "idle": 3}
NORMAL_RANK, IDLE_RANK = PRIORITIES["normal"], PRIORITIES["idle"]


class Kind(StrEnum):
    ARRAY = "array"
    GANG = "gang"
    SERVICE = "standing"


class Phase(IntEnum):
    PENDING = 0  # on no machine, wants one
    CLAIMED = 1  # a machine is chosen, the commit is not known to be applied: no start was sent
    PLACED = 2  # committed: on its machine until proven gone


def digits(name: str) -> int:
    return int("".join(c for c in name if c.isdigit()) or 0)


@dataclass(slots=True, eq=False)
class Task:
    """A task that was touched and is not done. Untouched and done ones are just numbers in their job."""

    job: Job
    index: int
    phase: Phase = Phase.PENDING
    attempt: int = 0
    machine: Machine | None = None
    # Session under which this leader first sent the start; 0: not sent by this leader.
    sent_session: int = 0
    # The (session, seq) of an answer of the worker's to a start of this attempt.
    start_acknowledged: tuple[int, int] | None = None
    status: str = ""  # as last reported
    claimed_at: int = 0
    running_since: int = 0
    # Set when the task is to leave its machine: grace in seconds, and when the first stop was sent.
    stopping: float | None = None
    stop_sent: int = 0
    repeat_start_at: int = 0
    claim_session: int = 0  # the worker's session when it was claimed (recorded for classes that limit repeats)
    spent: bool = False  # it may not run again

    def __hash__(self) -> int:
        """The same in every run, so that sets of them are gone through in the same order."""
        return self.job.number * 131_071 + self.index

    @property
    def name(self) -> str:
        return f"{self.job.ref}/{self.index}"

    def to_pending(self) -> None:
        self.phase = Phase.PENDING
        self.machine = None
        self.sent_session = 0
        self.start_acknowledged = None
        self.status = ""
        self.running_since = 0
        self.stopping = None
        self.stop_sent = 0
        self.repeat_start_at = 0
        self.claim_session = 0


@dataclass(slots=True)
class Hold:
    """Why some of a job's tasks may not start yet; recorded with the job, so that the next leader goes on from it."""

    plan: list[tuple[int, int]]  # from when (time of day) how many more may start
    why: str
    changes: int = 0  # times that it was written: bounded
    paused_until: int = 0  # time of day; running tasks were stopped for a cheaper hour
    pauses: int = 0

    def value(self, opened: int) -> dict[str, Any]:
        return {
            "open": opened,
            "plan": [list(row) for row in self.plan],
            "why": self.why,
            "n": self.changes,
            "paused": self.paused_until,
            "pauses": self.pauses,
        }

    @classmethod
    def of(cls, value: Any) -> Hold:
        return cls(
            [(int(at), int(count)) for at, count in value["plan"]],
            str(value["why"]),
            int(value["n"]),
            int(value.get("paused", 0)),
            int(value.get("pauses", 0)),
        )


@dataclass(slots=True, eq=False)
class Job:
    ref: str
    spec: wire.Submission
    version: int  # of jobs/REF, the condition of every start commit
    submitted_at: int  # time of day, since it must mean the same on the next leader
    kind: Kind = field(init=False)
    rank: int = field(init=False)
    cancelled: bool = False
    cancel_after: int = 0  # steady; its cancellation was told after this. 0: not known
    tasks: dict[int, Task] = field(default_factory=dict)
    fresh: int = 0  # tasks from here on were never touched
    opened: int = -1  # tasks from here on are held back (-1: none is)
    hold: Hold | None = None
    again: deque[int] = field(default_factory=deque)  # touched and pending
    done: set[int] = field(default_factory=set)
    on_machines: int = 0  # claimed or placed
    gang_attempt: int = 0
    lost: int = 0  # take-backs and losses suffered: the retry count
    tier: str = ""  # what the router decided last
    not_before: int = 0  # backing off after errors (steady)
    errors: int = 0  # since a task of it was last done
    error_machines: set[str] = field(default_factory=set)
    suspect: bool = False  # it failed on several machines and was done on none: rather its mistake than theirs
    zones: dict[str, int] = field(default_factory=dict)  # tasks on machines, by zone
    finishing: bool = False  # its end is being committed
    began: bool = False  # a task of it was seen running
    pressing: bool = False  # it waits for so long that no equal goes before it any more
    once: bool = False  # its class limits repeats: rows of its records tell more
    failure_reason: str = ""  # a task of it may not run again: it ends as lost
    strays: int = 0  # attempts of it seen where no record puts them: nothing of it is placed meanwhile
    due: int = 0  # time of day of the deadline that it can still meet
    late: bool = False  # it meets none any more
    target: int = 0  # the first that it could meet if it ran now; far away if there is none, 0: not judged
    guaranteed: bool = False  # it fits its team's guarantee together with the team's earlier jobs
    unplaced_since: int = 0  # steady; when it last began to wait without getting a machine
    preempt_after: int = 0  # steady; one round of preemption at a time
    run: int = 0  # its predicted run time as of the last routing
    run_step: int = 0  # the same in steps
    place: object = None  # where it stands among the waiting (`control/queueing/pending_queue.py`)
    dues: list[int] | None = None  # times of day by which its end is looked for: they never change
    # Machine types that can run it, the names of those that suit it, and the catalog that they were found in.
    allowed: tuple[int, list[wire.MachineType]] | None = None
    suited: tuple[int, list[wire.MachineType], tuple[str, ...]] | None = None

    number: int = 0  # the digits of its id
    # Times other than its deadline count from here (time of day): its submission, or when the last job that it needs
    # was done.
    from_at: int = 0
    carried: list[int] = field(default_factory=list)  # times of day by which jobs that need it want it done
    head_tasks: int = -1  # that lie with the job in one record; -1: not reckoned yet
    needs: tuple[str, ...] = ()
    counted: bool = False  # among those served
    slim: dict[str, Any] | None = None  # its description as recorded, if lists of it lie in records of their own

    def __post_init__(self) -> None:
        self.kind = Kind(self.spec.kind)
        self.rank = PRIORITIES[self.spec.priority]
        self.number = digits(self.ref)
        self.from_at = self.submitted_at
        self.needs = tuple(self.spec.needs or ())

    def __hash__(self) -> int:
        return self.number

    @property
    def pending(self) -> int:
        """Tasks that want a machine now; those held for later don't."""
        if self.opened < 0:
            return self.spec.tasks - self.fresh + len(self.again)
        return max(self.opened - self.fresh, 0) + len(self.again)

    @property
    def held(self) -> int:
        """Tasks that may not start yet."""
        return 0 if self.opened < 0 else self.spec.tasks - max(self.opened, self.fresh)

    @property
    def deadline(self) -> int | None:
        """Time of day by which it should be complete: its own deadline, else what jobs that need it leave it."""
        if self.spec.deadline_s is None:
            return self.carried[0] if self.carried else None
        return self.submitted_at + micros(self.spec.deadline_s)

    def next_pending(self) -> int | None:
        if self.again:
            return self.again[0]
        return self.fresh if self.fresh < (self.spec.tasks if self.opened < 0 else self.opened) else None

    def take_pending(self) -> Task:
        """Remove the first pending task from the queue; the caller claims it."""
        if self.again:
            return self.tasks[self.again.popleft()]
        task = Task(self, self.fresh)
        self.tasks[self.fresh] = task
        self.fresh += 1
        return task

    def rows_value(self, low: int, high: int) -> dict[str, Any]:
        """The record of the tasks from `low` up to `high`: -1 done, 0 untouched, [attempt] pending, [attempt, machine].

        Where the class limits repeats also [attempt, machine, session], and [attempt, None, 1]: spent.
        """
        rows: list[Any] = []
        for index in range(low, min(high, self.spec.tasks)):
            if index in self.done:
                rows.append(-1)
                continue
            task = self.tasks.get(index)
            if task is None:
                rows.append(0)
            elif task.machine is None:
                rows.append([task.attempt, None, 1] if task.spent else [task.attempt])
            elif self.once:
                rows.append([task.attempt, task.machine.name, task.claim_session])
            else:
                rows.append([task.attempt, task.machine.name])
        while rows and rows[-1] == 0:
            rows.pop()
        return {"t": rows}

    def live_value(self, tasks: int) -> dict[str, Any]:
        """The value of live/REF once a task of it was touched: the job with its first tasks."""
        value = {
            **self.record(wire.QUEUED),
            "rev": self.version,
            **self.rows_value(0, tasks),
            "tier": self.tier,
            "lost": self.lost,
        }
        if self.from_at != self.submitted_at:
            value["from"] = self.from_at
        if self.suspect:
            value["errors"] = self.errors
        if self.hold is not None:
            value["hold"] = self.hold.value(self.opened)
        return value

    def record(self, state: str) -> dict[str, Any]:
        """The value of jobs/REF."""
        value = job_record(self.spec, self.submitted_at, state)
        if self.slim is not None:
            value |= self.slim
        if state == wire.LOST:
            value["cause"] = self.failure_reason
        return value


def job_record(spec: wire.Submission, submitted_at: int, state: str) -> dict[str, Any]:
    value = msgspec.to_builtins(spec)
    if spec.needs is None:
        del value[wire.NEEDS]
    return {"state": state, "at": submitted_at, "job": value}


def split_task(name: str) -> tuple[str, int] | None:
    """`REF/3` as (REF, 3)."""
    ref, _, index = name.rpartition("/")
    return (ref, int(index)) if ref and index.isdigit() else None


@dataclass(slots=True, eq=False)
class Machine:
    name: str
    type: wire.MachineType
    zone: str
    spot: bool
    address: str = ""
    rented_at: int = 0  # steady
    rented_wall: int = 0  # time of day, for the next leader
    up_at: int = 0  # first report seen by this leader; 0: never
    was_up: bool = False  # a record says that it was up under an earlier leader
    session: int = 0
    seq: int = -1
    token: int = 0  # as in the newest report
    last_heartbeat_at: int = 0
    known_since: int = 0  # steady; when this leader first knew of it
    reclaimed_at: int = 0  # when the cloud takes it back; 0: no notice
    tasks: set[Task] = field(default_factory=set)
    work: set[Task] = field(default_factory=set)  # those of them that end by themselves: all but replicas
    # Live tasks in its newest report that no record puts here; of which job, and what they take, if that is known.
    strays: dict[tuple[str, int], tuple[Job | None, wire.Submission | None]] = field(default_factory=dict)
    # Ended attempts still in the worker's reports.
    ended: set[tuple[str, int]] = field(default_factory=set)
    # Attempts with sent starts whose fate is unknown, and how many: one may still land, so the
    # attempt is not forgotten (a start after a `forget` would start it again).
    unacknowledged_starts: dict[tuple[str, int], int] = field(default_factory=dict)
    # Starts in the answer to the report that came last, and that report's session and number.
    in_answer: set[tuple[str, int]] = field(default_factory=set)
    answered_report: tuple[int, int] = (0, 0)
    images: dict[str, int] = field(default_factory=dict)  # image -> first claim; 1: it is there
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory: float = 0.0
    steady_cpus: float = 0.0  # what services take of it
    cpus_by_priority: list[float] = field(default_factory=lambda: [0.0] * len(PRIORITIES))  # taken, by priority
    number: int = 0  # the digits of its name: which record holds it
    idle_since: int = 0
    gpus_idle_since: int = 0  # when the last task that needs GPUs left
    draining: bool = False  # takes no more tasks
    surplus: bool = False  # takes none for now: spot room can take what it runs
    emptying: bool = False  # surplus, and its replicas move elsewhere
    releasing: bool = False
    faults: set[str] = field(default_factory=set)  # jobs that failed here, since a task was last done here
    proven: set[str] = field(default_factory=set)  # those of them that were done elsewhere
    slow: float = 1.0  # observed run time over the predicted one
    slow_count: int = 0
    listed: bool = False
    probing: bool = False
    probed_at: int = 0
    recorded: bool = False  # the fleet record holds it: tasks may be placed
    # The tasks of its newest report, if the same ones once more would change nothing.
    calm: list[wire.TaskReport] | None = None
    session_since: int = 0  # steady; since when this leader knows of its session
    # Its reports arrive, but it seems to hear neither answers nor commands: it gets no work until it has shown that
    # it hears.
    command_unreachable: bool = False
    cordoned_until: int = 0  # it refused a start for want of room: our view of it is off
    gone: bool = False

    def __post_init__(self) -> None:
        self.free_cpus, self.free_gpus = self.type.cpus, self.type.gpus
        self.free_memory = self.type.memory_gb
        self.number = digits(self.name)

    def __hash__(self) -> int:
        return self.number

    def holds(self, spec: wire.Submission) -> bool:
        """Empty, it would have room for one task."""
        kind = self.type
        return spec.cpus <= kind.cpus and spec.gpus <= kind.gpus and spec.memory_gb <= kind.memory_gb

    def fits(self, spec: wire.Submission) -> bool:
        return (
            spec.cpus <= self.free_cpus + 1e-9
            and spec.gpus <= self.free_gpus + 1e-9
            and spec.memory_gb <= self.free_memory + 1e-9
        )

    def room(self, spec: wire.Submission) -> int:
        """How many tasks of a job fit into what is free."""
        return room_for(spec, self.free_cpus, self.free_gpus, self.free_memory)

    def room_without(self, tasks: list[Task], spec: wire.Submission) -> int:
        """The same once some of its tasks are gone."""
        return room_for(
            spec,
            self.free_cpus + sum(t.job.spec.cpus for t in tasks),
            self.free_gpus + sum(t.job.spec.gpus for t in tasks),
            self.free_memory + sum(t.job.spec.memory_gb for t in tasks),
        )

    def coming(self, now: int, token: int) -> bool:
        """It boots, and is not so long overdue that nobody counts on it any more."""
        if self.releasing or self.draining:
            return False
        if self.up_at:
            return self.token != token and not self.tasks  # up, and about to hear of us
        return not self.was_up and now - self.rented_at < 2 * micros(self.type.boot_s) + 5 * SECOND

    def take(self, cpus: float, gpus: float, memory: float) -> None:
        self.free_cpus -= cpus
        self.free_gpus -= gpus
        self.free_memory -= memory

    def give(self, cpus: float, gpus: float, memory: float) -> None:
        self.take(-cpus, -gpus, -memory)

    def confirmed(self, token: int) -> bool:
        """Its newest report is under our token: what it does not list is not there."""
        return self.up_at > 0 and self.token == token

    def usable(self, token: int, now: int, fresh_us: int) -> bool:
        return (
            self.recorded
            and self.token == token
            and self.up_at > 0
            and not self.draining
            and not self.releasing
            and not self.surplus
            and not self.command_unreachable
            and not self.reclaimed_at
            and now - self.last_heartbeat_at <= fresh_us
            and now >= self.cordoned_until
        )

    @property
    def price(self) -> float:
        return self.type.spot_price if self.spot else self.type.price


def room_for(spec: wire.Submission, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks of a job this much room holds."""
    count = int((cpus + 1e-9) // spec.cpus)
    if spec.gpus > 0:
        count = min(count, int((gpus + 1e-9) // spec.gpus))
    if spec.memory_gb > 0:
        count = min(count, int((memory_gb + 1e-9) // spec.memory_gb))
    return max(count, 0)


def fit_count(kind: wire.MachineType, spec: wire.Submission) -> int:
    """How many tasks of a job an empty machine of a type holds."""
    return room_for(spec, kind.cpus, kind.gpus, kind.memory_gb)


def zone_cap(spec: wire.Submission) -> int:
    """How many of a job's tasks may be in one zone."""
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks


def allowed_types(spec: wire.Submission, types: dict[str, wire.MachineType]) -> list[wire.MachineType]:
    return [
        kind
        for kind in types.values()
        if (spec.types is None or kind.name in spec.types)
        and (spec.zone is None or spec.zone in kind.zones)
        and fit_count(kind, spec) > 0
    ]
