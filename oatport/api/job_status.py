"""What the record of a job says of it, as far as users see it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oatport import wire


@dataclass(frozen=True, slots=True)
class JobSnapshot:
    """A job as its record has it. `dependencies`: without those known to be completed."""

    state: str
    task_count: int
    revision: int
    dependencies: tuple[str, ...] = ()
    overflow_records: int = 0  # so many records hold its long lists, which have not been read
    is_service: bool = False

    @property
    def terminal(self) -> bool:
        """Its state is terminal, as users see it, and holds for good."""
        return self.state in wire.PUBLIC_TERMINAL_STATUSES

    @property
    def may_depend(self) -> bool:
        """It names other jobs, or may do so in a list that has not been read."""
        return bool(self.dependencies or self.overflow_records)

    @classmethod
    def from_record(cls, record: dict[str, Any], revision: int) -> JobSnapshot:
        """From the value under jobs/."""
        job, state = record["job"], str(record["state"])
        terminal = state in wire.PUBLIC_TERMINAL_STATUSES
        return cls(
            state,
            int(job[wire.TASK_COUNT_FIELD]),
            revision,
            () if terminal else tuple(map(str, job.get(wire.DEPENDENCIES_FIELD) or ())),
            int(record["more"][0]) if "more" in record and not terminal else 0,
            job.get(wire.KIND_FIELD) == wire.SERVICE_KIND,
        )
