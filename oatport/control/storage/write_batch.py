"""The leader's transactions: what goes into the next one, and in which order."""

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
    """One transaction of the leader's, without the leader condition that its sender adds."""

    completed_at: int = 0  # time of day that is recorded with jobs that are over
    conditions: dict[str, int] = field(default_factory=dict)  # key -> revision that it must have; 0: it is not there
    sets: dict[str, Any] = field(default_factory=dict)  # key -> its new value
    deletes: list[str] = field(default_factory=list)
    bindings: list[tuple[Task, int, Machine]] = field(default_factory=list)  # with attempt and machine as written
    completed_jobs: list[Job] = field(default_factory=list)
    deleted_jobs: list[Job] = field(default_factory=list)
    cancelled_jobs: list[Job] = field(default_factory=list)  # since a job that they depend on was cancelled

    @property
    def operation_count(self) -> int:
        """How many keys it sets or deletes: what the state service bounds."""
        return len(self.sets) + len(self.deletes)

    @property
    def finished_jobs(self) -> tuple[Job, ...]:
        """All jobs that the leader need not know any more once it is committed."""
        return (*self.completed_jobs, *self.deleted_jobs, *self.cancelled_jobs)


class BatchBuilder:
    """Fills one batch from what waits in the write buffer, the most urgent first."""

    def __init__(self, writes: WriteBuffer, max_operations: int) -> None:
        self.writes = writes
        self.cluster = writes.cluster
        self.batch = WriteBatch(completed_at=self.cluster.now + self.cluster.wall_offset)
        self._transaction_operations = max_operations  # what the state service takes
        self._max_operations = max_operations  # what may go along now

    def build(self, budget: int | None, batching_window: int) -> WriteBatch:
        """The next transaction; `WriteBuffer.take_batch` explains the arguments."""
        self._add_cancelled_jobs()
        # Bindings of best-effort jobs wait for the completions of others' jobs, which their users wait to hear of.
        self._add_urgent(IDLE_RANK - 1)
        self._add_completed_jobs()
        self._add_urgent(IDLE_RANK)
        if budget is not None:
            left_urgent = len(self.writes.urgent_keys) + len(self.writes.jobs_to_complete)
            self._max_operations = min(self._max_operations, max(self.batch.operation_count, budget - left_urgent))
        self._add_deleted_jobs()
        self._add_dirty(batching_window)
        while self.writes.orphaned_keys and self.batch.operation_count < self._max_operations:
            self._add_deletes([self.writes.orphaned_keys.pop()])
        return self.batch

    # --- jobs that are over -------------------------------------------------------------------

    def _add_cancelled_jobs(self) -> None:
        """Jobs that depend on a cancelled one.

        What users are told does not wait for it (`api/job_status_cache.py`), so bindings get their half of a
        transaction meanwhile: 3,000 at once take minutes.
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
        is_whole_transaction = self._max_operations == self._transaction_operations
        for job in list(writes.jobs_to_delete):
            keys = writes.stored_job_keys(job)
            # Whole, or at least with all of a transaction: the mark must not go before the job that it cancels.
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
            writes.forget_key(key)

    # --- records to write ---------------------------------------------------------------------

    def _add_urgent(self, lowest_rank: int) -> None:
        urgent = self.writes.urgent_keys
        due = sorted((key for key, rank in urgent.items() if rank <= lowest_rank), key=urgent.__getitem__)
        for key in due:
            if key not in urgent:
                continue  # it went along with another one
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
        """False: the batch cannot hold it with what must come along; it stays to be written."""
        batch = self.batch
        ahead = [k for k in self._prerequisite_keys(key) if k not in batch.sets]
        replaced = sum(self._replaces_blocked_record(k) for k in (key, *ahead))
        if batch.operation_count and batch.operation_count + 1 + len(ahead) + min(replaced, 1) > self._max_operations:
            return False
        split = len(ahead) + 1 > self._max_operations  # more than a transaction holds: what must be there before
        for k in ahead[: self._max_operations] if split else (*ahead, key):
            self.writes.urgent_keys.pop(k, None)
            self.writes.dirty_keys.pop(k, None)
            self._put(k)
        return not split

    def _replaces_blocked_record(self, key: str) -> bool:
        return bool(key.startswith(LIVE_PREFIX) and self.writes.versions.get(blocked_key(first_task(key)[0])))

    def _prerequisite_keys(self, key: str) -> list[str]:
        """Records that must be there before this one, or come with it."""
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
            return [head]  # a job that depended on others: its head says that it is blocked no more
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
        """Set a key to what it is to hold now, or delete it; nothing if there is nothing to write."""
        writes = self.writes
        writes.forget_completions_since(key)
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
        if self.writes.hold_back_if_too_large(key, value):
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
            return False  # its keys go with the job
        is_head = key == live_key(job_id)
        low, high = writes.layout.task_span(job, key)
        value = encode_live_job(job, high) if is_head else encode_tasks(job, low, high)
        if writes.hold_back_if_too_large(key, value):
            return False
        batch.sets[key] = value
        batch.conditions[job_key(job_id)] = job.version
        if is_head and writes.versions.get(blocked_key(job_id)):
            # From now on an earlier version may know of the job: it depends on nothing.
            self._add_deletes([blocked_key(job_id)])
        self._add_bindings(job, low, high)
        return True

    def _add_bindings(self, job: Job, low: int, high: int) -> None:
        for index in range(low, min(high, job.next_unbound_index)):  # not all tasks of a huge array
            task = job.tasks.get(index)
            if task is not None and task.phase is TaskPhase.BINDING and task.machine:
                self.batch.bindings.append((task, task.attempt, task.machine))
