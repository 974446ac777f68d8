"""Selects the running tasks to stop so that a job's pending tasks find capacity, those with the least loss first."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from oatport.control.placement.feasibility import FeasibilityFilter, is_machine_allowed
from oatport.control.placement.image_fetch import image_fetch_time
from oatport.control.state.capacity import max_tasks_per_zone
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase

FETCH_WEIGHT = 4  # weight of the preempting job's image fetch time relative to the lost work of the victims
EPSILON = 1e-9


@dataclass(slots=True)
class VictimSearch:
    """Holds the job that searches for victims, how many of its tasks need capacity, and which tasks it may stop."""

    job: Job
    wanted: int
    for_guarantee: bool  # the job may also stop other teams' tasks of its own priority
    now: int

    @property
    def first_preemptible_rank(self) -> int:
        """Returns the lowest priority rank (the highest priority) whose tasks may be stopped."""
        return self.job.priority_rank if self.for_guarantee else self.job.priority_rank + 1


@dataclass(slots=True)
class PreemptionOption:
    """Holds tasks of one machine whose capacity suffices for at least one task of the job."""

    loss: int  # microseconds of lost work and, weighted, of the image fetch
    machine: Machine
    victims: list[Task]


class FreedCapacity:
    """Sums the free capacity of a machine and that of tasks that are stopped on it."""

    def __init__(self, machine: Machine) -> None:
        self.cpus = machine.free_cpus
        self.gpus = machine.free_gpus
        self.memory_gb = machine.free_memory_gb

    def add(self, task: Task) -> None:
        """Adds the resources of a task that is stopped."""
        spec = task.job.spec
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb

    def suffices_for(self, job: Job) -> bool:
        """Returns whether the capacity is enough for one task of the job."""
        spec = job.spec
        return (
            self.cpus + EPSILON >= spec.cpus
            and self.gpus + EPSILON >= spec.gpus
            and self.memory_gb + EPSILON >= spec.memory_gb
        )


class VictimSelector:
    """Finds the cheapest victims on machines that are feasible for a job."""

    def __init__(self, cluster: ClusterState, feasibility: FeasibilityFilter) -> None:
        self._cluster = cluster
        self._feasibility = feasibility
        self.machines_examined = 0  # a measure of work for tests, used instead of time

    def cheapest(self, search: VictimSearch, usable: list[Machine]) -> list[Task]:
        """Returns the tasks to stop so that up to `wanted` tasks of the job find capacity."""
        if not any(self._cluster.tasks.bound_by_priority[search.first_preemptible_rank :]):
            return []
        options = self._preemption_options(search, usable)
        if search.wanted <= 0:
            return []
        options.sort(key=lambda option: option.loss)
        if search.job.kind is JobKind.GANG:
            return self._victims_for_gang(search.job, usable, options)
        return self._victims_for_tasks(search, options)

    def _preemption_options(self, search: VictimSearch, usable: list[Machine]) -> list[PreemptionOption]:
        """Returns the possible victims of each machine.

        `wanted` is reduced by the number of tasks for which capacity is already being freed.
        """
        job, spec = search.job, search.job.spec
        first_preemptible_rank = search.first_preemptible_rank
        may_use_spot = self._cluster.may_use_free_spot(job)
        should_avoid_gpus = self._feasibility.should_avoid_gpus(job)
        options: list[PreemptionOption] = []
        for machine in usable:
            self.machines_examined += 1
            if sum(machine.cpus_by_priority[first_preemptible_rank:]) + machine.free_cpus + EPSILON < spec.cpus:
                continue
            if (machine.spot and not may_use_spot) or (machine.type.gpus > 0 and should_avoid_gpus):
                continue
            if not machine.can_hold_when_empty(spec) or not is_machine_allowed(job, machine):
                continue
            stopping = [task for task in machine.tasks if task.stop_grace_s is not None]
            if stopping and job.kind is not JobKind.GANG:
                # Tasks that are being stopped may take seconds to save their state. No further task is stopped for
                # the capacity that they will free, on this machine or on others.
                search.wanted -= machine.free_slots_without(stopping, spec)
            victims = self._victims_on(machine, search)
            if victims:
                options.append(PreemptionOption(_loss(search, machine, victims), machine, victims))
        return options

    def _victims_on(self, machine: Machine, search: VictimSearch) -> list[Task]:
        """Returns the youngest tasks of a machine whose capacity suffices for one task of the job.

        Empty if the capacity of all preemptible tasks would not suffice, or if enough is being freed already.
        """
        job = search.job
        freed = FreedCapacity(machine)
        stopping = False
        # Capacity of tasks that are already being stopped counts as free, so no other task is stopped for it.
        for task in machine.tasks:
            if task.stop_grace_s is not None:
                freed.add(task)
                stopping = True
        if stopping and job.kind is not JobKind.GANG and freed.suffices_for(job):
            return []
        victims: list[Task] = []
        candidates = self._preemptible_tasks(machine, search)
        for task in sorted(candidates, key=lambda t: search.now - (t.running_since or search.now)):
            if freed.suffices_for(job):
                break
            freed.add(task)
            victims.append(task)
        return victims if freed.suffices_for(job) else []

    def _preemptible_tasks(self, machine: Machine, search: VictimSearch) -> Iterator[Task]:
        job = search.job
        for task in machine.tasks:
            other = task.job
            if task.phase is not TaskPhase.BOUND or task.stop_grace_s is not None or other is job or other.at_most_once:
                continue
            if other.priority_rank > job.priority_rank or (
                search.for_guarantee
                and other.priority_rank == job.priority_rank
                and other.spec.team != job.spec.team
                and self._exceeds_guarantee(other)
            ):
                yield task

    def _exceeds_guarantee(self, job: Job) -> bool:
        """Returns whether the job's team uses more than its guarantee and this job is outside the guarantee."""
        quota = self._cluster.quotas.get(job.spec.team)
        return (
            quota is not None
            and quota.exceeds_guarantee()
            and not job.within_guarantee
            and job.kind is not JobKind.SERVICE
        )

    @staticmethod
    def _victims_for_tasks(search: VictimSearch, options: list[PreemptionOption]) -> list[Task]:
        """Returns the victims for tasks that start independently of each other."""
        spec, wanted = search.job.spec, search.wanted
        victims: list[Task] = []
        tasks_by_zone = dict(search.job.tasks_by_zone)
        for option in options:
            # The capacity of one large task may suffice for several small ones.
            zone = option.machine.zone
            count = min(option.machine.free_slots_without(option.victims, spec), wanted)
            if spec.spread:
                count = min(count, max_tasks_per_zone(spec) - tasks_by_zone.get(zone, 0))
            if count > 0:
                tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + count
                wanted -= count
                victims += option.victims
            if wanted <= 0:
                break
        return victims

    def _victims_for_gang(self, job: Job, usable: list[Machine], options: list[PreemptionOption]) -> list[Task]:
        """Returns the victims that let a whole gang start; empty if only a part of it would find capacity."""
        spec = job.spec
        for zone in sorted({option.machine.zone for option in options}) if spec.single_zone else [None]:
            in_zone = [m for m in usable if zone in (None, m.zone)]
            feasible = self._feasibility.feasible_machines(job, in_zone)
            missing = job.pending - sum(m.free_slots(spec) for m in feasible)
            victims: list[Task] = []
            for option in options:
                machine = option.machine
                if missing > 0 and zone in (None, machine.zone):
                    missing -= machine.free_slots_without(option.victims, spec) - machine.free_slots(spec)
                    victims += option.victims
            if missing <= 0:
                return victims
        return []


def _loss(search: VictimSearch, machine: Machine, victims: list[Task]) -> int:
    """Returns the loss of an option: the weighted image fetch time of the preempting job plus the victims' lost work.

    The fetch has the larger weight because users wait for the preempting job meanwhile.
    """
    lost_work = sum(search.now - task.running_since for task in victims if task.running_since)
    return FETCH_WEIGHT * image_fetch_time(search.job.spec, machine) + lost_work
