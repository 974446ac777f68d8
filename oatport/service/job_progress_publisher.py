"""Publishes the counts of completed and running tasks to all nodes, which show them to users."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

from oatport import wire
from oatport.clients.http import NoResponseError
from oatport.clients.peer import PeerClient
from oatport.control.state.job import Job
from oatport.peer_messages import JobProgressUpdate
from oatport.service.leader_context import LeaderContext

INTERVAL_S = 1.0
MAX_JOBS_PER_UPDATE = 4_000  # so many of the longest ids and counts fit into a message between nodes
FULL_UPDATE_ROUNDS = 10  # rounds between full updates, for nodes that were restarted and have no counts


class JobProgressPublisher:
    """Sends changed counts every second, and all counts every ten seconds."""

    def __init__(self, leader: LeaderContext) -> None:
        self._leader = leader

    async def loop(self) -> None:
        """Publishes counts until the leader stops."""
        rounds = 0
        self._leader.node.job_progress.clear()
        while not self._leader.stopped:
            await asyncio.sleep(INTERVAL_S)
            rounds += 1
            update = self._collect(full=rounds % FULL_UPDATE_ROUNDS == 0)
            for part in split_update(update):
                for peer in self._leader.node.peers.values():
                    self._leader.background.spawn("job progress", _notify(peer, part))

    def _collect(self, *, full: bool) -> JobProgressUpdate:
        """Updates this node's counts, and returns the changes to send to the other nodes."""
        cluster, counts = self._leader.cluster, self._leader.node.job_progress
        jobs = cluster.jobs
        dirty = list(cluster.jobs_with_changed_counts)
        cluster.jobs_with_changed_counts.clear()
        changed: dict[str, tuple[int, int]] = {}
        for job in jobs.values() if full else dirty:
            count = _completed_and_running(job)
            if job.job_id in jobs and (full or counts.get(job.job_id) != count):
                counts[job.job_id] = changed[job.job_id] = count
        removed = [job_id for job_id in counts if job_id not in jobs]
        for job_id in removed:
            del counts[job_id]
        return JobProgressUpdate(changed, removed)


def split_update(update: JobProgressUpdate) -> Iterator[JobProgressUpdate]:
    """Yields the parts of an update, each of at most MAX_JOBS_PER_UPDATE changed and removed jobs."""
    changed = list(update.changed.items())
    for first in range(0, max(len(changed), len(update.removed)), MAX_JOBS_PER_UPDATE):
        last = first + MAX_JOBS_PER_UPDATE
        yield JobProgressUpdate(dict(changed[first:last]), update.removed[first:last])


def _completed_and_running(job: Job) -> tuple[int, int]:
    running = sum(
        1 for task in job.tasks.values() if task.status in (wire.TaskStatus.RUNNING, wire.TaskStatus.CHECKPOINTING)
    )
    return len(job.completed), running


async def _notify(peer: PeerClient, update: JobProgressUpdate) -> None:
    with contextlib.suppress(NoResponseError):
        await peer.notify(update)
