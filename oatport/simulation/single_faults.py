"""Single faults by chance: one of each kind, with its fields drawn at random."""

from __future__ import annotations

from collections.abc import Callable

from oatport.simulation.fault_plan import CUT_DIRECTIONS, CUT_MODES, NODE_CUT_TARGETS, Fault
from oatport.simulation.plan_builder import PlanBuilder

FaultDraw = Callable[[PlanBuilder, float], Fault]


def draw_node_cut(builder: PlanBuilder, at: float, for_s: float) -> Fault:
    """A node that is cut off from some other hosts."""
    rng = builder.rng
    return Fault(
        "node_cut",
        at,
        for_s,
        node=builder.random_node(),
        what=rng.choice(NODE_CUT_TARGETS),
        mode=rng.choice(CUT_MODES),
        way=rng.choice(CUT_DIRECTIONS),
    )


def _slow_links(builder: PlanBuilder, at: float) -> Fault:
    rng = builder.rng
    return Fault(
        "links_slow",
        at,
        rng.uniform(5, 30),
        source="node",
        target=rng.choice(["worker", "state"]),
        amount=rng.uniform(0.05, 2.5),
    )


def _lossy_links(builder: PlanBuilder, at: float) -> Fault:
    rng = builder.rng
    return Fault(
        "links_lossy",
        at,
        rng.uniform(5, 30),
        source="node",
        target=rng.choice(["worker", "node"]),
        amount=rng.uniform(0.05, 0.5),
    )


def _some(builder: PlanBuilder) -> int:
    """Of the machines: one to a tenth."""
    return builder.rng.randint(1, builder.machines_tenth)


# Machines that aren't reached, duplicated messages, a node that is alone with its workers, restarts within a moment.
UNREACHABLE_MACHINE_FAULTS: tuple[FaultDraw, ...] = (
    lambda b, at: Fault(
        "machine_deaf",
        at,
        b.rng.uniform(5, 40),
        count=b.rng.choice([1, b.machines_tenth, 3 * b.machines_tenth]),
    ),
    lambda b, at: Fault("machine_deaf", at, b.rng.uniform(5, 30), zone=b.rng.choice(b.zones)),
    lambda b, at: Fault("report_copies", at, b.rng.uniform(20, 60), amount=b.rng.choice([3.0, 20.0, 50.0])),
    lambda b, at: Fault("late_repeats", at, b.rng.uniform(20, 60), amount=b.rng.choice([1.0, 20.0])),
    lambda b, at: Fault("node_alone", at, b.rng.uniform(2, 50), node=b.random_node(), mode=b.rng.choice(CUT_MODES)),
    lambda b, at: Fault(
        "machine_blink", at, count=b.rng.choice([1, b.machines_tenth]), amount=b.rng.choice([0.0, 1.0])
    ),
)

SINGLE_FAULTS: tuple[FaultDraw, ...] = (
    lambda b, at: draw_node_cut(b, at, b.rng.uniform(3, 35)),
    lambda b, at: Fault("node_refused", at, b.rng.uniform(3, 30), node=b.random_node()),
    lambda b, at: Fault("peers_refuse", at, b.rng.uniform(5, 30)),
    lambda b, at: Fault("node_freeze", at, b.rng.uniform(1, 25), node=b.random_node()),
    lambda b, at: Fault("node_crash", at, b.restart_after_s(), node=b.random_node()),
    lambda b, at: Fault("node_slow", at, b.rng.uniform(5, 20), node=b.random_node(), amount=b.rng.uniform(2, 10)),
    lambda b, at: Fault("machine_cut", at, b.rng.uniform(3, 40), count=_some(b), mode=b.rng.choice(CUT_MODES)),
    lambda b, at: Fault("machine_hang", at, b.rng.uniform(3, 30), count=_some(b)),
    lambda b, at: Fault("machine_die", at, count=_some(b)),
    lambda b, at: Fault("machines_taken", at, count=_some(b), amount=b.rng.choice([0.0, 15.0])),
    lambda b, at: Fault("zone_cut", at, b.rng.uniform(5, 40), zone=b.rng.choice(b.zones), mode=b.rng.choice(CUT_MODES)),
    _slow_links,
    _lossy_links,
    lambda b, at: Fault("links_cut", at, b.rng.uniform(1, 8), source="node", target="worker"),
    lambda b, at: Fault("links_cut", at, b.rng.uniform(1, 8), source="worker", target="node"),
    lambda b, at: Fault("state_down", at, b.rng.uniform(2, 25)),
    lambda b, at: Fault("state_slow", at, b.rng.uniform(5, 20), amount=b.rng.uniform(0.1, 0.6)),
    lambda b, at: Fault("cloud_down", at, b.rng.uniform(5, 30)),
    lambda b, at: Fault("no_capacity", at, b.rng.uniform(10, 60)),
    *UNREACHABLE_MACHINE_FAULTS,
)
