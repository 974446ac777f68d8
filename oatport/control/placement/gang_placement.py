"""Gang scheduling: all tasks of a gang are bound at once, or none."""

from __future__ import annotations

from oatport.control.placement.feasibility import FeasibilityFilter, machine_allowed
from oatport.control.placement.scoring import SLOWDOWN_MAX
from oatport.control.state.capacity import max_tasks_per_zone
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job
from oatport.control.state.machine import Machine

# Costs of a gang's machine that zones are compared by; a spot machine counts 1.
IMAGE_FETCH_COST = 10
SLOW_MACHINE_COST = 20


class GangPlacer:
    """Places whole gangs, and keeps free machines for one that will be whole as soon as others have booted."""

    def __init__(self, cluster: ClusterState, feasibility: FeasibilityFilter) -> None:
        self._cluster = cluster
        self._feasibility = feasibility
        self._booting: list[Machine] | None = None  # in this pass, less those that a gang counts on

    def start_pass(self) -> None:
        """Look at booting machines anew, once a gang asks for them."""
        self._booting = None

    def place(self, job: Job, machines: list[Machine], now: int) -> list[Machine]:
        """Bind all tasks, in one commit; returns each task's machine, none if the gang can't be whole.

        Only when nothing of an earlier attempt is left anywhere.
        """
        if job.placed_task_count or job.pending + len(job.completed) < job.spec.task_count:
            return []
        if self._cluster.quotas.remaining_tasks(job.spec) < job.pending:
            return []
        chosen = self._cheapest_zone(job, machines)
        if chosen:
            job.gang_attempt = max([job.gang_attempt, *(t.attempt for t in job.tasks.values())]) + 1
        for machine in chosen:
            self._cluster.tasks.begin_binding(job, machine, now, attempt=job.gang_attempt)
        return chosen

    def _cheapest_zone(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """A machine for each task, where the gang starts soonest; empty if it can't be whole anywhere."""
        spec, needed = job.spec, job.pending
        zones = {m.zone for m in machines} if spec.single_zone else {None}
        best: list[Machine] = []
        best_cost = 0.0
        for zone in sorted(zones, key=str):
            chosen = self._whole_gang(job, [m for m in machines if zone in (None, m.zone)], needed)
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

    def _whole_gang(self, job: Job, machines: list[Machine], needed: int) -> list[Machine]:
        """A machine for each task, those with several slots repeated; empty if there aren't enough."""
        spec = job.spec
        chosen: list[Machine] = []
        tasks_by_zone: dict[str, int] = {}
        for machine in self._by_preference(job, machines):
            count = min(machine.free_slots(spec), needed - len(chosen))
            if spec.spread:
                count = min(count, max_tasks_per_zone(spec) - tasks_by_zone.get(machine.zone, 0))
            if count > 0:
                tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + count
                chosen += [machine] * count
            if len(chosen) == needed:
                return chosen
        return []

    def _by_preference(self, job: Job, machines: list[Machine]) -> list[Machine]:
        spec = job.spec
        may_use_spot = self._cluster.may_use_free_spot(job)
        return sorted(
            (
                m
                for m in machines
                if m.has_capacity_for(spec) and machine_allowed(job, m) and (may_use_spot or not m.spot)
            ),
            key=lambda m: (
                m.slowdown > SLOWDOWN_MAX and m.slowdown_samples > 1,
                spec.image not in m.images,
                m.spot,
                m.free_cpus,
            ),
        )

    def machines_to_keep(self, job: Job, machines: list[Machine], now: int) -> set[Machine]:
        """Free machines that a gang will have as soon as the ones that boot in the same zone are up.

        Without this, smaller jobs take them one by one, and a gang of several machines starts never.
        """
        if self._booting is None:
            token = self._cluster.fencing_token
            self._booting = [m for m in self._cluster.machines.values() if m.is_incoming(now, token)]
        free = self._free_where_it_will_be_whole(job, machines, self._booting)
        if not free:
            return set()
        kept: set[Machine] = set()
        missing = job.pending
        for machine in sorted(free, key=lambda m: (m.spot, m.name)):
            if missing > 0:
                kept.add(machine)
                missing -= machine.free_slots(job.spec)
        self._count_on_booting(job, missing, {m.zone for m in kept}, self._booting)
        return kept

    def _free_where_it_will_be_whole(self, job: Job, machines: list[Machine], booting: list[Machine]) -> set[Machine]:
        """Feasible machines where most slots are free and booting ones have the others; empty if nowhere."""
        spec = job.spec
        best: set[Machine] = set()
        most_slots = 0
        for zone in sorted({m.zone for m in machines}) if spec.single_zone else [None]:
            free = [m for m in self._feasibility.feasible_machines(job, machines) if zone in (None, m.zone)]
            incoming = [
                m for m in booting if zone in (None, m.zone) and m.can_hold_when_empty(spec) and machine_allowed(job, m)
            ]
            slots = sum(m.free_slots(spec) for m in free)
            if slots > most_slots and slots + sum(m.free_slots(spec) for m in incoming) >= job.pending:
                best, most_slots = set(free), slots
        return best

    @staticmethod
    def _count_on_booting(job: Job, missing: int, zones: set[str], booting: list[Machine]) -> None:
        """One booting machine is counted on for the gang: no later gang counts on it."""
        if missing <= 0:
            return
        for machine in booting:
            if machine.can_hold_when_empty(job.spec) and (not job.spec.single_zone or machine.zone in zones):
                booting.remove(machine)
                return
