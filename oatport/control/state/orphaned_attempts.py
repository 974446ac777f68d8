"""Orphaned attempts: those that a machine reports and that no record puts there."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oatport import wire
from oatport.control.state.identifiers import split_task
from oatport.control.state.machine import Machine

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState

log = logging.getLogger(__name__)


def _job_of(name: str) -> str:
    """The job that a machine names a task of; a name of another form stands for itself."""
    parts = split_task(name)
    return parts[0] if parts else name


class OrphanedAttempts:
    """Counts them as any task on a machine until a report or a release proves them gone."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster

    def add(self, machine: Machine, key: tuple[str, int]) -> None:
        """It counts for its team and its job's zones as any task does, until a report or a release proves it gone."""
        log.info("orphaned attempt task=%s attempt=%d machine=%s", *key, machine.name)
        job_id = _job_of(key[0])
        job = self.cluster.jobs.get(job_id)
        machine.orphaned_attempts[key] = (job, job.spec if job is not None else None)
        if job is not None:
            job.orphaned_attempt_count += 1
            self.cluster.tasks.count_usage(job, job.spec, machine, 1)
        else:
            self.cluster.quotas.attempts_of_unknown_jobs[job_id] += 1
        self.cluster.machines_to_command.add(machine)

    def remove(self, machine: Machine, key: tuple[str, int]) -> None:
        """A newer report, or the release of its machine, proves it gone."""
        job, spec = machine.orphaned_attempts.pop(key)
        job_id = _job_of(key[0])
        if spec is not None:
            self.cluster.tasks.count_usage(job, spec, machine, -1)
        elif job_id in self.cluster.quotas.attempts_of_unknown_jobs:  # else nobody submitted it
            self.cluster.quotas.on_unknown_attempt_gone(job_id)
        self.cluster.planning_needed = True
        if job is not None and self.cluster.jobs.get(job_id) is job:  # else its completion is recorded
            job.orphaned_attempt_count = max(0, job.orphaned_attempt_count - 1)
            self.cluster.job_lifecycle.delete_if_gone(job)

    def resolve(self, job_id: str, spec: wire.Submission | None) -> None:
        """A job of which attempts were seen is known now; `spec` None: nobody ever submitted it."""
        job = self.cluster.jobs.get(job_id)
        for machine in self.cluster.machines.values():
            for key, (_, known) in list(machine.orphaned_attempts.items()):
                if known is not None or _job_of(key[0]) != job_id:
                    continue
                machine.orphaned_attempts[key] = (job, spec)
                if spec is not None:
                    self.cluster.tasks.count_usage(job, spec, machine, 1)
                if job is not None:
                    job.orphaned_attempt_count += 1
        self.cluster.quotas.attempts_of_unknown_jobs.pop(job_id, None)
        self.cluster.planning_needed = True
