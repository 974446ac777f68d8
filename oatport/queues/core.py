"""The scheduling core as the gateway uses it: the users' interface of the nodes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp

from oatport import wire
from oatport.clients.http import HttpClient, NoResponseError
from oatport.times import SECOND

ACCEPTED, REFUSED, LATER = "accepted", "refused", "later"
GONE, UNKNOWN = "gone", "unknown"


@dataclass(frozen=True, slots=True)
class AcceptOutcome:
    kind: str
    cause: str = ""
    after_s: float = 1.0  # LATER: when to come back


class Core(Protocol):
    async def submit(self, job: dict[str, Any]) -> AcceptOutcome:
        """ACCEPTED (now or before), REFUSED for good, or LATER."""

    async def cancel(self, ref: str) -> AcceptOutcome:
        """GONE (cancelled or over: its record tells), UNKNOWN (never accepted) or LATER."""


class HttpCore:
    """POST /submissions and its cancel, at one node after the other until one answers."""

    def __init__(self, session: aiohttp.ClientSession, nodes: tuple[str, ...]) -> None:
        self._nodes = [HttpClient(session, node) for node in nodes]
        self._at = 0

    async def _ask(self, path: str, body: Any) -> tuple[int, Any]:
        for _ in self._nodes:
            try:
                status, value = await self._nodes[self._at % len(self._nodes)].request(
                    "POST", path, body, timeout_us=5 * SECOND
                )
            except NoResponseError:
                self._at += 1
                continue
            if status >= 500:
                self._at += 1  # the next message asks another node
            return status, value
        return 503, None

    async def submit(self, job: dict[str, Any]) -> AcceptOutcome:
        status, value = await self._ask(wire.SUBMISSIONS_PATH, job)
        if status in (200, 201):
            return AcceptOutcome(ACCEPTED)
        if status in (400, 422):
            cause = value.get("error") if isinstance(value, dict) else None
            return AcceptOutcome(REFUSED, str(cause or f"status {status}")[:200])
        return AcceptOutcome(LATER)

    async def cancel(self, ref: str) -> AcceptOutcome:
        status, _ = await self._ask(f"{wire.SUBMISSIONS_PATH}/{ref}/cancel", None)
        if status == 200:
            return AcceptOutcome(GONE)
        return AcceptOutcome(UNKNOWN if status == 404 else LATER)
