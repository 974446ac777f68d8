"""Simulated users behind the load balancer, who submit, poll and cancel jobs and report each response."""

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

SUBMIT_TIMEOUT, POLL_TIMEOUT = 5 * SECOND, 2 * SECOND
RETRY_DURATION_S = 60.0
POLL_INTERVAL_S = 5.0


class User:
    """Sends one user's requests for one job.

    `on_response` is called with every response: job, request name, status (0: no response) and body.
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        host: Host,
        job: SubmittedJob,
        rng: random.Random,
        on_response: Callable[[SubmittedJob, str, int, Any], None],
    ) -> None:
        self._balancer, self._host, self.job, self._rng, self._on_response = balancer, host, job, rng, on_response
        self._request_lock = asyncio.Lock()  # one request at a time, so that no response overtakes another

    async def run(self) -> None:
        """Submits the job at `submit_at`, polls it until it is done, and cancels it if a cancellation is due."""
        loop, job = self._host.loop, self.job
        await asyncio.sleep(max(0.0, job.submit_at - loop.time()))
        if not await self._wait_for_dependencies() or not await self._submit():
            return
        if self._rng.random() < 0.1:  # a delayed retry of the submission
            delay_us = round(self._rng.uniform(1, 30) * SECOND)
            loop.call_later_us(delay_us, self._host, self._start_resubmission)
        while True:
            await asyncio.sleep(POLL_INTERVAL_S * self._rng.uniform(0.9, 1.1))
            is_cancellation_due = (
                job.cancel_at is not None and loop.time() >= job.cancel_at and job.cancelled_at is None
            )
            if is_cancellation_due and await self.cancel():
                await asyncio.sleep(self._rng.uniform(1, 20))
                await self._poll()
                return
            await self._poll()
            if job.done_at is not None:
                await asyncio.sleep(self._rng.uniform(1, 40))
                await self._poll()
                return

    async def _wait_for_dependencies(self) -> bool:
        """Waits until all dependencies allow the submission; returns False if one of them is abandoned."""
        job = self.job
        while not all(job.can_be_submitted_after(dependency) for dependency in job.dependencies):
            if any(dependency.is_abandoned for dependency in job.dependencies):
                job.is_abandoned = True
                return False
            await asyncio.sleep(0.2)
        if job.dependencies:
            job.submit_at = self._host.loop.time()
        return True

    async def _submit(self) -> bool:
        """Submits until there is a final response; returns False if the job was refused or there was none."""
        job = self.job
        accepted = await self._retry_until_final_response(
            "submit", "POST", wire.SUBMISSIONS_PATH, job.body, (200, 201), (400, 422)
        )
        if accepted:
            job.accepted_at = self._host.loop.time()
        else:
            job.is_abandoned = job.accepted_at is None
        return accepted

    async def _poll(self) -> None:
        await self._request_once("poll", "GET", f"{wire.SUBMISSIONS_PATH}/{self.job.job_id}", None, POLL_TIMEOUT)

    async def cancel(self) -> bool:
        """Requests the cancellation until it is confirmed, for up to `RETRY_DURATION_S`; returns whether it was."""
        path = f"{wire.SUBMISSIONS_PATH}/{self.job.job_id}/cancel"
        return await self._retry_until_final_response("cancel", "POST", path, None, (200,), ())

    async def query_all_nodes(self, addresses: list[str], cancel_first: bool) -> None:
        """Sends two requests to every node in random order: polls and, with a probability of 0.3, repeated submissions.

        `cancel_first`: the user first cancels the job, unless it is done or its cancellation is planned.
        """
        if cancel_first and self.job.cancel_at is None and self.job.done_at is None:
            self.job.cancel_at = self._host.loop.time()
            if not await self.cancel():
                return
        for address in self._rng.sample(addresses, len(addresses)) * 2:
            is_resubmission = self._rng.random() < 0.3 and self.job.cancelled_at is None
            method, path = (
                ("POST", wire.SUBMISSIONS_PATH)
                if is_resubmission
                else ("GET", f"{wire.SUBMISSIONS_PATH}/{self.job.job_id}")
            )
            async with self._request_lock:
                try:
                    status, value = await self._balancer.request_node(
                        self._host, address, method, path, self.job.body if is_resubmission else None, POLL_TIMEOUT
                    )
                except NoResponseError:
                    status, value = 0, None
                self._on_response(self.job, "submit" if is_resubmission else "poll", status, value)

    def _start_resubmission(self) -> None:
        self._host.loop.create_task(self.resubmit())

    async def resubmit(self) -> None:
        """Repeats the submission once, in any state of the job."""
        await self._request_once("submit", "POST", wire.SUBMISSIONS_PATH, self.job.body, SUBMIT_TIMEOUT)

    async def submit_other(self, body: dict[str, Any]) -> int:
        """Submits another job once and returns the status; 0: no response."""
        try:
            return (await self._balancer.request(self._host, "POST", wire.SUBMISSIONS_PATH, body, SUBMIT_TIMEOUT))[0]
        except NoResponseError:
            return 0

    async def _request_once(
        self, request_name: str, method: str, path: str, body: Any, timeout_us: int
    ) -> tuple[int, Any]:
        async with self._request_lock:
            try:
                status, value = await self._balancer.request(self._host, method, path, body, timeout_us)
            except NoResponseError:
                status, value = 0, None
            self._on_response(self.job, request_name, status, value)
        return status, value

    async def _retry_until_final_response(
        self,
        request_name: str,
        method: str,
        path: str,
        body: Any,
        accepted_statuses: tuple[int, ...],
        final_statuses: tuple[int, ...],
    ) -> bool:
        loop = self._host.loop
        retry_until = loop.time() + RETRY_DURATION_S
        while loop.time() < retry_until:
            status, value = await self._request_once(request_name, method, path, body, SUBMIT_TIMEOUT)
            if status in accepted_statuses or status in final_statuses:
                return status in accepted_statuses
            self.job.refusal_count += request_name == "submit"
            retry_after_s = value.get("retryAfter", 0) if isinstance(value, dict) else 0
            await asyncio.sleep(max(1.0, min(30.0, float(retry_after_s))) + self._rng.random())
        return False
