"""The dependency controller: how jobs stand on which others depend, and of which no record is known."""

from __future__ import annotations

import asyncio

from oatport import wire
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.control.storage.keys import JOBS_PREFIX
from oatport.service.leader_context import LeaderContext
from oatport.times import SECOND

INTERVAL_S = 0.2
READ_INTERVAL_S = INTERVAL_S / 4  # between requests of one round
REREAD_INTERVAL_S = 1.0  # until a dependency that is not over is looked at again, if nothing was received about it
RETRY_INTERVAL = SECOND


class DependencyController:
    """Reads the records of such dependencies for a leader."""

    def __init__(self, leader: LeaderContext) -> None:
        self._leader = leader
        self.cluster = leader.cluster
        self.state = leader.state

    def start(self) -> None:
        """Start the loop."""
        self._leader.background.supervise("dependencies", self.loop)

    async def loop(self) -> None:
        """Read unknown dependencies until the leader stops."""
        while not self._leader.stopped:
            await asyncio.sleep(INTERVAL_S)
            await self._read(sorted(self.cluster.dependencies.graph.unresolved))
            if self.cluster.dependencies.graph.unresolved:
                await asyncio.sleep(REREAD_INTERVAL_S)  # accepted a moment ago: the watch brings it

    async def _read(self, unknown: list[str]) -> None:
        """Some together, one request at a time."""
        while unknown and not self._leader.stopped:
            try:
                found, asked = await self.state.get_many(JOBS_PREFIX, unknown)
            except (NoResponseError, RequestRefusedError):
                await asyncio.sleep(jitter(RETRY_INTERVAL))
                return
            for job_id in asked:
                record = found[job_id][0] if job_id in found else {}
                self._apply_state(job_id, str(record.get("state")), int(record.get("ended", 0)))
            unknown = unknown[len(asked) :]
            self._leader.wake()
            await asyncio.sleep(READ_INTERVAL_S)

    def _apply_state(self, job_id: str, state: str, ended: int) -> None:
        """Its record says so: a terminal state holds for good, anything else may have changed since."""
        if state == wire.JobStatus.COMPLETED:
            self.cluster.dependencies.on_completion_recorded(job_id, ended)
        elif state == wire.JobStatus.CANCELLED:
            self.cluster.dependencies.cancel_dependents(job_id)
        elif state == wire.JobStatus.FAILED or job_id in self.cluster.jobs:
            self.cluster.dependencies.graph.mark_resolved(job_id)
