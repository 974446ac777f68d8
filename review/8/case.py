"""A machine is back at once and a late copy of a carried-out start follows; no task may run in two places."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from emulators.smoke_test import job
from oatport.simulation.worker import Worker
from review.harness.deployment import Deployment, run_case

RUN_S = 80.0
COPY_AFTER_S = 0.05  # from the machine's return to the copy's arrival; the worker reports every 0.5 s
WATCHED_S = 20.0
TASK = "j-000002/0"
SERVICES = 6  # of higher priority, so that the task is moved to another machine


class CommandLog:
    """Keeps the direct commands that each worker executed, as a network may that delivers copies of them later."""

    def __init__(self, deployment: Deployment) -> None:
        self.executed: dict[str, list[dict[str, Any]]] = {}
        self._send_heartbeats = deployment.platform._send_heartbeats
        deployment.platform._send_heartbeats = self._attach_and_send  # type: ignore[method-assign]

    async def _attach_and_send(self, worker: Worker) -> None:
        execute = worker.commands

        def commands(body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
            status, report = execute(body)
            if status == 200:
                self.executed.setdefault(worker.name, []).append(body)
            return status, report

        worker.commands = commands  # type: ignore[method-assign]
        await self._send_heartbeats(worker)

    def start_of(self, task: str, machine: str) -> dict[str, Any]:
        """Returns the request that started a task on a machine, which was executed and answered."""
        bodies = self.executed[machine]
        return next(b for b in bodies if any(o["leg"] == task and o["orderKind"] == "start" for o in b["orders"]))


async def case(deployment: Deployment) -> bool:
    """Returns whether the task was never on two machines at the same time."""
    commands = CommandLog(deployment)
    platform = deployment.platform
    await deployment.start()

    def machines_of_task() -> set[str]:
        """Returns the machines on which the task is, by PROTOCOL: from when it has its image until it exits."""
        return {
            worker.name
            for worker in platform.workers.values()
            for key, attempt in worker.tasks.items()
            if key.task == TASK and attempt.is_on_machine
        }

    async def has_status(status: str) -> bool:
        return await deployment.status_of("j-000001") == status

    async def runs() -> bool:
        return bool(machines_of_task())

    # Two machines come up for a first job; the task then starts on one of them.
    await deployment.submit("n0", job("j-000001", "array", 2, 4.0) | {"cores": 8.0})
    await deployment.wait_for("the first job is done", lambda: has_status("done"), 30.0)
    await deployment.submit("n1", job("j-000002", "array", 1, RUN_S) | {"cores": 8.0, "urgency": "idle"})
    await deployment.wait_for("the task runs", runs, 20.0)
    first = min(machines_of_task())

    async def runs_elsewhere() -> bool:
        return bool(machines_of_task()) and first not in machines_of_task()

    service = {"cores": 8.0, "urgency": "production"}
    for number in range(SERVICES):
        await deployment.submit("n2", job(f"j-{100 + number:06d}", "standing", 1, 0.0) | service)
    await deployment.wait_for("the task was moved to another machine", runs_elsewhere, 40.0)
    await asyncio.sleep(2.0)
    worker = platform.workers.get(first)
    if deployment.trouble and worker is not None:
        copy = commands.start_of(TASK, first)
        worker.restart(reset_epoch=True)
        deployment.record.add(f"{first}: back at once, with session {worker.session} and token {worker.token}")
        await asyncio.sleep(COPY_AFTER_S)
        status, _ = Worker.commands(worker, copy)
        deployment.record.add(f"{first}: a late copy of {copy}: {status}")
    until = time.monotonic() + WATCHED_S
    most: set[str] = set()
    while time.monotonic() < until:
        most = max(most, machines_of_task(), key=len)
        await asyncio.sleep(0.1)
    deployment.record.add(f"{TASK} was on {sorted(most)} at the same time")
    return len(most) < 2


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
