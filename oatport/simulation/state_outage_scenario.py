"""Fault plans in which the state service first refuses only the leader, while peers confirm cancellations, then fails.

The leader must learn which cancellations its peers have confirmed to users; additional faults obstruct that.
"""

from __future__ import annotations

from collections.abc import Callable

from oatport.simulation.fault_plan import LEADER, Plan
from oatport.simulation.plan_builder import CANCEL_S, LEASE_S, PlanBuilder

# Adds a fault. Takes the builder, and the start and duration of the time in which other nodes confirm cancellations.
Obstacle = Callable[[PlanBuilder, float, float], None]


def _lose_peer_notifications(builder: PlanBuilder, at_s: float, span_s: float) -> None:
    rng = builder.rng
    builder.add(
        "node_cut", at_s, span_s + rng.uniform(0.2, 1.0), what="nodes", mode="lost", way=rng.choice(["from", "both"])
    )


def _lose_commit_responses(builder: PlanBuilder, at_s: float, span_s: float) -> None:
    """Loses responses to commits, so that no node knows that a job is cancelled.

    A node learns of the cancellation from a repeated request at another node, from a poll, or from a later read.
    """
    rng = builder.rng
    builder.add(
        "links_cut",
        at_s,
        span_s * rng.uniform(0.5, 1.2),
        source="state",
        target=rng.choice(builder.node_names),
        mode="lost",
    )


def _lose_user_responses(builder: PlanBuilder, at_s: float, span_s: float) -> None:
    rng = builder.rng
    builder.add("links_lossy", at_s, span_s + 4, source="node", target="users", amount=rng.uniform(0.3, 0.9))
    builder.add(
        "links_cut",
        at_s + rng.uniform(0, span_s),
        rng.uniform(0.3, 3),
        source=rng.choice(builder.node_names),
        target="users",
        mode="lost",
    )


def _cancel_dependencies(builder: PlanBuilder, at_s: float, span_s: float) -> None:
    builder.add("cancel_needed", at_s + builder.rng.uniform(0.1, span_s), count=3)


def _crash_confirming_node(builder: PlanBuilder, at_s: float, span_s: float) -> None:
    rng = builder.rng
    at_s += span_s * rng.uniform(0.3, 1.5)
    builder.add("node_crash", at_s, builder.restart_after_s(), node=rng.choice(builder.node_names))


def _refuse_leader_twice(builder: PlanBuilder, at_s: float, span_s: float) -> None:
    builder.add("node_refused", max(5.0, at_s - builder.rng.uniform(4, 8)), builder.rng.uniform(1, 3))


def _slow_peers(builder: PlanBuilder, at_s: float, span_s: float) -> None:
    rng = builder.rng
    builder.add("links_slow", at_s, rng.uniform(3, 30), source="node", target="node", amount=rng.uniform(0.1, 0.6))


def _cut_peers_one_way(builder: PlanBuilder, at_s: float, span_s: float) -> None:
    rng = builder.rng
    builder.add(
        "node_cut",
        at_s + rng.uniform(0, span_s + 5),
        rng.uniform(3, 25),
        what="nodes",
        way=rng.choice(["to", "from"]),
        mode=rng.choice(["hold", "lost"]),
    )


def _delay_starts(builder: PlanBuilder, at_s: float, span_s: float) -> None:
    """Delays start commands of jobs that are cancelled shortly afterwards by 1 to 5 s."""
    rng = builder.rng
    builder.add("rush", at_s - 2, 2.2, name="batch", amount=rng.uniform(8, 20))
    builder.add("links_slow", at_s - 1, span_s + 1, source="node", target="worker", amount=rng.uniform(1, 5))


OBSTACLES: tuple[Obstacle, ...] = (
    _lose_peer_notifications,
    _lose_peer_notifications,  # twice as often as the others
    _lose_commit_responses,
    _lose_user_responses,
    _cancel_dependencies,
    _crash_confirming_node,
    _refuse_leader_twice,
    _slow_peers,
    _cut_peers_one_way,
    _delay_starts,
)


def state_outage_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 130.0
) -> Plan:
    """Returns a plan with consecutive outages, each with one to three additional faults."""
    builder = PlanBuilder(seed, nodes, machines, zones, for_s)
    rng = builder.rng
    at_s = rng.uniform(16, 30)
    while True:
        span_s = rng.choice([rng.uniform(0.8, 2.6), rng.uniform(2.0, 6.0)])
        builder.add("node_refused", at_s, span_s + rng.uniform(-0.3, 8))
        outage_s = rng.choice([rng.uniform(8, 60), CANCEL_S + rng.uniform(-2, 6), LEASE_S + rng.uniform(-2, 4)])
        builder.add("state_down", at_s + span_s, outage_s)
        builder.add("users_cancel", at_s + 0.1, count=builder.tenth_of_machines * 4, amount=span_s)
        for add_obstacle in rng.sample(OBSTACLES, rng.randint(1, 3)):
            add_obstacle(builder, at_s, span_s)
        at_s += span_s + outage_s + rng.uniform(8, 20)
        if at_s > for_s - 50:
            break
    if rng.random() < 0.3:
        at_s = rng.uniform(20, 90)
        builder.add("node_crash", at_s, builder.restart_after_s(), node=rng.choice([LEADER, *builder.node_names]))
    return builder.build(machines * rng.choice([0.5, 1, 2]))
