"""The gateway's side of AMQP, by aio-pika: messages in, acknowledgements, answers out with confirms."""

from __future__ import annotations

import asyncio
import json
import logging
import ssl

import aio_pika
from aio_pika.abc import AbstractChannel, AbstractConnection, AbstractIncomingMessage

from oatport.clients.http import jitter
from oatport.queues.gateway import Gateway
from oatport.queues.intake import AGAIN, DEAD, Message, Verdict
from oatport.queues.rows import MessageRow
from oatport.queues.settings import GatewaySettings, QueueSettings, broker_url
from oatport.service.background_tasks import BackgroundTasks
from oatport.times import MS, SECOND

log = logging.getLogger(__name__)

CONFIRM_S = 5.0
CONNECT_S = 10.0
REASON = "x-oatport-reason"


class Link:
    def __init__(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self.gateway: Gateway | None = None
        self.group = BackgroundTasks()
        self._out: AbstractChannel | None = None
        self._connection: AbstractConnection | None = None

    def start(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.group.supervise("broker", self._loop)

    async def close(self) -> None:
        self.group.close()
        if self._connection is not None and not self._connection.is_closed:
            await self._connection.close()

    def drop(self) -> None:
        """End at once, as a killed process does: no frame goes out any more."""
        self.group.close()
        connection = self._connection
        if connection is not None and connection.transport is not None:
            writer = getattr(connection.transport.connection, "_writer", None) or getattr(
                connection.transport.connection, "writer", None
            )
            if writer is not None:
                writer.transport.abort()

    async def _loop(self) -> None:
        """Connect, consume, and start again when the connection ends."""
        failures = 0
        while True:
            try:
                await self._connected()
                failures = 0
            except asyncio.CancelledError:
                raise
            except Exception as error:  # the client library's errors have no common base but this
                failures += 1
                # Never the address: it holds the password.
                log.warning("broker: %s", type(error).__name__)
            self._out = None
            await asyncio.sleep(jitter(min(200 * MS << min(failures, 6), 10 * SECOND)))

    async def _connected(self) -> None:
        context: ssl.SSLContext | None = None
        if self.settings.tls_ca:
            context = ssl.create_default_context(cafile=self.settings.tls_ca)
        async with asyncio.timeout(CONNECT_S):
            connection = await aio_pika.connect(broker_url(self.settings), ssl_context=context)
        self._connection = connection
        closed = asyncio.Event()
        connection.close_callbacks.add(lambda *_: closed.set())
        try:
            async with asyncio.timeout(CONNECT_S):
                self._out = await connection.channel(publisher_confirms=True, on_return_raises=True)
                for queue in self.settings.queues:
                    await self._consume(connection, queue)
            log.info("connected to the broker: %d queues", len(self.settings.queues))
            await closed.wait()
        finally:
            self._out = None
            if not connection.is_closed:
                try:
                    async with asyncio.timeout(2.0):
                        await connection.close()
                except Exception as error:
                    log.debug("closing: %s", type(error).__name__)

    async def _consume(self, connection: AbstractConnection, queue: QueueSettings) -> None:
        channel = await connection.channel(publisher_confirms=False)
        await channel.set_qos(prefetch_count=queue.prefetch)
        source = await channel.get_queue(queue.name, ensure=False)

        async def handle(message: AbstractIncomingMessage) -> None:
            self.group.spawn("message", self._handle(queue, message))

        await source.consume(handle, no_ack=False)

    async def _handle(self, queue: QueueSettings, incoming: AbstractIncomingMessage) -> None:
        assert self.gateway is not None
        headers = dict(incoming.headers or {})
        if REASON in headers:
            # It was dead-lettered before, and came back: once is enough.
            await self._ack(incoming)
            log.warning("queue %s: message %s was dead-lettered before", queue.name, incoming.message_id)
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
        verdict = await self.gateway.intake.take(queue, message)
        log.debug(
            "queue %s message %s job %s: %s %s",
            queue.name,
            incoming.message_id,
            verdict.ref,
            verdict.action,
            verdict.reason,
        )
        await self._settle(queue, incoming, verdict)

    async def _settle(self, queue: QueueSettings, incoming: AbstractIncomingMessage, verdict: Verdict) -> None:
        if verdict.action == AGAIN:
            await asyncio.sleep(jitter(SECOND))
            await self._nack(incoming)
            return
        if verdict.action == DEAD:
            log.info("queue %s message %s refused: %s", queue.name, incoming.message_id, verdict.reason)
            if verdict.answer_now is not None and not await self.publish(verdict.answer_now):
                await self._nack(incoming)
                return
            if queue.dead_letter and not await self._bury(queue, incoming, verdict.reason):
                await self._nack(incoming)
                return
        await self._ack(incoming)

    async def _ack(self, incoming: AbstractIncomingMessage) -> None:
        try:
            await incoming.ack()
        except Exception as error:  # the connection is gone: the broker delivers it again
            log.debug("ack: %s", type(error).__name__)

    async def _nack(self, incoming: AbstractIncomingMessage) -> None:
        try:
            await incoming.reject(requeue=True)
        except Exception as error:
            log.debug("reject: %s", type(error).__name__)

    async def _bury(self, queue: QueueSettings, incoming: AbstractIncomingMessage, reason: str) -> bool:
        """To the dead-letter exchange, with the reason."""
        message = aio_pika.Message(
            incoming.body,
            headers={**dict(incoming.headers or {}), REASON: reason[:200]},
            message_id=incoming.message_id,
            delivery_mode=aio_pika.DeliveryMode.PERSISTENT,
        )
        return await self._send(queue.dead_letter, queue.name, message, mandatory=False)

    async def publish(self, row: MessageRow) -> bool:
        """A row's answer to its sender; True once confirmed, or if nobody can be told."""
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

    async def _send(self, exchange: str, key: str, message: aio_pika.Message, *, mandatory: bool) -> bool:
        channel = self._out
        if channel is None or channel.is_closed:
            return False
        try:
            target = channel.default_exchange if not exchange else await channel.get_exchange(exchange, ensure=False)
            await target.publish(message, routing_key=key, mandatory=mandatory, timeout=CONFIRM_S)
        except aio_pika.exceptions.PublishError:
            log.warning("message %s can't be delivered: no queue for it", message.message_id)
            return True  # mandatory and returned: its reply queue is gone, nobody is left to tell
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.info("publish: %s", type(error).__name__)
            return False
        return True


def run_forever(settings: GatewaySettings) -> None:
    """A gateway as a process, on uvloop where that is installed: it nearly doubles what a core takes."""
    try:
        import uvloop
    except ModuleNotFoundError:
        asyncio.run(run(settings))
    else:
        uvloop.run(run(settings))


async def run(settings: GatewaySettings) -> None:
    """A gateway until it is ended."""
    from oatport.clients.http import HttpConnector, make_session
    from oatport.clients.state import StateClient
    from oatport.queues.core import HttpCore

    session = make_session(512)
    link = Link(settings)
    state = StateClient(HttpConnector(session), settings.state)
    gateway = Gateway(settings, state, HttpCore(session, settings.nodes), link.publish)
    gateway.start()
    link.start(gateway)
    try:
        await asyncio.Event().wait()
    finally:
        await link.close()
        gateway.close()
        await session.close()
