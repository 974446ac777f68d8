"""Plans drawn from a seed: single and overlapping faults of all kinds, and patterns that are aimed at something.

Faults that come by chance seldom meet what they could break: a start in flight while its sender ends, a commit under
way while the next leader reads. Each pattern here brings such a moment about; `breaks.py` shows which guard it is for.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from oatport.simulation.fault_plan import ALL, CUT_DIRECTIONS, CUT_MODES, LEADER, NODE_CUT_TARGETS, Fault, Plan

PIPELINES = 5.0  # a minute


class ScenarioBuilder:
    """One plan in the making."""

    def __init__(self, seed: int, nodes: int, machines: int, zones: tuple[str, ...], for_s: float) -> None:
        self.rng = random.Random(f"plan {seed}")
        self.names = [f"n{number}" for number in range(nodes)]
        self.small_machine_count = max(1, machines // 10)
        self.zones, self.for_s = zones, for_s
        self.faults: list[Fault] = []

    def add(self, kind: str, at: float, for_s: float = 0.0, **more: object) -> None:
        self.faults.append(Fault(kind, at, for_s, **more))  # type: ignore[arg-type]

    def random_node(self) -> str:
        return self.rng.choice([LEADER] * 3 + self.names)

    def restart_after_s(self) -> float:
        """How long a process is away: back within a blink, or after seconds."""
        return self.rng.uniform(0.05, 0.6) if self.rng.random() < 0.6 else self.rng.uniform(0.6, 6.0)

    def random_time_s(self, before_end: float = 30.0) -> float:
        return self.rng.uniform(12, max(13.0, self.for_s - before_end))

    # --- ends of processes ------------------------------------------------------------------

    def crash_with_starts_in_flight(self) -> None:
        """Starts are on their way when the leader ends; they arrive after the next process of that name has begun."""
        for at in self._wave_times():
            self._delayed_starts(at, 1.0, self.rng.uniform(2.0, 3.5))
            self.add("node_crash", at + self.rng.uniform(0.7, 1.0), self.rng.uniform(0.05, 0.4))

    def _wave_times(self) -> list[float]:
        """Moments close enough that the room of one swarm still stands by for the next."""
        first = self.rng.uniform(9, 14)
        return [first + number * self.rng.uniform(17, 20) for number in range(self.rng.randint(4, 5))]

    def _delayed_starts(self, at: float, window: float, late: float, name: str = "guest") -> None:
        """A swarm of tasks; the commands that go out within the window arrive so late."""
        self._task_burst(at, name)
        self.add("links_slow", at, window, source="node", target="worker", amount=late)

    def _task_burst(self, at: float, name: str = "guest") -> None:
        self.add("rush", at - 1, 2.2, name=name, amount=self.rng.uniform(36, 60))

    def crash_with_slow_requests(self) -> None:
        """So are transactions, rentals and releases."""
        at, target = self.random_time_s(), self.rng.choice(["state", "cloud"])
        self.add(
            "links_slow",
            at,
            self.rng.uniform(3, 7),
            source="node",
            target=target,
            amount=self.rng.uniform(0.2, 0.5) if target == "state" else self.rng.uniform(0.5, 3),
        )
        self.add("node_crash", at + self.rng.uniform(0.8, 3), self.restart_after_s())

    def crash_with_lost_commit(self) -> None:
        """The leader ends while what it wrote is lost on the way, and a zone that might tell what runs is not heard."""
        for at in self._wave_times():
            zone = f"zone:{self.rng.choice(self.zones)}"
            self._task_burst(at)
            self.add("node_cut", at, self.rng.uniform(1, 1.3), what="state", mode="lost", way="to")
            self.add("node_crash", at + 0.8, self.rng.uniform(0.05, 0.3))
            self.add("links_cut", at + 0.8, self.rng.uniform(3, 4.5), source=zone, target="node")

    def crash_all_nodes(self) -> None:
        self.add("node_crash", self.random_time_s(), self.restart_after_s(), node=ALL)

    def rolling_crashes(self) -> None:
        at = self.random_time_s()
        for name in self.rng.sample(self.names, len(self.names)):
            self.add("node_crash", at, self.restart_after_s(), node=name)
            at += self.rng.uniform(0.3, 20 / len(self.names))

    def crashes_in_state_outage(self) -> None:
        at, long = self.random_time_s(40), self.rng.uniform(4, 25)
        self.add("state_down", at, long)
        for _ in range(self.rng.randint(1, 2)):
            self.add(
                "node_crash",
                at + self.rng.uniform(0, long + 1),
                self.restart_after_s(),
                node=self.rng.choice([ALL, LEADER]),
            )

    def crashes_in_zone_partition(self) -> None:
        at, long = self.random_time_s(45), self.rng.uniform(8, 40)
        self.add("zone_cut", at, long, zone=self.rng.choice(self.zones), mode=self.rng.choice(["hold", "lost"]))
        for _ in range(self.rng.randint(1, 3)):
            self.add(
                "node_crash",
                at + self.rng.uniform(0, long),
                self.restart_after_s(),
                node=self.rng.choice([ALL, *self.names]),
            )

    def crash_in_takeover(self) -> None:
        at = self.random_time_s()
        self.add("node_crash", at, self.rng.uniform(3.5, 6))
        self.add("node_crash", at + self.rng.uniform(2.9, 4.2), self.restart_after_s())

    def crash_in_handover(self) -> None:
        at = self.random_time_s()
        self.add("node_refused", at, self.rng.uniform(4, 12))
        self.add("node_crash", at + self.rng.uniform(2, 3.5), self.restart_after_s(), node=self.rng.choice(self.names))

    # --- starts, commits and cancellations that are overtaken -----------------------------------

    def overtaken_starts(self) -> None:
        """Starts are late, so they are sent again; what they started is stopped and runs elsewhere when they land."""
        for at in self._wave_times():
            self._delayed_starts(at, 1.2, self.rng.uniform(4, 6))
            self.add("machines_taken", at + self.rng.uniform(2.2, 2.8), count=self.small_machine_count, amount=4.0)

    def pause_with_commit_in_flight(self) -> None:
        """A commit is under way when the leader stands still, for longer than its lease."""
        at = self.random_time_s(40)
        self.add("state_slow", at, self.rng.uniform(3, 8), amount=self.rng.uniform(0.4, 0.9))
        self.add("node_freeze", at + self.rng.uniform(1, 3), self.rng.uniform(5, 15))

    def long_zone_partition(self) -> None:
        """A leader and its zone are cut off for longer than a cancellation may take."""
        at = self.rng.uniform(10, max(11.0, self.for_s - 75))
        self.add("zone_cut", at, self.rng.uniform(46, 60), zone=self.rng.choice(self.zones), mode="hold")
        self.add("users_cancel", at + self.rng.uniform(0, 3), count=self.small_machine_count * 2)


# Each plan has one of these, by weight. What starts that are overtaken hit is seldom, and hidden by other troubles.
AIMED = {
    ScenarioBuilder.overtaken_starts: 10,
    ScenarioBuilder.crash_with_starts_in_flight: 7,
    ScenarioBuilder.long_zone_partition: 4,
    ScenarioBuilder.crash_with_lost_commit: 2,
}
OTHERS = (
    ScenarioBuilder.crash_with_slow_requests,
    ScenarioBuilder.crash_all_nodes,
    ScenarioBuilder.rolling_crashes,
    ScenarioBuilder.crashes_in_state_outage,
    ScenarioBuilder.crashes_in_zone_partition,
    ScenarioBuilder.crash_in_takeover,
    ScenarioBuilder.crash_in_handover,
    ScenarioBuilder.pause_with_commit_in_flight,
)


def random_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 120.0
) -> Plan:
    """Some faults of all kinds by chance, one aimed pattern, and up to two others."""
    plan = ScenarioBuilder(seed, nodes, machines, zones, for_s)
    rng, few, node, end = plan.rng, plan.small_machine_count, plan.random_node, plan.restart_after_s
    makers: list[Callable[[float], Fault]] = [
        lambda at: Fault(
            "node_cut",
            at,
            rng.uniform(3, 35),
            node=node(),
            what=rng.choice(NODE_CUT_TARGETS),
            mode=rng.choice(CUT_MODES),
            way=rng.choice(CUT_DIRECTIONS),
        ),
        lambda at: Fault("node_refused", at, rng.uniform(3, 30), node=node()),
        lambda at: Fault("peers_refuse", at, rng.uniform(5, 30)),
        lambda at: Fault("node_freeze", at, rng.uniform(1, 25), node=node()),
        lambda at: Fault("node_crash", at, end(), node=node()),
        lambda at: Fault("node_slow", at, rng.uniform(5, 20), node=node(), amount=rng.uniform(2, 10)),
        lambda at: Fault("machine_cut", at, rng.uniform(3, 40), count=rng.randint(1, few), mode=rng.choice(CUT_MODES)),
        lambda at: Fault("machine_hang", at, rng.uniform(3, 30), count=rng.randint(1, few)),
        lambda at: Fault("machine_die", at, count=rng.randint(1, few)),
        lambda at: Fault("machines_taken", at, count=rng.randint(1, few), amount=rng.choice([0.0, 15.0])),
        lambda at: Fault("zone_cut", at, rng.uniform(5, 40), zone=rng.choice(zones), mode=rng.choice(CUT_MODES)),
        lambda at: Fault(
            "links_slow",
            at,
            rng.uniform(5, 30),
            source="node",
            target=rng.choice(["worker", "state"]),
            amount=rng.uniform(0.05, 2.5),
        ),
        lambda at: Fault(
            "links_lossy",
            at,
            rng.uniform(5, 30),
            source="node",
            target=rng.choice(["worker", "node"]),
            amount=rng.uniform(0.05, 0.5),
        ),
        lambda at: Fault("links_cut", at, rng.uniform(1, 8), source="node", target="worker"),
        lambda at: Fault("links_cut", at, rng.uniform(1, 8), source="worker", target="node"),
        lambda at: Fault("state_down", at, rng.uniform(2, 25)),
        lambda at: Fault("state_slow", at, rng.uniform(5, 20), amount=rng.uniform(0.1, 0.6)),
        lambda at: Fault("cloud_down", at, rng.uniform(5, 30)),
        lambda at: Fault("no_capacity", at, rng.uniform(10, 60)),
        *_unreachable_machine_faults(rng, few, zones, node),
    ]
    aimed = rng.choices(list(AIMED), list(AIMED.values()))[0]
    alone = aimed is ScenarioBuilder.overtaken_starts
    chance, others = (rng.randint(0, 1), 0) if alone else (rng.randint(1, 4), rng.randint(0, 2))
    plan.faults += [rng.choice(makers)(rng.uniform(12, for_s * 0.75)) for _ in range(chance)]
    for pattern in (aimed, *rng.sample(OTHERS, others)):
        pattern(plan)
    usual = machines / 2
    return Plan(
        tuple(sorted(plan.faults, key=lambda f: f.at_s)),
        for_s,
        nodes,
        machines,
        usual * (0.5 if alone else rng.choice((0.5, 0.5, 1, 2))),
        PIPELINES,
    )


def _unreachable_machine_faults(
    rng: random.Random, few: int, zones: tuple[str, ...], node: Callable[[], str]
) -> list[Callable[[float], Fault]]:
    """Machines that aren't reached, copies, a node that is alone with its workers, ends within a blink."""
    return [
        lambda at: Fault("machine_deaf", at, rng.uniform(5, 40), count=rng.choice([1, few, 3 * few])),
        lambda at: Fault("machine_deaf", at, rng.uniform(5, 30), zone=rng.choice(zones)),
        lambda at: Fault("report_copies", at, rng.uniform(20, 60), amount=rng.choice([3.0, 20.0, 50.0])),
        lambda at: Fault("late_repeats", at, rng.uniform(20, 60), amount=rng.choice([1.0, 20.0])),
        lambda at: Fault("node_alone", at, rng.uniform(2, 50), node=node(), mode=rng.choice(CUT_MODES)),
        lambda at: Fault("machine_blink", at, count=rng.choice([1, few]), amount=rng.choice([0.0, 1.0])),
    ]


def unreachable_machines_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 120.0
) -> Plan:
    """One or two of the troubles at the end of a day, beside others; then time to answer everything."""
    plan = ScenarioBuilder(seed, nodes, machines, zones, for_s)
    rng = plan.rng
    kinds = _unreachable_machine_faults(rng, plan.small_machine_count, zones, plan.random_node)
    plan.faults += [rng.choice(kinds)(rng.uniform(10, 50)) for _ in range(rng.randint(1, 2))]
    if rng.random() < 0.5:
        plan.add("node_crash", rng.uniform(12, 60), plan.restart_after_s(), node=rng.choice([ALL, LEADER, LEADER]))
    if rng.random() < 0.5:
        plan.add("users_cancel", rng.uniform(12, 50), count=plan.small_machine_count)
    if rng.random() < 0.3:
        plan.add(
            "node_cut",
            rng.uniform(12, 50),
            rng.uniform(2, 30),
            node=plan.random_node(),
            what=rng.choice(NODE_CUT_TARGETS),
            mode=rng.choice(CUT_MODES),
            way=rng.choice(CUT_DIRECTIONS),
        )
    if rng.random() < 0.3:
        plan.add("machines_taken", rng.uniform(12, 50), count=plan.small_machine_count, amount=rng.choice([0.0, 15.0]))
    faults = tuple(sorted(plan.faults, key=lambda f: f.at_s))
    return Plan(faults, for_s, nodes, machines, machines / 2, PIPELINES)


def rolling_upgrade_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 150.0
) -> Plan:
    """Nodes are killed and come back with the new version, one or two at a time, among other troubles.

    Once all have it the state service's limits fall, and pipelines come; some are cancelled at their first stage, or
    when a stage has just ended.
    """
    plan = ScenarioBuilder(seed, nodes, machines, zones, for_s)
    rng = plan.rng
    begins, count, gap = rng.uniform(8, 14), rng.randint(1, 2), rng.uniform(4, 9)
    away = rng.choice([rng.uniform(0.05, 0.6), rng.uniform(0.6, 6.0)])
    plan.add("upgrade", begins, away, count=count, amount=gap)
    over = begins + gap * -(-nodes // count) + away
    for _ in range(rng.randint(0, 2)):  # before its turn one comes back old
        plan.add("node_crash", rng.uniform(6, over), plan.restart_after_s(), node=plan.random_node())
    troubles = (
        ScenarioBuilder.crash_with_slow_requests,
        ScenarioBuilder.rolling_crashes,
        ScenarioBuilder.crash_in_takeover,
        ScenarioBuilder.pause_with_commit_in_flight,
        ScenarioBuilder.crash_in_handover,
    )
    if rng.random() < 0.5:
        rng.choice(troubles)(plan)
    if rng.random() < 0.3:
        plan.add(
            "zone_cut", rng.uniform(8, over), rng.uniform(3, 12), zone=rng.choice(zones), mode=rng.choice(CUT_MODES)
        )
    if rng.random() < 0.3:
        plan.add("machine_die", rng.uniform(8, over + 20), count=plan.small_machine_count)
    plan.add("state_limits", over + rng.uniform(8, 14))
    pipelines_from = over + rng.uniform(1, 4)
    plan.add("cancel_needed", pipelines_from + rng.uniform(4, 12), count=2)
    plan.add("cancel_at_end", pipelines_from + 5, 40.0)
    plan.add("state_slow", pipelines_from + rng.uniform(5, 20), rng.uniform(8, 20), amount=rng.uniform(0.3, 0.9))
    if rng.random() < 0.5:
        plan.add(
            "node_crash", pipelines_from + rng.uniform(2, 30), plan.restart_after_s(), node=rng.choice([ALL, LEADER])
        )
    faults = tuple(sorted(plan.faults, key=lambda f: f.at_s))
    return Plan(faults, for_s, nodes, machines, machines / 3, 4 * PIPELINES, pipelines_from, old_nodes=True)
