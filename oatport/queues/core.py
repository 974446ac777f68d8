"""The gateway's client of the scheduler: submits and cancels jobs over the HTTP API of the nodes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, Protocol

import aiohttp

from oatport import wire
from oatport.clients.http import HttpClient, NoResponseError
from oatport.times import SECOND

REQUEST_TIMEOUT = 5 * SECOND
MAX_CAUSE_LENGTH = 200


class SchedulerOutcome(Enum):
    """The outcomes of a request to the scheduler."""

    ACCEPTED = auto()  # by this request or an earlier one
    REFUSED = auto()  # permanently
    RETRY_LATER = auto()
    TERMINATED = auto()  # cancelled or terminated earlier; the job's record says which
    NOT_FOUND = auto()  # never accepted


@dataclass(frozen=True, slots=True)
class SchedulerResponse:
    """Holds the outcome of a request, the `cause` of a refusal, and `retry_after_s` for RETRY_LATER."""

    outcome: SchedulerOutcome
    cause: str = ""
    retry_after_s: float = 1.0


class SchedulerClient(Protocol):
    """The calls to the scheduler that the gateway makes."""

    async def submit(self, job: dict[str, Any]) -> SchedulerResponse:
        """Submits a job. The outcome is ACCEPTED, REFUSED or RETRY_LATER."""

    async def cancel(self, job_id: str) -> SchedulerResponse:
        """Cancels a job. The outcome is TERMINATED, NOT_FOUND or RETRY_LATER."""


class HttpSchedulerClient:
    """Submits and cancels jobs through one node, and changes to the next one if that does not respond or fails."""

    def __init__(self, session: aiohttp.ClientSession, nodes: tuple[str, ...]) -> None:
        self._nodes = [HttpClient(session, node) for node in nodes]
        self._current = 0

    async def _post(self, path: str, body: Any) -> tuple[int, Any]:
        for _ in self._nodes:
            node = self._nodes[self._current % len(self._nodes)]
            try:
                status, value = await node.request("POST", path, body, timeout_us=REQUEST_TIMEOUT)
            except NoResponseError:
                self._current += 1
                continue
            if status >= 500:
                self._current += 1  # the next request is sent to the next node
            return status, value
        return 503, None

    async def submit(self, job: dict[str, Any]) -> SchedulerResponse:
        """Submits a job. The outcome is ACCEPTED, REFUSED or RETRY_LATER."""
        status, value = await self._post(wire.SUBMISSIONS_PATH, job)
        if status in (200, 201):
            return SchedulerResponse(SchedulerOutcome.ACCEPTED)
        if status in (400, 422):
            cause = value.get("error") if isinstance(value, dict) else None
            return SchedulerResponse(SchedulerOutcome.REFUSED, str(cause or f"status {status}")[:MAX_CAUSE_LENGTH])
        return SchedulerResponse(SchedulerOutcome.RETRY_LATER)

    async def cancel(self, job_id: str) -> SchedulerResponse:
        """Cancels a job. The outcome is TERMINATED, NOT_FOUND or RETRY_LATER."""
        status, _ = await self._post(f"{wire.SUBMISSIONS_PATH}/{job_id}/cancel", None)
        if status == 200:
            return SchedulerResponse(SchedulerOutcome.TERMINATED)
        return SchedulerResponse(SchedulerOutcome.NOT_FOUND if status == 404 else SchedulerOutcome.RETRY_LATER)
