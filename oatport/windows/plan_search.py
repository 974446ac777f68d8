"""Searches the plan of one job: the cheapest slots that meet its deadline and have free capacity."""

from __future__ import annotations

from oatport.windows.horizon import Horizon
from oatport.windows.plan import EPSILON, JobDemand, Plan

MIN_SAVING = 0.01  # share of the cost; deferring a job for less is not worth the risk


class PlanSearch:
    """Makes plans on the free capacity of a horizon, without reserving any."""

    def __init__(self, horizon: Horizon) -> None:
        self._horizon = horizon

    def make_plan(self, demand: JobDemand) -> Plan:
        """Returns a plan that uses the cheapest free slots in time, or an immediate start if they save too little."""
        plan = Plan(
            demand, immediate_cost=demand.task_count * self._horizon.task_cost(demand, self._horizon.first_slot)
        )
        last, remaining = self._horizon.last_slot(demand), demand.task_count
        if last < self._horizon.first_slot:
            plan.starts, plan.cost, plan.reason = (
                {self._horizon.first_slot: remaining},
                plan.immediate_cost,
                "the latest safe start is now",
            )
            return plan
        remaining = self._fill(plan, remaining, self._horizon.first_slot, last)
        if remaining > 0:
            plan.starts[self._horizon.first_slot] = plan.starts.get(self._horizon.first_slot, 0) + remaining
            plan.cost += remaining * self._horizon.task_cost(demand, self._horizon.first_slot)
            plan.is_overcommitted = True
        saves_little = plan.immediate_cost - plan.cost <= MIN_SAVING * abs(plan.immediate_cost) + EPSILON
        if saves_little and not plan.is_overcommitted and self._fits_now(plan):
            plan.starts, plan.cost, plan.reason = (
                {self._horizon.first_slot: demand.task_count},
                plan.immediate_cost,
                "no hour to come is cheaper",
            )
        elif plan.cost > plan.immediate_cost + EPSILON:
            plan.starts, plan.cost, plan.reason = (
                {self._horizon.first_slot: demand.task_count},
                plan.immediate_cost,
                "nothing cheaper has room",
            )
        else:
            plan.reason = "some of it has no room in time" if plan.is_overcommitted else "cheaper hours"
        return plan

    def _fill(self, plan: Plan, remaining: int, first: int, last: int) -> int:
        """Assigns tasks to the cheapest slots of a range with free capacity; returns how many found none."""
        demand = plan.demand
        for slot in self._horizon.cheapest_slots(demand):
            if remaining <= 0:
                break
            self._horizon.operation_count += 1
            if not first <= slot <= last:
                continue
            count = min(remaining, self._horizon.startable_tasks(demand, slot))
            if count > 0:
                plan.starts[slot] = count
                plan.cost += count * self._horizon.task_cost(demand, slot)
                remaining -= count
        return remaining

    def _fits_now(self, plan: Plan) -> bool:
        """Returns whether all tasks fit into the current slot; only if not is a negligible saving worth a deferral."""
        return self._horizon.startable_tasks(plan.demand, self._horizon.first_slot) >= plan.demand.task_count

    def plan_after(self, old: Plan, after: int) -> Plan | None:
        """Returns a plan that starts only after a slot; None if later slots are full or cost more than a start now."""
        demand = old.demand
        plan = Plan(
            demand,
            immediate_cost=old.immediate_cost,
            reason="made room for a job with an earlier deadline",
            move_count=old.move_count + 1,
        )
        if (
            self._fill(plan, demand.task_count, after + 1, self._horizon.last_slot(demand))
            or plan.cost > plan.immediate_cost + EPSILON
        ):
            return None
        return plan
