"""Determines which of its deadlines each pending job can still meet."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from oatport.control.queueing.capacity_pools import CapacityPool, PoolsByType, joint_pool
from oatport.control.queueing.pending_queue import DEFAULT_DEADLINE
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job


@dataclass(slots=True)
class DeadlineCandidate:
    """Holds a job and the deadlines (times of day, in order) that it may still meet."""

    job: Job
    deadlines: list[int]


def deadlines_of(cluster: ClusterState, job: Job) -> list[int]:
    """Returns the times of day by which the job should complete, in order.

    These are its deadline, multiples of the deadline, the completion objectives of its class, and the deadlines
    inherited from jobs that depend on it.
    """
    if job.deadlines is None:
        times = cluster.objectives.deadlines_of(job)
        objectives = cluster.objectives.completion_within.get(job.spec.job_class, ())
        times += [job.eligible_at + within for within in objectives]
        job.deadlines = sorted(times + job.inherited_deadlines)
    return job.deadlines


def set_attainable_deadline(
    cluster: ClusterState, job: Job, deadlines: list[int], predicted_runtime: int, wall: int
) -> None:
    """Sets the first deadline that the job could meet if it ran now.

    Deadlines that can no longer be met are skipped, since they do not justify a more expensive machine. A job without a
    deadline whose class has a start objective is expected to end one predicted run time after that objective.
    """
    start = cluster.objectives.start_within.get(job.spec.job_class)
    within = DEFAULT_DEADLINE if start is None else min(start + predicted_runtime, DEFAULT_DEADLINE)
    job.deadline_at = deadlines[0] if deadlines else job.eligible_at + within
    job.deadline_missed = job.suspected_faulty
    if deadlines and not job.suspected_faulty:
        earliest_end = wall + predicted_runtime
        if deadlines[0] >= earliest_end:
            job.attainable_deadline = deadlines[0]
        else:
            later = (deadline for deadline in deadlines if deadline >= earliest_end)
            job.attainable_deadline = next(later, wall + DEFAULT_DEADLINE)


def mark_missed_deadlines(cluster: ClusterState, pools: PoolsByType, wall: int) -> None:
    """Decides which pending jobs meet which of their deadlines, so that as many as possible do (Moore-Hodgson rule).

    Jobs are scheduled by deadline. When one would end too late, the largest job scheduled so far is dropped, since a
    job that ends late anyway would delay others beyond their deadlines if it ran before them. A dropped job is
    then scheduled for its next deadline, if it has several. (J. M. Moore, "An n job, one machine sequencing algorithm
    for minimizing the number of late jobs", Management Science 15, 1968.)
    """
    groups: dict[tuple[int, tuple[str, ...]], list[DeadlineCandidate]] = {}
    starving_after = cluster.tuning.duration_us("begin_within_s") // 2
    for job in cluster.pending:
        deadlines = deadlines_of(cluster, job)
        # The rule alone would delay the largest jobs for as long as a burst lasts. After half of `begin_within_s` they
        # count as starving and are placed first.
        may_starve = not (job.started or job.placed_task_count or job.suspected_faulty)
        job.starving = may_starve and wall - job.eligible_at > starving_after
        job.predicted_runtime = cluster.predictor.run_time(job.job_id, job.spec)
        set_attainable_deadline(cluster, job, deadlines, job.predicted_runtime, wall)
        if deadlines and not job.suspected_faulty:
            group = (job.priority_rank, cluster.catalog.preferred_type_names(job))
            groups.setdefault(group, []).append(DeadlineCandidate(job, deadlines))
    for (_, type_names), candidates in groups.items():
        pool = joint_pool(pools, type_names)
        if pool.cpus > 0:
            _mark_missed(pool, candidates, wall)


def _mark_missed(pool: CapacityPool, candidates: list[DeadlineCandidate], wall: int) -> None:
    """Moves every job that misses a deadline on to its next one, until it meets one or has none left."""
    while candidates:
        missed = _schedule_by_deadline(pool, candidates, wall)
        for candidate in missed:
            candidate.deadlines = candidate.deadlines[1:]
            candidate.job.deadline_missed = not candidate.deadlines
        candidates = [candidate for candidate in missed if candidate.deadlines]


def _schedule_by_deadline(
    pool: CapacityPool, candidates: list[DeadlineCandidate], wall: int
) -> list[DeadlineCandidate]:
    """Adds jobs to the pool's work in order of their first deadlines; returns the jobs that cannot meet theirs."""
    missed: list[DeadlineCandidate] = []
    # A heap with negated work, so that the largest job comes first.
    scheduled: list[tuple[float, str, DeadlineCandidate]] = []
    for candidate in sorted(candidates, key=lambda c: (c.deadlines[0], c.job.job_id)):
        job = candidate.job
        job.deadline_at, runtime = candidate.deadlines[0], job.predicted_runtime
        if wall + runtime > job.deadline_at:
            missed.append(candidate)
            continue
        work = runtime * job.spec.cpus * job.pending
        pool.work += work
        heapq.heappush(scheduled, (-work, job.job_id, candidate))
        if wall + pool.work / pool.cpus + runtime > job.deadline_at:
            minus_work, _, largest = heapq.heappop(scheduled)
            pool.work += minus_work
            missed.append(largest)
    return missed
