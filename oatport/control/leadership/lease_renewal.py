"""How long workers' leases may be renewed while the state service does not answer."""

from __future__ import annotations

from dataclasses import dataclass

from oatport.control.state.cancellations import answers_until
from oatport.settings import ClusterSettings


@dataclass(slots=True)
class LeaseRenewalLimit:
    """How long a leader that the state service does not answer may renew its workers' leases (`answers_until`)."""

    settings: ClusterSettings
    known_at: int  # all cancellations confirmed up to then are known here (steady): when that was *asked for*

    @property
    def until(self) -> int:
        """Heartbeats are answered up to here (steady)."""
        return answers_until(self.settings.workers, self.known_at)

    def known(self, asked_at: int) -> None:
        """All cancellations confirmed before `asked_at` (steady) have been read."""
        self.known_at = max(self.known_at, asked_at)
