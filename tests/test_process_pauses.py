"""Tests process pauses: a node stops while its clocks advance, simulated by a jump of the clock between two steps."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from msgspec.structs import replace

from oatport import wire
from oatport.clients import token_bucket
from oatport.clients.cloud import CloudClient
from oatport.clients.http import NoResponseError, RequestNotSentError
from oatport.control.leadership.failure_detection import all_silent_machines, is_isolated, silent_machines
from oatport.control.leadership.leader_lease import HANDOVER_OUTCOME_TIMEOUT, LeaderLease, PauseDetector
from oatport.control.scaling.cloud_availability import ScaleOutRequest
from oatport.service import heartbeat_controller
from oatport.service import leader as leader_module
from oatport.service.failover import RecordSnapshot
from oatport.service.node import Node
from oatport.service.peer_status import StateServiceStatus
from oatport.settings import Peer, Tuning
from oatport.simulation.state_service import KeyStore
from oatport.times import MS, SECOND
from tests.cluster_fixture import ClusterHarness, FakeStateClient, UnreachableNetwork, node_settings
from tests.test_node_failures import FakePeer, leader, peer_reply


class Clock:
    """A steady clock that tests advance by setting `at`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.at = 1_000 * SECOND
        for module in (leader_module, heartbeat_controller, token_bucket):
            monkeypatch.setattr(module, "steady", lambda: self.at)


@pytest.fixture
def state() -> KeyStore:
    """Returns an empty state service."""
    return KeyStore(lambda: 0)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Returns the clock of the leader, the heartbeat controller and the token buckets."""
    return Clock(monkeypatch)


class RecordingHttpClient:
    """An HTTP client that records the paths of requests to the cloud."""

    def __init__(self) -> None:
        self.paths: list[str] = []

    async def request(self, method: str, path: str, *_: Any, **__: Any) -> tuple[int, Any]:
        """Records the path, and responds with an empty list of machines."""
        self.paths.append(path)
        return 200, {"berths": []}


def test_a_lease_counts_from_when_its_renewal_was_requested() -> None:
    lease = LeaderLease(3 * SECOND, renewal_requested_at=0)
    assert lease.is_held(2_700 * MS)
    assert not lease.is_held(2_800 * MS)  # a margin for clock drift and for the time until a request is sent
    lease.on_renewed(2 * SECOND)
    lease.on_renewed(1 * SECOND)  # an older response that arrived late
    assert lease.is_held(4_700 * MS)
    # A handover was requested, so the lease no longer proves ownership of the leader key.
    lease.on_handover_requested(4 * SECOND)
    assert not lease.is_held(4_100 * MS)
    lease.on_renewed(4 * SECOND + HANDOVER_OUTCOME_TIMEOUT)
    assert lease.is_held(4 * SECOND + HANDOVER_OUTCOME_TIMEOUT)


def test_a_process_pause_is_detected_once() -> None:
    detector = PauseDetector(0)
    assert [detector.check(at * SECOND) for at in (1, 2, 9, 10)] == [0, 0, 7 * SECOND, 0]


async def test_a_leader_after_a_pause_starts_rents_and_releases_nothing(state: KeyStore, clock: Clock) -> None:
    """After a pause the machines may work for another leader, and the cloud checks no fencing tokens."""
    lead, _, leading_node = leader(state)
    lead.leader_lease.renewal_requested_at = clock.at
    http_client = RecordingHttpClient()
    cloud = CloudClient(UnreachableNetwork(), "h:1", 5.0, lead.holds_lease)  # type: ignore[arg-type]
    cloud._http = http_client  # type: ignore[assignment]
    lead.cloud_controller.cloud = cloud
    await cloud.release(["vm-000001"])
    assert http_client.paths == [wire.RELEASE_PATH]
    clock.at += 7 * SECOND  # the process is paused between the decision and the request
    with pytest.raises(RequestNotSentError):
        await cloud.release(["vm-000002"])
    with pytest.raises(RequestNotSentError):
        await cloud.rent("r-1-1", "m8", "a", True, 1)
    assert lead.are_decisions_paused(clock.at)
    machine = lead.cluster.add_machine("vm-000003", "m8", "a", False, "h:1", clock.at, 0)
    assert machine is not None
    await lead.cloud_controller.release([machine], "returned")
    await lead.command_sender.send(machine)
    assert http_client.paths == [wire.RELEASE_PATH]
    assert not machine.removed  # a machine stays until its release is confirmed
    assert leading_node.step_down_reasons == []  # only the state service decides whether this node still leads


async def test_a_rental_under_way_during_a_pause_is_not_repeated_without_the_lease(
    state: KeyStore, clock: Clock
) -> None:
    lead, _, _ = leader(state)
    lead.leader_lease.renewal_requested_at = clock.at
    request_ids: list[str] = []

    class Cloud:
        async def rent(self, request: str, *_: Any) -> list[str]:
            request_ids.append(request)
            clock.at += 9 * SECOND
            lead.stopped = True  # this node has learned of another leader
            raise NoResponseError("timers fire before the pending data of sockets is read")

    lead.cloud_controller.cloud = Cloud()  # type: ignore[assignment]
    rental = ScaleOutRequest("m8", "a", True, 1)
    lead.cloud_controller.capacity_planner.availability.requests_in_flight.append(rental)
    await lead.cloud_controller.rent(rental)
    assert request_ids == [f"r-{lead.token}-1"]
    assert lead.cloud_controller.capacity_planner.availability.requests_in_flight == []


async def test_tasks_outlive_a_short_pause_but_none_starts_before_the_lease_is_renewed(
    state: KeyStore, clock: Clock
) -> None:
    lead, _, _ = leader(state)
    lead.leader_lease.renewal_requested_at = lead.lease_renewal_limit.cancellations_read_at = clock.at
    report = wire.Heartbeat("vm-000001", "h:1", "m8", "a", False, 1, 1, lead.token, [])
    assert lead.answer_heartbeat(report) is not None
    clock.at += 7 * SECOND
    response = lead.answer_heartbeat(wire.Heartbeat("vm-000001", "h:1", "m8", "a", False, 1, 2, lead.token, []))
    assert response is not None
    assert response["helm"] == lead.token
    clock.at += 25 * SECOND  # another node may have confirmed a cancellation by then
    assert lead.answer_heartbeat(wire.Heartbeat("vm-000001", "h:1", "m8", "a", False, 1, 3, lead.token, [])) is None


def test_a_pause_makes_no_machine_silent_or_idle() -> None:
    harness = ClusterHarness()
    for number in (1, 2, 3):
        harness.machine(number)
    harness.settle(3)
    machines = list(harness.cluster.machines.values())
    gap = 20 * SECOND
    harness.now += gap
    # Without the correction for the pause, all machines would count as silent.
    assert len(silent_machines(machines, harness.now, 5 * SECOND)) == 3
    assert harness.fleet.scale_in.machines_to_release(harness.now)
    for machine in machines:
        machine.releasing = False
    machines[0].last_heartbeat_at = harness.now  # its heartbeat was read first after the pause
    harness.cluster.on_process_pause(gap, harness.now)
    assert machines[0].last_heartbeat_at == harness.now
    assert silent_machines(machines, harness.now, 5 * SECOND) == []
    assert harness.fleet.scale_in.machines_to_release(harness.now) == []
    # Times of events outside this process, such as spot notices and boots, are not shifted.
    assert all(machine.rented_at < harness.now - gap for machine in machines)


def test_a_leader_without_heartbeats_releases_no_machine() -> None:
    """Guards against a leader partitioned from all workers that releases the first ones past the silence threshold."""
    harness = ClusterHarness()
    for number in range(1, 7):
        harness.machine(number)
    harness.settle(3)
    machines = list(harness.cluster.machines.values())
    report_us = SECOND
    assert all_silent_machines(machines, harness.now + 1_400 * MS, report_us, 0) == []
    assert len(all_silent_machines(machines, harness.now + 1_600 * MS, report_us, 0)) == 6
    # The leader has just started.
    assert all_silent_machines(machines, harness.now + 1_600 * MS, report_us, harness.now + SECOND) == []
    machines[0].last_heartbeat_at = harness.now + 1_000 * MS
    assert all_silent_machines(machines, harness.now + 1_600 * MS, report_us, 0) == []
    now = harness.now + 4 * SECOND
    quiet = silent_machines(machines, now, 5 * SECOND // 2)
    assert silent_machines(machines, now, 5 * SECOND) == []
    assert is_isolated(len(quiet), machines)


async def test_a_handover_whose_reply_is_lost_suspends_the_lease(state: KeyStore) -> None:
    """The other node may replace the leader key while this node still renews its lease."""
    lead, _, _ = leader(state)
    node = Node(node_settings(), Tuning())
    node.election.leader = lead
    peer = FakePeer(None)
    peer.name = "n1"  # type: ignore[attr-defined]
    assert lead.holds_lease()
    with pytest.raises(NoResponseError):
        await node.handover.hand_over(lead, peer, "")  # type: ignore[arg-type]
    assert not lead.holds_lease()
    peer.reply = ["no"]
    await node.handover.hand_over(lead, peer, "")  # type: ignore[arg-type]
    assert lead.holds_lease()


async def test_a_handover_accepted_before_a_pause_has_expired_after_it(state: KeyStore) -> None:
    node = Node(node_settings(), Tuning())
    client = FakeStateClient(state)
    node.state = client  # type: ignore[assignment]
    state.commit({"if": [], "then": [{"set": "leader", "value": {"node": "n1", "boot": "x", "lease": 1}}]})
    assert await peer_reply(node, ["handover", state.revision]) == ["ok"]
    node.election.handover_until -= 10 * SECOND  # the node was paused before it ran for leader
    await node.election._run_for_leader()
    assert node.leader is None
    assert state.get("leader")[1]["value"]["node"] == "n1"
    await asyncio.sleep(0)


async def test_a_worse_placed_candidate_backs_off(state: KeyStore) -> None:
    """Guards against two failures of worse placed leaders.

    With the leader paused and its successor down, workers waited for both in turn until their leases expired. A node
    that was partitioned from workers became the leader repeatedly although another node could reach them.
    """
    node = Node(replace(node_settings(), peers=[Peer("n1", "h:1"), Peer("n2", "h:2")]), Tuning())
    reached: list[str] = []

    async def reaches(addresses: list[str]) -> int:
        return len(reached)

    node.election._count_reached = reaches  # type: ignore[method-assign]
    node.peers = {"n1": FakePeer(None), "n2": FakePeer(None)}  # type: ignore[dict-item]
    answering = node.peer_status.state_service_answers
    answering["n2"] = StateServiceStatus(True, 0)
    backoff_without_successor = await node.election.backoff()  # n1, the successor of n0, does not reply
    assert node.handover.better_placed_peer() is None  # the successor may be down only briefly
    node.peer_status.successor_answered_at -= 5 * SECOND
    assert node.handover.better_placed_peer() is node.peers["n2"]  # whose successor is n0
    answering.clear()
    answering["n1"] = StateServiceStatus(True, 0)
    assert await node.election.backoff() == 0 < backoff_without_successor
    assert node.handover.better_placed_peer() is None
    node.mark_workers_unreachable(["h:1"])
    assert await node.election.backoff() > backoff_without_successor
    reached.append("h:1")
    assert await node.election.backoff() == 0
    reached.clear()
    assert await node.election.backoff() == 0  # the workers were reached above, so they are not probed again


async def test_election_priority_prefers_nodes_whose_successor_is_in_another_zone() -> None:
    """Guards against a leader and a successor in one partitioned zone: workers outside waited for both in turn."""

    def node(name: str, **zones: str) -> Node:
        settings = replace(
            node_settings(),
            node_name=name,
            zone=zones[name],
            peers=[Peer(n, "h:1", zone) for n, zone in zones.items() if n != name],
        )
        created = Node(settings, Tuning())
        created.peers = {peer.node_name: FakePeer(None) for peer in settings.peers}  # type: ignore[misc]
        created.peer_status.state_service_answers = dict.fromkeys(created.peers, StateServiceStatus(True, 0))
        return created

    two = [await node(name, n0="a", n1="b", n2="a").election.backoff() for name in ("n0", "n1", "n2")]
    assert two[0] == two[1] == 0 < two[2]
    assert [await node(name, n0="a", n1="a", n2="a").election.backoff() for name in ("n0", "n1", "n2")] == [0, 0, 0]


async def test_cancellations_confirmed_during_failover_do_not_count_as_read(
    state: KeyStore, clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against renewals beyond the bound, by the duration of the load, if an outage begins during the load."""
    lead, _, _ = leader(state)
    began = clock.at

    async def slow(*_: Any) -> RecordSnapshot:
        clock.at += 4 * SECOND
        return RecordSnapshot([], 0)

    monkeypatch.setattr(leader_module, "read_records", slow)
    monkeypatch.setattr(lead.background, "supervise", lambda *_: None)  # the loops are not under test
    await lead.fail_over()
    assert lead.lease_renewal_limit.cancellations_read_at == began
