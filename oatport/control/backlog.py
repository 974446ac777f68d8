"""The waiting work as a whole: how long the queue is, who is within a guarantee, and which tier each job takes."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from oatport.control.cluster import Cluster
from oatport.control.fleet import Fleet
from oatport.control.model import IDLE_RANK, Job, Kind
from oatport.control.records import chunk_key
from oatport.control.router import OWNED, SPOT
from oatport.times import SECOND, micros

NO_DEADLINE = 600 * SECOND  # by when a job without a deadline is taken to be wanted

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


def _pools_by_type(cluster: Cluster, now: int) -> dict[str, _Pool]:
    """The machines' CPUs less those that services hold, and the running tasks' remainder."""
    predictor = cluster.predictor
    pools: dict[str, _Pool] = {}
    for machine in cluster.machines.values():
        if machine.draining or machine.releasing or machine.taken_at or machine.zone in cluster.dark:
            continue
        cpus, left, idle = machine.type.cpus, 0.0, 0.0
        if not machine.up_at:
            # One that boots is room from then on: without it, a wave of work would rent on-demand what
            # the spot machines rented a moment ago are about to do.
            boot = machine.rented_at + round(micros(machine.type.boot_s) * 1.2) - now
            if boot < -micros(machine.type.boot_s):
                continue  # long overdue
            left = max(boot, 0) * cpus
        for task in machine.tasks:
            if task.job.kind is Kind.SERVICE:
                cpus -= task.job.spec.cpus
            else:
                ran = now - task.running_since if task.running_since else 0
                work = max(predictor.run_time(task.job.ref, task.job.spec) - ran, 0) * task.job.spec.cpus
                if task.job.rank == IDLE_RANK:
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


def dues(cluster: Cluster, job: Job) -> list[int]:
    """Times of day by which its end is looked for: its deadline, multiples of it, and its class's aims at the end."""
    times: list[int] = []
    if job.spec.deadline_s is not None:
        multiples = cluster.deadline_aims.get(job.spec.job_class) or (1.0,)
        times += [job.submitted_at + micros(job.spec.deadline_s * multiple) for multiple in multiples]
    times += [job.submitted_at + within for within in cluster.finish_aims.get(job.spec.job_class, ())]
    return sorted(times)


def mark_late(cluster: Cluster, by_type: dict[str, _Pool], wall: int) -> None:
    """Which waiting jobs meet which of their deadlines: as many as possible, by Moore and Hodgson's rule.

    Jobs are taken by deadline; where one would end too late, the largest taken so far is given up. Ahead
    of the others, a job that ends late anyway would only make those late too. One given up has its next
    deadline to meet, if users look at several.
    """
    queues: dict[tuple[int, tuple[str, ...]], list[tuple[Job, list[int]]]] = {}
    for job in cluster.waiting:
        times = dues(cluster, job)
        job.due, job.late = times[0] if times else job.submitted_at + NO_DEADLINE, job.suspect
        if times and not job.suspect:
            soonest = wall + cluster.predictor.run_time(job.ref, job.spec)
            # What is lost anyway is not worth a dearer machine.
            job.target = next((due for due in times if due >= soonest), wall + NO_DEADLINE)
            suited = tuple(kind.name for kind in cluster.suited(job))
            queues.setdefault((job.rank, suited), []).append((job, times))
    for (_, suited), jobs in queues.items():
        pool = _pool(by_type, suited)
        left = jobs if pool.total > 0 else []
        while left:
            left = [(job, times[1:]) for job, times in _take_by_deadline(cluster, pool, left, wall)]
            for job, times in left:
                job.late = not times
            left = [(job, times) for job, times in left if times]


def _take_by_deadline(
    cluster: Cluster, pool: _Pool, jobs: list[tuple[Job, list[int]]], wall: int
) -> list[tuple[Job, list[int]]]:
    """Take jobs into the pool's work by the first of their deadlines; those that can't meet it."""
    missed: list[tuple[Job, list[int]]] = []
    taken: list[tuple[float, str, Job, list[int]]] = []
    for job, times in sorted(jobs, key=lambda item: (item[1][0], item[0].ref)):
        job.due = times[0]
        run = cluster.predictor.run_time(job.ref, job.spec)
        if wall + run > job.due:
            missed.append((job, times))
            continue
        work = run * job.spec.cpus * job.pending
        pool.left_total += work
        heapq.heappush(taken, (-work, job.ref, job, times))
        if wall + pool.left_total / pool.total + run > job.due:
            minus, _, largest, its_times = heapq.heappop(taken)
            pool.left_total += minus
            missed.append((largest, its_times))
    return missed


def _work_ahead(
    cluster: Cluster, by_type: dict[str, _Pool], order: list[Job]
) -> dict[Job, tuple[int, int | None]]:
    """For each waiting job the predicted time until its last task starts: over all machines, and over owned.

    The predicted work ahead of it in the queue, its own included, and the running tasks' remainder,
    spread over the machines of the types that suit it. None: none of them is owned.
    """
    pools: dict[tuple[str, ...], _Pool] = {}
    waits: dict[Job, tuple[int, int | None]] = {}
    for job, tasks in cluster.coming:  # held work that is let go before long: else its release meets a full house
        suited = tuple(kind.name for kind in cluster.suited(job))
        pools.setdefault(suited, _pool(by_type, suited)).left_total += (
            cluster.predictor.run_time(job.ref, job.spec) * job.spec.cpus * tasks
        )
    for job in order:
        suited = tuple(kind.name for kind in cluster.suited(job))
        pool = pools.get(suited)
        if pool is None:
            pool = pools[suited] = _pool(by_type, suited)
        work = cluster.predictor.run_time(job.ref, job.spec) * job.spec.cpus * (1 if job.suspect else job.pending)
        pool.left_total += work
        if job.tier != SPOT:
            pool.left_owned += work
        # A gang's tasks run all at once: owned room too small for that is none.
        least = job.spec.cpus * job.pending if job.kind is Kind.GANG else 1.0
        waits[job] = (
            round((pool.left_total + (pool.idle if job.rank == IDLE_RANK else 0.0)) / pool.total)
            if pool.total > 0 else 600 * SECOND,
            round(pool.left_owned / pool.owned) if pool.owned >= least else None,
        )
    return waits


def mark_guaranteed(cluster: Cluster) -> None:
    """A job is within its team's guarantee if it fits into it together with all the team's earlier ones.

    Judged job by job: a team that merely uses less than its guarantee at the moment, with a job that is
    larger, would stop other teams' work for one that need not be served at once (PROTOCOL, "How aims are
    counted"), and twelve teams would do so in turns.
    """
    taken: dict[str, tuple[float, float]] = {}
    for job in sorted(cluster.jobs.values(), key=lambda j: (j.submitted_at, j.ref)):
        use = cluster.teams.get(job.spec.team)
        if use is None or job.cancelled or job.finishing or use.limits.cpus <= 0:
            job.guaranteed = False
            continue
        spec, left = job.spec, job.spec.tasks - len(job.done)
        cpus, gpus = taken.get(spec.team, (0.0, 0.0))
        cpus, gpus = cpus + spec.cpus * left, gpus + spec.gpus * left
        taken[spec.team] = (cpus, gpus)
        job.guaranteed = cpus <= use.limits.cpus + 1e-9 and (spec.gpus <= 0 or gpus <= use.limits.gpus + 1e-9)


def order(cluster: Cluster, now: int) -> list[Job]:
    """Waiting jobs: by priority, then a team's guarantee, then by how soon the deadline presses.

    Of the same priority, those that can't meet any deadline come last.
    """

    def rank(job: Job) -> tuple[int, bool, int, bool, int, int, str]:
        due = job.due or job.deadline or job.submitted_at + NO_DEADLINE
        return job.rank, job.suspect, 0 if job.guaranteed else 1, job.late, due, job.submitted_at, job.ref

    return sorted((j for j in cluster.waiting if j.not_before <= now and not j.strays), key=rank)


def route_waiting(cluster: Cluster, fleet: Fleet, now: int, wall: int) -> None:
    """Set the tier of every waiting job; a changed tier is recorded with its first chunk."""
    ages = [now - m.rented_at for m in cluster.machines.values() if m.spot and m.up_at]
    # Since when an earlier leader's tasks run is not known.
    running = [
        now - t.running_since for m in cluster.machines.values() if m.zone not in cluster.dark for t in m.tasks
        if t.running_since and t.claimed_at and t.job.kind is not Kind.SERVICE and not t.job.suspect
        and t.job.rank < IDLE_RANK
    ]
    cluster.router.learn(ages, running)
    mark_guaranteed(cluster)
    by_type = _pools_by_type(cluster, now)
    mark_late(cluster, by_type, wall)
    waiting = order(cluster, now)
    waits = _work_ahead(cluster, by_type, waiting)
    still: dict[tuple[bool, str | None, tuple[str, ...]], bool] = {}  # rentable? many jobs want the same sorts

    def rentable(job: Job, spot: bool) -> bool:
        sorts = (spot, job.spec.zone, tuple(kind.name for kind in cluster.allowed(job)))
        if sorts not in still:
            still[sorts] = fleet.open(job, spot, now)
        return still[sorts]

    for job in waiting:
        over_all, over_owned = waits[job]
        tier = cluster.router.route(job, wall, over_owned, rentable(job, True), rentable(job, False), over_all)
        if tier != job.tier:
            job.tier = tier
            cluster.replan = True
            if tier == OWNED or job.lost:
                cluster.dirty.setdefault(chunk_key(job.ref, 0), None)
