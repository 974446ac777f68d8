"""The state service: PROTOCOL's rules on an injected clock (microseconds), and the service around them."""

from __future__ import annotations

import asyncio
import bisect
import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import parse_qs

from oatport import wire
from oatport.simulation.virtual_time import Host
from oatport.sizes import json_size
from oatport.times import MS, SECOND, seconds

Answer = tuple[int, Any]

MAX_KEPT_CHANGES = 10_000
COMMIT_DELAY_S = (2.0, 12.0)  # how late a transaction without an answer is carried out


class KeyStore:
    """Keys, versions, leases and changes. Answers are a status and a body in the wire's own terms."""

    def __init__(self, clock: Callable[[], int], value_limit: int = 32 * 1024, ops_limit: int = 16) -> None:
        self._clock = clock
        self.value_limit = value_limit
        self.ops_limit = ops_limit
        self.items: dict[str, tuple[Any, int, int | None]] = {}  # key -> value, version, lease
        self.leases: dict[int, tuple[int, int]] = {}  # id -> (ends at, life)
        self.log: list[tuple[int, str, Any]] = []
        self.revision = 0
        self._next_lease = 1
        self._compacted_revision = 0  # changes up to this revision are not kept any more
        self.changed = asyncio.Event()
        self.commit_count = 0
        self.down = False  # in an outage no lease ends
        self.over_limit_count = 0  # transactions refused for their size, or that of a value

    def expire(self) -> None:
        """End the leases that ran out; none ends in an outage."""
        if self.down:
            return
        now = self._clock()
        for lease in [i for i, (ends, _) in self.leases.items() if ends <= now]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """Drop a lease and the keys that it owns."""
        self.leases.pop(lease, None)
        keys = [k for k, (_, _, owner) in self.items.items() if owner == lease]
        if keys:
            self._apply([{"drop": key} for key in keys])

    def renew_all(self) -> None:
        """After an outage all leases have their full time again."""
        now = self._clock()
        self.leases = {lease: (now + life, life) for lease, (_, life) in self.leases.items()}

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
        if len(self.log) > 2 * MAX_KEPT_CHANGES:
            self._compacted_revision = self.log[-MAX_KEPT_CHANGES - 1][0]
            del self.log[:-MAX_KEPT_CHANGES]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def get(self, key: str) -> Answer:
        """One key."""
        self.expire()
        if key not in self.items:
            return 404, {"ledgerRev": self.revision}
        value, version, lease = self.items[key]
        return 200, {"path": key, "value": value, "entryRev": version, "permit": lease}

    def list(self, under: str, after: str = "", page: int = 1000) -> Answer:
        """A page of the keys under a prefix, in order."""
        self.expire()
        keys = sorted(k for k in self.items if k.startswith(under) and k > after)
        rows = [{"path": k, "value": self.items[k][0], "entryRev": self.items[k][1]} for k in keys[:page]]
        return 200, {"rows": rows, "hasNext": len(keys) > page, "ledgerRev": self.revision}

    def commit(self, body: dict[str, Any]) -> Answer:
        """A transaction: applied whole if all its conditions hold; 409 with those that don't."""
        self.expire()
        self.commit_count += 1
        conditions, ops = body.get("if") or [], body.get("then") or []
        error = self._refusal(conditions, ops)
        if error:
            return 400, {"error": error}
        failed = [row["path"] for row in conditions if self._version(row["path"]) != row["entryRev"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        return 200, {"ledgerRev": self._apply(ops)}

    def _version(self, key: str) -> int:
        return self.items[key][1] if key in self.items else 0

    def _refusal(self, conditions: Sequence[Any], ops: Sequence[dict[str, Any]]) -> str:
        """Why a transaction is refused, whatever its conditions; empty if it is not."""
        if len(ops) > self.ops_limit or len(conditions) > 4 * self.ops_limit:
            self.over_limit_count += 1
            return "too many"
        for op in ops:
            if op.get("permit") is not None and op["permit"] not in self.leases:
                return "no such lease"
            if "set" in op and json_size(op["value"]) > self.value_limit:
                self.over_limit_count += 1
                return "too large"
        return ""

    def grant_lease(self, life_ms: int) -> Answer:
        """A new lease."""
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self.leases[lease] = (self._clock() + life_ms * 1000, life_ms * 1000)
        return 200, {"permit": lease}

    def renew_lease(self, lease: int) -> Answer:
        """A lease has its full time again; 404 if it has ended."""
        self.expire()
        if lease not in self.leases:
            return 404, None
        life = self.leases[lease][1]
        self.leases[lease] = (self._clock() + life, life)
        return 200, {"permit": lease}

    def changes(self, under: str, after: int) -> Answer:
        """What changed under a prefix after a revision; 410 if that is not kept any more."""
        self.expire()
        if after < self._compacted_revision:
            return 410, None
        news: list[dict[str, Any]] = []
        for revision, key, value in self.log[bisect.bisect_right(self.log, after, key=lambda row: row[0]) :]:
            if key.startswith(under):
                news.append(
                    {"drop": key, "entryRev": revision}
                    if value is None
                    else {"set": key, "value": value, "entryRev": revision}
                )
        return 200, {"ledgerRev": self.revision, "news": news}


class StateService:
    """The store behind its address: limits, delays, outages, and nodes that it refuses."""

    def __init__(self, host: Host, rng: random.Random, rps: float, write_rps: float, store: KeyStore) -> None:
        self._host, self._rng, self.store = host, rng, store
        self._rates = {"requests": [rps, rps, 0.0], "changes": [write_rps, write_rps, 0.0]}  # rate, level, as of
        self.down = False
        self.slow_share = 0.01
        self.delayed_commit_share = 0.0  # of transactions: no answer, and carried out later
        self.lost_answer_share = 0.0  # of transactions: carried out at once, and no answer
        self.request_counts: Counter[str] = Counter()

    def set_down(self, down: bool) -> None:
        """An outage begins or ends."""
        if self.down and not down:
            self.store.renew_all()
        self.down = self.store.down = down

    def set_limits(self, value_bytes: int, txn_ops: int, write_rps: float) -> None:
        """They fall without notice; what is stored stays."""
        self.store.value_limit, self.store.ops_limit = value_bytes, txn_ops
        _, level, at = self._rates["changes"]
        self._rates["changes"] = [write_rps, min(level, write_rps), at]

    def _spend(self, what: str, count: int) -> bool:
        rate, level, at = self._rates[what]
        now = self._host.loop.time()
        level = min(rate, level + (now - at) * rate)
        allowed = level >= count
        self._rates[what] = [rate, level - count if allowed else level, now]
        return allowed

    async def serve(self, method: str, target: str, body: Any) -> Answer:
        """Answer one request, after a delay."""
        self.request_counts["requests"] += 1
        delay = 2 * MS + self._rng.randrange(6 * MS)
        if self._rng.random() < self.slow_share:
            delay = 100 * MS + self._rng.randrange(300 * MS)
        await asyncio.sleep(seconds(delay))
        if self.down:
            return 503, None
        if not self._spend("requests", 1):
            self.request_counts["429"] += 1
            return 429, None
        path, _, query = target.partition("?")
        if path == wire.COMMIT_PATH:
            return await self._commit(body)
        if path == wire.LEASES_PATH:
            return self.store.grant_lease(body["lifeMs"])
        if path.startswith(wire.LEASES_PATH):
            return self.store.renew_lease(int(path.split("/")[2]))
        options = {key: values[0] for key, values in parse_qs(query).items()}
        if path == wire.WATCH_PATH:
            return await self._watch(options["under"], int(options["from"]), int(options.get("waitMs", 0)))
        if path == wire.STORE_PATH:
            page = min(int(options.get("page", 1000)), 1000)
            return self.store.list(options["under"], options.get("from", ""), page)
        return self.store.get(path[len(wire.STORE_PATH) + 1 :])

    async def _commit(self, body: Any) -> Answer:
        if self._rng.random() < self.delayed_commit_share:
            delay_us = round(self._rng.uniform(*COMMIT_DELAY_S) * SECOND)
            self._host.loop.call_later_us(delay_us, self._host, self._commit_late, body)
            await asyncio.Event().wait()
        count = len(body.get("then") or [])
        self.request_counts["changes"] += count
        if not self._spend("changes", count):
            self.request_counts["429"] += 1
            return 429, None
        answer = self.store.commit(body)
        if self._rng.random() < self.lost_answer_share:
            await asyncio.Event().wait()
        return answer

    def _commit_late(self, body: Any) -> None:
        if not self.down:
            self.request_counts["late"] += 1
            self.store.commit(body)

    async def _watch(self, under: str, after: int, wait_ms: int) -> Answer:
        until = self._host.loop.time() + wait_ms / 1000
        while True:
            status, value = self.store.changes(under, after)
            if status != 200 or ((value["news"] or self._host.loop.time() >= until) and not self.down):
                return status, value
            # Leases end by time as well: looked at now and then, as the service itself does. In an outage it waits on.
            pause = min(0.1, max(until - self._host.loop.time(), 0.01))
            try:
                async with asyncio.timeout(pause):
                    await self.store.changed.wait()
            except TimeoutError:
                pass
            if self.down:
                await asyncio.sleep(0.1)


def leader_of(store: KeyStore) -> str | None:
    """Which node holds the leader key now."""
    store.expire()
    found = store.items.get("leader")
    return str(found[0].get("node")) if found is not None and isinstance(found[0], dict) else None
