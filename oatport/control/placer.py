"""Where waiting tasks go: constraints, quota, image locality, preemption and whole gangs."""

from __future__ import annotations

from collections.abc import Iterator

from oatport.control.cluster import Cluster
from oatport.control.fleet import Fleet
from oatport.control.model import Job, Kind, Machine, Phase, Task, allowed_types, zone_cap
from oatport.control.router import OWNED, SPOT
from oatport.times import SECOND, micros

PREEMPT_PAUSE = 4 * SECOND
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
        self._start_aims = {
            aim.job_class: micros(aim.within_s) for aim in cluster.settings.objectives if aim.kind == "wait"
        }

    def order(self, now: int, wall: int) -> list[Job]:
        """Waiting jobs: by priority, then a team's guarantee, then by how soon the deadline presses.

        Of the same priority, those that can't meet their deadline any more come last: ahead of the
        others they would only make those late too.
        """
        cluster = self.cluster

        def rank(job: Job) -> tuple[int, int, bool, int]:
            use = cluster.teams.get(job.spec.team)
            within = 0 if use and use.within_guarantee(job.spec) else 1
            deadline = job.deadline or job.submitted_at + 600 * SECOND
            late = wall + cluster.predictor.run_time(job.ref, job.spec) > deadline
            return job.rank, within, late, deadline

        return sorted((j for j in cluster.waiting if j.not_before <= now and not j.strays), key=rank)

    def plan(self, now: int, wall: int) -> int:
        """Claim machines for as many waiting tasks as possible; the number claimed."""
        cluster = self.cluster
        cluster.replan = False
        usable = [m for m in cluster.machines.values() if m.usable(cluster.token, now, cluster.fresh_us)]
        cluster.usable_now = usable
        claimed = 0
        full: set[tuple[object, ...]] = set()  # shapes that found no room in this pass
        for job in self.order(now, wall):
            spec = job.spec
            use = cluster.teams.get(spec.team)
            limit = min(job.pending, use.room(spec) if use else 0)
            if limit <= 0:
                continue
            job.hungry_since = job.hungry_since or now
            if job.kind is Kind.GANG:
                got = self._place_gang(job, usable, now)
                if not got and not job.on_machines:
                    self.preempt(job, usable, now)
                claimed += got
                continue
            shape = (spec.cpus, spec.gpus, spec.memory_gb, spec.spot, job.tier,
                     spec.zone, tuple(spec.types) if spec.types else None, job.rank)
            plain = not (spec.spread or spec.one_zone)
            if plain and shape in full:
                continue
            got = 0
            waits_warm = False
            while got < limit:
                machine = self.best(job, usable)
                if machine is None:
                    if plain:
                        full.add(shape)
                    break
                if job.kind is Kind.SERVICE and self._make_warm_room(job, machine, usable, now):
                    # Nobody else takes the room it falls back on, which may have been made for it.
                    usable = [m for m in usable if m is not machine]
                    waits_warm = True
                    break
                cluster.claim(job, machine, now)
                got += 1
            claimed += got
            if got < limit and not waits_warm:
                self.preempt(job, usable, now)
        return claimed

    def _make_warm_room(self, job: Job, machine: Machine, usable: list[Machine], now: int) -> bool:
        """Rather than fetch an image for longer than the class may wait, stop lower work where the image is.

        True while the room is being made; a moment later the replica takes it, or what else is free.
        """
        spec = job.spec
        if spec.image in machine.images:
            return False
        # The rate is give or take a third, and a moment goes to placing.
        fetch = micros(spec.image_gb / max(machine.type.fetch_gb_per_s, 0.01)) * 4 // 3 + SECOND
        index = job.next_pending()
        replaces = index is not None and index in job.tasks and job.tasks[index].attempt > 0
        within = SECOND if replaces else self._start_aims.get(spec.job_class)  # a lost replica is missed at once
        if within is None or fetch <= within:
            return False
        if job.preempt_after <= now:
            warm = [m for m in usable if m.images.get(spec.image, now) < now - WARM_AFTER]
            self.preempt(job, warm, now)
        return job.preempt_after - now > PREEMPT_PAUSE - WARM_WAIT

    def best(self, job: Job, usable: list[Machine]) -> Machine | None:
        """Free owned room first; then spot for those routed there."""
        spec = job.spec
        service = job.kind is Kind.SERVICE
        best: Machine | None = None
        best_key: tuple[float, ...] = ()
        for machine in usable:
            if not machine.fits(spec) or not machine_allowed(job, machine):
                continue
            if machine.spot and job.tier not in (SPOT, ""):
                continue
            if service and spec.gpus == 0 and machine.type.gpus > 0 and self._elsewhere(job):
                continue  # a replica stays for long, and would keep whole machines from those who need the GPUs
            if machine.name in job.error_machines and len(usable) > len(job.error_machines):
                continue
            key = (
                machine.spot,
                machine.slow > 1.6 and machine.slow_count > 1,
                machine.type.gpus if spec.gpus == 0 else 0,
                spec.image not in machine.images,
                job.zones.get(machine.zone, 0) if service else 0,
                # Replicas together, and the rest away from them: machines without replicas can be returned,
                # and those with them, where the images are, have room for more.
                -machine.steady_cpus if service else machine.steady_cpus,
                machine.free_cpus,  # the fullest first
            )
            if best is None or key < best_key:
                best, best_key = machine, key
        return best

    def _elsewhere(self, job: Job) -> bool:
        """The job could run on a type without GPUs."""
        return any(kind.gpus == 0 for kind in allowed_types(job.spec, self.cluster.types))

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

    def _gang_room(self, job: Job, machines: list[Machine], need: int) -> list[Machine] | None:
        spec = job.spec
        chosen: list[Machine] = []
        per_zone: dict[str, int] = {}
        ordered = sorted(
            (m for m in machines
             if m.fits(spec) and machine_allowed(job, m) and not (m.spot and job.tier not in (SPOT, ""))),
            key=lambda m: (m.slow > 1.6 and m.slow_count > 1, spec.image not in m.images, m.spot, m.free_cpus),
        )
        for machine in ordered:
            count = int((machine.free_cpus + 1e-9) // spec.cpus)
            if spec.gpus > 0:
                count = min(count, int((machine.free_gpus + 1e-9) // spec.gpus))
            if spec.memory_gb > 0:
                count = min(count, int((machine.free_memory + 1e-9) // spec.memory_gb))
            count = min(count, need - len(chosen))
            if spec.spread:
                count = min(count, zone_cap(spec) - per_zone.get(machine.zone, 0))
            if count > 0:
                per_zone[machine.zone] = per_zone.get(machine.zone, 0) + count
                chosen += [machine] * count
            if len(chosen) == need:
                return chosen
        return None

    # --- preemption -------------------------------------------------------------------------

    def preempt(self, job: Job, usable: list[Machine], now: int) -> None:
        """Make room for a job of higher priority, or for a team that lacks its guarantee."""
        if job.preempt_after > now:
            return
        wanted = 1 if job.kind is Kind.GANG else min(job.pending, 8)
        for _ in range(wanted):
            found = self._cheapest_victims(job, usable, now)
            if found is None:
                return
            job.preempt_after = now + PREEMPT_PAUSE
            for victim in found:
                grace = victim.job.spec.save_s + 1.0 if victim.job.spec.checkpoint_s > 0 else 0.0
                mates = victim.job.tasks.values() if victim.job.kind is Kind.GANG else (victim,)
                for mate in list(mates):
                    if mate.phase is Phase.PLACED:
                        self.cluster.stop(mate, grace)

    def _victims(self, job: Job, machine: Machine, now: int) -> Iterator[Task]:
        teams = self.cluster.teams
        use = teams.get(job.spec.team)
        # Another team's work of the same priority is only stopped for a job that has waited longer than
        # a rented machine takes: stopped work without checkpoints is lost, and the guarantee is mostly
        # met sooner by room that comes free or is on its way.
        patient = self.cluster.tuning.us("guarantee_patience_s")
        in_guarantee = (
            use is not None and use.within_guarantee(job.spec) and bool(job.hungry_since)
            and now - job.hungry_since > patient
        )
        for task in machine.tasks:
            other = task.job
            if task.phase is not Phase.PLACED or task.stopping is not None or other is job:
                continue
            if other.rank > job.rank:
                yield task
            elif in_guarantee and other.rank == job.rank and other.spec.team != job.spec.team:
                theirs = teams.get(other.spec.team)
                if theirs is not None and theirs.beyond_guarantee() and other.kind is not Kind.SERVICE:
                    yield task

    def _cheapest_victims(self, job: Job, usable: list[Machine], now: int) -> list[Task] | None:
        spec = job.spec
        best: list[Task] | None = None
        best_loss = 0
        for machine in usable:
            if not machine_allowed(job, machine) or machine.type.cpus < spec.cpus:
                continue
            if machine.spot and job.tier not in (SPOT, ""):
                continue
            if machine.type.gpus > 0 and spec.gpus == 0 and self._elsewhere(job):
                continue
            free = [machine.free_cpus, machine.free_gpus, machine.free_memory]
            # Room that stops already sent will free counts as free; nobody else is stopped for it.
            for task in machine.tasks:
                if task.stopping is not None:
                    other = task.job.spec
                    free = [free[0] + other.cpus, free[1] + other.gpus, free[2] + other.memory_gb]

            def enough(free: list[float] = free) -> bool:
                return (free[0] + 1e-9 >= spec.cpus and free[1] + 1e-9 >= spec.gpus
                        and free[2] + 1e-9 >= spec.memory_gb)

            if enough():
                if job.kind is not Kind.GANG and any(t.stopping is not None for t in machine.tasks):
                    continue
            chosen: list[Task] = []
            fetch = micros(spec.image_gb / max(machine.type.fetch_gb_per_s, 0.01))
            # Whoever may preempt is missed while it fetches: that weighs more than the work that is lost.
            loss = 0 if spec.image in machine.images else 4 * fetch
            for task in sorted(self._victims(job, machine, now), key=lambda t: now - (t.running_since or now)):
                if enough():
                    break
                other = task.job.spec
                free[0] += other.cpus
                free[1] += other.gpus
                free[2] += other.memory_gb
                chosen.append(task)
                loss += now - task.running_since if task.running_since else 0
            if chosen and enough() and (best is None or loss < best_loss):
                best, best_loss = chosen, loss
        return best


def _work_ahead(cluster: Cluster, order: list[Job], now: int) -> dict[Job, tuple[int, int | None]]:
    """For each waiting job the predicted time until its last task starts: over all machines, and over owned.

    The predicted work ahead of it in the queue, its own included, and the running tasks' remainder,
    spread over the machines' CPUs less those that services hold. None: none is owned.
    """
    predictor = cluster.predictor
    owned = total = 0.0
    left_owned = left_total = 0.0
    for machine in cluster.machines.values():
        if machine.draining or machine.releasing or machine.taken_at:
            continue
        cpus, left = machine.type.cpus, 0.0
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
                left += max(predictor.run_time(task.job.ref, task.job.spec) - ran, 0) * task.job.spec.cpus
        total += cpus
        left_total += left
        if not machine.spot:
            owned += cpus
            left_owned += left
    waits: dict[Job, tuple[int, int | None]] = {}
    for job in order:
        work = predictor.run_time(job.ref, job.spec) * job.spec.cpus * job.pending
        left_total += work
        if job.tier != SPOT:
            left_owned += work
        waits[job] = (
            round(left_total / total) if total > 0 else 600 * SECOND,
            round(left_owned / owned) if owned > 0 else None,
        )
    return waits


def route_waiting(cluster: Cluster, fleet: Fleet, order: list[Job], now: int, wall: int) -> None:
    """Set the tier of every waiting job; a changed tier is recorded with its first chunk."""
    ages = [now - m.rented_at for m in cluster.machines.values() if m.spot and m.up_at]
    cluster.router.learn(ages)
    waits = _work_ahead(cluster, order, now)
    for job in order:
        over_all, over_owned = waits[job]
        tier = cluster.router.route(
            job, wall, over_owned, fleet.open(job, True, now), fleet.open(job, False, now), over_all
        )
        if tier != job.tier:
            job.tier = tier
            cluster.replan = True
            if tier == OWNED or job.lost:
                cluster.dirty.setdefault(f"live/{job.ref}/0000", None)
