"""Requests to the cloud: the machine catalog, renting and releasing machines."""

from __future__ import annotations

import asyncio
import logging

from oatport import wire
from oatport.clients.cloud import CloudClient
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.control.scaling.capacity_planner import CapacityPlanner
from oatport.control.scaling.cloud_availability import ScaleOutRequest
from oatport.control.state.machine import Machine
from oatport.service.catalog import ONE_VALUE, RecordedCatalog, read_catalog, write_catalog
from oatport.service.failure_detector import FailureDetector
from oatport.service.leader_context import LeaderContext
from oatport.service.machine_list_controller import MachineListController
from oatport.service.network import Network
from oatport.service.scaling_controller import ScalingController
from oatport.times import MS, SECOND, steady, time_of_day

log = logging.getLogger(__name__)

RENT_WITHIN = 20 * SECOND  # a request without an answer is repeated for so long
RENT_RETRY_REFUSED = SECOND
RENT_RETRY_UNANSWERED = 300 * MS
NO_CAPACITY = "no capacity"  # the cloud's reason for a refusal that is no fault of the request
RETRYABLE_STATUSES = (429, 503)


class CloudController:
    """Acts for a leader; all it decides by is the leader's view of the cluster."""

    def __init__(self, leader: LeaderContext, net: Network) -> None:
        self._leader = leader
        self.cluster = leader.cluster
        self.capacity_planner = CapacityPlanner(leader.cluster)
        services, requests_per_s = leader.settings.services, leader.settings.cluster.cloud.rps
        self.cloud = CloudClient(net, services.cloud, requests_per_s, leader.holds_lease)
        self.failure_detector = FailureDetector(leader, net, self.release, self.capacity_planner)
        self.machine_list = MachineListController(leader, self)
        self.scaling = ScalingController(leader, self, self.machine_list)
        self._requests = 0

    def start(self) -> None:
        """Start the loops that scale, list and watch machines."""
        background = self._leader.background
        background.supervise("scaling", self.scaling.loop)
        background.supervise("machine list", self.machine_list.loop)
        background.supervise("failure detector", self.failure_detector.loop)

    async def refresh_catalog(self) -> None:
        """The machine types: from the cloud, kept in the state service for when it is away."""
        leader = self._leader
        try:
            types = await self.cloud.catalog()
        except (NoResponseError, RequestRefusedError, wire.InvalidMessageError) as error:
            log.info('catalog request failed error="%s"', error)
            return
        if not types.keys() <= self.cluster.catalog.types.keys():
            found = await read_catalog(leader.state)
            # What the cloud does not tell any more stays recorded: there may be machines of it.
            recorded = found or RecordedCatalog({}, 0)
            leader.node.types = types
            layout = self.cluster.writes.layout
            merged = RecordedCatalog({**recorded.types, **types}, recorded.version)
            await write_catalog(
                leader.state, leader.token, merged, layout.max_value_bytes if layout.should_split_records else ONE_VALUE
            )
        self.cluster.catalog.update(types)

    # --- rent -------------------------------------------------------------------------------

    async def rent(self, request: ScaleOutRequest) -> None:
        """Rent machines; `request` is among the requests in flight, and is taken off them."""
        self._requests += 1
        # Token and counter: never used before, nor by another node.
        request_id = f"r-{self._leader.token}-{self._requests}"
        try:
            names = await self._rent_with_retries(request_id, request)
            if names is not None:
                self._on_rented(request, names)
        finally:
            self.capacity_planner.availability.requests_in_flight.remove(request)
            self._leader.wake()

    async def _rent_with_retries(self, request_id: str, request: ScaleOutRequest) -> list[str] | None:
        """The rented machines; None if the request was refused or not answered in time."""
        until = steady() + RENT_WITHIN
        while steady() < until and not self._leader.stopped:
            try:
                return await self.cloud.rent(request_id, request.type, request.zone, request.spot, request.count)
            except RequestRefusedError as error:
                reason = error.value.get("error") if isinstance(error.value, dict) else None
                if error.status == 503 and reason == NO_CAPACITY:
                    self.capacity_planner.availability.refuse(request, steady())
                    log.info("no capacity type=%s zone=%s spot=%s", request.type, request.zone, request.spot)
                    return None
                await asyncio.sleep(jitter(RENT_RETRY_REFUSED))
                if error.status not in RETRYABLE_STATUSES:
                    return None
            except NoResponseError:
                await asyncio.sleep(jitter(RENT_RETRY_UNANSWERED))  # the same id again: it rents once
        return None

    def _on_rented(self, request: ScaleOutRequest, names: list[str]) -> None:
        availability = self.capacity_planner.availability
        if not names:
            availability.refuse(request, steady())
        elif len(names) < request.count:
            availability.grant_partially(request, steady())
        else:
            availability.grant(request, steady())
        log.info(
            "rented machines count=%d type=%s zone=%s spot=%s", len(names), request.type, request.zone, request.spot
        )
        for name in names:
            self.cluster.add_machine(name, request.type, request.zone, request.spot, "", steady(), time_of_day())

    # --- release ----------------------------------------------------------------------------

    async def release(self, machines: list[Machine], reason: str) -> None:
        """Release machines; the answer proves that they and all on them are gone.

        Not those that alone know of a completion: they are asked for again once that is recorded.
        """
        machines = [m for m in machines if not self.cluster.completions.has_unwritten_completions(m)]
        if not machines:
            self._leader.wake()
            return
        for machine in machines:
            machine.releasing = True
        try:
            await self.cloud.release([m.name for m in machines])
        except (NoResponseError, RequestRefusedError) as error:
            log.info('release failed count=%d error="%s"', len(machines), error)
            return
        now = steady()
        for machine in machines:
            self.cluster.on_machine_removed(machine, now, reason)
        self._leader.wake()
