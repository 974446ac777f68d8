"""The leader's view of jobs and machines: fed events and the time, it decides what to write and send.

Writing comes first: a task is bound only when the commit of its binding is known to be applied, and only then is its
start sent. A task stays on its machine until it is proven gone.
"""

from __future__ import annotations

import logging

from oatport import wire
from oatport.control.placement.retry_policy import RetryPolicies
from oatport.control.queueing.dependency_tracker import DependencyTracker
from oatport.control.queueing.pending_queue import PendingQueue
from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.queueing.tier_router import SPOT, TierRouter
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
from oatport.control.storage.record_layout import RecordLayout
from oatport.control.storage.write_buffer import WriteBuffer
from oatport.settings import ClusterSettings, Tuning
from oatport.times import SECOND, micros

log = logging.getLogger(__name__)


class ClusterState:
    """Jobs and machines as the leader knows them, and the parts that decide about them.

    Each part has one job and reaches the others through this object: `writes` (records to write), `dependencies`
    (blocked jobs), `job_lifecycle`, `tasks`, `orphans` (attempts without a record), `completions` (those without
    one), `heartbeats`, `commands`, `zones` (partitioned ones), `catalog` (machine types), `objectives`, `accounting`.
    """

    def __init__(
        self,
        token: int,
        settings: ClusterSettings,
        tuning: Tuning,
        types: dict[str, wire.MachineType],
        predictor: RuntimePredictor,
    ) -> None:
        self.fencing_token = token
        self.settings = settings
        self.tuning = tuning
        self.predictor = predictor
        self.now = 0  # the time of the last event or pass
        self.wall_offset = 0  # the time of day less the steady clock, at the last heartbeat
        self.heartbeat_us = micros(settings.workers.report_s)
        self.lease_us = micros(settings.workers.lease_s)
        self.heartbeat_fresh_us = 2 * self.heartbeat_us + SECOND
        self.retry_policies: RetryPolicies = {}

        self.jobs: dict[str, Job] = {}
        self.pending = PendingQueue()
        self.jobs_with_changed_counts: dict[Job, None] = {}  # whose counts, as users are shown them, may have changed
        # Deferred jobs that are released soon, and how many tasks of them: they count as ahead.
        self.upcoming_starts: list[tuple[Job, int]] = []
        self.machines: dict[str, Machine] = {}
        self.usable_machines: list[Machine] = []
        self.released_machines: set[str] = set()  # names whose release was answered: gone for good
        self.machines_to_command: set[Machine] = set()  # machines with commands that should not wait for a heartbeat
        self.unacknowledged_tasks: set[Task] = set()  # bound by this leader; no heartbeat lists them yet
        self.planning_needed = True

        self.objectives = ServiceObjectives(settings.objectives)
        self.router = self._make_router()
        self.quotas = TeamQuotas(settings.teams)
        self.job_statistics = JobStatistics()
        self.catalog = MachineTypeCatalog(types)
        self.accounting = FleetAccounting(self)
        longest_zone_name = max(map(len, settings.zones), default=0)
        self.writes = WriteBuffer(self, RecordLayout(settings.state.min_value_bytes, longest_zone_name))
        self.dependencies = DependencyTracker(self)
        self.job_lifecycle = JobLifecycle(self)
        self.tasks = TaskLifecycle(self)
        self.orphans = OrphanedAttempts(self)
        self.completions = UnwrittenCompletions(self)
        self.zones = PartitionedZones(self)
        self.writes.singleton_records[PARTITIONED_ZONES_KEY] = self.zones.record
        self.heartbeats = HeartbeatReceiver(self)
        self.commands = MachineCommands(self)

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
        """How long an idle machine is kept; those with GPUs are few, and longer in coming back.

        Of those, the expensive ones for less: an ordinary one costs twice or thrice what a spot one does.
        """
        idle = self.tuning.duration_us("idle_s")
        if machine.type.gpus <= 0:
            return idle
        cheap = min(machine.type.spot_price or machine.price, machine.price)
        return max(idle, round(idle * self.tuning.gpu_idle_factor * cheap / max(machine.price, 1e-9)))

    def refresh_usable_machines(self, now: int) -> list[Machine]:
        """The machines that tasks may be placed on now."""
        self.usable_machines = [
            m
            for m in self.machines.values()
            if m.is_usable(self.fencing_token, now, self.heartbeat_fresh_us) and m.zone not in self.zones.partitioned
        ]
        return self.usable_machines

    def may_backfill(self, job: Job, machine: Machine, now: int) -> bool:
        """May an array task without need of GPUs use a machine that has them?

        Beside work that needs them, or while the machine is kept for such work anyway and the task will
        be done by the time that it goes back: so it is never kept for the array, and whoever needs the
        GPUs preempts it.
        """
        if job.kind is not JobKind.ARRAY:
            return False
        if machine.free_gpus < machine.type.gpus - 1e-9:
            return True
        return now + self.predictor.run_time(job.job_id, job.spec) < machine.gpus_idle_since + self.idle_timeout(
            machine
        )

    def may_use_free_spot(self, job: Job) -> bool:
        """Routed to spot; or long work that loses little there and is expected to start soon.

        Such a gang waited for an ordinary machine to boot while a spot one was idle, kept for jobs of its kind.
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
        """A machine rented, listed, recorded or reporting; None if it can't be one of ours."""
        machine = self.machines.get(name)
        if machine is None:
            kind = self.catalog.types.get(type_name)
            if kind is None or name in self.released_machines:
                return None
            machine = Machine(name, kind, zone, spot, address, rented_at=now - age)
            machine.rented_at_wall = wall - age
            machine.idle_since = machine.first_known_at = now
            self.machines[name] = machine
            self.writes.mark_machine_dirty(machine)
        if address and machine.address != address:
            machine.address = address
            self.writes.mark_machine_dirty(machine)
        return machine

    def on_machine_removed(self, machine: Machine, now: int, reason: str) -> None:
        """Proven gone: a release was answered, or the list says `failed`."""
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

    def on_process_pause(self, gap: int, now: int) -> None:
        """This process did not run for a while: nobody was silent or idle for it meanwhile."""
        for machine in self.machines.values():
            machine.on_process_pause(gap, now)
        for job in self.pending:
            if job.unplaced_since:
                job.unplaced_since += gap
        if self.accounting.accounted_at:
            self.accounting.accounted_at += gap
