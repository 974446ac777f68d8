"""Fault plans: the faults of a run and their times, read from a TOML file or drawn from a seed.

The names of kinds and fields are those of the plan files; the package `faults` implements each kind.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

# kind -> the fields that it takes besides `at_s` and `for_s`
FAULT_FIELDS: dict[str, tuple[str, ...]] = {
    "node_cut": ("node", "what", "mode", "way"),  # what: all, state, workers, nodes
    "node_refused": ("node",),  # the state service refuses the requests of this node
    "peers_refuse": (),
    "node_freeze": ("node",),
    "node_crash": ("node",),  # the node's process ends, and restarts after for_s
    "node_slow": ("node", "amount"),
    "machine_cut": ("count", "mode"),
    "machine_hang": ("count",),
    "machine_die": ("count",),
    "machines_taken": ("count", "amount"),  # amount: notice in seconds
    "zone_cut": ("zone", "mode"),
    "links_slow": ("source", "target", "amount"),
    "links_lossy": ("source", "target", "amount"),
    "links_cut": ("source", "target", "mode"),
    "state_down": (),
    "state_slow": ("amount",),
    "cloud_down": (),
    "no_capacity": (),
    "rush": ("name", "amount"),  # name: a job class; amount: factor on its submission rate
    # count: unfinished jobs that their users cancel; amount: seconds within which they cancel; 0: at their next poll
    "users_cancel": ("count", "amount"),
    # Users cancel jobs whose last task has just ended. amount: share of all jobs; 0: most jobs that others depend on
    "cancel_at_end": ("amount",),
    "cancel_needed": ("count",),  # count: jobs that others depend on and that their users cancel
    "upgrade": ("count", "amount"),  # count: nodes that are upgraded at a time; amount: interval in seconds
    "records_refused": ("count",),  # count: unfinished jobs whose records the state service refuses as malformed
    "state_limits": (),  # the state service's next limits take effect
    # Heartbeats of the machines arrive, but responses and commands don't reach them. Machines are selected by number
    # (count), by share (amount) or by zone.
    "machine_deaf": ("count", "amount", "zone"),
    "report_copies": ("amount",),  # copies of heartbeats arrive later; amount: maximum delay in seconds
    "node_alone": ("node", "mode"),  # cut off from the state service and the other nodes, but not from workers
    "machine_blink": ("count", "amount"),  # restart at once without tasks; amount > 0: worker epochs begin at 1 again
    "late_writes": ("amount",),  # amount: share of transactions that get no response and are applied 2 to 12 s later
    "lost_answers": ("amount",),  # amount: share of transactions that are applied at once, but whose response is lost
    "copies_for_next": ("amount",),  # amount: share of heartbeats of which the next leader gets a copy
    # Heartbeats of the machines reach no node, but commands reach the machines. Selected as for machine_deaf.
    "machine_mute": ("count", "amount", "zone"),
    # count: running jobs that are cancelled at once; amount: seconds for which some of their machines hang
    "cancel_now": ("count", "amount"),
    "die_at_end": ("amount",),  # amount: share of gangs of which a machine dies just as the gang completes
    # Users poll all nodes as soon as a job is accepted, done or cancelled; some cancel at once.
    "close_looks": (),
    # Repeated submissions, cancellations of completed jobs, and jobs that can't run or lack a field.
    "odd_requests": (),
    "singles": ("amount",),  # amount: single-task jobs per second, a quarter of which are cancelled
    "long_lists": ("count", "amount"),  # count: jobs that wait for `amount` others; for_s > 0: until one is cancelled
    "small_tasks": ("count",),  # count: tasks of an array, far more than a heartbeat can list fit on a machine
    "quick_boots": (),  # new machines boot within two seconds
    "late_repeats": ("amount",),  # copies of executed requests arrive later; amount: maximum delay in seconds
}
NODE_CUT_TARGETS = ("all", "state", "workers", "nodes")
CUT_DIRECTIONS = ("both", "to", "from")
CUT_MODES = ("hold", "lost")
LEADER = "leader"  # as a node's name: the node that leads when the fault begins
ALL = "all"  # as the node's name of a node_crash: every node
FIELD_CHOICES = {"what": NODE_CUT_TARGETS, "mode": CUT_MODES, "way": CUT_DIRECTIONS}
MIN_RESTART_S = 0.05  # the shortest time in which a process restarts


class InvalidPlanError(ValueError):
    """Raised for an invalid plan or option, with a one-line message that names the field."""


@dataclass(frozen=True)
class Fault:
    """Describes a fault: `at_s` is its start, counted from the start of the run, `for_s` its duration, both in seconds.

    The kind defines which other fields it takes (FAULT_FIELDS).
    """

    kind: str
    at_s: float
    for_s: float = 0.0
    node: str = LEADER
    what: str = "all"
    mode: str = "hold"
    way: str = "both"
    count: int = 1
    amount: float = 0.0
    zone: str = ""
    source: str = ""
    target: str = ""
    name: str = ""

    def toml(self) -> str:
        """Returns the fault as a row of a plan file."""
        keys = ("kind", "at_s", "for_s", *FAULT_FIELDS[self.kind])
        rows = []
        for key in keys:
            value = getattr(self, key)
            rows.append(f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}")
        return "  { " + ", ".join(rows) + " },"


@dataclass(frozen=True)
class Plan:
    """Holds the size of a deployment, its load, and the faults of a run of `for_s` seconds."""

    faults: tuple[Fault, ...] = ()
    for_s: float = 120.0
    nodes: int = 3
    machines: int = 40
    jobs_a_minute: float = 20.0
    pipelines_a_minute: float = 0.0
    pipelines_from_s: float = 0.0
    team_share: float = 1.0  # factor on the usual limits of all teams
    old_nodes: bool = False  # the nodes start with the version in production

    @property
    def lowers_state_limits(self) -> bool:
        """Returns whether the state service's limits are lowered during the run."""
        return any(fault.kind == "state_limits" for fault in self.faults)

    def toml(self) -> str:
        """Returns the plan as the contents of a TOML file that `read` accepts."""
        values = {f.name: getattr(self, f.name) for f in fields(self) if f.name != "faults"}
        rows = [f"{key} = {str(value).lower() if isinstance(value, bool) else value}" for key, value in values.items()]
        return "\n".join([*rows, "faults = [", *(fault.toml() for fault in self.faults), "]"])


@dataclass
class _FieldParser:
    """Checks values of a table; `path_prefix` comes before the field's name in errors."""

    path_prefix: str

    def parse_number(self, table: dict[str, Any], key: str, low: float, high: float) -> float:
        """Returns a number of the table. Raises InvalidPlanError unless it is between `low` and `high`."""
        value = table[key]
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise InvalidPlanError(f"{self.path_prefix}{key}: must be a number from {low:g} to {high:g}, not {value!r}")
        return float(value)

    def parse_choice(self, table: dict[str, Any], key: str, allowed: tuple[str, ...]) -> str:
        """Returns a string of the table. Raises InvalidPlanError unless it is one of the allowed values."""
        value = table[key]
        if value not in allowed:
            raise InvalidPlanError(f"{self.path_prefix}{key}: must be one of {', '.join(allowed)}, not {value!r}")
        return str(value)


def read(path: Path) -> Plan:
    """Returns the plan in a TOML file. Raises InvalidPlanError, which names the invalid field."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidPlanError(f"{path}: {error}") from None
    return parse(table)


FIELD_RANGES = {
    "for_s": (1, 100_000),
    "nodes": (1, 7),
    "machines": (1, 5000),
    "jobs_a_minute": (0, 100_000),
    "pipelines_a_minute": (0, 10_000),
    "pipelines_from_s": (0, 100_000),
    "team_share": (0.1, 10),
}


def parse(table: dict[str, Any]) -> Plan:
    """Returns the plan in a parsed TOML file. Raises InvalidPlanError, which names the invalid field."""
    parser = _FieldParser("")
    values: dict[str, Any] = {}
    for key, value in table.items():
        if key == "faults":
            if not isinstance(value, list):
                raise InvalidPlanError("faults: must be a list of tables")
            values[key] = tuple(_parse_fault(row, number) for number, row in enumerate(value))
        elif key == "old_nodes":
            if not isinstance(value, bool):
                raise InvalidPlanError(f"{key}: must be true or false, not {value!r}")
            values[key] = value
        elif key in FIELD_RANGES:
            parsed = parser.parse_number(table, key, *FIELD_RANGES[key])
            values[key] = int(parsed) if key in ("nodes", "machines") else parsed
        else:
            raise InvalidPlanError(f"{key}: no such field")
    return Plan(**values)


def _parse_fault(row: Any, number: int) -> Fault:
    parser = _FieldParser(f"faults[{number}].")
    if not isinstance(row, dict) or "kind" not in row or "at_s" not in row:
        raise InvalidPlanError(f"faults[{number}]: needs a kind and at_s")
    kind = parser.parse_choice(row, "kind", tuple(FAULT_FIELDS))
    values: dict[str, Any] = {"kind": kind}
    for key in row:
        if key == "kind":
            continue
        if key not in ("at_s", "for_s", *FAULT_FIELDS[kind]):
            raise InvalidPlanError(f"faults[{number}].{key}: no field of {kind}")
        values[key] = _parse_field(parser, row, key)
    if kind == "node_crash":
        parser.parse_number({"for_s": 0.0, **row}, "for_s", MIN_RESTART_S, 100_000)
    return Fault(**values)


def _parse_field(parser: _FieldParser, row: dict[str, Any], key: str) -> Any:
    if key in ("at_s", "for_s", "amount"):
        return parser.parse_number(row, key, 0, 100_000)
    if key == "count":
        return int(parser.parse_number(row, key, 1, 5000))
    if key in FIELD_CHOICES:
        return parser.parse_choice(row, key, FIELD_CHOICES[key])
    if isinstance(row[key], str) and row[key]:
        return row[key]
    raise InvalidPlanError(f"{parser.path_prefix}{key}: must be a name, not {row[key]!r}")
