"""Client for the state service, a key-value store with revisions, conditional transactions, leases and watches."""

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

REQUEST_TIMEOUT = 1_200 * MS
PAGE_TIMEOUT = 3 * SECOND
ENTRIES_PER_PAGE = 1000  # entries in one response of `list_prefix`
ENTRIES_PER_LOOKUP = 100  # entries in one response of `get_many`


class Listing(NamedTuple):
    """Holds all entries under a prefix; `revision` is the store's revision when the first page was read."""

    entries: list[wire.StoredEntry]
    revision: int


class PartialRead(NamedTuple):
    """Holds the result of looking up names: the values of those that exist, and all names that were covered."""

    found: dict[str, wire.StoredValue]
    looked_up: list[str]


@dataclass(frozen=True, slots=True)
class Applied:
    """The transaction was executed; `revision` is the new revision of its keys."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The transaction was not executed, since the revisions of `failed_keys` differ from its conditions."""

    failed_keys: tuple[str, ...]


class LeaseExpiredError(OatportError):
    """The lease has ended: the state service removed the lease and the keys attached to it."""

    def __init__(self, lease: int | None = None) -> None:
        super().__init__("the lease has ended" if lease is None else f"lease {lease} has ended")
        self.lease = lease


def _expect_ok(status: int, value: Any) -> None:
    if status != 200:
        raise RequestRefusedError(status, value)


class StateClient:
    """Calls the state service and tracks whether the service responds.

    Every call raises NoResponseError (outcome unknown) or RequestRefusedError (certainly not executed) if it fails.
    `last_success_at` and `last_failure_at` (steady clock): when the last answered and the last failed request was sent.
    """

    def __init__(self, connector: Connector, address: str) -> None:
        self._http = connector.client(address)
        self.last_success_at = 0
        self.last_failure_at = 0
        self.on_response: Callable[[bool], None] = lambda served: None

    async def _call(
        self, method: str, path: str, body: Any = None, *, query: str = "", timeout_us: int = REQUEST_TIMEOUT
    ) -> tuple[int, Any]:
        sent_at = steady()
        try:
            status, value = await self._http.request(method, path, body, query=query, timeout_us=timeout_us)
        except NoResponseError:
            self._record_failure(sent_at)
            raise
        if status == 429:
            raise RequestRefusedError(status, value)
        if status >= 500:
            self._record_failure(sent_at)
            raise RequestRefusedError(status, value)
        self.last_success_at = max(self.last_success_at, sent_at)
        self.on_response(True)
        return status, value

    def _record_failure(self, sent_at: int) -> None:
        self.last_failure_at = sent_at
        self.on_response(False)

    async def get(self, key: str, timeout_us: int = REQUEST_TIMEOUT) -> wire.StoredValue | None:
        """Returns the value of a key, or None if the key doesn't exist."""
        status, value = await self._call("GET", f"{wire.STORE_PATH}/{key}", timeout_us=timeout_us)
        if status == 404:
            return None
        _expect_ok(status, value)
        return wire.decode_stored_value(value)

    async def list_prefix(self, prefix: str) -> Listing:
        """Returns all entries under a prefix, read page by page."""
        entries: list[wire.StoredEntry] = []
        last_key, revision = "", 0
        while True:
            query = f"under={prefix}&page={ENTRIES_PER_PAGE}" + (f"&from={last_key}" if last_key else "")
            status, value = await self._call("GET", wire.STORE_PATH, query=query, timeout_us=PAGE_TIMEOUT)
            _expect_ok(status, value)
            page = wire.decode_entry_page(value)
            entries += page.entries
            revision = revision or page.revision
            if not page.has_next or not page.entries:
                return Listing(entries, revision)
            last_key = page.entries[-1].key

    async def get_many(self, prefix: str, names: list[str]) -> PartialRead:
        """Looks up as many of the sorted names under a prefix as one request can cover.

        Names that are close together share a request, and each request covers at least one name.
        """
        first = names[0]
        if len(names) == 1:
            stored = await self.get(prefix + first)
            return PartialRead({first: stored} if stored else {}, [first])
        start_after = first[:-1] + chr(ord(first[-1]) - 1) + "~"  # sorts before `first` and after the keys preceding it
        query = f"under={prefix}&from={prefix}{start_after}&page={ENTRIES_PER_LOOKUP}"
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
        deletes: list[str] | None = None,
        lease: int | None = None,
        timeout_us: int = REQUEST_TIMEOUT,
    ) -> Applied | Conflict:
        """Executes a transaction if all keys in `conditions` have the given revisions; 0: the key must not exist.

        Writes may be delivered late, so every transaction needs a condition. If `lease` is given, the keys that are set
        are removed when the lease ends. Raises LeaseExpiredError if the lease has ended.
        """
        assert conditions
        body = wire.transaction_request(conditions, sets, deletes or [], lease)
        status, value = await self._call("POST", wire.COMMIT_PATH, body, timeout_us=timeout_us)
        if status == 200:
            return Applied(wire.decode_revision(value))
        if status == 409:
            return Conflict(wire.decode_failed_keys(value))
        if status == 400 and wire.is_lease_missing(value):
            raise LeaseExpiredError(lease)
        figures = wire.describe_transaction(conditions, sets, deletes or [])
        log.error("transaction refused as malformed status=%d response=%s %s", status, value, figures)
        raise RequestRefusedError(status, value)

    async def grant_lease(self, ttl_us: int) -> int:
        """Creates a lease that ends unless it is renewed within `ttl_us`, and returns its id."""
        status, value = await self._call("POST", wire.LEASES_PATH, wire.lease_request(ttl_us))
        _expect_ok(status, value)
        return wire.decode_lease(value)

    async def renew_lease(self, lease: int, timeout_us: int) -> None:
        """Restarts the lease's time to live. Raises LeaseExpiredError if the lease has ended."""
        status, value = await self._call("POST", f"{wire.LEASES_PATH}/{lease}/touch", {}, timeout_us=timeout_us)
        if status == 404:
            raise LeaseExpiredError(lease)
        _expect_ok(status, value)

    async def current_revision(self, prefix: str, timeout_us: int = REQUEST_TIMEOUT) -> int:
        """Returns the current revision of the whole store."""
        query = f"under={prefix}&page=1"
        status, value = await self._call("GET", wire.STORE_PATH, query=query, timeout_us=timeout_us)
        _expect_ok(status, value)
        return wire.decode_revision(value)

    async def watch(
        self, prefix: str, revision: int, wait_us: int, timeout_us: int = REQUEST_TIMEOUT
    ) -> wire.ChangeSet | None:
        """Returns the changes under a prefix after a revision, waiting up to `wait_us` for the first change.

        Returns None if the changes after `revision` are no longer available, so that the keys have to be read again.
        """
        query = f"under={prefix}&from={revision}&waitMs={wait_us // MS}"
        status, value = await self._call("GET", wire.WATCH_PATH, query=query, timeout_us=wait_us + timeout_us)
        if status == 410:
            return None
        _expect_ok(status, value)
        return wire.decode_changes(value)
