"""Builds the leader's transactions: selects the contents of the next one, in order of urgency."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from oatport import wire
from oatport.control.state.job import IDLE_RANK, Job
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase
from oatport.control.storage.fleet_records import fleet_size
from oatport.control.storage.job_records import encode_completed_job, encode_job, encode_live_job, encode_tasks
from oatport.control.storage.keys import (
    FLEET_PREFIX,
    LIVE_PREFIX,
    MODEL_KEY,
    blocked_key,
    first_task,
    job_key,
    live_key,
)

if TYPE_CHECKING:
    from oatport.control.storage.write_buffer import WriteBuffer


@dataclass(slots=True)
class WriteBatch:
    """Holds one transaction of the leader, without the condition on the leader key that its sender adds."""

    completed_at: int = 0  # time of day; recorded with finished jobs
    conditions: dict[str, int] = field(default_factory=dict)  # key -> required revision; 0: absent
    sets: dict[str, Any] = field(default_factory=dict)  # key -> new value
    deletes: list[str] = field(default_factory=list)
    bindings: list[tuple[Task, int, Machine]] = field(default_factory=list)  # attempt and machine as written
    completed_jobs: list[Job] = field(default_factory=list)
    deleted_jobs: list[Job] = field(default_factory=list)
    cancelled_jobs: list[Job] = field(default_factory=list)  # a dependency was cancelled

    @property
    def operation_count(self) -> int:
        """Returns the number of keys to set or delete, which the state service limits."""
        return len(self.sets) + len(self.deletes)

    @property
    def finished_jobs(self) -> tuple[Job, ...]:
        """Returns all jobs that the leader can remove once the transaction is committed."""
        return (*self.completed_jobs, *self.deleted_jobs, *self.cancelled_jobs)


class BatchBuilder:
    """Builds one batch from the pending writes of the write buffer, the most urgent first."""

    def __init__(self, writes: WriteBuffer, max_operations: int) -> None:
        self.writes = writes
        self.cluster = writes.cluster
        self.batch = WriteBatch(completed_at=self.cluster.now + self.cluster.wall_offset)
        self._max_transaction_operations = max_operations  # limit of the state service
        self._max_operations = max_operations  # limit for this batch

    def build(self, budget: int | None, batching_window: int) -> WriteBatch:
        """Returns the next transaction; `WriteBuffer.take_batch` explains the arguments."""
        self._add_cancelled_jobs()
        # Bindings of best-effort jobs come after the completions of all other jobs, because users wait for those.
        self._add_urgent(IDLE_RANK - 1)
        self._add_completed_jobs()
        self._add_urgent(IDLE_RANK)
        if budget is not None:
            remaining_urgent = len(self.writes.urgent_keys) + len(self.writes.jobs_to_complete)
            self._max_operations = min(self._max_operations, max(self.batch.operation_count, budget - remaining_urgent))
        self._add_deleted_jobs()
        self._add_dirty(batching_window)
        while self.writes.orphaned_keys and self.batch.operation_count < self._max_operations:
            self._add_deletes([self.writes.orphaned_keys.pop()])
        return self.batch

    # --- finished jobs ------------------------------------------------------------------------

    def _add_cancelled_jobs(self) -> None:
        """Adds jobs that depend on a cancelled job.

        The job status that users see does not depend on these writes (`api/job_status_cache.py`). So while there are
        urgent writes, such as bindings, half of each transaction is left to them: 3,000 cancelled jobs take minutes.
        """
        writes, batch = self.writes, self.batch
        has_urgent = bool(writes.urgent_keys or writes.jobs_to_complete)
        limit = max(2, self._max_operations // 2) if has_urgent else self._max_operations
        for job_id, job in list(writes.jobs_to_cancel.items()):
            if batch.operation_count and batch.operation_count + 2 > limit:
                return
            del writes.jobs_to_cancel[job_id]
            batch.conditions[job_key(job_id)] = job.version
            batch.sets[job_key(job_id)] = encode_job(job, wire.JobStatus.CANCELLED)
            self._add_deletes([blocked_key(job_id)])
            batch.cancelled_jobs.append(job)

    def _add_completed_jobs(self) -> None:
        writes, batch = self.writes, self.batch
        for job in list(writes.jobs_to_complete):
            keys = writes.stored_job_keys(job)
            if batch.operation_count and batch.operation_count + 1 + len(keys) > self._max_operations:
                return
            del writes.jobs_to_complete[job]
            batch.conditions[job_key(job.job_id)] = job.version
            batch.sets[job_key(job.job_id)] = encode_completed_job(job, batch.completed_at)
            self._add_deletes(keys)
            batch.completed_jobs.append(job)

    def _add_deleted_jobs(self) -> None:
        writes, batch = self.writes, self.batch
        is_whole_transaction = self._max_operations == self._max_transaction_operations
        for job in list(writes.jobs_to_delete):
            keys = writes.stored_job_keys(job)
            # All keys in one batch, or as many as a full transaction holds: the cancellation mark must not be deleted
            # before the job that it cancels.
            is_alone = batch.operation_count == 0 and is_whole_transaction
            if batch.operation_count + len(keys) > self._max_operations and not is_alone:
                return
            if job.cancelled and job.placed_task_count:
                del writes.jobs_to_delete[job]
                continue
            if any(key in writes.in_flight_keys for key in keys):
                continue
            del writes.jobs_to_delete[job]
            self._add_deletes(keys)
            batch.deleted_jobs.append(job)

    def _add_deletes(self, keys: list[str]) -> None:
        writes, batch = self.writes, self.batch
        for key in keys:
            if batch.operation_count < self._max_operations:
                batch.conditions[key] = writes.versions.get(key, 0)
                batch.deletes.append(key)
            else:
                writes.orphaned_keys.append(key)
            writes.discard_key(key)

    # --- records to write ---------------------------------------------------------------------

    def _add_urgent(self, lowest_rank: int) -> None:
        urgent = self.writes.urgent_keys
        due = sorted((key for key, rank in urgent.items() if rank <= lowest_rank), key=urgent.__getitem__)
        for key in due:
            if key not in urgent:
                continue  # written together with another record
            if self.batch.operation_count >= self._max_operations or not self._add_record(key):
                return

    def _add_dirty(self, batching_window: int) -> None:
        for key in list(self.writes.dirty_keys):
            if self.batch.operation_count >= self._max_operations:
                return
            if batching_window and not self.writes.is_due(key, batching_window):
                continue
            if key in self.writes.dirty_keys and not self._add_record(key):
                return

    def _add_record(self, key: str) -> bool:
        """Adds a record with its prerequisites.

        Returns False if the batch can't hold them all; the record then remains pending.
        """
        batch = self.batch
        prerequisites = [k for k in self._prerequisite_keys(key) if k not in batch.sets]
        blocked_record_count = sum(self._replaces_blocked_record(k) for k in (key, *prerequisites))
        if (
            batch.operation_count
            and batch.operation_count + 1 + len(prerequisites) + min(blocked_record_count, 1) > self._max_operations
        ):
            return False
        # Too many for one transaction: the prerequisites are written first.
        is_split = len(prerequisites) + 1 > self._max_operations
        for k in prerequisites[: self._max_operations] if is_split else (*prerequisites, key):
            self.writes.urgent_keys.pop(k, None)
            self.writes.dirty_keys.pop(k, None)
            self._put(k)
        return not is_split

    def _replaces_blocked_record(self, key: str) -> bool:
        return bool(key.startswith(LIVE_PREFIX) and self.writes.versions.get(blocked_key(first_task(key)[0])))

    def _prerequisite_keys(self, key: str) -> list[str]:
        """Returns the records that must be written before this one or in the same transaction."""
        if key.startswith(FLEET_PREFIX):
            return self._fleet_prerequisites(key)
        if not key.startswith(LIVE_PREFIX):
            return []
        writes, layout = self.writes, self.writes.layout
        job_id, _ = first_task(key)
        job, head = self.cluster.jobs.get(job_id), live_key(job_id)
        if job is None:
            return []
        if key != head and not writes.versions.get(head):
            return [head]  # the job had dependencies: the head record marks it as no longer blocked
        if key not in writes.oversized_records:
            return []
        parts = layout.task_keys(job, layout.task_span(job, key)[1], writes.oversized_records[key])
        return [part for part in parts if not writes.versions.get(part)]

    def _fleet_prerequisites(self, key: str) -> list[str]:
        writes = self.writes
        if key not in writes.oversized_records:
            return []
        needed = {writes.layout.fleet_key(machine.number) for machine in self.cluster.machines.values()}
        parts = writes.layout.fleet_keys(key)
        return [part for part in parts if part != key and part in needed and not writes.versions.get(part)]

    # --- one record ---------------------------------------------------------------------------

    def _put(self, key: str) -> None:
        """Adds a key with its current value, or its deletion, or nothing if there is nothing to write."""
        writes = self.writes
        writes.clear_first_completion(key)
        if key.startswith(FLEET_PREFIX):
            has_changed = self._put_fleet(key)
        elif key.startswith(MODEL_KEY):
            has_changed = self._put_model(key)
        elif key in writes.singleton_records:
            self.batch.sets[key] = writes.singleton_records[key]()
            has_changed = True
        else:
            has_changed = self._put_tasks(key)
        if has_changed:
            self.batch.conditions[key] = writes.versions.get(key, 0)

    def _put_fleet(self, key: str) -> bool:
        value = self.writes.fleet_value(key)
        if self.writes.withhold_if_too_large(key, value):
            return False
        if fleet_size(value):
            self.batch.sets[key] = value
            return True
        return self._delete_if_stored(key)

    def _put_model(self, key: str) -> bool:
        parts = self.cluster.predictor.parts(self.writes.layout.max_value_bytes)
        number = int(key[len(MODEL_KEY) + 1 :] or 0)
        if number < len(parts):
            self.batch.sets[key] = parts[number]
        elif not self._delete_if_stored(key):
            return False
        if not number:
            self.writes.dirty_keys |= {f"{MODEL_KEY}/{i}": None for i in range(1, len(parts))}
        return True

    def _delete_if_stored(self, key: str) -> bool:
        if self.writes.versions.get(key):
            self.batch.deletes.append(key)
            return True
        return False

    def _put_tasks(self, key: str) -> bool:
        writes, batch = self.writes, self.batch
        job_id, _ = first_task(key)
        job = self.cluster.jobs.get(job_id)
        if job is None or (job.cancelled and not job.failure_reason) or job.completing:
            return False  # its keys are deleted with the job
        is_head = key == live_key(job_id)
        low, high = writes.layout.task_span(job, key)
        value = encode_live_job(job, high) if is_head else encode_tasks(job, low, high)
        if writes.withhold_if_too_large(key, value):
            return False
        batch.sets[key] = value
        batch.conditions[job_key(job_id)] = job.version
        if is_head and writes.versions.get(blocked_key(job_id)):
            # From now on an earlier version may load the job, as it has no open dependencies.
            self._add_deletes([blocked_key(job_id)])
        self._add_bindings(job, low, high)
        return True

    def _add_bindings(self, job: Job, low: int, high: int) -> None:
        for index in range(low, min(high, job.next_unbound_index)):  # skips never bound tasks of a large array
            task = job.tasks.get(index)
            if task is not None and task.phase is TaskPhase.BINDING and task.machine:
                self.batch.bindings.append((task, task.attempt, task.machine))
