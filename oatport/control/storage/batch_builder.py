"""Builds the leader's transactions: selects the contents of the next one, in order of urgency.

A transaction holds as many items as the state service's limits on operations and on the total size allow (PROTOCOL,
POST /commit). The limit on conditions holds too: every operation has at most two of them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from oatport import wire
from oatport.control.state.job import IDLE_RANK, Job
from oatport.control.state.task import TaskPhase
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
from oatport.control.storage.write_batch import ENVELOPE_BYTES, WriteBatch

if TYPE_CHECKING:
    from oatport.control.storage.write_buffer import WriteBuffer


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
        self._add_orphaned_keys()
        return self.batch

    def _is_within_limits(self, operations: int, max_bytes: int) -> bool:
        """Returns whether the limits of the state service and of this batch allow so many more operations and bytes."""
        return (
            self.batch.operation_count + operations <= self._max_operations
            and self.batch.max_bytes + max_bytes <= wire.MAX_TRANSACTION_BYTES
        )

    def _fits(self, operations: int, max_bytes: int, keys: Iterable[str]) -> bool:
        """Returns whether an item fits into the batch; an empty batch takes any item.

        `operations`: how many keys the item sets or deletes; `keys`: those that it sets. A suspect is written alone.
        """
        if not self.batch.operation_count:
            return True
        suspects = self.writes.refused.suspect_keys
        if suspects and not (suspects.isdisjoint(keys) and suspects.isdisjoint(self.batch.sets)):
            return False
        return self._is_within_limits(operations, max_bytes)

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
            key, value = job_key(job_id), encode_job(job, wire.JobStatus.CANCELLED)
            max_bytes = _set_bytes(key, value)
            total_bytes = max_bytes + _deletes_bytes([blocked_key(job_id)])
            if not self._fits(2, total_bytes, [key]) or (batch.operation_count and batch.operation_count + 2 > limit):
                return
            del writes.jobs_to_cancel[job_id]
            self._set_job(key, value, max_bytes, job)
            self._add_deletes([blocked_key(job_id)])
            batch.cancelled_jobs.append(job)

    def _add_completed_jobs(self) -> None:
        writes, batch = self.writes, self.batch
        for job in list(writes.jobs_to_complete):
            keys = writes.stored_job_keys(job)
            key, value = job_key(job.job_id), encode_completed_job(job, batch.completed_at)
            max_bytes = _set_bytes(key, value)
            if not self._fits(1 + len(keys), max_bytes + _deletes_bytes(keys), [key]):
                return
            del writes.jobs_to_complete[job]
            self._set_job(key, value, max_bytes, job)
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
            fits = self._fits(len(keys), _deletes_bytes(keys), ())
            if not is_alone and (not fits or batch.operation_count + len(keys) > self._max_operations):
                return
            if job.cancelled and job.placed_task_count:
                del writes.jobs_to_delete[job]
                continue
            if any(key in writes.in_flight_keys for key in keys):
                continue
            del writes.jobs_to_delete[job]
            self._add_deletes(keys)
            batch.deleted_jobs.append(job)

    def _add_orphaned_keys(self) -> None:
        orphaned_keys = self.writes.orphaned_keys
        while orphaned_keys:
            max_bytes = _deletes_bytes(orphaned_keys[-1:])
            if not (self._is_within_limits(1, max_bytes) and self._fits(1, max_bytes, ())):
                return
            self._add_deletes([orphaned_keys.pop()])

    def _set_job(self, key: str, value: Any, max_bytes: int, job: Job) -> None:
        """Adds the record of a finished job; `max_bytes`: an upper bound on what it adds."""
        self.batch.conditions[key] = job.version
        self.batch.sets[key] = value
        self.batch.max_bytes += max_bytes

    def _add_deletes(self, keys: list[str]) -> None:
        """Adds the deletion of keys, as many as there is room for; the others become orphaned keys."""
        for key in keys:
            max_bytes = _deletes_bytes([key])
            if self._is_within_limits(1, max_bytes):
                self.batch.conditions[key] = self.writes.versions.get(key, 0)
                self.batch.deletes.append(key)
                self.batch.max_bytes += max_bytes
            else:
                self.writes.orphaned_keys.append(key)
            self.writes.discard_key(key)

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
        prerequisites = [k for k in self._prerequisite_keys(key) if k not in self.batch.sets]
        keys = [*prerequisites, key]
        values = {k: self._value(k) for k in keys}
        sizes = {k: self._record_bytes(k, value) for k, value in values.items()}
        has_blocked_record = any(self._replaces_blocked_record(k) for k in keys)
        if not self._fits(len(keys) + has_blocked_record, sum(sizes.values()), keys):
            return False
        # Too much for one transaction: the prerequisites are written first. A record without any is always written.
        available_bytes = wire.MAX_TRANSACTION_BYTES - ENVELOPE_BYTES
        is_too_much = len(keys) > self._max_operations or sum(sizes.values()) > available_bytes
        is_split = bool(prerequisites) and is_too_much
        for number, k in enumerate(prerequisites if is_split else keys):
            if number and is_split and not self._is_within_limits(1, sizes[k]):
                break
            self.writes.urgent_keys.pop(k, None)
            self.writes.dirty_keys.pop(k, None)
            self._put(k, values[k], sizes[k])
        return not is_split

    def _record_bytes(self, key: str, value: Any) -> int:
        """Returns an upper bound on the bytes that a record adds, with its conditions; `value` None: it is deleted."""
        max_bytes = _deletes_bytes([key]) if value is None else _set_bytes(key, value)
        if key.startswith(LIVE_PREFIX):
            job_id, _ = first_task(key)
            max_bytes += wire.condition_size(job_key(job_id)) + _deletes_bytes([blocked_key(job_id)])
        return max_bytes

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

    def _value(self, key: str) -> Any:
        """Returns the current value of a record, or None if it is to be deleted or need not be written."""
        writes = self.writes
        if key.startswith(FLEET_PREFIX):
            value = writes.fleet_value(key)
            return value if fleet_size(value) else None
        if key.startswith(MODEL_KEY):
            parts = self.cluster.predictor.parts(writes.layout.max_value_bytes)
            number = _model_part_number(key)
            return parts[number] if number < len(parts) else None
        if key in writes.singleton_records:
            return writes.singleton_records[key]()
        return self._tasks_value(key)

    def _tasks_value(self, key: str) -> Any:
        job_id, _ = first_task(key)
        job = self.cluster.jobs.get(job_id)
        if job is None or (job.cancelled and not job.failure_reason) or job.completing:
            return None  # its keys are deleted with the job
        layout = self.writes.layout
        low, high = layout.task_span(job, key)
        if key == live_key(job_id):
            return encode_live_job(job, high, layout.max_value_bytes)
        return encode_tasks(job, low, high)

    def _put(self, key: str, value: Any, max_bytes: int) -> None:
        """Adds a key with its value, or its deletion, or nothing if there is nothing to write."""
        writes = self.writes
        writes.clear_first_completion(key)
        if key.startswith(MODEL_KEY):
            self._mark_model_parts_dirty(key)
        if value is not None and not key.startswith(MODEL_KEY) and writes.withhold_if_too_large(key, value):
            return
        if value is not None:
            self.batch.sets[key] = value
        elif key.startswith((FLEET_PREFIX, MODEL_KEY)) and writes.versions.get(key):
            self.batch.deletes.append(key)
        else:
            return
        self.batch.conditions[key] = writes.versions.get(key, 0)
        self.batch.max_bytes += max_bytes
        if key.startswith(LIVE_PREFIX):
            self._add_tasks(key)

    def _mark_model_parts_dirty(self, key: str) -> None:
        if not _model_part_number(key):
            count = len(self.cluster.predictor.parts(self.writes.layout.max_value_bytes))
            self.writes.dirty_keys |= {f"{MODEL_KEY}/{i}": None for i in range(1, count)}

    def _add_tasks(self, key: str) -> None:
        """Adds what belongs to a task record: the condition on its job, and the bindings that it contains."""
        job_id, _ = first_task(key)
        job = self.cluster.jobs[job_id]
        self.batch.conditions[job_key(job_id)] = job.version
        if self._replaces_blocked_record(key) and key == live_key(job_id):
            # From now on an earlier version may load the job, as it has no open dependencies.
            self._add_deletes([blocked_key(job_id)])
        low, high = self.writes.layout.task_span(job, key)
        for index in range(low, min(high, job.next_unbound_index)):  # skips never bound tasks of a large array
            task = job.tasks.get(index)
            if task is not None and task.phase is TaskPhase.BINDING and task.machine:
                self.batch.bindings.append((task, task.attempt, task.machine))


def _model_part_number(key: str) -> int:
    return int(key[len(MODEL_KEY) + 1 :] or 0)


def _set_bytes(key: str, value: Any) -> int:
    """Returns an upper bound on the bytes that setting a key adds, with the condition on its revision."""
    return wire.set_size(key, value) + wire.condition_size(key)


def _deletes_bytes(keys: Iterable[str]) -> int:
    """Returns an upper bound on the bytes that deleting keys adds, with the conditions on their revisions."""
    return sum(wire.delete_size(key) + wire.condition_size(key) for key in keys)
