"""Records of jobs in the state service: the only module that names their stored fields.

| record | key | written by | read by |
| --- | --- | --- | --- |
| `JobRecord` | `jobs/JOB`; `live/JOB` or `waits/JOB` until the first binding | the node that accepts the job, the leader when the job finishes | nodes that answer users, the leader |
| `LiveRecord` | `live/JOB` from the first binding on | the leader | the next leader |
| `TasksRecord` | `live/JOB/0001`, `live/JOB/0001.40` | the leader | the next leader |

Times in records are times of day, because they must mean the same to the next leader. A field that is UNSET is
not written. Unknown fields are ignored, because a later version may have written them.
"""  # noqa: E501 (a table)

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import UNSET, UnsetType, field

from oatport import wire
from oatport.control.state.job import CompactSpec, DeferredStart, Job
from oatport.sizes import json_size

ROW_COMPLETED = -1  # row of a completed task
DEFERRAL_FIELD = "hold"
ROW_NEVER_BOUND = 0  # row of a task that was never bound; trailing rows of this kind are omitted


class DeferredStartRecord(msgspec.Struct):
    """Holds the limit on how many tasks of a job may start, the reason, and when the limit rises."""

    start_limit: int = field(name="open")  # tasks with an index below this may start
    plan: list[list[int]]  # [time, number of further tasks that may start from then on]
    reason: str = field(name="why")
    write_count: int = field(name="n")
    paused_until: int = field(name="paused", default=0)
    pause_count: int = field(name="pauses", default=0)


class JobRecord(msgspec.Struct, kw_only=True):
    """Holds a job as submitted and its state."""

    state: str  # a value of wire.JobStatus
    submitted_at: int = field(name="at")
    description: dict[str, Any] = field(name="job")  # as submitted, without the lists in overflow records
    # [number of overflow records, names of the lists in them]
    overflow: list[Any] | UnsetType = field(name="more", default=UNSET)
    failure_reason: str | UnsetType = field(name="cause", default=UNSET)  # only of a failed job

    def spec(self) -> wire.Submission:
        """Returns the submission. Raises msgspec.ValidationError if the description is not a valid one."""
        return msgspec.convert(self.description, wire.Submission, strict=False)

    def compact_spec(self) -> CompactSpec | None:
        """Returns the part of the description in this record, or None if no lists are in overflow records."""
        if self.overflow is UNSET:
            return None
        names = self.overflow[1]
        description = {name: value for name, value in self.description.items() if name not in names}
        return CompactSpec(description, self.overflow)


class TasksRecord(msgspec.Struct, kw_only=True):
    """Holds consecutive tasks of a job."""

    # Each is ROW_COMPLETED, ROW_NEVER_BOUND, or a row as described in `TaskRow`.
    rows: list[Any] = field(name="t")
    # The fields below are only in the head record and, before version 0.3, in the separate `live/JOB/0000`.
    tier: str | UnsetType = UNSET
    loss_count: int = field(name="lost", default=0)
    errors: int = 0
    deferral: DeferredStartRecord | UnsetType = field(name=DEFERRAL_FIELD, default=UNSET)


class LiveRecord(JobRecord, kw_only=True):
    """Holds an unfinished job with its first tasks; only the fields of JobRecord are set until the first binding."""

    # Revision of jobs/JOB; a condition of all writes of bindings.
    version: int | UnsetType = field(name="rev", default=UNSET)
    rows: list[Any] | UnsetType = field(name="t", default=UNSET)  # as in TasksRecord.rows
    tier: str | UnsetType = UNSET  # the last decision of the tier router
    loss_count: int | UnsetType = field(name="lost", default=UNSET)  # how often its tasks were lost
    # When the last of its dependencies completed, if that is later than its submission.
    eligible_at: int | UnsetType = field(name="from", default=UNSET)
    errors: int | UnsetType = UNSET  # errors since its last completed task, if the job is suspected faulty
    deferral: DeferredStartRecord | UnsetType = field(name=DEFERRAL_FIELD, default=UNSET)


@dataclass(frozen=True, slots=True)
class TaskRow:
    """Holds the row of a task that was bound at least once and is not completed.

    Encoded as [attempt] when pending and [attempt, machine] when bound. If the job class limits retries, a bound task
    is [attempt, machine, binding epoch], and a task without a retry left is [attempt, None, 1].
    """

    attempt: int
    machine_name: str | None = None
    binding_epoch: int = 0
    retry_exhausted: bool = False

    @classmethod
    def decode(cls, row: list[Any]) -> TaskRow:
        """Decodes a row of a task record."""
        attempt = int(row[0])
        machine_name = row[1] if len(row) > 1 else None
        if len(row) > 2:
            return cls(attempt, machine_name, int(row[2]), machine_name is None)
        return cls(attempt, machine_name)


def _encode_rows(job: Job, low: int, high: int) -> list[Any]:
    rows: list[Any] = []
    for index in range(low, min(high, job.spec.task_count)):
        if index in job.completed:
            rows.append(ROW_COMPLETED)
            continue
        task = job.tasks.get(index)
        if task is None:
            rows.append(ROW_NEVER_BOUND)
        elif task.machine is None:
            rows.append([task.attempt, None, 1] if task.retry_exhausted else [task.attempt])
        elif job.at_most_once:
            rows.append([task.attempt, task.machine.name, task.binding_epoch])
        else:
            rows.append([task.attempt, task.machine.name])
    while rows and rows[-1] == ROW_NEVER_BOUND:
        rows.pop()
    return rows


def encode_tasks(job: Job, low: int, high: int) -> dict[str, Any]:
    """Returns the record of the tasks from `low` up to `high`, which are not in the head record of their job."""
    return {"t": _encode_rows(job, low, high)}


def encode_submission(spec: wire.Submission, submitted_at: int, state: str) -> dict[str, Any]:
    """Returns the record of a job of which only the submission exists."""
    return _encode(JobRecord(state=state, submitted_at=submitted_at, description=_describe(spec)))


def encode_job(job: Job, state: str) -> dict[str, Any]:
    """Returns the value of `jobs/JOB`."""
    return _encode(
        JobRecord(
            state=state,
            submitted_at=job.submitted_at,
            description=encode_description(job),
            overflow=UNSET if job.compact_spec is None else job.compact_spec.overflow,
            failure_reason=job.failure_reason if state == wire.JobStatus.FAILED else UNSET,
        )
    )


def encode_completed_job(job: Job, completed_at: int) -> dict[str, Any]:
    """Returns the value of `jobs/JOB` of a finished job: failed if it has a failure reason, otherwise completed.

    The value includes the completion time (time of day), because dependent jobs count their times from it, also under
    another leader.
    """
    state = wire.JobStatus.FAILED if job.failure_reason else wire.JobStatus.COMPLETED
    return encode_job(job, state) | {"ended": completed_at}


def encode_live_job(job: Job, task_count: int, max_bytes: int) -> dict[str, Any]:
    """Returns the value of `live/JOB` from the first binding on: the job with its first `task_count` tasks.

    The plan of a deferral gets what is left of `max_bytes` (of JSON), however many times it has.
    """
    value = _encode(
        LiveRecord(
            state=wire.JobStatus.QUEUED,
            submitted_at=job.submitted_at,
            description=encode_description(job),
            overflow=UNSET if job.compact_spec is None else job.compact_spec.overflow,
            version=job.version,
            rows=_encode_rows(job, 0, task_count),
            tier=job.tier,
            loss_count=job.loss_count,
            eligible_at=UNSET if job.eligible_at == job.submitted_at else job.eligible_at,
            errors=job.errors if job.suspected_faulty else UNSET,
            deferral=UNSET if job.deferral is None else _encode_deferral(job.deferral, job.start_limit),
        )
    )
    if job.deferral is not None:
        _fit_deferral(value, max_bytes)
    return value


def encode_description(job: Job) -> dict[str, Any]:
    """Returns the part of the submission in the job's own record, without the lists in overflow records."""
    return _describe(job.spec) if job.compact_spec is None else job.compact_spec.description


def decode_job(value: Any) -> JobRecord:
    """Decodes a value of `jobs/JOB`, `waits/JOB` or `live/JOB`. Raises msgspec.ValidationError if it is no job."""
    return msgspec.convert(value, JobRecord, strict=False)


def decode_live_job(value: Any) -> LiveRecord:
    """Decodes a value of `live/JOB`. Raises msgspec.ValidationError if the value is no such record."""
    return msgspec.convert(value, LiveRecord, strict=False)


def decode_tasks(value: Any) -> TasksRecord:
    """Decodes a value of `live/JOB` with tasks, or of a key below `live/JOB/`. Raises msgspec.ValidationError."""
    return msgspec.convert(value, TasksRecord, strict=False)


def decode_deferral(record: DeferredStartRecord) -> DeferredStart:
    """Converts a stored deferral to the leader's form."""
    plan = [(at, count) for at, count in record.plan]
    return DeferredStart(plan, record.reason, record.write_count, record.paused_until, record.pause_count)


def has_tasks(value: Any) -> bool:
    """Returns whether a value has a list of task rows, which may be empty."""
    return "t" in value


def row_count(value: Any) -> int:
    """Returns the number of task rows in a value; 0 if the value has no list of them."""
    return len(value.get("t", ()))


def _encode_deferral(deferral: DeferredStart, start_limit: int) -> DeferredStartRecord:
    return DeferredStartRecord(
        start_limit=start_limit,
        plan=[list(row) for row in deferral.plan],
        reason=deferral.reason,
        write_count=deferral.write_count,
        paused_until=deferral.paused_until,
        pause_count=deferral.pause_count,
    )


def _fit_deferral(value: dict[str, Any], max_bytes: int) -> None:
    """Makes the deferral in a record so small that the record has at most `max_bytes`, if that is possible.

    Neighbouring times of the plan are merged, and all their tasks may start from the earlier one: no task becomes late,
    but the next leader knows the plan less exactly. The reason, which is for operators, is left out if need be.
    """
    deferral = value[DEFERRAL_FIELD]
    plan, rows_merged = deferral["plan"], 1
    while json_size(value) > max_bytes and rows_merged < len(plan):
        rows_merged *= 2
        groups = [plan[first : first + rows_merged] for first in range(0, len(plan), rows_merged)]
        deferral["plan"] = [[group[0][0], sum(count for _, count in group)] for group in groups]
    if json_size(value) > max_bytes:
        deferral["why"] = ""


def _describe(spec: wire.Submission) -> dict[str, Any]:
    description: dict[str, Any] = msgspec.to_builtins(spec)
    if spec.dependencies is None:
        del description[wire.DEPENDENCIES_FIELD]
    return description


def _encode(record: msgspec.Struct) -> dict[str, Any]:
    value: dict[str, Any] = msgspec.to_builtins(record)
    return value
