"""Which machines to rent (`control/scaling/scale_out.py`) and to return, and which to let run empty first."""

from __future__ import annotations

from dataclasses import dataclass

from oatport.control.queueing.tier_router import SPOT
from oatport.control.scaling.scale_out import ScaleOutPlanner, ScaleOutRequest
from oatport.control.state.capacity import task_slots, zone_cap
from oatport.control.state.job import IDLE_RANK, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase
from oatport.control.storage.recovery import cut_off
from oatport.times import SECOND, micros

RELEASE_MOST = 100
MOVES_AT_ONCE = 6
MOVES_TRIED = 4
MOVE_GAP = SECOND // 4  # a replica is gone for that long even where its image is
SETTLED = 40 * SECOND


@dataclass(slots=True)
class CapacityPlanner(ScaleOutPlanner):
    # --- surplus ----------------------------------------------------------------------------

    def mark_surplus(self, now: int) -> bool:
        """Let owned machines run empty whose work free spot room could take.

        Free owned room comes first, so without this an owned machine rented in a rush would be kept
        busy for ever by work that may use spot, while spot machines idle and go back. True if some that were
        surplus are needed again: what waits may have room on them.
        """
        cluster = self.cluster
        before = [m for m in cluster.machines.values() if m.cordoned_for_scale_in]
        spot_room = sum(m.free_cpus for m in cluster.usable_machines if m.spot and m.type.gpus == 0)
        steady_need = self._warm_cpus()
        for job in cluster.pending:
            if job.spec.gpus > 0 or job.suspected_faulty:
                continue  # it has machines of its own sort, or rather no use for any
            cpus = min(job.pending, cluster.quotas.room(job.spec), 50) * job.spec.cpus
            if not job.spec.spot or job.tier != SPOT:
                steady_need += cpus
            elif job.priority_rank != IDLE_RANK:
                spot_room -= cpus  # what waits would have it first
        owned = [
            m
            for m in cluster.machines.values()
            if not m.spot
            and m.ready_at
            and not m.draining
            and not m.releasing
            and m.type.gpus == 0
            and m.zone not in cluster.zones.partitioned
        ]
        room = 0.0
        loose: list[tuple[float, float, Machine]] = []
        for machine in owned:
            fixed = sum(t.job.spec.cpus for t in machine.tasks if not t.job.spec.spot or t.job.tier != SPOT)
            if fixed:
                if not machine.draining_replicas:
                    room += machine.type.cpus - fixed
                    machine.cordoned_for_scale_in = False
            else:
                used = sum(t.job.spec.cpus for t in machine.tasks if t.job.priority_rank != IDLE_RANK)
                loose.append((machine.price / machine.type.cpus, -used, machine))
        loose.sort(key=lambda item: item[:2])
        for _, minus_used, machine in loose:
            if room < steady_need:
                room += machine.type.cpus
                machine.cordoned_for_scale_in = False
            elif spot_room >= max(-minus_used, 0.0) and (machine.tasks or machine.cordoned_for_scale_in):
                spot_room += minus_used
                machine.cordoned_for_scale_in = True
            else:
                machine.cordoned_for_scale_in = False
        return any(not machine.cordoned_for_scale_in and not machine.removed for machine in before)

    # --- moving replicas together ---------------------------------------------------------------

    def to_move(self, now: int) -> list[Task]:
        """Replicas to stop so that they run elsewhere and their machine can be returned.

        Replicas outlast the rush they were placed in, and would keep many machines for a few tasks each.
        Only while no work wants owned room. Where the image is, a replica is gone for a moment only; what
        is missed by fetching stays a small share of the time that replicas were there.
        """
        cluster = self.cluster
        owned = [m for m in cluster.usable_machines if not m.spot and not m.removed]
        if any(not job.suspected_faulty and (not job.spec.spot or job.tier != SPOT) for job in cluster.pending):
            for machine in cluster.machines.values():
                machine.draining_replicas = False
            return []
        emptying = [m for m in cluster.machines.values() if m.draining_replicas and m.tasks and not m.releasing]
        chosen = emptying[0] if emptying else None
        if chosen is None:
            room = self._spare() - self._warm_cpus()
            movable = [
                m for m in owned if m.tasks and m.type.cpus <= room and all(self._settled(t, now) for t in m.tasks)
            ]
            # The one that saves most for each replica that has to move.
            movable.sort(key=lambda m: (m.service_cpus / m.price, m.name))
            for machine in movable[:MOVES_TRIED]:
                missed = self._missed_by_moving(machine, owned)
                if (
                    missed is not None
                    and cluster.accounting.moved_us + missed
                    <= cluster.accounting.replica_us * cluster.tuning.move_share
                ):
                    cluster.accounting.moved_us += missed
                    chosen = machine
                    break
        if chosen is None:
            return []
        chosen.draining_replicas = chosen.cordoned_for_scale_in = True
        return [t for t in chosen.tasks if t.phase is TaskPhase.BOUND and t.stop_grace_s is None][:MOVES_AT_ONCE]

    @staticmethod
    def _settled(task: Task, now: int) -> bool:
        """A replica that has run for a while: one that is stopped early counts as never started (PROTOCOL)."""
        return (
            task.job.kind is JobKind.SERVICE
            and task.phase is TaskPhase.BOUND
            and task.stop_grace_s is None
            and task.running_since > 0
            and now - task.running_since > SETTLED
        )

    @staticmethod
    def _missed_by_moving(machine: Machine, owned: list[Machine]) -> int | None:
        """How long its replicas would be gone, all in all, while images are fetched; None if not all have room."""
        free = {m.name: (m.free_cpus, m.free_gpus, m.free_memory_gb) for m in owned}
        moved: dict[tuple[str, str], int] = {}
        missed = 0
        for task in machine.tasks:
            job, spec = task.job, task.job.spec
            best: tuple[int, Machine] | None = None
            for other in owned:
                # Within its zone a move changes nothing about the spread.
                there = job.tasks_by_zone.get(other.zone, 0) + moved.get((job.job_id, other.zone), 0)
                if (
                    other is machine
                    or other.cordoned_for_scale_in
                    or other.service_cpus <= 0
                    or task_slots(spec, *free[other.name]) <= 0
                    or (spec.spread and other.zone != machine.zone and there >= zone_cap(spec))
                    or (spec.zone is not None and other.zone != spec.zone)
                    or (spec.one_zone and other.zone != machine.zone)
                    or (spec.types is not None and other.type.name not in spec.types)
                ):
                    continue
                fetch = 0
                if spec.image not in other.images:
                    fetch = micros(spec.image_gb / max(other.type.fetch_gb_per_s, 0.01))
                if best is None or fetch < best[0]:
                    best = (fetch, other)
                if not fetch:
                    break
            if best is None:
                return None
            missed += best[0] + MOVE_GAP
            cpus, gpus, memory = free[best[1].name]
            free[best[1].name] = (cpus - spec.cpus, gpus - spec.gpus, memory - spec.memory_gb)
            if best[1].zone != machine.zone:
                key = (job.job_id, best[1].zone)
                moved[key] = moved.get(key, 0) + 1
        return missed

    # --- returning --------------------------------------------------------------------------

    def to_release(self, now: int) -> list[Machine]:
        """Idle, faulty and never-booting machines; nothing is placed on them from here on."""
        cluster, tuning = self.cluster, self.cluster.tuning
        chosen: list[Machine] = []
        spare, warm = self._spare(), self._warm_cpus()
        unheard = cut_off(
            sum(m.command_unreachable for m in cluster.machines.values()), list(cluster.machines.values())
        )
        for machine in cluster.machines.values():
            if machine.command_unreachable and unheard and not machine.releasing:
                continue  # it is rather this node that reaches none: others would be just as deaf to it
            if machine.releasing:
                if not cluster.completions.holds_unwritten(machine):
                    chosen.append(machine)  # asked before without an answer
                continue
            if machine.tasks or machine.orphaned_attempts:
                continue
            if not machine.ready_at:
                # In a zone that is cut off it may be up and unheard: charged all the same.
                patience = micros(
                    machine.type.boot_s * (2 if machine.zone in cluster.zones.partitioned else tuning.boot_patience)
                )
                if now - machine.rented_at < patience or (machine.was_ready and not machine.listed_by_cloud):
                    continue
            elif (
                machine.draining
                or machine.draining_replicas
                or (machine.slowdown_samples >= 3 and machine.slowdown > 2.5)
            ):
                pass
            elif machine.idle_since and now - self._idle_from(machine) > cluster.idle_time(machine):
                if not machine.spot and not machine.reclaimed_at and machine.type.gpus == 0:
                    if spare - machine.type.cpus < warm:
                        continue
                    spare -= machine.type.cpus
            else:
                continue
            # Asked only now: it has the ends that it finds written at once, and if it did so for all machines, none
            # would wait for others of their record any more.
            if cluster.completions.holds_unwritten(machine):
                continue
            machine.releasing = True
            chosen.append(machine)
        return chosen[:RELEASE_MOST]

    @staticmethod
    def _idle_from(machine: Machine) -> int:
        """Array tasks beside the point do not make a machine with GPUs any less idle."""
        return machine.gpus_idle_since if machine.type.gpus > 0 and machine.gpus_idle_since else machine.idle_since

    def _spare(self) -> float:
        """Free owned room that services can use."""
        return sum(m.free_cpus for m in self.cluster.usable_machines if not m.spot and m.type.gpus == 0)

    def _warm_cpus(self) -> float:
        """Owned room kept for services to come, so that they start at once."""
        used = sum(j.spec.cpus * j.on_machines for j in self.cluster.jobs.values() if j.kind is JobKind.SERVICE)
        return self.cluster.tuning.warm_share * used


__all__ = ["RELEASE_MOST", "CapacityPlanner", "ScaleOutRequest"]
