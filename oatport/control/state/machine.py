"""A rented machine in the leader's view: its free capacity, its tasks and the state from its heartbeats."""

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
    """Holds a rented machine. Times are in microseconds of the steady clock, except those marked as times of day."""

    name: str
    type: wire.MachineType
    zone: str
    spot: bool
    address: str = ""
    rented_at: int = 0  # steady
    rented_at_wall: int = 0  # time of day, for the record
    ready_at: int = 0  # first heartbeat received by this leader; 0: none
    was_ready: bool = False  # per its record, ready under an earlier leader
    rented_in_term: bool = False  # rented by this leader, so no earlier one has sent commands to it
    worker_epoch: int = 0
    heartbeat_seq: int = -1
    fencing_token: int = 0  # as in the newest heartbeat
    last_heartbeat_at: int = 0
    first_known_at: int = 0  # when this leader first learnt of the machine
    reclaimed_at: int = 0  # time of the cloud's reclamation; 0: no notice
    tasks: set[Task] = field(default_factory=set)
    finite_tasks: set[Task] = field(default_factory=set)  # those of `tasks` that run to completion: no service replicas
    # Attempts in the newest heartbeat that no record binds to this machine -> their job and specification, if known.
    orphaned_attempts: dict[tuple[str, int], tuple[Job | None, wire.Submission | None]] = field(default_factory=dict)
    # Terminated attempts that the worker's heartbeats still list.
    terminated_attempts: set[tuple[str, int]] = field(default_factory=set)
    # Starts in the response to the newest heartbeat, and that heartbeat's epoch and sequence number. The response may
    # still arrive, so no `forget` is sent for these attempts: a start after a `forget` would start them again.
    starts_in_response: set[tuple[str, int]] = field(default_factory=set)
    answered_heartbeat: tuple[int, int] = (0, 0)
    command_token: int = 0  # token of the newest message to the worker, if higher than that of the leader's term
    token_changed_at: int = 0  # when this leader last sent the worker a higher token, or first received one from it
    images: dict[str, int] = field(default_factory=dict)  # image -> time of the first binding that needs it; 1: present
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory_gb: float = 0.0
    service_cpus: float = 0.0  # CPUs taken by service replicas
    cpus_by_priority: list[float] = field(default_factory=lambda: [0.0] * len(PRIORITIES))  # CPUs taken, by priority
    number: int = 0  # the digits of its name, which determine its record
    idle_since: int = 0
    gpus_idle_since: int = 0  # when the last task that needs GPUs left
    draining: bool = False  # gets no more tasks
    cordoned_for_scale_in: bool = False  # gets no tasks for now: spot capacity can take over those that it runs
    draining_replicas: bool = False  # cordoned for scale-in, with its replicas moving to other machines
    releasing: bool = False
    failed_jobs: set[str] = field(default_factory=set)  # jobs that failed here since the last completion here
    confirmed_failed_jobs: set[str] = field(default_factory=set)  # those of `failed_jobs` that completed elsewhere
    slowdown: float = 1.0  # observed run time divided by the predicted one
    slowdown_samples: int = 0
    listed_by_cloud: bool = False
    probing: bool = False
    probed_at: int = 0
    persisted: bool = False  # in a committed fleet record, so tasks may be placed
    # The tasks of its newest heartbeat, if the same list again would change nothing.
    settled_heartbeat: list[wire.TaskReport] | None = None
    worker_epoch_seen_at: int = 0  # when this leader first received its present epoch
    # One-way partition: the heartbeats arrive, but neither responses nor commands seem to reach the machine. No tasks
    # are placed on the machine until it has shown that they do.
    command_unreachable: bool = False
    cordoned_until: int = 0  # refused a start, e.g. for insufficient capacity: the leader's view is outdated
    removed: bool = False

    def __post_init__(self) -> None:
        self.free_cpus, self.free_gpus = self.type.cpus, self.type.gpus
        self.free_memory_gb = self.type.memory_gb
        self.number = number_in_name(self.name)

    def __hash__(self) -> int:
        return self.number

    def can_hold_when_empty(self, spec: wire.Submission) -> bool:
        """Returns whether the machine, if empty, would have capacity for one task."""
        machine_type = self.type
        return (
            spec.cpus <= machine_type.cpus
            and spec.gpus <= machine_type.gpus
            and spec.memory_gb <= machine_type.memory_gb
        )

    def has_capacity_for(self, spec: wire.Submission) -> bool:
        """Returns whether one task of a job fits into the free capacity."""
        return (
            spec.cpus <= self.free_cpus + 1e-9
            and spec.gpus <= self.free_gpus + 1e-9
            and spec.memory_gb <= self.free_memory_gb + 1e-9
            and self.free_attempts > 0
        )

    @property
    def free_attempts(self) -> int:
        """Returns how many more attempts the machine's heartbeats can list.

        An attempt counts until a heartbeat no longer lists it, so also after it has terminated.
        """
        listed_count = len(self.tasks) + len(self.terminated_attempts) + len(self.orphaned_attempts)
        return wire.MAX_ATTEMPTS_PER_MACHINE - listed_count

    def free_slots(self, spec: wire.Submission) -> int:
        """Returns how many tasks of a job fit into the free capacity."""
        return task_slots(spec, self.free_cpus, self.free_gpus, self.free_memory_gb, self.free_attempts)

    def free_slots_without(self, tasks: list[Task], spec: wire.Submission) -> int:
        """Returns how many tasks of a job would fit into the free capacity without the given tasks of the machine."""
        return task_slots(
            spec,
            self.free_cpus + sum(t.job.spec.cpus for t in tasks),
            self.free_gpus + sum(t.job.spec.gpus for t in tasks),
            self.free_memory_gb + sum(t.job.spec.memory_gb for t in tasks),
            self.free_attempts + len(tasks),
        )

    def is_incoming(self, now: int, token: int) -> bool:
        """Returns whether the machine should become usable soon: it boots, or is about to receive this leader's token.

        A machine whose boot is long overdue does not count.
        """
        if self.releasing or self.draining:
            return False
        if self.ready_at:
            return not self.is_confirmed(token) and not self.tasks  # ready, and about to receive this leader's token
        return not self.was_ready and now - self.rented_at < 2 * micros(self.type.boot_time_s) + 5 * SECOND

    def on_process_pause(self, pause_us: int, now: int) -> None:
        """Discounts a pause of this leader's process from the machine's silent and idle times."""
        self.last_heartbeat_at = _shifted(self.last_heartbeat_at, pause_us, now)
        self.first_known_at = _shifted(self.first_known_at, pause_us, now)
        self.idle_since = _shifted(self.idle_since, pause_us, now)
        self.gpus_idle_since = _shifted(self.gpus_idle_since, pause_us, now)

    def reserve(self, cpus: float, gpus: float, memory: float) -> None:
        """Takes the resources of an attempt from the free capacity; negative amounts give them back."""
        self.free_cpus -= cpus
        self.free_gpus -= gpus
        self.free_memory_gb -= memory

    def has_reported_under(self, token: int) -> bool:
        """Returns whether the newest heartbeat is under the term with this token.

        Attempts that it does not list are not there.
        """
        return self.ready_at > 0 and self.fencing_token >= token

    def is_confirmed(self, token: int) -> bool:
        """Returns whether no commands of an earlier leader can arrive. `token`: that of this leader's term."""
        return self.rented_in_term or self.fencing_token >= token

    def is_usable(self, token: int, now: int, max_age_us: int) -> bool:
        """Returns whether tasks may be placed here. `max_age_us`: maximum age of the newest heartbeat."""
        return (
            self.persisted
            and self.is_confirmed(token)
            and self.ready_at > 0
            and not self.draining
            and not self.releasing
            and not self.cordoned_for_scale_in
            and not self.command_unreachable
            and not self.reclaimed_at
            and now - self.last_heartbeat_at <= max_age_us
            and now >= self.cordoned_until
        )

    @property
    def price(self) -> float:
        """Returns the price of the machine per hour."""
        return self.type.spot_price if self.spot else self.type.price


def _shifted(at: int, pause_us: int, now: int) -> int:
    """Returns a time shifted forward by a pause, at most to `now`; 0 (never) stays 0."""
    return min(at + pause_us, now) if at else at
