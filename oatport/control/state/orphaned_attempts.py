"""Orphaned attempts: task attempts that a machine reports but that no record binds to it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oatport import wire
from oatport.control.state.identifiers import split_task
from oatport.control.state.machine import Machine

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState

log = logging.getLogger(__name__)


def _job_id_of(name: str) -> str:
    """Returns the job id in a reported task name; a name of another form is returned whole."""
    parts = split_task(name)
    return parts[0] if parts else name


class OrphanedAttempts:
    """Counts orphaned attempts like any task on a machine until a heartbeat or a release proves them gone."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster

    def add(self, machine: Machine, key: tuple[str, int]) -> None:
        """Adds an orphaned attempt of a machine.

        The attempt counts for its team and its job's zones like any task until a heartbeat or a release proves it
        gone.
        """
        log.info("orphaned attempt task=%s attempt=%d machine=%s", *key, machine.name)
        self.cluster.command_audit.on_orphaned(machine, key)
        job_id = _job_id_of(key[0])
        job = self.cluster.jobs.get(job_id)
        machine.orphaned_attempts[key] = (job, job.spec if job is not None else None)
        if job is not None:
            job.orphaned_attempt_count += 1
            self.cluster.tasks.count_usage(job, job.spec, machine, 1)
        else:
            self.cluster.quotas.attempts_of_unknown_jobs[job_id] += 1
        self.cluster.machines_to_command.add(machine)

    def remove(self, machine: Machine, key: tuple[str, int]) -> None:
        """Removes an attempt that a newer heartbeat, or the release of its machine, proves gone."""
        job, spec = machine.orphaned_attempts.pop(key)
        job_id = _job_id_of(key[0])
        if spec is not None:
            self.cluster.tasks.count_usage(job, spec, machine, -1)
        elif job_id in self.cluster.quotas.attempts_of_unknown_jobs:  # otherwise the job was never submitted
            self.cluster.quotas.on_unknown_job_attempt_gone(job_id)
        self.cluster.planning_needed = True
        if job is not None and self.cluster.jobs.get(job_id) is job:  # otherwise its completion is recorded
            job.orphaned_attempt_count = max(0, job.orphaned_attempt_count - 1)
            self.cluster.job_lifecycle.delete_if_gone(job)

    def resolve(self, job_id: str, spec: wire.Submission | None) -> None:
        """Handles the lookup of a job with orphaned attempts; `spec` is None if the job was never submitted."""
        job = self.cluster.jobs.get(job_id)
        for machine in self.cluster.machines.values():
            for key, (_, known_spec) in list(machine.orphaned_attempts.items()):
                if known_spec is not None or _job_id_of(key[0]) != job_id:
                    continue
                machine.orphaned_attempts[key] = (job, spec)
                if spec is not None:
                    self.cluster.tasks.count_usage(job, spec, machine, 1)
                if job is not None:
                    job.orphaned_attempt_count += 1
        self.cluster.quotas.attempts_of_unknown_jobs.pop(job_id, None)
        self.cluster.planning_needed = True
