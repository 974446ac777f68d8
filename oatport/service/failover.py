"""Failover: reads all records, and announces the new leader to the recorded machines, which report their tasks."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import Any

from oatport import wire
from oatport.clients.http import NoResponseError, jitter
from oatport.clients.state import StateClient
from oatport.clients.worker import WorkerClient
from oatport.control.state.machine import Machine
from oatport.control.storage.keys import (
    BLOCKED_PREFIX,
    FLEET_PREFIX,
    LIVE_PREFIX,
    MODEL_KEY,
    PARTITIONED_ZONES_KEY,
    SCHEMA_VERSION_KEY,
    overflow_key,
)
from oatport.control.storage.overflow_records import merge_overflow
from oatport.service.leader_context import LeaderContext
from oatport.service.network import Network
from oatport.times import SECOND, steady

log = logging.getLogger(__name__)

ANNOUNCE_ATTEMPTS = 3  # after that the leader waits for the machine's own heartbeat
ANNOUNCE_RETRY_INTERVAL = SECOND


@dataclass(frozen=True, slots=True)
class RecordSnapshot:
    """Holds the rows that earlier leaders recorded, and the revision from which jobs are to be watched."""

    rows: list[wire.StoredEntry]
    revision: int


async def read_records(state: StateClient) -> RecordSnapshot:
    """Reads all records that a new leader needs.

    Raises NoResponseError or RequestRefusedError.
    """
    live, revision = await state.list_prefix(LIVE_PREFIX)
    # Blocked jobs are read after `live/`: only a leader moves a job from blocked to live, and earlier leaders are
    # fenced by now, so no job can be missed between the two reads.
    blocked, _ = await state.list_prefix(BLOCKED_PREFIX)
    fleet, _ = await state.list_prefix(FLEET_PREFIX)
    rows, _ = await state.list_prefix(MODEL_KEY)
    for key in (PARTITIONED_ZONES_KEY, SCHEMA_VERSION_KEY):
        found = await state.get(key)
        if found is not None:
            rows.append(wire.StoredEntry(key, *found))
    for entries in (live, blocked):
        for number, entry in enumerate(entries):
            if "more" in entry.value:
                entries[number] = entry._replace(value=await read_full_record(state, entry.value))
    return RecordSnapshot(rows + fleet + live + blocked, revision)


async def read_full_record(state: StateClient, value: Any) -> Any:
    """Returns a job's record joined with its overflow records. Raises NoResponseError or RequestRefusedError."""
    count, job_id = int(value["more"][0]), str(value["job"]["ref"])
    parts = []
    for number in range(count):
        found = await state.get(overflow_key(job_id, number))
        if found is None:
            # Overflow records are written before their job is accepted.
            raise NoResponseError(f"{overflow_key(job_id, number)} is missing")
        parts.append(found[0])
    return merge_overflow(value, parts)


def announce_leader_to_all(leader: LeaderContext, net: Network) -> None:
    """Announces the leader to all machines whose addresses are known."""
    for machine in list(leader.cluster.machines.values()):
        if machine.address:
            leader.background.spawn("announce leader", announce_leader(leader, net, machine))


async def announce_leader(leader: LeaderContext, net: Network, machine: Machine) -> None:
    """Reads a machine's status and sends it the new fencing token, without waiting for its heartbeat."""
    client = WorkerClient(net, machine.address)
    for _ in range(ANNOUNCE_ATTEMPTS):
        if leader.stopped or machine.removed or machine.has_reported_under(leader.token):
            return
        try:
            heartbeat = await client.fetch_status()
            leader.cluster.commands.on_contact(machine)
            leader.receive_heartbeat(heartbeat, steady())
            if heartbeat.fencing_token < leader.token:
                token = leader.cluster.commands.token_for(machine)
                reply = await client.send_commands(token, heartbeat.worker_epoch, [])
                leader.receive_heartbeat(reply.heartbeat, steady())
        except NoResponseError:
            await asyncio.sleep(jitter(ANNOUNCE_RETRY_INTERVAL))
