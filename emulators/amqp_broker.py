"""Emulates an AMQP 0-9-1 broker on loopback, for the gateway's tests and the lab; pamqp encodes the frames.

The broker implements only what the tests and the lab need: queues (durable or not, dead letters), exchanges (direct,
fanout, topic), prefetch, confirms, mandatory returns, the redelivery flag, heartbeats and connection.blocked. `fault`
is called at each point where a connection may break; the connection is dropped if it returns True. `restart` keeps the
persistent messages of durable queues.
"""

from __future__ import annotations

import asyncio
import struct
from collections import deque
from collections.abc import Callable

from pamqp import commands, exceptions

from emulators.amqp_connection import Connection
from emulators.amqp_queue import Queue, StoredMessage

# Exceptions that end a connection: the connection broke, or the client sent a malformed frame.
CONNECTION_ERRORS = (
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
# Points at which a connection may break (`Broker.fault`).
FAULT_POINTS = ("publish", "confirm", "deliver", "ack", "acked")


class Broker:
    """Holds exchanges, queues and connections, and the faults that a test injects."""

    def __init__(self, heartbeat_s: int = 10) -> None:
        self.queues: dict[str, Queue] = {}
        self.exchanges: dict[str, str] = {"": "direct"}
        self.bindings: list[tuple[str, str, str]] = []  # exchange, key, queue
        self.connections: set[Connection] = set()
        self.heartbeat_s = heartbeat_s
        # Called with the name of each point that a connection reaches; the connection breaks if the result is True.
        self.fault: Callable[[str], bool] = lambda point: False
        self.delay_s = 0.0
        self.blocked = False
        self.refuses_connections = False
        self.port = 0
        self.redelivered = self.dropped = 0
        self._server: asyncio.Server | None = None
        self._name_count = 0

    async def start(self, port: int = 0) -> int:
        """Starts listening, and returns the port; 0 means the port of the last start, or a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port or self.port, reuse_address=True)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def stop(self) -> None:
        """Stops listening, and drops all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.drop()
        await asyncio.sleep(0)

    async def restart(self, *, lose_unconfirmed: bool = False) -> None:
        """Restarts the broker: keeps only persistent messages of durable queues, and redelivers unacknowledged ones.

        With `lose_unconfirmed`, messages that were received in part are dropped too.
        """
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
        """Blocks or unblocks publishing, and notifies all connections."""
        self.blocked = on
        for connection in self.connections:
            connection.send(commands.Connection.Blocked("alarm") if on else commands.Connection.Unblocked(), 0)

    def declare(self, name: str, *, durable: bool = True, dead_letter: str | None = None) -> Queue:
        """Returns the queue with a name; creates the queue if it doesn't exist."""
        return self.queues.setdefault(name, Queue(name, durable, dead_letter))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuses_connections:
            writer.close()
            return
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except CONNECTION_ERRORS:
            pass  # ends this connection only
        finally:
            self.connections.discard(connection)
            connection.release()

    # --- routing ----------------------------------------------------------------------------------

    def route(self, exchange: str, key: str) -> list[Queue]:
        """Returns the queues to which a message is routed."""
        if exchange == "":
            return [self.queues[key]] if key in self.queues else []
        exchange_type = self.exchanges.get(exchange)
        names = {
            queue
            for name, binding_key, queue in self.bindings
            if name == exchange
            and (
                exchange_type == "fanout"
                or binding_key == key
                or (exchange_type == "topic" and _matches_topic(binding_key, key))
            )
        }
        return [self.queues[name] for name in sorted(names) if name in self.queues]

    def enqueue(self, queue: Queue, message: StoredMessage, *, front: bool = False) -> None:
        """Adds a message to a queue, and delivers the messages that consumers can take."""
        (queue.messages.appendleft if front else queue.messages.append)(message)
        self.deliver(queue)

    def deliver(self, queue: Queue) -> None:
        """Delivers messages of a queue to its consumers, as far as the prefetch limits allow."""
        while queue.messages:
            ready = [(channel, tag) for channel, tag in queue.consumers if channel.can_take_more()]
            if not ready:
                return
            channel, tag = ready[0]
            queue.consumers.remove((channel, tag))
            queue.consumers.append((channel, tag))  # round robin
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
        """Routes a rejected message to the queue's dead letter exchange; drops the message if there is none."""
        if queue.dead_letter is not None:
            for target in self.route(queue.dead_letter, queue.name):
                self.enqueue(target, message)

    def generate_name(self) -> str:
        """Returns a new name for a queue or a consumer that the client didn't name."""
        self._name_count += 1
        return f"amq.gen-{self._name_count}"


def _matches_topic(pattern: str, key: str) -> bool:
    words, parts = pattern.split("."), key.split(".")

    def match(i: int, j: int) -> bool:
        if i == len(words):
            return j == len(parts)
        if words[i] == "#":
            return any(match(i + 1, k) for k in range(j, len(parts) + 1))
        return j < len(parts) and words[i] in ("*", parts[j]) and match(i + 1, j + 1)

    return match(0, 0)
