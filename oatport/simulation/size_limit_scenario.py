"""Fault plans and jobs that reach the size limits of PROTOCOL: large transactions, long heartbeats and commands.

For a while the records of some jobs are refused, however small they are.
"""

from __future__ import annotations

import random
from typing import Any

from oatport.simulation.fault_plan import Fault, Plan
from oatport.simulation.plan_builder import PlanBuilder
from oatport.simulation.submitted_job import SubmittedJob

LONG_ID_DIGITS = 62  # the longest job ids that nodes accept have 64 characters
MACHINE_TYPE_NAMES = 62  # of no machine type, in the list of allowed types
SMALL_TASK_CPUS, SMALL_TASK_MEMORY_GB = 0.003, 0.005
SUBMIT_SPAN_S = 3.0
MACHINES_DIVISOR = 4  # few machines, so that many small tasks meet on one


def size_limit_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 100.0
) -> Plan:
    """Returns a plan with long descriptions that are used together, small tasks, and records that are refused."""
    builder = PlanBuilder(seed, nodes, max(8, machines // MACHINES_DIVISOR), zones, for_s)
    rng = builder.rng
    builder.add("long_lists", rng.uniform(8, 12), count=rng.randint(12, 20), amount=float(rng.randint(56, 64)))
    cancelled_at_s = rng.uniform(25, 35)
    builder.add(
        "long_lists", cancelled_at_s, rng.uniform(6, 9), count=rng.randint(12, 20), amount=float(rng.randint(64, 72))
    )
    builder.add("small_tasks", rng.uniform(10, 40), count=rng.randint(1_600, 2_400))
    builder.add("records_refused", rng.uniform(13, 40), rng.uniform(5, 35), count=rng.randint(1, 4))
    if rng.random() < 0.5:
        builder.crash_leader(rng.uniform(12, 60))
    if rng.random() < 0.3:
        builder.add("lost_answers", rng.uniform(12, 50), rng.uniform(2, 8), amount=0.3)
    return builder.build(builder.machines / 2, pipelines_a_minute=0.0)


def size_limit_jobs(plan: Plan, rng: random.Random, start_s: float) -> list[SubmittedJob]:
    """Returns the jobs of all faults of this module; `start_s`: start of the run, in seconds of the event loop."""
    submitted: list[SubmittedJob] = []
    for number, fault in enumerate(plan.faults):
        if fault.kind == "long_lists":
            submitted += _jobs_with_long_lists(rng, start_s, fault, 1_000 * (number + 1))
        elif fault.kind == "small_tasks":
            submitted.append(SubmittedJob(_small_tasks_body(fault, 1_000 * (number + 1)), start_s + fault.at_s))
    return submitted


def _long_id(number: int) -> str:
    return f"j-{number:0{LONG_ID_DIGITS}d}"


def _jobs_with_long_lists(rng: random.Random, start_s: float, fault: Fault, first_number: int) -> list[SubmittedJob]:
    """Returns `amount` jobs, and `count` others that wait for them all; after `for_s` (0: never) one is cancelled."""
    at = start_s + fault.at_s
    dependencies = [
        SubmittedJob(_body(_long_id(first_number + n), voyageS=rng.uniform(1, 3)), at + rng.uniform(0, SUBMIT_SPAN_S))
        for n in range(round(fault.amount))
    ]
    if fault.for_s:
        # It runs until the others have been accepted, so that they still wait for it.
        dependencies[0].body["voyageS"] = 2 * fault.for_s
        dependencies[0].cancel_at = at + fault.for_s
    names = ["m8", *(f"type-{number:059d}" for number in range(MACHINE_TYPE_NAMES))]
    waits_on = [job.job_id for job in dependencies]
    dependents = [
        SubmittedJob(
            _body(_long_id(first_number + 500 + n), berthKinds=names, waitsOn=waits_on),
            at + SUBMIT_SPAN_S,
            dependencies=list(dependencies),
        )
        for n in range(fault.count)
    ]
    return dependencies + dependents


def _small_tasks_body(fault: Fault, number: int) -> dict[str, Any]:
    """Returns an array of `count` tasks for the few machines of one offering."""
    return _body(
        _long_id(number),
        legs=fault.count,
        cores=SMALL_TASK_CPUS,
        memoryGb=SMALL_TASK_MEMORY_GB,
        berthKinds=["m8"],
        harbor="a",
        driftwood=False,
        voyageS=8.0,
    )


def _body(job_id: str, **fields: Any) -> dict[str, Any]:
    body: dict[str, Any] = {
        "ref": job_id,
        "cargo": "local",
        "crew": "south",
        "rig": "array",
        "urgency": "normal",
        "legs": 1,
        "cores": 0.25,
        "accelerators": 0.0,
        "memoryGb": 0.25,
        "hull": "img-local-0",
        "sizeGb": 0.3,
        "berthKinds": None,
        "harbor": None,
        "samePlace": False,
        "spread": False,
        "driftwood": True,
        "voyageS": 2.0,
        "mooringS": 0.0,
        "stowS": 0.0,
        "tideS": None,
    }
    return body | fields
