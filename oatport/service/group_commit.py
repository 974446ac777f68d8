"""Group commit: what the leader's view wants written, one conditioned transaction at a time."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from oatport import wire
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.clients.state import Applied
from oatport.clients.token_bucket import TokenBucket
from oatport.control.storage.keys import JOBS_PREFIX, KEYS_PER_ACCEPTED_JOB, LEADER_KEY, job_key
from oatport.control.storage.write_batch import WriteBatch
from oatport.service.leader_context import LeaderContext
from oatport.times import MS, SECOND, seconds, steady

log = logging.getLogger(__name__)

BATCHING_WINDOW = 250 * MS  # completions may wait this long for others to go in the same transaction
COMPLETIONS_WAIT = 1_500 * MS
DEFERRABLE_WAIT = 4 * SECOND  # what can wait does so for no longer, however much is urgent
EMPTY_BATCH_INTERVAL_S = 0.04
WRITE_SHARE = 0.85  # of the changes a second; the rest is for users' requests
STUCK_AFTER = SECOND
RETRY_STEP, MAX_RETRY = 60 * MS, 400 * MS
READ_RETRY = 200 * MS
TOO_MANY_REQUESTS = 429


class GroupCommit:
    """Writes batches for a leader, within its share of the rate limit."""

    def __init__(self, leader: LeaderContext) -> None:
        self._leader = leader
        self.cluster = leader.cluster
        self.state = leader.state
        limits = leader.settings.cluster.state
        self._budget = TokenBucket(limits.write_rps * WRITE_SHARE)
        self._reduced_rate = limits.min_write_rps * WRITE_SHARE
        self._transaction_operations = limits.min_txn_ops
        self.wanted = asyncio.Event()
        self._trying_since = 0  # when the commit under way was first tried
        self._deferrable_at = 0  # when what can wait was written last

    def charge_acceptance(self) -> None:
        """A job was accepted: what nodes wrote for it is off the same budget.

        But a burst of small jobs makes no debt that bindings wait for.
        """
        if self._budget.available() > 0:
            self._budget.reserve(KEYS_PER_ACCEPTED_JOB)

    def is_stuck(self, now: int) -> bool:
        """The commit under way has been without an answer for long."""
        return bool(self._trying_since and now - self._trying_since > STUCK_AFTER)

    async def loop(self) -> None:
        """Write whenever there is something to write."""
        self._deferrable_at = steady()
        while not self._leader.stopped:
            await self.wanted.wait()
            self.wanted.clear()
            while self.cluster.writes.has_writes() and not self._leader.stopped:
                if not self.cluster.writes.has_urgent_writes():
                    await asyncio.sleep(seconds(BATCHING_WINDOW))
                await self._write_batch()

    async def _write_batch(self) -> None:
        batch = self._take_batch(steady())
        if not batch.operation_count:
            for job in batch.deleted_jobs + batch.completed_jobs + batch.cancelled_jobs:
                self.cluster.job_lifecycle.remove(job)
            self.cluster.writes.in_flight_keys = set()
            await asyncio.sleep(EMPTY_BATCH_INTERVAL_S)
            return
        await self._budget.acquire(batch.operation_count)
        await self.commit(batch)
        self._leader.wake()

    def _take_batch(self, now: int) -> WriteBatch:
        """What can wait leaves half a second's worth to bindings, and to users' requests."""
        budget, completions_wait = int(self._budget.available() - self._budget.rate_per_s / 2), COMPLETIONS_WAIT
        if now - self._deferrable_at > DEFERRABLE_WAIT:
            budget, completions_wait = self._transaction_operations, 0
        batch = self.cluster.writes.take_batch(self._transaction_operations, max(budget, 0), completions_wait)
        if not self.cluster.writes.dirty_keys or batch.operation_count > 1:
            self._deferrable_at = now
        return batch

    async def commit(self, batch: WriteBatch) -> None:
        """Commit a batch, trying the same transaction until its outcome is known.

        While it is unknown, nothing else is written: each key's version is a condition, so once the answer
        is known no earlier try can be applied any more.
        """
        conditions = {LEADER_KEY: self._leader.token, **batch.conditions}
        tries = 0
        self._trying_since = steady()
        while not self._leader.stopped:
            try:
                result = await self.state.commit(conditions, batch.sets, batch.deletes)
            except NoResponseError as error:
                log.info('commit got no response fencing_token=%d error="%s"', self._leader.token, error)
            except RequestRefusedError as error:
                if error.status < TOO_MANY_REQUESTS:
                    log.info('commit was refused fencing_token=%d error="%s"', self._leader.token, error)
                    self._on_malformed(batch)
                    return
                self._on_refused(error)
            else:
                self._trying_since = 0
                if isinstance(result, Applied):
                    self.cluster.writes.committed(batch, result.revision, steady())
                else:
                    await self._on_conflict(batch, result.failed_keys, tries)
                return
            tries += 1
            await asyncio.sleep(jitter(min(RETRY_STEP * tries, MAX_RETRY)))

    def _on_refused(self, error: RequestRefusedError) -> None:
        if error.status == TOO_MANY_REQUESTS:
            # The first sign that the limits have fallen; until then their full rate is used.
            self._budget.rate_per_s = min(self._budget.rate_per_s, self._reduced_rate)
        else:
            log.info('commit was refused fencing_token=%d error="%s"', self._leader.token, error)

    def _on_malformed(self, batch: WriteBatch) -> None:
        if self.cluster.writes.layout.should_split_records or self.cluster.writes.is_value_limit_lowered:
            self._leader.step_down("the state service calls a transaction malformed")
            return
        # The limits have fallen while a node was away, so that it isn't known whether it reads parts:
        # what is too large waits for that, and the rest goes on.
        log.error("transaction refused as malformed, large records are held back operations=%d", batch.operation_count)
        self._trying_since = 0
        self.cluster.writes.is_value_limit_lowered = True
        self.cluster.writes.restore_batch(batch)

    async def _on_conflict(self, batch: WriteBatch, failed: tuple[str, ...], tries: int) -> None:
        if LEADER_KEY in failed:
            self._leader.step_down("the leader key has another version")
            return
        if tries and await self._was_applied(batch):
            return
        others = [key for key in failed if not key.startswith(JOBS_PREFIX)]
        if others or not failed:
            # Somebody else wrote what only the leader writes: what we believe is not what is recorded.
            log.error("records differ from the view fencing_token=%d keys=%s", self._leader.token, ",".join(others))
            self._leader.step_down("records differ from what was expected")
            return
        cancelled = {key: await self._refresh_job(key[len(JOBS_PREFIX) :]) for key in failed}
        self.cluster.writes.restore_batch(batch)
        for key, version in cancelled.items():
            job_id = key[len(JOBS_PREFIX) :]
            if version:
                self.cluster.dependencies.cancel_blocked(
                    job_id, version
                )  # its user was faster than the job that it depends on
            job = self.cluster.jobs.get(job_id)
            if job is not None and job.cancelled:
                job.completing = False
                self.cluster.writes.jobs_to_complete.pop(job, None)
                self.cluster.job_lifecycle.cancel(job.job_id, 0, self._leader.lease_renewal_limit.cancellations_read_at)

    async def _was_applied(self, batch: WriteBatch) -> bool:
        """After a try with unknown outcome: did it get through? All that it wrote then has the commit's revision.

        One key tells nothing: a job that it cancelled may have been cancelled by its user, in the same words, while
        bindings that went along were never written. A record that somebody has changed since leaves it to the others;
        `jobs/REF` alone is ever written by others, and only where the commit did not come first.
        """
        revisions: set[int] = set()
        for key in (*batch.sets, *batch.deletes):
            found = await self.read_with_retry(key)
            if self._leader.stopped:
                return False
            if key in batch.deletes:
                if found is not None:
                    return False
            elif found is None or found[1] <= batch.conditions.get(key, 0) or not _same(found[0], batch.sets[key]):
                return False
            else:
                revisions.add(found[1])
        if len(revisions) > 1:
            return False
        self.cluster.writes.committed(batch, revisions.pop() if revisions else 0, steady())
        return True

    async def read_with_retry(self, key: str) -> tuple[Any, int] | None:
        """What is recorded under a key, however often it has to be asked for."""
        while not self._leader.stopped:
            try:
                return await self.state.get(key)
            except (NoResponseError, RequestRefusedError):
                await asyncio.sleep(jitter(READ_RETRY))
        return None

    async def _refresh_job(self, job_id: str) -> int:
        """Take in how a job stands; the version of its record if it is cancelled, else 0."""
        found = await self.read_with_retry(job_key(job_id))
        job = self.cluster.jobs.get(job_id)
        state = None if found is None else found[0].get("state")
        if found is not None and state == wire.JobStatus.CANCELLED:
            self.cluster.job_lifecycle.cancel(job_id, found[1], self._leader.lease_renewal_limit.cancellations_read_at)
            return found[1]
        if found is not None and state in wire.TERMINAL_STATUSES and job is not None:
            self.cluster.job_lifecycle.remove(job)
            self.cluster.writes.terminal_revisions[job_id] = found[1]
            if state == wire.JobStatus.COMPLETED:
                self.cluster.dependencies.on_completion_recorded(job_id, int(found[0].get("ended", 0)))
        return 0


def _same(found: Any, written: Any) -> bool:
    """A value as it was written, and as it came back."""
    return bool(found == written) or wire.encode(found) == wire.encode(written)
