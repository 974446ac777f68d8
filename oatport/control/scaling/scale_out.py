"""Which machines to rent: room for what waits in each tier, beyond what is coming already."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from oatport import wire
from oatport.control.queueing.tier_router import OWNED, SPOT
from oatport.control.scaling.incoming_capacity import CapacitySlot, IncomingCapacity
from oatport.control.state.capacity import task_slots_when_empty, zone_cap
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK, Job, JobKind
from oatport.control.state.machine import Machine
from oatport.times import MS, SECOND, micros

BATCH_MOST = 50  # machines in one rental (PROTOCOL, POST /hosts)
PLANNED_MOST = 4 * BATCH_MOST  # machines in one reckoning: more are not asked for before the next
DEAR = 2.5
DARK_PAUSE = 20 * SECOND
REFUSED_PAUSE, REFUSED_MOST = 20 * SECOND, 40 * SECOND
REFUSED_GROWS = 1.25  # what was refused again and again is asked for less often
GRANTED_FOR = 30 * SECOND
RENT_EVERY = 300 * MS
RENT_LATEST = 4 * SECOND  # also when nothing has changed: running work ends, machines are overdue
RENT_AT_ONCE = 400  # waiting jobs beyond which rentals are reckoned at a pace that falls with their number


@dataclass(slots=True)
class ScaleOutRequest:
    type: str
    zone: str
    spot: bool
    count: int


@dataclass(slots=True)
class ScaleOutPlanner:
    cluster: ClusterState
    refused: dict[tuple[str, str, bool], int] = field(default_factory=dict)  # until when not to ask again
    granted: dict[tuple[str, str, bool], int] = field(default_factory=dict)  # when all that was asked for was rented
    under_way: list[ScaleOutRequest] = field(default_factory=list)  # asked for, not answered
    in_vain: dict[tuple[str, str, bool], int] = field(default_factory=dict)  # how often nothing came, in a row
    _free_rooms: list[CapacitySlot] = field(default_factory=list)
    _sorts: Counter[tuple[str, str, bool]] = field(default_factory=Counter)  # machines there are
    # What was found best in this pass: by what a task takes, where it may run and for how long, and how many.
    _found: dict[tuple[object, int], tuple[wire.MachineType, str] | None] = field(default_factory=dict)
    _reckoned_at: int = -RENT_LATEST
    _seen: tuple[object, ...] = ()  # what the last rentals were reckoned by

    def refuse(self, rental: ScaleOutRequest, now: int, *, some: bool = False) -> None:
        """The cloud had none of these, or only `some` of them: it is asked again after a while."""
        sort = (rental.type, rental.zone, rental.spot)
        times = self.in_vain[sort] = 0 if some else self.in_vain.get(sort, -1) + 1
        self.refused[sort] = now + min(REFUSED_MOST, round(REFUSED_PAUSE * REFUSED_GROWS ** min(times, 20)))

    def grant(self, rental: ScaleOutRequest, now: int) -> None:
        sort = (rental.type, rental.zone, rental.spot)
        self.granted[sort] = now
        self.in_vain.pop(sort, None)

    def to_be_had(self, machine: Machine, now: int) -> bool:
        """Its like was rented in another zone a moment ago. What was not tried is not known to be there."""
        return any(
            now - self.granted.get((machine.type.name, zone, machine.spot), -GRANTED_FOR) < GRANTED_FOR
            for zone in machine.type.zones
            if zone not in self.cluster.zones.partitioned
        )

    def _asked(self, type_name: str, zone: str, spot: bool) -> bool:
        return any((r.type, r.zone, r.spot) == (type_name, zone, spot) for r in self.under_way)

    def open(self, job: Job, spot: bool, now: int) -> bool:
        """Some machine for this job is still to be had of this kind, as far as is known."""
        return any(
            self.refused.get((kind.name, zone, spot), 0) <= now
            for kind in self.cluster.catalog.feasible_types(job)
            for zone in kind.zones
            if job.spec.zone in (None, zone)
        )

    # --- renting ----------------------------------------------------------------------------

    def pace(self) -> int:
        """How long until rentals are reckoned again, if something has changed meanwhile."""
        return min(RENT_LATEST // 2, max(RENT_EVERY, RENT_EVERY * len(self.cluster.pending) // RENT_AT_ONCE))

    def due(self, now: int) -> bool:
        """Is it time to reckon rentals?"""
        since = now - self._reckoned_at
        return since >= RENT_LATEST or (since >= self.pace() and self._sight(now) != self._seen)

    def _sight(self, now: int) -> tuple[object, ...]:
        cluster = self.cluster
        closed = sum(until > now for until in self.refused.values())
        return (
            cluster.pending.version,
            cluster.tasks.binding_changes,
            len(cluster.machines),
            len(self.under_way),
            closed,
        )

    def wanted(self, now: int) -> list[ScaleOutRequest]:
        """Rentals that fit the waiting tasks of each tier, beyond what is coming already."""
        cluster = self.cluster
        self._reckoned_at, self._seen = now, self._sight(now)
        coming = self._coming(now)
        freeing = self._freeing(now)
        self._sorts = Counter((m.type.name, m.zone, m.spot) for m in cluster.machines.values())
        self._found.clear()
        # Machines with GPUs are kept for those who need them, so a gang that waits may own a part of its room.
        self._free_rooms = [self._gpu_room(m) for m in cluster.usable_machines if m.free_gpus > 0 and not m.removed]
        planned: dict[tuple[str, str, bool], int] = {}
        for job in sorted(
            cluster.pending, key=lambda j: (j.priority_rank, not j.starving, j.deadline or j.eligible_at)
        ):
            if sum(planned.values()) >= PLANNED_MOST:
                break
            if job.tier == OWNED or job.retry_at > now or not job.tier or job.suspected_faulty:
                continue
            self._cover(job, coming, freeing, planned, now)
        rentals = []
        for (type_name, zone, spot), count in planned.items():
            if zone in cluster.zones.partitioned:
                count = 1  # it finds out when the zone can be reached again
            while count > 0:
                rentals.append(ScaleOutRequest(type_name, zone, spot, min(count, BATCH_MOST)))
                count -= BATCH_MOST
        return rentals

    def _coming(self, now: int) -> IncomingCapacity:
        cluster = self.cluster
        rooms = IncomingCapacity()
        for machine in cluster.machines.values():
            if machine.zone not in cluster.zones.partitioned and machine.coming(now, cluster.token):
                rooms.add(CapacitySlot.of(machine.type, machine.zone, machine.spot))
        for rental in self.under_way:
            if rental.zone in cluster.zones.partitioned:
                continue
            for _ in range(rental.count):
                rooms.add(CapacitySlot.of(cluster.catalog.types[rental.type], rental.zone, rental.spot))
        return rooms

    @staticmethod
    def _gpu_room(machine: Machine) -> CapacitySlot:
        """What a machine has for work that needs its GPUs: array tasks that need none are stopped for it."""
        fillers = [t.job.spec for t in machine.tasks if t.job.spec.gpus == 0 and t.job.kind is JobKind.ARRAY]
        return CapacitySlot(
            machine.type,
            machine.zone,
            machine.spot,
            machine.free_cpus + sum(s.cpus for s in fillers),
            machine.free_gpus,
            machine.free_memory_gb + sum(s.memory_gb for s in fillers),
        )

    def _freeing(self, now: int) -> list[float]:
        """CPUs that running tasks will free before a rented machine could be up, and those that idle work gives up."""
        cluster = self.cluster
        boot = min((micros(t.boot_s) for t in cluster.catalog.types.values()), default=30 * SECOND)
        cpus = given_way = 0.0
        for machine in cluster.usable_machines:
            given_way += machine.cpus_by_priority[IDLE_RANK]
            for task in machine.finite_tasks:
                job = task.job
                if job.priority_rank == IDLE_RANK:
                    given_way -= job.spec.cpus if job.spec.gpus else 0.0
                    continue
                if not task.running_since or job.spec.gpus:
                    continue
                left = cluster.predictor.run_time(job.job_id, job.spec) - (now - task.running_since)
                if left < boot:
                    cpus += job.spec.cpus
        return [cpus, given_way]

    def _cover(
        self,
        job: Job,
        coming: IncomingCapacity,
        freeing: list[float],
        planned: dict[tuple[str, str, bool], int],
        now: int,
    ) -> None:
        cluster, spec = self.cluster, job.spec
        left = min(job.pending, cluster.quotas.room(spec))
        if job.kind is JobKind.GANG:
            if left == job.pending and not job.on_machines:
                self._cover_gang(job, coming, planned, now)
            return
        spot = job.tier == SPOT
        if job.kind is JobKind.ARRAY and not spec.gpus:
            absorbed = min(left, int(freeing[0] // spec.cpus))
            freeing[0] -= absorbed * spec.cpus
            left -= absorbed
            if job.priority_rank < IDLE_RANK and spot:
                absorbed = min(left, int(freeing[1] // spec.cpus))
                freeing[1] -= absorbed * spec.cpus
                left -= absorbed
        if left <= 0:
            return
        zones = dict(job.tasks_by_zone)
        cap = zone_cap(spec)
        only_zone = next(iter(zones)) if spec.one_zone and zones else spec.zone
        suited = cluster.catalog.preferred_type_names(job)
        while left > 0:
            open_zones = [only_zone] if only_zone else coming.zones()
            if spec.spread:
                open_zones = [zone for zone in open_zones if zones.get(zone, 0) < cap]
            room = coming.first(spec, spot, suited, open_zones)
            if room is None:
                break
            got = room.take(spec, min(left, cap - zones.get(room.zone, 0)) if spec.spread else left)
            left -= got
            zones[room.zone] = zones.get(room.zone, 0) + got
            if spec.one_zone:
                only_zone = room.zone
        most_held = max((task_slots_when_empty(kind, spec) for kind in cluster.catalog.feasible_types(job)), default=0)
        sought = (
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.zone,
            tuple(spec.types) if spec.types else None,
            spot,
            job.kind,
            job.runtime_bucket,
        )
        bound = spec.spread or spec.one_zone or job.kind is JobKind.SERVICE
        while left > 0:
            # Many jobs look for the same: neither refusals nor what there is of each sort change within a pass.
            key = (sought, min(left, most_held))
            if bound or key not in self._found:
                self._found[key] = self._option(job, left, zones, cap, only_zone, spot, now)
            option = self._found[key]
            if option is None:
                return
            kind, zone = option
            room = CapacitySlot.of(kind, zone, spot)
            most = min(left, cap - zones.get(zone, 0)) if spec.spread else left
            got = room.take(spec, most)
            if got <= 0:
                return
            left -= got
            zones[zone] = zones.get(zone, 0) + got
            if spec.one_zone:
                only_zone = zone
            coming.add(room)
            sort = (kind.name, zone, spot)
            planned[sort] = planned.get(sort, 0) + 1

    def _cover_gang(
        self, job: Job, coming: IncomingCapacity, planned: dict[tuple[str, str, bool], int], now: int
    ) -> None:
        """Machines for a whole gang, in the zone that lacks the fewest; none where it can't be whole."""
        spec, spot = job.spec, job.tier == SPOT
        zones = sorted({zone for kind in self.cluster.catalog.feasible_types(job) for zone in kind.zones})
        if spec.zone is not None:
            zones = [spec.zone]
        best: tuple[int, list[CapacitySlot], list[tuple[CapacitySlot, int]]] | None = None
        for only_zone in zones if spec.one_zone else [spec.zone]:
            left, per_zone = job.pending, dict[str, int]()
            used: list[tuple[CapacitySlot, int]] = []
            new: list[CapacitySlot] = []
            free = [room for room in self._free_rooms if not room.spot or self.cluster.may_use_free_spot(job)]
            for room in [*free, *(room for room in coming if spot or not room.spot)]:
                if only_zone and room.zone != only_zone:
                    continue
                if spec.types is not None and room.type.name not in spec.types:
                    continue
                most = min(left, zone_cap(spec) - per_zone.get(room.zone, 0))
                got = min(room.holds(spec), most)
                if got > 0:
                    used.append((room, got))
                    left -= got
                    per_zone[room.zone] = per_zone.get(room.zone, 0) + got
            while left > 0:
                option = self._option(job, left, per_zone, zone_cap(spec), only_zone, spot, now)
                if option is None:
                    break
                room = CapacitySlot.of(*option, spot)
                got = min(task_slots_when_empty(room.type, spec), left, zone_cap(spec) - per_zone.get(room.zone, 0))
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
            coming.add(room)
            key = (room.type.name, room.zone, room.spot)
            planned[key] = planned.get(key, 0) + 1

    def _closed(self, zone: str, now: int) -> bool:
        """A zone that nothing is heard from: after a while one machine at a time is rented there, to find out."""
        since = self.cluster.zones.partitioned.get(zone)
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
        predicted = max(self.cluster.predictor.run_time(job.job_id, spec), 10 * SECOND)
        best: tuple[wire.MachineType, str] | None = None
        best_key: tuple[float, float] | None = None
        costs: dict[str, float] = {}
        for kind in self.cluster.catalog.feasible_types(job):
            count = min(task_slots_when_empty(kind, spec), left)
            # What the machine could hold counts for a part: later work fills the rest.
            useful = count + 0.7 * (task_slots_when_empty(kind, spec) - count)
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
                key = (cost, zones.get(zone, 0) if job.kind is JobKind.SERVICE else self._sorts[sort])
                if best_key is None or key < best_key:
                    best, best_key = (kind, zone), key
        if best is not None and costs[best[0].name] > DEAR * min(costs.values()):
            return None  # waiting for the right sort of machine is better than, say, GPUs left idle
        return best
