"""A controller node: serves users, follows or leads, and hands over when another is better placed."""

from __future__ import annotations

import asyncio
import logging
import secrets
from typing import TYPE_CHECKING, Any

from oatport import wire
from oatport.api.heartbeat_api import handle_report
from oatport.api.job_api import JobApi
from oatport.api.peer_api import Message, PeerApi
from oatport.api.server import Answer, BodyReader
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.clients.peer import PeerClient
from oatport.clients.state import Applied, LeaseExpiredError, StateClient
from oatport.clients.worker import count_reached
from oatport.control.leadership.election_priority import ElectionPriority
from oatport.control.limits.connection_budget import ConnectionBudget
from oatport.control.placement.retry_policy import RetryPolicies
from oatport.control.state.completions import End
from oatport.control.storage import schema_version
from oatport.control.storage.recovery import UnknownMachineTypeError
from oatport.control.storage.write_buffer import LEADER_KEY
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
        self.boot = boot or secrets.token_hex(6)  # tells this process from an earlier one of the same name
        self.types: dict[str, wire.MachineType] = {}
        self.display: dict[str, tuple[int, int]] = {}
        self.peers: dict[str, PeerClient] = {}
        self.keeping = LeaseProxyService(self, settings.cluster)
        self.telling = PeerNotifier(self, settings.cluster)
        self._standing = ElectionPriority(settings)
        self.group = BackgroundTasks()
        self.lead: Leader | None = None
        self.started = steady()
        self._leader: str | None = None
        self._leader_token = 0
        self.last_leader = ""
        self._lease_us = tuning.us("leader_lease_s")
        self._stand_back_until = 0
        self._take_from = 0  # token of a leader that handed over to this node
        self._take_until = 0
        self._election = asyncio.Event()
        self._peer_served: dict[str, tuple[bool, int]] = {}  # peer -> (served, as of)
        self._heard_at: dict[str, int] = {}  # peer -> when it last answered
        self._ever_served = False
        self._next_heard = self.started  # when the node after this one last answered
        self._unreached: list[str] = []  # workers that it could not reach as the leader, while another node did

    # --- lifecycle --------------------------------------------------------------------------

    async def run(self) -> None:
        net = self._net
        net.open()
        self.state = StateClient(net, self.settings.services.state)
        self.users = JobApi(self.settings, self.state, self)
        for peer in self.settings.peers:
            self.peers[peer.node_name] = PeerClient(net, peer.node_name, peer.endpoint)
        inside = PeerApi()
        for tag, handler in (
            ("ping", self._on_ping),
            ("accepted", self.telling.on_hint),
            ("cancelled", self.telling.on_hint),
            ("display", self._on_display),
            ("probe", self._on_probe),
            ("handover", self._on_handover),
            ("carried out", self.keeping.on_carried_out),
            ("kept", self.keeping.on_kept),
            ("explain", self._on_explain),
            ("formats", self._on_formats),
            ("told", self.telling.on_told),
            ("ends", self.telling.on_ends),
            ("ended", self.telling.on_ended),
        ):
            inside.on(tag, handler)
        servers = [
            net.server(self.settings.internal_addr, inside.handle, 1024 * 1024),
            net.server(self.settings.bind, self._handle),
        ]
        for server in servers:
            await server.start()
        log.info("node %s in %s serves on %s", self.node_name, self.settings.zone, self.settings.bind)
        self.group.keep("election", self._election_loop)
        self.group.keep("leader watch", self._leader_watch)
        self.group.keep("catalog", self._catalog_loop)
        self.group.keep("contact", self._contact_loop)
        self.group.keep("told", self.telling.loop)
        self.group.keep("ends", self.telling.ends_loop)
        for name, client in self.peers.items():
            self.group.keep(f"ping {name}", lambda client=client: self._ping_loop(client))  # type: ignore[misc]
        try:
            await asyncio.Event().wait()
        finally:
            self.lost_lead("shutting down")
            self.group.close()
            for server in servers:
                await server.close()
            await net.close()

    async def _handle(self, method: str, path: str, body: BodyReader) -> Answer:
        if path == wire.REPORT:
            return await handle_report(self, method, body)
        held = self._net.held()
        if self._sockets.full(held) and path != wire.READY:
            return Answer(503, {"error": "no connections left"}, {"Retry-After": "2", "Connection": "close"})
        answer = await self.users.handle(method, path, body)
        if self._sockets.closes(held):
            answer.headers["Connection"] = "close"
        return answer

    # --- reports ----------------------------------------------------------------------------

    def take_report(self, report: wire.Report) -> dict[str, Any] | None:
        if self.lead is not None:
            return self.lead.take_report(report)
        if not self.keeping.take_report(report):
            return None
        return wire.report_answer(report.token, [])  # it lives on; nothing starts, stops or is forgotten

    def leader_name(self) -> str | None:
        return self.keeping.named(self._leader)

    # --- users ------------------------------------------------------------------------------

    def served(self) -> bool:
        """The state service answers this node."""
        return self.state.ok_at > 0 and (
            steady() - self.state.ok_at < SERVED_FRESH or self.state.failed_at <= self.state.ok_at
        )

    def ready(self) -> bool:
        """Not ready only if another node is better placed: in an outage for all, staying costs least."""
        if self.served():
            self._ever_served = True
            return True
        if not self._ever_served:
            return False
        now = steady()
        return not any(served and now - at < 3 * SECOND for served, at in self._peer_served.values())

    async def ended_before(self, token: int) -> tuple[list[End], bool]:
        return await self.telling.ended_before(token)

    def tell_accepted(self, ref: str, record: dict[str, Any], revision: int) -> None:
        self.telling.accepted(ref, record, revision)

    def tell_cancelled(self, ref: str, revision: int = 0) -> None:
        self.telling.cancelled(ref, revision)

    # --- peers ------------------------------------------------------------------------------

    async def _on_ping(self, message: Message) -> Message:
        _, name, leader, token, served = message
        self._learn_leader(str(leader) if leader else None, int(token))
        self._peer_served[str(name)] = (bool(served), steady())
        return self._pong()

    def _pong(self) -> Message:
        quiet = self.telling.cancellations.quiet(steady())
        return ["pong", self.node_name, self._leader, self._leader_token, self.served(), quiet]

    def leading_peer(self) -> PeerClient | None:
        return self.peers.get(self._leader or "")

    def _learn_leader(self, name: str | None, token: int) -> None:
        if token > self._leader_token:
            self._leader, self._leader_token = name, token
            self.last_leader = self.last_leader if name in (None, self.node_name) else str(name)
            if self.lead is not None and token > self.lead.token:
                self.lost_lead(f"{name} leads with token {token}")

    async def _on_display(self, message: Message) -> Message:
        for ref, (done, running) in message[1].items():
            self.display[str(ref)] = (int(done), int(running))
        for ref in message[2]:
            self.display.pop(ref, None)
        return ["ok"]

    async def _on_probe(self, message: Message) -> Message:
        """Which of these workers can this node reach? And does the state service answer it?"""
        return ["seen", await self._reaches([str(address) for address in message[1][:50]]), self.served()]

    async def _on_handover(self, message: Message) -> Message:
        token = int(message[1])
        if steady() > self._stand_back_until and not self._unreached:
            try:
                # Asked just now: at the start of an outage for all, what was known a moment ago is wrong,
                # and without a leader nobody would keep the workers' leases alive until it ends.
                await self.state.get(LEADER_KEY)
            except (NoResponseError, RequestRefusedError):
                return ["no"]
            self._take_from = max(self._take_from, token)
            self._take_until = steady() + TAKE_WITHIN
            self._election.set()
            return ["ok"]
        return ["no"]

    async def _on_explain(self, message: Message) -> Message:
        """Why a job is held; asked by operators on the internal address, answered by the leader."""
        ref = str(message[1])
        if self.lead is not None:
            return ["explained", self.lead.explain(ref)]
        peer = self.leading_peer()
        if peer is None or len(message) > 2:  # it is sent on once
            return ["no", "no leader is known: ask again in a few seconds"]
        return await peer.ask("explain", ref, True)

    async def _on_formats(self, message: Message) -> Message:
        """What this process reads of what is stored. Earlier versions don't know the question."""
        return schema_version.answer(self.node_name, self.boot)

    async def _ping_loop(self, peer: PeerClient) -> None:
        while True:
            lead = self.lead
            try:
                answer = await peer.ask("ping", self.node_name, self._leader, self._leader_token, self.served())
                tag, name, leader, token, served, _ = answer
                self._heard_at[peer.name] = steady()
                if tag == "pong":
                    self._learn_leader(str(leader) if leader else None, int(token))
                    self._peer_served[str(name)] = (bool(served), steady())
                    if lead is self.lead and lead is not None and served and lead.state_down(steady()):
                        await self._hand_over(lead, peer, "the state service answers it")
                    if self.lead is None and peer.name == self._leader:
                        await self.keeping.ask_leader(peer)
                    elif self.lead is None and not self.served():
                        await self.keeping.ask_keeper(peer)
            except (NoResponseError, ValueError, TypeError):
                self._peer_served.pop(peer.name, None)
            await asyncio.sleep(jitter(PING_EVERY))

    async def _offer(self, lead: Leader, peer: PeerClient) -> None:
        try:
            await self._hand_over(lead, peer, "workers could not go on from here")
        except NoResponseError as error:
            log.info("handover to %s: %s", peer.name, error)

    async def _hand_over(self, lead: Leader, peer: PeerClient, why: str) -> None:
        """That peer can do more."""
        lead.mandate.doubt(steady())  # it may take over though its answer is lost
        answer = await peer.ask("handover", lead.token, timeout_us=2 * SECOND)
        if answer[0] != "ok":
            lead.mandate.doubt_until = 0
        elif lead is self.lead:
            self.lost_lead(f"handed over to {peer.name}: {why}")

    # --- contact with the state service ---------------------------------------------------------

    async def _contact_loop(self) -> None:
        """Know whether the state service answers; as the leader, renew the lease first of all."""
        while True:
            lead = self.lead
            try:
                if lead is not None:
                    asked = steady()
                    await self.state.touch(lead.lease, min(self._lease_us // 2, SECOND))
                    lead.mandate.proven(asked)
                    better = self._better_placed()
                    if better is not None and lead is self.lead and lead.loaded:
                        self._next_heard = steady()  # not again at once, if it does not want to
                        self.group.once("offer", self._offer(lead, better))  # renewals do not wait for it
                elif steady() - self.state.ok_at > SECOND:
                    await self.state.get(LEADER_KEY)
            except LeaseExpiredError:
                if lead is self.lead:
                    self.lost_lead("the lease ended")
            except (NoResponseError, RequestRefusedError) as error:
                log.debug("state service: %s", error)
                await asyncio.sleep(jitter(250 * MS))
                continue
            await asyncio.sleep(seconds(self._lease_us // 4 if lead is not None else 500 * MS))

    # --- leadership -------------------------------------------------------------------------

    def lost_lead(self, why: str) -> None:
        lead, self.lead = self.lead, None
        if lead is None:
            return
        log.warning("no longer leading: %s", why)
        self.telling.deposed(lead)
        lead.close()
        self._stand_back_until = steady() + STAND_BACK
        if self._leader == self.node_name:
            self._leader = None
        if not self.group.closed:
            self.group.once("give up", self._give_up(lead))

    async def _give_up(self, lead: Leader) -> None:
        """Free the leader key at once, so that nobody has to wait for the lease to end."""
        try:
            await self.state.commit({LEADER_KEY: lead.token}, {}, [LEADER_KEY])
        except (NoResponseError, RequestRefusedError, LeaseExpiredError):
            pass

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
            if self.lead is None:
                self._leader = None
                self._election.set()
            return 0
        value, version = found
        self._learn_leader(value.get("node"), version)
        if value.get("node") == self.node_name and value.get("boot") != self.boot and self.lead is None:
            # Left by an earlier process of this node's: no use waiting for its lease to end.
            self._take_from = version
            self._take_until = steady() + TAKE_WITHIN
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
            if self.lead is not None or steady() < self._stand_back_until:
                continue
            try:
                await self._stand()
            except (NoResponseError, RequestRefusedError, LeaseExpiredError) as error:
                log.debug("election: %s", error)
                await asyncio.sleep(jitter(200 * MS))

    async def _deference(self) -> int:
        """How long to let the others go first, where they can do more as the leader."""
        if self._unreached:
            if not await self._reaches(self._unreached):
                return DEFER_CUT_OFF
            self._unreached = []
        return self._standing.deference(self._peer_served)

    def _better_placed(self) -> PeerClient | None:
        """A node that should rather lead: the next one after it answers, while that after this node is down."""
        now = steady()
        if self._standing.next_answers(self.node_name, self._peer_served):
            self._next_heard = now
        if now - self._next_heard < NEXT_DOWN_FOR:
            return None
        return next(
            (
                peer
                for name, peer in self.peers.items()
                if self._peer_served.get(name, (False, 0))[0] and self._standing.next_answers(name, self._peer_served)
            ),
            None,
        )

    def nodes_heard(self) -> dict[str, list[int]]:
        heard: dict[str, list[int]] = {}
        for peer in self.settings.peers:
            if peer.node_name in self._heard_at:
                heard.setdefault(peer.zone, []).append(self._heard_at[peer.node_name])
        return heard

    def cut_off_from(self, addresses: list[str]) -> None:
        """These workers are reached by another node, but not by this one."""
        self._unreached = addresses

    async def _reaches(self, addresses: list[str]) -> int:
        """How many of these workers this node can reach."""
        return await count_reached(self._net, addresses)

    async def _stand(self) -> None:
        """Become the leader if there is none, or if the one there is handed over."""
        found = await self.state.get(LEADER_KEY)
        version = 0
        if found is None:
            await asyncio.sleep(seconds(await self._deference()))
            found = await self.state.get(LEADER_KEY)
        if found is not None:
            self._learn_leader(found[0].get("node"), found[1])
            if found[1] != self._take_from or steady() > self._take_until:
                return
            version = found[1]
        held_at = steady()
        lease = await self.state.hold(self._lease_us)
        value = {"node": self.node_name, "boot": self.boot, "lease": lease}
        token = 0
        try:
            result = await self.state.commit({LEADER_KEY: version}, {LEADER_KEY: value}, lease=lease)
            if isinstance(result, Applied):
                token = result.revision
        except (NoResponseError, RequestRefusedError):
            # Unsure: read it back. A late one is conditioned on what it replaces.
            found = await self.state.get(LEADER_KEY)
            if found is not None and found[0].get("boot") == self.boot and found[0].get("lease") == lease:
                token = found[1]
        if token:
            await self._lead_as(token, lease, held_at)

    async def _lead_as(self, token: int, lease: int, held_at: int) -> None:
        self._take_from = 0
        self._leader, self._leader_token = self.node_name, token
        self._next_heard = steady()
        lead = Leader(
            self, self.settings, self.tuning, self._net, self.state, token, lease, held_at, self.windows, self.repeats
        )
        self.lead = lead
        try:
            await lead.fail_over()
        except (NoResponseError, RequestRefusedError, UnknownMachineTypeError) as error:
            if self.lead is lead:
                self.lost_lead(f"could not load the records: {error}")
                self._stand_back_until = steady() + SECOND
        except Exception:
            if self.lead is lead:
                self.lost_lead("could not take over")
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
