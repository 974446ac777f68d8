"""Jobs, and the machines that their tasks are on: claimed, placed, stopped, lost and done."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from oatport import wire
from oatport.control.placement import failure_attribution
from oatport.control.placement.retry_policy import RetryPolicies, RetryPolicy, may_repeat, never_sent
from oatport.control.queueing.dependency_tracker import DependencyTracker
from oatport.control.queueing.pending_queue import PendingQueue
from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.queueing.tier_router import SPOT, TierRouter
from oatport.control.state.cancellations import answers_until
from oatport.control.state.completions import ROWS_MOST, End
from oatport.control.state.job_statistics import JobStatistics
from oatport.control.state.model import PRIORITIES, Hold, Job, Kind, Machine, Phase, Task, allowed_types
from oatport.control.state.quota import TeamQuotas
from oatport.control.storage.record_layout import RecordLayout
from oatport.control.storage.write_buffer import DARK_KEY, cancel_key, live_key
from oatport.settings import ClusterSettings, Tuning
from oatport.times import SECOND, micros

log = logging.getLogger(__name__)


class TaskLifecycle(DependencyTracker):
    """The part of the leader's view that is about jobs; `Cluster` adds the machines."""

    def __init__(
        self,
        token: int,
        settings: ClusterSettings,
        tuning: Tuning,
        types: dict[str, wire.MachineType],
        predictor: RuntimePredictor,
    ) -> None:
        super().__init__(
            predictor, RecordLayout(settings.state.least_value_bytes, max(map(len, settings.zones), default=0))
        )
        self.token = token
        self.settings = settings
        self.tuning = tuning
        self.types = types
        self.types_seen = 0  # goes up when the catalog changes
        self.router = TierRouter(
            predictor,
            tuning.us("spot_threshold_s"),
            tuning.slack_factor,
            tuning.threshold_percentile,
            tail_factor=tuning.tail_factor,
        )
        self.start_aims = {aim.job_class: micros(aim.within_s) for aim in settings.objectives if aim.kind == "wait"}
        self.router.start_aims = self.start_aims
        # class -> the multiples of its jobs' deadlines that users look at, the nearest first
        self.deadline_aims: dict[str, tuple[float, ...]] = {}
        self.finish_aims: dict[str, tuple[int, ...]] = {}  # class -> how soon its jobs should be done
        for aim in sorted(settings.objectives, key=lambda a: a.times):
            if aim.kind == "finished":
                within = micros(aim.within_s)
                self.finish_aims[aim.job_class] = (*self.finish_aims.get(aim.job_class, ()), within)
            if aim.kind == "deadline":
                self.deadline_aims[aim.job_class] = (*self.deadline_aims.get(aim.job_class, ()), aim.times)
        self.waiting = PendingQueue()
        self.served = JobStatistics()
        self.stirred: dict[Job, None] = {}  # jobs whose counts, as users are shown them, may have changed
        self.moves = 0  # goes up when a task comes to a machine or leaves it
        self.released: set[str] = set()  # names that a release answered: gone for good
        self.teams = TeamQuotas(settings.teams)
        self.spent: defaultdict[str, float] = defaultdict(float)  # money by what machines did
        self._accounted_at = 0
        self.replica_us = 0  # time that replicas were on machines, all in all
        self.moved_us = 0  # and what they missed by being moved
        self.report_us = micros(settings.workers.report_s)
        self.lease_us = micros(settings.workers.lease_s)
        self.fresh_us = 2 * self.report_us + SECOND
        self.usable_now: list[Machine] = []
        self.dark: dict[str, int] = {}  # zones that nothing is heard from -> since when (steady)
        self.kept: set[str] = set()  # of these, where a node was cut off along and keeps the workers' leases
        self.back: set[str] = set()  # zones that are heard from again: their machines are to be asked at once
        self.singles[DARK_KEY] = self.dark_value
        self.coming: list[tuple[Job, int]] = []  # held work that is let go soon, and how many tasks: it counts as ahead
        self.repeats: RetryPolicies = {}
        self.on_measured: Callable[[Job, int], None] = lambda job, took: None  # a task's run time was seen
        self.rank_tasks = [0] * len(PRIORITIES)  # tasks on machines, by priority
        self.ends_unknown = False  # earlier leaders may have taken in ends that nobody tells of now
        self.unwritten_ends: dict[tuple[Job, int], int] = {}  # tasks that are done, and the attempt: maybe in no record
        self.new_ends: list[End] = []  # of these, what the other nodes were not told yet

    def dark_value(self) -> dict[str, Any]:
        """Zones that are cut off, and since when by the time of day; those with a node that keeps leases there."""
        zones = {zone: since + self.wall_offset for zone, since in self.dark.items()}
        return {"zones": zones, "kept": sorted(self.kept)} if self.kept else {"zones": zones}

    # --- jobs -------------------------------------------------------------------------------

    def add_job(self, ref: str, spec: wire.Submission, version: int, submitted_at: int) -> Job:
        job = self.jobs.get(ref)
        if job is None:
            job = self.jobs[ref] = Job(ref, spec, version, submitted_at)
            self.versions[live_key(ref)] = version
            self.join(job)
            self.counted(job)
            if ref in self.teams.unknown:
                self.settle_strays(ref, spec)
            if ref in self.told_cancelled:
                self.cancel_job(ref, 0, self.told_cancelled[ref])
        return job

    def join(self, job: Job) -> None:
        """It may start from now on."""
        repeat = self.repeats.get(job.spec.job_class, RetryPolicy.ANY)
        job.once = repeat is not RetryPolicy.ANY and job.kind is not Kind.SERVICE
        job.unplaced_since = self.now or 1
        self.waiting.add(job)
        self.replan = True
        self.pipelines.seen(job.ref)
        self.pipelines.stale[job.ref] = None

    def counted(self, job: Job) -> None:
        """It was accepted."""
        job.counted = True
        self.served.joined(job)

    def own_dues(self, job: Job) -> list[int]:
        """Times of day by which its users look for its end: its deadline, and the multiples of it that they name."""
        if job.spec.deadline_s is None:
            return []
        multiples = self.deadline_aims.get(job.spec.job_class) or (1.0,)
        return sorted(job.submitted_at + micros(job.spec.deadline_s * multiple) for multiple in multiples)

    def fetch_us(self, job: Job) -> int:
        """How long its image takes to get to a machine of the types that suit it."""
        rates = [kind.fetch_gb_per_s for kind in self.suited(job) if kind.fetch_gb_per_s > 0]
        return micros(job.spec.image_gb / min(rates)) if rates else 0

    def set_urgency(self, job: Job, rank: int, dues: list[int]) -> None:
        """What jobs that need it ask of it. Its tasks on machines count with its priority."""
        if rank == job.rank and dues == job.carried:
            return
        for task in job.tasks.values():
            if task.machine is not None:
                self._count_rank(task, task.machine, -1)
        job.rank = rank
        for task in job.tasks.values():
            if task.machine is not None:
                self._count_rank(task, task.machine, 1)
        job.carried, job.dues, job.due, job.target = dues, None, 0, 0
        self.waiting.urged(job)
        self.replan = True

    def _count_rank(self, task: Task, machine: Machine, sign: int) -> None:
        job, spec = task.job, task.job.spec
        machine.cpus_by_priority[job.rank] += sign * spec.cpus
        self.rank_tasks[job.rank] += sign
        use = self.teams.get(spec.team)
        if use and job.kind is Kind.ARRAY:
            use.rank_arrays[job.rank] += sign

    def cancel_job(self, ref: str, mark_version: int, told_after: int = 0) -> None:
        """Its user was told that it is cancelled: nothing starts any more, all its tasks must go.

        So are all that need it. `mark_version`: of its mark under `live/`; 0: told, but not read in the records yet.
        `told_after` (steady): not before that, as far as is known.
        """
        self.cancel_after(ref)
        job = self.jobs.get(ref)
        if job is None:
            self.cancel_waiting(ref, mark_version)
            return
        if mark_version:
            self.versions[cancel_key(ref)] = mark_version
        if job.failure_reason:  # its user was faster than the record of that
            job.failure_reason, job.finishing, job.cancel_after = "", False, told_after
            self.to_finish.pop(job, None)
        if job.cancelled:
            self._clean_if_gone(job)
            return
        job.cancelled = True
        job.cancel_after = told_after
        self.waiting.discard(job)
        self.to_finish.pop(job, None)
        self._call_off(job)

    def cancel_told(self, ref: str, mark_version: int, told_after: int) -> None:
        """A node told its user that it is cancelled, which may not be known here."""
        if ref not in self.jobs and ref not in self.held_up and ref not in self.to_call_off:
            self.remember_cancelled(ref, told_after)
        self.cancel_job(ref, mark_version, told_after)

    def _call_off(self, job: Job) -> None:
        """No task of it starts any more, and those on machines leave."""
        for task in list(job.tasks.values()):
            if task.phase is Phase.CLAIMED:
                self.unassign(task)
            elif task.phase is Phase.PLACED:
                self.stop(task, 0.0)
        self._clean_if_gone(job)

    def carried_out(self, known_at: int) -> int:
        """The moment (steady) up to which cancellations told are known and their tasks proven gone; 0: none.

        `known_at`: up to which they are known. Tasks that nobody knows may be of a cancelled job.
        """
        if any(machine.strays for machine in self.machines.values()):
            return 0
        left = [job.cancel_after for job in self.jobs.values() if job.cancelled and (job.on_machines or job.strays)]
        return min([known_at, *left])

    def hold(self, job: Job, opened: int, hold: Hold) -> None:
        """Of its tasks only the first `opened` may start; recorded, so that the next leader holds it as well."""
        job.opened, job.hold = opened, hold
        if not job.pending:
            self.waiting.discard(job)
        elif not (job.cancelled or job.finishing):
            self.waiting.add(job)
        self.replan = True
        hold.changes += 1
        self.dirty[live_key(job.ref)] = None

    def let_go(self, job: Job, count: int) -> None:
        """So many more tasks of a held job may start. Not written by itself: the plan that is recorded says so."""
        if job.opened < 0 or job.cancelled or job.finishing:
            return
        job.opened = min(max(job.opened, job.fresh) + count, job.spec.tasks)
        if job not in self.waiting:
            job.unplaced_since = self.now or 1
        self.waiting.add(job)
        self.replan = True

    def _clean_if_gone(self, job: Job) -> None:
        if not job.cancelled or job.on_machines or job.strays:
            return
        if job.failure_reason:
            job.finishing = True
            self.to_finish[job] = None
        elif self.versions.get(cancel_key(job.ref)):  # else its keys wait for the record: the mark goes with them
            self.to_clean[job] = None

    def lease_bound(self, job: Job) -> int:
        """A cancelled job: until when (steady) a worker's lease may be renewed that might let a task of it run on."""
        return answers_until(self.settings.workers, job.cancel_after)

    def drop_job(self, job: Job) -> None:
        self.jobs.pop(job.ref, None)
        if job.counted:
            job.counted = False
            self.served.over(job)
        self.stirred.pop(job, None)
        self.waiting.discard(job)
        self.predictor.forget_job(job.ref)
        left = set(self.orphans)  # their versions are still needed
        for key in [k for k in self._job_keys(job) if k in self.versions and k not in left]:
            self.versions.pop(key, None)
            self.urgent.pop(key, None)
            self.dirty.pop(key, None)
            self._ends_since.pop(key, None)

    # --- tasks on machines ------------------------------------------------------------------

    def assign(self, task: Task, machine: Machine) -> None:
        job, spec = task.job, task.job.spec
        task.machine = machine
        self.moves += 1
        machine.calm = None
        machine.tasks.add(task)
        self.occupy(job, spec, machine, 1)
        self._count_rank(task, machine, 1)
        if job.kind is Kind.SERVICE:
            machine.steady_cpus += spec.cpus
        else:
            machine.work.add(task)
        job.on_machines += 1

    def occupy(self, job: Job | None, spec: wire.Submission, machine: Machine, sign: int) -> None:
        """An attempt is on a machine from now on (1), or proven gone from it (-1): the one place where that is counted.

        For its machine, its team and its job's zones; whether a record puts it there or only a report shows it.
        """
        machine.take(sign * spec.cpus, sign * spec.gpus, sign * spec.memory_gb)
        self.teams.count(spec, sign)
        if job is not None:
            job.zones[machine.zone] = job.zones.get(machine.zone, 0) + sign
            if not job.zones[machine.zone]:
                del job.zones[machine.zone]

    def settle_strays(self, ref: str, spec: wire.Submission | None) -> None:
        """A job of which attempts were seen is known now; None: nobody ever submitted it."""
        raise NotImplementedError

    def unassign(self, task: Task) -> None:
        """The task is on no machine: it never got there, or is proven gone."""
        job, spec, machine = task.job, task.job.spec, task.machine
        assert machine is not None
        machine.tasks.discard(task)
        self.moves += 1
        machine.calm = None
        self.unacked.discard(task)
        self.stirred[job] = None
        self.occupy(job, spec, machine, -1)
        self._count_rank(task, machine, -1)
        machine.work.discard(task)
        if job.kind is Kind.SERVICE:
            machine.steady_cpus -= spec.cpus
        job.on_machines -= 1
        if spec.gpus > 0 and machine.free_gpus >= machine.type.gpus - 1e-9:
            machine.gpus_idle_since = self.now
        task.to_pending()
        self.replan = True

    def requeue(self, task: Task, *, lost: bool, unexecuted: bool = False) -> None:
        """A task that left its machine without being done wants another, if its class allows that.

        `unexecuted`: it is proven that the attempt never began.
        """
        job = task.job
        if job.kind is Kind.GANG and job.done and not job.cancelled:
            self.finish_task(task, self.now, measured=False)  # one of them is done, so it is as well
            return
        repeat = self.repeats.get(job.spec.job_class, RetryPolicy.ANY)
        if not job.cancelled and not may_repeat(repeat, task, unexecuted):
            self.lose(task, "a task may have begun and may not run again")
            return
        if task.machine is not None:
            self.unassign(task)
        job.again.append(task.index)
        if lost:
            job.lost += 1
        self.touch(task)
        if job.cancelled:
            self._clean_if_gone(job)
            return
        self._wait_again(job)
        if job.kind is Kind.GANG:
            self._gang_lost_task(job)

    def _wait_again(self, job: Job) -> None:
        job.unplaced_since = job.unplaced_since or self.now or 1
        self.waiting.add(job)

    def lose(self, task: Task, cause: str) -> None:
        """A task may not run again, so the job ends as lost: the rest of it is stopped, then that is recorded.

        The task's own row says so from its next record on, whatever leader reads it.
        """
        job = task.job
        if task.machine is not None:
            self.unassign(task)
        task.spent = True
        self.touch(task, urgent=True)
        if job.cancelled or job.finishing:
            self._clean_if_gone(job)
            return
        log.info("job %s is lost: task %d: %s", job.ref, task.index, cause)
        job.failure_reason, job.cancelled = cause, True
        self.waiting.discard(job)
        self._call_off(job)

    def _gang_lost_task(self, job: Job) -> None:
        """A gang runs whole or not: what is left of this attempt is called off.

        Running tasks exit with `mates_gone` by themselves and a stopped one would do no harm.
        """
        for task in list(job.tasks.values()):
            if task.phase is Phase.PLACED and task.status in ("", wire.FETCHING, wire.WAITING):
                self.stop(task, 0.0)

    def claim(self, job: Job, machine: Machine, now: int, attempt: int | None = None) -> Task:
        task = job.take_pending()
        task.attempt = attempt if attempt is not None else task.attempt + 1
        task.phase = Phase.CLAIMED
        task.claimed_at = now
        task.claim_session = machine.session
        job.unplaced_since = now if job.pending else 0
        self.assign(task, machine)
        machine.images.setdefault(job.spec.image, now)
        machine.idle_since = 0
        self.touch(task, urgent=True)
        if not job.pending:
            self.waiting.discard(job)
        return task

    def stop(self, task: Task, grace_s: float) -> None:
        """Have a placed task leave its machine; repeated until a report shows it gone."""
        if task.stopping is not None and grace_s >= task.stopping:
            return
        if task.claimed_at and not task.sent_session:
            # Committed by this leader, but its start never went out: it is nowhere.
            job = task.job
            self.unassign(task)
            if job.kind is Kind.GANG and job.done and not job.cancelled:
                self.finish_task(task, self.now, measured=False)
                return
            job.again.append(task.index)
            self.touch(task)
            if job.cancelled:
                self._clean_if_gone(job)
            else:
                self._wait_again(job)
            return
        task.stopping = grace_s
        if task.machine is not None:
            task.machine.calm = None
            self.to_send.add(task.machine)

    def finish_task(self, task: Task, now: int, *, measured: bool = True) -> None:
        job = task.job
        machine = task.machine
        # What an earlier leader started seems to run only since this one first heard of it.
        if measured and task.claimed_at and task.running_since and job.kind is not Kind.SERVICE and not task.stopping:
            took = now - task.running_since
            if machine is not None:
                self._learn_speed(machine, took, self.predictor.run_time(job.ref, job.spec))
            self.on_measured(job, took)
            self.predictor.finished(job.ref, job.spec, took)
        if machine is not None:
            failure_attribution.task_done(job, machine, self.machines, now)
            self.unassign(task)
        job.tasks.pop(task.index, None)
        job.done.add(task.index)
        self._note_end(task)
        self.stirred[job] = None
        self.touch(task)
        if job.kind is Kind.GANG and not job.cancelled:
            self.complete_gang(job)
        if job.cancelled:
            self._clean_if_gone(job)
        elif len(job.done) >= job.spec.tasks and not job.finishing:
            job.finishing = True
            self.waiting.discard(job)
            self.to_finish[job] = None

    def _note_end(self, task: Task) -> None:
        self.unwritten_ends[task.job, task.index] = task.attempt
        if len(self.new_ends) < ROWS_MOST:
            self.new_ends.append((task.job.ref, task.index, task.attempt))

    def complete_gang(self, job: Job) -> None:
        """One of its tasks is done, so all are (PROTOCOL, "Gangs"): what is on no machine is done now, the rest once it
        is proven gone.

        A task whose machine died in the moment of the end was once started again by itself, though it was done.
        """
        for task in list(job.tasks.values()):
            if task.phase is Phase.PLACED and not never_sent(task):
                continue
            if task.machine is not None:
                self.unassign(task)
            del job.tasks[task.index]
            job.done.add(task.index)
            self._note_end(task)
            self.touch(task)
        job.again.clear()
        job.done.update(range(job.fresh, job.spec.tasks))
        job.fresh = job.spec.tasks
        self.waiting.discard(job)

    @staticmethod
    def _learn_speed(machine: Machine, took: int, predicted: int) -> None:
        if predicted > 0:
            machine.slow_count += 1
            machine.slow += (min(took / predicted, 10.0) - machine.slow) / min(machine.slow_count, 4)

    # --- where a job may run ----------------------------------------------------------------

    def learn_types(self, types: dict[str, wire.MachineType]) -> None:
        """The catalog as it is now."""
        self.types.clear()
        self.types.update(types)
        self.types_seen += 1

    def allowed(self, job: Job) -> list[wire.MachineType]:
        """Machine types that can run a job, found once a catalog."""
        if job.allowed is None or job.allowed[0] != self.types_seen:
            job.allowed = (self.types_seen, allowed_types(job.spec, self.types))
        return job.allowed[1]

    def suited(self, job: Job) -> list[wire.MachineType]:
        """Those it is meant for: machines with GPUs are for work that needs them, or has no other place."""
        return self._suited(job)[1]

    def suited_names(self, job: Job) -> tuple[str, ...]:
        return self._suited(job)[2]

    def _suited(self, job: Job) -> tuple[int, list[wire.MachineType], tuple[str, ...]]:
        found = job.suited
        if found is None or found[0] != self.types_seen:
            types = self.allowed(job)
            if job.spec.gpus <= 0:
                types = [kind for kind in types if kind.gpus == 0] or types
            found = job.suited = (self.types_seen, types, tuple(kind.name for kind in types))
        return found

    def takes_free_spot(self, job: Job) -> bool:
        """Routed to spot; or long work that loses little there and is expected to start soon.

        Such a gang waited for an ordinary machine to boot while a spot one stood by, kept for its like.
        """
        if job.tier in (SPOT, ""):
            return True
        spec = job.spec
        return spec.spot and spec.checkpoint_s > 0 and spec.gpus > 0 and spec.job_class in self.start_aims
