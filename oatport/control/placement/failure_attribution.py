"""A faulty job or a faulty machine: what the evidence on both sides says.

A job that fails on several machines and succeeds on none says nothing against the machines: its users submitted it
with a mistake, and it fails wherever it runs until they cancel it. A machine on which jobs fail that succeed elsewhere
is at fault. Two faulty jobs once drained every healthy machine that they met.
"""

from __future__ import annotations

import logging

from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.times import SECOND

log = logging.getLogger(__name__)

SUSPECT_AFTER_MACHINES = 2  # that a job failed on
DRAIN_AFTER_JOBS = 2  # that failed on a machine
CORDON_TIME = 20 * SECOND  # how long a machine gets no new work on evidence that may still turn out to be the jobs'
RETRY_BACKOFF_MAX_S = 60
RETRY_BACKOFF_EXPONENT_MAX = 6
SETTLED_AFTER = 20 * SECOND  # a replica that has run for this long works


def has_succeeded(job: Job, now: int) -> bool:
    """A task of it has completed, or a replica of it stays up."""
    if job.kind is not JobKind.SERVICE:
        return bool(job.completed)
    return any(task.running_since and now - task.running_since > SETTLED_AFTER for task in job.tasks.values())


def record_failure(job: Job, machine: Machine, machines: dict[str, Machine], attempt: int, now: int) -> bool:
    """A task ended with an error on a machine; True if the job is suspected to be faulty from now on."""
    if not job.suspected_faulty or now >= job.retry_at:  # what was under way when it was judged makes it no worse
        job.errors += 1
    if attempt > 1 and machine.name in job.error_machines:
        job.retry_at = now + _retry_backoff(attempt)  # there is no other machine for it
    job.error_machines.add(machine.name)
    succeeded = has_succeeded(job, now)
    newly_suspected = not job.suspected_faulty and not succeeded and len(job.error_machines) >= SUSPECT_AFTER_MACHINES
    if newly_suspected:
        _suspect(job, machines)
    if job.suspected_faulty:
        job.retry_at = max(job.retry_at, now + _retry_backoff(job.errors))
        return newly_suspected
    machine.failed_jobs.add(job.job_id)
    if succeeded:
        machine.confirmed_failed_jobs.add(job.job_id)  # it runs elsewhere
    _take_out_of_use(machine, now)
    return False


def _suspect(job: Job, machines: dict[str, Machine]) -> None:
    """The job is at fault: its failures say nothing against the machines."""
    log.info("job suspected faulty job_id=%s failed_on_machines=%d", job.job_id, len(job.error_machines))
    job.suspected_faulty = True
    for task in job.tasks.values():
        if task.machine is not None:
            # Whether a replica of it settles is seen in heartbeats that tell nothing new.
            task.machine.settled_heartbeat = None
    job.errors = 1
    for name in job.error_machines:
        machine = machines.get(name)
        if machine is not None:
            _clear_failure(machine, job)


def _retry_backoff(failures: int) -> int:
    return min(RETRY_BACKOFF_MAX_S, 1 << min(failures, RETRY_BACKOFF_EXPONENT_MAX)) * SECOND


def _take_out_of_use(machine: Machine, now: int) -> None:
    """Drain a machine that is at fault; cordon one that may be."""
    if len(machine.confirmed_failed_jobs) >= DRAIN_AFTER_JOBS:
        if not machine.draining:
            log.info(
                "draining faulty machine machine=%s failed_jobs=%d", machine.name, len(machine.confirmed_failed_jobs)
            )
        machine.draining = True
    elif len(machine.failed_jobs) >= DRAIN_AFTER_JOBS:
        machine.cordoned_until = max(machine.cordoned_until, now + CORDON_TIME)


def _clear_failure(machine: Machine, job: Job) -> None:
    """The job's failure says nothing against the machine."""
    machine.failed_jobs.discard(job.job_id)
    machine.confirmed_failed_jobs.discard(job.job_id)
    if len(machine.failed_jobs) < DRAIN_AFTER_JOBS:
        machine.cordoned_until = 0


def record_success(job: Job, machine: Machine, machines: dict[str, Machine], now: int) -> None:
    """A task has completed, or a replica stays up: the job can succeed and the machine works."""
    machine.failed_jobs.clear()
    machine.confirmed_failed_jobs.clear()
    for name in job.error_machines - {machine.name}:
        other = machines.get(name)
        if other is not None and (job.suspected_faulty or job.job_id in other.failed_jobs):
            other.failed_jobs.add(job.job_id)
            other.confirmed_failed_jobs.add(job.job_id)
            _take_out_of_use(other, now)
    job.errors = 0
    if job.suspected_faulty:
        job.suspected_faulty = False
        job.retry_at = 0
