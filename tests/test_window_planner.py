"""Properties of the planner of cheaper hours, whatever the jobs and prices."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from oatport.times import SECOND
from oatport.windows.planner import Need, Planner

STEP = 300 * SECOND
NOW = 1_000_000 * STEP
SLOTS = 40

needs = st.builds(
    lambda number, cpus, tasks, run, slack: Need(f"j-{number}", cpus, tasks, run * SECOND, NOW + slack * SECOND),
    st.integers(0, 30),
    st.sampled_from([1.0, 2.0, 4.0]),
    st.integers(1, 30),
    st.integers(1, 2000),
    st.integers(-600, 45 * 300),
)
units = st.lists(st.floats(-3, 5).map(lambda value: round(value, 2)), min_size=SLOTS, max_size=SLOTS)
capacities = st.sampled_from([4.0, 20.0, 100.0])


def planner(unit: list[float], capacity: float) -> Planner:
    made = Planner(STEP, SLOTS, capacity)
    made.at(NOW)
    made.price("", unit)
    return made


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(needs, max_size=25), units, units, capacities)
def test_no_task_is_planned_past_its_latest_safe_start(
    jobs: list[Need], unit: list[float], later: list[float], capacity: float
) -> None:
    made = planner(unit, capacity)
    for need in jobs:
        made.add(need)
    made.price("", later)
    made.improve(10)
    first = NOW // STEP
    for plan in made.plans.values():
        assert sum(plan.starts.values()) == plan.need.tasks
        for slot in plan.starts:
            assert slot == first or (slot + 1) * STEP <= plan.need.latest


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(needs, max_size=25), units, units, capacities)
def test_no_plan_is_dearer_than_starting_at_once(
    jobs: list[Need], unit: list[float], later: list[float], capacity: float
) -> None:
    made = planner(unit, capacity)
    for need in jobs:
        plan = made.add(need)
        assert plan.cost <= plan.at_once + 1e-6
    made.price("", later)
    while made.marked:
        made.improve(5)
    for plan in made.plans.values():  # by the new prices; nothing is moved for less than a hundredth
        at_once = plan.need.tasks * made._cost(plan.need, made._first)
        cost = sum(count * made._cost(plan.need, slot) for slot, count in plan.starts.items())
        assert cost <= at_once + 0.011 * abs(cost) + 1e-6


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(needs, max_size=25), units, capacities)
def test_the_same_input_gives_the_same_plan(jobs: list[Need], unit: list[float], capacity: float) -> None:
    def starts() -> dict[str, dict[int, int]]:
        made = planner(unit, capacity)
        for need in jobs:
            made.add(need)
        return {ref: plan.starts for ref, plan in made.plans.items()}

    assert starts() == starts()


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(needs, max_size=25), units, capacities)
def test_capacity_is_reserved_and_released_exactly(jobs: list[Need], unit: list[float], capacity: float) -> None:
    made = planner(unit, capacity)
    for need in jobs:
        made.add(need)
    made.price("", unit[::-1])
    made.improve(100)
    for ref in list(made.plans):
        made.remove(ref)
    assert all(abs(free - capacity * STEP) < 1 for free in made._free)
    assert not made._in_slot


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(needs, max_size=20), units, st.lists(st.integers(1, 900), min_size=1, max_size=60))
def test_every_task_is_released_once_and_in_time(jobs: list[Need], unit: list[float], steps: list[int]) -> None:
    made = planner(unit, 50.0)
    wanted = {need.ref: need for need in jobs}
    for need in wanted.values():
        made.add(need)
    released = dict.fromkeys(wanted, 0)
    now = NOW
    for step in [0, *steps, 50 * 300]:
        now += step * SECOND
        made.at(now)
        for ref, count in made.due():
            released[ref] += count
        made.improve(3)
        for ref, plan in made.plans.items():
            assert plan.need.latest > now, (ref, plan)  # whoever is still held may still wait
    assert released == {ref: need.tasks for ref, need in wanted.items()}


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(needs, max_size=12), st.sampled_from([20.0, 40.0]))
def test_more_capacity_never_makes_a_deadline_fail(jobs: list[Need], capacity: float) -> None:
    """Equal prices, so that only capacity decides: who has it in time with less has so with more."""
    jobs = [replace(need, cpus=1.0, run=STEP, ref=f"{number}") for number, need in enumerate(jobs)]

    def late(capacity: float) -> set[str]:
        made = planner([1.0] * SLOTS, capacity)
        for need in sorted(jobs, key=lambda need: need.latest):
            made.add(need)
        return {ref for ref, plan in made.plans.items() if plan.crowded}

    assert late(2 * capacity) <= late(capacity)


def test_an_urgent_job_takes_the_hours_of_one_that_can_go_elsewhere() -> None:
    made = planner([5.0, 1.0, 2.0] + [4.0] * (SLOTS - 3), 10.0)
    first = NOW // STEP
    patient = made.add(Need("patient", 1.0, 10, 300 * SECOND, NOW + 30 * STEP))
    assert patient.starts == {first + 1: 10}
    urgent = made.add(Need("urgent", 1.0, 20, 300 * SECOND, NOW + 2 * STEP))
    assert not urgent.crowded
    assert urgent.starts == {first + 1: 10, first: 10}
    assert made.plans["patient"].starts == {first + 2: 10}


def test_a_change_costs_work_by_what_it_changes() -> None:
    """10,000 held jobs are not planned anew for one that comes, nor for one hour whose price changes."""
    unit = [1.0 + (number % 12) / 10 for number in range(400)]
    made = Planner(STEP, 400, 50_000.0)
    made.at(NOW)
    made.price("", unit)
    for number in range(10_000):
        made.add(Need(f"j-{number}", 1.0, 20, 600 * SECOND, NOW + (50 + number % 300) * STEP))
    before = made.work
    made.add(Need("j-new", 1.0, 20, 600 * SECOND, NOW + 300 * STEP))
    assert made.work - before < 2_000
    dearer = list(unit)
    held_there = len(made._in_slot.get(NOW // STEP + 24, ()))
    dearer[24] = 9.0
    made.price("", dearer)
    assert made.marked == held_there
    before = made.work
    made.improve(50)
    assert made.work - before < 50 * 1_000
