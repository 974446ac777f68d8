"""Starts nodes and gateways as separate processes, with the project's own stand-ins around them, all on loopback."""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from aiohttp import web

from emulators.serve import Emulators
from emulators.smoke_test import _free_ports, settings
from oatport import wire
from oatport.clients.http import HttpClient, NoResponseError, make_session
from oatport.simulation.worker import Worker

ROOT = Path(__file__).resolve().parents[2]
RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2
CASE_TIMEOUT_S = 112.0
POLL_INTERVAL_S = 0.2
NODE_COUNT = 3


class CouldNotRunError(Exception):
    """The case can't tell whether the rule holds: something that it depends on did not come about."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Adds a line."""
        self._file.write(f"{time.monotonic() - self._started_at:7.2f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Platform(Emulators):
    """Serves the state service, the cloud and the workers, and records what the workers run.

    `state_fault` is awaited for each request to the state service, with its path and body; a response that it returns
    is sent instead of the service's own.
    """

    def __init__(self, record: Record, state: str, cloud: str, nodes: dict[str, str]) -> None:
        super().__init__(state, cloud, nodes)
        self.cloud.on_release = self._on_release
        self.record = record
        self.runs: list[tuple[float, str, int, str]] = []  # time, task, attempt, "begins" or why it ended
        self.state_fault: Callable[[str, Any], Awaitable[web.Response | None]] | None = None

    async def _serve_state(self, request: web.BaseRequest) -> web.Response:
        if self.state_fault is not None:
            raw = await request.read()
            response = await self.state_fault(request.rel_url.path, wire.decode(raw) if raw else {})
            if response is not None:
                return response
        return await super()._serve_state(request)

    def _on_release(self, name: str) -> None:
        worker = self.workers.get(name)
        if worker is not None:
            worker.kill("released")
        self.stop_worker(name)

    async def _send_heartbeats(self, worker: Worker) -> None:
        worker.on_task_started = lambda of, task, attempt: self._on_run(of, task, attempt, "begins")
        worker.on_task_stopped = self._on_run
        await super()._send_heartbeats(worker)

    def _on_run(self, worker: Worker, task: str, attempt: int, what: str) -> None:
        self.runs.append((time.monotonic(), task, attempt, what))
        self.record.add(f"worker {worker.name}: {task} attempt {attempt} {what}")


class Deployment:
    """Holds the processes and stand-ins of one case. `trouble` is False if the case runs without its disruption."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.session = make_session(256)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._ports = _free_ports(2 + 2 * NODE_COUNT)
        self.addresses = {f"n{i}": f"127.0.0.1:{self._ports[2 + 2 * i]}" for i in range(NODE_COUNT)}
        self.state_address, self.cloud_address = (f"127.0.0.1:{port}" for port in self._ports[:2])
        self.platform = Platform(self.record, self.state_address, self.cloud_address, self.addresses)
        self.gateway_changes_per_s, self.gateway_requests_per_s = 40, 50  # as in `deploy/queues.ini`
        self.tuning = ""  # text of the operators' settings of the nodes
        self._run_command = shlex.split(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"])

    async def start(self) -> None:
        """Starts the stand-ins and the nodes, and waits until all nodes are ready and one of them leads."""
        await self.platform.start()
        for index, name in enumerate(self.addresses):
            path = self.folder / f"{name}.toml"
            path.write_text(self.change_settings(settings(index, self._ports)))
            self.start_node(name)
        await self.wait_for("all nodes are ready", self._are_ready, 30.0)
        await self.wait_for("a node leads", self._has_leader, 30.0)

    def change_settings(self, text: str) -> str:
        """Returns the settings of a node; a case may replace this method."""
        return text

    def start_node(self, name: str) -> None:
        """Starts a node's process with the command of the deploy file."""
        environment = {**os.environ, "LOG_LEVEL": "info"}
        if self.tuning:
            (self.folder / "tuning.ini").write_text(self.tuning)
            environment["OATPORT_TUNING"] = str(self.folder / "tuning.ini")
        self._start(name, [*self._run_command, str(self.folder / f"{name}.toml")], environment)

    def start_gateway(self, name: str, config: str) -> None:
        """Starts a gateway's process; `config` is the text of its settings."""
        path = self.folder / f"{name}.ini"
        path.write_text(config)
        program = [part for part in self._run_command if not part.startswith("--")]
        self._start(name, [*program, "queues", "--config", str(path)], {**os.environ, "LOG_LEVEL": "debug"})

    def gateway_config(self, name: str, broker_port: int, queue: str) -> str:
        """Returns the settings of a gateway as in `deploy/queues.ini`; `queue` is the section of its queue."""
        return (
            f"[gateway]\nname = {name}\nstate = {self.state_address}\nnodes = {', '.join(self.addresses.values())}\n"
            f"changes_per_s = {self.gateway_changes_per_s}\nrequests_per_s = {self.gateway_requests_per_s}\n"
            f"[broker]\nhost = 127.0.0.1\nport = {broker_port}\nuser = guest\n"
            "[queue moves]\n" + queue + "\njob.job_class = moves\njob.team = crew\njob.image = img-1\njob.cpus = 1\n"
            "job.memory_gb = 1\n"
        )

    def _start(self, name: str, command: list[str], environment: dict[str, str]) -> None:
        self.record.add(f"{name}: started")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(command, cwd=ROOT, stderr=log, stdout=log, env=environment)

    def log_of(self, name: str) -> str:
        """Returns what a process has logged."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of this case."""
        self.record.add(f"{name}: {number.name}")
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process of this case and waits for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    async def close(self) -> None:
        """Ends everything that the case has started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        await self.platform.close()
        await self.session.close()
        self.record.close()
        self._temporary.cleanup()

    # --- requests of users --------------------------------------------------------------------

    async def request(
        self, node: str, method: str, path: str, body: Any = None, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Sends a request to a node; the status is 0 if no response came."""
        client = HttpClient(self.session, self.addresses[node])
        try:
            status, value = await client.request(method, path, body, timeout_us=round(timeout_s * 1e6))
        except NoResponseError as error:
            status, value = 0, type(error).__name__
        if path != wire.READY_PATH:
            self.record.add(f"{method} {path} at {node}: {status} {value}")
        return status, value

    async def submit(self, node: str, job: dict[str, Any]) -> None:
        """Submits a job until it is accepted, as users do."""
        for _ in range(30):
            status, _ = await self.request(node, "POST", wire.SUBMISSIONS_PATH, job)
            if status in (200, 201):
                return
            await asyncio.sleep(1.0)
        raise CouldNotRunError(f"{job['ref']} was not accepted")

    async def status_of(self, job_id: str, node: str = "n0") -> str:
        """Returns a job's status as a node shows it, or the HTTP status if that is not 200."""
        status, value = await self.request(node, "GET", f"{wire.SUBMISSIONS_PATH}/{job_id}", timeout_s=2.0)
        return str(value["status"]) if status == 200 else str(status)

    async def _are_ready(self) -> bool:
        return all([(await self.request(name, "GET", wire.READY_PATH))[0] == 200 for name in self.addresses])

    async def _has_leader(self) -> bool:
        return self.leader() is not None

    def leader(self) -> str | None:
        """Returns the name of the node that holds the leader key."""
        self.platform.state.expire()
        entry = self.platform.state.items.get("leader")
        return str(entry[0]["node"]) if entry is not None else None

    async def wait_for(self, what: str, condition: Callable[[], Awaitable[bool]], timeout_s: float) -> None:
        """Waits until a condition holds. Raises CouldNotRunError after the timeout."""
        if not await self.holds_within(condition, timeout_s):
            raise CouldNotRunError(f"not within {timeout_s:.0f} s: {what}")
        self.record.add(what)

    async def holds_within(self, condition: Callable[[], Awaitable[bool]], timeout_s: float) -> bool:
        """Returns whether a condition holds at some time before the timeout."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await condition():
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False


def run_case(folder: Path, case: Callable[[Deployment], Awaitable[bool]]) -> None:
    """Runs a case, which returns whether the rule held, and exits with 0 if it did, 1 if not, 2 if it couldn't run."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        deployment = Deployment(folder)
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                held = await case(deployment)
        except (CouldNotRunError, TimeoutError, asyncio.CancelledError) as error:
            deployment.record.add(f"could not run: {type(error).__name__} {error}")
            return COULD_NOT_RUN
        else:
            deployment.record.add("the rule held" if held else "the rule was broken")
            return RULE_HELD if held else RULE_BROKEN
        finally:
            await deployment.close()

    try:
        status = asyncio.run(run())
    except Exception as error:
        print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
        status = COULD_NOT_RUN
    print(f"exit {status}", file=sys.stderr)
    sys.exit(status)
