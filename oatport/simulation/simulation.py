"""Runs one plan: a simulated deployment with its users and faults, and the result of the invariant checker."""

from __future__ import annotations

import asyncio
import random
from contextvars import Context
from dataclasses import dataclass, field

from oatport.control.storage.keys import SCHEMA_VERSION_KEY
from oatport.settings import Tuning
from oatport.simulation import deployment, production_build, workload
from oatport.simulation.fault_injection import FaultInjector
from oatport.simulation.fault_plan import Plan
from oatport.simulation.load_balancer import LoadBalancer
from oatport.simulation.service_statistics import ServiceStatistics
from oatport.simulation.simulated_deployment import SimulatedDeployment
from oatport.simulation.size_limit_scenario import size_limit_jobs
from oatport.simulation.submitted_job import SubmittedJob
from oatport.simulation.users import User
from oatport.times import SECOND

SAMPLE_INTERVAL_S = 0.25
CLOUD_SNAPSHOT_INTERVAL_S = 1.0  # the cloud lists its machines from a past snapshot, not from its current state
UNKNOWN_JOB_POLLS = 5  # polls of jobs that no user submitted


@dataclass
class RunResult:
    """Holds the result of one run. `counts` holds totals by name; shares are between 0 and 1."""

    seed: int
    violations: list[str]
    errors: list[str]
    digest: int
    message_count: int
    counts: dict[str, int]
    leaderless_s_max: float
    served_by_class: dict[str, dict[str, float]]
    served_by_team: dict[str, dict[str, float]]
    last_messages: list[str] = field(default_factory=list)  # the newest ones at the first violation of an invariant
    # Classes and teams less than half of whose jobs started although capacity was free.
    starved: list[str] = field(default_factory=list)
    unanswered_s_max: float = 0.0  # the longest time without a response to a poll of a job, after all faults
    largest_jobs_started_share: float = 1.0  # the smallest share, over all classes, of the largest jobs that started
    largest_jobs_wait_s_max: float = 0.0  # the longest time that one of these jobs waited for its first task
    at_limit: dict[str, float] = field(default_factory=dict)  # team -> share of the time in which it was at its limit

    @property
    def broken_invariants(self) -> set[str]:
        """Returns the names of the violated invariants."""
        return {row.split(" ", 1)[0] for row in self.violations}

    @staticmethod
    def min_served_share(rows: dict[str, dict[str, float]]) -> float:
        """Returns the smallest of all shares in `served_by_class` or `served_by_team`."""
        return min((min(row.values()) for row in rows.values()), default=1.0)


class LeadershipMonitor:
    """Measures how long no node leads, and detects when a new leader begins."""

    def __init__(self, deployed: SimulatedDeployment) -> None:
        self._deployed = deployed
        self._last_fencing_token = 0
        self._leaderless_s = 0.0
        self.leaderless_s_max = 0.0

    def sample(self) -> None:
        """Inspects all nodes. Must be called every SAMPLE_INTERVAL_S."""
        has_leader = False
        nodes = self._deployed.nodes
        for name, node in nodes.nodes.items():
            leader = production_build.leader_of(node)
            if leader is None or leader.stopped or nodes.hosts[name].frozen:
                continue
            has_leader = has_leader or leader.loaded
            if leader.token > self._last_fencing_token:  # a new leader: receives the copies kept for it
                self._last_fencing_token = leader.token
                self._deployed.net.deliver_copies_for_next_leader(nodes.addresses[name][0])
        self._leaderless_s = 0.0 if has_leader else self._leaderless_s + SAMPLE_INTERVAL_S
        self.leaderless_s_max = max(self.leaderless_s_max, self._leaderless_s)


class Simulation:
    """Runs a plan once. `tuning` holds the operator-set tuning of all nodes."""

    def __init__(self, plan: Plan, seed: int, tuning: Tuning | None = None) -> None:
        self.plan, self.seed = plan, seed
        self.deployed = SimulatedDeployment(plan, seed, tuning or Tuning())
        self.leadership = LeadershipMonitor(self.deployed)
        self.balanced_nodes: set[str] | None = None  # names of the nodes behind the load balancer; None: all
        self._faults = FaultInjector(self.deployed)
        self._gate_opened_early = 0
        self._last_messages: list[str] = []
        self.deployed.checker.on_first_violation = self._save_last_messages

    def run(self) -> RunResult:
        """Runs the plan and returns its result. The same seed and plan give the same run, message by message."""
        loop, checker = self.deployed.loop, self.deployed.checker
        random.seed(self.seed)  # nodes draw their random delays from this generator
        asyncio.set_event_loop(loop)
        try:
            loop.run_until_complete(asyncio.Task(self._run_plan(), loop=loop, context=Context()))
        finally:
            errors = list(loop.errors)
            machines = self.deployed.machines.machines.values()
            statistics = self._statistics()
            starved = statistics.starved_groups([m.worker for m in machines if not m.host.frozen])
            largest_jobs = statistics.largest_job_figures()
            checker.finish()
            checker.is_closed = self.deployed.net.closed = True
            loop.cancel_all_tasks()
            asyncio.set_event_loop(None)
        return self._result(errors, starved, largest_jobs)

    def _result(self, errors: list[str], starved: list[str], largest_jobs: tuple[float, float]) -> RunResult:
        deployed, checker = self.deployed, self.deployed.checker
        statistics = self._statistics()
        over_limit = deployed.store.over_limit_count
        if over_limit and SCHEMA_VERSION_KEY in deployed.store.items:
            checker.violations.append(f"over_limit: {over_limit} values or transactions were too large")
        if deployed.net.oversized_count:
            checker.violations.append(f"over_limit: {deployed.net.oversized_count} bodies were too large")
        if deployed.cloud.registry.malformed_count:
            checker.violations.append(f"over_limit: {deployed.cloud.registry.malformed_count} requests to the cloud")
        return RunResult(
            self.seed,
            checker.violations,
            errors,
            deployed.net.digest,
            deployed.net.request_count,
            {**self._counts(), **statistics.pipeline_figures()},
            round(self.leadership.leaderless_s_max, 2),
            statistics.served_by_class(),
            statistics.served_by_team(),
            self._last_messages,
            starved,
            checker.unanswered_s_max,
            *largest_jobs,
            checker.usage.share_at_limit(),
        )

    def _statistics(self) -> ServiceStatistics:
        checker = self.deployed.checker
        return ServiceStatistics(checker.jobs, checker.usage, self.deployed.loop.time())

    def _counts(self) -> dict[str, int]:
        deployed = self.deployed
        return {
            **deployed.checker.counts,
            "state_requests": deployed.state.request_counts["requests"],
            "state_changes": deployed.state.request_counts["changes"],
            "state_429": deployed.state.request_counts["429"],
            "rentals": deployed.cloud.request_counts["rentals"],
            "machines_rented": deployed.cloud.registry.rented_count,
            "turns": deployed.loop.callback_count,
            "over_limit": deployed.store.over_limit_count + deployed.net.oversized_count,
            "gate_early": self._gate_opened_early,
        }

    def _save_last_messages(self) -> None:
        self._last_messages = list(self.deployed.net.messages)

    # --- running the plan -----------------------------------------------------------------------

    async def _run_plan(self) -> None:
        loop, plan = self.deployed.loop, self.plan
        self._start_deployment()
        balancer = self._start_balancer()
        jobs = self._generate_jobs()
        last_fault_ends_s = max((fault.at_s + fault.for_s for fault in plan.faults), default=0.0)
        self.deployed.checker.last_fault_ends_at = loop.time() + last_fault_ends_s
        for job in jobs:
            self._start_user(job, balancer)
        loop.create_task(self._poll_unknown_jobs(balancer), context=self.deployed.users_host.context)
        for fault in plan.faults:
            loop.call_later_us(round(fault.at_s * SECOND), None, self._faults.inject, fault)
        end_at = loop.time() + plan.for_s
        next_snapshot = 0.0
        while loop.time() < end_at:
            if loop.time() >= next_snapshot:
                self.deployed.cloud.snapshot()
                next_snapshot = loop.time() + CLOUD_SNAPSHOT_INTERVAL_S
            self.leadership.sample()
            self._check_feature_gate()
            self.deployed.checker.usage.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _start_deployment(self) -> None:
        """Adds the initially rented machines and starts all nodes."""
        for (kind, zone, spot), count in deployment.capacity(self.plan).items():
            for _ in range(count // 2 if not spot else count // 4):
                self.deployed.cloud.registry.add(kind, zone, spot)
        for name in self.deployed.nodes.names:
            self.deployed.nodes.start(name)

    def _start_balancer(self) -> LoadBalancer:
        deployed = self.deployed
        addresses = [
            user_address
            for name, (user_address, _) in deployed.nodes.addresses.items()
            if self.balanced_nodes is None or name in self.balanced_nodes
        ]
        balancer = LoadBalancer(deployed.loop, deployed.net, deployed.users_host, addresses)
        for node in balancer.nodes:
            deployed.loop.create_task(balancer.probe(node), context=deployed.users_host.context)
        return balancer

    def _generate_jobs(self) -> list[SubmittedJob]:
        begin_at = self.deployed.loop.time() + workload.FIRST_SUBMISSION_S
        jobs = workload.generate_jobs(self.plan, random.Random(f"jobs {self.seed}"), begin_at)
        jobs += workload.generate_pipelines(self.plan, random.Random(f"pipelines {self.seed}"), begin_at)
        return jobs + size_limit_jobs(self.plan, random.Random(f"size limits {self.seed}"), self.deployed.loop.time())

    def _start_user(self, job: SubmittedJob, balancer: LoadBalancer) -> None:
        deployed = self.deployed
        deployed.checker.jobs[job.job_id] = job
        rng = random.Random(f"user {self.seed} {job.job_id}")
        user = User(balancer, deployed.users_host, job, rng, deployed.checker.on_user_response)
        deployed.users[job.job_id] = user
        deployed.loop.create_task(user.run(), context=deployed.users_host.context)

    def _check_feature_gate(self) -> None:
        nodes = self.deployed.nodes
        if (
            SCHEMA_VERSION_KEY in self.deployed.store.items
            and not self._gate_opened_early
            and nodes.upgraded < set(nodes.names)
        ):
            self._gate_opened_early = 1
            old_nodes_left = sorted(set(nodes.names) - nodes.upgraded)
            self.deployed.checker.report_violation(
                "gate", f"the new schema version is written, but {', '.join(old_nodes_left)} may not read it"
            )

    async def _poll_unknown_jobs(self, balancer: LoadBalancer) -> None:
        for number in range(UNKNOWN_JOB_POLLS):
            await asyncio.sleep(self.plan.for_s / (UNKNOWN_JOB_POLLS + 1))
            job_id = f"j-{900_000 + number:06d}"
            try:
                status, _ = await balancer.request(
                    self.deployed.users_host, "GET", f"/submissions/{job_id}", None, 2 * SECOND
                )
            except Exception:
                continue
            self.deployed.checker.on_unknown_job_poll(job_id, status)
