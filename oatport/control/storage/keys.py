"""Names of the keys in the state service: every one that this software writes, and what lies under it.

| key | what it holds |
| --- | --- |
| `jobs/JOB` | a job as submitted, and its state: what users are told |
| `live/JOB` | an unfinished job with its first tasks; until the first binding the same value as `jobs/JOB` |
| `live/JOB/0001`, `live/JOB/0001.40` | further tasks of it, by chunk, and from the task at that offset |
| `live/JOB/x` | the cancellation mark: a takeover sees it among live work |
| `waits/JOB` | an accepted job that depends on others, until its first binding |
| `more/JOB/0000` | long lists of a job's description, where one value can't hold them |
| `fleet/000002`, `fleet/000002.18` | machines by number: those of a group, and from that offset |
| `leader` | who leads; its revision is the fencing token |
| `model`, `model/1` | what the runtime predictor has learnt |
| `catalog` | the machine types, for when the cloud service is away |
| `dark` | partitioned zones |
| `formats` | the schema version that all nodes read |
"""

from __future__ import annotations

JOBS_PREFIX, LIVE_PREFIX, BLOCKED_PREFIX, OVERFLOW, FLEET_PREFIX = "jobs/", "live/", "waits/", "more/", "fleet/"
LEADER_KEY, MODEL_KEY, CATALOG_KEY = "leader", "model", "catalog"
PARTITIONED_ZONES_KEY = "dark"
SCHEMA_VERSION_KEY = "formats"
CANCEL_MARK = "x"  # live/JOB/x

KEYS_PER_ACCEPTED_JOB = 2  # written to accept a job: jobs/JOB, and live/JOB or waits/JOB

TASKS_PER_CHUNK = 100  # tasks in one record, where that fits
MACHINES_PER_GROUP = 40  # machines in one fleet record, where that fits


def job_key(job_id: str) -> str:
    """The job as submitted, and its state."""
    return JOBS_PREFIX + job_id


def live_key(job_id: str) -> str:
    """The unfinished job with its first tasks."""
    return LIVE_PREFIX + job_id


def blocked_key(job_id: str) -> str:
    """The record of a job that no task of was bound yet, and that depends (or depended) on others."""
    return BLOCKED_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """The mark that the job was cancelled."""
    return f"{LIVE_PREFIX}{job_id}/{CANCEL_MARK}"


def overflow_key(job_id: str, number: int) -> str:
    """The record of so-and-so many lists of its description that its own record can't hold."""
    return f"{OVERFLOW}{job_id}/{number:04d}"


def chunk_key(job_id: str, chunk: int) -> str:
    """The record of a chunk of tasks; the first lies with the job, so that a small job has one key."""
    return f"{LIVE_PREFIX}{job_id}/{chunk:04d}" if chunk else live_key(job_id)


def first_task(key: str) -> tuple[str, int]:
    """The job, and the first task, of a record of tasks."""
    job_id, _, part = key[len(LIVE_PREFIX) :].partition("/")
    chunk, _, offset = part.partition(".")
    return job_id, int(chunk or 0) * TASKS_PER_CHUNK + int(offset or 0)


def group_key(group: int, offset: int = 0) -> str:
    """The record of a group of machines, or of those from an offset in it."""
    return f"{FLEET_PREFIX}{group:06d}" + (f".{offset:02d}" if offset else "")


def first_machine(key: str) -> tuple[int, int]:
    """The first machine number of a fleet record, and of its group."""
    group, _, offset = key[len(FLEET_PREFIX) :].partition(".")
    low = int(group) * MACHINES_PER_GROUP
    return low + int(offset or 0), low
