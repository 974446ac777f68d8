"""The state service: a key-value store with revisions, conditional transactions, leases and watches."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from oatport import wire
from oatport.clients.http import Connector, NoResponseError, RequestRefusedError
from oatport.errors import OatportError
from oatport.times import MS, SECOND, steady

log = logging.getLogger(__name__)

TIMEOUT = 1_200 * MS
PAGE_TIMEOUT = 3 * SECOND
PAGE_ENTRIES = 1000  # entries in one response of `list_prefix`
GET_MANY_ENTRIES = 100  # entries in one response of `get_many`


class Listing(NamedTuple):
    """All entries under a prefix. `revision`: that of the store when the first page was read."""

    entries: list[wire.StoredEntry]
    revision: int


class PartialRead(NamedTuple):
    """Some of the names that were asked for: the values of those that exist, and all that were looked up."""

    found: dict[str, wire.StoredValue]
    looked_up: list[str]


@dataclass(frozen=True, slots=True)
class Applied:
    """The transaction was executed; its keys have this revision now."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The transaction was not executed, since these keys have other revisions than its conditions say."""

    failed_keys: tuple[str, ...]


class LeaseExpiredError(OatportError):
    """The lease has ended: the state service dropped it, and the keys written under it."""

    def __init__(self, lease: int | None = None) -> None:
        super().__init__("the lease has ended" if lease is None else f"lease {lease} has ended")
        self.lease = lease


def _expect_ok(status: int, value: Any) -> None:
    if status != 200:
        raise RequestRefusedError(status, value)


class StateClient:
    """Every call raises NoResponseError (outcome unknown) or RequestRefusedError (surely not executed) if it fails.

    `last_served_at` and `last_failed_at` (steady): when the last request was sent that was answered, or failed.
    """

    def __init__(self, net: Connector, address: str) -> None:
        self._http = net.client(address)
        self.last_success_at = 0
        self.last_failure_at = 0
        self.on_response: Callable[[bool], None] = lambda served: None

    async def _call(
        self, method: str, path: str, body: Any = None, *, query: str = "", timeout_us: int = TIMEOUT
    ) -> tuple[int, Any]:
        sent_at = steady()
        try:
            status, value = await self._http.request(method, path, body, query=query, timeout_us=timeout_us)
        except NoResponseError:
            self._note_failure(sent_at)
            raise
        if status == 429:
            raise RequestRefusedError(status, value)
        if status >= 500:
            self._note_failure(sent_at)
            raise RequestRefusedError(status, value)
        self.last_success_at = max(self.last_success_at, sent_at)
        self.on_response(True)
        return status, value

    def _note_failure(self, sent_at: int) -> None:
        self.last_failure_at = sent_at
        self.on_response(False)

    async def get(self, key: str, timeout_us: int = TIMEOUT) -> wire.StoredValue | None:
        """The value of a key; None if there is none."""
        status, value = await self._call("GET", f"{wire.STORE_PATH}/{key}", timeout_us=timeout_us)
        if status == 404:
            return None
        _expect_ok(status, value)
        return wire.decode_stored_value(value)

    async def list_prefix(self, prefix: str) -> Listing:
        """All entries under a prefix, read page by page."""
        entries: list[wire.StoredEntry] = []
        after, revision = "", 0
        while True:
            query = f"under={prefix}&page={PAGE_ENTRIES}" + (f"&from={after}" if after else "")
            status, value = await self._call("GET", wire.STORE_PATH, query=query, timeout_us=PAGE_TIMEOUT)
            _expect_ok(status, value)
            page = wire.decode_entry_page(value)
            entries += page.entries
            revision = revision or page.revision
            if not page.has_next or not page.entries:
                return Listing(entries, revision)
            after = page.entries[-1].key

    async def get_many(self, prefix: str, names: list[str]) -> PartialRead:
        """Of sorted names under a prefix, as many as one request can look up.

        Names that lie close together share a request, and each request settles one at least.
        """
        first = names[0]
        if len(names) == 1:
            stored = await self.get(prefix + first)
            return PartialRead({first: stored} if stored else {}, [first])
        before = first[:-1] + chr(ord(first[-1]) - 1) + "~"  # comes before the first, and after what is before it
        query = f"under={prefix}&from={prefix}{before}&page={GET_MANY_ENTRIES}"
        status, value = await self._call("GET", wire.STORE_PATH, query=query)
        _expect_ok(status, value)
        page = wire.decode_entry_page(value)
        stored_by_name = {
            entry.key[len(prefix) :]: wire.StoredValue(entry.value, entry.revision) for entry in page.entries
        }
        last = max(stored_by_name, default="") if page.has_next else None
        looked_up = [name for name in names if last is None or name <= last]
        found = {name: stored_by_name[name] for name in looked_up if name in stored_by_name}
        return PartialRead(found, looked_up)

    async def commit(
        self,
        conditions: dict[str, int],
        sets: dict[str, Any],
        drops: list[str] | None = None,
        lease: int | None = None,
        timeout_us: int = TIMEOUT,
    ) -> Applied | Conflict:
        """A transaction: `conditions` are the revisions that keys must have, 0 for those that must not exist.

        Writes may arrive late, so none goes without a condition. The keys that are set end with the lease, if one is
        given. Raises LeaseExpiredError if that has ended.
        """
        assert conditions
        body = wire.transaction_request(conditions, sets, drops or [], lease)
        status, value = await self._call("POST", wire.COMMIT_PATH, body, timeout_us=timeout_us)
        if status == 200:
            return Applied(wire.decode_revision(value))
        if status == 409:
            return Conflict(wire.decode_failed_keys(value))
        if status == 400 and wire.is_lease_missing(value):
            raise LeaseExpiredError(lease)
        log.error("transaction refused as malformed status=%d response=%s", status, value)
        raise RequestRefusedError(status, value)

    async def grant_lease(self, ttl_us: int) -> int:
        """A new lease, which ends unless it is renewed within `ttl_us`."""
        status, value = await self._call("POST", wire.LEASES_PATH, wire.lease_request(ttl_us))
        _expect_ok(status, value)
        return wire.decode_lease(value)

    async def renew_lease(self, lease: int, timeout_us: int) -> None:
        """Let the lease last for its whole time from now on. Raises LeaseExpiredError if it has ended."""
        status, value = await self._call("POST", f"{wire.LEASES_PATH}/{lease}/touch", {}, timeout_us=timeout_us)
        if status == 404:
            raise LeaseExpiredError(lease)
        _expect_ok(status, value)

    async def current_revision(self, prefix: str, timeout_us: int = TIMEOUT) -> int:
        """The revision of the whole store now."""
        query = f"under={prefix}&page=1"
        status, value = await self._call("GET", wire.STORE_PATH, query=query, timeout_us=timeout_us)
        _expect_ok(status, value)
        return wire.decode_revision(value)

    async def watch(self, prefix: str, revision: int, wait_us: int, timeout_us: int = TIMEOUT) -> wire.ChangeSet | None:
        """Changes under a prefix after a revision, waiting up to `wait_us` for the first.

        None if they go too far back: the keys have to be read again.
        """
        query = f"under={prefix}&from={revision}&waitMs={wait_us // MS}"
        status, value = await self._call("GET", wire.WATCH_PATH, query=query, timeout_us=wait_us + timeout_us)
        if status == 410:
            return None
        _expect_ok(status, value)
        return wire.decode_changes(value)
