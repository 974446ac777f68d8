"""What this version reads of what is stored, and when all nodes read that: only then is it written.

An earlier version answers the question with 400, and a node that is down or partitioned with nothing: both mean that it
may read the old formats alone. Each node is asked twice, and must be the same process both times. That all read a
format is recorded (`formats`), conditioned on the leadership and on nobody having recorded it, and is never undone.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

# 1: before 0.7; 2: parts of chunks and groups (`control/storage/record_layout.py`),
# lists of a job in records of their own
SCHEMA_VERSION = 2


def recorded_version(value: Any) -> int:
    """What the record says that all nodes read; 1 if there is none."""
    try:
        return int(value["reads"])
    except (TypeError, KeyError, ValueError):
        return 1


@dataclass(slots=True)
class SchemaVersionGate:
    """Opens when all configured nodes answered twice in a row, with the same boots, that they read `SCHEMA_VERSION`."""

    nodes: Collection[str]
    _before: dict[str, str] = field(default_factory=dict)

    def on_poll_round(self, boots: dict[str, str]) -> bool:
        """One round of questions is answered; does the gate open?

        `boots`: the nodes that read this version, this one among them, and the boot of each.
        """
        complete = boots.keys() == set(self.nodes)
        opens = complete and boots == self._before
        self._before = boots if complete else {}
        return opens

    def record(self) -> dict[str, Any]:
        """The value of the record, once the gate is open."""
        return {"reads": SCHEMA_VERSION, "boots": self._before}
