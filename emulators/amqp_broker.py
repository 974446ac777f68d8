"""A stand-in AMQP 0-9-1 broker on loopback, kept small: what the gateway's tests and the lab need, frames by pamqp.

Queues (durable or not, dead letters), exchanges (direct, fanout, topic), prefetch, confirms, mandatory returns, the
redelivery flag, heartbeats, connection.blocked. `fault` is called at each point where a connection may break; it
drops the connection by returning True. `restart` keeps durable queues' persistent messages.
"""

from __future__ import annotations

import asyncio
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from pamqp import base, body, commands, exceptions, frame, header, heartbeat

FRAME_MOST = 131_072
MESSAGE_MOST = 1_048_576
BUFFER_MOST = 4 * FRAME_MOST
POINTS = ("publish", "confirm", "deliver", "ack", "acked")


@dataclass
class Stored:
    exchange: str
    key: str
    properties: commands.Basic.Properties
    payload: bytes
    redelivered: bool = False


@dataclass
class Queue:
    name: str
    durable: bool = True
    dead_letter: str | None = None
    exclusive: Any = None
    messages: deque[Stored] = field(default_factory=deque)
    consumers: list[tuple[Channel, str]] = field(default_factory=list)


class Channel:
    def __init__(self, connection: Connection, number: int) -> None:
        self.connection, self.number = connection, number
        self.prefetch = 0
        self.confirms = False
        self.published = self.delivered = 0
        self.unacked: dict[int, tuple[Queue, Stored]] = {}
        self.incoming: tuple[commands.Basic.Publish, header.ContentHeader | None, bytearray] | None = None

    def send(self, value: Any) -> None:
        self.connection.send(value, self.number)

    def has_room(self) -> bool:
        return not self.prefetch or len(self.unacked) < self.prefetch


class Broker:
    def __init__(self, heartbeat_s: int = 10) -> None:
        self.queues: dict[str, Queue] = {}
        self.exchanges: dict[str, str] = {"": "direct"}
        self.bindings: list[tuple[str, str, str]] = []  # exchange, key, queue
        self.connections: set[Connection] = set()
        self.heartbeat_s = heartbeat_s
        self.fault: Callable[[str], bool] = lambda point: False
        self.delay_s = 0.0
        self.blocked = False
        self.refuse = False
        self.port = 0
        self.redelivered = self.dropped = 0
        self._server: asyncio.Server | None = None
        self._names = 0

    async def start(self, port: int = 0) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port or self.port, reuse_address=True)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def stop(self) -> None:
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
        self.blocked = on
        for connection in self.connections:
            connection.send(commands.Connection.Blocked("alarm") if on else commands.Connection.Unblocked(), 0)

    def declare(self, name: str, *, durable: bool = True, dead_letter: str | None = None) -> Queue:
        return self.queues.setdefault(name, Queue(name, durable, dead_letter))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuse:
            writer.close()
            return
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except (
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
        ):
            pass  # a broken frame, or a broken connection: it ends, nothing else does
        finally:
            self.connections.discard(connection)
            connection.over()

    # --- routing ----------------------------------------------------------------------------------

    def route(self, exchange: str, key: str) -> list[Queue]:
        if exchange == "":
            return [self.queues[key]] if key in self.queues else []
        kind = self.exchanges.get(exchange)
        names = {
            queue
            for name, bound, queue in self.bindings
            if name == exchange and (kind == "fanout" or bound == key or (kind == "topic" and _matches(bound, key)))
        }
        return [self.queues[name] for name in sorted(names) if name in self.queues]

    def put(self, queue: Queue, message: Stored, *, front: bool = False) -> None:
        (queue.messages.appendleft if front else queue.messages.append)(message)
        self.pump(queue)

    def pump(self, queue: Queue) -> None:
        while queue.messages:
            ready = [(channel, tag) for channel, tag in queue.consumers if channel.has_room()]
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
            _send_content(channel, message)
            if self.fault("deliver"):
                channel.connection.drop()
                return

    def dead(self, queue: Queue, message: Stored) -> None:
        if queue.dead_letter is not None:
            for target in self.route(queue.dead_letter, queue.name):
                self.put(target, message)

    def new_name(self) -> str:
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


def _send_content(channel: Channel, message: Stored) -> None:
    channel.send(header.ContentHeader(0, len(message.payload), message.properties))
    for at in range(0, len(message.payload), FRAME_MOST - 8):
        channel.send(body.ContentBody(message.payload[at : at + FRAME_MOST - 8]))


class Connection:
    def __init__(self, broker: Broker, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.broker, self._reader, self._writer = broker, reader, writer
        self.channels: dict[int, Channel] = {}
        self.last_received_at = asyncio.get_running_loop().time()
        self._heartbeat_s = broker.heartbeat_s  # proposed; from the client's TuneOk on, what it chose
        self._closed = False

    def send(self, value: Any, channel: int) -> None:
        if not self._closed:
            self._writer.write(frame.marshal(value, channel))

    def drop(self) -> None:
        """End without a word."""
        if not self._closed:
            self._closed = True
            self.broker.dropped += 1
            self._writer.transport.abort()

    def over(self) -> None:
        """What was not acknowledged goes back, in order, and is flagged."""
        self.drop()
        for queue in self.broker.queues.values():
            queue.consumers = [c for c in queue.consumers if c[0].connection is not self]
        for channel in self.channels.values():
            for queue, message in reversed(channel.unacked.values()):
                message.redelivered = True
                self.broker.put(queue, message, front=True)
            channel.unacked.clear()
        for name in [n for n, q in self.broker.queues.items() if q.exclusive is self]:
            del self.broker.queues[name]

    async def run(self) -> None:
        if await self._reader.readexactly(8) != b"AMQP\x00\x00\x09\x01":
            self._writer.write(b"AMQP\x00\x00\x09\x01")
            return
        self.send(
            commands.Connection.Start(
                0,
                9,
                {
                    "product": "stand-in",
                    "capabilities": {
                        "publisher_confirms": True,
                        "basic.nack": True,
                        "connection.blocked": True,
                        "consumer_cancel_notify": True,
                    },
                },
            ),
            0,
        )
        beats = asyncio.get_running_loop().create_task(self._beat())
        data = b""
        try:
            while not self._closed:
                part = await self._reader.read(65_536)
                if not part:
                    return
                self.last_received_at = asyncio.get_running_loop().time()
                data += part
                while data:
                    if len(data) >= 7 and int.from_bytes(data[3:7]) > FRAME_MOST:
                        return
                    try:
                        used, number, value = frame.unmarshal(data)
                    except exceptions.UnmarshalingException:
                        if len(data) < 7 or len(data) < int.from_bytes(data[3:7]) + 8:
                            break  # the rest of the frame is to come
                        return
                    if not used or value is None:
                        break
                    data = data[used:]
                    if self.broker.delay_s:
                        await asyncio.sleep(self.broker.delay_s)
                    self._take(number, value)
                if len(data) > BUFFER_MOST:
                    return
                await self._writer.drain()
        finally:
            beats.cancel()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(self.broker.heartbeat_s / 2)
            self.send(heartbeat.Heartbeat(), 0)
            silent_s = asyncio.get_running_loop().time() - self.last_received_at
            if self._heartbeat_s and silent_s > 2 * self._heartbeat_s:
                self.drop()

    def _take(self, number: int, value: Any) -> None:
        if isinstance(value, heartbeat.Heartbeat):
            return
        if number == 0:
            self._on_connection(value)
            return
        if isinstance(value, commands.Channel.Open):
            self.channels[number] = Channel(self, number)
            self.send(commands.Channel.OpenOk(), number)
            return
        channel = self.channels[number]
        if isinstance(value, header.ContentHeader | body.ContentBody):
            self._on_content(channel, value)
        elif isinstance(value, base.Frame):
            self._on_method(channel, value)

    def _on_connection(self, value: Any) -> None:
        if isinstance(value, commands.Connection.StartOk):
            self.send(commands.Connection.Tune(2047, FRAME_MOST, self.broker.heartbeat_s), 0)
        elif isinstance(value, commands.Connection.TuneOk):
            self._heartbeat_s = int(value.heartbeat)  # 0: none
        elif isinstance(value, commands.Connection.Open):
            self.send(commands.Connection.OpenOk(), 0)
            if self.broker.blocked:
                self.send(commands.Connection.Blocked("alarm"), 0)
        elif isinstance(value, commands.Connection.Close):
            self.send(commands.Connection.CloseOk(), 0)
            self._writer.close()

    def _on_content(self, channel: Channel, value: header.ContentHeader | body.ContentBody) -> None:
        if channel.incoming is None:
            return
        method, head, payload = channel.incoming
        if isinstance(value, header.ContentHeader):
            if value.body_size > MESSAGE_MOST:
                raise ValueError("too large")
            head = value
            channel.incoming = (method, head, payload)
        else:
            payload += value.value
        if head is not None and len(payload) >= head.body_size:
            channel.incoming = None
            self._published(channel, method, head.properties, bytes(payload))

    def _published(
        self, channel: Channel, method: commands.Basic.Publish, properties: commands.Basic.Properties, payload: bytes
    ) -> None:
        if self.broker.fault("publish"):
            self.drop()  # lost on its way
            return
        message = Stored(method.exchange, method.routing_key, properties, payload)
        targets = self.broker.route(method.exchange, method.routing_key)
        for queue in targets:
            self.broker.put(queue, Stored(method.exchange, method.routing_key, properties, payload))
        channel.published += 1
        if not targets and method.mandatory:
            channel.send(commands.Basic.Return(312, "NO_ROUTE", method.exchange, method.routing_key))
            _send_content(channel, message)
        if self.broker.fault("confirm"):
            self.drop()  # taken, and its sender never hears of it
        elif channel.confirms:
            channel.send(commands.Basic.Ack(channel.published))

    def _on_method(self, channel: Channel, value: Any) -> None:
        broker = self.broker
        if isinstance(value, commands.Basic.Publish):
            channel.incoming = (value, None, bytearray())
        elif isinstance(value, commands.Basic.Ack | commands.Basic.Nack | commands.Basic.Reject):
            self._on_settled(channel, value)
        elif isinstance(value, commands.Basic.Qos):
            channel.prefetch = value.prefetch_count or 0
            channel.send(commands.Basic.QosOk())
        elif isinstance(value, commands.Basic.Consume):
            tag = value.consumer_tag or broker.new_name()
            queue = broker.queues.get(value.queue)
            if queue is None:
                channel.send(commands.Channel.Close(404, "NOT_FOUND", 60, 20))
                return
            queue.consumers.append((channel, tag))
            channel.send(commands.Basic.ConsumeOk(tag))
            broker.pump(queue)
        elif isinstance(value, commands.Basic.Cancel):
            for queue in broker.queues.values():
                queue.consumers = [c for c in queue.consumers if c != (channel, value.consumer_tag)]
            channel.send(commands.Basic.CancelOk(value.consumer_tag))
        elif isinstance(value, commands.Queue.Declare):
            name = value.queue or broker.new_name()
            arguments = value.arguments or {}
            dead_letter = arguments.get("x-dead-letter-exchange")
            queue = broker.declare(
                name, durable=bool(value.durable), dead_letter=str(dead_letter) if dead_letter else None
            )
            if value.exclusive:
                queue.exclusive = self
            channel.send(commands.Queue.DeclareOk(name, len(queue.messages), len(queue.consumers)))
        elif isinstance(value, commands.Queue.Bind):
            broker.bindings.append((value.exchange, value.routing_key, value.queue))
            channel.send(commands.Queue.BindOk())
        elif isinstance(value, commands.Exchange.Declare):
            broker.exchanges[value.exchange] = value.exchange_type
            channel.send(commands.Exchange.DeclareOk())
        elif isinstance(value, commands.Confirm.Select):
            channel.confirms = True
            channel.send(commands.Confirm.SelectOk())
        elif isinstance(value, commands.Channel.Close):
            self.channels.pop(channel.number)
            for queue in broker.queues.values():
                queue.consumers = [c for c in queue.consumers if c[0] is not channel]
            for queue, message in reversed(channel.unacked.values()):
                message.redelivered = True
                broker.put(queue, message, front=True)
            channel.unacked.clear()
            channel.send(commands.Channel.CloseOk())

    def _on_settled(self, channel: Channel, value: Any) -> None:
        if self.broker.fault("ack"):
            self.drop()  # it never came
            return
        multiple = getattr(value, "multiple", False)
        tags = [t for t in channel.unacked if t <= value.delivery_tag] if multiple else [value.delivery_tag]
        for tag in tags:
            if tag not in channel.unacked:
                continue
            queue, message = channel.unacked.pop(tag)
            if isinstance(value, commands.Basic.Ack):
                continue
            if value.requeue:
                message.redelivered = True
                self.broker.put(queue, message, front=True)
            else:
                self.broker.dead(queue, message)
        if self.broker.fault("acked"):
            self.drop()
            return
        for queue in self.broker.queues.values():
            if any(c[0] is channel for c in queue.consumers):
                self.broker.pump(queue)
