"""What the cloud is known to have: requests in flight, refusals with their backoff, and what was granted of late."""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job
from oatport.control.state.machine import Machine
from oatport.times import SECOND

Offering = tuple[str, str, bool]  # name of a machine type, zone, spot

REFUSAL_BACKOFF = 20 * SECOND
REFUSAL_BACKOFF_MAX = 40 * SECOND
REFUSAL_BACKOFF_FACTOR = 1.25  # what was refused again and again is asked for less often
REFUSAL_EXPONENT_MAX = 20
GRANT_VALIDITY = 30 * SECOND


@dataclass(slots=True)
class ScaleOutRequest:
    """Machines of one offering to rent in one request."""

    type: str
    zone: str
    spot: bool
    count: int

    @property
    def offering(self) -> Offering:
        """What it asks for."""
        return self.type, self.zone, self.spot


@dataclass(slots=True)
class CloudAvailability:
    """Which offerings are worth asking for now."""

    cluster: ClusterState
    requests_in_flight: list[ScaleOutRequest] = field(default_factory=list)
    refused_until: dict[Offering, int] = field(default_factory=dict)  # when to ask again (steady)
    granted_at: dict[Offering, int] = field(default_factory=dict)  # when a request was last granted in full (steady)
    refusals_in_a_row: dict[Offering, int] = field(default_factory=dict)  # requests that got nothing, less one

    def refuse(self, request: ScaleOutRequest, now: int) -> None:
        """The cloud had none of these: it is asked again after a while, which grows with each refusal in a row."""
        refusals = self.refusals_in_a_row.get(request.offering, -1) + 1
        self._back_off(request.offering, refusals, now)

    def grant_partially(self, request: ScaleOutRequest, now: int) -> None:
        """The cloud had some of these: there may be more soon."""
        self._back_off(request.offering, 0, now)

    def grant(self, request: ScaleOutRequest, now: int) -> None:
        """The cloud had all of these."""
        self.granted_at[request.offering] = now
        self.refusals_in_a_row.pop(request.offering, None)

    def _back_off(self, offering: Offering, refusals: int, now: int) -> None:
        self.refusals_in_a_row[offering] = refusals
        factor = REFUSAL_BACKOFF_FACTOR ** min(refusals, REFUSAL_EXPONENT_MAX)
        self.refused_until[offering] = now + min(REFUSAL_BACKOFF_MAX, round(REFUSAL_BACKOFF * factor))

    def is_refused(self, offering: Offering, now: int) -> bool:
        """The cloud refused it a moment ago."""
        return self.refused_until.get(offering, 0) > now

    def is_requested(self, offering: Offering) -> bool:
        """A request for it is in flight."""
        return any(request.offering == offering for request in self.requests_in_flight)

    def refused_count(self, now: int) -> int:
        """How many offerings are in backoff."""
        return sum(until > now for until in self.refused_until.values())

    def is_replacement_available(self, machine: Machine, now: int) -> bool:
        """Was its like rented in another zone a moment ago? What was not tried is not known to be there."""
        return any(
            now - self.granted_at.get((machine.type.name, zone, machine.spot), -GRANT_VALIDITY) < GRANT_VALIDITY
            for zone in machine.type.zones
            if zone not in self.cluster.zones.partitioned
        )

    def any_for(self, job: Job, spot: bool, now: int) -> bool:
        """As far as is known, some spot (or on-demand) machine that is feasible for this job can still be rented."""
        return any(
            self.refused_until.get((machine_type.name, zone, spot), 0) <= now
            for machine_type in self.cluster.catalog.feasible_types(job)
            for zone in machine_type.zones
            if job.spec.zone in (None, zone)
        )
