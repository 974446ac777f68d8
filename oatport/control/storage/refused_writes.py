"""Records that the state service refused as malformed, so that one of them never keeps others from being written.

All records of a refused transaction become suspects, and each suspect is written in a transaction of its own until that
is committed. If even that is refused, the record is withheld and tried again later.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from oatport.control.storage.write_batch import WriteBatch


@dataclass(slots=True)
class RefusedWrites:
    """Holds the keys to write alone, and the transactions to try again later. Times are of the steady clock."""

    suspect_keys: set[str] = field(default_factory=set)
    _withheld: list[tuple[int, WriteBatch]] = field(default_factory=list)  # time of the next attempt, transaction

    def is_isolated(self, batch: WriteBatch) -> bool:
        """Returns whether all records of a batch were suspects, so that it holds no other records."""
        return batch.sets.keys() <= self.suspect_keys

    def add_suspects(self, batch: WriteBatch) -> None:
        """Has the records of a refused batch written alone from now on."""
        self.suspect_keys |= batch.sets.keys()

    def withhold(self, batch: WriteBatch, retry_at: int) -> None:
        """Withholds a batch that was refused although it is isolated, until `retry_at`."""
        self._withheld.append((retry_at, batch))

    def is_withheld(self, key: str) -> bool:
        """Returns whether a record is withheld."""
        return any(key in batch.sets for _, batch in self._withheld)

    def has_due(self, now: int) -> bool:
        """Returns whether a withheld batch is to be tried again."""
        return any(retry_at <= now for retry_at, _ in self._withheld)

    def take_due(self, now: int) -> list[WriteBatch]:
        """Removes and returns the withheld batches that are to be tried again."""
        due = [batch for retry_at, batch in self._withheld if retry_at <= now]
        self._withheld = [(retry_at, batch) for retry_at, batch in self._withheld if retry_at > now]
        return due

    def discard(self, keys: Iterable[str]) -> None:
        """Ends the suspicion of records that were committed or that no longer exist."""
        if self.suspect_keys:
            self.suspect_keys.difference_update(keys)
