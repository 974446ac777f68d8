"""Sends stops to workers directly, and requests heartbeats, whose responses carry the other commands."""

from __future__ import annotations

import asyncio
import logging

from oatport.clients.http import NoResponseError
from oatport.clients.worker import WorkerClient
from oatport.control.state.machine import Machine
from oatport.service.leader_context import LeaderContext
from oatport.service.network import Network
from oatport.times import steady

log = logging.getLogger(__name__)

MAX_CONCURRENT_SENDS = 64  # machines with a request in flight


class CommandSender:
    """Sends commands to the machines in `machines_to_command`, with at most one request in flight per machine."""

    def __init__(self, leader: LeaderContext, net: Network) -> None:
        self._leader = leader
        self._net = net
        self.wakeup = asyncio.Event()
        self._sending: set[Machine] = set()
        self._requests = 0  # since the last call of `take_request_count`

    def is_sending(self, machine: Machine) -> bool:
        """Returns whether a request to this machine is in flight."""
        return machine in self._sending

    def take_request_count(self) -> int:
        """Returns the number of requests sent since the last call, and resets the counter."""
        requests, self._requests = self._requests, 0
        return requests

    async def loop(self) -> None:
        """Sends commands whenever `wakeup` is set, until the leader stops."""
        while not self._leader.stopped:
            await self.wakeup.wait()
            self.wakeup.clear()
            self._send_to_all()

    def _send_to_all(self) -> None:
        now = self._leader.now()
        cluster = self._leader.cluster
        for machine in list(cluster.machines_to_command):
            if len(self._sending) >= MAX_CONCURRENT_SENDS:
                break  # the rest stay in the set; `send` sets `wakeup` when a slot is free, else they would wait 0.5 s
            if machine in self._sending or machine.releasing:
                continue
            cluster.machines_to_command.discard(machine)
            if not machine.address or not machine.worker_epoch:
                continue
            if cluster.commands.direct_message(machine, now) is not None:  # usually there is nothing to send
                self._sending.add(machine)
                self._leader.background.spawn("send", self.send(machine))

    async def send(self, machine: Machine) -> None:
        """Sends a machine its commands, and applies the heartbeat in its response."""
        try:
            await self._send(machine)
        finally:
            self._sending.discard(machine)
            has_new_commands = machine in self._leader.cluster.machines_to_command
            if has_new_commands or len(self._sending) == MAX_CONCURRENT_SENDS - 1:
                self.wakeup.set()

    async def _send(self, machine: Machine) -> None:
        leader, cluster = self._leader, self._leader.cluster
        now = leader.now()
        if not leader.holds_lease() or machine.removed:
            return  # stop commands are still sent in heartbeat responses
        message = cluster.commands.direct_message(machine, now)
        if message is None:
            return
        token = message.fencing_token
        cluster.commands.on_direct_message(machine, message, now)
        cluster.command_audit.on_sent(machine, token, message.stops, (), direct=True)
        self._requests += 1
        try:
            client = WorkerClient(self._net, machine.address)
            reply = await client.send_commands(token, machine.worker_epoch, message.stops)
        except NoResponseError as error:
            log.info('commands got no response machine=%s error="%s"', machine.name, error)
            return
        if not reply.executed:
            cluster.command_audit.on_refused(machine, token, reply.heartbeat)
        if cluster.tokens.is_superseded_by(reply.heartbeat.fencing_token):
            leader.step_down(f"a worker has seen token {reply.heartbeat.fencing_token}")
            return
        cluster.commands.on_contact(machine)
        leader.receive_heartbeat(reply.heartbeat, steady())
