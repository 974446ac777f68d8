"""The simulated cloud: rentals, capacity, boot times, lists that lag behind, rate limits and outages of its API."""

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

MAX_RENTED, MAX_RELEASED = 50, 100  # machines in one request

ServiceResponse = tuple[int, Any]
Offering = tuple[str, str, bool]  # machine type, zone, spot


class MachineRegistry:
    """Holds the rented machines and the rental requests. It has no clock: `CloudService` adds delays and limits."""

    def __init__(self, types: list[dict[str, Any]], capacity: int | dict[Offering, int] = 20) -> None:
        self.types = types
        self.capacity = capacity  # machines in total, or per offering
        self.machines: dict[str, dict[str, Any]] = {}
        self.requests: dict[str, list[str]] = {}
        self.on_rent: Callable[[dict[str, Any]], None] = lambda machine: None
        self.on_release: Callable[[str], None] = lambda name: None
        self.rented_count = 0
        self.malformed_count = 0  # requests beyond the limits on machines

    def catalog(self) -> dict[str, Any]:
        """Returns the machine types as the cloud's catalog lists them."""
        return {"berthKinds": self.types}

    def _available(self, offering: Offering) -> int:
        if isinstance(self.capacity, int):
            return self.capacity - len(self.machines)
        in_use = sum((m["berthKind"], m["harbor"], m["driftwood"]) == offering for m in self.machines.values())
        return self.capacity.get(offering, 0) - in_use

    def rent(self, body: dict[str, Any]) -> ServiceResponse:
        """Rents machines, up to the available capacity; returns 503 if there is none.

        A repeated request id returns the machines of the first request.
        """
        if not 0 < body["howMany"] <= MAX_RENTED:
            self.malformed_count += 1
            return 400, {"error": "howMany"}
        if body["charter"] in self.requests:
            return 200, {"berths": self.requests[body["charter"]]}
        offering = (body["berthKind"], body["harbor"], body["driftwood"])
        names = [self.add(*offering) for _ in range(max(0, min(body["howMany"], self._available(offering))))]
        if not names:
            return 503, {"error": "no capacity"}
        self.requests[body["charter"]] = names
        return 200, {"berths": names}

    def add(self, type_name: str, zone: str, spot: bool) -> str:
        """Adds a booting machine and returns its name."""
        name = f"vm-{self.rented_count:06d}"
        self.rented_count += 1
        self.machines[name] = {
            "ref": name,
            "address": "",
            "berthKind": type_name,
            "harbor": zone,
            "driftwood": spot,
            "status": "booting",
            "ageS": 0.0,
        }
        self.on_rent(self.machines[name])
        return name

    def release(self, body: dict[str, Any]) -> ServiceResponse:
        """Removes machines from the registry; unknown names are ignored."""
        if len(body["berths"]) > MAX_RELEASED:
            self.malformed_count += 1
            return 400, {"error": "berths"}
        for name in body["berths"]:
            if self.machines.pop(name, None) is not None:
                self.on_release(name)
        return 200, {}

    def list(self) -> ServiceResponse:
        """Returns all machines in their current state."""
        return 200, {"berths": [self.machines[name] for name in sorted(self.machines)], "hasNext": False}


@dataclass
class CloudService:
    """Serves the registry over the network, with delays, a rate limit, outages and lists of an earlier state."""

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
        """Records the current machines for later list requests; the simulation calls it every second."""
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

    async def serve(self, method: str, target: str, body: Any) -> ServiceResponse:
        """Responds to one request of the cloud's API after 20 to 80 ms."""
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

    def _list(self, options: dict[str, list[str]], now: float) -> ServiceResponse:
        """Returns a page of the machines as they were one to two times `lag_s` ago."""
        as_of = now - self.lag_s * self.rng.uniform(1.0, 2.0)
        listed: list[dict[str, Any]] = next((rows for at, rows in reversed(self._snapshots) if at <= as_of), [])
        after = options.get("from", [""])[0]
        rows = [row for row in listed if row["ref"] > after]
        page = min(int(options.get("page", ["500"])[0]), 500)
        return 200, {"berths": rows[:page], "hasNext": len(rows) > page}


def draw_boot_us(rng: random.Random, startup_s: float) -> int:
    """Returns a random boot time: 0.6 to 1.5 times the nominal one, in 3 % of cases 2 to 4 times."""
    factor = rng.uniform(0.6, 1.5)
    if rng.random() < 0.03:
        factor = rng.uniform(2.0, 4.0)
    return micros(startup_s * factor)
