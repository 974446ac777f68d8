"""The messages between controller nodes: one struct each, a tagged CBOR array on the wire.

`PeerMessage.encode` gives the array: the tag, then the fields in the order in which they are declared. `decode` takes
such an array apart. It accepts exactly what released versions accepted, which differs from message to message (some
ignore further elements, some refuse them), so that nodes of different versions go on understanding one another
during an upgrade; for that reason it is written out instead of being left to `msgspec.convert`. For an array of
another form it raises one of `oatport.peer_codec.DECODE_ERRORS`.

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

from typing import Any

from oatport.control.state import completions
from oatport.control.state.completions import Completion
from oatport.peer_codec import PeerArray, PeerMessage

MAX_PROBED_WORKERS = 50  # addresses of one probe that are looked at


# --- answers that several requests have in common ---------------------------------------------


class Ok(PeerMessage, frozen=True, tag="ok"):
    """Received, or agreed to."""


class No(PeerMessage, frozen=True, tag="no"):
    """Refused, or not known to this node."""

    reason: str = ""

    def encode(self) -> PeerArray:
        """The array; a reason that isn't given is left out."""
        return ["no", self.reason] if self.reason else ["no"]

    @classmethod
    def decode(cls, message: PeerArray) -> No:
        """["no"] or ["no", reason]."""
        return cls(str(message[1])) if len(message) > 1 else cls()


def is_ok(reply: PeerArray) -> bool:
    """Decoder for requests that a peer agrees to or refuses."""
    return bool(reply[0] == Ok.tag())


# --- who leads -----------------------------------------------------------------------------


class Ping(PeerMessage, frozen=True, tag="ping"):
    """Who the sender takes for the leader, and whether the state service answers the sender."""

    node_name: str
    leader_name: str | None
    leader_token: int
    state_service_answers: bool

    @classmethod
    def decode(cls, message: PeerArray) -> Ping:
        """["ping", node, leader or None, token, state service answers]."""
        _, node_name, leader_name, leader_token, answers = message
        return cls(str(node_name), str(leader_name) if leader_name else None, int(leader_token), bool(answers))


class Pong(PeerMessage, frozen=True, tag="pong"):
    """The same about the node that was asked.

    `quiet_us`: for how long it confirmed no cancellation; leaders of versions before 0.8 go by it.
    """

    node_name: str
    leader_name: str | None
    leader_token: int
    state_service_answers: bool
    quiet_us: int

    @classmethod
    def decode(cls, message: PeerArray) -> Pong:
        """["pong", node, leader or None, token, state service answers, quiet for]."""
        _, node_name, leader_name, leader_token, answers, quiet_us = message
        leader = str(leader_name) if leader_name else None
        return cls(str(node_name), leader, int(leader_token), bool(answers), quiet_us)


class Handover(PeerMessage, frozen=True, tag="handover"):
    """The leader with this fencing token asks a better placed node to replace it."""

    fencing_token: int

    @classmethod
    def decode(cls, message: PeerArray) -> Handover:
        """["handover", token]; further elements are ignored."""
        return cls(int(message[1]))


class ProbeWorkers(PeerMessage, frozen=True, tag="probe"):
    """How many of the workers at these addresses can the receiver reach?"""

    addresses: list[str]

    @classmethod
    def decode(cls, message: PeerArray) -> ProbeWorkers:
        """["probe", addresses]; further elements are ignored."""
        return cls([str(address) for address in message[1][:MAX_PROBED_WORKERS]])


class ProbeResult(PeerMessage, frozen=True, tag="seen"):
    """How many workers were reached, and whether the state service answers that node."""

    reached: int
    state_service_answers: bool

    @classmethod
    def decode(cls, message: PeerArray) -> ProbeResult:
        """["seen", reached, state service answers]."""
        _, reached, answers = message
        return cls(int(reached), bool(answers))


# --- jobs ----------------------------------------------------------------------------------


class JobAccepted(PeerMessage, frozen=True, tag="accepted"):
    """A hint for the leader: a job was accepted with this record, at this revision."""

    job_id: str
    record: Any
    revision: int

    @classmethod
    def decode(cls, message: PeerArray) -> JobAccepted:
        """["accepted", job, record, revision]."""
        _, job_id, record, revision = message
        return cls(str(job_id), record, int(revision))


class JobCancelled(PeerMessage, frozen=True, tag="cancelled"):
    """A hint for the leader: a cancellation was confirmed to a user.

    `revision`: of the sender's own commit; 0 if it learnt of the cancellation in another way.
    """

    job_id: str
    record: None
    revision: int

    @classmethod
    def decode(cls, message: PeerArray) -> JobCancelled:
        """["cancelled", job, None, revision]."""
        _, job_id, _, revision = message
        return cls(str(job_id), None, int(revision))


class JobProgressUpdate(PeerMessage, frozen=True, tag="display"):
    """From the leader: counts of completed and running tasks that changed, and jobs that reached a terminal state."""

    changed: dict[str, tuple[int, int]]
    removed: list[str]

    @classmethod
    def decode(cls, message: PeerArray) -> JobProgressUpdate:
        """["display", {job: [completed, running]}, [job, ...]]; further elements are ignored."""
        changed = {str(job_id): (int(done), int(running)) for job_id, (done, running) in message[1].items()}
        return cls(changed, list(message[2]))


class ExplainJob(PeerMessage, frozen=True, tag="explain"):
    """Why does a job wait? `forwarded`: by a node that does not lead, which happens once."""

    job_id: str
    forwarded: bool = False

    def encode(self) -> PeerArray:
        """The array; it has a third element only if the question is forwarded."""
        return ["explain", self.job_id, True] if self.forwarded else ["explain", self.job_id]

    @classmethod
    def decode(cls, message: PeerArray) -> ExplainJob:
        """["explain", job], with any further element if it was forwarded."""
        return cls(str(message[1]), len(message) > 2)


class JobExplanation(PeerMessage, frozen=True, tag="explained"):
    """The leader's explanation, for operators."""

    explanation: dict[str, Any]

    @classmethod
    def decode(cls, message: PeerArray) -> JobExplanation:
        """["explained", map]."""
        _, explanation = message
        return cls(explanation)


def decode_explanation(reply: PeerArray) -> JobExplanation | No:
    """Decoder for the reply to `ExplainJob`."""
    return JobExplanation.decode(reply) if reply[0] == JobExplanation.tag() else No.decode(reply)


# --- storage ---------------------------------------------------------------------------------


class SchemaVersionRequest(PeerMessage, frozen=True, tag="formats"):
    """Which schema version of the records does the receiver read? Versions before 0.7 don't know the question."""


class SchemaVersionReply(PeerMessage, frozen=True, tag="formats"):
    """The schema version that a process reads; `boot_id` tells it from earlier processes of the same node.

    Versions before 0.7 don't answer.
    """

    node_name: str
    boot_id: str
    schema_version: int

    @classmethod
    def decode(cls, message: PeerArray) -> SchemaVersionReply:
        """["formats", node, boot, version]; further elements are ignored."""
        if len(message) < 4 or not isinstance(message[3], int):
            raise ValueError("not a schema version")
        return cls(str(message[1]), str(message[2]), message[3])


# --- leases and cancellations ----------------------------------------------------------------


class CancellationWatermarkRequest(PeerMessage, frozen=True, tag="carried out"):
    """Up to when are confirmed cancellations carried out? Only the leader knows."""


class CancellationWatermark(PeerMessage, frozen=True, tag="carried out"):
    """The leader's token, and how long ago the cancellation watermark was; -1: there is none."""

    fencing_token: int
    age_us: int

    @classmethod
    def decode(cls, message: PeerArray) -> CancellationWatermark:
        """["carried out", token, age]; further elements are ignored."""
        return cls(int(message[1]), int(message[2]))


class LeaseProxyStateRequest(PeerMessage, frozen=True, tag="kept"):
    """What does the receiver go by as a lease proxy? Versions before 0.8 don't know the question."""


class LeaseProxyState(PeerMessage, frozen=True, tag="kept"):
    """What a lease proxy goes by.

    `watermark_age_us`: how long ago the cancellation watermark was; `contact_age_us`: how long ago the leader was asked
    for it; `answering`: the node answers workers in the leader's name.
    """

    fencing_token: int
    watermark_age_us: int
    contact_age_us: int
    answering: bool

    @classmethod
    def decode(cls, message: PeerArray) -> LeaseProxyState:
        """["kept", token, watermark's age, contact's age, answering]; further elements are ignored."""
        _, token, watermark_age_us, contact_age_us, answering = message[:5]
        return cls(int(token), int(watermark_age_us), int(contact_age_us), answering is True)


class ConfirmedCancellationsRequest(PeerMessage, frozen=True, tag="told"):
    """Which cancellations did the receiver confirm to users, within so long before the question was sent?"""

    age_us: int

    @classmethod
    def decode(cls, message: PeerArray) -> ConfirmedCancellationsRequest:
        """["told", age]; further elements are ignored."""
        age_us = message[1]
        if not isinstance(age_us, int) or isinstance(age_us, bool) or age_us < 0:
            raise ValueError("not a time")
        return cls(age_us)


class ConfirmedCancellationsReply(PeerMessage, frozen=True, tag="told"):
    """Those jobs, and for how long back that is all.

    A strange reply must not pass for one that lists no cancellation, so every element is checked.
    """

    complete_us: int
    job_ids: list[str]

    @classmethod
    def decode(cls, message: PeerArray) -> ConfirmedCancellationsReply:
        """["told", complete for, [job, ...]]; further elements are ignored."""
        match message:
            case ["told", int() as complete_us, list() as job_ids, *_] if not isinstance(complete_us, bool) and all(
                isinstance(job_id, str) for job_id in job_ids
            ):
                return cls(complete_us, job_ids)
        raise ValueError("not what was told")


# --- completions that no record has yet --------------------------------------------------------


class ReplicateCompletions(PeerMessage, frozen=True, tag="ends"):
    """Completions that the leader with this token received and has not recorded yet."""

    fencing_token: int
    completions: list[Completion]

    @classmethod
    def decode(cls, message: PeerArray) -> ReplicateCompletions:
        """["ends", token, [[job, task, attempt], ...]]."""
        _, token, rows = message
        if type(token) is not int:
            raise ValueError("not a token")
        return cls(token, completions.decode_completions(rows))


class CompletionsRequest(PeerMessage, frozen=True, tag="ended"):
    """What did leaders before this token receive and maybe not record?"""

    before_token: int

    @classmethod
    def decode(cls, message: PeerArray) -> CompletionsRequest:
        """["ended", token]; further elements are ignored."""
        if type(message[1]) is not int:
            raise ValueError("not a token")
        return cls(message[1])


class CompletionsReply(PeerMessage, frozen=True, tag="ended"):
    """Those completions, of the newest leader first; None: nothing is known of any earlier leader."""

    completions: list[Completion] | None

    @classmethod
    def decode(cls, message: PeerArray) -> CompletionsReply:
        """["ended", [[job, task, attempt], ...] or None]; further elements are ignored."""
        return cls(None if message[1] is None else completions.decode_completions(message[1]))
