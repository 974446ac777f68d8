"""The simulated network between hosts, with one link per direction for each pair of hosts.

A request uses a kept-alive connection if there is one; otherwise a new connection is opened first. A connection opens
only while both links deliver, and an attempt that timed out never completes later. A message that was sent on a
connection is delivered even if its sender ends. During a cut, a message is delivered after the cut if the rule's effect
is `hold` (at a different time on each connection, since connections retry at growing intervals), or never if the effect
is `lost`.
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
from oatport.simulation.body_limits import BodyLimits, is_larger
from oatport.simulation.virtual_time import Host, VirtualLoop
from oatport.times import MS, SECOND

ANY_HOST = "any"  # tag of all hosts
LATENCY_US = MS // 2
IDLE_CONNECTION_US = 30 * SECOND  # an idle connection is closed after this time
RETRANSMIT_US = 200 * MS  # delay until a lost packet is retransmitted
# Longest delay after a cut until a connection retries: for most connections, and for the slow quarter of them.
RECONNECT_US, RECONNECT_MAX_US = 300 * MS, 12 * SECOND
CONNECT_RETRY_US = SECOND  # interval between attempts to open a connection
MAX_RECORDED_MESSAGES = 6_000
HEARTBEAT_COPY_SHARE, COMMAND_COPY_SHARE, REQUEST_COPY_SHARE = 0.2, 0.3, 0.1  # of the messages during the fault
COPIED_METHODS = ("POST", "DELETE")  # requests with other methods change nothing

RequestHandler = Callable[[str, str, Any], Any]  # method, path, body -> (status, value) or an awaitable of it


@dataclass(frozen=True)
class LinkRule:
    """Defines an effect on messages from hosts with one tag to hosts with another."""

    source: str
    target: str
    # hold, lost, refuse (connections), slow, lossy, deaf (no message arrives; messages in the other direction do),
    # mute (no request arrives, responses do)
    effect: str
    exempt_tag: str = ""  # the rule exempts messages between two hosts that both have this tag
    amount: float = 0.0  # slow: additional seconds; lossy: share of lost packets

    def applies_to(self, source: Host, target: Host) -> bool:
        """Returns whether the rule applies to messages from `source` to `target`."""
        return (
            self.source in source.tags
            and self.target in target.tags
            and not (self.exempt_tag and self.exempt_tag in source.tags and self.exempt_tag in target.tags)
        )


@dataclass(slots=True)
class BrokerConnection:
    """Holds the messages that a cut delays from one host to another. Each message is on a separate connection."""

    source: Host
    target: Host
    held: deque[tuple[Host, Callable[[], None]]] = field(default_factory=deque)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """Holds the sender's future of a request in progress."""

    future: asyncio.Future[tuple[int, bytes]]


def _copy_share(path: str) -> float:
    """Returns the share of requests to a path of which a copy is sent."""
    shares = {wire.HEARTBEAT_PATH: HEARTBEAT_COPY_SHARE, wire.COMMANDS_PATH: COMMAND_COPY_SHARE}
    return shares.get(path, REQUEST_COPY_SHARE)


class SimulatedNetwork:
    """Holds the network of one run: listening addresses, link rules and all requests in progress."""

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self.loop = loop
        self._rng = random.Random(seed)
        self._links: dict[tuple[Host, Host], BrokerConnection] = {}
        self._listeners: dict[str, tuple[Host, RequestHandler]] = {}
        self._limits: dict[str, BodyLimits] = {}  # of the bodies at each listening address
        self.oversized_count = 0  # requests and responses that exceeded a limit
        self._hosts: dict[str, Host] = {}  # by address, including hosts that do not listen
        # Loop times until which the kept-alive connections are usable, by host and address.
        self._idle: dict[tuple[Host, str], deque[float]] = {}
        self._requests_in_progress: dict[Host, dict[PendingRequest, Host]] = {}
        self.rules: list[LinkRule] = []
        self.duplications: list[tuple[str, float, list[str]]] = []  # kind, longest delay (s), addresses
        self.duplicate_for_next_leader_share = 0.0  # share of heartbeats of which a copy is kept for the next leader
        self._copies_for_next_leader: list[tuple[Host, str, str, bytes | None]] = []  # sender, method, target, data
        self.denied_routes: list[tuple[str, str]] = []  # (host name, address): all requests get 503
        self.messages: deque[str] = deque(maxlen=MAX_RECORDED_MESSAGES)
        self.request_count = 0
        self.records_bodies = False  # messages are recorded with their bodies
        self.closed = False  # the run has ended: every request fails
        self.digest = 0  # checksum of all messages: the same seed gives the same digest

    # --- hosts ------------------------------------------------------------------------------

    def register_address(self, address: str, host: Host) -> None:
        """Assigns an address to a host that need not listen on it."""
        self._hosts[address] = host

    def listen(self, address: str, host: Host, serve: RequestHandler, limits: BodyLimits | None = None) -> None:
        """Starts serving an address with a host's request handler; larger requests get 413."""
        self._hosts[address] = host
        self._listeners[address] = (host, serve)
        self._limits[address] = limits or BodyLimits()

    def on_process_ended(self, host: Host) -> None:
        """Resets the connections of a process that ended; its ports refuse connections from then on."""
        for address in [a for a, (owner, _) in self._listeners.items() if owner is host]:
            del self._listeners[address]
        for key in [k for k in self._idle if k[0] is host or self._hosts.get(k[1]) is host]:
            del self._idle[key]
        for pending, caller in self._requests_in_progress.pop(host, {}).items():
            self._transmit(host, caller, lambda pending=pending: self._fail_request(pending, NoResponseError("reset")))  # type: ignore[misc]

    def on_machine_gone(self, address: str) -> None:
        """Closes the connections of a machine that is gone; new connections to its address hang."""
        self._listeners.pop(address, None)
        host = self._hosts.get(address)
        for key in [k for k in self._idle if k[1] == address or k[0] is host]:
            del self._idle[key]

    # --- links ------------------------------------------------------------------------------

    def add_rule(self, rule: LinkRule) -> None:
        """Adds a link rule. A `lost` rule also closes the idle connections on its links."""
        self.rules.append(rule)
        if rule.effect == "lost":
            for key in list(self._idle):
                target = self._hosts.get(key[1])
                if target is not None and (rule.applies_to(key[0], target) or rule.applies_to(target, key[0])):
                    del self._idle[key]

    def remove_rule(self, rule: LinkRule) -> None:
        """Removes a rule and delivers the messages that it held, each after a random delay."""
        self.rules.remove(rule)
        for link in list(self._links.values()):
            if link.held and not self._cut_mode(link.source, link.target):
                held, link.held = link.held, deque()
                for host, call in held:
                    is_slow = self._rng.random() < 0.25
                    self._schedule_delivery(
                        link, host, call, self._rng.randrange(RECONNECT_MAX_US if is_slow else RECONNECT_US)
                    )

    def _rule_amount(self, source: Host, target: Host, effect_name: str) -> float | None:
        """Returns the sum of the amounts of all rules with an effect on a link; None: no such rule."""
        amounts = [rule.amount for rule in self.rules if rule.effect == effect_name and rule.applies_to(source, target)]
        return sum(amounts) if amounts else None

    def _cut_mode(self, source: Host, target: Host) -> str:
        for rule in self.rules:
            if rule.effect in ("hold", "lost") and rule.applies_to(source, target):
                return rule.effect
        return ""

    def can_deliver(self, source: Host, target: Host) -> bool:
        """Returns whether a message that is sent now is delivered, possibly with additional delay."""
        return not self._cut_mode(source, target) and self._rule_amount(source, target, "deaf") is None

    def _transmit(self, source: Host, target: Host, call: Callable[[], None]) -> None:
        """Sends a message over a link: `call` runs on the target when the message arrives."""
        link = self._links.get((source, target))
        if link is None:
            link = self._links[source, target] = BrokerConnection(source, target)
        cut = self._cut_mode(source, target) if self.rules else ""
        if cut == "lost" or (self.rules and self._rule_amount(source, target, "deaf") is not None):
            return
        if cut:
            link.held.append((target, call))
            return
        self._schedule_delivery(link, target, call)

    def _schedule_delivery(
        self, link: BrokerConnection, host: Host, call: Callable[[], None], extra_delay_us: int = 0
    ) -> None:
        delay = LATENCY_US + self._rng.randrange(LATENCY_US)
        if self.rules:
            delay += round((self._rule_amount(link.source, host, "slow") or 0.0) * SECOND)
            if self._rng.random() < (self._rule_amount(link.source, host, "lossy") or 0.0):
                delay += RETRANSMIT_US
        self.loop.call_at(self.loop.time() + (delay + extra_delay_us) / SECOND, call, context=host.context)

    # --- requests ---------------------------------------------------------------------------

    async def request(
        self, source: Host, address: str, method: str, path: str, body: Any, timeout_us: int, query: str
    ) -> tuple[int, Any]:
        """Sends one request and returns its status and body. Raises RequestNotSentError or NoResponseError."""
        if self.closed:
            raise RequestNotSentError("simulation has ended")
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
                self._copies_for_next_leader.append((source, method, target, data))
            self._transmit(source, host, lambda: self._serve(source, host, address, method, target, data, pending))
            status, raw = await pending.future
        finally:
            timer.cancel()
        self._idle.setdefault((source, address), deque()).append(self.loop.time() + IDLE_CONNECTION_US / SECOND)
        return status, wire.decode(raw) if raw else None

    def _chance(self, share: float) -> bool:
        """Returns True with a probability of `share`.

        A share of 0 draws no random number, so that runs without this fault keep their sequence of random numbers.
        """
        return bool(share) and self._rng.random() < share

    async def _connect(self, source: Host, address: str, pending: PendingRequest) -> None:
        """Returns once a kept-alive or new connection is open. Raises RequestNotSentError if it is refused."""
        idle = self._idle.get((source, address))
        while idle:
            if idle.pop() > self.loop.time() and not self._is_mute(source, address):
                return
        while not pending.future.done():
            host = self._hosts.get(address)
            if host is not None and self._can_connect(source, host, address):
                if self._refuses(source, host, address):
                    raise RequestNotSentError("refused")
                if address in self._listeners:
                    await asyncio.sleep(2 * LATENCY_US / SECOND)
                    if not self._is_cut(source, host):
                        return
                elif "node" in host.tags:
                    raise RequestNotSentError("refused")  # the node's machine is up, its process is not
            # No response: the connection attempt is repeated until the request times out.
            await asyncio.wait([pending.future], timeout=CONNECT_RETRY_US / SECOND)
        await pending.future

    def _is_cut(self, source: Host, host: Host) -> bool:
        """Returns whether at least one direction between two hosts is cut."""
        return bool(self._cut_mode(source, host) or self._cut_mode(host, source))

    def _can_connect(self, source: Host, host: Host, address: str) -> bool:
        """Returns whether both directions deliver, so that a connection can open."""
        is_blocked = self._is_mute(source, address) or self._rule_amount(source, host, "deaf") is not None
        return not is_blocked and not self._is_cut(source, host)

    def _refuses(self, source: Host, host: Host, address: str) -> bool:
        has_refuse_rule = self._rule_amount(source, host, "refuse") is not None
        return has_refuse_rule or (address not in self._listeners and not host.dead)

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
        listener = self._listeners.get(address)
        if listener is None or listener[0] is not host:
            return
        if self.denied_routes and (source.name, address) in self.denied_routes:
            self._reply(host, source, (503, None), pending, None)
            return
        value = self._call_listener(address, listener[1], method, target, data)
        if inspect.isawaitable(value):
            self._requests_in_progress.setdefault(host, {})[pending] = source
            reply = self._reply_when_ready(host, source, value, pending, self._limits[address].response)
            task = self.loop.create_task(reply, context=host.context)
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
            return
        self._reply(host, source, value, pending, self._limits[address].response)

    def _call_listener(self, address: str, serve: RequestHandler, method: str, target: str, data: bytes | None) -> Any:
        limits = self._limits[address]
        if data and is_larger(data, limits.request):
            self.oversized_count += 1
            return 413, None
        try:
            return serve(method, target, wire.decode(data) if data else None)
        except wire.InvalidMessageError:
            return 400, None

    def _duplicate(self, source: Host, address: str, method: str, target: str, data: bytes | None) -> None:
        """Sends a copy of a request later, also after its response.

        Copies of heartbeats go to any node, those of other requests to the same address.
        """
        path = target.split("?")[0]
        is_heartbeat = path == wire.HEARTBEAT_PATH
        for kind, max_delay_s, addresses in self.duplications:
            if (kind == "reports") != is_heartbeat or method not in COPIED_METHODS:
                continue
            if self._rng.random() > _copy_share(path):
                continue
            destination = self._rng.choice(addresses) if is_heartbeat else address
            delay = round(self._rng.uniform(0.05, max_delay_s) * SECOND)
            self.loop.call_later_us(delay, None, self._send_copy, source, destination, method, target, data)

    def deliver_copies_for_next_leader(self, address: str) -> None:
        """Sends the copies that were kept for the next leader to `address`, each after a delay of up to one second."""
        for source, method, target, data in self._copies_for_next_leader:
            self.loop.call_later_us(
                self._rng.randrange(SECOND), None, self._send_copy, source, address, method, target, data
            )
        self._copies_for_next_leader.clear()

    def _send_copy(self, source: Host, address: str, method: str, target: str, data: bytes | None) -> None:
        host = self._hosts.get(address)
        if host is None or self.closed:
            return
        pending = PendingRequest(self.loop.create_future())  # the response is discarded
        self._transmit(source, host, lambda: self._serve(source, host, address, method, target, data, pending))

    async def _reply_when_ready(
        self, host: Host, source: Host, value: Any, pending: PendingRequest, limit: int | None
    ) -> None:
        try:
            self._reply(host, source, await value, pending, limit)
        finally:
            self._requests_in_progress.get(host, {}).pop(pending, None)

    def _reply(
        self, host: Host, source: Host, value: tuple[int, Any], pending: PendingRequest, limit: int | None
    ) -> None:
        """Sends a response; its receiver drops one that is too large."""
        raw = b"" if value[1] is None else wire.encode(value[1])
        if raw and is_larger(raw, limit):
            self.oversized_count += 1
            return

        def deliver() -> None:
            if not pending.future.done():
                pending.future.set_result((value[0], raw))

        self._transmit(host, source, deliver)

    @staticmethod
    def _fail_request(pending: PendingRequest, error: Exception) -> None:
        if not pending.future.done():
            pending.future.set_exception(error)

    def _record(self, source: Host, address: str, method: str, target: str, data: bytes | None) -> None:
        self.request_count += 1
        line = f"{self.loop.time() - 1000:10.4f} {source.name} -> {self._hosts[address].name} {method} {target}"
        self.digest = zlib.crc32(line.encode(), self.digest)
        if data:
            self.digest = zlib.crc32(data, self.digest)
        self.messages.append(f"{line} {wire.decode(data)}" if self.records_bodies and data else line)
