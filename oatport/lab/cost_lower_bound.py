"""Computes a lower bound of the cost of a night's jobs by linear programming (HiGHS in scipy).

All prices and run times are known to the program. The program is a relaxation, so that no schedule can be cheaper: work
is arbitrarily divisible, jobs that are submitted and due in the same slots are merged, and the slot in which a job is
submitted or due counts in full. Jobs that no schedule can finish in time, and jobs that missed their deadline for lack
of capacity even when every job started immediately, may be done at any later time.
"""

from __future__ import annotations

from collections import Counter

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_matrix

from oatport.lab.window_workload import CPUS_PER_TASK, NIGHT_START, NightWorkload
from oatport.times import SECOND


def count_feasible_jobs(workload: NightWorkload) -> int:
    """Returns the number of jobs whose longest task fits between submission and deadline."""
    return sum(job.submitted_at + max(job.task_runtimes) <= job.deadline for job in workload.jobs)


def compute_cost_lower_bound(
    workload: NightWorkload, without_deadline: set[str], slot_length: int = 300 * SECOND
) -> float:
    """Returns the bound in CPU-hours times price. Raises RuntimeError if the solver finds no optimum.

    `without_deadline` holds the ids of the jobs whose deadlines are ignored.
    """
    end = NIGHT_START + len(workload.prices) * 3600 * SECOND
    slot_count = (end - NIGHT_START) // slot_length
    work: Counter[tuple[int, int]] = Counter()  # by first and last slot
    for job in workload.jobs:
        first = (job.submitted_at - NIGHT_START) // slot_length
        last = (
            slot_count - 1
            if job.job_id in without_deadline
            else min((job.deadline - NIGHT_START) // slot_length, slot_count - 1)
        )
        work[first, last] += sum(job.task_runtimes) * round(CPUS_PER_TASK)
    groups = sorted(work)
    price = np.array([workload.price_at(NIGHT_START + slot * slot_length) for slot in range(slot_count)])
    cost: list[float] = []
    by_group: list[int] = []
    by_slot: list[int] = []
    for group, (first, last) in enumerate(groups):
        for slot in range(first, last + 1):
            by_group.append(group)
            by_slot.append(slot)
            cost.append(float(price[slot]))
    variable_count = len(cost)
    ones, columns = np.ones(variable_count), np.arange(variable_count)
    hour = 3600 * SECOND
    solution = linprog(
        cost,
        A_ub=coo_matrix((ones, (by_slot, columns)), shape=(slot_count, variable_count)).tocsr(),
        b_ub=np.full(slot_count, workload.capacity * slot_length / hour),
        A_eq=coo_matrix((ones, (by_group, columns)), shape=(len(groups), variable_count)).tocsr(),
        b_eq=np.array([work[group] / hour for group in groups]),
        bounds=(0, None),
        method="highs",
    )
    if solution.status != 0:
        raise RuntimeError(f"cost lower bound: the linear program has no optimum: {solution.message}")
    return float(solution.fun)
