"""Decides by probes of machines and by a survey of peers whether machines or this node are unreachable."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from oatport.clients.http import ConnectionReuse, NoResponseError, RequestRefusedError
from oatport.clients.worker import WorkerClient
from oatport.control.leadership.failure_detection import is_isolated
from oatport.control.state.machine import Machine
from oatport.control.storage.keys import LEADER_KEY
from oatport.peer_messages import ProbeResult, ProbeWorkers
from oatport.service.leader_context import LeaderContext
from oatport.service.network import Network
from oatport.times import MS, steady

log = logging.getLogger(__name__)

MAX_OWN_PROBES = 4
PROBE_INTERVAL = 1_500 * MS  # between two probes of one machine
PEER_PROBE_TIMEOUT = 1_300 * MS
MAX_PEER_PROBE_ADDRESSES = 20


@dataclass(frozen=True, slots=True)
class PeerSurvey:
    """Holds the result of asking the other nodes about silent machines.

    `reached_by` is a node that reaches at least half of them. `majority_reaches_none` means that a majority of all
    nodes, including this one, replied and reach none of them.
    """

    reached_by: str | None
    majority_reaches_none: bool


class Reachability:
    """Probes machines, and steps down if another node reaches machines that this one does not."""

    def __init__(self, leader: LeaderContext, net: Network) -> None:
        self._leader = leader
        self._net = net

    # --- machines ---------------------------------------------------------------------------

    def probe(self, machines: list[Machine], now: int) -> None:
        """Probes whether machines run and commands reach them, each at most once per `PROBE_INTERVAL`."""
        for machine in machines:
            if not machine.probing and now - machine.probed_at > PROBE_INTERVAL and machine.address:
                machine.probing, machine.probed_at = True, now
                self._leader.background.spawn("probe", self._probe(machine))

    async def _probe(self, machine: Machine) -> None:
        try:
            heartbeat = await WorkerClient(self._net, machine.address, ConnectionReuse.NEVER).fetch_status()
            self._leader.cluster.commands.on_contact(machine)
            self._leader.receive_heartbeat(heartbeat, steady())
        except NoResponseError:
            pass
        finally:
            machine.probing = False

    # --- this node --------------------------------------------------------------------------

    async def may_release_machines(self) -> bool:
        """Returns whether this node holds the leader lease and has contact with the state service.

        A release request of a node without contact could be held by the partition and executed minutes later, when the
        machines already work for another leader.
        """
        return self._leader.holds_lease() and await self.verify_leadership()

    async def verify_leadership(self) -> bool:
        """Returns whether the state service answers and this leader owns the leader key; steps down if it is lost."""
        try:
            found = await self._leader.state.get(LEADER_KEY)
        except (NoResponseError, RequestRefusedError):
            return False
        if found is None or found[1] != self._leader.token:
            self._leader.step_down("the leader key has another revision")
            return False
        return True

    async def step_down_if_reached_by_peer(self, machines: list[Machine]) -> PeerSurvey:
        """Steps down if another node reaches these machines, which are silent to this one."""
        requested_at = steady()
        # This node probes once more itself: after a busy period, heartbeats may have arrived but not been read yet.
        own_probes = asyncio.gather(*(self._probe(m) for m in machines[:MAX_OWN_PROBES] if m.address))
        survey = await self.survey_peers(machines)
        await own_probes
        if any(m.last_heartbeat_at >= requested_at for m in machines):
            return PeerSurvey(None, survey.majority_reaches_none)
        if survey.reached_by is not None:
            log.warning("machines are silent to this node only count=%d peer=%s", len(machines), survey.reached_by)
            self._step_down(machines, f"workers are silent to this node, {survey.reached_by} reaches them")
        return survey

    async def step_down_if_commands_reach_from_peer(self, machines: list[Machine]) -> None:
        """Steps down if another node reaches these machines, which send heartbeats but receive no commands."""
        survey = await self.survey_peers(machines)
        unreachable = sum(machine.command_unreachable for machine in machines)
        if survey.reached_by is not None and is_isolated(unreachable, machines):
            log.warning(
                "commands of this node do not reach machines count=%d peer=%s", len(machines), survey.reached_by
            )
            self._step_down(machines, f"commands of this node do not reach workers, {survey.reached_by} reaches them")

    def _step_down(self, machines: list[Machine], reason: str) -> None:
        node = self._leader.node
        node.mark_workers_unreachable([m.address for m in machines if m.address][:MAX_OWN_PROBES])
        node.step_down(reason)

    async def survey_peers(self, machines: list[Machine]) -> PeerSurvey:
        """Asks the other nodes which of these machines they reach.

        A majority of all nodes, including this one, must reply, but not every node: a node in a partitioned zone does
        not reply either, and waiting for it would leave the zone's tasks unplaced until the partition ends. A leader
        that is itself partitioned gets no replies.
        """
        addresses = [m.address for m in machines if m.address][:MAX_PEER_PROBE_ADDRESSES]
        request = ProbeWorkers(addresses)
        peers = self._leader.node.peers
        replies = await asyncio.gather(
            *(peer.ask(request, ProbeResult.decode_reply, timeout_us=PEER_PROBE_TIMEOUT) for peer in peers.values()),
            return_exceptions=True,
        )
        responding_nodes, any_reached = 1, False
        for name, reply in zip(peers, replies, strict=True):
            if isinstance(reply, NoResponseError):
                continue
            if isinstance(reply, BaseException):
                any_reached = True  # a malformed reply proves nothing
            else:
                if reply.reached * 2 >= len(addresses) > 0 and reply.state_service_answers:
                    return PeerSurvey(name, majority_reaches_none=False)
                any_reached = any_reached or reply.reached > 0
            responding_nodes += 1
        return PeerSurvey(None, not any_reached and responding_nodes * 2 > len(peers) + 1)
