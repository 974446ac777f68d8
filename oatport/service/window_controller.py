"""The windows' lifecycle in a leader: prices asked for and kept, held jobs let go in time."""

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

KEY = "windows"
WRITTEN_EVERY = 60 * SECOND


class WindowController:
    def __init__(self, helm: LeaderContext, net: Network, settings: WindowSettings) -> None:
        self._helm = helm
        self._session = net.session
        self.settings = settings
        self.book = Book(micros(settings.fresh_s), micros(settings.dead_s))
        self._clock = DayClock(time_of_day(), steady())
        self.holder = Holder(helm.cluster, settings, self.book, self.wall())
        self._written: tuple[int, int] = (0, 0)  # the book's version, and when

    def wall(self) -> int:
        return self._clock.at(time_of_day(), steady())

    async def fail_over(self) -> None:
        """The last good series and what was learnt; then all jobs as recorded. Raises NoAnswer or Refused."""
        found = await self._helm.state.get(KEY)
        if found is not None:
            self._helm.cluster.writes.versions[KEY] = found[1]
            if isinstance(found[0], dict):
                self.book.load(found[0].get("book"), self.wall())
                self.holder.set_up(found[0])
        self._helm.cluster.writes.singleton_records[KEY] = self.record
        now = self.wall()
        for job in sorted(self._helm.cluster.jobs.values(), key=lambda job: (job.submitted_at, job.job_id)):
            self.holder.joined(job, now)

    def record(self) -> dict[str, Any]:
        return {"book": self.book.record(self.wall()), **self.holder.record()}

    def start(self) -> None:
        self._helm.background.keep("windows", self._loop)
        if self.settings.feed:
            client = FeedClient(
                self._session,
                self.settings.feed,
                self.settings.zone,
                self.book,
                self.settings.poll_s,
                self.settings.timeout_s,
                self._helm.wake,
            )
            self._helm.background.keep("price feed", client.loop)

    def joined(self, job: Job) -> None:
        self.holder.joined(job, self.wall())

    async def _loop(self) -> None:
        while not self._helm.stopped:
            await asyncio.sleep(1.0)
            self.step()

    def step(self) -> None:
        """Holding on is always safe for the rules, and letting go too: a job is only eligible, nothing starts by it."""
        let_go = self.holder.tick(self.wall())
        if let_go:
            log.info("windows: %d tasks let go, %d jobs held", let_go, len(self.holder.planner.plans))
        now = steady()
        if self.book.version != self._written[0] or now - self._written[1] > WRITTEN_EVERY:
            if self.book.read_at or self.holder.margins:
                self._helm.cluster.writes.dirty_keys[KEY] = None
            self._written = self.book.version, now
        self._helm.wake()

    def explain(self, ref: str) -> dict[str, Any]:
        return self.holder.explain(ref, self.wall())
