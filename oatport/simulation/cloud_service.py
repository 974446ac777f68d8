"""The cloud: rentals by name, capacity, boot times, lists that lag behind, and outages of its interface."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from oatport import wire
from oatport.simulation.virtual_time import Host
from oatport.times import MS, micros, seconds

Answer = tuple[int, Any]
Sort = tuple[str, str, bool]  # machine type, zone, spot


class MachineRegistry:
    """Machines and requests: the rules alone, on no clock of its own."""

    def __init__(self, types: list[dict[str, Any]], capacity: int | dict[Sort, int] = 20) -> None:
        self.types = types
        self.capacity = capacity  # of all sorts together, or of each
        self.machines: dict[str, dict[str, Any]] = {}
        self.requests: dict[str, list[str]] = {}
        self.on_rent: Callable[[dict[str, Any]], None] = lambda machine: None
        self.on_release: Callable[[str], None] = lambda name: None
        self.rented_count = 0

    def catalog(self) -> dict[str, Any]:
        """The machine types."""
        return {"berthKinds": self.types}

    def _available(self, sort: Sort) -> int:
        if isinstance(self.capacity, int):
            return self.capacity - len(self.machines)
        there = sum((m["berthKind"], m["harbor"], m["driftwood"]) == sort for m in self.machines.values())
        return self.capacity.get(sort, 0) - there

    def rent(self, body: dict[str, Any]) -> Answer:
        """Rent machines; the same request again gives the same ones. 503 without capacity."""
        if body["charter"] in self.requests:
            return 200, {"berths": self.requests[body["charter"]]}
        sort = (body["berthKind"], body["harbor"], body["driftwood"])
        names = [self.add(*sort) for _ in range(max(0, min(body["howMany"], self._available(sort))))]
        if not names:
            return 503, {"error": "no capacity"}
        self.requests[body["charter"]] = names
        return 200, {"berths": names}

    def add(self, kind: str, zone: str, spot: bool) -> str:
        """A new machine, booting; its name."""
        name = f"vm-{self.rented_count:06d}"
        self.rented_count += 1
        self.machines[name] = {
            "ref": name,
            "address": "",
            "berthKind": kind,
            "harbor": zone,
            "driftwood": spot,
            "status": "booting",
            "ageS": 0.0,
        }
        self.on_rent(self.machines[name])
        return name

    def release(self, body: dict[str, Any]) -> Answer:
        """Give machines back."""
        for name in body["berths"]:
            if self.machines.pop(name, None) is not None:
                self.on_release(name)
        return 200, {}

    def list(self) -> Answer:
        """All machines, as they are now."""
        return 200, {"berths": [self.machines[name] for name in sorted(self.machines)], "hasNext": False}


@dataclass
class CloudService:
    """The registry behind its address, as the lists show it: a while ago."""

    host: Host
    rng: random.Random
    registry: MachineRegistry
    rps: float
    lag_s: float
    down: bool = False
    request_counts: Counter[str] = field(default_factory=Counter)
    rented_at: dict[str, float] = field(default_factory=dict)
    _tokens: float = 0.0
    _tokens_as_of: float = 0.0
    _snapshots: deque[tuple[float, list[dict[str, Any]]]] = field(default_factory=deque)

    def snapshot(self) -> None:
        """Remember what a list says from a while later on; to be called every second."""
        now = self.host.loop.time()
        self._snapshots.append(
            (
                now,
                [
                    dict(m, ageS=now - self.rented_at.get(name, now))
                    for name, m in sorted(self.registry.machines.items())
                ],
            )
        )
        while len(self._snapshots) > 2 and self._snapshots[1][0] < now - 2 * self.lag_s:
            self._snapshots.popleft()

    async def serve(self, method: str, target: str, body: Any) -> Answer:
        """Answer one request, after a delay."""
        self.request_counts["requests"] += 1
        await asyncio.sleep(seconds(20 * MS + self.rng.randrange(60 * MS)))
        now = self.host.loop.time()
        self._tokens = min(2 * self.rps, self._tokens + (now - self._tokens_as_of) * self.rps)
        self._tokens_as_of = now
        if self.down:
            return 503, {"error": "trouble"}
        if self._tokens < 1:
            self.request_counts["429"] += 1
            return 429, None
        self._tokens -= 1
        path, _, query = target.partition("?")
        if path == wire.CATALOG_PATH:
            return 200, self.registry.catalog()
        if path == wire.MACHINES_PATH and method == "POST":
            self.request_counts["rentals"] += 1
            return self.registry.rent(body)
        if path == wire.RELEASE_PATH:
            return self.registry.release(body)
        return self._list(parse_qs(query), now)

    def _list(self, options: dict[str, list[str]], now: float) -> Answer:
        """A page of the machines as they were a while ago."""
        as_of = now - self.lag_s * self.rng.uniform(1.0, 2.0)
        seen: list[dict[str, Any]] = next((rows for at, rows in reversed(self._snapshots) if at <= as_of), [])
        after = options.get("from", [""])[0]
        rows = [row for row in seen if row["ref"] > after]
        page = min(int(options.get("page", ["500"])[0]), 500)
        return 200, {"berths": rows[:page], "hasNext": len(rows) > page}


def draw_boot_us(rng: random.Random, startup_s: float) -> int:
    """Usually 0.6 to 1.5 times the nominal time; some take several times as long."""
    times = rng.uniform(0.6, 1.5)
    if rng.random() < 0.03:
        times = rng.uniform(2.0, 4.0)
    return micros(startup_s * times)
