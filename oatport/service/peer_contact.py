"""Contact with the other nodes: pings in both directions, and handlers of probes, queries and progress updates."""

from __future__ import annotations

import asyncio

from oatport.clients.http import NoResponseError, jitter
from oatport.clients.peer import PeerClient
from oatport.clients.worker import count_reachable
from oatport.control.storage.schema_version import SCHEMA_VERSION
from oatport.peer_codec import MalformedReplyError
from oatport.peer_messages import (
    ExplainJob,
    JobExplanation,
    JobProgressUpdate,
    No,
    Ok,
    Ping,
    Pong,
    ProbeResult,
    ProbeWorkers,
    SchemaVersionReply,
    SchemaVersionRequest,
    decode_explanation,
)
from oatport.service.election import Election
from oatport.service.handover import LeadershipHandover
from oatport.service.lease_proxy_service import LeaseProxyService
from oatport.service.network import Network
from oatport.service.node_context import NodeContext
from oatport.service.peer_notifications import PeerNotifier
from oatport.service.peer_status import PeerStatus
from oatport.times import MS, steady

PING_INTERVAL = 700 * MS


class PeerContact:
    """Pings all peers while the node runs, and answers peers' pings and requests."""

    def __init__(
        self,
        node: NodeContext,
        net: Network,
        election: Election,
        handover: LeadershipHandover,
        peer_status: PeerStatus,
        lease_proxy: LeaseProxyService,
        peer_notifier: PeerNotifier,
    ) -> None:
        self._node = node
        self._net = net
        self._election = election
        self._handover = handover
        self._peer_status = peer_status
        self._lease_proxy = lease_proxy
        self._peer_notifier = peer_notifier

    async def ping_loop(self, peer: PeerClient) -> None:
        """Pings one peer until cancelled, to learn which node leads and whether the state service answers the peer."""
        while True:
            try:
                await self._ping(peer)
            except (NoResponseError, MalformedReplyError):
                self._peer_status.mark_unreachable(peer.name)
            await asyncio.sleep(jitter(PING_INTERVAL))

    async def _ping(self, peer: PeerClient) -> None:
        leader = self._election.leader
        node, election = self._node, self._election
        ping = Ping(node.node_name, election.leader_name, election.leader_token, node.state_service_answers())
        pong = await peer.ask(ping, Pong.decode_reply)
        self._peer_status.record_contact(peer.name)
        election.observe_leader(pong.leader_name, pong.leader_token)
        self._peer_status.update(pong.node_name, pong.state_service_answers)
        if leader is not None and leader is election.leader and pong.state_service_answers:
            await self._handover.hand_over_if_isolated(leader, peer)
        if election.leader is not None:
            return
        if peer.name == election.leader_name:
            await self._lease_proxy.refresh_from_leader(peer)
        elif not node.state_service_answers():
            await self._lease_proxy.refresh_from_proxy(peer)

    async def on_ping(self, ping: Ping) -> Pong:
        """Applies a peer's status and returns this node's."""
        self._election.observe_leader(ping.leader_name, ping.leader_token)
        self._peer_status.update(ping.node_name, ping.state_service_answers)
        quiet_us = self._peer_notifier.confirmed_cancellations.quiet_us(steady())
        election = self._election
        return Pong(
            self._node.node_name,
            election.leader_name,
            election.leader_token,
            self._node.state_service_answers(),
            quiet_us,
        )

    async def on_job_progress(self, update: JobProgressUpdate) -> Ok:
        """Applies the task counts that users are shown, sent by the leader."""
        self._node.job_progress.update(update.changed)
        for job_id in update.removed:
            self._node.job_progress.pop(job_id, None)
        return Ok()

    async def on_probe(self, probe: ProbeWorkers) -> ProbeResult:
        """Returns how many of these workers this node reaches, and whether the state service answers it."""
        reached = await count_reachable(self._net, probe.addresses)
        return ProbeResult(reached, self._node.state_service_answers())

    async def on_explain(self, request: ExplainJob) -> JobExplanation | No:
        """Returns why a job is waiting; operators ask on the internal address, and the leader provides the reply."""
        leader = self._election.leader
        if leader is not None:
            return JobExplanation(leader.explain(request.job_id))
        peer = self._node.leading_peer()
        if peer is None or request.forwarded:
            return No("no leader is known: ask again in a few seconds")
        return await peer.ask(ExplainJob(request.job_id, forwarded=True), decode_explanation)

    async def on_schema_version(self, request: SchemaVersionRequest) -> SchemaVersionReply:
        """Returns the schema version that this process reads."""
        return SchemaVersionReply(self._node.node_name, self._node.boot_id, SCHEMA_VERSION)
