"""Reads records of jobs that are not in a node's cache, many with one request.

After a restart of all nodes the cache is empty. When each poll then read its own record, most polls of thousands of
unfinished jobs were rejected, by chance the same ones repeatedly. The job that has waited longest is therefore read
first, together with the jobs next to it in key order; a job stays queued after its poll timed out, so that a retry
finds it in the cache.
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

MAX_WAIT = 800 * MS  # for one call of `JobReader.read`
MAX_CONCURRENT_READS = 3
MAX_UNREAD_JOBS = 20_000
MAX_WAITERS_PER_JOB = 100
MAX_JOBS_PER_READ = 2_000

JobFuture = asyncio.Future[JobSnapshot | None]


def retrieve_exception(future: asyncio.Future[JobSnapshot | None] | asyncio.Future[None]) -> None:
    """Marks the exception of a done future as retrieved, so that asyncio doesn't log it if no caller awaits it."""
    if not future.cancelled():
        future.exception()


class JobReader:
    """Reads jobs in batches and shares each read among all callers that wait for the job.

    `eviction_count` is called before each read, and `update_job` after it with each record found and that count.
    """

    def __init__(
        self,
        state: StateClient,
        eviction_count: Callable[[], int],
        update_job: Callable[[str, wire.StoredValue, int], JobSnapshot],
    ) -> None:
        self._state = state
        self._eviction_count = eviction_count
        self._update_job = update_job
        # Futures of the callers by job, the job that has waited longest first.
        self._waiters: dict[str, list[JobFuture]] = {}
        self._in_progress: set[str] = set()  # jobs that a reader is reading now
        self._readers: set[asyncio.Task[None]] = set()

    async def read(self, job_id: str) -> JobSnapshot | None:
        """Returns a job, or None if it doesn't exist.

        Raises NoResponseError, RequestRefusedError or OverloadedError.
        """
        waiters = self._waiters.get(job_id, [])
        if len(self._waiters) >= MAX_UNREAD_JOBS or len(waiters) >= MAX_WAITERS_PER_JOB:
            raise OverloadedError("too many pending job reads")
        future: JobFuture = asyncio.get_running_loop().create_future()
        future.add_done_callback(retrieve_exception)
        self._waiters.setdefault(job_id, waiters).append(future)
        if len(self._readers) < MAX_CONCURRENT_READS:
            task = asyncio.get_running_loop().create_task(self._read_loop())
            self._readers.add(task)
            task.add_done_callback(self._readers.discard)
        try:
            async with asyncio.timeout(seconds(MAX_WAIT)):
                return await asyncio.shield(future)
        except TimeoutError as error:
            raise OverloadedError(f"job {job_id} was not read in time") from error

    async def _read_loop(self) -> None:
        """Reads batches until no job is left to read."""
        while job_ids := self._next_batch():
            self._in_progress.update(job_ids)
            # Callers that arrive from here on wait for the next read: the result of this one may be older than a state
            # that they have already received.
            waiter_counts = {job_id: len(self._waiters[job_id]) for job_id in job_ids}
            eviction_count = self._eviction_count()
            try:
                found, looked_up = await self._state.get_many(JOBS_PREFIX, job_ids)
            except Exception as error:
                # All callers of the batch get the error at once instead of waiting; a retry starts a new read.
                for job_id in job_ids:
                    for future in self._pop_waiters(job_id, waiter_counts[job_id]):
                        future.set_exception(error)
                if isinstance(error, NoResponseError | RequestRefusedError):
                    return
                raise
            finally:
                self._in_progress.difference_update(job_ids)
            for job_id in looked_up:
                stored = found.get(job_id)
                snapshot = None if stored is None else self._update_job(job_id, stored, eviction_count)
                for future in self._pop_waiters(job_id, waiter_counts[job_id]):
                    future.set_result(snapshot)

    def _next_batch(self) -> list[str]:
        """Returns the job that has waited longest and the unread jobs that follow it in key order."""
        unread = [job_id for job_id in self._waiters if job_id not in self._in_progress]
        if not unread:
            return []
        job_ids = sorted(unread)
        return job_ids[bisect.bisect_left(job_ids, unread[0]) :][:MAX_JOBS_PER_READ]

    def _pop_waiters(self, job_id: str, count: int) -> list[JobFuture]:
        """Removes and returns the first `count` futures that wait for a job."""
        waiters = self._waiters.pop(job_id)
        if waiters[count:]:
            self._waiters[job_id] = waiters[count:]
        return waiters[:count]
