"""The users' interface: job submissions and job status values."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import Any, Literal

import msgspec

from oatport.wire.codec import InvalidMessageError

# Field names on the wire, also used in the records of the state service.
DEPENDENCIES_FIELD = "waitsOn"
MACHINE_TYPES_FIELD = "berthKinds"
KIND_FIELD = "rig"
TASK_COUNT_FIELD = "legs"
SERVICE_KIND = "standing"  # a value of KIND_FIELD

MAX_JOB_ID_LENGTH = 64
MAX_TASKS = 100_000
MAX_QUANTITY = 1e9
MAX_TEXT_LENGTH = 200
MAX_MACHINE_TYPES = 64
MAX_MACHINE_TYPE_LENGTH = 64


class JobStatus(StrEnum):
    """Lists the states of a job, as shown to users and as stored in the job's record."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "done"
    CANCELLED = "aborted"
    # In records only: the job terminated because one of its tasks may not run again. PROTOCOL has no status for this,
    # so users who poll get `queued`, which is true: no task runs, and the job is neither done nor cancelled.
    FAILED = "lost"


PUBLIC_TERMINAL_STATUSES = frozenset((JobStatus.COMPLETED, JobStatus.CANCELLED))  # as shown to users
TERMINAL_STATUSES = PUBLIC_TERMINAL_STATUSES | {JobStatus.FAILED}


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """Holds the body of POST /submissions, a user's description of a job. Quantities are per task."""

    job_id: str = msgspec.field(name="ref")
    job_class: str = msgspec.field(name="cargo")
    team: str = msgspec.field(name="crew")
    kind: Literal["array", "gang", "standing"] = msgspec.field(name=KIND_FIELD)
    priority: Literal["production", "high", "normal", "idle"] = msgspec.field(name="urgency")
    task_count: int = msgspec.field(name=TASK_COUNT_FIELD)
    cpus: float = msgspec.field(name="cores")
    gpus: float = msgspec.field(name="accelerators")
    memory_gb: float = msgspec.field(name="memoryGb")
    image: str = msgspec.field(name="hull")
    image_size_gb: float = msgspec.field(name="sizeGb")
    machine_types: list[str] | None = msgspec.field(name=MACHINE_TYPES_FIELD, default=None)
    zone: str | None = msgspec.field(name="harbor", default=None)
    single_zone: bool = msgspec.field(name="samePlace")
    spread: bool
    spot: bool = msgspec.field(name="driftwood")
    estimated_runtime_s: float = msgspec.field(name="voyageS")
    checkpoint_interval_s: float = msgspec.field(name="mooringS")
    checkpoint_duration_s: float = msgspec.field(name="stowS")
    deadline_s: float | None = msgspec.field(name="tideS", default=None)
    # Jobs that must be completed before any task of this job starts.
    dependencies: list[str] | None = msgspec.field(name=DEPENDENCIES_FIELD, default=None)

    @property
    def stop_grace_s(self) -> float:
        """Returns the time that a stopped task gets to exit: enough to save a checkpoint, or 0 if the job has none."""
        return self.checkpoint_duration_s + 1.0 if self.checkpoint_interval_s > 0 else 0.0


def is_job_id(text: str) -> bool:
    """Returns whether the text is a valid job id: `j-` and digits (PROTOCOL, POST /submissions)."""
    digits = text[2:]
    return text.startswith("j-") and digits.isascii() and digits.isdigit() and len(text) <= MAX_JOB_ID_LENGTH


def decode_submission(value: Any) -> Submission:
    """Returns the validated submission of a decoded body. Raises InvalidMessageError with the field's wire name."""
    if not isinstance(value, dict):
        raise InvalidMessageError("not a map")
    try:
        submission = msgspec.convert(value, Submission, strict=True)
    except msgspec.ValidationError as error:
        raise InvalidMessageError(str(error)) from error
    if not is_job_id(submission.job_id):
        raise InvalidMessageError("ref: not a job id")
    if not 1 <= submission.task_count <= MAX_TASKS:
        raise InvalidMessageError(f"{TASK_COUNT_FIELD}: must be 1 to {MAX_TASKS}")
    _check_quantities(submission)
    _check_texts(submission)
    return _with_checked_dependencies(submission)


def _check_quantities(submission: Submission) -> None:
    if submission.cpus == 0:
        raise InvalidMessageError("cores: out of range")
    for name, quantity in (
        ("cores", submission.cpus),
        ("accelerators", submission.gpus),
        ("memoryGb", submission.memory_gb),
        ("sizeGb", submission.image_size_gb),
        ("voyageS", submission.estimated_runtime_s),
        ("mooringS", submission.checkpoint_interval_s),
        ("stowS", submission.checkpoint_duration_s),
        ("tideS", submission.deadline_s or 0.0),
    ):
        if not math.isfinite(quantity) or not 0 <= quantity <= MAX_QUANTITY:
            raise InvalidMessageError(f"{name}: out of range")


def _check_texts(submission: Submission) -> None:
    texts = (submission.image, submission.job_class, submission.team, submission.zone or "")
    if not submission.image or any(len(text) > MAX_TEXT_LENGTH for text in texts):
        raise InvalidMessageError("a text is empty or too long")
    types = submission.machine_types or ()
    if len(types) > MAX_MACHINE_TYPES or any(len(name) > MAX_MACHINE_TYPE_LENGTH for name in types):
        raise InvalidMessageError(f"{MACHINE_TYPES_FIELD}: too long")


def _with_checked_dependencies(submission: Submission) -> Submission:
    """Returns the submission with validated, deduplicated dependencies; an empty list becomes None."""
    if submission.dependencies is None:
        return submission
    for job_id in submission.dependencies:
        if not is_job_id(job_id):
            raise InvalidMessageError(f"{DEPENDENCIES_FIELD}: not a job id")
        if job_id == submission.job_id:
            raise InvalidMessageError(f"{DEPENDENCIES_FIELD}: a job can't wait for itself")
    dependencies = list(dict.fromkeys(submission.dependencies)) or None
    return msgspec.structs.replace(submission, dependencies=dependencies)
