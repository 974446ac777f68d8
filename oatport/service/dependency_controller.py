"""What a leader does for jobs that wait for others, and to find out what all nodes read of what is stored."""

from __future__ import annotations

import asyncio
import contextlib
import logging

from oatport import wire
from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.clients.state import Applied
from oatport.control.storage import schema_version
from oatport.control.storage.write_buffer import JOBS, LEADER_KEY
from oatport.peer_messages import SchemaVersionRequest, undecoded
from oatport.service.leader_context import LeaderContext
from oatport.times import SECOND

log = logging.getLogger(__name__)

LOOK_S = 0.2
AGAIN_S = 1.0  # until a needed job that is not over is looked at again, if nothing was heard of it
ASK_EVERY = SECOND


class DependencyController:
    def __init__(self, helm: LeaderContext) -> None:
        self._helm = helm
        self.cluster = helm.cluster
        self.state = helm.state

    def start(self) -> None:
        self._helm.background.keep("needed jobs", self.needs_loop)
        self._helm.background.keep("formats", self.formats_loop)

    async def needs_loop(self) -> None:
        """Read how needed jobs stand of which no record is known: some together, one request at a time."""
        while not self._helm.stopped:
            await asyncio.sleep(LOOK_S)
            unknown = sorted(self.cluster.dependencies.graph.unknown)
            while unknown and not self._helm.stopped:
                try:
                    found, asked = await self.state.some(JOBS, unknown)
                except (NoResponseError, RequestRefusedError):
                    await asyncio.sleep(jitter(SECOND))
                    break
                for ref in asked:
                    record = found[ref][0] if ref in found else {}
                    self._take(ref, str(record.get("state")), int(record.get("ended", 0)))
                unknown = unknown[len(asked) :]
                self._helm.wake()
                await asyncio.sleep(LOOK_S / 4)
            if self.cluster.dependencies.graph.unknown:
                await asyncio.sleep(AGAIN_S)  # accepted a moment ago: the watch brings it

    def _take(self, ref: str, state: str, ended: int) -> None:
        """Its record says so: an end holds for good, anything else may have changed since."""
        if state == wire.JobStatus.COMPLETED:
            self.cluster.dependencies.on_completion_recorded(ref, ended)
        elif state == wire.JobStatus.CANCELLED:
            self.cluster.dependencies.cancel_dependents(ref)
        elif state == wire.JobStatus.FAILED or ref in self.cluster.jobs:
            self.cluster.dependencies.graph.seen(ref)

    async def formats_loop(self) -> None:
        """Until all nodes are known to read what this version writes, ask them. Recorded, so that it is asked once."""
        home = self._helm.node
        gate = schema_version.Gate([home.node_name, *home.peers])
        while not self._helm.stopped and not self.cluster.writes.layout.parts:
            answers = await asyncio.gather(
                *(peer.ask(SchemaVersionRequest(), undecoded) for peer in home.peers.values()), return_exceptions=True
            )
            own = schema_version.answer(home.node_name, home.boot_id)
            if gate.heard([own, *(row for row in answers if not isinstance(row, BaseException))]):
                # Outcome unknown: the next round finds what is recorded.
                with contextlib.suppress(NoResponseError, RequestRefusedError):
                    await self._open(gate)
            await asyncio.sleep(jitter(ASK_EVERY))

    async def _open(self, gate: schema_version.Gate) -> None:
        result = await self.state.commit(
            {LEADER_KEY: self._helm.token, schema_version.FORMATS_KEY: 0}, {schema_version.FORMATS_KEY: gate.record()}
        )
        if not isinstance(result, Applied):
            found = await self.state.get(schema_version.FORMATS_KEY)
            if found is None or schema_version.reads_of(found[0]) < schema_version.READS:
                return
        log.info("all nodes read formats up to %d", schema_version.READS)
        self.cluster.writes.enable_record_parts()
        self._helm.wake()
