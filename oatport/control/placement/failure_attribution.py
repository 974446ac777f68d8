"""Attributes failures of tasks to a faulty job or to a faulty machine.

A job that fails on several machines and succeeds on none is no evidence against the machines: the job itself is
faulty, and it fails wherever it runs until its users cancel it. A machine is at fault if jobs fail on it that succeed
elsewhere. Before failures were attributed, two faulty jobs drained every healthy machine on which they ran.
"""

from __future__ import annotations

import logging

from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.times import SECOND

log = logging.getLogger(__name__)

SUSPECT_AFTER_MACHINES = 2  # a job is suspected once it has failed on this many machines
DRAIN_AFTER_JOBS = 2  # a machine is drained once this many jobs have failed on it that succeeded elsewhere
CORDON_TIME = 20 * SECOND  # without new tasks on a machine while its failures may still prove to be the jobs' fault
RETRY_BACKOFF_MAX_S = 60
RETRY_BACKOFF_EXPONENT_MAX = 6
REPLICA_SETTLED_AFTER = 20 * SECOND  # a replica that has run for this long counts as a success


def has_succeeded(job: Job, now: int) -> bool:
    """Returns whether a task of the job has completed or, for a service, a replica stays up."""
    if job.kind is not JobKind.SERVICE:
        return bool(job.completed)
    return any(task.running_since and now - task.running_since > REPLICA_SETTLED_AFTER for task in job.tasks.values())


def record_failure(job: Job, machine: Machine, machines: dict[str, Machine], attempt: int, now: int) -> bool:
    """Records that a task ended with an error on a machine; returns whether the job has become suspected by it."""
    # Tasks that were already running when the job became suspected do not lengthen its backoff.
    if not job.suspected_faulty or now >= job.retry_at:
        job.errors += 1
    if attempt > 1 and machine.name in job.error_machines:
        job.retry_at = now + _retry_backoff(attempt)  # the retry ran on the same machine: no other one is available
    job.error_machines.add(machine.name)
    succeeded = has_succeeded(job, now)
    is_newly_suspected = (
        not job.suspected_faulty and not succeeded and len(job.error_machines) >= SUSPECT_AFTER_MACHINES
    )
    if is_newly_suspected:
        _suspect(job, machines)
    if job.suspected_faulty:
        job.retry_at = max(job.retry_at, now + _retry_backoff(job.errors))
        return is_newly_suspected
    machine.failed_jobs.add(job.job_id)
    if succeeded:
        machine.confirmed_failed_jobs.add(job.job_id)  # the job succeeds elsewhere
    _drain_or_cordon(machine, now)
    return False


def _suspect(job: Job, machines: dict[str, Machine]) -> None:
    """Marks a job as suspected and withdraws its failures as evidence against the machines."""
    log.info("job suspected faulty job_id=%s failed_on_machines=%d", job.job_id, len(job.error_machines))
    job.suspected_faulty = True
    for task in job.tasks.values():
        if task.machine is not None:
            # Unchanged heartbeats must be processed as well: only they show that a replica of the job has settled.
            task.machine.settled_heartbeat = None
    job.errors = 1
    for name in job.error_machines:
        machine = machines.get(name)
        if machine is not None:
            _clear_failure(machine, job)


def _retry_backoff(failures: int) -> int:
    return min(RETRY_BACKOFF_MAX_S, 1 << min(failures, RETRY_BACKOFF_EXPONENT_MAX)) * SECOND


def _drain_or_cordon(machine: Machine, now: int) -> None:
    """Drains a machine that is at fault, and cordons one that may be."""
    if len(machine.confirmed_failed_jobs) >= DRAIN_AFTER_JOBS:
        if not machine.draining:
            log.info(
                "draining faulty machine machine=%s failed_jobs=%d", machine.name, len(machine.confirmed_failed_jobs)
            )
        machine.draining = True
    elif len(machine.failed_jobs) >= DRAIN_AFTER_JOBS:
        machine.cordoned_until = max(machine.cordoned_until, now + CORDON_TIME)


def _clear_failure(machine: Machine, job: Job) -> None:
    """Withdraws the job's failure as evidence against the machine."""
    machine.failed_jobs.discard(job.job_id)
    machine.confirmed_failed_jobs.discard(job.job_id)
    if len(machine.failed_jobs) < DRAIN_AFTER_JOBS:
        machine.cordoned_until = 0


def record_success(job: Job, machine: Machine, machines: dict[str, Machine], now: int) -> None:
    """Records that a task has completed, or that a replica stays up: the job can succeed and the machine works.

    The job's failures on other machines then count as evidence against those machines.
    """
    machine.failed_jobs.clear()
    machine.confirmed_failed_jobs.clear()
    for name in job.error_machines - {machine.name}:
        other = machines.get(name)
        if other is not None and (job.suspected_faulty or job.job_id in other.failed_jobs):
            other.failed_jobs.add(job.job_id)
            other.confirmed_failed_jobs.add(job.job_id)
            _drain_or_cordon(other, now)
    job.errors = 0
    if job.suspected_faulty:
        job.suspected_faulty = False
        job.retry_at = 0
