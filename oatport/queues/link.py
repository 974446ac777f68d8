"""The gateway's connection to the AMQP broker: consumes and settles messages, and publishes answers with confirms."""

from __future__ import annotations

import asyncio
import json
import logging
import ssl

import aio_pika
from aio_pika.abc import AbstractChannel, AbstractConnection, AbstractIncomingMessage

from oatport.clients.http import jitter
from oatport.queues.gateway import Gateway
from oatport.queues.intake import DEAD_LETTER, REQUEUE, Disposition, Message
from oatport.queues.rows import MessageRow
from oatport.queues.settings import GatewaySettings, QueueSettings, broker_url
from oatport.service.background_tasks import BackgroundTasks
from oatport.times import MS, SECOND

log = logging.getLogger(__name__)

CONFIRM_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 10.0
REASON_HEADER = "x-oatport-reason"


class BrokerConnection:
    """Maintains a connection to the broker, passes its messages to the gateway's intake and publishes the answers."""

    def __init__(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self.gateway: Gateway | None = None
        self.background = BackgroundTasks()
        self._publish_channel: AbstractChannel | None = None
        self._connection: AbstractConnection | None = None

    def start(self, gateway: Gateway) -> None:
        """Connects and consumes in the background until `close`; `gateway` processes the messages."""
        self.gateway = gateway
        self.background.supervise("broker", self._connection_loop)

    async def close(self) -> None:
        """Cancels all background tasks and closes the connection."""
        self.background.close()
        if self._connection is not None and not self._connection.is_closed:
            await self._connection.close()

    def drop(self) -> None:
        """Aborts the connection as if the process was killed: no further frame is sent."""
        self.background.close()
        connection = self._connection
        if connection is not None and connection.transport is not None:
            writer = getattr(connection.transport.connection, "_writer", None) or getattr(
                connection.transport.connection, "writer", None
            )
            if writer is not None:
                writer.transport.abort()

    async def _connection_loop(self) -> None:
        """Connects and consumes, and reconnects with backoff when the connection ends."""
        failures = 0
        while True:
            try:
                await self._serve_connection()
                failures = 0
            except asyncio.CancelledError:
                raise
            except Exception as error:  # the client library's errors have no narrower common base class
                failures += 1
                # Neither the URL nor the error's text is logged: they may contain the password.
                log.warning(
                    "broker connection failed host=%s port=%d failures=%d error=%s",
                    self.settings.host,
                    self.settings.port,
                    failures,
                    type(error).__name__,
                )
            self._publish_channel = None
            await asyncio.sleep(jitter(min(200 * MS << min(failures, 6), 10 * SECOND)))

    async def _serve_connection(self) -> None:
        context: ssl.SSLContext | None = None
        if self.settings.tls_ca:
            context = ssl.create_default_context(cafile=self.settings.tls_ca)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            connection = await aio_pika.connect(broker_url(self.settings), ssl_context=context)
        self._connection = connection
        closed = asyncio.Event()
        connection.close_callbacks.add(lambda *_: closed.set())
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._publish_channel = await connection.channel(publisher_confirms=True, on_return_raises=True)
                for queue in self.settings.queues:
                    await self._consume(connection, queue)
            log.info("connected to broker queues=%d", len(self.settings.queues))
            await closed.wait()
        finally:
            self._publish_channel = None
            if not connection.is_closed:
                try:
                    async with asyncio.timeout(2.0):
                        await connection.close()
                except Exception as error:
                    log.debug("closing the broker connection failed error=%s", type(error).__name__)

    async def _consume(self, connection: AbstractConnection, queue: QueueSettings) -> None:
        channel = await connection.channel(publisher_confirms=False)
        await channel.set_qos(prefetch_count=queue.prefetch)
        consumed_queue = await channel.get_queue(queue.name, ensure=False)

        async def handle(message: AbstractIncomingMessage) -> None:
            self.background.spawn("message", self._handle(queue, message))

        await consumed_queue.consume(handle, no_ack=False)

    async def _handle(self, queue: QueueSettings, incoming: AbstractIncomingMessage) -> None:
        assert self.gateway is not None
        headers = dict(incoming.headers or {})
        if REASON_HEADER in headers:
            # A message that was dead-lettered and routed back here is dropped, so that it can't loop.
            await self._ack(incoming)
            log.warning("dropped a dead-lettered message queue=%s message_id=%s", queue.name, incoming.message_id)
            return
        expiration = incoming.expiration
        message = Message(
            incoming.body,
            incoming.message_id,
            headers,
            incoming.reply_to or "",
            incoming.correlation_id,
            incoming.type or "",
            float(expiration) if isinstance(expiration, int | float) else None,
        )
        disposition = await self.gateway.intake.process(queue, message)
        log.debug(
            'message processed queue=%s message_id=%s job_id=%s action=%s reason="%s"',
            queue.name,
            incoming.message_id,
            disposition.job_id,
            disposition.action,
            disposition.reason,
        )
        await self._settle(queue, incoming, disposition)

    async def _settle(self, queue: QueueSettings, incoming: AbstractIncomingMessage, disposition: Disposition) -> None:
        if disposition.action == REQUEUE:
            await asyncio.sleep(jitter(SECOND))
            await self._nack(incoming)
            return
        if disposition.action == DEAD_LETTER:
            log.info(
                'message refused queue=%s message_id=%s reason="%s"',
                queue.name,
                incoming.message_id,
                disposition.reason,
            )
            if disposition.unrecorded_answer is not None and not await self.publish(disposition.unrecorded_answer):
                await self._nack(incoming)
                return
            if queue.dead_letter and not await self._publish_dead_letter(queue, incoming, disposition.reason):
                await self._nack(incoming)
                return
        await self._ack(incoming)

    async def _ack(self, incoming: AbstractIncomingMessage) -> None:
        try:
            await incoming.ack()
        except Exception as error:  # the connection is lost: the broker redelivers the message
            log.debug("acknowledgement failed message_id=%s error=%s", incoming.message_id, type(error).__name__)

    async def _nack(self, incoming: AbstractIncomingMessage) -> None:
        try:
            await incoming.reject(requeue=True)
        except Exception as error:
            log.debug("requeue failed message_id=%s error=%s", incoming.message_id, type(error).__name__)

    async def _publish_dead_letter(self, queue: QueueSettings, incoming: AbstractIncomingMessage, reason: str) -> bool:
        """Publishes a message to the dead-letter exchange with the reason. Returns whether the broker confirmed it."""
        message = aio_pika.Message(
            incoming.body,
            headers={**dict(incoming.headers or {}), REASON_HEADER: reason[:200]},
            message_id=incoming.message_id,
            delivery_mode=aio_pika.DeliveryMode.PERSISTENT,
        )
        return await self._send(queue.dead_letter, queue.name, message, mandatory=False)

    async def publish(self, row: MessageRow) -> bool:
        """Publishes a row's answer to its sender. Returns True once it is confirmed, or if there is no recipient."""
        if not row.reply_to:
            return True
        message = aio_pika.Message(
            json.dumps(row.answer_body()).encode(),
            content_type="application/json",
            message_id=row.answer_id,
            correlation_id=row.identity,
            delivery_mode=aio_pika.DeliveryMode.PERSISTENT,
        )
        return await self._send("", row.reply_to, message, mandatory=True)

    async def _send(self, exchange: str, routing_key: str, message: aio_pika.Message, *, mandatory: bool) -> bool:
        channel = self._publish_channel
        if channel is None or channel.is_closed:
            return False
        try:
            target = channel.default_exchange if not exchange else await channel.get_exchange(exchange, ensure=False)
            await target.publish(message, routing_key=routing_key, mandatory=mandatory, timeout=CONFIRM_TIMEOUT_S)
        except aio_pika.exceptions.PublishError:
            log.warning("message returned as unroutable message_id=%s", message.message_id)
            return True  # published as mandatory and returned: the reply queue is gone, so there is no recipient
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.info(
                "publish failed message_id=%s routing_key=%s error=%s",
                message.message_id,
                routing_key,
                type(error).__name__,
            )
            return False
        return True


def run_forever(settings: GatewaySettings) -> None:
    """Runs a gateway, on uvloop if it is installed: that nearly doubles the messages per second of a CPU core."""
    try:
        import uvloop
    except ModuleNotFoundError:
        asyncio.run(run(settings))
    else:
        uvloop.run(run(settings))


async def run(settings: GatewaySettings) -> None:
    """Runs a gateway until the task is cancelled."""
    from oatport.clients.http import HttpConnector, make_session
    from oatport.clients.state import StateClient
    from oatport.queues.core import HttpSchedulerClient

    session = make_session(512)
    link = BrokerConnection(settings)
    state = StateClient(HttpConnector(session), settings.state)
    gateway = Gateway(settings, state, HttpSchedulerClient(session, settings.nodes), link.publish)
    gateway.start()
    link.start(gateway)
    try:
        await asyncio.Event().wait()
    finally:
        await link.close()
        gateway.close()
        await session.close()
