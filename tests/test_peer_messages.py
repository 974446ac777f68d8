"""Tests that messages between nodes and the replies to them are those of the released version 0.8."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from oatport import wire
from oatport.api.peer_api import PeerApi
from oatport.clients.http import ConnectionReuse
from oatport.clients.peer import PeerClient, UnexpectedReplyError
from oatport.peer_codec import MalformedReplyError, PeerMessage
from oatport.peer_messages import (
    CancellationWatermark,
    CancellationWatermarkRequest,
    CompletionsReply,
    CompletionsRequest,
    ConfirmedCancellationsReply,
    ConfirmedCancellationsRequest,
    ExplainJob,
    Handover,
    JobAccepted,
    JobCancelled,
    JobExplanation,
    JobProgressUpdate,
    LeaseProxyState,
    LeaseProxyStateRequest,
    No,
    Ok,
    Ping,
    Pong,
    ProbeResult,
    ProbeWorkers,
    ReplicateCompletions,
    SchemaVersionReply,
    SchemaVersionRequest,
    decode_explanation,
    is_ok,
)
from oatport.service.node import Node
from oatport.settings import Tuning
from oatport.simulation.state_service import KeyStore
from tests.cluster_fixture import FakeStateClient, node_settings
from tests.test_node_failures import Body

# Recorded with the untyped messages of version 0.8: a request to a node that does not lead, the status of the response,
# and the reply or the error text. Times in replies are 0.
REPLIES = Path(__file__).parent / "fixtures" / "peer_replies.jsonl"

RECORD = {"state": "queued", "at": 5, "job": {"ref": "j-000001", "cores": 0.5, "tideS": None}}

ARRAYS: list[tuple[PeerMessage, list[Any]]] = [
    (Ok(), ["ok"]),
    (No(), ["no"]),
    (No("ask again"), ["no", "ask again"]),
    (Ping("n0", None, 0, False), ["ping", "n0", None, 0, False]),
    (Ping("n0", "n1", 7, True), ["ping", "n0", "n1", 7, True]),
    (Pong("n0", "n1", 7, True, 1 << 40), ["pong", "n0", "n1", 7, True, 1 << 40]),
    (Handover(7), ["handover", 7]),
    (ProbeWorkers(["h:1", "h:2"]), ["probe", ["h:1", "h:2"]]),
    (ProbeResult(1, True), ["seen", 1, True]),
    (JobAccepted("j-000001", RECORD, 7), ["accepted", "j-000001", RECORD, 7]),
    (JobCancelled("j-000001", None, 0), ["cancelled", "j-000001", None, 0]),
    (JobProgressUpdate({"j-000001": (3, 2)}, ["j-000002"]), ["display", {"j-000001": [3, 2]}, ["j-000002"]]),
    (ExplainJob("j-000001"), ["explain", "j-000001"]),
    (ExplainJob("j-000001", forwarded=True), ["explain", "j-000001", True]),
    (JobExplanation({"held": False}), ["explained", {"held": False}]),
    (SchemaVersionRequest(), ["formats"]),
    (SchemaVersionReply("n0", "boot", 2), ["formats", "n0", "boot", 2]),
    (CancellationWatermarkRequest(), ["carried out"]),
    (CancellationWatermark(7, -1, 9), ["carried out", 7, -1, 9]),
    (LeaseProxyStateRequest(), ["kept"]),
    (LeaseProxyState(7, 1, 2, True, 9), ["kept", 7, 1, 2, True, 9]),
    (ConfirmedCancellationsRequest(5), ["told", 5]),
    (ConfirmedCancellationsReply(5, ["j-000001"]), ["told", 5, ["j-000001"]]),
    (ReplicateCompletions(7, [("j-000001", 0, 1)]), ["ends", 7, [["j-000001", 0, 1]]]),
    (CompletionsRequest(7), ["ended", 7]),
    (CompletionsReply(None), ["ended", None]),
    (CompletionsReply([("j-000001", 0, 1)]), ["ended", [["j-000001", 0, 1]]]),
]


@pytest.mark.parametrize(("message", "array"), ARRAYS, ids=lambda value: str(value)[:40])
def test_each_message_encodes_to_its_tag_and_its_fields_in_order(message: PeerMessage, array: list[Any]) -> None:
    assert wire.encode(message.encode()) == wire.encode(array)


@pytest.mark.parametrize(("message", "array"), ARRAYS, ids=lambda value: str(value)[:40])
def test_each_encoded_message_decodes_to_an_equal_message(message: PeerMessage, array: list[Any]) -> None:
    assert type(message).decode(wire.decode(wire.encode(array))) == message


@pytest.mark.parametrize("line", REPLIES.read_text(encoding="utf-8").splitlines(), ids=lambda line: line[:40])
async def test_each_request_gets_the_reply_of_the_released_version(line: str) -> None:
    request, (status, expected) = json.loads(line)
    node = Node(node_settings(), Tuning(), boot="boot")
    node.state = FakeStateClient(KeyStore(lambda: 0))  # type: ignore[assignment]
    api, body = node.peer_api(), Body(request)
    if status == 400:
        with pytest.raises(wire.InvalidMessageError) as refused:  # the server sends this text with status 400
            await api.handle("POST", wire.PEER_PATH, body)  # type: ignore[arg-type]
        assert str(refused.value) == expected
        return
    response = await api.handle("POST", wire.PEER_PATH, body)  # type: ignore[arg-type]
    reply = wire.decode(wire.encode(response.value))
    for tag, time_position in (("pong", 5), ("told", 1)):
        if reply[0] == tag:
            reply[time_position] = 0
    assert (response.status, reply) == (status, expected)


async def test_other_paths_and_methods_are_refused() -> None:
    api = PeerApi()
    assert (await api.handle("POST", "/other", Body(["ping"]))).status == 404  # type: ignore[arg-type]
    assert (await api.handle("GET", wire.PEER_PATH, Body(["ping"]))).status == 405  # type: ignore[arg-type]


class FixedReply:
    """A network on which every request gets one reply."""

    def __init__(self, status: int, value: Any) -> None:
        self.reply, self.sent = (status, value), list[Any]()

    def client(self, address: str, reuse: ConnectionReuse = ConnectionReuse.KEEP_ALIVE) -> FixedReply:
        """Returns the network itself as the client of any address."""
        return self

    async def request(
        self, method: str, path: str, body: Any = None, *, timeout_us: int, query: str = ""
    ) -> tuple[int, Any]:
        """Records the request, and returns the fixed status and reply."""
        self.sent.append((method, path, body))
        return self.reply


@pytest.mark.parametrize("reply", [(400, {"error": "unknown tag"}), (200, None), (200, []), (200, {"pong": 1})])
async def test_a_reply_that_is_not_a_message_raises_an_unexpected_reply_error(reply: tuple[int, Any]) -> None:
    client = PeerClient(FixedReply(*reply), "n1", "h:1")
    with pytest.raises(UnexpectedReplyError):
        await client.ask(Ping("n0", None, 0, True), Pong.decode_reply)


@pytest.mark.parametrize(
    "reply", [["pong"], ["pong", "n1", None, 0, True], ["no"], ["pong", "n1", None, "x", True, 0], [7]]
)
async def test_a_reply_with_another_tag_or_form_raises_a_malformed_reply_error(reply: list[Any]) -> None:
    network = FixedReply(200, reply)
    client = PeerClient(network, "n1", "h:1")
    with pytest.raises(MalformedReplyError) as found:
        await client.ask(Ping("n0", None, 0, True), Pong.decode_reply)
    assert found.value.tag == reply[0]
    assert network.sent == [("POST", wire.PEER_PATH, ["ping", "n0", None, 0, True])]
    await client.notify(Ping("n0", None, 0, True))  # accepts any reply


def test_decoders_distinguish_the_types_of_replies() -> None:
    assert decode_explanation(["explained", {"held": True}]) == JobExplanation({"held": True})
    assert decode_explanation(["no", "ask again"]) == No("ask again")
    assert CancellationWatermark.decode_if_known(["carried out", 7, 5, "more"]) == CancellationWatermark(7, 5)
    assert CancellationWatermark.decode_if_known(["no"]) is None
    assert LeaseProxyState.decode_if_known(["kept", 7, 1, 2, 1, "more"]) == LeaseProxyState(7, 1, 2, False)
    assert LeaseProxyState.decode_if_known(["no"]) is None
    assert is_ok(["ok", "more"])
    assert not is_ok(["no"])
