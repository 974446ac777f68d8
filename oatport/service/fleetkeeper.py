"""Machines from the cloud's side: rent, return, list, and the verdict on those that are silent."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from oatport import wire
from oatport.clients.cloud import CloudClient
from oatport.clients.http import NoAnswer, Refused, jitter
from oatport.clients.worker import WorkerClient
from oatport.control.fleet import RELEASE_MOST, Fleet, Rental
from oatport.control.model import Kind, Machine
from oatport.control.records import CATALOG_KEY, LEADER_KEY
from oatport.control.recovery import cut_off, dark_suspects, deaf, silent
from oatport.times import MS, SECOND, seconds, steady, time_of_day

if TYPE_CHECKING:
    from oatport.service.lead import Lead

log = logging.getLogger(__name__)

RENTALS_AT_ONCE = 2
OWN_PROBES = 4


class FleetKeeper:
    """Acts for a leader; all it decides by is the leader's view of the cluster."""

    def __init__(self, lead: Lead, session: aiohttp.ClientSession) -> None:
        self._lead = lead
        self._session = session
        self.cluster = lead.cluster
        self.fleet = Fleet(lead.cluster)
        self.cloud = CloudClient(
            session, lead.settings.services.cloud, lead.settings.cluster.cloud.rps, lead.entitled
        )
        self.home = lead.home
        self.state = lead.state
        self.tuning = lead.tuning
        self.group = lead.group
        self._requests = 0
        self._listed_at = 0

    def start(self) -> None:
        self.group.keep("rent", self.rent_loop)
        self.group.keep("list", self.list_loop)
        self.group.keep("silence", self.silence_loop)

    def status(self, now: int) -> str:
        """One line that says how things stand."""
        machines = list(self.cluster.machines.values())
        up = [m for m in machines if m.up_at]
        tiers: dict[str, int] = {}
        for job in self.cluster.waiting:
            tiers[job.tier or "?"] = tiers.get(job.tier or "?", 0) + job.pending
        return (
            f"machines {len(up)} up ({sum(m.spot for m in up)} spot), {len(machines) - len(up)} not up; "
            f"cpus {sum(m.type.cpus for m in up):.0f} of which free {sum(m.free_cpus for m in up if not m.spot):.0f} "
            f"owned {sum(m.free_cpus for m in up if m.spot):.0f} spot; jobs {len(self.cluster.jobs)}; "
            f"waiting tasks {tiers or 0}; threshold {seconds(self.cluster.router.threshold):.0f} s; "
            f"rentals under way {len(self.fleet.under_way)}, "
            f"refused {sum(1 for until in self.fleet.refused.values() if until > now)}; spent "
            + " ".join(f"{what} {money:.2f}" for what, money in sorted(self.cluster.spent.items()))
        )

    async def catalog(self) -> None:
        """The machine types: from the cloud, kept in the state service for when it is away."""
        try:
            types = await self.cloud.catalog()
        except (NoAnswer, Refused, wire.BadMessage) as error:
            log.info("catalog: %s", error)
            return
        known = self.cluster.types
        if types.keys() != known.keys():
            self.home.types = types
            value = {"berthKinds": [_type_value(kind) for kind in types.values()]}
            found = await self.state.get(CATALOG_KEY)
            await self.state.commit(
                {LEADER_KEY: self._lead.token, CATALOG_KEY: found[1] if found else 0}, {CATALOG_KEY: value}
            )
        self.cluster.learn_types(types)

    async def rent_loop(self) -> None:
        catalog_at = moved_at = 0
        reopened = False
        while not self._lead.over:
            await asyncio.sleep(0.3)
            now = self._lead.now()
            if now - catalog_at > (30 * SECOND if self.cluster.types else SECOND):
                catalog_at = now
                self.group.once("catalog", self.catalog())
            if self._settled(now) and not self._lead.stalled(now):
                # What waits is placed on reopened machines first: more than what they take was once rented.
                reopened = self.fleet.mark_surplus(now) and not reopened
                self.cluster.replan = self.cluster.replan or reopened
                if now - moved_at > SECOND:
                    replicas = sum(j.on_machines for j in self.cluster.jobs.values() if j.kind is Kind.SERVICE)
                    self.cluster.replica_us += replicas * (now - moved_at) if moved_at else 0
                    moved_at = now
                    for task in self.fleet.to_move(now):
                        self.cluster.stop(task, 0.0)
                    self._lead.wake()
                # Few at a time: a queue of requests that the cloud will refuse holds up those it would
                # fill, and by the time they get there nobody wants them.
                rentals = [] if reopened else self.fleet.wanted(now)
                for rental in rentals[: max(0, RENTALS_AT_ONCE - len(self.fleet.under_way))]:
                    self.fleet.under_way.append(rental)
                    self.group.once("rent", self.rent(rental))
            gone = self.fleet.to_release(now)
            if gone and self._settled(now) and self._lead.entitled():
                await self._release(gone, "returned")

    def _settled(self, now: int) -> bool:
        """The view is complete enough to rent and return by: machines confirmed, the list seen."""
        if now - self._lead.began > 6 * SECOND:
            return True
        if not self._listed_at:
            return False
        waiting = any(
            m.was_up and not m.confirmed(self._lead.token) for m in self.cluster.machines.values()
        )
        return not waiting or now - self._lead.began > 3 * SECOND

    async def rent(self, rental: Rental) -> None:
        self._requests += 1
        # Token and counter: never used before, nor by another node.
        request = f"r-{self._lead.token}-{self._requests}"
        try:
            until = steady() + 20 * SECOND
            names: list[str] | None = None
            while names is None and steady() < until and not self._lead.over:
                try:
                    names = await self.cloud.rent(
                        request, rental.type, rental.zone, rental.spot, rental.count
                    )
                except Refused as error:
                    reason = error.value.get("error") if isinstance(error.value, dict) else None
                    if error.status == 503 and reason == "no capacity":
                        self.fleet.refuse(rental, steady())
                        log.info("no %s in %s (spot %s)", rental.type, rental.zone, rental.spot)
                        return
                    await asyncio.sleep(jitter(SECOND))
                    if error.status not in (429, 503):
                        return
                except NoAnswer:
                    await asyncio.sleep(jitter(300 * MS))  # the same name again: it rents once
            if names is None:
                return
            if len(names) < rental.count:
                self.fleet.refuse(rental, steady())
            log.info("rented %d %s in %s (spot %s)", len(names), rental.type, rental.zone, rental.spot)
            for name in names:
                self.cluster.add_machine(
                    name, rental.type, rental.zone, rental.spot, "", steady(), time_of_day()
                )
        finally:
            self.fleet.under_way.remove(rental)
            self._lead.wake()

    async def _release(self, machines: list[Machine], why: str) -> None:
        """Return machines; the answer proves that they and all on them are gone."""
        for machine in machines:
            machine.releasing = True
        try:
            await self.cloud.release([m.name for m in machines])
        except (NoAnswer, Refused) as error:
            log.info("release: %s", error)
            return
        now = steady()
        for machine in machines:
            self.cluster.machine_gone(machine, now, why)
        self._lead.wake()

    async def list_loop(self) -> None:
        pause = max(2.0, 4.0 / self._lead.settings.cluster.cloud.rps)
        while not self._lead.over:
            asked = steady()
            try:
                rows = await self.cloud.list_all()
            except (NoAnswer, Refused, wire.BadMessage) as error:
                log.info("machine list: %s", error)
                await asyncio.sleep(jitter(SECOND))
                continue
            now, wall = steady(), time_of_day()
            cluster = self.cluster
            listed = {row.machine for row in rows}
            failed = []
            for row in rows:
                if row.status == wire.FAILED:
                    machine = cluster.machines.get(row.machine)
                    if machine is not None:
                        cluster.machine_gone(machine, now, "failed")
                    failed.append(row.machine)
                    continue
                machine = cluster.add_machine(
                    row.machine, row.type, row.zone, row.spot, row.address, now, wall, round(row.age_s * SECOND)
                )
                if machine is not None:
                    machine.listed = True
            # Once listed, a machine stays listed until it is gone; the list may be old, though, so
            # only a machine that was listed and is silent is taken off, by a release that proves it.
            lost = [
                m for m in cluster.machines.values()
                if m.listed and m.name not in listed and now - max(m.heard_at, m.known_since) > 2 * SECOND
                and not m.releasing
            ]
            if lost:
                await self._release(lost, "taken")
            if failed:
                try:
                    await self.cloud.release(failed[:100])
                except (NoAnswer, Refused):
                    pass
            self._listed_at = asked
            self._lead.wake()
            await asyncio.sleep(jitter(round(pause * SECOND)))

    async def silence_loop(self) -> None:
        """Machines not heard of: ask them, ask the other nodes, and release the lost ones."""
        asked_at = 0
        while not self._lead.over:
            await asyncio.sleep(0.5)
            now = self._lead.now()
            silent_us = self.tuning.us("silent_s")
            machines = list(self.cluster.machines.values())
            quiet = silent(machines, now, silent_us // 2)
            for machine in quiet:
                if not machine.probing and now - machine.probed_at > 1_500 * MS and machine.address:
                    machine.probing, machine.probed_at = True, now
                    self.group.once("probe", self._probe(machine))
            unheard = deaf(machines, now, self.cluster.report_us, self._lead.began)
            if unheard and now - asked_at > silent_us // 2:
                asked_at = now
                await self._gives_way(unheard)
                continue
            dark = dark_suspects(machines, now, silent_us)
            lost = dark or silent(quiet, now, silent_us)
            if not lost or now - self._lead.began < silent_us * (3 if dark else 7) // 10:
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
            if not self._lead.entitled() or not await self.still_leading():
                continue
            still = silent(lost, self._lead.now(), silent_us // 2 if dark else silent_us)
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
        if found is None or found[1] != self._lead.token:
            self._lead.depose("the leader key has another version")
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
            self._lead.heard(await WorkerClient(self._session, machine.address).show(), steady())
        except NoAnswer:
            pass
        finally:
            machine.probing = False


def _type_value(kind: wire.MachineType) -> dict[str, Any]:
    value = msgspec.to_builtins(kind)
    assert isinstance(value, dict)
    return value
