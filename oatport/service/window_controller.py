"""The window controller: reads spot prices and defers starts for a leader."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from oatport.control.state.job import Job
from oatport.service.leader_context import LeaderContext
from oatport.service.network import Network
from oatport.sizes import json_size
from oatport.times import SECOND, micros, steady, time_of_day
from oatport.windows.client import FeedClient
from oatport.windows.holding import DayClock, DeferralManager
from oatport.windows.prices import PriceBook
from oatport.windows.settings import WindowSettings

log = logging.getLogger(__name__)

WINDOWS_KEY = "windows"
WRITE_INTERVAL = 60 * SECOND
INTERVAL_S = 1.0


class WindowController:
    """Reads the price feed, and defers and releases starts as the window planner decides."""

    def __init__(self, leader: LeaderContext, net: Network, settings: WindowSettings) -> None:
        self._leader = leader
        self._session = net.session
        self.settings = settings
        self.book = PriceBook(micros(settings.fresh_s), micros(settings.dead_s))
        self._clock = DayClock(time_of_day(), steady())
        self.deferrals = DeferralManager(leader.cluster, settings, self.book, self.wall())
        self._written: tuple[int, int] = (0, 0)  # the last written version of the book, and when (steady)

    def wall(self) -> int:
        """Returns the time of day that the windows use."""
        return self._clock.at(time_of_day(), steady())

    async def fail_over(self) -> None:
        """Loads the recorded price series and learnt margins, then adds all recorded jobs.

        Raises NoResponseError or RequestRefusedError.
        """
        found = await self._leader.state.get(WINDOWS_KEY)
        if found is not None:
            self._leader.cluster.writes.versions[WINDOWS_KEY] = found[1]
            if isinstance(found[0], dict):
                self.book.load(found[0].get("book"), self.wall())
                self.deferrals.load_record(found[0])
        self._leader.cluster.writes.singleton_records[WINDOWS_KEY] = self.record
        now = self.wall()
        for job in sorted(self._leader.cluster.jobs.values(), key=lambda job: (job.submitted_at, job.job_id)):
            self.deferrals.on_job_added(job, now)

    def record(self) -> dict[str, Any]:
        """Returns the record to store, which fits into one value: the learnt margins and the price series."""
        max_bytes = self._leader.cluster.writes.layout.max_value_bytes
        value = self.deferrals.record(max_bytes // 2)
        envelope_bytes = json_size({"book": None})
        return {"book": self.book.record(self.wall(), max_bytes - json_size(value) - envelope_bytes), **value}

    def start(self) -> None:
        """Starts the window loop and, if a price feed is configured, its client."""
        self._leader.background.supervise("windows", self._loop)
        if self.settings.feed:
            client = FeedClient(
                self._session,
                self.settings.feed,
                self.settings.zone,
                self.book,
                self.settings.poll_s,
                self.settings.timeout_s,
                self._leader.wake,
            )
            self._leader.background.supervise("price feed", client.loop)

    def on_job_admitted(self, job: Job) -> None:
        """Adds a newly pending job, whose start may be deferred."""
        self.deferrals.on_job_added(job, self.wall())

    async def _loop(self) -> None:
        while not self._leader.stopped:
            await asyncio.sleep(INTERVAL_S)
            self.step()

    def step(self) -> None:
        """Defers and releases starts.

        Both are always safe under the scheduling rules: a release only makes a job eligible, and starts no task.
        """
        released_tasks = self.deferrals.tick(self.wall())
        if released_tasks:
            plans = self.deferrals.planner.plans
            log.info("released deferred starts tasks=%d jobs_deferred=%d", released_tasks, len(plans))
        now = steady()
        if self.book.version != self._written[0] or now - self._written[1] > WRITE_INTERVAL:
            if self.book.read_at or self.deferrals.margins:
                self._leader.cluster.writes.dirty_keys[WINDOWS_KEY] = None
            self._written = self.book.version, now
        self._leader.wake()

    def explain(self, job_id: str) -> dict[str, Any]:
        """Returns an explanation for operators of why a job is waiting."""
        return self.deferrals.explain(job_id, self.wall())
