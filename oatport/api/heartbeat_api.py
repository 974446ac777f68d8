"""Workers' heartbeats: the leader answers them, the others name the leader."""

from __future__ import annotations

from typing import Any, Protocol

from oatport import wire
from oatport.api.server import BodyReader, Response


class HeartbeatNode(Protocol):
    """What the workers' interface needs of its node."""

    node_name: str

    def answer_heartbeat(self, heartbeat: wire.Heartbeat) -> dict[str, Any] | None:
        """The answer, or None if this node may not renew leases now."""

    def leader_name(self) -> str | None:
        """The node that the worker is sent to; None if none is known."""


async def handle_heartbeat(node: HeartbeatNode, method: str, body: BodyReader) -> Response:
    """Answer one heartbeat. Raises wire.InvalidMessageError and BodyTooLargeError, which the server answers."""
    if method != "POST":
        return Response(405, {"error": "wrong method"}, {"Allow": "POST"})
    heartbeat = wire.decode_heartbeat(await body.read())
    answer = node.answer_heartbeat(heartbeat)
    if answer is not None:
        return Response(200, answer)
    leader = node.leader_name()
    return Response(421, wire.leader_redirect(leader if leader != node.node_name else None))
