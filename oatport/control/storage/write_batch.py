"""The write batch: one transaction of the leader with an upper bound on its size."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from oatport import wire
from oatport.control.state.job import Job
from oatport.control.state.machine import Machine
from oatport.control.state.task import Task
from oatport.control.storage.keys import LEADER_KEY

# Of a transaction without any record: the envelope, and the condition on the leader key.
ENVELOPE_BYTES = wire.EMPTY_TRANSACTION_BYTES + wire.condition_size(LEADER_KEY)


@dataclass(slots=True)
class WriteBatch:
    """Holds one transaction of the leader, without the condition on the leader key that its sender adds.

    It consists of items that are not divided: a finished job with the deletion of its keys, or a record with those that
    must be written before it or in the same transaction.
    """

    completed_at: int = 0  # time of day; recorded with finished jobs
    conditions: dict[str, int] = field(default_factory=dict)  # key -> required revision; 0: absent
    sets: dict[str, Any] = field(default_factory=dict)  # key -> new value
    deletes: list[str] = field(default_factory=list)
    bindings: list[tuple[Task, int, Machine]] = field(default_factory=list)  # attempt and machine as written
    completed_jobs: list[Job] = field(default_factory=list)
    deleted_jobs: list[Job] = field(default_factory=list)
    cancelled_jobs: list[Job] = field(default_factory=list)  # a dependency was cancelled
    max_bytes: int = ENVELOPE_BYTES  # upper bound on the size of the transaction

    @property
    def operation_count(self) -> int:
        """Returns the number of keys to set or delete, which the state service limits."""
        return len(self.sets) + len(self.deletes)

    @property
    def finished_jobs(self) -> tuple[Job, ...]:
        """Returns all jobs that the leader can remove once the transaction is committed."""
        return (*self.completed_jobs, *self.deleted_jobs, *self.cancelled_jobs)
