"""The leader's in-memory view of jobs and machines.

Its inputs are events and the time, its outputs are records to write and commands to send.

Records are written ahead of commands: a task is bound only once the commit of its binding is known to be applied, and
only then is its start command sent. A task stays on its machine until it is proven gone.
"""

from __future__ import annotations

import logging

from oatport import wire
from oatport.control.leadership.fencing_tokens import FencingTokens
from oatport.control.placement.retry_policy import RetryPolicies
from oatport.control.queueing.dependency_tracker import DependencyTracker
from oatport.control.queueing.pending_queue import PendingQueue
from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.queueing.tier_router import SPOT, TierRouter
from oatport.control.state.command_audit import CommandAudit
from oatport.control.state.heartbeats import HeartbeatReceiver
from oatport.control.state.job import Job, JobKind
from oatport.control.state.job_lifecycle import JobLifecycle
from oatport.control.state.job_statistics import JobStatistics
from oatport.control.state.machine import Machine
from oatport.control.state.machine_commands import MachineCommands
from oatport.control.state.machine_types import MachineTypeCatalog
from oatport.control.state.objectives import ServiceObjectives
from oatport.control.state.orphaned_attempts import OrphanedAttempts
from oatport.control.state.partitioned_zones import PartitionedZones
from oatport.control.state.quota import TeamQuotas
from oatport.control.state.task import Task
from oatport.control.state.task_lifecycle import TaskLifecycle
from oatport.control.state.unwritten_completions import UnwrittenCompletions
from oatport.control.state.utilization import FleetAccounting
from oatport.control.storage.keys import PARTITIONED_ZONES_KEY
from oatport.control.storage.record_layout import RecordLayout, max_record_bytes
from oatport.control.storage.write_buffer import WriteBuffer
from oatport.settings import ClusterSettings, Tuning
from oatport.times import SECOND, micros

log = logging.getLogger(__name__)


class ClusterState:
    """Holds the leader's view of jobs and machines, and the components that decide about them.

    Each component has one responsibility and reaches the others through this object: `writes` (records to write),
    `dependencies` (blocked jobs), `job_lifecycle`, `tasks`, `orphans` (attempts without a record), `completions`
    (completions without a record), `heartbeats`, `commands`, `zones` (partitioned zones), `catalog` (machine types),
    `objectives`, `accounting`.
    """

    def __init__(
        self,
        token: int,
        settings: ClusterSettings,
        tuning: Tuning,
        types: dict[str, wire.MachineType],
        predictor: RuntimePredictor,
    ) -> None:
        self.tokens = FencingTokens(token)
        self.settings = settings
        self.tuning = tuning
        self.predictor = predictor
        self.now = 0  # time of the last event or scheduling pass
        self.wall_offset = 0  # time of day minus the steady clock, at the last heartbeat
        self.heartbeat_interval_us = micros(settings.workers.report_s)
        self.lease_us = micros(settings.workers.lease_s)
        self.max_heartbeat_age_us = 2 * self.heartbeat_interval_us + SECOND
        self.retry_policies: RetryPolicies = {}

        self.jobs: dict[str, Job] = {}
        self.pending = PendingQueue()
        self.jobs_with_changed_counts: dict[Job, None] = {}  # task counts for users may have changed
        # Deferred jobs about to be released, and how many of their tasks: predicted queue waits include their work.
        self.upcoming_starts: list[tuple[Job, int]] = []
        self.machines: dict[str, Machine] = {}
        self.usable_machines: list[Machine] = []
        self.released_machines: set[str] = set()  # names of machines whose release was confirmed; they never return
        self.machines_to_command: set[Machine] = set()  # machines with commands to send before the next heartbeat
        self.unacknowledged_tasks: set[Task] = set()  # started by this leader, not yet listed in a heartbeat
        self.planning_needed = True

        self.objectives = ServiceObjectives(settings.objectives)
        self.router = self._make_router()
        self.quotas = TeamQuotas(settings.teams)
        self.job_statistics = JobStatistics()
        self.catalog = MachineTypeCatalog(types)
        self.accounting = FleetAccounting(self)
        max_zone_name_length = max(map(len, settings.zones), default=0)
        record_limit = max_record_bytes(settings.state.min_value_bytes)
        self.writes = WriteBuffer(self, RecordLayout(record_limit, max_zone_name_length))
        self.dependencies = DependencyTracker(self)
        self.job_lifecycle = JobLifecycle(self)
        self.tasks = TaskLifecycle(self)
        self.orphans = OrphanedAttempts(self)
        self.completions = UnwrittenCompletions(self)
        self.zones = PartitionedZones(self)
        self.writes.singleton_records[PARTITIONED_ZONES_KEY] = self.zones.record
        self.heartbeats = HeartbeatReceiver(self)
        self.commands = MachineCommands(self)
        self.command_audit = CommandAudit()

    @property
    def fencing_token(self) -> int:
        """Returns the token of the leader's term, the revision of the leader key."""
        return self.tokens.term

    def _make_router(self) -> TierRouter:
        router = TierRouter(
            self.predictor,
            self.tuning.duration_us("spot_threshold_s"),
            self.tuning.slack_factor,
            self.tuning.threshold_percentile,
            tail_factor=self.tuning.tail_factor,
        )
        router.start_objectives = self.objectives.start_within
        return router

    def idle_timeout(self, machine: Machine) -> int:
        """Returns how long an idle machine is kept; GPU machines for longer, as they are few and slow to rent again.

        Expensive GPU machines are kept for a shorter time than cheap ones: a non-spot machine costs two to three
        times as much as a spot machine.
        """
        idle = self.tuning.duration_us("idle_s")
        if machine.type.gpus <= 0:
            return idle
        cheap = min(machine.type.spot_price or machine.price, machine.price)
        return max(idle, round(idle * self.tuning.gpu_idle_factor * cheap / max(machine.price, 1e-9)))

    def refresh_usable_machines(self, now: int) -> list[Machine]:
        """Recomputes and returns the machines on which tasks may be placed now."""
        self.usable_machines = [
            m
            for m in self.machines.values()
            if m.is_usable(self.fencing_token, now, self.max_heartbeat_age_us) and m.zone not in self.zones.partitioned
        ]
        return self.usable_machines

    def may_backfill(self, job: Job, machine: Machine, now: int) -> bool:
        """Returns whether an array task that needs no GPUs may use a machine that has them.

        The task may run beside GPU work, or while the machine is kept idle for GPU work anyway if the task will be done
        before the machine's idle timeout. The machine is thus never kept for the array job, and GPU work preempts the
        task.
        """
        if job.kind is not JobKind.ARRAY:
            return False
        if machine.free_gpus < machine.type.gpus - 1e-9:
            return True
        return now + self.predictor.run_time(job.job_id, job.spec) < machine.gpus_idle_since + self.idle_timeout(
            machine
        )

    def may_use_free_spot(self, job: Job) -> bool:
        """Returns whether a job may use idle spot machines: it is routed to spot, or is GPU work as described below.

        GPU work that checkpoints and has a start objective loses little on spot machines. A gang of such work waited
        for a non-spot machine to boot while a spot machine was idle and kept for jobs of this kind.
        """
        if job.tier in (SPOT, ""):
            return True
        spec = job.spec
        return (
            spec.spot
            and spec.checkpoint_interval_s > 0
            and spec.gpus > 0
            and spec.job_class in self.objectives.start_within
        )

    def add_machine(
        self, name: str, type_name: str, zone: str, spot: bool, address: str, now: int, wall: int, age: int = 0
    ) -> Machine | None:
        """Returns the machine of this name, and adds it if it is new: rented, listed, recorded or sending heartbeats.

        `age`: time since it was rented. Returns None if the machine can't belong to this cluster: its type is unknown
        or it was released.
        """
        machine = self.machines.get(name)
        if machine is None:
            machine_type = self.catalog.types.get(type_name)
            if machine_type is None or name in self.released_machines:
                return None
            machine = Machine(name, machine_type, zone, spot, address, rented_at=now - age)
            machine.rented_at_wall = wall - age
            machine.idle_since = machine.first_known_at = now
            self.machines[name] = machine
            self.writes.mark_machine_dirty(machine)
        if address and machine.address != address:
            machine.address = address
            self.writes.mark_machine_dirty(machine)
        return machine

    def on_machine_removed(self, machine: Machine, now: int, reason: str) -> None:
        """Removes a machine that is proven gone: its release was confirmed, or the cloud lists it as `failed`."""
        if machine.removed:
            return
        machine.removed = True
        log.info("machine removed machine=%s reason=%s tasks=%d", machine.name, reason, len(machine.tasks))
        self.released_machines.add(machine.name)
        self.machines.pop(machine.name, None)
        self.machines_to_command.discard(machine)
        self.writes.mark_machine_dirty(machine)
        if machine.spot and machine.ready_at:
            self.predictor.spot_machine_ended(now - machine.rented_at, reason == "taken" or bool(machine.reclaimed_at))
        self.completions.expedite(machine)
        for key in list(machine.orphaned_attempts):
            self.orphans.remove(machine, key)
        for task in list(machine.tasks):
            self.tasks.requeue(task, lost=True)
        self.planning_needed = True

    def on_process_pause(self, pause_us: int, now: int) -> None:
        """Discounts a pause of this process from the silent and idle times of machines and the waits of jobs."""
        for machine in self.machines.values():
            machine.on_process_pause(pause_us, now)
        for job in self.pending:
            if job.unplaced_since:
                job.unplaced_since += pause_us
        if self.accounting.accounted_at:
            self.accounting.accounted_at += pause_us
