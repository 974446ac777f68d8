"""Write batches: which records are written in which order, and the number of state service changes."""

from __future__ import annotations

from oatport import wire
from oatport.control.storage.keys import live_key
from oatport.settings import Team
from oatport.times import SECOND
from tests.cluster_fixture import World


def test_first_chunk_with_its_own_key_is_migrated_from_an_earlier_version() -> None:
    """In-place upgrade: versions before 0.3 stored the first chunk under a separate key."""
    world = World()
    world.machine(1)
    ref = world.submit()
    world.settle()
    head, _, _ = world.state.items[live_key(ref)]
    assert len(world.live(ref)) == 2
    world.state.commit(
        {
            "if": [],
            "then": [
                {"set": live_key(ref), "value": {k: head[k] for k in ("job", "at", "state")}},
                {"set": f"{live_key(ref)}/0000", "value": {"t": head["t"]}},
            ],
        }
    )
    world.fail_over()
    world.cluster.jobs[ref].version = head["rev"]  # the head record had the revision of jobs/REF then
    assert world.cluster.jobs[ref].on_machines == 2
    world.settle()
    assert len(world.live(ref)) == 2
    assert len(world.workers["vm-000001"].started_attempts) == 2
    assert [row["path"] for row in world.state.list(live_key(ref))[1]["rows"]] == [live_key(ref)]
    world.settle(31)
    assert world.record(ref) == wire.JobStatus.COMPLETED
    assert world.state.list("live/")[1]["rows"] == []


def test_a_small_job_takes_five_changes_of_the_state_service() -> None:
    """Two changes to accept the job, one for its binding, and two for its completion."""
    world = World()
    world.machine(1)
    world.settle()
    log_length = len(world.state.log)
    ref = world.submit(legs=1)
    world.settle(40)
    assert world.record(ref) == wire.JobStatus.COMPLETED
    writes = [key for _, key, _ in world.state.log[log_length:] if ref in key]
    assert len(writes) == 5


def test_best_effort_bindings_are_written_after_completions_of_other_jobs() -> None:
    world = World([Team("crew")])
    for number in range(1, 9):
        world.machine(number)
    world.settle(2)
    completed = world.submit(ref="j-000001", legs=1, voyageS=1.0)
    world.settle(1)
    for number in range(10, 30):
        world.submit(ref=f"j-{number:06d}", urgency="idle", legs=1, cores=0.25)
    world.now += 2 * SECOND
    world.report(next(w for w in world.workers.values() if w.started_attempts))
    world.submit(ref="j-000002", urgency="production", rig="standing", legs=1)
    world.plan()
    batch = world.cluster.writes.take_batch(4)
    assert next(iter(batch.sets)) == live_key("j-000002")
    assert [job.job_id for job in batch.completed_jobs] == [completed]


def test_a_cancellation_mark_is_deleted_in_the_same_batch_as_its_job() -> None:
    """The budget may be too small for both: a job without its mark would run again after a failover."""
    world = World()
    world.machine(1)
    ref = world.submit()
    world.settle()
    world.cancel(ref)
    world.report(world.workers["vm-000001"])
    world.report(world.workers["vm-000001"])
    assert world.cluster.writes.jobs_to_delete
    for budget in (0, 1):
        batch = world.cluster.writes.take_batch(12, budget=budget)
        assert not any(key.startswith(live_key(ref)) for key in batch.deletes)
        assert not batch.deleted_jobs
        world.cluster.writes.restore_batch(batch)
    assert not world.cluster.writes.orphaned_keys
    batch = world.cluster.writes.take_batch(12, budget=12)
    assert {live_key(ref), live_key(ref) + "/x"} <= set(batch.deletes)


def test_completions_are_batched_per_record_and_omitted_if_the_job_completes() -> None:
    """Without batching, half of all changes were records rewritten for one more completion.

    The completion of the job makes recording the completions of its tasks unnecessary.
    """
    world = World([Team("crew")])
    for number in range(1, 6):
        world.machine(number)
    world.settle(2)
    ref = world.submit(legs=10, cores=4.0, voyageS=10.0)
    world.settle(2)
    tasks = list(world.cluster.jobs[ref].tasks.values())
    batching_window = 1_500_000
    written = 0
    for task in tasks[:8]:
        world.now += SECOND // 5
        world.cluster.now = world.now
        world.cluster.tasks.complete(task, world.now)
        batch = world.cluster.writes.take_batch(12, 12, batching_window)
        written += len(batch.sets)
        if batch.operation_count:
            world.cluster.writes.committed(
                batch, world.state.commit(world.transaction(batch))[1]["ledgerRev"], world.now
            )
    assert written <= 1
    assert not world.cluster.commands._may_forget(
        next(iter(world.cluster.machines.values())), f"{ref}/{tasks[7].index}", 1
    )
    world.now += 2 * SECOND
    world.cluster.now = world.now
    batch = world.cluster.writes.take_batch(12, 12, batching_window)
    assert list(batch.sets) == [live_key(ref)]
    world.cluster.writes.restore_batch(batch)
    for task in tasks[8:]:
        world.cluster.tasks.complete(task, world.now)
    batch = world.cluster.writes.take_batch(12, 12, batching_window)
    assert [job.job_id for job in batch.completed_jobs] == [ref]
    assert set(batch.sets) == {f"jobs/{ref}"}
