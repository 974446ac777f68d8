"""Replicates unrecorded completions from the leader to the other nodes, and from them to the next leader.

If a leader's process ends, completions that it received but did not record are lost unless they were replicated
(`control/state/completions.py`).
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from oatport.clients.http import NoResponseError, RequestNotSentError, jitter
from oatport.clients.peer import PeerClient, UnexpectedReplyError
from oatport.control.state.completions import MAX_COMPLETIONS, CompletionLog
from oatport.peer_codec import MalformedReplyError
from oatport.peer_messages import CompletionsReply, CompletionsRequest, Ok, ReplicateCompletions
from oatport.service.background_tasks import BackgroundTasks
from oatport.service.leader import Leader
from oatport.service.leader_context import EarlierCompletions
from oatport.service.peer_notifications import notify_with_retry
from oatport.times import MS, seconds

REPLICATION_INTERVAL = 50 * MS  # a shorter interval loses fewer completions when a leader's process ends
REQUEST_TIMEOUT = 300 * MS  # limits how long a failover waits for the peers' completions
DEPOSED_RETRY_INTERVAL = 300 * MS
DEPOSED_NOTIFY_ATTEMPTS = 60  # by a deposed leader, to send its completions to an unreachable peer
RESTORE_RETRY_INTERVAL = 500 * MS
RESTORE_ATTEMPTS = 120  # by a process that has begun, to ask an unreachable peer
ANY_TOKEN = 2**62  # higher than every fencing token


class ReplicatingNode(Protocol):
    """Defines what `CompletionReplicator` uses of its node."""

    peers: dict[str, PeerClient]
    background: BackgroundTasks

    @property
    def leader(self) -> Leader | None:
        """Returns the `Leader` of this node, or None while the node does not lead."""

    @property
    def last_other_leader(self) -> str:
        """Returns the name of the last known leader other than this node, or "" if there was none."""


class CompletionReplicator:
    """Sends a leader's unrecorded completions to the other nodes, and stores those received from other leaders."""

    def __init__(self, node: ReplicatingNode) -> None:
        self._node = node
        self.log = CompletionLog()

    async def on_replicate(self, message: ReplicateCompletions) -> Ok:
        """Handles completions replicated by a leader."""
        self.log.add(message.fencing_token, message.completions)
        leader = self._node.leader
        if leader is not None and message.fencing_token < leader.token:
            leader.apply_completions(message.completions)
        return Ok()

    async def on_request(self, request: CompletionsRequest) -> CompletionsReply:
        """Returns the unrecorded completions of leaders before a token: those that this node received or stored."""
        stored = self.log.before_token(request.before_token)
        leader = self._node.leader
        if leader is None or not leader.loaded or leader.token >= request.before_token:
            return CompletionsReply(stored)
        return CompletionsReply([*leader.cluster.completions.to_replicate(), *(stored or ())][:MAX_COMPLETIONS])

    async def restore(self) -> None:
        """Copies the peers' completions after the start of this process, which has lost those of its predecessor.

        Without this, two nodes that restarted one after the other in an outage lost completions that both had held.
        """
        await asyncio.gather(*(self._restore_from(peer) for peer in self._node.peers.values()))

    async def _restore_from(self, peer: PeerClient) -> None:
        request = CompletionsRequest(ANY_TOKEN)
        for _ in range(RESTORE_ATTEMPTS):
            try:
                reply = await peer.ask(request, CompletionsReply.decode_reply, timeout_us=REQUEST_TIMEOUT)
            except (UnexpectedReplyError, MalformedReplyError):
                return  # an earlier version
            except NoResponseError:
                await asyncio.sleep(seconds(RESTORE_RETRY_INTERVAL))
                continue
            if reply.completions is not None:
                self.log.restore(reply.completions)
            return

    async def loop(self) -> None:
        """Sends a leader's new completions to all peers; the first message may be empty, and announces the leader."""
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
        """Sends the unrecorded completions of a deposed leader to all peers, with retries for unreachable ones."""
        unrecorded = leader.cluster.completions.to_replicate()
        self.log.add(leader.token, unrecorded)
        if unrecorded:
            message = ReplicateCompletions(leader.token, unrecorded)
            for peer in self._node.peers.values():
                self._node.background.spawn("completions", self._notify_until_received(peer, message))

    async def _notify_until_received(self, peer: PeerClient, message: ReplicateCompletions) -> None:
        for _ in range(DEPOSED_NOTIFY_ATTEMPTS):
            try:
                await peer.notify(message)
                return
            except NoResponseError:
                await asyncio.sleep(jitter(DEPOSED_RETRY_INTERVAL))

    async def completions_before(self, token: int) -> EarlierCompletions:
        """Returns the completions that leaders before this token received but did not record, collected from all nodes.

        The result is incomplete if no node has any such log, or if the last leader may hold more and can't be asked
        because that node is partitioned or paused. A leader whose process has ended holds nothing.
        """
        request = CompletionsRequest(token)
        replies = await asyncio.gather(
            *(
                peer.ask(request, CompletionsReply.decode_reply, timeout_us=REQUEST_TIMEOUT)
                for peer in self._node.peers.values()
            ),
            return_exceptions=True,
        )
        replicated = [self.log.before_token(token)]
        complete = True
        for name, reply in zip(self._node.peers, replies, strict=True):
            if self._may_hold_more(name, reply):
                complete = False
            if isinstance(reply, NoResponseError | MalformedReplyError):
                continue  # skips a peer that is unreachable, runs an earlier version, or sent a malformed reply
            if isinstance(reply, BaseException):
                raise reply
            replicated.append(reply.completions)
        logs = [completions for completions in replicated if completions is not None]
        merged = list(dict.fromkeys(completion for completions in logs for completion in completions))
        return EarlierCompletions(merged, complete and bool(logs))

    def _may_hold_more(self, name: str, reply: CompletionsReply | BaseException) -> bool:
        """Returns whether this peer did not reply and may have been the last leader (any peer, if none is known)."""
        is_unanswered = isinstance(reply, NoResponseError) and not isinstance(
            reply, RequestNotSentError | UnexpectedReplyError
        )
        return is_unanswered and name == (self._node.last_other_leader or name)
