"""What a node tells others of its users' jobs, and how a leader learns what it can't read in the state service.

That a job was accepted or cancelled is told to the leader at once: only a hint that saves time, since the leader
watches the records. While it can't, it asks each node what its users were told is cancelled
(`control/state/cancellations.py`).
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from oatport.clients.http import NoResponseError, RequestNotSentError, jitter
from oatport.clients.peer import PeerClient, UnexpectedReplyError
from oatport.control.state import completions as ends
from oatport.control.state.cancellations import CancellationLog, ConfirmedCancellations
from oatport.peer_messages import (
    CompletionsReply,
    CompletionsRequest,
    ConfirmedCancellationsReply,
    ConfirmedCancellationsRequest,
    JobAccepted,
    JobCancelled,
    MalformedReplyError,
    Ok,
    PeerMessage,
    ReplicateCompletions,
)
from oatport.service.background_tasks import BackgroundTasks
from oatport.service.leader import Leader
from oatport.settings import ClusterSettings
from oatport.times import MS, micros, seconds, steady

ASK_EVERY = 400 * MS
TELL_ENDS = 50 * MS  # the shorter, the less is lost with a leader that ends
TELL_LEFT_EVERY = 300 * MS
ENDED_WITHIN = 300 * MS  # a takeover waits no longer for what others know
TELL_LEFT_TRIES = 60  # a deposed leader's, at peers that it doesn't reach
STALE = 2_500 * MS  # the watch on jobs tells every second, if it tells


class NotifyingNode(Protocol):
    """The node that it belongs to."""

    leader: Leader | None
    peers: dict[str, PeerClient]
    group: BackgroundTasks
    last_leader: str  # the last one known beside this node; "": none is

    def leading_peer(self) -> PeerClient | None: ...


class PeerNotifier:
    def __init__(self, here: NotifyingNode, settings: ClusterSettings) -> None:
        self._here = here
        self.ends = ends.CompletionLog()
        self.cancellations = CancellationLog(steady(), 2 * micros(settings.workers.cancel_s))

    def accepted(self, ref: str, record: dict[str, Any], revision: int) -> None:
        self._hint(JobAccepted(ref, record, revision))

    def cancelled(self, ref: str, revision: int = 0) -> None:
        """The gate of every answer that a job is cancelled: called before it leaves.

        `revision`: of this node's own commit, which marked the job's live record as well; 0: it knows in another way.
        """
        if self.cancellations.tell(ref, steady()) and (revision or self._here.leader is not None):
            self._hint(JobCancelled(ref, None, revision))

    def _hint(self, hint: JobAccepted | JobCancelled) -> None:
        lead, peer = self._here.leader, self._here.leading_peer()
        if lead is not None:
            lead.on_job_hint(hint)
        elif peer is not None:
            self._here.group.once("tell", _ask_quietly(peer, hint))

    async def on_hint(self, hint: JobAccepted | JobCancelled) -> Ok:
        """A job was accepted, or its cancellation was confirmed to a user, by another node."""
        if self._here.leader is not None:
            self._here.leader.on_job_hint(hint)
        return Ok()

    # --- ends that are not recorded yet --------------------------------------------------------

    async def on_ends(self, message: ReplicateCompletions) -> Ok:
        """What that leader has taken in."""
        token = message.fencing_token
        self.ends.note(token, message.completions)
        lead = self._here.leader
        if lead is not None and token < lead.token:
            lead.apply_completions(message.completions)
        return Ok()

    async def on_ended(self, request: CompletionsRequest) -> CompletionsReply:
        """What did earlier leaders not record, as far as is known here?"""
        return CompletionsReply(self.ends.before(request.before_token))

    async def ends_loop(self) -> None:
        """As the leader: tell the others at once of ends that are not recorded, and first of all that it leads."""
        told = 0
        while True:
            lead = self._here.leader
            if lead is not None and lead.loaded:
                new = lead.cluster.completions.take_new()
                if new or lead.token != told:
                    told = lead.token
                    for peer in self._here.peers.values():
                        self._here.group.once("ends", _ask_quietly(peer, ReplicateCompletions(lead.token, new)))
            await asyncio.sleep(seconds(TELL_ENDS))

    def deposed(self, lead: Leader) -> None:
        """What it leaves unrecorded is told to the others, who may not be reached just now, and to whoever asks."""
        left = lead.cluster.completions.to_replicate()
        self.ends.note(lead.token, left)
        if left:
            for peer in self._here.peers.values():
                self._here.group.once("ends", self._tell_left(peer, lead.token, left))

    async def _tell_left(self, peer: PeerClient, token: int, left: list[ends.Completion]) -> None:
        for _ in range(TELL_LEFT_TRIES):
            try:
                await peer.notify(ReplicateCompletions(token, left))
                return
            except NoResponseError:
                await asyncio.sleep(jitter(TELL_LEFT_EVERY))

    async def completions_before(self, token: int) -> tuple[list[ends.Completion], bool]:
        """What earlier leaders took in and did not record, as far as any node knows; and whether that may be all.

        Not if no node knows anything, or the last leader may know more and can't be asked, since it is cut off or
        stands still. One whose process ended knows nothing any more.
        """
        request = CompletionsRequest(token)
        answers = await asyncio.gather(
            *(
                peer.ask(request, CompletionsReply.decode_reply, timeout_us=ENDED_WITHIN)
                for peer in self._here.peers.values()
            ),
            return_exceptions=True,
        )
        lists, complete = [self.ends.before(token)], True
        for name, answer in zip(self._here.peers, answers, strict=True):
            if (
                isinstance(answer, NoResponseError)
                and not isinstance(answer, RequestNotSentError | UnexpectedReplyError)
                and (name == (self._here.last_leader or name))
            ):
                complete = False
            try:
                if isinstance(answer, BaseException):
                    raise answer
                if answer.completions is not None:
                    lists.append(answer.completions)
            except (NoResponseError, MalformedReplyError):
                continue  # away, of an earlier version, or strange: less is known, and nothing else follows
        known = [found for found in lists if found is not None]
        return list(dict.fromkeys(end for found in known for end in found)), complete and bool(known)

    # --- what a leader that can't read is told ---------------------------------------------------

    async def on_told(self, request: ConfirmedCancellationsRequest) -> ConfirmedCancellationsReply:
        """Whose users were told that they are cancelled, within so long before the question was sent?"""
        told = self.cancellations.since(steady(), request.age_us)
        return ConfirmedCancellationsReply(told.whole_us, told.refs)

    async def loop(self) -> None:
        """As the leader: while the records can't be read, go by what all nodes told."""
        while True:
            lead = self._here.leader
            if lead is not None and lead.loaded and steady() - lead.lease_renewal_limit.known_at > STALE:
                await self.collect(lead)
            await asyncio.sleep(jitter(ASK_EVERY))

    async def collect(self, lead: Leader) -> None:
        """Put into effect what users were told, and move the moment of knowledge on if all nodes told all."""
        asked, since = steady(), lead.lease_renewal_limit.known_at
        answers = await asyncio.gather(
            *(
                peer.ask(ConfirmedCancellationsRequest(asked - since), ConfirmedCancellations.of)
                for peer in self._here.peers.values()
            ),
            return_exceptions=True,
        )
        answered = steady()
        if lead is not self._here.leader:
            return
        complete = True
        refs: dict[str, None] = {}
        for told in (self.cancellations.since(steady(), answered - since), *answers):
            if isinstance(told, NoResponseError | MalformedReplyError):
                complete = False  # it can't be asked, is of an earlier version, or says something strange
                continue
            if isinstance(told, BaseException):
                raise told
            refs |= dict.fromkeys(told.refs)
            complete = complete and told.covers(since, asked, answered)
        for ref in refs:
            lead.on_job_hint(JobCancelled(ref, None, 0))
        if complete:
            lead.lease_renewal_limit.known(asked)


async def _ask_quietly(peer: PeerClient, message: PeerMessage) -> None:
    for _ in range(2):
        try:
            await peer.notify(message)
            return
        except NoResponseError:
            await asyncio.sleep(jitter(100 * MS))
