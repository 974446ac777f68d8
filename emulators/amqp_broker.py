"""An AMQP 0-9-1 broker on loopback, kept small: what the gateway's tests and the lab need, frames by pamqp.

Queues (durable or not, dead letters), exchanges (direct, fanout, topic), prefetch, confirms, mandatory returns, the
redelivery flag, heartbeats, connection.blocked. `fault` is called at each point where a connection may break; it
drops the connection by returning True. `restart` keeps durable queues' persistent messages.
"""

from __future__ import annotations

import asyncio
import struct
from collections import deque
from collections.abc import Callable

from pamqp import commands, exceptions

from emulators.amqp_connection import Connection
from emulators.amqp_queue import Queue, StoredMessage

# What ends a connection: that it broke, or a broken frame.
BROKEN_CONNECTION = (
    ConnectionError,
    asyncio.IncompleteReadError,
    TimeoutError,
    exceptions.PAMQPException,
    struct.error,
    ValueError,
    KeyError,
    IndexError,
    TypeError,
    AttributeError,
    UnicodeError,
    OverflowError,
)
# Where a connection may break (`Broker.fault`).
POINTS = ("publish", "confirm", "deliver", "ack", "acked")


class Broker:
    """Exchanges, queues and connections; also what it is told to do wrong."""

    def __init__(self, heartbeat_s: int = 10) -> None:
        self.queues: dict[str, Queue] = {}
        self.exchanges: dict[str, str] = {"": "direct"}
        self.bindings: list[tuple[str, str, str]] = []  # exchange, key, queue
        self.connections: set[Connection] = set()
        self.heartbeat_s = heartbeat_s
        # Called with each point where a connection may break; it breaks if that returns True.
        self.fault: Callable[[str], bool] = lambda point: False
        self.delay_s = 0.0
        self.blocked = False
        self.refuse = False
        self.port = 0
        self.redelivered = self.dropped = 0
        self._server: asyncio.Server | None = None
        self._names = 0

    async def start(self, port: int = 0) -> int:
        """Listen; returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port or self.port, reuse_address=True)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def stop(self) -> None:
        """Stop listening, and drop all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.drop()
        await asyncio.sleep(0)

    async def restart(self, *, lose_unconfirmed: bool = False) -> None:
        """Ended and started again: what was not durable is gone, what was not acknowledged comes again."""
        if lose_unconfirmed:
            for connection in self.connections:
                for channel in connection.channels.values():
                    channel.incoming = None
        await self.stop()
        self.queues = {name: queue for name, queue in self.queues.items() if queue.durable}
        for queue in self.queues.values():
            queue.messages = deque(m for m in queue.messages if m.properties.delivery_mode == 2)
        await self.start()

    def block(self, on: bool) -> None:
        """Tell all connections that publishing is blocked, or not any more."""
        self.blocked = on
        for connection in self.connections:
            connection.send(commands.Connection.Blocked("alarm") if on else commands.Connection.Unblocked(), 0)

    def declare(self, name: str, *, durable: bool = True, dead_letter: str | None = None) -> Queue:
        """The queue of that name, made if there is none."""
        return self.queues.setdefault(name, Queue(name, durable, dead_letter))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuse:
            writer.close()
            return
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except BROKEN_CONNECTION:
            pass  # it ends, nothing else does
        finally:
            self.connections.discard(connection)
            connection.release()

    # --- routing ----------------------------------------------------------------------------------

    def route(self, exchange: str, key: str) -> list[Queue]:
        """The queues that a message goes to."""
        if exchange == "":
            return [self.queues[key]] if key in self.queues else []
        kind = self.exchanges.get(exchange)
        names = {
            queue
            for name, bound, queue in self.bindings
            if name == exchange and (kind == "fanout" or bound == key or (kind == "topic" and _matches(bound, key)))
        }
        return [self.queues[name] for name in sorted(names) if name in self.queues]

    def put(self, queue: Queue, message: StoredMessage, *, front: bool = False) -> None:
        """Add a message, and deliver what can be."""
        (queue.messages.appendleft if front else queue.messages.append)(message)
        self.pump(queue)

    def pump(self, queue: Queue) -> None:
        """Deliver messages as long as a consumer takes one."""
        while queue.messages:
            ready = [(channel, tag) for channel, tag in queue.consumers if channel.can_take_more()]
            if not ready:
                return
            channel, tag = ready[0]
            queue.consumers.remove((channel, tag))
            queue.consumers.append((channel, tag))  # in turn
            message = queue.messages.popleft()
            channel.delivered += 1
            channel.unacked[channel.delivered] = (queue, message)
            self.redelivered += message.redelivered
            channel.send(
                commands.Basic.Deliver(tag, channel.delivered, message.redelivered, message.exchange, message.key)
            )
            channel.send_content(message)
            if self.fault("deliver"):
                channel.connection.drop()
                return

    def dead_letter(self, queue: Queue, message: StoredMessage) -> None:
        """A message was rejected: it goes where the queue says, or nowhere."""
        if queue.dead_letter is not None:
            for target in self.route(queue.dead_letter, queue.name):
                self.put(target, message)

    def new_name(self) -> str:
        """A name for a queue or a consumer that has none."""
        self._names += 1
        return f"amq.gen-{self._names}"


def _matches(pattern: str, key: str) -> bool:
    words, parts = pattern.split("."), key.split(".")

    def match(i: int, j: int) -> bool:
        if i == len(words):
            return j == len(parts)
        if words[i] == "#":
            return any(match(i + 1, k) for k in range(j, len(parts) + 1))
        return j < len(parts) and words[i] in ("*", parts[j]) and match(i + 1, j + 1)

    return match(0, 0)
