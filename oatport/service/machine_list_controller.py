"""Compares the cloud's list of machines with the leader's `ClusterState`."""

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
REQUESTS_PER_LIST = 4.0  # one in this many requests of the rate limit may be for the machine list
RETRY_INTERVAL = SECOND
UNLISTED_SILENCE_TIMEOUT = 2 * SECOND  # how long an unlisted machine must be silent before it is released
MAX_FAILED_PER_RELEASE = 100


class MachineListController:
    """Lists the cloud's machines periodically, and applies the list."""

    def __init__(self, leader: LeaderContext, cloud_controller: CloudController) -> None:
        self._leader = leader
        self._cloud_controller = cloud_controller
        self.listed_at = 0  # when the last list was requested (steady); 0 if there was none

    async def loop(self) -> None:
        """Lists machines until the leader stops."""
        interval_s = max(MIN_INTERVAL_S, REQUESTS_PER_LIST / self._leader.settings.cluster.cloud.rps)
        while not self._leader.stopped:
            requested_at = steady()
            try:
                rows = await self._cloud_controller.cloud.list_machines()
            except (NoResponseError, RequestRefusedError, wire.InvalidMessageError) as error:
                log.info('machine list request failed error="%s"', error)
                await asyncio.sleep(jitter(RETRY_INTERVAL))
                continue
            await self._apply(rows)
            self.listed_at = requested_at
            self._leader.wake()
            await asyncio.sleep(jitter(round(interval_s * SECOND)))

    async def _apply(self, rows: list[wire.ListedMachine]) -> None:
        now = steady()
        failed = self._merge_listed(rows, now, time_of_day())
        unlisted = self._unlisted_machines({row.machine_name for row in rows}, now)
        if unlisted:
            await self._cloud_controller.release(unlisted, "taken")
        if failed:
            with contextlib.suppress(NoResponseError, RequestRefusedError):
                await self._cloud_controller.cloud.release(failed[:MAX_FAILED_PER_RELEASE])

    def _merge_listed(self, rows: list[wire.ListedMachine], now: int, now_wall: int) -> list[str]:
        """Adds listed machines to the cluster state and removes failed ones; returns the names of the failed ones."""
        cluster = self._leader.cluster
        failed = []
        for row in rows:
            if row.status == wire.MachineStatus.FAILED:
                failed_machine = cluster.machines.get(row.machine_name)
                if failed_machine is not None:
                    cluster.on_machine_removed(failed_machine, now, "failed")
                failed.append(row.machine_name)
                continue
            age_us = round(row.age_s * SECOND)
            machine = cluster.add_machine(
                row.machine_name, row.machine_type, row.zone, row.spot, row.address, now, now_wall, age_us
            )
            if machine is not None:
                machine.listed_by_cloud = True
        return failed

    def _unlisted_machines(self, listed: set[str], now: int) -> list[Machine]:
        """Returns silent machines that are no longer listed.

        A machine stays listed until it is gone, but the list may be outdated. So a machine is removed only if it was
        listed before and is silent, and only by a release, which proves it gone.
        """
        return [
            machine
            for machine in self._leader.cluster.machines.values()
            if machine.listed_by_cloud
            and machine.name not in listed
            and now - max(machine.last_heartbeat_at, machine.first_known_at) > UNLISTED_SILENCE_TIMEOUT
            and not machine.releasing
        ]
