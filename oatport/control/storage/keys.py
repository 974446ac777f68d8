"""Names of all keys that the scheduler writes to the state service; those of the job queues are in `queues/rows.py`.

| key | value |
| --- | --- |
| `jobs/JOB` | a job as submitted, and the state that users see |
| `live/JOB` | an unfinished job with its first tasks; until the first binding the same value as `jobs/JOB` |
| `live/JOB/0001`, `live/JOB/0001.40` | further tasks of the job: a chunk, or the part of a chunk from that offset |
| `live/JOB/x` | the cancellation mark; a new leader reads the mark together with the unfinished jobs |
| `waits/JOB` | an accepted job that depends on others, until its first binding |
| `more/JOB/0000` | long lists of a job's description that don't fit into one value |
| `fleet/000002`, `fleet/000002.18` | machines by number: a group, or the part of a group from that offset |
| `leader` | the current leader; the revision of the key is the fencing token |
| `model`, `model/1` | the state of the runtime predictor |
| `catalog` | the machine types, for use while the cloud service is unavailable |
| `dark` | partitioned zones |
| `formats` | the schema version that all nodes can read |
"""

from __future__ import annotations

JOBS_PREFIX, LIVE_PREFIX, BLOCKED_PREFIX, OVERFLOW_PREFIX, FLEET_PREFIX = "jobs/", "live/", "waits/", "more/", "fleet/"
LEADER_KEY, MODEL_KEY, CATALOG_KEY = "leader", "model", "catalog"
PARTITIONED_ZONES_KEY = "dark"
SCHEMA_VERSION_KEY = "formats"
CANCEL_MARK = "x"  # live/JOB/x

KEYS_PER_ACCEPTED_JOB = 2  # jobs/JOB, and live/JOB or waits/JOB

TASKS_PER_CHUNK = 100  # tasks in one record, if they fit
MACHINES_PER_GROUP = 40  # machines in one fleet record, if they fit


def job_key(job_id: str) -> str:
    """Returns the key of a job as submitted and its state."""
    return JOBS_PREFIX + job_id


def live_key(job_id: str) -> str:
    """Returns the key of the head record: an unfinished job with its first tasks."""
    return LIVE_PREFIX + job_id


def blocked_key(job_id: str) -> str:
    """Returns the key of a job that depends (or depended) on others and of which no task was bound yet."""
    return BLOCKED_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """Returns the key of the mark that a job was cancelled."""
    return f"{LIVE_PREFIX}{job_id}/{CANCEL_MARK}"


def overflow_key(job_id: str, number: int) -> str:
    """Returns the key of the overflow record `number`, with long lists of the job's description."""
    return f"{OVERFLOW_PREFIX}{job_id}/{number:04d}"


def chunk_key(job_id: str, chunk: int) -> str:
    """Returns the key of a chunk of tasks; the first chunk is in the head record, so that a small job has one key."""
    return f"{LIVE_PREFIX}{job_id}/{chunk:04d}" if chunk else live_key(job_id)


def first_task(key: str) -> tuple[str, int]:
    """Returns the job ID and the index of the first task of a task record."""
    job_id, _, part = key[len(LIVE_PREFIX) :].partition("/")
    chunk, _, offset = part.partition(".")
    return job_id, int(chunk or 0) * TASKS_PER_CHUNK + int(offset or 0)


def group_key(group: int, offset: int = 0) -> str:
    """Returns the key of a group of machines, or of the part of the group from an offset."""
    return f"{FLEET_PREFIX}{group:06d}" + (f".{offset:02d}" if offset else "")


def first_machine(key: str) -> tuple[int, int]:
    """Returns the first machine number of a fleet record and the first of its group."""
    group, _, offset = key[len(FLEET_PREFIX) :].partition(".")
    low = int(group) * MACHINES_PER_GROUP
    return low + int(offset or 0), low
