"""The schema version controller: records that all nodes can read what this version writes, once they can."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Iterable

from oatport.clients.http import NoResponseError, RequestRefusedError, jitter
from oatport.clients.state import Applied
from oatport.control.storage import schema_version
from oatport.control.storage.keys import LEADER_KEY, SCHEMA_VERSION_KEY
from oatport.peer_messages import SchemaVersionReply, SchemaVersionRequest
from oatport.service.leader_context import LeaderContext
from oatport.times import SECOND

log = logging.getLogger(__name__)

ASK_INTERVAL = SECOND


def compatible_boots(replies: Iterable[SchemaVersionReply | BaseException]) -> dict[str, str]:
    """Returns the names and boot ids of nodes that read this version's records; failed requests are ignored."""
    return {
        reply.node_name: reply.boot_id
        for reply in replies
        if not isinstance(reply, BaseException) and reply.schema_version >= schema_version.SCHEMA_VERSION
    }


class SchemaVersionController:
    """Asks all nodes for their schema version, until it is recorded that all read this version's records."""

    def __init__(self, leader: LeaderContext) -> None:
        self._leader = leader

    def start(self) -> None:
        """Starts `loop` in the background."""
        self._leader.background.supervise("schema version", self.loop)

    async def loop(self) -> None:
        """Asks all nodes until all of them read this version's records; the result is recorded for later leaders."""
        leader, node = self._leader, self._leader.node
        gate = schema_version.SchemaVersionGate([node.node_name, *node.peers])
        while not leader.stopped and not leader.cluster.writes.layout.should_split_records:
            replies = await asyncio.gather(
                *(peer.ask(SchemaVersionRequest(), SchemaVersionReply.decode_reply) for peer in node.peers.values()),
                return_exceptions=True,
            )
            own = SchemaVersionReply(node.node_name, node.boot_id, schema_version.SCHEMA_VERSION)
            if gate.on_poll_round(compatible_boots([own, *replies])):
                # If the outcome is unknown, the next round reads what was recorded.
                with contextlib.suppress(NoResponseError, RequestRefusedError):
                    await self.open_gate(gate)
            await asyncio.sleep(jitter(ASK_INTERVAL))

    async def open_gate(self, gate: schema_version.SchemaVersionGate) -> None:
        """Records that all nodes read this version. Raises NoResponseError or RequestRefusedError."""
        leader, key = self._leader, SCHEMA_VERSION_KEY
        result = await leader.state.commit({LEADER_KEY: leader.token, key: 0}, {key: gate.record()})
        if not isinstance(result, Applied):
            found = await leader.state.get(key)
            if found is None or schema_version.recorded_version(found[0]) < schema_version.SCHEMA_VERSION:
                return
        log.info("schema version enabled version=%d", schema_version.SCHEMA_VERSION)
        leader.cluster.writes.enable_record_parts()
        leader.wake()
