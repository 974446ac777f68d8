"""Jobs as their records have them at the moment of asking, read for all who ask at once.

One read for each poll would take the whole budget of the state service with a few hundred unfinished jobs. So
those who wait share one question: what has changed under jobs/ since the last one? It is asked after they came,
so its answer is never older than what another node told before.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Any

from oatport import wire
from oatport.api.slots import Slots
from oatport.clients.state import StateClient
from oatport.control.records import JOBS
from oatport.times import MS, SECOND, seconds, steady

KNOWN_MOST = 20_000
WITHIN = 800 * MS
ROUNDS = 15  # gap between two refreshes: so many requests' worth of the state service's budget
# And no shorter than this: users wait 2 s for a poll's answer, while twenty refreshes a second at each node were two
# thirds of all requests on the state service, and a fifth of a calm day's cost.
GAP_LEAST = 250 * MS

Known = tuple[str, int, int]  # state, number of tasks, version


class JobView:
    def __init__(self, state: StateClient, slots: Slots, rps: float) -> None:
        self._state = state
        self._slots = slots
        self._gap = max(GAP_LEAST, round(ROUNDS * SECOND / rps))
        self._known: OrderedDict[str, Known] = OrderedDict()
        self._revision = 0  # all changes up to it are in
        self._forgets = 0  # how often something was forgotten
        self._asked_at = -SECOND
        self._next: asyncio.Future[None] | None = None  # the refresh that has not been asked yet
        self._running: asyncio.Task[None] | None = None

    async def find(self, ref: str) -> Known | None:
        """A job's state now; None if it has never been accepted. Raises NoAnswer, Refused or Busy."""
        known = self._known.get(ref)
        if not self._revision or (known is not None and known[0] not in wire.FINAL):
            await self._refresh()
            known = self._known.get(ref)
        if known is not None:
            return known
        mark = self.mark()
        async with self._slots.one():
            found = await self._state.get(JOBS + ref, timeout_us=WITHIN)
        if found is None:
            return None
        record, version = found
        return self.learn(ref, record, version, mark)

    def known(self, ref: str) -> Known | None:
        """What was last heard of it; only a final state is sure to hold still."""
        return self._known.get(ref)

    def created(self, ref: str, record: dict[str, Any], revision: int, mark: int) -> None:
        """This node's own commit made the job."""
        if not self._revision:
            self._forget(revision)
            mark = self._forgets
        self.learn(ref, record, revision, mark)

    def _forget(self, revision: int) -> None:
        """Follow the changes from here on; what is not final may have changed before."""
        for ref in [ref for ref, known in self._known.items() if known[0] not in wire.FINAL]:
            del self._known[ref]
        self._forgets += 1
        self._revision = revision

    def mark(self) -> int:
        """To be taken before a read or a commit whose result is to be learnt."""
        return self._forgets

    def learn(self, ref: str, record: dict[str, Any], version: int, mark: int) -> Known:
        """What a read or a commit of this node's showed; later changes follow from the refreshes.

        Not kept if something was forgotten since it was asked: a later change may have been among that, and
        no refresh would bring it again.
        """
        known = self._known.get(ref)
        if known is not None and known[2] > version:
            return known
        known = (str(record["state"]), int(record["job"]["legs"]), version)
        if mark == self._forgets:
            self._known[ref] = known
            if len(self._known) > KNOWN_MOST:
                self._known.popitem(last=False)
                self._forgets += 1
        return known

    async def _refresh(self) -> None:
        """Return once all changes up to now are in."""
        if self._next is None:
            self._next = asyncio.get_running_loop().create_future()
            self._next.add_done_callback(lambda done: done.cancelled() or done.exception())  # seen, if nobody waits
        waits = self._next
        if self._running is None or self._running.done():
            self._running = asyncio.get_running_loop().create_task(self._rounds())
        await asyncio.shield(waits)

    async def _rounds(self) -> None:
        while self._next is not None:
            pause = self._asked_at + self._gap - steady()
            if pause > 0:
                await asyncio.sleep(seconds(pause))
            asked, self._next = self._next, None
            self._asked_at = steady()
            try:
                await self._read_changes()
            except Exception as error:
                asked.set_exception(error)
            else:
                asked.set_result(None)

    async def _read_changes(self) -> None:
        if self._revision:
            found = await self._state.changes(JOBS, self._revision, 0, timeout_us=WITHIN)
            if found is not None:
                revision, news = found
                for item in news:
                    if "set" in item:
                        self.learn(item["set"][len(JOBS):], item["value"], int(item["entryRev"]), self._forgets)
                self._revision = max(self._revision, revision)
                return
        # The first time, or too long ago: what is known may be out of date, and is read again job by job.
        self._forget(await self._state.revision(JOBS, timeout_us=WITHIN))

