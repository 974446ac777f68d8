"""Implements gang scheduling: either all tasks of a gang are bound in one commit, or none."""

from __future__ import annotations

from oatport.control.placement.feasibility import FeasibilityFilter, is_machine_allowed
from oatport.control.placement.scoring import SLOWDOWN_MAX
from oatport.control.state.capacity import max_tasks_per_zone
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job
from oatport.control.state.machine import Machine

# Cost terms by which zones are compared, per machine of the gang. A spot machine adds 1.
IMAGE_FETCH_COST = 10
SLOW_MACHINE_COST = 20


class GangPlacer:
    """Places whole gangs, and reserves free machines for a gang that only waits for booting machines."""

    def __init__(self, cluster: ClusterState, feasibility: FeasibilityFilter) -> None:
        self._cluster = cluster
        self._feasibility = feasibility
        # Booting machines of this pass that no gang has claimed; None until the first gang needs them.
        self._booting: list[Machine] | None = None

    def start_pass(self) -> None:
        """Discards the booting machines of the last pass; the first gang that needs them collects them again."""
        self._booting = None

    def place(self, job: Job, machines: list[Machine], now: int) -> list[Machine]:
        """Binds all tasks in one commit; returns each task's machine, or an empty list if not all tasks can be placed.

        A gang is placed only once no task of an earlier attempt is left on any machine.
        """
        if job.placed_task_count or job.pending + len(job.completed) < job.spec.task_count:
            return []
        if self._cluster.quotas.remaining_tasks(job.spec) < job.pending:
            return []
        chosen = self._machines_in_cheapest_zone(job, machines)
        if chosen:
            job.gang_attempt = max([job.gang_attempt, *(t.attempt for t in job.tasks.values())]) + 1
        for machine in chosen:
            self._cluster.tasks.begin_binding(job, machine, now, attempt=job.gang_attempt)
        return chosen

    def _machines_in_cheapest_zone(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """Returns a machine for each task in the zone where the gang starts soonest; empty if it fits in no zone."""
        spec, needed = job.spec, job.pending
        zones = {m.zone for m in machines} if spec.single_zone else {None}
        best: list[Machine] = []
        best_cost = 0.0
        for zone in sorted(zones, key=str):
            chosen = self._machines_for_tasks(job, [m for m in machines if zone in (None, m.zone)], needed)
            if not chosen:
                continue
            cost = (
                sum(
                    (spec.image not in m.images) * IMAGE_FETCH_COST
                    + (m.slowdown > SLOWDOWN_MAX) * SLOW_MACHINE_COST
                    + m.spot
                    for m in chosen
                )
                / needed
            )
            if not best or cost < best_cost:
                best, best_cost = chosen, cost
        return best

    def _machines_for_tasks(self, job: Job, machines: list[Machine], needed: int) -> list[Machine]:
        """Returns a machine for each task, repeated once per slot used; empty if there are too few slots."""
        spec = job.spec
        chosen: list[Machine] = []
        tasks_by_zone: dict[str, int] = {}
        for machine in self._feasible_by_preference(job, machines):
            count = min(machine.free_slots(spec), needed - len(chosen))
            if spec.spread:
                count = min(count, max_tasks_per_zone(spec) - tasks_by_zone.get(machine.zone, 0))
            if count > 0:
                tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + count
                chosen += [machine] * count
            if len(chosen) == needed:
                return chosen
        return []

    def _feasible_by_preference(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """Returns the feasible machines, best first: not slow, image present, owned, least free CPUs."""
        spec = job.spec
        may_use_spot = self._cluster.may_use_free_spot(job)
        return sorted(
            (
                m
                for m in machines
                if m.has_capacity_for(spec) and is_machine_allowed(job, m) and (may_use_spot or not m.spot)
            ),
            key=lambda m: (
                m.slowdown > SLOWDOWN_MAX and m.slowdown_samples > 1,
                spec.image not in m.images,
                m.spot,
                m.free_cpus,
            ),
        )

    def machines_to_reserve(self, job: Job, machines: list[Machine], now: int) -> set[Machine]:
        """Returns the free machines to reserve for a gang that fits once the machines booting in its zone are up.

        Without the reservation smaller jobs take the free machines one by one, and a gang that needs several machines
        starves.
        """
        if self._booting is None:
            token = self._cluster.fencing_token
            self._booting = [m for m in self._cluster.machines.values() if m.is_incoming(now, token)]
        free = self._free_machines_in_best_zone(job, machines, self._booting)
        if not free:
            return set()
        reserved: set[Machine] = set()
        missing = job.pending
        for machine in sorted(free, key=lambda m: (m.spot, m.name)):
            if missing > 0:
                reserved.add(machine)
                missing -= machine.free_slots(job.spec)
        self._claim_booting_machine(job, missing, {m.zone for m in reserved}, self._booting)
        return reserved

    def _free_machines_in_best_zone(self, job: Job, machines: list[Machine], booting: list[Machine]) -> set[Machine]:
        """Returns the feasible machines of the zone with the most free slots whose booting machines have the rest.

        Empty if the gang would fit in no zone.
        """
        spec = job.spec
        best: set[Machine] = set()
        most_slots = 0
        for zone in sorted({m.zone for m in machines}) if spec.single_zone else [None]:
            free = [m for m in self._feasibility.feasible_machines(job, machines) if zone in (None, m.zone)]
            incoming = [
                m
                for m in booting
                if zone in (None, m.zone) and m.can_hold_when_empty(spec) and is_machine_allowed(job, m)
            ]
            slots = sum(m.free_slots(spec) for m in free)
            if slots > most_slots and slots + sum(m.free_slots(spec) for m in incoming) >= job.pending:
                best, most_slots = set(free), slots
        return best

    @staticmethod
    def _claim_booting_machine(job: Job, missing: int, zones: set[str], booting: list[Machine]) -> None:
        """Claims one booting machine for the gang's missing tasks, so that no later gang of the pass counts on it."""
        if missing <= 0:
            return
        for machine in booting:
            if machine.can_hold_when_empty(job.spec) and (not job.spec.single_zone or machine.zone in zones):
                booting.remove(machine)
                return
