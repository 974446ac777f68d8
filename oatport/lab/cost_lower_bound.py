"""The least that a night's work can cost with perfect knowledge: a linear program, solved by HiGHS through scipy.

A relaxation, so that no schedule can be cheaper: work is a fluid, jobs that come and are due in the same slots are
one, and a slot in which a job comes or is due counts as a whole. Jobs that can't be done in time by anybody, or that
found no room even when all started at once, may be done at any later time.
"""

from __future__ import annotations

from collections import Counter

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_matrix

from oatport.lab.window_workload import BEGINS, CPUS, Night
from oatport.times import SECOND


def possible(night: Night) -> int:
    """Jobs whose longest task fits between their coming and their deadline."""
    return sum(job.at + max(job.runs) <= job.deadline for job in night.jobs)


def least_cost(night: Night, anytime: set[str], step: int = 300 * SECOND) -> float:
    """CPU-hours times price. `anytime`: jobs without a deadline here. Raises RuntimeError if the solver gives up."""
    end = BEGINS + len(night.prices) * 3600 * SECOND
    slots = (end - BEGINS) // step
    work: Counter[tuple[int, int]] = Counter()
    for job in night.jobs:
        first = (job.at - BEGINS) // step
        last = slots - 1 if job.ref in anytime else min((job.deadline - BEGINS) // step, slots - 1)
        work[first, last] += sum(job.runs) * round(CPUS)
    groups = sorted(work)
    price = np.array([night.price(BEGINS + slot * step) for slot in range(slots)])
    cost: list[float] = []
    by_group: list[int] = []
    by_slot: list[int] = []
    for group, (first, last) in enumerate(groups):
        for slot in range(first, last + 1):
            by_group.append(group)
            by_slot.append(slot)
            cost.append(float(price[slot]))
    count = len(cost)
    ones, columns = np.ones(count), np.arange(count)
    hour = 3600 * SECOND
    done = linprog(
        cost,
        A_ub=coo_matrix((ones, (by_slot, columns)), shape=(slots, count)).tocsr(),
        b_ub=np.full(slots, night.capacity * step / hour),
        A_eq=coo_matrix((ones, (by_group, columns)), shape=(len(groups), count)).tocsr(),
        b_eq=np.array([work[group] / hour for group in groups]),
        bounds=(0, None),
        method="highs",
    )
    if done.status != 0:
        raise RuntimeError(f"no bound: {done.message}")
    return float(done.fun)
