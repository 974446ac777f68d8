"""A controller node: serves users, follows or leads, and hands over when another is better placed."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
from typing import TYPE_CHECKING, Any

from oatport import wire
from oatport.api.heartbeat_api import handle_report
from oatport.api.job_api import JobApi
from oatport.api.peer_api import PeerApi
from oatport.api.server import Answer, BodyReader
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.clients.peer import PeerClient
from oatport.clients.state import Applied, LeaseExpiredError, StateClient
from oatport.clients.worker import count_reached
from oatport.control.leadership.election_priority import ElectionPriority
from oatport.control.limits.connection_budget import ConnectionBudget
from oatport.control.placement.retry_policy import RetryPolicies
from oatport.control.state.completions import Completion
from oatport.control.storage.recovery import UnknownMachineTypeError
from oatport.control.storage.schema_version import READS
from oatport.control.storage.write_buffer import LEADER_KEY
from oatport.peer_messages import (
    CancellationWatermarkRequest,
    CompletionsRequest,
    ConfirmedCancellationsRequest,
    ExplainJob,
    Handover,
    JobAccepted,
    JobCancelled,
    JobExplanation,
    JobProgressUpdate,
    LeaseProxyStateRequest,
    MalformedReplyError,
    No,
    Ok,
    Ping,
    Pong,
    ProbeResult,
    ProbeWorkers,
    ReplicateCompletions,
    SchemaVersionReply,
    SchemaVersionRequest,
    decode_explanation,
    is_ok,
)
from oatport.service.background_tasks import BackgroundTasks
from oatport.service.catalog import read_types
from oatport.service.leader import Leader
from oatport.service.lease_proxy_service import LeaseProxyService
from oatport.service.network import HttpNetwork, Network
from oatport.service.peer_notifications import PeerNotifier
from oatport.settings import Settings, Tuning
from oatport.times import MS, SECOND, micros, seconds, steady

if TYPE_CHECKING:
    from oatport.windows.settings import WindowSettings

log = logging.getLogger(__name__)

PING_EVERY = 700 * MS
SERVED_FRESH = 2 * SECOND
STAND_BACK = 6 * SECOND  # after giving the lead up, let others take it
NEXT_DOWN_FOR = 4 * SECOND
DEFER_CUT_OFF = 1_500 * MS
TAKE_WITHIN = 2 * SECOND  # a handover that was agreed to is off after this


class Node:
    def __init__(
        self,
        settings: Settings,
        tuning: Tuning,
        windows: WindowSettings | None = None,
        repeats: RetryPolicies | None = None,
        net: Network | None = None,
        boot: str = "",
    ) -> None:
        self.settings = settings
        self._net = net or HttpNetwork(settings.cluster.resources.sockets)
        self._sockets = ConnectionBudget(settings.cluster.resources.sockets)
        self.windows, self.repeats = windows, repeats
        self.tuning = tuning
        self.node_name = settings.node_name
        self.boot_id = boot or secrets.token_hex(6)  # tells this process from an earlier one of the same name
        self.types: dict[str, wire.MachineType] = {}
        self.job_progress: dict[str, tuple[int, int]] = {}
        self.peers: dict[str, PeerClient] = {}
        self.lease_proxy = LeaseProxyService(self, settings.cluster)
        self.peer_notifier = PeerNotifier(self, settings.cluster)
        self._election_priority = ElectionPriority(settings)
        self.group = BackgroundTasks()
        self.leader: Leader | None = None
        self.started = steady()
        self._leader_name: str | None = None
        self._leader_token = 0
        self.last_leader = ""
        self._lease_us = tuning.us("leader_lease_s")
        self._backoff_until = 0
        self._handover_token = 0  # token of a leader that handed over to this node
        self._handover_until = 0
        self._election = asyncio.Event()
        self._peer_state_service_answers: dict[str, tuple[bool, int]] = {}  # peer -> (served, as of)
        self._peer_contact_at: dict[str, int] = {}  # peer -> when it last answered
        self._ever_served = False
        self._successor_answered_at = self.started  # when the node after this one last answered
        self._unreachable_workers: list[
            str
        ] = []  # workers that it could not reach as the leader, while another node did

    # --- lifecycle --------------------------------------------------------------------------

    async def run(self) -> None:
        net = self._net
        net.open()
        self.state = StateClient(net, self.settings.services.state)
        self.users = JobApi(self.settings, self.state, self)
        for peer in self.settings.peers:
            self.peers[peer.node_name] = PeerClient(net, peer.node_name, peer.endpoint)
        servers = [
            net.server(self.settings.internal_addr, self.peer_api().handle, 1024 * 1024),
            net.server(self.settings.bind, self._handle),
        ]
        for server in servers:
            await server.start()
        log.info("node %s in %s serves on %s", self.node_name, self.settings.zone, self.settings.bind)
        self.group.keep("election", self._election_loop)
        self.group.keep("leader watch", self._leader_watch)
        self.group.keep("catalog", self._catalog_loop)
        self.group.keep("contact", self._contact_loop)
        self.group.keep("told", self.peer_notifier.loop)
        self.group.keep("ends", self.peer_notifier.ends_loop)
        for name, client in self.peers.items():
            self.group.keep(f"ping {name}", lambda client=client: self._ping_loop(client))  # type: ignore[misc]
        try:
            await asyncio.Event().wait()
        finally:
            self.step_down("shutting down")
            self.group.close()
            for server in servers:
                await server.close()
            await net.close()

    def peer_api(self) -> PeerApi:
        """What the other nodes may ask of this one."""
        api = PeerApi()
        api.on(Ping, self._on_ping)
        api.on(JobAccepted, self.peer_notifier.on_hint)
        api.on(JobCancelled, self.peer_notifier.on_hint)
        api.on(JobProgressUpdate, self._on_display)
        api.on(ProbeWorkers, self._on_probe)
        api.on(Handover, self._on_handover)
        api.on(CancellationWatermarkRequest, self.lease_proxy.on_carried_out)
        api.on(LeaseProxyStateRequest, self.lease_proxy.on_kept)
        api.on(ExplainJob, self._on_explain)
        api.on(SchemaVersionRequest, self._on_formats)
        api.on(ConfirmedCancellationsRequest, self.peer_notifier.on_told)
        api.on(ReplicateCompletions, self.peer_notifier.on_ends)
        api.on(CompletionsRequest, self.peer_notifier.on_ended)
        return api

    async def _handle(self, method: str, path: str, body: BodyReader) -> Answer:
        if path == wire.HEARTBEAT_PATH:
            return await handle_report(self, method, body)
        held = self._net.held()
        if self._sockets.full(held) and path != wire.READY_PATH:
            return Answer(503, {"error": "no connections left"}, {"Retry-After": "2", "Connection": "close"})
        answer = await self.users.handle(method, path, body)
        if self._sockets.closes(held):
            answer.headers["Connection"] = "close"
        return answer

    # --- reports ----------------------------------------------------------------------------

    def answer_heartbeat(self, report: wire.Heartbeat) -> dict[str, Any] | None:
        if self.leader is not None:
            return self.leader.answer_heartbeat(report)
        if not self.lease_proxy.take_report(report):
            return None
        return wire.heartbeat_response(report.fencing_token, [])  # it lives on; nothing starts, stops or is forgotten

    def leader_name(self) -> str | None:
        return self.lease_proxy.named(self._leader_name)

    # --- users ------------------------------------------------------------------------------

    def state_service_answers(self) -> bool:
        """The state service answers this node."""
        return self.state.ok_at > 0 and (
            steady() - self.state.ok_at < SERVED_FRESH or self.state.failed_at <= self.state.ok_at
        )

    def ready(self) -> bool:
        """Not ready only if another node is better placed: in an outage for all, staying costs least."""
        if self.state_service_answers():
            self._ever_served = True
            return True
        if not self._ever_served:
            return False
        now = steady()
        return not any(served and now - at < 3 * SECOND for served, at in self._peer_state_service_answers.values())

    async def completions_before(self, token: int) -> tuple[list[Completion], bool]:
        return await self.peer_notifier.completions_before(token)

    def tell_accepted(self, ref: str, record: dict[str, Any], revision: int) -> None:
        self.peer_notifier.accepted(ref, record, revision)

    def tell_cancelled(self, ref: str, revision: int = 0) -> None:
        self.peer_notifier.cancelled(ref, revision)

    # --- peers ------------------------------------------------------------------------------

    async def _on_ping(self, ping: Ping) -> Pong:
        self._learn_leader(ping.leader_name, ping.leader_token)
        self._peer_state_service_answers[ping.node_name] = (ping.state_service_answers, steady())
        return self._pong()

    def _pong(self) -> Pong:
        quiet = self.peer_notifier.cancellations.quiet(steady())
        return Pong(self.node_name, self._leader_name, self._leader_token, self.state_service_answers(), quiet)

    def leading_peer(self) -> PeerClient | None:
        return self.peers.get(self._leader_name or "")

    def _learn_leader(self, name: str | None, token: int) -> None:
        if token > self._leader_token:
            self._leader_name, self._leader_token = name, token
            self.last_leader = self.last_leader if name in (None, self.node_name) else str(name)
            if self.leader is not None and token > self.leader.token:
                self.step_down(f"{name} leads with token {token}")

    async def _on_display(self, update: JobProgressUpdate) -> Ok:
        self.job_progress.update(update.changed)
        for job_id in update.removed:
            self.job_progress.pop(job_id, None)
        return Ok()

    async def _on_probe(self, probe: ProbeWorkers) -> ProbeResult:
        """Which of these workers can this node reach? And does the state service answer it?"""
        reached = await self._reaches(probe.addresses)
        return ProbeResult(reached, self.state_service_answers())

    async def _on_handover(self, handover: Handover) -> Ok | No:
        if steady() > self._backoff_until and not self._unreachable_workers:
            try:
                # Asked just now: at the start of an outage for all, what was known a moment ago is wrong,
                # and without a leader nobody would keep the workers' leases alive until it ends.
                await self.state.get(LEADER_KEY)
            except (NoResponseError, RequestRefusedError):
                return No()
            self._handover_token = max(self._handover_token, handover.fencing_token)
            self._handover_until = steady() + TAKE_WITHIN
            self._election.set()
            return Ok()
        return No()

    async def _on_explain(self, question: ExplainJob) -> JobExplanation | No:
        """Why a job is held; asked by operators on the internal address, answered by the leader."""
        if self.leader is not None:
            return JobExplanation(self.leader.explain(question.job_id))
        peer = self.leading_peer()
        if peer is None or question.forwarded:
            return No("no leader is known: ask again in a few seconds")
        return await peer.ask(ExplainJob(question.job_id, forwarded=True), decode_explanation)

    async def _on_formats(self, request: SchemaVersionRequest) -> SchemaVersionReply:
        """What this process reads of what is stored. Earlier versions don't know the question."""
        return SchemaVersionReply(self.node_name, self.boot_id, READS)

    async def _ping_loop(self, peer: PeerClient) -> None:
        while True:
            lead = self.leader
            try:
                ping = Ping(self.node_name, self._leader_name, self._leader_token, self.state_service_answers())
                pong = await peer.ask(ping, Pong.decode_reply)
                self._peer_contact_at[peer.name] = steady()
                self._learn_leader(pong.leader_name, pong.leader_token)
                served = pong.state_service_answers
                self._peer_state_service_answers[pong.node_name] = (served, steady())
                if lead is self.leader and lead is not None and served and lead.state_service_down(steady()):
                    await self._hand_over(lead, peer, "the state service answers it")
                if self.leader is None and peer.name == self._leader_name:
                    await self.lease_proxy.ask_leader(peer)
                elif self.leader is None and not self.state_service_answers():
                    await self.lease_proxy.ask_keeper(peer)
            except (NoResponseError, MalformedReplyError):
                self._peer_state_service_answers.pop(peer.name, None)
            await asyncio.sleep(jitter(PING_EVERY))

    async def _offer(self, lead: Leader, peer: PeerClient) -> None:
        try:
            await self._hand_over(lead, peer, "workers could not go on from here")
        except NoResponseError as error:
            log.info("handover to %s: %s", peer.name, error)

    async def _hand_over(self, lead: Leader, peer: PeerClient, why: str) -> None:
        """That peer can do more."""
        lead.leader_lease.doubt(steady())  # it may take over though its answer is lost
        agreed = await peer.ask(Handover(lead.token), is_ok, timeout_us=2 * SECOND)
        if not agreed:
            lead.leader_lease.doubt_until = 0
        elif lead is self.leader:
            self.step_down(f"handed over to {peer.name}: {why}")

    # --- contact with the state service ---------------------------------------------------------

    async def _contact_loop(self) -> None:
        """Know whether the state service answers; as the leader, renew the lease first of all."""
        while True:
            lead = self.leader
            try:
                if lead is not None:
                    asked = steady()
                    await self.state.touch(lead.lease, min(self._lease_us // 2, SECOND))
                    lead.leader_lease.proven(asked)
                    better = self._better_placed()
                    if better is not None and lead is self.leader and lead.loaded:
                        self._successor_answered_at = steady()  # not again at once, if it does not want to
                        self.group.once("offer", self._offer(lead, better))  # renewals do not wait for it
                elif steady() - self.state.ok_at > SECOND:
                    await self.state.get(LEADER_KEY)
            except LeaseExpiredError:
                if lead is self.leader:
                    self.step_down("the lease ended")
            except (NoResponseError, RequestRefusedError) as error:
                log.debug("state service: %s", error)
                await asyncio.sleep(jitter(250 * MS))
                continue
            await asyncio.sleep(seconds(self._lease_us // 4 if lead is not None else 500 * MS))

    # --- leadership -------------------------------------------------------------------------

    def step_down(self, why: str) -> None:
        lead, self.leader = self.leader, None
        if lead is None:
            return
        log.warning("no longer leading: %s", why)
        self.peer_notifier.deposed(lead)
        lead.close()
        self._backoff_until = steady() + STAND_BACK
        if self._leader_name == self.node_name:
            self._leader_name = None
        if not self.group.closed:
            self.group.once("give up", self._release_leader_key(lead))

    async def _release_leader_key(self, lead: Leader) -> None:
        """Free the leader key at once, so that nobody has to wait for the lease to end."""
        with contextlib.suppress(NoResponseError, RequestRefusedError, LeaseExpiredError):
            await self.state.commit({LEADER_KEY: lead.token}, {}, [LEADER_KEY])

    async def _leader_watch(self) -> None:
        """Follow the leader key."""
        while True:
            try:
                found = await self.state.get(LEADER_KEY)
                revision = self._see_leader(found)
                while True:
                    result = await self.state.changes(LEADER_KEY, revision, 5 * SECOND)
                    if result is None:
                        break
                    revision, news = result
                    for item in news:
                        if item.get("set") == LEADER_KEY:
                            self._see_leader((item["value"], int(item["entryRev"])))
                        elif item.get("drop") == LEADER_KEY:
                            self._see_leader(None)
            except (NoResponseError, RequestRefusedError):
                await asyncio.sleep(jitter(300 * MS))

    def _see_leader(self, found: tuple[Any, int] | None) -> int:
        if found is None:
            if self.leader is None:
                self._leader_name = None
                self._election.set()
            return 0
        value, version = found
        self._learn_leader(value.get("node"), version)
        if value.get("node") == self.node_name and value.get("boot") != self.boot_id and self.leader is None:
            # Left by an earlier process of this node's: no use waiting for its lease to end.
            self._handover_token = version
            self._handover_until = steady() + TAKE_WITHIN
            self._election.set()
        return version

    async def _election_loop(self) -> None:
        while True:
            try:
                async with asyncio.timeout(1.0):
                    await self._election.wait()
            except TimeoutError:
                pass
            self._election.clear()
            if self.leader is not None or steady() < self._backoff_until:
                continue
            try:
                await self._run_for_leader()
            except (NoResponseError, RequestRefusedError, LeaseExpiredError) as error:
                log.debug("election: %s", error)
                await asyncio.sleep(jitter(200 * MS))

    async def _election_backoff(self) -> int:
        """How long to let the others go first, where they can do more as the leader."""
        if self._unreachable_workers:
            if not await self._reaches(self._unreachable_workers):
                return DEFER_CUT_OFF
            self._unreachable_workers = []
        return self._election_priority.deference(self._peer_state_service_answers)

    def _better_placed(self) -> PeerClient | None:
        """A node that should rather lead: the next one after it answers, while that after this node is down."""
        now = steady()
        if self._election_priority.next_answers(self.node_name, self._peer_state_service_answers):
            self._successor_answered_at = now
        if now - self._successor_answered_at < NEXT_DOWN_FOR:
            return None
        return next(
            (
                peer
                for name, peer in self.peers.items()
                if self._peer_state_service_answers.get(name, (False, 0))[0]
                and self._election_priority.next_answers(name, self._peer_state_service_answers)
            ),
            None,
        )

    def peer_contact_times(self) -> dict[str, list[int]]:
        heard: dict[str, list[int]] = {}
        for peer in self.settings.peers:
            if peer.node_name in self._peer_contact_at:
                heard.setdefault(peer.zone, []).append(self._peer_contact_at[peer.node_name])
        return heard

    def mark_workers_unreachable(self, addresses: list[str]) -> None:
        """These workers are reached by another node, but not by this one."""
        self._unreachable_workers = addresses

    async def _reaches(self, addresses: list[str]) -> int:
        """How many of these workers this node can reach."""
        return await count_reached(self._net, addresses)

    async def _run_for_leader(self) -> None:
        """Become the leader if there is none, or if the one there is handed over."""
        found = await self.state.get(LEADER_KEY)
        version = 0
        if found is None:
            await asyncio.sleep(seconds(await self._election_backoff()))
            found = await self.state.get(LEADER_KEY)
        if found is not None:
            self._learn_leader(found[0].get("node"), found[1])
            if found[1] != self._handover_token or steady() > self._handover_until:
                return
            version = found[1]
        held_at = steady()
        lease = await self.state.hold(self._lease_us)
        value = {"node": self.node_name, "boot": self.boot_id, "lease": lease}
        token = 0
        try:
            result = await self.state.commit({LEADER_KEY: version}, {LEADER_KEY: value}, lease=lease)
            if isinstance(result, Applied):
                token = result.revision
        except (NoResponseError, RequestRefusedError):
            # Unsure: read it back. A late one is conditioned on what it replaces.
            found = await self.state.get(LEADER_KEY)
            if found is not None and found[0].get("boot") == self.boot_id and found[0].get("lease") == lease:
                token = found[1]
        if token:
            await self._become_leader(token, lease, held_at)

    async def _become_leader(self, token: int, lease: int, held_at: int) -> None:
        self._handover_token = 0
        self._leader_name, self._leader_token = self.node_name, token
        self._successor_answered_at = steady()
        lead = Leader(
            self, self.settings, self.tuning, self._net, self.state, token, lease, held_at, self.windows, self.repeats
        )
        self.leader = lead
        try:
            await lead.fail_over()
        except (NoResponseError, RequestRefusedError, UnknownMachineTypeError) as error:
            if self.leader is lead:
                self.step_down(f"could not load the records: {error}")
                self._backoff_until = steady() + SECOND
        except Exception:
            if self.leader is lead:
                self.step_down("could not take over")
            raise

    # --- catalog ----------------------------------------------------------------------------

    async def _catalog_loop(self) -> None:
        while True:
            try:
                found = await read_types(self.state)
                if found is not None:
                    self.types = found[0]
            except (NoResponseError, RequestRefusedError):
                pass
            await asyncio.sleep(jitter(20 * SECOND if self.types else micros(0.5)))
