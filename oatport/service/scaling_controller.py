"""The scaling controller: carries out the capacity planner's scale-out, scale-in and rebalancing decisions."""

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
CATALOG_RETRY_INTERVAL = SECOND  # while no types are known
REBALANCE_INTERVAL = SECOND
VIEW_COMPLETE_AFTER = 6 * SECOND  # after the start of leadership, whatever has not been confirmed by then
CONFIRMATION_TIMEOUT = 3 * SECOND  # after the start of leadership, to wait for unconfirmed machines


class ScalingController:
    """Rents and releases machines for a leader."""

    def __init__(
        self, leader: LeaderContext, cloud_controller: CloudController, machine_list: MachineListController
    ) -> None:
        self._leader = leader
        self._cloud_controller = cloud_controller
        self._machine_list = machine_list
        self._capacity_planner = cloud_controller.capacity_planner
        self._catalog_refreshed_at = self._rebalanced_at = 0
        self._has_uncordoned = False  # whether the last round uncordoned machines

    async def loop(self) -> None:
        """Scales until the leader stops."""
        self._catalog_refreshed_at = self._rebalanced_at = 0
        self._has_uncordoned = False
        while not self._leader.stopped:
            await asyncio.sleep(INTERVAL_S)
            await self._step(self._leader.now())

    async def _step(self, now: int) -> None:
        leader = self._leader
        if now - self._catalog_refreshed_at > (
            CATALOG_INTERVAL if leader.cluster.catalog.types else CATALOG_RETRY_INTERVAL
        ):
            self._catalog_refreshed_at = now
            leader.background.spawn("catalog", self._cloud_controller.refresh_catalog())
        if self._is_view_complete(now) and not leader.are_decisions_paused(now):
            self._scale_out(now)
        idle = self._capacity_planner.scale_in.machines_to_release(now)
        if idle and self._is_view_complete(now) and leader.holds_lease():
            await self._cloud_controller.release(idle, "returned")

    def _scale_out(self, now: int) -> None:
        cluster = self._leader.cluster
        cluster.refresh_usable_machines(now)
        is_due = self._capacity_planner.scale_out.is_due(now)
        if is_due:
            # Pending tasks are placed on uncordoned machines first; otherwise too many machines were rented.
            self._has_uncordoned = self._capacity_planner.scale_in.update_cordons() and not self._has_uncordoned
            cluster.planning_needed = cluster.planning_needed or self._has_uncordoned
        if now - self._rebalanced_at > REBALANCE_INTERVAL:
            self._rebalance(now)
        # Few requests are in flight at a time: a queue of requests that the cloud refuses would delay those that it
        # grants until their machines are no longer needed.
        requests = self._capacity_planner.scale_out.plan(now) if is_due and not self._has_uncordoned else []
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

    def _is_view_complete(self, now: int) -> bool:
        """Returns whether the view suffices to rent and release: the list was read and machines are confirmed."""
        leader = self._leader
        if now - leader.led_since > VIEW_COMPLETE_AFTER:
            return True
        if not self._machine_list.listed_at:
            return False
        unconfirmed = any(
            m.was_ready and not m.has_reported_under(leader.token) for m in leader.cluster.machines.values()
        )
        return not unconfirmed or now - leader.led_since > CONFIRMATION_TIMEOUT
