"""A faulty job or a faulty machine: what the evidence on both sides says.

A job that fails on several machines and is done on none says nothing against the machines: its users submitted
it with a mistake, and it fails wherever it runs until they cancel it. A machine on which jobs fail that are done
elsewhere is at fault. Two faulty jobs once drained every healthy machine that they met.
"""

from __future__ import annotations

import logging

from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.times import SECOND

log = logging.getLogger(__name__)

SUSPECT_AFTER = 2  # machines that a job failed on
SET_ASIDE_AFTER = 2  # jobs that failed on a machine
ASIDE = 20 * SECOND  # how long one is kept from new work on evidence that may still turn out to be the jobs'
PAUSE_MOST = 60
SETTLED = 20 * SECOND  # a replica that has run for this long works


def works(job: Job, now: int) -> bool:
    """A task of it was done, or a replica of it stays up."""
    if job.kind is not JobKind.SERVICE:
        return bool(job.completed)
    return any(task.running_since and now - task.running_since > SETTLED for task in job.tasks.values())


def job_failed(job: Job, machine: Machine, machines: dict[str, Machine], attempt: int, now: int) -> bool:
    """A task ended with an error; True if the job has become a suspect by it."""
    if not job.suspected_faulty or now >= job.retry_at:  # what was under way when it was judged makes it no worse
        job.errors += 1
    if attempt > 1 and machine.name in job.error_machines:
        job.retry_at = now + _pause(attempt)  # there is no other machine for it
    job.error_machines.add(machine.name)
    became = False
    working = works(job, now)
    if not job.suspected_faulty and not working and len(job.error_machines) >= SUSPECT_AFTER:
        log.info("job %s fails wherever it runs: a task at a time from now on", job.job_id)
        job.suspected_faulty = became = True
        for task in job.tasks.values():
            if task.machine is not None:
                task.machine.settled_heartbeat = (
                    None  # whether a replica of it settles is seen in reports that tell nothing new
                )
        job.errors = 1
        for name in job.error_machines:
            acquit(machines.get(name), job)
    if job.suspected_faulty:
        job.retry_at = max(job.retry_at, now + _pause(job.errors))
        return became
    machine.failed_jobs.add(job.job_id)
    if working:
        machine.confirmed_failed_jobs.add(job.job_id)  # it runs elsewhere
    judge(machine, now)
    return became


def _pause(failures: int) -> int:
    return min(PAUSE_MOST, 1 << min(failures, 6)) * SECOND


def judge(machine: Machine, now: int) -> None:
    if len(machine.confirmed_failed_jobs) >= SET_ASIDE_AFTER:
        if not machine.draining:
            log.info("machine %s set aside: jobs failed on it that run elsewhere", machine.name)
        machine.draining = True
    elif len(machine.failed_jobs) >= SET_ASIDE_AFTER:
        machine.cordoned_until = max(machine.cordoned_until, now + ASIDE)


def acquit(machine: Machine | None, job: Job) -> None:
    """The job's failure says nothing against the machine."""
    if machine is None:
        return
    machine.failed_jobs.discard(job.job_id)
    machine.confirmed_failed_jobs.discard(job.job_id)
    if len(machine.failed_jobs) < SET_ASIDE_AFTER:
        machine.cordoned_until = 0


def task_done(job: Job, machine: Machine, machines: dict[str, Machine], now: int) -> None:
    """A task was done: the job can succeed and the machine works."""
    machine.failed_jobs.clear()
    machine.confirmed_failed_jobs.clear()
    for name in job.error_machines - {machine.name}:
        other = machines.get(name)
        if other is not None and (job.suspected_faulty or job.job_id in other.failed_jobs):
            other.failed_jobs.add(job.job_id)
            other.confirmed_failed_jobs.add(job.job_id)
            judge(other, now)
    job.errors = 0
    if job.suspected_faulty:
        job.suspected_faulty = False
        job.retry_at = 0
