"""Hand-overs of outbox parts between gateways in the AMQP experiment: their faults, and whether each part is served."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING, Any

from oatport.lab.queue_senders import Senders
from oatport.queues.identity import PART_COUNT, job_id_of, part_of
from oatport.queues.rows import PARTS_PREFIX

if TYPE_CHECKING:
    from emulators.serve import TransactionFault

FAULT_COUNT = range(4, 12)  # of transactions on part keys when a gateway joins
HANDOVER_S = 12.0  # several rebalances, and a transaction that is executed late
ANSWER_TIMEOUT_S = 15.0
MESSAGES_PER_S = 80.0


def handover_fault(rng: random.Random) -> Callable[[Any], TransactionFault]:
    """Returns a function that draws the faults of the next transactions on part keys; it leaves all others alone."""
    from emulators.serve import TransactionFault  # not part of the installed package

    kinds = [fault for fault in TransactionFault if fault is not TransactionFault.NONE]
    faults = rng.choices(kinds, k=rng.choice(FAULT_COUNT))

    def fault_of(body: Any) -> TransactionFault:
        keys = [str(op.get("set") or op.get("drop")) for op in body.get("then") or ()]
        if not faults or not any(key.startswith(PARTS_PREFIX) for key in keys):
            return TransactionFault.NONE
        return faults.pop()

    return fault_of


def _one_message_per_part(queue: str, prefix: str) -> list[tuple[str, str]]:
    """Returns the identity and queue of one message for each part of the outbox."""
    by_part: dict[int, tuple[str, str]] = {}
    for number in count():
        identity = f"{prefix}-{number}"
        by_part.setdefault(part_of(job_id_of(queue, identity)), (identity, queue))
        if len(by_part) == PART_COUNT:
            break
    return list(by_part.values())


async def count_unanswered_parts(senders: Senders, queue: str, rng: random.Random) -> int:
    """Returns how many parts answer no message in time, some seconds after a hand-over."""
    await asyncio.sleep(HANDOVER_S)
    messages = _one_message_per_part(queue, f"part-{rng.randrange(10**6)}")
    await senders.send_all(messages, MESSAGES_PER_S)
    sent_at = time.monotonic()
    while time.monotonic() - sent_at < ANSWER_TIMEOUT_S:
        if all(senders.answer_counts[identity] for identity, _ in messages):
            break
        await asyncio.sleep(0.1)
    return sum(not senders.answer_counts[identity] for identity, _ in messages)
