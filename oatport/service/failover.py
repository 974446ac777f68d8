"""Failover: the records are read, and the recorded machines are asked what runs on them."""

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

INTRODUCTION_TRIES = 3  # after that the machine's own report has to come
INTRODUCTION_RETRY = SECOND


@dataclass(frozen=True, slots=True)
class RecordSnapshot:
    """All that earlier leaders left: rows for `recovery.load`, and the revision to watch jobs from."""

    rows: list[wire.StoredEntry]
    revision: int


async def read_records(state: StateClient) -> RecordSnapshot:
    """Read all records that a leader goes by.

    Raises NoResponseError or RequestRefusedError.
    """
    live, revision = await state.list_prefix(LIVE_PREFIX)
    # After `live/`: only a leader moves a job from here to there, and no other one can any more.
    waits, _ = await state.list_prefix(BLOCKED_PREFIX)
    fleet, _ = await state.list_prefix(FLEET_PREFIX)
    rows, _ = await state.list_prefix(MODEL_KEY)
    for key in (PARTITIONED_ZONES_KEY, SCHEMA_VERSION_KEY):
        found = await state.get(key)
        if found is not None:
            rows.append(wire.StoredEntry(key, *found))
    for entries in (live, waits):
        for number, entry in enumerate(entries):
            if "more" in entry.value:
                entries[number] = entry._replace(value=await read_whole(state, entry.value))
    return RecordSnapshot(rows + fleet + live + waits, revision)


async def read_whole(state: StateClient, value: Any) -> Any:
    """The record of a job with its long lists. Raises NoResponseError or RequestRefusedError."""
    count, job_id = int(value["more"][0]), str(value["job"]["ref"])
    parts = []
    for number in range(count):
        found = await state.get(overflow_key(job_id, number))
        if found is None:
            raise NoResponseError(
                f"{overflow_key(job_id, number)} is missing"
            )  # it was written before its job was accepted
        parts.append(found[0])
    return merge_overflow(value, parts)


def introduce_all(leader: LeaderContext, net: Network) -> None:
    """Introduce the leader to all machines whose addresses are known."""
    for machine in list(leader.cluster.machines.values()):
        if machine.address:
            leader.background.spawn("introduce", introduce(leader, net, machine))


async def introduce(leader: LeaderContext, net: Network, machine: Machine) -> None:
    """Let a machine know the new token, and learn what is on it, without waiting for its report."""
    client = WorkerClient(net, machine.address)
    for _ in range(INTRODUCTION_TRIES):
        if leader.stopped or machine.removed or machine.has_reported_under(leader.token):
            return
        try:
            report = await client.fetch_status()
            leader.cluster.commands.on_contact(machine)
            leader.receive_heartbeat(report, steady())
            if report.fencing_token < leader.token:
                leader.receive_heartbeat(await client.send_commands(leader.token, report.agent_epoch, []), steady())
        except NoResponseError:
            await asyncio.sleep(jitter(INTRODUCTION_RETRY))
