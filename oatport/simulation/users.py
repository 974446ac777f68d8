"""Users behind the balancer: they submit, poll and cancel, and remember what they were told."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oatport import wire
from oatport.clients.http import NoResponseError, RequestNotSentError
from oatport.simulation.network import Net
from oatport.simulation.virtual_time import Host, VirtualLoop
from oatport.times import SECOND

PROBE_EVERY, PROBE_WITHIN = 1.0, SECOND
SUBMIT_WITHIN, POLL_WITHIN = 5 * SECOND, 2 * SECOND
TRIED_FOR = 60.0
POLL_EVERY = 5.0


@dataclass
class BackendNode:
    """A node as the balancer sees it."""

    address: str
    healthy: bool = False
    ever_healthy: bool = False
    consecutive_successes: int = 0
    recent_probes: list[bool] = field(default_factory=list)
    excluded_until: float = 0.0
    exclusion_s: float = 3.0
    removed_at: float = -1000.0
    open_connections: int = 0
    connections_given: int = (
        0  # of nodes with as few open connections the one that was given fewest: not always the first
    )


class LoadBalancer:
    """Chooses a healthy node for each new connection (PROTOCOL, "Users -> controller nodes")."""

    def __init__(self, loop: VirtualLoop, net: Net, host: Host, addresses: list[str]) -> None:
        self._loop, self._net, self._host = loop, net, host
        self.nodes = [BackendNode(address) for address in addresses]

    async def probe(self, seen: BackendNode) -> None:
        while True:
            await asyncio.sleep(PROBE_EVERY)
            try:
                status, _ = await self._net.request(
                    self._host, seen.address, "GET", wire.READY_PATH, None, PROBE_WITHIN, ""
                )
            except NoResponseError:
                status = 0
            self._on_probe_result(seen, status == 200)

    def _on_probe_result(self, seen: BackendNode, good: bool) -> None:
        now = self._loop.time()
        seen.recent_probes = [*seen.recent_probes[-5:], good]
        seen.consecutive_successes = seen.consecutive_successes + 1 if good else 0
        if seen.healthy and (seen.recent_probes[-2:] == [False, False] or seen.recent_probes.count(False) >= 3):
            seen.healthy = False
            seen.exclusion_s = min(60.0, 2 * seen.exclusion_s) if now - seen.removed_at < 120 else 3.0
            seen.removed_at, seen.excluded_until = now, now + seen.exclusion_s
            seen.recent_probes = []
        elif (
            not seen.healthy
            and good
            and (not seen.ever_healthy or (seen.consecutive_successes >= 2 and now >= seen.excluded_until))
        ):
            seen.healthy = seen.ever_healthy = True

    async def request_node(
        self, user: Host, address: str, method: str, path: str, body: Any, timeout_us: int
    ) -> tuple[int, Any]:
        """As if this node had been chosen. Raises NoAnswer."""
        return await self._net.request(user, address, method, path, body, timeout_us, "")

    async def request(self, user: Host, method: str, path: str, body: Any, timeout_us: int) -> tuple[int, Any]:
        """One request on a connection of its own. Raises NoAnswer."""
        tried: list[BackendNode] = []
        for _ in range(3):
            left = [seen for seen in self.nodes if seen.healthy and seen not in tried]
            if not left:
                break
            seen = min(left, key=lambda s: (s.open_connections, s.connections_given))
            tried.append(seen)
            seen.open_connections += 1
            seen.connections_given += 1
            try:
                return await self._net.request(user, seen.address, method, path, body, timeout_us, "")
            except RequestNotSentError:
                continue
            finally:
                seen.open_connections -= 1
        raise NoResponseError("no healthy node")


@dataclass(eq=False)
class SubmittedJob:
    """A job as its user has it: what is wanted, and what was told."""

    body: dict[str, Any]
    submit_at: float
    cancel_at: float | None = None
    accepted_at: float | None = None
    always_fails: bool = False  # it fails on every machine, until its user cancels it
    refusal_count: int = 0
    cancelled_at: float | None = None  # when it was told
    done_at: float | None = None
    gave_up: bool = False
    started_at: float | None = None  # the first task of it ran
    completed_at: float | None = None  # the last one did
    completed_tasks: int = 0
    replica_uptime_us: int = 0  # time that replicas ran
    dependencies: list[SubmittedJob] = field(default_factory=list)  # jobs that it names
    ends_pipeline: bool = False  # of a pipeline
    submitted_after_dependencies: bool = False  # submitted when those that it needs are over
    answered_at: float = 0.0  # when a question about it was last answered

    @property
    def is_cancellable(self) -> bool:
        """It was accepted, is not known to be done, and nobody has cancelled it or is about to."""
        return self.accepted_at is not None and self.done_at is None and self.cancel_at is None

    @property
    def releases_dependents(self) -> bool:
        """All its tasks have ended, and its user was not told that it is cancelled."""
        return self.completed_at is not None and self.cancelled_at is None

    @property
    def is_blocked(self) -> bool:
        """It can't begin: a job before it isn't done, or is cancelled."""
        return any(not dependency.releases_dependents for dependency in self.dependencies)

    @property
    def may_be_cancelled_with_others(self) -> bool:
        """A user asked for the cancellation of a job before it."""
        return any(job.cancel_at is not None or job.may_be_cancelled_with_others for job in self.dependencies)

    @property
    def dependency_cancelled_at(self) -> float | None:
        """Since when a user knows that a job before it is cancelled; None: nobody was told so."""
        times = [
            job.cancelled_at if job.cancelled_at is not None else job.dependency_cancelled_at
            for job in self.dependencies
            if not job.releases_dependents
        ]
        return min((at for at in times if at is not None), default=None)

    @property
    def startable_at(self) -> float:
        """When nothing kept it from being started any more."""
        return max([self.accepted_at or self.submit_at, *(job.completed_at or 0.0 for job in self.dependencies)])

    @property
    def deadline_at(self) -> float:
        """When it is due, from its submission on; only of jobs that have a deadline."""
        return self.submit_at + float(self.body["tideS"])

    @property
    def job_id(self) -> str:
        return str(self.body["ref"])


class User:
    """One user's dealings with one job; `told` hears every answer."""

    def __init__(
        self,
        balancer: LoadBalancer,
        host: Host,
        ask: SubmittedJob,
        rng: random.Random,
        told: Callable[[SubmittedJob, str, int, Any], None],
    ) -> None:
        self._balancer, self._host, self.job, self._rng, self._on_answer = balancer, host, ask, rng, told
        self._request_lock = asyncio.Lock()  # an answer under way when another came is no older answer

    async def run(self) -> None:
        loop, ask = self._host.loop, self.job
        await asyncio.sleep(max(0.0, ask.submit_at - loop.time()))
        while not all(
            need.accepted_at is not None and (not ask.submitted_after_dependencies or need.done_at or need.cancelled_at)
            for need in ask.dependencies
        ):
            if any(need.gave_up for need in ask.dependencies):
                ask.gave_up = True
                return
            await asyncio.sleep(0.2)
        if ask.dependencies:
            ask.submit_at = loop.time()
        if not await self._retry_until_answered(
            "submit", "POST", wire.SUBMISSIONS_PATH, ask.body, (200, 201), (400, 422)
        ):
            ask.gave_up = ask.accepted_at is None
            return
        ask.accepted_at = loop.time()
        if self._rng.random() < 0.1:  # a retry that comes late
            loop.call_later_us(round(self._rng.uniform(1, 30) * SECOND), self._host, self._start_resubmission)
        while True:
            await asyncio.sleep(POLL_EVERY * self._rng.uniform(0.9, 1.1))
            is_due = ask.cancel_at is not None and loop.time() >= ask.cancel_at and ask.cancelled_at is None
            if is_due and await self.cancel():
                await asyncio.sleep(self._rng.uniform(1, 20))
                await self._request_once("poll", "GET", f"{wire.SUBMISSIONS_PATH}/{ask.job_id}", None, POLL_WITHIN)
                return
            await self._request_once("poll", "GET", f"{wire.SUBMISSIONS_PATH}/{ask.job_id}", None, POLL_WITHIN)
            if ask.done_at is not None:
                await asyncio.sleep(self._rng.uniform(1, 40))
                await self._request_once("poll", "GET", f"{wire.SUBMISSIONS_PATH}/{ask.job_id}", None, POLL_WITHIN)
                return

    async def cancel(self) -> bool:
        """Ask until it is answered."""
        path = f"{wire.SUBMISSIONS_PATH}/{self.job.job_id}/cancel"
        return await self._retry_until_answered("cancel", "POST", path, None, (200,), ())

    async def query_all_nodes(self, addresses: list[str], cancels: bool) -> None:
        """Ask at all nodes, again and again, and repeat the submission; or cancel at once, and ask then."""
        if cancels and self.job.cancel_at is None and self.job.done_at is None:
            self.job.cancel_at = self._host.loop.time()
            if not await self.cancel():
                return
        for address in self._rng.sample(addresses, len(addresses)) * 2:
            repeats = self._rng.random() < 0.3 and self.job.cancelled_at is None
            method, path = (
                ("POST", wire.SUBMISSIONS_PATH) if repeats else ("GET", f"{wire.SUBMISSIONS_PATH}/{self.job.job_id}")
            )
            async with self._request_lock:
                try:
                    status, value = await self._balancer.request_node(
                        self._host, address, method, path, self.job.body if repeats else None, POLL_WITHIN
                    )
                except NoResponseError:
                    status, value = 0, None
                self._on_answer(self.job, "submit" if repeats else "poll", status, value)

    def _start_resubmission(self) -> None:
        self._host.loop.create_task(self.resubmit())

    async def resubmit(self) -> None:
        """The submission once more, whatever has become of the job."""
        await self._request_once("submit", "POST", wire.SUBMISSIONS_PATH, self.job.body, SUBMIT_WITHIN)

    async def submit_other(self, body: dict[str, Any]) -> int:
        """Another job, once; the status, 0 if there is no answer."""
        try:
            return (await self._balancer.request(self._host, "POST", wire.SUBMISSIONS_PATH, body, SUBMIT_WITHIN))[0]
        except NoResponseError:
            return 0

    async def _request_once(self, what: str, method: str, path: str, body: Any, within: int) -> tuple[int, Any]:
        async with self._request_lock:
            try:
                status, value = await self._balancer.request(self._host, method, path, body, within)
            except NoResponseError:
                status, value = 0, None
            self._on_answer(self.job, what, status, value)
        return status, value

    async def _retry_until_answered(
        self, what: str, method: str, path: str, body: Any, good: tuple[int, ...], final: tuple[int, ...]
    ) -> bool:
        loop = self._host.loop
        until = loop.time() + TRIED_FOR
        while loop.time() < until:
            status, value = await self._request_once(what, method, path, body, SUBMIT_WITHIN)
            if status in good or status in final:
                return status in good
            self.job.refusal_count += what == "submit"
            after = value.get("retryAfter", 0) if isinstance(value, dict) else 0
            await asyncio.sleep(max(1.0, min(30.0, float(after))) + self._rng.random())
        return False
