"""Replication of completions that no record has yet: from the leader to the other nodes, and to the next leader.

A leader that ends loses what it received and did not record, but not what it replicated to the other nodes
(`control/state/completions.py`).
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from oatport.clients.http import NoResponseError, RequestNotSentError, jitter
from oatport.clients.peer import PeerClient, UnexpectedReplyError
from oatport.control.state.completions import CompletionLog
from oatport.peer_codec import MalformedReplyError
from oatport.peer_messages import CompletionsReply, CompletionsRequest, Ok, ReplicateCompletions
from oatport.service.background_tasks import BackgroundTasks
from oatport.service.leader import Leader
from oatport.service.leader_context import EarlierCompletions
from oatport.service.peer_notifications import notify_with_retry
from oatport.times import MS, seconds

REPLICATION_INTERVAL = 50 * MS  # the shorter, the less is lost with a leader that ends
REQUEST_TIMEOUT = 300 * MS  # a failover waits no longer for what others know
DEPOSED_RETRY_INTERVAL = 300 * MS
DEPOSED_TRIES = 60  # a deposed leader's, at peers that it doesn't reach


class ReplicatingNode(Protocol):
    """The node that it belongs to."""

    peers: dict[str, PeerClient]
    background: BackgroundTasks

    @property
    def leader(self) -> Leader | None:
        """What acts as the leader on this node."""

    @property
    def last_other_leader(self) -> str:
        """The last leader known beside this node; "" if there was none."""


class CompletionReplicator:
    """Sends a leader's unrecorded completions to the other nodes, and keeps theirs."""

    def __init__(self, node: ReplicatingNode) -> None:
        self._node = node
        self.log = CompletionLog()

    async def on_replicate(self, message: ReplicateCompletions) -> Ok:
        """A leader sends what it received."""
        self.log.add(message.fencing_token, message.completions)
        leader = self._node.leader
        if leader is not None and message.fencing_token < leader.token:
            leader.apply_completions(message.completions)
        return Ok()

    async def on_request(self, request: CompletionsRequest) -> CompletionsReply:
        """A new leader asks for what earlier ones did not record, as far as this node knows."""
        return CompletionsReply(self.log.before_token(request.before_token))

    async def loop(self) -> None:
        """As the leader: send unrecorded completions at once, and first of all an empty list, which says who leads."""
        announced_token = 0
        while True:
            leader = self._node.leader
            if leader is not None and leader.loaded:
                new = leader.cluster.completions.drain_new()
                if new or leader.token != announced_token:
                    announced_token = leader.token
                    message = ReplicateCompletions(leader.token, new)
                    for peer in self._node.peers.values():
                        self._node.background.spawn("completions", notify_with_retry(peer, message))
            await asyncio.sleep(seconds(REPLICATION_INTERVAL))

    def on_deposed(self, leader: Leader) -> None:
        """Send what a leader leaves unrecorded to the others, who may not be reached just now."""
        unrecorded = leader.cluster.completions.to_replicate()
        self.log.add(leader.token, unrecorded)
        if unrecorded:
            message = ReplicateCompletions(leader.token, unrecorded)
            for peer in self._node.peers.values():
                self._node.background.spawn("completions", self._notify_until_received(peer, message))

    async def _notify_until_received(self, peer: PeerClient, message: ReplicateCompletions) -> None:
        for _ in range(DEPOSED_TRIES):
            try:
                await peer.notify(message)
                return
            except NoResponseError:
                await asyncio.sleep(jitter(DEPOSED_RETRY_INTERVAL))

    async def completions_before(self, token: int) -> EarlierCompletions:
        """What leaders before this token received and did not record, as far as any node knows.

        Not complete if no node knows anything, or the last leader may know more and can't be asked, since it is
        partitioned or paused. One whose process ended knows nothing any more.
        """
        request = CompletionsRequest(token)
        replies = await asyncio.gather(
            *(
                peer.ask(request, CompletionsReply.decode_reply, timeout_us=REQUEST_TIMEOUT)
                for peer in self._node.peers.values()
            ),
            return_exceptions=True,
        )
        known = [self.log.before_token(token)]
        complete = True
        for name, reply in zip(self._node.peers, replies, strict=True):
            if self._may_know_more(name, reply):
                complete = False
            if isinstance(reply, NoResponseError | MalformedReplyError):
                continue  # away, of an earlier version, or strange: less is known, and nothing else follows
            if isinstance(reply, BaseException):
                raise reply
            known.append(reply.completions)
        logs = [completions for completions in known if completions is not None]
        merged = list(dict.fromkeys(completion for completions in logs for completion in completions))
        return EarlierCompletions(merged, complete and bool(logs))

    def _may_know_more(self, name: str, reply: CompletionsReply | BaseException) -> bool:
        """It may have led last, and did not answer; where no last leader is known that may be any node."""
        unreached = isinstance(reply, NoResponseError) and not isinstance(
            reply, RequestNotSentError | UnexpectedReplyError
        )
        return unreached and name == (self._node.last_other_leader or name)
