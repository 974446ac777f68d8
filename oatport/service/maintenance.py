"""The maintenance loop: requests heartbeats for due starts, updates statistics, and logs the leader's status."""

from __future__ import annotations

import asyncio
import logging

from oatport.control.scaling.capacity_planner import CapacityPlanner
from oatport.control.storage.keys import MODEL_KEY
from oatport.service.cluster_status import status_line
from oatport.service.command_sender import CommandSender
from oatport.service.leader_context import LeaderContext
from oatport.service.network import Network
from oatport.service.orphaned_job_lookup import OrphanedJobLookup
from oatport.times import SECOND, steady

log = logging.getLogger(__name__)

INTERVAL_S = 0.5
ACCOUNTING_INTERVAL = 5 * SECOND
MODEL_WRITE_INTERVAL = 15 * SECOND
STATUS_INTERVAL = 10 * SECOND


class MaintenanceLoop:
    """Runs a leader's periodic work, every 0.5 s or less often."""

    def __init__(
        self,
        leader: LeaderContext,
        net: Network,
        command_sender: CommandSender,
        orphaned_job_lookup: OrphanedJobLookup,
        capacity_planner: CapacityPlanner,
    ) -> None:
        self._leader = leader
        self._net = net
        self._command_sender = command_sender
        self._orphaned_job_lookup = orphaned_job_lookup
        self._capacity_planner = capacity_planner
        self._accounted_at = self._model_written_at = self._status_logged_at = 0
        self._max_requests = 0  # maximum number of requests to workers in one interval since the last accounting

    async def loop(self) -> None:
        """Runs the periodic work until the leader stops."""
        self._accounted_at = self._model_written_at = self._status_logged_at = steady()
        self._max_requests = 0
        while not self._leader.stopped:
            await asyncio.sleep(INTERVAL_S)
            self._step(self._leader.now())

    def _step(self, now: int) -> None:
        cluster = self._leader.cluster
        self._max_requests = max(self._max_requests, self._command_sender.take_request_count())
        if now - self._accounted_at > ACCOUNTING_INTERVAL:
            self._update_accounting(now)
        self._request_heartbeats_for_starts()
        self._orphaned_job_lookup.look_up()
        cluster.completions.to_replicate()  # drops completions that have been recorded by now
        if now - self._model_written_at > MODEL_WRITE_INTERVAL and cluster.predictor.changed:
            cluster.predictor.changed = False
            cluster.writes.dirty_keys[MODEL_KEY] = None
            self._model_written_at = now
        self._leader.wake()
        if now - self._status_logged_at > STATUS_INTERVAL:
            self._status_logged_at = now
            log.info("cluster status %s", status_line(cluster, self._capacity_planner, now))
            log.info("%s", cluster.job_statistics.summary())

    def _update_accounting(self, now: int) -> None:
        self._accounted_at = now
        self._net.set_expected_load(len(self._leader.cluster.machines), self._max_requests / INTERVAL_S)
        self._max_requests = 0
        self._leader.cluster.accounting.update(now)

    def _request_heartbeats_for_starts(self) -> None:
        cluster = self._leader.cluster
        for task in cluster.unacknowledged_tasks:
            if task.start_acknowledged is None and task.machine is not None:
                cluster.machines_to_command.add(task.machine)
