"""Limit on renewing workers' leases while the state service does not answer."""

from __future__ import annotations

from dataclasses import dataclass

from oatport.control.state.cancellations import renewals_allowed_until
from oatport.settings import ClusterSettings


@dataclass(slots=True)
class LeaseRenewalLimit:
    """Limits how long a leader may renew its workers' leases without an answer from the state service."""

    settings: ClusterSettings
    # Cancellation watermark (steady): all cancellations confirmed up to then were read. The value is the time at which
    # the read was *requested*.
    cancellations_read_at: int

    @property
    def until(self) -> int:
        """Returns the time (steady) until which heartbeats may be answered."""
        return renewals_allowed_until(self.settings.workers, self.cancellations_read_at)

    def on_cancellations_read(self, requested_at: int) -> None:
        """Records that all cancellations confirmed before `requested_at` (steady) were read."""
        self.cancellations_read_at = max(self.cancellations_read_at, requested_at)
