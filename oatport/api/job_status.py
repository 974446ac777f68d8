"""The part of a job's record that determines the status shown to users."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oatport import wire


@dataclass(frozen=True, slots=True)
class JobSnapshot:
    """Holds the state of a job at one revision of its record.

    `dependencies` leaves out jobs that are known to be completed. `overflow_records` is the number of records that hold
    the job's long lists, if these have not been read.
    """

    state: str
    task_count: int
    revision: int
    dependencies: tuple[str, ...] = ()
    overflow_records: int = 0
    is_service: bool = False

    @property
    def is_terminal(self) -> bool:
        """Returns whether the state is terminal as shown to users, and so never changes."""
        return self.state in wire.PUBLIC_TERMINAL_STATUSES

    @property
    def may_have_dependencies(self) -> bool:
        """Returns whether the job has dependencies, or may have them in an overflow record that has not been read."""
        return bool(self.dependencies or self.overflow_records)

    @classmethod
    def from_record(cls, record: dict[str, Any], revision: int) -> JobSnapshot:
        """Returns the snapshot of a stored value under jobs/ and its revision."""
        job, state = record["job"], str(record["state"])
        is_terminal = state in wire.PUBLIC_TERMINAL_STATUSES
        return cls(
            state,
            int(job[wire.TASK_COUNT_FIELD]),
            revision,
            () if is_terminal else tuple(map(str, job.get(wire.DEPENDENCIES_FIELD) or ())),
            int(record["more"][0]) if "more" in record and not is_terminal else 0,
            job.get(wire.KIND_FIELD) == wire.SERVICE_KIND,
        )
