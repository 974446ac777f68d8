"""A worker's machine on the network: when it sends heartbeats, to which node, and how it is reached."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from oatport import wire
from oatport.clients.http import NoResponseError
from oatport.settings import Workers
from oatport.simulation.network import Net
from oatport.simulation.virtual_time import Host
from oatport.simulation.worker import Worker
from oatport.times import MS, SECOND, micros, seconds

HEARTBEAT_TIMEOUT = 4 * SECOND
MIN_HEARTBEAT_GAP = 500 * MS


class MachineHost:
    """Sends a worker's heartbeats, and serves its address. `nodes`: name and address of each."""

    def __init__(
        self, net: Net, host: Host, worker: Worker, nodes: dict[str, str], timing: Workers, rng: random.Random
    ) -> None:
        self._net, self.host, self.worker, self._rng = net, host, worker, rng
        self._names, self._addresses = list(nodes), list(nodes.values())
        self._node_index = rng.randrange(len(nodes))
        self._heartbeat_us = micros(timing.report_s)
        self._half_lease = micros(timing.lease_s) // 2
        self._changed = asyncio.Event()
        self._reported_signature: tuple[Any, ...] = ()
        self._token_reported_at = -self._half_lease
        self._timer: asyncio.TimerHandle | None = None
        worker.on_change = self._wake_soon
        # A node answered a heartbeat: the node's name, and the attempts that it listed.
        self.on_heartbeat_answered: Callable[[str, list[dict[str, Any]]], None] = lambda node, legs: None
        net.listen(worker.address, host, self._serve)

    def start(self) -> None:
        """Begin to send heartbeats."""
        self.host.loop.create_task(self._heartbeat_loop(), context=self.host.context)
        self._wake_soon()

    def terminate(self, why: str) -> None:
        """The machine and all on it are gone."""
        self.worker.kill(why)
        self._net.unplugged(self.worker.address)
        self.host.end()

    def _wake_soon(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.host.loop.call_later_us(0, self.host, self._wake)

    def _wake(self) -> None:
        """Let what is due happen, send a heartbeat if something changed, and wake again when the next thing is due."""
        self.worker.advance()
        if self._signature() != self._reported_signature:
            self._changed.set()
        delay = max(self.worker.next_event_at() - self.host.steady(), 0) + MS
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.host.loop.call_later_us(delay, self.host, self._wake)

    def _signature(self) -> tuple[Any, ...]:
        worker = self.worker
        return (
            worker.session,
            worker.reclaimed_at,
            tuple((key, attempt.status) for key, attempt in worker.tasks.items()),
        )

    def _serve(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        if target == wire.WORKER_STATUS_PATH:
            return 200, self.worker.report()
        token = self.worker.token
        answer = self.worker.commands(body)
        self._wake_soon()
        self._token_changed(token)
        return answer

    def _token_changed(self, before: int) -> None:
        """A higher token counts as a change at most once in half of the lease."""
        now = self.host.steady()
        if self.worker.token > before and now - self._token_reported_at >= self._half_lease:
            self._token_reported_at = now
            self._changed.set()

    async def _heartbeat_loop(self) -> None:
        host = self.host
        sent = -SECOND
        due = host.steady() + self._rng.randrange(self._heartbeat_us)
        while True:
            try:
                async with asyncio.timeout(max(0.0, seconds(due - host.steady()))):
                    await self._changed.wait()
            except TimeoutError:
                pass
            gap = sent + MIN_HEARTBEAT_GAP - host.steady()
            if gap > 0:
                await asyncio.sleep(seconds(gap))
            self._changed.clear()
            self.worker.advance()
            sent = host.steady()
            due = await self._send_heartbeat(sent)
            self._wake_soon()

    async def _send_heartbeat(self, sent: int) -> int:
        """Send a heartbeat; returns when the next one is due. An answer of 421 names the leader."""
        worker, host = self.worker, self.host
        body, session, token = worker.report(), worker.session, worker.token
        self._reported_signature = self._signature()
        try:
            status, value = await self._net.request(
                host, self._addresses[self._node_index], "POST", wire.HEARTBEAT_PATH, body, HEARTBEAT_TIMEOUT, ""
            )
        except NoResponseError:
            status, value = 0, None
        if status == 200:
            self.on_heartbeat_answered(self._names[self._node_index], body["legs"])
            worker.answer(sent, session, value)
            self._token_changed(token)
            return sent + round(self._heartbeat_us * self._rng.uniform(0.75, 1.25))
        named = value.get("harbormaster") if status == 421 and isinstance(value, dict) else None
        if named in self._names and self._names.index(named) != self._node_index:
            self._node_index = self._names.index(named)
            return host.steady() + self._rng.randrange(MIN_HEARTBEAT_GAP)
        self._node_index = (self._node_index + 1) % len(self._names)
        return host.steady() + SECOND
