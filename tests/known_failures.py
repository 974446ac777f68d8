"""KNOWN-RED.txt at the root: tests that fail for a real fault which is not mended yet.

A line each: `tests/test_x.py::test_name | cause | issue`, three at most. Such a test is expected to fail, strictly: one
that passes fails the run, so that the line goes with its fault.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

NAME = "KNOWN-RED.txt"
MOST = 3


class InvalidListError(ValueError):
    """One line that says what is wrong with the list."""


@dataclass(frozen=True)
class Red:
    test: str
    cause: str
    issue: str

    def covers(self, nodeid: str) -> bool:
        return nodeid == self.test or nodeid.startswith(f"{self.test}[")


def parse(text: str) -> list[Red]:
    """Raises BadList."""
    found: list[Red] = []
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise InvalidListError(f"{NAME}:{number}: must be 'FILE::TEST | cause | issue', not {line!r}")
        if any(red.test == parts[0] for red in found):
            raise InvalidListError(f"{NAME}:{number}: {parts[0]} is listed twice")
        found.append(Red(*parts))
    if len(found) > MOST:
        raise InvalidListError(f"{NAME}: {len(found)} tests, {MOST} at most")
    return found


def read(root: Path) -> list[Red]:
    """Nothing is red where there is no file."""
    path = root / NAME
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []


def mark(reds: list[Red], items: list[pytest.Item], *, whole: bool) -> None:
    """Expect them to fail. `whole`: all tests were collected, so that each must be among them. Raises BadList."""
    for red in reds:
        covered = [item for item in items if red.covers(item.nodeid)]
        if whole and not covered:
            raise InvalidListError(f"{NAME}: there is no test {red.test}")
        for item in covered:
            item.add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=True))
