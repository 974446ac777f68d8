"""Group commit: writes the changes of the leader's `ClusterState`, one conditional transaction at a time."""

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

BATCHING_WINDOW = 250 * MS  # how long non-urgent writes, such as completions, wait for others to join them
MAX_COMPLETIONS_WAIT = 1_500 * MS
MAX_DEFERRABLE_WAIT = 4 * SECOND  # deferrable writes wait no longer than this, even if many urgent ones are pending
EMPTY_BATCH_INTERVAL_S = 0.04
WRITE_SHARE = 0.85  # of the changes per second; the rest is for users' requests
STUCK_AFTER = SECOND
RETRY_DELAY_STEP, MAX_RETRY_DELAY = 60 * MS, 400 * MS
READ_RETRY_INTERVAL = 200 * MS
REFUSED_RETRY_INTERVAL = 30 * SECOND  # until a record that was refused alone is written again
MAX_KEYS_LOGGED = 10


class GroupCommit:
    """Writes batches for a leader, within its share of the state service's rate limit."""

    def __init__(self, leader: LeaderContext) -> None:
        self._leader = leader
        self.cluster = leader.cluster
        self.state = leader.state
        limits = leader.settings.cluster.state
        self._budget = TokenBucket(limits.write_rps * WRITE_SHARE)
        self._reduced_rate = limits.min_write_rps * WRITE_SHARE
        self._transaction_operations = limits.min_txn_ops
        self.wakeup = asyncio.Event()
        self._commit_started_at = 0  # time of the first attempt of the commit in flight; 0 if there is none
        self._deferrable_written_at = 0  # when deferrable writes were last written

    def charge_acceptance(self) -> None:
        """Charges the budget for the keys that a node wrote to accept a job.

        Nothing is charged if the budget is used up, so that bindings need not wait for a burst of small jobs.
        """
        if self._budget.available() > 0:
            self._budget.reserve(KEYS_PER_ACCEPTED_JOB)

    def is_stuck(self, now: int) -> bool:
        """Returns whether the commit in flight has been unanswered for more than `STUCK_AFTER`."""
        return bool(self._commit_started_at and now - self._commit_started_at > STUCK_AFTER)

    async def loop(self) -> None:
        """Writes batches whenever `wakeup` is set, until the leader stops."""
        self._deferrable_written_at = steady()
        while not self._leader.stopped:
            await self.wakeup.wait()
            self.wakeup.clear()
            while self.cluster.writes.has_pending_writes() and not self._leader.stopped:
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
        """Takes the next batch; deferrable writes leave half a second's budget to bindings and to users' requests."""
        budget, completions_wait = int(self._budget.available() - self._budget.rate_per_s / 2), MAX_COMPLETIONS_WAIT
        if now - self._deferrable_written_at > MAX_DEFERRABLE_WAIT:
            budget, completions_wait = self._transaction_operations, 0
        batch = self.cluster.writes.take_batch(self._transaction_operations, max(budget, 0), completions_wait)
        if not self.cluster.writes.dirty_keys or batch.operation_count > 1:
            self._deferrable_written_at = now
        return batch

    async def commit(self, batch: WriteBatch) -> None:
        """Commits a batch, retrying the same transaction until its outcome is known.

        Nothing else is written meanwhile. Each key's revision is a condition of the transaction, so once the outcome is
        known no earlier attempt can be applied any more.
        """
        conditions = {LEADER_KEY: self._leader.token, **batch.conditions}
        failed_attempts = 0
        self._commit_started_at = steady()
        while not self._leader.stopped:
            try:
                result = await self.state.commit(conditions, batch.sets, batch.deletes)
            except NoResponseError as error:
                log.info('commit got no response fencing_token=%d error="%s"', self._leader.token, error)
            except RequestRefusedError as error:
                if error.is_malformed:
                    log.info('commit was refused fencing_token=%d error="%s"', self._leader.token, error)
                    self._commit_started_at = 0
                    if not (failed_attempts and await self._was_applied(batch)):
                        self._on_malformed(batch)
                    return
                self._on_refused(error)
            else:
                self._commit_started_at = 0
                if isinstance(result, Applied):
                    self.cluster.tokens.on_committed(result.revision)
                    self.cluster.writes.committed(batch, result.revision, steady())
                else:
                    await self._on_conflict(batch, result.failed_keys, failed_attempts)
                return
            failed_attempts += 1
            await asyncio.sleep(jitter(min(RETRY_DELAY_STEP * failed_attempts, MAX_RETRY_DELAY)))

    def _on_refused(self, error: RequestRefusedError) -> None:
        if error.is_throttled:
            # The first sign that the limits were lowered; until then their full rate is used.
            self._budget.rate_per_s = min(self._budget.rate_per_s, self._reduced_rate)
        else:
            log.info('commit was refused fencing_token=%d error="%s"', self._leader.token, error)

    def _on_malformed(self, batch: WriteBatch) -> None:
        """Handles a refusal that a repetition, also by another leader, would meet again.

        The leader goes on with all other records, since a successor would have to write the same.
        """
        writes = self.cluster.writes
        keys = ",".join(list(batch.sets)[:MAX_KEYS_LOGGED])
        if not (writes.layout.should_split_records or writes.is_value_limit_lowered):
            # The limits were lowered while a node was unreachable, so it is not known whether that node can read record
            # parts. Records that are too large are held back until it is known; all others are written.
            log.error(
                "transaction refused as malformed, large records are held back operations=%d", batch.operation_count
            )
            writes.is_value_limit_lowered = True
            writes.restore_batch(batch)
        elif writes.on_refused(batch, steady() + REFUSED_RETRY_INTERVAL):
            log.error("record refused alone, it is withheld keys=%s", keys)
        else:
            log.error("transaction refused as malformed, its records are written one by one keys=%s", keys)

    async def _on_conflict(self, batch: WriteBatch, failed_keys: tuple[str, ...], failed_attempts: int) -> None:
        if LEADER_KEY in failed_keys:
            self._leader.step_down("the leader key has another revision")
            return
        if failed_attempts and await self._was_applied(batch):
            return
        leader_keys = [key for key in failed_keys if not key.startswith(JOBS_PREFIX)]
        if leader_keys or not failed_keys:
            # Another process wrote a key that only the leader writes: the leader's view differs from the records.
            log.error(
                "records differ from the view fencing_token=%d keys=%s", self._leader.token, ",".join(leader_keys)
            )
            self._leader.step_down("records differ from what was expected")
            return
        cancellations = {key: await self._refresh_job(key[len(JOBS_PREFIX) :]) for key in failed_keys}
        self.cluster.writes.restore_batch(batch)
        for key, revision in cancellations.items():
            job_id = key[len(JOBS_PREFIX) :]
            if revision:
                # The user cancelled the blocked job before the outcome of its dependency was applied.
                self.cluster.dependencies.cancel_blocked(job_id, revision)
            job = self.cluster.jobs.get(job_id)
            if job is not None and job.cancelled:
                job.completing = False
                self.cluster.writes.jobs_to_complete.pop(job, None)
                self.cluster.job_lifecycle.cancel(job.job_id, 0, self._leader.lease_renewal_limit.cancellations_read_at)

    async def _was_applied(self, batch: WriteBatch) -> bool:
        """Returns whether an earlier attempt with unknown outcome was applied: all its keys then have one revision.

        One key proves nothing: a job that the batch cancels may have been cancelled by its user with an identical
        record, while bindings of the same batch were never written. A record that was changed since does not match, so
        the batch counts as not applied. Other processes write only `jobs/REF`, and only if the commit was not applied
        first.
        """
        revisions: set[int] = set()
        for key in (*batch.sets, *batch.deletes):
            found = await self.read_with_retry(key)
            if self._leader.stopped:
                return False
            if key in batch.deletes:
                if found is not None:
                    return False
            elif (
                found is None
                or found[1] <= batch.conditions.get(key, 0)
                or not _is_same_value(found[0], batch.sets[key])
            ):
                return False
            else:
                revisions.add(found[1])
        if len(revisions) > 1:
            return False
        self.cluster.writes.committed(batch, revisions.pop() if revisions else 0, steady())
        return True

    async def read_with_retry(self, key: str) -> tuple[Any, int] | None:
        """Reads a key, retrying until the state service answers; returns None if the leader stops first."""
        while not self._leader.stopped:
            try:
                return await self.state.get(key)
            except (NoResponseError, RequestRefusedError):
                await asyncio.sleep(jitter(READ_RETRY_INTERVAL))
        return None

    async def _refresh_job(self, job_id: str) -> int:
        """Reads a job's record and applies its state; returns the record's revision if the job is cancelled, else 0."""
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


def _is_same_value(found: Any, written: Any) -> bool:
    """Returns whether a value that was read back equals the value that was written."""
    return bool(found == written) or wire.encode(found) == wire.encode(written)
