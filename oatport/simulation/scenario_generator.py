"""Generates fault plans from a seed: single and overlapping faults of all kinds, crash patterns, and upgrades."""

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
    """Returns a plan with random single faults of all kinds, one targeted pattern, and up to two others."""
    builder = PlanBuilder(seed, nodes, machines, zones, for_s)
    rng = builder.rng
    targeted = rng.choices(list(TARGETED_PATTERNS), list(TARGETED_PATTERNS.values()))[0]
    is_alone = targeted is overtaken_starts
    single_fault_count, other_pattern_count = (
        (rng.randint(0, 1), 0) if is_alone else (rng.randint(1, 4), rng.randint(0, 2))
    )
    for _ in range(single_fault_count):
        builder.faults.append(rng.choice(SINGLE_FAULTS)(builder, rng.uniform(12, for_s * 0.75)))
    for pattern in (targeted, *rng.sample(OTHER_PATTERNS, other_pattern_count)):
        pattern(builder)
    jobs_a_minute = machines / 2 * (0.5 if is_alone else rng.choice((0.5, 0.5, 1, 2)))
    builder.add_late_copies()
    return builder.build(jobs_a_minute)


def unreachable_machines_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 120.0
) -> Plan:
    """Returns a plan with one or two faults that make machines unreachable, and possibly others.

    The run continues long enough after the faults that every request must get a response.
    """
    builder = PlanBuilder(seed, nodes, machines, zones, for_s)
    rng, count = builder.rng, builder.tenth_of_machines
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


def restarted_machines_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 120.0
) -> Plan:
    """Returns a plan in which machines restart at once with their first epoch, after some of their tasks were moved.

    Tasks of the lowest priority are preempted by services and reclaimed with their machines, so that earlier attempts
    of running tasks are known to other machines.
    """
    builder = PlanBuilder(seed, nodes, machines, zones, for_s)
    rng, count = builder.rng, builder.tenth_of_machines
    at_s = rng.uniform(10, 16)
    builder.add_task_burst(at_s)
    builder.add("rush", at_s + rng.uniform(4, 8), 4.0, name="serve", amount=rng.uniform(8, 16))
    for _ in range(3):
        at_s += rng.uniform(8, 16)
        builder.add("machines_taken", at_s - rng.uniform(2, 6), count=count, amount=rng.choice([0.0, 4.0]))
        builder.add("machine_blink", at_s, count=count * 3, amount=1.0)
    if rng.random() < 0.5:
        builder.crash_leader(at_s + rng.uniform(-6, 1))
    if rng.random() < 0.5:
        builder.cancel_jobs(at_s - rng.uniform(2, 10), 4.0)
    if rng.random() < 0.5:
        builder.add("report_copies", 5.0, for_s - 45.0, amount=rng.choice([3.0, 20.0]))
    builder.add_late_copies()
    return builder.build(machines / 2)


def rolling_upgrade_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 150.0
) -> Plan:
    """Returns a plan in which nodes crash and restart with the new version, one or two at a time, among other faults.

    Once all nodes have the new version, the state service's limits are lowered, and pipelines are submitted; some are
    cancelled during a stage, or when a stage has just ended.
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
    """Adds the upgrade, and returns the time at which the last node has restarted."""
    rng = builder.rng
    begin_s, count, interval_s = rng.uniform(8, 14), rng.randint(1, 2), rng.uniform(4, 9)
    downtime_s = rng.choice([rng.uniform(0.05, 0.6), rng.uniform(0.6, 6.0)])
    builder.add("upgrade", begin_s, downtime_s, count=count, amount=interval_s)
    return begin_s + interval_s * -(-nodes // count) + downtime_s


def _add_faults_during_upgrade(builder: PlanBuilder, upgraded_s: float) -> None:
    rng = builder.rng
    for _ in range(rng.randint(0, 2)):  # a node that crashes before its upgrade restarts with the old version
        builder.crash_random_node(rng.uniform(6, upgraded_s))
    if rng.random() < 0.5:
        rng.choice(UPGRADE_PATTERNS)(builder)
    if rng.random() < 0.3:
        at_s, span_s = rng.uniform(8, upgraded_s), rng.uniform(3, 12)
        builder.add("zone_cut", at_s, span_s, zone=rng.choice(builder.zones), mode=rng.choice(CUT_MODES))
    if rng.random() < 0.3:
        builder.add("machine_die", rng.uniform(8, upgraded_s + 20), count=builder.tenth_of_machines)


def _add_faults_on_pipelines(builder: PlanBuilder, from_s: float) -> None:
    rng = builder.rng
    builder.add("cancel_needed", from_s + rng.uniform(4, 12), count=2)
    builder.add("cancel_at_end", from_s + 5, 40.0)
    builder.add("state_slow", from_s + rng.uniform(5, 20), rng.uniform(8, 20), amount=rng.uniform(0.3, 0.9))
    if rng.random() < 0.5:
        at_s = from_s + rng.uniform(2, 30)
        builder.add("node_crash", at_s, builder.restart_after_s(), node=rng.choice([ALL, LEADER]))
