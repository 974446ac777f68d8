"""The host of a worker on the simulated network: sends heartbeats to a node and serves the worker's address."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from oatport import wire
from oatport.clients.http import NoResponseError
from oatport.settings import Workers
from oatport.simulation.body_limits import BodyLimits
from oatport.simulation.network import SimulatedNetwork
from oatport.simulation.virtual_time import Host
from oatport.simulation.worker import Worker
from oatport.times import MS, SECOND, micros, seconds

HEARTBEAT_TIMEOUT = 4 * SECOND
MAX_COPIED_MESSAGES = 100  # newest executed direct messages of which copies may arrive after a restart
MIN_COPY_DELAY, MAX_COPY_DELAY = 20 * MS, 900 * MS  # from a restart to the arrival of such a copy
MIN_HEARTBEAT_INTERVAL = 500 * MS


class MachineHost:
    """Sends a worker's heartbeats and serves the worker's address. `nodes` maps node names to addresses."""

    def __init__(
        self,
        net: SimulatedNetwork,
        host: Host,
        worker: Worker,
        nodes: dict[str, str],
        timing: Workers,
        rng: random.Random,
    ) -> None:
        self._net, self.host, self.worker, self._rng = net, host, worker, rng
        self._names, self._addresses = list(nodes), list(nodes.values())
        self._node_index = rng.randrange(len(nodes))
        self._heartbeat_us = micros(timing.report_s)
        self._half_lease_us = micros(timing.lease_s) // 2
        self._heartbeat_needed = asyncio.Event()
        self._reported_state: tuple[Any, ...] = ()
        self._token_reported_at = -self._half_lease_us
        self._timer: asyncio.TimerHandle | None = None
        self._executed_messages: deque[Any] = deque(maxlen=MAX_COPIED_MESSAGES)
        worker.on_change = self._schedule_wake
        # Called when a node has responded to a heartbeat, with the node's name and the attempts in the heartbeat.
        self.on_heartbeat_answered: Callable[[str, list[dict[str, Any]]], None] = lambda node, attempts: None
        net.listen(worker.address, host, self._serve, BodyLimits(request=wire.MAX_BODY_BYTES))

    def start(self) -> None:
        """Starts sending heartbeats."""
        self.host.loop.create_task(self._heartbeat_loop(), context=self.host.context)
        self._schedule_wake()

    def terminate(self, reason: str) -> None:
        """Ends the host and all attempts of its worker, with `reason` as their exit reason."""
        self.worker.kill(reason)
        self._net.on_machine_gone(self.worker.address)
        self.host.end()

    def restart(self, *, reset_epoch: bool) -> None:
        """Restarts the machine at once, and delivers copies of the direct messages that it has executed.

        With `reset_epoch`, the worker epoch begins at 1 again. Some of the copies arrive before the machine's first
        heartbeat is answered: until then nothing shows the worker that they are old.
        """
        self.worker.restart(reset_epoch=reset_epoch)
        for body in self._executed_messages:
            delay = self._rng.randrange(MIN_COPY_DELAY, MAX_COPY_DELAY)
            self.host.loop.call_later_us(delay, self.host, self._serve, "POST", wire.COMMANDS_PATH, body)

    def _schedule_wake(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.host.loop.call_later_us(0, self.host, self._wake)

    def _wake(self) -> None:
        """Advances the worker, requests a heartbeat if its state changed, and schedules itself for the next event."""
        self.worker.advance()
        if self._state_to_report() != self._reported_state:
            self._heartbeat_needed.set()
        delay = max(self.worker.next_event_at() - self.host.steady(), 0) + MS
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.host.loop.call_later_us(delay, self.host, self._wake)

    def _state_to_report(self) -> tuple[Any, ...]:
        """Returns the state of which each change is reported by a heartbeat without delay."""
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
        response = self.worker.commands(body)
        if response[0] == 200 and body not in self._executed_messages:
            self._executed_messages.append(body)
        self._schedule_wake()
        self._on_token_received(token)
        return response

    def _on_token_received(self, previous_token: int) -> None:
        """Requests a heartbeat after a higher fencing token, at most once per half of the lease."""
        now = self.host.steady()
        if self.worker.token > previous_token and now - self._token_reported_at >= self._half_lease_us:
            self._token_reported_at = now
            self._heartbeat_needed.set()

    async def _heartbeat_loop(self) -> None:
        host = self.host
        sent_at = -SECOND
        next_due_at = host.steady() + self._rng.randrange(self._heartbeat_us)
        while True:
            try:
                async with asyncio.timeout(max(0.0, seconds(next_due_at - host.steady()))):
                    await self._heartbeat_needed.wait()
            except TimeoutError:
                pass
            remaining_us = sent_at + MIN_HEARTBEAT_INTERVAL - host.steady()
            if remaining_us > 0:
                await asyncio.sleep(seconds(remaining_us))
            self._heartbeat_needed.clear()
            self.worker.advance()
            sent_at = host.steady()
            next_due_at = await self._send_heartbeat(sent_at)
            self._schedule_wake()

    async def _send_heartbeat(self, sent_at: int) -> int:
        """Sends a heartbeat and returns when the next one is due.

        The next heartbeat goes to the leader that a 421 response names, or after a failure to the next node in turn.
        """
        worker, host = self.worker, self.host
        body, worker_epoch, token = worker.report(), worker.session, worker.token
        self._reported_state = self._state_to_report()
        try:
            status, value = await self._net.request(
                host, self._addresses[self._node_index], "POST", wire.HEARTBEAT_PATH, body, HEARTBEAT_TIMEOUT, ""
            )
        except NoResponseError:
            status, value = 0, None
        if status == 200:
            self.on_heartbeat_answered(self._names[self._node_index], body["legs"])
            worker.on_heartbeat_response(sent_at, worker_epoch, value)
            self._on_token_received(token)
            return sent_at + round(self._heartbeat_us * self._rng.uniform(0.75, 1.25))
        leader_name = value.get("harbormaster") if status == 421 and isinstance(value, dict) else None
        if leader_name in self._names and self._names.index(leader_name) != self._node_index:
            self._node_index = self._names.index(leader_name)
            return host.steady() + self._rng.randrange(MIN_HEARTBEAT_INTERVAL)
        self._node_index = (self._node_index + 1) % len(self._names)
        return host.steady() + SECOND
