"""Resolves the dependencies of blocked jobs whose state is not known to the leader, by reading their records."""

from __future__ import annotations

import asyncio

from oatport import wire
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.control.storage.keys import JOBS_PREFIX
from oatport.service.leader_context import LeaderContext
from oatport.times import SECOND

INTERVAL_S = 0.2
READ_INTERVAL_S = INTERVAL_S / 4  # between the requests of one round
REREAD_INTERVAL_S = 1.0  # before an unfinished dependency is read again, unless the watch reports a change
RETRY_INTERVAL = SECOND


class DependencyController:
    """Reads the records of unresolved dependencies for a leader."""

    def __init__(self, leader: LeaderContext) -> None:
        self._leader = leader
        self.cluster = leader.cluster
        self.state = leader.state

    def start(self) -> None:
        """Starts `loop` in the background."""
        self._leader.background.supervise("dependencies", self.loop)

    async def loop(self) -> None:
        """Reads unresolved dependencies until the leader stops."""
        while not self._leader.stopped:
            await asyncio.sleep(INTERVAL_S)
            await self._read(sorted(self.cluster.dependencies.graph.unresolved))
            if self.cluster.dependencies.graph.unresolved:
                await asyncio.sleep(REREAD_INTERVAL_S)  # the watch may report jobs accepted just now

    async def _read(self, pending_ids: list[str]) -> None:
        """Reads several records per request, with one request in flight at a time."""
        while pending_ids and not self._leader.stopped:
            try:
                found, requested = await self.state.get_many(JOBS_PREFIX, pending_ids)
            except (NoResponseError, RequestRefusedError):
                await asyncio.sleep(jitter(RETRY_INTERVAL))
                return
            for job_id in requested:
                record = found[job_id][0] if job_id in found else {}
                self._apply_state(job_id, str(record.get("state")), int(record.get("ended", 0)))
            pending_ids = pending_ids[len(requested) :]
            self._leader.wake()
            await asyncio.sleep(READ_INTERVAL_S)

    def _apply_state(self, job_id: str, state: str, ended: int) -> None:
        """Applies the recorded state of a dependency: terminal states are final, any other may have changed since."""
        if state == wire.JobStatus.COMPLETED:
            self.cluster.dependencies.on_completion_recorded(job_id, ended)
        elif state == wire.JobStatus.CANCELLED:
            self.cluster.dependencies.cancel_dependents(job_id)
        elif state == wire.JobStatus.FAILED or job_id in self.cluster.jobs:
            self.cluster.dependencies.graph.mark_resolved(job_id)
