"""Machines from the cloud's side: rent, return and list."""

from __future__ import annotations

import asyncio
import contextlib
import logging

from oatport import wire
from oatport.clients.cloud import CloudClient
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.control.scaling.capacity_planner import CapacityPlanner
from oatport.control.scaling.cloud_availability import ScaleOutRequest
from oatport.control.state.job import JobKind
from oatport.control.state.machine import Machine
from oatport.service.catalog import read_types, write_types
from oatport.service.failure_detector import FailureDetector
from oatport.service.leader_context import LeaderContext
from oatport.service.network import Network
from oatport.times import MS, SECOND, seconds, steady, time_of_day

log = logging.getLogger(__name__)

RENTALS_AT_ONCE = 2


class CloudController:
    """Acts for a leader; all it decides by is the leader's view of the cluster."""

    def __init__(self, helm: LeaderContext, net: Network) -> None:
        self._helm = helm
        self.cluster = helm.cluster
        self.fleet = CapacityPlanner(helm.cluster)
        self.cloud = CloudClient(net, helm.settings.services.cloud, helm.settings.cluster.cloud.rps, helm.holds_lease)
        self.home = helm.node
        self.state = helm.state
        self.tuning = helm.tuning
        self.group = helm.background
        self.watcher = FailureDetector(helm, net, self.release, self.fleet)
        self._requests = 0
        self._listed_at = 0

    def start(self) -> None:
        self.group.keep("rent", self.rent_loop)
        self.group.keep("list", self.list_loop)
        self.group.keep("silence", self.watcher.loop)

    def status(self, now: int) -> str:
        """One line that says how things stand; all of it was counted on other occasions."""
        fleet = self.cluster.accounting.utilization
        return (
            f"machines {fleet.up} up ({fleet.up_spot} spot), {fleet.down} not up; "
            f"cpus {fleet.cpus:.0f} of which free {fleet.free_owned:.0f} owned {fleet.free_spot:.0f} spot; "
            f"jobs {len(self.cluster.jobs)}; waiting tasks {fleet.waiting or 0}; "
            f"threshold {seconds(self.cluster.router.threshold):.0f} s; "
            f"rentals under way {len(self.fleet.availability.requests_in_flight)}, "
            f"refused {self.fleet.availability.refused_count(now)}; spent "
            + " ".join(f"{what} {money:.2f}" for what, money in sorted(self.cluster.accounting.cost_by_use.items()))
        )

    async def catalog(self) -> None:
        """The machine types: from the cloud, kept in the state service for when it is away."""
        try:
            types = await self.cloud.catalog()
        except (NoResponseError, RequestRefusedError, wire.InvalidMessageError) as error:
            log.info("catalog: %s", error)
            return
        if not types.keys() <= self.cluster.catalog.types.keys():
            found = await read_types(self.state)
            # What the cloud does not tell any more stays recorded: there may be machines of it.
            recorded, version = found or ({}, 0)
            self.home.types = types
            layout = self.cluster.writes.layout
            await write_types(self.state, self._helm.token, version, {**recorded, **types}, layout.limit, layout.parts)
        self.cluster.catalog.update(types)

    async def rent_loop(self) -> None:
        catalog_at = moved_at = 0
        reopened = False
        while not self._helm.stopped:
            await asyncio.sleep(0.3)
            now = self._helm.now()
            if now - catalog_at > (30 * SECOND if self.cluster.catalog.types else SECOND):
                catalog_at = now
                self.group.once("catalog", self.catalog())
            if self._settled(now) and not self._helm.decisions_paused(now):
                self.cluster.find_usable(now)
                due = self.fleet.scale_out.due(now)
                if due:
                    # What waits is placed on reopened machines first: more than what they take was once rented.
                    reopened = self.fleet.scale_in.update_cordons() and not reopened
                    self.cluster.planning_needed = self.cluster.planning_needed or reopened
                if now - moved_at > SECOND:
                    replicas = sum(j.on_machines for j in self.cluster.jobs.values() if j.kind is JobKind.SERVICE)
                    self.cluster.accounting.replica_us += replicas * (now - moved_at) if moved_at else 0
                    moved_at = now
                    for task in self.fleet.rebalancer.replicas_to_move(now):
                        self.cluster.tasks.stop(task, 0.0)
                    self._helm.wake()
                # Few at a time: a queue of requests that the cloud will refuse holds up those it would
                # fill, and by the time they get there nobody wants them.
                rentals = self.fleet.scale_out.plan(now) if due and not reopened else []
                for rental in rentals[: max(0, RENTALS_AT_ONCE - len(self.fleet.availability.requests_in_flight))]:
                    self.fleet.availability.requests_in_flight.append(rental)
                    self.group.once("rent", self.rent(rental))
            gone = self.fleet.scale_in.machines_to_release(now)
            if gone and self._settled(now) and self._helm.holds_lease():
                await self.release(gone, "returned")

    def _settled(self, now: int) -> bool:
        """The view is complete enough to rent and return by: machines confirmed, the list seen."""
        if now - self._helm.led_since > 6 * SECOND:
            return True
        if not self._listed_at:
            return False
        waiting = any(m.was_ready and not m.confirmed(self._helm.token) for m in self.cluster.machines.values())
        return not waiting or now - self._helm.led_since > 3 * SECOND

    async def rent(self, rental: ScaleOutRequest) -> None:
        self._requests += 1
        # Token and counter: never used before, nor by another node.
        request = f"r-{self._helm.token}-{self._requests}"
        try:
            until = steady() + 20 * SECOND
            names: list[str] | None = None
            while names is None and steady() < until and not self._helm.stopped:
                try:
                    names = await self.cloud.rent(request, rental.type, rental.zone, rental.spot, rental.count)
                except RequestRefusedError as error:
                    reason = error.value.get("error") if isinstance(error.value, dict) else None
                    if error.status == 503 and reason == "no capacity":
                        self.fleet.availability.refuse(rental, steady())
                        log.info("no %s in %s (spot %s)", rental.type, rental.zone, rental.spot)
                        return
                    await asyncio.sleep(jitter(SECOND))
                    if error.status not in (429, 503):
                        return
                except NoResponseError:
                    await asyncio.sleep(jitter(300 * MS))  # the same name again: it rents once
            if names is None:
                return
            if not names:
                self.fleet.availability.refuse(rental, steady())
            elif len(names) < rental.count:
                self.fleet.availability.grant_partially(rental, steady())
            else:
                self.fleet.availability.grant(rental, steady())
            log.info("rented %d %s in %s (spot %s)", len(names), rental.type, rental.zone, rental.spot)
            for name in names:
                self.cluster.add_machine(name, rental.type, rental.zone, rental.spot, "", steady(), time_of_day())
        finally:
            self.fleet.availability.requests_in_flight.remove(rental)
            self._helm.wake()

    async def release(self, machines: list[Machine], why: str) -> None:
        """Return machines; the answer proves that they and all on them are gone.

        Not those that alone tell of an end: they are asked for again once that is recorded.
        """
        machines = [m for m in machines if not self.cluster.completions.holds_unwritten(m)]
        if not machines:
            self._helm.wake()
            return
        for machine in machines:
            machine.releasing = True
        try:
            await self.cloud.release([m.name for m in machines])
        except (NoResponseError, RequestRefusedError) as error:
            log.info("release: %s", error)
            return
        now = steady()
        for machine in machines:
            self.cluster.on_machine_removed(machine, now, why)
        self._helm.wake()

    async def list_loop(self) -> None:
        pause = max(2.0, 4.0 / self._helm.settings.cluster.cloud.rps)
        while not self._helm.stopped:
            asked = steady()
            try:
                rows = await self.cloud.list_all()
            except (NoResponseError, RequestRefusedError, wire.InvalidMessageError) as error:
                log.info("machine list: %s", error)
                await asyncio.sleep(jitter(SECOND))
                continue
            now, wall = steady(), time_of_day()
            cluster = self.cluster
            listed = {row.machine_name for row in rows}
            failed = []
            for row in rows:
                if row.status == wire.MachineStatus.FAILED:
                    machine = cluster.machines.get(row.machine_name)
                    if machine is not None:
                        cluster.on_machine_removed(machine, now, "failed")
                    failed.append(row.machine_name)
                    continue
                machine = cluster.add_machine(
                    row.machine_name,
                    row.machine_type,
                    row.zone,
                    row.spot,
                    row.address,
                    now,
                    wall,
                    round(row.age_s * SECOND),
                )
                if machine is not None:
                    machine.listed_by_cloud = True
            # Once listed, a machine stays listed until it is gone; the list may be old, though, so
            # only a machine that was listed and is silent is taken off, by a release that proves it.
            lost = [
                m
                for m in cluster.machines.values()
                if m.listed_by_cloud
                and m.name not in listed
                and now - max(m.last_heartbeat_at, m.known_since) > 2 * SECOND
                and not m.releasing
            ]
            if lost:
                await self.release(lost, "taken")
            if failed:
                with contextlib.suppress(NoResponseError, RequestRefusedError):
                    await self.cloud.release(failed[:100])
            self._listed_at = asked
            self._helm.wake()
            await asyncio.sleep(jitter(round(pause * SECOND)))
