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
from tests.cluster_fixture import FakeStateClient, World, node_settings
from tests.test_node_failures import leader

POLICIES = (RetryPolicy.ANY, RetryPolicy.BEFORE_START, RetryPolicy.NEVER)


def world_with(policy: RetryPolicy, **changes: Any) -> tuple[World, str, Worker]:
    """A job of one task; its binding is committed, nothing was sent yet."""
    world = World()
    world.retry_policies["train"] = policy
    world.cluster.retry_policies = world.retry_policies
    worker = world.machine(1)
    world.settle(2)
    ref = world.submit(**{"legs": 1, "voyageS": 100.0, **changes})
    world.plan()
    world.commit()
    return world, ref, worker


def running(policy: RetryPolicy, **changes: Any) -> tuple[World, str, Worker]:
    world, ref, worker = world_with(policy, **changes)
    world.send()
    world.step(1.0)
    assert world.live(ref)
    return world, ref, worker


def state_after(world: World, ref: str) -> tuple[str, int]:
    """The job's record, and how often a task of it was started anywhere, once another machine is there."""
    other = world.machine(7)
    for _ in range(8):
        world.step(1.0)
    starts = [
        key
        for worker in [*world.workers.values(), *RELEASED]
        for key in worker.started_attempts
        if key[0].startswith(ref)
    ]
    assert other
    return world.record(ref), len(starts)


RELEASED: list[Worker] = []


@pytest.fixture(autouse=True)
def nothing_released() -> None:
    RELEASED.clear()


def release(world: World, worker: Worker) -> None:
    RELEASED.append(worker)
    world.refused.discard(worker.name)
    world.released(worker.name)


def reclaimed(world: World, worker: Worker) -> None:
    release(world, worker)


def silent_and_released(world: World, worker: Worker) -> None:
    world.refused.add(worker.name)
    world.step(6.0)
    release(world, worker)


def lease_ended(world: World, worker: Worker) -> None:
    world.refused.add(worker.name)
    world.now += 12 * SECOND
    world.refused.clear()
    world.step(0.5)


def failed(world: World, worker: Worker) -> None:
    for task in worker.tasks.values():
        task.status, task.exit_reason = "ended", wire.ExitReason.ERROR
    world.step(0.5)


@pytest.mark.parametrize("ends", [reclaimed, silent_and_released, lease_ended, failed])
@pytest.mark.parametrize("policy", POLICIES)
def test_what_may_have_begun_runs_again_only_if_its_class_allows(
    policy: RetryPolicy, ends: Callable[[World, Worker], None]
) -> None:
    world, ref, worker = running(policy)
    ends(world, worker)
    state, starts = state_after(world, ref)
    if policy is RetryPolicy.ANY:
        assert starts == 2
    else:
        assert (state, starts) == (wire.JobStatus.FAILED, 1)
        assert not [key for key in world.state.items if key.startswith("live/")]


@pytest.mark.parametrize("why", ["full", "in_use", "unknown"])
@pytest.mark.parametrize("policy", POLICIES)
def test_a_refused_start_never_began(policy: RetryPolicy, why: str) -> None:
    world, ref, worker = world_with(policy)
    task = next(iter(world.cluster.jobs[ref].tasks.values()))
    worker.tasks[(task.name, task.attempt)] = Attempt("ended", why)
    world.send()
    world.step(0.5)
    state, starts = state_after(world, ref)
    assert (state, starts) == ((wire.JobStatus.FAILED, 0) if policy is RetryPolicy.NEVER else ("queued", 1))


@pytest.mark.parametrize("policy", POLICIES)
def test_an_unanswered_start_may_have_begun(policy: RetryPolicy) -> None:
    world, ref, worker = world_with(policy)
    world.refused.add(worker.name)
    world.send()  # lost on its way, or not: who knows
    release(world, worker)
    state, starts = state_after(world, ref)
    assert (state, starts) == (("queued", 1) if policy is RetryPolicy.ANY else (wire.JobStatus.FAILED, 0))


@pytest.mark.parametrize("policy", POLICIES)
def test_a_binding_that_was_never_sent_is_no_attempt(policy: RetryPolicy) -> None:
    world, ref, worker = world_with(policy)
    release(world, worker)
    state, starts = state_after(world, ref)
    assert (state, starts) == ("queued", 1)


@pytest.mark.parametrize("policy", POLICIES)
def test_a_node_killed_between_commit_and_send(policy: RetryPolicy) -> None:
    """In the agent epoch of the binding, the worker does not list it: so it never began."""
    world, ref, _ = world_with(policy)
    world.fail_over()
    state, starts = state_after(world, ref)
    assert (state, starts) == ((wire.JobStatus.FAILED, 0) if policy is RetryPolicy.NEVER else ("queued", 1))


@pytest.mark.parametrize("policy", POLICIES)
def test_a_node_killed_between_commit_and_send_and_the_lease_ended_too(policy: RetryPolicy) -> None:
    world, ref, worker = world_with(policy)
    world.now += 12 * SECOND
    worker.advance()
    world.fail_over()
    state, starts = state_after(world, ref)
    assert (state, starts) == (("queued", 1) if policy is RetryPolicy.ANY else (wire.JobStatus.FAILED, 0))


def test_the_decision_outlives_a_failover_at_any_moment() -> None:
    """A row of a task that may not run again once looked like one that waits for its next attempt."""
    for committed in (False, True):
        RELEASED.clear()
        world, ref, worker = running(RetryPolicy.BEFORE_START, legs=2)
        RELEASED.append(worker)
        world.machine(2)
        world.released(worker.name)
        assert world.cluster.jobs[ref].failure_reason
        if committed:
            batch = world.cluster.writes.take_batch(12)
            status, value = world.state.commit(world.transaction(batch))
            assert status == 200
            world.cluster.writes.committed(batch, value["ledgerRev"], world.now)
        world.fail_over()
        if not committed:  # the new leader finds the machine silent, and releases it once more
            world.cluster.on_machine_removed(world.cluster.machines[worker.name], world.now, "silent")
        state, starts = state_after(world, ref)
        assert (state, starts) == (wire.JobStatus.FAILED, 2)


def test_the_rest_of_a_lost_job_is_stopped_before_that_is_recorded() -> None:
    world, ref, worker = running(RetryPolicy.BEFORE_START, legs=4)
    other = world.machine(2)
    world.settle(2)
    assert [key for key in other.started_attempts if key[0].startswith(ref)]
    RELEASED.append(worker)
    world.released(worker.name)
    world.commit()
    assert world.record(ref) == "queued"  # tasks of it still run
    world.settle(3)
    assert world.record(ref) == wire.JobStatus.FAILED
    assert not world.live(ref)


def test_at_most_once_work_is_not_stopped_for_others_nor_for_a_reclamation_notice() -> None:
    world, ref, worker = running(RetryPolicy.BEFORE_START, legs=2)
    worker.notice_s = 10.0
    world.step(1.0)
    world.submit(ref="j-000009", rig="standing", urgency="production", driftwood=False, legs=2)
    world.settle(3)
    assert len(world.live(ref)) == 2
    assert world.record(ref) == "queued"


def test_a_gang_that_never_became_whole_has_not_begun() -> None:
    world, ref, worker = world_with(RetryPolicy.BEFORE_START, rig="gang")
    task = next(iter(world.cluster.jobs[ref].tasks.values()))
    worker.tasks[(task.name, task.attempt)] = Attempt("ended", wire.ExitReason.GANG_INCOMPLETE)
    world.send()
    assert state_after(world, ref) == ("queued", 1)


async def test_users_see_nothing_that_the_protocol_forbids() -> None:
    world, ref, worker = running(RetryPolicy.NEVER)
    release(world, worker)
    state_after(world, ref)
    client = FakeStateClient(world.state)

    class Back:
        types = world.cluster.catalog.types
        job_progress: dict[str, tuple[int, int]] = {}  # noqa: RUF012

        def ready(self) -> bool:
            return True

        def notify_accepted(self, *_: Any) -> None: ...
        def notify_cancelled(self, *_: Any) -> None: ...

    users = JobApi(node_settings(), client, Back())  # type: ignore[arg-type]
    assert (await users.show(ref)).value["status"] == "queued"
    assert (await users.submit(wire.decode_submission(world.jobs[ref]))).status in (200, 422)
    answer = await users.cancel(ref)
    assert (answer.status, answer.value["status"]) == (200, "aborted")
    assert (await users.show(ref)).value["status"] == "aborted"


async def test_a_leader_that_watches_does_not_take_a_lost_job_up_again() -> None:
    world, ref, worker = running(RetryPolicy.NEVER)
    release(world, worker)
    state_after(world, ref)
    lead, client, _ = leader(world.state)
    lead.job_watch.revision = 0
    lead.stopped = False
    client.watch = _once(lead, client)  # type: ignore[method-assign]
    await lead.job_watch.loop()
    assert ref not in lead.cluster.jobs
    state = decode_job(world.state.items[f"jobs/{ref}"][0]).state
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
