"""The window controller: spot prices and deferred starts of a leader."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from oatport.control.state.job import Job
from oatport.service.leader_context import LeaderContext
from oatport.service.network import Network
from oatport.times import SECOND, micros, steady, time_of_day
from oatport.windows.client import FeedClient
from oatport.windows.holding import DayClock, Holder
from oatport.windows.prices import Book
from oatport.windows.settings import WindowSettings

log = logging.getLogger(__name__)

WINDOWS_KEY = "windows"
WRITE_INTERVAL = 60 * SECOND
INTERVAL_S = 1.0


class WindowController:
    """Reads the price feed, and defers and releases starts as the windows' planner decides."""

    def __init__(self, leader: LeaderContext, net: Network, settings: WindowSettings) -> None:
        self._leader = leader
        self._session = net.session
        self.settings = settings
        self.book = Book(micros(settings.fresh_s), micros(settings.dead_s))
        self._clock = DayClock(time_of_day(), steady())
        self.holder = Holder(leader.cluster, settings, self.book, self.wall())
        self._written: tuple[int, int] = (0, 0)  # the book's version, and when

    def wall(self) -> int:
        """The time of day as the windows count it."""
        return self._clock.at(time_of_day(), steady())

    async def fail_over(self) -> None:
        """The last good series and what was learnt; then all jobs as recorded.

        Raises NoResponseError or RequestRefusedError.
        """
        found = await self._leader.state.get(WINDOWS_KEY)
        if found is not None:
            self._leader.cluster.writes.versions[WINDOWS_KEY] = found[1]
            if isinstance(found[0], dict):
                self.book.load(found[0].get("book"), self.wall())
                self.holder.set_up(found[0])
        self._leader.cluster.writes.singleton_records[WINDOWS_KEY] = self.record
        now = self.wall()
        for job in sorted(self._leader.cluster.jobs.values(), key=lambda job: (job.submitted_at, job.job_id)):
            self.holder.joined(job, now)

    def record(self) -> dict[str, Any]:
        """What is stored: the price series and what was learnt."""
        return {"book": self.book.record(self.wall()), **self.holder.record()}

    def start(self) -> None:
        """Start the loops."""
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
        """A job joined the pending ones: its start may be deferred."""
        self.holder.joined(job, self.wall())

    async def _loop(self) -> None:
        while not self._leader.stopped:
            await asyncio.sleep(INTERVAL_S)
            self.step()

    def step(self) -> None:
        """Deferring is always safe for the rules, and so is a release: a job is only eligible, nothing starts by it."""
        released_tasks = self.holder.tick(self.wall())
        if released_tasks:
            plans = self.holder.planner.plans
            log.info("released deferred starts tasks=%d jobs_deferred=%d", released_tasks, len(plans))
        now = steady()
        if self.book.version != self._written[0] or now - self._written[1] > WRITE_INTERVAL:
            if self.book.read_at or self.holder.margins:
                self._leader.cluster.writes.dirty_keys[WINDOWS_KEY] = None
            self._written = self.book.version, now
        self._leader.wake()

    def explain(self, job_id: str) -> dict[str, Any]:
        """Why a job waits, for operators."""
        return self.holder.explain(job_id, self.wall())
