"""Jobs, and the machines that their tasks are on: claimed, placed, stopped, lost and done."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from oatport import wire
from oatport.control.placement import failure_attribution
from oatport.control.placement.retry_policy import RetryPolicies, RetryPolicy, may_retry, never_sent
from oatport.control.queueing.dependency_tracker import DependencyTracker
from oatport.control.queueing.pending_queue import PendingQueue
from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.queueing.tier_router import SPOT, TierRouter
from oatport.control.state.cancellations import answers_until
from oatport.control.state.capacity import feasible_machine_types
from oatport.control.state.completions import ROWS_MOST, Completion
from oatport.control.state.job import PRIORITIES, DeferredStart, Job, JobKind
from oatport.control.state.job_statistics import JobStatistics
from oatport.control.state.machine import Machine
from oatport.control.state.quota import TeamQuotas
from oatport.control.state.task import Task, TaskPhase
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
        self.catalog_generation = 0  # goes up when the catalog changes
        self.router = TierRouter(
            predictor,
            tuning.us("spot_threshold_s"),
            tuning.slack_factor,
            tuning.threshold_percentile,
            tail_factor=tuning.tail_factor,
        )
        self.start_objectives = {
            aim.job_class: micros(aim.within_s) for aim in settings.objectives if aim.kind == "wait"
        }
        self.router.start_objectives = self.start_objectives
        # class -> the multiples of its jobs' deadlines that users look at, the nearest first
        self.deadline_objectives: dict[str, tuple[float, ...]] = {}
        self.completion_objectives: dict[str, tuple[int, ...]] = {}  # class -> how soon its jobs should be done
        for aim in sorted(settings.objectives, key=lambda a: a.times):
            if aim.kind == "finished":
                within = micros(aim.within_s)
                self.completion_objectives[aim.job_class] = (*self.completion_objectives.get(aim.job_class, ()), within)
            if aim.kind == "deadline":
                self.deadline_objectives[aim.job_class] = (*self.deadline_objectives.get(aim.job_class, ()), aim.times)
        self.pending = PendingQueue()
        self.job_statistics = JobStatistics()
        self.jobs_with_changed_counts: dict[
            Job, None
        ] = {}  # jobs whose counts, as users are shown them, may have changed
        self.binding_changes = 0  # goes up when a task comes to a machine or leaves it
        self.released_machines: set[str] = set()  # names that a release answered: gone for good
        self.quotas = TeamQuotas(settings.teams)
        self.cost_by_use: defaultdict[str, float] = defaultdict(float)  # money by what machines did
        self._accounted_at = 0
        self.replica_us = 0  # time that replicas were on machines, all in all
        self.moved_us = 0  # and what they missed by being moved
        self.heartbeat_us = micros(settings.workers.report_s)
        self.lease_us = micros(settings.workers.lease_s)
        self.heartbeat_fresh_us = 2 * self.heartbeat_us + SECOND
        self.usable_machines: list[Machine] = []
        self.partitioned_zones: dict[str, int] = {}  # zones that nothing is heard from -> since when (steady)
        self.lease_proxied_zones: set[str] = (
            set()
        )  # of these, where a node was cut off along and keeps the workers' leases
        self.recovered_zones: set[str] = (
            set()
        )  # zones that are heard from again: their machines are to be asked at once
        self.singleton_records[DARK_KEY] = self.partitioned_zones_record
        self.upcoming_starts: list[
            tuple[Job, int]
        ] = []  # held work that is let go soon, and how many tasks: it counts as ahead
        self.retry_policies: RetryPolicies = {}
        self.on_runtime_measured: Callable[[Job, int], None] = lambda job, took: None  # a task's run time was seen
        self.tasks_by_priority = [0] * len(PRIORITIES)  # tasks on machines, by priority
        self.completions_unknown = False  # earlier leaders may have taken in ends that nobody tells of now
        self.unwritten_completions: dict[
            tuple[Job, int], int
        ] = {}  # tasks that are done, and the attempt: maybe in no record
        self.new_completions: list[Completion] = []  # of these, what the other nodes were not told yet

    def partitioned_zones_record(self) -> dict[str, Any]:
        """Zones that are cut off, and since when by the time of day; those with a node that keeps leases there."""
        zones = {zone: since + self.wall_offset for zone, since in self.partitioned_zones.items()}
        return (
            {"zones": zones, "kept": sorted(self.lease_proxied_zones)} if self.lease_proxied_zones else {"zones": zones}
        )

    # --- jobs -------------------------------------------------------------------------------

    def add_job(self, ref: str, spec: wire.Submission, version: int, submitted_at: int) -> Job:
        job = self.jobs.get(ref)
        if job is None:
            job = self.jobs[ref] = Job(ref, spec, version, submitted_at)
            self.versions[live_key(ref)] = version
            self.admit(job)
            self.on_accepted(job)
            if ref in self.quotas.unknown:
                self.resolve_orphaned_attempts(ref, spec)
            if ref in self.confirmed_cancellations:
                self.cancel_job(ref, 0, self.confirmed_cancellations[ref])
        return job

    def admit(self, job: Job) -> None:
        """It may start from now on."""
        repeat = self.retry_policies.get(job.spec.job_class, RetryPolicy.ANY)
        job.at_most_once = repeat is not RetryPolicy.ANY and job.kind is not JobKind.SERVICE
        job.unplaced_since = self.now or 1
        self.pending.add(job)
        self.planning_needed = True
        self.dependency_graph.seen(job.job_id)
        self.dependency_graph.stale[job.job_id] = None

    def on_accepted(self, job: Job) -> None:
        """It was accepted."""
        job.in_statistics = True
        self.job_statistics.joined(job)

    def own_deadlines(self, job: Job) -> list[int]:
        """Times of day by which its users look for its end: its deadline, and the multiples of it that they name."""
        if job.spec.deadline_s is None:
            return []
        multiples = self.deadline_objectives.get(job.spec.job_class) or (1.0,)
        return sorted(job.submitted_at + micros(job.spec.deadline_s * multiple) for multiple in multiples)

    def image_fetch_us(self, job: Job) -> int:
        """How long its image takes to get to a machine of the types that suit it."""
        rates = [kind.image_fetch_gb_per_s for kind in self.preferred_types(job) if kind.image_fetch_gb_per_s > 0]
        return micros(job.spec.image_size_gb / min(rates)) if rates else 0

    def set_urgency(self, job: Job, rank: int, dues: list[int]) -> None:
        """What jobs that need it ask of it. Its tasks on machines count with its priority."""
        if rank == job.priority_rank and dues == job.inherited_deadlines:
            return
        for task in job.tasks.values():
            if task.machine is not None:
                self._count_priority(task, task.machine, -1)
        job.priority_rank = rank
        for task in job.tasks.values():
            if task.machine is not None:
                self._count_priority(task, task.machine, 1)
        job.inherited_deadlines, job.deadlines, job.deadline_at, job.attainable_deadline = dues, None, 0, 0
        self.pending.reroute(job)
        self.planning_needed = True

    def _count_priority(self, task: Task, machine: Machine, sign: int) -> None:
        job, spec = task.job, task.job.spec
        machine.cpus_by_priority[job.priority_rank] += sign * spec.cpus
        self.tasks_by_priority[job.priority_rank] += sign
        use = self.quotas.get(spec.team)
        if use and job.kind is JobKind.ARRAY:
            use.rank_arrays[job.priority_rank] += sign

    def cancel_job(self, ref: str, mark_version: int, told_after: int = 0) -> None:
        """Its user was told that it is cancelled: nothing starts any more, all its tasks must go.

        So are all that need it. `mark_version`: of its mark under `live/`; 0: told, but not read in the records yet.
        `told_after` (steady): not before that, as far as is known.
        """
        self.cancel_dependents(ref)
        job = self.jobs.get(ref)
        if job is None:
            self.cancel_blocked(ref, mark_version)
            return
        if mark_version:
            self.versions[cancel_key(ref)] = mark_version
        if job.failure_reason:  # its user was faster than the record of that
            job.failure_reason, job.completing, job.cancelled_after = "", False, told_after
            self.jobs_to_complete.pop(job, None)
        if job.cancelled:
            self._delete_if_gone(job)
            return
        job.cancelled = True
        job.cancelled_after = told_after
        self.pending.discard(job)
        self.jobs_to_complete.pop(job, None)
        self._cancel_tasks(job)

    def cancel_confirmed(self, ref: str, mark_version: int, told_after: int) -> None:
        """A node told its user that it is cancelled, which may not be known here."""
        if ref not in self.jobs and ref not in self.blocked_jobs and ref not in self.jobs_to_cancel:
            self.remember_cancelled(ref, told_after)
        self.cancel_job(ref, mark_version, told_after)

    def _cancel_tasks(self, job: Job) -> None:
        """No task of it starts any more, and those on machines leave."""
        for task in list(job.tasks.values()):
            if task.phase is TaskPhase.BINDING:
                self.unbind(task)
            elif task.phase is TaskPhase.BOUND:
                self.stop(task, 0.0)
        self._delete_if_gone(job)

    def cancellation_watermark(self, known_at: int) -> int:
        """The moment (steady) up to which cancellations told are known and their tasks proven gone; 0: none.

        `known_at`: up to which they are known. Tasks that nobody knows may be of a cancelled job.
        """
        if any(machine.orphaned_attempts for machine in self.machines.values()):
            return 0
        left = [
            job.cancelled_after
            for job in self.jobs.values()
            if job.cancelled and (job.on_machines or job.orphaned_attempt_count)
        ]
        return min([known_at, *left])

    def defer(self, job: Job, opened: int, hold: DeferredStart) -> None:
        """Of its tasks only the first `opened` may start; recorded, so that the next leader holds it as well."""
        job.start_limit, job.deferral = opened, hold
        if not job.pending:
            self.pending.discard(job)
        elif not (job.cancelled or job.completing):
            self.pending.add(job)
        self.planning_needed = True
        hold.write_count += 1
        self.dirty_keys[live_key(job.job_id)] = None

    def release_deferred(self, job: Job, count: int) -> None:
        """So many more tasks of a held job may start. Not written by itself: the plan that is recorded says so."""
        if job.start_limit < 0 or job.cancelled or job.completing:
            return
        job.start_limit = min(max(job.start_limit, job.next_untouched) + count, job.spec.task_count)
        if job not in self.pending:
            job.unplaced_since = self.now or 1
        self.pending.add(job)
        self.planning_needed = True

    def _delete_if_gone(self, job: Job) -> None:
        if not job.cancelled or job.on_machines or job.orphaned_attempt_count:
            return
        if job.failure_reason:
            job.completing = True
            self.jobs_to_complete[job] = None
        elif self.versions.get(cancel_key(job.job_id)):  # else its keys wait for the record: the mark goes with them
            self.jobs_to_delete[job] = None

    def lease_renewal_bound(self, job: Job) -> int:
        """A cancelled job: until when (steady) a worker's lease may be renewed that might let a task of it run on."""
        return answers_until(self.settings.workers, job.cancelled_after)

    def remove_job(self, job: Job) -> None:
        self.jobs.pop(job.job_id, None)
        if job.in_statistics:
            job.in_statistics = False
            self.job_statistics.over(job)
        self.jobs_with_changed_counts.pop(job, None)
        self.pending.discard(job)
        self.predictor.forget_job(job.job_id)
        left = set(self.orphaned_keys)  # their versions are still needed
        for key in [k for k in self._job_keys(job) if k in self.versions and k not in left]:
            self.versions.pop(key, None)
            self.urgent_keys.pop(key, None)
            self.dirty_keys.pop(key, None)
            self._completions_since.pop(key, None)

    # --- tasks on machines ------------------------------------------------------------------

    def bind(self, task: Task, machine: Machine) -> None:
        job, spec = task.job, task.job.spec
        task.machine = machine
        self.binding_changes += 1
        machine.settled_heartbeat = None
        machine.tasks.add(task)
        self.count_usage(job, spec, machine, 1)
        self._count_priority(task, machine, 1)
        if job.kind is JobKind.SERVICE:
            machine.service_cpus += spec.cpus
        else:
            machine.finite_tasks.add(task)
        job.on_machines += 1

    def count_usage(self, job: Job | None, spec: wire.Submission, machine: Machine, sign: int) -> None:
        """An attempt is on a machine from now on (1), or proven gone from it (-1): the one place where that is counted.

        For its machine, its team and its job's zones; whether a record puts it there or only a report shows it.
        """
        machine.reserve(sign * spec.cpus, sign * spec.gpus, sign * spec.memory_gb)
        self.quotas.count(spec, sign)
        if job is not None:
            job.tasks_by_zone[machine.zone] = job.tasks_by_zone.get(machine.zone, 0) + sign
            if not job.tasks_by_zone[machine.zone]:
                del job.tasks_by_zone[machine.zone]

    def resolve_orphaned_attempts(self, ref: str, spec: wire.Submission | None) -> None:
        """A job of which attempts were seen is known now; None: nobody ever submitted it."""
        raise NotImplementedError

    def unbind(self, task: Task) -> None:
        """The task is on no machine: it never got there, or is proven gone."""
        job, spec, machine = task.job, task.job.spec, task.machine
        assert machine is not None
        machine.tasks.discard(task)
        self.binding_changes += 1
        machine.settled_heartbeat = None
        self.unacknowledged_tasks.discard(task)
        self.jobs_with_changed_counts[job] = None
        self.count_usage(job, spec, machine, -1)
        self._count_priority(task, machine, -1)
        machine.finite_tasks.discard(task)
        if job.kind is JobKind.SERVICE:
            machine.service_cpus -= spec.cpus
        job.on_machines -= 1
        if spec.gpus > 0 and machine.free_gpus >= machine.type.gpus - 1e-9:
            machine.gpus_idle_since = self.now
        task.to_pending()
        self.planning_needed = True

    def requeue(self, task: Task, *, lost: bool, unexecuted: bool = False) -> None:
        """A task that left its machine without being done wants another, if its class allows that.

        `unexecuted`: it is proven that the attempt never began.
        """
        job = task.job
        if job.kind is JobKind.GANG and job.completed and not job.cancelled:
            self.complete_task(task, self.now, measured=False)  # one of them is done, so it is as well
            return
        repeat = self.retry_policies.get(job.spec.job_class, RetryPolicy.ANY)
        if not job.cancelled and not may_retry(repeat, task, unexecuted):
            self.fail_job(task, "a task may have begun and may not run again")
            return
        if task.machine is not None:
            self.unbind(task)
        job.retry_queue.append(task.index)
        if lost:
            job.loss_count += 1
        self.mark_dirty(task)
        if job.cancelled:
            self._delete_if_gone(job)
            return
        self._return_to_queue(job)
        if job.kind is JobKind.GANG:
            self._gang_lost_task(job)

    def _return_to_queue(self, job: Job) -> None:
        job.unplaced_since = job.unplaced_since or self.now or 1
        self.pending.add(job)

    def fail_job(self, task: Task, cause: str) -> None:
        """A task may not run again, so the job ends as lost: the rest of it is stopped, then that is recorded.

        The task's own row says so from its next record on, whatever leader reads it.
        """
        job = task.job
        if task.machine is not None:
            self.unbind(task)
        task.retry_exhausted = True
        self.mark_dirty(task, urgent=True)
        if job.cancelled or job.completing:
            self._delete_if_gone(job)
            return
        log.info("job %s is lost: task %d: %s", job.job_id, task.index, cause)
        job.failure_reason, job.cancelled = cause, True
        self.pending.discard(job)
        self._cancel_tasks(job)

    def _gang_lost_task(self, job: Job) -> None:
        """A gang runs whole or not: what is left of this attempt is called off.

        Running tasks exit with `mates_gone` by themselves and a stopped one would do no harm.
        """
        for task in list(job.tasks.values()):
            if task.phase is TaskPhase.BOUND and task.status in (
                "",
                wire.TaskStatus.FETCHING_IMAGE,
                wire.TaskStatus.WAITING_FOR_GANG,
            ):
                self.stop(task, 0.0)

    def begin_binding(self, job: Job, machine: Machine, now: int, attempt: int | None = None) -> Task:
        task = job.take_pending()
        task.attempt = attempt if attempt is not None else task.attempt + 1
        task.phase = TaskPhase.BINDING
        task.binding_at = now
        task.binding_epoch = machine.agent_epoch
        job.unplaced_since = now if job.pending else 0
        self.bind(task, machine)
        machine.images.setdefault(job.spec.image, now)
        machine.idle_since = 0
        self.mark_dirty(task, urgent=True)
        if not job.pending:
            self.pending.discard(job)
        return task

    def stop(self, task: Task, grace_s: float) -> None:
        """Have a placed task leave its machine; repeated until a report shows it gone."""
        if task.stop_grace_s is not None and grace_s >= task.stop_grace_s:
            return
        if task.binding_at and not task.start_epoch:
            # Committed by this leader, but its start never went out: it is nowhere.
            job = task.job
            self.unbind(task)
            if job.kind is JobKind.GANG and job.completed and not job.cancelled:
                self.complete_task(task, self.now, measured=False)
                return
            job.retry_queue.append(task.index)
            self.mark_dirty(task)
            if job.cancelled:
                self._delete_if_gone(job)
            else:
                self._return_to_queue(job)
            return
        task.stop_grace_s = grace_s
        if task.machine is not None:
            task.machine.settled_heartbeat = None
            self.machines_to_command.add(task.machine)

    def complete_task(self, task: Task, now: int, *, measured: bool = True) -> None:
        job = task.job
        machine = task.machine
        # What an earlier leader started seems to run only since this one first heard of it.
        if (
            measured
            and task.binding_at
            and task.running_since
            and job.kind is not JobKind.SERVICE
            and not task.stop_grace_s
        ):
            took = now - task.running_since
            if machine is not None:
                self._learn_speed(machine, took, self.predictor.run_time(job.job_id, job.spec))
            self.on_runtime_measured(job, took)
            self.predictor.task_completed(job.job_id, job.spec, took)
        if machine is not None:
            failure_attribution.record_success(job, machine, self.machines, now)
            self.unbind(task)
        job.tasks.pop(task.index, None)
        job.completed.add(task.index)
        self._note_completion(task)
        self.jobs_with_changed_counts[job] = None
        self.mark_dirty(task)
        if job.kind is JobKind.GANG and not job.cancelled:
            self.complete_gang(job)
        if job.cancelled:
            self._delete_if_gone(job)
        elif len(job.completed) >= job.spec.task_count and not job.completing:
            job.completing = True
            self.pending.discard(job)
            self.jobs_to_complete[job] = None

    def _note_completion(self, task: Task) -> None:
        self.unwritten_completions[task.job, task.index] = task.attempt
        if len(self.new_completions) < ROWS_MOST:
            self.new_completions.append((task.job.job_id, task.index, task.attempt))

    def complete_gang(self, job: Job) -> None:
        """One of its tasks is done, so all are (PROTOCOL, "Gangs"): what is on no machine is done now, the rest once it
        is proven gone.

        A task whose machine died in the moment of the end was once started again by itself, though it was done.
        """
        for task in list(job.tasks.values()):
            if task.phase is TaskPhase.BOUND and not never_sent(task):
                continue
            if task.machine is not None:
                self.unbind(task)
            del job.tasks[task.index]
            job.completed.add(task.index)
            self._note_completion(task)
            self.mark_dirty(task)
        job.retry_queue.clear()
        job.completed.update(range(job.next_untouched, job.spec.task_count))
        job.next_untouched = job.spec.task_count
        self.pending.discard(job)

    @staticmethod
    def _learn_speed(machine: Machine, took: int, predicted: int) -> None:
        if predicted > 0:
            machine.slowdown_samples += 1
            machine.slowdown += (min(took / predicted, 10.0) - machine.slowdown) / min(machine.slowdown_samples, 4)

    # --- where a job may run ----------------------------------------------------------------

    def update_catalog(self, types: dict[str, wire.MachineType]) -> None:
        """The catalog as it is now."""
        self.types.clear()
        self.types.update(types)
        self.catalog_generation += 1

    def feasible_types(self, job: Job) -> list[wire.MachineType]:
        """Machine types that can run a job, found once a catalog."""
        if job.feasible_types is None or job.feasible_types[0] != self.catalog_generation:
            job.feasible_types = (self.catalog_generation, feasible_machine_types(job.spec, self.types))
        return job.feasible_types[1]

    def preferred_types(self, job: Job) -> list[wire.MachineType]:
        """Those it is meant for: machines with GPUs are for work that needs them, or has no other place."""
        return self._preferred_types(job)[1]

    def preferred_type_names(self, job: Job) -> tuple[str, ...]:
        return self._preferred_types(job)[2]

    def _preferred_types(self, job: Job) -> tuple[int, list[wire.MachineType], tuple[str, ...]]:
        found = job.preferred_types
        if found is None or found[0] != self.catalog_generation:
            types = self.feasible_types(job)
            if job.spec.gpus <= 0:
                types = [kind for kind in types if kind.gpus == 0] or types
            found = job.preferred_types = (self.catalog_generation, types, tuple(kind.name for kind in types))
        return found

    def may_use_free_spot(self, job: Job) -> bool:
        """Routed to spot; or long work that loses little there and is expected to start soon.

        Such a gang waited for an ordinary machine to boot while a spot one stood by, kept for its like.
        """
        if job.tier in (SPOT, ""):
            return True
        spec = job.spec
        return (
            spec.spot and spec.checkpoint_interval_s > 0 and spec.gpus > 0 and spec.job_class in self.start_objectives
        )
