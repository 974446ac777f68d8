"""A stand-in of the state service with the limits of PROTOCOL, "Controller nodes -> state service"."""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

Response = tuple[int, Any]
RETAINED_CHANGES = 10_000
MAX_TRANSACTION_BYTES = 64 * 1024
MAX_LIST_ITEMS = 1000
MAX_LIST_BYTES = 512 * 1024


def json_size(value: Any) -> int:
    """Returns the size of a value as compact JSON, the form in which the pages count sizes."""
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class RateLimit:
    """Limits a rate; bursts of one second's worth are allowed."""

    def __init__(self, rate: float) -> None:
        self.rate = self.level = rate
        self.at = time.monotonic()

    def take(self, count: float) -> bool:
        """Takes `count` tokens and returns True, or returns False if there are too few."""
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


class StateService:
    """Holds keys, versions, leases and changes in memory."""

    def __init__(
        self,
        rps: float,
        write_rps: float,
        value_kb: float,
        txn_ops: int,
        on_refused: Callable[[int, str], None],
    ) -> None:
        self.value_limit, self.txn_ops = round(value_kb * 1024), txn_ops
        self._requests, self._writes = RateLimit(rps), RateLimit(write_rps)
        self._on_refused = on_refused  # called with the size and the error of a transaction that gets 400
        self.items: dict[str, tuple[Any, int, int | None]] = {}  # key -> value, version, lease
        self.leases: dict[int, tuple[float, float]] = {}  # id -> end, duration
        self.revision = 0
        self.log: list[tuple[int, str, Any]] = []
        self._dropped_revision = 0
        self._changed = asyncio.Event()
        self._next_lease = 1

    def lower_limits(self, value_kb: float, txn_ops: int, write_rps: float) -> None:
        """Lowers the limits without notice; what is stored stays."""
        self.value_limit, self.txn_ops = round(value_kb * 1024), txn_ops
        self._writes.rate, self._writes.level = write_rps, min(self._writes.level, write_rps)

    async def handle(self, method: str, target: str, body: Any) -> Response:
        """Answers one request."""
        await asyncio.sleep(0.003)
        if not self._requests.take(1):
            return 429, None
        path, _, query = target.partition("?")
        options = {key: values[0] for key, values in parse_qs(query).items()}
        parts = path.strip("/").split("/")
        if parts[0] == "store" and len(parts) == 1:
            return self._list(
                options.get("under", ""), options.get("from", ""), int(options.get("page", MAX_LIST_ITEMS))
            )
        if parts[0] == "store":
            return self._get(unquote(path[len("/store/") :]))
        if parts[0] == "commit":
            return self._commit(body)
        if parts[0] == "changes":
            wait_s = min(int(options.get("waitMs", 0)), 60_000) / 1000
            return await self._watch(options.get("under", ""), int(options["from"]), wait_s)
        if parts[0] == "holds":
            return self._lease(method, parts, body)
        return 404, None

    # --- keys -------------------------------------------------------------------------------

    def _get(self, key: str) -> Response:
        self._expire()
        if key not in self.items:
            return 404, {"ledgerRev": self.revision}
        value, version, lease = self.items[key]
        return 200, {"path": key, "value": value, "entryRev": version, "permit": lease}

    def _list(self, prefix: str, after: str, page: int) -> Response:
        self._expire()
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        rows: list[Any] = []
        size = 0
        for key in keys[: min(page, MAX_LIST_ITEMS)]:
            row = {"path": key, "value": self.items[key][0], "entryRev": self.items[key][1]}
            size += json_size(row) + 1
            if rows and size > MAX_LIST_BYTES - 100:
                break
            rows.append(row)
        return 200, {"rows": rows, "hasNext": len(rows) < len(keys), "ledgerRev": self.revision}

    def _commit(self, body: Any) -> Response:
        self._expire()
        conditions, operations = body.get("if") or [], body.get("then") or []
        if not self._writes.take(len(operations)):
            return 429, None
        error = self._malformed(body, conditions, operations)
        if error:
            self._on_refused(json_size(body), error)
            return 400, {"error": error}
        for operation in operations:
            if operation.get("permit") is not None and operation["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [row["path"] for row in conditions if self._version(row["path"]) != row["entryRev"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        self._apply(operations)
        return 200, {"ledgerRev": self.revision}

    def _malformed(self, body: Any, conditions: list[Any], operations: list[Any]) -> str:
        if len(operations) > self.txn_ops:
            return "too many operations"
        if len(conditions) > 4 * self.txn_ops:
            return "too many conditions"
        if any("set" in operation and json_size(operation["value"]) > self.value_limit for operation in operations):
            return "value too large"
        return "transaction too large" if json_size(body) > MAX_TRANSACTION_BYTES else ""

    def _version(self, key: str) -> int:
        return self.items[key][1] if key in self.items else 0

    def _apply(self, operations: list[Any]) -> None:
        if not operations:
            return
        self.revision += 1
        for operation in operations:
            if "set" in operation:
                self.items[operation["set"]] = (operation["value"], self.revision, operation.get("permit"))
                self.log.append((self.revision, operation["set"], operation["value"]))
            else:
                self.items.pop(operation["drop"], None)
                self.log.append((self.revision, operation["drop"], None))
        if len(self.log) > 2 * RETAINED_CHANGES:
            self._dropped_revision = self.log[-RETAINED_CHANGES - 1][0]
            del self.log[:-RETAINED_CHANGES]
        self._changed.set()
        self._changed = asyncio.Event()

    # --- watches ----------------------------------------------------------------------------

    async def _watch(self, prefix: str, after: int, wait_s: float) -> Response:
        deadline = time.monotonic() + wait_s
        while True:
            self._expire()
            if after < self._dropped_revision:
                return 410, None
            start = bisect.bisect_right(self.log, after, key=lambda row: row[0])
            news = [
                {"drop": key, "entryRev": revision}
                if value is None
                else {"set": key, "value": value, "entryRev": revision}
                for revision, key, value in self.log[start:]
                if key.startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if news or left <= 0:
                return 200, {"ledgerRev": self.revision, "news": news}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.1))

    # --- leases -----------------------------------------------------------------------------

    def _lease(self, method: str, parts: list[str], body: Any) -> Response:
        self._expire()
        now = time.monotonic()
        if len(parts) == 1:
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self.leases[lease] = (now + body["lifeMs"] / 1000, body["lifeMs"] / 1000)
            return 200, {"permit": lease}
        lease = int(parts[1])
        if lease not in self.leases:
            return 404, None
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        duration = self.leases[lease][1]
        self.leases[lease] = (now + duration, duration)
        return 200, {"permit": lease}

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        self._apply([{"drop": key} for key, item in list(self.items.items()) if item[2] == lease])
