"""A controller node: its components, its lifecycle, and the responses that depend on the node as a whole.

Leadership is in `election` and `handover`, contact with the other nodes in `peer_contact`, contact with the state
service in `state_service_contact`, and the work of a leader in `leader`.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from typing import TYPE_CHECKING, Any

from oatport import wire
from oatport.api.heartbeat_api import handle_heartbeat
from oatport.api.job_api import JobApi
from oatport.api.peer_api import PeerApi
from oatport.api.server import BodyReader, Response
from oatport.clients.peer import PeerClient
from oatport.clients.state import StateClient
from oatport.control.leadership.election_priority import ElectionPriority
from oatport.control.limits.connection_budget import ConnectionBudget
from oatport.control.placement.retry_policy import RetryPolicies
from oatport.peer_messages import (
    CancellationWatermarkRequest,
    CompletionsRequest,
    ConfirmedCancellationsRequest,
    ExplainJob,
    Handover,
    JobAccepted,
    JobCancelled,
    JobProgressUpdate,
    LeaseProxyStateRequest,
    Ping,
    ProbeWorkers,
    ReplicateCompletions,
    SchemaVersionRequest,
)
from oatport.service.background_tasks import BackgroundTasks
from oatport.service.catalog import CatalogReader
from oatport.service.completion_replication import CompletionReplicator
from oatport.service.election import Election
from oatport.service.handover import LeadershipHandover
from oatport.service.leader import Leader
from oatport.service.leader_context import EarlierCompletions
from oatport.service.lease_proxy_service import LeaseProxyService
from oatport.service.network import HttpNetwork, Network
from oatport.service.peer_contact import PeerContact
from oatport.service.peer_notifications import PeerNotifier
from oatport.service.peer_status import PeerStatus
from oatport.service.state_service_contact import StateServiceContact
from oatport.settings import Settings, Tuning
from oatport.times import steady

if TYPE_CHECKING:
    from oatport.windows.settings import WindowSettings

log = logging.getLogger(__name__)

MAX_PEER_BODY_BYTES = 1024 * 1024
OVERLOADED_HEADERS = {"Retry-After": "2", "Connection": "close"}


class Node:
    """Runs one process of the service, as a follower or the leader; serves users, workers and the other nodes."""

    def __init__(
        self,
        settings: Settings,
        tuning: Tuning,
        windows: WindowSettings | None = None,
        retry_policies: RetryPolicies | None = None,
        net: Network | None = None,
        boot: str = "",
    ) -> None:
        """Creates the node; `boot` distinguishes this process from earlier ones of the same name (default: random)."""
        sockets = settings.cluster.resources.sockets
        self.settings, self.tuning = settings, tuning
        self._windows, self._retry_policies = windows, retry_policies
        self.net = net or HttpNetwork(sockets)
        self.connection_budget = ConnectionBudget(sockets)
        self.node_name = settings.node_name
        self.boot_id = boot or secrets.token_hex(6)
        self.types: dict[str, wire.MachineType] = {}
        # Job id -> counts of completed and running tasks, as shown to users.
        self.job_progress: dict[str, tuple[int, int]] = {}
        self.peers: dict[str, PeerClient] = {}
        self.background = BackgroundTasks()
        self.state: StateClient  # set by `run`, like `users`
        self.user_api: JobApi
        self.lease_proxy = LeaseProxyService(self, settings.cluster)
        self.peer_notifier = PeerNotifier(self, settings.cluster)
        self.completion_replicator = CompletionReplicator(self)
        self.peer_status = PeerStatus(settings)
        priority = ElectionPriority(settings)
        self.election = Election(
            self, self.net, self.peer_status, priority, self._make_leader, self.completion_replicator.on_deposed
        )
        self.handover = LeadershipHandover(self, self.election, self.peer_status, priority)
        self._state_service_contact = StateServiceContact(self, self.election, self.handover)
        self._peer_contact = PeerContact(
            self, self.net, self.election, self.handover, self.peer_status, self.lease_proxy, self.peer_notifier
        )
        self._catalog_reader = CatalogReader(self)
        self._was_ever_ready = False

    # --- lifecycle --------------------------------------------------------------------------

    async def run(self) -> None:
        """Serves until cancelled."""
        net = self.net
        net.open()
        self.state = StateClient(net, self.settings.services.state)
        self.user_api = JobApi(self.settings, self.state, self)
        for peer in self.settings.peers:
            self.peers[peer.node_name] = PeerClient(net, peer.node_name, peer.endpoint)
        servers = [
            net.server(self.settings.internal_addr, self.peer_api().handle, MAX_PEER_BODY_BYTES),
            net.server(self.settings.bind, self.handle),
        ]
        for server in servers:
            await server.start()
        log.info("node started node=%s zone=%s address=%s", self.node_name, self.settings.zone, self.settings.bind)
        self._start_loops()
        try:
            await asyncio.Event().wait()
        finally:
            self.step_down("shutting down")
            self.background.close()
            for server in servers:
                await server.close()
            await net.close()

    def _start_loops(self) -> None:
        background = self.background
        background.supervise("election", self.election.loop)
        background.supervise("leader key watch", self.election.watch_loop)
        background.supervise("catalog", self._catalog_reader.loop)
        background.supervise("state service contact", self._state_service_contact.loop)
        background.supervise("confirmed cancellations", self.peer_notifier.collect_loop)
        background.supervise("completions", self.completion_replicator.loop)
        background.spawn("restore completions", self.completion_replicator.restore())
        for name, client in self.peers.items():
            background.supervise(f"ping {name}", lambda client=client: self._peer_contact.ping_loop(client))  # type: ignore[misc]

    def peer_api(self) -> PeerApi:
        """Returns the handlers of the messages that other nodes send."""
        api, contact = PeerApi(), self._peer_contact
        api.on(Ping, contact.on_ping)
        api.on(JobAccepted, self.peer_notifier.on_job_hint)
        api.on(JobCancelled, self.peer_notifier.on_job_hint)
        api.on(JobProgressUpdate, contact.on_job_progress)
        api.on(ProbeWorkers, contact.on_probe)
        api.on(Handover, self.election.on_handover)
        api.on(CancellationWatermarkRequest, self.lease_proxy.on_watermark_request)
        api.on(LeaseProxyStateRequest, self.lease_proxy.on_proxy_state_request)
        api.on(ExplainJob, contact.on_explain)
        api.on(SchemaVersionRequest, contact.on_schema_version)
        api.on(ConfirmedCancellationsRequest, self.peer_notifier.on_confirmed_cancellations_request)
        api.on(ReplicateCompletions, self.completion_replicator.on_replicate)
        api.on(CompletionsRequest, self.completion_replicator.on_request)
        return api

    async def handle(self, method: str, path: str, body: BodyReader) -> Response:
        """Answers a request of a worker or a user."""
        if path == wire.HEARTBEAT_PATH:
            return await handle_heartbeat(self, method, body)
        connections = self.net.open_connections()
        if self.connection_budget.is_exhausted(connections) and path != wire.READY_PATH:
            return Response(503, {"error": "no connections left"}, dict(OVERLOADED_HEADERS))
        response = await self.user_api.handle(method, path, body)
        if self.connection_budget.should_close_after_response(connections):
            response.headers["Connection"] = "close"
        return response

    # --- leadership -------------------------------------------------------------------------

    @property
    def leader(self) -> Leader | None:
        """Returns the `Leader` of this node, or None while the node does not lead."""
        return self.election.leader

    @property
    def last_other_leader(self) -> str:
        """Returns the name of the last known leader other than this node, or "" if there was none."""
        return self.election.last_other_leader

    def _make_leader(self, token: int, lease: int, requested_at: int) -> Leader:
        return Leader(
            self,
            self.settings,
            self.tuning,
            self.net,
            self.state,
            token,
            lease,
            requested_at,
            self._windows,
            self._retry_policies,
        )

    def step_down(self, reason: str) -> None:
        """Stops leading, if this node leads, so that other nodes can take over."""
        self.election.step_down(reason)

    def leading_peer(self) -> PeerClient | None:
        """Returns the peer that leads, or None if no leading peer is known."""
        return self.peers.get(self.election.leader_name or "")

    def mark_workers_unreachable(self, addresses: list[str]) -> None:
        """Records that a peer reaches these workers and this node does not."""
        self.election.mark_workers_unreachable(addresses)

    def peer_contact_times(self) -> dict[str, list[int]]:
        """Returns the times of the peers' last answers (steady), by zone."""
        return self.peer_status.contact_times_by_zone()

    async def completions_before(self, token: int) -> EarlierCompletions:
        """Returns the completions that leaders before this token received and may not have recorded."""
        return await self.completion_replicator.completions_before(token)

    # --- heartbeats -------------------------------------------------------------------------

    def answer_heartbeat(self, heartbeat: wire.Heartbeat) -> dict[str, Any] | None:
        """Returns the response to a heartbeat, or None if this node may not renew leases now."""
        if self.leader is not None:
            return self.leader.answer_heartbeat(heartbeat)
        if not self.lease_proxy.may_answer(heartbeat):
            return None
        return wire.heartbeat_response(heartbeat.fencing_token, [])  # a response without commands only renews the lease

    def leader_name(self) -> str | None:
        """Returns the name of the node to which workers should send heartbeats, or None if that node is not known."""
        return self.lease_proxy.redirect_target(self.election.leader_name)

    # --- users ------------------------------------------------------------------------------

    def state_service_answers(self) -> bool:
        """Returns whether the state service answers this node."""
        return self._state_service_contact.answers()

    def is_ready(self) -> bool:
        """Returns whether this node is ready.

        A node that the state service does not answer is unready only if the state service answers a peer: in an outage
        for all nodes, staying ready costs least. Before its first contact with the state service a node is never ready.
        """
        if self.state_service_answers():
            self._was_ever_ready = True
            return True
        if not self._was_ever_ready:
            return False
        return not self.peer_status.any_reaches_state_service(steady())

    def notify_accepted(self, job_id: str, record: dict[str, Any], revision: int) -> None:
        """Sends the leader a hint that a job was accepted; called before the user is answered."""
        self.peer_notifier.notify_accepted(job_id, record, revision)

    def notify_cancelled(self, job_id: str, revision: int = 0) -> None:
        """Records a cancellation and sends the leader a hint; called before the user is answered."""
        self.peer_notifier.notify_cancelled(job_id, revision)
