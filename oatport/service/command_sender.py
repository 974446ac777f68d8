"""Sends commands to workers directly, without waiting for their next report."""

from __future__ import annotations

import asyncio
import logging

from oatport.clients.http import NoResponseError, RequestNotSentError
from oatport.clients.worker import WorkerClient
from oatport.control.state.machine import Machine
from oatport.service.leader_context import LeaderContext
from oatport.service.network import Network
from oatport.times import steady

log = logging.getLogger(__name__)

MAX_CONCURRENT_SENDS = 64  # machines that are sent commands at a time


class CommandSender:
    """Sends commands to the machines in `machines_to_command`, one request to each at a time."""

    def __init__(self, leader: LeaderContext, net: Network) -> None:
        self._leader = leader
        self._net = net
        self.wanted = asyncio.Event()
        self._sending: set[Machine] = set()
        self._requests = 0  # since they were last taken

    def is_sending(self, machine: Machine) -> bool:
        """A request to this machine is under way."""
        return machine in self._sending

    def take_request_count(self) -> int:
        """How many requests went out since this was last asked."""
        requests, self._requests = self._requests, 0
        return requests

    async def loop(self) -> None:
        """Send whenever there is something to send."""
        while not self._leader.stopped:
            await self.wanted.wait()
            self.wanted.clear()
            self._send_to_all()

    def _send_to_all(self) -> None:
        now = self._leader.now()
        cluster = self._leader.cluster
        for machine in list(cluster.machines_to_command):
            if len(self._sending) >= MAX_CONCURRENT_SENDS:
                break  # the others keep their place; once half a second passed until they were thought of again
            if machine in self._sending or machine.releasing:
                continue
            cluster.machines_to_command.discard(machine)
            if not machine.address or not machine.agent_epoch:
                continue
            commands, _ = cluster.commands.for_machine(machine, now, direct=True)
            if commands:  # there are mostly none: they are on their way already
                self._sending.add(machine)
                self._leader.background.spawn("send", self.send(machine))

    async def send(self, machine: Machine) -> None:
        """Send a machine its commands, and take in the report that it answers."""
        try:
            await self._send(machine)
        finally:
            self._sending.discard(machine)
            is_wanted_again = machine in self._leader.cluster.machines_to_command
            if is_wanted_again or len(self._sending) == MAX_CONCURRENT_SENDS - 1:
                self.wanted.set()

    async def _send(self, machine: Machine) -> None:
        leader, cluster = self._leader, self._leader.cluster
        now = leader.now()
        if not leader.holds_lease() or machine.removed:
            return  # reports' answers still carry the stops
        commands, starts = cluster.commands.for_machine(machine, now, direct=True)
        if not commands:
            return
        cluster.commands.on_sent(machine, starts, now, direct=True)
        sent_starts = [(task.name, task.attempt) for task in starts]
        self._requests += 1
        try:
            client = WorkerClient(self._net, machine.address)
            report = await client.send_commands(leader.token, machine.agent_epoch, commands)
        except RequestNotSentError:
            cluster.commands.on_start_response(machine, sent_starts)  # no connection: it can't land later
            return
        except NoResponseError as error:
            log.debug('commands got no response machine=%s error="%s"', machine.name, error)
            return
        if report.fencing_token > leader.token:
            leader.step_down(f"a worker has seen token {report.fencing_token}")
            return
        cluster.commands.on_start_response(machine, sent_starts)
        cluster.commands.on_contact(machine)
        leader.receive_heartbeat(report, steady())
