"""Moving replicas together, so that the machines that they leave can be returned."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from oatport.control.placement.image_fetch import image_fetch_time
from oatport.control.queueing.tier_router import SPOT
from oatport.control.scaling.capacity_slot import CapacitySlot
from oatport.control.scaling.owned_capacity import free_owned_cpus, warm_cpus
from oatport.control.state.capacity import max_tasks_per_zone
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase
from oatport.times import SECOND

MOVES_AT_ONCE = 6  # replicas
MACHINES_TRIED = 4
MOVE_DOWNTIME = SECOND // 4  # a replica is gone for that long even where its image is
SETTLED_AFTER = 40 * SECOND


@dataclass(slots=True)
class ReplicaRebalancer:
    """Drains one owned machine of replicas at a time while no work wants owned machines."""

    cluster: ClusterState

    def replicas_to_move(self, now: int) -> list[Task]:
        """Replicas to stop so that they run elsewhere and their machine can be returned.

        Replicas outlast the burst that they were placed in, and would keep many machines for a few tasks each. Where
        the image is, a replica is gone for a moment only; what is missed by fetching stays a small share of the time
        that replicas were there.
        """
        if self._owned_machines_are_wanted():
            for machine in self.cluster.machines.values():
                machine.draining_replicas = False
            return []
        machine_to_drain = self._machine_being_drained() or self._choose_machine(now)
        if machine_to_drain is None:
            return []
        machine_to_drain.draining_replicas = machine_to_drain.cordoned_for_scale_in = True
        running = [t for t in machine_to_drain.tasks if t.phase is TaskPhase.BOUND and t.stop_grace_s is None]
        return running[:MOVES_AT_ONCE]

    def _owned_machines_are_wanted(self) -> bool:
        return any(not job.suspected_faulty and (not job.spec.spot or job.tier != SPOT) for job in self.cluster.pending)

    def _machine_being_drained(self) -> Machine | None:
        machines = self.cluster.machines.values()
        return next((m for m in machines if m.draining_replicas and m.tasks and not m.releasing), None)

    def _choose_machine(self, now: int) -> Machine | None:
        """The machine that saves most for each replica that has to move, if its replicas may be gone for so long."""
        cluster = self.cluster
        owned = [m for m in cluster.usable_machines if not m.spot and not m.removed]
        spare_cpus = free_owned_cpus(cluster) - warm_cpus(cluster)
        movable = [
            m
            for m in owned
            if m.tasks and m.type.cpus <= spare_cpus and all(_is_settled_replica(t, now) for t in m.tasks)
        ]
        movable.sort(key=lambda m: (m.service_cpus / m.price, m.name))
        for machine in movable[:MACHINES_TRIED]:
            downtime = MovePlan(machine, owned).downtime()
            if (
                downtime is not None
                and cluster.accounting.replica_downtime_us + downtime
                <= cluster.accounting.replica_bound_us * cluster.tuning.move_share
            ):
                cluster.accounting.replica_downtime_us += downtime
                return machine
        return None


def _is_settled_replica(task: Task, now: int) -> bool:
    """A replica that has run for a while: one that is stopped early counts as never started (PROTOCOL)."""
    return (
        task.job.kind is JobKind.SERVICE
        and task.phase is TaskPhase.BOUND
        and task.stop_grace_s is None
        and task.running_since > 0
        and now - task.running_since > SETTLED_AFTER
    )


class MovePlan:
    """Where the replicas of a machine would go, were it drained."""

    def __init__(self, source: Machine, owned: list[Machine]) -> None:
        self._source = source
        self._owned = owned
        self._targets: dict[str, CapacitySlot] = {}  # what is left of machines that get a replica
        self._moved: Counter[tuple[str, str]] = Counter()  # (job, zone) -> replicas that come from another zone

    def downtime(self) -> int | None:
        """How long its replicas would be gone, all in all, while images are fetched; None if not all have capacity."""
        total = 0
        for task in self._source.tasks:
            target = self._target(task.job)
            if target is None:
                return None
            total += image_fetch_time(task.job.spec, target) + MOVE_DOWNTIME
            self._assign(task.job, target)
        return total

    def _target(self, job: Job) -> Machine | None:
        """The first machine on which the image is there soonest."""
        best: Machine | None = None
        best_fetch = 0
        for machine in self._owned:
            if not self._is_feasible(job, machine):
                continue
            fetch = image_fetch_time(job.spec, machine)
            if best is None or fetch < best_fetch:
                best, best_fetch = machine, fetch
            if not fetch:
                break
        return best

    def _is_feasible(self, job: Job, machine: Machine) -> bool:
        spec = job.spec
        if machine is self._source or machine.cordoned_for_scale_in or machine.service_cpus <= 0:
            return False
        target = self._targets.get(machine.name)
        if (machine.free_slots(spec) if target is None else target.free_slots(spec)) <= 0:
            return False
        if spec.machine_types is not None and machine.type.name not in spec.machine_types:
            return False
        if machine.zone == self._source.zone:
            return spec.zone in (None, machine.zone)  # within its zone a move changes nothing about the spread
        replicas_there = job.tasks_by_zone.get(machine.zone, 0) + self._moved.get((job.job_id, machine.zone), 0)
        return (
            not (spec.spread and replicas_there >= max_tasks_per_zone(spec))
            and not spec.single_zone
            and spec.zone in (None, machine.zone)
        )

    def _assign(self, job: Job, machine: Machine) -> None:
        target = self._targets.get(machine.name)
        if target is None:
            target = self._targets[machine.name] = CapacitySlot.free_on(machine)
        target.reserve(job.spec, 1)
        if machine.zone != self._source.zone:
            self._moved[job.job_id, machine.zone] += 1
