"""Consolidates replicas on fewer machines, so that the machines that they leave can be returned."""

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

MAX_CONCURRENT_MOVES = 6  # replicas
MAX_MACHINES_TRIED = 4
MOVE_DOWNTIME = SECOND // 4  # downtime of a moved replica even if the image is on the target machine
REPLICA_SETTLED_AFTER = 40 * SECOND


@dataclass(slots=True)
class ReplicaRebalancer:
    """Drains one owned machine of its replicas at a time, while no pending work needs owned machines."""

    cluster: ClusterState

    def replicas_to_move(self, now: int) -> list[Task]:
        """Returns the replicas to stop so that they run elsewhere and their machine can be returned.

        Replicas outlast the burst in which they were placed, and would keep many machines rented for a few tasks each.
        On a machine that has the image, the downtime of a moved replica is short. The total downtime, including image
        fetches, is kept to a small share (`move_share`) of the time that replicas have run.
        """
        if self._has_demand_for_owned_machines():
            for machine in self.cluster.machines.values():
                machine.draining_replicas = False
            return []
        machine_to_drain = self._machine_being_drained() or self._choose_machine(now)
        if machine_to_drain is None:
            return []
        machine_to_drain.draining_replicas = machine_to_drain.cordoned_for_scale_in = True
        running = [t for t in machine_to_drain.tasks if t.phase is TaskPhase.BOUND and t.stop_grace_s is None]
        return running[:MAX_CONCURRENT_MOVES]

    def _has_demand_for_owned_machines(self) -> bool:
        return any(not job.suspected_faulty and (not job.spec.spot or job.tier != SPOT) for job in self.cluster.pending)

    def _machine_being_drained(self) -> Machine | None:
        machines = self.cluster.machines.values()
        return next((m for m in machines if m.draining_replicas and m.tasks and not m.releasing), None)

    def _choose_machine(self, now: int) -> Machine | None:
        """Returns the machine that saves most per moved replica CPU and whose move fits into the downtime budget."""
        cluster = self.cluster
        owned = [m for m in cluster.usable_machines if not m.spot and not m.removed]
        spare_cpus = free_owned_cpus(cluster) - warm_cpus(cluster)
        movable = [
            m
            for m in owned
            if m.tasks and m.type.cpus <= spare_cpus and all(_is_settled_replica(t, now) for t in m.tasks)
        ]
        movable.sort(key=lambda m: (m.service_cpus / m.price, m.name))
        for machine in movable[:MAX_MACHINES_TRIED]:
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
    """Returns whether the task is a replica that has run for `REPLICA_SETTLED_AFTER` and is not being stopped.

    Younger replicas are not moved, since one that is stopped early counts as never started (PROTOCOL).
    """
    return (
        task.job.kind is JobKind.SERVICE
        and task.phase is TaskPhase.BOUND
        and task.stop_grace_s is None
        and task.running_since > 0
        and now - task.running_since > REPLICA_SETTLED_AFTER
    )


class MovePlan:
    """Plans where the replicas of a machine would go if it were drained."""

    def __init__(self, source: Machine, owned: list[Machine]) -> None:
        self._source = source
        self._owned = owned
        self._targets: dict[str, CapacitySlot] = {}  # remaining capacity of the machines that get a replica, by name
        self._moved: Counter[tuple[str, str]] = Counter()  # (job, zone) -> replicas moved there from another zone

    def downtime(self) -> int | None:
        """Returns the total downtime of the replicas, image fetches included; None if not all of them find capacity."""
        total = 0
        for task in self._source.tasks:
            target = self._target(task.job)
            if target is None:
                return None
            total += image_fetch_time(task.job.spec, target) + MOVE_DOWNTIME
            self._assign(task.job, target)
        return total

    def _target(self, job: Job) -> Machine | None:
        """Returns the first machine with the shortest image fetch time; None if no machine is feasible."""
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
            return spec.zone in (None, machine.zone)  # a move within a zone does not affect the spread over zones
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
