"""Runs the emulators as HTTP servers on loopback: state service, cloud and workers in one process.

    python3 -m emulators.serve --state 127.0.0.1:2379 --cloud 127.0.0.1:8443 \
        --nodes n0=127.0.0.1:8080,n1=127.0.0.1:8082,n2=127.0.0.1:8084
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import aiohttp
from aiohttp import web

from oatport import wire
from oatport.clients.http import HttpClient, NoResponseError, make_session
from oatport.simulation.cloud_service import MachineRegistry
from oatport.simulation.state_service import KeyStore
from oatport.simulation.worker import Worker

BOOT_DURATION_S = 0.5
HEARTBEAT_TIMEOUT_US = 4_000_000
MACHINE_TYPES: list[dict[str, Any]] = [
    {
        "label": "m8",
        "cores": 8.0,
        "accelerators": 0,
        "memoryGb": 32.0,
        "cacheGb": 50.0,
        "fetchGbPerS": 1.0,
        "price": 1.0,
        "marketPrice": 0.4,
        "startupS": 1,
        "harbors": ["a", "b"],
    }
]


def monotonic_us() -> int:
    """Returns the time of the monotonic clock in whole microseconds."""
    return time.monotonic_ns() // 1000


def _response(status: int, value: Any) -> web.Response:
    return web.Response(
        status=status, body=b"" if value is None else wire.encode(value), content_type=wire.CBOR_CONTENT_TYPE
    )


async def _listen(address: str, handler: Any) -> web.ServerRunner:
    host, _, port = address.rpartition(":")
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
    return runner


LATE_TRANSACTION_S = 2.0  # from the arrival of a late transaction to its execution


class TransactionFault(StrEnum):
    """Lists what may happen to a transaction of the state service (PROTOCOL, "Limits and errors")."""

    NONE = "none"
    REFUSED = "refused"  # 429
    UNANSWERED = "unanswered"  # executed, but the connection is lost
    LATE = "late"  # the connection is lost, and it is executed LATE_TRANSACTION_S later


class Emulators:
    """Serves the state service and the cloud at their addresses, and a worker for each rented machine.

    `nodes` maps the names of the nodes to their addresses; `transaction_fault` returns the fault of a transaction.
    """

    def __init__(self, state_address: str, cloud_address: str, nodes: dict[str, str], heartbeat_s: float = 0.5) -> None:
        self.state = KeyStore(monotonic_us)
        self.cloud = MachineRegistry(MACHINE_TYPES)
        self.cloud.on_rent = self._start_worker
        self.cloud.on_release = self.stop_worker
        self.nodes = nodes
        self._addresses = (state_address, cloud_address)
        self._heartbeat_s = heartbeat_s
        self._runners: list[web.ServerRunner] = []
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._worker_runners: dict[str, web.ServerRunner] = {}
        self.workers: dict[str, Worker] = {}
        self._session: aiohttp.ClientSession | None = None
        self.transaction_fault: Callable[[Any], TransactionFault] = lambda body: TransactionFault.NONE

    async def start(self) -> None:
        """Starts the servers of the state service and the cloud."""
        self._session = make_session(512)
        self._runners = [
            await _listen(self._addresses[0], self._serve_state),
            await _listen(self._addresses[1], self._serve_cloud),
        ]

    async def close(self) -> None:
        """Stops all workers and servers."""
        for task in self._tasks.values():
            task.cancel()
        for runner in [*self._runners, *self._worker_runners.values()]:
            await runner.cleanup()
        if self._session:
            await self._session.close()

    async def _serve_state(self, request: web.BaseRequest) -> web.Response:
        path, query = request.rel_url.path, request.rel_url.query
        raw = await request.read()
        body = wire.decode(raw) if raw else {}
        if path == wire.STORE_PATH:
            page = int(query.get("page", "1000"))
            return _response(*self.state.list(query.get("under", ""), query.get("from", ""), page))
        if path.startswith(wire.STORE_PATH + "/"):
            return _response(*self.state.get(path[len(wire.STORE_PATH) + 1 :]))
        if path == wire.COMMIT_PATH:
            return self._commit(request, body)
        if path == wire.LEASES_PATH:
            return _response(*self.state.grant_lease(int(body["lifeMs"])))
        if path.startswith(wire.LEASES_PATH):
            return _response(*self.state.renew_lease(int(path.split("/")[2])))
        if path == wire.WATCH_PATH:
            wait_us = int(query.get("waitMs", "0")) * 1000
            return await self._watch(query.get("under", ""), int(query["from"]), monotonic_us() + wait_us)
        return _response(404, None)

    def _commit(self, request: web.BaseRequest, body: Any) -> web.Response:
        fault = self.transaction_fault(body)
        if fault is TransactionFault.REFUSED:
            return _response(429, None)
        if fault is TransactionFault.LATE:
            asyncio.get_running_loop().call_later(LATE_TRANSACTION_S, self.state.commit, body)
            status, value = 503, None  # not received: the connection is closed
        else:
            status, value = self.state.commit(body)
        if fault is not TransactionFault.NONE and request.transport is not None:
            request.transport.abort()
        return _response(status, value)

    async def _watch(self, prefix: str, after: int, deadline: int) -> web.Response:
        """Returns the changes after a revision; waits for changes until `deadline` if there are none."""
        while True:
            status, value = self.state.changes(prefix, after)
            remaining_s = (deadline - monotonic_us()) / 1e6
            if value["news"] or remaining_s <= 0:
                return _response(status, value)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.state.changed.wait(), min(remaining_s, 0.2))

    async def _serve_cloud(self, request: web.BaseRequest) -> web.Response:
        path = request.rel_url.path
        raw = await request.read()
        body = wire.decode(raw) if raw else {}
        if path == wire.CATALOG_PATH:
            return _response(200, self.cloud.catalog())
        if path == wire.RELEASE_PATH:
            return _response(*self.cloud.release(body))
        if path == wire.MACHINES_PATH and request.method == "POST":
            return _response(*self.cloud.rent(body))
        if path == wire.MACHINES_PATH:
            return _response(*self.cloud.list())
        return _response(404, None)

    def _start_worker(self, machine: dict[str, Any]) -> None:
        name = machine["ref"]
        self._tasks[name] = asyncio.get_running_loop().create_task(self._run_worker(machine))

    def stop_worker(self, name: str) -> None:
        """Stops the worker of a machine and every task on the machine."""
        self.workers.pop(name, None)
        self._tasks.pop(name).cancel()
        runner = self._worker_runners.pop(name, None)
        if runner:
            task = asyncio.get_running_loop().create_task(runner.cleanup())
            self._tasks[f"{name} cleanup"] = task

    def _job(self, job_id: str) -> dict[str, Any] | None:
        item = self.state.items.get(f"jobs/{job_id}")
        return None if item is None else item[0]["job"]

    async def _run_worker(self, machine: dict[str, Any]) -> None:
        """Boots a machine, serves its worker's commands, and sends heartbeats until it is cancelled."""
        await asyncio.sleep(BOOT_DURATION_S)
        name = machine["ref"]

        async def handle(request: web.BaseRequest) -> web.Response:
            raw = await request.read()
            if request.rel_url.path == wire.WORKER_STATUS_PATH:
                return _response(200, worker.report())
            return _response(*worker.commands(wire.decode(raw)))

        runner = await _listen("127.0.0.1:0", handle)
        self._worker_runners[name] = runner
        machine["address"], machine["status"] = f"127.0.0.1:{runner.addresses[0][1]}", "running"
        worker = Worker(
            monotonic_us,
            name,
            machine["address"],
            machine["berthKind"],
            machine["harbor"],
            machine["driftwood"],
            MACHINE_TYPES[0]["cores"],
            self._job,
        )
        self.workers[name] = worker
        await self._send_heartbeats(worker)

    async def _send_heartbeats(self, worker: Worker) -> None:
        """Sends heartbeats to the leader that a 421 response names; after another failure, to the next node in turn."""
        names = list(self.nodes)
        node = random.choice(names)
        assert self._session is not None
        while True:
            sent_at, worker_epoch = monotonic_us(), worker.session
            try:
                status, value = await HttpClient(self._session, self.nodes[node]).request(
                    "POST", wire.HEARTBEAT_PATH, worker.report(), timeout_us=HEARTBEAT_TIMEOUT_US
                )
            except NoResponseError:
                status, value = 0, None
            if status == 200:
                worker.on_heartbeat_response(sent_at, worker_epoch, value)
                await asyncio.sleep(self._heartbeat_s)
            elif status == 421 and value.get("harbormaster") in self.nodes and value["harbormaster"] != node:
                node = value["harbormaster"]
            else:
                node = names[(names.index(node) + 1) % len(names)]
                await asyncio.sleep(1.0)


async def _main() -> None:
    parser = argparse.ArgumentParser(description="Emulate the state service, the cloud and workers on loopback.")
    parser.add_argument("--state", default="127.0.0.1:2379")
    parser.add_argument("--cloud", default="127.0.0.1:8443")
    parser.add_argument("--nodes", required=True, help="comma-separated name=host:port of each node")
    arguments = parser.parse_args()
    nodes = dict(item.split("=", 1) for item in arguments.nodes.split(","))
    emulators = Emulators(arguments.state, arguments.cloud, nodes)
    await emulators.start()
    try:
        await asyncio.Event().wait()
    finally:
        await emulators.close()


if __name__ == "__main__":
    asyncio.run(_main())
