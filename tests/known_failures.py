"""Reads KNOWN-RED.txt, the list of tests that fail because of a real fault which is not fixed yet.

Each line is one entry: `FILE::TEST | COMMAND, seed N | what was seen | issue`. Such a test is expected to fail
strictly: a pass fails the run, so that the entry is removed together with its fault. A test that fails only at times
is marked by a fifth field, `| sometimes`, and may pass.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
SOMETIMES = "sometimes"


class InvalidListError(ValueError):
    """Raised for an invalid list, with a message of one line."""


@dataclass(frozen=True)
class KnownFailure:
    """An entry of the list: a test, how its failure is reproduced, what was seen, and the open issue."""

    test: str
    command: str  # the command and the seed
    observation: str
    issue: str
    is_intermittent: bool = False

    def covers(self, nodeid: str) -> bool:
        """Returns whether the pytest node is this test or one of its parameter sets."""
        return nodeid == self.test or nodeid.startswith(f"{self.test}[")

    def describe(self) -> str:
        """Returns all fields in one line, as they are listed."""
        fields = [self.test, self.command, self.observation, self.issue]
        return " | ".join(fields + [SOMETIMES] * self.is_intermittent)


def parse(text: str) -> list[KnownFailure]:
    """Returns the entries of the list; raises InvalidListError."""
    found: list[KnownFailure] = []
    for number, line in enumerate(text.splitlines(), 1):
        fields = [field.strip() for field in line.split("|")]
        if len(fields) not in (4, 5) or not all(fields) or "::" not in fields[0] or "seed" not in fields[1]:
            raise InvalidListError(
                f"{FILE_NAME}:{number}: must be 'FILE::TEST | COMMAND, seed N | what was seen | issue', not {line!r}"
            )
        if fields[4:] not in ([], [SOMETIMES]):
            raise InvalidListError(f"{FILE_NAME}:{number}: the fifth field must be {SOMETIMES!r}, not {fields[4]!r}")
        if any(failure.test == fields[0] for failure in found):
            raise InvalidListError(f"{FILE_NAME}:{number}: {fields[0]} is listed twice")
        found.append(KnownFailure(*fields[:4], is_intermittent=len(fields) == 5))
    return found


def read(root: Path) -> list[KnownFailure]:
    """Returns the entries of the list at the root of the repository, none without a list; raises InvalidListError."""
    path = root / FILE_NAME
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []


def mark(failures: list[KnownFailure], items: list[pytest.Item], *, all_collected: bool) -> None:
    """Marks the listed tests as expected to fail; raises InvalidListError if a complete collection lacks one."""
    for failure in failures:
        covered = [item for item in items if failure.covers(item.nodeid)]
        if all_collected and not covered:
            raise InvalidListError(f"{FILE_NAME}: there is no test {failure.test}")
        for item in covered:
            item.add_marker(
                pytest.mark.xfail(reason=f"{failure.observation} ({failure.issue})", strict=not failure.is_intermittent)
            )
