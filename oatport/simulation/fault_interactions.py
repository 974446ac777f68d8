"""Plans in which two troubles meet, their times drawn around the edges: leases, `cancel_s`, takeovers, handovers."""

from __future__ import annotations

from collections.abc import Callable

from oatport.simulation.fault_plan import LEADER, Plan
from oatport.simulation.scenario_generator import PIPELINES, ScenarioBuilder

CANCEL_S, LEASE_S = 36.0, 12.0  # of `deployment.cluster_settings`


def _told_by_others(plan: ScenarioBuilder, at: float, span: float) -> None:
    """What makes it hard for a leader to know what others told between `at` and `at + span`."""
    rng = plan.rng

    def hints_lost() -> None:
        plan.add(
            "node_cut", at, span + rng.uniform(0.2, 1.0), what="nodes", mode="lost", way=rng.choice(["from", "both"])
        )

    def answers_lost() -> None:
        """Cancelled, and nobody knows: asked again at another node, polled, told from what a node learnt by then."""
        plan.add(
            "links_cut", at, span * rng.uniform(0.5, 1.2), source="state", target=rng.choice(plan.names), mode="lost"
        )

    def users_unsure() -> None:
        plan.add("links_lossy", at, span + 4, source="node", target="users", amount=rng.uniform(0.3, 0.9))
        plan.add(
            "links_cut",
            at + rng.uniform(0, span),
            rng.uniform(0.3, 3),
            source=rng.choice(plan.names),
            target="users",
            mode="lost",
        )

    def derived() -> None:
        plan.add("cancel_needed", at + rng.uniform(0.1, span), count=3)

    def teller_ends() -> None:
        plan.add("node_crash", at + span * rng.uniform(0.3, 1.5), plan.restart_after_s(), node=rng.choice(plan.names))

    def refused_twice() -> None:
        plan.add("node_refused", max(5.0, at - rng.uniform(4, 8)), rng.uniform(1, 3))

    def slow_peers() -> None:
        plan.add("links_slow", at, rng.uniform(3, 30), source="node", target="node", amount=rng.uniform(0.1, 0.6))

    def one_way() -> None:
        plan.add(
            "node_cut",
            at + rng.uniform(0, span + 5),
            rng.uniform(3, 25),
            what="nodes",
            way=rng.choice(["to", "from"]),
            mode=rng.choice(["hold", "lost"]),
        )

    def late_starts() -> None:
        """Starts of what is cancelled a moment later are under way, and some are for long."""
        plan.add("rush", at - 2, 2.2, name="batch", amount=rng.uniform(8, 20))
        plan.add("links_slow", at - 1, span + 1, source="node", target="worker", amount=rng.uniform(1, 5))

    makers: list[Callable[[], None]] = [
        hints_lost,
        hints_lost,
        answers_lost,
        users_unsure,
        derived,
        teller_ends,
        refused_twice,
        slow_peers,
        one_way,
        late_starts,
    ]
    for make in rng.sample(makers, rng.randint(1, 3)):
        make()


def state_outage_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 130.0
) -> Plan:
    """The state service refuses the leader alone, others confirm cancellations, then it is down for all."""
    plan = ScenarioBuilder(seed, nodes, machines, zones, for_s)
    rng = plan.rng
    at = rng.uniform(16, 30)
    while True:
        span = rng.choice([rng.uniform(0.8, 2.6), rng.uniform(2.0, 6.0)])
        plan.add("node_refused", at, span + rng.uniform(-0.3, 8))
        down = rng.choice([rng.uniform(8, 60), CANCEL_S + rng.uniform(-2, 6), LEASE_S + rng.uniform(-2, 4)])
        plan.add("state_down", at + span, down)
        plan.add("users_cancel", at + 0.1, count=plan.small_machine_count * 4, amount=span)
        _told_by_others(plan, at, span)
        at += span + down + rng.uniform(8, 20)
        if at > for_s - 50:
            break
    if rng.random() < 0.3:
        plan.add("node_crash", rng.uniform(20, 90), plan.restart_after_s(), node=rng.choice([LEADER, *plan.names]))
    faults = tuple(sorted(plan.faults, key=lambda f: f.at_s))
    return Plan(faults, for_s, nodes, machines, machines * rng.choice([0.5, 1, 2]), PIPELINES)


class FaultInteraction(ScenarioBuilder):
    """The meetings of docs/meetings.md, one for each method."""

    def cancel_jobs(self, at: float, span: float, times: int = 4) -> None:
        self.add("users_cancel", at, count=self.small_machine_count * times, amount=max(span, 0.1))

    def slow_state_service(self) -> None:
        """The state service is slow or refuses the leader, then everybody, while users cancel and ask."""
        at, span = self.random_time_s(80), self.rng.uniform(1, 6)
        self.add("state_slow", at - 3, span + 6, amount=self.rng.uniform(0.3, 0.95))
        self.add("node_refused", at, span + self.rng.uniform(-0.5, 6), node=self.rng.choice([LEADER, *self.names]))
        self.cancel_jobs(at - 1, span + 1)
        short, long = self.rng.uniform(2, 20), CANCEL_S + self.rng.uniform(-3, 8)
        self.add("state_down", at + span, self.rng.choice([short, long]))
        self.cancel_jobs(at + span + 1, 5.0, 1)

    def staggered_completions(self) -> None:
        """Jobs of few tasks, which end far apart, across changes of the leader; what they ended with is lost."""
        for at in self._wave_times():
            self.add("rush", at - 6, 6.0, name="local", amount=self.rng.uniform(6, 15))
            change = self.rng.randrange(4)
            if change == 0:
                self.add("node_crash", at, self.restart_after_s())
            elif change == 1:
                self.add("node_refused", at - 2, self.rng.uniform(2, 6))
            elif change == 2:
                self.add("node_freeze", at, self.rng.uniform(2.5, 6))
            else:
                self.add("node_cut", at, self.rng.uniform(1, 5), what="state", mode="lost", way="to")
                self.add("node_crash", at + self.rng.uniform(0.3, 3), self.restart_after_s())
            self.add("late_writes", at - 1, 3.0, amount=self.rng.choice([0.0, 0.4]))

    def repeated_handovers(self) -> None:
        """Handed over and back; all end, one is back first."""
        at = self.random_time_s(70)
        for _ in range(self.rng.randint(2, 4)):
            self.add("node_refused", at, self.rng.uniform(2.2, 5))
            at += self.rng.uniform(2.5, 8)
        self.add("links_lossy", at - 6, 6, source="node", target="node", amount=self.rng.uniform(0, 0.6))
        for name in self.names:
            self.add("node_crash", at, self.rng.choice([self.rng.uniform(0.05, 1), self.rng.uniform(1, 9)]), node=name)
        if self.rng.random() < 0.5:
            self.add("late_writes", at - 4, 8, amount=self.rng.uniform(0.2, 0.7))
        self.add("node_crash", at + self.rng.uniform(0.5, 5), self.restart_after_s())

    def stale_heartbeats(self) -> None:
        """Copies of reports from before: of an earlier session, an earlier attempt, under an earlier leader."""
        at = self.random_time_s(60)
        self.add("report_copies", at - 5, 45, amount=self.rng.choice([4.0, LEASE_S + 2, 2 * LEASE_S, 50.0]))
        for trouble in self.rng.sample(("blink", "deaf", "hang", "taken", "lead", "cut"), 3):
            when = at + self.rng.uniform(0, 20)
            if trouble == "blink":
                self.add("machine_blink", when, count=self.small_machine_count * 2, amount=self.rng.choice([0.0, 1.0]))
            elif trouble == "deaf":
                self.add("machine_deaf", when, LEASE_S + self.rng.uniform(-3, 6), count=self.small_machine_count * 2)
            elif trouble == "hang":
                self.add("machine_hang", when, LEASE_S + self.rng.uniform(-6, 6), count=self.small_machine_count * 2)
            elif trouble == "taken":
                self.add("machines_taken", when, count=self.small_machine_count, amount=self.rng.choice([0.0, 4.0]))
            elif trouble == "lead":
                self.add("node_crash", when, self.restart_after_s())
            else:
                self.add("machine_cut", when, LEASE_S + self.rng.uniform(-3, 4), count=self.small_machine_count * 2)

    def isolated_leader(self) -> None:
        """Cut from the state service and the others, not from workers and users; jobs are cancelled elsewhere."""
        at = self.random_time_s(70)
        long = self.rng.choice([self.rng.uniform(4, 20), CANCEL_S - LEASE_S + self.rng.uniform(-4, 6), 50.0])
        self.add("node_alone", at, long, mode=self.rng.choice(["hold", "lost"]))
        self.cancel_jobs(at + self.rng.uniform(0, 5), self.rng.uniform(1, 8))
        self.cancel_jobs(at + long * 0.8, long * 0.3, 2)
        if self.rng.random() < 0.4:
            self.add("state_down", at + self.rng.uniform(2, 10), self.rng.uniform(5, 45))

    def delayed_commands(self) -> None:
        """Commands or their answers are held up for seconds while tasks are cancelled, stopped and moved."""
        for at in self._wave_times():
            name = self.rng.choice(["batch", "local", "train"])
            self.add("rush", at - 1.5, 2.5, name=name, amount=self.rng.uniform(6, 20))
            held = self.rng.randrange(3)
            if held == 0:
                self.add(
                    "links_slow",
                    at,
                    self.rng.uniform(1, 3),
                    source="node",
                    target="worker",
                    amount=self.rng.uniform(2, 9),
                )
            elif held == 1:
                self.add(
                    "links_cut",
                    at,
                    self.rng.uniform(2, LEASE_S - 1),
                    source=self.rng.choice(["node", "worker"]),
                    target=self.rng.choice(["worker", "node"]),
                    mode="hold",
                )
            else:
                self.add("machine_hang", at, self.rng.uniform(2, LEASE_S), count=self.small_machine_count * 3)
            self.cancel_jobs(at + self.rng.uniform(0, 2), 1.0)
            self.add(
                "machines_taken",
                at + self.rng.uniform(1, 4),
                count=self.small_machine_count,
                amount=self.rng.choice([0.0, 5.0]),
            )
        if self.rng.random() < 0.5:
            self.add("state_down", self.rng.uniform(20, 60), self.rng.uniform(3, 40))

    def unreachable_machines(self) -> None:
        """The leader ends while machines with long tasks can't be reached, or don't hear the new one's answer."""
        at = self.random_time_s(70)
        kind = self.rng.choice(["machine_deaf", "machine_cut", "machine_hang"])
        self.add(
            kind, at - self.rng.uniform(0, 4), LEASE_S * self.rng.uniform(0.5, 2.5), count=self.small_machine_count * 3
        )
        if self.rng.random() < 0.4:
            self.add("machine_deaf", at, LEASE_S * self.rng.uniform(0.5, 2), zone=self.rng.choice(self.zones))
        self.add("node_crash", at, self.restart_after_s())
        if self.rng.random() < 0.5:
            self.add("node_crash", at + self.rng.uniform(2, 8), self.restart_after_s())
        self.cancel_jobs(at + self.rng.uniform(-2, 6), 4.0)

    def delayed_transactions(self) -> None:
        """Transactions without an answer are carried out late, after newer ones of the same node."""
        at = self.random_time_s(60)
        self.add("late_writes", at, self.rng.uniform(5, 25), amount=self.rng.uniform(0.1, 0.8))
        self.cancel_jobs(at + 1, 6.0)
        self.add("cancel_at_end", at, 20.0)
        self.add("rush", at, 6.0, name="local", amount=5.0)
        change = self.rng.randrange(4)
        if change == 0:
            self.add("node_crash", at + self.rng.uniform(2, 12), self.restart_after_s(), node=self.random_node())
        elif change == 1:
            self.add("node_refused", at + self.rng.uniform(2, 12), self.rng.uniform(2.2, 8))
        elif change == 2:
            self.add("node_freeze", at + self.rng.uniform(2, 12), self.rng.uniform(2, 9))
        else:
            self.add("state_down", at + self.rng.uniform(2, 12), self.rng.uniform(2, 20))

    def reads_after_status_changes(self) -> None:
        """Users ask at all nodes, and repeat, right after each news; among slow answers and changes of the leader."""
        at = self.random_time_s(60)
        self.add("close_looks", 6.0, self.for_s - 30)
        self.add("odd_requests", 8.0, self.for_s - 40)
        self.cancel_jobs(at, 10.0)
        self.add("cancel_at_end", max(6.0, at - 15), 40.0)
        for kind, amount in self.rng.sample(
            [
                ("state_slow", 0.5),
                ("lost_answers", 0.4),
                ("late_writes", 0.4),
                ("node_refused", 0.0),
                ("node_crash", 0.0),
                ("peers_refuse", 0.0),
            ],
            3,
        ):
            when = at + self.rng.uniform(-6, 6)
            if kind == "node_crash":
                self.add(kind, when, self.restart_after_s(), node=self.random_node())
            elif kind == "node_refused":
                self.add(kind, when, self.rng.uniform(0.5, 8), node=self.random_node())
            elif kind == "peers_refuse":
                self.add(kind, when, self.rng.uniform(2, 12))
            else:
                self.add(kind, when, self.rng.uniform(3, 12), amount=amount)

    def lost_commit_answers(self) -> None:
        """Transactions are carried out at once and only their answers lost, while others read what was written."""
        at = self.random_time_s(50)
        self.add("lost_answers", at, self.rng.uniform(4, 20), amount=self.rng.choice([0.3, 0.7, 1.0]))
        self.add("close_looks", max(6.0, at - 8), 40.0)
        self.add(
            "rush", max(1.0, at - 2), 8.0, name=self.rng.choice(["local", "batch"]), amount=self.rng.uniform(4, 12)
        )
        self.cancel_jobs(at + 0.5, 8.0)
        self.add("cancel_at_end", at, 20.0)
        if self.rng.random() < 0.6:
            self.add("node_crash", at + self.rng.uniform(0.5, 12), self.restart_after_s(), node=self.random_node())

    def cancellations_in_failover(self) -> None:
        """Jobs are cancelled in the seconds in which one controller's work changes hands."""
        for at in self._wave_times():
            self.add(
                "rush",
                max(1.0, at - 4),
                4.0,
                name=self.rng.choice(["local", "batch", "train"]),
                amount=self.rng.uniform(5, 15),
            )
            away = self.restart_after_s()
            self.add("node_crash", at, away)
            self.cancel_jobs(at - self.rng.uniform(0.2, 1.0), 1.0 + self.rng.uniform(1, 5), 6)
            if self.rng.random() < 0.4:
                self.add(
                    "links_slow",
                    at - 1,
                    4.0,
                    source="node",
                    target=self.rng.choice(["worker", "state", "node"]),
                    amount=self.rng.uniform(0.1, 0.5),
                )

    def single_task_job_burst(self) -> None:
        """One-task jobs come four a second for long, a quarter of them cancelled."""
        at = self.rng.uniform(8, 20)
        self.add("singles", at, 60.0, amount=4.0)
        self.add("node_crash", at + self.rng.uniform(10, 50), self.restart_after_s(), node=self.random_node())
        if self.rng.random() < 0.5:
            self.add("late_writes", at + self.rng.uniform(5, 50), 5.0, amount=0.3)

    def zone_bound_jobs(self) -> None:
        """Jobs bound to one zone, arrays too, lose machines; so does the zone."""
        at = self.random_time_s(60)
        for name in ("local", "train"):
            self.add("rush", max(1.0, at - 10), 25.0, name=name, amount=self.rng.uniform(4, 10))
        for _ in range(self.rng.randint(2, 4)):
            kind = self.rng.choice(["machine_die", "machines_taken", "machine_hang", "machine_cut", "machine_mute"])
            when = at + self.rng.uniform(-3, 15)
            self.add(kind, when, LEASE_S * self.rng.uniform(0.4, 1.5), count=self.small_machine_count * 3)
        if self.rng.random() < 0.6:
            self.add("node_crash", at + self.rng.uniform(0, 12), self.restart_after_s(), node=self.random_node())

    def zone_partition(self) -> None:
        """A zone with workers and a controller is cut off for longer than a lease; jobs are cancelled meanwhile."""
        at, long = self.rng.uniform(12, 30), LEASE_S * self.rng.uniform(1.1, 4.2)
        self.add("zone_cut", at, long, zone=self.rng.choice(self.zones), mode=self.rng.choice(["hold", "lost"]))
        self.cancel_jobs(at + self.rng.uniform(-1, 4), 6.0)
        self.cancel_jobs(at + long * 0.7, long * 0.5, 2)
        if self.rng.random() < 0.5:
            self.add("node_crash", at + self.rng.uniform(0, long), self.restart_after_s(), node=self.random_node())

    def requests_at_last_completion(self) -> None:
        """A cancellation, a question or a repeated submission meets the end of a job's last task, and nothing else."""
        self.add("cancel_at_end", 6.0, self.for_s - 20, amount=self.rng.choice([0.2, 0.6]))
        self.add("close_looks", 6.0, self.for_s - 20)
        self.add("odd_requests", 6.0, self.for_s - 20)

    def frequent_failovers(self) -> None:
        """Leaders change ten times in two minutes, also inside an outage."""
        at = self.rng.uniform(10, 14)
        for _ in range(10):
            if self.rng.random() < 0.6:
                self.add("node_crash", at, self.restart_after_s())
            else:
                self.add("node_refused", at, self.rng.uniform(2.2, 6))
            at += self.rng.uniform(3.5, 7.5)
        if self.rng.random() < 0.6:
            self.add("state_down", self.rng.uniform(15, 50), self.rng.uniform(5, LEASE_S + 8))
        self.cancel_jobs(self.rng.uniform(15, 60), 10.0)
        if self.rng.random() < 0.5:
            self.add("copies_for_next", 10.0, 60.0, amount=0.3)

    def overload_on_slow_links(self) -> None:
        """More work than room, urgent and not, over slow links."""
        at = self.random_time_s(60)
        for name in ("batch", "guest", "train", "serve"):
            self.add("rush", max(1.0, at - 8), 25.0, name=name, amount=self.rng.uniform(3, 8))
        self.add("no_capacity", at - 6, 40.0)
        for target in self.rng.sample(["worker", "state", "node"], 2):
            self.add(
                "links_slow",
                at,
                self.rng.uniform(8, 25),
                source="node",
                target=target,
                amount=self.rng.uniform(0.05, 0.5),
            )
        if self.rng.random() < 0.5:
            self.add("node_crash", at + self.rng.uniform(0, 15), self.restart_after_s(), node=self.random_node())


FAULT_INTERACTIONS = (
    FaultInteraction.slow_state_service,
    FaultInteraction.staggered_completions,
    FaultInteraction.repeated_handovers,
    FaultInteraction.stale_heartbeats,
    FaultInteraction.isolated_leader,
    FaultInteraction.delayed_commands,
    FaultInteraction.unreachable_machines,
    FaultInteraction.delayed_transactions,
    FaultInteraction.reads_after_status_changes,
    FaultInteraction.lost_commit_answers,
    FaultInteraction.cancellations_in_failover,
    FaultInteraction.single_task_job_burst,
    FaultInteraction.zone_bound_jobs,
    FaultInteraction.zone_partition,
    FaultInteraction.requests_at_last_completion,
    FaultInteraction.frequent_failovers,
    FaultInteraction.overload_on_slow_links,
)


def fault_interaction_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 120.0
) -> Plan:
    """One meeting, in turn, and half of the time another one or a process that ends beside it."""
    plan = FaultInteraction(seed, nodes, machines, zones, for_s)
    rng = plan.rng
    FAULT_INTERACTIONS[seed % len(FAULT_INTERACTIONS)](plan)
    beside = rng.random()
    if beside < 0.25:
        rng.choice(FAULT_INTERACTIONS)(plan)
    elif beside < 0.5:
        plan.add("node_crash", plan.random_time_s(), plan.restart_after_s(), node=plan.random_node())
    faults = tuple(sorted(plan.faults, key=lambda f: f.at_s))
    return Plan(faults, for_s, nodes, machines, machines * rng.choice([0.5, 1]), PIPELINES)
