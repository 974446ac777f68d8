"""Property tests of the planner of deferred starts, over generated jobs and prices."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from oatport.times import SECOND
from oatport.windows.plan import JobDemand
from oatport.windows.planner import Planner

STEP = 300 * SECOND
NOW = 1_000_000 * STEP
SLOTS = 40

demands = st.builds(
    lambda number, cpus, task_count, runtime, slack: JobDemand(
        f"j-{number}", cpus, task_count, runtime * SECOND, NOW + slack * SECOND
    ),
    st.integers(0, 30),
    st.sampled_from([1.0, 2.0, 4.0]),
    st.integers(1, 30),
    st.integers(1, 2000),
    st.integers(-600, 45 * 300),
)
cost_lists = st.lists(st.floats(-3, 5).map(lambda value: round(value, 2)), min_size=SLOTS, max_size=SLOTS)
capacities = st.sampled_from([4.0, 20.0, 100.0])


def make_planner(costs: list[float], capacity: float) -> Planner:
    planner = Planner(STEP, SLOTS, capacity)
    planner.advance_to(NOW)
    planner.set_prices("", costs)
    return planner


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(demands, max_size=25), cost_lists, cost_lists, capacities)
def test_no_task_is_planned_past_its_latest_safe_start(
    jobs: list[JobDemand], costs: list[float], later_costs: list[float], capacity: float
) -> None:
    planner = make_planner(costs, capacity)
    for demand in jobs:
        planner.add(demand)
    planner.set_prices("", later_costs)
    planner.replan_dirty(10)
    first = NOW // STEP
    for plan in planner.plans.values():
        assert sum(plan.starts.values()) == plan.demand.task_count
        for slot in plan.starts:
            assert slot == first or (slot + 1) * STEP <= plan.demand.latest_start


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(demands, max_size=25), cost_lists, cost_lists, capacities)
def test_no_plan_costs_more_than_an_immediate_start(
    jobs: list[JobDemand], costs: list[float], later_costs: list[float], capacity: float
) -> None:
    planner = make_planner(costs, capacity)
    for demand in jobs:
        plan = planner.add(demand)
        assert plan.cost <= plan.immediate_cost + 1e-6
    planner.set_prices("", later_costs)
    while planner.dirty_count:
        planner.replan_dirty(5)
    for plan in planner.plans.values():  # at the new prices; a job is not moved for a saving below 1 %
        immediate_cost = plan.demand.task_count * planner.horizon.task_cost(plan.demand, planner.horizon.first_slot)
        cost = sum(count * planner.horizon.task_cost(plan.demand, slot) for slot, count in plan.starts.items())
        assert cost <= immediate_cost + 0.011 * abs(cost) + 1e-6


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(demands, max_size=25), cost_lists, capacities)
def test_the_same_input_gives_the_same_plan(jobs: list[JobDemand], costs: list[float], capacity: float) -> None:
    def starts() -> dict[str, dict[int, int]]:
        planner = make_planner(costs, capacity)
        for demand in jobs:
            planner.add(demand)
        return {job_id: plan.starts for job_id, plan in planner.plans.items()}

    assert starts() == starts()


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(demands, max_size=25), cost_lists, capacities)
def test_capacity_is_reserved_and_released_exactly(jobs: list[JobDemand], costs: list[float], capacity: float) -> None:
    planner = make_planner(costs, capacity)
    for demand in jobs:
        planner.add(demand)
    planner.set_prices("", costs[::-1])
    planner.replan_dirty(100)
    for job_id in list(planner.plans):
        planner.remove(job_id)
    assert all(abs(free - capacity * STEP) < 1 for free in planner.horizon.free_capacity)
    assert not planner._tasks_by_slot


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(demands, max_size=20), cost_lists, st.lists(st.integers(1, 900), min_size=1, max_size=60))
def test_every_task_is_released_once_and_in_time(jobs: list[JobDemand], costs: list[float], steps: list[int]) -> None:
    planner = make_planner(costs, 50.0)
    wanted = {demand.job_id: demand for demand in jobs}
    for demand in wanted.values():
        planner.add(demand)
    released = dict.fromkeys(wanted, 0)
    now = NOW
    for step in [0, *steps, 50 * 300]:
        now += step * SECOND
        planner.advance_to(now)
        for job_id, count in planner.take_due():
            released[job_id] += count
        planner.replan_dirty(3)
        for job_id, plan in planner.plans.items():
            assert plan.demand.latest_start > now, (job_id, plan)  # a deferred job is before its latest start
    assert released == {job_id: demand.task_count for job_id, demand in wanted.items()}


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(demands, max_size=12), st.sampled_from([20.0, 40.0]))
def test_more_capacity_never_makes_a_deadline_fail(jobs: list[JobDemand], capacity: float) -> None:
    """Prices are equal, so that only capacity decides: a job planned in time with less capacity is so with more."""
    jobs = [replace(demand, cpus=1.0, runtime=STEP, job_id=f"{number}") for number, demand in enumerate(jobs)]

    def overcommitted_jobs(capacity: float) -> set[str]:
        planner = make_planner([1.0] * SLOTS, capacity)
        for demand in sorted(jobs, key=lambda demand: demand.latest_start):
            planner.add(demand)
        return {job_id for job_id, plan in planner.plans.items() if plan.is_overcommitted}

    assert overcommitted_jobs(2 * capacity) <= overcommitted_jobs(capacity)


def test_an_urgent_job_displaces_one_that_can_start_later() -> None:
    planner = make_planner([5.0, 1.0, 2.0] + [4.0] * (SLOTS - 3), 10.0)
    first = NOW // STEP
    patient = planner.add(JobDemand("patient", 1.0, 10, 300 * SECOND, NOW + 30 * STEP))
    assert patient.starts == {first + 1: 10}
    urgent = planner.add(JobDemand("urgent", 1.0, 20, 300 * SECOND, NOW + 2 * STEP))
    assert not urgent.is_overcommitted
    assert urgent.starts == {first + 1: 10, first: 10}
    assert planner.plans["patient"].starts == {first + 2: 10}


def test_planning_work_is_proportional_to_the_change() -> None:
    """Neither one new job nor one changed slot price may cause a replan of all 10,000 deferred jobs."""
    costs = [1.0 + (number % 12) / 10 for number in range(400)]
    planner = Planner(STEP, 400, 50_000.0)
    planner.advance_to(NOW)
    planner.set_prices("", costs)
    for number in range(10_000):
        planner.add(JobDemand(f"j-{number}", 1.0, 20, 600 * SECOND, NOW + (50 + number % 300) * STEP))
    count_before = planner.horizon.operation_count
    planner.add(JobDemand("j-new", 1.0, 20, 600 * SECOND, NOW + 300 * STEP))
    assert planner.horizon.operation_count - count_before < 2_000
    changed = list(costs)
    deferred_in_slot = len(planner._tasks_by_slot.get(NOW // STEP + 24, ()))
    changed[24] = 9.0
    planner.set_prices("", changed)
    assert planner.dirty_count == deferred_in_slot
    count_before = planner.horizon.operation_count
    planner.replan_dirty(50)
    assert planner.horizon.operation_count - count_before < 50 * 1_000
