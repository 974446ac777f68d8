"""Watching over machines: who is silent, whether it is they or this node that is cut off, and the verdict."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

import aiohttp

from oatport.clients.http import NoAnswer, Refused
from oatport.clients.worker import WorkerClient
from oatport.control.fleet import RELEASE_MOST
from oatport.control.model import Machine
from oatport.control.records import LEADER_KEY
from oatport.control.recovery import cut_off, dark_suspects, deaf, silent
from oatport.service.helm import Helm
from oatport.times import MS, steady

log = logging.getLogger(__name__)

OWN_PROBES = 4


class Watcher:
    """Acts for a leader; what is judged lost goes to `release`, whose answer proves it gone."""

    def __init__(
        self, helm: Helm, session: aiohttp.ClientSession, release: Callable[[list[Machine], str], Awaitable[None]]
    ) -> None:
        self._helm = helm
        self._session = session
        self._release = release
        self.cluster = helm.cluster
        self.home = helm.home
        self.state = helm.state
        self.tuning = helm.tuning
        self.group = helm.group

    async def loop(self) -> None:
        """Machines not heard of: ask them, ask the other nodes, and release the lost ones."""
        asked_at = 0
        while not self._helm.over:
            await asyncio.sleep(0.5)
            now = self._helm.now()
            silent_us = self.tuning.us("silent_s")
            machines = list(self.cluster.machines.values())
            quiet = silent(machines, now, silent_us // 2)
            for machine in quiet:
                if not machine.probing and now - machine.probed_at > 1_500 * MS and machine.address:
                    machine.probing, machine.probed_at = True, now
                    self.group.once("probe", self._probe(machine))
            unheard = deaf(machines, now, self.cluster.report_us, self._helm.began)
            if unheard and now - asked_at > silent_us // 2:
                asked_at = now
                await self._gives_way(unheard)
                continue
            dark = dark_suspects(machines, now, silent_us)
            lost = dark or silent(quiet, now, silent_us)
            if not lost or now - self._helm.began < silent_us * (3 if dark else 7) // 10:
                continue
            # Judged by all that are quiet: one by one they pass the mark, and those that came first were once
            # released by a leader that was cut off.
            if dark or cut_off(len(quiet), machines):
                given_up, most_lost = await self._gives_way(lost)
                if given_up:
                    return
                if not most_lost:
                    continue
            # A node without contact judges nobody: its request to release might be held by the cut and
            # executed minutes later, when all those machines are at work for another leader.
            if not self._helm.entitled() or not await self.still_leading():
                continue
            still = silent(lost, self._helm.now(), silent_us // 2 if dark else silent_us)
            lost = [m for m in still if m.probed_at > 0 and not m.gone][:RELEASE_MOST]
            if lost:
                log.info("silent machines, releasing: %s", " ".join(m.name for m in lost))
                self.cluster.note_dark(lost, steady())
                await self._release(lost, "silent")

    async def _gives_way(self, machines: list[Machine]) -> tuple[bool, bool]:
        """Give up the lead if another node reaches these machines; and whether most nodes reach none of them."""
        asked = steady()
        # Asked once more by itself: after a busy moment, reports may just wait to be read.
        own = asyncio.gather(*(self._probe(m) for m in machines[:OWN_PROBES] if m.address))
        helper, most_lost = await self.ask_around(machines)
        await own
        if any(m.heard_at >= asked for m in machines):
            return False, most_lost
        if helper is not None:
            log.warning("%d machines are silent to me but not to %s", len(machines), helper)
            self.home.cut_off_from([m.address for m in machines if m.address][:OWN_PROBES])
            self.home.lost_lead(f"cut off from workers; {helper} sees them")
        return helper is not None, most_lost

    async def still_leading(self) -> bool:
        try:
            found = await self.state.get(LEADER_KEY)
        except (NoAnswer, Refused):
            return False
        if found is None or found[1] != self._helm.token:
            self._helm.depose("the leader key has another version")
            return False
        return True

    async def ask_around(self, machines: list[Machine]) -> tuple[str | None, bool]:
        """A node that reaches at least half of these machines; and whether most nodes reach none of them.

        Most nodes must answer, this one among them. A node in a zone that is cut off answers as little as
        its machines do; waiting for it would leave their tasks nowhere until the cut ends. A leader that
        is itself cut off hears from no other node.
        """
        addresses = [m.address for m in machines if m.address][:20]
        answers = await asyncio.gather(
            *(peer.ask("probe", addresses, timeout_us=1_300 * MS) for peer in self.home.peers.values()),
            return_exceptions=True,
        )
        agree, seen = 1, False
        for name, answer in zip(self.home.peers, answers, strict=True):
            if isinstance(answer, NoAnswer):
                continue
            try:
                assert not isinstance(answer, BaseException)
                tag, count, served = answer
                if tag == "seen" and int(count) * 2 >= len(addresses) > 0 and served:
                    return name, False
                seen = seen or tag != "seen" or int(count) > 0
            except (AssertionError, ValueError, TypeError):
                seen = True  # a strange answer proves nothing
            agree += 1
        return None, not seen and agree * 2 > len(self.home.peers) + 1

    async def _probe(self, machine: Machine) -> None:
        try:
            self._helm.heard(await WorkerClient(self._session, machine.address).show(), steady())
        except NoAnswer:
            pass
        finally:
            machine.probing = False
