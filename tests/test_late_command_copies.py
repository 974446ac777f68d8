"""Tests that late copies of direct messages start nothing, and that starts go out in heartbeat responses soon."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from oatport import wire
from oatport.control.leadership.fencing_tokens import FencingTokens
from oatport.control.leadership.lease_proxy import LeaseProxy
from oatport.control.state.machine import Machine
from oatport.control.state.machine_commands import HEARTBEAT_REQUEST_MARGIN, DirectMessage, MachineCommands
from oatport.control.state.task import TaskPhase
from oatport.service.leader import Leader
from oatport.simulation.attempt import AttemptKey
from oatport.simulation.state_service import KeyStore
from oatport.simulation.worker import Worker
from oatport.times import SECOND, micros, steady, time_of_day
from tests.cluster_fixture import TYPES, ClusterHarness, cluster_settings, job
from tests.test_node_failures import FakeLeadingNode, leader

EndAttempt = Callable[[ClusterHarness, Worker, AttemptKey], None]


def _fail(harness: ClusterHarness, worker: Worker, key: AttemptKey) -> None:
    worker.tasks[key].fails_at = harness.now


def _complete(harness: ClusterHarness, worker: Worker, key: AttemptKey) -> None:
    worker.tasks[key].completes_at = harness.now


def _stop(harness: ClusterHarness, worker: Worker, key: AttemptKey) -> None:
    harness.cluster.tasks.stop(harness.cluster.jobs[key.job_id].tasks[0], 0.0)


def _cancel(harness: ClusterHarness, worker: Worker, key: AttemptKey) -> None:
    harness.cancel(key.job_id)


def _forgotten_attempt(kind: str, end_attempt: EndAttempt) -> tuple[ClusterHarness, Worker, AttemptKey]:
    """Returns an attempt that ended and was forgotten, and its worker; the task may run on another machine."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle(2)
    key = AttemptKey(f"{harness.submit(rig=kind, legs=1, cores=8.0, voyageS=500.0)}/0", 1)
    harness.settle(3)
    assert worker.started_attempts == [key]
    harness.machine(2)
    harness.cluster.machines[worker.name].draining = True
    end_attempt(harness, worker, key)
    harness.settle(6)
    assert key not in worker.tasks
    return harness, worker, key


def _deliver_copies(harness: ClusterHarness, worker: Worker) -> None:
    """Delivers a copy of each direct command that the worker has executed."""
    for body in harness.direct_commands.get(worker.name, []):
        worker.commands(body)


@pytest.mark.parametrize("kind", ["array", "gang", "standing"])
@pytest.mark.parametrize("end_attempt", [_fail, _stop, _cancel, _complete])
def test_a_late_copy_of_an_answered_start_does_not_run_a_forgotten_attempt_again(
    kind: str, end_attempt: EndAttempt
) -> None:
    harness, worker, key = _forgotten_attempt(kind, end_attempt)
    _deliver_copies(harness, worker)
    assert worker.started_attempts == [key]
    assert all(len(machines) == 1 for machines in harness.task_locations(key.job_id).values())


@pytest.mark.parametrize("end_attempt", [_fail, _stop, _cancel, _complete])
def test_a_late_copy_of_an_answered_start_does_nothing_under_the_next_leader(end_attempt: EndAttempt) -> None:
    harness, worker, key = _forgotten_attempt("array", end_attempt)
    harness.fail_over()
    _deliver_copies(harness, worker)
    assert worker.started_attempts == [key]


def test_a_late_copy_of_an_answered_start_does_nothing_on_a_machine_that_restarted_at_once() -> None:
    harness, worker, key = _forgotten_attempt("array", _stop)
    worker.restart(reset_epoch=False)
    _deliver_copies(harness, worker)
    assert worker.started_attempts == [key]


def test_a_late_copy_of_an_answered_start_does_nothing_on_a_machine_that_counts_its_epochs_from_1_again() -> None:
    harness, worker, key = _forgotten_attempt("array", _stop)
    worker.restart(reset_epoch=True)
    _deliver_copies(harness, worker)
    assert worker.started_attempts == [key]


@pytest.mark.parametrize("kind", ["array", "gang", "standing"])
@pytest.mark.parametrize("end_attempt", [_fail, _stop, _cancel, _complete])
def test_a_machine_back_with_token_0_and_epoch_1_executes_no_start_from_any_direct_message(
    kind: str, end_attempt: EndAttempt
) -> None:
    """Guards against a start that a copy of a direct message repeats on a machine that has lost its token and epoch.

    The task ran on another machine by then (`ran_twice`), or had been cancelled or completed.
    """
    harness, worker, key = _forgotten_attempt(kind, end_attempt)
    worker.restart(reset_epoch=True)
    bodies = [body for bodies in harness.direct_commands.values() for body in bodies]
    assert {order["orderKind"] for body in bodies for order in body["orders"]} <= {"stop"}
    _deliver_copies(harness, worker)
    assert worker.started_attempts == [key]
    assert all(len(machines) == 1 for machines in harness.task_locations(key.job_id).values())


# --- requests for heartbeats ----------------------------------------------------------------------


def _machine_with_due_start(**changes: Any) -> tuple[ClusterHarness, Worker, Machine, str]:
    """Returns a machine with a committed binding, a lease after it received the leader's token, and the job's id."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle(10)
    ref = harness.submit(**{"rig": "standing", "legs": 1, "cores": 1.0, **changes})
    harness.plan()
    harness.commit()
    return harness, worker, harness.cluster.machines[worker.name], ref


def _request(harness: ClusterHarness, worker: Worker, machine: Machine) -> DirectMessage | None:
    """Sends a machine its direct message, and returns it; None if there is none."""
    message = harness.cluster.commands.direct_message(machine, harness.now)
    if message is not None:
        harness.cluster.commands.on_direct_message(machine, message, harness.now)
        worker.commands(wire.command_request(message.fencing_token, machine.worker_epoch, message.stops))
    return message


def test_a_due_start_requests_a_heartbeat_by_a_higher_token_and_goes_out_in_its_response() -> None:
    """Guards against starts that wait for the machine's next regular heartbeat."""
    harness, worker, machine, ref = _machine_with_due_start()
    message = _request(harness, worker, machine)
    assert message == DirectMessage(harness.cluster.fencing_token + 1, [], requests_heartbeat=True)
    assert worker.token == message.fencing_token
    assert worker.started_attempts == []
    harness.report(worker)
    assert worker.started_attempts == [(f"{ref}/0", 1)]
    assert worker.token == message.fencing_token


def test_a_heartbeat_is_requested_at_most_once_in_half_of_a_lease() -> None:
    """Guards against requests that the worker ignores, and that keep it from following a later one."""
    harness, worker, machine, _ = _machine_with_due_start()
    assert _request(harness, worker, machine) is not None
    half_lease_us = harness.cluster.lease_us // 2
    harness.now += half_lease_us
    assert _request(harness, worker, machine) is None
    harness.now += HEARTBEAT_REQUEST_MARGIN + 1
    assert _request(harness, worker, machine) is not None


@pytest.mark.parametrize("start_within_s", [0.8, 6.0])
def test_no_heartbeat_is_requested_for_an_array_task_where_a_class_must_start_sooner(start_within_s: float) -> None:
    """Guards against a service that waits because the machine was asked for a heartbeat for an array task before."""
    harness, worker, machine, _ = _machine_with_due_start(rig="array")
    harness.cluster.objectives.start_within["serve"] = micros(start_within_s)
    harness.cluster.commands = MachineCommands(harness.cluster)
    is_reserved = start_within_s < harness.settings.workers.report_s
    assert harness.cluster.commands.direct_message(machine, harness.now) is not None  # the machine is idle
    harness.report(worker)
    harness.report(worker)
    harness.submit(rig="array", legs=1, cores=1.0)
    harness.plan()
    harness.commit()
    assert (harness.cluster.commands.direct_message(machine, harness.now) is None) is is_reserved
    harness.submit(rig="standing", legs=1, cores=1.0)
    harness.plan()
    harness.commit()
    assert harness.cluster.commands.direct_message(machine, harness.now) is not None


def test_no_heartbeat_is_requested_under_a_token_that_no_commit_allows() -> None:
    """Guards against a token that a later leader may have too: it could not fence the earlier leader's messages."""
    harness, _, machine, _ = _machine_with_due_start()
    harness.cluster.tokens = FencingTokens(harness.cluster.fencing_token)  # as if nothing was committed in this term
    assert harness.cluster.commands.direct_message(machine, harness.now) is None
    harness.cluster.tokens.on_committed(harness.state.revision)
    assert harness.cluster.commands.direct_message(machine, harness.now) is not None


def test_every_later_leader_has_a_higher_token_than_the_raised_ones() -> None:
    harness, worker, machine, _ = _machine_with_due_start()
    assert _request(harness, worker, machine) is not None
    highest = harness.cluster.tokens.highest
    assert harness.cluster.fencing_token < worker.token <= highest
    harness.fail_over()
    assert harness.cluster.fencing_token > highest
    harness.settle(2)
    assert worker.token >= harness.cluster.fencing_token


def test_a_start_in_a_response_that_a_request_overtakes_is_repeated_and_runs_once() -> None:
    """Guards against a start that is lost because the worker drops a response with a lower token than the request's."""
    harness, worker, machine, ref = _machine_with_due_start()
    machine_commands, sent_at = harness.cluster.commands, harness.now
    report = wire.decode_heartbeat(worker.report())
    harness.cluster.heartbeats.receive(report, harness.now, harness.now)
    machine_commands.on_heartbeat_delivered(machine, report)
    delayed = wire.heartbeat_response(machine_commands.token_for(machine), machine_commands.for_response(machine)[0])
    assert _request(harness, worker, machine) is not None
    assert not worker.on_heartbeat_response(sent_at, 1, delayed)
    harness.report(worker)
    harness.settle(2)
    assert worker.started_attempts == [(f"{ref}/0", 1)]


def test_a_new_machine_gets_its_first_tasks_with_the_response_to_its_second_heartbeat() -> None:
    """Guards against tasks that wait on a new machine: it sends a heartbeat for the leader's token only once."""
    harness = ClusterHarness()
    ref = harness.submit(legs=1)
    worker = harness.machine(1)
    machine = harness.cluster.add_machine(worker.name, "m8", "a", False, "", harness.now, harness.now)
    assert machine is not None
    machine.rented_in_term = True
    harness.report(worker)
    harness.commit()
    harness.plan()
    harness.commit()
    harness.report(worker)
    assert worker.started_attempts == [(f"{ref}/0", 1)]


def _leader_with_machine() -> tuple[Leader, FakeLeadingNode, Worker, Machine]:
    """Returns a leader with a commit in its term, its node, and a worker that lists an ended attempt."""
    lead, _, node = leader(KeyStore(lambda: 0))
    lead.cluster.catalog.types.update(TYPES)
    lead.cluster.tokens.on_committed(lead.token + 5)
    worker = Worker(steady, "vm-000001", "10.0.0.1:1", "m8", "a", False, 8.0, lambda ref: None)
    worker.commands(wire.command_request(lead.token, 1, [wire.StartCommand("j-000001/0", 1)]))
    lead.cluster.heartbeats.receive(wire.decode_heartbeat(worker.report()), steady(), time_of_day())
    return lead, node, worker, lead.cluster.machines[worker.name]


async def test_a_direct_message_of_a_leader_contains_its_stops_alone() -> None:
    """Guards against a command sender that adds commands of its own to what `MachineCommands` allows."""
    lead, _, worker, machine = _leader_with_machine()
    sent: list[Any] = []

    async def request(method: str, path: str, body: Any, **options: Any) -> tuple[int, Any]:
        sent.append(body)
        return worker.commands(body)

    client = SimpleNamespace(request=request)
    lead.command_sender._net = SimpleNamespace(client=lambda address, reuse: client)  # type: ignore[assignment]
    machine.orphaned_attempts[("j-000002/0", 3)] = (None, None)
    await lead.command_sender.send(machine)
    assert sent == [wire.command_request(lead.token, 1, [wire.StopCommand("j-000002/0", 3, 0.0)])]


async def test_the_response_to_a_late_heartbeat_copy_contains_no_start() -> None:
    """Guards against a start that counts as sent although the worker never receives this response."""
    lead, _, worker, machine = _leader_with_machine()
    machine.persisted = True
    copy = wire.decode_heartbeat(worker.report())
    lead.cluster.heartbeats.receive(wire.decode_heartbeat(worker.report()), steady(), time_of_day())
    spec = wire.decode_submission(job("j-000009", legs=1))
    task = lead.cluster.tasks.begin_binding(lead.cluster.job_lifecycle.add("j-000009", spec, 1, 0), machine, steady())
    task.phase = TaskPhase.BOUND
    response = lead.answer_heartbeat(copy)
    assert response is not None
    assert all(order["orderKind"] != "start" for order in response["orders"])
    assert machine.starts_in_response == set()
    response = lead.answer_heartbeat(wire.decode_heartbeat(worker.report()))
    assert response is not None
    assert [order["leg"] for order in response["orders"] if order["orderKind"] == "start"] == ["j-000009/0"]


async def test_a_leader_steps_down_for_a_later_leader_only_and_not_for_a_token_that_it_raised() -> None:
    lead, node, worker, _ = _leader_with_machine()
    worker.token = lead.token + 5
    assert lead.answer_heartbeat(wire.decode_heartbeat(worker.report())) is not None
    assert not lead.stopped
    worker.token = lead.token + 6
    assert lead.answer_heartbeat(wire.decode_heartbeat(worker.report())) is None
    assert lead.stopped
    assert node.step_down_reasons == [f"a worker has seen token {lead.token + 6}"]


def test_a_lease_proxy_answers_workers_with_the_tokens_of_the_leaders_term() -> None:
    proxy = LeaseProxy.create(cluster_settings())
    proxy.on_watermark(7, 100 * SECOND, 0, highest_token=12)
    restarted = LeaseProxy.create(cluster_settings())
    shared = proxy.share(100 * SECOND)
    assert shared is not None
    restarted.on_watermark(7, 100 * SECOND, 0, 0, shared.highest_token)
    for node in (proxy, restarted):
        answered = [token for token in range(5, 15) if node.may_answer(token, 103 * SECOND, 100 * SECOND, 102 * SECOND)]
        assert answered == [7, 8, 9, 10, 11, 12]
    proxy.on_watermark(13, 100 * SECOND, 0)  # from a node of an earlier version, without the highest token
    answered = [token for token in range(5, 20) if proxy.may_answer(token, 103 * SECOND, 100 * SECOND, 102 * SECOND)]
    assert answered == [13]
