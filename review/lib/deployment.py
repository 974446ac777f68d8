"""A small deployment on loopback: the project's nodes as processes, and stand-ins of the platform around them."""

from __future__ import annotations

import asyncio
import os
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any, TextIO

from review.lib.http import Client, Listener
from review.lib.state_service import StateService
from review.lib.worker import Worker

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ["lasnamae", "ulemiste"]

# The settings of DEPLOY, "The deploy file".
SETTINGS: dict[str, dict[str, float]] = {
    "workers": {"report_s": 1.5, "lease_s": 14.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": 39.0},
    "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 16},
    "cloud": {"rps": 2.0, "list_lag_s": 10.0},
    "resources": {"cpu_share": 0.75, "mem_mb": 146.0, "sockets": 900},
}


class CannotRunError(Exception):
    """The case could not be run, so nothing is shown."""


class Recorder:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def __call__(self, event: str, **fields: Any) -> None:
        """Writes one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.elapsed():8.3f} {event}: {text}\n")

    def elapsed(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def free_ports(count: int) -> list[int]:
    """Returns free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def job(job_id: str, **fields: Any) -> dict[str, Any]:
    """Returns a submission: an array of one short task, with the given fields changed."""
    return {
        "ref": job_id,
        "cargo": "vanroute",
        "crew": "fleetops",
        "rig": "array",
        "urgency": "normal",
        "legs": 1,
        "cores": 1.0,
        "accelerators": 0.0,
        "memoryGb": 1.0,
        "hull": "img-1",
        "sizeGb": 0.1,
        "berthKinds": None,
        "harbor": None,
        "samePlace": False,
        "spread": False,
        "driftwood": False,
        "voyageS": 2.0,
        "mooringS": 0.0,
        "stowS": 0.0,
        "tideS": None,
    } | fields


class Deployment:
    """Three nodes, a state service, a cloud with workers, and users."""

    def __init__(
        self,
        record: Recorder,
        *,
        machine_type: dict[str, Any],
        capacity: int,
        settings: dict[str, dict[str, float]] | None = None,
        teams: list[dict[str, Any]] | None = None,
    ) -> None:
        self.record = record
        names = dict.fromkeys([*SETTINGS, *(settings or {})])
        self.settings = {name: SETTINGS.get(name, {}) | (settings or {}).get(name, {}) for name in names}
        self.tuning = ""  # path of the operators' settings file for the nodes, if any
        self.teams = teams or [{"name": "fleetops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]
        self.machine_type, self.capacity = machine_type, capacity
        limits = self.settings["state"]
        self.refused: list[tuple[float, int, str]] = []  # time, size and error of the transactions that got 400
        self.state = StateService(
            limits["rps"], limits["write_rps"], limits["value_kb"], int(limits["txn_ops"]), self._on_refused
        )
        self.workers: dict[str, Worker] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.jobs: dict[str, dict[str, Any]] = {}  # all jobs that users tried to submit
        self.completed: set[str] = set()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        ports = free_ports(8)
        self._state_address, self._cloud_address = (f"127.0.0.1:{port}" for port in ports[:2])
        self.nodes = {f"berth-{i}": f"127.0.0.1:{ports[2 + i]}" for i in range(3)}
        self._internal = {f"berth-{i}": f"127.0.0.1:{ports[5 + i]}" for i in range(3)}
        self._listeners: list[Listener] = []
        self._boots: list[asyncio.Task[None]] = []
        self._rentals: dict[str, list[str]] = {}
        self._client = Client()

    def _on_refused(self, size: int, error: str) -> None:
        self.refused.append((self.record.elapsed(), size, error))
        self.record("state service answers 400", error=f"'{error}'", json_bytes=size)

    # --- lifecycle --------------------------------------------------------------------------

    async def start(self) -> None:
        """Starts the stand-ins and the nodes, and waits until all nodes are ready."""
        for handler, address in (
            (self.state.handle, self._state_address),
            (self._serve_cloud, self._cloud_address),
        ):
            listener = Listener(handler)
            await listener.start(address)
            self._listeners.append(listener)
        for index in range(3):
            self.start_node(index)
        await self.wait_for("all nodes are ready", self._are_ready, 20.0)

    def start_node(self, index: int) -> None:
        """Starts a node with the command of the deploy file."""
        name = f"berth-{index}"
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings_of(name), encoding="utf-8")
        command = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))["run"]
        environment = {**os.environ, "LOG_LEVEL": "info"}
        environment.pop("PYTHONPATH", None)
        environment.pop("OATPORT_TUNING", None)
        if self.tuning:
            environment["OATPORT_TUNING"] = self.tuning
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen([*shlex.split(command), str(path)], cwd=ROOT, stderr=log, env=environment)
        if index < len(self.processes):
            self.processes[index] = process
        else:
            self.processes.append(process)
        self.record("node started", node=name, pid=process.pid)

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for task in self._boots:
            task.cancel()
        for worker in list(self.workers.values()):
            await worker.close()
        for listener in self._listeners:
            await listener.close()
        await self._client.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def log_lines(self, text: str) -> list[str]:
        """Returns the lines with a text in the logs of the nodes, each with the node's name."""
        found = []
        for name in self.nodes:
            path = self.folder / f"{name}.log"
            lines = path.read_text(encoding="utf-8", errors="replace").splitlines() if path.exists() else []
            found += [f"{name} {line}" for line in lines if text in line]
        return found

    def _settings_of(self, name: str) -> str:
        zones = {node: ZONES[i % 2] for i, node in enumerate(self.nodes)}
        lines = [f'node_name = "{name}"', f'zone = "{zones[name]}"', f'bind = "{self.nodes[name]}"']
        lines.append(f'internal_addr = "{self._internal[name]}"')
        for peer in self.nodes:
            if peer != name:
                lines += ["[[peers]]", f'node_name = "{peer}"', f'zone = "{zones[peer]}"']
                lines.append(f'endpoint = "{self._internal[peer]}"')
        lines += ["[services]", f'cloud = "{self._cloud_address}"', f'state = "{self._state_address}"']
        lines += ["[cluster]", "size = 3", f"zones = {ZONES}", "clock_off_ms = 5.0"]
        for team in self.teams:
            lines += ["[[cluster.teams]]"] + [f"{key} = {value!r}" for key, value in team.items()]
        for section, values in self.settings.items():
            lines += [f"[cluster.{section}]"] + [f"{key} = {value}" for key, value in values.items()]
        return "\n".join(lines) + "\n"

    # --- the cloud --------------------------------------------------------------------------

    async def _serve_cloud(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        path = target.partition("?")[0]
        if path == "/catalog":
            return 200, {"berthKinds": [self.machine_type]}
        if path == "/hosts/release":
            for name in body["berths"]:
                await self._release(name)
            return 200, {}
        if path == "/hosts" and method == "POST":
            return self._rent(body)
        rows = [self.machines[name] for name in sorted(self.machines)]
        return 200, {
            "berths": [
                {k: v for k, v in row.items() if k != "at"} | {"ageS": time.monotonic() - row["at"]} for row in rows
            ],
            "hasNext": False,
        }

    def _rent(self, body: dict[str, Any]) -> tuple[int, Any]:
        if body["charter"] not in self._rentals:
            count = min(body["howMany"], 50, self.capacity - len(self.machines))
            if count <= 0:
                return 503, {"error": "no capacity"}
            self._rentals[body["charter"]] = [self._boot(body) for _ in range(count)]
        return 200, {"berths": self._rentals[body["charter"]]}

    def _boot(self, body: dict[str, Any]) -> str:
        name = f"vm-{len(self._boots):06d}"
        self.machines[name] = {
            "ref": name,
            "address": "",
            "berthKind": body["berthKind"],
            "harbor": body["harbor"],
            "driftwood": body["driftwood"],
            "status": "booting",
            "at": time.monotonic(),
        }
        self.record("rented", machine=name, kind=body["berthKind"], zone=body["harbor"])
        self._boots.append(asyncio.get_running_loop().create_task(self._run_machine(name)))
        return name

    async def _run_machine(self, name: str) -> None:
        await asyncio.sleep(self.machine_type["startupS"])
        machine = self.machines.get(name)
        if machine is None:
            return
        worker = Worker(
            machine,
            self.machine_type,
            self.nodes,
            self.settings["workers"],
            self.jobs.get,
            self.record,
            self.completed,
        )
        self.workers[name] = worker
        await worker.start()
        machine["status"] = "running"
        self.record("machine is up", machine=name, address=machine["address"])

    async def _release(self, name: str) -> None:
        if self.machines.pop(name, None) is None:
            return
        self.record("released", machine=name)
        worker = self.workers.pop(name, None)
        if worker is not None:
            await worker.close()

    # --- users ------------------------------------------------------------------------------

    async def request(
        self, method: str, path: str, body: Any = None, node: int = 0, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Sends a user's request to a node."""
        return await self._client.request(method, f"http://{self.nodes[f'berth-{node}']}{path}", body, timeout_s)

    async def submit(self, submission: dict[str, Any], node: int = 0, *, quiet: bool = False) -> bool:
        """Submits a job as a user does, with retries for up to 60 s at node after node; returns if it was accepted."""
        self.jobs[submission["ref"]] = submission
        deadline = time.monotonic() + 60.0
        while time.monotonic() < deadline:
            status, value = await self.request("POST", "/submissions", submission, node)
            if not quiet or status not in (200, 201):
                self.record("submission", job=submission["ref"], node=node, status=status, answer=value)
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            node = (node + 1) % 3
            await asyncio.sleep(1.0)
        return False

    async def show(self, job_id: str, node: int = 0) -> str:
        """Returns the status of a job as a node tells it to a user; "" if there is no answer."""
        status, value = await self.request("GET", f"/submissions/{job_id}", None, node, 2.0)
        return str(value["status"]) if status == 200 else ""

    async def cancel(self, job_id: str, node: int = 0) -> str:
        """Cancels a job as a user does, with retries for up to 60 s; returns what the answer says."""
        deadline = time.monotonic() + 60.0
        while time.monotonic() < deadline:
            status, value = await self.request("POST", f"/submissions/{job_id}/cancel", {}, node)
            self.record("cancellation", job=job_id, node=node, status=status, answer=value)
            if status == 200:
                return str(value["status"])
            node = (node + 1) % 3
            await asyncio.sleep(1.0)
        return ""

    async def _are_ready(self) -> bool:
        return all([(await self.request("GET", "/ready", None, i, 1.0))[0] == 200 for i in range(3)])

    async def wait_for(self, what: str, condition: Callable[[], Awaitable[bool]], timeout_s: float) -> None:
        """Waits until a condition holds; raises CannotRunError after the timeout."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await condition():
                self.record("reached", state=f"'{what}'")
                return
            await asyncio.sleep(0.2)
        raise CannotRunError(f"not reached in {timeout_s:.0f} s: {what}")


def run_case(folder: Path, case: Callable[[Recorder, bool], Coroutine[Any, Any, int]]) -> int:
    """Runs a case, with the disruption unless `TROUBLE=0`, and returns the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Recorder(folder / "record.txt")
    record("begin", trouble=int(trouble))
    try:
        code = asyncio.run(case(record, trouble))
    except CannotRunError as error:
        record("the case could not run", why=f"'{error}'")
        code = NOT_RUN
    except Exception as error:
        record("the case failed", error=repr(error))
        code = NOT_RUN
    record("end", exit=code)
    record.close()
    print(("the rule held", "the rule was broken", "the case could not run")[code])
    return code
