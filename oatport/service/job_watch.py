"""Watches for accepted and cancelled jobs, through hints of other nodes and through the job records."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from oatport import wire
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.control.state.job import Job
from oatport.control.storage.job_records import decode_job
from oatport.control.storage.keys import JOBS_PREFIX
from oatport.control.storage.overflow_records import is_accepted_as_blocked
from oatport.peer_messages import JobAccepted, JobCancelled
from oatport.service.failover import read_full_record
from oatport.service.group_commit import GroupCommit
from oatport.service.leader_context import LeaderContext
from oatport.times import MS, steady

log = logging.getLogger(__name__)

WATCH_TIMEOUT = 1_000 * MS
RETRY_INTERVAL = 300 * MS
MAX_EARLY_HINTS = 10_000


class JobWatch:
    """Keeps the leader's `ClusterState` up to date with jobs that nodes accept and cancel."""

    def __init__(self, leader: LeaderContext, commits: GroupCommit) -> None:
        self._leader = leader
        self._commits = commits
        self.on_admitted: Callable[[Job], None] | None = None  # called for each job that is not blocked
        self.revision = 0  # all changes of job records up to this revision are applied
        self._early_hints: list[JobAccepted | JobCancelled] = []  # received before the records were loaded

    def start_from(self, revision: int) -> None:
        """Starts the watch after the records were loaded as of this revision, and applies hints received before."""
        self.revision = revision
        for hint in self._early_hints:
            self.apply_hint(hint)
        self._early_hints.clear()

    # --- hints ------------------------------------------------------------------------------

    def on_hint(self, hint: JobAccepted | JobCancelled) -> None:
        """Handles a node's hint that it accepted or cancelled a job; until the records are loaded, hints are stored."""
        if self._leader.loaded:
            self.apply_hint(hint)
        elif len(self._early_hints) < MAX_EARLY_HINTS:
            self._early_hints.append(hint)

    def apply_hint(self, hint: JobAccepted | JobCancelled) -> None:
        """Applies a hint; the records must have been loaded."""
        leader = self._leader
        if isinstance(hint, JobCancelled):
            leader.cluster.job_lifecycle.cancel_confirmed(
                hint.job_id, hint.revision, leader.lease_renewal_limit.cancellations_read_at
            )
        elif not self._is_known(hint.job_id) and hint.revision > self.revision and "more" not in hint.record:
            # Older hints are ignored: the load or the watch has seen their jobs, which may have ended already.
            self.admit(hint.job_id, hint.record, hint.revision)
        leader.wake()

    def _is_known(self, job_id: str) -> bool:
        """Returns whether a job is active, or has a recorded terminal state that the watch has not reported yet.

        A job that has ended must not be admitted again from an older change: its bindings failed on deleted keys, and
        the leader had to step down.
        """
        cluster = self._leader.cluster
        return (
            job_id in cluster.jobs
            or job_id in cluster.dependencies.blocked_jobs
            or job_id in cluster.writes.terminal_revisions
        )

    def admit(self, job_id: str, record: Any, revision: int) -> None:
        """Adds a job from its complete record."""
        cluster = self._leader.cluster
        decoded = decode_job(record)
        spec, submitted_at_wall = decoded.spec(), decoded.submitted_at
        if is_accepted_as_blocked(record):
            job = Job(job_id, spec, revision, submitted_at_wall)
            job.compact_spec = decoded.compact_spec()
            cluster.dependencies.add_blocked(job)
            self._commits.charge_acceptance()
            return
        job = cluster.job_lifecycle.add(job_id, spec, revision, submitted_at_wall)
        if self.on_admitted is not None:
            self.on_admitted(job)
        self._commits.charge_acceptance()

    # --- watch ------------------------------------------------------------------------------

    async def loop(self) -> None:
        """Watches the job records until the leader stops, and advances the time up to which cancellations are known."""
        leader = self._leader
        while not leader.stopped:
            requested_at = steady()
            try:
                change_set = await leader.state.watch(JOBS_PREFIX, self.revision, WATCH_TIMEOUT)
            except (NoResponseError, RequestRefusedError):
                await asyncio.sleep(jitter(RETRY_INTERVAL))
                continue
            if change_set is None:
                log.warning("job watch fell behind fencing_token=%d revision=%d", leader.token, self.revision)
                leader.step_down("the watch on jobs fell behind")
                return
            # Only the last change of each job counts: a job that was accepted and has ended since is not admitted.
            latest = {change.key: change for change in change_set.changes if not change.deleted}
            try:
                await self._read_overflow(latest)
            except (NoResponseError, RequestRefusedError):
                await asyncio.sleep(jitter(RETRY_INTERVAL))
                continue
            for key, change in latest.items():
                self._apply_change(key[len(JOBS_PREFIX) :], change.value, change.revision)
            self._advance(change_set.revision)
            leader.lease_renewal_limit.on_cancellations_read(requested_at)
            leader.wake()

    async def _read_overflow(self, latest: dict[str, wire.Change]) -> None:
        """Joins records with their overflow records, in place. Raises NoResponseError or RequestRefusedError."""
        for key, change in latest.items():
            if "more" in change.value and change.value["state"] not in wire.TERMINAL_STATUSES:
                latest[key] = change._replace(value=await read_full_record(self._leader.state, change.value))

    def _apply_change(self, job_id: str, record: Any, revision: int) -> None:
        cluster, state = self._leader.cluster, str(record["state"])
        if state == wire.JobStatus.CANCELLED:
            cluster.job_lifecycle.cancel(job_id, revision, self._leader.lease_renewal_limit.cancellations_read_at)
        elif state == wire.JobStatus.COMPLETED:
            cluster.dependencies.on_completion_recorded(job_id, int(record.get("ended", 0)))
        elif state not in wire.TERMINAL_STATUSES and not self._is_known(job_id):
            self.admit(job_id, record, revision)

    def _advance(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        terminal = self._leader.cluster.writes.terminal_revisions
        for job_id in [job_id for job_id, at in terminal.items() if at <= self.revision]:
            del terminal[job_id]
