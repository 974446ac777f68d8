"""Patterns of faults that bring about what chance seldom does, around crashes of processes and overtaken messages.

A start in flight while its sender ends, a commit under way while the next leader reads: `mutations.py` shows which
safety check each of them is for.
"""

from __future__ import annotations

from collections.abc import Callable

from oatport.simulation.fault_plan import ALL, LEADER
from oatport.simulation.plan_builder import PlanBuilder

Pattern = Callable[[PlanBuilder], None]

# --- ends of processes ------------------------------------------------------------------


def crash_with_starts_in_flight(builder: PlanBuilder) -> None:
    """Starts are on their way when the leader ends; they arrive after the next process of that name has begun."""
    rng = builder.rng
    for at in builder.wave_times():
        builder.delayed_starts(at, 1.0, rng.uniform(2.0, 3.5))
        builder.add("node_crash", at + rng.uniform(0.7, 1.0), rng.uniform(0.05, 0.4))


def crash_with_slow_requests(builder: PlanBuilder) -> None:
    """So are transactions, rentals and releases."""
    rng = builder.rng
    at, target = builder.random_time_s(), rng.choice(["state", "cloud"])
    builder.add(
        "links_slow",
        at,
        rng.uniform(3, 7),
        source="node",
        target=target,
        amount=rng.uniform(0.2, 0.5) if target == "state" else rng.uniform(0.5, 3),
    )
    builder.crash_leader(at + rng.uniform(0.8, 3))


def crash_with_lost_commit(builder: PlanBuilder) -> None:
    """The leader ends while what it wrote is lost on the way, and a zone that might tell what runs is not heard."""
    rng = builder.rng
    for at in builder.wave_times():
        zone = f"zone:{rng.choice(builder.zones)}"
        builder.task_burst(at)
        builder.add("node_cut", at, rng.uniform(1, 1.3), what="state", mode="lost", way="to")
        builder.add("node_crash", at + 0.8, rng.uniform(0.05, 0.3))
        builder.add("links_cut", at + 0.8, rng.uniform(3, 4.5), source=zone, target="node")


def crash_all_nodes(builder: PlanBuilder) -> None:
    """All processes end at once."""
    builder.add("node_crash", builder.random_time_s(), builder.restart_after_s(), node=ALL)


def rolling_crashes(builder: PlanBuilder) -> None:
    """All processes end, one after the other."""
    rng = builder.rng
    at = builder.random_time_s()
    for name in rng.sample(builder.node_names, len(builder.node_names)):
        builder.add("node_crash", at, builder.restart_after_s(), node=name)
        at += rng.uniform(0.3, 20 / len(builder.node_names))


def crashes_in_state_outage(builder: PlanBuilder) -> None:
    """Processes end while the state service is down, or just after."""
    rng = builder.rng
    at, long = builder.random_time_s(40), rng.uniform(4, 25)
    builder.add("state_down", at, long)
    for _ in range(rng.randint(1, 2)):
        builder.add(
            "node_crash",
            at + rng.uniform(0, long + 1),
            builder.restart_after_s(),
            node=rng.choice([ALL, LEADER]),
        )


def crashes_in_zone_partition(builder: PlanBuilder) -> None:
    """Processes end while a zone is partitioned."""
    rng = builder.rng
    at, long = builder.random_time_s(45), rng.uniform(8, 40)
    builder.add("zone_cut", at, long, zone=rng.choice(builder.zones), mode=rng.choice(["hold", "lost"]))
    for _ in range(rng.randint(1, 3)):
        builder.add(
            "node_crash",
            at + rng.uniform(0, long),
            builder.restart_after_s(),
            node=rng.choice([ALL, *builder.node_names]),
        )


def crash_in_takeover(builder: PlanBuilder) -> None:
    """The next leader ends while it takes over."""
    rng = builder.rng
    at = builder.random_time_s()
    builder.add("node_crash", at, rng.uniform(3.5, 6))
    builder.crash_leader(at + rng.uniform(2.9, 4.2))


def crash_in_handover(builder: PlanBuilder) -> None:
    """A process ends while the leader hands over."""
    rng = builder.rng
    at = builder.random_time_s()
    builder.add("node_refused", at, rng.uniform(4, 12))
    builder.add(
        "node_crash",
        at + rng.uniform(2, 3.5),
        builder.restart_after_s(),
        node=rng.choice(builder.node_names),
    )


# --- starts, commits and cancellations that are overtaken -----------------------------------


def overtaken_starts(builder: PlanBuilder) -> None:
    """Starts are late, so they are sent again; what they started is stopped and runs elsewhere when they land."""
    rng = builder.rng
    for at in builder.wave_times():
        builder.delayed_starts(at, 1.2, rng.uniform(4, 6))
        builder.add("machines_taken", at + rng.uniform(2.2, 2.8), count=builder.machines_tenth, amount=4.0)


def pause_with_commit_in_flight(builder: PlanBuilder) -> None:
    """A commit is under way when the leader stands still, for longer than its lease."""
    rng = builder.rng
    at = builder.random_time_s(40)
    builder.add("state_slow", at, rng.uniform(3, 8), amount=rng.uniform(0.4, 0.9))
    builder.add("node_freeze", at + rng.uniform(1, 3), rng.uniform(5, 15))


def long_zone_partition(builder: PlanBuilder) -> None:
    """A leader and its zone are cut off for longer than a cancellation may take."""
    rng = builder.rng
    at = rng.uniform(10, max(11.0, builder.for_s - 75))
    builder.add("zone_cut", at, rng.uniform(46, 60), zone=rng.choice(builder.zones), mode="hold")
    builder.add("users_cancel", at + rng.uniform(0, 3), count=builder.machines_tenth * 2)


# Each plan has one of these, by weight. What overtaken starts hit is seldom, and hidden by other faults.
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
