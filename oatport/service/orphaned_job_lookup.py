"""Looks up the jobs of orphaned attempts, which a machine reports but which are in none of the leader's records.

Until the team of such an attempt is known, no team has any quota left.
"""

from __future__ import annotations

from oatport import wire
from oatport.clients.http import NoResponseError, RequestRefusedError
from oatport.control.storage.job_records import decode_job
from oatport.control.storage.keys import job_key
from oatport.service.leader_context import LeaderContext

MAX_CONCURRENT_LOOKUPS = 4


class OrphanedJobLookup:
    """Reads the job records of orphaned attempts, a few at a time."""

    def __init__(self, leader: LeaderContext) -> None:
        self._leader = leader
        self.in_flight: set[str] = set()  # job ids

    def look_up(self) -> None:
        """Starts to read the records of jobs whose teams are unknown."""
        for job_id in [
            job_id for job_id in self._leader.cluster.quotas.attempts_of_unknown_jobs if job_id not in self.in_flight
        ]:
            if len(self.in_flight) >= MAX_CONCURRENT_LOOKUPS:
                return  # outdated heartbeats may name hundreds of ended jobs; lease renewals and users have priority
            self.in_flight.add(job_id)
            self._leader.background.spawn("orphaned job lookup", self.read(job_id))

    async def read(self, job_id: str) -> None:
        """Reads the record of one job, resolves its attempts, and starts further lookups."""
        try:
            found = await self._leader.state.get(job_key(job_id)) if wire.is_job_id(job_id) else None
        except (NoResponseError, RequestRefusedError):
            return  # the maintenance loop retries the lookup
        finally:
            self.in_flight.discard(job_id)
        spec = None if found is None else decode_job(found[0]).spec()
        self._leader.cluster.orphans.resolve(job_id, spec)
        self.look_up()
        self._leader.wake()
