"""Workers' reports: the leader answers them, the others name the leader."""

from __future__ import annotations

from typing import Any, Protocol

from oatport import wire
from oatport.api.server import Answer, BodyReader


class HeartbeatReceiver(Protocol):
    """What takes reports in."""

    node_name: str

    def answer_heartbeat(self, report: wire.Heartbeat) -> dict[str, Any] | None:
        """The answer, or None if this node is not entitled to give one."""

    def leader_name(self) -> str | None: ...


async def handle_report(desk: HeartbeatReceiver, method: str, body: BodyReader) -> Answer:
    if method != "POST":
        return Answer(405, {"error": "wrong method"}, {"Allow": "POST"})
    report = wire.decode_heartbeat(await body.read())
    answer = desk.answer_heartbeat(report)
    if answer is not None:
        return Answer(200, answer)
    leader = desk.leader_name()
    return Answer(421, wire.leader_redirect(leader if leader != desk.node_name else None))
