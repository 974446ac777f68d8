"""Decides which machines to rent: capacity for the pending tasks of each tier beyond the incoming capacity."""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.control.queueing.tier_router import OWNED
from oatport.control.scaling.capacity_slot import CapacitySlot
from oatport.control.scaling.cloud_availability import CloudAvailability, Offering, ScaleOutRequest
from oatport.control.scaling.demand import Demand
from oatport.control.scaling.gang_scale_out import GangScaleOut
from oatport.control.scaling.incoming_capacity import IncomingCapacity
from oatport.control.scaling.offering_selector import OfferingSelector, equivalence_key
from oatport.control.state.capacity import task_slots_when_empty
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK, Job, JobKind
from oatport.times import MS, SECOND, micros

MACHINES_PER_REQUEST = 50  # PROTOCOL, POST /hosts
MACHINES_PER_PASS = 4 * MACHINES_PER_REQUEST  # limit of one planning pass
PLAN_INTERVAL = 300 * MS
PLAN_INTERVAL_MAX = 4 * SECOND  # applies even if nothing has changed, since work ends and boots become overdue
JOBS_PER_PLAN_INTERVAL = 400  # number of pending jobs above which the interval grows with it
DEFAULT_BOOT_TIME = 30 * SECOND  # used while no machine type is known


@dataclass(slots=True)
class ReleasedCpus:
    """Holds the CPUs that pending array tasks will find without a rental, minus those already assigned to tasks."""

    by_completions: float = 0.0  # of running tasks that end before a rented machine could be up
    by_best_effort: float = 0.0  # of best-effort tasks, which all others may preempt

    def absorb(self, demand: Demand) -> None:
        """Assigns tasks to the CPUs that completions will free, then to those of preemptible best-effort tasks."""
        job, cpus = demand.job, demand.job.spec.cpus
        absorbed = min(demand.remaining, int(self.by_completions // cpus))
        self.by_completions -= absorbed * cpus
        demand.remaining -= absorbed
        if job.priority_rank < IDLE_RANK and demand.spot:
            absorbed = min(demand.remaining, int(self.by_best_effort // cpus))
            self.by_best_effort -= absorbed * cpus
            demand.remaining -= absorbed


@dataclass(slots=True)
class ScaleOutPass:
    """Holds the capacity that one planning pass expects, and the rentals that it has planned so far."""

    now: int
    incoming: IncomingCapacity
    released: ReleasedCpus
    planned: dict[Offering, int] = field(default_factory=dict)  # machines to rent

    def add(self, slot: CapacitySlot) -> None:
        """Adds one machine to the planned rentals."""
        offering = (slot.type.name, slot.zone, slot.spot)
        self.planned[offering] = self.planned.get(offering, 0) + 1


@dataclass(slots=True)
class ScaleOutPlanner:
    """Plans rentals; the caller sends the requests and reports their outcomes to `availability`."""

    cluster: ClusterState
    availability: CloudAvailability
    _selector: OfferingSelector = field(init=False)
    _gang_scale_out: GangScaleOut = field(init=False)
    _planned_at: int = -PLAN_INTERVAL_MAX
    _planned_inputs_version: tuple[object, ...] = ()  # version of the inputs of the last pass

    def __post_init__(self) -> None:
        self._selector = OfferingSelector(self.cluster, self.availability)
        self._gang_scale_out = GangScaleOut(self.cluster, self._selector)

    def interval(self) -> int:
        """Returns the time after which rentals are planned again, if anything has changed meanwhile."""
        by_load = PLAN_INTERVAL * len(self.cluster.pending) // JOBS_PER_PLAN_INTERVAL
        return min(PLAN_INTERVAL_MAX // 2, max(PLAN_INTERVAL, by_load))

    def is_due(self, now: int) -> bool:
        """Returns whether it is time to plan rentals."""
        elapsed = now - self._planned_at
        return elapsed >= PLAN_INTERVAL_MAX or (
            elapsed >= self.interval() and self._inputs_version(now) != self._planned_inputs_version
        )

    def _inputs_version(self, now: int) -> tuple[object, ...]:
        """Returns a value that differs if the inputs of the plan have changed."""
        cluster = self.cluster
        return (
            cluster.pending.version,
            cluster.tasks.binding_changes,
            len(cluster.machines),
            len(self.availability.requests_in_flight),
            self.availability.refused_count(now),
        )

    def plan(self, now: int) -> list[ScaleOutRequest]:
        """Returns the rentals for the pending tasks of each tier beyond the incoming capacity."""
        self._planned_at, self._planned_inputs_version = now, self._inputs_version(now)
        planning_pass = ScaleOutPass(now, self._incoming(now), self._released_cpus(now))
        self._selector.start_pass()
        self._gang_scale_out.start_pass()
        by_urgency = sorted(
            self.cluster.pending, key=lambda j: (j.priority_rank, not j.starving, j.deadline or j.eligible_at)
        )
        for job in by_urgency:
            if sum(planning_pass.planned.values()) >= MACHINES_PER_PASS:
                break
            if job.tier == OWNED or job.retry_at > now or not job.tier or job.suspected_faulty:
                continue
            self._plan_job(job, planning_pass)
        return self._requests(planning_pass.planned)

    def _requests(self, planned: dict[Offering, int]) -> list[ScaleOutRequest]:
        requests = []
        for (type_name, zone, spot), planned_count in planned.items():
            # In a partitioned zone one machine is enough to probe whether the zone is reachable again.
            remaining = 1 if zone in self.cluster.zones.partitioned else planned_count
            while remaining > 0:
                requests.append(ScaleOutRequest(type_name, zone, spot, min(remaining, MACHINES_PER_REQUEST)))
                remaining -= MACHINES_PER_REQUEST
        return requests

    def _incoming(self, now: int) -> IncomingCapacity:
        """Returns the capacity of booting machines and of machines that were requested."""
        cluster = self.cluster
        incoming = IncomingCapacity()
        for machine in cluster.machines.values():
            if machine.zone not in cluster.zones.partitioned and machine.is_incoming(now, cluster.fencing_token):
                incoming.add(CapacitySlot.of(machine.type, machine.zone, machine.spot))
        for request in self.availability.requests_in_flight:
            if request.zone in cluster.zones.partitioned:
                continue
            for _ in range(request.count):
                incoming.add(CapacitySlot.of(cluster.catalog.types[request.type], request.zone, request.spot))
        return incoming

    def _released_cpus(self, now: int) -> ReleasedCpus:
        """Returns the CPUs of best-effort tasks and those that tasks will free before a rented machine could be up."""
        boot_time = min((micros(t.boot_time_s) for t in self.cluster.catalog.types.values()), default=DEFAULT_BOOT_TIME)
        released = ReleasedCpus()
        for machine in self.cluster.usable_machines:
            released.by_best_effort += machine.cpus_by_priority[IDLE_RANK]
            for task in machine.finite_tasks:
                job = task.job
                if job.priority_rank == IDLE_RANK:
                    released.by_best_effort -= job.spec.cpus if job.spec.gpus else 0.0
                    continue
                if not task.running_since or job.spec.gpus:
                    continue
                remaining = self.cluster.predictor.run_time(job.job_id, job.spec) - (now - task.running_since)
                if remaining < boot_time:
                    released.by_completions += job.spec.cpus
        return released

    def _plan_job(self, job: Job, planning_pass: ScaleOutPass) -> None:
        wanted = min(job.pending, self.cluster.quotas.remaining_tasks(job.spec))
        if job.kind is not JobKind.GANG:
            self._plan_tasks(Demand.of_tasks(job, wanted), planning_pass)
        elif wanted == job.pending and not job.placed_task_count:
            for slot in self._gang_scale_out.plan(job, planning_pass.incoming, planning_pass.now):
                planning_pass.add(slot)

    def _plan_tasks(self, demand: Demand, planning_pass: ScaleOutPass) -> None:
        """Plans rentals for tasks that start independently of each other."""
        job = demand.job
        if job.kind is JobKind.ARRAY and not job.spec.gpus:
            planning_pass.released.absorb(demand)
        if demand.remaining <= 0:
            return
        self._use_incoming(demand, planning_pass.incoming)
        self._rent_for(demand, planning_pass)

    def _use_incoming(self, demand: Demand, incoming: IncomingCapacity) -> None:
        spec = demand.job.spec
        preferred_types = self.cluster.catalog.preferred_type_names(demand.job)
        while demand.remaining > 0:
            zones = [demand.only_zone] if demand.only_zone else incoming.zones()
            if spec.spread:
                zones = [zone for zone in zones if not demand.is_zone_full(zone)]
            slot = incoming.first_feasible(spec, demand.spot, preferred_types, zones)
            if slot is None:
                return
            demand.assign(slot.zone, slot.reserve(spec, demand.limit_in(slot.zone)))

    def _rent_for(self, demand: Demand, planning_pass: ScaleOutPass) -> None:
        job = demand.job
        feasible_types = self.cluster.catalog.feasible_types(job)
        slots_max = max((task_slots_when_empty(machine_type, job.spec) for machine_type in feasible_types), default=0)
        equivalence = equivalence_key(job, demand.spot)
        while demand.remaining > 0:
            slot = self._selector.choose_shared(demand, equivalence, slots_max, planning_pass.now)
            if slot is None:
                return
            count = slot.reserve(job.spec, demand.limit_in(slot.zone))
            if count <= 0:
                return
            demand.assign(slot.zone, count)
            planning_pass.incoming.add(slot)
            planning_pass.add(slot)
