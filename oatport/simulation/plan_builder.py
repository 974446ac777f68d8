"""A fault plan in the making: random choices of a seed, and faults that patterns have in common."""

from __future__ import annotations

import random

from oatport.simulation.fault_plan import LEADER, Fault, Plan

PIPELINES_A_MINUTE = 5.0
# Times of `deployment.cluster_settings` around whose edges faults are placed.
CANCEL_S, LEASE_S = 36.0, 12.0


class PlanBuilder:
    """Collects faults. The same seed draws the same plan."""

    def __init__(self, seed: int, nodes: int, machines: int, zones: tuple[str, ...], for_s: float) -> None:
        self.rng = random.Random(f"plan {seed}")
        self.node_names = [f"n{number}" for number in range(nodes)]
        self.machines = machines
        self.machines_tenth = max(1, machines // 10)
        self.zones, self.for_s = zones, for_s
        self.faults: list[Fault] = []

    def add(self, kind: str, at_s: float, for_s: float = 0.0, **fields: object) -> None:
        """Add a fault; `fields` are the ones that its kind takes."""
        self.faults.append(Fault(kind, at_s, for_s, **fields))  # type: ignore[arg-type]

    def build(
        self,
        jobs_a_minute: float,
        *,
        pipelines_a_minute: float = PIPELINES_A_MINUTE,
        pipelines_from_s: float = 0.0,
        team_share: float = 1.0,
        old_nodes: bool = False,
    ) -> Plan:
        """The plan with all faults so far, in the order of their times."""
        return Plan(
            tuple(sorted(self.faults, key=lambda fault: fault.at_s)),
            self.for_s,
            len(self.node_names),
            self.machines,
            jobs_a_minute,
            pipelines_a_minute,
            pipelines_from_s,
            team_share,
            old_nodes,
        )

    # --- random choices ------------------------------------------------------------------------

    def random_node(self) -> str:
        """A node, mostly whoever leads then."""
        return self.rng.choice([LEADER] * 3 + self.node_names)

    def restart_after_s(self) -> float:
        """How long a process is away: back within a moment, or after seconds."""
        return self.rng.uniform(0.05, 0.6) if self.rng.random() < 0.6 else self.rng.uniform(0.6, 6.0)

    def random_time_s(self, before_end: float = 30.0) -> float:
        """A time that leaves so many seconds before the end of the run."""
        return self.rng.uniform(12, max(13.0, self.for_s - before_end))

    def wave_times(self) -> list[float]:
        """Times close enough that the machines of one burst of tasks still stand by for the next."""
        first = self.rng.uniform(9, 14)
        return [first + number * self.rng.uniform(17, 20) for number in range(self.rng.randint(4, 5))]

    # --- faults that patterns have in common ---------------------------------------------------

    def crash_leader(self, at_s: float) -> None:
        """The leader's process ends, and is back within a moment or seconds."""
        self.add("node_crash", at_s, self.restart_after_s())

    def crash_random_node(self, at_s: float) -> None:
        """A process ends, mostly the leader's, and is back within a moment or seconds."""
        self.add("node_crash", at_s, self.restart_after_s(), node=self.random_node())

    def task_burst(self, at_s: float, name: str = "guest") -> None:
        """Many tasks of a class come at once."""
        self.add("rush", at_s - 1, 2.2, name=name, amount=self.rng.uniform(36, 60))

    def delayed_starts(self, at_s: float, window_s: float, late_s: float, name: str = "guest") -> None:
        """A burst of tasks; the commands that go out within the window arrive so late."""
        self.task_burst(at_s, name)
        self.add("links_slow", at_s, window_s, source="node", target="worker", amount=late_s)

    def cancel_jobs(self, at_s: float, span_s: float, times: int = 4) -> None:
        """Users cancel jobs within a span: so many times a tenth of the machines."""
        self.add("users_cancel", at_s, count=self.machines_tenth * times, amount=max(span_s, 0.1))
