"""A world: real nodes in virtual time, everything around them modelled, troubles by plan, judged from outside."""

from __future__ import annotations

import asyncio
import random
from contextvars import Context
from dataclasses import dataclass, field
from typing import Any

from oatport.control.storage.schema_version import FORMATS_KEY
from oatport.service.node import Node
from oatport.settings import Tuning
from oatport.simulation import deployment, production_build
from oatport.simulation.cloud_service import CloudService, Registry, boot_us
from oatport.simulation.fault_injection import EVERY, FaultInjector
from oatport.simulation.fault_plan import Plan
from oatport.simulation.invariant_checker import Checker
from oatport.simulation.machine_host import MachineHost
from oatport.simulation.network import Net, NodeNetwork
from oatport.simulation.state_service import KeyStore, StateService
from oatport.simulation.users import Balancer, User
from oatport.simulation.virtual_time import Host, VirtualLoop
from oatport.simulation.worker import GangCoordinator, Worker
from oatport.times import SECOND, micros

SAMPLE_S = 0.25
STRANGERS = 5  # polls for jobs that nobody submitted


@dataclass
class RunResult:
    seed: int
    violations: list[str]
    errors: list[str]
    digest: int
    messages: int
    counts: dict[str, int]
    leaderless_s_max: float
    served_by_class: dict[str, dict[str, float]]
    served_by_team: dict[str, dict[str, float]]
    last_messages: list[str] = field(default_factory=list)  # the newest messages when a rule first broke
    starved: list[str] = field(default_factory=list)  # classes and teams under half beside free room
    unanswered_s_max: float = 0.0  # the longest that no question about a job was answered, once all troubles were over
    largest_served: float = 1.0  # the least share of a class's largest jobs that began
    largest_begin_s: float = 0.0  # the longest that one of them waited for its first task
    at_limit: dict[str, float] = field(default_factory=dict)  # team -> share of the time in which it was at its limit

    @property
    def broken_invariants(self) -> set[str]:
        """The names of the invariants that were violated."""
        return {row.split(" ", 1)[0] for row in self.violations}

    def least_served(self, rows: dict[str, dict[str, float]]) -> float:
        return min((min(row.values()) for row in rows.values()), default=1.0)


class Simulation(FaultInjector):
    """One run. `tuning`: operators' settings of all nodes."""

    def __init__(self, plan: Plan, seed: int, tuning: Tuning | None = None) -> None:
        self.plan, self.seed = plan, seed
        self.tuning = tuning or Tuning()
        self.loop = VirtualLoop()
        self.net = Net(self.loop, seed)
        self.settings = deployment.cluster_settings(plan)
        self._rng = random.Random(f"world {seed}")
        self.checker = Checker(self.loop, self.settings)
        self.checker.on_first = self._remember
        self._last: list[str] = []
        self.nodes: dict[str, Any] = {}  # of this version or of that in production
        self.hosts: dict[str, Host] = {}  # of nodes
        self.users: dict[str, User] = {}
        self.upgraded_nodes: set[str] = (
            set() if plan.old_nodes else set(deployment.node_addresses(plan))
        )  # nodes of this version
        self.gate_early = 0
        self._last_fencing_token = 0  # the token of the lead that was seen last
        self.users_at: set[str] | None = None  # nodes that users reach; None: all
        self.machines: dict[str, MachineHost] = {}
        self.results: set[str] = set()
        self.progress: dict[str, int] = {}
        self.gangs = GangCoordinator(
            micros(self.settings.workers.gang_wait_s), micros(self.settings.workers.gang_peer_s)
        )
        self._boots = dict.fromkeys(deployment.node_addresses(plan), 0)
        self._leaderless = self._leaderless_most = 0.0
        self._make_services()

    # --- building ---------------------------------------------------------------------------

    def _make_services(self) -> None:
        limits = self.settings.state
        host = Host(self.loop, "state", EVERY)
        self.store = KeyStore(self.loop.now, int(limits.value_kb * 1024), limits.txn_ops)
        self.state = StateService(host, random.Random(f"state {self.seed}"), limits.rps, limits.write_rps, self.store)
        self.net.listen(deployment.STATE, host, self.state.serve)
        host = Host(self.loop, "cloud", EVERY)
        self.registry = Registry(deployment.CATALOG, dict(deployment.capacity(self.plan)))
        self.registry.on_rent, self.registry.on_release = self._rented, self._released
        self.cloud = CloudService(
            host,
            random.Random(f"cloud {self.seed}"),
            self.registry,
            self.settings.cloud.rps,
            self.settings.cloud.list_lag_s,
        )
        self.net.listen(deployment.CLOUD, host, self.cloud.serve)
        self.users_host = Host(self.loop, "users", EVERY)

    def start_node(self, name: str) -> None:
        rng = self._rng
        host = Host(
            self.loop,
            name,
            EVERY,
            "node",
            f"zone:{deployment.node_zone(name)}",
            drift=rng.uniform(0, 0.0005),
            off_us=rng.randrange(-4000, 4000),
        )
        self._boots[name] += 1
        settings = deployment.node_settings(self.plan, name, self.settings)
        for address in (settings.bind, settings.internal_addr):
            self.net.at(address, host)
        boot = f"{name}-{self._boots[name]}"
        # By its host's clocks: by the machine's, when a process began depended on for how long that had been up.
        if name in self.upgraded_nodes:
            node: Any = host.context.run(Node, settings, self.tuning, net=NodeNetwork(self.net, host), boot=boot)
        else:
            node = production_build.production().make_node(settings, self.net, host, boot)
        self.nodes[name], self.hosts[name] = node, host
        self.loop.create_task(node.run(), context=host.context)

    def crash_node(self, name: str) -> None:
        host = self.hosts.pop(name, None)
        if host is not None:
            del self.nodes[name]
            host.end()
            self.net.ended(host)

    def _rented(self, row: dict[str, Any]) -> None:
        self.cloud.born[row["ref"]] = self.loop.time()
        startup = deployment.TYPES[row["berthKind"]].boot_time_s
        delay = boot_us(self._rng, startup) if self.loop.time() > 1_001 else 0
        if self.quick_boots and delay:
            delay = round(self._rng.uniform(0.2, 2.0) * SECOND)
        if self._rng.random() < 0.01:
            return  # it never comes up, and is charged until it is returned
        self.loop.later(delay, None, self._boot, row)

    def _boot(self, row: dict[str, Any]) -> None:
        name = row["ref"]
        if name not in self.registry.machines:
            return
        number = int(name[3:])
        row["address"], row["status"] = f"10.1.{number // 250}.{number % 250}:9000", "running"
        rng = random.Random(f"machine {self.seed} {number}")
        host = Host(self.loop, name, EVERY, "worker", f"zone:{row['harbor']}", drift=rng.uniform(0, 0.0005))
        kind = deployment.TYPES[row["berthKind"]]
        worker = Worker(
            host.steady,
            name,
            row["address"],
            kind.name,
            row["harbor"],
            row["driftwood"],
            kind.cpus,
            self._job_of,
            micros(self.settings.workers.lease_s),
            kind,
            self.gangs,
        )
        worker.results, worker.progress = self.results, self.progress
        worker.speed = rng.uniform(0.92, 1.05) if rng.random() > 0.03 else 0.3
        worker.run_us = self._run_us
        bad = rng.random() < 0.04

        def fails_us(task: str, job: dict[str, Any]) -> int | None:
            flaky = random.Random(f"flaky {self.seed} {task}").random() < 0.06 and rng.random() < 0.6
            if self.checker.asks[str(job["ref"])].mistaken or (bad and rng.random() < 0.7) or flaky:
                return rng.randrange(200_000, 4_000_000)
            return None

        worker.fails_us = fails_us
        worker.on_begin, worker.on_end = self.checker.began, self._ended
        nodes = {name: bind for name, (bind, _) in deployment.node_addresses(self.plan).items()}
        self.machines[name] = MachineHost(self.net, host, worker, nodes, self.settings.workers, rng)
        self.machines[name].on_answered = self._answered
        self.machines[name].start()

    def _answered(self, node: str, legs: list[dict[str, Any]]) -> None:
        """Ends count as taken in if the node that answered leads: others only keep leases."""
        there = self.nodes.get(node)
        if there is not None and production_build.leader_of(there) is not None:
            self.checker.took_in([leg["leg"] for leg in legs if leg.get("wreckCause") == "done"])

    def _ended(self, worker: Worker, task: str, attempt: int, why: str) -> None:
        machine = self.machines.get(worker.name)
        if why == "lease" and machine is not None and not self._reached(machine.host):
            self.checker.counts["lease_kills_unreached"] += 1
        self.checker.ended(worker, task, attempt, why)

    def _reached(self, machine: Host) -> bool:
        """A node that lives could answer this machine now."""
        return not machine.frozen and any(
            not node.frozen and self.net.carries(machine, node) and self.net.carries(node, machine)
            for node in self.hosts.values()
        )

    def _job_of(self, ref: str) -> dict[str, Any] | None:
        ask = self.checker.asks.get(ref)
        return ask.body if ask is not None and ask.at <= self.loop.time() else None

    def _run_us(self, task: str, job: dict[str, Any]) -> int:
        """How long a task really runs: estimates are off by half and more."""
        return micros(float(job["voyageS"]) * random.Random(f"{self.seed} {task}").uniform(0.6, 1.5))

    def _released(self, name: str, why: str = "released") -> None:
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.end(why)

    # --- a run ------------------------------------------------------------------------------

    def run(self) -> RunResult:
        """Play the plan. The same seed and plan give the same run, message by message."""
        random.seed(self.seed)  # what nodes draw their pauses from
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(asyncio.Task(self._play(), loop=self.loop, context=Context()))
        finally:
            errors = list(self.loop.errors)
            starved = self.checker.starved([m.worker for m in self.machines.values() if not m.host.frozen])
            largest = self.checker.largest()
            self.checker.close()
            self.checker.closed = self.net.closed = True
            self.loop.dissolve()
            asyncio.set_event_loop(None)
        counts = {
            **self.checker.counts,
            "state_requests": self.state.asked["requests"],
            "state_changes": self.state.asked["changes"],
            "state_429": self.state.asked["429"],
            "rentals": self.cloud.asked["rentals"],
            "machines_rented": self.registry.rented,
            "turns": self.loop.turns,
            "over_limit": self.store.over_limit,
            "gate_early": self.gate_early,
            **self.checker.pipelines(),
        }
        if self.store.over_limit and FORMATS_KEY in self.store.items:
            self.checker.violations.append(f"over_limit: {self.store.over_limit} values or transactions were too large")
        return RunResult(
            self.seed,
            self.checker.violations,
            errors,
            self.net.digest,
            self.net.sent,
            counts,
            round(self._leaderless_most, 2),
            self.checker.served("cargo"),
            self.checker.served("crew"),
            self._last,
            starved,
            self.checker.forgotten_most,
            *largest,
            self.checker.at_limit(),
        )

    def _remember(self) -> None:
        self._last = list(self.net.messages)

    async def _play(self) -> None:
        loop, plan = self.loop, self.plan
        for (kind, zone, spot), count in deployment.capacity(plan).items():
            for _ in range(count // 2 if not spot else count // 4):
                self.registry.add(kind, zone, spot)
        for name in self._boots:
            self.start_node(name)
        binds = [
            bind
            for name, (bind, _) in deployment.node_addresses(plan).items()
            if self.users_at is None or name in self.users_at
        ]
        balancer = Balancer(loop, self.net, self.users_host, binds)
        for seen in balancer.nodes:
            loop.create_task(balancer.probe(seen), context=self.users_host.context)
        begins = loop.time() + deployment.JOBS_FROM_S
        asks = deployment.jobs(plan, random.Random(f"jobs {self.seed}"), begins)
        asks += deployment.pipelines(plan, random.Random(f"pipelines {self.seed}"), begins)
        self.checker.troubled_until = loop.time() + max((f.at_s + f.for_s for f in plan.faults), default=0.0)
        for ask in asks:
            self.checker.asks[ask.ref] = ask
            rng = random.Random(f"user {self.seed} {ask.ref}")
            user = self.users[ask.ref] = User(balancer, self.users_host, ask, rng, self.checker.told)
            loop.create_task(user.live(), context=self.users_host.context)
        loop.create_task(self._strangers(balancer), context=self.users_host.context)
        for fault in plan.faults:
            loop.later(round(fault.at_s * SECOND), None, self._begin, fault)
        until = loop.time() + plan.for_s
        next_picture = 0.0
        while loop.time() < until:
            if loop.time() >= next_picture:
                self.cloud.picture()
                next_picture = loop.time() + 1
            self._look_for_leader()
            self._look_at_gate()
            self.checker.look_at_limits()
            await asyncio.sleep(SAMPLE_S)

    def _look_at_gate(self) -> None:
        if FORMATS_KEY in self.store.items and not self.gate_early and self.upgraded_nodes < set(self._boots):
            self.gate_early = 1
            old = sorted(set(self._boots) - self.upgraded_nodes)
            self.checker.break_of("gate", f"new formats are written, and {', '.join(old)} may not read them")

    def _look_for_leader(self) -> None:
        led = False
        for name, node in self.nodes.items():
            leader = production_build.leader_of(node)
            if leader is None or leader.stopped or self.hosts[name].frozen:
                continue
            led = led or leader.loaded
            if leader.token > self._last_fencing_token:  # what was kept for the next leader comes as it begins
                self._last_fencing_token = leader.token
                self.net.deliver_kept(deployment.node_addresses(self.plan)[name][0])
        self._leaderless = 0.0 if led else self._leaderless + SAMPLE_S
        self._leaderless_most = max(self._leaderless_most, self._leaderless)

    async def _strangers(self, balancer: Balancer) -> None:
        for number in range(STRANGERS):
            await asyncio.sleep(self.plan.for_s / (STRANGERS + 1))
            ref = f"j-{900_000 + number:06d}"
            try:
                status, _ = await balancer.ask(self.users_host, "GET", f"/submissions/{ref}", None, 2 * SECOND)
            except Exception:
                continue
            self.checker.stranger(ref, status)
