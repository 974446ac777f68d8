"""Plans in which teams are at their limits while jobs are cancelled, machines aren't reached and the leader changes."""

from __future__ import annotations

from collections.abc import Callable

from oatport.simulation.fault_plan import ALL, Plan
from oatport.simulation.plan_builder import CANCEL_S, LEASE_S, PlanBuilder

TEAM_SHARE = 0.45  # of the usual limits: what comes is more than they allow


def _change_leader(builder: PlanBuilder, at: float) -> None:
    """One way or another, or twice."""
    rng = builder.rng
    ways: list[Callable[[float], None]] = [
        lambda when: builder.crash_leader(when),
        lambda when: builder.add("node_crash", when, builder.restart_after_s(), node=ALL),
        lambda when: builder.add("node_refused", when, rng.uniform(2.2, 9)),
        lambda when: builder.add("node_freeze", when, rng.uniform(3, LEASE_S)),
        lambda when: builder.add("node_alone", when, rng.uniform(3, CANCEL_S - LEASE_S)),
        lambda when: builder.add("node_cut", when, rng.uniform(3, 20), what="workers"),
    ]
    for _ in range(rng.choice([1, 1, 2])):
        rng.choice(ways)(at)
        at += rng.uniform(1.0, 6.0)


def _make_machines_unreachable(builder: PlanBuilder, at: float) -> None:
    """Machines hang, are cut off, don't hear or aren't heard, for around a lease."""
    rng = builder.rng
    span, many = LEASE_S * rng.uniform(0.3, 2.2), builder.machines_tenth * rng.choice([1, 3])
    kind = rng.choice(["machine_hang", "machine_cut", "machine_deaf", "machine_mute"])
    builder.add(kind, at, span, count=many)


def _delay_writes(builder: PlanBuilder, at: float) -> None:
    """What is written is late, or unsure; reports come again."""
    rng = builder.rng
    for kind, span, amounts in (
        ("late_writes", rng.uniform(2, 12), (0.2, 0.5, 0.8)),
        ("lost_answers", rng.uniform(2, 12), (0.2, 0.5, 0.9)),
        ("copies_for_next", rng.uniform(5, 30), (0.3, 1.0)),
        ("report_copies", rng.uniform(10, 40), (3.0, LEASE_S, 3 * LEASE_S)),
    ):
        if rng.random() < 0.4:
            builder.add(kind, max(5.0, at - span * rng.random()), span, amount=rng.choice(amounts))


def cancelled_running_jobs(builder: PlanBuilder, at: float) -> None:
    """Jobs that run are cancelled, some of their machines hang, and the leader changes."""
    rng = builder.rng
    builder.add(
        "cancel_now",
        at,
        count=builder.machines_tenth * rng.choice([2, 6]),
        amount=rng.choice([0.0, LEASE_S * rng.uniform(0.2, 2.0)]),
    )
    _make_machines_unreachable(builder, at + rng.uniform(-2, 2))
    _delay_writes(builder, at)
    _change_leader(builder, at + rng.uniform(-1.5, 4))


def completions_in_failover(builder: PlanBuilder, at: float) -> None:
    """Tasks end all the time, and machines are taken back or returned, when the leader changes."""
    rng = builder.rng
    builder.add(
        "rush",
        max(1.0, at - 8),
        8.0,
        name=rng.choice(["local", "train", "guest"]),
        amount=rng.uniform(5, 15),
    )
    if rng.random() < 0.6:
        builder.add(
            "machines_taken",
            at - rng.uniform(0, 8),
            count=builder.machines_tenth * 3,
            amount=rng.choice([0.0, 4.0, 15.0]),
        )
    if rng.random() < 0.5:
        builder.add("machine_die", at - rng.uniform(0, 3), count=builder.machines_tenth)
    _delay_writes(builder, at)
    _change_leader(builder, at + rng.uniform(-1.0, 1.5))


def new_machines(builder: PlanBuilder, at: float) -> None:
    """Machines come up at once and get work while writes lag."""
    rng = builder.rng
    builder.add("quick_boots", at - 6, 14.0)
    builder.add("machine_die", at - 5, count=builder.machines_tenth * 2)
    builder.add("rush", max(1.0, at - 5), 6.0, name="batch", amount=rng.uniform(2, 6))
    _delay_writes(builder, at)
    _change_leader(builder, at + rng.uniform(-1, 3))


def lost_machines_with_completions(builder: PlanBuilder, at: float) -> None:
    """What ended is not written, its machines are given up meanwhile, and then all nodes end."""
    rng = builder.rng
    builder.add("late_writes", at, 9.0, amount=0.9)
    builder.add("machine_hang", at + rng.uniform(0.8, 2.0), LEASE_S - 2, count=builder.machines_tenth * 4)
    builder.add("node_crash", at + rng.uniform(7.2, 8.5), builder.restart_after_s(), node=ALL)


def gang_completions(builder: PlanBuilder, at: float) -> None:
    """Gangs complete, and one of their machines dies in that moment; the leader changes."""
    rng = builder.rng
    builder.add("rush", max(1.0, at - 10), 10.0, name="train", amount=rng.uniform(10, 25))
    builder.add("die_at_end", max(2.0, at - 6), 40.0, amount=0.5)
    _delay_writes(builder, at)
    _change_leader(builder, at + rng.uniform(1, 12))


def long_controller_outage(builder: PlanBuilder, at: float) -> None:
    """All controllers are away for longer than a lease, or the state service is, with jobs cancelled before."""
    rng = builder.rng
    builder.add(
        "cancel_now",
        at - rng.uniform(0, 3),
        count=builder.machines_tenth * 4,
        amount=rng.choice([0.0, LEASE_S]),
    )
    if rng.random() < 0.5:
        builder.add("node_crash", at, LEASE_S + rng.uniform(-3, 4), node=ALL)
    else:
        builder.add("state_down", at, LEASE_S * rng.uniform(0.5, 2.5))
        _change_leader(builder, at + rng.uniform(1, 8))
    _delay_writes(builder, at)


ROUNDS: tuple[Callable[[PlanBuilder, float], None], ...] = (
    cancelled_running_jobs,
    completions_in_failover,
    new_machines,
    long_controller_outage,
    lost_machines_with_completions,
    gang_completions,
)


def quota_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 120.0
) -> Plan:
    """All teams at their limits, and three rounds of faults."""
    builder = PlanBuilder(seed, nodes, machines, zones, for_s)
    rng = builder.rng
    at = rng.uniform(18, 28)
    for turn in range(3):
        ROUNDS[(seed + turn) % len(ROUNDS)](builder, at)
        at += rng.uniform(18, 30)
    return builder.build(machines * rng.choice([1.0, 1.5]), team_share=TEAM_SHARE)
