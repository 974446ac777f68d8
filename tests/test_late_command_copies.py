"""Tests that late copies of executed direct commands start nothing."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from oatport.simulation.attempt import AttemptKey
from oatport.simulation.worker import Worker
from tests.cluster_fixture import ClusterHarness

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
