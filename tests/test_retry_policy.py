"""Jobs whose class limits retries: each way an attempt ends, and what users and later leaders learn of it."""

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


def world_with(policy: RetryPolicy, **changes: Any) -> tuple[ClusterHarness, str, Worker]:
    """A job of one task; its binding is committed, nothing was sent yet."""
    harness = ClusterHarness()
    harness.retry_policies["train"] = policy
    harness.cluster.retry_policies = harness.retry_policies
    worker = harness.machine(1)
    harness.settle(2)
    ref = harness.submit(**{"legs": 1, "voyageS": 100.0, **changes})
    harness.plan()
    harness.commit()
    return harness, ref, worker


def running(policy: RetryPolicy, **changes: Any) -> tuple[ClusterHarness, str, Worker]:
    harness, ref, worker = world_with(policy, **changes)
    harness.send()
    harness.step(1.0)
    assert harness.task_locations(ref)
    return harness, ref, worker


def state_after(harness: ClusterHarness, ref: str) -> tuple[str, int]:
    """The job's record, and how often a task of it was started anywhere, once another machine is there."""
    other = harness.machine(7)
    for _ in range(8):
        harness.step(1.0)
    starts = [
        key
        for worker in [*harness.workers.values(), *RELEASED]
        for key in worker.started_attempts
        if key[0].startswith(ref)
    ]
    assert other
    return harness.record(ref), len(starts)


RELEASED: list[Worker] = []


@pytest.fixture(autouse=True)
def nothing_released() -> None:
    RELEASED.clear()


def release(harness: ClusterHarness, worker: Worker) -> None:
    RELEASED.append(worker)
    harness.unreachable_machines.discard(worker.name)
    harness.confirm_release(worker.name)


def reclaimed(harness: ClusterHarness, worker: Worker) -> None:
    release(harness, worker)


def silent_and_released(harness: ClusterHarness, worker: Worker) -> None:
    harness.unreachable_machines.add(worker.name)
    harness.step(6.0)
    release(harness, worker)


def lease_ended(harness: ClusterHarness, worker: Worker) -> None:
    harness.unreachable_machines.add(worker.name)
    harness.now += 12 * SECOND
    harness.unreachable_machines.clear()
    harness.step(0.5)


def failed(harness: ClusterHarness, worker: Worker) -> None:
    for task in worker.tasks.values():
        task.status, task.exit_reason = "ended", wire.ExitReason.ERROR
    harness.step(0.5)


@pytest.mark.parametrize("ends", [reclaimed, silent_and_released, lease_ended, failed])
@pytest.mark.parametrize("policy", POLICIES)
def test_what_may_have_begun_runs_again_only_if_its_class_allows(
    policy: RetryPolicy, ends: Callable[[ClusterHarness, Worker], None]
) -> None:
    harness, ref, worker = running(policy)
    ends(harness, worker)
    state, starts = state_after(harness, ref)
    if policy is RetryPolicy.ANY:
        assert starts == 2
    else:
        assert (state, starts) == (wire.JobStatus.FAILED, 1)
        assert not [key for key in harness.state.items if key.startswith("live/")]


@pytest.mark.parametrize("why", ["full", "in_use", "unknown"])
@pytest.mark.parametrize("policy", POLICIES)
def test_a_refused_start_never_began(policy: RetryPolicy, why: str) -> None:
    harness, ref, worker = world_with(policy)
    task = next(iter(harness.cluster.jobs[ref].tasks.values()))
    worker.tasks[(task.name, task.attempt)] = Attempt("ended", why)
    harness.send()
    harness.step(0.5)
    state, starts = state_after(harness, ref)
    assert (state, starts) == ((wire.JobStatus.FAILED, 0) if policy is RetryPolicy.NEVER else ("queued", 1))


@pytest.mark.parametrize("policy", POLICIES)
def test_an_unanswered_start_may_have_begun(policy: RetryPolicy) -> None:
    harness, ref, worker = world_with(policy)
    harness.unreachable_machines.add(worker.name)
    harness.send()  # lost on its way, or not: who knows
    release(harness, worker)
    state, starts = state_after(harness, ref)
    assert (state, starts) == (("queued", 1) if policy is RetryPolicy.ANY else (wire.JobStatus.FAILED, 0))


@pytest.mark.parametrize("policy", POLICIES)
def test_a_binding_that_was_never_sent_is_no_attempt(policy: RetryPolicy) -> None:
    harness, ref, worker = world_with(policy)
    release(harness, worker)
    state, starts = state_after(harness, ref)
    assert (state, starts) == ("queued", 1)


@pytest.mark.parametrize("policy", POLICIES)
def test_a_node_killed_between_commit_and_send(policy: RetryPolicy) -> None:
    """In the agent epoch of the binding, the worker does not list it: so it never began."""
    harness, ref, _ = world_with(policy)
    harness.fail_over()
    state, starts = state_after(harness, ref)
    assert (state, starts) == ((wire.JobStatus.FAILED, 0) if policy is RetryPolicy.NEVER else ("queued", 1))


@pytest.mark.parametrize("policy", POLICIES)
def test_a_node_killed_between_commit_and_send_and_the_lease_ended_too(policy: RetryPolicy) -> None:
    harness, ref, worker = world_with(policy)
    harness.now += 12 * SECOND
    worker.advance()
    harness.fail_over()
    state, starts = state_after(harness, ref)
    assert (state, starts) == (("queued", 1) if policy is RetryPolicy.ANY else (wire.JobStatus.FAILED, 0))


def test_the_decision_outlives_a_failover_at_any_moment() -> None:
    """A row of a task that may not run again once looked like one that waits for its next attempt."""
    for committed in (False, True):
        RELEASED.clear()
        harness, ref, worker = running(RetryPolicy.BEFORE_START, legs=2)
        RELEASED.append(worker)
        harness.machine(2)
        harness.confirm_release(worker.name)
        assert harness.cluster.jobs[ref].failure_reason
        if committed:
            batch = harness.cluster.writes.take_batch(12)
            status, value = harness.state.commit(harness.transaction(batch))
            assert status == 200
            harness.cluster.writes.committed(batch, value["ledgerRev"], harness.now)
        harness.fail_over()
        if not committed:  # the new leader finds the machine silent, and releases it once more
            harness.cluster.on_machine_removed(harness.cluster.machines[worker.name], harness.now, "silent")
        state, starts = state_after(harness, ref)
        assert (state, starts) == (wire.JobStatus.FAILED, 2)


def test_the_rest_of_a_lost_job_is_stopped_before_that_is_recorded() -> None:
    harness, ref, worker = running(RetryPolicy.BEFORE_START, legs=4)
    other = harness.machine(2)
    harness.settle(2)
    assert [key for key in other.started_attempts if key[0].startswith(ref)]
    RELEASED.append(worker)
    harness.confirm_release(worker.name)
    harness.commit()
    assert harness.record(ref) == "queued"  # tasks of it still run
    harness.settle(3)
    assert harness.record(ref) == wire.JobStatus.FAILED
    assert not harness.task_locations(ref)


def test_at_most_once_work_is_not_stopped_for_others_nor_for_a_reclamation_notice() -> None:
    harness, ref, worker = running(RetryPolicy.BEFORE_START, legs=2)
    worker.notice_s = 10.0
    harness.step(1.0)
    harness.submit(ref="j-000009", rig="standing", urgency="production", driftwood=False, legs=2)
    harness.settle(3)
    assert len(harness.task_locations(ref)) == 2
    assert harness.record(ref) == "queued"


def test_a_gang_that_never_became_whole_has_not_begun() -> None:
    harness, ref, worker = world_with(RetryPolicy.BEFORE_START, rig="gang")
    task = next(iter(harness.cluster.jobs[ref].tasks.values()))
    worker.tasks[(task.name, task.attempt)] = Attempt("ended", wire.ExitReason.GANG_INCOMPLETE)
    harness.send()
    assert state_after(harness, ref) == ("queued", 1)


async def test_users_see_nothing_that_the_protocol_forbids() -> None:
    harness, ref, worker = running(RetryPolicy.NEVER)
    release(harness, worker)
    state_after(harness, ref)
    client = FakeStateClient(harness.state)

    class Back:
        types = harness.cluster.catalog.types
        job_progress: dict[str, tuple[int, int]] = {}  # noqa: RUF012

        def ready(self) -> bool:
            return True

        def notify_accepted(self, *_: Any) -> None: ...
        def notify_cancelled(self, *_: Any) -> None: ...

    users = JobApi(node_settings(), client, Back())  # type: ignore[arg-type]
    assert (await users.show(ref)).value["status"] == "queued"
    assert (await users.submit(wire.decode_submission(harness.jobs[ref]))).status in (200, 422)
    answer = await users.cancel(ref)
    assert (answer.status, answer.value["status"]) == (200, "aborted")
    assert (await users.show(ref)).value["status"] == "aborted"


async def test_a_leader_that_watches_does_not_take_a_lost_job_up_again() -> None:
    harness, ref, worker = running(RetryPolicy.NEVER)
    release(harness, worker)
    state_after(harness, ref)
    lead, client, _ = leader(harness.state)
    lead.job_watch.revision = 0
    lead.stopped = False
    client.watch = _once(lead, client)  # type: ignore[method-assign]
    await lead.job_watch.loop()
    assert ref not in lead.cluster.jobs
    state = decode_job(harness.state.items[f"jobs/{ref}"][0]).state
    assert state == wire.JobStatus.FAILED


def _once(lead: Any, client: FakeStateClient) -> Any:
    changes = client.watch

    async def ask(*arguments: Any) -> Any:
        lead.stopped = True
        return await changes(*arguments)

    return ask


def test_retry_settings_name_the_class(tmp_path: Path) -> None:
    path = tmp_path / "own.ini"
    path.write_text("[repeat]\nMoves = before_start\nreplays = never\n")
    assert load_retry_policies(path) == {"Moves": RetryPolicy.BEFORE_START, "replays": RetryPolicy.NEVER}
    path.write_text("[repeat]\nmoves = once\n")
    with pytest.raises(SettingsError, match="moves: must be any, before_start, never"):
        load_retry_policies(path)
