"""Plans in which teams are at their limits while jobs are cancelled, machines aren't reached and the leader changes."""

from __future__ import annotations

from collections.abc import Callable

from oatport.simulation.fault_interactions import CANCEL_S, LEASE_S
from oatport.simulation.fault_plan import ALL, Plan
from oatport.simulation.scenario_generator import PIPELINES, ScenarioBuilder

TEAM_SHARE = 0.45  # of the usual limits: what comes is more than they allow


class QuotaScenario(ScenarioBuilder):
    """What meets, each by itself; a plan has several in a row."""

    def _change_leader(self, at: float) -> None:
        """One way or another, or twice."""
        ways: list[Callable[[float], None]] = [
            lambda when: self.add("node_crash", when, self.restart_after_s()),
            lambda when: self.add("node_crash", when, self.restart_after_s(), node=ALL),
            lambda when: self.add("node_refused", when, self.rng.uniform(2.2, 9)),
            lambda when: self.add("node_freeze", when, self.rng.uniform(3, LEASE_S)),
            lambda when: self.add("node_alone", when, self.rng.uniform(3, CANCEL_S - LEASE_S)),
            lambda when: self.add("node_cut", when, self.rng.uniform(3, 20), what="workers"),
        ]
        for _ in range(self.rng.choice([1, 1, 2])):
            self.rng.choice(ways)(at)
            at += self.rng.uniform(1.0, 6.0)

    def _make_machines_unreachable(self, at: float) -> None:
        """Machines hang, are cut off, don't hear or aren't heard, for around a lease."""
        span, many = LEASE_S * self.rng.uniform(0.3, 2.2), self.small_machine_count * self.rng.choice([1, 3])
        kind = self.rng.choice(["machine_hang", "machine_cut", "machine_deaf", "machine_mute"])
        self.add(kind, at, span, count=many)

    def _delay_writes(self, at: float) -> None:
        """What is written is late, or unsure; reports come again."""
        for kind, span, amounts in (
            ("late_writes", self.rng.uniform(2, 12), (0.2, 0.5, 0.8)),
            ("lost_answers", self.rng.uniform(2, 12), (0.2, 0.5, 0.9)),
            ("copies_for_next", self.rng.uniform(5, 30), (0.3, 1.0)),
            ("report_copies", self.rng.uniform(10, 40), (3.0, LEASE_S, 3 * LEASE_S)),
        ):
            if self.rng.random() < 0.4:
                self.add(kind, max(5.0, at - span * self.rng.random()), span, amount=self.rng.choice(amounts))

    def cancelled_running_jobs(self, at: float) -> None:
        """Jobs that run are cancelled, some of their machines hang, and the leader changes."""
        self.add(
            "cancel_now",
            at,
            count=self.small_machine_count * self.rng.choice([2, 6]),
            amount=self.rng.choice([0.0, LEASE_S * self.rng.uniform(0.2, 2.0)]),
        )
        self._make_machines_unreachable(at + self.rng.uniform(-2, 2))
        self._delay_writes(at)
        self._change_leader(at + self.rng.uniform(-1.5, 4))

    def completions_in_failover(self, at: float) -> None:
        """Tasks end all the time, and machines are taken back or returned, when the leader changes."""
        self.add(
            "rush",
            max(1.0, at - 8),
            8.0,
            name=self.rng.choice(["local", "train", "guest"]),
            amount=self.rng.uniform(5, 15),
        )
        if self.rng.random() < 0.6:
            self.add(
                "machines_taken",
                at - self.rng.uniform(0, 8),
                count=self.small_machine_count * 3,
                amount=self.rng.choice([0.0, 4.0, 15.0]),
            )
        if self.rng.random() < 0.5:
            self.add("machine_die", at - self.rng.uniform(0, 3), count=self.small_machine_count)
        self._delay_writes(at)
        self._change_leader(at + self.rng.uniform(-1.0, 1.5))

    def new_machines(self, at: float) -> None:
        """Machines come up at once and get work while writes lag."""
        self.add("quick_boots", at - 6, 14.0)
        self.add("machine_die", at - 5, count=self.small_machine_count * 2)
        self.add("rush", max(1.0, at - 5), 6.0, name="batch", amount=self.rng.uniform(2, 6))
        self._delay_writes(at)
        self._change_leader(at + self.rng.uniform(-1, 3))

    def lost_machines_with_completions(self, at: float) -> None:
        """What ended is not written, its machines are given up meanwhile, and then all nodes end."""
        self.add("late_writes", at, 9.0, amount=0.9)
        self.add("machine_hang", at + self.rng.uniform(0.8, 2.0), LEASE_S - 2, count=self.small_machine_count * 4)
        self.add("node_crash", at + self.rng.uniform(7.2, 8.5), self.restart_after_s(), node=ALL)

    def gang_completions(self, at: float) -> None:
        """Gangs complete, and one of their machines dies in that moment; the leader changes."""
        self.add("rush", max(1.0, at - 10), 10.0, name="train", amount=self.rng.uniform(10, 25))
        self.add("die_at_end", max(2.0, at - 6), 40.0, amount=0.5)
        self._delay_writes(at)
        self._change_leader(at + self.rng.uniform(1, 12))

    def long_controller_outage(self, at: float) -> None:
        """All controllers are away for longer than a lease, or the state service is, with jobs cancelled before."""
        self.add(
            "cancel_now",
            at - self.rng.uniform(0, 3),
            count=self.small_machine_count * 4,
            amount=self.rng.choice([0.0, LEASE_S]),
        )
        if self.rng.random() < 0.5:
            self.add("node_crash", at, LEASE_S + self.rng.uniform(-3, 4), node=ALL)
        else:
            self.add("state_down", at, LEASE_S * self.rng.uniform(0.5, 2.5))
            self._change_leader(at + self.rng.uniform(1, 8))
        self._delay_writes(at)


def quota_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 120.0
) -> Plan:
    """All teams at their limits, and three rounds of what meets there."""
    plan = QuotaScenario(seed, nodes, machines, zones, for_s)
    rng = plan.rng
    meetings = (
        plan.cancelled_running_jobs,
        plan.completions_in_failover,
        plan.new_machines,
        plan.long_controller_outage,
        plan.lost_machines_with_completions,
        plan.gang_completions,
    )
    at = rng.uniform(18, 28)
    for turn in range(3):
        meetings[(seed + turn) % len(meetings)](at)
        at += rng.uniform(18, 30)
    faults = tuple(sorted(plan.faults, key=lambda f: f.at_s))
    return Plan(faults, for_s, nodes, machines, machines * rng.choice([1.0, 1.5]), PIPELINES, team_share=TEAM_SHARE)
