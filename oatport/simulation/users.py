"""Users behind the load balancer: they submit, poll and cancel, and remember what they were told."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from oatport import wire
from oatport.clients.http import NoResponseError
from oatport.simulation.load_balancer import LoadBalancer
from oatport.simulation.submitted_job import SubmittedJob
from oatport.simulation.virtual_time import Host
from oatport.times import SECOND

SUBMIT_WITHIN, POLL_WITHIN = 5 * SECOND, 2 * SECOND
TRIED_FOR = 60.0
POLL_EVERY = 5.0


class User:
    """One user's dealings with one job; `on_answer` gets every answer: job, request, status (0: none) and body."""

    def __init__(
        self,
        balancer: LoadBalancer,
        host: Host,
        job: SubmittedJob,
        rng: random.Random,
        on_answer: Callable[[SubmittedJob, str, int, Any], None],
    ) -> None:
        self._balancer, self._host, self.job, self._rng, self._on_answer = balancer, host, job, rng, on_answer
        self._request_lock = asyncio.Lock()  # an answer under way when another came is no older answer

    async def run(self) -> None:
        """Submit the job when it is time, poll it until it is done, and cancel it if that is due."""
        loop, job = self._host.loop, self.job
        await asyncio.sleep(max(0.0, job.submit_at - loop.time()))
        if not await self._wait_for_dependencies() or not await self._submit():
            return
        if self._rng.random() < 0.1:  # a retry that comes late
            delay_us = round(self._rng.uniform(1, 30) * SECOND)
            loop.call_later_us(delay_us, self._host, self._start_resubmission)
        while True:
            await asyncio.sleep(POLL_EVERY * self._rng.uniform(0.9, 1.1))
            is_due = job.cancel_at is not None and loop.time() >= job.cancel_at and job.cancelled_at is None
            if is_due and await self.cancel():
                await asyncio.sleep(self._rng.uniform(1, 20))
                await self._poll()
                return
            await self._poll()
            if job.done_at is not None:
                await asyncio.sleep(self._rng.uniform(1, 40))
                await self._poll()
                return

    async def _wait_for_dependencies(self) -> bool:
        """Wait until all jobs that this one names may be named; False if their users gave one up."""
        job = self.job
        while not all(job.may_follow(dependency) for dependency in job.dependencies):
            if any(dependency.gave_up for dependency in job.dependencies):
                job.gave_up = True
                return False
            await asyncio.sleep(0.2)
        if job.dependencies:
            job.submit_at = self._host.loop.time()
        return True

    async def _submit(self) -> bool:
        """Submit until it is answered; False if it was refused, or never answered."""
        job = self.job
        accepted = await self._retry_until_answered(
            "submit", "POST", wire.SUBMISSIONS_PATH, job.body, (200, 201), (400, 422)
        )
        if accepted:
            job.accepted_at = self._host.loop.time()
        else:
            job.gave_up = job.accepted_at is None
        return accepted

    async def _poll(self) -> None:
        await self._request_once("poll", "GET", f"{wire.SUBMISSIONS_PATH}/{self.job.job_id}", None, POLL_WITHIN)

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
