"""Patterns of faults around process crashes and reordered messages that random faults seldom produce.

Examples are a start command in flight while its sender crashes, or a commit in flight while the next leader reads.
`mutations.py` contains the safety checks that these patterns exercise.
"""

from __future__ import annotations

from collections.abc import Callable

from oatport.simulation.fault_plan import ALL, LEADER
from oatport.simulation.plan_builder import PlanBuilder

Pattern = Callable[[PlanBuilder], None]

# --- process crashes --------------------------------------------------------------------


def crash_with_starts_in_flight(builder: PlanBuilder) -> None:
    """Crashes the leader with start commands in flight, which arrive after its next process has started."""
    rng = builder.rng
    for at_s in builder.wave_times_s():
        builder.add_delayed_starts(at_s, 1.0, rng.uniform(2.0, 3.5))
        builder.add("node_crash", at_s + rng.uniform(0.7, 1.0), rng.uniform(0.05, 0.4))


def crash_with_slow_requests(builder: PlanBuilder) -> None:
    """Crashes the leader with transactions, rentals or releases in flight."""
    rng = builder.rng
    at_s, target = builder.random_time_s(), rng.choice(["state", "cloud"])
    builder.add(
        "links_slow",
        at_s,
        rng.uniform(3, 7),
        source="node",
        target=target,
        amount=rng.uniform(0.2, 0.5) if target == "state" else rng.uniform(0.5, 3),
    )
    builder.crash_leader(at_s + rng.uniform(0.8, 3))


def crash_with_lost_commit(builder: PlanBuilder) -> None:
    """Crashes the leader while its writes are lost, and no heartbeats arrive from a zone in which its tasks may run."""
    rng = builder.rng
    for at_s in builder.wave_times_s():
        zone = f"zone:{rng.choice(builder.zones)}"
        builder.add_task_burst(at_s)
        builder.add("node_cut", at_s, rng.uniform(1, 1.3), what="state", mode="lost", way="to")
        builder.add("node_crash", at_s + 0.8, rng.uniform(0.05, 0.3))
        builder.add("links_cut", at_s + 0.8, rng.uniform(3, 4.5), source=zone, target="node")


def crash_all_nodes(builder: PlanBuilder) -> None:
    """Crashes all processes at once."""
    builder.add("node_crash", builder.random_time_s(), builder.restart_after_s(), node=ALL)


def rolling_crashes(builder: PlanBuilder) -> None:
    """Crashes all processes, one after the other."""
    rng = builder.rng
    at_s = builder.random_time_s()
    for name in rng.sample(builder.node_names, len(builder.node_names)):
        builder.add("node_crash", at_s, builder.restart_after_s(), node=name)
        at_s += rng.uniform(0.3, 20 / len(builder.node_names))


def crashes_in_state_outage(builder: PlanBuilder) -> None:
    """Crashes processes while the state service is down, or just after."""
    rng = builder.rng
    at_s, duration_s = builder.random_time_s(40), rng.uniform(4, 25)
    builder.add("state_down", at_s, duration_s)
    for _ in range(rng.randint(1, 2)):
        builder.add(
            "node_crash",
            at_s + rng.uniform(0, duration_s + 1),
            builder.restart_after_s(),
            node=rng.choice([ALL, LEADER]),
        )


def crashes_in_zone_partition(builder: PlanBuilder) -> None:
    """Crashes processes while a zone is partitioned."""
    rng = builder.rng
    at_s, duration_s = builder.random_time_s(45), rng.uniform(8, 40)
    builder.add("zone_cut", at_s, duration_s, zone=rng.choice(builder.zones), mode=rng.choice(["hold", "lost"]))
    for _ in range(rng.randint(1, 3)):
        builder.add(
            "node_crash",
            at_s + rng.uniform(0, duration_s),
            builder.restart_after_s(),
            node=rng.choice([ALL, *builder.node_names]),
        )


def crash_in_takeover(builder: PlanBuilder) -> None:
    """Crashes the next leader while it takes over."""
    rng = builder.rng
    at_s = builder.random_time_s()
    builder.add("node_crash", at_s, rng.uniform(3.5, 6))
    builder.crash_leader(at_s + rng.uniform(2.9, 4.2))


def crash_in_handover(builder: PlanBuilder) -> None:
    """Crashes a process while the leader hands over."""
    rng = builder.rng
    at_s = builder.random_time_s()
    builder.add("node_refused", at_s, rng.uniform(4, 12))
    builder.add(
        "node_crash",
        at_s + rng.uniform(2, 3.5),
        builder.restart_after_s(),
        node=rng.choice(builder.node_names),
    )


# --- reordered starts, commits and cancellations --------------------------------------------


def overtaken_starts(builder: PlanBuilder) -> None:
    """Delays start commands so that they are sent again; the delayed ones arrive when the tasks run elsewhere."""
    rng = builder.rng
    for at_s in builder.wave_times_s():
        builder.add_delayed_starts(at_s, 1.2, rng.uniform(4, 6))
        builder.add("machines_taken", at_s + rng.uniform(2.2, 2.8), count=builder.tenth_of_machines, amount=4.0)


def pause_with_commit_in_flight(builder: PlanBuilder) -> None:
    """Pauses the leader for longer than its lease while a commit is in flight."""
    rng = builder.rng
    at_s = builder.random_time_s(40)
    builder.add("state_slow", at_s, rng.uniform(3, 8), amount=rng.uniform(0.4, 0.9))
    builder.add("node_freeze", at_s + rng.uniform(1, 3), rng.uniform(5, 15))


def long_zone_partition(builder: PlanBuilder) -> None:
    """Cuts off a zone, which may be that of the leader, for longer than a cancellation may take (`cancel_s`)."""
    rng = builder.rng
    at_s = rng.uniform(10, max(11.0, builder.for_s - 75))
    builder.add("zone_cut", at_s, rng.uniform(46, 60), zone=rng.choice(builder.zones), mode="hold")
    builder.add("users_cancel", at_s + rng.uniform(0, 3), count=builder.tenth_of_machines * 2)


# Each random plan has one of these patterns, drawn by weight. Overtaken starts have the highest weight, because their
# effects are rare and other faults mask them.
TARGETED_PATTERNS: dict[Pattern, int] = {
    overtaken_starts: 10,
    crash_with_starts_in_flight: 7,
    long_zone_partition: 4,
    crash_with_lost_commit: 2,
}
OTHER_PATTERNS: tuple[Pattern, ...] = (
    crash_with_slow_requests,
    crash_all_nodes,
    rolling_crashes,
    crashes_in_state_outage,
    crashes_in_zone_partition,
    crash_in_takeover,
    crash_in_handover,
    pause_with_commit_in_flight,
)
