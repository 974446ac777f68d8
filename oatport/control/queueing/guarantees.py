"""Determines which jobs are within their team's guarantee."""

from __future__ import annotations

from oatport.control.state.cluster_state import ClusterState

EPSILON = 1e-9


def mark_within_guarantee(cluster: ClusterState) -> None:
    """Marks the jobs that fit into their team's guarantee together with all earlier jobs of the team.

    A job is marked only if it fits as a whole. If any use below the guarantee counted, a team with a job larger than
    the guarantee would stop other teams' work for a job that need not be served at once (PROTOCOL, "How aims are
    counted"), and twelve teams would do so in turn.
    """
    requested: dict[str, tuple[float, float]] = {}  # team -> CPUs and GPUs of its earlier jobs
    teams = {name: usage for name, usage in cluster.quotas.items() if usage.limits.cpus > 0}
    if not teams:
        return  # without guarantees no job was ever marked
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
