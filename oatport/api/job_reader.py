"""Reads records of jobs that are not in a node's cache, many with one request.

After all nodes ended, each asked for itself: with thousands of unfinished jobs most polls were sent away, by chance the
same ones again and again. Now the one that has waited longest is read next, and all near it with it; who had to leave
meanwhile finds it read on coming back.
"""

from __future__ import annotations

import asyncio
import bisect
from collections.abc import Callable

from oatport import wire
from oatport.api.concurrency_limit import OverloadedError
from oatport.api.job_status import JobSnapshot
from oatport.clients.http import NoResponseError, RequestRefusedError
from oatport.clients.state import StateClient
from oatport.control.storage.keys import JOBS_PREFIX
from oatport.times import MS, seconds

MAX_WAIT = 800 * MS  # for one answer
MAX_READERS = 3  # requests at a time
MAX_WANTED_JOBS = 20_000
MAX_WAITING = 100  # for one job
MAX_NAMES = 2_000  # looked up by one reader at a time

JobFuture = asyncio.Future[JobSnapshot | None]


def retrieve_exception(future: asyncio.Future[JobSnapshot | None] | asyncio.Future[None]) -> None:
    """A done callback: asyncio logs no exception of a future that nobody waits for any more."""
    if not future.cancelled():
        future.exception()


class JobReader:
    """Answers all that ask about a job with one read.

    `mark` is called before each read, and `learn` with what it showed and that mark.
    """

    def __init__(
        self, state: StateClient, mark: Callable[[], int], learn: Callable[[str, wire.StoredValue, int], JobSnapshot]
    ) -> None:
        self._state = state
        self._mark = mark
        self._learn = learn
        # Jobs to be read, the longest wanted first, and who waits for them.
        self._wanted: dict[str, list[JobFuture]] = {}
        self._under_way: set[str] = set()  # those of them that are being read
        self._readers: set[asyncio.Task[None]] = set()

    async def read(self, job_id: str) -> JobSnapshot | None:
        """A job, None if there is none. Raises NoResponseError, RequestRefusedError or OverloadedError."""
        waiting = self._wanted.get(job_id, [])
        if len(self._wanted) >= MAX_WANTED_JOBS or len(waiting) >= MAX_WAITING:
            raise OverloadedError("too many jobs are to be read")
        future: JobFuture = asyncio.get_running_loop().create_future()
        future.add_done_callback(retrieve_exception)
        self._wanted.setdefault(job_id, waiting).append(future)
        if len(self._readers) < MAX_READERS:
            task = asyncio.get_running_loop().create_task(self._read_wanted())
            self._readers.add(task)
            task.add_done_callback(self._readers.discard)
        try:
            async with asyncio.timeout(seconds(MAX_WAIT)):
                return await asyncio.shield(future)
        except TimeoutError as error:
            raise OverloadedError("the job was not read in time") from error

    async def _read_wanted(self) -> None:
        """One reader: until there is no job to be read."""
        while names := self._next_names():
            self._under_way.update(names)
            # Who comes from here on is answered by the next read: this one may be older than what they received before.
            waiting = {job_id: len(self._wanted[job_id]) for job_id in names}
            mark = self._mark()
            try:
                found, looked_up = await self._state.get_many(JOBS_PREFIX, names)
            except Exception as error:
                # All that wait get the error at once: who comes back finds the state service there, or not.
                for job_id in names:
                    for future in self._take_waiting(job_id, waiting[job_id]):
                        future.set_exception(error)
                if isinstance(error, NoResponseError | RequestRefusedError):
                    return
                raise
            finally:
                self._under_way.difference_update(names)
            for job_id in looked_up:
                stored = found.get(job_id)
                snapshot = None if stored is None else self._learn(job_id, stored, mark)
                for future in self._take_waiting(job_id, waiting[job_id]):
                    future.set_result(snapshot)

    def _next_names(self) -> list[str]:
        """The job that is wanted for longest, and those that follow it in the order of keys."""
        left = [job_id for job_id in self._wanted if job_id not in self._under_way]
        if not left:
            return []
        names = sorted(left)
        return names[bisect.bisect_left(names, left[0]) :][:MAX_NAMES]

    def _take_waiting(self, job_id: str, count: int) -> list[JobFuture]:
        """The first of those that wait for a job; they wait no more."""
        waiting = self._wanted.pop(job_id)
        if waiting[count:]:
            self._wanted[job_id] = waiting[count:]
        return waiting[:count]
