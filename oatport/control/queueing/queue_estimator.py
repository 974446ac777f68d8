"""The waiting work as a whole: how long the queue is, who is within a guarantee, and which tier each job takes."""

from __future__ import annotations

import heapq
from bisect import bisect_left
from dataclasses import dataclass, field

from oatport.control.queueing.pending_queue import NO_DEADLINE, RUN_STEP, OrderKey, order_key
from oatport.control.queueing.tier_router import OWNED, SPOT
from oatport.control.scaling.capacity_planner import CapacityPlanner
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK, Job, JobKind
from oatport.control.storage.write_buffer import live_key
from oatport.times import MS, SECOND, micros

ROUTE_EVERY = 400 * MS
ROUTE_MOST = 2 * SECOND
ROUTE_LATEST = 4 * SECOND  # also when nothing has changed: deadlines come nearer all the same
# What is looked at in a second, at most, in running tasks; a waiting job counts as many of them.
LOOKED_AT, A_JOB = 15_000, 15
LEARN_EVERY = 2 * SECOND


@dataclass(slots=True)
class _Pool:
    """CPUs of a set of machine types, and the predicted work before them in CPU-microseconds."""

    total: float = 0.0
    left_total: float = 0.0
    owned: float = 0.0
    left_owned: float = 0.0
    idle: float = 0.0  # of tasks of the lowest priority, which give way to all others

    def add(self, other: _Pool) -> None:
        self.total += other.total
        self.left_total += other.left_total
        self.owned += other.owned
        self.left_owned += other.left_owned
        self.idle += other.idle


def _pools_by_type(cluster: ClusterState, now: int) -> dict[str, _Pool]:
    """The machines' CPUs less those that services hold, and the running tasks' remainder."""
    predictor = cluster.predictor
    pools: dict[str, _Pool] = {}
    for machine in cluster.machines.values():
        if (
            machine.draining
            or machine.releasing
            or machine.reclaimed_at
            or machine.command_unreachable
            or machine.zone in cluster.zones.partitioned
        ):
            continue
        cpus, left, idle = machine.type.cpus - machine.service_cpus, 0.0, 0.0
        if not machine.ready_at:
            # One that boots is room from then on: without it, a wave of work would rent on-demand what
            # the spot machines rented a moment ago are about to do.
            boot = machine.rented_at + round(micros(machine.type.boot_time_s) * 1.2) - now
            if boot < -micros(machine.type.boot_time_s):
                continue  # long overdue
            left = max(boot, 0) * cpus
        for task in machine.finite_tasks:
            ran = now - task.running_since if task.running_since else 0
            work = max(predictor.run_time(task.job.job_id, task.job.spec) - ran, 0) * task.job.spec.cpus
            if task.job.priority_rank == IDLE_RANK:
                idle += work
            else:
                left += work
        spot = machine.spot
        pools.setdefault(machine.type.name, _Pool()).add(
            _Pool(cpus, left, 0.0 if spot else cpus, 0.0 if spot else left, idle)
        )
    return pools


def _pool(by_type: dict[str, _Pool], suited: tuple[str, ...]) -> _Pool:
    pool = _Pool()
    for name in suited:
        pool.add(by_type.get(name, _Pool()))
    return pool


def dues(cluster: ClusterState, job: Job) -> list[int]:
    """Times of day by which its end is looked for: its deadline, multiples of it, its class's aims at the end, and
    what is left for it by jobs that need it."""
    if job.deadlines is None:
        times = cluster.objectives.deadlines_of(job)
        times += [
            job.eligible_at + within for within in cluster.objectives.completion_within.get(job.spec.job_class, ())
        ]
        job.deadlines = sorted(times + job.inherited_deadlines)
    return job.deadlines


def _set_target(cluster: ClusterState, job: Job, times: list[int], run: int, wall: int) -> None:
    """What is lost anyway is not worth a dearer machine: the first deadline that it could meet if it ran now.

    One without a deadline whose class should start by a certain time is due when it would end then.
    """
    start = cluster.objectives.start_within.get(job.spec.job_class)
    usual = job.eligible_at + (NO_DEADLINE if start is None else min(start + run, NO_DEADLINE))
    job.deadline_at, job.deadline_missed = times[0] if times else usual, job.suspected_faulty
    if times and not job.suspected_faulty:
        job.attainable_deadline = (
            times[0]
            if times[0] >= wall + run
            else next((due for due in times if due >= wall + run), wall + NO_DEADLINE)
        )


def mark_late(cluster: ClusterState, by_type: dict[str, _Pool], wall: int) -> None:
    """Which waiting jobs meet which of their deadlines: as many as possible, by Moore and Hodgson's rule.

    Jobs are taken by deadline; where one would end too late, the largest taken so far is given up. Ahead
    of the others, a job that ends late anyway would only make those late too. One given up has its next
    deadline to meet, if users look at several.
    """
    queues: dict[tuple[int, tuple[str, ...]], list[tuple[Job, list[int]]]] = {}
    bound = cluster.tuning.us("begin_within_s") // 2
    for job in cluster.pending:
        times = dues(cluster, job)
        # The rule above passes the largest over for as long as a rush lasts: at half of the bound that ends.
        job.starving = not (job.started or job.on_machines or job.suspected_faulty) and wall - job.eligible_at > bound
        job.predicted_runtime = cluster.predictor.run_time(job.job_id, job.spec)
        _set_target(cluster, job, times, job.predicted_runtime, wall)
        if times and not job.suspected_faulty:
            queues.setdefault((job.priority_rank, cluster.catalog.preferred_type_names(job)), []).append((job, times))
    for (_, suited), jobs in queues.items():
        pool = _pool(by_type, suited)
        left = jobs if pool.total > 0 else []
        while left:
            left = [(job, times[1:]) for job, times in _take_by_deadline(pool, left, wall)]
            for job, times in left:
                job.deadline_missed = not times
            left = [(job, times) for job, times in left if times]


def _take_by_deadline(pool: _Pool, jobs: list[tuple[Job, list[int]]], wall: int) -> list[tuple[Job, list[int]]]:
    """Take jobs into the pool's work by the first of their deadlines; those that can't meet it."""
    missed: list[tuple[Job, list[int]]] = []
    taken: list[tuple[float, str, Job, list[int]]] = []
    for job, times in sorted(jobs, key=lambda item: (item[1][0], item[0].job_id)):
        job.deadline_at, run = times[0], job.predicted_runtime
        if wall + run > job.deadline_at:
            missed.append((job, times))
            continue
        work = run * job.spec.cpus * job.pending
        pool.left_total += work
        heapq.heappush(taken, (-work, job.job_id, job, times))
        if wall + pool.left_total / pool.total + run > job.deadline_at:
            minus, _, largest, its_times = heapq.heappop(taken)
            pool.left_total += minus
            missed.append((largest, its_times))
    return missed


@dataclass(slots=True)
class _Queue:
    """The work before one set of machine types, and what stands ahead of each waiting job there, in order."""

    pool: _Pool
    keys: list[OrderKey] = field(default_factory=list)
    total: list[float] = field(default_factory=list)  # CPU-us ahead of the job at this place
    owned: list[float] = field(default_factory=list)  # the same of what is for owned machines

    def wait(self, job: Job, total: float, owned: float) -> tuple[int, int | None]:
        """The predicted time until its last task starts: over all machines, and over owned; None: none is owned."""
        pool = self.pool
        # A gang's tasks run all at once: owned room too small for that is none.
        least = job.spec.cpus * job.pending if job.kind is JobKind.GANG else 1.0
        return (
            round((total + (pool.idle if job.priority_rank == IDLE_RANK else 0.0)) / pool.total)
            if pool.total > 0
            else 600 * SECOND,
            round(owned / pool.owned) if pool.owned >= least else None,
        )


class QueueEstimates:
    """The queue estimate: the predicted work ahead of each job, its own included, and the running tasks' remainder.

    Spread over the machines of the types that suit a job.
    """

    def __init__(self, cluster: ClusterState, by_type: dict[str, _Pool]) -> None:
        self._cluster = cluster
        self._by_type = by_type
        self._queues: dict[tuple[str, ...], _Queue] = {}
        for (
            job,
            tasks,
        ) in cluster.upcoming_starts:  # held work that is let go before long: else its release meets a full house
            self._of(job).pool.left_total += cluster.predictor.run_time(job.job_id, job.spec) * job.spec.cpus * tasks

    def _of(self, job: Job) -> _Queue:
        suited = self._cluster.catalog.preferred_type_names(job)
        queue = self._queues.get(suited)
        if queue is None:
            queue = self._queues[suited] = _Queue(_pool(self._by_type, suited))
        return queue

    def _work(self, job: Job) -> float:
        return job.predicted_runtime * job.spec.cpus * (1 if job.suspected_faulty else job.pending)

    def append(self, job: Job) -> tuple[int, int | None]:
        """The wait of the next job in order."""
        queue, work = self._of(job), self._work(job)
        queue.keys.append(order_key(job))
        queue.total.append(queue.pool.left_total)
        queue.owned.append(queue.pool.left_owned)
        queue.pool.left_total += work
        if job.tier != SPOT:
            queue.pool.left_owned += work
        return queue.wait(job, queue.pool.left_total, queue.pool.left_owned)

    def among(self, job: Job) -> tuple[int, int | None]:
        """The wait of a job that came since, by its place among the others."""
        queue, work = self._of(job), self._work(job)
        place = bisect_left(queue.keys, order_key(job))
        last = place == len(queue.keys)
        ahead = queue.pool.left_total if last else queue.total[place]
        ahead_owned = queue.pool.left_owned if last else queue.owned[place]
        return queue.wait(job, ahead + work, ahead_owned + work)


def mark_guaranteed(cluster: ClusterState) -> None:
    """A job is within its team's guarantee if it fits into it together with all the team's earlier ones.

    Judged job by job: a team that merely uses less than its guarantee at the moment, with a job that is
    larger, would stop other teams' work for one that need not be served at once (PROTOCOL, "How aims are
    counted"), and twelve teams would do so in turns.
    """
    taken: dict[str, tuple[float, float]] = {}
    teams = {name: use for name, use in cluster.quotas.items() if use.limits.cpus > 0}
    if not teams:
        return  # and none ever was
    with_one = [job for job in cluster.jobs.values() if job.spec.team in teams]
    for job in sorted(with_one, key=lambda j: (j.eligible_at, j.job_id)):
        use = teams[job.spec.team]
        if job.cancelled or job.completing:
            job.within_guarantee = False
            continue
        spec, left = job.spec, job.spec.task_count - len(job.completed)
        cpus, gpus = taken.get(spec.team, (0.0, 0.0))
        cpus, gpus = cpus + spec.cpus * left, gpus + spec.gpus * left
        taken[spec.team] = (cpus, gpus)
        job.within_guarantee = cpus <= use.limits.cpus + 1e-9 and (spec.gpus <= 0 or gpus <= use.limits.gpus + 1e-9)


def order(cluster: ClusterState, now: int) -> list[Job]:
    """The waiting jobs that may be placed now, in order (`control/queueing/pending_queue.py`)."""
    return sorted((j for j in cluster.pending if j.retry_at <= now and not j.orphaned_attempt_count), key=order_key)


def _learn(cluster: ClusterState, now: int) -> None:
    ages = [now - m.rented_at for m in cluster.machines.values() if m.spot and m.ready_at]
    # Since when an earlier leader's tasks run is not known.
    running = [
        now - t.running_since
        for m in cluster.machines.values()
        if m.zone not in cluster.zones.partitioned
        for t in m.finite_tasks
        if t.running_since and t.binding_at and not t.job.suspected_faulty and t.job.priority_rank < IDLE_RANK
    ]
    cluster.router.learn(ages, running)


class QueueEstimator:
    """Keeps the routes of waiting work up to date, at a cost that is bounded whatever waits.

    All of it is routed anew at a pace that falls with what there is to look at; what came meanwhile is routed by
    itself, by its place in the queue as it stood.
    """

    def __init__(self, cluster: ClusterState, fleet: CapacityPlanner) -> None:
        self._cluster = cluster
        self._fleet = fleet
        self._routed_at = -ROUTE_LATEST
        self._learnt_at = -LEARN_EVERY
        self._seen: tuple[int, int] = (-1, -1)  # what there was to look at then
        self._queues: QueueEstimates | None = None

    def pace(self) -> int:
        """How long until all waiting work is routed again, if something has changed meanwhile."""
        size = A_JOB * len(self._cluster.pending) + sum(self._cluster.tasks.bound_by_priority)
        return min(ROUTE_MOST, max(ROUTE_EVERY, size * SECOND // LOOKED_AT))

    def step(self, now: int, wall: int) -> None:
        cluster = self._cluster
        cluster.dependencies.propagate_urgency()
        seen = (cluster.pending.version, cluster.tasks.binding_changes)
        since = now - self._routed_at
        if since >= ROUTE_LATEST or (since >= self.pace() and seen != self._seen) or self._queues is None:
            self.route_all(now, wall)
            self._routed_at, self._seen = now, seen
        elif cluster.pending.unrouted:
            self._route_new(now, wall)

    def route_all(self, now: int, wall: int) -> None:
        cluster = self._cluster
        if now - self._learnt_at >= LEARN_EVERY:
            self._learnt_at = now
            _learn(cluster, now)
        mark_guaranteed(cluster)
        by_type = _pools_by_type(cluster, now)
        mark_late(cluster, by_type, wall)
        waiting = order(cluster, now)
        self._queues = QueueEstimates(cluster, by_type)
        waits = [self._queues.append(job) for job in waiting]
        rentable = _Rentable(cluster, self._fleet, now)
        for job, wait in zip(waiting, waits, strict=True):
            self._route(job, wait, rentable, wall)
        cluster.pending.unrouted.clear()
        cluster.pending.rerank()

    def _route_new(self, now: int, wall: int) -> None:
        cluster = self._cluster
        assert self._queues is not None
        mark_guaranteed(cluster)
        rentable = _Rentable(cluster, self._fleet, now)
        for job in list(cluster.pending.unrouted):
            job.predicted_runtime = cluster.predictor.run_time(job.job_id, job.spec)
            _set_target(cluster, job, dues(cluster, job), job.predicted_runtime, wall)
            self._route(job, self._queues.among(job), rentable, wall)
            cluster.pending.moved(job)
        cluster.pending.unrouted.clear()

    def _route(self, job: Job, wait: tuple[int, int | None], rentable: _Rentable, wall: int) -> None:
        cluster = self._cluster
        over_all, over_owned = wait
        job.runtime_bucket = job.predicted_runtime // RUN_STEP
        tier = cluster.router.route(job, wall, over_owned, rentable(job, True), rentable(job, False), over_all)
        if tier != job.tier:
            job.tier = tier
            cluster.planning_needed = True
            if tier == OWNED or job.loss_count:
                cluster.writes.dirty_keys.setdefault(live_key(job.job_id), None)


class _Rentable:
    """Whether machines for a job are still to be had; many jobs want the same sorts."""

    def __init__(self, cluster: ClusterState, fleet: CapacityPlanner, now: int) -> None:
        self._cluster, self._fleet, self._now = cluster, fleet, now
        self._known: dict[tuple[bool, str | None, tuple[str, ...] | None, tuple[float, float, float]], bool] = {}

    def __call__(self, job: Job, spot: bool) -> bool:
        spec = job.spec
        sort = (
            spot,
            spec.zone,
            tuple(spec.machine_types) if spec.machine_types else None,
            (spec.cpus, spec.gpus, spec.memory_gb),
        )
        found = self._known.get(sort)
        if found is None:
            found = self._known[sort] = self._fleet.availability.any_for(job, spot, self._now)
        return found


def route_waiting(cluster: ClusterState, fleet: CapacityPlanner, now: int, wall: int) -> None:
    """Set the tier of every waiting job; a changed tier is recorded with its first chunk."""
    cluster.dependencies.propagate_urgency()
    QueueEstimator(cluster, fleet).route_all(now, wall)
