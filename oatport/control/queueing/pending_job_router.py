"""Routes pending jobs: keeps the tier of each job up to date, at a cost that is bounded however many are pending."""

from __future__ import annotations

from oatport.control.queueing.capacity_pools import pools_by_type
from oatport.control.queueing.deadlines import deadlines_of, mark_missed_deadlines, set_attainable_deadline
from oatport.control.queueing.guarantees import mark_within_guarantee
from oatport.control.queueing.pending_queue import RUNTIME_BUCKET, order_key
from oatport.control.queueing.queue_wait import QueueWait, QueueWaitEstimator
from oatport.control.queueing.tier_router import OWNED, TierAvailability
from oatport.control.scaling.cloud_availability import CloudAvailability
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK, Job
from oatport.control.storage.keys import live_key
from oatport.times import MS, SECOND

ROUTING_INTERVAL = 400 * MS
ROUTING_INTERVAL_MAX = 2 * SECOND
ROUTING_INTERVAL_UNCHANGED = 4 * SECOND  # applies even if nothing has changed, since deadlines come closer
THRESHOLD_UPDATE_INTERVAL = 2 * SECOND
TASKS_EXAMINED_PER_SECOND = 15_000  # bounds the cost of routing, which is counted in running tasks
TASKS_PER_PENDING_JOB = 15  # cost of a pending job, in running tasks


def jobs_in_order(cluster: ClusterState, now: int) -> list[Job]:
    """Returns the pending jobs that may be placed now, in queue order (`pending_queue.py`)."""
    return sorted((j for j in cluster.pending if j.retry_at <= now and not j.orphaned_attempt_count), key=order_key)


class PendingJobRouter:
    """Routes all pending jobs at an interval that grows with their number.

    A job that is submitted between two such rounds is routed by itself, by its position in the queue of the last round.
    """

    def __init__(self, cluster: ClusterState, availability: CloudAvailability) -> None:
        self._cluster = cluster
        self._availability = availability
        self._routed_at = -ROUTING_INTERVAL_UNCHANGED
        self._threshold_updated_at = -THRESHOLD_UPDATE_INTERVAL
        self._routed_version: tuple[int, int] = (-1, -1)  # of the pending jobs and the bindings at the last routing
        self._waits: QueueWaitEstimator | None = None

    def interval(self) -> int:
        """Returns the time after which all pending jobs are routed again, if anything has changed meanwhile."""
        size = TASKS_PER_PENDING_JOB * len(self._cluster.pending) + sum(self._cluster.tasks.bound_by_priority)
        return min(ROUTING_INTERVAL_MAX, max(ROUTING_INTERVAL, size * SECOND // TASKS_EXAMINED_PER_SECOND))

    def step(self, now: int, wall: int) -> None:
        """Routes all pending jobs, only the new ones, or none, depending on what is due."""
        cluster = self._cluster
        cluster.dependencies.propagate_urgency()
        version = (cluster.pending.version, cluster.tasks.binding_changes)
        elapsed = now - self._routed_at
        has_changed = version != self._routed_version
        if elapsed >= ROUTING_INTERVAL_UNCHANGED or (has_changed and elapsed >= self.interval()) or self._waits is None:
            self.route_all(now, wall)
            self._routed_at, self._routed_version = now, version
        elif cluster.pending.unrouted:
            self._route_new(self._waits, now, wall)

    def route_all(self, now: int, wall: int) -> None:
        """Sets the tier of every pending job; a changed tier is recorded with the job's first chunk."""
        cluster = self._cluster
        if now - self._threshold_updated_at >= THRESHOLD_UPDATE_INTERVAL:
            self._threshold_updated_at = now
            _update_spot_threshold(cluster, now)
        mark_within_guarantee(cluster)
        pools = pools_by_type(cluster, now)
        mark_missed_deadlines(cluster, pools, wall)
        jobs = jobs_in_order(cluster, now)
        self._waits = QueueWaitEstimator(cluster, pools)
        waits = [self._waits.append(job) for job in jobs]
        rentable = _Rentable(cluster, self._availability, now)
        for job, wait in zip(jobs, waits, strict=True):
            self._route(job, wait, rentable, wall)
        cluster.pending.unrouted.clear()
        cluster.pending.reorder()

    def _route_new(self, waits: QueueWaitEstimator, now: int, wall: int) -> None:
        cluster = self._cluster
        mark_within_guarantee(cluster)
        rentable = _Rentable(cluster, self._availability, now)
        for job in list(cluster.pending.unrouted):
            job.predicted_runtime = cluster.predictor.run_time(job.job_id, job.spec)
            set_attainable_deadline(cluster, job, deadlines_of(cluster, job), job.predicted_runtime, wall)
            self._route(job, waits.wait_of_new_job(job), rentable, wall)
            cluster.pending.reposition(job)
        cluster.pending.unrouted.clear()

    def _route(self, job: Job, wait: QueueWait, rentable: _Rentable, wall: int) -> None:
        cluster = self._cluster
        job.runtime_bucket = job.predicted_runtime // RUNTIME_BUCKET
        availability = TierAvailability(
            owned_wait=wait.owned_machine,
            spot_rentable=rentable(job, True),
            on_demand_rentable=rentable(job, False),
            spot_wait=wait.any_machine,
        )
        tier = cluster.router.route(job, wall, availability)
        if tier != job.tier:
            job.tier = tier
            cluster.planning_needed = True
            if tier == OWNED or job.loss_count:
                cluster.writes.dirty_keys.setdefault(live_key(job.job_id), None)


class _Rentable:
    """Determines whether machines for a job can still be rented; results are cached, as many jobs share offerings."""

    def __init__(self, cluster: ClusterState, availability: CloudAvailability, now: int) -> None:
        self._cluster, self._availability, self._now = cluster, availability, now
        self._results: dict[tuple[bool, str | None, tuple[str, ...] | None, tuple[float, float, float]], bool] = {}

    def __call__(self, job: Job, spot: bool) -> bool:
        spec = job.spec
        key = (
            spot,
            spec.zone,
            tuple(spec.machine_types) if spec.machine_types else None,
            (spec.cpus, spec.gpus, spec.memory_gb),
        )
        result = self._results.get(key)
        if result is None:
            result = self._results[key] = self._availability.is_any_rentable(job, spot, self._now)
        return result


def _update_spot_threshold(cluster: ClusterState, now: int) -> None:
    """Updates the tier router's spot threshold from the ages of spot machines and of running tasks."""
    spot_ages = [now - m.rented_at for m in cluster.machines.values() if m.spot and m.ready_at]
    # Tasks that were bound by an earlier leader are left out, because their start time is not known.
    run_times = [
        now - t.running_since
        for m in cluster.machines.values()
        if m.zone not in cluster.zones.partitioned
        for t in m.finite_tasks
        if t.running_since and t.binding_at and not t.job.suspected_faulty and t.job.priority_rank < IDLE_RANK
    ]
    cluster.router.update_threshold(spot_ages, run_times)


def route_pending(cluster: ClusterState, availability: CloudAvailability, now: int, wall: int) -> None:
    """Sets the tier of every pending job in one call, without keeping state for the next one."""
    cluster.dependencies.propagate_urgency()
    PendingJobRouter(cluster, availability).route_all(now, wall)
