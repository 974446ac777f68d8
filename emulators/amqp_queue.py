"""Queues of the AMQP broker emulator, and the messages in them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pamqp import commands

if TYPE_CHECKING:
    from emulators.amqp_connection import Channel, Connection


@dataclass
class StoredMessage:
    """Holds a message in a queue, with the exchange and routing key of its publication."""

    exchange: str
    key: str
    properties: commands.Basic.Properties
    payload: bytes
    redelivered: bool = False


@dataclass
class Queue:
    """Holds a queue's messages and its consumers, in round-robin order."""

    name: str
    durable: bool = True
    dead_letter: str | None = None
    exclusive: Connection | None = None
    messages: deque[StoredMessage] = field(default_factory=deque)
    consumers: list[tuple[Channel, str]] = field(default_factory=list)
