"""Generates the jobs that users submit in a run: by class at random times, in bursts, and in pipelines.

The body of a job is its submission as on the wire.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from oatport.simulation.deployment import ZONES
from oatport.simulation.fault_plan import Fault, Plan
from oatport.simulation.submitted_job import SubmittedJob

# class -> share of all jobs; `_job_body` draws the fields of each job
CLASS_SHARES = {"serve": 0.12, "batch": 0.5, "train": 0.08, "guest": 0.2, "local": 0.1}
TEAM_OF_CLASS = {"serve": "north", "batch": "south", "train": "north", "guest": "east", "local": "east"}
SERVICES_PER_MACHINE = 0.15  # number of services submitted at the start, per machine
FIRST_SUBMISSION_S = 4.0  # seconds from the start of the run to the first submission
CANCELLED_SHARE, CANCELLED_SHARE_OF_SINGLE_TASKS, ALWAYS_FAILS_SHARE = 0.12, 0.25, 0.04


def generate_jobs(plan: Plan, rng: random.Random, start_s: float) -> list[SubmittedJob]:
    """Returns the jobs of a run in order of submission; users cancel some of them, and some always fail."""
    submitted: list[SubmittedJob] = []
    for name, share in CLASS_SHARES.items():
        submitted += _jobs_of_class(plan, rng, start_s, name, share)
    for fault in plan.faults:
        if fault.kind == "singles":
            submitted += _single_task_jobs(plan, rng, start_s, fault)
    for _ in range(round(SERVICES_PER_MACHINE * plan.machines)):
        submitted.append(SubmittedJob(_job_body(rng, "serve", plan), start_s + rng.uniform(0, 1)))
    submitted.sort(key=lambda job: job.submit_at)
    for number, job in enumerate(submitted):
        job.body["ref"] = f"j-{number + 1:06d}"
        _draw_user_behaviour(job, rng)
    return submitted


def _jobs_of_class(plan: Plan, rng: random.Random, start_s: float, name: str, share: float) -> list[SubmittedJob]:
    """Returns the jobs of a class.

    Arrivals are drawn at the highest rate and thinned to the current rate; otherwise a burst that is shorter than the
    usual gap between arrivals would be skipped.
    """
    submitted: list[SubmittedJob] = []
    rate = plan.jobs_a_minute * share / 60
    bursts = [fault for fault in plan.faults if fault.kind == "rush" and fault.name == name]
    peak_factor = max([1.0, *(burst.amount for burst in bursts)])
    at = 0.0
    while rate > 0:
        at += rng.expovariate(rate * peak_factor)
        if at >= plan.for_s:
            break
        factor = max([f.amount for f in bursts if 0 <= FIRST_SUBMISSION_S + at - f.at_s < f.for_s], default=1.0)
        if rng.random() * peak_factor < factor:
            submitted.append(SubmittedJob(_job_body(rng, name, plan), start_s + at))
    return submitted


def _single_task_jobs(plan: Plan, rng: random.Random, start_s: float, fault: Fault) -> list[SubmittedJob]:
    submitted = []
    for _ in range(round(fault.amount * fault.for_s)):
        body = _job_body(rng, "local", plan) | {"legs": 1, "cores": 1.0, "voyageS": rng.uniform(1, 8)}
        submitted.append(SubmittedJob(body, start_s + fault.at_s - FIRST_SUBMISSION_S + rng.uniform(0, fault.for_s)))
    return submitted


def _draw_user_behaviour(job: SubmittedJob, rng: random.Random) -> None:
    job.always_fails = job.body["rig"] != "standing" and rng.random() < ALWAYS_FAILS_SHARE
    has_single_task = job.body["rig"] == "array" and job.body["legs"] == 1
    if job.always_fails or rng.random() < (CANCELLED_SHARE_OF_SINGLE_TASKS if has_single_task else CANCELLED_SHARE):
        job.cancel_at = job.submit_at + rng.uniform(2, 50)


# --- pipelines ----------------------------------------------------------------------------------


class Stage(NamedTuple):
    """Defines a stage of a pipeline: the properties of its job and the earlier stages that it depends on."""

    job_class: str
    team: str
    priority: str
    tasks: tuple[int, int]
    runtime_s: tuple[float, float]
    dependencies: tuple[int, ...]


STAGES = (
    Stage("gather", "south", "idle", (2, 6), (2, 8), ()),
    Stage("scan", "south", "idle", (8, 130), (3, 12), (0,)),
    Stage("scan", "east", "idle", (3, 16), (3, 12), (0,)),
    Stage("fit", "north", "normal", (2, 3), (3, 10), (1,)),
    Stage("settle", "north", "high", (1, 4), (2, 5), (0, 2, 3)),
)


def generate_pipelines(plan: Plan, rng: random.Random, start_s: float) -> list[SubmittedJob]:
    """Returns the jobs of all pipelines.

    A stage is submitted once its dependencies are accepted; some last stages only once these are done or cancelled.
    """
    submitted: list[SubmittedJob] = []
    at = plan.pipelines_from_s
    while plan.pipelines_a_minute > 0:
        at += rng.expovariate(plan.pipelines_a_minute / 60)
        if at >= plan.for_s:
            break
        submitted += _pipeline(plan, rng, start_s + at, submitted)
    return submitted


def _pipeline(plan: Plan, rng: random.Random, submit_at: float, earlier_jobs: list[SubmittedJob]) -> list[SubmittedJob]:
    jobs_of_stages: list[SubmittedJob] = []
    # Some pipelines also depend on the last job of an earlier pipeline, which may have ended long ago.
    earlier_last_jobs = [job for job in earlier_jobs if job.is_last_in_pipeline and rng.random() < 0.1][:1]
    for number, stage in enumerate(STAGES):
        body = _stage_body(plan, rng, stage, f"j-{700_000 + len(earlier_jobs) + number}")
        dependencies = [jobs_of_stages[i] for i in stage.dependencies] + (
            [] if stage.dependencies else earlier_last_jobs
        )
        if dependencies:
            body["waitsOn"] = [job.job_id for job in dependencies]
        jobs_of_stages.append(SubmittedJob(body, submit_at, dependencies=dependencies))
    last = jobs_of_stages[-1]
    last.body["tideS"] = 75.0
    last.is_last_in_pipeline, last.submitted_after_dependencies = True, rng.random() < 0.15
    if rng.random() < 0.2:
        rng.choice(jobs_of_stages).cancel_at = submit_at + rng.uniform(0.5, 45)
    return jobs_of_stages


def _stage_body(plan: Plan, rng: random.Random, stage: Stage, job_id: str) -> dict[str, Any]:
    runtime_s = rng.uniform(*stage.runtime_s)
    body = _job_body(rng, "local", plan) | {
        "ref": job_id,
        "cargo": stage.job_class,
        "crew": stage.team,
        "urgency": stage.priority,
        "cores": 0.5,
        "legs": rng.randint(*stage.tasks),
        "voyageS": runtime_s,
        "harbor": None,
        "berthKinds": None,
        "driftwood": True,
        "hull": f"img-{stage.job_class}",
        "sizeGb": 0.5,
    }
    if stage.job_class == "fit":
        body |= {"rig": "gang", "samePlace": True, "driftwood": False, "mooringS": 4.0, "stowS": 1.0}
    return body


# --- bodies by class ----------------------------------------------------------------------------


def _job_body(rng: random.Random, name: str, plan: Plan) -> dict[str, Any]:
    body: dict[str, Any] = {
        "ref": "",
        "cargo": name,
        "crew": TEAM_OF_CLASS[name],
        "rig": "array",
        "urgency": "normal",
        "legs": 1,
        "cores": 1.0,
        "accelerators": 0.0,
        "memoryGb": 2.0,
        "hull": f"img-{name}-{rng.randrange(3)}",
        "sizeGb": rng.uniform(0.3, 2.5),
        "berthKinds": None,
        "harbor": None,
        "samePlace": False,
        "spread": False,
        "driftwood": True,
        "voyageS": 10.0,
        "mooringS": 0.0,
        "stowS": 0.0,
        "tideS": None,
    }
    return body | FIELDS_OF_CLASS[name](rng, plan)


def _service(rng: random.Random, plan: Plan) -> dict[str, Any]:
    return {
        "rig": "standing",
        "legs": rng.randint(2, 4),
        "cores": 2.0,
        "urgency": "production",
        "spread": True,
        "driftwood": False,
        "voyageS": 0.0,
    }


def _batch(rng: random.Random, plan: Plan) -> dict[str, Any]:
    runtime_s = rng.uniform(6, 30)
    fields = {
        "legs": rng.randint(2, max(4, min(40, plan.machines // 3))),
        "cores": rng.choice([2.0, 4.0]),
        "voyageS": runtime_s,
        "tideS": runtime_s * 3 + 40,
    }
    if rng.random() < 0.3:
        fields |= {"mooringS": 4.0, "stowS": 2.0}
    return fields


def _training_gang(rng: random.Random, plan: Plan) -> dict[str, Any]:
    return {
        "rig": "gang",
        "legs": rng.randint(1, 2),
        "cores": 6.0,
        "accelerators": 2.0,
        "memoryGb": 16.0,
        "urgency": "high",
        "samePlace": rng.random() < 0.7,
        "voyageS": rng.uniform(15, 40),
        "mooringS": 5.0,
        "stowS": 2.0,
    }


def _best_effort(rng: random.Random, plan: Plan) -> dict[str, Any]:
    fields = {"legs": rng.randint(4, 30), "urgency": "idle", "voyageS": rng.uniform(3, 12)}
    if plan.old_nodes:  # so that the old version writes records that exceed the next limits
        fields |= {"legs": rng.randint(60, 140), "cores": 0.25, "voyageS": rng.uniform(20, 60)}
    return fields


def _zone_bound(rng: random.Random, plan: Plan) -> dict[str, Any]:
    return {
        "legs": rng.randint(1, 4),
        "cores": 2.0,
        "voyageS": rng.uniform(5, 20),
        "harbor": rng.choice(ZONES),
        "driftwood": rng.random() < 0.5,
        "berthKinds": ["m8"],
    }


FIELDS_OF_CLASS: dict[str, Callable[[random.Random, Plan], dict[str, Any]]] = {
    "serve": _service,
    "batch": _batch,
    "train": _training_gang,
    "guest": _best_effort,
    "local": _zone_bound,
}
