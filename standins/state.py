"""A stand-in for the state service: its rules on an injected clock (microseconds)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

Answer = tuple[int, Any]


class FakeState:
    def __init__(self, clock: Callable[[], int], value_limit: int = 32 * 1024, ops_limit: int = 16) -> None:
        self._clock = clock
        self.value_limit = value_limit
        self.ops_limit = ops_limit
        self.items: dict[str, tuple[Any, int, int | None]] = {}  # key -> value, version, lease
        self.leases: dict[int, tuple[int, int]] = {}  # id -> (ends at, life)
        self.log: list[tuple[int, str, Any]] = []
        self.revision = 0
        self._next_lease = 1
        self.changed = asyncio.Event()
        self.commits = 0

    def expire(self) -> None:
        now = self._clock()
        for lease in [i for i, (ends, _) in self.leases.items() if ends <= now]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, (_, _, owner) in self.items.items() if owner == lease]
        if keys:
            self._apply([{"drop": key} for key in keys])

    def _apply(self, ops: list[dict[str, Any]]) -> int:
        if ops:
            self.revision += 1
        for op in ops:
            if "set" in op:
                self.items[op["set"]] = (op["value"], self.revision, op.get("permit"))
                self.log.append((self.revision, op["set"], op["value"]))
            else:
                self.items.pop(op["drop"], None)
                self.log.append((self.revision, op["drop"], None))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def get(self, key: str) -> Answer:
        self.expire()
        if key not in self.items:
            return 404, {"ledgerRev": self.revision}
        value, version, lease = self.items[key]
        return 200, {"path": key, "value": value, "entryRev": version, "permit": lease}

    def list(self, under: str, after: str = "", page: int = 1000) -> Answer:
        self.expire()
        keys = sorted(k for k in self.items if k.startswith(under) and k > after)
        rows = [{"path": k, "value": self.items[k][0], "entryRev": self.items[k][1]} for k in keys[:page]]
        return 200, {"rows": rows, "hasNext": len(keys) > page, "ledgerRev": self.revision}

    def commit(self, body: dict[str, Any]) -> Answer:
        self.expire()
        self.commits += 1
        ops = body.get("then") or []
        if len(ops) > self.ops_limit or len(body.get("if") or []) > 4 * self.ops_limit:
            return 400, {"error": "too many"}
        for op in ops:
            if op.get("permit") is not None and op["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [
            c["path"] for c in body.get("if") or []
            if (self.items[c["path"]][1] if c["path"] in self.items else 0) != c["entryRev"]
        ]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        return 200, {"ledgerRev": self._apply(ops)}

    def hold(self, life_ms: int) -> Answer:
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self.leases[lease] = (self._clock() + life_ms * 1000, life_ms * 1000)
        return 200, {"permit": lease}

    def touch(self, lease: int) -> Answer:
        self.expire()
        if lease not in self.leases:
            return 404, None
        life = self.leases[lease][1]
        self.leases[lease] = (self._clock() + life, life)
        return 200, {"permit": lease}

    def changes(self, under: str, after: int) -> Answer:
        self.expire()
        news: list[dict[str, Any]] = []
        for revision, key, value in self.log:
            if revision > after and key.startswith(under):
                news.append({"drop": key, "entryRev": revision} if value is None
                            else {"set": key, "value": value, "entryRev": revision})
        return 200, {"ledgerRev": self.revision, "news": news}
