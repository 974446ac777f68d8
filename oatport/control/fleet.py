"""Which machines to rent and to return."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass, field

from oatport import wire
from oatport.control.cluster import Cluster
from oatport.control.model import IDLE_RANK, Job, Kind, Machine, Phase, Task, fit_count, room_for, zone_cap
from oatport.control.router import OWNED, SPOT
from oatport.times import SECOND, micros

log = logging.getLogger(__name__)

BATCH_MOST = 50  # machines in one rental (PROTOCOL, POST /hosts)
RELEASE_MOST = 100
DEAR = 2.5
DARK_PAUSE = 20 * SECOND
REFUSED_PAUSE = 20 * SECOND
GRANTED_FOR = 30 * SECOND
MOVES_AT_ONCE = 6
MOVES_TRIED = 4
MOVE_GAP = SECOND // 4  # a replica is gone for that long even where its image is
SETTLED = 40 * SECOND


@dataclass(slots=True)
class Rental:
    type: str
    zone: str
    spot: bool
    count: int


@dataclass(slots=True)
class _Room:
    """Room that is coming: a booting machine, or one about to be rented."""

    type: wire.MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float

    def take(self, spec: wire.Submission, most: int) -> int:
        count = max(0, min(room_for(spec, self.cpus, self.gpus, self.memory), most))
        self.cpus -= count * spec.cpus
        self.gpus -= count * spec.gpus
        self.memory -= count * spec.memory_gb
        return count


@dataclass(slots=True)
class Fleet:
    cluster: Cluster
    refused: dict[tuple[str, str, bool], int] = field(default_factory=dict)  # until when not to ask again
    granted: dict[tuple[str, str, bool], int] = field(default_factory=dict)  # when all that was asked for was rented
    under_way: list[Rental] = field(default_factory=list)  # asked for, not answered
    _free_rooms: list[_Room] = field(default_factory=list)
    _sorts: Counter[tuple[str, str, bool]] = field(default_factory=Counter)  # machines there are

    def refuse(self, rental: Rental, now: int) -> None:
        self.refused[(rental.type, rental.zone, rental.spot)] = now + REFUSED_PAUSE

    def grant(self, rental: Rental, now: int) -> None:
        self.granted[(rental.type, rental.zone, rental.spot)] = now

    def to_be_had(self, machine: Machine, now: int) -> bool:
        """Its like was rented in another zone a moment ago. What was not tried is not known to be there."""
        return any(
            now - self.granted.get((machine.type.name, zone, machine.spot), -GRANTED_FOR) < GRANTED_FOR
            for zone in machine.type.zones if zone not in self.cluster.dark
        )

    def _asked(self, type_name: str, zone: str, spot: bool) -> bool:
        return any((r.type, r.zone, r.spot) == (type_name, zone, spot) for r in self.under_way)

    def open(self, job: Job, spot: bool, now: int) -> bool:
        """Some machine for this job is still to be had of this kind, as far as is known."""
        return any(
            self.refused.get((kind.name, zone, spot), 0) <= now
            for kind in self.cluster.allowed(job)
            for zone in kind.zones
            if job.spec.zone in (None, zone)
        )

    # --- renting ----------------------------------------------------------------------------

    def wanted(self, now: int) -> list[Rental]:
        """Rentals that fit the waiting tasks of each tier, beyond what is coming already."""
        cluster = self.cluster
        coming = self._coming(now)
        freeing = self._freeing(now)
        self._sorts = Counter((m.type.name, m.zone, m.spot) for m in cluster.machines.values())
        # Machines with GPUs are kept for those who need them, so a gang that waits may own a part of its room.
        self._free_rooms = [
            self._gpu_room(m) for m in cluster.usable_now if m.free_gpus > 0 and not m.gone
        ]
        smallest = min((job.spec.cpus for job in cluster.waiting), default=0.0) - 1e-9
        planned: dict[tuple[str, str, bool], int] = {}
        for job in sorted(cluster.waiting, key=lambda j: (j.rank, j.deadline or j.submitted_at)):
            if job.tier == OWNED or job.not_before > now or not job.tier or job.suspect:
                continue
            self._cover(job, coming, freeing, planned, now)
            coming = [room for room in coming if room.cpus >= smallest]
        rentals = []
        for (type_name, zone, spot), count in planned.items():
            if zone in cluster.dark:
                count = 1  # it finds out when the zone can be reached again
            while count > 0:
                rentals.append(Rental(type_name, zone, spot, min(count, BATCH_MOST)))
                count -= BATCH_MOST
        return rentals

    def _coming(self, now: int) -> list[_Room]:
        cluster = self.cluster
        rooms = []
        for machine in cluster.machines.values():
            if machine.zone not in cluster.dark and machine.coming(now, cluster.token):
                rooms.append(self._room(machine.type, machine.zone, machine.spot))
        for rental in self.under_way:
            if rental.zone in cluster.dark:
                continue
            for _ in range(rental.count):
                rooms.append(self._room(cluster.types[rental.type], rental.zone, rental.spot))
        return rooms

    @staticmethod
    def _gpu_room(machine: Machine) -> _Room:
        """What a machine has for work that needs its GPUs: array tasks that need none are stopped for it."""
        fillers = [t.job.spec for t in machine.tasks if t.job.spec.gpus == 0 and t.job.kind is Kind.ARRAY]
        return _Room(
            machine.type, machine.zone, machine.spot, machine.free_cpus + sum(s.cpus for s in fillers),
            machine.free_gpus, machine.free_memory + sum(s.memory_gb for s in fillers),
        )

    @staticmethod
    def _room(kind: wire.MachineType, zone: str, spot: bool) -> _Room:
        return _Room(kind, zone, spot, kind.cpus, kind.gpus, kind.memory_gb)

    def _freeing(self, now: int) -> list[float]:
        """CPUs that running tasks will free before a rented machine could be up, and those that idle work gives up."""
        cluster = self.cluster
        boot = min((micros(t.boot_s) for t in cluster.types.values()), default=30 * SECOND)
        cpus = given_way = 0.0
        for machine in cluster.usable_now:
            for task in machine.tasks:
                job = task.job
                if job.rank == IDLE_RANK and not job.spec.gpus:
                    given_way += job.spec.cpus
                    continue
                if job.kind is Kind.SERVICE or not task.running_since or job.spec.gpus:
                    continue
                left = cluster.predictor.run_time(job.ref, job.spec) - (now - task.running_since)
                if left < boot:
                    cpus += job.spec.cpus
        return [cpus, given_way]

    def _cover(
        self, job: Job, coming: list[_Room], freeing: list[float],
        planned: dict[tuple[str, str, bool], int], now: int,
    ) -> None:
        cluster, spec = self.cluster, job.spec
        use = cluster.teams.get(spec.team)
        left = min(job.pending, use.room(spec) if use else 0)
        if job.kind is Kind.GANG:
            if left == job.pending and not job.on_machines:
                self._cover_gang(job, coming, planned, now)
            return
        zones = dict(job.zones)
        cap = zone_cap(spec)
        only_zone = next(iter(zones)) if spec.one_zone and zones else spec.zone
        spot = job.tier == SPOT
        if job.kind is Kind.ARRAY and not spec.gpus:
            absorbed = min(left, int(freeing[0] // spec.cpus))
            freeing[0] -= absorbed * spec.cpus
            left -= absorbed
            if job.rank < IDLE_RANK and spot:
                absorbed = min(left, int(freeing[1] // spec.cpus))
                freeing[1] -= absorbed * spec.cpus
                left -= absorbed
        suited = {kind.name for kind in cluster.suited(job)}
        for room in coming:
            if left <= 0:
                return
            if (room.spot and not spot) or (only_zone and room.zone != only_zone) or room.type.name not in suited:
                continue
            most = min(left, cap - zones.get(room.zone, 0)) if spec.spread else left
            got = room.take(spec, most)
            if got:
                left -= got
                zones[room.zone] = zones.get(room.zone, 0) + got
                if spec.one_zone:
                    only_zone = room.zone
        while left > 0:
            option = self._option(job, left, zones, cap, only_zone, spot, now)
            if option is None:
                return
            kind, zone = option
            room = self._room(kind, zone, spot)
            most = min(left, cap - zones.get(zone, 0)) if spec.spread else left
            got = room.take(spec, most)
            if got <= 0:
                return
            left -= got
            zones[zone] = zones.get(zone, 0) + got
            if spec.one_zone:
                only_zone = zone
            coming.append(room)
            key = (kind.name, zone, spot)
            planned[key] = planned.get(key, 0) + 1

    def _cover_gang(
        self, job: Job, coming: list[_Room], planned: dict[tuple[str, str, bool], int], now: int
    ) -> None:
        """Machines for a whole gang, in the zone that lacks the fewest; none where it can't be whole."""
        spec, spot = job.spec, job.tier == SPOT
        zones = sorted({zone for kind in self.cluster.allowed(job) for zone in kind.zones})
        if spec.zone is not None:
            zones = [spec.zone]
        best: tuple[int, list[_Room], list[tuple[_Room, int]]] | None = None
        for only_zone in zones if spec.one_zone else [spec.zone]:
            left, per_zone = job.pending, dict[str, int]()
            used: list[tuple[_Room, int]] = []
            new: list[_Room] = []
            free = [room for room in self._free_rooms if not room.spot or self.cluster.takes_free_spot(job)]
            for room in [*free, *(room for room in coming if spot or not room.spot)]:
                if only_zone and room.zone != only_zone:
                    continue
                if spec.types is not None and room.type.name not in spec.types:
                    continue
                most = min(left, zone_cap(spec) - per_zone.get(room.zone, 0))
                got = min(room_for(spec, room.cpus, room.gpus, room.memory), most)
                if got > 0:
                    used.append((room, got))
                    left -= got
                    per_zone[room.zone] = per_zone.get(room.zone, 0) + got
            while left > 0:
                option = self._option(job, left, per_zone, zone_cap(spec), only_zone, spot, now)
                if option is None:
                    break
                room = self._room(*option, spot)
                got = min(fit_count(room.type, spec), left, zone_cap(spec) - per_zone.get(room.zone, 0))
                if got <= 0:
                    break
                new.append(room)
                used.append((room, got))
                left -= got
                per_zone[room.zone] = per_zone.get(room.zone, 0) + got
            if left <= 0 and (best is None or len(new) < best[0]):
                best = (len(new), new, used)
        if best is None:
            return
        _, new, used = best
        for room, got in used:
            room.take(spec, got)
        for room in new:
            coming.append(room)
            key = (room.type.name, room.zone, room.spot)
            planned[key] = planned.get(key, 0) + 1

    def _closed(self, zone: str, now: int) -> bool:
        """A zone that nothing is heard from: after a while one machine at a time is rented there, to find out."""
        since = self.cluster.dark.get(zone)
        if since is None:
            return False
        return (
            now - since < DARK_PAUSE
            or any(rental.zone == zone for rental in self.under_way)
            or any(m.zone == zone for m in self.cluster.machines.values())
        )

    def _option(
        self, job: Job, left: int, zones: dict[str, int], cap: int, only_zone: str | None, spot: bool, now: int
    ) -> tuple[wire.MachineType, str] | None:
        """The type and zone whose room costs least for this many tasks, boot time included."""
        spec = job.spec
        predicted = max(self.cluster.predictor.run_time(job.ref, spec), 10 * SECOND)
        best: tuple[wire.MachineType, str] | None = None
        best_key: tuple[float, float] | None = None
        costs: dict[str, float] = {}
        for kind in self.cluster.allowed(job):
            count = min(fit_count(kind, spec), left)
            # What the machine could hold counts for a part: later work fills the rest.
            useful = count + 0.7 * (fit_count(kind, spec) - count)
            price = kind.spot_price if spot else kind.price
            cost = costs[kind.name] = price * (predicted + micros(kind.boot_s)) / predicted / useful
            for zone in kind.zones:
                if (only_zone and zone != only_zone) or self._closed(zone, now):
                    continue
                if spec.spread and zones.get(zone, 0) >= cap:
                    continue
                if self.refused.get((kind.name, zone, spot), 0) > now or self._asked(kind.name, zone, spot):
                    continue
                # A wave confined to one zone should not take all machines of a sort.
                sort = (kind.name, zone, spot)
                key = (cost, zones.get(zone, 0) if job.kind is Kind.SERVICE else self._sorts[sort])
                if best_key is None or key < best_key:
                    best, best_key = (kind, zone), key
        if best is not None and costs[best[0].name] > DEAR * min(costs.values()):
            return None  # waiting for the right sort of machine is better than, say, GPUs left idle
        return best

    # --- surplus ----------------------------------------------------------------------------

    def mark_surplus(self, now: int) -> bool:
        """Let owned machines run empty whose work free spot room could take.

        Free owned room comes first, so without this an owned machine rented in a rush would be kept
        busy for ever by work that may use spot, while spot machines idle and go back. True if some that were
        surplus are needed again: what waits may have room on them.
        """
        cluster = self.cluster
        before = [m for m in cluster.machines.values() if m.surplus]
        spot_room = sum(m.free_cpus for m in cluster.usable_now if m.spot and m.type.gpus == 0)
        steady_need = self._warm_cpus()
        for job in cluster.waiting:
            if job.spec.gpus > 0 or job.suspect:
                continue  # it has machines of its own sort, or rather no use for any
            use = cluster.teams.get(job.spec.team)
            cpus = min(job.pending, use.room(job.spec) if use else 0, 50) * job.spec.cpus
            if not job.spec.spot or job.tier != SPOT:
                steady_need += cpus
            elif job.rank != IDLE_RANK:
                spot_room -= cpus  # what waits would have it first
        owned = [
            m for m in cluster.machines.values()
            if not m.spot and m.up_at and not m.draining and not m.releasing and m.type.gpus == 0
            and m.zone not in cluster.dark
        ]
        room = 0.0
        loose: list[tuple[float, float, Machine]] = []
        for machine in owned:
            fixed = sum(t.job.spec.cpus for t in machine.tasks if not t.job.spec.spot or t.job.tier != SPOT)
            if fixed:
                if not machine.emptying:
                    room += machine.type.cpus - fixed
                    machine.surplus = False
            else:
                used = sum(t.job.spec.cpus for t in machine.tasks if t.job.rank != IDLE_RANK)
                loose.append((machine.price / machine.type.cpus, -used, machine))
        loose.sort(key=lambda item: item[:2])
        for _, minus_used, machine in loose:
            if room < steady_need:
                room += machine.type.cpus
                machine.surplus = False
            elif spot_room >= max(-minus_used, 0.0) and (machine.tasks or machine.surplus):
                spot_room += minus_used
                machine.surplus = True
            else:
                machine.surplus = False
        return any(not machine.surplus and not machine.gone for machine in before)

    # --- moving replicas together ---------------------------------------------------------------

    def to_move(self, now: int) -> list[Task]:
        """Replicas to stop so that they run elsewhere and their machine can be returned.

        Replicas outlast the rush they were placed in, and would keep many machines for a few tasks each.
        Only while no work wants owned room. Where the image is, a replica is gone for a moment only; what
        is missed by fetching stays a small share of the time that replicas were there.
        """
        cluster = self.cluster
        owned = [m for m in cluster.usable_now if not m.spot and not m.gone]
        if any(not job.suspect and (not job.spec.spot or job.tier != SPOT) for job in cluster.waiting):
            for machine in cluster.machines.values():
                machine.emptying = False
            return []
        emptying = [m for m in cluster.machines.values() if m.emptying and m.tasks and not m.releasing]
        chosen = emptying[0] if emptying else None
        if chosen is None:
            room = self._spare() - self._warm_cpus()
            movable = [
                m for m in owned
                if m.tasks and m.type.cpus <= room and all(self._settled(t, now) for t in m.tasks)
            ]
            # The one that saves most for each replica that has to move.
            movable.sort(key=lambda m: (m.steady_cpus / m.price, m.name))
            for machine in movable[:MOVES_TRIED]:
                missed = self._missed_by_moving(machine, owned)
                if missed is not None and cluster.moved_us + missed <= cluster.replica_us * cluster.tuning.move_share:
                    cluster.moved_us += missed
                    chosen = machine
                    break
        if chosen is None:
            return []
        chosen.emptying = chosen.surplus = True
        return [t for t in chosen.tasks if t.phase is Phase.PLACED and t.stopping is None][:MOVES_AT_ONCE]

    @staticmethod
    def _settled(task: Task, now: int) -> bool:
        """A replica that has run for a while: one that is stopped early counts as never started (PROTOCOL)."""
        return (
            task.job.kind is Kind.SERVICE and task.phase is Phase.PLACED and task.stopping is None
            and task.running_since > 0 and now - task.running_since > SETTLED
        )

    @staticmethod
    def _missed_by_moving(machine: Machine, owned: list[Machine]) -> int | None:
        """How long its replicas would be gone, all in all, while images are fetched; None if not all have room."""
        free = {m.name: (m.free_cpus, m.free_gpus, m.free_memory) for m in owned}
        moved: dict[tuple[str, str], int] = {}
        missed = 0
        for task in machine.tasks:
            job, spec = task.job, task.job.spec
            best: tuple[int, Machine] | None = None
            for other in owned:
                # Within its zone a move changes nothing about the spread.
                there = job.zones.get(other.zone, 0) + moved.get((job.ref, other.zone), 0)
                if (
                    other is machine or other.surplus or other.steady_cpus <= 0
                    or room_for(spec, *free[other.name]) <= 0
                    or (spec.spread and other.zone != machine.zone and there >= zone_cap(spec))
                    or (spec.zone is not None and other.zone != spec.zone)
                    or (spec.one_zone and other.zone != machine.zone)
                    or (spec.types is not None and other.type.name not in spec.types)
                ):
                    continue
                fetch = 0
                if spec.image not in other.images:
                    fetch = micros(spec.image_gb / max(other.type.fetch_gb_per_s, 0.01))
                if best is None or fetch < best[0]:
                    best = (fetch, other)
                if not fetch:
                    break
            if best is None:
                return None
            missed += best[0] + MOVE_GAP
            cpus, gpus, memory = free[best[1].name]
            free[best[1].name] = (cpus - spec.cpus, gpus - spec.gpus, memory - spec.memory_gb)
            if best[1].zone != machine.zone:
                key = (job.ref, best[1].zone)
                moved[key] = moved.get(key, 0) + 1
        return missed

    # --- returning --------------------------------------------------------------------------

    def to_release(self, now: int) -> list[Machine]:
        """Idle, faulty and never-booting machines; nothing is placed on them from here on."""
        cluster, tuning = self.cluster, self.cluster.tuning
        chosen: list[Machine] = []
        spare, warm = self._spare(), self._warm_cpus()
        for machine in cluster.machines.values():
            if machine.releasing:
                chosen.append(machine)  # asked before without an answer
                continue
            if machine.tasks or machine.strays:
                continue
            if not machine.up_at:
                # In a zone that is cut off it may be up and unheard: charged all the same.
                patience = micros(machine.type.boot_s * (2 if machine.zone in cluster.dark else tuning.boot_patience))
                if now - machine.rented_at < patience or (machine.was_up and not machine.listed):
                    continue
            elif machine.draining or machine.emptying or (machine.slow_count >= 3 and machine.slow > 2.5):
                pass
            elif machine.idle_since and now - self._idle_from(machine) > cluster.idle_time(machine):
                if not machine.spot and not machine.taken_at and machine.type.gpus == 0:
                    if spare - machine.type.cpus < warm:
                        continue
                    spare -= machine.type.cpus
            else:
                continue
            machine.releasing = True
            chosen.append(machine)
        return chosen[:RELEASE_MOST]

    @staticmethod
    def _idle_from(machine: Machine) -> int:
        """Array tasks beside the point do not make a machine with GPUs any less idle."""
        return machine.gpus_idle_since if machine.type.gpus > 0 and machine.gpus_idle_since else machine.idle_since

    def _spare(self) -> float:
        """Free owned room that services can use."""
        return sum(m.free_cpus for m in self.cluster.usable_now if not m.spot and m.type.gpus == 0)

    def _warm_cpus(self) -> float:
        """Owned room kept for services to come, so that they start at once."""
        used = sum(
            j.spec.cpus * j.on_machines for j in self.cluster.jobs.values() if j.kind is Kind.SERVICE
        )
        return self.cluster.tuning.warm_share * used

