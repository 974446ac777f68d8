"""The state service."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from oatport import wire
from oatport.clients.http import Connector, NoResponseError, RequestRefusedError
from oatport.errors import OatportError
from oatport.times import MS, SECOND, steady

log = logging.getLogger(__name__)

DEADLINE = 1_200 * MS
SOME = 100  # records in one answer of `some`


@dataclass(frozen=True, slots=True)
class Applied:
    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    failed: tuple[str, ...]


class LeaseExpiredError(OatportError):
    """The lease ended: the state service has dropped it, and the keys written under it."""


class StateClient:
    """Every call raises NoAnswer (unsure) or Refused (surely not executed) where it fails."""

    def __init__(self, net: Connector, address: str) -> None:
        self._http = net.client(address)
        self.ok_at = 0  # when the last answered request was sent
        self.failed_at = 0
        self.on_answer: Callable[[bool], None] = lambda served: None

    async def _call(
        self, method: str, path: str, body: Any = None, *, query: str = "", timeout_us: int = DEADLINE
    ) -> tuple[int, Any]:
        asked = steady()
        try:
            status, value = await self._http.request(method, path, body, query=query, timeout_us=timeout_us)
        except NoResponseError:
            self.failed_at = asked
            self.on_answer(False)
            raise
        if status == 429:
            raise RequestRefusedError(status, value)
        if status >= 500:
            self.failed_at = asked
            self.on_answer(False)
            raise RequestRefusedError(status, value)
        self.ok_at = max(self.ok_at, asked)
        self.on_answer(True)
        return status, value

    async def get(self, key: str, timeout_us: int = DEADLINE) -> tuple[Any, int] | None:
        """Value and version of a key, or None."""
        status, value = await self._call("GET", f"{wire.STORE_PATH}/{key}", timeout_us=timeout_us)
        if status == 404:
            return None
        if status != 200:
            raise RequestRefusedError(status, value)
        return value["value"], int(value["entryRev"])

    async def list_all(self, prefix: str) -> tuple[list[dict[str, Any]], int]:
        """All items under a prefix, and the revision of the oldest page."""
        rows: list[dict[str, Any]] = []
        after, revision = "", 0
        while True:
            query = f"under={prefix}&page=1000" + (f"&from={after}" if after else "")
            status, value = await self._call("GET", wire.STORE_PATH, query=query, timeout_us=3 * SECOND)
            if status != 200:
                raise RequestRefusedError(status, value)
            rows += value["rows"]
            revision = revision or int(value["ledgerRev"])
            if not value.get("hasNext") or not value["rows"]:
                return rows, revision
            after = value["rows"][-1]["path"]

    async def some(self, prefix: str, names: list[str]) -> tuple[dict[str, tuple[Any, int]], list[str]]:
        """Of sorted names under a prefix, as many as one request tells: those found, and those that were looked for.

        Names that lie close together share a request, and each request settles one at least.
        """
        first = names[0]
        if len(names) == 1:
            found = await self.get(prefix + first)
            return ({first: found} if found else {}), [first]
        before = first[:-1] + chr(ord(first[-1]) - 1) + "~"  # comes before the first, and after what is before it
        query = f"under={prefix}&from={prefix}{before}&page={SOME}"
        status, value = await self._call("GET", wire.STORE_PATH, query=query)
        if status != 200:
            raise RequestRefusedError(status, value)
        rows = {row["path"][len(prefix) :]: (row["value"], int(row["entryRev"])) for row in value["rows"]}
        last = max(rows, default="") if value.get("hasNext") else None
        asked = [name for name in names if last is None or name <= last]
        return {name: rows[name] for name in asked if name in rows}, asked

    async def commit(
        self,
        conditions: dict[str, int],
        sets: dict[str, Any],
        drops: list[str] | None = None,
        lease: int | None = None,
        timeout_us: int = DEADLINE,
    ) -> Applied | Conflict:
        """A conditional transaction. Writes arrive late, so none goes without a condition."""
        assert conditions
        ops: list[dict[str, Any]] = []
        for key, value in sets.items():
            op = {"set": key, "value": value}
            if lease is not None:
                op["permit"] = lease
            ops.append(op)
        ops += [{"drop": key} for key in drops or ()]
        body = {"if": [{"path": k, "entryRev": v} for k, v in conditions.items()], "then": ops}
        status, value = await self._call("POST", wire.COMMIT_PATH, body, timeout_us=timeout_us)
        if status == 200:
            return Applied(int(value["ledgerRev"]))
        if status == 409:
            return Conflict(tuple(value.get("failed") or ()))
        if status == 400 and isinstance(value, dict) and value.get("error") == "no such lease":
            raise LeaseExpiredError
        log.error("the state service refused a transaction as malformed: %s", value)
        raise RequestRefusedError(status, value)

    async def hold(self, life_us: int) -> int:
        status, value = await self._call("POST", wire.LEASES_PATH, {"lifeMs": life_us // MS})
        if status != 200:
            raise RequestRefusedError(status, value)
        return int(value["permit"])

    async def touch(self, lease: int, timeout_us: int) -> None:
        status, value = await self._call("POST", f"{wire.LEASES_PATH}/{lease}/touch", {}, timeout_us=timeout_us)
        if status == 404:
            raise LeaseExpiredError
        if status != 200:
            raise RequestRefusedError(status, value)

    async def revision(self, prefix: str, timeout_us: int = DEADLINE) -> int:
        """The revision of the whole store now."""
        query = f"under={prefix}&page=1"
        status, value = await self._call("GET", wire.STORE_PATH, query=query, timeout_us=timeout_us)
        if status != 200:
            raise RequestRefusedError(status, value)
        return int(value["ledgerRev"])

    async def changes(
        self, prefix: str, revision: int, wait_us: int, timeout_us: int = DEADLINE
    ) -> tuple[int, list[dict[str, Any]]] | None:
        """Changes under a prefix after a revision; None: too old, read the keys again."""
        query = f"under={prefix}&from={revision}&waitMs={wait_us // MS}"
        status, value = await self._call("GET", wire.WATCH_PATH, query=query, timeout_us=wait_us + timeout_us)
        if status == 410:
            return None
        if status != 200:
            raise RequestRefusedError(status, value)
        return int(value["ledgerRev"]), value.get("news") or []
