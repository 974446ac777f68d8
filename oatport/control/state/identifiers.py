"""Parsing of the names of jobs, tasks and machines."""

from __future__ import annotations


def number_in_name(name: str) -> int:
    """Returns the digits of a name as one number; 0 if it has none."""
    return int("".join(c for c in name if c.isdigit()) or 0)


def split_task(name: str) -> tuple[str, int] | None:
    """Returns the job id and the index of a task name such as `JOB/3`; None if the name has another form."""
    job_id, _, index = name.rpartition("/")
    return (job_id, int(index)) if job_id and index.isdigit() else None
