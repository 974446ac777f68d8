"""Which of its deadlines each pending job can still meet."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from oatport.control.queueing.capacity_pools import CapacityPool, PoolsByType, joint_pool
from oatport.control.queueing.pending_queue import DEFAULT_DEADLINE
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job


@dataclass(slots=True)
class DeadlineCandidate:
    """A job and the deadlines (time of day, in order) that it may still meet."""

    job: Job
    deadlines: list[int]


def deadlines_of(cluster: ClusterState, job: Job) -> list[int]:
    """Times of day by which its completion is looked for, in order.

    Its deadline, multiples of it, its class's completion objectives, and what jobs that depend on it leave for it.
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
    """Set the first deadline that a job could meet if it ran now; what is lost anyway is not worth a dearer machine.

    One without a deadline whose class should start by a certain time is wanted when it would end then.
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
    """Decide which pending jobs meet which of their deadlines: as many as possible, by Moore and Hodgson's rule.

    Jobs are taken by deadline; where one would end too late, the largest taken so far is given up. Ahead of the
    others, a job that ends late anyway would only make those late too. One given up has its next deadline to meet, if
    users look at several. (J. M. Moore, "An n job, one machine sequencing algorithm for minimizing the number of late
    jobs", Management Science 15, 1968.)
    """
    groups: dict[tuple[int, tuple[str, ...]], list[DeadlineCandidate]] = {}
    starving_after = cluster.tuning.duration_us("begin_within_s") // 2
    for job in cluster.pending:
        deadlines = deadlines_of(cluster, job)
        # The rule passes the largest over for as long as a burst lasts: at half of the bound that ends.
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
    """Give every job that misses a deadline its next one, until none is left."""
    while candidates:
        missed = _take_by_deadline(pool, candidates, wall)
        for candidate in missed:
            candidate.deadlines = candidate.deadlines[1:]
            candidate.job.deadline_missed = not candidate.deadlines
        candidates = [candidate for candidate in missed if candidate.deadlines]


def _take_by_deadline(pool: CapacityPool, candidates: list[DeadlineCandidate], wall: int) -> list[DeadlineCandidate]:
    """Take jobs into the pool's work by the first of their deadlines; those that can't meet it."""
    missed: list[DeadlineCandidate] = []
    taken: list[tuple[float, str, DeadlineCandidate]] = []  # minus the work, so that the largest comes first
    for candidate in sorted(candidates, key=lambda c: (c.deadlines[0], c.job.job_id)):
        job = candidate.job
        job.deadline_at, runtime = candidate.deadlines[0], job.predicted_runtime
        if wall + runtime > job.deadline_at:
            missed.append(candidate)
            continue
        work = runtime * job.spec.cpus * job.pending
        pool.work += work
        heapq.heappush(taken, (-work, job.job_id, candidate))
        if wall + pool.work / pool.cpus + runtime > job.deadline_at:
            minus_work, _, largest = heapq.heappop(taken)
            pool.work += minus_work
            missed.append(largest)
    return missed
