"""What befalls a world: faults at set times, from a TOML file or drawn from a seed."""

from __future__ import annotations

import random
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

# kind -> the fields that it takes beside `at_s` and `for_s`
KINDS: dict[str, tuple[str, ...]] = {
    "node_cut": ("node", "what", "mode", "way"),  # what: all, state, workers, nodes
    "node_refused": ("node",),  # by the state service alone
    "peers_refuse": (),
    "node_freeze": ("node",),
    "node_crash": ("node",),  # back after for_s
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
}
WHAT = ("all", "state", "workers", "nodes")
WAYS = ("both", "to", "from")
MODES = ("hold", "lost")
LEADER = "leader"  # as a node's name: whoever leads then


class BadPlan(ValueError):
    pass


@dataclass(frozen=True)
class Fault:
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
        named = ("kind", "at_s", "for_s", *KINDS[self.kind])
        rows = []
        for key in named:
            value = getattr(self, key)
            rows.append(f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}")
        return "  { " + ", ".join(rows) + " },"


@dataclass(frozen=True)
class Plan:
    faults: tuple[Fault, ...] = ()
    for_s: float = 120.0
    nodes: int = 3
    machines: int = 40
    jobs_a_minute: float = 20.0

    def toml(self) -> str:
        rows = [f"{f.name} = {getattr(self, f.name)}" for f in fields(self) if f.name != "faults"]
        return "\n".join([*rows, "faults = [", *(fault.toml() for fault in self.faults), "]"])


@dataclass
class _Reader:
    where: str

    def number(self, table: dict[str, Any], key: str, low: float, high: float) -> float:
        value = table[key]
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise BadPlan(f"{self.where}{key}: must be a number from {low:g} to {high:g}, not {value!r}")
        return float(value)

    def choice(self, table: dict[str, Any], key: str, allowed: tuple[str, ...]) -> str:
        value = table[key]
        if value not in allowed:
            raise BadPlan(f"{self.where}{key}: must be one of {', '.join(allowed)}, not {value!r}")
        return str(value)


def read(path: Path) -> Plan:
    """A plan from a TOML file. Raises BadPlan, which names the field."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeError, tomllib.TOMLDecodeError) as error:
        raise BadPlan(f"{path}: {error}") from None
    return parse(table)


LIMITS = {"for_s": (1, 100_000), "nodes": (1, 7), "machines": (1, 5000), "jobs_a_minute": (0, 100_000)}


def parse(table: dict[str, Any]) -> Plan:
    reader = _Reader("")
    values: dict[str, Any] = {}
    for key, value in table.items():
        if key == "faults":
            if not isinstance(value, list):
                raise BadPlan("faults: must be a list of tables")
            values[key] = tuple(_fault(row, number) for number, row in enumerate(value))
        elif key in LIMITS:
            found = reader.number(table, key, *LIMITS[key])
            values[key] = int(found) if key in ("nodes", "machines") else found
        else:
            raise BadPlan(f"{key}: no such field")
    return Plan(**values)


def _fault(row: Any, number: int) -> Fault:
    reader = _Reader(f"faults[{number}].")
    if not isinstance(row, dict) or "kind" not in row or "at_s" not in row:
        raise BadPlan(f"faults[{number}]: needs a kind and at_s")
    kind = reader.choice(row, "kind", tuple(KINDS))
    values: dict[str, Any] = {"kind": kind}
    for key in row:
        if key == "kind":
            continue
        if key not in ("at_s", "for_s", *KINDS[kind]):
            raise BadPlan(f"faults[{number}].{key}: no field of {kind}")
        if key in ("at_s", "for_s", "amount"):
            values[key] = reader.number(row, key, 0, 100_000)
        elif key == "count":
            values[key] = int(reader.number(row, key, 1, 5000))
        elif key in ("what", "mode", "way"):
            values[key] = reader.choice(row, key, {"what": WHAT, "mode": MODES, "way": WAYS}[key])
        elif isinstance(row[key], str) and row[key]:
            values[key] = row[key]
        else:
            raise BadPlan(f"faults[{number}].{key}: must be a name, not {row[key]!r}")
    return Fault(**values)


def draw(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 120.0
) -> Plan:
    """Single and overlapping faults of all kinds."""
    rng = random.Random(f"plan {seed}")
    names = [LEADER, *(f"n{number}" for number in range(nodes))]
    few = max(1, machines // 10)

    def node() -> str:
        return rng.choice(names[:1] * 2 + names)

    makers: list[Callable[[float], Fault]] = [
        lambda at: Fault("node_cut", at, rng.uniform(3, 35), node=node(), what=rng.choice(WHAT), mode=rng.choice(MODES),
                         way=rng.choice(WAYS)),
        lambda at: Fault("node_refused", at, rng.uniform(3, 30), node=node()),
        lambda at: Fault("peers_refuse", at, rng.uniform(5, 30)),
        lambda at: Fault("node_freeze", at, rng.uniform(1, 25), node=node()),
        lambda at: Fault("node_crash", at, rng.uniform(2, 8), node=node()),
        lambda at: Fault("node_slow", at, rng.uniform(5, 20), node=node(), amount=rng.uniform(2, 10)),
        lambda at: Fault("machine_cut", at, rng.uniform(3, 40), count=rng.randint(1, few), mode=rng.choice(MODES)),
        lambda at: Fault("machine_hang", at, rng.uniform(3, 30), count=rng.randint(1, few)),
        lambda at: Fault("machine_die", at, count=rng.randint(1, few)),
        lambda at: Fault("machines_taken", at, count=rng.randint(1, few), amount=rng.choice([0.0, 15.0])),
        lambda at: Fault("zone_cut", at, rng.uniform(5, 40), zone=rng.choice(zones), mode=rng.choice(MODES)),
        lambda at: Fault("links_slow", at, rng.uniform(5, 30), source="node", target=rng.choice(["worker", "state"]),
                         amount=rng.uniform(0.05, 2.5)),
        lambda at: Fault("links_lossy", at, rng.uniform(5, 30), source="node", target=rng.choice(["worker", "node"]),
                         amount=rng.uniform(0.05, 0.5)),
        lambda at: Fault("links_cut", at, rng.uniform(1, 8), source="node", target="worker"),
        lambda at: Fault("links_cut", at, rng.uniform(1, 8), source="worker", target="node"),
        lambda at: Fault("state_down", at, rng.uniform(2, 25)),
        lambda at: Fault("state_slow", at, rng.uniform(5, 20), amount=rng.uniform(0.1, 0.6)),
        lambda at: Fault("cloud_down", at, rng.uniform(5, 30)),
        lambda at: Fault("no_capacity", at, rng.uniform(10, 60)),
    ]
    faults = [rng.choice(makers)(rng.uniform(12, for_s * 0.75)) for _ in range(rng.randint(3, 9))]
    if rng.random() < 0.4:
        # Answers are held, so commands are sent again; then those are held, while the first answers arrive.
        at = rng.uniform(12, for_s * 0.6)
        for _ in range(rng.randint(1, 4)):
            then = at + rng.uniform(0.5, 2)
            faults.append(Fault("links_cut", at, rng.uniform(1.5, 4), source="worker", target="node"))
            faults.append(Fault("links_cut", then, rng.uniform(1, 5), source="node", target="worker"))
            at += rng.uniform(5, 12)
    if rng.random() < 0.4:
        # A commit is under way when the leader stands still, for longer than its lease.
        at = rng.uniform(12, for_s * 0.7)
        faults.append(Fault("state_slow", at, rng.uniform(3, 8), amount=rng.uniform(0.4, 0.9)))
        faults.append(Fault("node_freeze", at + rng.uniform(1, 3), rng.uniform(5, 15)))
    return Plan(tuple(sorted(faults, key=lambda f: f.at_s)), for_s, nodes, machines, machines / 2)
