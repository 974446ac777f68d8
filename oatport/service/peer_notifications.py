"""Sends the leader hints about users' jobs, and collects confirmed cancellations while the records can't be read.

A node notifies the leader at once of each accepted or cancelled job. This is only a hint that saves time, since the
leader watches the records. While the leader can't read them, it asks each node which cancellations that node confirmed
to users (`control/state/cancellations.py`).
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from oatport.clients.http import NoResponseError, jitter
from oatport.clients.peer import PeerClient
from oatport.control.state.cancellations import CancellationLog, ConfirmedCancellations
from oatport.peer_codec import MalformedReplyError, PeerMessage
from oatport.peer_messages import (
    ConfirmedCancellationsReply,
    ConfirmedCancellationsRequest,
    JobAccepted,
    JobCancelled,
    Ok,
)
from oatport.service.background_tasks import BackgroundTasks
from oatport.service.leader import Leader
from oatport.settings import ClusterSettings
from oatport.times import MS, micros, steady

COLLECT_INTERVAL = 400 * MS
RECORDS_STALE_AFTER = 2_500 * MS  # the job watch returns every second while the state service answers
NOTIFY_ATTEMPTS = 2
NOTIFY_RETRY_INTERVAL = 100 * MS


class NotifyingNode(Protocol):
    """Defines what `PeerNotifier` uses of its node."""

    peers: dict[str, PeerClient]
    background: BackgroundTasks

    @property
    def leader(self) -> Leader | None:
        """Returns the `Leader` of this node, or None while the node does not lead."""

    def leading_peer(self) -> PeerClient | None:
        """Returns the peer that leads, or None if no leading peer is known."""


async def notify_with_retry(peer: PeerClient, message: PeerMessage) -> None:
    """Sends a message, with one retry if no response arrives; both attempts may be lost."""
    for _ in range(NOTIFY_ATTEMPTS):
        try:
            await peer.notify(message)
            return
        except NoResponseError:
            await asyncio.sleep(jitter(NOTIFY_RETRY_INTERVAL))


class PeerNotifier:
    """Passes hints about jobs to the leader, and records which cancellations this node confirmed to users."""

    def __init__(self, node: NotifyingNode, settings: ClusterSettings) -> None:
        self._node = node
        self.confirmed_cancellations = CancellationLog(steady(), 2 * micros(settings.workers.cancel_s))

    # --- hints ------------------------------------------------------------------------------

    def notify_accepted(self, job_id: str, record: dict[str, Any], revision: int) -> None:
        """Sends the leader a hint that a job was accepted with this record."""
        self._send_hint(JobAccepted(job_id, record, revision))

    def notify_cancelled(self, job_id: str, revision: int = 0) -> None:
        """Records a cancellation and sends the leader a hint; called before each confirmation is sent to a user.

        `revision` is that of this node's own commit, which also marked the job's live record; it is 0 if this node
        observed the cancellation in another way.
        """
        is_new = self.confirmed_cancellations.record(job_id, steady())
        if is_new and (revision or self._node.leader is not None):
            self._send_hint(JobCancelled(job_id, None, revision))

    def _send_hint(self, hint: JobAccepted | JobCancelled) -> None:
        leader, peer = self._node.leader, self._node.leading_peer()
        if leader is not None:
            leader.on_job_hint(hint)
        elif peer is not None:
            self._node.background.spawn("job hint", notify_with_retry(peer, hint))

    async def on_job_hint(self, hint: JobAccepted | JobCancelled) -> Ok:
        """Handles a hint that another node accepted a job or confirmed its cancellation."""
        if self._node.leader is not None:
            self._node.leader.on_job_hint(hint)
        return Ok()

    # --- cancellations while the records can't be read ------------------------------------------

    async def on_confirmed_cancellations_request(
        self, request: ConfirmedCancellationsRequest
    ) -> ConfirmedCancellationsReply:
        """Returns the cancellations that this node confirmed within `request.age_us` before the request was sent."""
        confirmed = self.confirmed_cancellations.confirmed_within(steady(), request.age_us)
        return ConfirmedCancellationsReply(confirmed.complete_within_us, confirmed.job_ids)

    async def collect_loop(self) -> None:
        """Collects confirmed cancellations from all nodes while this node leads and the records can't be read."""
        while True:
            leader = self._node.leader
            if (
                leader is not None
                and leader.loaded
                and steady() - leader.lease_renewal_limit.cancellations_read_at > RECORDS_STALE_AFTER
            ):
                await self.collect(leader)
            await asyncio.sleep(jitter(COLLECT_INTERVAL))

    async def collect(self, leader: Leader) -> None:
        """Carries out confirmed cancellations, and advances the watermark if all nodes gave complete replies."""
        requested_at, since = steady(), leader.lease_renewal_limit.cancellations_read_at
        request = ConfirmedCancellationsRequest(requested_at - since)
        replies = await asyncio.gather(
            *(peer.ask(request, ConfirmedCancellationsReply.decode) for peer in self._node.peers.values()),
            return_exceptions=True,
        )
        answered_at = steady()
        if leader is not self._node.leader:
            return
        complete = True
        job_ids: dict[str, None] = {}
        own = self.confirmed_cancellations.confirmed_within(steady(), answered_at - since)
        for reply in (ConfirmedCancellationsReply(own.complete_within_us, own.job_ids), *replies):
            if isinstance(reply, NoResponseError | MalformedReplyError):
                complete = False  # the peer is unreachable, runs an earlier version, or sent a malformed reply
                continue
            if isinstance(reply, BaseException):
                raise reply
            job_ids |= dict.fromkeys(reply.job_ids)
            confirmed = ConfirmedCancellations(reply.job_ids, reply.complete_us)
            complete = complete and confirmed.is_complete_since(since, requested_at, answered_at)
        for job_id in job_ids:
            leader.on_job_hint(JobCancelled(job_id, None, 0))
        if complete:
            leader.lease_renewal_limit.on_cancellations_read(requested_at)
