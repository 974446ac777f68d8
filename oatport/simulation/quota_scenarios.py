"""Fault plans for teams at their quotas while jobs are cancelled, machines are unreachable and the leader changes."""

from __future__ import annotations

from collections.abc import Callable

from oatport.simulation.fault_plan import ALL, Plan
from oatport.simulation.plan_builder import CANCEL_S, LEASE_S, PlanBuilder

TEAM_SHARE = 0.45  # factor on the usual limits, so that the submitted jobs exceed the quotas


def _change_leader(builder: PlanBuilder, at_s: float) -> None:
    """Adds one or two random faults that cause a change of the leader."""
    rng = builder.rng
    leader_changes: list[Callable[[float], None]] = [
        lambda begin_s: builder.crash_leader(begin_s),
        lambda begin_s: builder.add("node_crash", begin_s, builder.restart_after_s(), node=ALL),
        lambda begin_s: builder.add("node_refused", begin_s, rng.uniform(2.2, 9)),
        lambda begin_s: builder.add("node_freeze", begin_s, rng.uniform(3, LEASE_S)),
        lambda begin_s: builder.add("node_alone", begin_s, rng.uniform(3, CANCEL_S - LEASE_S)),
        lambda begin_s: builder.add("node_cut", begin_s, rng.uniform(3, 20), what="workers"),
    ]
    for _ in range(rng.choice([1, 1, 2])):
        rng.choice(leader_changes)(at_s)
        at_s += rng.uniform(1.0, 6.0)


def _make_machines_unreachable(builder: PlanBuilder, at_s: float) -> None:
    """Makes machines hang, or cuts them off in both directions or one, for about the duration of a lease."""
    rng = builder.rng
    span_s, machine_count = LEASE_S * rng.uniform(0.3, 2.2), builder.tenth_of_machines * rng.choice([1, 3])
    kind = rng.choice(["machine_hang", "machine_cut", "machine_deaf", "machine_mute"])
    builder.add(kind, at_s, span_s, count=machine_count)


def _delay_writes(builder: PlanBuilder, at_s: float) -> None:
    """Delays writes or loses their responses, and duplicates heartbeats."""
    rng = builder.rng
    for kind, span_s, amounts in (
        ("late_writes", rng.uniform(2, 12), (0.2, 0.5, 0.8)),
        ("lost_answers", rng.uniform(2, 12), (0.2, 0.5, 0.9)),
        ("copies_for_next", rng.uniform(5, 30), (0.3, 1.0)),
        ("report_copies", rng.uniform(10, 40), (3.0, LEASE_S, 3 * LEASE_S)),
    ):
        if rng.random() < 0.4:
            builder.add(kind, max(5.0, at_s - span_s * rng.random()), span_s, amount=rng.choice(amounts))


def cancelled_running_jobs(builder: PlanBuilder, at_s: float) -> None:
    """Cancels running jobs while some of their machines hang and the leader changes."""
    rng = builder.rng
    builder.add(
        "cancel_now",
        at_s,
        count=builder.tenth_of_machines * rng.choice([2, 6]),
        amount=rng.choice([0.0, LEASE_S * rng.uniform(0.2, 2.0)]),
    )
    _make_machines_unreachable(builder, at_s + rng.uniform(-2, 2))
    _delay_writes(builder, at_s)
    _change_leader(builder, at_s + rng.uniform(-1.5, 4))


def completions_in_failover(builder: PlanBuilder, at_s: float) -> None:
    """Changes the leader while many tasks complete and machines are reclaimed or die."""
    rng = builder.rng
    builder.add(
        "rush",
        max(1.0, at_s - 8),
        8.0,
        name=rng.choice(["local", "train", "guest"]),
        amount=rng.uniform(5, 15),
    )
    if rng.random() < 0.6:
        builder.add(
            "machines_taken",
            at_s - rng.uniform(0, 8),
            count=builder.tenth_of_machines * 3,
            amount=rng.choice([0.0, 4.0, 15.0]),
        )
    if rng.random() < 0.5:
        builder.add("machine_die", at_s - rng.uniform(0, 3), count=builder.tenth_of_machines)
    _delay_writes(builder, at_s)
    _change_leader(builder, at_s + rng.uniform(-1.0, 1.5))


def new_machines(builder: PlanBuilder, at_s: float) -> None:
    """Makes new machines boot quickly and get tasks while writes are delayed."""
    rng = builder.rng
    builder.add("quick_boots", at_s - 6, 14.0)
    builder.add("machine_die", at_s - 5, count=builder.tenth_of_machines * 2)
    builder.add("rush", max(1.0, at_s - 5), 6.0, name="batch", amount=rng.uniform(2, 6))
    _delay_writes(builder, at_s)
    _change_leader(builder, at_s + rng.uniform(-1, 3))


def lost_machines_with_completions(builder: PlanBuilder, at_s: float) -> None:
    """Delays the writes of completions while their machines are treated as lost, and then crashes all nodes."""
    rng = builder.rng
    builder.add("late_writes", at_s, 9.0, amount=0.9)
    builder.add("machine_hang", at_s + rng.uniform(0.8, 2.0), LEASE_S - 2, count=builder.tenth_of_machines * 4)
    builder.add("node_crash", at_s + rng.uniform(7.2, 8.5), builder.restart_after_s(), node=ALL)


def gang_completions(builder: PlanBuilder, at_s: float) -> None:
    """Terminates a machine of a gang just as the gang completes, and changes the leader."""
    rng = builder.rng
    builder.add("rush", max(1.0, at_s - 10), 10.0, name="train", amount=rng.uniform(10, 25))
    builder.add("die_at_end", max(2.0, at_s - 6), 40.0, amount=0.5)
    _delay_writes(builder, at_s)
    _change_leader(builder, at_s + rng.uniform(1, 12))


def long_controller_outage(builder: PlanBuilder, at_s: float) -> None:
    """Stops all controllers or the state service for about a lease or longer, after jobs were cancelled."""
    rng = builder.rng
    builder.add(
        "cancel_now",
        at_s - rng.uniform(0, 3),
        count=builder.tenth_of_machines * 4,
        amount=rng.choice([0.0, LEASE_S]),
    )
    if rng.random() < 0.5:
        builder.add("node_crash", at_s, LEASE_S + rng.uniform(-3, 4), node=ALL)
    else:
        builder.add("state_down", at_s, LEASE_S * rng.uniform(0.5, 2.5))
        _change_leader(builder, at_s + rng.uniform(1, 8))
    _delay_writes(builder, at_s)


FAULT_ROUNDS: tuple[Callable[[PlanBuilder, float], None], ...] = (
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
    """Returns a plan with all teams at their quotas, and three of FAULT_ROUNDS, selected by the seed."""
    builder = PlanBuilder(seed, nodes, machines, zones, for_s)
    rng = builder.rng
    at_s = rng.uniform(18, 28)
    for round_number in range(3):
        FAULT_ROUNDS[(seed + round_number) % len(FAULT_ROUNDS)](builder, at_s)
        at_s += rng.uniform(18, 30)
    return builder.build(machines * rng.choice([1.0, 1.5]), team_share=TEAM_SHARE)
