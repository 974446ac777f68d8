"""Schema version of the stored records; a new format is written only once all nodes can read it.

An earlier version answers the schema version request with 400, and a node that is down or partitioned does not answer:
in both cases the node may be able to read the old formats only. Each node is asked twice, and both replies must come
from the same process. The schema version that all nodes can read is recorded (`formats`), on the condition that the
writer leads and that the version is not recorded yet; the record is never reverted.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

# 1: before 0.7; 2: chunks and groups split into parts (`control/storage/record_layout.py`), overflow records of jobs
SCHEMA_VERSION = 2


def recorded_version(value: Any) -> int:
    """Returns the schema version that all nodes can read according to the record; 1 if there is no valid record."""
    try:
        return int(value["reads"])
    except (TypeError, KeyError, ValueError):
        return 1


@dataclass(slots=True)
class SchemaVersionGate:
    """Opens when all configured nodes reported `SCHEMA_VERSION` in two consecutive rounds with the same boot IDs."""

    nodes: Collection[str]
    _previous_boots: dict[str, str] = field(default_factory=dict)

    def on_poll_round(self, boots: dict[str, str]) -> bool:
        """Takes the replies of one round of requests and returns whether the gate opens.

        `boots`: node -> boot ID of the nodes that can read this version, including this node.
        """
        is_complete = boots.keys() == set(self.nodes)
        is_opening = is_complete and boots == self._previous_boots
        self._previous_boots = boots if is_complete else {}
        return is_opening

    def record(self) -> dict[str, Any]:
        """Returns the value to record once the gate is open."""
        return {"reads": SCHEMA_VERSION, "boots": self._previous_boots}
