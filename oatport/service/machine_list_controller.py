"""Compares the cloud's list of machines with the leader's view."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from oatport import wire
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.control.state.machine import Machine
from oatport.service.leader_context import LeaderContext
from oatport.times import SECOND, steady, time_of_day

if TYPE_CHECKING:
    from oatport.service.cloud_controller import CloudController

log = logging.getLogger(__name__)

MIN_INTERVAL_S = 2.0
REQUESTS_PER_LIST = 4.0  # the share of the rate limit that lists may use is one in so many
RETRY_INTERVAL = SECOND
SILENT_FOR = 2 * SECOND  # before a machine that is not listed any more is released
FAILED_PER_RELEASE = 100


class MachineListController:
    """Lists the cloud's machines again and again."""

    def __init__(self, leader: LeaderContext, cloud_controller: CloudController) -> None:
        self._leader = leader
        self._cloud_controller = cloud_controller
        self.listed_at = 0  # when the last list was asked for (steady); 0: there was none

    async def loop(self) -> None:
        """List until the leader stops."""
        interval_s = max(MIN_INTERVAL_S, REQUESTS_PER_LIST / self._leader.settings.cluster.cloud.rps)
        while not self._leader.stopped:
            asked_at = steady()
            try:
                rows = await self._cloud_controller.cloud.list_machines()
            except (NoResponseError, RequestRefusedError, wire.InvalidMessageError) as error:
                log.info('machine list request failed error="%s"', error)
                await asyncio.sleep(jitter(RETRY_INTERVAL))
                continue
            await self._apply(rows)
            self.listed_at = asked_at
            self._leader.wake()
            await asyncio.sleep(jitter(round(interval_s * SECOND)))

    async def _apply(self, rows: list[wire.ListedMachine]) -> None:
        now = steady()
        failed = self._take_in(rows, now, time_of_day())
        lost = self._unlisted({row.machine_name for row in rows}, now)
        if lost:
            await self._cloud_controller.release(lost, "taken")
        if failed:
            with contextlib.suppress(NoResponseError, RequestRefusedError):
                await self._cloud_controller.cloud.release(failed[:FAILED_PER_RELEASE])

    def _take_in(self, rows: list[wire.ListedMachine], now: int, now_wall: int) -> list[str]:
        """Add listed machines to the view, and take failed ones off it; the names of the latter."""
        cluster = self._leader.cluster
        failed = []
        for row in rows:
            if row.status == wire.MachineStatus.FAILED:
                known = cluster.machines.get(row.machine_name)
                if known is not None:
                    cluster.on_machine_removed(known, now, "failed")
                failed.append(row.machine_name)
                continue
            age_us = round(row.age_s * SECOND)
            machine = cluster.add_machine(
                row.machine_name, row.machine_type, row.zone, row.spot, row.address, now, now_wall, age_us
            )
            if machine is not None:
                machine.listed_by_cloud = True
        return failed

    def _unlisted(self, listed: set[str], now: int) -> list[Machine]:
        """Machines that are not listed any more.

        Once listed, a machine stays listed until it is gone; the list may be old, though, so only a machine that was
        listed and is silent is taken off, by a release that proves it.
        """
        return [
            machine
            for machine in self._leader.cluster.machines.values()
            if machine.listed_by_cloud
            and machine.name not in listed
            and now - max(machine.last_heartbeat_at, machine.first_known_at) > SILENT_FOR
            and not machine.releasing
        ]
