"""Jobs as their records have them at the moment of asking, read for all who ask at once.

One read for each poll would take the whole budget of the state service with a few hundred unfinished jobs. So
those who wait share one question: what has changed under jobs/ since the last one? It is asked after they came,
so its answer is never older than what another node told before.
"""

from __future__ import annotations

import asyncio
import bisect
from collections import OrderedDict
from typing import Any, NamedTuple

from oatport import wire
from oatport.api.concurrency_limit import ConcurrencyLimit, OverloadedError
from oatport.clients.http import NoResponseError, RequestRefusedError
from oatport.clients.state import StateClient
from oatport.control.storage.keys import JOBS, overflow_key
from oatport.control.storage.overflow_records import with_overflow
from oatport.times import MS, SECOND, seconds, steady

KNOWN_MOST = 20_000
WITHIN = 800 * MS
ROUNDS = 15  # gap between two refreshes: so many requests' worth of the state service's budget
# And no shorter than this: users wait 2 s for a poll's answer, while twenty refreshes a second at each node were two
# thirds of all requests on the state service, and a fifth of a calm day's cost.
GAP_LEAST = 250 * MS

READERS = 3  # at a time
WAITING_MOST = 100  # for one job
NAMES_MOST = 2_000  # looked for by one of them


class Known(NamedTuple):
    """What a record says of a job. `needs`: jobs that it names, without those known to be done."""

    state: str
    tasks: int
    version: int
    needs: tuple[str, ...] = ()
    more: int = 0  # so many records hold its long lists, which have not been read
    service: bool = False


class JobStatusCache:
    def __init__(self, state: StateClient, slots: ConcurrencyLimit, rps: float) -> None:
        self._state = state
        self._slots = slots
        self._gap = max(GAP_LEAST, round(ROUNDS * SECOND / rps))
        self._known: OrderedDict[str, Known] = OrderedDict()
        self._revision = 0  # all changes up to it are in
        self._forgets = 0  # how often something was forgotten
        self._asked_at = -SECOND
        self._next: asyncio.Future[None] | None = None  # the refresh that has not been asked yet
        self._running: asyncio.Task[None] | None = None
        # Jobs to be read, the longest wanted first, and who waits for them.
        self._wanted: dict[str, list[asyncio.Future[Known | None]]] = {}
        self._under_way: set[str] = set()  # those of them that are being read
        self._readers: set[asyncio.Task[None]] = set()

    async def find(self, ref: str) -> Known | None:
        """A job's state now; None if it has never been accepted. Raises NoAnswer, Refused or Busy."""
        known = self._known.get(ref)
        fresh = not self._revision or (known is not None and known.state not in wire.PUBLIC_TERMINAL_STATUSES)
        if fresh:
            await self._refresh()
            known = self._known.get(ref)
        if known is None:
            known = await self._read(ref)
            if known is None:
                return None
            fresh = False
        if known.state in wire.PUBLIC_TERMINAL_STATUSES or not (known.needs or known.more):
            return known
        return await self._with_needed(ref, known, fresh)

    async def _read(self, ref: str) -> Known | None:
        """A job that this node knows nothing of, together with all that is asked about at the moment.

        After all nodes ended, each asked for itself: with thousands of unfinished jobs most polls were sent away, by
        chance the same ones again and again. Now the one that has waited longest is read next, and all near it with it;
        who had to leave meanwhile finds it read on coming back. Raises NoAnswer, Refused or Busy.
        """
        waiting = self._wanted.get(ref, [])
        if len(self._wanted) >= KNOWN_MOST or len(waiting) >= WAITING_MOST:
            raise OverloadedError
        future: asyncio.Future[Known | None] = asyncio.get_running_loop().create_future()
        future.add_done_callback(lambda done: done.cancelled() or done.exception())  # seen, if nobody waits
        self._wanted.setdefault(ref, waiting).append(future)
        if len(self._readers) < READERS:
            task = asyncio.get_running_loop().create_task(self._read_wanted())
            self._readers.add(task)
            task.add_done_callback(self._readers.discard)
        try:
            async with asyncio.timeout(seconds(WITHIN)):
                return await asyncio.shield(future)
        except TimeoutError:
            raise OverloadedError from None

    async def _read_wanted(self) -> None:
        while True:
            left = [ref for ref in self._wanted if ref not in self._under_way]
            if not left:
                return
            names = sorted(left)
            names = names[bisect.bisect_left(names, left[0]) :][:NAMES_MOST]
            self._under_way.update(names)
            # Who comes from here on is answered by the next read: this one may be older than what they were told.
            came = {ref: len(self._wanted[ref]) for ref in names}
            mark = self.mark()
            try:
                rows, asked = await self._state.get_many(JOBS, names)
            except Exception as error:
                # All that wait are told at once: who comes back finds the state service there, or not.
                for ref in names:
                    for future in self._waited(ref, came[ref]):
                        future.set_exception(error)
                if isinstance(error, NoResponseError | RequestRefusedError):
                    return
                raise
            finally:
                self._under_way.difference_update(names)
            for ref in asked:
                row = rows.get(ref)
                known = None if row is None else self.learn(ref, *row, mark)
                for future in self._waited(ref, came[ref]):
                    future.set_result(known)

    def _waited(self, ref: str, count: int) -> list[asyncio.Future[Known | None]]:
        """The first of those that wait for a job; they wait no more."""
        waiting = self._wanted.pop(ref)
        if waiting[count:]:
            self._wanted[ref] = waiting[count:]
        return waiting[:count]

    async def _with_needed(self, ref: str, known: Known, fresh: bool) -> Known:
        """Cancelled, if a job that it needs is, directly or through others.

        That follows from their records, and holds as long as theirs: so whoever is asked after any node has told it
        tells the same, however long it takes the leader to record it. `fresh`: changes up to now are in.
        """
        if not fresh:
            await self._refresh()
            known = self._known.get(ref, known)
        seen = {ref}
        left = [ref]
        mark = self.mark()
        found = {ref: known}  # of this question, should the memory be full
        while left:
            here = left.pop()
            row = await self._list_read(here, found[here])
            await self._learn_all([need for need in row.needs if need not in seen], found, mark)
            for need in row.needs:
                other = found.get(need)
                if other is not None and other.state == wire.JobStatus.CANCELLED:
                    return self._cut(ref, known)
                if (
                    other is not None
                    and need not in seen
                    and other.state != wire.JobStatus.COMPLETED
                    and (other.needs or other.more)
                ):
                    left.append(need)
                seen.add(need)
            self._settle(here, [n for n in row.needs if n not in found or found[n].state != wire.JobStatus.COMPLETED])
        return self._known.get(ref, known)

    def _cut(self, ref: str, known: Known) -> Known:
        cut = known._replace(state=wire.JobStatus.CANCELLED, needs=(), more=0)
        if ref in self._known:
            self._known[ref] = cut
        return cut

    def _settle(self, ref: str, left: list[str]) -> None:
        """Of the jobs that it names only these are not done: the others need not be looked at again."""
        known = self._known.get(ref)
        if (
            known is not None
            and known.state not in wire.PUBLIC_TERMINAL_STATUSES
            and not known.more
            and len(left) < len(known.needs)
        ):
            self._known[ref] = known._replace(needs=tuple(left))

    async def _list_read(self, ref: str, known: Known) -> Known:
        """With the list of the jobs that it names, if that lies in records of its own."""
        if not known.more:
            return known
        parts = []
        for number in range(known.more):
            async with self._slots.one():
                found = await self._state.get(overflow_key(ref, number), timeout_us=WITHIN)
            if found is None:
                raise NoResponseError("a part of a list is missing")
            parts.append(found[0])
        needs = with_overflow({"job": {}}, parts)["job"].get(wire.DEPENDENCIES_FIELD, ())
        known = known._replace(needs=tuple(needs), more=0)
        if ref in self._known:
            self._known[ref] = known
        return known

    async def _learn_all(self, refs: list[str], found: dict[str, Known], mark: int) -> None:
        """What is known of jobs into `found`; what is not is read, some together. Those never accepted are left out."""
        missing = []
        for ref in refs:
            known = self._known.get(ref)
            if known is not None:
                found[ref] = known
            else:
                missing.append(ref)
        missing.sort()
        while missing:
            async with self._slots.one():
                rows, asked = await self._state.get_many(JOBS, missing)
            for ref, (record, version) in rows.items():
                found[ref] = self.learn(ref, record, version, mark)
            missing = missing[len(asked) :]

    async def named(self, refs: list[str]) -> tuple[str | None, str | None]:
        """Of jobs named in a submission, one that was never accepted, and a service; read no earlier than now.

        Jobs are never removed: one that is known was accepted. Raises NoAnswer, Refused or Busy; what was read by
        then is kept, so that a repeated submission gets on.
        """
        found: dict[str, Known] = {}
        await self._learn_all(refs, found, self.mark())
        return (
            next((ref for ref in refs if ref not in found), None),
            next((ref for ref in refs if ref in found and found[ref].service), None),
        )

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
        for ref in [ref for ref, known in self._known.items() if known.state not in wire.PUBLIC_TERMINAL_STATUSES]:
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
        if known is not None and (
            known.version > version
            or (known.version == version and (known.state in wire.PUBLIC_TERMINAL_STATUSES or len(known.needs) > 0))
        ):
            return known  # what was found out about the jobs that it names holds
        job = record["job"]
        state = str(record["state"])
        needs = (
            () if state in wire.PUBLIC_TERMINAL_STATUSES else tuple(map(str, job.get(wire.DEPENDENCIES_FIELD) or ()))
        )
        more = int(record["more"][0]) if "more" in record and state not in wire.PUBLIC_TERMINAL_STATUSES else 0
        known = Known(
            state, int(job[wire.TASK_COUNT_FIELD]), version, needs, more, job.get(wire.KIND_FIELD) == wire.SERVICE_KIND
        )
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
            found = await self._state.watch(JOBS, self._revision, 0, timeout_us=WITHIN)
            if found is not None:
                for change in found.changes:
                    if not change.deleted:
                        self.learn(change.key[len(JOBS) :], change.value, change.revision, self._forgets)
                self._revision = max(self._revision, found.revision)
                return
        # The first time, or too long ago: what is known may be out of date, and is read again job by job.
        self._forget(await self._state.current_revision(JOBS, timeout_us=WITHIN))
