"""Handles workers' heartbeats; the leader's responses renew the workers' leases and carry commands."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from oatport import wire
from oatport.control.state.machine import Machine
from oatport.service.command_sender import CommandSender
from oatport.service.leader_context import LeaderContext
from oatport.service.orphaned_job_lookup import OrphanedJobLookup
from oatport.times import steady, time_of_day

log = logging.getLogger(__name__)


class HeartbeatController:
    """Applies workers' heartbeats to the `ClusterState` of a leader, and builds the responses."""

    def __init__(
        self,
        leader: LeaderContext,
        command_sender: CommandSender,
        orphaned_job_lookup: OrphanedJobLookup,
        probe: Callable[[list[Machine], int], None],
    ) -> None:
        """Creates the controller; `probe` checks directly whether commands reach the given machines."""
        self._leader = leader
        self._command_sender = command_sender
        self._orphaned_job_lookup = orphaned_job_lookup
        self._probe = probe

    def may_answer(self) -> bool:
        """Returns whether this leader may renew workers' leases now."""
        leader = self._leader
        return leader.loaded and not leader.stopped and steady() < leader.lease_renewal_limit.until

    def answer(self, heartbeat: wire.Heartbeat) -> dict[str, Any] | None:
        """Returns the response to a heartbeat, or None if the heartbeat must stay unanswered."""
        if not self.may_answer():
            return None
        leader, cluster = self._leader, self._leader.cluster
        if cluster.tokens.is_superseded_by(heartbeat.fencing_token):
            leader.step_down(f"a worker has seen token {heartbeat.fencing_token}")
            return None
        now = leader.now()
        is_outdated = self._is_outdated(heartbeat)
        machine = self.receive(heartbeat, now)
        if machine is None:
            return wire.heartbeat_response(leader.token, [])
        cluster.commands.on_heartbeat_delivered(machine, heartbeat)
        if machine.command_unreachable:
            self._probe([machine], now)
        commands, starts = cluster.commands.for_response(machine)
        # An outdated heartbeat is a late copy, or was overtaken by the response to a command. Its sender may not
        # receive this response, so no start command in the response may count as sent.
        if is_outdated or not leader.holds_lease() or machine.releasing:
            # Tasks keep running, but none is started while the state service is unreachable, or after a process pause.
            # Machines that are being released are still sent stops: their release may stay unanswered for long, and
            # every heartbeat response renews the lease of tasks whose cancellation was confirmed to the user.
            commands = [command for command in commands if not isinstance(command, wire.StartCommand)]
            starts = []
        cluster.commands.on_starts_sent(machine, starts)
        if not self._command_sender.is_sending(machine):
            cluster.machines_to_command.discard(machine)
        token = cluster.commands.token_for(machine)
        cluster.command_audit.on_sent(machine, token, commands, starts, direct=False)
        return wire.heartbeat_response(token, commands)

    def _is_outdated(self, heartbeat: wire.Heartbeat) -> bool:
        """Returns whether this heartbeat or a later one of the same machine was received before."""
        machine = self._leader.cluster.machines.get(heartbeat.machine_name)
        return machine is not None and (heartbeat.worker_epoch, heartbeat.heartbeat_seq) <= (
            machine.worker_epoch,
            machine.heartbeat_seq,
        )

    def receive(self, heartbeat: wire.Heartbeat, now: int) -> Machine | None:
        """Applies a machine's heartbeat; returns None if the machine is unknown and cannot be added."""
        cluster = self._leader.cluster
        machine = cluster.heartbeats.receive(heartbeat, now, time_of_day())
        if cluster.quotas.attempts_of_unknown_jobs:
            self._orphaned_job_lookup.look_up()
        self._leader.wake()
        return machine
