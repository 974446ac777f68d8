"""Which machines to return, and which owned ones to let run empty first."""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.control.leadership.failure_detection import is_isolated
from oatport.control.queueing.tier_router import SPOT
from oatport.control.scaling.owned_capacity import free_owned_cpus, warm_cpus
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK
from oatport.control.state.machine import Machine
from oatport.times import micros

MACHINES_PER_RELEASE = 100
PENDING_TASKS_COUNTED = 50  # of one job, when the need for owned machines is estimated
PARTITIONED_BOOT_PATIENCE = 2  # boot times that a machine of a partitioned zone may take
SLOW_MACHINE_FACTOR = 2.5  # observed over predicted run time from which an idle machine is returned at once
SLOW_MACHINE_SAMPLES = 3


@dataclass(slots=True)
class CapacityNeed:
    """CPUs, without GPUs, that cordons are decided by."""

    spot_free_cpus: float  # free on spot machines, less what pending work would take first
    owned: float  # needed on owned machines: by services to come, and by pending work


@dataclass(slots=True)
class OptionalMachine:
    """An owned machine whose work could all run on spot."""

    machine: Machine
    used_cpus: float  # by other than best-effort tasks

    def retention_key(self) -> tuple[float, float]:
        """The cheapest are kept first, then those in use."""
        return self.machine.price / self.machine.type.cpus, -self.used_cpus


@dataclass(slots=True)
class OwnedMachines:
    """Owned machines by whether their work needs one."""

    spare_cpus: float = 0.0  # for more such work, on machines with work that needs an owned one
    optional: list[OptionalMachine] = field(default_factory=list)  # in the order in which they are kept


@dataclass(slots=True)
class ReleaseBudget:
    """CPUs of owned machines that are free, and of those the ones to keep."""

    free_cpus: float
    kept_cpus: float

    def spend(self, cpus: float) -> bool:
        """Take a machine's CPUs off, unless too few would be left; True if they were taken."""
        if self.free_cpus - cpus < self.kept_cpus:
            return False
        self.free_cpus -= cpus
        return True


@dataclass(slots=True)
class ScaleInPlanner:
    """Cordons owned machines that aren't needed and picks the machines to return."""

    cluster: ClusterState

    # --- cordons ----------------------------------------------------------------------------

    def update_cordons(self) -> bool:
        """Let owned machines run empty whose work free spot machines could take.

        Free owned machines are used first, so without this one that was rented in a burst would be kept busy for ever
        by work that may use spot, while spot machines idle and are returned. True if some that were cordoned are
        needed again: pending work may find capacity on them.
        """
        cordoned_before = [m for m in self.cluster.machines.values() if m.cordoned_for_scale_in]
        need = self._capacity_need()
        owned = self._uncordon_needed(self._owned_machines())
        self._cordon_optional(owned, need)
        return any(not machine.cordoned_for_scale_in and not machine.removed for machine in cordoned_before)

    def _capacity_need(self) -> CapacityNeed:
        cluster = self.cluster
        spot_free_cpus = sum(m.free_cpus for m in cluster.usable_machines if m.spot and m.type.gpus == 0)
        need = CapacityNeed(spot_free_cpus, warm_cpus(cluster))
        for job in cluster.pending:
            if job.spec.gpus > 0 or job.suspected_faulty:
                continue  # it has machines of its own type, or rather no use for any
            tasks = min(job.pending, cluster.quotas.remaining_tasks(job.spec), PENDING_TASKS_COUNTED)
            cpus = tasks * job.spec.cpus
            if not job.spec.spot or job.tier != SPOT:
                need.owned += cpus
            elif job.priority_rank != IDLE_RANK:
                need.spot_free_cpus -= cpus  # what is pending would have it first
        return need

    def _owned_machines(self) -> list[Machine]:
        return [
            m
            for m in self.cluster.machines.values()
            if not m.spot
            and m.ready_at
            and not m.draining
            and not m.releasing
            and m.type.gpus == 0
            and m.zone not in self.cluster.zones.partitioned
        ]

    @staticmethod
    def _uncordon_needed(machines: list[Machine]) -> OwnedMachines:
        """Uncordon machines with work that needs an owned one."""
        owned = OwnedMachines()
        for machine in machines:
            fixed_cpus = sum(t.job.spec.cpus for t in machine.tasks if not t.job.spec.spot or t.job.tier != SPOT)
            if not fixed_cpus:
                used_cpus = sum(t.job.spec.cpus for t in machine.tasks if t.job.priority_rank != IDLE_RANK)
                owned.optional.append(OptionalMachine(machine, used_cpus))
            elif not machine.draining_replicas:
                owned.spare_cpus += machine.type.cpus - fixed_cpus
                machine.cordoned_for_scale_in = False
        owned.optional.sort(key=OptionalMachine.retention_key)
        return owned

    @staticmethod
    def _cordon_optional(owned: OwnedMachines, need: CapacityNeed) -> None:
        """Keep as many of these machines as owned ones are needed; cordon the rest if spot can take their work."""
        owned_cpus, spot_free_cpus = owned.spare_cpus, need.spot_free_cpus
        for candidate in owned.optional:
            machine = candidate.machine
            if owned_cpus < need.owned:
                owned_cpus += machine.type.cpus
                machine.cordoned_for_scale_in = False
            elif spot_free_cpus >= max(candidate.used_cpus, 0.0) and (machine.tasks or machine.cordoned_for_scale_in):
                spot_free_cpus -= candidate.used_cpus
                machine.cordoned_for_scale_in = True
            else:
                machine.cordoned_for_scale_in = False

    # --- returning --------------------------------------------------------------------------

    def machines_to_release(self, now: int) -> list[Machine]:
        """Idle, faulty and never-booting machines; they are marked, and no task is bound to them from here on."""
        cluster = self.cluster
        machines = cluster.machines.values()
        chosen: list[Machine] = []
        budget = ReleaseBudget(free_owned_cpus(cluster), warm_cpus(cluster))
        commands_cut_off = is_isolated(sum(m.command_unreachable for m in machines), list(machines))
        for machine in machines:
            if not machine.releasing:  # else it was asked before without an answer
                if machine.tasks or machine.orphaned_attempts:
                    continue
                if machine.command_unreachable and commands_cut_off:
                    continue  # it is rather this node that reaches none: others would be just as unreachable
                if not self._should_release(machine, budget, now):
                    continue
            # Asked only now: it has the completions that it finds written at once, and if it did so for all machines,
            # none would wait for others of their record any more.
            if cluster.completions.has_unwritten_completions(machine):
                continue
            machine.releasing = True
            chosen.append(machine)
        return chosen[:MACHINES_PER_RELEASE]

    def _should_release(self, machine: Machine, budget: ReleaseBudget, now: int) -> bool:
        """Is a machine without tasks to be returned?"""
        if self._is_unwanted(machine, now):
            return True
        if not machine.ready_at or not self._is_idle(machine, now):
            return False
        return not self._is_owned_for_services(machine) or budget.spend(machine.type.cpus)

    def _is_unwanted(self, machine: Machine, now: int) -> bool:
        """A machine without tasks that is of no use: it doesn't boot, is faulty, drained or slow."""
        if not machine.ready_at:
            return self._boot_failed(machine, now)
        is_slow = machine.slowdown_samples >= SLOW_MACHINE_SAMPLES and machine.slowdown > SLOW_MACHINE_FACTOR
        return machine.draining or machine.draining_replicas or is_slow

    def _boot_failed(self, machine: Machine, now: int) -> bool:
        # In a partitioned zone it may be up though no heartbeat arrives: charged all the same.
        partitioned = machine.zone in self.cluster.zones.partitioned
        boot_times = PARTITIONED_BOOT_PATIENCE if partitioned else self.cluster.tuning.boot_patience
        overdue = now - machine.rented_at >= micros(machine.type.boot_time_s * boot_times)
        return overdue and (not machine.was_ready or machine.listed_by_cloud)

    def _is_idle(self, machine: Machine, now: int) -> bool:
        return bool(machine.idle_since) and now - _idle_from(machine) > self.cluster.idle_timeout(machine)

    @staticmethod
    def _is_owned_for_services(machine: Machine) -> bool:
        return not machine.spot and not machine.reclaimed_at and machine.type.gpus == 0


def _idle_from(machine: Machine) -> int:
    """Array tasks that need no GPUs do not make a machine that has them any less idle."""
    return machine.gpus_idle_since if machine.type.gpus > 0 and machine.gpus_idle_since else machine.idle_since
