"""Sends jobs over AMQP while processes are killed, and audits the answers: `oatport lab queues`.

Real gateways and nodes run on loopback around emulators. The broker, the gateways and the nodes are killed at times
drawn from the seed, and connections break at drawn points between delivery and acknowledgement, and between publish
and confirm. Gateways join while the state service refuses transactions that hand over parts, leaves them unanswered or
executes them late. The audit then compares the messages that the senders sent and received with the tasks that the
workers ran, without using the gateways' own records. A move is one message that submits a job. The experiment runs in
real time: the seed determines which faults occur, not how packets interleave.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections import Counter
from typing import Any

from oatport.clients.http import HttpConnector, make_session
from oatport.clients.state import StateClient
from oatport.control.placement.retry_policy import RetryPolicy
from oatport.lab.queue_handover import count_unanswered_parts, handover_fault
from oatport.lab.queue_senders import REPLY_QUEUE, Senders
from oatport.queues import intake
from oatport.queues.core import HttpSchedulerClient
from oatport.queues.gateway import Gateway
from oatport.queues.identity import identity_of, job_id_of
from oatport.queues.link import BrokerConnection
from oatport.queues.rows import MessageRow
from oatport.queues.settings import GatewaySettings, QueueSettings
from oatport.queues.templates import Template
from oatport.service.node import Node
from oatport.settings import (
    CloudLimits,
    ClusterSettings,
    Peer,
    Services,
    Settings,
    StateLimits,
    Team,
    Tuning,
    Workers,
)

NO_RETRY_QUEUE, RETRY_QUEUE = "moves", "replays"  # a lost job of the first queue isn't run again if it may have started
NODE_COUNT = 3
MAX_JOINED_GATEWAYS = 4


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class UnsafeBrokerConnection(BrokerConnection):
    """Represents an AMQP link with one safety check disabled, so that the audit has a violation to find."""

    def __init__(self, settings: GatewaySettings, disabled_check: str) -> None:
        super().__init__(settings)
        self._disabled_check = disabled_check

    async def _handle(self, queue: QueueSettings, incoming: Any) -> None:
        if self._disabled_check == "ack-early":
            await self._ack(incoming)
            await asyncio.sleep(0.05)
        await super()._handle(queue, incoming)

    async def publish(self, row: MessageRow) -> bool:
        """Publishes an answer; returns whether the broker confirmed it, or True at once if `outbox` is disabled."""
        if self._disabled_check != "outbox":
            return await super().publish(row)
        self.background.spawn("unconfirmed", super().publish(row))  # does not wait for the broker's confirm
        return True


class Deployment:
    """Holds the emulators, nodes, broker and gateways of one experiment, all on loopback."""

    def __init__(self, gateways: int, disabled_check: str) -> None:
        # The emulators are part of the repository, not of the installed package.
        from emulators.amqp_broker import Broker
        from emulators.serve import Emulators

        self.disabled_check = disabled_check
        self.addresses = {f"n{i}": f"127.0.0.1:{_free_port()}" for i in range(NODE_COUNT)}
        self._internal_addresses = {name: f"127.0.0.1:{_free_port()}" for name in self.addresses}
        self._service_addresses = (f"127.0.0.1:{_free_port()}", f"127.0.0.1:{_free_port()}")
        self._emulators = Emulators(*self._service_addresses, self.addresses, heartbeat_s=0.25)
        self.broker = Broker()
        self.nodes: dict[str, tuple[Node, asyncio.Task[None]]] = {}
        self.gateways: dict[str, tuple[Gateway, BrokerConnection]] = {}
        self._gateway_names = [f"g{i}" for i in range(gateways)]
        self.released_starts: Counter[str] = Counter()  # starts on machines that were released, by task
        self.closed_gateway_writes = 0
        self.joined_count = 0  # gateways that joined during the run

    async def start(self) -> None:
        """Starts the emulators, the broker, all nodes and all gateways."""
        self.session = make_session(2048)
        self._emulators.cloud.on_release = self._on_machine_released
        await self._emulators.start()
        await self.broker.start()
        for name in (NO_RETRY_QUEUE, RETRY_QUEUE, REPLY_QUEUE):
            self.broker.declare(name)
        for name in self.addresses:
            self.start_node(name)
        for name in self._gateway_names:
            self.start_gateway(name)

    def _on_machine_released(self, name: str) -> None:
        worker = self._emulators.workers.get(name)
        if worker is not None:
            self.released_starts.update(task for task, _ in worker.started_attempts)
        self._emulators.stop_worker(name)

    def task_starts(self) -> Counter[str]:
        """Returns how often each task was started, including starts on machines that were released."""
        total = Counter(self.released_starts)
        for worker in self._emulators.workers.values():
            total.update(task for task, _ in worker.started_attempts)
        return total

    def start_node(self, name: str) -> None:
        """Starts a node at its addresses, which stay the same after a kill."""
        state, cloud = self._service_addresses[0], self._service_addresses[1]
        settings = Settings(
            node_name=name,
            bind=self.addresses[name],
            internal_addr=self._internal_addresses[name],
            services=Services(cloud=cloud, state=state),
            cluster=ClusterSettings(
                workers=Workers(report_s=0.25, lease_s=10.0, gang_wait_s=40.0, gang_peer_s=4.0, cancel_s=35.0),
                state=StateLimits(rps=3000.0, write_rps=3000.0, value_kb=32.0, txn_ops=16),
                cloud=CloudLimits(rps=10.0, list_lag_s=1.0),
                size=NODE_COUNT,
                zones=["a", "b"],
                teams=[Team("crew")],
            ),
            zone="a",
            peers=[Peer(other, address) for other, address in self._internal_addresses.items() if other != name],
        )
        node = Node(settings, Tuning(), None, {NO_RETRY_QUEUE: RetryPolicy.BEFORE_START})
        self.nodes[name] = node, asyncio.get_running_loop().create_task(node.run())

    async def kill_node(self, name: str) -> None:
        """Stops a node as if its process were killed: the node neither releases its lease nor hands over."""
        node, task = self.nodes.pop(name)
        node.background.close()
        if node.leader is not None:
            node.leader.close()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def start_gateway(self, name: str) -> None:
        """Starts a gateway for both queues."""
        fields = {
            "team": "crew",
            "image": "img",
            "cpus": "1",
            "memory_gb": "0.1",
            "estimate_s": "0.2",
            "spot": "yes",
            "image_gb": "0.1",
        }
        queues = tuple(
            QueueSettings(queue, Template.compile({**fields, "job_class": queue}, frozenset({"tasks"})), prefetch=100)
            for queue in (NO_RETRY_QUEUE, RETRY_QUEUE)
        )
        settings = GatewaySettings(
            name=name,
            state=self._service_addresses[0],
            nodes=tuple(self.addresses.values()),
            host="127.0.0.1",
            port=self.broker.port,
            lease_s=4.0,
            requests_per_s=2000.0,
            changes_per_s=2000.0,
            txn_ops=16,
            queues=queues,
        )
        link = (
            UnsafeBrokerConnection(settings, self.disabled_check) if self.disabled_check else BrokerConnection(settings)
        )
        state = StateClient(HttpConnector(self.session), settings.state)
        gateway = Gateway(settings, state, HttpSchedulerClient(self.session, settings.nodes), link.publish)
        gateway.start()
        link.start(gateway)
        self.gateways[name] = gateway, link

    def join_gateway(self, rng: random.Random) -> None:
        """Starts a further gateway, while the state service fails transactions that hand over parts to it."""
        self._emulators.transaction_fault = handover_fault(rng)
        self.joined_count += 1
        self.start_gateway(f"j{self.joined_count}")

    def kill_gateway(self, name: str) -> None:
        """Stops a gateway as if its process were killed, and counts its writes."""
        gateway, link = self.gateways.pop(name)
        link.drop()
        gateway.close()
        self.closed_gateway_writes += gateway.store.write_count

    async def close(self) -> None:
        """Stops all gateways, nodes, the broker and the emulators."""
        for name in list(self.gateways):
            self.kill_gateway(name)
        for name in list(self.nodes):
            await self.kill_node(name)
        await self.broker.stop()
        await self._emulators.close()
        await self.session.close()


async def _inject_faults(deployment: Deployment, rng: random.Random, kills: int, duration_s: float) -> None:
    """Kills processes and breaks connections at drawn times; each killed process is started again."""
    kill_times = sorted(rng.uniform(0.5, duration_s) for _ in range(kills))
    started_at = time.monotonic()
    for kill_time in kill_times:
        await asyncio.sleep(max(0.0, started_at + kill_time - time.monotonic()))
        fault_kind = rng.choice(
            ("connection", "connection", "connection", "gateway", "gateway", "join", "join", "node", "broker")
        )
        if fault_kind == "join" and deployment.joined_count < MAX_JOINED_GATEWAYS:
            deployment.join_gateway(rng)
        elif fault_kind == "gateway" and deployment.gateways:
            name = rng.choice(sorted(deployment.gateways))
            deployment.kill_gateway(name)
            asyncio.get_running_loop().call_later(rng.uniform(0.1, 2.0), deployment.start_gateway, name)
        elif fault_kind == "node" and len(deployment.nodes) == NODE_COUNT:
            name = rng.choice(sorted(deployment.nodes))
            await deployment.kill_node(name)
            asyncio.get_running_loop().call_later(rng.uniform(0.5, 2.0), deployment.start_node, name)
        elif fault_kind == "broker":
            await deployment.broker.restart(lose_unconfirmed=rng.random() < 0.5)
        else:
            _break_connection_at(
                deployment, rng.choice(("publish", "confirm", "deliver", "ack", "acked")), rng.randrange(1, 6)
            )


def _break_connection_at(deployment: Deployment, point: str, nth: int) -> None:
    """Breaks the connection that reaches `point` when the point is reached for the nth time from now on."""
    remaining = [nth]

    def fault(at: str) -> bool:
        if at != point or remaining[0] <= 0:
            return False
        remaining[0] -= 1
        return remaining[0] == 0

    deployment.broker.fault = fault


def audit(senders: Senders, task_starts: Counter[str]) -> dict[str, int]:
    """Counts violations: each move must be answered once, run as its retry policy allows, and not be lost."""
    answers_by_message: dict[str, set[str]] = {}
    for message_id, _, answer in senders.answers:
        answers_by_message.setdefault(message_id, set()).add(answer)
    starts_by_job: Counter[str] = Counter()
    for task, count in task_starts.items():
        starts_by_job[task.rpartition("/")[0]] += count
    job_ids = {identity: job_id_of(queue, identity) for identity, (queue, _) in senders.sent.items()}
    submitted_jobs = set(job_ids.values())
    unknown_jobs = [job_id for job_id in starts_by_job if job_id not in submitted_jobs]  # run without a message
    double_answers = sum(count > 1 for count in senders.answer_counts.values()) + sum(
        len(answers) > 1 for answers in answers_by_message.values()
    )
    return {
        "moves": len(senders.sent),
        "answers": len(senders.answers),
        "answered_once": sum(senders.answer_counts[identity] == 1 for identity in senders.sent),
        "double_answers": double_answers,
        "double_runs": sum(starts_by_job[job_ids[i]] > 1 for i in job_ids if senders.sent[i][0] == RETRY_QUEUE)
        + len(unknown_jobs),
        "runs_against_class": sum(
            starts_by_job[job_ids[i]] > 1 for i in job_ids if senders.sent[i][0] == NO_RETRY_QUEUE
        )
        + len(unknown_jobs),
        "lost": sum(identity not in senders.answer_counts for identity in senders.confirmed),
    }


async def _run_experiment(seed: int, moves: int, kills: int, gateways: int, disabled_check: str) -> dict[str, Any]:
    rng = random.Random(f"{seed}/{moves}/{kills}")
    if disabled_check == "dedupe":  # the gateway treats each delivery as a new message
        setattr(intake, "identity_of", lambda *given: f"{identity_of(*given)}#{rng.random()}")  # noqa: B010
    deployment = Deployment(gateways, disabled_check)
    await deployment.start()
    senders = Senders(deployment.broker.port)
    listener = asyncio.get_running_loop().create_task(senders.listen())
    try:
        await asyncio.sleep(6.0)  # for the election of a leader and the start of machines
        messages = [(f"m-{seed}-{n}", NO_RETRY_QUEUE if rng.random() < 0.7 else RETRY_QUEUE) for n in range(moves)]
        moves_per_s = 80.0
        started_at = time.monotonic()
        senders.last_answer_at = started_at
        fault_task = asyncio.get_running_loop().create_task(
            _inject_faults(deployment, rng, kills, max(moves / moves_per_s, kills * 0.4))
        )
        await senders.send_all(messages, moves_per_s)
        await fault_task
        deployment.broker.fault = lambda point: False
        senders.last_answer_at = time.monotonic()
        await senders.wait_for_answers(moves)
        duration_s = time.monotonic() - started_at
        deployment.join_gateway(rng)
        unanswered_parts = await count_unanswered_parts(senders, RETRY_QUEUE, rng)
        await asyncio.sleep(1.0)  # for duplicate answers to arrive
        audit_result = audit(senders, deployment.task_starts())
        state_writes = deployment.closed_gateway_writes + sum(
            gateway.store.write_count for gateway, _ in deployment.gateways.values()
        )
    finally:
        setattr(intake, "identity_of", identity_of)  # noqa: B010
        listener.cancel()
        await asyncio.gather(listener, return_exceptions=True)
        await deployment.close()
    latencies_s = sorted(senders.latencies_s) or [0.0]
    answers = Counter(_answer_kind(answer) for _, _, answer in senders.answers)
    return {
        "seed": seed,
        **audit_result,
        "unanswered_parts": unanswered_parts,
        "changes_per_message": round(state_writes / max(moves, 1), 2),
        "messages_per_s": round(moves / duration_s, 1),
        "p50_ms": round(latencies_s[len(latencies_s) // 2] * 1000),
        "p99_ms": round(latencies_s[int(len(latencies_s) * 0.99)] * 1000),
        "kills": kills,
        "gateways": gateways,
        "break": disabled_check,
        "redelivered": deployment.broker.redelivered,
        "kinds": dict(sorted(answers.items())),
    }


def _answer_kind(answer: str) -> str:
    import json

    return str(json.loads(answer).get("answer"))


def has_passed(result: dict[str, Any]) -> bool:
    """Returns whether each move was answered exactly once, none was lost, and none violated its retry policy."""
    return (
        result["answered_once"] == result["moves"]
        and not result["double_answers"]
        and not result["lost"]
        and not result["unanswered_parts"]
        and not result["runs_against_class"]
    )


def run(seed: int, moves: int, kills: int, gateways: int, disabled_check: str = "") -> dict[str, Any]:
    """Returns the figures of one experiment, as `oatport lab queues --json` prints them.

    Raises ValueError if `moves`, `kills` or `gateways` is out of range.
    """
    if not 1 <= moves <= 100_000 or not 0 <= kills <= 10_000 or not 1 <= gateways <= 8:
        raise ValueError("moves must be 1 to 100000, kills 0 to 10000, gateways 1 to 8")
    return asyncio.run(_run_experiment(seed, moves, kills, gateways, disabled_check))


__all__ = ["audit", "has_passed", "run"]
