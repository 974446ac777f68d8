"""How well a run served its jobs: by class and team, starvation beside free capacity, largest jobs, pipelines."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Any

from oatport.simulation.submitted_job import SubmittedJob
from oatport.simulation.team_usage import TeamUsage
from oatport.simulation.worker import Worker
from oatport.times import SECOND

STARTED_WITHIN_S = 30.0  # a job accepted later than so long before the end may just be waiting for a boot
CLASS_FIELD, TEAM_FIELD = "cargo", "crew"  # of a submission on the wire


class ServiceStatistics:
    """Figures over all jobs of a run, at its end (a time of the loop)."""

    def __init__(self, jobs: Mapping[str, SubmittedJob], usage: TeamUsage, end: float) -> None:
        self._jobs, self._usage, self._end = jobs, usage, end

    def _group(self, by: str, chosen: Callable[[SubmittedJob], bool]) -> dict[str, list[SubmittedJob]]:
        groups: defaultdict[str, list[SubmittedJob]] = defaultdict(list)
        for job in self._jobs.values():
            if chosen(job):
                groups[str(job.body[by])].append(job)
        return groups

    def _should_have_started(self, job: SubmittedJob) -> bool:
        """It was accepted a while before the end, does not fail by itself, and waits for no other job."""
        return (
            job.accepted_at is not None
            and job.accepted_at < self._end - STARTED_WITHIN_S
            and not job.always_fails
            and not job.is_blocked
        )

    # --- shares --------------------------------------------------------------------------------

    def served_by_class(self) -> dict[str, dict[str, float]]:
        """Shares accepted, started and completed of what was submitted, by class."""
        return self._served_shares(CLASS_FIELD)

    def served_by_team(self) -> dict[str, dict[str, float]]:
        """Shares accepted, started and completed of what was submitted, by team."""
        return self._served_shares(TEAM_FIELD)

    def _served_shares(self, by: str) -> dict[str, dict[str, float]]:
        """Jobs that their users cancelled, or that always fail, count only as submitted and accepted."""
        found = {}
        for name, jobs in sorted(self._group(by, lambda job: job.submit_at < self._end).items()):
            unblocked = [job for job in jobs if not job.is_blocked]
            counted = [job for job in unblocked if job.cancelled_at is None and not job.always_fails] or unblocked
            if counted:
                found[name] = {
                    "accepted": sum(job.accepted_at is not None for job in jobs) / len(jobs),
                    "started": sum(job.started_at is not None for job in counted) / len(counted),
                    "completed": self._completed_sum(counted) / len(counted),
                }
        return found

    def _completed_sum(self, jobs: list[SubmittedJob]) -> float:
        completed = 0.0
        for job in jobs:
            completed += self._completed_share(job)
        return completed

    def _completed_share(self, job: SubmittedJob) -> float:
        """Of a service: the share of its replicas' time, from its submission on, that they were up."""
        tasks = int(job.body["legs"])
        wanted_us = (self._end - job.submit_at) * SECOND * tasks
        if job.body["rig"] == "standing" and wanted_us > 0:
            return min(1.0, job.replica_uptime_us / wanted_us)
        return job.completed_tasks / tasks

    # --- starvation ----------------------------------------------------------------------------

    def starved_groups(self, workers: list[Worker]) -> list[str]:
        """Classes and teams less than half of whose jobs ever started, though one that waits fits somewhere now."""

        def chosen(job: SubmittedJob) -> bool:
            return self._should_have_started(job) and (job.cancel_at is None or job.cancel_at > self._end)

        found = []
        for by in (CLASS_FIELD, TEAM_FIELD):
            for name, jobs in sorted(self._group(by, chosen).items()):
                waiting = [job for job in jobs if job.started_at is None]
                if len(waiting) * 2 > len(jobs) and any(self._fits(j.body, w) for j in waiting for w in workers):
                    found.append(f"{name}: {len(waiting)} of {len(jobs)} jobs wait beside free room")
        return found

    def _fits(self, body: dict[str, Any], worker: Worker) -> bool:
        if not self._usage.has_cpus_left(str(body["crew"]), float(body["cores"])):
            return False
        if worker.spot and not body["driftwood"]:
            return False
        if body["berthKinds"] is not None and worker.type not in body["berthKinds"]:
            return False
        return body["harbor"] in (None, worker.zone) and worker.fits(body)

    # --- the largest jobs, and pipelines -------------------------------------------------------

    def largest_job_figures(self) -> tuple[float, float]:
        """Of each class's largest tenth (by tasks times CPUs): the least share that began, and the longest wait (s).

        Of jobs that could begin: not cancelled, without a mistake, waiting for no other, accepted a while before the
        end.
        """

        def chosen(job: SubmittedJob) -> bool:
            return self._should_have_started(job) and job.cancel_at is None and not job.may_be_cancelled_with_others

        least_share, longest_s = 1.0, 0.0
        for jobs in self._group(CLASS_FIELD, chosen).values():
            jobs.sort(key=lambda job: -float(job.body["cores"]) * int(job.body["legs"]))
            largest = jobs[: max(1, len(jobs) // 10)]
            least_share = min(least_share, sum(job.started_at is not None for job in largest) / len(largest))
            waits_s = [(job.started_at or self._end) - job.startable_at for job in largest]
            longest_s = max([longest_s, *waits_s])
        return least_share, longest_s

    def pipeline_figures(self) -> dict[str, int]:
        """Pipelines whose last job was submitted and not cancelled, and those of them that were complete in time."""
        last_jobs = [
            job
            for job in self._jobs.values()
            if job.ends_pipeline
            and job.accepted_at is not None
            and job.cancelled_at is None
            and job.deadline_at < self._end
        ]
        in_time = sum(job.completed_at is not None and job.completed_at <= job.deadline_at for job in last_jobs)
        return {"pipelines": len(last_jobs), "in_time": in_time}
