"""Group commit: what the leader's view wants written, one conditioned transaction at a time."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from oatport import wire
from oatport.clients.http import Bucket, NoResponseError, RequestRefusedError, jitter
from oatport.clients.state import Applied
from oatport.control.storage.write_buffer import ACCEPT_KEYS, JOBS, LEADER_KEY, WriteBatch, job_key
from oatport.service.leader_context import LeaderContext
from oatport.times import MS, SECOND, seconds, steady

log = logging.getLogger(__name__)

END_DELAY = 250 * MS  # ends may wait this long for company in one transaction
END_RIPE = 1_500 * MS
BULK_WAIT = 4 * SECOND  # what can wait does so for no longer, however much is pressing
WRITE_SHARE = 0.85  # of the changes a second; the rest is for users' requests


class GroupCommit:
    def __init__(self, helm: LeaderContext) -> None:
        self._helm = helm
        self.cluster = helm.cluster
        self.state = helm.state
        limits = helm.settings.cluster.state
        self._budget = Bucket(limits.write_rps * WRITE_SHARE)
        self._later_rate = limits.least_write_rps * WRITE_SHARE
        self._txn_ops = limits.least_txn_ops
        self.wanted = asyncio.Event()
        self._trying_since = 0  # when the commit under way was first tried

    def joined(self) -> None:
        """A job was accepted: what nodes wrote for it is off the same budget.

        But a swarm makes no debt that claims wait for.
        """
        if self._budget.available() > 0:
            self._budget.take(ACCEPT_KEYS)

    def stuck(self, now: int) -> bool:
        """The commit under way has been without an answer for long."""
        return bool(self._trying_since and now - self._trying_since > SECOND)

    async def loop(self) -> None:
        bulk_at = steady()
        while not self._helm.stopped:
            await self.wanted.wait()
            self.wanted.clear()
            while self.cluster.writes.has_writes() and not self._helm.stopped:
                if not self.cluster.writes.has_urgent_writes():
                    await asyncio.sleep(seconds(END_DELAY) if not self.cluster.writes.has_urgent_writes() else 0)
                # What can wait leaves half a second's worth to claims, and to users' requests.
                now = steady()
                budget = int(self._budget.available() - self._budget.rate / 2)
                if now - bulk_at > BULK_WAIT:
                    budget = self._txn_ops
                ripe = END_RIPE if now - bulk_at <= BULK_WAIT else 0
                batch = self.cluster.writes.take_batch(self._txn_ops, max(budget, 0), ripe)
                if not self.cluster.writes.dirty_keys or batch.operation_count > 1:
                    bulk_at = now
                if not batch.operation_count:
                    for job in batch.deleted_jobs + batch.completed_jobs + batch.cancelled_jobs:
                        self.cluster.job_lifecycle.remove(job)
                    self.cluster.writes.in_flight_keys = set()
                    await asyncio.sleep(0.04)
                    continue
                await self._budget.spend(batch.operation_count)
                await self.commit(batch)
                self._helm.wake()

    async def commit(self, batch: WriteBatch) -> None:
        """Commit a batch, trying the same transaction until its outcome is known.

        While unsure, nothing else is written: each key's version is a condition, so once the answer
        is known no earlier try can be applied any more.
        """
        conditions = {LEADER_KEY: self._helm.token, **batch.conditions}
        tries = 0
        self._trying_since = steady()
        while not self._helm.stopped:
            try:
                result = await self.state.commit(conditions, batch.sets, batch.deletes)
            except (NoResponseError, RequestRefusedError) as error:
                tries += 1
                if not (isinstance(error, RequestRefusedError) and error.status == 429):
                    log.info("commit: %s", error)
                if isinstance(error, RequestRefusedError) and error.status == 429:
                    # The first sign that the limits have fallen; until then their full rate is used.
                    self._budget.rate = min(self._budget.rate, self._later_rate)
                if isinstance(error, RequestRefusedError) and error.status < 429:
                    if not self.cluster.writes.layout.parts and not self.cluster.writes.value_limit_lowered:
                        # The limits have fallen while a node was away, so that it isn't known whether it reads parts:
                        # what is too large waits for that, and the rest goes on.
                        log.error("a transaction was refused: records that may be too large are not written for now")
                        self._trying_since = 0
                        self.cluster.writes.value_limit_lowered = True
                        self.cluster.writes.restore_batch(batch)
                        return
                    self._helm.step_down("the state service calls a transaction malformed")
                    return
                await asyncio.sleep(jitter(min(60 * MS * tries, 400 * MS)))
                continue
            self._trying_since = 0
            if isinstance(result, Applied):
                self.cluster.writes.committed(batch, result.revision, steady())
                return
            await self._conflict(batch, result.failed, tries)
            return

    async def _conflict(self, batch: WriteBatch, failed: tuple[str, ...], tries: int) -> None:
        if LEADER_KEY in failed:
            self._helm.step_down("the leader key has another version")
            return
        if tries and await self._was_applied(batch):
            return
        others = [key for key in failed if not key.startswith(JOBS)]
        if others or not failed:
            # Somebody else wrote what only the leader writes: what we believe is not what is recorded.
            log.error("records differ from what was expected: %s", others)
            self._helm.step_down("records differ from what was expected")
            return
        cancelled = {key: await self._reread(key[len(JOBS) :]) for key in failed}
        self.cluster.writes.restore_batch(batch)
        for key, version in cancelled.items():
            if version:
                self.cluster.dependencies.cancel_blocked(
                    key[len(JOBS) :], version
                )  # its user was faster than its needed job's
            job = self.cluster.jobs.get(key[len(JOBS) :])
            if job is not None and job.cancelled:
                job.completing = False
                self.cluster.writes.jobs_to_complete.pop(job, None)
                self.cluster.job_lifecycle.cancel(job.job_id, 0, self._helm.lease_renewal_limit.known_at)

    async def _was_applied(self, batch: WriteBatch) -> bool:
        """After an unsure try: did it get through? All that it wrote then has the revision of the commit.

        One key tells nothing: a job that it called off may have been cancelled by its user, in the same words, while
        claims that went along were never written. A record that somebody has changed since leaves it to the others;
        `jobs/REF` alone is ever written by others, and only where the commit did not come first.
        """
        revisions: set[int] = set()
        for key in (*batch.sets, *batch.deletes):
            found = await self._sure(key)
            if self._helm.stopped:
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

    async def _sure(self, key: str) -> tuple[Any, int] | None:
        """What is recorded under a key, however often it has to be asked for."""
        while not self._helm.stopped:
            try:
                return await self.state.get(key)
            except (NoResponseError, RequestRefusedError):
                await asyncio.sleep(jitter(200 * MS))
        return None

    async def _reread(self, ref: str) -> int:
        """Take in how a job stands; the version of its record if it is cancelled."""
        found = await self._sure(job_key(ref))
        job = self.cluster.jobs.get(ref)
        state = None if found is None else found[0].get("state")
        if found is not None and state == wire.JobStatus.CANCELLED:
            self.cluster.job_lifecycle.cancel(ref, found[1], self._helm.lease_renewal_limit.known_at)
            return found[1]
        if found is not None and state in wire.TERMINAL_STATUSES and job is not None:
            self.cluster.job_lifecycle.remove(job)
            self.cluster.writes.terminal_revisions[ref] = found[1]
            if state == wire.JobStatus.COMPLETED:
                self.cluster.dependencies.on_completion_recorded(ref, int(found[0].get("ended", 0)))
        return 0


def _same(found: Any, written: Any) -> bool:
    """A value as it was written, and as it came back."""
    return bool(found == written) or wire.encode(found) == wire.encode(written)
