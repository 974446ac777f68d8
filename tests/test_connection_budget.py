"""Tests the connection budget: connections as the cluster grows, and requests that are refused at the limit."""

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
    """Guards against 1,873 of 2,044 connections open at 929 machines.

    Each machine kept one open for its heartbeats, and each command kept one open for another 30 s.
    """
    budget = ConnectionBudget(sockets)
    for commands_per_s in (0.0, 3.0, 30.0, 300.0):
        idle_connections = budget.idle_timeout_us(machines, commands_per_s) / SECOND * commands_per_s
        # Connections for the commands of one second are always kept.
        assert idle_connections <= max(sockets * 0.72 - machines, 32, commands_per_s) + 1
    assert budget.idle_timeout_us(machines, 0.0) == MAX_IDLE_TIMEOUT
    assert budget.idle_timeout_us(machines, 3000.0) == MIN_IDLE_TIMEOUT
    assert budget.is_exhausted(sockets)
    assert budget.should_close_after_response(sockets - budget.concurrent_calls)
    assert not budget.should_close_after_response(machines)


async def test_a_node_at_its_connection_limit_accepts_heartbeats_and_refuses_users() -> None:
    node = Node(node_settings(), Tuning())
    handled_paths: list[str] = []

    class JobApi:
        async def handle(self, method: str, path: str, body: Any) -> Response:
            handled_paths.append(path)
            return Response(200)

    node.user_api = JobApi()  # type: ignore[assignment]
    node.state = FakeStateClient(KeyStore(lambda: 0))  # type: ignore[assignment]
    max_connections = node.settings.cluster.resources.sockets
    used_connections = 0
    node.net.open_connections = lambda: used_connections  # type: ignore[method-assign]
    user_request = ("GET", f"{wire.SUBMISSIONS_PATH}/j-000001", Body(None))
    assert (await node.handle(*user_request)).headers == {}  # type: ignore[arg-type]
    used_connections = max_connections - node.connection_budget.concurrent_calls - 10
    assert (await node.handle(*user_request)).headers == {"Connection": "close"}  # type: ignore[arg-type]
    used_connections = max_connections
    response = await node.handle(*user_request)  # type: ignore[arg-type]
    assert (response.status, response.headers["Connection"], len(handled_paths)) == (503, "close", 2)
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
        assert server.connection_count <= 1  # the last one may still be closing
        for _ in range(3):
            await net.client(address, ConnectionReuse.WHILE_SPARE).request("GET", "/show", timeout_us=SECOND)
        previous_client = net.client(address, ConnectionReuse.WHILE_SPARE)
        net.set_expected_load(929, 30.0)
        net.set_expected_load(929, 31.0)  # a small difference: the connections remain
        assert len(net._session_closers) == 1
        # Requests in flight on the previous client complete.
        for client in (previous_client, net.client(address, ConnectionReuse.WHILE_SPARE)):
            assert (await client.request("GET", "/show", timeout_us=SECOND))[0] == 200
    finally:
        await net.close()
        await server.close()
    session = make_session(16)
    with pytest.raises(NoResponseError):
        await HttpClient(session, address).request("GET", "/", timeout_us=SECOND)
    await session.close()
