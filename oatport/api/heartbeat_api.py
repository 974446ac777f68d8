"""The workers' interface: the leader answers heartbeats, other nodes redirect workers to the leader."""

from __future__ import annotations

from typing import Any, Protocol

from oatport import wire
from oatport.api.server import BodyReader, Response


class HeartbeatNode(Protocol):
    """Defines what the workers' interface uses of its node."""

    node_name: str

    def answer_heartbeat(self, heartbeat: wire.Heartbeat) -> dict[str, Any] | None:
        """Processes a heartbeat and returns the response, or None if this node may not renew leases now."""

    def leader_name(self) -> str | None:
        """Returns the name of the node to redirect workers to, or None if the leader is unknown."""


async def handle_heartbeat(node: HeartbeatNode, method: str, body: BodyReader) -> Response:
    """Returns the response to one heartbeat.

    Raises wire.InvalidMessageError and BodyTooLargeError, which the server turns into error responses.
    """
    if method != "POST":
        return Response(405, {"error": "wrong method"}, {"Allow": "POST"})
    heartbeat = wire.decode_heartbeat(await body.read())
    value = node.answer_heartbeat(heartbeat)
    if value is not None:
        return Response(200, value)
    leader = node.leader_name()
    return Response(421, wire.leader_redirect(leader if leader != node.node_name else None))
