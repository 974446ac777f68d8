"""The scheduling core as the gateway uses it: the users' interface of the nodes."""

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


class CoreOutcome(Enum):
    """What became of a request."""

    ACCEPTED = auto()  # now or before
    REFUSED = auto()  # for good
    RETRY_LATER = auto()
    TERMINATED = auto()  # cancelled or terminated before: its record tells
    NOT_FOUND = auto()  # never accepted


@dataclass(frozen=True, slots=True)
class CoreResponse:
    """The outcome; `cause` of a refusal, `retry_after_s` if it is RETRY_LATER."""

    outcome: CoreOutcome
    cause: str = ""
    retry_after_s: float = 1.0


class Core(Protocol):
    """Takes jobs and their cancellations."""

    async def submit(self, job: dict[str, Any]) -> CoreResponse:
        """ACCEPTED, REFUSED or RETRY_LATER."""

    async def cancel(self, job_id: str) -> CoreResponse:
        """TERMINATED, NOT_FOUND or RETRY_LATER."""


class HttpCore:
    """POST /submissions and its cancel, at one node after the other until one answers."""

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
                self._current += 1  # the next message asks another node
            return status, value
        return 503, None

    async def submit(self, job: dict[str, Any]) -> CoreResponse:
        """ACCEPTED, REFUSED or RETRY_LATER."""
        status, value = await self._post(wire.SUBMISSIONS_PATH, job)
        if status in (200, 201):
            return CoreResponse(CoreOutcome.ACCEPTED)
        if status in (400, 422):
            cause = value.get("error") if isinstance(value, dict) else None
            return CoreResponse(CoreOutcome.REFUSED, str(cause or f"status {status}")[:MAX_CAUSE_LENGTH])
        return CoreResponse(CoreOutcome.RETRY_LATER)

    async def cancel(self, job_id: str) -> CoreResponse:
        """TERMINATED, NOT_FOUND or RETRY_LATER."""
        status, _ = await self._post(f"{wire.SUBMISSIONS_PATH}/{job_id}/cancel", None)
        if status == 200:
            return CoreResponse(CoreOutcome.TERMINATED)
        return CoreResponse(CoreOutcome.NOT_FOUND if status == 404 else CoreOutcome.RETRY_LATER)
