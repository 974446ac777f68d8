"""Where waiting tasks go: constraints, quota, image locality, preemption and whole gangs."""

from __future__ import annotations

from collections.abc import Iterator

from oatport import wire
from oatport.control.backlog import order
from oatport.control.cluster import Cluster
from oatport.control.model import IDLE_RANK, Job, Kind, Machine, Phase, Task, zone_cap
from oatport.control.router import SPOT
from oatport.times import SECOND, micros

CROWDED = 0.2  # owned room is taken up if no more than this share is free
CLAIMS_AHEAD = 24  # claims not yet written, beyond which a swarm's wait
PREEMPT_PAUSE = 4 * SECOND
VAIN_PAUSE = SECOND // 2
IDLE_PAUSE = SECOND
WARM_AFTER = 8 * SECOND  # an image claimed for that long is taken to be fetched
WARM_WAIT = SECOND * 7 // 10  # how long a replica waits for room to be made where its image is


def machine_allowed(job: Job, machine: Machine) -> bool:
    """Type, zone and kind of machine, given the job's other tasks at this moment (rule `wrong_place`)."""
    spec = job.spec
    if machine.spot and not spec.spot:
        return False
    if spec.types is not None and machine.type.name not in spec.types:
        return False
    if spec.zone is not None and machine.zone != spec.zone:
        return False
    if spec.one_zone and job.zones and machine.zone not in job.zones:
        return False
    return not spec.spread or job.zones.get(machine.zone, 0) < zone_cap(spec)


class Placer:
    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self._crowded = False
        self.looked_at = 0  # machines looked at for preemption: what tests count instead of time

    def plan(self, now: int) -> int:
        """Claim machines for as many waiting tasks as possible; the number claimed."""
        cluster = self.cluster
        cluster.replan = False
        cluster.now = now
        usable = [
            m for m in cluster.machines.values()
            if m.usable(cluster.token, now, cluster.fresh_us) and m.zone not in cluster.dark
        ]
        cluster.usable_now = usable
        waiting = order(cluster, now)
        if not waiting:
            return 0
        # Most machines are full most of the time: no job looks at those where none that waits would fit.
        smallest = min(job.spec.cpus for job in waiting) - 1e-9
        roomy = [m for m in usable if m.free_cpus >= smallest]
        booting = [m for m in cluster.machines.values() if m.coming(now, cluster.token)]
        self._crowded = self._work_beside(waiting, usable)
        gpus_kept = any(m.type.gpus > 0 for m in roomy)  # who may use them depends on the run time
        claimed = 0
        # What found no room in this pass, by all else that decides about room: nothing as large will either.
        full: dict[tuple[object, ...], list[tuple[float, float, float]]] = {}
        for job in waiting:
            spec = job.spec
            use = cluster.teams.get(spec.team)
            limit = min(job.pending, use.room(spec) if use else 0)
            if use is not None and limit < (job.pending if job.kind is Kind.GANG else 1):
                self._make_quota(job, now)
            if job.rank == IDLE_RANK and len(cluster.urgent) > CLAIMS_AHEAD:
                continue  # room claimed but not written down can't be given to anybody else
            if job.suspect and job.kind is not Kind.GANG:
                limit = min(limit, 1 - job.on_machines)  # one is enough to see whether it fails again
            if limit <= 0:
                continue
            job.hungry_since = job.hungry_since or now
            if job.kind is Kind.GANG:
                got = self._place_gang(job, roomy, now)
                if not got and not job.on_machines and not job.suspect:
                    self.preempt(job, usable, now)
                    held = self._gang_waits_for(job, roomy, booting)
                    if held:
                        usable = [m for m in usable if m not in held]
                        roomy = [m for m in roomy if m not in held]
            else:
                sort = (spec.spot, job.tier, spec.zone, tuple(spec.types) if spec.types else None, job.rank,
                        gpus_kept and cluster.predictor.run_time(job.ref, spec) // (5 * SECOND))
                plain = not (spec.spread or spec.one_zone)
                if plain and any(
                    spec.cpus >= cpus and spec.gpus >= gpus and spec.memory_gb >= memory_gb
                    for cpus, gpus, memory_gb in full.get(sort, ())
                ):
                    continue
                got, kept = self._place(job, limit, roomy, usable, now)
                if kept is not None:
                    # Nobody else takes the room it falls back on, which may have been made for it.
                    usable = [m for m in usable if m is not kept]
                    roomy = [m for m in roomy if m is not kept]
                elif got < limit:
                    if plain:
                        full.setdefault(sort, []).append((spec.cpus, spec.gpus, spec.memory_gb))
                    self.preempt(job, usable, now)
            if got:
                claimed += got
                roomy = [m for m in roomy if m.free_cpus >= smallest]
        return claimed

    @staticmethod
    def _work_beside(waiting: list[Job], usable: list[Machine]) -> bool:
        """There is work beside services to use the room that they leave: none is kept, and paid, for nothing."""
        if any(job.kind is not Kind.SERVICE for job in waiting):
            return True
        owned = [m for m in usable if not m.spot and m.type.gpus == 0]
        return sum(m.free_cpus for m in owned) < CROWDED * sum(m.type.cpus for m in owned)

    def _place(
        self, job: Job, limit: int, roomy: list[Machine], usable: list[Machine], now: int
    ) -> tuple[int, Machine | None]:
        """Claim room for up to `limit` tasks; the number, and a machine to be left alone meanwhile."""
        cluster, spec = self.cluster, job.spec
        fitting = self._fitting(job, roomy)
        got = 0
        if job.kind is Kind.ARRAY and not (spec.spread or spec.one_zone):
            # What makes one machine better than another changes only on the machine taken, and for the
            # better (fuller, with the image): so one ordering serves the whole array.
            fitting.sort(key=lambda m: self._merit(job, m, None))
            for machine in fitting:
                while got < limit and machine.fits(spec):
                    cluster.claim(job, machine, now)
                    got += 1
                if got >= limit:
                    break
            return got, None
        while got < limit:
            fitting = [m for m in fitting if m.fits(spec) and machine_allowed(job, m)]
            if not fitting:
                break
            within = self._start_within(job)
            machine = min(fitting, key=lambda m: self._merit(job, m, within))
            if job.kind is Kind.SERVICE and self._make_warm_room(job, machine, usable, now):
                return got, machine
            cluster.claim(job, machine, now)
            got += 1
        return got, None

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

    def _fitting(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """The machines that may take a task of the job now."""
        spec = job.spec
        # Replicas stay for long, and arrays follow one another: either way the machines would be kept from
        # those who need the GPUs, or kept at their price for work that any machine can do.
        no_gpus = self._elsewhere(job)
        on_spot = self.cluster.takes_free_spot(job)
        # Idle work fills owned room beside replicas; an owned machine of its own would be kept for it, at two to
        # three times the price of the spot room that it may use.
        beside = job.rank == IDLE_RANK and spec.spot and not spec.gpus and job.tier == SPOT
        errors = job.error_machines if len(machines) > len(job.error_machines) else ()
        return [
            m for m in machines
            if m.fits(spec) and (on_spot or not m.spot) and machine_allowed(job, m)
            and not (no_gpus and m.type.gpus > 0 and not self.cluster.fills(job, m, self.cluster.now))
            and not (beside and not m.spot and m.steady_cpus <= 0)
            and m.name not in errors
        ]

    def _merit(self, job: Job, machine: Machine, within: int | None) -> tuple[float, ...]:
        """Free owned room first; the smaller the better."""
        spec = job.spec
        service = job.kind is Kind.SERVICE
        return (
            machine.spot,
            machine.slow > 1.6 and machine.slow_count > 1,
            machine.type.gpus if spec.gpus == 0 else 0,
            within is not None and self._fetch(spec, machine) > within,
            # A machine full of replicas can't take over a lost mate of theirs, which would need no fetch there:
            # room for one more is left to work that can be stopped for it, where there is such work.
            service and self._crowded and spec.tasks >= self.cluster.tuning.mate_room_tasks
            and machine.type.cpus - machine.steady_cpus < 2 * spec.cpus - 1e-9,
            spec.image not in machine.images,
            job.zones.get(machine.zone, 0) if service else 0,
            # Otherwise replicas together, and the rest away from them: machines without replicas can be
            # returned, and those with them, where the images are, have room for more.
            -machine.steady_cpus if service else machine.steady_cpus,
            machine.free_cpus,  # the fullest first
        )

    def _start_within(self, job: Job) -> int | None:
        """How soon the next task should run; a lost replica is missed at once."""
        index = job.next_pending()
        if job.kind is Kind.SERVICE and index is not None and index in job.tasks and job.tasks[index].attempt > 0:
            return SECOND
        return self.cluster.start_aims.get(job.spec.job_class)

    @staticmethod
    def _fetch(spec: wire.Submission, machine: Machine) -> int:
        """How long until a machine has the image."""
        if spec.image in machine.images:
            return 0
        return micros(spec.image_gb / max(machine.type.fetch_gb_per_s, 0.01))

    def _elsewhere(self, job: Job) -> bool:
        """It needs no GPUs, and could run on a type without any."""
        return job.spec.gpus == 0 and any(kind.gpus == 0 for kind in self.cluster.suited(job))

    def _place_gang(self, job: Job, usable: list[Machine], now: int) -> int:
        """All tasks or none, in one commit; only when nothing of an earlier attempt is left anywhere."""
        spec = job.spec
        if job.on_machines or job.pending + len(job.done) < spec.tasks:
            return 0
        use = self.cluster.teams.get(spec.team)
        need = job.pending
        if use is None or use.room(spec) < need:
            return 0
        zones = {m.zone for m in usable} if spec.one_zone else {None}
        best: list[Machine] | None = None
        best_cost = 0.0
        for zone in sorted(zones, key=str):
            chosen = self._gang_room(job, [m for m in usable if zone in (None, m.zone)], need)
            if chosen is None:
                continue
            cost = sum((spec.image not in m.images) * 10 + (m.slow > 1.6) * 20 + m.spot for m in chosen) / need
            if best is None or cost < best_cost:
                best, best_cost = chosen, cost
        if best is None:
            return 0
        job.gang_attempt = max([job.gang_attempt, *(t.attempt for t in job.tasks.values())]) + 1
        for machine in best:
            self.cluster.claim(job, machine, now, attempt=job.gang_attempt)
        return need

    def _gang_waits_for(self, job: Job, roomy: list[Machine], booting: list[Machine]) -> set[Machine]:
        """Free machines that a gang will have as soon as the ones that boot in the same zone are up.

        Without this, smaller jobs take them one by one, and a gang of several machines starts never.
        """
        spec = job.spec
        best: set[Machine] = set()
        most = 0
        for zone in sorted({m.zone for m in roomy}) if spec.one_zone else [None]:
            free = [m for m in self._fitting(job, roomy) if zone in (None, m.zone)]
            coming = [m for m in booting if zone in (None, m.zone) and m.holds(spec) and machine_allowed(job, m)]
            there = sum(m.room(spec) for m in free)
            if there > most and there + sum(m.room(spec) for m in coming) >= job.pending:
                best, most = set(free), there
        if not best:
            return set()
        held: set[Machine] = set()
        need = job.pending
        for machine in sorted(best, key=lambda m: (m.spot, m.name)):
            if need > 0:
                held.add(machine)
                need -= machine.room(spec)
        for machine in booting:  # spoken for: no later gang counts on them
            if need > 0 and machine.holds(spec) and (not spec.one_zone or machine.zone in {m.zone for m in held}):
                need -= machine.room(spec)
                booting.remove(machine)
                break
        return held

    def _gang_room(self, job: Job, machines: list[Machine], need: int) -> list[Machine] | None:
        spec = job.spec
        chosen: list[Machine] = []
        per_zone: dict[str, int] = {}
        on_spot = self.cluster.takes_free_spot(job)
        ordered = sorted(
            (m for m in machines
             if m.fits(spec) and machine_allowed(job, m) and (on_spot or not m.spot)),
            key=lambda m: (m.slow > 1.6 and m.slow_count > 1, spec.image not in m.images, m.spot, m.free_cpus),
        )
        for machine in ordered:
            count = min(machine.room(spec), need - len(chosen))
            if spec.spread:
                count = min(count, zone_cap(spec) - per_zone.get(machine.zone, 0))
            if count > 0:
                per_zone[machine.zone] = per_zone.get(machine.zone, 0) + count
                chosen += [machine] * count
            if len(chosen) == need:
                return chosen
        return None

    # --- preemption -------------------------------------------------------------------------

    def preempt(self, job: Job, usable: list[Machine], now: int, *, pause: int = VAIN_PAUSE) -> None:
        """Make room for a job of higher priority, or for a team that lacks its guarantee.

        A search in vain is not repeated for `pause`: it looks at every task of every machine.
        """
        if job.preempt_after > now or job.suspect:
            return
        # Idle work gives way at once; of others a few are stopped at a time.
        idle = self.cluster.rank_tasks[IDLE_RANK] > 0 and not self._for_guarantee(job, now)
        wanted = 1 if job.kind is Kind.GANG else min(job.pending, 64 if idle else 8)
        found = self._cheapest_victims(job, usable, wanted, now)
        only_idle = all(victim.job.rank == IDLE_RANK for victim in found)
        job.preempt_after = now + (pause if not found else IDLE_PAUSE if only_idle else PREEMPT_PAUSE)
        for victim in found:
            grace = victim.job.spec.save_s + 1.0 if victim.job.spec.checkpoint_s > 0 else 0.0
            mates = victim.job.tasks.values() if victim.job.kind is Kind.GANG else (victim,)
            for mate in list(mates):
                if mate.phase is Phase.PLACED:
                    self.cluster.stop(mate, grace)

    def _make_quota(self, job: Job, now: int) -> None:
        """Its team is at its limit: stop the team's own work of lower priority, the youngest first.

        A service once waited 60 s for its team's own arrays.
        """
        spec = job.spec
        if job.preempt_after > now or job.suspect:
            return
        cpus = spec.cpus * job.pending
        gpus = spec.gpus * job.pending
        use = self.cluster.teams[spec.team]
        cpus -= max(use.limits.cpus_max - use.cpus, 0.0) if use.limits.cpus_max > 0 else cpus
        gpus -= max(use.limits.gpus_max - use.gpus, 0.0) if use.limits.gpus_max > 0 else gpus
        lower = [
            task for other in self.cluster.jobs.values()
            if other.spec.team == spec.team and other.rank > job.rank and other.kind is Kind.ARRAY
            for task in other.tasks.values() if task.phase is Phase.PLACED
        ]
        # What is being stopped already frees some.
        cpus -= sum(t.job.spec.cpus for t in lower if t.stopping is not None)
        gpus -= sum(t.job.spec.gpus for t in lower if t.stopping is not None)
        job.preempt_after = now + VAIN_PAUSE
        for task in sorted(lower, key=lambda t: (-t.job.rank, now - (t.running_since or now), t.name)):
            other = task.job.spec
            if task.stopping is None and ((cpus > 1e-9 and other.cpus > 0) or (gpus > 1e-9 and other.gpus > 0)):
                cpus, gpus = cpus - other.cpus, gpus - other.gpus
                self.cluster.stop(task, other.save_s + 1.0 if other.checkpoint_s > 0 else 0.0)

    def _for_guarantee(self, job: Job, now: int) -> bool:
        """May it stop other teams' work of its own priority? Only after a moment: room may just come free."""
        return (
            job.guaranteed and bool(job.hungry_since)
            and now - job.hungry_since > self.cluster.tuning.us("guarantee_patience_s")
        )

    def _victims(self, job: Job, machine: Machine, for_guarantee: bool) -> Iterator[Task]:
        teams = self.cluster.teams
        for task in machine.tasks:
            other = task.job
            if task.phase is not Phase.PLACED or task.stopping is not None or other is job:
                continue
            if other.rank > job.rank:
                yield task
            elif for_guarantee and other.rank == job.rank and other.spec.team != job.spec.team:
                theirs = teams.get(other.spec.team)
                if theirs is not None and theirs.beyond_guarantee() and not other.guaranteed \
                        and other.kind is not Kind.SERVICE:
                    yield task

    def _cheapest_victims(self, job: Job, usable: list[Machine], wanted: int, now: int) -> list[Task]:
        """Whom to stop so that up to `wanted` tasks find room: the least loss first."""
        spec = job.spec
        for_guarantee = self._for_guarantee(job, now)
        lowest = job.rank if for_guarantee else job.rank + 1
        if not any(self.cluster.rank_tasks[lowest:]):
            return []
        on_spot = self.cluster.takes_free_spot(job)
        no_gpus = self._elsewhere(job)
        choices: list[tuple[int, int, Machine, list[Task]]] = []
        for machine in usable:
            self.looked_at += 1
            if sum(machine.rank_cpus[lowest:]) + machine.free_cpus + 1e-9 < spec.cpus:
                continue
            if (machine.spot and not on_spot) or (machine.type.gpus > 0 and no_gpus):
                continue
            if not machine.holds(spec) or not machine_allowed(job, machine):
                continue
            leaving = [task for task in machine.tasks if task.stopping is not None]
            if leaving and job.kind is not Kind.GANG:
                # They may take seconds to save: for that room nobody else is stopped, here or elsewhere.
                wanted -= machine.room_without(leaving, spec)
            chosen = self._victims_on(machine, job, for_guarantee, now)
            if chosen:
                # Whoever may preempt is missed while it fetches: that weighs more than the work that is lost.
                loss = 4 * self._fetch(spec, machine)
                loss += sum(now - task.running_since for task in chosen if task.running_since)
                choices.append((loss, len(choices), machine, chosen))
        if wanted <= 0:
            return []
        choices.sort(key=lambda choice: choice[:2])
        if job.kind is Kind.GANG:
            return self._whole_gang(job, usable, [(machine, chosen) for _, _, machine, chosen in choices])
        victims: list[Task] = []
        zones = dict(job.zones)
        for _, _, machine, chosen in choices:
            # One large task makes room for several small ones.
            got = min(machine.room_without(chosen, spec), wanted)
            if spec.spread:
                got = min(got, zone_cap(spec) - zones.get(machine.zone, 0))
            if got > 0:
                zones[machine.zone] = zones.get(machine.zone, 0) + got
                wanted -= got
                victims += chosen
            if wanted <= 0:
                break
        return victims

    def _whole_gang(self, job: Job, usable: list[Machine], choices: list[tuple[Machine, list[Task]]]) -> list[Task]:
        """Victims that let a whole gang start; none if only a part of it would find room."""
        spec = job.spec
        for zone in sorted({machine.zone for machine, _ in choices}) if spec.one_zone else [None]:
            there = [m for m in usable if zone in (None, m.zone)]
            need = job.pending - sum(m.room(spec) for m in self._fitting(job, there))
            victims: list[Task] = []
            for machine, chosen in choices:
                if need > 0 and zone in (None, machine.zone):
                    need -= machine.room_without(chosen, spec) - machine.room(spec)
                    victims += chosen
            if need <= 0:
                return victims
        return []

    def _victims_on(self, machine: Machine, job: Job, for_guarantee: bool, now: int) -> list[Task]:
        """The youngest tasks of a machine that make room for one of the job's; none if that is not possible."""
        spec = job.spec
        free = [machine.free_cpus, machine.free_gpus, machine.free_memory]
        stopping = False
        # Room that stops already sent will free counts as free; nobody else is stopped for it.
        for task in machine.tasks:
            if task.stopping is not None:
                other = task.job.spec
                free = [free[0] + other.cpus, free[1] + other.gpus, free[2] + other.memory_gb]
                stopping = True

        def enough() -> bool:
            return (free[0] + 1e-9 >= spec.cpus and free[1] + 1e-9 >= spec.gpus
                    and free[2] + 1e-9 >= spec.memory_gb)

        if stopping and job.kind is not Kind.GANG and enough():
            return []
        chosen: list[Task] = []
        victims = self._victims(job, machine, for_guarantee)
        for task in sorted(victims, key=lambda t: now - (t.running_since or now)):
            if enough():
                break
            other = task.job.spec
            free = [free[0] + other.cpus, free[1] + other.gpus, free[2] + other.memory_gb]
            chosen.append(task)
        return chosen if enough() else []
