"""Selects the offering of the cloud that serves pending tasks at the least cost."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from oatport import wire
from oatport.control.scaling.capacity_slot import CapacitySlot
from oatport.control.scaling.cloud_availability import CloudAvailability, Offering
from oatport.control.scaling.demand import Demand
from oatport.control.state.capacity import task_slots_when_empty
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job, JobKind
from oatport.times import SECOND, micros

COST_RATIO_MAX = 2.5  # relative to the cheapest type; a type that costs more is not rented in its place
PARTITION_PROBE_DELAY = 20 * SECOND
RUNTIME_MIN = 10 * SECOND
UNUSED_SLOT_WEIGHT = 0.7  # of a slot that later work is expected to fill, relative to a used one


@dataclass(slots=True)
class OfferingSelector:
    """Picks offerings during one planning pass; `start_pass` begins the next one."""

    cluster: ClusterState
    availability: CloudAvailability
    _machine_counts: Counter[Offering] = field(default_factory=Counter)
    # The choices of this pass, by equivalence class (resources, placement, predicted run time) and number of tasks.
    _choices: dict[tuple[object, int], tuple[wire.MachineType, str] | None] = field(default_factory=dict)

    def start_pass(self) -> None:
        """Discards the choices of the last pass and counts the machines again."""
        self._machine_counts = Counter((m.type.name, m.zone, m.spot) for m in self.cluster.machines.values())
        self._choices.clear()

    def choose_shared(self, demand: Demand, equivalence: object, slots_max: int, now: int) -> CapacitySlot | None:
        """Returns the result of `choose`, with one search for all jobs of an equivalence class.

        The result can be shared because neither refusals nor machine counts change within a pass, and because tasks
        beyond `slots_max`, the capacity of the largest machine, do not affect it. A job whose choice depends on zones
        or on its other tasks gets its own search.
        """
        job = demand.job
        key = (equivalence, min(demand.remaining, slots_max))
        depends_on_zones = job.spec.spread or job.spec.single_zone or job.kind is JobKind.SERVICE
        if depends_on_zones or key not in self._choices:
            self._choices[key] = self._cheapest(demand, now)
        choice = self._choices[key]
        return None if choice is None else CapacitySlot.of(*choice, demand.spot)

    def choose(self, demand: Demand, now: int) -> CapacitySlot | None:
        """Returns an empty machine of the cheapest offering for the remaining tasks; None if none should be rented."""
        choice = self._cheapest(demand, now)
        return None if choice is None else CapacitySlot.of(*choice, demand.spot)

    def _cheapest(self, demand: Demand, now: int) -> tuple[wire.MachineType, str] | None:
        """Returns the type and zone with the least cost, boot time included; None if none should be rented."""
        job, spot = demand.job, demand.spot
        runtime = max(self.cluster.predictor.run_time(job.job_id, job.spec), RUNTIME_MIN)
        best: tuple[wire.MachineType, str] | None = None
        best_key: tuple[float, float] | None = None
        costs: dict[str, float] = {}
        for machine_type in self.cluster.catalog.feasible_types(job):
            cost = costs[machine_type.name] = self._cost_per_task(machine_type, demand, runtime)
            for zone in machine_type.zones:
                if not self._can_rent(demand, machine_type, zone, now):
                    continue
                # Machines are spread over zones, so that a wave of reclamations in one zone does not take all machines
                # of an offering.
                offering = (machine_type.name, zone, spot)
                is_service = job.kind is JobKind.SERVICE
                key = (cost, demand.tasks_by_zone.get(zone, 0) if is_service else self._machine_counts[offering])
                if best_key is None or key < best_key:
                    best, best_key = (machine_type, zone), key
        if best is not None and costs[best[0].name] > COST_RATIO_MAX * min(costs.values()):
            return None  # waiting for a suitable type is better than, for example, renting GPUs that stay idle
        return best

    @staticmethod
    def _cost_per_task(machine_type: wire.MachineType, demand: Demand, runtime: int) -> float:
        slots = task_slots_when_empty(machine_type, demand.job.spec)
        count = min(slots, demand.remaining)
        # Unused slots count in part, because later work is expected to fill them.
        useful = count + UNUSED_SLOT_WEIGHT * (slots - count)
        price = machine_type.spot_price if demand.spot else machine_type.price
        return price * (runtime + micros(machine_type.boot_time_s)) / runtime / useful

    def _can_rent(self, demand: Demand, machine_type: wire.MachineType, zone: str, now: int) -> bool:
        if (demand.only_zone and zone != demand.only_zone) or self._is_unreachable(zone, now):
            return False
        if demand.is_zone_full(zone):
            return False
        offering = (machine_type.name, zone, demand.spot)
        return not self.availability.is_refused(offering, now) and not self.availability.is_requested(offering)

    def _is_unreachable(self, zone: str, now: int) -> bool:
        """Returns whether a zone is partitioned and no machine should be rented there now.

        After `PARTITION_PROBE_DELAY`, one machine at a time is rented there to probe whether the zone is reachable.
        """
        since = self.cluster.zones.partitioned.get(zone)
        if since is None:
            return False
        return (
            now - since < PARTITION_PROBE_DELAY
            or any(request.zone == zone for request in self.availability.requests_in_flight)
            or any(m.zone == zone for m in self.cluster.machines.values())
        )


def equivalence_key(job: Job, spot: bool) -> object:
    """Returns the key of jobs that the same offering serves best, if their zones and other tasks do not matter."""
    spec = job.spec
    return (
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.zone,
        tuple(spec.machine_types) if spec.machine_types else None,
        spot,
        job.kind,
        job.runtime_bucket,
    )
