"""Layout of tasks and machines over keys, such that every value fits the state service's present and future limits.

The tasks of a job are stored in chunks of `TASKS_PER_CHUNK`, which all versions can read. If a chunk does not fit into
one value, its key holds the first tasks, and further keys (parts) hold the rest, each named by the offset of its first
task: `live/JOB/0001` and `live/JOB/0001.40`. The same applies to machines: `fleet/000002` and `fleet/000002.18`. If two
records cover the same task or machine, the one with the higher revision is valid. So an oversized record of an earlier
version may remain while parts of it are rewritten; only before the record itself is rewritten with fewer rows must the
other parts exist (`WriteBuffer`).

Versions before 0.7 do not support parts, so parts are written only once all nodes can read them
(`control/storage/schema_version.py`).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from oatport import wire
from oatport.control.state.job import Job
from oatport.control.storage.job_records import encode_description
from oatport.control.storage.keys import (
    LIVE_PREFIX,
    MACHINES_PER_GROUP,
    TASKS_PER_CHUNK,
    chunk_key,
    first_machine,
    first_task,
    group_key,
    live_key,
)
from oatport.sizes import json_size

RECORD_OVERHEAD_BYTES = 96  # of a record, besides its rows
# Of a job's head record, besides its description and rows; includes a deferral of one time (`job_records` fits others).
HEAD_RECORD_OVERHEAD_BYTES = 288
# Of a transaction with two records, besides their values: keys, and the conditions on these, a job and the leader.
RECORD_PAIR_OVERHEAD_BYTES = (
    wire.EMPTY_TRANSACTION_BYTES
    + 2 * wire.set_size("k" * wire.MAX_KEY_BYTES, "")
    + 4 * wire.condition_size("k" * wire.MAX_KEY_BYTES)
)
TASK_ROW_BYTES = 28  # [attempt, machine, epoch]
MACHINE_ROW_BYTES = 110  # without the zone name


def max_record_bytes(value_limit: int) -> int:
    """Returns how large a record may be: a value, of which one transaction holds two, as an accepted job is stored.

    `value_limit`: the state service's limit on values. All sizes are in bytes of JSON.
    """
    return min(value_limit, (wire.MAX_TRANSACTION_BYTES - RECORD_PAIR_OVERHEAD_BYTES) // 2)


def rows_per_value(limit: int, overhead_bytes: int, row_bytes: int, max_rows: int) -> int:
    """Returns how many rows fit into a value of `limit` bytes besides its overhead, between 1 and `max_rows`."""
    return min(max_rows, max(1, (limit - overhead_bytes) // row_bytes))


@dataclass(slots=True)
class RecordLayout:
    """Maps tasks and machines to keys. `should_split_records`: all nodes can read chunks that are split into parts."""

    max_value_bytes: int  # as JSON
    max_zone_name_length: int  # in characters
    should_split_records: bool = False

    @property
    def tasks_per_part(self) -> int:
        """Returns the maximum number of tasks in a record other than the head record."""
        return (
            rows_per_value(self.max_value_bytes, RECORD_OVERHEAD_BYTES, TASK_ROW_BYTES, TASKS_PER_CHUNK)
            if self.should_split_records
            else TASKS_PER_CHUNK
        )

    @property
    def machines_per_part(self) -> int:
        """Returns the maximum number of machine numbers that a record covers."""
        return (
            rows_per_value(
                self.max_value_bytes,
                RECORD_OVERHEAD_BYTES,
                MACHINE_ROW_BYTES + self.max_zone_name_length,
                MACHINES_PER_GROUP,
            )
            if self.should_split_records
            else MACHINES_PER_GROUP
        )

    def tasks_in_head_record(self, job: Job) -> int:
        """Returns how many of a job's tasks are in its head record."""
        if not self.should_split_records:
            return TASKS_PER_CHUNK
        if job.tasks_in_first_record < 0:
            used_bytes = HEAD_RECORD_OVERHEAD_BYTES + json_size(encode_description(job))
            job.tasks_in_first_record = min(
                TASKS_PER_CHUNK, max(0, (self.max_value_bytes - used_bytes) // TASK_ROW_BYTES)
            )
        return job.tasks_in_first_record

    def task_key(self, job: Job, index: int) -> str:
        """Returns the key of the record with a task."""
        chunk, offset = divmod(index, TASKS_PER_CHUNK)
        size, head = self.tasks_per_part, 0 if chunk else self.tasks_in_head_record(job)
        if offset < head:
            return live_key(job.job_id)
        low = head + (offset - head) // size * size
        return f"{LIVE_PREFIX}{job.job_id}/{chunk:04d}.{low:02d}" if low or not chunk else chunk_key(job.job_id, chunk)

    def task_span(self, job: Job, key: str) -> tuple[int, int]:
        """Returns the range of tasks of a record: the first, and the one after the last."""
        _, low = first_task(key)
        chunk = low // TASKS_PER_CHUNK
        size = self.tasks_in_head_record(job) if key == live_key(job.job_id) else self.tasks_per_part
        return low, min(low + size, (chunk + 1) * TASKS_PER_CHUNK)

    def task_keys(self, job: Job, low: int, high: int) -> Iterator[str]:
        """Yields the keys of the records with the tasks from `low` up to `high`."""
        index = low
        while index < high:
            key = self.task_key(job, index)
            yield key
            index = self.task_span(job, key)[1]

    def fleet_key(self, number: int) -> str:
        """Returns the key of the record with the machine of this number."""
        group, offset = divmod(number, MACHINES_PER_GROUP)
        size = self.machines_per_part
        return group_key(group, offset // size * size)

    def fleet_span(self, key: str) -> tuple[int, int]:
        """Returns the range of machine numbers of a record: the first, and the one after the last."""
        low, group = first_machine(key)
        return low, min(low + self.machines_per_part, group + MACHINES_PER_GROUP)

    def fleet_keys(self, key: str) -> Iterator[str]:
        """Yields the keys of all records of the group that a fleet record belongs to."""
        _, low = first_machine(key)
        yield from (self.fleet_key(n) for n in range(low, low + MACHINES_PER_GROUP, self.machines_per_part))
