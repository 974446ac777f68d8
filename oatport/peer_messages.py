"""The messages between controller nodes: one struct per message, a tagged CBOR array on the wire.

`PeerMessage.encode` returns the array: the tag, then the fields in the order of their declaration. `decode` parses such
an array. It accepts exactly what released versions accepted, so that nodes of different versions stay compatible during
an upgrade. This differs from message to message (some ignore further elements, some refuse them), so each `decode` is
written out instead of using `msgspec.convert`. For a malformed array it raises one of
`oatport.peer_codec.DECODE_ERRORS`.

Requests and their replies:

==================  =====================================  ==================================
tag of the request  request                                reply
==================  =====================================  ==================================
``ping``            `Ping`                                 `Pong`
``accepted``        `JobAccepted`                          `Ok`
``cancelled``       `JobCancelled`                         `Ok`
``display``         `JobProgressUpdate`                    `Ok`
``probe``           `ProbeWorkers`                         `ProbeResult`
``handover``        `Handover`                             `Ok` or `No`
``explain``         `ExplainJob`                           `JobExplanation` or `No`
``formats``         `SchemaVersionRequest`                 `SchemaVersionReply`
``carried out``     `CancellationWatermarkRequest`         `CancellationWatermark` or `No`
``kept``            `LeaseProxyStateRequest`               `LeaseProxyState` or `No`
``told``            `ConfirmedCancellationsRequest`        `ConfirmedCancellationsReply`
``ends``            `ReplicateCompletions`                 `Ok`
``ended``           `CompletionsRequest`                   `CompletionsReply`
==================  =====================================  ==================================

All durations are in microseconds.
"""

from __future__ import annotations

import reprlib
from typing import Any

from oatport.control.state import completions
from oatport.control.state.completions import Completion
from oatport.peer_codec import PeerArray, PeerMessage

MAX_PROBED_WORKERS = 50  # further addresses of a probe are ignored


# --- replies shared by several requests -------------------------------------------------------


class Ok(PeerMessage, frozen=True, tag="ok"):
    """Replies that a request was received, or agreed to."""


class No(PeerMessage, frozen=True, tag="no"):
    """Replies that a request was refused, or that the node doesn't have the requested information."""

    reason: str = ""

    def encode(self) -> PeerArray:
        """Returns the array; an empty reason is left out."""
        return ["no", self.reason] if self.reason else ["no"]

    @classmethod
    def decode(cls, message: PeerArray) -> No:
        """Parses ["no"] or ["no", reason]."""
        return cls(str(message[1])) if len(message) > 1 else cls()


def is_ok(reply: PeerArray) -> bool:
    """Returns whether the reply is `Ok`; the decoder for requests that a peer agrees to or refuses."""
    return bool(reply[0] == Ok.tag())


# --- leadership ----------------------------------------------------------------------------


class Ping(PeerMessage, frozen=True, tag="ping"):
    """Holds the leader as known to the sender, and whether the state service answers the sender."""

    node_name: str
    leader_name: str | None
    leader_token: int
    state_service_answers: bool

    @classmethod
    def decode(cls, message: PeerArray) -> Ping:
        """Parses ["ping", node, leader or None, token, state service answers]."""
        _, node_name, leader_name, leader_token, answers = message
        return cls(str(node_name), str(leader_name) if leader_name else None, int(leader_token), bool(answers))


class Pong(PeerMessage, frozen=True, tag="pong"):
    """Replies to `Ping` with the same information about the replying node.

    `quiet_us`: the time since the node last confirmed a cancellation; leaders of versions before 0.8 rely on it.
    """

    node_name: str
    leader_name: str | None
    leader_token: int
    state_service_answers: bool
    quiet_us: int

    @classmethod
    def decode(cls, message: PeerArray) -> Pong:
        """Parses ["pong", node, leader or None, token, state service answers, quiet for]."""
        _, node_name, leader_name, leader_token, answers, quiet_us = message
        leader = str(leader_name) if leader_name else None
        return cls(str(node_name), leader, int(leader_token), bool(answers), quiet_us)


class Handover(PeerMessage, frozen=True, tag="handover"):
    """Asks a better placed node to take over from the leader with this fencing token."""

    fencing_token: int

    @classmethod
    def decode(cls, message: PeerArray) -> Handover:
        """Parses ["handover", token]; further elements are ignored."""
        return cls(int(message[1]))


class ProbeWorkers(PeerMessage, frozen=True, tag="probe"):
    """Asks how many of the workers at these addresses the receiver can reach."""

    addresses: list[str]

    @classmethod
    def decode(cls, message: PeerArray) -> ProbeWorkers:
        """Parses ["probe", addresses]; further elements are ignored."""
        return cls([str(address) for address in message[1][:MAX_PROBED_WORKERS]])


class ProbeResult(PeerMessage, frozen=True, tag="seen"):
    """Holds the number of workers that were reached, and whether the state service answers the replying node."""

    reached: int
    state_service_answers: bool

    @classmethod
    def decode(cls, message: PeerArray) -> ProbeResult:
        """Parses ["seen", reached, state service answers]."""
        _, reached, answers = message
        return cls(int(reached), bool(answers))


# --- jobs ----------------------------------------------------------------------------------


class JobAccepted(PeerMessage, frozen=True, tag="accepted"):
    """Hints to the leader that a job was accepted with this record, at this revision."""

    job_id: str
    record: Any
    revision: int

    @classmethod
    def decode(cls, message: PeerArray) -> JobAccepted:
        """Parses ["accepted", job, record, revision]."""
        _, job_id, record, revision = message
        return cls(str(job_id), record, int(revision))


class JobCancelled(PeerMessage, frozen=True, tag="cancelled"):
    """Hints to the leader that a cancellation was confirmed to a user.

    `revision`: that of the sender's own commit; 0 if the sender observed the cancellation in another way.
    """

    job_id: str
    record: None
    revision: int

    @classmethod
    def decode(cls, message: PeerArray) -> JobCancelled:
        """Parses ["cancelled", job, None, revision]."""
        _, job_id, _, revision = message
        return cls(str(job_id), None, int(revision))


class JobProgressUpdate(PeerMessage, frozen=True, tag="display"):
    """Holds the leader's changed counts of completed and running tasks, and the jobs that became terminal."""

    changed: dict[str, tuple[int, int]]
    removed: list[str]

    @classmethod
    def decode(cls, message: PeerArray) -> JobProgressUpdate:
        """Parses ["display", {job: [completed, running]}, [job, ...]]; further elements are ignored."""
        changed = {str(job_id): (int(done), int(running)) for job_id, (done, running) in message[1].items()}
        return cls(changed, list(message[2]))


class ExplainJob(PeerMessage, frozen=True, tag="explain"):
    """Asks why a job waits.

    `forwarded`: the request was forwarded by a node that is not the leader; requests are forwarded once only.
    """

    job_id: str
    forwarded: bool = False

    def encode(self) -> PeerArray:
        """Returns the array; it has a third element only if the request is forwarded."""
        return ["explain", self.job_id, True] if self.forwarded else ["explain", self.job_id]

    @classmethod
    def decode(cls, message: PeerArray) -> ExplainJob:
        """Parses ["explain", job], with any further element if the request was forwarded."""
        return cls(str(message[1]), len(message) > 2)


class JobExplanation(PeerMessage, frozen=True, tag="explained"):
    """Holds the leader's explanation, for operators."""

    explanation: dict[str, Any]

    @classmethod
    def decode(cls, message: PeerArray) -> JobExplanation:
        """Parses ["explained", map]."""
        _, explanation = message
        return cls(explanation)


def decode_explanation(reply: PeerArray) -> JobExplanation | No:
    """Decodes the reply to `ExplainJob`."""
    return JobExplanation.decode(reply) if reply[0] == JobExplanation.tag() else No.decode(reply)


# --- storage ---------------------------------------------------------------------------------


class SchemaVersionRequest(PeerMessage, frozen=True, tag="formats"):
    """Asks for the schema version of records that the receiver reads; versions before 0.7 don't support it."""


class SchemaVersionReply(PeerMessage, frozen=True, tag="formats"):
    """Holds the schema version that a process reads.

    `boot_id` distinguishes the process from earlier processes of the same node. Versions before 0.7 don't send this.
    """

    node_name: str
    boot_id: str
    schema_version: int

    @classmethod
    def decode(cls, message: PeerArray) -> SchemaVersionReply:
        """Parses ["formats", node, boot, version]; further elements are ignored."""
        if len(message) < 4 or not isinstance(message[3], int):
            raise ValueError("not a schema version")
        return cls(str(message[1]), str(message[2]), message[3])


# --- leases and cancellations ----------------------------------------------------------------


def _optional_token(message: PeerArray, position: int) -> int:
    """Returns the token at a position, or 0 if a node of an earlier version did not send it."""
    token = message[position] if len(message) > position else 0
    return token if type(token) is int else 0


class CancellationWatermarkRequest(PeerMessage, frozen=True, tag="carried out"):
    """Asks for the cancellation watermark, the time up to which confirmed cancellations are carried out.

    Only the leader has a watermark.
    """


class CancellationWatermark(PeerMessage, frozen=True, tag="carried out"):
    """Holds the leader's fencing token and the age of the cancellation watermark; -1: there is no watermark.

    `highest_token`: the highest token of the leader's term; 0 from an earlier version, whose leader uses one token.
    """

    fencing_token: int
    age_us: int
    highest_token: int = 0

    @classmethod
    def decode(cls, message: PeerArray) -> CancellationWatermark:
        """Parses ["carried out", token, age, highest token]; further elements are ignored."""
        return cls(int(message[1]), int(message[2]), _optional_token(message, 3))


class LeaseProxyStateRequest(PeerMessage, frozen=True, tag="kept"):
    """Asks for the receiver's state as a lease proxy; versions before 0.8 don't support it."""


class LeaseProxyState(PeerMessage, frozen=True, tag="kept"):
    """Holds the state on which a lease proxy bases its decisions.

    `watermark_age_us`: the age of the cancellation watermark; `contact_age_us`: the time since the leader was asked for
    the watermark; `answering`: whether the node answers workers on behalf of the leader; `highest_token`: as in
    `CancellationWatermark`.
    """

    fencing_token: int
    watermark_age_us: int
    contact_age_us: int
    answering: bool
    highest_token: int = 0

    @classmethod
    def decode(cls, message: PeerArray) -> LeaseProxyState:
        """Parses ["kept", token, watermark age, contact age, answering, highest token], ignoring further elements."""
        _, token, watermark_age_us, contact_age_us, answering = message[:5]
        highest_token = _optional_token(message, 5)
        return cls(int(token), int(watermark_age_us), int(contact_age_us), answering is True, highest_token)


class ConfirmedCancellationsRequest(PeerMessage, frozen=True, tag="told"):
    """Asks for the cancellations that the receiver confirmed to users within `age_us` before it was sent."""

    age_us: int

    @classmethod
    def decode(cls, message: PeerArray) -> ConfirmedCancellationsRequest:
        """Parses ["told", age]; further elements are ignored."""
        age_us = message[1]
        if not isinstance(age_us, int) or isinstance(age_us, bool) or age_us < 0:
            raise ValueError("not a time")
        return cls(age_us)


class ConfirmedCancellationsReply(PeerMessage, frozen=True, tag="told"):
    """Holds the jobs whose cancellation the node confirmed; the list is complete for the last `complete_us`.

    A malformed reply must not be mistaken for one that lists no cancellations, so every element is validated.
    """

    complete_us: int
    job_ids: list[str]

    @classmethod
    def decode(cls, message: PeerArray) -> ConfirmedCancellationsReply:
        """Parses ["told", complete for, [job, ...]]; further elements are ignored."""
        match message:
            case ["told", int() as complete_us, list() as job_ids, *_] if not isinstance(complete_us, bool) and all(
                isinstance(job_id, str) for job_id in job_ids
            ):
                return cls(complete_us, job_ids)
        # reprlib bounds the depth: the built-in repr() raises RecursionError for a deeply nested reply.
        received = f"{reprlib.repr(message):.80}"
        raise ValueError(f"malformed reply, expected ['told', complete_us, [job_id, ...]]: {received}")


# --- completions that are not in a record yet --------------------------------------------------


class ReplicateCompletions(PeerMessage, frozen=True, tag="ends"):
    """Holds completions that the leader with this fencing token has received but not recorded yet."""

    fencing_token: int
    completions: list[Completion]

    @classmethod
    def decode(cls, message: PeerArray) -> ReplicateCompletions:
        """Parses ["ends", token, [[job, task, attempt], ...]]."""
        _, token, rows = message
        if type(token) is not int:
            raise ValueError("not a token")
        return cls(token, completions.decode_completions(rows))


class CompletionsRequest(PeerMessage, frozen=True, tag="ended"):
    """Asks for completions that leaders with lower tokens received and may not have recorded."""

    before_token: int

    @classmethod
    def decode(cls, message: PeerArray) -> CompletionsRequest:
        """Parses ["ended", token]; further elements are ignored."""
        if type(message[1]) is not int:
            raise ValueError("not a token")
        return cls(message[1])


class CompletionsReply(PeerMessage, frozen=True, tag="ended"):
    """Holds the requested completions, those of the newest leader first; None: the node has none of any such leader."""

    completions: list[Completion] | None

    @classmethod
    def decode(cls, message: PeerArray) -> CompletionsReply:
        """Parses ["ended", [[job, task, attempt], ...] or None]; further elements are ignored."""
        return cls(None if message[1] is None else completions.decode_completions(message[1]))
