"""Generators of single faults. Each draws the fields of one kind of fault at random."""

from __future__ import annotations

from collections.abc import Callable

from oatport.simulation.fault_plan import CUT_DIRECTIONS, CUT_MODES, NODE_CUT_TARGETS, Fault
from oatport.simulation.plan_builder import PlanBuilder

FaultDraw = Callable[[PlanBuilder, float], Fault]


def draw_node_cut(builder: PlanBuilder, at_s: float, for_s: float) -> Fault:
    """Returns a fault that cuts a node off from some other hosts."""
    rng = builder.rng
    return Fault(
        "node_cut",
        at_s,
        for_s,
        node=builder.random_node(),
        what=rng.choice(NODE_CUT_TARGETS),
        mode=rng.choice(CUT_MODES),
        way=rng.choice(CUT_DIRECTIONS),
    )


def _slow_links(builder: PlanBuilder, at_s: float) -> Fault:
    rng = builder.rng
    return Fault(
        "links_slow",
        at_s,
        rng.uniform(5, 30),
        source="node",
        target=rng.choice(["worker", "state"]),
        amount=rng.uniform(0.05, 2.5),
    )


def _lossy_links(builder: PlanBuilder, at_s: float) -> Fault:
    rng = builder.rng
    return Fault(
        "links_lossy",
        at_s,
        rng.uniform(5, 30),
        source="node",
        target=rng.choice(["worker", "node"]),
        amount=rng.uniform(0.05, 0.5),
    )


def _random_machine_count(builder: PlanBuilder) -> int:
    """Returns a random number of machines, from one to a tenth of all machines."""
    return builder.rng.randint(1, builder.tenth_of_machines)


# Unreachable machines, duplicated messages, a node that reaches only workers and users, and immediate restarts.
UNREACHABLE_MACHINE_FAULTS: tuple[FaultDraw, ...] = (
    lambda b, at_s: Fault(
        "machine_deaf",
        at_s,
        b.rng.uniform(5, 40),
        count=b.rng.choice([1, b.tenth_of_machines, 3 * b.tenth_of_machines]),
    ),
    lambda b, at_s: Fault("machine_deaf", at_s, b.rng.uniform(5, 30), zone=b.rng.choice(b.zones)),
    lambda b, at_s: Fault("report_copies", at_s, b.rng.uniform(20, 60), amount=b.rng.choice([3.0, 20.0, 50.0])),
    lambda b, at_s: Fault("late_repeats", at_s, b.rng.uniform(20, 60), amount=b.rng.choice([1.0, 20.0])),
    lambda b, at_s: Fault("node_alone", at_s, b.rng.uniform(2, 50), node=b.random_node(), mode=b.rng.choice(CUT_MODES)),
    lambda b, at_s: Fault(
        "machine_blink", at_s, count=b.rng.choice([1, b.tenth_of_machines]), amount=b.rng.choice([0.0, 1.0])
    ),
)

SINGLE_FAULTS: tuple[FaultDraw, ...] = (
    lambda b, at_s: draw_node_cut(b, at_s, b.rng.uniform(3, 35)),
    lambda b, at_s: Fault("node_refused", at_s, b.rng.uniform(3, 30), node=b.random_node()),
    lambda b, at_s: Fault("peers_refuse", at_s, b.rng.uniform(5, 30)),
    lambda b, at_s: Fault("node_freeze", at_s, b.rng.uniform(1, 25), node=b.random_node()),
    lambda b, at_s: Fault("node_crash", at_s, b.restart_after_s(), node=b.random_node()),
    lambda b, at_s: Fault("node_slow", at_s, b.rng.uniform(5, 20), node=b.random_node(), amount=b.rng.uniform(2, 10)),
    lambda b, at_s: Fault(
        "machine_cut", at_s, b.rng.uniform(3, 40), count=_random_machine_count(b), mode=b.rng.choice(CUT_MODES)
    ),
    lambda b, at_s: Fault("machine_hang", at_s, b.rng.uniform(3, 30), count=_random_machine_count(b)),
    lambda b, at_s: Fault("machine_die", at_s, count=_random_machine_count(b)),
    lambda b, at_s: Fault("machines_taken", at_s, count=_random_machine_count(b), amount=b.rng.choice([0.0, 15.0])),
    lambda b, at_s: Fault(
        "zone_cut", at_s, b.rng.uniform(5, 40), zone=b.rng.choice(b.zones), mode=b.rng.choice(CUT_MODES)
    ),
    _slow_links,
    _lossy_links,
    lambda b, at_s: Fault("links_cut", at_s, b.rng.uniform(1, 8), source="node", target="worker"),
    lambda b, at_s: Fault("links_cut", at_s, b.rng.uniform(1, 8), source="worker", target="node"),
    lambda b, at_s: Fault("state_down", at_s, b.rng.uniform(2, 25)),
    lambda b, at_s: Fault("state_slow", at_s, b.rng.uniform(5, 20), amount=b.rng.uniform(0.1, 0.6)),
    lambda b, at_s: Fault("cloud_down", at_s, b.rng.uniform(5, 30)),
    lambda b, at_s: Fault("no_capacity", at_s, b.rng.uniform(10, 60)),
    *UNREACHABLE_MACHINE_FAULTS,
)
