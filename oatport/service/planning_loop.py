"""The planning loop: routes and places pending tasks."""

from __future__ import annotations

import asyncio
import contextlib

from oatport.control.placement.placer import Placer
from oatport.control.queueing.pending_job_router import PendingJobRouter
from oatport.control.scaling.cloud_availability import CloudAvailability
from oatport.service.leader_context import LeaderContext
from oatport.times import MS, seconds, steady, time_of_day

MAX_WAIT_S = 0.5  # the maximum wait for `wakeup` before a pass
PAUSED_INTERVAL_S = 0.1
MIN_DELAY = 30 * MS
DELAY_FACTOR = 3  # the delay after a planning pass, as a multiple of the duration of the pass


class PlanningLoop:
    """Places pending tasks for a leader."""

    def __init__(self, leader: LeaderContext, availability: CloudAvailability) -> None:
        self._leader = leader
        self._availability = availability
        self.placer = Placer(leader.cluster)
        self.wakeup = asyncio.Event()

    async def loop(self) -> None:
        """Runs planning passes, with delays between them, until the leader stops."""
        leader = self._leader
        router = PendingJobRouter(leader.cluster, self._availability)
        while not leader.stopped:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_WAIT_S):
                    await self.wakeup.wait()
            self.wakeup.clear()
            now, now_wall = leader.now(), time_of_day()
            if leader.are_decisions_paused(now):
                # While the state service is unavailable, bindings would only pile up unwritten, and the work of tasks
                # that are preempted for them would be lost.
                await asyncio.sleep(PAUSED_INTERVAL_S)
                continue
            router.step(now, now_wall)
            if self.placer.is_due(now):
                self.placer.plan(now)
                leader.wake()
            # The delay leaves most of the CPU to heartbeats and lease renewals, however much there is to plan.
            pass_duration = steady() - now
            await asyncio.sleep(seconds(max(MIN_DELAY, DELAY_FACTOR * pass_duration)))
