"""Names of jobs, tasks and machines, taken apart."""

from __future__ import annotations


def number_in_name(name: str) -> int:
    """The digits of a name as one number; 0 if it has none."""
    return int("".join(c for c in name if c.isdigit()) or 0)


def split_task(name: str) -> tuple[str, int] | None:
    """The job and the index of a task's name, `JOB/3`; None if it is no such name."""
    job_id, _, index = name.rpartition("/")
    return (job_id, int(index)) if job_id and index.isdigit() else None
