"""How long workers' leases may be renewed while the state service does not answer."""

from __future__ import annotations

from dataclasses import dataclass

from oatport.control.state.cancellations import renewals_allowed_until
from oatport.settings import ClusterSettings


@dataclass(slots=True)
class LeaseRenewalLimit:
    """How long a leader that the state service does not answer may renew its agents' leases."""

    settings: ClusterSettings
    # All cancellations confirmed up to then are known here (steady): when that was *asked for*.
    cancellations_read_at: int

    @property
    def until(self) -> int:
        """Heartbeats are answered up to here (steady)."""
        return renewals_allowed_until(self.settings.workers, self.cancellations_read_at)

    def on_cancellations_read(self, asked_at: int) -> None:
        """All cancellations confirmed before `asked_at` (steady) have been read."""
        self.cancellations_read_at = max(self.cancellations_read_at, asked_at)
