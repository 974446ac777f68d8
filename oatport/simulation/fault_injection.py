"""What a plan's faults do to a world."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from oatport.settings import ClusterSettings
from oatport.simulation import deployment
from oatport.simulation.cloud_service import CloudService, Registry
from oatport.simulation.fault_plan import ALL, LEADER, Fault, Plan
from oatport.simulation.invariant_checker import Checker
from oatport.simulation.machine_host import MachineHost
from oatport.simulation.network import Net, Rule
from oatport.simulation.state_service import KeyStore, StateService, leader_of
from oatport.simulation.users import SubmittedJob, User
from oatport.simulation.virtual_time import Host, VirtualLoop
from oatport.simulation.worker import GangCoordinator, Worker
from oatport.times import SECOND, micros

EVERY = "any"  # a tag that all hosts have
HANG_MOST = 8  # machines, when jobs are cancelled at once
FAILED_AFTER = 30 * SECOND  # a machine that died is listed as running for so long


class FaultInjector:
    """The base of `World`: each `_on_KIND` begins a fault, and returns what ends it, if anything has to."""

    loop: VirtualLoop
    net: Net
    plan: Plan
    store: KeyStore
    state: StateService
    cloud: CloudService
    registry: Registry
    checker: Checker
    hosts: dict[str, Host]
    machines: dict[str, MachineHost]
    users_host: Host
    gangs: GangCoordinator
    users: dict[str, User]
    upgraded_nodes: set[str]
    settings: ClusterSettings
    quick_boots = False  # machines are up within two seconds
    _rng: random.Random

    def start_node(self, name: str) -> None:
        raise NotImplementedError

    def crash_node(self, name: str) -> None:
        raise NotImplementedError

    def _released(self, name: str, why: str = "released") -> None:
        raise NotImplementedError

    def _named(self, fault: Fault) -> str:
        if fault.node == LEADER:
            return leader_of(self.store) or "n0"
        return fault.node

    def _begin(self, fault: Fault) -> None:
        end = getattr(self, f"_on_{fault.kind}")(fault)
        if end is not None:
            self.loop.later(round(fault.for_s * SECOND), None, end)

    def _ruled(self, *rules: Rule) -> Callable[[], None]:
        for rule in rules:
            self.net.add(rule)

        def end() -> None:
            for rule in rules:
                self.net.remove(rule)

        return end

    def _cut(self, one: str, other: str, mode: str, way: str = "both", unless: str = "") -> Callable[[], None]:
        rules = []
        if way in ("both", "to"):
            rules.append(Rule(one, other, mode, unless))
        if way in ("both", "from"):
            rules.append(Rule(other, one, mode, unless))
        return self._ruled(*rules)

    def _on_node_cut(self, fault: Fault) -> Callable[[], None]:
        other = {"all": EVERY, "state": "state", "workers": "worker", "nodes": "node"}[fault.what]
        return self._cut(self._named(fault), other, fault.mode, fault.way)

    def _on_node_refused(self, fault: Fault) -> Callable[[], None]:
        row = (self._named(fault), deployment.STATE)
        self.net.denied.append(row)
        return lambda: self.net.denied.remove(row)

    def _on_peers_refuse(self, fault: Fault) -> Callable[[], None]:
        return self._ruled(Rule("node", "node", "refuse"))

    def _on_node_freeze(self, fault: Fault) -> Callable[[], None] | None:
        host = self.hosts.get(self._named(fault))
        if host is None or host.frozen:
            return None
        host.freeze()
        return lambda: None if host.dead else host.thaw()

    def _on_node_crash(self, fault: Fault) -> Callable[[], None] | None:
        named = list(self.hosts) if fault.node == ALL else [self._named(fault)]
        names = [name for name in named if name in self.hosts]
        for name in names:
            self.crash_node(name)

        def end() -> None:
            for name in names:
                self._back(name)

        return end

    def _on_node_slow(self, fault: Fault) -> Callable[[], None] | None:
        host = self.hosts.get(self._named(fault))
        if host is None:
            return None
        host.step_us = round(50 * fault.amount)

        def end() -> None:
            host.step_us = 0

        return end

    def _some(self, count: int) -> list[MachineHost]:
        names = sorted(self.machines)
        return [self.machines[name] for name in self._rng.sample(names, min(count, len(names)))]

    def _on_machine_cut(self, fault: Fault) -> Callable[[], None]:
        return self._ruled(
            *(
                Rule(*ends, fault.mode)
                for machine in self._some(fault.count)
                for ends in ((machine.host.name, EVERY), (EVERY, machine.host.name))
            )
        )

    def _on_machine_hang(self, fault: Fault) -> None:
        self._hang(self._some(fault.count), fault.for_s)

    def _hang(self, machines: list[MachineHost], for_s: float) -> None:
        hung = [m for m in machines if not m.host.frozen]
        for machine in hung:
            machine.host.freeze()
            self._outlives_no_lease(machine)

        def end() -> None:
            for machine in hung:
                if not machine.host.dead:
                    machine.worker.hung(micros(for_s))
                    machine.host.thaw()

        self.loop.later(round(for_s * SECOND), None, end)

    def _outlives_no_lease(self, machine: MachineHost) -> None:
        """Within its lease a machine that hangs may go on at any time (PROTOCOL); after it nothing is left to go on."""
        if not machine.host.frozen or machine.host.dead:
            return
        left = machine.worker.answered_at + machine.worker.lease_us - machine.host.steady()
        if left < 0:
            machine.worker.kill("lease")
        else:
            self.loop.later(left + 1000, None, self._outlives_no_lease, machine)

    def _on_machine_die(self, fault: Fault) -> None:
        for machine in self._some(fault.count):
            self._die(machine.host.name)

    def _on_die_at_end(self, fault: Fault) -> Callable[[], None]:
        """A gang has completed, and a machine of it dies before it can tell."""
        before = self.gangs.on_done

        def done(mates: list[Worker]) -> None:
            name = self._rng.choice(mates).name
            if self._rng.random() < fault.amount and name in self.machines:
                self.loop.later(0, None, self._die, name)

        def end() -> None:
            self.gangs.on_done = before

        self.gangs.on_done = done
        return end

    def _die(self, name: str) -> None:
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.end("died")
            self.loop.later(FAILED_AFTER, None, self._failed, name)

    def _failed(self, name: str) -> None:
        if name in self.registry.machines:
            self.registry.machines[name]["status"] = "failed"

    def _on_machines_taken(self, fault: Fault) -> None:
        for machine in [m for m in self._some(10**6) if m.worker.spot][: fault.count]:
            if fault.amount > 0:
                machine.worker.reclaimed_at = machine.host.steady() + micros(fault.amount)
                machine.worker.stirred()
            self.loop.later(micros(fault.amount), None, self._taken, machine.host.name)

    def _taken(self, name: str) -> None:
        if self.registry.machines.pop(name, None) is not None:
            self._released(name, "taken")

    def _on_zone_cut(self, fault: Fault) -> Callable[[], None]:
        tag = f"zone:{fault.zone}"
        return self._cut(tag, EVERY, fault.mode, unless=tag)

    def _on_links_cut(self, fault: Fault) -> Callable[[], None]:
        return self._cut(fault.source, fault.target, fault.mode, "to")

    def _on_links_slow(self, fault: Fault) -> Callable[[], None]:
        return self._ruled(
            Rule(fault.source, fault.target, "slow", amount=fault.amount),
            Rule(fault.target, fault.source, "slow", amount=fault.amount),
        )

    def _on_links_lossy(self, fault: Fault) -> Callable[[], None]:
        return self._ruled(
            Rule(fault.source, fault.target, "lossy", amount=fault.amount),
            Rule(fault.target, fault.source, "lossy", amount=fault.amount),
        )

    def _on_state_down(self, fault: Fault) -> Callable[[], None]:
        self.state.set_down(True)
        return lambda: self.state.set_down(False)

    def _on_state_slow(self, fault: Fault) -> Callable[[], None]:
        return self._raised(self.state, "slow_share", fault.amount)

    @staticmethod
    def _raised(what: Any, name: str, amount: float) -> Callable[[], None]:
        """A share is higher by so much until it ends; troubles of a kind add up."""
        setattr(what, name, getattr(what, name) + amount)
        return lambda: setattr(what, name, getattr(what, name) - amount)

    def _on_late_writes(self, fault: Fault) -> Callable[[], None]:
        return self._raised(self.state, "late_share", fault.amount)

    def _on_lost_answers(self, fault: Fault) -> Callable[[], None]:
        return self._raised(self.state, "unanswered_share", fault.amount)

    def _on_quick_boots(self, fault: Fault) -> Callable[[], None]:
        self.quick_boots = True

        def end() -> None:
            self.quick_boots = False

        return end

    def _on_cloud_down(self, fault: Fault) -> Callable[[], None]:
        self.cloud.down = True

        def end() -> None:
            self.cloud.down = False

        return end

    def _on_no_capacity(self, fault: Fault) -> Callable[[], None]:
        before, self.registry.capacity = self.registry.capacity, {}

        def end() -> None:
            self.registry.capacity = before

        return end

    def _on_rush(self, fault: Fault) -> None:
        """It is in the jobs that were drawn."""

    def _on_singles(self, fault: Fault) -> None:
        """So are these."""

    def _on_users_cancel(self, fault: Fault) -> None:
        now = self.loop.time()
        asks = [
            ask
            for ask in self.checker.asks.values()
            if ask.accepted_at is not None and ask.done_at is None and ask.cancel_at is None
        ]
        for ask in self._rng.sample(asks, min(fault.count, len(asks))):
            ask.cancel_at = now
            if fault.amount > 0:
                ask.cancel_at = now + self._rng.uniform(0, fault.amount)
                self.loop.later(round((ask.cancel_at - now) * SECOND), None, self._cancel_at_once, ask)

    def _on_cancel_now(self, fault: Fault) -> None:
        """Users call off jobs that run and have long to go, all at once; some of their machines hang meanwhile."""
        now = self.loop.time()
        running = {task.rsplit("/", 1)[0]: place.worker for task, place in self.checker.places.items()}
        asks = [
            ask
            for ref, ask in self.checker.asks.items()
            if ref in running and ask.done_at is None and ask.cancel_at is None and ask.accepted_at is not None
        ]
        asks = self._rng.sample(asks, min(fault.count, len(asks)))
        for ask in asks:
            ask.cancel_at = now + self._rng.uniform(0, 0.2)
            self.loop.later(round((ask.cancel_at - now) * SECOND), None, self._cancel_at_once, ask)
        if fault.amount > 0:
            names = dict.fromkeys(running[ask.ref].name for ask in asks)
            self._hang([self.machines[name] for name in list(names)[:HANG_MOST] if name in self.machines], fault.amount)

    # --- users who look closely, and odd requests ---------------------------------------------------

    def _binds(self) -> list[str]:
        return [bind for bind, _ in deployment.node_addresses(self.plan).values()]

    def _on_close_looks(self, fault: Fault) -> Callable[[], None]:
        def news(ask: SubmittedJob) -> None:
            user = self.users[ask.ref]
            self.loop.later(
                self._rng.randrange(5_000),
                None,
                lambda: self.loop.create_task(
                    user.look(self._binds(), self._rng.random() < 0.1), context=self.users_host.context
                ),
            )

        def end() -> None:
            self.checker.on_news = lambda ask: None

        self.checker.on_news = news
        return end

    def _on_odd_requests(self, fault: Fault) -> None:
        ends_at = self.loop.time() + fault.for_s

        async def ask_oddly() -> None:
            number = 0
            while self.loop.time() < ends_at:
                await asyncio.sleep(self._rng.uniform(0.1, 0.5))
                number += 1
                asks = [ask for ask in self.checker.asks.values() if ask.accepted_at is not None]
                if asks:
                    await self._ask_oddly(self._rng.choice(asks), f"j-{950_000 + number:06d}")

        self.loop.create_task(ask_oddly(), context=self.users_host.context)

    async def _ask_oddly(self, ask: SubmittedJob, ref: str) -> None:
        kind, user = self._rng.randrange(4), self.users[ask.ref]
        if kind == 0:
            await user.repeat()
        elif kind == 1:
            if ask.done_at is not None:
                await user.cancel()
        else:
            body = {**ask.body, "ref": ref}
            if kind == 2:
                body["cores"] = 10_000.0
            else:
                del body[self._rng.choice(["cargo", "crew", "rig", "legs", "cores", "hull"])]
            status = await user.submit_other(body)
            self.checker.odd(body, status, (422,) if kind == 2 else (400,))

    # --- pipelines and upgrades ---------------------------------------------------------------

    def _needed(self) -> list[SubmittedJob]:
        """Jobs that others need."""
        return list({id(need): need for ask in self.checker.asks.values() for need in ask.needs}.values())

    def _on_cancel_needed(self, fault: Fault) -> None:
        now = self.loop.time()
        asks = [
            ask
            for ask in self._needed()
            if ask.accepted_at is not None and ask.done_at is None and ask.cancel_at is None
        ]
        for ask in self._rng.sample(asks, min(fault.count, len(asks))):
            ask.cancel_at = now
            self._cancel_at_once(ask)

    def _cancel_at_once(self, ask: SubmittedJob) -> None:
        self.loop.create_task(self.users[ask.ref].cancel(), context=self.users_host.context)

    def _on_cancel_at_end(self, fault: Fault) -> Callable[[], None]:
        """What is recorded first holds: the end or the cancellation."""
        before = self.checker.on_completed
        needed = {ask.ref for ask in self._needed()}

        def completed(ask: SubmittedJob) -> None:
            chance = fault.amount or (0.7 if ask.ref in needed else 0.0)
            if chance and ask.cancel_at is None and ask.accepted_at is not None and self._rng.random() < chance:
                ask.cancel_at = self.loop.time()
                # Around when the end is reported and written.
                delay = self._rng.randrange(400_000) if fault.amount else 0
                self.loop.later(delay, None, self._cancel_at_once, ask)

        def end() -> None:
            self.checker.on_completed = before

        self.checker.on_completed = completed
        return end

    def _on_upgrade(self, fault: Fault) -> None:
        """The nodes of the old version, in any order; each is away for a while and comes back with the new one."""
        names = sorted(set(deployment.node_addresses(self.plan)) - self.upgraded_nodes)
        self._rng.shuffle(names)
        for turn in range(0, len(names), fault.count):
            self.loop.later(
                round(turn // fault.count * fault.amount * SECOND),
                None,
                self._replace,
                names[turn : turn + fault.count],
                fault.for_s,
            )

    def _replace(self, names: list[str], away_s: float) -> None:
        for name in names:
            self.upgraded_nodes.add(name)
            if name in self.hosts:
                self.crash_node(name)
                self.loop.later(round(away_s * SECOND), None, self._back, name)

    def _back(self, name: str) -> None:
        if name not in self.hosts:  # another trouble's end was faster
            self.start_node(name)

    # --- the end of a day -----------------------------------------------------------------------

    def _on_machine_deaf(self, fault: Fault) -> Callable[[], None]:
        return self._ruled(*(Rule("node", name, "deaf") for name in self._meant(fault)))

    def _on_machine_mute(self, fault: Fault) -> Callable[[], None]:
        """Its reports reach nobody, while what is sent to it arrives, and is answered."""
        return self._ruled(*(Rule(name, "node", "mute") for name in self._meant(fault)))

    def _meant(self, fault: Fault) -> list[str]:
        """So many machines, that share of all, or those of a zone."""
        count = round(fault.amount * len(self.machines)) if fault.amount else fault.count
        there = self._some(10**6) if fault.zone else self._some(count)
        return sorted({m.host.name for m in there if not fault.zone or m.worker.zone == fault.zone})

    def _on_node_alone(self, fault: Fault) -> Callable[[], None]:
        name = self._named(fault)
        ends = [self._cut(name, other, fault.mode, unless="worker") for other in ("state", "node")]

        def end() -> None:
            for one in ends:
                one()

        return end

    def _repeated(self, what: str, fault: Fault) -> Callable[[], None]:
        row = (what, fault.amount, self._binds())
        self.net.repeats.append(row)
        return lambda: self.net.repeats.remove(row)

    def _on_report_copies(self, fault: Fault) -> Callable[[], None]:
        return self._repeated("reports", fault)

    def _on_copies_for_next(self, fault: Fault) -> Callable[[], None]:
        """Copies of reports are kept, and arrive at the next leader just as it begins."""
        return self._raised(self.net, "kept_share", fault.amount)

    def _on_late_repeats(self, fault: Fault) -> Callable[[], None]:
        return self._repeated("requests", fault)

    def _on_machine_blink(self, fault: Fault) -> None:
        for machine in self._some(fault.count):
            if not machine.host.frozen:
                machine.worker.blink(anew=fault.amount > 0)

    def _on_state_limits(self, fault: Fault) -> None:
        limits = self.settings.state
        self.state.set_limits(limits.least_value_bytes, limits.least_txn_ops, limits.least_write_rps)
