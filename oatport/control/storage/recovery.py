"""Taking over from records, outages, and the verdict on silent machines."""

from __future__ import annotations

import logging
from collections import deque
from typing import Any

import msgspec

from oatport import wire
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.identifiers import number_in_name
from oatport.control.state.job import DeferredStart, Job, JobKind
from oatport.control.state.task import Task, TaskPhase
from oatport.control.storage.keys import (
    BLOCKED,
    CANCEL_MARK,
    FLEET,
    GROUP_MACHINES,
    LIVE,
    MODEL_KEY,
    PARTITIONED_ZONES_KEY,
    SCHEMA_VERSION_KEY,
    blocked_key,
    cancel_key,
    first_machine,
    first_task,
    live_key,
)
from oatport.control.storage.overflow_records import note_compact_spec
from oatport.control.storage.schema_version import SCHEMA_VERSION, recorded_version

log = logging.getLogger(__name__)

OLD_HEAD = "0000"


def read_job(value: Any) -> tuple[wire.Submission, int, str]:
    """The value of jobs/REF or live/REF: job, time of submission, state."""
    spec = msgspec.convert(value["job"], wire.Submission, strict=False)
    return spec, int(value["at"]), str(value["state"])


class UnknownMachineTypeError(Exception):
    """A recorded machine is of a type that no catalog tells: what is on it can't be taken in."""


def recorded_machines(rows: list[wire.StoredEntry]) -> list[list[Any]]:
    """The machines of all fleet records. Where two tell of the same numbers, the one written last is right."""
    known: dict[int, list[Any]] = {}
    for found in sorted((row for row in rows if row.key.startswith(FLEET)), key=lambda row: row.revision):
        low, _ = first_machine(found.key)
        span = range(low, low + int(found.value.get("n", GROUP_MACHINES)))
        for number in [n for n in known if n in span]:
            del known[number]
        known |= {number_in_name(row[0]): row for row in found.value["m"]}
    return [known[number] for number in sorted(known)]


def recorded_machine_types(rows: list[wire.StoredEntry]) -> set[str]:
    """The types of all recorded machines."""
    return {str(row[1]) for row in recorded_machines(rows)}


def load_cluster(cluster: ClusterState, rows: list[wire.StoredEntry], now: int, wall: int) -> None:
    """Fill a new leader's view from the records under live/ and fleet/, and the model.

    What a record says is on a machine is taken as there, whatever the machine itself says later
    under an older token; a report under ours confirms or removes it. Raises UnknownType before anything is changed
    that a record depends on.
    """
    chunks: dict[str, list[tuple[int, int, Any]]] = {}  # version, first task, value
    cancelled: dict[str, int] = {}
    waits: dict[str, tuple[Any, int]] = {}
    apart: dict[str, Any] = {}  # first chunks of before version 0.3, which did not lie with their jobs
    cluster.writes.layout.parts = any(
        row.key == SCHEMA_VERSION_KEY and recorded_version(row.value) >= SCHEMA_VERSION for row in rows
    )
    for name, type_name, zone, spot, address, rented, was_up in recorded_machines(rows):
        machine = cluster.add_machine(name, type_name, zone, spot, address, now, wall, max(0, wall - rented))
        if machine is None:
            # Left out, it would be taken for gone, and all that runs on it would be started again elsewhere.
            raise UnknownMachineTypeError(f"{name} is of type {type_name}")
        machine.persisted, machine.was_ready = True, was_up
        # Asked at once by the new leader; one that stays silent has most likely been so before.
        machine.known_since = now - cluster.tuning.us("silent_s") * 3 // 10
    for row in rows:
        key, value, version = row
        cluster.writes.versions[key] = version
        if key.startswith(MODEL_KEY):
            cluster.predictor.load(value)
        elif key == PARTITIONED_ZONES_KEY:
            # What an earlier leader found out holds until one of the zone's machines is heard.
            cluster.zones.partitioned = {
                str(zone): now - max(0, wall - int(since)) for zone, since in value["zones"].items()
            }
            cluster.zones.lease_proxied = {
                str(zone) for zone in value.get("kept", ())
            } & cluster.zones.partitioned.keys()
        elif key.startswith(BLOCKED):
            waits[key[len(BLOCKED) :]] = value, version
        elif key.startswith(LIVE):
            ref, _, part = key[len(LIVE) :].partition("/")
            if not part:
                spec, at, _ = read_job(value)
                # As accepted, it has the revision of jobs/REF; from the first claim on it tells that one.
                job = cluster.job_lifecycle.add(ref, spec, int(value.get("rev", version)), at)
                job.eligible_at = int(value.get("from", at))
                note_compact_spec(job, value)
                cluster.writes.versions[key] = version
                if "t" in value:
                    chunks.setdefault(ref, []).append((version, 0, value))
            elif part == CANCEL_MARK:
                cancelled[ref] = version
            elif part == OLD_HEAD:
                apart[ref] = value
                cluster.writes.orphaned_keys.append(key)
            else:
                chunks.setdefault(ref, []).append((version, first_task(key)[1], value))
    cluster.writes.dirty_keys.clear()  # what was just read is not to be written back
    for ref, value in apart.items():
        if ref in cluster.jobs and not any(low == 0 for _, low, _ in chunks.get(ref, ())):
            chunks.setdefault(ref, []).append((0, 0, value))
            cluster.writes.dirty_keys[live_key(ref)] = None  # written before the old key is dropped
    for ref, parts in chunks.items():
        found = cluster.jobs.get(ref)
        if found is None:
            # Its head went with its end, which the keys outlived: a large job dropped in parts.
            cluster.writes.orphaned_keys += [
                key for key in cluster.writes.versions if key.startswith(f"{LIVE}{ref}/") and key != cancel_key(ref)
            ]
            continue
        job = found
        parts.sort(key=lambda part: part[:2])
        _load_tasks(cluster, job, parts)
        job.retry_queue = deque(
            sorted(i for i, t in job.tasks.items() if t.phase is TaskPhase.PENDING and not t.retry_exhausted)
        )
    for row in rows:
        cluster.writes.note_record_width(row.key, row.value)
    for ref, (value, version) in waits.items():
        if ref in cluster.jobs:
            cluster.writes.orphaned_keys.append(
                blocked_key(ref)
            )  # it was claimed: dropped after that, where one transaction is small
            continue
        spec, at, _ = read_job(value)
        job = Job(ref, spec, version, at)
        note_compact_spec(job, value)
        if ref in cancelled:
            cluster.writes.versions[blocked_key(ref)] = version
            job.cancelled = True
            cluster.writes.jobs_to_delete[job] = None
        else:
            cluster.dependencies.add_blocked(job)
    for ref, version in cancelled.items():
        if ref in cluster.jobs:
            cluster.job_lifecycle.cancel(ref, version)
        else:
            cluster.dependencies.cancel_dependents(ref)
            if ref not in waits:
                cluster.writes.orphaned_keys.append(cancel_key(ref))
    for job in cluster.jobs.values():
        if job.completed:
            cluster.job_statistics.began(job)
        spent = next((task for task in job.tasks.values() if task.retry_exhausted), None) if job.at_most_once else None
        if spent is not None and not job.cancelled:
            cluster.job_lifecycle.fail(
                spent, "a task was lost with its machine or with an earlier leader, and may not run again"
            )
        if job.kind is JobKind.GANG and job.completed and not job.cancelled:
            cluster.tasks.complete_gang(job)
        if not job.pending:
            cluster.pending.discard(job)
        if len(job.completed) >= job.spec.task_count and not job.cancelled:
            job.completing = True
            cluster.writes.jobs_to_complete[job] = None
        assert live_key(job.job_id) in cluster.writes.versions or blocked_key(job.job_id) in cluster.writes.versions


def _load_tasks(cluster: ClusterState, job: Job, parts: list[tuple[int, int, Any]]) -> None:
    """Its tasks as recorded. `parts` in the order in which they were written: of a task the last one tells."""
    rows: dict[int, Any] = {}
    for _, low, value in parts:
        rows |= {low + offset: row for offset, row in enumerate(value["t"])}
        if "tier" not in value:
            continue
        job.tier, job.loss_count = str(value.get("tier", "")), int(value.get("lost", 0))
        job.errors = int(value.get("errors", 0))
        job.suspected_faulty = job.errors > 0
        if "hold" in value:
            job.deferral, job.start_limit = DeferredStart.of(value["hold"]), int(value["hold"]["open"])
    # Tasks between the known ones were never touched but are below the mark now.
    job.next_untouched = max(rows, default=-1) + 1
    for index in range(job.next_untouched):
        task, row = Task(job, index), rows.get(index, 0)
        job.tasks[index] = task
        if row == -1:
            del job.tasks[index]
            job.completed.add(index)
        elif row:
            task.attempt = int(row[0])
            job.gang_attempt = max(job.gang_attempt, task.attempt)
            if len(row) > 2:
                task.binding_epoch, task.retry_exhausted = int(row[2]), row[1] is None
            if len(row) > 1 and row[1] is not None:
                machine = cluster.machines.get(row[1])
                if machine is None:
                    # The fleet record is written no later than the first claim on a machine and kept
                    # until the machine is proven gone: so the task's machine is.
                    task.retry_exhausted = job.at_most_once  # and may have begun there
                    cluster.writes.mark_dirty(task)
                    continue
                task.phase = TaskPhase.BOUND
                cluster.tasks.bind(task, machine)
                machine.images.setdefault(job.spec.image, 1)  # it was sent there a while ago
