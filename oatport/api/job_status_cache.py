"""Jobs as their records have them at the moment of asking, read for all who ask at once.

One read for each poll would take the whole budget of the state service with a few hundred unfinished jobs. So
those who wait share one question: what has changed under jobs/ since the last one? It is asked after they came,
so its answer is never older than what another node answered before.
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

MAX_KNOWN_JOBS = 20_000
READ_TIMEOUT = 800 * MS
REFRESH_REQUESTS = 15  # interval of refreshes: so many requests' worth of the state service's budget
# And no shorter than this: users wait 2 s for a poll's answer, while twenty refreshes a second at each node were two
# thirds of all requests on the state service, and a fifth of a calm day's cost.
MIN_REFRESH_INTERVAL = 250 * MS


@dataclass(frozen=True, slots=True)
class UnusableDependencies:
    """Of the jobs that a submission names one that was never accepted, and one that is a service, if there are any."""

    never_accepted: str | None
    service: str | None


class JobStatusCache:
    """The jobs that one node has read, refreshed when users ask."""

    def __init__(self, state: StateClient, calls: ConcurrencyLimit, rps: float) -> None:
        self._state = state
        self._calls = calls
        self._reader = JobReader(state, self.mark, self._learn_stored)
        self._refresh_interval = max(MIN_REFRESH_INTERVAL, round(REFRESH_REQUESTS * SECOND / rps))
        self._snapshots: OrderedDict[str, JobSnapshot] = OrderedDict()
        self._revision = 0  # all changes up to it are in
        self._evictions = 0  # how often something was forgotten
        self._refreshed_at = -SECOND  # when the last refresh was asked
        self._next_refresh: asyncio.Future[None] | None = None  # the refresh that has not been asked yet
        self._refreshing: asyncio.Task[None] | None = None

    # --- questions --------------------------------------------------------------------------

    async def find(self, job_id: str) -> JobSnapshot | None:
        """A job's state now; None if it has never been accepted.

        Raises NoResponseError, RequestRefusedError or OverloadedError.
        """
        snapshot = self._snapshots.get(job_id)
        fresh = not self._revision or (snapshot is not None and not snapshot.terminal)
        if fresh:
            await self._refresh()
            snapshot = self._snapshots.get(job_id)
        if snapshot is None:
            snapshot = await self._reader.read(job_id)
            if snapshot is None:
                return None
            fresh = False
        if snapshot.terminal or not snapshot.may_depend:
            return snapshot
        return await self._propagate_cancellation(job_id, snapshot, fresh)

    def snapshot(self, job_id: str) -> JobSnapshot | None:
        """What was last received of it; only a terminal state is sure to hold still."""
        return self._snapshots.get(job_id)

    async def find_unusable(self, job_ids: list[str]) -> UnusableDependencies:
        """Of jobs named in a submission those that it can't depend on; read no earlier than now.

        Jobs are never removed: one that is known was accepted. Raises NoResponseError, RequestRefusedError or
        OverloadedError; what was read by then is kept, so that a repeated submission gets on.
        """
        found: dict[str, JobSnapshot] = {}
        await self._learn_all(job_ids, found, self.mark())
        return UnusableDependencies(
            next((job_id for job_id in job_ids if job_id not in found), None),
            next((job_id for job_id in job_ids if job_id in found and found[job_id].is_service), None),
        )

    # --- what is learnt ---------------------------------------------------------------------

    def mark(self) -> int:
        """To be taken before a read or a commit whose result is to be learnt."""
        return self._evictions

    def learn(self, job_id: str, record: dict[str, Any], revision: int, mark: int) -> JobSnapshot:
        """What a read or a commit of this node's showed; later changes follow from the refreshes.

        Not kept if something was forgotten since it was asked: a later change may have been among that, and
        no refresh would bring it again.
        """
        snapshot = self._snapshots.get(job_id)
        if snapshot is not None and (
            snapshot.revision > revision
            or (snapshot.revision == revision and (snapshot.terminal or len(snapshot.dependencies) > 0))
        ):
            return snapshot  # what was found out about the jobs that it names holds
        snapshot = JobSnapshot.from_record(record, revision)
        if mark == self._evictions:
            self._snapshots[job_id] = snapshot
            if len(self._snapshots) > MAX_KNOWN_JOBS:
                self._snapshots.popitem(last=False)
                self._evictions += 1
        return snapshot

    def _learn_stored(self, job_id: str, stored: wire.StoredValue, mark: int) -> JobSnapshot:
        return self.learn(job_id, stored.value, stored.revision, mark)

    def on_created(self, job_id: str, record: dict[str, Any], revision: int, mark: int) -> None:
        """This node's own commit made the job."""
        if not self._revision:
            self._forget_unfinished(revision)
            mark = self._evictions
        self.learn(job_id, record, revision, mark)

    def _forget_unfinished(self, revision: int) -> None:
        """Follow the changes from here on; what is not terminal may have changed before."""
        for job_id in [job_id for job_id, snapshot in self._snapshots.items() if not snapshot.terminal]:
            del self._snapshots[job_id]
        self._evictions += 1
        self._revision = revision

    # --- dependencies -----------------------------------------------------------------------

    async def _propagate_cancellation(self, job_id: str, snapshot: JobSnapshot, fresh: bool) -> JobSnapshot:
        """Cancelled, if a job that it depends on is, directly or through others.

        That follows from their records, and holds as long as theirs: so after any node has answered that, all
        nodes answer the same, however long it takes the leader to record it. `fresh`: changes up to now are in.
        """
        if not fresh:
            await self._refresh()
            snapshot = self._snapshots.get(job_id, snapshot)
        seen = {job_id}
        left = [job_id]
        mark = self.mark()
        found = {job_id: snapshot}  # of this question, should the memory be full
        while left:
            here = left.pop()
            dependent = await self._with_list(here, found[here])
            unseen = [dependency for dependency in dependent.dependencies if dependency not in seen]
            await self._learn_all(unseen, found, mark)
            for dependency in dependent.dependencies:
                other = found.get(dependency)
                if other is not None and other.state == wire.JobStatus.CANCELLED:
                    return self._note_cancelled(job_id, snapshot)
                if other is not None and dependency not in seen and _must_follow(other):
                    left.append(dependency)
                seen.add(dependency)
            self._note_incomplete(here, [d for d in dependent.dependencies if not _is_completed(found.get(d))])
        return self._snapshots.get(job_id, snapshot)

    def _note_cancelled(self, job_id: str, snapshot: JobSnapshot) -> JobSnapshot:
        cancelled = replace(snapshot, state=wire.JobStatus.CANCELLED, dependencies=(), overflow_records=0)
        if job_id in self._snapshots:
            self._snapshots[job_id] = cancelled
        return cancelled

    def _note_incomplete(self, job_id: str, left: list[str]) -> None:
        """Of the jobs that it names only these are not completed: the others need not be looked at again."""
        snapshot = self._snapshots.get(job_id)
        if snapshot is None or snapshot.terminal or snapshot.overflow_records:
            return
        if len(left) < len(snapshot.dependencies):
            self._snapshots[job_id] = replace(snapshot, dependencies=tuple(left))

    async def _with_list(self, job_id: str, snapshot: JobSnapshot) -> JobSnapshot:
        """With the list of the jobs that it names, if that lies in records of its own."""
        if not snapshot.overflow_records:
            return snapshot
        parts = []
        for number in range(snapshot.overflow_records):
            async with self._calls.acquire():
                found = await self._state.get(overflow_key(job_id, number), timeout_us=READ_TIMEOUT)
            if found is None:
                raise NoResponseError("a part of a list is missing")
            parts.append(found.value)
        dependencies = merge_overflow({"job": {}}, parts)["job"].get(wire.DEPENDENCIES_FIELD, ())
        snapshot = replace(snapshot, dependencies=tuple(dependencies), overflow_records=0)
        if job_id in self._snapshots:
            self._snapshots[job_id] = snapshot
        return snapshot

    async def _learn_all(self, job_ids: list[str], found: dict[str, JobSnapshot], mark: int) -> None:
        """What is known of jobs into `found`; what is not is read, some together. Those never accepted are left out."""
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
                found[job_id] = self._learn_stored(job_id, stored, mark)
            missing = missing[len(page.looked_up) :]

    # --- refreshes --------------------------------------------------------------------------

    async def _refresh(self) -> None:
        """Return once all changes up to now are in."""
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
            found = await self._state.watch(JOBS_PREFIX, self._revision, 0, timeout_us=READ_TIMEOUT)
            if found is not None:
                for change in found.changes:
                    if not change.deleted:
                        self.learn(change.key[len(JOBS_PREFIX) :], change.value, change.revision, self._evictions)
                self._revision = max(self._revision, found.revision)
                return
        # The first time, or too long ago: what is known may be out of date, and is read again job by job.
        self._forget_unfinished(await self._state.current_revision(JOBS_PREFIX, timeout_us=READ_TIMEOUT))


def _is_completed(snapshot: JobSnapshot | None) -> bool:
    return snapshot is not None and snapshot.state == wire.JobStatus.COMPLETED


def _must_follow(snapshot: JobSnapshot) -> bool:
    """A job whose own dependencies matter to those that depend on it."""
    return snapshot.may_depend and not _is_completed(snapshot)
