"""The state service's interface: entries, transactions, leases and changes."""

from __future__ import annotations

from typing import Any, NamedTuple

from oatport.times import MS


class StoredValue(NamedTuple):
    """Holds the value of a key and the revision of its last change."""

    value: Any
    revision: int


class StoredEntry(NamedTuple):
    """Holds a key, its value and the revision of its last change."""

    key: str
    value: Any
    revision: int


class EntryPage(NamedTuple):
    """Holds one page of GET /store; `revision` is that of the whole store."""

    entries: list[StoredEntry]
    revision: int
    has_next: bool


class Change(NamedTuple):
    """Holds a change of a key; `value` is None if the key was deleted."""

    key: str
    value: Any
    revision: int
    deleted: bool


class ChangeSet(NamedTuple):
    """Holds changes in revision order, complete up to the store's `revision`."""

    revision: int
    changes: list[Change]


def decode_stored_value(value: Any) -> StoredValue:
    """Returns the value from a decoded response of GET /store/KEY."""
    return StoredValue(value["value"], int(value["entryRev"]))


def decode_entry_page(value: Any) -> EntryPage:
    """Returns the page from a decoded response of GET /store."""
    entries = [StoredEntry(row["path"], row["value"], int(row["entryRev"])) for row in value["rows"]]
    return EntryPage(entries, decode_revision(value), bool(value.get("hasNext")))


def decode_revision(value: Any) -> int:
    """Returns the revision of the whole store, which most responses contain."""
    return int(value["ledgerRev"])


def decode_changes(value: Any) -> ChangeSet:
    """Returns the changes from a decoded response of GET /changes."""
    return ChangeSet(decode_revision(value), [_decode_change(item) for item in value.get("news") or []])


def _decode_change(item: dict[str, Any]) -> Change:
    revision = int(item["entryRev"])
    if "set" in item:
        return Change(item["set"], item["value"], revision, deleted=False)
    return Change(item["drop"], None, revision, deleted=True)


def transaction_request(
    conditions: dict[str, int], sets: dict[str, Any], deletes: list[str], lease: int | None
) -> dict[str, Any]:
    """Returns the body of POST /commit; if a lease is given, the keys that are set are removed when the lease ends."""
    operations: list[dict[str, Any]] = []
    for key, value in sets.items():
        operation = {"set": key, "value": value}
        if lease is not None:
            operation["permit"] = lease
        operations.append(operation)
    operations += [{"drop": key} for key in deletes]
    return {
        "if": [{"path": key, "entryRev": revision} for key, revision in conditions.items()],
        "then": operations,
    }


def decode_failed_keys(value: Any) -> tuple[str, ...]:
    """Returns the keys whose conditions failed, from a decoded 409 response of POST /commit."""
    return tuple(value.get("failed") or ())


def is_lease_missing(value: Any) -> bool:
    """Returns whether a decoded 400 response of POST /commit says that the lease has ended."""
    return isinstance(value, dict) and value.get("error") == "no such lease"


def lease_request(ttl_us: int) -> dict[str, Any]:
    """Returns the body of POST /holds."""
    return {"lifeMs": ttl_us // MS}


def decode_lease(value: Any) -> int:
    """Returns the lease id from a decoded response of POST /holds."""
    return int(value["permit"])
