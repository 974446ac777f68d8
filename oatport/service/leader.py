"""The leader: failover, the leader lease, and the controllers of the leader, which have one module each.

All state is in `ClusterState` and is changed only between awaits, so the event loop serves as the lock.
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
from oatport.service.failover import announce_leader_to_all, read_records
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
from oatport.times import MS, SECOND, seconds, steady, time_of_day

if TYPE_CHECKING:
    from oatport.service.window_controller import WindowController
    from oatport.windows.settings import WindowSettings

log = logging.getLogger(__name__)

STATE_SERVICE_DOWN_AFTER = 2 * SECOND


class Leader:
    """Holds one term of leadership, from the acquisition of the leader key until the node steps down."""

    def __init__(
        self,
        node: LeadingNode,
        settings: Settings,
        tuning: Tuning,
        net: Network,
        state: StateClient,
        token: int,
        lease_id: int,
        lease_requested_at: int,
        windows: WindowSettings | None = None,
        retry_policies: RetryPolicies | None = None,
    ) -> None:
        self.node = node
        self.settings = settings
        self.tuning = tuning
        self.state = state
        self.token = token
        self.lease_id = lease_id  # of the leader lease, at the state service
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
        """Creates the window controller, whose module is imported only if windows are enabled."""
        if windows is None or not windows.on:
            return None
        from oatport.service.window_controller import WindowController

        controller = WindowController(self, self._net, windows)
        self.cluster.dependencies.on_released = controller.on_job_admitted
        self.job_watch.on_admitted = controller.on_job_admitted
        return controller

    # --- lifecycle --------------------------------------------------------------------------

    async def fail_over(self) -> None:
        """Loads the records and starts to lead; machines' heartbeats then confirm what was recorded.

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
        machine_count = len(self.cluster.machines)
        self._net.set_expected_load(machine_count, machine_count)  # at first, each machine is sent a request
        announce_leader_to_all(self, self._net)
        self.wake()

    async def _load(self) -> None:
        requested_at = steady()  # cancellations confirmed while the records are read may not be among them
        snapshot, earlier = await asyncio.gather(read_records(self.state), self.node.completions_before(self.token))
        await self._load_machine_types(recorded_machine_types(snapshot.rows))
        load_cluster(self.cluster, snapshot.rows, steady(), time_of_day())
        self.cluster.now = steady()
        self.cluster.completions.apply(earlier.completions)
        self.cluster.completions.may_miss_earlier_completions = not earlier.complete
        if self.window_controller is not None:
            await self.window_controller.fail_over()
        self.lease_renewal_limit.on_cancellations_read(requested_at)
        self.loaded = True
        log.info(
            "records read fencing_token=%d revision=%d read_ms=%d completions_complete=%s",
            self.token,
            snapshot.revision,
            (steady() - requested_at) // MS,
            earlier.complete,
        )
        self.job_watch.start_from(snapshot.revision)

    async def _load_machine_types(self, needed: set[str]) -> None:
        """Loads the machine types that this node has not read yet from the records, or else from the cloud.

        A process that leads right after its start may not have read the types. Without them such a leader took every
        machine for lost while the cloud was down, and restarted all tasks.
        """
        types = self.cluster.catalog.types  # updated in place by `update`
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
        """Stops all background tasks of this leader."""
        self.stopped = True
        self.background.close()

    def step_down(self, reason: str) -> None:
        """Stops leading."""
        if not self.stopped:
            self.stopped = True
            self.node.step_down(reason)

    # --- leadership ---------------------------------------------------------------------------

    def now(self) -> int:
        """Returns the steady time; if this process was paused, the pause is discounted from all timeouts first."""
        now = steady()
        paused_for = self._pause_detector.check(now)
        if paused_for:
            log.warning("process was paused duration_s=%.1f", seconds(paused_for))
            self.cluster.on_process_pause(paused_for, now)
        return now

    def holds_lease(self) -> bool:
        """Returns whether no other node can be leading; must be checked right before each action."""
        return not self.stopped and self.leader_lease.is_held(steady())

    def are_decisions_paused(self, now: int) -> bool:
        """Returns whether new decisions must wait: a commit is unanswered, or the leader lease is not held."""
        return self.commits.is_stuck(now) or not self.holds_lease()

    def is_state_service_down(self, now: int) -> bool:
        """Returns whether the state service has stopped answering this node."""
        return (
            now - self.state.last_success_at > STATE_SERVICE_DOWN_AFTER
            and self.state.last_failure_at > self.state.last_success_at
        )

    def wake(self) -> None:
        """Wakes the loops that have pending planning, writes or commands."""
        cluster = self.cluster
        if cluster.planning_needed:
            self.planning_loop.wakeup.set()
        if cluster.writes.has_pending_writes():
            self.commits.wakeup.set()
        if cluster.machines_to_command:
            self.command_sender.wakeup.set()

    # --- messages and requests ------------------------------------------------------------------

    def on_job_hint(self, hint: JobAccepted | JobCancelled) -> None:
        """Handles a hint that a node accepted a job or confirmed its cancellation."""
        self.job_watch.on_hint(hint)

    def apply_completions(self, completions: list[Completion]) -> None:
        """Applies completions that an earlier leader received but did not record."""
        if self.loaded:
            self.cluster.completions.apply(completions)
            self.wake()

    def answer_heartbeat(self, heartbeat: wire.Heartbeat) -> dict[str, Any] | None:
        """Returns the response to a worker's heartbeat, or None if this leader may not renew leases now."""
        return self.heartbeats.answer(heartbeat)

    def receive_heartbeat(self, heartbeat: wire.Heartbeat, now: int) -> Machine | None:
        """Applies a machine's heartbeat; returns None if the machine is unknown and cannot be added."""
        return self.heartbeats.receive(heartbeat, now)

    def cancellation_watermark_age(self) -> int:
        """Returns the age (us) of the cancellation watermark, or -1 if there is none.

        Lease proxies on other nodes depend on it (`control/leadership/lease_proxy.py`).
        """
        may_have_watermark = self.loaded and not self.stopped
        watermark = (
            self.cluster.job_lifecycle.cancellation_watermark(self.lease_renewal_limit.cancellations_read_at)
            if may_have_watermark
            else 0
        )
        return steady() - watermark if watermark > 0 else -1

    def explain(self, job_id: str) -> dict[str, Any]:
        """Returns an explanation for operators of why a job is waiting."""
        reason = self.cluster.dependencies.explain(job_id)
        if reason:
            dependencies = self.cluster.dependencies.graph.dependencies_of(job_id)[:100]
            return {"job": job_id, "held": False, "why": reason, "waitsOn": dependencies}
        if self.window_controller is not None:
            return self.window_controller.explain(job_id)
        job = self.cluster.jobs.get(job_id)
        if job is None:
            return {"job": job_id, "held": False, "why": "no unfinished job of this id"}
        return {"job": job_id, "held": False, "why": "windows are off: it is routed as ever", "pending": job.pending}
