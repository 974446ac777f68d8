"""Tests retry policies: each way in which an attempt can end, and the outcome that users and later leaders see."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from oatport import wire
from oatport.api.job_api import JobApi
from oatport.control.placement.retry_policy import RetryPolicy, load_retry_policies
from oatport.control.storage.job_records import decode_job
from oatport.settings import SettingsError
from oatport.simulation.attempt import Attempt
from oatport.simulation.worker import Worker
from oatport.times import SECOND
from tests.cluster_fixture import ClusterHarness, FakeStateClient, node_settings
from tests.test_node_failures import leader

POLICIES = (RetryPolicy.ANY, RetryPolicy.BEFORE_START, RetryPolicy.NEVER)


def harness_with_unsent_binding(policy: RetryPolicy, **changes: Any) -> tuple[ClusterHarness, str, Worker]:
    """Returns a harness with a job of one task whose binding is committed but whose start was not sent."""
    harness = ClusterHarness()
    harness.retry_policies["train"] = policy
    harness.cluster.retry_policies = harness.retry_policies
    worker = harness.machine(1)
    harness.settle(2)
    ref = harness.submit(**{"legs": 1, "voyageS": 100.0, **changes})
    harness.plan()
    harness.commit()
    return harness, ref, worker


def harness_with_running_task(policy: RetryPolicy, **changes: Any) -> tuple[ClusterHarness, str, Worker]:
    """Returns a harness whose job runs, with the job's id and the worker of its first task."""
    harness, ref, worker = harness_with_unsent_binding(policy, **changes)
    harness.send()
    harness.step(1.0)
    assert harness.task_locations(ref)
    return harness, ref, worker


def state_and_starts_after_recovery(harness: ClusterHarness, ref: str) -> tuple[str, int]:
    """Adds another machine; returns the job's recorded state and the number of starts of its tasks on all machines."""
    other = harness.machine(7)
    for _ in range(8):
        harness.step(1.0)
    starts = [
        key
        for worker in [*harness.workers.values(), *RELEASED_WORKERS]
        for key in worker.started_attempts
        if key[0].startswith(ref)
    ]
    assert other
    return harness.record(ref), len(starts)


RELEASED_WORKERS: list[Worker] = []


@pytest.fixture(autouse=True)
def clear_released_workers() -> None:
    """Clears the list of released workers before each test."""
    RELEASED_WORKERS.clear()


def release(harness: ClusterHarness, worker: Worker) -> None:
    """Removes a machine, and adds its worker to the list of released workers."""
    RELEASED_WORKERS.append(worker)
    harness.unreachable_machines.discard(worker.name)
    harness.confirm_release(worker.name)


def reclaimed(harness: ClusterHarness, worker: Worker) -> None:
    """Removes a machine without notice."""
    release(harness, worker)


def silent_and_released(harness: ClusterHarness, worker: Worker) -> None:
    """Makes a machine silent for 6 s, then removes it."""
    harness.unreachable_machines.add(worker.name)
    harness.step(6.0)
    release(harness, worker)


def lease_expired(harness: ClusterHarness, worker: Worker) -> None:
    """Makes a machine unreachable for longer than its lease."""
    harness.unreachable_machines.add(worker.name)
    harness.now += 12 * SECOND
    harness.unreachable_machines.clear()
    harness.step(0.5)


def failed(harness: ClusterHarness, worker: Worker) -> None:
    """Fails all tasks of a worker."""
    for task in worker.tasks.values():
        task.status, task.exit_reason = "ended", wire.ExitReason.ERROR
    harness.step(0.5)


@pytest.mark.parametrize("end_attempt", [reclaimed, silent_and_released, lease_expired, failed])
@pytest.mark.parametrize("policy", POLICIES)
def test_an_attempt_that_may_have_begun_is_retried_only_if_its_class_allows_it(
    policy: RetryPolicy, end_attempt: Callable[[ClusterHarness, Worker], None]
) -> None:
    harness, ref, worker = harness_with_running_task(policy)
    end_attempt(harness, worker)
    state, starts = state_and_starts_after_recovery(harness, ref)
    if policy is RetryPolicy.ANY:
        assert starts == 2
    else:
        assert (state, starts) == (wire.JobStatus.FAILED, 1)
        assert not [key for key in harness.state.items if key.startswith("live/")]


@pytest.mark.parametrize("exit_reason_text", ["full", "in_use", "unknown"])
@pytest.mark.parametrize("policy", POLICIES)
def test_a_refused_start_never_began(policy: RetryPolicy, exit_reason_text: str) -> None:
    harness, ref, worker = harness_with_unsent_binding(policy)
    task = next(iter(harness.cluster.jobs[ref].tasks.values()))
    harness.report_without_response(worker)  # the start went out
    worker.tasks[(task.name, task.attempt)] = Attempt("ended", exit_reason_text)
    harness.step(0.5)
    state, starts = state_and_starts_after_recovery(harness, ref)
    assert (state, starts) == ((wire.JobStatus.FAILED, 0) if policy is RetryPolicy.NEVER else ("queued", 1))


@pytest.mark.parametrize("policy", POLICIES)
def test_an_unanswered_start_may_have_begun(policy: RetryPolicy) -> None:
    harness, ref, worker = harness_with_unsent_binding(policy)
    harness.report_without_response(worker)  # the leader does not know whether the start arrived
    release(harness, worker)
    state, starts = state_and_starts_after_recovery(harness, ref)
    assert (state, starts) == (("queued", 1) if policy is RetryPolicy.ANY else (wire.JobStatus.FAILED, 0))


@pytest.mark.parametrize("policy", POLICIES)
def test_a_binding_that_was_never_sent_is_no_attempt(policy: RetryPolicy) -> None:
    harness, ref, worker = harness_with_unsent_binding(policy)
    release(harness, worker)
    state, starts = state_and_starts_after_recovery(harness, ref)
    assert (state, starts) == ("queued", 1)


@pytest.mark.parametrize("policy", POLICIES)
def test_an_unsent_binding_of_a_killed_leader_never_began(policy: RetryPolicy) -> None:
    """The leader was killed between commit and send.

    The worker's worker epoch is still that of the binding, and the worker does not list the attempt.
    """
    harness, ref, _ = harness_with_unsent_binding(policy)
    harness.fail_over()
    state, starts = state_and_starts_after_recovery(harness, ref)
    assert (state, starts) == ((wire.JobStatus.FAILED, 0) if policy is RetryPolicy.NEVER else ("queued", 1))


@pytest.mark.parametrize("policy", POLICIES)
def test_an_unsent_binding_may_have_begun_after_a_lease_expiry_and_a_failover(policy: RetryPolicy) -> None:
    harness, ref, worker = harness_with_unsent_binding(policy)
    harness.now += 12 * SECOND
    worker.advance()
    harness.fail_over()
    state, starts = state_and_starts_after_recovery(harness, ref)
    assert (state, starts) == (("queued", 1) if policy is RetryPolicy.ANY else (wire.JobStatus.FAILED, 0))


def test_a_forbidden_retry_survives_a_failover_before_and_after_its_commit() -> None:
    """Guards against forbidden retries after a failover.

    The next leader took the row of a task that may not be retried for that of a task pending its next attempt.
    """
    for committed in (False, True):
        RELEASED_WORKERS.clear()
        harness, ref, worker = harness_with_running_task(RetryPolicy.BEFORE_START, legs=2)
        RELEASED_WORKERS.append(worker)
        harness.machine(2)
        harness.confirm_release(worker.name)
        assert harness.cluster.jobs[ref].failure_reason
        if committed:
            batch = harness.cluster.writes.take_batch(12)
            status, value = harness.state.commit(harness.transaction(batch))
            assert status == 200
            harness.cluster.writes.committed(batch, value["ledgerRev"], harness.now)
        harness.fail_over()
        if not committed:  # the new leader finds the machine silent and releases it again
            harness.cluster.on_machine_removed(harness.cluster.machines[worker.name], harness.now, "silent")
        state, starts = state_and_starts_after_recovery(harness, ref)
        assert (state, starts) == (wire.JobStatus.FAILED, 2)


def test_the_remaining_tasks_of_a_lost_job_are_stopped_before_the_loss_is_recorded() -> None:
    harness, ref, worker = harness_with_running_task(RetryPolicy.BEFORE_START, legs=4)
    other = harness.machine(2)
    harness.settle(2)
    assert [key for key in other.started_attempts if key[0].startswith(ref)]
    RELEASED_WORKERS.append(worker)
    harness.confirm_release(worker.name)
    harness.commit()
    assert harness.record(ref) == "queued"  # tasks of the job still run
    harness.settle(3)
    assert harness.record(ref) == wire.JobStatus.FAILED
    assert not harness.task_locations(ref)


def test_at_most_once_tasks_are_not_stopped_for_preemption_or_a_reclamation_notice() -> None:
    harness, ref, worker = harness_with_running_task(RetryPolicy.BEFORE_START, legs=2)
    worker.notice_s = 10.0
    harness.step(1.0)
    harness.submit(ref="j-000009", rig="standing", urgency="production", driftwood=False, legs=2)
    harness.settle(3)
    assert len(harness.task_locations(ref)) == 2
    assert harness.record(ref) == "queued"


def test_a_gang_that_never_became_complete_has_not_begun() -> None:
    harness, ref, worker = harness_with_unsent_binding(RetryPolicy.BEFORE_START, rig="gang")
    task = next(iter(harness.cluster.jobs[ref].tasks.values()))
    worker.tasks[(task.name, task.attempt)] = Attempt("ended", wire.ExitReason.GANG_INCOMPLETE)
    harness.send()
    assert state_and_starts_after_recovery(harness, ref) == ("queued", 1)


async def test_users_see_a_lost_job_as_queued_until_they_cancel_it() -> None:
    """Users must see only statuses that the protocol allows."""
    harness, ref, worker = harness_with_running_task(RetryPolicy.NEVER)
    release(harness, worker)
    state_and_starts_after_recovery(harness, ref)
    client = FakeStateClient(harness.state)

    class FakeBackend:
        types = harness.cluster.catalog.types
        job_progress: dict[str, tuple[int, int]] = {}  # noqa: RUF012

        def is_ready(self) -> bool:
            return True

        def notify_accepted(self, *_: Any) -> None: ...
        def notify_cancelled(self, *_: Any) -> None: ...

    users = JobApi(node_settings(), client, FakeBackend())  # type: ignore[arg-type]
    assert (await users.show(ref)).value["status"] == "queued"
    assert (await users.submit(wire.decode_submission(harness.jobs[ref]))).status in (200, 422)
    response = await users.cancel(ref)
    assert (response.status, response.value["status"]) == (200, "aborted")
    assert (await users.show(ref)).value["status"] == "aborted"


async def test_the_job_watch_of_a_leader_does_not_add_a_lost_job_again() -> None:
    harness, ref, worker = harness_with_running_task(RetryPolicy.NEVER)
    release(harness, worker)
    state_and_starts_after_recovery(harness, ref)
    watching_leader, client, _ = leader(harness.state)
    watching_leader.job_watch.revision = 0
    watching_leader.stopped = False
    client.watch = _watch_once(watching_leader, client)  # type: ignore[method-assign]
    await watching_leader.job_watch.loop()
    assert ref not in watching_leader.cluster.jobs
    state = decode_job(harness.state.items[f"jobs/{ref}"][0]).state
    assert state == wire.JobStatus.FAILED


def _watch_once(watching_leader: Any, client: FakeStateClient) -> Any:
    changes = client.watch

    async def watch_and_stop(*arguments: Any) -> Any:
        watching_leader.stopped = True
        return await changes(*arguments)

    return watch_and_stop


def test_retry_settings_are_loaded_and_errors_name_the_class(tmp_path: Path) -> None:
    path = tmp_path / "own.ini"
    path.write_text("[repeat]\nMoves = before_start\nreplays = never\n")
    assert load_retry_policies(path) == {"Moves": RetryPolicy.BEFORE_START, "replays": RetryPolicy.NEVER}
    path.write_text("[repeat]\nmoves = once\n")
    with pytest.raises(SettingsError, match="moves: must be any, before_start, never"):
        load_retry_policies(path)
