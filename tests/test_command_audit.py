"""Tests the log lines and counters that explain why a start, stop or forget command was sent."""

from __future__ import annotations

import logging

import pytest

from oatport import wire
from oatport.control.state import command_audit
from oatport.control.state.command_audit import CommandAudit
from oatport.control.state.machine import Machine
from oatport.simulation.worker import Worker
from oatport.times import steady
from tests.cluster_fixture import TYPES, ClusterHarness

FORGET = wire.ForgetCommand("j-000001/0", 1)


def _machine() -> Machine:
    machine = Machine("vm-000001", TYPES["m8"], "a", spot=False)
    machine.worker_epoch = 3
    return machine


def test_the_log_names_token_epoch_attempt_and_the_revision_of_the_binding(caplog: pytest.LogCaptureFixture) -> None:
    harness = ClusterHarness()
    harness.machine(1)
    harness.settle(2)
    ref = harness.submit(legs=1)
    harness.plan()
    harness.commit()
    task = harness.cluster.jobs[ref].tasks[0]
    commands = [wire.StartCommand(task.name, 1), wire.StopCommand("j-000002/0", 4, 2.5), FORGET]
    with caplog.at_level(logging.INFO):
        CommandAudit().on_sent(_machine(), 41, commands, [task], direct=True)
    assert task.bound_at_revision == harness.state.revision
    assert caplog.messages == [
        "commands sent machine=vm-000001 worker_epoch=3 fencing_token=41 direct=True "
        f"starts={ref}/0@1:bound_at={harness.state.revision} stops=j-000002/0@4:grace_s=2.5 forgets=j-000001/0@1"
    ]


def test_a_message_without_commands_is_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        CommandAudit().on_sent(_machine(), 41, [], [], direct=False)
    assert caplog.messages == []


def test_an_attempt_that_runs_again_after_a_forget_is_counted_with_a_warning(caplog: pytest.LogCaptureFixture) -> None:
    audit = CommandAudit()
    audit.on_orphaned(_machine(), ("j-000001/0", 1))  # orphaned, but never forgotten
    assert audit.reappeared_attempts == 0
    audit.on_sent(_machine(), 41, [FORGET], [], direct=False)
    audit.on_orphaned(_machine(), ("j-000001/0", 1))
    assert audit.reappeared_attempts == 1
    assert caplog.messages == [
        "attempt reappeared after forget task=j-000001/0 attempt=1 machine=vm-000001 forgotten_under_token=41"
    ]


def test_only_the_newest_forgets_are_remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(command_audit, "MAX_REMEMBERED_FORGETS", 2)
    audit = CommandAudit()
    for attempt in range(1, 5):
        audit.on_sent(_machine(), 41, [wire.ForgetCommand("j-000001/0", attempt)], [], direct=False)
    for attempt in range(1, 5):
        audit.on_orphaned(_machine(), ("j-000001/0", attempt))
    assert audit.reappeared_attempts == 2


def test_refused_commands_are_counted_and_logged(caplog: pytest.LogCaptureFixture) -> None:
    worker = Worker(steady, "vm-000001", "10.0.0.1:1", "m8", "a", False, 8.0, lambda ref: None)
    worker.token = 50
    audit = CommandAudit()
    with caplog.at_level(logging.INFO):
        audit.on_refused(_machine(), 41, wire.decode_heartbeat(worker.report()))
    assert audit.refused_commands == 1
    assert caplog.messages == [
        "commands refused machine=vm-000001 worker_epoch=3 fencing_token=41 seen_epoch=1 seen_token=50"
    ]
