"""Estimates how long a pending job waits: the predicted work ahead of it divided by the CPUs that it may use."""

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
    """Holds the predicted time until a job's last task starts."""

    any_machine: int
    owned_machine: int | None  # on owned machines alone; None if there is none that the job can use


@dataclass(slots=True)
class _TypeQueue:
    """Holds the work queued for one set of machine types, and the work ahead of each pending job there, in order."""

    pool: CapacityPool
    keys: list[OrderKey] = field(default_factory=list)
    work_ahead: list[float] = field(default_factory=list)  # CPU-microseconds ahead of the job at this index
    owned_work_ahead: list[float] = field(default_factory=list)  # the same for work on owned machines only

    def wait(self, job: Job, work: float, owned_work: float) -> QueueWait:
        """Returns the wait of a job, given the work up to its last task."""
        pool = self.pool
        # All tasks of a gang run at once, so owned machines that cannot hold the whole gang do not count.
        owned_cpus_min = job.spec.cpus * job.pending if job.kind is JobKind.GANG else 1.0
        if job.priority_rank == IDLE_RANK:
            work += pool.best_effort_work
        return QueueWait(
            round(work / pool.cpus) if pool.cpus > 0 else WAIT_WITHOUT_MACHINES,
            round(owned_work / pool.owned_cpus) if pool.owned_cpus >= owned_cpus_min else None,
        )


class QueueWaitEstimator:
    """Estimates each job's wait from the work ahead of it, its own included, and the rest of the running tasks."""

    def __init__(self, cluster: ClusterState, pools: PoolsByType) -> None:
        self._cluster = cluster
        self._pools = pools
        self._queues: dict[tuple[str, ...], _TypeQueue] = {}  # by the names of the types that suit a job
        # Deferred tasks that will be released soon count as queued work. Otherwise the machines would be full when they
        # are released.
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
        """Adds the next job in order; returns its wait."""
        queue, work = self._queue_of(job), self._work_of(job)
        queue.keys.append(order_key(job))
        queue.work_ahead.append(queue.pool.work)
        queue.owned_work_ahead.append(queue.pool.owned_work)
        queue.pool.work += work
        if job.tier != SPOT:
            queue.pool.owned_work += work
        return queue.wait(job, queue.pool.work, queue.pool.owned_work)

    def wait_of_new_job(self, job: Job) -> QueueWait:
        """Returns the wait of a job that was submitted later, by its position in the order, without adding it."""
        queue, work = self._queue_of(job), self._work_of(job)
        index = bisect_left(queue.keys, order_key(job))
        is_last = index == len(queue.keys)
        ahead = queue.pool.work if is_last else queue.work_ahead[index]
        owned_ahead = queue.pool.owned_work if is_last else queue.owned_work_ahead[index]
        return queue.wait(job, ahead + work, owned_ahead + work)
