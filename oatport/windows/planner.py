"""Plans when deferred jobs start: in the cheapest time slots that meet the deadline and have free capacity.

The planner is deterministic: it reads no clock and does no I/O. Time is divided into slots of equal length. A job's
tasks are independent, so a plan states how many of them start in each slot. A task that runs for longer than one slot
uses capacity in the slots that follow as well.

- The latest safe start is a hard limit: no plan exceeds it. Tasks without free capacity up to it start immediately.
- A plan never costs more than an immediate start at the prices it was made with; otherwise the job starts immediately.
- Jobs compete for capacity. A job that finds none before its latest start displaces jobs that can start later.
- Planning is incremental: a new job is planned on its own. A price change marks the affected jobs as dirty, and
  `replan_dirty` plans a few of them per call, those with the earliest start first.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from oatport.windows.horizon import Horizon
from oatport.windows.plan import EPSILON, JobDemand, Plan
from oatport.windows.plan_search import MIN_SAVING, PlanSearch

MAX_DISPLACEMENT_CANDIDATES = 16  # jobs that may be displaced for one job without free capacity
MAX_EARLY_STARTS = 500  # jobs started earlier than planned, per slot
DEMAND_FACTORS = (0.5, 1.0, 1.5, 2.0, 3.0)  # of the expected work; underestimating costs more than overestimating


class Planner:
    """Holds the plans of all deferred jobs and the capacity that they reserve in each slot.

    `step` is the length of a slot in microseconds, `slots` the number of slots in the planning horizon, and `capacity`
    the CPUs available to deferred jobs in each slot.
    """

    def __init__(self, step: int, slots: int, capacity: float) -> None:
        self.horizon = Horizon(step, slots, capacity)
        self.plans: dict[str, Plan] = {}
        self._search = PlanSearch(self.horizon)
        self._tasks_by_slot: dict[int, dict[str, int]] = {}
        self._dirty: dict[str, None] = {}
        self._latest_starts: list[tuple[int, str]] = []

    @property
    def step(self) -> int:
        """Returns the length of a slot in microseconds."""
        return self.horizon.step

    @property
    def now(self) -> int:
        """Returns the time to which the horizon was last moved."""
        return self.horizon.now

    # --- time and prices --------------------------------------------------------------------------

    def advance_to(self, now: int) -> None:
        """Moves the horizon to a time."""
        self.horizon.advance_to(now)

    def set_prices(self, profile: str, costs: list[float]) -> None:
        """Sets a profile's cost of CPU time in each slot from the current one on, in multiples of the ordinary price.

        Jobs that a changed cost affects are marked as dirty.
        """
        change = self.horizon.set_costs(profile, costs)
        self._mark_dirty(profile, change.increased, change.decreased)

    def _mark_dirty(self, profile: str, increased: set[int], decreased: set[int]) -> None:
        """Marks the jobs in slots whose cost increased and the jobs that could move to slots whose cost decreased."""
        for slot in increased:
            for job_id in self._tasks_by_slot.get(slot, ()):
                if self.plans[job_id].demand.profile == profile:
                    self._dirty[job_id] = None
        if decreased:
            earliest = min(decreased)
            for job_id, plan in self.plans.items():
                if (
                    plan.demand.profile == profile
                    and self.horizon.last_slot(plan.demand) >= earliest
                    and job_id not in self._dirty
                ):
                    self.horizon.operation_count += 1
                    self._dirty[job_id] = None

    # --- jobs ------------------------------------------------------------------------------------

    def add(self, demand: JobDemand) -> Plan:
        """Plans a new job, or replans one whose demand changed, and returns the plan.

        Other jobs move only if this job finds no free capacity before its latest start.
        """
        self.remove(demand.job_id)
        plan = self._search.make_plan(demand)
        if plan.is_overcommitted and self._displace_jobs(demand):
            plan = self._search.make_plan(demand)
        self._insert(plan)
        return plan

    def remove(self, job_id: str) -> None:
        """Removes a job's plan, if it has one, and releases its capacity."""
        plan = self.plans.pop(job_id, None)
        self._dirty.pop(job_id, None)
        if plan is not None:
            self._detach(plan)

    def quote(self, demand: JobDemand) -> Plan:
        """Returns the plan that a job would get, without storing it."""
        return self._search.make_plan(demand)

    def update_demand(self, job_id: str, demand: JobDemand) -> None:
        """Replaces a job's demand, for a changed latest start or run time, and marks a plan that exceeds it as dirty.

        The new latest start applies at once: tasks that are not replanned before it start at it.
        """
        plan = self.plans[job_id]
        self._detach(plan)
        plan.demand = demand
        self._insert(plan)
        if max(plan.starts, default=0) > max(self.horizon.last_slot(demand), self.horizon.first_slot):
            self._dirty[job_id] = None

    def restore(self, demand: JobDemand, starts: dict[int, int], reason: str) -> Plan:
        """Inserts a plan that an earlier leader recorded, with its starts unchanged, and returns it."""
        self.remove(demand.job_id)
        plan = Plan(demand, dict(starts), reason=reason)
        first = self.horizon.first_slot
        plan.cost = sum(count * self.horizon.task_cost(demand, max(slot, first)) for slot, count in starts.items())
        plan.immediate_cost = demand.task_count * self.horizon.task_cost(demand, first)
        self._insert(plan)
        return plan

    def overdue(self) -> set[str]:
        """Returns the jobs whose latest start passed more than one slot ago."""
        if not self._latest_starts or self._latest_starts[0][0] + self.step >= self.now:
            return set()  # the heap's first entry is the earliest
        return {
            job_id
            for latest_start, job_id in self._latest_starts
            if latest_start + self.step < self.now
            and job_id in self.plans
            and self.plans[job_id].demand.latest_start == latest_start
        }

    def take_due(self) -> list[tuple[str, int]]:
        """Removes the tasks that are due from the plans; returns their jobs and the number of tasks of each."""
        due: dict[str, int] = {}
        while self._latest_starts and self._latest_starts[0][0] <= self.now:
            _, job_id = heapq.heappop(self._latest_starts)
            plan = self.plans.get(job_id)
            if plan is not None and plan.demand.latest_start <= self.now:  # the latest start overrides the plan
                due[job_id] = sum(plan.starts.values())
        for slot in [slot for slot in self._tasks_by_slot if slot <= self.horizon.first_slot]:
            for job_id, count in self._tasks_by_slot[slot].items():
                if job_id not in due:
                    due[job_id] = due.get(job_id, 0) + count
        for job_id, count in list(due.items()):
            self._remove_started(job_id, count)
        return sorted((job_id, count) for job_id, count in due.items() if count)

    def _remove_started(self, job_id: str, count: int) -> None:
        """Removes started tasks from a job's plan; their capacity stays reserved, and other tasks keep their slots."""
        plan = self.plans[job_id]
        remaining = count
        for slot in sorted(plan.starts):
            part = min(remaining, plan.starts[slot])
            remaining -= part
            plan.starts[slot] -= part
            jobs_in_slot = self._tasks_by_slot.get(slot)
            if jobs_in_slot is not None and job_id in jobs_in_slot:
                jobs_in_slot[job_id] -= part
                if not jobs_in_slot[job_id]:
                    del jobs_in_slot[job_id]
                if not jobs_in_slot:
                    del self._tasks_by_slot[slot]
            if (
                slot > self.horizon.first_slot and part
            ):  # earlier than planned: move the reservation to the current slot
                self.horizon.release_capacity(plan.demand, slot, part)
                self.horizon.release_capacity(plan.demand, self.horizon.first_slot, -part)
        plan.starts = {slot: n for slot, n in plan.starts.items() if n}
        if not plan.starts:
            del self.plans[job_id]
            self._dirty.pop(job_id, None)
            return
        plan.demand = replace(plan.demand, task_count=plan.demand.task_count - count)

    def replan_dirty(self, max_jobs: int, frozen: Iterable[str] = ()) -> list[str]:
        """Replans up to `max_jobs` dirty jobs, earliest start first, and returns the jobs whose plan changed.

        A job keeps its plan if it is in `frozen`, or if a new plan saves at most MIN_SAVING, the old one starts no task
        after the latest start, and the new one does not end an overcommitment.
        """
        if not self._dirty:
            return []
        frozen_ids = set(frozen)
        first = heapq.nsmallest(
            max_jobs, self._dirty, key=lambda job_id: (min(self.plans[job_id].starts, default=0), job_id)
        )
        changed = []
        for job_id in first:
            del self._dirty[job_id]
            old = self.plans[job_id]
            if job_id in frozen_ids:
                continue
            self._detach(old)
            new = self._search.make_plan(old.demand)
            current_cost = sum(n * self.horizon.task_cost(old.demand, slot) for slot, n in old.starts.items())
            is_too_late = max(old.starts) > max(self.horizon.last_slot(old.demand), self.horizon.first_slot)
            saves_enough = current_cost - new.cost > MIN_SAVING * abs(current_cost) + EPSILON
            if new.starts != old.starts and (
                saves_enough or is_too_late or new.is_overcommitted < old.is_overcommitted
            ):
                new.move_count = old.move_count + 1
                changed.append(job_id)
            else:
                new = old
                new.cost = current_cost
            self._insert(new)
        return changed

    def price_threshold(self, profile: str, expected: float) -> float:
        """Returns the expected marginal cost of work: the unit cost up to which slots will be needed.

        Deferred jobs fill the cheapest slots, and so will jobs that are still to arrive, whose work is estimated at
        half to three times the `expected` CPU-us. The result is the average over these estimates, so that much more
        expensive slots count by their probability. Only slots in which half of the deferred work may still start count.
        """
        if not self.plans:
            return -float("inf")
        work_by_last_slot: Counter[int] = Counter()
        for plan in self.plans.values():
            demand = plan.demand
            work_by_last_slot[self.horizon.last_slot(demand)] += demand.runtime * demand.cpus * demand.task_count  # type: ignore[assignment]
        planned_work = sum(work_by_last_slot.values())
        half, until = planned_work / 2, self.horizon.first_slot
        for last in sorted(work_by_last_slot):
            until, half = last, half - work_by_last_slot[last]
            if half <= 0:
                break
        self.horizon.operation_count += len(self.plans)
        slot_count = max(until - self.horizon.first_slot + 1, 1)
        unit_costs = self.horizon.unit_costs(profile) or [1.0] * self.horizon.slots
        costs = sorted(unit_costs[:slot_count])
        slot_capacity = self.horizon.capacity * self.step
        thresholds = [
            costs[min(int((planned_work + expected * factor) / slot_capacity), len(costs) - 1)]
            for factor in DEMAND_FACTORS
        ]
        return sum(thresholds) / len(thresholds)

    def start_early(self, profile: str, expected: float) -> list[str]:
        """Moves tasks into the free capacity of the current slot if slots of its cost will be needed anyway.

        Without this, jobs that arrive early wait for the cheapest slots, and jobs that arrive late find these full and
        start in the expensive slots after them. Jobs with the earliest latest start go first. Returns the jobs whose
        plan changed.
        """
        costs = self.horizon.unit_costs(profile)
        if costs is None or not self.plans or costs[0] > self.price_threshold(profile, expected) + EPSILON:
            return []
        changed = []
        for job_id in heapq.nsmallest(
            MAX_EARLY_STARTS, self.plans, key=lambda job_id: (self.plans[job_id].demand.latest_start, job_id)
        ):
            if self.horizon.free_capacity[0] < EPSILON:
                break
            plan = self.plans[job_id]
            demand = plan.demand
            later_count = sum(count for slot, count in plan.starts.items() if slot > self.horizon.first_slot)
            if demand.profile != profile or not later_count:
                continue
            self.horizon.operation_count += 1
            self._detach(plan)
            count = min(later_count, self.horizon.startable_tasks(demand, self.horizon.first_slot))
            if count > 0:
                remaining = count
                for slot in sorted(plan.starts, reverse=True):
                    if slot > self.horizon.first_slot and remaining:
                        part = min(remaining, plan.starts[slot])
                        plan.starts[slot] -= part
                        remaining -= part
                plan.starts[self.horizon.first_slot] = plan.starts.get(self.horizon.first_slot, 0) + count
                plan.starts = {slot: n for slot, n in plan.starts.items() if n}
                plan.cost = sum(n * self.horizon.task_cost(demand, slot) for slot, n in plan.starts.items())
                plan.reason = "hours as cheap as this one will all be needed"
                changed.append(job_id)
            self._insert(plan)
        return changed

    def starts_until(self, until: int) -> list[tuple[str, int]]:
        """Returns the jobs with tasks planned to start up to a time, and the number of these tasks."""
        return [
            (job_id, count)
            for slot in sorted(slot for slot in self._tasks_by_slot if slot <= until // self.step)
            for job_id, count in self._tasks_by_slot[slot].items()
        ]

    @property
    def dirty_count(self) -> int:
        """Returns the number of dirty jobs, which `replan_dirty` has yet to replan."""
        return len(self._dirty)

    # --- capacity --------------------------------------------------------------------------------

    def _insert(self, plan: Plan) -> None:
        """Stores a plan and reserves its capacity."""
        self.plans[plan.demand.job_id] = plan
        for slot, count in plan.starts.items():
            self.horizon.release_capacity(plan.demand, slot, -count)
            self._tasks_by_slot.setdefault(slot, {})[plan.demand.job_id] = count
        heapq.heappush(self._latest_starts, (plan.demand.latest_start, plan.demand.job_id))
        if len(self._latest_starts) > 4 * len(self.plans) + 1000:  # most entries belong to replaced plans
            self._latest_starts = [(p.demand.latest_start, job_id) for job_id, p in self.plans.items()]
            heapq.heapify(self._latest_starts)

    def _detach(self, plan: Plan) -> None:
        """Releases a plan's capacity, so that the plan can be changed; `plans` still holds it."""
        for slot, count in plan.starts.items():
            self.horizon.release_capacity(plan.demand, slot, count)
            jobs_in_slot = self._tasks_by_slot.get(slot)
            if jobs_in_slot is not None:
                jobs_in_slot.pop(plan.demand.job_id, None)
                if not jobs_in_slot:
                    del self._tasks_by_slot[slot]

    def _displace_jobs(self, demand: JobDemand) -> bool:
        """Moves jobs that can start later out of the slots that this job can use; returns whether any moved."""
        last, moved = self.horizon.last_slot(demand), False
        candidates: dict[str, int] = {}
        for slot in range(self.horizon.first_slot, last + 1):
            for job_id in self._tasks_by_slot.get(slot, ()):
                latest_start = self.plans[job_id].demand.latest_start
                if self.horizon.last_slot(self.plans[job_id].demand) > last:
                    candidates[job_id] = latest_start
            self.horizon.operation_count += 1
            if len(candidates) >= 4 * MAX_DISPLACEMENT_CANDIDATES:
                break
        for job_id in heapq.nlargest(MAX_DISPLACEMENT_CANDIDATES, candidates, key=lambda c: (candidates[c], c)):
            old = self.plans[job_id]
            self._detach(old)
            new = self._search.plan_after(old, last)
            self._insert(new or old)
            moved = moved or new is not None
            if moved and self._has_capacity(demand):
                return True
        return moved

    def _has_capacity(self, demand: JobDemand) -> bool:
        """Returns whether the slots up to the latest start, each taken on its own, have capacity for all tasks."""
        remaining = demand.task_count
        for slot in range(self.horizon.first_slot, self.horizon.last_slot(demand) + 1):
            remaining -= min(remaining, self.horizon.startable_tasks(demand, slot))
            if remaining <= 0:
                return True
        return False
