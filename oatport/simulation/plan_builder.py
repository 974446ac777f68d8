"""Builds fault plans from the random choices of a seed, with the faults that several patterns share."""

from __future__ import annotations

import random

from oatport.simulation.fault_plan import LEADER, Fault, Plan

PIPELINES_A_MINUTE = 5.0
# Timeouts set in `deployment.cluster_settings`: faults are placed around their expiry.
CANCEL_S, LEASE_S = 36.0, 12.0


class PlanBuilder:
    """Collects the faults of a plan. The same seed gives the same plan."""

    def __init__(self, seed: int, nodes: int, machines: int, zones: tuple[str, ...], for_s: float) -> None:
        self.rng = random.Random(f"plan {seed}")
        self.node_names = [f"n{number}" for number in range(nodes)]
        self.machines = machines
        self.tenth_of_machines = max(1, machines // 10)
        self.zones, self.for_s = zones, for_s
        self.faults: list[Fault] = []

    def add(self, kind: str, at_s: float, for_s: float = 0.0, **fields: object) -> None:
        """Adds a fault; `fields` are the fields that its kind takes."""
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
        """Returns the plan with all faults added so far, in the order of their times."""
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
        """Returns LEADER or, less often, the name of a node."""
        return self.rng.choice([LEADER] * 3 + self.node_names)

    def restart_after_s(self) -> float:
        """Returns how long a process is down: a fraction of a second, or several seconds."""
        return self.rng.uniform(0.05, 0.6) if self.rng.random() < 0.6 else self.rng.uniform(0.6, 6.0)

    def random_time_s(self, margin_s: float = 30.0) -> float:
        """Returns a time that is at least `margin_s` before the end of the run, unless the run is too short."""
        return self.rng.uniform(12, max(13.0, self.for_s - margin_s))

    def wave_times_s(self) -> list[float]:
        """Returns times of task bursts, so close together that the machines of one are still idle at the next."""
        first_s = self.rng.uniform(9, 14)
        return [first_s + number * self.rng.uniform(17, 20) for number in range(self.rng.randint(4, 5))]

    # --- faults that patterns have in common ---------------------------------------------------

    def crash_leader(self, at_s: float) -> None:
        """Crashes the leader, which restarts after a fraction of a second or several seconds."""
        self.add("node_crash", at_s, self.restart_after_s())

    def crash_random_node(self, at_s: float) -> None:
        """Crashes a node, usually the leader, which restarts after a fraction of a second or several seconds."""
        self.add("node_crash", at_s, self.restart_after_s(), node=self.random_node())

    def add_task_burst(self, at_s: float, name: str = "guest") -> None:
        """Adds a burst of submissions of a job class."""
        self.add("rush", at_s - 1, 2.2, name=name, amount=self.rng.uniform(36, 60))

    def add_delayed_starts(self, at_s: float, window_s: float, delay_s: float, name: str = "guest") -> None:
        """Adds a burst of tasks, and delays the commands sent within `window_s` by `delay_s`."""
        self.add_task_burst(at_s, name)
        self.add("links_slow", at_s, window_s, source="node", target="worker", amount=delay_s)

    def add_late_copies(self) -> None:
        """Adds, to four of five plans, copies of executed requests that arrive up to a minute later.

        Must be called after all other random choices: plans without copies stay the same.
        """
        if self.rng.random() < 0.8:
            self.add("late_repeats", 5.0, self.for_s - 15.0, amount=self.rng.choice([1.0, 8.0, 20.0, 60.0]))

    def cancel_jobs(self, at_s: float, span_s: float, tenths: int = 4) -> None:
        """Makes users cancel jobs within `span_s` seconds; `tenths` is the number of jobs in tenths of the machines."""
        self.add("users_cancel", at_s, count=self.tenth_of_machines * tenths, amount=max(span_s, 0.1))
