"""Requests to the cloud API: reads the machine catalog, rents and releases machines."""

from __future__ import annotations

import asyncio
import logging

from oatport import wire
from oatport.clients.cloud import CloudClient
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.control.scaling.capacity_planner import CapacityPlanner
from oatport.control.scaling.cloud_availability import ScaleOutRequest
from oatport.control.scaling.scale_in import MACHINES_PER_RELEASE
from oatport.control.state.machine import Machine
from oatport.service.catalog import UNLIMITED_VALUE_BYTES, RecordedCatalog, read_catalog, write_catalog
from oatport.service.failure_detector import FailureDetector
from oatport.service.leader_context import LeaderContext
from oatport.service.machine_list_controller import MachineListController
from oatport.service.network import Network
from oatport.service.scaling_controller import ScalingController
from oatport.times import MS, SECOND, steady, time_of_day

log = logging.getLogger(__name__)

RENT_TIMEOUT = 20 * SECOND  # how long an unanswered rent request is retried
RENT_REFUSED_RETRY_INTERVAL = SECOND
RENT_UNANSWERED_RETRY_INTERVAL = 300 * MS
NO_CAPACITY = "no capacity"  # the cloud's error text if it has no machines of the requested kind
RETRYABLE_STATUSES = (429, 503)


class CloudController:
    """Sends a leader's requests to the cloud API, based on the leader's `ClusterState`."""

    def __init__(self, leader: LeaderContext, net: Network) -> None:
        self._leader = leader
        self.cluster = leader.cluster
        self.capacity_planner = CapacityPlanner(leader.cluster)
        services, requests_per_s = leader.settings.services, leader.settings.cluster.cloud.rps
        self.cloud = CloudClient(net, services.cloud, requests_per_s, leader.holds_lease)
        self.failure_detector = FailureDetector(leader, net, self.release, self.capacity_planner)
        self.machine_list = MachineListController(leader, self)
        self.scaling = ScalingController(leader, self, self.machine_list)
        self._request_count = 0

    def start(self) -> None:
        """Starts the scaling loop, the machine list loop and the failure detector."""
        background = self._leader.background
        background.supervise("scaling", self.scaling.loop)
        background.supervise("machine list", self.machine_list.loop)
        background.supervise("failure detector", self.failure_detector.loop)

    async def refresh_catalog(self) -> None:
        """Reads the machine types from the cloud, and records them for times when the cloud API is unavailable."""
        leader = self._leader
        try:
            types = await self.cloud.catalog()
        except (NoResponseError, RequestRefusedError, wire.InvalidMessageError) as error:
            log.info('catalog request failed error="%s"', error)
            return
        if not types.keys() <= self.cluster.catalog.types.keys():
            found = await read_catalog(leader.state)
            # Types that the cloud no longer lists stay recorded: machines of these types may still exist.
            recorded = found or RecordedCatalog({}, 0)
            leader.node.types = types
            layout = self.cluster.writes.layout
            merged = RecordedCatalog({**recorded.types, **types}, recorded.revision)
            await write_catalog(
                leader.state,
                leader.token,
                merged,
                layout.max_value_bytes if layout.should_split_records else UNLIMITED_VALUE_BYTES,
            )
        self.cluster.catalog.update(types)

    # --- rent -------------------------------------------------------------------------------

    async def rent(self, request: ScaleOutRequest) -> None:
        """Rents machines, and removes `request` from the requests in flight when the outcome is known."""
        self._request_count += 1
        # The fencing token and a counter make the id unique across nodes and restarts.
        request_id = f"r-{self._leader.token}-{self._request_count}"
        try:
            names = await self._rent_with_retries(request_id, request)
            if names is not None:
                self._on_rented(request, names)
        finally:
            self.capacity_planner.availability.requests_in_flight.remove(request)
            self._leader.wake()

    async def _rent_with_retries(self, request_id: str, request: ScaleOutRequest) -> list[str] | None:
        """Returns the names of the rented machines, or None if the request was refused or timed out."""
        give_up_at = steady() + RENT_TIMEOUT
        while steady() < give_up_at and not self._leader.stopped:
            try:
                return await self.cloud.rent(request_id, request.type, request.zone, request.spot, request.count)
            except RequestRefusedError as error:
                reason = error.value.get("error") if isinstance(error.value, dict) else None
                if error.status == 503 and reason == NO_CAPACITY:
                    self.capacity_planner.availability.on_refused(request, steady())
                    log.info("no capacity type=%s zone=%s spot=%s", request.type, request.zone, request.spot)
                    return None
                await asyncio.sleep(jitter(RENT_REFUSED_RETRY_INTERVAL))
                if error.status not in RETRYABLE_STATUSES:
                    return None
            except NoResponseError:
                # The request id is unchanged, so a retry rents no second time.
                await asyncio.sleep(jitter(RENT_UNANSWERED_RETRY_INTERVAL))
        return None

    def _on_rented(self, request: ScaleOutRequest, names: list[str]) -> None:
        availability = self.capacity_planner.availability
        if not names:
            availability.on_refused(request, steady())
        elif len(names) < request.count:
            availability.on_partly_granted(request, steady())
        else:
            availability.on_granted(request, steady())
        log.info(
            "rented machines count=%d type=%s zone=%s spot=%s", len(names), request.type, request.zone, request.spot
        )
        for name in names:
            machine = self.cluster.add_machine(
                name, request.type, request.zone, request.spot, "", steady(), time_of_day()
            )
            if machine is not None:
                machine.rented_in_term = True

    # --- release ----------------------------------------------------------------------------

    async def release(self, machines: list[Machine], reason: str) -> None:
        """Releases machines; the cloud's response proves that they and all tasks on them are gone.

        Machines that hold the only copy of a completion are skipped: callers request their release again after the
        completion has been recorded.
        """
        machines = [m for m in machines if not self.cluster.completions.has_unwritten_completions(m)]
        if not machines:
            self._leader.wake()
            return
        for first in range(0, len(machines), MACHINES_PER_RELEASE):
            if not await self._send_release(machines[first : first + MACHINES_PER_RELEASE], reason):
                return
            self._leader.wake()

    async def _send_release(self, machines: list[Machine], reason: str) -> bool:
        """Releases as many machines as one request may name, and returns whether the cloud confirmed it."""
        for machine in machines:
            machine.releasing = True
        try:
            await self.cloud.release([m.name for m in machines])
        except (NoResponseError, RequestRefusedError) as error:
            log.info('release failed count=%d error="%s"', len(machines), error)
            return False
        now = steady()
        for machine in machines:
            self.cluster.on_machine_removed(machine, now, reason)
        return True
