"""Tests that late copies of executed direct commands start nothing, and the fencing tokens that ensure it."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from oatport import wire
from oatport.control.leadership.fencing_tokens import FencingTokens
from oatport.control.leadership.lease_proxy import LeaseProxy
from oatport.control.state.machine import Machine
from oatport.service.leader import Leader
from oatport.simulation.attempt import AttemptKey
from oatport.simulation.state_service import KeyStore
from oatport.simulation.worker import Worker
from oatport.times import SECOND, steady, time_of_day
from tests.cluster_fixture import TYPES, ClusterHarness, cluster_settings
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
    for body in harness.direct_commands[worker.name]:
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


# --- the fence ------------------------------------------------------------------------------------


def _ended_attempt() -> tuple[ClusterHarness, Worker, AttemptKey]:
    """Returns an attempt that failed and is recorded as failed, but not forgotten yet."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle(2)
    key = AttemptKey(f"{harness.submit(legs=1, cores=8.0, voyageS=500.0)}/0", 1)
    harness.settle(3)
    harness.cluster.machines[worker.name].draining = True
    _fail(harness, worker, key)
    harness.report(worker)
    harness.commit()
    assert key in worker.tasks
    return harness, worker, key


def test_an_attempt_is_not_forgotten_before_a_commit_allows_a_higher_token() -> None:
    harness, worker, key = _ended_attempt()
    harness.cluster.tokens = FencingTokens(harness.cluster.fencing_token)  # as if nothing was committed in this term
    harness.report(worker)
    assert key in worker.tasks
    harness.cluster.tokens.on_committed(harness.state.revision)
    harness.report(worker)
    assert key not in worker.tasks
    assert worker.token == harness.cluster.fencing_token + 1


def test_every_later_leader_has_a_higher_token_than_the_raised_ones() -> None:
    harness, worker, _ = _ended_attempt()
    harness.report(worker)
    highest = harness.cluster.tokens.highest
    assert harness.cluster.fencing_token < worker.token <= highest
    harness.fail_over()
    assert harness.cluster.fencing_token > highest
    harness.settle(2)
    assert worker.token >= harness.cluster.fencing_token


def test_a_start_after_a_raised_token_is_executed_at_once() -> None:
    harness, worker, _ = _ended_attempt()
    harness.report(worker)
    machine = harness.cluster.machines[worker.name]
    machine.draining, machine.cordoned_until = False, 0
    harness.step(0.1)
    assert len(worker.started_attempts) == 2
    assert machine.newest_start_token == worker.token


def _leader_of_ended_attempt() -> tuple[Leader, FakeLeadingNode, Worker, Machine]:
    """Returns a leader with a commit in its term, its node, and a worker that lists an ended attempt."""
    lead, _, node = leader(KeyStore(lambda: 0))
    lead.cluster.catalog.types.update(TYPES)
    lead.cluster.tokens.on_committed(lead.token + 5)
    worker = Worker(steady, "vm-000001", "10.0.0.1:1", "m8", "a", False, 8.0, lambda ref: None)
    worker.commands(wire.command_request(lead.token, 1, [wire.StartCommand("j-000001/0", 1)]))
    lead.cluster.heartbeats.receive(wire.decode_heartbeat(worker.report()), steady(), time_of_day())
    machine = lead.cluster.machines[worker.name]
    machine.newest_start_token = lead.token
    return lead, node, worker, machine


async def test_no_token_is_raised_while_a_direct_request_is_in_flight() -> None:
    """Guards against starts in that request that the worker would refuse, and that would have to be repeated."""
    lead, _, worker, machine = _leader_of_ended_attempt()
    lead.command_sender._sending.add(machine)
    response = lead.answer_heartbeat(wire.decode_heartbeat(worker.report()))
    assert response == {"helm": lead.token, "orders": []}
    lead.command_sender._sending.clear()
    response = lead.answer_heartbeat(wire.decode_heartbeat(worker.report()))
    assert response is not None
    assert (response["helm"], [order["orderKind"] for order in response["orders"]]) == (lead.token + 1, ["forget"])


async def test_no_token_is_raised_in_the_response_to_a_late_heartbeat_copy() -> None:
    """Guards against a token that the worker never receives: it would drop the response to its own heartbeat."""
    lead, _, worker, _ = _leader_of_ended_attempt()
    copy = wire.decode_heartbeat(worker.report())
    lead.cluster.heartbeats.receive(wire.decode_heartbeat(worker.report()), steady(), time_of_day())
    assert lead.answer_heartbeat(copy) == {"helm": lead.token, "orders": []}


async def test_a_leader_steps_down_for_a_later_leader_only_and_not_for_a_token_that_it_raised() -> None:
    lead, node, worker, _ = _leader_of_ended_attempt()
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
