"""Plans in which two faults interact, their times drawn around the edges: leases, `cancel_s`, takeovers, handovers.

Each function is one of the interactions of docs/fault-interactions.md.
"""

from __future__ import annotations

from collections.abc import Callable

from oatport.simulation.fault_plan import LEADER, Plan
from oatport.simulation.plan_builder import CANCEL_S, LEASE_S, PlanBuilder


def slow_state_service(builder: PlanBuilder) -> None:
    """The state service is slow or refuses the leader, then everybody, while users cancel and ask."""
    rng = builder.rng
    at, span = builder.random_time_s(80), rng.uniform(1, 6)
    builder.add("state_slow", at - 3, span + 6, amount=rng.uniform(0.3, 0.95))
    builder.add("node_refused", at, span + rng.uniform(-0.5, 6), node=rng.choice([LEADER, *builder.node_names]))
    builder.cancel_jobs(at - 1, span + 1)
    short, long = rng.uniform(2, 20), CANCEL_S + rng.uniform(-3, 8)
    builder.add("state_down", at + span, rng.choice([short, long]))
    builder.cancel_jobs(at + span + 1, 5.0, 1)


def staggered_completions(builder: PlanBuilder) -> None:
    """Jobs of few tasks, which end far apart, across changes of the leader; what they ended with is lost."""
    rng = builder.rng
    for at in builder.wave_times():
        builder.add("rush", at - 6, 6.0, name="local", amount=rng.uniform(6, 15))
        change = rng.randrange(4)
        if change == 0:
            builder.crash_leader(at)
        elif change == 1:
            builder.add("node_refused", at - 2, rng.uniform(2, 6))
        elif change == 2:
            builder.add("node_freeze", at, rng.uniform(2.5, 6))
        else:
            builder.add("node_cut", at, rng.uniform(1, 5), what="state", mode="lost", way="to")
            builder.crash_leader(at + rng.uniform(0.3, 3))
        builder.add("late_writes", at - 1, 3.0, amount=rng.choice([0.0, 0.4]))


def repeated_handovers(builder: PlanBuilder) -> None:
    """Handed over and back; all end, one is back first."""
    rng = builder.rng
    at = builder.random_time_s(70)
    for _ in range(rng.randint(2, 4)):
        builder.add("node_refused", at, rng.uniform(2.2, 5))
        at += rng.uniform(2.5, 8)
    builder.add("links_lossy", at - 6, 6, source="node", target="node", amount=rng.uniform(0, 0.6))
    for name in builder.node_names:
        builder.add("node_crash", at, rng.choice([rng.uniform(0.05, 1), rng.uniform(1, 9)]), node=name)
    if rng.random() < 0.5:
        builder.add("late_writes", at - 4, 8, amount=rng.uniform(0.2, 0.7))
    builder.crash_leader(at + rng.uniform(0.5, 5))


def stale_heartbeats(builder: PlanBuilder) -> None:
    """Copies of reports from before: of an earlier session, an earlier attempt, under an earlier leader."""
    rng = builder.rng
    at = builder.random_time_s(60)
    builder.add("report_copies", at - 5, 45, amount=rng.choice([4.0, LEASE_S + 2, 2 * LEASE_S, 50.0]))
    for fault in rng.sample(("blink", "deaf", "hang", "taken", "lead", "cut"), 3):
        when = at + rng.uniform(0, 20)
        if fault == "blink":
            builder.add("machine_blink", when, count=builder.machines_tenth * 2, amount=rng.choice([0.0, 1.0]))
        elif fault == "deaf":
            builder.add("machine_deaf", when, LEASE_S + rng.uniform(-3, 6), count=builder.machines_tenth * 2)
        elif fault == "hang":
            builder.add("machine_hang", when, LEASE_S + rng.uniform(-6, 6), count=builder.machines_tenth * 2)
        elif fault == "taken":
            builder.add("machines_taken", when, count=builder.machines_tenth, amount=rng.choice([0.0, 4.0]))
        elif fault == "lead":
            builder.crash_leader(when)
        else:
            builder.add("machine_cut", when, LEASE_S + rng.uniform(-3, 4), count=builder.machines_tenth * 2)


def isolated_leader(builder: PlanBuilder) -> None:
    """Cut from the state service and the others, not from workers and users; jobs are cancelled elsewhere."""
    rng = builder.rng
    at = builder.random_time_s(70)
    long = rng.choice([rng.uniform(4, 20), CANCEL_S - LEASE_S + rng.uniform(-4, 6), 50.0])
    builder.add("node_alone", at, long, mode=rng.choice(["hold", "lost"]))
    builder.cancel_jobs(at + rng.uniform(0, 5), rng.uniform(1, 8))
    builder.cancel_jobs(at + long * 0.8, long * 0.3, 2)
    if rng.random() < 0.4:
        builder.add("state_down", at + rng.uniform(2, 10), rng.uniform(5, 45))


def delayed_commands(builder: PlanBuilder) -> None:
    """Commands or their answers are held up for seconds while tasks are cancelled, stopped and moved."""
    rng = builder.rng
    for at in builder.wave_times():
        name = rng.choice(["batch", "local", "train"])
        builder.add("rush", at - 1.5, 2.5, name=name, amount=rng.uniform(6, 20))
        held = rng.randrange(3)
        if held == 0:
            builder.add(
                "links_slow",
                at,
                rng.uniform(1, 3),
                source="node",
                target="worker",
                amount=rng.uniform(2, 9),
            )
        elif held == 1:
            builder.add(
                "links_cut",
                at,
                rng.uniform(2, LEASE_S - 1),
                source=rng.choice(["node", "worker"]),
                target=rng.choice(["worker", "node"]),
                mode="hold",
            )
        else:
            builder.add("machine_hang", at, rng.uniform(2, LEASE_S), count=builder.machines_tenth * 3)
        builder.cancel_jobs(at + rng.uniform(0, 2), 1.0)
        builder.add(
            "machines_taken",
            at + rng.uniform(1, 4),
            count=builder.machines_tenth,
            amount=rng.choice([0.0, 5.0]),
        )
    if rng.random() < 0.5:
        builder.add("state_down", rng.uniform(20, 60), rng.uniform(3, 40))


def unreachable_machines(builder: PlanBuilder) -> None:
    """The leader ends while machines with long tasks can't be reached, or don't hear the new one's answer."""
    rng = builder.rng
    at = builder.random_time_s(70)
    kind = rng.choice(["machine_deaf", "machine_cut", "machine_hang"])
    builder.add(kind, at - rng.uniform(0, 4), LEASE_S * rng.uniform(0.5, 2.5), count=builder.machines_tenth * 3)
    if rng.random() < 0.4:
        builder.add("machine_deaf", at, LEASE_S * rng.uniform(0.5, 2), zone=rng.choice(builder.zones))
    builder.crash_leader(at)
    if rng.random() < 0.5:
        builder.crash_leader(at + rng.uniform(2, 8))
    builder.cancel_jobs(at + rng.uniform(-2, 6), 4.0)


def delayed_transactions(builder: PlanBuilder) -> None:
    """Transactions without an answer are carried out late, after newer ones of the same node."""
    rng = builder.rng
    at = builder.random_time_s(60)
    builder.add("late_writes", at, rng.uniform(5, 25), amount=rng.uniform(0.1, 0.8))
    builder.cancel_jobs(at + 1, 6.0)
    builder.add("cancel_at_end", at, 20.0)
    builder.add("rush", at, 6.0, name="local", amount=5.0)
    change = rng.randrange(4)
    if change == 0:
        builder.crash_random_node(at + rng.uniform(2, 12))
    elif change == 1:
        builder.add("node_refused", at + rng.uniform(2, 12), rng.uniform(2.2, 8))
    elif change == 2:
        builder.add("node_freeze", at + rng.uniform(2, 12), rng.uniform(2, 9))
    else:
        builder.add("state_down", at + rng.uniform(2, 12), rng.uniform(2, 20))


def reads_after_status_changes(builder: PlanBuilder) -> None:
    """Users ask at all nodes, and repeat, right after each news; among slow answers and changes of the leader."""
    rng = builder.rng
    at = builder.random_time_s(60)
    builder.add("close_looks", 6.0, builder.for_s - 30)
    builder.add("odd_requests", 8.0, builder.for_s - 40)
    builder.cancel_jobs(at, 10.0)
    builder.add("cancel_at_end", max(6.0, at - 15), 40.0)
    for kind, amount in rng.sample(
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
        when = at + rng.uniform(-6, 6)
        if kind == "node_crash":
            builder.add(kind, when, builder.restart_after_s(), node=builder.random_node())
        elif kind == "node_refused":
            builder.add(kind, when, rng.uniform(0.5, 8), node=builder.random_node())
        elif kind == "peers_refuse":
            builder.add(kind, when, rng.uniform(2, 12))
        else:
            builder.add(kind, when, rng.uniform(3, 12), amount=amount)


def lost_commit_answers(builder: PlanBuilder) -> None:
    """Transactions are carried out at once and only their answers lost, while others read what was written."""
    rng = builder.rng
    at = builder.random_time_s(50)
    builder.add("lost_answers", at, rng.uniform(4, 20), amount=rng.choice([0.3, 0.7, 1.0]))
    builder.add("close_looks", max(6.0, at - 8), 40.0)
    builder.add("rush", max(1.0, at - 2), 8.0, name=rng.choice(["local", "batch"]), amount=rng.uniform(4, 12))
    builder.cancel_jobs(at + 0.5, 8.0)
    builder.add("cancel_at_end", at, 20.0)
    if rng.random() < 0.6:
        builder.crash_random_node(at + rng.uniform(0.5, 12))


def cancellations_in_failover(builder: PlanBuilder) -> None:
    """Jobs are cancelled in the seconds in which one controller's work changes hands."""
    rng = builder.rng
    for at in builder.wave_times():
        builder.add(
            "rush",
            max(1.0, at - 4),
            4.0,
            name=rng.choice(["local", "batch", "train"]),
            amount=rng.uniform(5, 15),
        )
        away = builder.restart_after_s()
        builder.add("node_crash", at, away)
        builder.cancel_jobs(at - rng.uniform(0.2, 1.0), 1.0 + rng.uniform(1, 5), 6)
        if rng.random() < 0.4:
            builder.add(
                "links_slow",
                at - 1,
                4.0,
                source="node",
                target=rng.choice(["worker", "state", "node"]),
                amount=rng.uniform(0.1, 0.5),
            )


def single_task_job_burst(builder: PlanBuilder) -> None:
    """One-task jobs come four a second for long, a quarter of them cancelled."""
    rng = builder.rng
    at = rng.uniform(8, 20)
    builder.add("singles", at, 60.0, amount=4.0)
    builder.crash_random_node(at + rng.uniform(10, 50))
    if rng.random() < 0.5:
        builder.add("late_writes", at + rng.uniform(5, 50), 5.0, amount=0.3)


def zone_bound_jobs(builder: PlanBuilder) -> None:
    """Jobs bound to one zone, arrays too, lose machines; so does the zone."""
    rng = builder.rng
    at = builder.random_time_s(60)
    for name in ("local", "train"):
        builder.add("rush", max(1.0, at - 10), 25.0, name=name, amount=rng.uniform(4, 10))
    for _ in range(rng.randint(2, 4)):
        kind = rng.choice(["machine_die", "machines_taken", "machine_hang", "machine_cut", "machine_mute"])
        when = at + rng.uniform(-3, 15)
        builder.add(kind, when, LEASE_S * rng.uniform(0.4, 1.5), count=builder.machines_tenth * 3)
    if rng.random() < 0.6:
        builder.crash_random_node(at + rng.uniform(0, 12))


def zone_partition(builder: PlanBuilder) -> None:
    """A zone with workers and a controller is cut off for longer than a lease; jobs are cancelled meanwhile."""
    rng = builder.rng
    at, long = rng.uniform(12, 30), LEASE_S * rng.uniform(1.1, 4.2)
    builder.add("zone_cut", at, long, zone=rng.choice(builder.zones), mode=rng.choice(["hold", "lost"]))
    builder.cancel_jobs(at + rng.uniform(-1, 4), 6.0)
    builder.cancel_jobs(at + long * 0.7, long * 0.5, 2)
    if rng.random() < 0.5:
        builder.crash_random_node(at + rng.uniform(0, long))


def requests_at_last_completion(builder: PlanBuilder) -> None:
    """A cancellation, a question or a repeated submission meets the end of a job's last task, and nothing else."""
    builder.add("cancel_at_end", 6.0, builder.for_s - 20, amount=builder.rng.choice([0.2, 0.6]))
    builder.add("close_looks", 6.0, builder.for_s - 20)
    builder.add("odd_requests", 6.0, builder.for_s - 20)


def frequent_failovers(builder: PlanBuilder) -> None:
    """Leaders change ten times in two minutes, also inside an outage."""
    rng = builder.rng
    at = rng.uniform(10, 14)
    for _ in range(10):
        if rng.random() < 0.6:
            builder.crash_leader(at)
        else:
            builder.add("node_refused", at, rng.uniform(2.2, 6))
        at += rng.uniform(3.5, 7.5)
    if rng.random() < 0.6:
        builder.add("state_down", rng.uniform(15, 50), rng.uniform(5, LEASE_S + 8))
    builder.cancel_jobs(rng.uniform(15, 60), 10.0)
    if rng.random() < 0.5:
        builder.add("copies_for_next", 10.0, 60.0, amount=0.3)


def overload_on_slow_links(builder: PlanBuilder) -> None:
    """More work than room, urgent and not, over slow links."""
    rng = builder.rng
    at = builder.random_time_s(60)
    for name in ("batch", "guest", "train", "serve"):
        builder.add("rush", max(1.0, at - 8), 25.0, name=name, amount=rng.uniform(3, 8))
    builder.add("no_capacity", at - 6, 40.0)
    for target in rng.sample(["worker", "state", "node"], 2):
        builder.add(
            "links_slow",
            at,
            rng.uniform(8, 25),
            source="node",
            target=target,
            amount=rng.uniform(0.05, 0.5),
        )
    if rng.random() < 0.5:
        builder.crash_random_node(at + rng.uniform(0, 15))


FAULT_INTERACTIONS: tuple[Callable[[PlanBuilder], None], ...] = (
    slow_state_service,
    staggered_completions,
    repeated_handovers,
    stale_heartbeats,
    isolated_leader,
    delayed_commands,
    unreachable_machines,
    delayed_transactions,
    reads_after_status_changes,
    lost_commit_answers,
    cancellations_in_failover,
    single_task_job_burst,
    zone_bound_jobs,
    zone_partition,
    requests_at_last_completion,
    frequent_failovers,
    overload_on_slow_links,
)


def fault_interaction_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 120.0
) -> Plan:
    """One interaction, in turn, and half of the time another one or a process that ends beside it."""
    builder = PlanBuilder(seed, nodes, machines, zones, for_s)
    rng = builder.rng
    FAULT_INTERACTIONS[seed % len(FAULT_INTERACTIONS)](builder)
    beside = rng.random()
    if beside < 0.25:
        rng.choice(FAULT_INTERACTIONS)(builder)
    elif beside < 0.5:
        builder.crash_random_node(builder.random_time_s())
    return builder.build(machines * rng.choice([0.5, 1]))
