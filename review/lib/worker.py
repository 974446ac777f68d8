"""A stand-in of a worker, as PROTOCOL's "Workers -> controller nodes" and "Controller nodes -> workers" have it.

It runs arrays and services. Gangs and checkpoints are left out, as no case needs them.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from review.lib.http import Client, Listener

RESPONSE_TIMEOUT_S = 4.0
MIN_REPORT_INTERVAL_S = 0.5


@dataclass(slots=True)
class Attempt:
    """Holds one attempt of a task."""

    job: dict[str, Any]
    status: str = "pulling"
    cause: str = ""
    event_at: float = 0.0  # when the image is there, then when the task completes; 0: never


class Worker:
    """Runs the tasks of one machine, reports to the nodes and executes commands."""

    def __init__(
        self,
        machine: dict[str, Any],
        machine_type: dict[str, Any],
        nodes: dict[str, str],
        timing: dict[str, float],
        job_of: Callable[[str], dict[str, Any] | None],
        record: Callable[..., None],
        completed: set[str],
    ) -> None:
        self.machine, self.type, self.nodes, self.timing = machine, machine_type, nodes, timing
        self._job_of, self._record = job_of, record
        self._completed = completed  # tasks whose results are kept, shared by all machines
        self.name = str(machine["ref"])
        self.session, self.sequence, self.token = 1, 0, 0
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.images: set[str] = set()
        self.lease_started_at = time.monotonic()
        self.lease_kills = 0  # tasks that ended since the lease was not renewed
        self.reports_refused = 0  # reports answered with 413
        self._changed = asyncio.Event()
        self._client = Client()
        self._listener = Listener(self._serve)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> str:
        """Starts the worker and returns its address."""
        address = await self._listener.start("127.0.0.1:0")
        self.machine["address"] = address
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._run_tasks()), loop.create_task(self._report_loop())]
        return address

    async def close(self) -> None:
        """Ends the worker with all its tasks."""
        for task in self._tasks:
            task.cancel()
        self._kill("machine gone")
        await self._listener.close()
        await self._client.close()

    # --- tasks ------------------------------------------------------------------------------

    def running(self, job_id: str) -> int:
        """Returns how many tasks of a job run on the machine."""
        return sum(
            attempt.status == "running" and name.startswith(job_id + "/")
            for (name, _), attempt in self.attempts.items()
        )

    def free_cores(self) -> float:
        """Returns the cores that no task takes."""
        return float(self.type["cores"] - sum(a.job["cores"] for a in self.attempts.values() if a.status != "ended"))

    async def _run_tasks(self) -> None:
        while True:
            self._advance()
            await asyncio.sleep(0.05)

    def _advance(self) -> None:
        now = time.monotonic()
        if now - self.lease_started_at > self.timing["lease_s"]:
            self.lease_kills += self._kill("lease expired")
            self.session += 1
            self.lease_started_at = now
            self._changed.set()
        for (name, number), attempt in self.attempts.items():
            if attempt.status == "pulling" and now >= attempt.event_at:
                self.images.add(attempt.job["hull"])
                attempt.status, attempt.event_at = "running", 0.0
                if attempt.job["rig"] != "standing":
                    attempt.event_at = now + (0.0 if name in self._completed else attempt.job["voyageS"])
                self._record("on machine", machine=self.name, task=name, attempt=number)
                self._changed.set()
            elif attempt.status == "running" and attempt.event_at and now >= attempt.event_at:
                self._completed.add(name)
                self._exit(name, number, attempt, "done")

    def _exit(self, name: str, number: int, attempt: Attempt, cause: str) -> None:
        attempt.status, attempt.cause = "ended", cause
        self._record("exit", machine=self.name, task=name, attempt=number, cause=cause)
        self._changed.set()

    def _kill(self, why: str) -> int:
        live = [key for key, attempt in self.attempts.items() if attempt.status != "ended"]
        if live:
            self._record("killed", machine=self.name, tasks=len(live), first=live[0][0], why=why)
        self.attempts.clear()
        return len(live)

    # --- commands ---------------------------------------------------------------------------

    async def _serve(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        self._advance()
        if target == "/show":
            return 200, self._report()
        if target != "/commands":
            return 404, None
        if "helm" not in body or "watch" not in body:
            return 400, self._report()
        if body["helm"] < self.token or body["watch"] != self.session:
            return 409, self._report()
        self._see_token(body["helm"])
        self._execute(body["orders"])
        return 200, self._report()

    def _see_token(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self._changed.set()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["leg"], order["sailing"])
            attempt = self.attempts.get(key)
            if order["orderKind"] == "start" and attempt is None:
                self._start(*key)
            elif order["orderKind"] == "stop" and attempt is not None and attempt.status != "ended":
                self._exit(*key, attempt, "halted")
            elif order["orderKind"] == "forget" and attempt is not None and attempt.status == "ended":
                del self.attempts[key]

    def _start(self, name: str, number: int) -> None:
        job = self._job_of(name.split("/")[0])
        attempt = self.attempts[name, number] = Attempt(job or {})
        live = [(k, a) for k, a in self.attempts.items() if a is not attempt and a.status != "ended"]
        if job is None or int(name.split("/")[1]) >= job["legs"]:
            attempt.status, attempt.cause = "ended", "unknown"
        elif any(k[0] == name for k, _ in live):
            attempt.status, attempt.cause = "ended", "in_use"
        elif any(
            sum(a.job[field] for _, a in live) + job[field] > self.type[field] + 1e-6
            for field in ("cores", "accelerators", "memoryGb")
        ):
            attempt.status, attempt.cause = "ended", "full"
        else:
            fetch_s = 0.0 if job["hull"] in self.images else job["sizeGb"] / self.type["fetchGbPerS"]
            attempt.event_at = time.monotonic() + fetch_s
        self._changed.set()

    # --- reports ----------------------------------------------------------------------------

    def _report(self) -> dict[str, Any]:
        self.sequence += 1
        legs = []
        for (name, number), attempt in self.attempts.items():
            leg = {"leg": name, "sailing": number, "status": attempt.status}
            legs.append(leg | ({"wreckCause": attempt.cause} if attempt.cause else {}))
        return {
            "berth": self.name,
            "address": self.machine["address"],
            "berthKind": self.machine["berthKind"],
            "harbor": self.machine["harbor"],
            "driftwood": self.machine["driftwood"],
            "watch": self.session,
            "logline": self.sequence,
            "helm": self.token,
            "recallS": None,
            "legs": legs,
        }

    async def _report_loop(self) -> None:
        names = list(self.nodes)
        node = random.choice(names)
        while True:
            self._changed.clear()
            sent_at, session = time.monotonic(), self.session
            status, value = await self._client.request(
                "POST", f"http://{self.nodes[node]}/hello", self._report(), RESPONSE_TIMEOUT_S
            )
            named = value.get("harbormaster") if status == 421 and isinstance(value, dict) else None
            if status == 200:
                self._on_response(sent_at, session, value)
                await asyncio.sleep(MIN_REPORT_INTERVAL_S)
                rest = self.timing["report_s"] * random.uniform(0.75, 1.25) - MIN_REPORT_INTERVAL_S
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), max(rest, 0.001))
            elif named in self.nodes and named != node:
                node = named
                await asyncio.sleep(random.uniform(0.0, 0.5))
            else:
                if status == 413:
                    self.reports_refused += 1
                    self._record(
                        "report refused", machine=self.name, node=node, tasks=len(self.attempts), status=status
                    )
                node = names[(names.index(node) + 1) % len(names)]
                await asyncio.sleep(1.0)

    def _on_response(self, sent_at: float, session: int, value: Any) -> None:
        self._advance()
        if session != self.session or not isinstance(value, dict) or value.get("helm", -1) < self.token:
            return
        self._see_token(value["helm"])
        self.lease_started_at = max(self.lease_started_at, sent_at)
        self._execute(value.get("orders") or [])
