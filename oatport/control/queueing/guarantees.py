"""Which jobs are within their team's guarantee."""

from __future__ import annotations

from oatport.control.state.cluster_state import ClusterState

EPSILON = 1e-9


def mark_within_guarantee(cluster: ClusterState) -> None:
    """A job is within its team's guarantee if it fits into it together with all the team's earlier ones.

    Judged job by job: a team that merely uses less than its guarantee at the moment, with a job that is larger, would
    stop other teams' work for one that need not be served at once (PROTOCOL, "How aims are counted"), and twelve teams
    would do so in turns.
    """
    requested: dict[str, tuple[float, float]] = {}  # team -> CPUs and GPUs of its earlier jobs
    teams = {name: usage for name, usage in cluster.quotas.items() if usage.limits.cpus > 0}
    if not teams:
        return  # and none ever was
    jobs = [job for job in cluster.jobs.values() if job.spec.team in teams]
    for job in sorted(jobs, key=lambda j: (j.eligible_at, j.job_id)):
        limits = teams[job.spec.team].limits
        if job.cancelled or job.completing:
            job.within_guarantee = False
            continue
        spec, tasks = job.spec, job.spec.task_count - len(job.completed)
        cpus, gpus = requested.get(spec.team, (0.0, 0.0))
        cpus, gpus = cpus + spec.cpus * tasks, gpus + spec.gpus * tasks
        requested[spec.team] = (cpus, gpus)
        gpus_within = spec.gpus <= 0 or gpus <= limits.gpus + EPSILON
        job.within_guarantee = cpus <= limits.cpus + EPSILON and gpus_within
