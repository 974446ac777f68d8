"""Plans rentals for whole gangs: either all machines that a gang lacks in a zone are rented, or none."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from oatport.control.scaling.capacity_slot import CapacitySlot
from oatport.control.scaling.demand import Demand
from oatport.control.scaling.incoming_capacity import IncomingCapacity
from oatport.control.scaling.offering_selector import OfferingSelector
from oatport.control.state.capacity import task_slots_when_empty
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine


@dataclass(slots=True)
class GangPlan:
    """Holds the slots where a whole gang would run, with its tasks in each, and the slots that must be rented."""

    assignments: list[tuple[CapacitySlot, int]] = field(default_factory=list)
    new_slots: list[CapacitySlot] = field(default_factory=list)


@dataclass(slots=True)
class GangScaleOut:
    """Plans rentals for gangs during one planning pass; `start_pass` begins the next one."""

    cluster: ClusterState
    selector: OfferingSelector
    _free_gpu_slots: list[CapacitySlot] = field(default_factory=list)

    def start_pass(self) -> None:
        """Collects the slots of usable machines with free GPUs.

        These machines are reserved for jobs that need GPUs, so a pending gang may already have part of its capacity.
        """
        self._free_gpu_slots = [
            _gpu_slot(machine)
            for machine in self.cluster.usable_machines
            if machine.free_gpus > 0 and not machine.removed
        ]

    def plan(self, job: Job, incoming: IncomingCapacity, now: int) -> list[CapacitySlot]:
        """Returns the machines to rent for a gang, in the zone that lacks the fewest; empty if it fits in no zone.

        Capacity for the gang is reserved, and the new slots are added to `incoming`.
        """
        best: GangPlan | None = None
        for zone in self._candidate_zones(job):
            plan = self._plan_in(zone, job, incoming, now)
            if plan is not None and (best is None or len(plan.new_slots) < len(best.new_slots)):
                best = plan
        if best is None:
            return []
        for slot, count in best.assignments:
            slot.reserve(job.spec, count)
        for slot in best.new_slots:
            incoming.add(slot)
        return best.new_slots

    def _candidate_zones(self, job: Job) -> list[str] | list[str | None]:
        """Returns the zones to try one by one; None stands for all zones together."""
        if job.spec.zone is not None or not job.spec.single_zone:
            return [job.spec.zone]
        return sorted(
            {zone for machine_type in self.cluster.catalog.feasible_types(job) for zone in machine_type.zones}
        )

    def _plan_in(self, zone: str | None, job: Job, incoming: IncomingCapacity, now: int) -> GangPlan | None:
        demand, plan = Demand.of_gang(job, zone), GangPlan()
        self._use_existing(demand, incoming, plan)
        while demand.remaining > 0:
            slot = self.selector.choose(demand, now)
            if slot is None:
                return None
            count = min(task_slots_when_empty(slot.type, job.spec), demand.limit_in(slot.zone))
            if count <= 0:
                return None
            plan.new_slots.append(slot)
            plan.assignments.append((slot, count))
            demand.assign(slot.zone, count)
        return plan

    def _use_existing(self, demand: Demand, incoming: IncomingCapacity, plan: GangPlan) -> None:
        """Assigns tasks to free GPUs and to incoming machines."""
        spec = demand.job.spec
        for slot in self._existing_slots(demand, incoming):
            if demand.only_zone and slot.zone != demand.only_zone:
                continue
            if spec.machine_types is not None and slot.type.name not in spec.machine_types:
                continue
            count = min(slot.free_slots(spec), demand.limit_in(slot.zone))
            if count > 0:
                plan.assignments.append((slot, count))
                demand.assign(slot.zone, count)

    def _existing_slots(self, demand: Demand, incoming: IncomingCapacity) -> Iterable[CapacitySlot]:
        may_use_free_spot = self.cluster.may_use_free_spot(demand.job)
        free = [slot for slot in self._free_gpu_slots if not slot.spot or may_use_free_spot]
        return [*free, *(slot for slot in incoming if demand.spot or not slot.spot)]


def _gpu_slot(machine: Machine) -> CapacitySlot:
    """Returns a machine's capacity for work that needs its GPUs, including that of array tasks without GPUs.

    Such array tasks are stopped for work that needs the GPUs.
    """
    preemptible = [t.job.spec for t in machine.tasks if t.job.spec.gpus == 0 and t.job.kind is JobKind.ARRAY]
    slot = CapacitySlot.free_on(machine)
    slot.cpus += sum(s.cpus for s in preemptible)
    slot.memory_gb += sum(s.memory_gb for s in preemptible)
    return slot
