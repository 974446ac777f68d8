"""The write buffer: which records of the leader's view are to be written to the state service, and which are there."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase
from oatport.control.storage.fleet_records import FleetRecord, decode_fleet, encode_fleet, fleet_span
from oatport.control.storage.job_records import (
    holds_tasks,
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
    live_key,
)
from oatport.control.storage.record_layout import RecordLayout
from oatport.control.storage.write_batch import BatchBuilder, WriteBatch
from oatport.sizes import json_size

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState


class WriteBuffer:
    """The records that are to be written, what is known of those that lie there, and the next transaction."""

    def __init__(self, cluster: ClusterState, layout: RecordLayout) -> None:
        self.cluster = cluster
        self.layout = layout
        # Keys whose record tells of more tasks or machines than it would be written with now, and up to which task.
        self.oversized_records: dict[str, int] = {}
        # The limits have fallen and not all nodes read parts yet: what is larger is not written.
        self.is_value_limit_lowered = False
        self._held_back: dict[str, None] = {}  # keys of what was too large
        # Records that there is one of each, and what is to be written there.
        self.singleton_records: dict[str, Callable[[], dict[str, Any]]] = {MODEL_KEY: cluster.predictor.record}
        self.versions: dict[str, int] = {}  # the leader's own keys -> their revision, as known
        self.urgent_keys: dict[str, int] = {}  # keys to write now: bindings, with the priority rank of their job
        self.dirty_keys: dict[str, None] = {}  # keys to write soon: completions
        self._completions_since: dict[str, int] = {}  # dirty task records -> when the first completion came (steady)
        self.in_flight_keys: set[str] = set()  # of the transaction that is under way
        self.jobs_to_complete: dict[Job, None] = {}  # over: their state is to be recorded, and their keys deleted
        self.jobs_to_delete: dict[Job, None] = {}  # cancelled and on no machine any more: their keys are to be deleted
        self.jobs_to_cancel: dict[str, Job] = {}  # blocked ones, since a job that they depend on was cancelled
        self.orphaned_keys: list[str] = []  # keys without a job, to be deleted
        # Jobs that were removed -> the revision at which their completion was recorded.
        self.terminal_revisions: dict[str, int] = {}

    def mark_dirty(self, task: Task, *, urgent: bool = False) -> None:
        """Have a task's record written: soon, or now if it is urgent."""
        key = self.layout.task_key(task.job, task.index)
        if urgent:
            self.dirty_keys.pop(key, None)
            self.urgent_keys[key] = task.job.priority_rank
        elif key not in self.urgent_keys:
            self.dirty_keys[key] = None
            self._completions_since.setdefault(key, self.cluster.now)

    def task_record_keys(self, job: Job, index: int) -> set[str]:
        """Under which a task lies, or lay before all nodes read parts."""
        return {self.layout.task_key(job, index), chunk_key(job.job_id, index // TASKS_PER_CHUNK)}

    def is_unwritten(self, job: Job, index: int) -> bool:
        """What became of a task is in no record yet, as far as is known."""
        return any(
            key in waits
            for key in self.task_record_keys(job, index)
            for waits in (self.dirty_keys, self.urgent_keys, self.in_flight_keys, self._held_back)
        )

    def mark_machine_dirty(self, machine: Machine, *, urgent: bool = False) -> None:
        """Have a machine's record written: soon, or now if it is urgent."""
        key = self.layout.fleet_key(machine.number)
        if urgent:
            self.urgent_keys[key] = 0
        else:
            self.dirty_keys[key] = None
        main = group_key(machine.number // MACHINES_PER_GROUP)
        if main in self.oversized_records:
            self.dirty_keys[main] = None  # else a machine that is gone would stay in it

    def fleet_value(self, key: str) -> dict[str, Any]:
        """The record of the machines that lie under a key."""
        low, high = self.layout.fleet_span(key)
        return encode_fleet((m for m in self.cluster.machines.values() if low <= m.number < high), high - low)

    def job_keys(self, job: Job) -> list[str]:
        """All keys that job may have, that of a waiting one first, else the head."""
        heads = [blocked_key(job.job_id), live_key(job.job_id), cancel_key(job.job_id)]
        chunks = (job.next_unbound_index + TASKS_PER_CHUNK - 1) // TASKS_PER_CHUNK if job.next_unbound_index else 0
        keys = dict.fromkeys([*heads, *(chunk_key(job.job_id, c) for c in range(1, chunks))])
        if self.layout.should_split_records:
            keys |= dict.fromkeys(self.layout.task_keys(job, 0, job.next_unbound_index))
        return list(keys)

    def forget_job(self, job: Job) -> None:
        """Its records are gone: nothing of it is to be written any more."""
        left = set(self.orphaned_keys)  # their versions are still needed
        for key in [k for k in self.job_keys(job) if k in self.versions and k not in left]:
            self.versions.pop(key, None)
            self.forget_key(key)

    def expedite(self, key: str) -> None:
        """Write a record at once that was to be written soon."""
        if key in self.dirty_keys:
            del self.dirty_keys[key]
            self.urgent_keys[key] = 0

    def note_record_width(self, key: str, value: Any) -> None:
        """A record as it lies there now: does it tell of more than it would be written with?"""
        if key.startswith(FLEET_PREFIX):
            low, high = self.layout.fleet_span(key)
            is_wide = fleet_span(value) > high - low
            upto = low + MACHINES_PER_GROUP
        elif key.startswith(LIVE_PREFIX) and holds_tasks(value):
            job_id, low = first_task(key)
            job = self.cluster.jobs.get(job_id)
            upto = low + row_count(value)
            is_wide = job is not None and upto > self.layout.task_span(job, key)[1]
        else:
            return
        if is_wide:
            self.oversized_records[key] = upto
        else:
            self.oversized_records.pop(key, None)

    def enable_record_parts(self) -> None:
        """All nodes read parts of chunks and groups: from now on they are written."""
        if self.layout.should_split_records:
            return
        waiting: dict[str, int | None] = {**dict.fromkeys(self._held_back), **self.dirty_keys, **self.urgent_keys}
        self._held_back.clear()
        self.is_value_limit_lowered = False
        self.layout.should_split_records = True
        self._note_oversized_records()
        for key, rank in waiting.items():
            for part in self._parts_of(key):
                if rank is not None:
                    self.dirty_keys.pop(part, None)
                    self.urgent_keys[part] = rank
                elif part not in self.urgent_keys:
                    self.dirty_keys[part] = None

    def _note_oversized_records(self) -> None:
        for job in self.cluster.jobs.values():
            for low in range(0, job.next_unbound_index, TASKS_PER_CHUNK):
                key, upto = (
                    chunk_key(job.job_id, low // TASKS_PER_CHUNK),
                    min(low + TASKS_PER_CHUNK, job.next_unbound_index),
                )
                if self.versions.get(key) and upto > self.layout.task_span(job, key)[1]:
                    self.oversized_records[key] = upto
        if self.layout.machines_per_part < MACHINES_PER_GROUP:
            self.oversized_records |= {
                key: first_machine(key)[1] + MACHINES_PER_GROUP for key in self.versions if key.startswith(FLEET_PREFIX)
            }

    def _parts_of(self, key: str, rows: int = TASKS_PER_CHUNK) -> list[str]:
        """Where that lies now which was to be written, or was written, under this key."""
        if key.startswith(FLEET_PREFIX):
            return list(self.layout.fleet_keys(key))
        if not key.startswith(LIVE_PREFIX):
            return [key]
        job_id, low = first_task(key)
        job = self.cluster.jobs.get(job_id)
        return [] if job is None else [key, *self.layout.task_keys(job, low, min(low + rows, job.next_unbound_index))]

    def has_writes(self) -> bool:
        """Is there anything to write?"""
        return bool(
            self.urgent_keys
            or self.dirty_keys
            or self.jobs_to_complete
            or self.jobs_to_delete
            or self.jobs_to_cancel
            or self.orphaned_keys
        )

    def has_urgent_writes(self) -> bool:
        """Is there anything to write that somebody waits for?"""
        return bool(self.urgent_keys or self.jobs_to_complete or self.jobs_to_cancel)

    def take_batch(self, max_operations: int, budget: int | None = None, batching_window: int = 0) -> WriteBatch:
        """The next transaction of at most so many operations, the most urgent first.

        `batching_window`: for so long completions of tasks wait for others of their record, and for their job's
        completion, which needs none of them recorded: half of all writes were records written again for one more
        completion.

        `budget`: operations that may go out at once. What can wait goes along only within it: else bindings would wait
        for the writes of completions, and a lost replica for a zone's worth of them.
        """
        batch = BatchBuilder(self, max_operations).build(budget, batching_window)
        self.in_flight_keys = {*batch.sets, *batch.deletes}
        return batch

    # --- what the builder of a batch asks -----------------------------------------------------

    def stored_job_keys(self, job: Job) -> list[str]:
        """The keys of a job that are there."""
        return [key for key in self.job_keys(job) if self.versions.get(key)]

    def is_due(self, key: str, batching_window: int) -> bool:
        """Has it waited for others for as long as it should? What holds no completion waits for nothing."""
        return self.cluster.now - self._completions_since.get(key, -batching_window) >= batching_window

    def forget_completions_since(self, key: str) -> None:
        """It is being written."""
        self._completions_since.pop(key, None)

    def forget_key(self, key: str) -> None:
        """It is being deleted."""
        self.urgent_keys.pop(key, None)
        self.dirty_keys.pop(key, None)
        self._completions_since.pop(key, None)

    def hold_back_if_too_large(self, key: str, value: Any) -> bool:
        """While larger records than the state service takes can't be split: it is kept for when they can."""
        if self.is_value_limit_lowered and json_size(value) > self.layout.max_value_bytes:
            self._held_back[key] = None
            return True
        return False

    # --- outcomes -----------------------------------------------------------------------------

    def committed(self, batch: WriteBatch, revision: int, now: int) -> None:
        """The transaction is known to be applied."""
        self.in_flight_keys = set()
        for key in batch.deletes:
            self.versions.pop(key, None)
        for key, value in batch.sets.items():
            if key.startswith(JOBS_PREFIX):
                continue
            self.versions[key] = revision
            self.note_record_width(key, value)
            if key.startswith(FLEET_PREFIX):
                self._on_machines_persisted(decode_fleet(value))
        for task, attempt, machine in batch.bindings:
            # A binding withdrawn and made anew meanwhile is not the one that was written.
            if task.phase is TaskPhase.BINDING and task.attempt == attempt and task.machine is machine:
                self._on_bound(task, machine)
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

    def _on_bound(self, task: Task, machine: Machine) -> None:
        task.phase = TaskPhase.BOUND
        self.cluster.unacknowledged_tasks.add(task)
        self.cluster.machines_to_command.add(machine)
        if task.job.kind is JobKind.GANG:
            self.cluster.machines_to_command.update(t.machine for t in task.job.tasks.values() if t.machine)

    def restore_batch(self, batch: WriteBatch) -> None:
        """The transaction was refused or given up for good: its contents are to be written anew."""
        self.in_flight_keys = set()
        for job in batch.completed_jobs:
            self.jobs_to_complete[job] = None
        for job in batch.deleted_jobs:
            self.jobs_to_delete[job] = None
        for job in batch.cancelled_jobs:
            self.jobs_to_cancel[job.job_id] = job
        bound = {self.layout.task_key(t.job, t.index): t.job.priority_rank for t, _, _ in batch.bindings}
        written = [(key, row_count(value)) for key, value in batch.sets.items() if not key.startswith(JOBS_PREFIX)]
        parts = [part for key, rows in written for part in self._parts_of(key, rows)]
        for key in dict.fromkeys([*bound, *parts]):
            if key in bound:
                self.dirty_keys.pop(key, None)
                self.urgent_keys[key] = bound[key]
            elif key not in self.urgent_keys:
                self.dirty_keys[key] = None
        self._restore_deletes(batch)

    def _restore_deletes(self, batch: WriteBatch) -> None:
        finished_keys = {key for job in batch.finished_jobs for key in self.job_keys(job)}
        for key in batch.deletes:
            if key.startswith((FLEET_PREFIX, MODEL_KEY)):
                self.dirty_keys[key] = None
            elif key.startswith(BLOCKED_PREFIX) and key[len(BLOCKED_PREFIX) :] in self.cluster.jobs:
                continue  # it goes with the next try of the first binding
            elif key not in finished_keys:
                self.orphaned_keys.append(key)
