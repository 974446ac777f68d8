"""The slots of the planning horizon: their length, their prices and the capacity that is free in each."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from oatport.windows.plan import EPSILON, JobDemand


@dataclass(frozen=True, slots=True)
class CostChange:
    """Holds the numbers of the slots whose cost changed."""

    increased: set[int] = field(default_factory=set)
    decreased: set[int] = field(default_factory=set)


class Horizon:
    """Holds the slots of equal length from the current one on.

    `step` is the length of a slot in microseconds, `slots` their number, and `capacity` the CPUs available to deferred
    jobs in each slot. `operation_count` counts the slots and jobs examined.
    """

    def __init__(self, step: int, slots: int, capacity: float) -> None:
        if step <= 0 or slots < 2 or capacity <= 0:
            raise ValueError(f"expected step > 0, slots >= 2, capacity > 0; got {step}, {slots}, {capacity}")
        self.step = step
        self.slots = slots
        self.capacity = capacity
        self.now = 0
        self.first_slot = 0  # number of the first slot of the horizon
        self.free_capacity: list[float] = [capacity * step] * slots  # CPU-us free in each slot of the horizon
        self.operation_count = 0
        self._unit_costs: dict[str, list[float]] = {}  # price profile -> cost of a CPU-us in each slot
        # (profile, slots a task takes) -> slots to start in, cheapest first
        self._slots_by_cost: dict[tuple[str, int], list[int]] = {}

    def advance_to(self, now: int) -> None:
        """Moves the horizon to a time: drops the slots that have passed and appends new ones with full capacity."""
        self.now = max(self.now, now)
        first = self.now // self.step
        if first <= self.first_slot:
            return
        expired = min(first - self.first_slot, self.slots)
        self.free_capacity = self.free_capacity[expired:] + [self.capacity * self.step] * expired
        for profile, costs in self._unit_costs.items():
            self._unit_costs[profile] = costs[expired:] + [1.0] * expired
        self.first_slot = first
        self._slots_by_cost.clear()

    def set_costs(self, profile: str, costs: list[float]) -> CostChange:
        """Sets a profile's cost of CPU time in each slot from the current one on, in multiples of the ordinary price.

        Returns the slots whose cost changed; none if the profile had no costs yet.
        """
        previous = self._unit_costs.get(profile)
        costs = (costs + [1.0] * self.slots)[: self.slots]
        if previous == costs:
            return CostChange()
        self._unit_costs[profile] = costs
        for key in [key for key in self._slots_by_cost if key[0] == profile]:
            del self._slots_by_cost[key]
        return CostChange() if previous is None else self._cost_change(previous, costs)

    def _cost_change(self, previous: list[float], costs: list[float]) -> CostChange:
        change = CostChange()
        for slot, (before, after) in enumerate(zip(previous, costs, strict=True), self.first_slot):
            if after > before + EPSILON:
                change.increased.add(slot)
            elif after < before - EPSILON:
                change.decreased.add(slot)
        return change

    def unit_costs(self, profile: str) -> list[float] | None:
        """Returns a profile's cost of CPU time in each slot; None if none were set."""
        return self._unit_costs.get(profile)

    def last_slot(self, demand: JobDemand) -> int:
        """Returns the last slot of the horizon that ends by the latest start: a start anywhere in it is safe."""
        return min(demand.latest_start // self.step - 1, self.first_slot + self.slots - 1)

    def task_cost(self, demand: JobDemand, slot: int) -> float:
        """Returns the cost of one task that starts in a slot; slots outside the horizon have the ordinary cost, 1."""
        costs = self._unit_costs.get(demand.profile)
        remaining, index, cost = demand.runtime, slot - self.first_slot, 0.0
        while remaining > 0:
            part = min(remaining, self.step)
            cost += part * (costs[index] if costs is not None and 0 <= index < self.slots else 1.0)
            remaining -= part
            index += 1
        wait = max(slot * self.step - self.now, 0) / max(demand.latest_start - self.now, self.step)
        return demand.cpus * (cost + demand.delay_penalty * min(wait, 1.0) * demand.runtime)

    def cheapest_slots(self, demand: JobDemand) -> list[int]:
        """Returns the slots of the horizon in the order of the cost of a task that starts in them."""
        slots_taken = max(1, -(-demand.runtime // self.step))
        key = (demand.profile, slots_taken)
        slots_by_cost = self._slots_by_cost.get(key)
        if slots_by_cost is None:
            # Tasks that take the same number of slots share one order: fractions of a slot make little difference.
            sample = JobDemand("", 1.0, 1, slots_taken * self.step, 1 << 62, demand.profile)
            horizon = range(self.first_slot, self.first_slot + self.slots)
            costs = {slot: round(self.task_cost(sample, slot), 3) for slot in horizon}
            slots_by_cost = self._slots_by_cost[key] = sorted(horizon, key=lambda slot: (costs[slot], slot))
            self.operation_count += self.slots
        if demand.delay_penalty <= 0:
            return slots_by_cost
        return sorted(slots_by_cost, key=lambda slot: (self.task_cost(demand, slot), slot))

    def _slot_usage(self, demand: JobDemand, slot: int) -> Iterable[tuple[int, float]]:
        """Yields the horizon index of each slot that a task started in `slot` uses, and the CPU-us used in it."""
        remaining, index = demand.runtime, slot - self.first_slot
        while remaining > 0 and index < self.slots:
            if index >= 0:
                yield index, min(remaining, self.step) * demand.cpus
            remaining -= self.step
            index += 1

    def startable_tasks(self, demand: JobDemand, slot: int) -> int:
        """Returns how many tasks of a job fit into the free capacity if they start in a slot."""
        count = demand.task_count
        for index, usage in self._slot_usage(demand, slot):
            self.operation_count += 1
            count = min(count, int((self.free_capacity[index] + EPSILON) // usage))
            if count <= 0:
                return 0
        return count

    def release_capacity(self, demand: JobDemand, slot: int, count: int) -> None:
        """Releases the capacity of `count` tasks that start in a slot; a negative `count` reserves capacity."""
        for index, usage in self._slot_usage(demand, slot):
            self.free_capacity[index] += count * usage
