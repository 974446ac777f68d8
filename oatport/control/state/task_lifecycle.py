"""The lifecycle of tasks on machines: binding, stop, drain, requeue and completion."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from oatport import wire
from oatport.control.placement import failure_attribution
from oatport.control.placement.retry_policy import RetryPolicy, may_retry, was_never_sent
from oatport.control.state.job import PRIORITIES, Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase
from oatport.times import micros

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState

log = logging.getLogger(__name__)


class TaskLifecycle:
    """Carries out the state changes of tasks, from the binding to a machine to the completion."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.binding_changes = 0  # incremented when a task is bound to a machine or unbound
        self.bound_by_priority = [0] * len(PRIORITIES)  # tasks on machines, by priority
        self.on_runtime_measured: Callable[[Job, int], None] = lambda job, duration: None  # each measured run time

    def begin_binding(self, job: Job, machine: Machine, now: int, attempt: int | None = None) -> Task:
        """Begins to bind the first pending task of a job to a machine; it starts once the binding is committed."""
        task = job.take_pending()
        task.attempt = attempt if attempt is not None else task.attempt + 1
        task.phase = TaskPhase.BINDING
        task.binding_at = now
        task.binding_epoch = machine.worker_epoch
        job.unplaced_since = now if job.pending else 0
        self.bind(task, machine)
        machine.images.setdefault(job.spec.image, now)
        machine.idle_since = 0
        self.cluster.writes.mark_dirty(task, urgent=True)
        if not job.pending:
            self.cluster.pending.discard(job)
        return task

    def bind(self, task: Task, machine: Machine) -> None:
        """Binds a task to a machine and reserves its resources there."""
        job, spec = task.job, task.job.spec
        task.machine = machine
        self.binding_changes += 1
        machine.settled_heartbeat = None
        machine.tasks.add(task)
        self.count_usage(job, spec, machine, 1)
        self.count_priority(task, machine, 1)
        if job.kind is JobKind.SERVICE:
            machine.service_cpus += spec.cpus
        else:
            machine.finite_tasks.add(task)
        job.placed_task_count += 1

    def count_usage(self, job: Job | None, spec: wire.Submission, machine: Machine, sign: int) -> None:
        """Counts an attempt that is on a machine from now on (`sign` 1), or proven gone from it (-1).

        This is the only place that counts attempts, recorded or only reported, for their machine, their team and their
        job's zones.
        """
        machine.reserve(sign * spec.cpus, sign * spec.gpus, sign * spec.memory_gb)
        self.cluster.quotas.count_usage(spec, sign)
        if job is not None:
            job.tasks_by_zone[machine.zone] = job.tasks_by_zone.get(machine.zone, 0) + sign
            if not job.tasks_by_zone[machine.zone]:
                del job.tasks_by_zone[machine.zone]

    def count_priority(self, task: Task, machine: Machine, sign: int) -> None:
        """Counts a task by its priority when it is placed on a machine (`sign` 1) or is no longer there (-1)."""
        job, spec = task.job, task.job.spec
        machine.cpus_by_priority[job.priority_rank] += sign * spec.cpus
        self.bound_by_priority[job.priority_rank] += sign
        usage = self.cluster.quotas.get(spec.team)
        if usage and job.kind is JobKind.ARRAY:
            usage.array_tasks_by_priority[job.priority_rank] += sign

    def unbind(self, task: Task) -> None:
        """Unbinds a task that never started on its machine or is proven gone from it."""
        job, spec, machine = task.job, task.job.spec, task.machine
        assert machine is not None
        machine.tasks.discard(task)
        self.binding_changes += 1
        machine.settled_heartbeat = None
        self.cluster.unacknowledged_tasks.discard(task)
        self.cluster.jobs_with_changed_counts[job] = None
        self.count_usage(job, spec, machine, -1)
        self.count_priority(task, machine, -1)
        machine.finite_tasks.discard(task)
        if job.kind is JobKind.SERVICE:
            machine.service_cpus -= spec.cpus
        job.placed_task_count -= 1
        if spec.gpus > 0 and machine.free_gpus >= machine.type.gpus - 1e-9:
            machine.gpus_idle_since = self.cluster.now
        task.reset_to_pending()
        self.cluster.planning_needed = True

    def requeue(self, task: Task, *, lost: bool, unexecuted: bool = False) -> None:
        """Requeues a task that left its machine without completing; its job fails if the class allows no retry.

        `lost`: the attempt was lost or preempted, and counts as a retry. `unexecuted`: the attempt is proven never to
        have started.
        """
        job = task.job
        if job.kind is JobKind.GANG and job.completed and not job.cancelled:
            self.complete(task, self.cluster.now, measured=False)  # one member is completed, so all are
            return
        policy = self.cluster.retry_policies.get(job.spec.job_class, RetryPolicy.ANY)
        if not job.cancelled and not may_retry(policy, task, unexecuted):
            self.cluster.job_lifecycle.fail(task, "a task may have begun and may not run again")
            return
        if task.machine is not None:
            self.unbind(task)
        job.retry_queue.append(task.index)
        if lost:
            job.loss_count += 1
        self.cluster.writes.mark_dirty(task)
        if job.cancelled:
            self.cluster.job_lifecycle.delete_if_gone(job)
            return
        self._return_to_queue(job)
        if job.kind is JobKind.GANG:
            self._stop_waiting_members(job)

    def _return_to_queue(self, job: Job) -> None:
        job.unplaced_since = job.unplaced_since or self.cluster.now or 1
        self.cluster.pending.add(job)

    def _stop_waiting_members(self, job: Job) -> None:
        """Stops the gang members that are not running yet, as a gang runs as a whole or not at all.

        Running members exit with `mates_gone` without a command, and a stop would do them no harm.
        """
        for task in list(job.tasks.values()):
            if task.phase is TaskPhase.BOUND and task.status in (
                "",
                wire.TaskStatus.FETCHING_IMAGE,
                wire.TaskStatus.WAITING_FOR_GANG,
            ):
                self.stop(task, 0.0)

    def stop(self, task: Task, grace_s: float) -> None:
        """Stops a bound task; the stop command is repeated until a heartbeat shows that the task is gone."""
        if task.stop_grace_s is not None and grace_s >= task.stop_grace_s:
            return
        if task.binding_at and not task.start_epoch:
            # The binding was committed by this leader, but no start was sent: the task is on no machine.
            job = task.job
            self.unbind(task)
            if job.kind is JobKind.GANG and job.completed and not job.cancelled:
                self.complete(task, self.cluster.now, measured=False)
                return
            job.retry_queue.append(task.index)
            self.cluster.writes.mark_dirty(task)
            if job.cancelled:
                self.cluster.job_lifecycle.delete_if_gone(job)
            else:
                self._return_to_queue(job)
            return
        task.stop_grace_s = grace_s
        if task.machine is not None:
            task.machine.settled_heartbeat = None
            self.cluster.machines_to_command.add(task.machine)

    def drain(self, task: Task, time_left: int, now: int) -> None:
        """Stops a task on a machine that is gone in `time_left` us.

        A task that completes before, or that may not run again, stays. For a gang member, all members are stopped.
        """
        job, spec = task.job, task.job.spec
        if task.phase is not TaskPhase.BOUND or job.at_most_once:
            return
        if job.kind is not JobKind.SERVICE:
            elapsed = now - task.running_since if task.running_since else 0
            remaining = max(self.cluster.predictor.run_time(job.job_id, spec) - elapsed, 0)
            if task.running_since and remaining < time_left * 3 // 4:
                return  # the task will complete before that
        grace = spec.stop_grace_s
        if micros(grace) > time_left:
            grace = 0.0
        if job.kind is JobKind.GANG:
            for member in list(job.tasks.values()):
                if member.phase is TaskPhase.BOUND:
                    self.stop(member, grace)
        else:
            self.stop(task, grace)

    def complete(self, task: Task, now: int, *, measured: bool = True) -> None:
        """Marks a task as completed. `measured`: its run time was observed, and updates the predictions."""
        job = task.job
        machine = task.machine
        # Only for tasks that this leader bound: `running_since` of others is when this leader first saw them running.
        if (
            measured
            and task.binding_at
            and task.running_since
            and job.kind is not JobKind.SERVICE
            and not task.stop_grace_s
        ):
            duration = now - task.running_since
            if machine is not None:
                self._update_slowdown(machine, duration, self.cluster.predictor.run_time(job.job_id, job.spec))
            self.on_runtime_measured(job, duration)
            self.cluster.predictor.task_completed(job.job_id, job.spec, duration)
        if machine is not None:
            failure_attribution.record_success(job, machine, self.cluster.machines, now)
            self.unbind(task)
        job.tasks.pop(task.index, None)
        job.completed.add(task.index)
        self.cluster.completions.on_completed(task)
        self.cluster.jobs_with_changed_counts[job] = None
        self.cluster.writes.mark_dirty(task)
        if job.kind is JobKind.GANG and not job.cancelled:
            self.complete_gang(job)
        if job.cancelled:
            self.cluster.job_lifecycle.delete_if_gone(job)
        elif len(job.completed) >= job.spec.task_count and not job.completing:
            job.completing = True
            self.cluster.pending.discard(job)
            self.cluster.writes.jobs_to_complete[job] = None

    def complete_gang(self, job: Job) -> None:
        """Completes a gang of which one task is completed, which completes all others (PROTOCOL, "Gangs").

        Tasks on no machine are completed now, the others once they are proven gone. Before this rule, a completed task
        whose machine failed at the moment of the completion was started again alone.
        """
        for task in list(job.tasks.values()):
            if task.phase is TaskPhase.BOUND and not was_never_sent(task):
                continue
            if task.machine is not None:
                self.unbind(task)
            del job.tasks[task.index]
            job.completed.add(task.index)
            self.cluster.completions.on_completed(task)
            self.cluster.writes.mark_dirty(task)
        job.retry_queue.clear()
        job.completed.update(range(job.next_unbound_index, job.spec.task_count))
        job.next_unbound_index = job.spec.task_count
        self.cluster.pending.discard(job)

    @staticmethod
    def _update_slowdown(machine: Machine, duration: int, predicted: int) -> None:
        if predicted > 0:
            machine.slowdown_samples += 1
            machine.slowdown += (min(duration / predicted, 10.0) - machine.slowdown) / min(machine.slowdown_samples, 4)
