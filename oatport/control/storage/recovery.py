"""Loads a new leader's view of the cluster from the records that earlier leaders left."""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from msgspec import UnsetType

from oatport import wire
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job, JobKind
from oatport.control.state.task import Task, TaskPhase
from oatport.control.storage.fleet_records import MachineRow, decode_partitioned_zones, recorded_machines
from oatport.control.storage.job_records import (
    ROW_COMPLETED,
    ROW_UNTOUCHED,
    JobRecord,
    LiveRecord,
    TaskRow,
    TasksRecord,
    decode_deferral,
    decode_job,
    decode_live_job,
    decode_tasks,
)
from oatport.control.storage.keys import (
    BLOCKED_PREFIX,
    CANCEL_MARK,
    LIVE_PREFIX,
    MODEL_KEY,
    PARTITIONED_ZONES_KEY,
    SCHEMA_VERSION_KEY,
    blocked_key,
    cancel_key,
    first_task,
    live_key,
)
from oatport.control.storage.schema_version import SCHEMA_VERSION, recorded_version
from oatport.errors import OatportError

log = logging.getLogger(__name__)

OLD_FIRST_CHUNK = "0000"  # the first tasks of a job before version 0.3: live/JOB/0000


class UnknownMachineTypeError(OatportError):
    """A recorded machine is of a type that is in no catalog: what is on it can't be taken in."""

    def __init__(self, machine_name: str, type_name: str) -> None:
        super().__init__(f"{machine_name} is of type {type_name}")
        self.machine_name = machine_name
        self.type_name = type_name


def load_cluster(cluster: ClusterState, entries: list[wire.StoredEntry], now: int, wall: int) -> None:
    """Fill a new leader's view from the records under live/, waits/ and fleet/, and those that there is one of each.

    What a record says is on a machine is taken as there, whatever the machine itself says later under an older token; a
    heartbeat under ours confirms or removes it. Raises UnknownMachineTypeError before anything is changed that a record
    depends on.
    """
    _ClusterLoader(cluster, entries, now, wall).load()


@dataclass(frozen=True, slots=True)
class _TasksPart:
    """One record of tasks of a job."""

    version: int  # its revision: of a task the record written last tells
    first_task: int
    record: TasksRecord


@dataclass(slots=True)
class _ClusterLoader:
    """Goes through the records once, then puts together what depends on several of them."""

    cluster: ClusterState
    entries: list[wire.StoredEntry]
    now: int
    wall: int
    task_parts: dict[str, list[_TasksPart]] = field(default_factory=dict)  # job -> its records of tasks
    cancel_marks: dict[str, int] = field(default_factory=dict)  # job -> revision of its mark
    blocked: dict[str, tuple[JobRecord, int]] = field(default_factory=dict)  # job -> its record under waits/, revision
    old_first_chunks: dict[str, TasksRecord] = field(default_factory=dict)  # of before version 0.3

    def load(self) -> None:
        """All steps, in the order in which they depend on each other."""
        self._load_schema_version()
        for row in recorded_machines(self.entries):
            self._load_machine(row)
        for entry in self.entries:
            self._load_record(entry.key, entry.value, entry.revision)
        self.cluster.writes.dirty_keys.clear()  # what was just read is not to be written back
        self._adopt_old_first_chunks()
        for job_id, parts in self.task_parts.items():
            self._load_tasks_of_job(job_id, parts)
        for entry in self.entries:
            self.cluster.writes.note_record_width(entry.key, entry.value)
        for job_id, (record, version) in self.blocked.items():
            self._load_blocked_job(job_id, record, version)
        for job_id, version in self.cancel_marks.items():
            self._apply_cancel_mark(job_id, version)
        for job in self.cluster.jobs.values():
            self._resume(job)

    # --- one record at a time -----------------------------------------------------------------

    def _load_schema_version(self) -> None:
        self.cluster.writes.layout.should_split_records = any(
            entry.key == SCHEMA_VERSION_KEY and recorded_version(entry.value) >= SCHEMA_VERSION
            for entry in self.entries
        )

    def _load_machine(self, row: MachineRow) -> None:
        age = max(0, self.wall - row.rented_at_wall)
        machine = self.cluster.add_machine(
            row.name, row.type_name, row.zone, row.spot, row.address, self.now, self.wall, age
        )
        if machine is None:
            # Left out, it would be taken for gone, and all that runs on it would be started again elsewhere.
            raise UnknownMachineTypeError(row.name, row.type_name)
        machine.persisted, machine.was_ready = True, row.was_ready
        # Asked at once by the new leader; one that stays silent has most likely been so before.
        machine.first_known_at = self.now - self.cluster.tuning.duration_us("silent_s") * 3 // 10

    def _load_record(self, key: str, value: Any, version: int) -> None:
        self.cluster.writes.versions[key] = version
        if key.startswith(MODEL_KEY):
            self.cluster.predictor.load(value)
        elif key == PARTITIONED_ZONES_KEY:
            self._load_partitioned_zones(value)
        elif key.startswith(BLOCKED_PREFIX):
            self.blocked[key[len(BLOCKED_PREFIX) :]] = decode_job(value), version
        elif key.startswith(LIVE_PREFIX):
            self._load_live_record(key, value, version)

    def _load_partitioned_zones(self, value: Any) -> None:
        """What an earlier leader found out holds until one of the zone's machines sends a heartbeat."""
        record, zones = decode_partitioned_zones(value), self.cluster.zones
        zones.partitioned = {zone: self.now - max(0, self.wall - since) for zone, since in record.zones.items()}
        zones.lease_proxied = set(record.lease_proxied or ()) & zones.partitioned.keys()

    def _load_live_record(self, key: str, value: Any, version: int) -> None:
        job_id, _, part = key[len(LIVE_PREFIX) :].partition("/")
        if not part:
            self._load_live_job(job_id, decode_live_job(value), value, version)
        elif part == CANCEL_MARK:
            self.cancel_marks[job_id] = version
        elif part == OLD_FIRST_CHUNK:
            self.old_first_chunks[job_id] = decode_tasks(value)
            self.cluster.writes.orphaned_keys.append(key)
        else:
            self._add_part(job_id, _TasksPart(version, first_task(key)[1], decode_tasks(value)))

    def _load_live_job(self, job_id: str, record: LiveRecord, value: Any, version: int) -> None:
        # As accepted, it has the revision of jobs/JOB; from the first binding on it tells that one.
        job_version = version if isinstance(record.version, UnsetType) else record.version
        job = self.cluster.job_lifecycle.add(job_id, record.spec(), job_version, record.submitted_at)
        job.eligible_at = record.submitted_at if isinstance(record.eligible_at, UnsetType) else record.eligible_at
        job.compact_spec = record.compact_spec()
        self.cluster.writes.versions[live_key(job_id)] = version
        if not isinstance(record.rows, UnsetType):
            self._add_part(job_id, _TasksPart(version, 0, decode_tasks(value)))

    def _add_part(self, job_id: str, part: _TasksPart) -> None:
        self.task_parts.setdefault(job_id, []).append(part)

    # --- tasks --------------------------------------------------------------------------------

    def _adopt_old_first_chunks(self) -> None:
        for job_id, record in self.old_first_chunks.items():
            has_first = any(part.first_task == 0 for part in self.task_parts.get(job_id, ()))
            if job_id in self.cluster.jobs and not has_first:
                self._add_part(job_id, _TasksPart(0, 0, record))
                self.cluster.writes.dirty_keys[live_key(job_id)] = None  # written before the old key is dropped

    def _load_tasks_of_job(self, job_id: str, parts: list[_TasksPart]) -> None:
        job = self.cluster.jobs.get(job_id)
        if job is None:
            # Its head went with its completion, which the keys outlived: a large job deleted in parts.
            self.cluster.writes.orphaned_keys += [
                key
                for key in self.cluster.writes.versions
                if key.startswith(f"{LIVE_PREFIX}{job_id}/") and key != cancel_key(job_id)
            ]
            return
        rows: dict[int, Any] = {}
        for part in sorted(parts, key=lambda part: (part.version, part.first_task)):
            rows |= {part.first_task + offset: row for offset, row in enumerate(part.record.rows)}
            self._load_job_fields(job, part.record)
        # Tasks between the known ones were never touched but are below the mark now.
        job.next_unbound_index = max(rows, default=-1) + 1
        for index in range(job.next_unbound_index):
            self._load_task(job, index, rows.get(index, ROW_UNTOUCHED))
        job.retry_queue = deque(
            sorted(i for i, t in job.tasks.items() if t.phase is TaskPhase.PENDING and not t.retry_exhausted)
        )

    @staticmethod
    def _load_job_fields(job: Job, record: TasksRecord) -> None:
        """What lies beside a job's first tasks."""
        if isinstance(record.tier, UnsetType):
            return
        job.tier, job.loss_count, job.errors = record.tier, record.loss_count, record.errors
        job.suspected_faulty = job.errors > 0
        if not isinstance(record.deferral, UnsetType):
            job.deferral, job.start_limit = decode_deferral(record.deferral), record.deferral.start_limit

    def _load_task(self, job: Job, index: int, row: Any) -> None:
        if row == ROW_COMPLETED:
            job.completed.add(index)
            return
        task = job.tasks[index] = Task(job, index)
        if row == ROW_UNTOUCHED:
            return
        recorded = TaskRow.decode(row)
        task.attempt = recorded.attempt
        job.gang_attempt = max(job.gang_attempt, task.attempt)
        task.binding_epoch, task.retry_exhausted = recorded.binding_epoch, recorded.retry_exhausted
        if recorded.machine_name is None:
            return
        machine = self.cluster.machines.get(recorded.machine_name)
        if machine is None:
            # The fleet record is written no later than the first binding to a machine and kept until the machine is
            # proven gone: so the task's machine is.
            task.retry_exhausted = job.at_most_once  # and may have started there
            self.cluster.writes.mark_dirty(task)
            return
        task.phase = TaskPhase.BOUND
        self.cluster.tasks.bind(task, machine)
        machine.images.setdefault(job.spec.image, 1)  # it was sent there a while ago

    # --- what depends on several records --------------------------------------------------------

    def _load_blocked_job(self, job_id: str, record: JobRecord, version: int) -> None:
        writes = self.cluster.writes
        if job_id in self.cluster.jobs:
            # A task of it was bound: deleted after that, where one transaction holds few changes.
            writes.orphaned_keys.append(blocked_key(job_id))
            return
        job = Job(job_id, record.spec(), version, record.submitted_at)
        job.compact_spec = record.compact_spec()
        if job_id in self.cancel_marks:
            writes.versions[blocked_key(job_id)] = version
            job.cancelled = True
            writes.jobs_to_delete[job] = None
        else:
            self.cluster.dependencies.add_blocked(job)

    def _apply_cancel_mark(self, job_id: str, version: int) -> None:
        if job_id in self.cluster.jobs:
            self.cluster.job_lifecycle.cancel(job_id, version)
            return
        self.cluster.dependencies.cancel_dependents(job_id)
        if job_id not in self.blocked:
            self.cluster.writes.orphaned_keys.append(cancel_key(job_id))

    def _resume(self, job: Job) -> None:
        """Go on with a job where the last leader stopped."""
        cluster = self.cluster
        if job.completed:
            cluster.job_statistics.on_started(job)
        exhausted = next((task for task in job.tasks.values() if task.retry_exhausted), None)
        if exhausted is not None and job.at_most_once and not job.cancelled:
            cause = "a task was lost with its machine or with an earlier leader, and may not run again"
            cluster.job_lifecycle.fail(exhausted, cause)
        if job.kind is JobKind.GANG and job.completed and not job.cancelled:
            cluster.tasks.complete_gang(job)
        if not job.pending:
            cluster.pending.discard(job)
        if len(job.completed) >= job.spec.task_count and not job.cancelled:
            job.completing = True
            cluster.writes.jobs_to_complete[job] = None
        versions = cluster.writes.versions
        assert live_key(job.job_id) in versions or blocked_key(job.job_id) in versions
