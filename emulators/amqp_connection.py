"""Connections and channels of the AMQP broker emulator: parsing and sending of frames, handling of each method."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from pamqp import base, body, commands, exceptions, frame, header, heartbeat

from emulators.amqp_queue import Queue, StoredMessage

if TYPE_CHECKING:
    from emulators.amqp_broker import Broker

MAX_FRAME_BYTES = 131_072
MAX_MESSAGE_BYTES = 1_048_576
MAX_BUFFER_BYTES = 4 * MAX_FRAME_BYTES
PROTOCOL_HEADER = b"AMQP\x00\x00\x09\x01"
CAPABILITIES: dict[str, Any] = {
    "publisher_confirms": True,
    "basic.nack": True,
    "connection.blocked": True,
    "consumer_cancel_notify": True,
}


class Channel:
    """Holds a channel's prefetch limit, confirm mode and unacknowledged messages."""

    def __init__(self, connection: Connection, number: int) -> None:
        self.connection, self.number = connection, number
        self.prefetch = 0
        self.confirms = False
        self.published = self.delivered = 0
        self.unacked: dict[int, tuple[Queue, StoredMessage]] = {}
        self.incoming: tuple[commands.Basic.Publish, header.ContentHeader | None, bytearray] | None = None

    def send(self, value: Any) -> None:
        """Sends a frame on the channel."""
        self.connection.send(value, self.number)

    def send_content(self, message: StoredMessage) -> None:
        """Sends a message's header, and its body in frames of at most MAX_FRAME_BYTES."""
        self.send(header.ContentHeader(0, len(message.payload), message.properties))
        for at in range(0, len(message.payload), MAX_FRAME_BYTES - 8):
            self.send(body.ContentBody(message.payload[at : at + MAX_FRAME_BYTES - 8]))

    def can_take_more(self) -> bool:
        """Returns whether the prefetch limit allows another unacknowledged message; a limit of 0 means no limit."""
        return not self.prefetch or len(self.unacked) < self.prefetch


class Connection:
    """Serves the connection of one client."""

    def __init__(self, broker: Broker, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.broker, self._reader, self._writer = broker, reader, writer
        self.channels: dict[int, Channel] = {}
        self._last_received_at = asyncio.get_running_loop().time()
        self._heartbeat_s = broker.heartbeat_s  # the broker's proposal, until the client's TuneOk replaces the value
        self._closed = False

    def send(self, value: Any, channel: int) -> None:
        """Sends a frame on a channel, unless the connection is closed."""
        if not self._closed:
            self._writer.write(frame.marshal(value, channel))

    def drop(self) -> None:
        """Breaks the connection."""
        if not self._closed:
            self._closed = True
            self.broker.dropped += 1
            self._writer.transport.abort()

    def release(self) -> None:
        """Drops the connection, removes its consumers and exclusive queues, and requeues unacknowledged messages."""
        self.drop()
        self._drop_consumers(lambda consumer: consumer[0].connection is self)
        for channel in self.channels.values():
            self._requeue_unacknowledged(channel)
        for name in [n for n, q in self.broker.queues.items() if q.exclusive is self]:
            del self.broker.queues[name]

    async def run(self) -> None:
        """Handles the client's frames until the connection ends or a frame is malformed."""
        if await self._reader.readexactly(8) != PROTOCOL_HEADER:
            self._writer.write(PROTOCOL_HEADER)
            return
        self.send(commands.Connection.Start(0, 9, {"product": "emulator", "capabilities": CAPABILITIES}), 0)
        heartbeats = asyncio.get_running_loop().create_task(self._send_heartbeats())
        data = b""
        try:
            while not self._closed:
                part = await self._reader.read(65_536)
                if not part:
                    return
                self._last_received_at = asyncio.get_running_loop().time()
                rest = await self._on_data(data + part)
                if rest is None or len(rest) > MAX_BUFFER_BYTES:
                    return
                data = rest
                await self._writer.drain()
        finally:
            heartbeats.cancel()

    async def _on_data(self, data: bytes) -> bytes | None:
        """Handles all complete frames; returns the rest of the data, or None if a frame is malformed or too large."""
        while data:
            if len(data) >= 7 and int.from_bytes(data[3:7]) > MAX_FRAME_BYTES:
                return None
            try:
                consumed_bytes, number, value = frame.unmarshal(data)
            except exceptions.UnmarshalingException:
                incomplete = len(data) < 7 or len(data) < int.from_bytes(data[3:7]) + 8
                return data if incomplete else None
            if not consumed_bytes or value is None:
                break
            data = data[consumed_bytes:]
            if self.broker.delay_s:
                await asyncio.sleep(self.broker.delay_s)
            self._on_frame(number, value)
        return data

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self.broker.heartbeat_s / 2)
            self.send(heartbeat.Heartbeat(), 0)
            silent_s = asyncio.get_running_loop().time() - self._last_received_at
            if self._heartbeat_s and silent_s > 2 * self._heartbeat_s:
                self.drop()

    def _on_frame(self, number: int, value: Any) -> None:
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
            self.send(commands.Connection.Tune(2047, MAX_FRAME_BYTES, self.broker.heartbeat_s), 0)
        elif isinstance(value, commands.Connection.TuneOk):
            self._heartbeat_s = int(value.heartbeat)  # 0 means no heartbeats
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
            if value.body_size > MAX_MESSAGE_BYTES:
                raise ValueError("too large")
            head = value
            channel.incoming = (method, head, payload)
        else:
            payload += value.value
        if head is not None and len(payload) >= head.body_size:
            channel.incoming = None
            self._on_published(channel, method, head.properties, bytes(payload))

    def _on_published(
        self, channel: Channel, method: commands.Basic.Publish, properties: commands.Basic.Properties, payload: bytes
    ) -> None:
        if self.broker.fault("publish"):
            self.drop()  # the message is lost before the broker receives it
            return
        message = StoredMessage(method.exchange, method.routing_key, properties, payload)
        targets = self.broker.route(method.exchange, method.routing_key)
        for queue in targets:
            self.broker.enqueue(queue, StoredMessage(method.exchange, method.routing_key, properties, payload))
        channel.published += 1
        if not targets and method.mandatory:
            channel.send(commands.Basic.Return(312, "NO_ROUTE", method.exchange, method.routing_key))
            channel.send_content(message)
        if self.broker.fault("confirm"):
            self.drop()  # the message is queued, but the sender gets no confirm
        elif channel.confirms:
            channel.send(commands.Basic.Ack(channel.published))

    def _on_method(self, channel: Channel, value: Any) -> None:
        if isinstance(value, commands.Basic.Publish):
            channel.incoming = (value, None, bytearray())
        elif isinstance(value, commands.Basic.Ack | commands.Basic.Nack | commands.Basic.Reject):
            self._on_settled(channel, value)
        elif isinstance(value, commands.Basic.Qos):
            channel.prefetch = value.prefetch_count or 0
            channel.send(commands.Basic.QosOk())
        elif isinstance(value, commands.Basic.Consume):
            self._on_consume(channel, value)
        elif isinstance(value, commands.Basic.Cancel):
            self._drop_consumers(lambda consumer: consumer == (channel, value.consumer_tag))
            channel.send(commands.Basic.CancelOk(value.consumer_tag))
        elif isinstance(value, commands.Confirm.Select):
            channel.confirms = True
            channel.send(commands.Confirm.SelectOk())
        elif isinstance(value, commands.Channel.Close):
            self._on_channel_close(channel)
        else:
            self._on_topology(channel, value)

    def _on_topology(self, channel: Channel, value: Any) -> None:
        """Handles declarations of queues and exchanges, and bindings between them."""
        if isinstance(value, commands.Queue.Declare):
            self._on_queue_declare(channel, value)
        elif isinstance(value, commands.Queue.Bind):
            self.broker.bindings.append((value.exchange, value.routing_key, value.queue))
            channel.send(commands.Queue.BindOk())
        elif isinstance(value, commands.Exchange.Declare):
            self.broker.exchanges[value.exchange] = value.exchange_type
            channel.send(commands.Exchange.DeclareOk())

    def _on_consume(self, channel: Channel, value: commands.Basic.Consume) -> None:
        tag = value.consumer_tag or self.broker.generate_name()
        queue = self.broker.queues.get(value.queue)
        if queue is None:
            channel.send(commands.Channel.Close(404, "NOT_FOUND", 60, 20))
            return
        queue.consumers.append((channel, tag))
        channel.send(commands.Basic.ConsumeOk(tag))
        self.broker.deliver(queue)

    def _on_queue_declare(self, channel: Channel, value: commands.Queue.Declare) -> None:
        name = value.queue or self.broker.generate_name()
        dead_letter = (value.arguments or {}).get("x-dead-letter-exchange")
        queue = self.broker.declare(
            name, durable=bool(value.durable), dead_letter=str(dead_letter) if dead_letter else None
        )
        if value.exclusive:
            queue.exclusive = self
        channel.send(commands.Queue.DeclareOk(name, len(queue.messages), len(queue.consumers)))

    def _on_channel_close(self, channel: Channel) -> None:
        self.channels.pop(channel.number)
        self._drop_consumers(lambda consumer: consumer[0] is channel)
        self._requeue_unacknowledged(channel)
        channel.send(commands.Channel.CloseOk())

    def _drop_consumers(self, matches: Callable[[tuple[Channel, str]], bool]) -> None:
        for queue in self.broker.queues.values():
            queue.consumers = [consumer for consumer in queue.consumers if not matches(consumer)]

    def _requeue_unacknowledged(self, channel: Channel) -> None:
        """Puts unacknowledged messages back at the front of their queues, in order, with the redelivery flag."""
        for queue, message in reversed(channel.unacked.values()):
            message.redelivered = True
            self.broker.enqueue(queue, message, front=True)
        channel.unacked.clear()

    def _on_settled(self, channel: Channel, value: Any) -> None:
        if self.broker.fault("ack"):
            self.drop()  # the acknowledgement is lost before the broker receives it
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
                self.broker.enqueue(queue, message, front=True)
            else:
                self.broker.dead_letter(queue, message)
        if self.broker.fault("acked"):
            self.drop()
            return
        for queue in self.broker.queues.values():
            if any(c[0] is channel for c in queue.consumers):
                self.broker.deliver(queue)
