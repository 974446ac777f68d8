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

import aiohttp

from oatport import wire
from oatport.api.server import Answer, BodyTooLargeError, Handler
from oatport.clients.http import ConnectionReuse, NoResponseError, RequestNotSentError
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
    """One request under way, as its sender sees it."""

    future: asyncio.Future[tuple[int, bytes]]


class Net:
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
        self._hosts[address] = host
        self._served[address] = (host, serve)

    def ended(self, host: Host) -> None:
        """A process is gone: its connections are reset, its port refuses."""
        for address in [a for a, (owner, _) in self._served.items() if owner is host]:
            del self._served[address]
        for key in [k for k in self._idle if k[0] is host or self._hosts.get(k[1]) is host]:
            del self._idle[key]
        for wait, caller in self._serving.pop(host, {}).items():
            self._travel(host, caller, lambda wait=wait: self._fail_request(wait, NoResponseError("reset")))  # type: ignore[misc]

    def unplugged(self, address: str) -> None:
        """A machine is gone: connections to it hang."""
        self._served.pop(address, None)
        host = self._hosts.get(address)
        for key in [k for k in self._idle if k[1] == address or k[0] is host]:
            del self._idle[key]

    # --- links ------------------------------------------------------------------------------

    def add(self, rule: LinkRule) -> None:
        self.rules.append(rule)
        if rule.effect == "lost":  # such a cut resets what is open
            for key in list(self._idle):
                target = self._hosts.get(key[1])
                if target is not None and (rule.covers(key[0], target) or rule.covers(target, key[0])):
                    del self._idle[key]

    def remove(self, rule: LinkRule) -> None:
        self.rules.remove(rule)
        for link in list(self._links.values()):
            if link.held and not self._cut_mode(link.source, link.target):
                held, link.held = link.held, deque()
                for host, call in held:
                    slow = self._rng.random() < 0.25
                    self._arrive(link, host, call, self._rng.randrange(RECONNECT_MAX_US if slow else RECONNECT_US))

    def _rule_amount(self, source: Host, target: Host, what: str) -> float | None:
        """What rules of a kind add up to on a link; None: there is none."""
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
        if self.closed:
            raise RequestNotSentError("the run is over")
        data = None if body is None else wire.encode(body)
        wait = PendingRequest(self.loop.create_future())
        timer = self.loop.call_later_us(timeout_us, source, self._fail_request, wait, NoResponseError("timeout"))
        target = f"{path}?{query}" if query else path
        try:
            await self._connect(source, address, wait)
            self._record(source, address, method, target, data)
            host = self._hosts[address]
            if self.duplications:
                self._duplicate(source, address, method, target, data)
            if (
                path == wire.HEARTBEAT_PATH
                and self.duplicate_for_next_leader_share
                and self._rng.random() < self.duplicate_for_next_leader_share
            ):
                self._kept_duplicates.append((source, method, target, data))
            self._travel(source, host, lambda: self._serve(source, host, address, method, target, data, wait))
            status, raw = await wait.future
        finally:
            timer.cancel()
        self._idle.setdefault((source, address), deque()).append(self.loop.time() + IDLE_CONNECTION_US / SECOND)
        return status, wire.decode(raw) if raw else None

    async def _connect(self, source: Host, address: str, wait: PendingRequest) -> None:
        idle = self._idle.get((source, address))
        while idle:
            if idle.pop() > self.loop.time() and not self._is_mute(source, address):
                return
        while not wait.future.done():
            host = self._hosts.get(address)
            mute = host is not None and (
                self._is_mute(source, address) or self._rule_amount(source, host, "deaf") is not None
            )
            if host is not None and not mute and not (self._cut_mode(source, host) or self._cut_mode(host, source)):
                if self._rule_amount(source, host, "refuse") is not None or (
                    address not in self._served and not host.dead
                ):
                    raise RequestNotSentError("refused")
                if address in self._served:
                    await asyncio.sleep(2 * LATENCY_US / SECOND)
                    if not (self._cut_mode(source, host) or self._cut_mode(host, source)):
                        return
                elif "node" in host.tags:
                    raise RequestNotSentError("refused")  # its machine is up, the process is not
            # Nobody answers: knocked again until the caller gives up.
            await asyncio.wait([wait.future], timeout=CONNECT_RETRY_US / SECOND)
        await wait.future

    def _is_mute(self, source: Host, address: str) -> bool:
        host = self._hosts.get(address)
        return bool(self.rules) and host is not None and self._rule_amount(source, host, "mute") is not None

    def _serve(
        self, source: Host, host: Host, address: str, method: str, target: str, data: bytes | None, wait: PendingRequest
    ) -> None:
        served = self._served.get(address)
        if served is None or served[0] is not host:
            return
        if self.denied_routes and (source.name, address) in self.denied_routes:
            self._reply(host, source, (503, None), wait)
            return
        try:
            value = served[1](method, target, wire.decode(data) if data else None)
        except wire.InvalidMessageError:
            value = (400, None)
        if inspect.isawaitable(value):
            self._serving.setdefault(host, {})[wait] = source
            task = self.loop.create_task(self._answer(host, source, value, wait), context=host.context)
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
            return
        self._reply(host, source, value, wait)

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
        wait = PendingRequest(self.loop.create_future())  # nobody reads the answer
        self._travel(source, host, lambda: self._serve(source, host, address, method, target, data, wait))

    async def _answer(self, host: Host, source: Host, value: Any, wait: PendingRequest) -> None:
        try:
            self._reply(host, source, await value, wait)
        finally:
            self._serving.get(host, {}).pop(wait, None)

    def _reply(self, host: Host, source: Host, value: tuple[int, Any], wait: PendingRequest) -> None:
        raw = b"" if value[1] is None else wire.encode(value[1])

        def come() -> None:
            if not wait.future.done():
                wait.future.set_result((value[0], raw))

        self._travel(host, source, come)

    @staticmethod
    def _fail_request(wait: PendingRequest, error: Exception) -> None:
        if not wait.future.done():
            wait.future.set_exception(error)

    def _record(self, source: Host, address: str, method: str, target: str, data: bytes | None) -> None:
        self.sent += 1
        line = f"{self.loop.time() - 1000:10.4f} {source.name} -> {self._hosts[address].name} {method} {target}"
        self.digest = zlib.crc32(line.encode(), self.digest)
        if data:
            self.digest = zlib.crc32(data, self.digest)
        self.messages.append(f"{line} {wire.decode(data)}" if self.keeps_bodies and data else line)


class Client:
    """What a host asks one address by (`clients.http.Requester`)."""

    def __init__(self, net: Net, host: Host, address: str) -> None:
        self._net, self._host, self._address = net, host, address

    async def request(
        self, method: str, path: str, body: Any = None, *, timeout_us: int, query: str = ""
    ) -> tuple[int, Any]:
        return await self._net.request(self._host, self._address, method, path, body, timeout_us, query)


class _Body:
    """A request's body as `api.server.BodyReader` has it."""

    def __init__(self, value: Any, limit: int) -> None:
        self._value, self._limit = value, limit

    async def read(self) -> Any:
        if self._value is None:
            raise wire.InvalidMessageError("empty")
        return self._value


class NodeNetwork:
    """A node's network (`service.network.Network`)."""

    def __init__(self, net: Net, host: Host) -> None:
        self._net, self._host = net, host

    def open(self) -> None:
        pass

    @property
    def session(self) -> aiohttp.ClientSession:
        raise NotImplementedError("no price feeds here")

    def client(self, address: str, reuse: ConnectionReuse = ConnectionReuse.KEEP_ALIVE) -> Client:
        return Client(self._net, self._host, address)

    def expect(self, machines: int, a_second: float) -> None:
        pass  # connections are not counted here

    def open_connections(self) -> int:
        return 0

    def server(self, address: str, handler: Handler, body_limit: int = wire.MAX_BODY_BYTES) -> _Listener:
        return _Listener(self._net, self._host, address, handler, body_limit)

    async def close(self) -> None:
        pass


class _Listener:
    def __init__(self, net: Net, host: Host, address: str, handler: Handler, limit: int) -> None:
        self._net, self._host, self._address, self._handler, self._limit = net, host, address, handler, limit

    async def start(self) -> None:
        self._net.listen(self._address, self._host, self._serve)

    async def close(self) -> None:
        pass

    async def _serve(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        try:
            answer = await self._handler(method, path, _Body(body, self._limit))  # type: ignore[arg-type]
        except BodyTooLargeError:
            answer = Answer(413)
        except wire.InvalidMessageError as error:
            answer = Answer(400, {"error": str(error)})
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._net.loop.errors.append(f"{self._host.name} {method} {path}: {error!r}")
            answer = Answer(500)
        value = answer.value
        after = answer.headers.get("Retry-After")
        if after is not None and isinstance(value, dict):
            value = {**value, "retryAfter": int(after)}
        return answer.status, value
