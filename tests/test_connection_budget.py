"""A node's connections: what grows with the machines, and who is refused first when they run out."""

from __future__ import annotations

from typing import Any

import pytest

from oatport import wire
from oatport.api.server import BodyReader, Response, Server
from oatport.clients.http import ConnectionReuse, HttpClient, NoResponseError, make_session
from oatport.control.limits.connection_budget import MAX_IDLE_TIMEOUT, MIN_IDLE_TIMEOUT, ConnectionBudget
from oatport.service.network import HttpNetwork
from oatport.service.node import Node
from oatport.settings import Tuning
from oatport.simulation.state_service import KeyStore
from oatport.times import SECOND
from tests.cluster_fixture import FakeStateClient, node_settings
from tests.test_node_failures import Body


@pytest.mark.parametrize(("sockets", "machines"), [(2044, 929), (1515, 836), (1208, 929), (1087, 836), (600, 28)])
def test_a_leader_keeps_connections_free_for_all_workers_and_for_users_at_any_size(sockets: int, machines: int) -> None:
    """1,873 of 2,044 were held at 929 machines: one for the reports of each, and one kept for 30 s after a command."""
    budget = ConnectionBudget(sockets)
    for a_second in (0.0, 3.0, 30.0, 300.0):
        kept = budget.idle_timeout_us(machines, a_second) / SECOND * a_second
        assert kept <= max(sockets * 0.72 - machines, 32, a_second) + 1  # what is commanded within a second is kept
    assert budget.idle_timeout_us(machines, 0.0) == MAX_IDLE_TIMEOUT
    assert budget.idle_timeout_us(machines, 3000.0) == MIN_IDLE_TIMEOUT
    assert budget.is_exhausted(sockets)
    assert budget.should_close_after_response(sockets - budget.concurrent_calls)
    assert not budget.should_close_after_response(machines)


async def test_a_node_at_its_connection_limit_takes_heartbeats_and_refuses_users_at_once() -> None:
    node = Node(node_settings(), Tuning())
    asked: list[str] = []

    class JobApi:
        async def handle(self, method: str, path: str, body: Any) -> Response:
            asked.append(path)
            return Response(200)

    node.users = JobApi()  # type: ignore[assignment]
    node.state = FakeStateClient(KeyStore(lambda: 0))  # type: ignore[assignment]
    most = node.settings.cluster.resources.sockets
    held = 0
    node.net.open_connections = lambda: held  # type: ignore[method-assign]
    poll = ("GET", f"{wire.SUBMISSIONS_PATH}/j-000001", Body(None))
    assert (await node.handle(*poll)).headers == {}  # type: ignore[arg-type]
    held = most - node.connection_budget.concurrent_calls - 10
    assert (await node.handle(*poll)).headers == {"Connection": "close"}  # type: ignore[arg-type]
    held = most
    answer = await node.handle(*poll)  # type: ignore[arg-type]
    assert (answer.status, answer.headers["Connection"], len(asked)) == (503, "close", 2)
    assert (await node.handle("GET", wire.READY_PATH, Body(None))).status == 200  # type: ignore[arg-type]
    report = {
        "berth": "vm-000001",
        "address": "h:1",
        "berthKind": "m8",
        "harbor": "a",
        "driftwood": False,
        "watch": 1,
        "logline": 1,
        "helm": 0,
        "recallS": None,
        "legs": [],
    }
    assert (await node.handle("POST", wire.HEARTBEAT_PATH, Body(report))).status == 421  # type: ignore[arg-type]


async def test_idle_connections_to_workers_are_kept_while_the_budget_allows() -> None:
    async def handle(method: str, path: str, body: BodyReader) -> Response:
        return Response(200, {"path": path})

    server = Server("127.0.0.1:0", handle)
    await server.start()
    assert server._runner is not None
    address = f"127.0.0.1:{server._runner.addresses[0][1]}"
    net = HttpNetwork(2044)
    net.open()
    try:
        for _ in range(3):
            await net.client(address, ConnectionReuse.NEVER).request("GET", "/show", timeout_us=SECOND)
        assert server.connection_count <= 1  # the last may just be closing
        for _ in range(3):
            await net.client(address, ConnectionReuse.WHILE_SPARE).request("GET", "/show", timeout_us=SECOND)
        before = net.client(address, ConnectionReuse.WHILE_SPARE)
        net.set_expected_load(929, 30.0)
        net.set_expected_load(929, 31.0)  # hardly different: the connections stay
        assert len(net._replaced) == 1
        for client in (
            before,
            net.client(address, ConnectionReuse.WHILE_SPARE),
        ):  # what is under way on the one before goes on
            assert (await client.request("GET", "/show", timeout_us=SECOND))[0] == 200
    finally:
        await net.close()
        await server.close()
    session = make_session(16)
    with pytest.raises(NoResponseError):
        await HttpClient(session, address).request("GET", "/", timeout_us=SECOND)
    await session.close()
