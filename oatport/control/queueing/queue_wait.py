"""How long a pending job waits: the predicted work ahead of it, spread over the machines that suit it."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

import msgspec

from oatport.control.queueing.capacity_pools import CapacityPool, PoolsByType, joint_pool
from oatport.control.queueing.pending_queue import OrderKey, order_key
from oatport.control.queueing.tier_router import SPOT
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK, Job, JobKind
from oatport.times import SECOND

WAIT_WITHOUT_MACHINES = 600 * SECOND


class QueueWait(msgspec.Struct, frozen=True):
    """The predicted time until a job's last task starts."""

    any_machine: int
    owned_machine: int | None  # on owned machines alone; None if there is none that it can use


@dataclass(slots=True)
class _TypeQueue:
    """The work before one set of machine types, and what is ahead of each pending job there, in order."""

    pool: CapacityPool
    keys: list[OrderKey] = field(default_factory=list)
    work_ahead: list[float] = field(default_factory=list)  # CPU-microseconds before the job at this place
    owned_work_ahead: list[float] = field(default_factory=list)  # the same of what is for owned machines

    def wait(self, job: Job, work: float, owned_work: float) -> QueueWait:
        """The wait of a job, given the work up to its last task."""
        pool = self.pool
        # A gang's tasks run all at once: owned machines too few for that are none.
        owned_cpus_min = job.spec.cpus * job.pending if job.kind is JobKind.GANG else 1.0
        if job.priority_rank == IDLE_RANK:
            work += pool.best_effort_work
        return QueueWait(
            round(work / pool.cpus) if pool.cpus > 0 else WAIT_WITHOUT_MACHINES,
            round(owned_work / pool.owned_cpus) if pool.owned_cpus >= owned_cpus_min else None,
        )


class QueueWaitEstimator:
    """The predicted work ahead of each job, its own included, and what is left of the running tasks."""

    def __init__(self, cluster: ClusterState, pools: PoolsByType) -> None:
        self._cluster = cluster
        self._pools = pools
        self._queues: dict[tuple[str, ...], _TypeQueue] = {}  # by the names of the types that suit a job
        # Deferred tasks that are released before long count: else their release meets full machines.
        for job, tasks in cluster.upcoming_starts:
            runtime = cluster.predictor.run_time(job.job_id, job.spec)
            self._queue_of(job).pool.work += runtime * job.spec.cpus * tasks

    def _queue_of(self, job: Job) -> _TypeQueue:
        type_names = self._cluster.catalog.preferred_type_names(job)
        queue = self._queues.get(type_names)
        if queue is None:
            queue = self._queues[type_names] = _TypeQueue(joint_pool(self._pools, type_names))
        return queue

    @staticmethod
    def _work_of(job: Job) -> float:
        return job.predicted_runtime * job.spec.cpus * (1 if job.suspected_faulty else job.pending)

    def append(self, job: Job) -> QueueWait:
        """Add the next job in order; returns its wait."""
        queue, work = self._queue_of(job), self._work_of(job)
        queue.keys.append(order_key(job))
        queue.work_ahead.append(queue.pool.work)
        queue.owned_work_ahead.append(queue.pool.owned_work)
        queue.pool.work += work
        if job.tier != SPOT:
            queue.pool.owned_work += work
        return queue.wait(job, queue.pool.work, queue.pool.owned_work)

    def wait_among(self, job: Job) -> QueueWait:
        """The wait of a job that came since, by its place among the others; it isn't added."""
        queue, work = self._queue_of(job), self._work_of(job)
        index = bisect_left(queue.keys, order_key(job))
        is_last = index == len(queue.keys)
        ahead = queue.pool.work if is_last else queue.work_ahead[index]
        owned_ahead = queue.pool.owned_work if is_last else queue.owned_work_ahead[index]
        return queue.wait(job, ahead + work, owned_ahead + work)
