"""The planning loop: routes and places pending work."""

from __future__ import annotations

import asyncio
import contextlib

from oatport.control.placement.placer import Placer
from oatport.control.queueing.pending_job_router import PendingJobRouter
from oatport.control.scaling.cloud_availability import CloudAvailability
from oatport.service.leader_context import LeaderContext
from oatport.times import MS, seconds, steady, time_of_day

MAX_WAIT_S = 0.5  # a pass is made at least this often
PAUSED_INTERVAL_S = 0.1
MIN_REST = 30 * MS
REST_PER_PASS = 3  # times as long as a planning pass took, until the next


class PlanningLoop:
    """Places work whenever there is something to place."""

    def __init__(self, leader: LeaderContext, availability: CloudAvailability) -> None:
        self._leader = leader
        self._availability = availability
        self.placer = Placer(leader.cluster)
        self.wanted = asyncio.Event()

    async def loop(self) -> None:
        """Make planning passes, with rests between them."""
        leader = self._leader
        router = PendingJobRouter(leader.cluster, self._availability)
        while not leader.stopped:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_WAIT_S):
                    await self.wanted.wait()
            self.wanted.clear()
            now, wall = leader.now(), time_of_day()
            if leader.decisions_paused(now):
                # What is bound while the state service is away would only pile up, and what is
                # preempted for it would be lost.
                await asyncio.sleep(PAUSED_INTERVAL_S)
                continue
            router.step(now, wall)
            if self.placer.is_due(now):
                self.placer.plan(now)
                leader.wake()
            # However much there is to plan, reports and renewals get most of the processor.
            took = steady() - now
            await asyncio.sleep(seconds(max(MIN_REST, REST_PER_PASS * took)))
