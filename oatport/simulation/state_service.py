"""The simulated state service: the key store of PROTOCOL on an injected clock (us), and the service that exposes it."""

from __future__ import annotations

import asyncio
import bisect
import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import parse_qs

from oatport import wire
from oatport.simulation.transaction_validation import (
    LEASE_DURATION_MS,
    MAX_LISTED_ENTRIES,
    WATCH_WAIT_MS,
    job_id_in,
    rows_within_response,
    transaction_error,
)
from oatport.simulation.virtual_time import Host
from oatport.times import MS, SECOND, seconds

ServiceResponse = tuple[int, Any]

MAX_RETAINED_CHANGES = 10_000
COMMIT_DELAY_S = (2.0, 12.0)  # range of the delay after which a transaction without a response is applied


class KeyStore:
    """Holds keys, versions, leases and the change log. Methods return a status and a body as on the wire."""

    def __init__(self, clock: Callable[[], int], value_limit: int = 32 * 1024, ops_limit: int = 16) -> None:
        self._clock = clock
        self.value_limit = value_limit
        self.ops_limit = ops_limit
        self.items: dict[str, tuple[Any, int, int | None]] = {}  # key -> value, version, lease
        self.leases: dict[int, tuple[int, int]] = {}  # id -> (expiry, duration), us
        self.log: list[tuple[int, str, Any]] = []
        self.revision = 0
        self._next_lease = 1
        self._compacted_revision = 0  # the log no longer holds the changes up to this revision
        self.changed = asyncio.Event()
        self.commit_count = 0
        self.down = False  # no lease expires during an outage
        self.refused_jobs: set[str] = set()  # their records are refused as malformed
        self.over_limit_count = 0  # transactions refused for their number of operations, their size or a key

    def expire(self) -> None:
        """Ends the leases that have expired. No lease expires during an outage."""
        if self.down:
            return
        now = self._clock()
        for lease in [i for i, (expires_at, _) in self.leases.items() if expires_at <= now]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """Removes a lease and the keys that it owns."""
        self.leases.pop(lease, None)
        keys = [k for k, (_, _, owner) in self.items.items() if owner == lease]
        if keys:
            self._apply([{"drop": key} for key in keys])

    def renew_all(self) -> None:
        """Renews all leases for their full duration, as the service does after an outage."""
        now = self._clock()
        self.leases = {lease: (now + duration_us, duration_us) for lease, (_, duration_us) in self.leases.items()}

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
        if len(self.log) > 2 * MAX_RETAINED_CHANGES:
            self._compacted_revision = self.log[-MAX_RETAINED_CHANGES - 1][0]
            del self.log[:-MAX_RETAINED_CHANGES]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def get(self, key: str) -> ServiceResponse:
        """Returns the value, version and lease of one key; 404 if the key does not exist."""
        self.expire()
        if key not in self.items:
            return 404, {"ledgerRev": self.revision}
        value, version, lease = self.items[key]
        return 200, {"path": key, "value": value, "entryRev": version, "permit": lease}

    def list(self, prefix: str, after: str = "", page: int = 1000) -> ServiceResponse:
        """Returns a page of the keys with a prefix, in order, beginning after the key `after`."""
        self.expire()
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        candidates = keys[: min(page, MAX_LISTED_ENTRIES)]
        rows = rows_within_response(
            [{"path": k, "value": self.items[k][0], "entryRev": self.items[k][1]} for k in candidates]
        )
        return 200, {"rows": rows, "hasNext": len(keys) > len(rows), "ledgerRev": self.revision}

    def commit(self, body: dict[str, Any]) -> ServiceResponse:
        """Applies a transaction if all its conditions hold; else returns 409 with the keys whose conditions failed."""
        self.expire()
        self.commit_count += 1
        conditions, ops = body.get("if") or [], body.get("then") or []
        error = self._validation_error(body, ops)
        if error:
            return 400, {"error": error}
        failed = [row["path"] for row in conditions if self._version(row["path"]) != row["entryRev"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        return 200, {"ledgerRev": self._apply(ops)}

    def _version(self, key: str) -> int:
        return self.items[key][1] if key in self.items else 0

    def _validation_error(self, body: dict[str, Any], ops: Sequence[dict[str, Any]]) -> str:
        """Returns why a transaction is refused regardless of its conditions; empty if it is valid."""
        error = transaction_error(body, self.value_limit, self.ops_limit)
        if error:
            self.over_limit_count += 1
            return error
        if any("set" in op and job_id_in(op["set"]) in self.refused_jobs for op in ops):
            return "refused"
        has_lease = all(op.get("permit") is None or op["permit"] in self.leases for op in ops)
        return "" if has_lease else "no such lease"

    def grant_lease(self, duration_ms: int) -> ServiceResponse:
        """Grants a new lease and returns its id; 400 if the duration is out of range."""
        if duration_ms not in LEASE_DURATION_MS:
            return 400, {"error": "lifeMs"}
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self.leases[lease] = (self._clock() + duration_ms * 1000, duration_ms * 1000)
        return 200, {"permit": lease}

    def renew_lease(self, lease: int) -> ServiceResponse:
        """Renews a lease for its full duration; returns 404 if the lease has ended."""
        self.expire()
        if lease not in self.leases:
            return 404, None
        duration_us = self.leases[lease][1]
        self.leases[lease] = (self._clock() + duration_us, duration_us)
        return 200, {"permit": lease}

    def changes(self, prefix: str, after: int) -> ServiceResponse:
        """Returns the changes of keys with a prefix after a revision; 410 if the log no longer holds them."""
        self.expire()
        if after < self._compacted_revision:
            return 410, None
        changed_rows: list[dict[str, Any]] = []
        for revision, key, value in self.log[bisect.bisect_right(self.log, after, key=lambda row: row[0]) :]:
            if key.startswith(prefix):
                changed_rows.append(
                    {"drop": key, "entryRev": revision}
                    if value is None
                    else {"set": key, "value": value, "entryRev": revision}
                )
        return 200, {"ledgerRev": self.revision, "news": changed_rows}


class StateService:
    """Serves the store over the network, with rate limits, delays, outages and lost responses."""

    def __init__(self, host: Host, rng: random.Random, rps: float, write_rps: float, store: KeyStore) -> None:
        self._host, self._rng, self.store = host, rng, store
        # Token buckets: rate, level, time at which the level was computed.
        self._rates = {"requests": [rps, rps, 0.0], "changes": [write_rps, write_rps, 0.0]}
        self.down = False
        self.slow_response_share = 0.01
        self.delayed_commit_share = 0.0  # share of transactions that get no response and are applied later
        self.lost_response_share = 0.0  # share of transactions that are applied at once and get no response
        self.request_counts: Counter[str] = Counter()

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage; at its end all leases are renewed."""
        if self.down and not down:
            self.store.renew_all()
        self.down = self.store.down = down

    def set_limits(self, value_bytes: int, txn_ops: int, write_rps: float) -> None:
        """Lowers the limits without notice; stored values stay."""
        self.store.value_limit, self.store.ops_limit = value_bytes, txn_ops
        _, level, at = self._rates["changes"]
        self._rates["changes"] = [write_rps, min(level, write_rps), at]

    def _take_tokens(self, bucket: str, count: int) -> bool:
        rate, level, at = self._rates[bucket]
        now = self._host.loop.time()
        level = min(rate, level + (now - at) * rate)
        allowed = level >= count
        self._rates[bucket] = [rate, level - count if allowed else level, now]
        return allowed

    async def serve(self, method: str, target: str, body: Any) -> ServiceResponse:
        """Responds to one request after 2 to 8 ms, or 100 to 400 ms for the share of slow responses."""
        self.request_counts["requests"] += 1
        delay = 2 * MS + self._rng.randrange(6 * MS)
        if self._rng.random() < self.slow_response_share:
            delay = 100 * MS + self._rng.randrange(300 * MS)
        await asyncio.sleep(seconds(delay))
        if self.down:
            return 503, None
        if not self._take_tokens("requests", 1):
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
            wait_ms = int(options.get("waitMs", 0))
            if wait_ms not in WATCH_WAIT_MS:
                return 400, {"error": "waitMs"}
            return await self._watch(options["under"], int(options["from"]), wait_ms)
        if path == wire.STORE_PATH:
            page = int(options.get("page", MAX_LISTED_ENTRIES))
            return self.store.list(options["under"], options.get("from", ""), page)
        return self.store.get(path[len(wire.STORE_PATH) + 1 :])

    async def _commit(self, body: Any) -> ServiceResponse:
        if self._rng.random() < self.delayed_commit_share:
            delay_us = round(self._rng.uniform(*COMMIT_DELAY_S) * SECOND)
            self._host.loop.call_later_us(delay_us, self._host, self._commit_after_delay, body)
            await asyncio.Event().wait()
        count = len(body.get("then") or [])
        self.request_counts["changes"] += count
        if not self._take_tokens("changes", count):
            self.request_counts["429"] += 1
            return 429, None
        response = self.store.commit(body)
        if self._rng.random() < self.lost_response_share:
            await asyncio.Event().wait()
        return response

    def _commit_after_delay(self, body: Any) -> None:
        if not self.down:
            self.request_counts["late"] += 1
            self.store.commit(body)

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> ServiceResponse:
        wait_until = self._host.loop.time() + wait_ms / 1000
        while True:
            status, value = self.store.changes(prefix, after)
            if status != 200 or ((value["news"] or self._host.loop.time() >= wait_until) and not self.down):
                return status, value
            # Leases expire without a request, so `changes` is polled at intervals, as the service itself does. During
            # an outage the watch keeps waiting.
            poll_s = min(0.1, max(wait_until - self._host.loop.time(), 0.01))
            try:
                async with asyncio.timeout(poll_s):
                    await self.store.changed.wait()
            except TimeoutError:
                pass
            if self.down:
                await asyncio.sleep(0.1)


def leader_node_of(store: KeyStore) -> str | None:
    """Returns the name of the node that holds the leader key; None: no node does."""
    store.expire()
    entry = store.items.get("leader")
    return str(entry[0].get("node")) if entry is not None and isinstance(entry[0], dict) else None
