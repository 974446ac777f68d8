"""Tests of nodes and leaders with failures of the state service, of peers and of the cloud."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from msgspec.structs import replace

from oatport import wire
from oatport.api.heartbeat_api import handle_heartbeat
from oatport.clients.http import NoResponseError
from oatport.control.scaling.cloud_availability import ScaleOutRequest
from oatport.control.storage.fleet_records import recorded_machine_types
from oatport.control.storage.keys import CATALOG_KEY, LEADER_KEY
from oatport.control.storage.recovery import UnknownMachineTypeError, load_cluster
from oatport.control.storage.write_batch import WriteBatch
from oatport.peer_codec import PeerArray, PeerMessage, decode_reply, ignore_reply
from oatport.service.background_tasks import BackgroundTasks
from oatport.service.leader import Leader
from oatport.service.leader_context import EarlierCompletions
from oatport.service.node import Node
from oatport.service.reachability import PeerSurvey
from oatport.settings import Tuning
from oatport.simulation.state_service import KeyStore
from oatport.times import SECOND, steady, time_of_day
from tests.cluster_fixture import TYPES, FakeStateClient, UnreachableNetwork, node_settings


class Body:
    def __init__(self, value: Any) -> None:
        self.value = value

    async def read(self) -> Any:
        return wire.decode(wire.encode(self.value))


class FakePeer:
    def __init__(self, answer: list[Any] | None, name: str = "n1") -> None:
        self.answer, self.name = answer, name

    async def ask(self, request: PeerMessage, decode: Callable[[PeerArray], Any], *, timeout_us: int = 0) -> Any:
        if self.answer is None:
            raise NoResponseError("cut")
        return decode_reply(self.answer, decode)

    async def notify(self, request: PeerMessage) -> None:
        await self.ask(request, ignore_reply)


async def peer_reply(node: Node, message: list[Any]) -> list[Any]:
    """Returns a node's reply to a message of another node."""
    answer = await node.peer_api().handle("POST", wire.PEER_PATH, Body(message))  # type: ignore[arg-type]
    assert answer.status == 200
    return answer.value  # type: ignore[no-any-return]


class FakeLeadingNode:
    def __init__(self) -> None:
        self.types = dict(TYPES)
        self.peers: dict[str, Any] = {}
        self.job_progress: dict[str, tuple[int, int]] = {}
        self.node_name, self.boot_id = "n0", "boot"
        self.lost: list[str] = []

    def step_down(self, reason: str) -> None:
        self.lost.append(reason)

    async def completions_before(self, token: int) -> EarlierCompletions:
        return EarlierCompletions([], complete=True)

    def peer_contact_times(self) -> dict[str, list[int]]:
        return {}

    def mark_workers_unreachable(self, addresses: list[str]) -> None:
        pass


def leader(state: KeyStore) -> tuple[Leader, FakeStateClient, FakeLeadingNode]:
    token = state.commit({"if": [], "then": [{"set": LEADER_KEY, "value": {"node": "n0"}}]})[1]["ledgerRev"]
    client, leading_node = FakeStateClient(state), FakeLeadingNode()
    lead = Leader(leading_node, node_settings(), Tuning(), UnreachableNetwork(), client, token, 1, steady())  # type: ignore[arg-type]
    lead.loaded = True
    return lead, client, leading_node


@pytest.fixture
def state() -> KeyStore:
    return KeyStore(lambda: 0)


async def test_a_handover_is_accepted_only_while_the_state_service_answers(state: KeyStore) -> None:
    """At the start of an outage for all nodes, a leader handed over to a node that had lost the state service too."""
    node = Node(node_settings(), Tuning())
    client = FakeStateClient(state)
    node.state = client  # type: ignore[assignment]
    client.faults = ["refuse"]
    assert await peer_reply(node, ["handover", 5]) == ["no"]
    assert await peer_reply(node, ["handover", 5]) == ["ok"]
    # A leader handed over to a node that had lost contact with the workers shortly before.
    node.mark_workers_unreachable(["h:1"])
    assert await peer_reply(node, ["handover", 6]) == ["no"]


async def test_a_lost_answer_to_a_leaders_commit_is_resolved(state: KeyStore) -> None:
    lead, client, leading_node = leader(state)
    client.faults = ["lose"]
    batch = WriteBatch(conditions={"live/j-1/0000": 0}, sets={"live/j-1/0000": {"t": [[1]]}})
    await lead.commits.commit(batch)
    assert leading_node.lost == []
    assert lead.cluster.writes.versions["live/j-1/0000"] == state.revision


async def test_a_late_leader_commit_cannot_be_applied_twice(state: KeyStore) -> None:
    lead, client, leading_node = leader(state)
    client.faults = ["late"]
    await lead.commits.commit(WriteBatch(conditions={"fleet/000000": 0}, sets={"fleet/000000": {"m": []}}))
    assert leading_node.lost == []
    assert client.deliver_late() == [409]


async def test_a_deposed_leader_stops(state: KeyStore) -> None:
    lead, _, leading_node = leader(state)
    state.commit({"if": [], "then": [{"set": LEADER_KEY, "value": {"node": "n1"}}]})
    await lead.commits.commit(WriteBatch(conditions={"fleet/000000": 0}, sets={"fleet/000000": {"m": []}}))
    assert leading_node.lost
    assert not lead.heartbeats.may_answer()


async def survey(lead: Leader) -> PeerSurvey:
    return await lead.cloud_controller.failure_detector.reachability.survey_peers([])


async def test_no_machine_is_released_without_contact_to_the_state_service_and_most_peers(state: KeyStore) -> None:
    """A partition may hold a release request and deliver it minutes later, when another leader uses the machines."""
    lead, client, leading_node = leader(state)
    client.faults = ["refuse", "lose"]
    assert not await lead.cloud_controller.failure_detector.reachability.verify_leadership()
    assert not await lead.cloud_controller.failure_detector.reachability.verify_leadership()
    assert await lead.cloud_controller.failure_detector.reachability.verify_leadership()
    leading_node.peers = {"n1": FakePeer(None)}
    assert await survey(lead) == PeerSurvey(None, False)  # a peer that doesn't answer proves nothing
    leading_node.peers = {"n1": FakePeer(["seen", 3, True])}
    assert await survey(lead) == PeerSurvey(None, False)
    leading_node.peers = {"n1": FakePeer(["seen", 0, True])}
    assert await survey(lead) == PeerSurvey(None, True)


async def test_a_node_in_a_partitioned_zone_does_not_delay_the_release(state: KeyStore) -> None:
    """A zone was partitioned together with its node, and its machines' tasks were not replaced for two minutes."""
    lead, _, leading_node = leader(state)
    reaches_none, silent, reaches_one = FakePeer(["seen", 0, True]), FakePeer(None), FakePeer(["seen", 1, True])
    leading_node.peers = {"n1": reaches_none, "n2": silent}
    assert await survey(lead) == PeerSurvey(None, True)  # two of three nodes
    leading_node.peers = {"n1": silent, "n2": silent}
    assert await survey(lead) == PeerSurvey(None, False)  # this node itself is more likely partitioned
    leading_node.peers = {"n1": reaches_none, "n2": reaches_one}
    assert await survey(lead) == PeerSurvey(None, False)


async def test_in_an_outage_tasks_keep_running_but_none_starts(state: KeyStore) -> None:
    lead, client, _ = leader(state)
    now = steady()
    client.last_success_at, client.last_failure_at = now - 5 * SECOND, now
    lead.lease_renewal_limit.cancellations_read_at = now - 5 * SECOND
    report = wire.Heartbeat("vm-000001", "h:1", "m8", "a", False, 1, 1, lead.token, [])
    answer = lead.answer_heartbeat(report)
    assert answer is not None
    assert answer["helm"] == lead.token
    assert all(order["orderKind"] != "start" for order in answer["orders"])
    lead.lease_renewal_limit.cancellations_read_at = now - 30 * SECOND  # a cancellation may have been confirmed since
    assert lead.answer_heartbeat(report) is None


async def test_heartbeats_are_redirected_to_the_leader_and_malformed_ones_refused(state: KeyStore) -> None:
    node = Node(node_settings(), Tuning())
    node.state = FakeStateClient(state)  # type: ignore[assignment]
    node.election.leader_name = "n1"
    report = {
        "berth": "vm-1",
        "address": "h:1",
        "berthKind": "m8",
        "harbor": "a",
        "driftwood": False,
        "watch": 1,
        "logline": 1,
        "helm": 0,
        "legs": [],
    }
    answer = await handle_heartbeat(node, "POST", Body(report))  # type: ignore[arg-type]
    assert (answer.status, answer.value) == (421, {"harbormaster": "n1"})
    for bad in ({}, [], {**report, "legs": [{"leg": 3}]}, {**report, "watch": "x"}):
        with pytest.raises(wire.InvalidMessageError):
            await handle_heartbeat(node, "POST", Body(bad))  # type: ignore[arg-type]


async def test_malformed_peer_messages_are_refused(state: KeyStore) -> None:
    node = Node(node_settings(), Tuning())
    node.state = FakeStateClient(state)  # type: ignore[assignment]
    assert (await peer_reply(node, ["ping", "n1", None, 0, True]))[:2] == ["pong", "n0"]
    for bad in ([], {}, ["unheard"], ["ping"], [1], "x"):
        with pytest.raises(wire.InvalidMessageError):
            await peer_reply(node, bad)  # type: ignore[arg-type]


async def test_a_failing_background_task_is_logged_and_restarted(caplog: pytest.LogCaptureFixture) -> None:
    group, runs = BackgroundTasks(), []

    async def loop() -> None:
        runs.append(1)
        if len(runs) == 1:
            raise ValueError("one bad message")

    group.supervise("loop", loop, pause_s=0.0)
    for _ in range(20):
        await asyncio.sleep(0)
    await asyncio.sleep(0.01)
    group.close()
    assert len(runs) == 2
    assert "one bad message" in caplog.text


async def test_a_background_task_closed_before_its_first_step_leaves_no_coroutine_behind() -> None:
    """A deposed leader left coroutines behind that were never awaited; pytest turns that warning into an error."""
    group, ran = BackgroundTasks(), []

    async def work() -> None:
        ran.append(1)

    group.spawn("work", work())
    group.close()
    group.spawn("late", work())
    await asyncio.sleep(0.01)
    assert ran == []


async def test_a_rental_without_an_answer_is_repeated_under_its_request_id_which_is_never_reused(
    state: KeyStore,
) -> None:
    lead, _, _ = leader(state)
    asked: list[str] = []

    class Cloud:
        async def rent(self, request: str, *rest: Any) -> list[str]:
            asked.append(request)
            if len(asked) == 1:
                raise NoResponseError("lost")
            return [f"vm-{len(asked):06d}"]

    lead.cloud_controller.cloud = Cloud()  # type: ignore[assignment]
    for _ in range(2):
        rental = ScaleOutRequest("m8", "a", True, 1)
        lead.cloud_controller.capacity_planner.availability.requests_in_flight.append(rental)
        await lead.cloud_controller.rent(rental)
    assert asked == [f"r-{lead.token}-1", f"r-{lead.token}-1", f"r-{lead.token}-2"]
    assert sorted(lead.cluster.machines) == ["vm-000002", "vm-000003"]


async def test_a_machine_to_be_released_is_sent_stops_for_what_it_runs(state: KeyStore) -> None:
    """While the cloud left a release unanswered, the machine's leases were renewed and no stop command was sent."""
    lead, _, _ = leader(state)
    lead.lease_renewal_limit.cancellations_read_at = lead.leader_lease.renewal_requested_at = steady()
    rows = [wire.TaskReport("j-000001/0", 1, wire.TaskStatus.RUNNING)]  # for example, of a cancelled job that has ended
    report = wire.Heartbeat("vm-000001", "h:1", "m8", "a", False, 1, 1, lead.token, rows)
    assert lead.answer_heartbeat(report) is not None
    lead.cluster.machines["vm-000001"].releasing = True
    answer = lead.answer_heartbeat(wire.Heartbeat("vm-000001", "h:1", "m8", "a", False, 1, 2, lead.token, rows))
    assert answer is not None
    assert [(order["orderKind"], order["leg"]) for order in answer["orders"]] == [("stop", "j-000001/0")]


async def test_a_leader_without_a_catalog_reads_the_recorded_one_and_loses_no_machine(state: KeyStore) -> None:
    """Guards against task loss when a node restarts quickly and leads at once while the cloud is down.

    Without the recorded catalog it took all machines for lost, and started their tasks again elsewhere.
    """
    types = {"berthKinds": [msgspec.to_builtins(kind) for kind in TYPES.values()]}
    state.commit({"if": [], "then": [{"set": CATALOG_KEY, "value": types}]})
    machine = ["vm-000001", "m8", "a", False, "h:1", 1, True]
    rows = [wire.StoredEntry("fleet/000000", {"m": [machine]}, 1)]
    lead, _, leading_node = leader(state)
    lead.cluster.catalog.types.clear()
    leading_node.types = {}
    with pytest.raises(UnknownMachineTypeError, match="vm-000001 is of type m8"):
        load_cluster(lead.cluster, rows, steady(), time_of_day())
    await lead._load_machine_types(recorded_machine_types(rows))
    load_cluster(lead.cluster, rows, steady(), time_of_day())
    assert "vm-000001" in lead.cluster.machines

    # Types that the cloud no longer lists stay recorded.
    async def new_catalog() -> dict[str, wire.MachineType]:
        return {"new": replace(TYPES["m8"], name="new")}

    lead.cloud_controller.cloud.catalog = new_catalog  # type: ignore[method-assign]
    await lead.cloud_controller.refresh_catalog()
    assert wire.decode_catalog(state.get(CATALOG_KEY)[1]["value"]).keys() == {"m8", "g16", "new"}
