"""The leader: failover, the leader lease, and the controllers that act for it, one module each.

All state is in `ClusterState`, touched only between awaits: the event loop takes the place of a lock.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from oatport import wire
from oatport.clients.state import StateClient
from oatport.control.leadership.leader_lease import LeaderLease, PauseDetector
from oatport.control.leadership.lease_renewal import LeaseRenewalLimit
from oatport.control.placement.retry_policy import RetryPolicies
from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.completions import Completion
from oatport.control.state.machine import Machine
from oatport.control.storage.fleet_records import recorded_machine_types
from oatport.control.storage.recovery import load_cluster
from oatport.peer_messages import JobAccepted, JobCancelled
from oatport.service.background_tasks import BackgroundTasks
from oatport.service.catalog import read_catalog
from oatport.service.cloud_controller import CloudController
from oatport.service.command_sender import CommandSender
from oatport.service.dependency_controller import DependencyController
from oatport.service.failover import introduce_all, read_records
from oatport.service.group_commit import GroupCommit
from oatport.service.heartbeat_controller import HeartbeatController
from oatport.service.job_progress_publisher import JobProgressPublisher
from oatport.service.job_watch import JobWatch
from oatport.service.leader_context import LeadingNode
from oatport.service.maintenance import MaintenanceLoop
from oatport.service.network import Network
from oatport.service.orphaned_job_lookup import OrphanedJobLookup
from oatport.service.planning_loop import PlanningLoop
from oatport.service.schema_version_controller import SchemaVersionController
from oatport.settings import Settings, Tuning
from oatport.times import SECOND, seconds, steady, time_of_day

if TYPE_CHECKING:
    from oatport.service.window_controller import WindowController
    from oatport.windows.settings import WindowSettings

log = logging.getLogger(__name__)

STATE_SERVICE_DOWN_AFTER = 2 * SECOND


class Leader:
    """One leadership: from taking the leader key over to stepping down."""

    def __init__(
        self,
        node: LeadingNode,
        settings: Settings,
        tuning: Tuning,
        net: Network,
        state: StateClient,
        token: int,
        lease: int,
        lease_requested_at: int,
        windows: WindowSettings | None = None,
        retry_policies: RetryPolicies | None = None,
    ) -> None:
        self.node = node
        self.settings = settings
        self.tuning = tuning
        self.state = state
        self.token = token
        self.lease = lease  # its number at the state service
        self._net = net
        limits = settings.cluster
        self.cluster = ClusterState(token, limits, tuning, dict(node.types), RuntimePredictor())
        self.cluster.retry_policies = retry_policies or {}
        self.led_since = steady()
        self.lease_renewal_limit = LeaseRenewalLimit(limits, self.led_since)
        self.leader_lease = LeaderLease(tuning.duration_us("leader_lease_s"), lease_requested_at)
        self._pause_detector = PauseDetector(self.led_since)
        self.background = BackgroundTasks()
        self.loaded = False
        self.stopped = False
        self.cloud_controller = CloudController(self, net)
        self.commits = GroupCommit(self)
        self.job_watch = JobWatch(self, self.commits)
        self.command_sender = CommandSender(self, net)
        self.orphaned_job_lookup = OrphanedJobLookup(self)
        self.heartbeats = HeartbeatController(
            self, self.command_sender, self.orphaned_job_lookup, self.cloud_controller.failure_detector.probe
        )
        self.planning_loop = PlanningLoop(self, self.cloud_controller.capacity_planner.availability)
        self.job_progress_publisher = JobProgressPublisher(self)
        self.maintenance = MaintenanceLoop(
            self, net, self.command_sender, self.orphaned_job_lookup, self.cloud_controller.capacity_planner
        )
        self.dependency_controller = DependencyController(self)
        self.schema_version_controller = SchemaVersionController(self)
        self.window_controller = self._make_window_controller(windows)

    def _make_window_controller(self, windows: WindowSettings | None) -> WindowController | None:
        """Imported only where it is configured."""
        if windows is None or not windows.on:
            return None
        from oatport.service.window_controller import WindowController

        controller = WindowController(self, self._net, windows)
        self.cluster.dependencies.on_released = controller.on_job_admitted
        self.job_watch.on_admitted = controller.on_job_admitted
        return controller

    # --- lifecycle --------------------------------------------------------------------------

    async def fail_over(self) -> None:
        """Load what is recorded, and start to lead; heartbeats confirm it.

        Raises NoResponseError, RequestRefusedError or UnknownMachineTypeError.
        """
        await self._load()
        log.info(
            "became leader fencing_token=%d jobs=%d machines=%d",
            self.token,
            len(self.cluster.jobs),
            len(self.cluster.machines),
        )
        self._start_controllers()
        machines = len(self.cluster.machines)
        self._net.set_expected_load(machines, machines)  # at first each is sent something
        introduce_all(self, self._net)
        self.wake()

    async def _load(self) -> None:
        asked_at = steady()  # cancellations confirmed while the records are read may not be among them
        snapshot, earlier = await asyncio.gather(read_records(self.state), self.node.completions_before(self.token))
        await self._load_machine_types(recorded_machine_types(snapshot.rows))
        load_cluster(self.cluster, snapshot.rows, steady(), time_of_day())
        self.cluster.now = steady()
        self.cluster.completions.apply(earlier.completions)
        self.cluster.completions.may_miss_earlier_completions = not earlier.complete
        if self.window_controller is not None:
            await self.window_controller.fail_over()
        self.lease_renewal_limit.on_cancellations_read(asked_at)
        self.loaded = True
        self.job_watch.begin(snapshot.revision)

    async def _load_machine_types(self, needed: set[str]) -> None:
        """The machine types: known to this node, recorded, or from the cloud.

        A process that leads at once may not have read them yet. Without them it took every machine for gone while
        the cloud was down, and started all that ran there again.
        """
        types = self.cluster.catalog.types  # changed in place by what is learnt
        if not types or not needed <= types.keys():
            found = await read_catalog(self.state)
            if found is not None:
                self.cluster.catalog.update({**types, **found.types})
        if not types or not needed <= types.keys():
            await self.cloud_controller.refresh_catalog()

    def _start_controllers(self) -> None:
        self.background.supervise("job watch", self.job_watch.loop)
        self.background.supervise("commits", self.commits.loop)
        self.background.supervise("planning", self.planning_loop.loop)
        self.background.supervise("commands", self.command_sender.loop)
        self.background.supervise("job progress", self.job_progress_publisher.loop)
        self.background.supervise("maintenance", self.maintenance.loop)
        self.cloud_controller.start()
        self.dependency_controller.start()
        self.schema_version_controller.start()
        if self.window_controller is not None:
            self.window_controller.start()

    def close(self) -> None:
        """End all that acts for this leader."""
        self.stopped = True
        self.background.close()

    def step_down(self, reason: str) -> None:
        """Stop leading."""
        if not self.stopped:
            self.stopped = True
            self.node.step_down(reason)

    # --- leadership ---------------------------------------------------------------------------

    def now(self) -> int:
        """The steady clock. A time in which this process was paused is not counted as lived."""
        now = steady()
        paused_for = self._pause_detector.check(now)
        if paused_for:
            log.warning("process was paused duration_s=%.1f", seconds(paused_for))
            self.cluster.on_process_pause(paused_for, now)
        return now

    def holds_lease(self) -> bool:
        """Nobody else can be leading: asked at the moment of acting."""
        return not self.stopped and self.leader_lease.is_held(steady())

    def decisions_paused(self, now: int) -> bool:
        """Nothing new is to be decided: a commit gets no answer, or it may not lead any more."""
        return self.commits.is_stuck(now) or not self.holds_lease()

    def state_service_down(self, now: int) -> bool:
        """The state service answers this node no more."""
        return (
            now - self.state.last_success_at > STATE_SERVICE_DOWN_AFTER
            and self.state.last_failure_at > self.state.last_success_at
        )

    def wake(self) -> None:
        """Start whatever there is to plan, to write and to send."""
        cluster = self.cluster
        if cluster.planning_needed:
            self.planning_loop.wanted.set()
        if cluster.writes.has_writes():
            self.commits.wanted.set()
        if cluster.machines_to_command:
            self.command_sender.wanted.set()

    # --- what others tell and ask ---------------------------------------------------------------

    def on_job_hint(self, hint: JobAccepted | JobCancelled) -> None:
        """A node accepted a job, or confirmed its cancellation."""
        self.job_watch.on_hint(hint)

    def apply_completions(self, completions: list[Completion]) -> None:
        """An earlier leader tells what it did not record."""
        if self.loaded:
            self.cluster.completions.apply(completions)
            self.wake()

    def answer_heartbeat(self, report: wire.Heartbeat) -> dict[str, Any] | None:
        """The answer to a worker's report; None if this leader may not renew leases now."""
        return self.heartbeats.answer(report)

    def receive_heartbeat(self, report: wire.Heartbeat, now: int) -> Machine | None:
        """Take in what a machine reports; None if it is unknown and can't be added."""
        return self.heartbeats.receive(report, now)

    def cancellation_watermark_age(self) -> int:
        """How long ago (us) the cancellation watermark was; -1: there is none.

        Lease proxies on other nodes go by it (`control/leadership/lease_proxy.py`).
        """
        is_known = self.loaded and not self.stopped
        watermark = (
            self.cluster.job_lifecycle.cancellation_watermark(self.lease_renewal_limit.cancellations_read_at)
            if is_known
            else 0
        )
        return steady() - watermark if watermark > 0 else -1

    def explain(self, job_id: str) -> dict[str, Any]:
        """Why a job waits, for operators."""
        waits = self.cluster.dependencies.explain(job_id)
        if waits:
            waits_on = self.cluster.dependencies.graph.dependencies_of(job_id)[:100]
            return {"job": job_id, "held": False, "why": waits, "waitsOn": waits_on}
        if self.window_controller is not None:
            return self.window_controller.explain(job_id)
        job = self.cluster.jobs.get(job_id)
        if job is None:
            return {"job": job_id, "held": False, "why": "no unfinished job of this id"}
        return {"job": job_id, "held": False, "why": "windows are off: it is routed as ever", "pending": job.pending}
