"""Names of jobs, tasks and machines, taken apart."""

from __future__ import annotations


def number_in_name(name: str) -> int:
    return int("".join(c for c in name if c.isdigit()) or 0)


def split_task(name: str) -> tuple[str, int] | None:
    """`REF/3` as (REF, 3)."""
    ref, _, index = name.rpartition("/")
    return (ref, int(index)) if ref and index.isdigit() else None
