"""The network between hosts: two links for each pair, one each way, on which requests and answers travel.

A request goes out on a kept-alive connection if there is one, else a connection is made first: it comes about only
while both links carry, and one that was given up never completes later. What was sent on a connection arrives
whatever its sender does meanwhile: when the link carries again (`hold`; each connection in its own time, since they
try again at longer and longer intervals), or never (`lost`).
"""

from __future__ import annotations

import asyncio
import inspect
import random
import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oatport import wire
from oatport.clients.http import NoResponseError, RequestNotSentError
from oatport.simulation.virtual_time import Host, VirtualLoop
from oatport.times import MS, SECOND

ANY_HOST = "any"  # a tag that all hosts have
LATENCY_US = MS // 2
IDLE_CONNECTION_US = 30 * SECOND  # an idle connection is closed after this
RETRANSMIT_US = 200 * MS  # a lost packet comes again
RECONNECT_US, RECONNECT_MAX_US = 300 * MS, 12 * SECOND  # after a cut, until a connection tries again
CONNECT_RETRY_US = SECOND  # so is a connection attempt
MAX_KEPT_MESSAGES = 6_000
DUPLICABLE_PATHS = frozenset((wire.COMMIT_PATH, wire.MACHINES_PATH, wire.RELEASE_PATH, wire.SUBMISSIONS_PATH))

Serve = Callable[[str, str, Any], Any]  # method, path and body to (status, value), now or awaited


@dataclass(frozen=True)
class LinkRule:
    """What the network does to messages from hosts with one tag to hosts with another."""

    source: str
    target: str
    # hold, lost, refuse (connections), slow, lossy, deaf (nothing arrives, what is sent back is sent), mute (no request
    # arrives, answers do)
    effect: str
    unless: str = ""  # not between two hosts that both have this tag
    amount: float = 0.0  # seconds more, or the share lost

    def covers(self, source: Host, target: Host) -> bool:
        """It applies to messages from one host to the other."""
        return (
            self.source in source.tags
            and self.target in target.tags
            and not (self.unless and self.unless in source.tags and self.unless in target.tags)
        )


@dataclass(slots=True)
class Link:
    """One way between two hosts. Each message is on a connection of its own for as long as it is under way."""

    source: Host
    target: Host
    held: deque[tuple[Host, Callable[[], None]]] = field(default_factory=deque)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request under way, as its sender sees it."""

    future: asyncio.Future[tuple[int, bytes]]


class Net:
    """The network of one run: who listens where, what links do to messages, and all requests under way."""

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self.loop = loop
        self._rng = random.Random(seed)
        self._links: dict[tuple[Host, Host], Link] = {}
        self._served: dict[str, tuple[Host, Serve]] = {}
        self._hosts: dict[str, Host] = {}  # by address, also of those that do not listen
        self._idle: dict[tuple[Host, str], deque[float]] = {}  # until when kept-alive connections are usable
        self._serving: dict[Host, dict[PendingRequest, Host]] = {}
        self.rules: list[LinkRule] = []
        self.duplications: list[tuple[str, float, list[str]]] = []  # what comes again, up to when (s), and where
        self.duplicate_for_next_leader_share = 0.0  # of reports: a copy is kept for the next leader
        self._kept_duplicates: list[tuple[Host, str, str, bytes | None]] = []  # from whom, and what
        self.denied_routes: list[tuple[str, str]] = []  # (host's name, address): answered 503, and nothing else
        self.messages: deque[str] = deque(maxlen=MAX_KEPT_MESSAGES)
        self.sent = 0
        self.keeps_bodies = False  # messages are kept with what they say
        self.closed = False  # the run is over: nobody is reached any more
        self.digest = 0  # of all messages: the same seed gives the same one

    # --- hosts ------------------------------------------------------------------------------

    def at(self, address: str, host: Host) -> None:
        """An address belongs to a host."""
        self._hosts[address] = host

    def listen(self, address: str, host: Host, serve: Serve) -> None:
        """A host serves an address from now on."""
        self._hosts[address] = host
        self._served[address] = (host, serve)

    def ended(self, host: Host) -> None:
        """A process is gone: its connections are reset, its port refuses."""
        for address in [a for a, (owner, _) in self._served.items() if owner is host]:
            del self._served[address]
        for key in [k for k in self._idle if k[0] is host or self._hosts.get(k[1]) is host]:
            del self._idle[key]
        for pending, caller in self._serving.pop(host, {}).items():
            self._travel(host, caller, lambda pending=pending: self._fail_request(pending, NoResponseError("reset")))  # type: ignore[misc]

    def unplugged(self, address: str) -> None:
        """A machine is gone: connections to it hang."""
        self._served.pop(address, None)
        host = self._hosts.get(address)
        for key in [k for k in self._idle if k[1] == address or k[0] is host]:
            del self._idle[key]

    # --- links ------------------------------------------------------------------------------

    def add(self, rule: LinkRule) -> None:
        """A rule holds from now on."""
        self.rules.append(rule)
        if rule.effect == "lost":  # such a cut resets what is open
            for key in list(self._idle):
                target = self._hosts.get(key[1])
                if target is not None and (rule.covers(key[0], target) or rule.covers(target, key[0])):
                    del self._idle[key]

    def remove(self, rule: LinkRule) -> None:
        """A rule ends: what it held up arrives, each message in its own time."""
        self.rules.remove(rule)
        for link in list(self._links.values()):
            if link.held and not self._cut_mode(link.source, link.target):
                held, link.held = link.held, deque()
                for host, call in held:
                    slow = self._rng.random() < 0.25
                    self._arrive(link, host, call, self._rng.randrange(RECONNECT_MAX_US if slow else RECONNECT_US))

    def _rule_amount(self, source: Host, target: Host, what: str) -> float | None:
        """What rules of an effect add up to on a link; None: there is none."""
        found = [rule.amount for rule in self.rules if rule.effect == what and rule.covers(source, target)]
        return sum(found) if found else None

    def _cut_mode(self, source: Host, target: Host) -> str:
        for rule in self.rules:
            if rule.effect in ("hold", "lost") and rule.covers(source, target):
                return rule.effect
        return ""

    def carries(self, source: Host, target: Host) -> bool:
        """What is sent now arrives, at once or slowly."""
        return not self._cut_mode(source, target) and self._rule_amount(source, target, "deaf") is None

    def _travel(self, source: Host, target: Host, call: Callable[[], None]) -> None:
        """Bring a message over: `call` happens on the target when it arrives."""
        link = self._links.get((source, target))
        if link is None:
            link = self._links[source, target] = Link(source, target)
        cut = self._cut_mode(source, target) if self.rules else ""
        if cut == "lost" or (self.rules and self._rule_amount(source, target, "deaf") is not None):
            return
        if cut:
            link.held.append((target, call))
            return
        self._arrive(link, target, call)

    def _arrive(self, link: Link, host: Host, call: Callable[[], None], late: int = 0) -> None:
        delay = LATENCY_US + self._rng.randrange(LATENCY_US)
        if self.rules:
            delay += round((self._rule_amount(link.source, host, "slow") or 0.0) * SECOND)
            if self._rng.random() < (self._rule_amount(link.source, host, "lossy") or 0.0):
                delay += RETRANSMIT_US
        self.loop.call_at(self.loop.time() + (delay + late) / SECOND, call, context=host.context)

    # --- requests ---------------------------------------------------------------------------

    async def request(
        self, source: Host, address: str, method: str, path: str, body: Any, timeout_us: int, query: str
    ) -> tuple[int, Any]:
        """Send one request and return its status and body. Raises RequestNotSentError or NoResponseError."""
        if self.closed:
            raise RequestNotSentError("the run is over")
        data = None if body is None else wire.encode(body)
        pending = PendingRequest(self.loop.create_future())
        timer = self.loop.call_later_us(timeout_us, source, self._fail_request, pending, NoResponseError("timeout"))
        target = f"{path}?{query}" if query else path
        try:
            await self._connect(source, address, pending)
            self._record(source, address, method, target, data)
            host = self._hosts[address]
            if self.duplications:
                self._duplicate(source, address, method, target, data)
            if path == wire.HEARTBEAT_PATH and self._chance(self.duplicate_for_next_leader_share):
                self._kept_duplicates.append((source, method, target, data))
            self._travel(source, host, lambda: self._serve(source, host, address, method, target, data, pending))
            status, raw = await pending.future
        finally:
            timer.cancel()
        self._idle.setdefault((source, address), deque()).append(self.loop.time() + IDLE_CONNECTION_US / SECOND)
        return status, wire.decode(raw) if raw else None

    def _chance(self, share: float) -> bool:
        """Drawn only where there is one, so that runs without it draw the same numbers as ever."""
        return bool(share) and self._rng.random() < share

    async def _connect(self, source: Host, address: str, pending: PendingRequest) -> None:
        """Return once there is a connection: a kept-alive one, or a new one. Raises RequestNotSentError if refused."""
        idle = self._idle.get((source, address))
        while idle:
            if idle.pop() > self.loop.time() and not self._is_mute(source, address):
                return
        while not pending.future.done():
            host = self._hosts.get(address)
            if host is not None and self._may_connect(source, host, address):
                if self._refuses(source, host, address):
                    raise RequestNotSentError("refused")
                if address in self._served:
                    await asyncio.sleep(2 * LATENCY_US / SECOND)
                    if not self._is_cut(source, host):
                        return
                elif "node" in host.tags:
                    raise RequestNotSentError("refused")  # its machine is up, the process is not
            # Nobody answers: tried again until the caller gives up.
            await asyncio.wait([pending.future], timeout=CONNECT_RETRY_US / SECOND)
        await pending.future

    def _is_cut(self, source: Host, host: Host) -> bool:
        """One way or the other nothing travels between them."""
        return bool(self._cut_mode(source, host) or self._cut_mode(host, source))

    def _may_connect(self, source: Host, host: Host, address: str) -> bool:
        """Both ways of a new connection carry."""
        mute = self._is_mute(source, address) or self._rule_amount(source, host, "deaf") is not None
        return not mute and not self._is_cut(source, host)

    def _refuses(self, source: Host, host: Host, address: str) -> bool:
        refuse = self._rule_amount(source, host, "refuse") is not None
        return refuse or (address not in self._served and not host.dead)

    def _is_mute(self, source: Host, address: str) -> bool:
        host = self._hosts.get(address)
        return bool(self.rules) and host is not None and self._rule_amount(source, host, "mute") is not None

    def _serve(
        self,
        source: Host,
        host: Host,
        address: str,
        method: str,
        target: str,
        data: bytes | None,
        pending: PendingRequest,
    ) -> None:
        served = self._served.get(address)
        if served is None or served[0] is not host:
            return
        if self.denied_routes and (source.name, address) in self.denied_routes:
            self._reply(host, source, (503, None), pending)
            return
        try:
            value = served[1](method, target, wire.decode(data) if data else None)
        except wire.InvalidMessageError:
            value = (400, None)
        if inspect.isawaitable(value):
            self._serving.setdefault(host, {})[pending] = source
            task = self.loop.create_task(self._answer(host, source, value, pending), context=host.context)
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
            return
        self._reply(host, source, value, pending)

    def _duplicate(self, source: Host, address: str, method: str, target: str, data: bytes | None) -> None:
        """A copy of what was just sent comes again later: a report at any node, other requests where they went.

        Commands come as they are sent, and no more: none is executed twice once its first was answered (PROTOCOL speaks
        of copies of reports, and of requests that their sender repeats).
        """
        path = target.split("?")[0]
        for kind, most_s, addresses in self.duplications:
            report = path == wire.HEARTBEAT_PATH
            if (kind == "reports") != report or (not report and (method != "POST" or path not in DUPLICABLE_PATHS)):
                continue
            if self._rng.random() > (0.2 if report else 0.1):
                continue
            there = self._rng.choice(addresses) if report else address
            delay = round(self._rng.uniform(0.05, most_s) * SECOND)
            self.loop.call_later_us(delay, None, self._send_copy, source, there, method, target, data)

    def deliver_kept_duplicates(self, address: str) -> None:
        """What was kept for the next leader arrives there, within the second in which it begins."""
        for source, method, target, data in self._kept_duplicates:
            self.loop.call_later_us(
                self._rng.randrange(SECOND), None, self._send_copy, source, address, method, target, data
            )
        self._kept_duplicates.clear()

    def _send_copy(self, source: Host, address: str, method: str, target: str, data: bytes | None) -> None:
        host = self._hosts.get(address)
        if host is None or self.closed:
            return
        pending = PendingRequest(self.loop.create_future())  # nobody reads the answer
        self._travel(source, host, lambda: self._serve(source, host, address, method, target, data, pending))

    async def _answer(self, host: Host, source: Host, value: Any, pending: PendingRequest) -> None:
        try:
            self._reply(host, source, await value, pending)
        finally:
            self._serving.get(host, {}).pop(pending, None)

    def _reply(self, host: Host, source: Host, value: tuple[int, Any], pending: PendingRequest) -> None:
        raw = b"" if value[1] is None else wire.encode(value[1])

        def come() -> None:
            if not pending.future.done():
                pending.future.set_result((value[0], raw))

        self._travel(host, source, come)

    @staticmethod
    def _fail_request(pending: PendingRequest, error: Exception) -> None:
        if not pending.future.done():
            pending.future.set_exception(error)

    def _record(self, source: Host, address: str, method: str, target: str, data: bytes | None) -> None:
        self.sent += 1
        line = f"{self.loop.time() - 1000:10.4f} {source.name} -> {self._hosts[address].name} {method} {target}"
        self.digest = zlib.crc32(line.encode(), self.digest)
        if data:
            self.digest = zlib.crc32(data, self.digest)
        self.messages.append(f"{line} {wire.decode(data)}" if self.keeps_bodies and data else line)
