"""Case 1: a transaction of the leader exceeds 64 KiB, and no node can lead any more."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

from review.lib.deployment import BROKEN, HELD, CannotRunError, Deployment, Recorder, job, run_case

MACHINE_TYPE = {
    "label": "kask16",
    "cores": 16.0,
    "accelerators": 0.0,
    "memoryGb": 64.0,
    "cacheGb": 40.0,
    "fetchGbPerS": 0.4,
    "price": 1.11,
    "marketPrice": 0.44,
    "startupS": 2.0,
    "harbors": ["lasnamae", "ulemiste"],
}
SHARDS = 900
SUMMARIES = 10  # jobs that wait for all shards
WAIT_S = 90.0  # kit/more/hunt/LATER.md: no job is left waiting for 90 s while a machine that fits has room
LATEST_START_S = 24.0  # of the wait, so that the case ends within 120 s
# The 1,820 changes of the submissions would take too long at DEPLOY's rates. The limits on sizes are DEPLOY's.
RATES = {"state": {"rps": 400.0, "write_rps": 300.0}}


async def case(record: Recorder, trouble: bool) -> int:
    """Plays the case."""
    deployment = Deployment(record, machine_type=MACHINE_TYPE, capacity=2, settings=RATES)
    try:
        await deployment.start()
        return await play(deployment, record, trouble)
    finally:
        for line in deployment.log_lines("leadership") + deployment.log_lines("became leader"):
            record("log", line=line)
        await deployment.close()


async def play(deployment: Deployment, record: Recorder, trouble: bool) -> int:
    """Returns the exit code: whether jobs that were accepted after the cancellation ran within WAIT_S."""
    await check_deployment(deployment)
    # The shards need whole machines, and each machine has a replica of the service: they stay queued.
    shards = [f"j-{number:06d}" for number in range(1, SHARDS + 1)]
    await submit_all(deployment, [job(name, cores=16.0, voyageS=600.0) for name in shards])
    summaries = [f"j-{800000 + number:06d}" for number in range(SUMMARIES)]
    await submit_all(deployment, [job(name, waitsOn=shards) for name in summaries])
    record("all accepted", shards=SHARDS, summaries=SUMMARIES)
    if trouble:
        answer = await deployment.cancel(shards[0], 1)
        if answer != "aborted":
            raise CannotRunError(f"the cancellation was answered with {answer!r}")
        await asyncio.sleep(1.0)
    # Two plain jobs, which fit beside the replicas.
    names = ["j-900003", "j-900004"]
    await submit_all(deployment, [job(name) for name in names])
    if record.elapsed() > LATEST_START_S:
        raise CannotRunError("the submissions took too long")
    return await wait_for_jobs(deployment, record, names)


async def check_deployment(deployment: Deployment) -> None:
    """Starts a small service and runs a plain job, which shows that the deployment works."""
    service = job("j-900001", cargo="dockgate", rig="standing", urgency="production", legs=2, spread=True, voyageS=0.0)
    await submit_all(deployment, [service, job("j-900002")])

    async def is_done() -> bool:
        return await deployment.show("j-900002") == "done"

    await deployment.wait_for("the plain job is done", is_done, 25.0)


async def wait_for_jobs(deployment: Deployment, record: Recorder, names: list[str]) -> int:
    """Returns the exit code: whether accepted jobs of one task complete within WAIT_S."""
    accepted_at = time.monotonic()
    while time.monotonic() - accepted_at < WAIT_S:
        if all(f"{name}/0" in deployment.completed for name in names):
            record("the last jobs ran", after_s=f"{time.monotonic() - accepted_at:.1f}")
            return HELD
        await asyncio.sleep(0.5)
    free_cores = {name: worker.free_cores() for name, worker in deployment.workers.items()}
    kills = sum(worker.lease_kills for worker in deployment.workers.values())
    record("accepted jobs did not run", waited_s=WAIT_S, free_cores=free_cores, killed_by_lease=kills)
    for name in names:
        record("last answers", job=name, status=[await deployment.show(name, node) for node in range(3)])
    record("refused transactions", count=len(deployment.refused))
    return BROKEN if any(free >= 1.0 for free in free_cores.values()) else HELD


async def submit_all(deployment: Deployment, submissions: list[dict[str, Any]]) -> None:
    """Submits jobs, some at a time, to all nodes in turn."""
    slots = asyncio.Semaphore(60)

    async def submit(number: int, submission: dict[str, Any]) -> bool:
        async with slots:
            return await deployment.submit(submission, number % 3, quiet=len(submissions) > SUMMARIES)

    if not all(await asyncio.gather(*(submit(number, submission) for number, submission in enumerate(submissions)))):
        raise CannotRunError("a job was not accepted")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
