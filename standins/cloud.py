"""A stand-in for the cloud's rental interface."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class FakeCloud:
    """Machines come up when `boot` is called by the owner of the stand-in."""

    def __init__(self, zones: list[str], cores: float = 8.0, capacity: int = 20) -> None:
        self.zones = zones
        self.cores = cores
        self.capacity = capacity
        self.machines: dict[str, dict[str, Any]] = {}
        self.requests: dict[str, list[str]] = {}
        self.on_rent: Callable[[dict[str, Any]], None] = lambda machine: None
        self.on_release: Callable[[str], None] = lambda name: None
        self._count = 0

    def catalog(self) -> dict[str, Any]:
        return {"berthKinds": [{
            "label": "m8", "cores": self.cores, "accelerators": 0, "memoryGb": 32.0, "cacheGb": 50.0,
            "fetchGbPerS": 1.0, "price": 1.0, "marketPrice": 0.4, "startupS": 1, "harbors": self.zones,
        }]}

    def rent(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if body["charter"] in self.requests:
            return 200, {"berths": self.requests[body["charter"]]}
        names = []
        for _ in range(min(body["howMany"], self.capacity - len(self.machines))):
            self._count += 1
            name = f"vm-{self._count:06d}"
            machine = {"ref": name, "address": "", "berthKind": body["berthKind"], "harbor": body["harbor"],
                       "driftwood": body["driftwood"], "status": "booting", "ageS": 0.0}
            self.machines[name] = machine
            self.on_rent(machine)
            names.append(name)
        if not names:
            return 503, {"error": "no capacity"}
        self.requests[body["charter"]] = names
        return 200, {"berths": names}

    def release(self, body: dict[str, Any]) -> tuple[int, Any]:
        for name in body["berths"]:
            if self.machines.pop(name, None) is not None:
                self.on_release(name)
        return 200, {}

    def list(self) -> tuple[int, dict[str, Any]]:
        return 200, {"berths": [self.machines[name] for name in sorted(self.machines)], "hasNext": False}
