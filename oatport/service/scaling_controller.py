"""The scaling controller: scale-out, scale-in and rebalancing, as the capacity planner decides."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from oatport.control.state.job import JobKind
from oatport.service.leader_context import LeaderContext
from oatport.service.machine_list_controller import MachineListController
from oatport.times import SECOND

if TYPE_CHECKING:
    from oatport.service.cloud_controller import CloudController

INTERVAL_S = 0.3
MAX_REQUESTS_IN_FLIGHT = 2
CATALOG_INTERVAL = 30 * SECOND
CATALOG_RETRY = SECOND  # while no types are known
REBALANCE_INTERVAL = SECOND
VIEW_COMPLETE_AFTER = 6 * SECOND  # of leading, whatever was not confirmed by then
UNCONFIRMED_MACHINES_FOR = 3 * SECOND


class ScalingController:
    """Rents and releases machines for a leader."""

    def __init__(
        self, leader: LeaderContext, cloud_controller: CloudController, machine_list: MachineListController
    ) -> None:
        self._leader = leader
        self._cloud_controller = cloud_controller
        self._machine_list = machine_list
        self._capacity_planner = cloud_controller.capacity_planner
        self._catalog_at = self._rebalanced_at = 0
        self._reopened = False  # cordoned machines were reopened in the last round

    async def loop(self) -> None:
        """Scale until the leader stops."""
        self._catalog_at = self._rebalanced_at = 0
        self._reopened = False
        while not self._leader.stopped:
            await asyncio.sleep(INTERVAL_S)
            await self._step(self._leader.now())

    async def _step(self, now: int) -> None:
        leader = self._leader
        if now - self._catalog_at > (CATALOG_INTERVAL if leader.cluster.catalog.types else CATALOG_RETRY):
            self._catalog_at = now
            leader.background.spawn("catalog", self._cloud_controller.refresh_catalog())
        if self._view_is_complete(now) and not leader.decisions_paused(now):
            self._scale_out(now)
        idle = self._capacity_planner.scale_in.machines_to_release(now)
        if idle and self._view_is_complete(now) and leader.holds_lease():
            await self._cloud_controller.release(idle, "returned")

    def _scale_out(self, now: int) -> None:
        cluster = self._leader.cluster
        cluster.refresh_usable_machines(now)
        is_due = self._capacity_planner.scale_out.is_due(now)
        if is_due:
            # What waits is placed on reopened machines first: more than what they take was once rented.
            self._reopened = self._capacity_planner.scale_in.update_cordons() and not self._reopened
            cluster.planning_needed = cluster.planning_needed or self._reopened
        if now - self._rebalanced_at > REBALANCE_INTERVAL:
            self._rebalance(now)
        # Few at a time: a queue of requests that the cloud will refuse holds up those it would
        # fill, and by the time they get there nobody wants them.
        requests = self._capacity_planner.scale_out.plan(now) if is_due and not self._reopened else []
        in_flight = self._capacity_planner.availability.requests_in_flight
        for request in requests[: max(0, MAX_REQUESTS_IN_FLIGHT - len(in_flight))]:
            in_flight.append(request)
            self._leader.background.spawn("rent", self._cloud_controller.rent(request))

    def _rebalance(self, now: int) -> None:
        cluster = self._leader.cluster
        replicas = sum(job.placed_task_count for job in cluster.jobs.values() if job.kind is JobKind.SERVICE)
        cluster.accounting.replica_bound_us += replicas * (now - self._rebalanced_at) if self._rebalanced_at else 0
        self._rebalanced_at = now
        for task in self._capacity_planner.rebalancer.replicas_to_move(now):
            cluster.tasks.stop(task, 0.0)
        self._leader.wake()

    def _view_is_complete(self, now: int) -> bool:
        """Enough is known to rent and release by: machines were confirmed, the list was seen."""
        leader = self._leader
        if now - leader.led_since > VIEW_COMPLETE_AFTER:
            return True
        if not self._machine_list.listed_at:
            return False
        unconfirmed = any(
            m.was_ready and not m.has_reported_under(leader.token) for m in leader.cluster.machines.values()
        )
        return not unconfirmed or now - leader.led_since > UNCONFIRMED_MACHINES_FOR
