"""Fault plans: which faults happen when in a run, read from a TOML file or drawn from a seed.

The names of kinds and fields are those of the plan files; `faults` maps kinds to what they do.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

# kind -> the fields that it takes beside `at_s` and `for_s`
FAULT_FIELDS: dict[str, tuple[str, ...]] = {
    "node_cut": ("node", "what", "mode", "way"),  # what: all, state, workers, nodes
    "node_refused": ("node",),  # by the state service alone
    "peers_refuse": (),
    "node_freeze": ("node",),
    "node_crash": ("node",),  # its process ends, and is back after for_s
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
    "rush": ("name", "amount"),  # jobs of a class so many times as often
    "users_cancel": ("count", "amount"),  # so many users of unfinished jobs, within so many seconds; 0: as they poll
    # Users cancel when the last task has just ended: of that share of all jobs; 0: mostly of those that others need.
    "cancel_at_end": ("amount",),
    "cancel_needed": ("count",),  # users of so many jobs that others need
    "upgrade": ("count", "amount"),  # nodes get the new version: so many at a time, every so many seconds
    "state_limits": (),  # the state service's next limits hold from now on
    # So many, that share, or a zone: their reports arrive, answers and commands don't reach them.
    "machine_deaf": ("count", "amount", "zone"),
    "report_copies": ("amount",),  # copies of reports come again, up to so many seconds later
    "node_alone": ("node", "mode"),  # without state service and the other nodes, but with workers
    "machine_blink": ("count", "amount"),  # they are back at once, empty; amount 1: their sessions begin anew
    "late_writes": ("amount",),  # that share of transactions gets no answer and is carried out 2 to 12 s later
    "lost_answers": ("amount",),  # that share of transactions is carried out at once, and only its answer is lost
    "copies_for_next": ("amount",),  # of that share of reports a copy arrives at the next leader, as it begins
    # So many, that share, or a zone: their reports reach no node, while direct commands reach them.
    "machine_mute": ("count", "amount", "zone"),
    "cancel_now": ("count", "amount"),  # so many that run, at once; some of their machines hang so long
    "die_at_end": ("amount",),  # of that share of gangs that complete a machine dies in that moment
    "close_looks": (),  # users ask at all nodes as soon as a job is accepted, ended or cancelled; some cancel at once
    "odd_requests": (),  # old submissions again, cancellations of what is done, jobs that can't run or lack a field
    "singles": ("amount",),  # so many jobs of one task a second, a quarter of them cancelled
    "quick_boots": (),  # new machines are up within two seconds
    "late_repeats": ("amount",),  # requests that were carried out arrive once more, up to so many seconds later
}
NODE_CUT_TARGETS = ("all", "state", "workers", "nodes")
CUT_DIRECTIONS = ("both", "to", "from")
CUT_MODES = ("hold", "lost")
LEADER = "leader"  # as a node's name: whoever leads then
ALL = "all"  # as the name of nodes that end: each of them
FIELD_CHOICES = {"what": NODE_CUT_TARGETS, "mode": CUT_MODES, "way": CUT_DIRECTIONS}
MIN_RESTART_S = 0.05  # seconds: no process is back sooner


class InvalidPlanError(ValueError):
    """A plan or an option that can't be used: one line that names the field."""


@dataclass(frozen=True)
class Fault:
    """One fault, `at_s` seconds after the run began, for `for_s` seconds; the other fields as its kind takes them."""

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
        """The fault as a row of a plan file."""
        named = ("kind", "at_s", "for_s", *FAULT_FIELDS[self.kind])
        rows = []
        for key in named:
            value = getattr(self, key)
            rows.append(f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}")
        return "  { " + ", ".join(rows) + " },"


@dataclass(frozen=True)
class Plan:
    """A deployment, its load, and the faults of a run of `for_s` seconds."""

    faults: tuple[Fault, ...] = ()
    for_s: float = 120.0
    nodes: int = 3
    machines: int = 40
    jobs_a_minute: float = 20.0
    pipelines_a_minute: float = 0.0
    pipelines_from_s: float = 0.0
    team_share: float = 1.0  # of their usual limits is what teams have
    old_nodes: bool = False  # they begin with the version in production

    @property
    def limits_fall(self) -> bool:
        """The state service's limits fall in the course of the run."""
        return any(fault.kind == "state_limits" for fault in self.faults)

    def toml(self) -> str:
        """The plan as a file that `read` reads."""
        values = {f.name: getattr(self, f.name) for f in fields(self) if f.name != "faults"}
        rows = [f"{key} = {str(value).lower() if isinstance(value, bool) else value}" for key, value in values.items()]
        return "\n".join([*rows, "faults = [", *(fault.toml() for fault in self.faults), "]"])


@dataclass
class _Reader:
    where: str

    def number(self, table: dict[str, Any], key: str, low: float, high: float) -> float:
        value = table[key]
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise InvalidPlanError(f"{self.where}{key}: must be a number from {low:g} to {high:g}, not {value!r}")
        return float(value)

    def choice(self, table: dict[str, Any], key: str, allowed: tuple[str, ...]) -> str:
        value = table[key]
        if value not in allowed:
            raise InvalidPlanError(f"{self.where}{key}: must be one of {', '.join(allowed)}, not {value!r}")
        return str(value)


def read(path: Path) -> Plan:
    """A plan from a TOML file. Raises InvalidPlanError, which names the field."""
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
    """A plan from a parsed TOML file. Raises InvalidPlanError, which names the field."""
    reader = _Reader("")
    values: dict[str, Any] = {}
    for key, value in table.items():
        if key == "faults":
            if not isinstance(value, list):
                raise InvalidPlanError("faults: must be a list of tables")
            values[key] = tuple(_fault(row, number) for number, row in enumerate(value))
        elif key == "old_nodes":
            if not isinstance(value, bool):
                raise InvalidPlanError(f"{key}: must be true or false, not {value!r}")
            values[key] = value
        elif key in FIELD_RANGES:
            found = reader.number(table, key, *FIELD_RANGES[key])
            values[key] = int(found) if key in ("nodes", "machines") else found
        else:
            raise InvalidPlanError(f"{key}: no such field")
    return Plan(**values)


def _fault(row: Any, number: int) -> Fault:
    reader = _Reader(f"faults[{number}].")
    if not isinstance(row, dict) or "kind" not in row or "at_s" not in row:
        raise InvalidPlanError(f"faults[{number}]: needs a kind and at_s")
    kind = reader.choice(row, "kind", tuple(FAULT_FIELDS))
    values: dict[str, Any] = {"kind": kind}
    for key in row:
        if key == "kind":
            continue
        if key not in ("at_s", "for_s", *FAULT_FIELDS[kind]):
            raise InvalidPlanError(f"faults[{number}].{key}: no field of {kind}")
        values[key] = _field(reader, row, key)
    if kind == "node_crash":
        reader.number({"for_s": 0.0, **row}, "for_s", MIN_RESTART_S, 100_000)
    return Fault(**values)


def _field(reader: _Reader, row: dict[str, Any], key: str) -> Any:
    if key in ("at_s", "for_s", "amount"):
        return reader.number(row, key, 0, 100_000)
    if key == "count":
        return int(reader.number(row, key, 1, 5000))
    if key in FIELD_CHOICES:
        return reader.choice(row, key, FIELD_CHOICES[key])
    if isinstance(row[key], str) and row[key]:
        return row[key]
    raise InvalidPlanError(f"{reader.where}{key}: must be a name, not {row[key]!r}")
