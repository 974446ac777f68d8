"""Watching over machines: who is silent, whether it is they or this node that is cut off, and the verdict."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from oatport.clients.http import Keep, NoResponseError, RequestRefusedError
from oatport.clients.worker import WorkerClient
from oatport.control.leadership.zone_partition import ZoneEvacuation
from oatport.control.scaling.capacity_planner import CapacityPlanner
from oatport.control.scaling.scale_in import MACHINES_PER_RELEASE
from oatport.control.state.machine import Machine
from oatport.control.storage.recovery import command_unreachable, cut_off, dark_suspects, silent
from oatport.control.storage.write_buffer import LEADER_KEY
from oatport.peer_messages import ProbeResult, ProbeWorkers
from oatport.service.failover import introduce
from oatport.service.leader_context import LeaderContext
from oatport.service.network import Network
from oatport.times import MS, SECOND, micros, steady

log = logging.getLogger(__name__)

OWN_PROBES = 4
STEP, DARK_STEP = 0.5, 0.25  # seconds between two looks
DARK_PROBES = 8  # machines of dark zones asked at each look
CONFIRMED = 4 * SECOND  # that most nodes reach nothing of a zone is asked again after this
NODE_LOST_WITHIN = 4 * SECOND  # a node and its zone's machines are lost at about the same time


class FailureDetector:
    """Acts for a leader; what is judged lost goes to `release`, whose answer proves it gone."""

    def __init__(
        self,
        helm: LeaderContext,
        net: Network,
        release: Callable[[list[Machine], str], Awaitable[None]],
        fleet: CapacityPlanner,
    ) -> None:
        self._helm = helm
        self._net = net
        self._release = release
        self.cluster = helm.cluster
        self.home = helm.node
        self.state = helm.state
        self.tuning = helm.tuning
        self.group = helm.background
        self._leaving = ZoneEvacuation(helm.cluster, fleet)
        self._asked_at = 0
        self._mute_asked_at = 0
        self._confirmed_at = 0
        self._doubted_at = -(1 << 62)  # when many were silent, and it was rather this node that was cut off

    async def loop(self) -> None:
        """Machines not heard of: ask them, ask the other nodes, and release the lost ones."""
        while not self._helm.stopped:
            await asyncio.sleep(DARK_STEP if self.cluster.zones.partitioned else STEP)
            await self.step()

    async def step(self) -> None:
        now, cluster = self._helm.now(), self.cluster
        silent_us = self.tuning.us("silent_s")
        machines = list(cluster.machines.values())
        self._ask_zones_back(machines)
        lit = [m for m in machines if m.zone not in cluster.zones.partitioned]
        quiet = silent(lit, now, silent_us // 2)
        self.ask(quiet, now)
        mute = [m for m in lit if m.command_unreachable]
        self.ask(mute[:DARK_PROBES], now)
        if cut_off(len(mute), lit) and now - self._mute_asked_at > silent_us:
            self._mute_asked_at = now
            self.group.once("unreached", self._unreached(mute))
        self._ask_dark([m for m in machines if m.zone in cluster.zones.partitioned], now)
        unheard = command_unreachable(machines, now, cluster.heartbeat_us, self._helm.led_since)
        if unheard and now - self._asked_at > silent_us // 2:
            self._asked_at = now
            await self._gives_way(unheard)
            return
        dark = [m for m in dark_suspects(machines, now, silent_us) if m.zone not in cluster.zones.partitioned]
        leases_over = self._helm.led_since + cluster.lease_us
        lost = dark or [
            m for m in silent(quiet, now, silent_us) if not cluster.completions.may_report_unknown(m, now, leases_over)
        ]
        if not lost or now - self._helm.led_since < silent_us * (3 if dark else 7) // 10:
            await self._leave_dark(now)
            return
        # Judged by all that are quiet: one by one they pass the mark, and those that came first were once
        # released by a leader that was cut off.
        if dark or cut_off(len(quiet), lit):
            given_up, most_lost = await self._gives_way(lost)
            if given_up or not most_lost:
                self._doubted_at = now
                return
        elif now - self._doubted_at < silent_us:
            # The cut has just ended, and they are heard one after the other. Those that came last were once released
            # as if they were silent by themselves: a worker may just have begun to wait for a node in vain.
            await self._leave_dark(now)
            return
        if not await self._may_judge():
            return
        still = silent(lost, self._helm.now(), silent_us // 2 if dark else silent_us)
        lost = [m for m in still if m.probed_at > 0 and not m.removed]
        # A zone that is cut off as a whole is left bit by bit; others that fell silent are gone.
        left = cluster.zones.mark_partitioned(lost, steady())
        self._confirmed_at = steady()
        lost = [m for m in lost if m.zone not in left][:MACHINES_PER_RELEASE]
        if lost:
            log.info("silent machines, releasing: %s", " ".join(m.name for m in lost))
            await self._release(lost, "silent")
        self._helm.wake()

    def ask(self, quiet: list[Machine], now: int) -> None:
        """Are they there, and do they hear? Each at most every 1.5 s."""
        for machine in quiet:
            if not machine.probing and now - machine.probed_at > 1_500 * MS and machine.address:
                machine.probing, machine.probed_at = True, now
                self.group.once("probe", self._probe(machine))

    def _ask_dark(self, machines: list[Machine], now: int) -> None:
        """A few at a time, in turn: enough to see at once that a zone is back."""
        asked = sorted((m for m in machines if m.address and not m.probing), key=lambda m: m.probed_at)
        self.ask(asked[:DARK_PROBES], now)

    def _ask_zones_back(self, machines: list[Machine]) -> None:
        """All machines of a zone that is heard from again, those with replicas first.

        Their own reports would come over seconds: each may just have begun to wait for a node in vain.
        """
        back, self.cluster.zones.recovered = self.cluster.zones.recovered, set()
        there = [m for m in machines if m.zone in back and m.address and not m.removed]
        for machine in sorted(there, key=lambda m: -m.service_cpus):
            self.group.once("introduce", introduce(self._helm, self._net, machine))

    async def _leave_dark(self, now: int) -> None:
        """Give up machines of zones that are cut off, where something is won by it.

        See `control/leadership/zone_partition.py`.
        """
        leaving = self._leaving.now(now, self._kept()) if self.cluster.zones.partitioned else []
        # A leader that was cut off along answers for so long, and nobody can ask it what it was told.
        answered_until = self._helm.led_since + micros(self._helm.settings.cluster.workers.cancel_s)
        leaving = [m for m in leaving if not self.cluster.completions.may_report_unknown(m, now, answered_until)]
        if not leaving or self._helm.decisions_paused(now):
            return
        if now - self._confirmed_at > CONFIRMED:
            given_up, most_lost = await self._gives_way(leaving)
            if given_up or not most_lost:
                return
            self._confirmed_at = steady()
        if not await self._may_judge():
            return
        leaving = [m for m in leaving if m.zone in self.cluster.zones.partitioned and not m.removed][
            :MACHINES_PER_RELEASE
        ]
        if leaving:
            log.info("cut off, releasing: %s", " ".join(m.name for m in leaving))
            await self._release(leaving, "cut off")

    def _kept(self) -> frozenset[str]:
        """Dark zones with a node that was cut off along with them: it answers their workers."""
        heard = self.home.peer_contact_times()
        self.cluster.zones.mark_lease_proxied(
            zone
            for zone, since in self.cluster.zones.partitioned.items()
            if any(abs(at - since) < NODE_LOST_WITHIN for at in heard.get(zone, ()))
        )
        return frozenset(self.cluster.zones.lease_proxied)

    async def _may_judge(self) -> bool:
        """A node without contact judges nobody.

        Its request to release might be held by the cut and executed minutes later, when all those machines
        are at work for another leader.
        """
        return self._helm.holds_lease() and await self.still_leading()

    async def _gives_way(self, machines: list[Machine]) -> tuple[bool, bool]:
        """Give up the lead if another node reaches these machines; and whether most nodes reach none of them."""
        asked = steady()
        # Asked once more by itself: after a busy moment, reports may just wait to be read.
        own = asyncio.gather(*(self._probe(m) for m in machines[:OWN_PROBES] if m.address))
        helper, most_lost = await self.ask_around(machines)
        await own
        if any(m.last_heartbeat_at >= asked for m in machines):
            return False, most_lost
        if helper is not None:
            log.warning("%d machines are silent to me but not to %s", len(machines), helper)
            self.home.mark_workers_unreachable([m.address for m in machines if m.address][:OWN_PROBES])
            self.home.step_down(f"cut off from workers; {helper} sees them")
        return helper is not None, most_lost

    async def _unreached(self, machines: list[Machine]) -> None:
        """Many machines are heard and don't hear: another node that reaches them should rather lead."""
        helper, _ = await self.ask_around(machines)
        if helper is not None and cut_off(sum(m.command_unreachable for m in machines), machines):
            log.warning("%d machines don't hear me; %s reaches them", len(machines), helper)
            self.home.mark_workers_unreachable([m.address for m in machines if m.address][:OWN_PROBES])
            self.home.step_down(f"workers don't hear this node; {helper} reaches them")

    async def still_leading(self) -> bool:
        try:
            found = await self.state.get(LEADER_KEY)
        except (NoResponseError, RequestRefusedError):
            return False
        if found is None or found[1] != self._helm.token:
            self._helm.step_down("the leader key has another version")
            return False
        return True

    async def ask_around(self, machines: list[Machine]) -> tuple[str | None, bool]:
        """A node that reaches at least half of these machines; and whether most nodes reach none of them.

        Most nodes must answer, this one among them. A node in a zone that is cut off answers as little as
        its machines do; waiting for it would leave their tasks nowhere until the cut ends. A leader that
        is itself cut off hears from no other node.
        """
        addresses = [m.address for m in machines if m.address][:20]
        probe = ProbeWorkers(addresses)
        answers = await asyncio.gather(
            *(peer.ask(probe, ProbeResult.decode_reply, timeout_us=1_300 * MS) for peer in self.home.peers.values()),
            return_exceptions=True,
        )
        agree, seen = 1, False
        for name, answer in zip(self.home.peers, answers, strict=True):
            if isinstance(answer, NoResponseError):
                continue
            if isinstance(answer, BaseException):
                seen = True  # a strange answer proves nothing
            else:
                if answer.reached * 2 >= len(addresses) > 0 and answer.state_service_answers:
                    return name, False
                seen = seen or answer.reached > 0
            agree += 1
        return None, not seen and agree * 2 > len(self.home.peers) + 1

    async def _probe(self, machine: Machine) -> None:
        try:
            report = await WorkerClient(self._net, machine.address, Keep.ONCE).show()
            self.cluster.commands.on_contact(machine)
            self._helm.receive_heartbeat(report, steady())
        except NoResponseError:
            pass
        finally:
            machine.probing = False
