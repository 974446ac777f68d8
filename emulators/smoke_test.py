"""Builds and starts oatport as deploy/service.toml specifies, with three nodes on loopback, and submits a few jobs.

The exit status is 0 only if a job was accepted and ran, a service was cancelled, and a job ran after the leader was
killed. All traffic stays on free ports of 127.0.0.1.
"""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from emulators.serve import Emulators
from oatport import wire
from oatport.clients.http import HttpClient, NoResponseError, make_session

ROOT = Path(__file__).resolve().parent.parent


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def settings(index: int, ports: list[int]) -> str:
    """Returns node `index`'s settings file; `ports`: state service, cloud, then bind and internal port of each node."""
    lines = [
        f'node_name = "n{index}"',
        f'zone = "{"ab"[index % 2]}"',
        f'bind = "127.0.0.1:{ports[2 + 2 * index]}"',
        f'internal_addr = "127.0.0.1:{ports[3 + 2 * index]}"',
    ]
    for other in range(3):
        if other != index:
            lines += [
                "[[peers]]",
                f'node_name = "n{other}"',
                f'zone = "{"ab"[other % 2]}"',
                f'endpoint = "127.0.0.1:{ports[3 + 2 * other]}"',
            ]
    lines += [
        "[services]",
        f'cloud = "127.0.0.1:{ports[1]}"',
        f'state = "127.0.0.1:{ports[0]}"',
        "[cluster]",
        "size = 3",
        'zones = ["a", "b"]',
        "clock_off_ms = 5.0",
        "[[cluster.teams]]",
        'name = "crew"',
        "cpus = 8.0",
        "cpus_max = 64.0",
        "[cluster.workers]",
        "report_s = 0.5",
        "lease_s = 10.0",
        "gang_wait_s = 20.0",
        "gang_peer_s = 4.0",
        "cancel_s = 30.0",
        "[cluster.state]",
        "rps = 200.0",
        "write_rps = 100.0",
        "value_kb = 32.0",
        "txn_ops = 16",
        "[cluster.cloud]",
        "rps = 10.0",
        "list_lag_s = 1.0",
        "[cluster.resources]",
        "cpu_share = 1.0",
        "mem_mb = 200.0",
        "sockets = 500",
    ]
    return "\n".join(lines) + "\n"


def job(job_id: str, kind: str, tasks: int, runtime_s: float) -> dict[str, Any]:
    """Returns a submission with the field names of the wire format."""
    return {
        "ref": job_id,
        "cargo": "smoke",
        "crew": "crew",
        "rig": kind,
        "urgency": "normal",
        "legs": tasks,
        "cores": 2.0,
        "accelerators": 0.0,
        "memoryGb": 1.0,
        "hull": "img",
        "sizeGb": 0.1,
        "berthKinds": None,
        "harbor": None,
        "samePlace": False,
        "spread": False,
        "driftwood": True,
        "voyageS": runtime_s,
        "mooringS": 0.0,
        "stowS": 0.0,
        "tideS": None,
    }


async def _wait_until(description: str, condition: Any, timeout_s: float = 30.0) -> None:
    """Waits until a condition is true. Exits after the timeout, so that the smoke test always ends."""
    for _ in range(int(timeout_s / 0.2)):
        try:
            if await condition():
                print(f"smoke: {description}")
                return
        except NoResponseError:
            pass
        await asyncio.sleep(0.2)
    raise SystemExit(f"smoke: FAILED, timed out after {timeout_s:.0f} s: {description}")


async def _run_scenario(ports: list[int], nodes: list[subprocess.Popen[bytes]]) -> None:
    session = make_session(64)
    clients = [HttpClient(session, f"127.0.0.1:{ports[2 + 2 * i]}") for i in range(3)]

    async def request(index: int, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        return await clients[index].request(method, path, body, timeout_us=5_000_000)

    async def is_ready() -> bool:
        return all([(await request(i, "GET", wire.READY_PATH))[0] == 200 for i in range(3)])

    async def is_accepted(job_id: str, kind: str, tasks: int, runtime_s: float, index: int) -> bool:
        return (await request(index, "POST", wire.SUBMISSIONS_PATH, job(job_id, kind, tasks, runtime_s)))[0] in (
            200,
            201,
        )

    async def has_status(job_id: str, wanted: str, index: int) -> bool:
        return bool((await request(index, "GET", f"{wire.SUBMISSIONS_PATH}/{job_id}"))[1].get("status") == wanted)

    try:
        await _wait_until("all nodes are ready", is_ready)
        await _wait_until("an array is accepted", lambda: is_accepted("j-000001", "array", 6, 1.0, 0))
        await _wait_until("another node reports that the array is done", lambda: has_status("j-000001", "done", 1))
        await _wait_until("a service is accepted", lambda: is_accepted("j-000002", "standing", 2, 0.0, 2))
        await _wait_until("the service runs", lambda: has_status("j-000002", "running", 0))
        cancelled = (await request(1, "POST", f"{wire.SUBMISSIONS_PATH}/j-000002/cancel"))[1]
        if cancelled != {"ref": "j-000002", "status": "aborted"}:
            raise SystemExit(f"smoke: FAILED, unexpected response to a cancellation: {cancelled}")
        unknown_status = (await request(0, "GET", f"{wire.SUBMISSIONS_PATH}/j-999999"))[0]
        if unknown_status != 404:
            raise SystemExit(f"smoke: FAILED, expected status 404 for an unknown job, got {unknown_status}")
        # Kill the leader, the only node that responds to a heartbeat with a status other than 421.
        leader = await _find_leader(request)
        nodes[leader].kill()
        print(f"smoke: killed the leader, n{leader}")
        other = (leader + 1) % 3
        await _wait_until("a second array is accepted", lambda: is_accepted("j-000003", "array", 4, 0.5, other))
        await _wait_until(
            "the second array is done under a new leader", lambda: has_status("j-000003", "done", (leader + 2) % 3)
        )
    finally:
        await session.close()


async def _find_leader(request: Any) -> int:
    # The heartbeat does not affect a leader, because neither the worker nor its machine type exists.
    heartbeat = {
        "berth": "vm-none",
        "address": "127.0.0.1:1",
        "berthKind": "none",
        "harbor": "a",
        "driftwood": False,
        "watch": 1,
        "logline": 1,
        "helm": 0,
        "recallS": None,
        "legs": [],
    }
    for index in range(3):
        if (await request(index, "POST", wire.HEARTBEAT_PATH, heartbeat))[0] == 200:
            return index
    raise SystemExit("smoke: FAILED, no node leads")


async def _main() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    subprocess.run(["sh", "-c", deploy["build"]], cwd=ROOT, check=True)
    ports = _free_ports(8)
    names = {f"n{i}": f"127.0.0.1:{ports[2 + 2 * i]}" for i in range(3)}
    emulators = Emulators(f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}", names)
    await emulators.start()
    nodes: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        log = open(Path(folder) / "log", "wb+")
        environment = {**os.environ, "LOG_LEVEL": "info"}
        try:
            for index in range(3):
                path = Path(folder) / f"n{index}.toml"
                path.write_text(settings(index, ports))
                command = [*shlex.split(deploy["run"]), str(path)]
                nodes.append(subprocess.Popen(command, cwd=ROOT, stderr=log, env=environment))
            await _run_scenario(ports, nodes)
            exited = [n.args for i, n in enumerate(nodes) if n.poll() is not None]
            if len(exited) > 1:
                raise SystemExit(f"smoke: FAILED, processes ended unexpectedly: {json.dumps(exited)}")
        except BaseException:
            log.seek(0)
            sys.stderr.write(log.read().decode(errors="replace")[-6000:])
            raise
        finally:
            for node in nodes:
                node.kill()
                node.wait()
            await emulators.close()
    print("smoke: passed")


if __name__ == "__main__":
    asyncio.run(_main())
