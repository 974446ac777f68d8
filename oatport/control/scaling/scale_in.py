"""Decides which machines to return, and which owned machines to cordon so that they become idle first."""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.control.leadership.failure_detection import is_isolated
from oatport.control.queueing.tier_router import SPOT
from oatport.control.scaling.owned_capacity import free_owned_cpus, warm_cpus
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK
from oatport.control.state.machine import Machine
from oatport.times import micros

MACHINES_PER_RELEASE = 100  # PROTOCOL, POST /hosts/release
PENDING_TASKS_COUNTED = 50  # maximum per job when the need for owned machines is estimated
PARTITIONED_BOOT_PATIENCE = 2  # boot times after which a machine in a partitioned zone counts as failed
SLOW_MACHINE_FACTOR = 2.5  # ratio of observed to predicted run time above which an idle machine is returned at once
SLOW_MACHINE_SAMPLES = 3


@dataclass(slots=True)
class CapacityNeed:
    """Holds the CPUs of machines without GPUs by which cordons are decided."""

    spot_free_cpus: float  # free on spot machines, minus those that pending work would take first
    owned: float  # needed on owned machines by future services and by pending work


@dataclass(slots=True)
class OptionalMachine:
    """Holds an owned machine whose work could all run on spot machines."""

    machine: Machine
    used_cpus: float  # excluding best-effort tasks

    def retention_key(self) -> tuple[float, float]:
        """Returns the key by which machines are kept: the cheapest per CPU first, then those with most CPUs in use."""
        return self.machine.price / self.machine.type.cpus, -self.used_cpus


@dataclass(slots=True)
class OwnedMachines:
    """Divides owned machines by whether their work needs an owned machine."""

    spare_cpus: float = 0.0  # left for more work that needs an owned machine, on machines that already run such work
    optional: list[OptionalMachine] = field(default_factory=list)  # in order of retention


@dataclass(slots=True)
class ReleaseBudget:
    """Holds the free CPUs of owned machines, and how many of them must stay free."""

    free_cpus: float
    reserved_cpus: float

    def spend(self, cpus: float) -> bool:
        """Deducts a machine's CPUs unless too few would be left; returns whether they were deducted."""
        if self.free_cpus - cpus < self.reserved_cpus:
            return False
        self.free_cpus -= cpus
        return True


@dataclass(slots=True)
class ScaleInPlanner:
    """Cordons owned machines that are not needed, and selects the machines to return."""

    cluster: ClusterState

    # --- cordons ----------------------------------------------------------------------------

    def update_cordons(self) -> bool:
        """Cordons the owned machines whose work free spot machines could take, and uncordons those that are needed.

        Placement uses free owned machines first. Without cordons, work that may use spot would keep an owned machine
        that was rented in a burst busy forever, while spot machines became idle and were returned. Returns whether some
        cordoned machines are needed again, since pending work may find capacity on them.
        """
        previously_cordoned = [m for m in self.cluster.machines.values() if m.cordoned_for_scale_in]
        need = self._capacity_need()
        owned = self._uncordon_needed(self._owned_machines())
        self._cordon_optional(owned, need)
        return any(not machine.cordoned_for_scale_in and not machine.removed for machine in previously_cordoned)

    def _capacity_need(self) -> CapacityNeed:
        cluster = self.cluster
        spot_free_cpus = sum(m.free_cpus for m in cluster.usable_machines if m.spot and m.type.gpus == 0)
        need = CapacityNeed(spot_free_cpus, warm_cpus(cluster))
        for job in cluster.pending:
            if job.spec.gpus > 0 or job.suspected_faulty:
                continue  # jobs with GPUs use other machine types, and suspected jobs should get no machines
            tasks = min(job.pending, cluster.quotas.remaining_tasks(job.spec), PENDING_TASKS_COUNTED)
            cpus = tasks * job.spec.cpus
            if not job.spec.spot or job.tier != SPOT:
                need.owned += cpus
            elif job.priority_rank != IDLE_RANK:
                need.spot_free_cpus -= cpus  # pending work takes free spot capacity first
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
        """Uncordons machines with work that needs an owned machine; returns all machines by whether they have any."""
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
        """Keeps as many optional machines as are needed, and cordons the others whose work fits on free spot."""
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
        """Returns idle and faulty machines and those that failed to boot, marked so that no more tasks are bound."""
        cluster = self.cluster
        machines = cluster.machines.values()
        chosen: list[Machine] = []
        budget = ReleaseBudget(free_owned_cpus(cluster), warm_cpus(cluster))
        is_node_isolated = is_isolated(sum(m.command_unreachable for m in machines), list(machines))
        for machine in machines:
            if not machine.releasing:  # otherwise an earlier release request got no response, and is repeated
                if machine.tasks or machine.orphaned_attempts:
                    continue
                if machine.command_unreachable and is_node_isolated:
                    continue  # the fault is probably this node's, which could not reach new machines either
                if not self._should_release(machine, budget, now):
                    continue
            # This check comes last because it has the completions that it finds written at once. If it ran for all
            # machines, no completion would wait to be written together with others of the same record.
            if cluster.completions.has_unwritten_completions(machine):
                continue
            machine.releasing = True
            chosen.append(machine)
        return chosen[:MACHINES_PER_RELEASE]

    def _should_release(self, machine: Machine, budget: ReleaseBudget, now: int) -> bool:
        """Returns whether a machine without tasks should be returned."""
        if self._is_unwanted(machine, now):
            return True
        if not machine.ready_at or not self._is_idle(machine, now):
            return False
        return not self._is_owned_for_services(machine) or budget.spend(machine.type.cpus)

    def _is_unwanted(self, machine: Machine, now: int) -> bool:
        """Returns whether a machine without tasks is of no use: it failed to boot, or is faulty, drained or slow."""
        if not machine.ready_at:
            return self._has_boot_failed(machine, now)
        is_slow = machine.slowdown_samples >= SLOW_MACHINE_SAMPLES and machine.slowdown > SLOW_MACHINE_FACTOR
        return machine.draining or machine.draining_replicas or is_slow

    def _has_boot_failed(self, machine: Machine, now: int) -> bool:
        # In a partitioned zone the machine may be up though no heartbeat arrives, but it is charged all the same.
        is_partitioned = machine.zone in self.cluster.zones.partitioned
        boot_times = PARTITIONED_BOOT_PATIENCE if is_partitioned else self.cluster.tuning.boot_patience
        is_overdue = now - machine.rented_at >= micros(machine.type.boot_time_s * boot_times)
        return is_overdue and (not machine.was_ready or machine.listed_by_cloud)

    def _is_idle(self, machine: Machine, now: int) -> bool:
        return bool(machine.idle_since) and now - _idle_from(machine) > self.cluster.idle_timeout(machine)

    @staticmethod
    def _is_owned_for_services(machine: Machine) -> bool:
        return not machine.spot and not machine.reclaimed_at and machine.type.gpus == 0


def _idle_from(machine: Machine) -> int:
    """Returns since when a machine counts as idle; array tasks that need no GPUs do not keep a GPU machine busy."""
    return machine.gpus_idle_since if machine.type.gpus > 0 and machine.gpus_idle_since else machine.idle_since
