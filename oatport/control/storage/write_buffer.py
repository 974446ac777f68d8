"""The write buffer: tracks which records must be written to the state service and which ones exist there."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase
from oatport.control.storage.batch_builder import BatchBuilder
from oatport.control.storage.fleet_records import FleetRecord, decode_fleet, encode_fleet, fleet_span
from oatport.control.storage.job_records import (
    has_tasks,
    row_count,
)
from oatport.control.storage.keys import (
    BLOCKED_PREFIX,
    FLEET_PREFIX,
    JOBS_PREFIX,
    LIVE_PREFIX,
    MACHINES_PER_GROUP,
    MODEL_KEY,
    TASKS_PER_CHUNK,
    blocked_key,
    cancel_key,
    chunk_key,
    first_machine,
    first_task,
    group_key,
    job_key,
    live_key,
)
from oatport.control.storage.record_layout import RecordLayout
from oatport.control.storage.refused_writes import RefusedWrites
from oatport.control.storage.write_batch import WriteBatch
from oatport.sizes import json_size

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState


class WriteBuffer:
    """Holds the pending writes and the revisions of the stored records, and provides the next transaction."""

    def __init__(self, cluster: ClusterState, layout: RecordLayout) -> None:
        self.cluster = cluster
        self.layout = layout
        # Keys whose stored record covers more tasks or machines than the current layout allows -> end of its range.
        self.oversized_records: dict[str, int] = {}
        # The value limit was lowered, but not all nodes can read parts yet: larger records are not written.
        self.is_value_limit_lowered = False
        self._withheld_keys: dict[str, None] = {}  # keys of records that exceed the lowered limit
        # Keys with a single record of their kind -> function that returns the value to write.
        self.singleton_records: dict[str, Callable[[], dict[str, Any]]] = {MODEL_KEY: cluster.predictor.record}
        self.versions: dict[str, int] = {}  # the leader's own keys -> last known revision
        self.urgent_keys: dict[str, int] = {}  # keys to write now, such as bindings -> priority rank of the job
        self.dirty_keys: dict[str, None] = {}  # keys to write soon, such as completions
        self._first_completion_at: dict[str, int] = {}  # dirty task records -> first completion (steady)
        self.in_flight_keys: set[str] = set()  # of the transaction in flight
        self.jobs_to_complete: dict[Job, None] = {}  # finished: record their state, delete their keys
        self.jobs_to_delete: dict[Job, None] = {}  # cancelled and on no machine: delete their keys
        self.jobs_to_cancel: dict[str, Job] = {}  # blocked jobs with a cancelled dependency
        self.orphaned_keys: list[str] = []  # keys to delete whose job no longer exists
        self.refused = RefusedWrites()
        # Removed jobs -> the revision at which their completion was recorded.
        self.terminal_revisions: dict[str, int] = {}

    def mark_dirty(self, task: Task, *, urgent: bool = False) -> None:
        """Schedules a write of a task's record: soon, or now if `urgent`."""
        key = self.layout.task_key(task.job, task.index)
        if urgent:
            self.dirty_keys.pop(key, None)
            self.urgent_keys[key] = task.job.priority_rank
        elif key not in self.urgent_keys:
            self.dirty_keys[key] = None
            self._first_completion_at.setdefault(key, self.cluster.now)

    def task_record_keys(self, job: Job, index: int) -> set[str]:
        """Returns the key of a task's record, and the key that it had before all nodes could read parts."""
        return {self.layout.task_key(job, index), chunk_key(job.job_id, index // TASKS_PER_CHUNK)}

    def is_unwritten(self, job: Job, index: int) -> bool:
        """Returns whether a task's state may not be recorded yet: a record of the task is still to be written."""
        return any(
            key in self.dirty_keys
            or key in self.urgent_keys
            or key in self.in_flight_keys
            or key in self._withheld_keys
            or self.refused.is_withheld(key)
            for key in self.task_record_keys(job, index)
        )

    def mark_machine_dirty(self, machine: Machine, *, urgent: bool = False) -> None:
        """Schedules a write of a machine's record: soon, or now if `urgent`."""
        key = self.layout.fleet_key(machine.number)
        if urgent:
            self.urgent_keys[key] = 0
        else:
            self.dirty_keys[key] = None
        main_key = group_key(machine.number // MACHINES_PER_GROUP)
        if main_key in self.oversized_records:
            self.dirty_keys[main_key] = None  # otherwise a machine that is gone would remain in it

    def fleet_value(self, key: str) -> dict[str, Any]:
        """Returns the value of a fleet record."""
        low, high = self.layout.fleet_span(key)
        return encode_fleet((m for m in self.cluster.machines.values() if low <= m.number < high), high - low)

    def job_keys(self, job: Job) -> list[str]:
        """Returns all keys that a job may have: the blocked record first, then the head record."""
        heads = [blocked_key(job.job_id), live_key(job.job_id), cancel_key(job.job_id)]
        chunks = (job.next_unbound_index + TASKS_PER_CHUNK - 1) // TASKS_PER_CHUNK if job.next_unbound_index else 0
        keys = dict.fromkeys([*heads, *(chunk_key(job.job_id, c) for c in range(1, chunks))])
        if self.layout.should_split_records:
            keys |= dict.fromkeys(self.layout.task_keys(job, 0, job.next_unbound_index))
        return list(keys)

    def forget_job(self, job: Job) -> None:
        """Discards the versions and pending writes of a job whose records were deleted."""
        orphaned = set(self.orphaned_keys)  # their versions are still needed for the deletion
        for key in [k for k in self.job_keys(job) if k in self.versions and k not in orphaned]:
            self.versions.pop(key, None)
            self.discard_key(key)
        self.refused.discard((job_key(job.job_id), *self.job_keys(job)))

    def expedite(self, key: str) -> None:
        """Makes the pending write of a dirty record urgent; does nothing for other records."""
        if key in self.dirty_keys:
            del self.dirty_keys[key]
            self.urgent_keys[key] = 0

    def update_oversized_records(self, key: str, value: Any) -> None:
        """Tracks whether a stored record covers more tasks or machines than the current layout allows."""
        if key.startswith(FLEET_PREFIX):
            low, high = self.layout.fleet_span(key)
            is_oversized = fleet_span(value) > high - low
            end = low + MACHINES_PER_GROUP
        elif key.startswith(LIVE_PREFIX) and has_tasks(value):
            job_id, low = first_task(key)
            job = self.cluster.jobs.get(job_id)
            end = low + row_count(value)
            is_oversized = job is not None and end > self.layout.task_span(job, key)[1]
        else:
            return
        if is_oversized:
            self.oversized_records[key] = end
        else:
            self.oversized_records.pop(key, None)

    def enable_record_parts(self) -> None:
        """Starts writing chunks and groups in parts, once all nodes can read them."""
        if self.layout.should_split_records:
            return
        pending_ranks: dict[str, int | None] = {
            **dict.fromkeys(self._withheld_keys),
            **self.dirty_keys,
            **self.urgent_keys,
        }
        self._withheld_keys.clear()
        self.is_value_limit_lowered = False
        self.layout.should_split_records = True
        self._mark_oversized_records()
        for key, rank in pending_ranks.items():
            for part in self._current_keys_of(key):
                if rank is not None:
                    self.dirty_keys.pop(part, None)
                    self.urgent_keys[part] = rank
                elif part not in self.urgent_keys:
                    self.dirty_keys[part] = None

    def _mark_oversized_records(self) -> None:
        for job in self.cluster.jobs.values():
            for low in range(0, job.next_unbound_index, TASKS_PER_CHUNK):
                key, end = (
                    chunk_key(job.job_id, low // TASKS_PER_CHUNK),
                    min(low + TASKS_PER_CHUNK, job.next_unbound_index),
                )
                if self.versions.get(key) and end > self.layout.task_span(job, key)[1]:
                    self.oversized_records[key] = end
        if self.layout.machines_per_part < MACHINES_PER_GROUP:
            self.oversized_records |= {
                key: first_machine(key)[1] + MACHINES_PER_GROUP for key in self.versions if key.startswith(FLEET_PREFIX)
            }

    def _current_keys_of(self, key: str, rows: int = TASKS_PER_CHUNK) -> list[str]:
        """Returns the keys that now hold the contents of a key, which may date from before parts were written."""
        if key.startswith(FLEET_PREFIX):
            return list(self.layout.fleet_keys(key))
        if not key.startswith(LIVE_PREFIX):
            return [key]
        job_id, low = first_task(key)
        job = self.cluster.jobs.get(job_id)
        return [] if job is None else [key, *self.layout.task_keys(job, low, min(low + rows, job.next_unbound_index))]

    def has_pending_writes(self) -> bool:
        """Returns whether there are pending writes."""
        return bool(
            self.urgent_keys
            or self.dirty_keys
            or self.jobs_to_complete
            or self.jobs_to_delete
            or self.jobs_to_cancel
            or self.orphaned_keys
            or self.refused.has_due(self.cluster.now)
        )

    def has_urgent_writes(self) -> bool:
        """Returns whether there are pending writes that a task start or a user waits for."""
        return bool(self.urgent_keys or self.jobs_to_complete or self.jobs_to_cancel)

    def take_batch(self, max_operations: int, budget: int | None = None, batching_window: int = 0) -> WriteBatch:
        """Returns the next transaction of at most `max_operations` operations, the most urgent first.

        `batching_window`: how long task completions wait for further completions in the same record, and for the
        completion of the job, which makes recording them unnecessary. Without batching, half of all writes were records
        rewritten for one more completion.

        `budget`: number of operations that may be sent now. Non-urgent writes are added only within the budget;
        otherwise bindings would wait for writes of completions, and a lost replica for those of a whole zone.
        """
        for withheld in self.refused.take_due(self.cluster.now):
            self._restore_withheld(withheld)
        batch = BatchBuilder(self, max_operations).build(budget, batching_window)
        self.in_flight_keys = {*batch.sets, *batch.deletes}
        return batch

    # --- used by BatchBuilder -----------------------------------------------------------------

    def stored_job_keys(self, job: Job) -> list[str]:
        """Returns the stored keys of a job."""
        return [key for key in self.job_keys(job) if self.versions.get(key)]

    def is_due(self, key: str, batching_window: int) -> bool:
        """Returns whether the batching window of a record is over; a record without new completions is always due."""
        return self.cluster.now - self._first_completion_at.get(key, -batching_window) >= batching_window

    def clear_first_completion(self, key: str) -> None:
        """Ends the batching window of a record that is being written."""
        self._first_completion_at.pop(key, None)

    def discard_key(self, key: str) -> None:
        """Discards the pending writes of a key that is being deleted."""
        self.urgent_keys.pop(key, None)
        self.dirty_keys.pop(key, None)
        self._first_completion_at.pop(key, None)

    def withhold_if_too_large(self, key: str, value: Any) -> bool:
        """Withholds a record that exceeds the value limit until records can be split; returns whether it does so."""
        if self.is_value_limit_lowered and json_size(value) > self.layout.max_value_bytes:
            self._withheld_keys[key] = None
            return True
        return False

    # --- outcomes -----------------------------------------------------------------------------

    def committed(self, batch: WriteBatch, revision: int, now: int) -> None:
        """Applies the effects of a transaction that is known to be committed."""
        self.in_flight_keys = set()
        self.refused.discard(batch.sets)
        for key in batch.deletes:
            self.versions.pop(key, None)
        for key, value in batch.sets.items():
            if key.startswith(JOBS_PREFIX):
                continue
            self.versions[key] = revision
            self.update_oversized_records(key, value)
            if key.startswith(FLEET_PREFIX):
                self._on_machines_persisted(decode_fleet(value))
        for task, attempt, machine in batch.bindings:
            # A binding that was withdrawn and replaced meanwhile is not the one that was written.
            if task.phase is TaskPhase.BINDING and task.attempt == attempt and task.machine is machine:
                self._on_bound(task, machine, revision)
        for job in batch.finished_jobs:
            self.cluster.job_lifecycle.remove(job)
            self.terminal_revisions[job.job_id] = revision
        for job in batch.completed_jobs:
            if not job.failure_reason:
                self.cluster.dependencies.on_completion_recorded(job.job_id, batch.completed_at)

    def _on_machines_persisted(self, record: FleetRecord) -> None:
        for row in record.machines:
            machine = self.cluster.machines.get(row.name)
            if machine is not None and not machine.persisted:
                machine.persisted = True
                self.cluster.planning_needed = True

    def _on_bound(self, task: Task, machine: Machine, revision: int) -> None:
        task.phase = TaskPhase.BOUND
        task.bound_at_revision = revision
        self.cluster.unacknowledged_tasks.add(task)
        self.cluster.machines_to_command.add(machine)
        if task.job.kind is JobKind.GANG:
            self.cluster.machines_to_command.update(t.machine for t in task.job.tasks.values() if t.machine)

    def on_refused(self, batch: WriteBatch, retry_at: int) -> bool:
        """Handles a transaction that the state service refused as malformed, and returns whether it is withheld.

        The first time, its records are to be written one by one. A record that was refused alone is withheld until
        `retry_at`, and its job is not placed until then: the capacity that it was bound to is free for other jobs.
        """
        if not self.refused.is_isolated(batch):
            self.refused.add_suspects(batch)
            self.restore_batch(batch)
            return False
        self.in_flight_keys = set()
        self._withdraw_bindings(batch, retry_at)
        for key in batch.sets:
            self.urgent_keys.pop(key, None)
            self.dirty_keys.pop(key, None)
        self.refused.withhold(batch, retry_at)
        return True

    def _restore_withheld(self, batch: WriteBatch) -> None:
        """Returns a withheld batch to the pending writes, without the jobs that were cancelled meanwhile."""
        batch.completed_jobs = [
            job
            for job in batch.completed_jobs
            if self.cluster.jobs.get(job.job_id) is job and (job.failure_reason or not job.cancelled)
        ]
        self.restore_batch(batch)

    def _withdraw_bindings(self, batch: WriteBatch, retry_at: int) -> None:
        for task, attempt, machine in batch.bindings:
            task.job.retry_at = max(task.job.retry_at, retry_at)
            if task.phase is TaskPhase.BINDING and task.attempt == attempt and task.machine is machine:
                self.cluster.tasks.requeue(task, lost=False, unexecuted=True)
        batch.bindings.clear()

    def restore_batch(self, batch: WriteBatch) -> None:
        """Returns the contents of a refused or abandoned transaction to the pending writes."""
        self.in_flight_keys = set()
        for job in batch.completed_jobs:
            self.jobs_to_complete[job] = None
        for job in batch.deleted_jobs:
            self.jobs_to_delete[job] = None
        for job in batch.cancelled_jobs:
            self.jobs_to_cancel[job.job_id] = job
        bound_ranks = {self.layout.task_key(t.job, t.index): t.job.priority_rank for t, _, _ in batch.bindings}
        written = [(key, row_count(value)) for key, value in batch.sets.items() if not key.startswith(JOBS_PREFIX)]
        parts = [part for key, rows in written for part in self._current_keys_of(key, rows)]
        for key in dict.fromkeys([*bound_ranks, *parts]):
            if key in bound_ranks:
                self.dirty_keys.pop(key, None)
                self.urgent_keys[key] = bound_ranks[key]
            elif key not in self.urgent_keys:
                self.dirty_keys[key] = None
        self._restore_deletes(batch)

    def _restore_deletes(self, batch: WriteBatch) -> None:
        finished_keys = {key for job in batch.finished_jobs for key in self.job_keys(job)}
        for key in batch.deletes:
            if key.startswith((FLEET_PREFIX, MODEL_KEY)):
                self.dirty_keys[key] = None
            elif key.startswith(BLOCKED_PREFIX) and key[len(BLOCKED_PREFIX) :] in self.cluster.jobs:
                continue  # deleted with the next attempt to write the first binding
            elif key not in finished_keys:
                self.orphaned_keys.append(key)
