"""Fault plans drawn from a seed: single and overlapping faults of all kinds, patterns around crashes, and upgrades."""

from __future__ import annotations

from oatport.simulation.crash_patterns import (
    OTHER_PATTERNS,
    TARGETED_PATTERNS,
    crash_in_handover,
    crash_in_takeover,
    crash_with_slow_requests,
    overtaken_starts,
    pause_with_commit_in_flight,
    rolling_crashes,
)
from oatport.simulation.fault_plan import ALL, CUT_MODES, LEADER, Plan
from oatport.simulation.plan_builder import PIPELINES_A_MINUTE, PlanBuilder
from oatport.simulation.single_faults import SINGLE_FAULTS, UNREACHABLE_MACHINE_FAULTS, draw_node_cut

UPGRADE_PATTERNS = (
    crash_with_slow_requests,
    rolling_crashes,
    crash_in_takeover,
    pause_with_commit_in_flight,
    crash_in_handover,
)


def random_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 120.0
) -> Plan:
    """Some faults of all kinds by chance, one targeted pattern, and up to two others."""
    builder = PlanBuilder(seed, nodes, machines, zones, for_s)
    rng = builder.rng
    targeted = rng.choices(list(TARGETED_PATTERNS), list(TARGETED_PATTERNS.values()))[0]
    alone = targeted is overtaken_starts
    singles, others = (rng.randint(0, 1), 0) if alone else (rng.randint(1, 4), rng.randint(0, 2))
    for _ in range(singles):
        builder.faults.append(rng.choice(SINGLE_FAULTS)(builder, rng.uniform(12, for_s * 0.75)))
    for pattern in (targeted, *rng.sample(OTHER_PATTERNS, others)):
        pattern(builder)
    return builder.build(machines / 2 * (0.5 if alone else rng.choice((0.5, 0.5, 1, 2))))


def unreachable_machines_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 120.0
) -> Plan:
    """One or two faults that leave machines unreachable, beside others; then time to answer everything."""
    builder = PlanBuilder(seed, nodes, machines, zones, for_s)
    rng, count = builder.rng, builder.machines_tenth
    for _ in range(rng.randint(1, 2)):
        builder.faults.append(rng.choice(UNREACHABLE_MACHINE_FAULTS)(builder, rng.uniform(10, 50)))
    if rng.random() < 0.5:
        builder.add(
            "node_crash", rng.uniform(12, 60), builder.restart_after_s(), node=rng.choice([ALL, LEADER, LEADER])
        )
    if rng.random() < 0.5:
        builder.add("users_cancel", rng.uniform(12, 50), count=count)
    if rng.random() < 0.3:
        builder.faults.append(draw_node_cut(builder, rng.uniform(12, 50), rng.uniform(2, 30)))
    if rng.random() < 0.3:
        builder.add("machines_taken", rng.uniform(12, 50), count=count, amount=rng.choice([0.0, 15.0]))
    return builder.build(machines / 2)


def rolling_upgrade_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 150.0
) -> Plan:
    """Nodes are killed and come back with the new version, one or two at a time, among other faults.

    Once all have it the state service's limits fall, and pipelines come; some are cancelled at their first stage, or
    when a stage has just ended.
    """
    builder = PlanBuilder(seed, nodes, machines, zones, for_s)
    upgraded_s = _add_upgrade(builder, nodes)
    _add_faults_during_upgrade(builder, upgraded_s)
    builder.add("state_limits", upgraded_s + builder.rng.uniform(8, 14))
    pipelines_from_s = upgraded_s + builder.rng.uniform(1, 4)
    _add_faults_on_pipelines(builder, pipelines_from_s)
    return builder.build(
        machines / 3,
        pipelines_a_minute=4 * PIPELINES_A_MINUTE,
        pipelines_from_s=pipelines_from_s,
        old_nodes=True,
    )


def _add_upgrade(builder: PlanBuilder, nodes: int) -> float:
    """The upgrade itself; when the last node is back."""
    rng = builder.rng
    begins, count, gap = rng.uniform(8, 14), rng.randint(1, 2), rng.uniform(4, 9)
    away = rng.choice([rng.uniform(0.05, 0.6), rng.uniform(0.6, 6.0)])
    builder.add("upgrade", begins, away, count=count, amount=gap)
    return begins + gap * -(-nodes // count) + away


def _add_faults_during_upgrade(builder: PlanBuilder, upgraded_s: float) -> None:
    rng = builder.rng
    for _ in range(rng.randint(0, 2)):  # before its turn one comes back old
        builder.crash_random_node(rng.uniform(6, upgraded_s))
    if rng.random() < 0.5:
        rng.choice(UPGRADE_PATTERNS)(builder)
    if rng.random() < 0.3:
        at, span = rng.uniform(8, upgraded_s), rng.uniform(3, 12)
        builder.add("zone_cut", at, span, zone=rng.choice(builder.zones), mode=rng.choice(CUT_MODES))
    if rng.random() < 0.3:
        builder.add("machine_die", rng.uniform(8, upgraded_s + 20), count=builder.machines_tenth)


def _add_faults_on_pipelines(builder: PlanBuilder, from_s: float) -> None:
    rng = builder.rng
    builder.add("cancel_needed", from_s + rng.uniform(4, 12), count=2)
    builder.add("cancel_at_end", from_s + 5, 40.0)
    builder.add("state_slow", from_s + rng.uniform(5, 20), rng.uniform(8, 20), amount=rng.uniform(0.3, 0.9))
    if rng.random() < 0.5:
        at = from_s + rng.uniform(2, 30)
        builder.add("node_crash", at, builder.restart_after_s(), node=rng.choice([ALL, LEADER]))
