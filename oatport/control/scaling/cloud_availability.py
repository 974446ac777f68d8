"""Tracks what the cloud can rent out: requests in flight, refusals with their backoff, and recent grants."""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job
from oatport.control.state.machine import Machine
from oatport.times import SECOND

Offering = tuple[str, str, bool]  # name of a machine type, zone, spot

REFUSAL_BACKOFF = 20 * SECOND
REFUSAL_BACKOFF_MAX = 40 * SECOND
REFUSAL_BACKOFF_FACTOR = 1.25  # growth of the backoff with each refusal in a row
REFUSAL_EXPONENT_MAX = 20
GRANT_VALIDITY = 30 * SECOND  # after a full grant the offering counts as available for this long


@dataclass(slots=True)
class ScaleOutRequest:
    """Holds the machines of one offering to rent with one request."""

    type: str
    zone: str
    spot: bool
    count: int

    @property
    def offering(self) -> Offering:
        """Returns the offering that the request is for."""
        return self.type, self.zone, self.spot


@dataclass(slots=True)
class CloudAvailability:
    """Tracks which offerings are worth requesting now."""

    cluster: ClusterState
    requests_in_flight: list[ScaleOutRequest] = field(default_factory=list)
    refused_until: dict[Offering, int] = field(default_factory=dict)  # end of the backoff (steady clock)
    granted_at: dict[Offering, int] = field(default_factory=dict)  # time of the last full grant (steady clock)
    refusals_in_a_row: dict[Offering, int] = field(default_factory=dict)  # requests that got no machine, minus one

    def on_refused(self, request: ScaleOutRequest, now: int) -> None:
        """Records that the cloud granted no machine; the backoff grows with each refusal in a row."""
        refusals = self.refusals_in_a_row.get(request.offering, -1) + 1
        self._back_off(request.offering, refusals, now)

    def on_partly_granted(self, request: ScaleOutRequest, now: int) -> None:
        """Records that the cloud granted a part of a request; the backoff is the shortest, as more may follow soon."""
        self._back_off(request.offering, 0, now)

    def on_granted(self, request: ScaleOutRequest, now: int) -> None:
        """Records that the cloud granted a request in full."""
        self.granted_at[request.offering] = now
        self.refusals_in_a_row.pop(request.offering, None)

    def _back_off(self, offering: Offering, refusals: int, now: int) -> None:
        self.refusals_in_a_row[offering] = refusals
        factor = REFUSAL_BACKOFF_FACTOR ** min(refusals, REFUSAL_EXPONENT_MAX)
        self.refused_until[offering] = now + min(REFUSAL_BACKOFF_MAX, round(REFUSAL_BACKOFF * factor))

    def is_refused(self, offering: Offering, now: int) -> bool:
        """Returns whether the offering is in backoff after a refusal."""
        return self.refused_until.get(offering, 0) > now

    def is_requested(self, offering: Offering) -> bool:
        """Returns whether a request for the offering is in flight."""
        return any(request.offering == offering for request in self.requests_in_flight)

    def refused_count(self, now: int) -> int:
        """Returns how many offerings are in backoff."""
        return sum(until > now for until in self.refused_until.values())

    def is_replacement_available(self, machine: Machine, now: int) -> bool:
        """Returns whether an equal machine was recently granted in a zone that is not partitioned.

        An offering that was not requested recently does not count, since it may not be available.
        """
        return any(
            now - self.granted_at.get((machine.type.name, zone, machine.spot), -GRANT_VALIDITY) < GRANT_VALIDITY
            for zone in machine.type.zones
            if zone not in self.cluster.zones.partitioned
        )

    def is_any_rentable(self, job: Job, spot: bool, now: int) -> bool:
        """Returns whether, as far as known, a feasible spot (or on-demand) machine for the job can be rented."""
        return any(
            self.refused_until.get((machine_type.name, zone, spot), 0) <= now
            for machine_type in self.cluster.catalog.feasible_types(job)
            for zone in machine_type.zones
            if job.spec.zone in (None, zone)
        )
