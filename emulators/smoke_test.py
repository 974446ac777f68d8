"""Build and start the program as deploy/service.toml says, three nodes on loopback, and use it once.

Ends with 0 only if a job was accepted, ran, and a service was cancelled, and the leader's death was
survived. All traffic stays on 127.0.0.1, on free ports.
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
    """The platform's file for node `index`; ports: state, cloud, then bind and internal of each node."""
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
    """A submission in the wire's own terms."""
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


async def _until(what: str, probe: Any, limit_s: float = 30.0) -> None:
    """Wait for a condition to come true; bounded, so that the smoke run always ends."""
    for _ in range(int(limit_s / 0.2)):
        try:
            if await probe():
                print(f"smoke: {what}")
                return
        except NoResponseError:
            pass
        await asyncio.sleep(0.2)
    raise SystemExit(f"smoke: FAILED, did not happen in {limit_s:.0f} s: {what}")


async def _run_scenario(ports: list[int], nodes: list[subprocess.Popen[bytes]]) -> None:
    session = make_session(64)
    clients = [HttpClient(session, f"127.0.0.1:{ports[2 + 2 * i]}") for i in range(3)]

    async def ask(index: int, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        return await clients[index].request(method, path, body, timeout_us=5_000_000)

    async def ready() -> bool:
        return all([(await ask(i, "GET", wire.READY_PATH))[0] == 200 for i in range(3)])

    async def accepted(job_id: str, kind: str, tasks: int, runtime_s: float, index: int) -> bool:
        return (await ask(index, "POST", wire.SUBMISSIONS_PATH, job(job_id, kind, tasks, runtime_s)))[0] in (200, 201)

    async def status(job_id: str, wanted: str, index: int) -> bool:
        return bool((await ask(index, "GET", f"{wire.SUBMISSIONS_PATH}/{job_id}"))[1].get("status") == wanted)

    try:
        await _until("all nodes are ready", ready)
        await _until("an array is accepted", lambda: accepted("j-000001", "array", 6, 1.0, 0))
        await _until("the array is done, says another node", lambda: status("j-000001", "done", 1))
        await _until("a service is accepted", lambda: accepted("j-000002", "standing", 2, 0.0, 2))
        await _until("the service runs", lambda: status("j-000002", "running", 0))
        stopped = (await ask(1, "POST", f"{wire.SUBMISSIONS_PATH}/j-000002/cancel"))[1]
        if stopped != {"ref": "j-000002", "status": "aborted"}:
            raise SystemExit(f"smoke: FAILED, cancel said {stopped}")
        strange = (await ask(0, "GET", f"{wire.SUBMISSIONS_PATH}/j-999999"))[0]
        if strange != 404:
            raise SystemExit(f"smoke: FAILED, an unknown job got {strange}")
        # Kill the leader: the one node that answers heartbeats with something other than 421.
        leader = await _leader(ask)
        nodes[leader].kill()
        print(f"smoke: killed the leader, n{leader}")
        other = (leader + 1) % 3
        await _until("another array is accepted", lambda: accepted("j-000003", "array", 4, 0.5, other))
        await _until("and done under a new leader", lambda: status("j-000003", "done", (leader + 2) % 3))
    finally:
        await session.close()


async def _leader(ask: Any) -> int:
    # A heartbeat of a worker that doesn't exist, of a type that doesn't either: harmless to a leader.
    report = {
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
        if (await ask(index, "POST", wire.HEARTBEAT_PATH, report))[0] == 200:
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
            ended = [n.args for i, n in enumerate(nodes) if n.poll() is not None]
            if len(ended) > 1:
                raise SystemExit(f"smoke: FAILED, processes ended by themselves: {json.dumps(ended)}")
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
