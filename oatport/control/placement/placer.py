"""Where waiting tasks go: constraints, quota, image locality, preemption and whole gangs."""

from __future__ import annotations

from oatport.control.placement.candidate_ranking import Ranking
from oatport.control.placement.feasibility import BEFORE_ZONES, machine_allowed
from oatport.control.placement.preemption import PREEMPT_PAUSE, Preemption
from oatport.control.queueing.pending_queue import RUN_STEP
from oatport.control.state.capacity import zone_cap
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK, Job, JobKind
from oatport.control.state.machine import Machine
from oatport.times import SECOND

CROWDED = 0.2  # owned room is taken up if no more than this share is free
CLAIMS_AHEAD = 24  # claims not yet written, beyond which a swarm's wait
CLAIMS_PAUSE = SECOND // 10
LOOK_AGAIN = 2 * SECOND  # a pass though nothing is known to have changed: a guard, not a means
WARM_AFTER = 8 * SECOND  # an image claimed for that long is taken to be fetched
WARM_WAIT = SECOND * 7 // 10  # how long a replica waits for room to be made where its image is


class Placer(Preemption):
    def __init__(self, cluster: ClusterState) -> None:
        super().__init__(cluster)
        self._gpus_kept = False
        self._rankings: dict[tuple[object, ...], Ranking] = {}  # of the pass under way
        self._claimed: list[Machine] = []  # in it, in order
        self._booting: list[Machine] | None = None

    def due(self, now: int) -> bool:
        """Is a pass worth its cost: has anything changed since the last one that could matter to it?

        A full house with thousands of tasks waiting was searched again and again for room that could not be there.
        What makes room or changes the queue sets `replan`; what only time brings is in `look_at`.
        """
        return self.cluster.planning_needed or (bool(self.cluster.pending) and now >= self.look_at)

    def plan(self, now: int) -> int:
        """Claim machines for as many waiting tasks as possible; the number claimed."""
        cluster = self.cluster
        cluster.planning_needed = False
        cluster.now = now
        self.look_at = now + LOOK_AGAIN
        usable = cluster.find_usable(now)
        waiting = cluster.pending
        if not waiting:
            return 0
        for machine in cluster.machines.values():
            if machine.cordoned_until > now:
                self.look_by(machine.cordoned_until)
        # Most machines are full most of the time: no job looks at those where none that waits would fit.
        smallest = waiting.smallest() - 1e-9
        roomy = [m for m in usable if m.free_cpus >= smallest]
        self._booting = None
        self._crowded = self._work_beside(usable)
        self._gpus_kept = any(m.type.gpus > 0 for m in roomy)  # who may use them depends on the run time
        self._rankings.clear()
        self._claimed.clear()
        zones = {m.zone for m in usable}
        claimed = swept = 0
        # What found no room in this pass, by all else that decides about room: nothing as large will either.
        full: dict[tuple[object, ...], list[tuple[float, float, float]]] = {}
        for line, job in waiting.walk():
            if job.retry_at > now:
                self.look_by(job.retry_at)
                continue
            if job.orphaned_attempt_count:
                continue
            spec = job.spec
            use = cluster.quotas.get(spec.team)
            limit = min(job.pending, cluster.quotas.room(spec))
            if use is not None and limit < (job.pending if job.kind is JobKind.GANG else 1):
                self._make_quota(job, now)
                # The rest of a line is of the same team, and wants as much.
                line.over = line.plain and not any(use.rank_arrays[job.priority_rank + 1 :])
            if job.priority_rank == IDLE_RANK and len(cluster.writes.urgent_keys) > CLAIMS_AHEAD:
                self.look_by(now + CLAIMS_PAUSE)
                line.over = line.plain
                continue  # room claimed but not written down can't be given to anybody else
            if job.suspected_faulty and job.kind is not JobKind.GANG:
                limit = min(limit, 1 - job.on_machines)  # one is enough to see whether it fails again
            if limit <= 0:
                continue
            if spec.spread and all(job.tasks_by_zone.get(zone, 0) >= zone_cap(spec) for zone in zones):
                continue  # while a zone is cut off, those that belong there look for nothing elsewhere
            if job.kind is JobKind.GANG:
                got = self._place_gang(job, roomy, now)
                if not got and not job.on_machines and not job.suspected_faulty:
                    self.preempt(job, usable, now)
                    held = self._gang_waits_for(job, roomy, now)
                    if held:
                        usable, roomy = self._without(held, usable, roomy)
                # What machines with GPUs have left beside a gang is room for those that found none before.
                cluster.planning_needed = cluster.planning_needed or bool(got)
            else:
                sort = (
                    spec.spot,
                    job.tier,
                    spec.zone,
                    tuple(spec.machine_types) if spec.machine_types else None,
                    job.priority_rank,
                    self._gpus_kept and job.runtime_bucket,
                )
                free_to_go = not (spec.spread or spec.single_zone)
                if free_to_go and any(
                    spec.cpus >= cpus and spec.gpus >= gpus and spec.memory_gb >= memory_gb
                    for cpus, gpus, memory_gb in full.get(sort, ())
                ):
                    line.over = line.plain
                    continue
                got, kept = self._place(job, limit, roomy, usable, now)
                if kept is not None:
                    # Nobody else takes the room it falls back on, which may have been made for it.
                    usable, roomy = self._without({kept}, usable, roomy)
                    self.look_by(now + WARM_WAIT // 4)
                elif got < limit:
                    if free_to_go:
                        full.setdefault(sort, []).append((spec.cpus, spec.gpus, spec.memory_gb))
                    line.over = line.plain
                    self.preempt(job, usable, now)
            claimed += got
            if len(self._claimed) - swept > len(roomy) // 4:
                swept = len(self._claimed)
                roomy = [m for m in roomy if m.free_cpus >= smallest]
        return claimed

    def _without(
        self, held: set[Machine], usable: list[Machine], roomy: list[Machine]
    ) -> tuple[list[Machine], list[Machine]]:
        """What is left for the others when some machines are kept for a job."""
        for ranking in self._rankings.values():
            ranking.drop(held)
        return [m for m in usable if m not in held], [m for m in roomy if m not in held]

    def _work_beside(self, usable: list[Machine]) -> bool:
        """There is work beside services to use the room that they leave: none is kept, and paid, for nothing."""
        if any(job.kind is not JobKind.SERVICE for job in self.cluster.pending):
            return True
        owned = [m for m in usable if not m.spot and m.type.gpus == 0]
        return sum(m.free_cpus for m in owned) < CROWDED * sum(m.type.cpus for m in owned)

    def _place(
        self, job: Job, limit: int, roomy: list[Machine], usable: list[Machine], now: int
    ) -> tuple[int, Machine | None]:
        """Claim room for up to `limit` tasks; the number, and a machine to be left alone meanwhile."""
        got = 0
        while got < limit:
            machine = self._best(job, roomy)
            if machine is None:
                break
            if job.kind is JobKind.SERVICE and self._make_warm_room(job, machine, usable, now):
                return got, machine
            self.cluster.tasks.begin_binding(job, machine, now)
            self._claimed.append(machine)
            got += 1
        return got, None

    def _best(self, job: Job, roomy: list[Machine]) -> Machine | None:
        spec = job.spec
        within = self._start_within(job)
        ranking = self._ranking(job, roomy, within)
        errors = job.error_machines if len(roomy) > len(job.error_machines) else ()
        cap = zone_cap(spec)
        best: tuple[tuple[float, ...], int, Machine] | None = None
        for zone in ranking.zones:
            there = job.tasks_by_zone.get(zone, 0)
            if (spec.spread and there >= cap) or (spec.single_zone and job.tasks_by_zone and not there):
                continue
            found = ranking.best(zone, errors)
            if found is None:
                continue
            merit, place, machine = found
            if job.kind is JobKind.SERVICE:  # replicas apart, where nothing that weighs more speaks against it
                merit = (*merit[:BEFORE_ZONES], there, *merit[BEFORE_ZONES:])
            if best is None or (merit, place) < best[:2]:
                best = merit, place, machine
        return best[2] if best else None

    def _ranking(self, job: Job, roomy: list[Machine], within: int | None) -> Ranking:
        """The machines that may take a task of the job now, shared by all jobs that look for the same."""
        spec, cluster = job.spec, self.cluster
        mates = job.kind is JobKind.SERVICE and spec.task_count >= cluster.tuning.mate_room_tasks
        fills_for = cluster.predictor.run_time(job.job_id, spec) // RUN_STEP if self._gpus_kept else 0
        key = (
            job.kind,
            job.priority_rank,
            job.tier,
            spec.spot,
            spec.zone,
            tuple(spec.machine_types) if spec.machine_types else None,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.image,
            spec.image_size_gb,
            within,
            mates,
            cluster.may_use_free_spot(job),
            fills_for,
        )
        ranking = self._rankings.get(key)
        if ranking is None:
            may = self._suits(job)
            ranking = self._rankings[key] = Ranking(
                roomy, may, lambda m: self._merit(job, m, within), len(self._claimed)
            )
        ranking.catch_up(self._claimed)
        return ranking

    def _make_warm_room(self, job: Job, machine: Machine, usable: list[Machine], now: int) -> bool:
        """Rather than fetch an image for longer than the class may wait, stop lower work where the image is.

        True while the room is being made; a moment later the replica takes it, or what else is free.
        """
        spec = job.spec
        if spec.image in machine.images:
            return False
        within = self._start_within(job)
        # The rate is give or take a third, and a moment goes to placing.
        if within is None or self._fetch(spec, machine) * 4 // 3 + SECOND <= within:
            return False
        if job.preempt_after <= now:
            warm = [m for m in usable if m.images.get(spec.image, now) < now - WARM_AFTER]
            self.preempt(job, warm, now, pause=0)
        return job.preempt_after - now > PREEMPT_PAUSE - WARM_WAIT

    def _place_gang(self, job: Job, usable: list[Machine], now: int) -> int:
        """All tasks or none, in one commit; only when nothing of an earlier attempt is left anywhere."""
        spec = job.spec
        if job.on_machines or job.pending + len(job.completed) < spec.task_count:
            return 0
        need = job.pending
        if self.cluster.quotas.room(spec) < need:
            return 0
        zones = {m.zone for m in usable} if spec.single_zone else {None}
        best: list[Machine] | None = None
        best_cost = 0.0
        for zone in sorted(zones, key=str):
            chosen = self._gang_room(job, [m for m in usable if zone in (None, m.zone)], need)
            if chosen is None:
                continue
            cost = sum((spec.image not in m.images) * 10 + (m.slowdown > 1.6) * 20 + m.spot for m in chosen) / need
            if best is None or cost < best_cost:
                best, best_cost = chosen, cost
        if best is None:
            return 0
        job.gang_attempt = max([job.gang_attempt, *(t.attempt for t in job.tasks.values())]) + 1
        for machine in best:
            self.cluster.tasks.begin_binding(job, machine, now, attempt=job.gang_attempt)
        self._claimed += best
        return need

    def _gang_waits_for(self, job: Job, roomy: list[Machine], now: int) -> set[Machine]:
        """Free machines that a gang will have as soon as the ones that boot in the same zone are up.

        Without this, smaller jobs take them one by one, and a gang of several machines starts never.
        """
        spec = job.spec
        if self._booting is None:
            token = self.cluster.token
            self._booting = [m for m in self.cluster.machines.values() if m.coming(now, token)]
        booting = self._booting
        best: set[Machine] = set()
        most = 0
        for zone in sorted({m.zone for m in roomy}) if spec.single_zone else [None]:
            free = [m for m in self._fitting(job, roomy) if zone in (None, m.zone)]
            coming = [m for m in booting if zone in (None, m.zone) and m.could_hold(spec) and machine_allowed(job, m)]
            there = sum(m.free_slots(spec) for m in free)
            if there > most and there + sum(m.free_slots(spec) for m in coming) >= job.pending:
                best, most = set(free), there
        if not best:
            return set()
        held: set[Machine] = set()
        need = job.pending
        for machine in sorted(best, key=lambda m: (m.spot, m.name)):
            if need > 0:
                held.add(machine)
                need -= machine.free_slots(spec)
        for machine in booting:  # spoken for: no later gang counts on them
            if (
                need > 0
                and machine.could_hold(spec)
                and (not spec.single_zone or machine.zone in {m.zone for m in held})
            ):
                need -= machine.free_slots(spec)
                booting.remove(machine)
                break
        return held

    def _gang_room(self, job: Job, machines: list[Machine], need: int) -> list[Machine] | None:
        spec = job.spec
        chosen: list[Machine] = []
        per_zone: dict[str, int] = {}
        on_spot = self.cluster.may_use_free_spot(job)
        ordered = sorted(
            (m for m in machines if m.has_capacity_for(spec) and machine_allowed(job, m) and (on_spot or not m.spot)),
            key=lambda m: (
                m.slowdown > 1.6 and m.slowdown_samples > 1,
                spec.image not in m.images,
                m.spot,
                m.free_cpus,
            ),
        )
        for machine in ordered:
            count = min(machine.free_slots(spec), need - len(chosen))
            if spec.spread:
                count = min(count, zone_cap(spec) - per_zone.get(machine.zone, 0))
            if count > 0:
                per_zone[machine.zone] = per_zone.get(machine.zone, 0) + count
                chosen += [machine] * count
            if len(chosen) == need:
                return chosen
        return None
