"""How what is recorded is laid out over keys, so that every value fits the state service's limit, now and later.

A job's tasks lie in chunks of `CHUNK_TASKS`, as all versions know them. Where a chunk does not fit, its key holds the
first tasks and further keys the others, each named by the first that it holds: `live/JOB/0001` and `live/JOB/0001.40`.
Machines likewise: `fleet/000002` and `fleet/000002.18`. Where two records tell of the same task or machine, the one
that was written last is right. So a record that an earlier version wrote larger may stay as it is while parts of it
are written anew; only before it is itself written smaller must the others be there (`WriteBuffer`).

Versions before 0.7 know no such parts: they are written only once all nodes read them
(`control/storage/schema_version.py`).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

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

FRAME = 96  # bytes of a record beside its rows
HEAD_FRAME = 288  # of a job's first record, beside its description and rows; a deferred start is in it
TASK_ROW = 28  # [attempt, machine, epoch]
MACHINE_ROW = 110  # beside the longest name of a zone


def rows_that_fit(limit: int, frame: int, row: int, most: int) -> int:
    """How many rows of so many bytes a value of `limit` bytes holds beside its frame; 1 at least, `most` at most."""
    return min(most, max(1, (limit - frame) // row))


@dataclass(slots=True)
class RecordLayout:
    """Where tasks and machines lie. `parts`: all nodes read more keys than one a chunk."""

    max_value_bytes: int  # bytes of a value, as JSON
    longest_zone_name: int  # the longest name of a zone
    should_split_records: bool = False

    @property
    def tasks_per_part(self) -> int:
        """How many tasks a record holds that does not lie with its job."""
        return (
            rows_that_fit(self.max_value_bytes, FRAME, TASK_ROW, TASKS_PER_CHUNK)
            if self.should_split_records
            else TASKS_PER_CHUNK
        )

    @property
    def machines_per_part(self) -> int:
        """How many machine numbers a record tells of."""
        return (
            rows_that_fit(self.max_value_bytes, FRAME, MACHINE_ROW + self.longest_zone_name, MACHINES_PER_GROUP)
            if self.should_split_records
            else MACHINES_PER_GROUP
        )

    def tasks_in_head_record(self, job: Job) -> int:
        """How many of a job's tasks lie with it in one record."""
        if not self.should_split_records:
            return TASKS_PER_CHUNK
        if job.tasks_in_first_record < 0:
            taken = HEAD_FRAME + json_size(encode_description(job))
            job.tasks_in_first_record = min(TASKS_PER_CHUNK, max(0, (self.max_value_bytes - taken) // TASK_ROW))
        return job.tasks_in_first_record

    def task_key(self, job: Job, index: int) -> str:
        """The record that a task lies in."""
        chunk, offset = divmod(index, TASKS_PER_CHUNK)
        size, head = self.tasks_per_part, 0 if chunk else self.tasks_in_head_record(job)
        if offset < head:
            return live_key(job.job_id)
        low = head + (offset - head) // size * size
        return f"{LIVE_PREFIX}{job.job_id}/{chunk:04d}.{low:02d}" if low or not chunk else chunk_key(job.job_id, chunk)

    def task_span(self, job: Job, key: str) -> tuple[int, int]:
        """The tasks of a record: from, up to."""
        _, low = first_task(key)
        chunk = low // TASKS_PER_CHUNK
        size = self.tasks_in_head_record(job) if key == live_key(job.job_id) else self.tasks_per_part
        return low, min(low + size, (chunk + 1) * TASKS_PER_CHUNK)

    def task_keys(self, job: Job, low: int, high: int) -> Iterator[str]:
        """The records of the tasks from `low` up to `high`."""
        index = low
        while index < high:
            key = self.task_key(job, index)
            yield key
            index = self.task_span(job, key)[1]

    def fleet_key(self, number: int) -> str:
        """The record that the machine of this number lies in."""
        group, offset = divmod(number, MACHINES_PER_GROUP)
        size = self.machines_per_part
        return group_key(group, offset // size * size)

    def fleet_span(self, key: str) -> tuple[int, int]:
        """The machine numbers of a record: from, up to."""
        low, group = first_machine(key)
        return low, min(low + self.machines_per_part, group + MACHINES_PER_GROUP)

    def fleet_keys(self, key: str) -> Iterator[str]:
        """All records of a group."""
        _, low = first_machine(key)
        yield from (self.fleet_key(n) for n in range(low, low + MACHINES_PER_GROUP, self.machines_per_part))
