"""Machines for whole gangs: all that is lacking in one zone, or none."""

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
    """Where a whole gang would run: slots with the number of its tasks in each, and which of them are to be rented."""

    assignments: list[tuple[CapacitySlot, int]] = field(default_factory=list)
    new_slots: list[CapacitySlot] = field(default_factory=list)


@dataclass(slots=True)
class GangScaleOut:
    """Plans rentals for gangs during one planning pass; `start_pass` begins the next one."""

    cluster: ClusterState
    selector: OfferingSelector
    _free_gpu_slots: list[CapacitySlot] = field(default_factory=list)

    def start_pass(self) -> None:
        """Look at the free GPUs anew.

        Machines with GPUs are kept for those who need them, so a gang that is pending may own a part of its capacity.
        """
        self._free_gpu_slots = [
            _gpu_slot(machine)
            for machine in self.cluster.usable_machines
            if machine.free_gpus > 0 and not machine.removed
        ]

    def plan(self, job: Job, incoming: IncomingCapacity, now: int) -> list[CapacitySlot]:
        """Machines to rent for a gang, in the zone that lacks the fewest; empty where it can't be whole.

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
        """Zones to try one by one; None stands for any, or all together."""
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
        """Assign tasks to free GPUs and to machines that are on their way."""
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
    """What a machine has for work that needs its GPUs: array tasks that need none are stopped for it."""
    preemptible = [t.job.spec for t in machine.tasks if t.job.spec.gpus == 0 and t.job.kind is JobKind.ARRAY]
    slot = CapacitySlot.free_on(machine)
    slot.cpus += sum(s.cpus for s in preemptible)
    slot.memory_gb += sum(s.memory_gb for s in preemptible)
    return slot
