"""Statistics of the jobs of a run: shares served by class and team, starvation, large jobs and pipelines."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Any

from oatport.simulation.submitted_job import SubmittedJob
from oatport.simulation.team_usage import TeamUsage
from oatport.simulation.worker import Worker
from oatport.times import SECOND

START_ALLOWANCE_S = 30.0  # a job accepted less than this before the end may still wait for a machine to boot
CLASS_FIELD, TEAM_FIELD = "cargo", "crew"  # fields of a submission on the wire


class ServiceStatistics:
    """Computes statistics over all jobs of a run. `end` is the loop time at which the run ended."""

    def __init__(self, jobs: Mapping[str, SubmittedJob], usage: TeamUsage, end: float) -> None:
        self._jobs, self._usage, self._end = jobs, usage, end

    def _group(self, body_field: str, is_eligible: Callable[[SubmittedJob], bool]) -> dict[str, list[SubmittedJob]]:
        groups: defaultdict[str, list[SubmittedJob]] = defaultdict(list)
        for job in self._jobs.values():
            if is_eligible(job):
                groups[str(job.body[body_field])].append(job)
        return groups

    def _should_have_started(self, job: SubmittedJob) -> bool:
        """Returns whether a job should have started.

        Such a job was accepted at least `START_ALLOWANCE_S` before the end, does not always fail, and is not blocked.
        """
        return (
            job.accepted_at is not None
            and job.accepted_at < self._end - START_ALLOWANCE_S
            and not job.always_fails
            and not job.is_blocked
        )

    # --- shares --------------------------------------------------------------------------------

    def served_by_class(self) -> dict[str, dict[str, float]]:
        """Returns the shares of submitted jobs that were accepted, started and completed, by class."""
        return self._served_shares(CLASS_FIELD)

    def served_by_team(self) -> dict[str, dict[str, float]]:
        """Returns the shares of submitted jobs that were accepted, started and completed, by team."""
        return self._served_shares(TEAM_FIELD)

    def _served_shares(self, body_field: str) -> dict[str, dict[str, float]]:
        """Returns the shares accepted, started and completed, grouped by a field of the submission.

        Jobs that their users cancelled or that always fail count only as submitted and accepted.
        """
        shares = {}
        for name, jobs in sorted(self._group(body_field, lambda job: job.submit_at < self._end).items()):
            unblocked = [job for job in jobs if not job.is_blocked]
            counted = [job for job in unblocked if job.cancelled_at is None and not job.always_fails] or unblocked
            if counted:
                shares[name] = {
                    "accepted": sum(job.accepted_at is not None for job in jobs) / len(jobs),
                    "started": sum(job.started_at is not None for job in counted) / len(counted),
                    "completed": self._completed_sum(counted) / len(counted),
                }
        return shares

    def _completed_sum(self, jobs: list[SubmittedJob]) -> float:
        completed = 0.0
        for job in jobs:
            completed += self._completed_share(job)
        return completed

    def _completed_share(self, job: SubmittedJob) -> float:
        """Returns the share of a job's tasks that completed; for a service, its replicas' uptime since submission."""
        tasks = int(job.body["legs"])
        wanted_us = (self._end - job.submit_at) * SECOND * tasks
        if job.body["rig"] == "standing" and wanted_us > 0:
            return min(1.0, job.replica_uptime_us / wanted_us)
        return job.completed_tasks / tasks

    # --- starvation ----------------------------------------------------------------------------

    def starved_groups(self, workers: list[Worker]) -> list[str]:
        """Returns a line for each starved class and team.

        A group is starved if less than half of its jobs started although one of its waiting jobs fits on a machine.
        """

        def is_eligible(job: SubmittedJob) -> bool:
            return self._should_have_started(job) and (job.cancel_at is None or job.cancel_at > self._end)

        starved = []
        for body_field in (CLASS_FIELD, TEAM_FIELD):
            for name, jobs in sorted(self._group(body_field, is_eligible).items()):
                waiting = [job for job in jobs if job.started_at is None]
                if len(waiting) * 2 > len(jobs) and any(self._fits(j.body, w) for j in waiting for w in workers):
                    starved.append(f"{name}: {len(waiting)} of {len(jobs)} jobs wait despite free capacity")
        return starved

    def _fits(self, body: dict[str, Any], worker: Worker) -> bool:
        if not self._usage.has_cpus_left(str(body["crew"]), float(body["cores"])):
            return False
        if worker.spot and not body["driftwood"]:
            return False
        if body["berthKinds"] is not None and worker.type not in body["berthKinds"]:
            return False
        return body["harbor"] in (None, worker.zone) and worker.fits(body)

    # --- large jobs and pipelines --------------------------------------------------------------

    def largest_job_figures(self) -> tuple[float, float]:
        """Returns the lowest share of large jobs that started in any class, and the longest wait of a large job (s).

        Large jobs are a class's largest tenth by tasks times CPUs, among the jobs that should have started and that
        neither their users nor a cancelled dependency cancel.
        """

        def is_eligible(job: SubmittedJob) -> bool:
            return self._should_have_started(job) and job.cancel_at is None and not job.may_inherit_cancellation

        min_share, max_wait_s = 1.0, 0.0
        for jobs in self._group(CLASS_FIELD, is_eligible).values():
            jobs.sort(key=lambda job: -float(job.body["cores"]) * int(job.body["legs"]))
            largest = jobs[: max(1, len(jobs) // 10)]
            min_share = min(min_share, sum(job.started_at is not None for job in largest) / len(largest))
            waits_s = [(job.started_at or self._end) - job.startable_at for job in largest]
            max_wait_s = max([max_wait_s, *waits_s])
        return min_share, max_wait_s

    def pipeline_figures(self) -> dict[str, int]:
        """Returns the number of due pipelines with an accepted, uncancelled last job, and of those in time."""
        last_jobs = [
            job
            for job in self._jobs.values()
            if job.is_last_in_pipeline
            and job.accepted_at is not None
            and job.cancelled_at is None
            and job.deadline_at < self._end
        ]
        in_time = sum(job.completed_at is not None and job.completed_at <= job.deadline_at for job in last_jobs)
        return {"pipelines": len(last_jobs), "in_time": in_time}
