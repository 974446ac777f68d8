"""Records: what of the leader's view is written to the state service, and in which transactions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from oatport import wire
from oatport.control.state.job import IDLE_RANK, Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task, TaskPhase
from oatport.control.storage.fleet_records import decode_fleet, encode_fleet, fleet_size, fleet_span
from oatport.control.storage.job_records import (
    encode_completed_job,
    encode_job,
    encode_live_job,
    encode_tasks,
    holds_tasks,
    row_count,
)
from oatport.control.storage.keys import (
    BLOCKED,
    CHUNK_TASKS,
    FLEET,
    GROUP_MACHINES,
    JOBS,
    LIVE,
    MODEL_KEY,
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
from oatport.sizes import json_size

if TYPE_CHECKING:
    from oatport.control.state.cluster_state import ClusterState


@dataclass(slots=True)
class WriteBatch:
    """One transaction of the leader's, without the leader condition that its sender adds."""

    completed_at: int = 0  # time of day that is recorded with jobs that are over
    conditions: dict[str, int] = field(default_factory=dict)
    sets: dict[str, Any] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)
    bindings: list[tuple[Task, int, Machine]] = field(default_factory=list)  # with attempt and machine as written
    completed_jobs: list[Job] = field(default_factory=list)
    deleted_jobs: list[Job] = field(default_factory=list)
    cancelled_jobs: list[Job] = field(default_factory=list)  # a job that they need was cancelled

    @property
    def operation_count(self) -> int:
        return len(self.sets) + len(self.deletes)


class WriteBuffer:
    """The records that are to be written, what is known of those that lie there, and the next transaction."""

    def __init__(self, cluster: ClusterState, layout: RecordLayout) -> None:
        self.cluster = cluster
        self.layout = layout
        # Keys whose record tells of more tasks or machines than it would be written with now, and up to which task.
        self.oversized_records: dict[str, int] = {}
        # The limits have fallen and not all nodes read parts yet: what is larger is not written.
        self.value_limit_lowered = False
        self._held_back: dict[str, None] = {}
        # Records that there is one of each, and what is to be written there.
        self.singleton_records: dict[str, Callable[[], dict[str, Any]]] = {MODEL_KEY: cluster.predictor.record}
        self.versions: dict[str, int] = {}  # of the leader's own keys, as known
        self.urgent_keys: dict[str, int] = {}  # keys to write now: claims, with the rank of their job
        self.dirty_keys: dict[str, None] = {}  # keys to write soon: ends
        self._completions_since: dict[str, int] = {}  # of task records among them: when the first end came (steady)
        self.in_flight_keys: set[str] = set()
        self.jobs_to_complete: dict[Job, None] = {}
        self.jobs_to_delete: dict[Job, None] = {}
        self.jobs_to_cancel: dict[str, Job] = {}
        self.orphaned_keys: list[str] = []  # left keys without a job
        # Jobs that were dropped -> the revision at which their end was recorded.
        self.terminal_revisions: dict[str, int] = {}

    def mark_dirty(self, task: Task, *, urgent: bool = False) -> None:
        key = self.layout.task_key(task.job, task.index)
        if urgent:
            self.dirty_keys.pop(key, None)
            self.urgent_keys[key] = task.job.priority_rank
        elif key not in self.urgent_keys:
            self.dirty_keys[key] = None
            self._completions_since.setdefault(key, self.cluster.now)

    def task_record_keys(self, job: Job, index: int) -> set[str]:
        """Under which a task lies, or lay before all nodes read parts."""
        return {self.layout.task_key(job, index), chunk_key(job.job_id, index // CHUNK_TASKS)}

    def is_unwritten(self, job: Job, index: int) -> bool:
        """What became of a task is in no record yet, as far as is known."""
        return any(
            key in waits
            for key in self.task_record_keys(job, index)
            for waits in (self.dirty_keys, self.urgent_keys, self.in_flight_keys, self._held_back)
        )

    def mark_machine_dirty(self, machine: Machine, *, urgent: bool = False) -> None:
        key = self.layout.fleet_key(machine.number)
        if urgent:
            self.urgent_keys[key] = 0
        else:
            self.dirty_keys[key] = None
        main = group_key(machine.number // GROUP_MACHINES)
        if main in self.oversized_records:
            self.dirty_keys[main] = None  # else a machine that is gone would stay in it

    def fleet_value(self, key: str) -> dict[str, Any]:
        """The record of the machines that lie under a key."""
        low, high = self.layout.fleet_span(key)
        return encode_fleet((m for m in self.cluster.machines.values() if low <= m.number < high), high - low)

    def job_keys(self, job: Job) -> list[str]:
        """All keys that job may have, that of a waiting one first, else the head."""
        heads = [blocked_key(job.job_id), live_key(job.job_id), cancel_key(job.job_id)]
        chunks = (job.next_untouched + CHUNK_TASKS - 1) // CHUNK_TASKS if job.next_untouched else 0
        keys = dict.fromkeys([*heads, *(chunk_key(job.job_id, c) for c in range(1, chunks))])
        if self.layout.parts:
            keys |= dict.fromkeys(self.layout.task_keys(job, 0, job.next_untouched))
        return list(keys)

    def forget_job(self, job: Job) -> None:
        """Its records are gone: nothing of it is to be written any more."""
        left = set(self.orphaned_keys)  # their versions are still needed
        for key in [k for k in self.job_keys(job) if k in self.versions and k not in left]:
            self.versions.pop(key, None)
            self.urgent_keys.pop(key, None)
            self.dirty_keys.pop(key, None)
            self._completions_since.pop(key, None)

    def expedite(self, key: str) -> None:
        """Write a record at once that was to be written soon."""
        if key in self.dirty_keys:
            del self.dirty_keys[key]
            self.urgent_keys[key] = 0

    def note_record_width(self, key: str, value: Any) -> None:
        """A record as it lies there now: does it tell of more than it would be written with?"""
        if key.startswith(FLEET):
            low, high = self.layout.fleet_span(key)
            is_wide = fleet_span(value) > high - low
            upto = low + GROUP_MACHINES
        elif key.startswith(LIVE) and holds_tasks(value):
            ref, low = first_task(key)
            job = self.cluster.jobs.get(ref)
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
        if self.layout.parts:
            return
        old = {**dict.fromkeys(self._held_back), **self.dirty_keys, **self.urgent_keys}
        self._held_back.clear()
        self.value_limit_lowered = False
        self.layout.parts = True
        for job in self.cluster.jobs.values():
            for low in range(0, job.next_untouched, CHUNK_TASKS):
                key, upto = chunk_key(job.job_id, low // CHUNK_TASKS), min(low + CHUNK_TASKS, job.next_untouched)
                if self.versions.get(key) and upto > self.layout.task_span(job, key)[1]:
                    self.oversized_records[key] = upto
        if self.layout.part_machines < GROUP_MACHINES:
            self.oversized_records |= {
                key: first_machine(key)[1] + GROUP_MACHINES for key in self.versions if key.startswith(FLEET)
            }
        for key, rank in old.items():
            for part in self._parts_of(key):
                if rank is None:
                    if part not in self.urgent_keys:
                        self.dirty_keys[part] = None
                else:
                    self.dirty_keys.pop(part, None)
                    self.urgent_keys[part] = rank

    def _parts_of(self, key: str, rows: int = CHUNK_TASKS) -> list[str]:
        """Where that lies now which was to be written, or was written, under this key."""
        if key.startswith(FLEET):
            return list(self.layout.fleet_keys(key))
        if not key.startswith(LIVE):
            return [key]
        ref, low = first_task(key)
        job = self.cluster.jobs.get(ref)
        return [] if job is None else [key, *self.layout.task_keys(job, low, min(low + rows, job.next_untouched))]

    def has_writes(self) -> bool:
        return bool(
            self.urgent_keys
            or self.dirty_keys
            or self.jobs_to_complete
            or self.jobs_to_delete
            or self.jobs_to_cancel
            or self.orphaned_keys
        )

    def has_urgent_writes(self) -> bool:
        return bool(self.urgent_keys or self.jobs_to_complete or self.jobs_to_cancel)

    def take_batch(self, max_ops: int, budget: int | None = None, ripe_us: int = 0) -> WriteBatch:
        """The next transaction, the most pressing first.

        `ripe_us`: for so long ends of tasks wait for others of their record, and for their job's end, which needs none
        of them recorded: half of all changes were records written again for one more end.

        `budget`: writes that may go out at once. What can wait goes along only within it: else claims
        would wait for the writes of ends, and a lost replica for a zone's worth of them.
        """
        batch = WriteBatch(completed_at=self.cluster.now + self.cluster.wall_offset)
        self._add_cancelled_jobs(batch, max_ops)
        # A swarm's claims wait for the ends of others' jobs, which their users are waiting to hear of.
        self._add_urgent(batch, max_ops, IDLE_RANK - 1)
        for job in list(self.jobs_to_complete):
            keys = [k for k in self.job_keys(job) if self.versions.get(k)]
            if batch.operation_count and batch.operation_count + 1 + len(keys) > max_ops:
                break
            del self.jobs_to_complete[job]
            batch.conditions[job_key(job.job_id)] = job.version
            batch.sets[job_key(job.job_id)] = encode_completed_job(job, batch.completed_at)
            self._add_deletes(batch, keys, max_ops)
            batch.completed_jobs.append(job)
        self._add_urgent(batch, max_ops, IDLE_RANK)
        most = max_ops
        if budget is not None:
            left_urgent = len(self.urgent_keys) + len(self.jobs_to_complete)
            max_ops = min(max_ops, max(batch.operation_count, budget - left_urgent))
        for job in list(self.jobs_to_delete):
            keys = [k for k in self.job_keys(job) if self.versions.get(k)]
            # Whole, or at least with all of a transaction: the mark must not go before the job that it cancels.
            if batch.operation_count + len(keys) > max_ops and not (batch.operation_count == 0 and max_ops == most):
                break
            if job.cancelled and job.on_machines:
                del self.jobs_to_delete[job]
                continue
            if any(k in self.in_flight_keys for k in keys):
                continue
            del self.jobs_to_delete[job]
            self._add_deletes(batch, keys, max_ops)
            batch.deleted_jobs.append(job)
        for key in list(self.dirty_keys):
            if batch.operation_count >= max_ops:
                break
            if ripe_us and self.cluster.now - self._completions_since.get(key, -ripe_us) < ripe_us:
                continue
            if key in self.dirty_keys and not self._add_record(batch, key, max_ops):
                break
        while self.orphaned_keys and batch.operation_count < max_ops:
            self._add_deletes(batch, [self.orphaned_keys.pop()], max_ops)
        self.in_flight_keys = {*batch.sets, *batch.deletes}
        return batch

    def _add_urgent(self, batch: WriteBatch, max_ops: int, lowest: int) -> None:
        for key in sorted(
            (k for k, rank in self.urgent_keys.items() if rank <= lowest), key=self.urgent_keys.__getitem__
        ):
            if key in self.urgent_keys and (
                batch.operation_count >= max_ops or not self._add_record(batch, key, max_ops)
            ):
                return

    def _add_cancelled_jobs(self, batch: WriteBatch, max_ops: int) -> None:
        """Jobs whose needed ones were cancelled. What users are told does not wait for it
        (`api/job_status_cache.py`), so claims get their half of a transaction meanwhile: 3,000 at once take minutes."""
        most = max_ops if not (self.urgent_keys or self.jobs_to_complete) else max(2, max_ops // 2)
        for ref, job in list(self.jobs_to_cancel.items()):
            if batch.operation_count and batch.operation_count + 2 > most:
                return
            del self.jobs_to_cancel[ref]
            batch.conditions[job_key(job.job_id)] = job.version
            batch.sets[job_key(job.job_id)] = encode_job(job, wire.JobStatus.CANCELLED)
            self._add_deletes(batch, [blocked_key(job.job_id)], max_ops)
            batch.cancelled_jobs.append(job)

    def _add_deletes(self, batch: WriteBatch, keys: list[str], max_ops: int) -> None:
        for key in keys:
            if batch.operation_count < max_ops:
                batch.conditions[key] = self.versions.get(key, 0)
                batch.deletes.append(key)
            else:
                self.orphaned_keys.append(key)
            self.urgent_keys.pop(key, None)
            self.dirty_keys.pop(key, None)
            self._completions_since.pop(key, None)

    def _prerequisite_keys(self, key: str) -> list[str]:
        """Records that must be there before this one, or come with it."""
        if key.startswith(FLEET):
            if key not in self.oversized_records:
                return []
            there = {self.layout.fleet_key(machine.number) for machine in self.cluster.machines.values()}
            return [k for k in self.layout.fleet_keys(key) if k != key and k in there and not self.versions.get(k)]
        if not key.startswith(LIVE):
            return []
        ref, _ = first_task(key)
        job, head = self.cluster.jobs.get(ref), live_key(ref)
        if job is None:
            return []
        if key != head and not self.versions.get(head):
            return [head]  # a job that waited for others: its head says that it waits no more
        if key not in self.oversized_records:
            return []
        parts = self.layout.task_keys(job, self.layout.task_span(job, key)[1], self.oversized_records[key])
        return [k for k in parts if not self.versions.get(k)]

    def _add_record(self, batch: WriteBatch, key: str, max_ops: int) -> bool:
        """False: there is no room for it with what must come along; it stays to be written."""
        ahead = [k for k in self._prerequisite_keys(key) if k not in batch.sets]
        swaps = sum(
            bool(k.startswith(LIVE) and self.versions.get(blocked_key(first_task(k)[0]))) for k in (key, *ahead)
        )
        if batch.operation_count and batch.operation_count + 1 + len(ahead) + min(swaps, 1) > max_ops:
            return False
        split = len(ahead) + 1 > max_ops  # more than a transaction holds: first what must be there before
        for k in ahead[:max_ops] if split else (*ahead, key):
            self.urgent_keys.pop(k, None)
            self.dirty_keys.pop(k, None)
            self._put(batch, k, max_ops)
        return not split

    def _put(self, batch: WriteBatch, key: str, max_ops: int) -> None:
        self._completions_since.pop(key, None)
        if key.startswith(FLEET):
            value = self.fleet_value(key)
            if self.value_limit_lowered and json_size(value) > self.layout.limit:
                self._held_back[key] = None
                return
            if fleet_size(value):
                batch.sets[key] = value
            elif self.versions.get(key):
                batch.deletes.append(key)
            else:
                return
        elif key.startswith(MODEL_KEY):
            parts = self.cluster.predictor.parts(self.layout.limit)
            number = int(key[len(MODEL_KEY) + 1 :] or 0)
            if number < len(parts):
                batch.sets[key] = parts[number]
            elif self.versions.get(key):
                batch.deletes.append(key)
            else:
                return
            if not number:
                self.dirty_keys |= {f"{MODEL_KEY}/{i}": None for i in range(1, len(parts))}
        elif key in self.singleton_records:
            batch.sets[key] = self.singleton_records[key]()
        else:
            ref, _ = first_task(key)
            job = self.cluster.jobs.get(ref)
            if job is None or (job.cancelled and not job.failure_reason) or job.completing:
                return  # its keys go with the job
            low, high = self.layout.task_span(job, key)
            value = encode_tasks(job, low, high) if key != live_key(ref) else encode_live_job(job, high)
            if self.value_limit_lowered and json_size(value) > self.layout.limit:
                self._held_back[key] = None
                return
            batch.sets[key] = value
            batch.conditions[job_key(ref)] = job.version
            waits = blocked_key(ref)
            if key == live_key(ref) and self.versions.get(waits):
                # From now on an earlier version may know of the job: it waits for nobody.
                self._add_deletes(batch, [waits], max_ops)
            for index in range(low, min(high, job.next_untouched)):  # not all tasks of a huge array
                task = job.tasks.get(index)
                if task is not None and task.phase is TaskPhase.BINDING and task.machine:
                    batch.bindings.append((task, task.attempt, task.machine))
        batch.conditions[key] = self.versions.get(key, 0)

    def committed(self, batch: WriteBatch, revision: int, now: int) -> None:
        """The transaction is known to be applied."""
        self.in_flight_keys = set()
        for key in batch.deletes:
            self.versions.pop(key, None)
        for key, value in batch.sets.items():
            if key.startswith(JOBS):
                continue
            self.versions[key] = revision
            self.note_record_width(key, value)
            if key.startswith(FLEET):
                for row in decode_fleet(value).machines:
                    machine = self.cluster.machines.get(row.name)
                    if machine is not None and not machine.persisted:
                        machine.persisted = True
                        self.cluster.planning_needed = True
        for task, attempt, machine in batch.bindings:
            # A claim withdrawn and made anew meanwhile is not the one that was written.
            if task.phase is TaskPhase.BINDING and task.attempt == attempt and task.machine is machine:
                task.phase = TaskPhase.BOUND
                self.cluster.unacknowledged_tasks.add(task)
                self.cluster.machines_to_command.add(machine)
                if task.job.kind is JobKind.GANG:
                    self.cluster.machines_to_command.update(t.machine for t in task.job.tasks.values() if t.machine)
        for job in (*batch.completed_jobs, *batch.deleted_jobs, *batch.cancelled_jobs):
            self.cluster.job_lifecycle.remove(job)
            self.terminal_revisions[job.job_id] = revision
        for job in batch.completed_jobs:
            if not job.failure_reason:
                self.cluster.dependencies.on_completion_recorded(job.job_id, batch.completed_at)

    def restore_batch(self, batch: WriteBatch) -> None:
        """The transaction was refused or given up for good: its contents are to be written anew."""
        self.in_flight_keys = set()
        for job in batch.completed_jobs:
            self.jobs_to_complete[job] = None
        for job in batch.deleted_jobs:
            self.jobs_to_delete[job] = None
        for job in batch.cancelled_jobs:
            self.jobs_to_cancel[job.job_id] = job
        finished_keys = {
            k for job in (*batch.completed_jobs, *batch.deleted_jobs, *batch.cancelled_jobs) for k in self.job_keys(job)
        }
        claimed = {self.layout.task_key(t.job, t.index): t.job.priority_rank for t, _, _ in batch.bindings}
        written = [(key, row_count(value)) for key, value in batch.sets.items() if not key.startswith(JOBS)]
        parts = [part for name, rows in written for part in self._parts_of(name, rows)]
        for key in dict.fromkeys([*claimed, *parts]):
            if key in claimed:
                self.dirty_keys.pop(key, None)
                self.urgent_keys[key] = claimed[key]
            elif key not in self.urgent_keys:
                self.dirty_keys[key] = None
        for key in batch.deletes:
            if key.startswith((FLEET, MODEL_KEY)):
                self.dirty_keys[key] = None
            elif key not in finished_keys and not (
                key.startswith(BLOCKED) and key[len(BLOCKED) :] in self.cluster.jobs
            ):
                self.orphaned_keys.append(key)  # waits/REF goes with the next try of the first claim
