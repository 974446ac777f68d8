"""Room for work of higher priority, and for teams that lack their guarantee: whom to stop."""

from __future__ import annotations

from collections.abc import Iterator

from oatport.control.placement.feasibility import Feasibility, machine_allowed
from oatport.control.state.capacity import zone_cap
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import IDLE_RANK, Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase
from oatport.times import SECOND

PREEMPT_PAUSE = 4 * SECOND
VAIN_PAUSE = SECOND // 2
IDLE_PAUSE = SECOND


class Preemption(Feasibility):
    def __init__(self, cluster: ClusterState) -> None:
        super().__init__(cluster)
        self.looked_at = 0  # machines looked at: what tests count instead of time
        self.look_at = 0  # when the next pass may find something that no event tells of (steady)

    def look_by(self, at: int) -> None:
        self.look_at = min(self.look_at, at)

    def preempt(self, job: Job, usable: list[Machine], now: int, *, pause: int = VAIN_PAUSE) -> None:
        """Make room for a job of higher priority, or for a team that lacks its guarantee.

        A search in vain is not repeated for `pause`: it looks at every task of every machine.
        """
        if job.suspected_faulty or not self._may_stop(job, now):
            return
        if job.preempt_after > now:
            self.look_by(job.preempt_after)
            return
        # Idle work gives way at once; of others a few are stopped at a time.
        idle = self.cluster.tasks.bound_by_priority[IDLE_RANK] > 0 and not self._for_guarantee(job, now)
        wanted = 1 if job.kind is JobKind.GANG else min(job.pending, 64 if idle else 8)
        found = self._cheapest_victims(job, usable, wanted, now)
        only_idle = all(victim.job.priority_rank == IDLE_RANK for victim in found)
        job.preempt_after = now + (pause if not found else IDLE_PAUSE if only_idle else PREEMPT_PAUSE)
        self.look_by(max(job.preempt_after, now + VAIN_PAUSE))
        for victim in found:
            mates = victim.job.tasks.values() if victim.job.kind is JobKind.GANG else (victim,)
            for mate in list(mates):
                if mate.phase is TaskPhase.BOUND:
                    self.cluster.tasks.stop(mate, victim.job.spec.stop_grace_s)

    def _may_stop(self, job: Job, now: int) -> bool:
        """Is there anybody at all whom it may stop? If only later, that is when to look again."""
        if any(self.cluster.tasks.bound_by_priority[job.priority_rank + 1 :]):
            return True
        if not job.within_guarantee or not self.cluster.tasks.bound_by_priority[job.priority_rank]:
            return False
        if self._for_guarantee(job, now):
            return True
        if job.unplaced_since:
            self.look_by(job.unplaced_since + self.cluster.tuning.us("guarantee_patience_s") + 1)
        return False

    def _make_quota(self, job: Job, now: int) -> None:
        """Its team is at its limit: stop the team's own work of lower priority, the youngest first.

        A service once waited 60 s for its team's own arrays.
        """
        spec = job.spec
        use = self.cluster.quotas[spec.team]
        # Looked for among all that the team runs, for each of its waiting jobs twice a second: only if there is any.
        if job.suspected_faulty or not any(use.rank_arrays[job.priority_rank + 1 :]):
            return
        if job.preempt_after > now:
            self.look_by(job.preempt_after)
            return
        cpus = spec.cpus * job.pending
        gpus = spec.gpus * job.pending
        cpus -= max(use.limits.cpus_max - use.cpus, 0.0) if use.limits.cpus_max > 0 else cpus
        gpus -= max(use.limits.gpus_max - use.gpus, 0.0) if use.limits.gpus_max > 0 else gpus
        lower = [
            task
            for other in self.cluster.jobs.values()
            if other.spec.team == spec.team
            and other.priority_rank > job.priority_rank
            and other.kind is JobKind.ARRAY
            and not other.at_most_once
            for task in other.tasks.values()
            if task.phase is TaskPhase.BOUND
        ]
        # What is being stopped already frees some.
        cpus -= sum(t.job.spec.cpus for t in lower if t.stop_grace_s is not None)
        gpus -= sum(t.job.spec.gpus for t in lower if t.stop_grace_s is not None)
        job.preempt_after = now + VAIN_PAUSE
        self.look_by(job.preempt_after)
        for task in sorted(lower, key=lambda t: (-t.job.priority_rank, now - (t.running_since or now), t.name)):
            other = task.job.spec
            if task.stop_grace_s is None and ((cpus > 1e-9 and other.cpus > 0) or (gpus > 1e-9 and other.gpus > 0)):
                cpus, gpus = cpus - other.cpus, gpus - other.gpus
                self.cluster.tasks.stop(task, other.stop_grace_s)

    def _for_guarantee(self, job: Job, now: int) -> bool:
        """May it stop other teams' work of its own priority? Only after a moment: room may just come free."""
        return (
            job.within_guarantee
            and bool(job.unplaced_since)
            and now - job.unplaced_since > self.cluster.tuning.us("guarantee_patience_s")
        )

    def _victims(self, job: Job, machine: Machine, for_guarantee: bool) -> Iterator[Task]:
        teams = self.cluster.quotas
        for task in machine.tasks:
            other = task.job
            if task.phase is not TaskPhase.BOUND or task.stop_grace_s is not None or other is job or other.at_most_once:
                continue
            if other.priority_rank > job.priority_rank:
                yield task
            elif for_guarantee and other.priority_rank == job.priority_rank and other.spec.team != job.spec.team:
                theirs = teams.get(other.spec.team)
                if (
                    theirs is not None
                    and theirs.beyond_guarantee()
                    and not other.within_guarantee
                    and other.kind is not JobKind.SERVICE
                ):
                    yield task

    def _cheapest_victims(self, job: Job, usable: list[Machine], wanted: int, now: int) -> list[Task]:
        """Whom to stop so that up to `wanted` tasks find room: the least loss first."""
        spec = job.spec
        for_guarantee = self._for_guarantee(job, now)
        lowest = job.priority_rank if for_guarantee else job.priority_rank + 1
        if not any(self.cluster.tasks.bound_by_priority[lowest:]):
            return []
        on_spot = self.cluster.may_use_free_spot(job)
        no_gpus = self._elsewhere(job)
        choices: list[tuple[int, int, Machine, list[Task]]] = []
        for machine in usable:
            self.looked_at += 1
            if sum(machine.cpus_by_priority[lowest:]) + machine.free_cpus + 1e-9 < spec.cpus:
                continue
            if (machine.spot and not on_spot) or (machine.type.gpus > 0 and no_gpus):
                continue
            if not machine.could_hold(spec) or not machine_allowed(job, machine):
                continue
            leaving = [task for task in machine.tasks if task.stop_grace_s is not None]
            if leaving and job.kind is not JobKind.GANG:
                # They may take seconds to save: for that room nobody else is stopped, here or elsewhere.
                wanted -= machine.free_slots_without(leaving, spec)
            chosen = self._victims_on(machine, job, for_guarantee, now)
            if chosen:
                # Whoever may preempt is missed while it fetches: that weighs more than the work that is lost.
                loss = 4 * self._fetch(spec, machine)
                loss += sum(now - task.running_since for task in chosen if task.running_since)
                choices.append((loss, len(choices), machine, chosen))
        if wanted <= 0:
            return []
        choices.sort(key=lambda choice: choice[:2])
        if job.kind is JobKind.GANG:
            return self._whole_gang(job, usable, [(machine, chosen) for _, _, machine, chosen in choices])
        victims: list[Task] = []
        zones = dict(job.tasks_by_zone)
        for _, _, machine, chosen in choices:
            # One large task makes room for several small ones.
            got = min(machine.free_slots_without(chosen, spec), wanted)
            if spec.spread:
                got = min(got, zone_cap(spec) - zones.get(machine.zone, 0))
            if got > 0:
                zones[machine.zone] = zones.get(machine.zone, 0) + got
                wanted -= got
                victims += chosen
            if wanted <= 0:
                break
        return victims

    def _whole_gang(self, job: Job, usable: list[Machine], choices: list[tuple[Machine, list[Task]]]) -> list[Task]:
        """Victims that let a whole gang start; none if only a part of it would find room."""
        spec = job.spec
        for zone in sorted({machine.zone for machine, _ in choices}) if spec.single_zone else [None]:
            there = [m for m in usable if zone in (None, m.zone)]
            need = job.pending - sum(m.free_slots(spec) for m in self._fitting(job, there))
            victims: list[Task] = []
            for machine, chosen in choices:
                if need > 0 and zone in (None, machine.zone):
                    need -= machine.free_slots_without(chosen, spec) - machine.free_slots(spec)
                    victims += chosen
            if need <= 0:
                return victims
        return []

    def _victims_on(self, machine: Machine, job: Job, for_guarantee: bool, now: int) -> list[Task]:
        """The youngest tasks of a machine that make room for one of the job's; none if that is not possible."""
        spec = job.spec
        free = [machine.free_cpus, machine.free_gpus, machine.free_memory_gb]
        stopping = False
        # Room that stops already sent will free counts as free; nobody else is stopped for it.
        for task in machine.tasks:
            if task.stop_grace_s is not None:
                other = task.job.spec
                free = [free[0] + other.cpus, free[1] + other.gpus, free[2] + other.memory_gb]
                stopping = True

        def enough() -> bool:
            return free[0] + 1e-9 >= spec.cpus and free[1] + 1e-9 >= spec.gpus and free[2] + 1e-9 >= spec.memory_gb

        if stopping and job.kind is not JobKind.GANG and enough():
            return []
        chosen: list[Task] = []
        victims = self._victims(job, machine, for_guarantee)
        for task in sorted(victims, key=lambda t: now - (t.running_since or now)):
            if enough():
                break
            other = task.job.spec
            free = [free[0] + other.cpus, free[1] + other.gpus, free[2] + other.memory_gb]
            chosen.append(task)
        return chosen if enough() else []
