"""A cache of job states for users' requests, refreshed with one request that concurrent callers share.

One read for each poll would use the whole budget of the state service with a few hundred unfinished jobs. Concurrent
callers therefore share one request for the changes under jobs/ since the previous refresh. It is sent after they
arrived, so its result is never older than what another node reported earlier.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import Any

from oatport import wire
from oatport.api.concurrency_limit import ConcurrencyLimit
from oatport.api.job_reader import JobReader, retrieve_exception
from oatport.api.job_status import JobSnapshot
from oatport.clients.http import NoResponseError
from oatport.clients.state import StateClient
from oatport.control.storage.keys import JOBS_PREFIX, overflow_key
from oatport.control.storage.overflow_records import merge_overflow
from oatport.times import MS, SECOND, seconds, steady

MAX_CACHED_JOBS = 20_000
READ_TIMEOUT = 800 * MS
REFRESH_REQUESTS = 15  # the refresh interval is the time in which the state service allows this many requests
# Lower bound of the refresh interval. Users wait up to 2 s for the response to a poll, while 20 refreshes per second at
# each node caused two thirds of all state service requests and a fifth of the cost of a day with low load.
MIN_REFRESH_INTERVAL = 250 * MS


@dataclass(frozen=True, slots=True)
class UnusableDependencies:
    """Holds the first dependency that was never accepted and the first that is a service, if there are any."""

    never_accepted: str | None
    service: str | None


class JobStatusCache:
    """Caches the jobs that one node has read, and refreshes them on users' requests."""

    def __init__(self, state: StateClient, calls: ConcurrencyLimit, rps: float) -> None:
        self._state = state
        self._calls = calls
        self._reader = JobReader(state, self.eviction_count, self._update_from_stored)
        self._refresh_interval = max(MIN_REFRESH_INTERVAL, round(REFRESH_REQUESTS * SECOND / rps))
        self._snapshots: OrderedDict[str, JobSnapshot] = OrderedDict()
        self._revision = 0  # all changes up to this revision are applied; 0: none has been read
        self._evictions = 0
        self._refreshed_at = -SECOND  # when the last refresh was sent
        self._next_refresh: asyncio.Future[None] | None = None  # done when the next refresh, not sent yet, completes
        self._refreshing: asyncio.Task[None] | None = None

    # --- queries ----------------------------------------------------------------------------

    async def find(self, job_id: str) -> JobSnapshot | None:
        """Returns the current state of a job, or None if it was never accepted.

        Raises NoResponseError, RequestRefusedError or OverloadedError.
        """
        snapshot = self._snapshots.get(job_id)
        is_fresh = not self._revision or (snapshot is not None and not snapshot.is_terminal)
        if is_fresh:
            await self._refresh()
            snapshot = self._snapshots.get(job_id)
        if snapshot is None:
            snapshot = await self._reader.read(job_id)
            if snapshot is None:
                return None
            is_fresh = False
        if snapshot.is_terminal or not snapshot.may_have_dependencies:
            return snapshot
        return await self._propagate_cancellation(job_id, snapshot, is_fresh)

    def snapshot(self, job_id: str) -> JobSnapshot | None:
        """Returns the cached state of a job, or None; only a terminal state is certain to be current."""
        return self._snapshots.get(job_id)

    async def find_unusable(self, job_ids: list[str]) -> UnusableDependencies:
        """Returns which of the jobs a submission can't depend on. Jobs that are not cached are read now.

        Jobs are never removed from the store, so a cached job was accepted. Raises NoResponseError, RequestRefusedError
        or OverloadedError; jobs read up to then stay cached, so that a repeated submission makes progress.
        """
        found: dict[str, JobSnapshot] = {}
        await self._load_all(job_ids, found, self.eviction_count())
        return UnusableDependencies(
            next((job_id for job_id in job_ids if job_id not in found), None),
            next((job_id for job_id in job_ids if job_id in found and found[job_id].is_service), None),
        )

    # --- updates ----------------------------------------------------------------------------

    def eviction_count(self) -> int:
        """Returns the number of evictions so far; must be called before a read or commit passed to `update_job`."""
        return self._evictions

    def update_job(self, job_id: str, record: dict[str, Any], revision: int, eviction_count: int) -> JobSnapshot:
        """Caches and returns a job that this node read or committed; refreshes apply the later changes.

        `eviction_count` is the number of evictions before the read or commit. The job is not cached if an eviction has
        happened since: a later change of the job may have been evicted, and no refresh would return it again.
        """
        snapshot = self._snapshots.get(job_id)
        if snapshot is not None and (
            snapshot.revision > revision
            or (snapshot.revision == revision and (snapshot.is_terminal or len(snapshot.dependencies) > 0))
        ):
            return snapshot  # it may record that dependencies are completed or cancelled
        snapshot = JobSnapshot.from_record(record, revision)
        if eviction_count == self._evictions:
            self._snapshots[job_id] = snapshot
            if len(self._snapshots) > MAX_CACHED_JOBS:
                self._snapshots.popitem(last=False)
                self._evictions += 1
        return snapshot

    def _update_from_stored(self, job_id: str, stored: wire.StoredValue, eviction_count: int) -> JobSnapshot:
        return self.update_job(job_id, stored.value, stored.revision, eviction_count)

    def on_created(self, job_id: str, record: dict[str, Any], revision: int, eviction_count: int) -> None:
        """Caches a job that this node's own commit created."""
        if not self._revision:
            self._evict_unfinished(revision)
            eviction_count = self._evictions
        self.update_job(job_id, record, revision, eviction_count)

    def _evict_unfinished(self, revision: int) -> None:
        """Evicts the jobs that may have changed before `revision`; refreshes apply the changes from there on."""
        for job_id in [job_id for job_id, snapshot in self._snapshots.items() if not snapshot.is_terminal]:
            del self._snapshots[job_id]
        self._evictions += 1
        self._revision = revision

    # --- dependencies -----------------------------------------------------------------------

    async def _propagate_cancellation(self, job_id: str, snapshot: JobSnapshot, is_fresh: bool) -> JobSnapshot:
        """Returns the job as cancelled if one of its direct or transitive dependencies is cancelled.

        The result follows from the dependencies' records and is as permanent as their cancellation. Once one node has
        reported it, all nodes report the same, however long the leader takes to record it. `is_fresh`: all changes up
        to now are applied.
        """
        if not is_fresh:
            await self._refresh()
            snapshot = self._snapshots.get(job_id, snapshot)
        seen = {job_id}
        remaining = [job_id]
        eviction_count = self.eviction_count()
        found = {job_id: snapshot}  # kept for this call, in case the cache evicts them
        while remaining:
            visited_id = remaining.pop()
            dependent = await self._load_overflow_dependencies(visited_id, found[visited_id])
            unseen = [dependency for dependency in dependent.dependencies if dependency not in seen]
            await self._load_all(unseen, found, eviction_count)
            for dependency in dependent.dependencies:
                status = found.get(dependency)
                if status is not None and status.state == wire.JobStatus.CANCELLED:
                    return self._mark_cancelled(job_id, snapshot)
                if status is not None and dependency not in seen and _can_propagate_cancellation(status):
                    remaining.append(dependency)
                seen.add(dependency)
            self._drop_completed_dependencies(
                visited_id, [d for d in dependent.dependencies if not _is_completed(found.get(d))]
            )
        return self._snapshots.get(job_id, snapshot)

    def _mark_cancelled(self, job_id: str, snapshot: JobSnapshot) -> JobSnapshot:
        cancelled = replace(snapshot, state=wire.JobStatus.CANCELLED, dependencies=(), overflow_records=0)
        if job_id in self._snapshots:
            self._snapshots[job_id] = cancelled
        return cancelled

    def _drop_completed_dependencies(self, job_id: str, remaining: list[str]) -> None:
        """Reduces a cached job's dependencies to those not completed, so that the others are not checked again."""
        snapshot = self._snapshots.get(job_id)
        if snapshot is None or snapshot.is_terminal or snapshot.overflow_records:
            return
        if len(remaining) < len(snapshot.dependencies):
            self._snapshots[job_id] = replace(snapshot, dependencies=tuple(remaining))

    async def _load_overflow_dependencies(self, job_id: str, snapshot: JobSnapshot) -> JobSnapshot:
        """Returns the job with the dependencies that are stored in overflow records, if there are any."""
        if not snapshot.overflow_records:
            return snapshot
        parts = []
        for number in range(snapshot.overflow_records):
            async with self._calls.acquire():
                found = await self._state.get(overflow_key(job_id, number), timeout_us=READ_TIMEOUT)
            if found is None:
                raise NoResponseError(f"overflow record {number} of job {job_id} is missing")
            parts.append(found.value)
        dependencies = merge_overflow({"job": {}}, parts)["job"].get(wire.DEPENDENCIES_FIELD, ())
        snapshot = replace(snapshot, dependencies=tuple(dependencies), overflow_records=0)
        if job_id in self._snapshots:
            self._snapshots[job_id] = snapshot
        return snapshot

    async def _load_all(self, job_ids: list[str], found: dict[str, JobSnapshot], eviction_count: int) -> None:
        """Adds jobs to `found`, from the cache or read in batches; jobs that were never accepted are left out."""
        missing = []
        for job_id in job_ids:
            snapshot = self._snapshots.get(job_id)
            if snapshot is not None:
                found[job_id] = snapshot
            else:
                missing.append(job_id)
        missing.sort()
        while missing:
            async with self._calls.acquire():
                page = await self._state.get_many(JOBS_PREFIX, missing)
            for job_id, stored in page.found.items():
                found[job_id] = self._update_from_stored(job_id, stored, eviction_count)
            missing = missing[len(page.looked_up) :]

    # --- refreshes --------------------------------------------------------------------------

    async def _refresh(self) -> None:
        """Returns once all changes up to the time of the call are applied."""
        if self._next_refresh is None:
            self._next_refresh = asyncio.get_running_loop().create_future()
            self._next_refresh.add_done_callback(retrieve_exception)
        refresh = self._next_refresh
        if self._refreshing is None or self._refreshing.done():
            self._refreshing = asyncio.get_running_loop().create_task(self._refresh_loop())
        await asyncio.shield(refresh)

    async def _refresh_loop(self) -> None:
        while self._next_refresh is not None:
            pause = self._refreshed_at + self._refresh_interval - steady()
            if pause > 0:
                await asyncio.sleep(seconds(pause))
            refresh, self._next_refresh = self._next_refresh, None
            self._refreshed_at = steady()
            try:
                await self._read_changes()
            except Exception as error:
                refresh.set_exception(error)
            else:
                refresh.set_result(None)

    async def _read_changes(self) -> None:
        if self._revision:
            change_set = await self._state.watch(JOBS_PREFIX, self._revision, 0, timeout_us=READ_TIMEOUT)
            if change_set is not None:
                for change in change_set.changes:
                    if not change.deleted:
                        self.update_job(change.key[len(JOBS_PREFIX) :], change.value, change.revision, self._evictions)
                self._revision = max(self._revision, change_set.revision)
                return
        # This is the first refresh, or changes since the last one are no longer available: cached jobs may be outdated
        # and are read again one by one.
        self._evict_unfinished(await self._state.current_revision(JOBS_PREFIX, timeout_us=READ_TIMEOUT))


def _is_completed(snapshot: JobSnapshot | None) -> bool:
    return snapshot is not None and snapshot.state == wire.JobStatus.COMPLETED


def _can_propagate_cancellation(snapshot: JobSnapshot) -> bool:
    """Returns whether the job's own dependencies can cancel the jobs that depend on it."""
    return snapshot.may_have_dependencies and not _is_completed(snapshot)
