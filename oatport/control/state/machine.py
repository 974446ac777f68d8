"""A rented machine as the leader sees it: its free capacity, its tasks and what its heartbeats say."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from oatport import wire
from oatport.control.state.capacity import task_slots
from oatport.control.state.identifiers import number_in_name
from oatport.control.state.job import PRIORITIES
from oatport.times import SECOND, micros

if TYPE_CHECKING:
    from oatport.control.state.job import Job
    from oatport.control.state.task import Task


@dataclass(slots=True, eq=False)
class Machine:
    """A rented machine. Times are steady microseconds where it isn't said that they are times of day."""

    name: str
    type: wire.MachineType
    zone: str
    spot: bool
    address: str = ""
    rented_at: int = 0  # steady
    rented_at_wall: int = 0  # time of day, for the record
    ready_at: int = 0  # first heartbeat seen by this leader; 0: none
    was_ready: bool = False  # a record says that it was ready under an earlier leader
    agent_epoch: int = 0
    heartbeat_seq: int = -1
    fencing_token: int = 0  # as in the newest heartbeat
    last_heartbeat_at: int = 0
    first_known_at: int = 0  # steady; when this leader first knew of it
    reclaimed_at: int = 0  # when the cloud reclaims it; 0: no notice
    tasks: set[Task] = field(default_factory=set)
    finite_tasks: set[Task] = field(
        default_factory=set
    )  # those of them that end by themselves: all but replicas of services
    # Attempts in its newest report that no record puts here -> their job, and what they take, if that is known.
    orphaned_attempts: dict[tuple[str, int], tuple[Job | None, wire.Submission | None]] = field(default_factory=dict)
    # Terminated attempts that are still in the agent's reports.
    terminated_attempts: set[tuple[str, int]] = field(default_factory=set)
    # Attempts with sent starts whose outcome is unknown, and how many: one may still land, so the
    # attempt is not forgotten (a start after a `forget` would start it again).
    unacknowledged_starts: dict[tuple[str, int], int] = field(default_factory=dict)
    # Starts in the response to the newest heartbeat, and that heartbeat's epoch and number.
    starts_in_response: set[tuple[str, int]] = field(default_factory=set)
    answered_heartbeat: tuple[int, int] = (0, 0)
    images: dict[str, int] = field(default_factory=dict)  # image -> when a task with it was bound first; 1: it is there
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory_gb: float = 0.0
    service_cpus: float = 0.0  # what services take of it
    cpus_by_priority: list[float] = field(default_factory=lambda: [0.0] * len(PRIORITIES))  # taken, by priority
    number: int = 0  # the digits of its name: which record holds it
    idle_since: int = 0
    gpus_idle_since: int = 0  # when the last task that needs GPUs left
    draining: bool = False  # takes no more tasks
    cordoned_for_scale_in: bool = False  # takes none for now: spot capacity can take what it runs
    draining_replicas: bool = False  # cordoned for scale-in, and its replicas move elsewhere
    releasing: bool = False
    failed_jobs: set[str] = field(default_factory=set)  # jobs that failed here, since a task was completed here last
    confirmed_failed_jobs: set[str] = field(default_factory=set)  # those of them that completed elsewhere
    slowdown: float = 1.0  # observed run time over the predicted one
    slowdown_samples: int = 0
    listed_by_cloud: bool = False
    probing: bool = False
    probed_at: int = 0
    persisted: bool = False  # the fleet record holds it: tasks may be placed
    # The tasks of its newest heartbeat, if the same ones once more would change nothing.
    settled_heartbeat: list[wire.TaskReport] | None = None
    agent_epoch_since: int = 0  # since when this leader knows of its epoch
    # One-way partition: its heartbeats arrive, but neither responses nor commands seem to arrive there. It gets no work
    # until it has shown that they do.
    command_unreachable: bool = False
    cordoned_until: int = 0  # it refused a start for insufficient capacity: our view of it is off
    removed: bool = False

    def __post_init__(self) -> None:
        self.free_cpus, self.free_gpus = self.type.cpus, self.type.gpus
        self.free_memory_gb = self.type.memory_gb
        self.number = number_in_name(self.name)

    def __hash__(self) -> int:
        return self.number

    def can_hold_when_empty(self, spec: wire.Submission) -> bool:
        """Empty, it would have capacity for one task."""
        kind = self.type
        return spec.cpus <= kind.cpus and spec.gpus <= kind.gpus and spec.memory_gb <= kind.memory_gb

    def has_capacity_for(self, spec: wire.Submission) -> bool:
        """One task of a job fits into what is free."""
        return (
            spec.cpus <= self.free_cpus + 1e-9
            and spec.gpus <= self.free_gpus + 1e-9
            and spec.memory_gb <= self.free_memory_gb + 1e-9
        )

    def free_slots(self, spec: wire.Submission) -> int:
        """How many tasks of a job fit into what is free."""
        return task_slots(spec, self.free_cpus, self.free_gpus, self.free_memory_gb)

    def free_slots_without(self, tasks: list[Task], spec: wire.Submission) -> int:
        """The same once some of its tasks are gone."""
        return task_slots(
            spec,
            self.free_cpus + sum(t.job.spec.cpus for t in tasks),
            self.free_gpus + sum(t.job.spec.gpus for t in tasks),
            self.free_memory_gb + sum(t.job.spec.memory_gb for t in tasks),
        )

    def is_incoming(self, now: int, token: int) -> bool:
        """It boots, and is not so long overdue that it isn't counted on any more."""
        if self.releasing or self.draining:
            return False
        if self.ready_at:
            return self.fencing_token != token and not self.tasks  # ready, and about to receive our token
        return not self.was_ready and now - self.rented_at < 2 * micros(self.type.boot_time_s) + 5 * SECOND

    def on_process_pause(self, gap: int, now: int) -> None:
        """This leader's process did not run for `gap`: the machine was neither silent nor idle for that long."""
        self.last_heartbeat_at = _moved_on(self.last_heartbeat_at, gap, now)
        self.first_known_at = _moved_on(self.first_known_at, gap, now)
        self.idle_since = _moved_on(self.idle_since, gap, now)
        self.gpus_idle_since = _moved_on(self.gpus_idle_since, gap, now)

    def reserve(self, cpus: float, gpus: float, memory: float) -> None:
        """An attempt takes so much from now on; less than 0: no longer."""
        self.free_cpus -= cpus
        self.free_gpus -= gpus
        self.free_memory_gb -= memory

    def has_reported_under(self, token: int) -> bool:
        """Its newest heartbeat is under our token: what that does not list is not there."""
        return self.ready_at > 0 and self.fencing_token == token

    def is_usable(self, token: int, now: int, fresh_us: int) -> bool:
        """Tasks may be placed on it. `fresh_us`: how old its newest heartbeat may be."""
        return (
            self.persisted
            and self.fencing_token == token
            and self.ready_at > 0
            and not self.draining
            and not self.releasing
            and not self.cordoned_for_scale_in
            and not self.command_unreachable
            and not self.reclaimed_at
            and now - self.last_heartbeat_at <= fresh_us
            and now >= self.cordoned_until
        )

    @property
    def price(self) -> float:
        """What it costs an hour."""
        return self.type.spot_price if self.spot else self.type.price


def _moved_on(at: int, gap: int, now: int) -> int:
    """A moment (0: never) moved on by a pause, not beyond now."""
    return min(at + gap, now) if at else at
