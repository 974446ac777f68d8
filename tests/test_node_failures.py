"""Tests nodes and leaders during failures of the state service, of peers and of the cloud."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from msgspec.structs import replace

from oatport import wire
from oatport.api.heartbeat_api import handle_heartbeat
from oatport.clients.http import NoResponseError, RequestRefusedError
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
from oatport.simulation.cloud_service import MachineRegistry
from oatport.simulation.deployment import CATALOG
from oatport.simulation.state_service import KeyStore
from oatport.times import SECOND, steady, time_of_day
from tests.cluster_fixture import TYPES, FakeStateClient, UnreachableNetwork, node_settings


class Body:
    """A request body that passes through the encoder and the decoder."""

    def __init__(self, value: Any) -> None:
        self.value = value

    async def read(self) -> Any:
        """Returns the decoded body."""
        return wire.decode(wire.encode(self.value))


class FakePeer:
    """A peer that gives a fixed reply, or is unreachable if the reply is None."""

    def __init__(self, reply: list[Any] | None, name: str = "n1") -> None:
        self.reply, self.name = reply, name

    async def ask(self, request: PeerMessage, decode: Callable[[PeerArray], Any], *, timeout_us: int = 0) -> Any:
        """Returns the decoded reply."""
        if self.reply is None:
            raise NoResponseError("unreachable")
        return decode_reply(self.reply, decode)

    async def notify(self, request: PeerMessage) -> None:
        """Sends a message and ignores the reply."""
        await self.ask(request, ignore_reply)


async def peer_reply(node: Node, message: list[Any]) -> list[Any]:
    """Returns a node's reply to a message of another node."""
    response = await node.peer_api().handle("POST", wire.PEER_PATH, Body(message))  # type: ignore[arg-type]
    assert response.status == 200
    return response.value  # type: ignore[no-any-return]


class FakeLeadingNode:
    """The calls of Node that a leader uses; records in `step_down_reasons` why it stepped down."""

    def __init__(self) -> None:
        self.types = dict(TYPES)
        self.peers: dict[str, Any] = {}
        self.job_progress: dict[str, tuple[int, int]] = {}
        self.node_name, self.boot_id = "n0", "boot"
        self.step_down_reasons: list[str] = []

    def step_down(self, reason: str) -> None:
        """Records the reason."""
        self.step_down_reasons.append(reason)

    async def completions_before(self, token: int) -> EarlierCompletions:
        """Returns a complete list without completions."""
        return EarlierCompletions([], complete=True)

    def peer_contact_times(self) -> dict[str, list[int]]:
        """Returns no contact times."""
        return {}

    def mark_workers_unreachable(self, addresses: list[str]) -> None:
        """Does nothing."""


def leader(state: KeyStore) -> tuple[Leader, FakeStateClient, FakeLeadingNode]:
    """Returns a loaded leader without running loops, with its state client and its node."""
    token = state.commit({"if": [], "then": [{"set": LEADER_KEY, "value": {"node": "n0"}}]})[1]["ledgerRev"]
    client, leading_node = FakeStateClient(state), FakeLeadingNode()
    lead = Leader(leading_node, node_settings(), Tuning(), UnreachableNetwork(), client, token, 1, steady())  # type: ignore[arg-type]
    lead.loaded = True
    return lead, client, leading_node


@pytest.fixture
def state() -> KeyStore:
    """Returns an empty state service."""
    return KeyStore(lambda: 0)


async def test_a_handover_is_accepted_only_while_the_state_service_answers(state: KeyStore) -> None:
    """Guards against a handover, at the start of an outage, to a node that had lost the state service as well."""
    node = Node(node_settings(), Tuning())
    client = FakeStateClient(state)
    node.state = client  # type: ignore[assignment]
    client.faults = ["refuse"]
    assert await peer_reply(node, ["handover", 5]) == ["no"]
    assert await peer_reply(node, ["handover", 5]) == ["ok"]
    # A node that has just lost contact with the workers refuses as well; a leader once handed over to such a node.
    node.mark_workers_unreachable(["h:1"])
    assert await peer_reply(node, ["handover", 6]) == ["no"]


async def test_a_leaders_commit_with_a_lost_response_is_resolved(state: KeyStore) -> None:
    lead, client, leading_node = leader(state)
    client.faults = ["lose"]
    batch = WriteBatch(conditions={"live/j-1/0000": 0}, sets={"live/j-1/0000": {"t": [[1]]}})
    await lead.commits.commit(batch)
    assert leading_node.step_down_reasons == []
    assert lead.cluster.writes.versions["live/j-1/0000"] == state.revision


async def test_a_delayed_leader_commit_cannot_be_applied_twice(state: KeyStore) -> None:
    lead, client, leading_node = leader(state)
    client.faults = ["late"]
    await lead.commits.commit(WriteBatch(conditions={"fleet/000000": 0}, sets={"fleet/000000": {"m": []}}))
    assert leading_node.step_down_reasons == []
    assert client.deliver_delayed() == [409]


async def test_a_deposed_leader_stops(state: KeyStore) -> None:
    lead, _, leading_node = leader(state)
    state.commit({"if": [], "then": [{"set": LEADER_KEY, "value": {"node": "n1"}}]})
    await lead.commits.commit(WriteBatch(conditions={"fleet/000000": 0}, sets={"fleet/000000": {"m": []}}))
    assert leading_node.step_down_reasons
    assert not lead.heartbeats.may_answer()


async def survey(lead: Leader) -> PeerSurvey:
    """Returns the result of a survey of the leader's peers."""
    return await lead.cloud_controller.failure_detector.reachability.survey_peers([])


async def test_no_machine_is_released_without_contact_to_the_state_service_and_most_peers(state: KeyStore) -> None:
    """A partition may deliver a release request minutes later, when another leader uses the machines."""
    lead, client, leading_node = leader(state)
    client.faults = ["refuse", "lose"]
    assert not await lead.cloud_controller.failure_detector.reachability.verify_leadership()
    assert not await lead.cloud_controller.failure_detector.reachability.verify_leadership()
    assert await lead.cloud_controller.failure_detector.reachability.verify_leadership()
    leading_node.peers = {"n1": FakePeer(None)}
    assert await survey(lead) == PeerSurvey(None, False)  # a peer that does not reply proves nothing
    leading_node.peers = {"n1": FakePeer(["seen", 3, True])}
    assert await survey(lead) == PeerSurvey(None, False)
    leading_node.peers = {"n1": FakePeer(["seen", 0, True])}
    assert await survey(lead) == PeerSurvey(None, True)


async def test_a_node_in_a_partitioned_zone_does_not_delay_the_release(state: KeyStore) -> None:
    """Guards against replacing the tasks of a zone that is partitioned with its node two minutes late."""
    lead, _, leading_node = leader(state)
    reaches_none, silent, reaches_one = FakePeer(["seen", 0, True]), FakePeer(None), FakePeer(["seen", 1, True])
    leading_node.peers = {"n1": reaches_none, "n2": silent}
    assert await survey(lead) == PeerSurvey(None, True)  # two of the three nodes do not reach the machines
    leading_node.peers = {"n1": silent, "n2": silent}
    assert await survey(lead) == PeerSurvey(None, False)  # more likely, this node itself is partitioned
    leading_node.peers = {"n1": reaches_none, "n2": reaches_one}
    assert await survey(lead) == PeerSurvey(None, False)


async def test_more_machines_than_a_request_may_name_are_released_in_several(state: KeyStore) -> None:
    """Guards against a refused release after many machines were lost at once, whose tasks then wait."""
    lead, _, _ = leader(state)
    registry = MachineRegistry(CATALOG, 250)
    names = [registry.add("m8", "a", spot=True) for _ in range(250)]

    async def release(machine_names: list[str]) -> None:
        status, value = registry.release({"berths": machine_names})
        if status != 200:
            raise RequestRefusedError(status, value)

    lead.cloud_controller.cloud.release = release  # type: ignore[method-assign]
    for name in names:
        lead.cluster.add_machine(name, "m8", "a", True, "h:1", steady(), time_of_day())
    await lead.cloud_controller.release(list(lead.cluster.machines.values()), "taken")
    assert not lead.cluster.machines
    assert not registry.machines


async def test_in_an_outage_tasks_keep_running_but_none_starts(state: KeyStore) -> None:
    lead, client, _ = leader(state)
    now = steady()
    client.last_success_at, client.last_failure_at = now - 5 * SECOND, now
    lead.lease_renewal_limit.cancellations_read_at = now - 5 * SECOND
    report = wire.Heartbeat("vm-000001", "h:1", "m8", "a", False, 1, 1, lead.token, [])
    response = lead.answer_heartbeat(report)
    assert response is not None
    assert response["helm"] == lead.token
    assert all(order["orderKind"] != "start" for order in response["orders"])
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
    response = await handle_heartbeat(node, "POST", Body(report))  # type: ignore[arg-type]
    assert (response.status, response.value) == (421, {"harbormaster": "n1"})
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
    """Guards against coroutines of a deposed leader that are never awaited; pytest turns that warning into an error."""
    group, ran = BackgroundTasks(), []

    async def work() -> None:
        ran.append(1)

    group.spawn("work", work())
    group.close()
    group.spawn("late", work())
    await asyncio.sleep(0.01)
    assert ran == []


async def test_a_rental_without_a_response_is_repeated_under_its_request_id_which_is_never_reused(
    state: KeyStore,
) -> None:
    lead, _, _ = leader(state)
    request_ids: list[str] = []

    class Cloud:
        async def rent(self, request: str, *rest: Any) -> list[str]:
            request_ids.append(request)
            if len(request_ids) == 1:
                raise NoResponseError("lost")
            return [f"vm-{len(request_ids):06d}"]

    lead.cloud_controller.cloud = Cloud()  # type: ignore[assignment]
    for _ in range(2):
        rental = ScaleOutRequest("m8", "a", True, 1)
        lead.cloud_controller.capacity_planner.availability.requests_in_flight.append(rental)
        await lead.cloud_controller.rent(rental)
    assert request_ids == [f"r-{lead.token}-1", f"r-{lead.token}-1", f"r-{lead.token}-2"]
    assert sorted(lead.cluster.machines) == ["vm-000002", "vm-000003"]


async def test_a_machine_to_be_released_is_sent_stops_for_its_running_tasks(state: KeyStore) -> None:
    """Guards against a machine whose leases are renewed, without stop commands, until the cloud answers its release."""
    lead, _, _ = leader(state)
    lead.lease_renewal_limit.cancellations_read_at = lead.leader_lease.renewal_requested_at = steady()
    # A task, for example, of a cancelled job that has ended.
    rows = [wire.TaskReport("j-000001/0", 1, wire.TaskStatus.RUNNING)]
    report = wire.Heartbeat("vm-000001", "h:1", "m8", "a", False, 1, 1, lead.token, rows)
    assert lead.answer_heartbeat(report) is not None
    lead.cluster.machines["vm-000001"].releasing = True
    response = lead.answer_heartbeat(wire.Heartbeat("vm-000001", "h:1", "m8", "a", False, 1, 2, lead.token, rows))
    assert response is not None
    assert [(order["orderKind"], order["leg"]) for order in response["orders"]] == [("stop", "j-000001/0")]


async def test_a_leader_without_a_catalog_reads_the_recorded_one_and_loses_no_machine(state: KeyStore) -> None:
    """Guards against task loss when a node restarts quickly and leads at once while the cloud is down.

    Without the recorded catalog, the leader took all machines for lost and started their tasks again elsewhere.
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
