"""Tests write batches: which records are written in which order, and the number of state service changes."""

from __future__ import annotations

from oatport import wire
from oatport.control.storage.keys import live_key
from oatport.settings import Team
from oatport.times import SECOND
from tests.cluster_fixture import ClusterHarness


def test_first_chunk_with_its_own_key_is_migrated_from_an_earlier_version() -> None:
    """Versions before 0.3 stored the first chunk under a separate key, which an in-place upgrade finds."""
    harness = ClusterHarness()
    harness.machine(1)
    ref = harness.submit()
    harness.settle()
    head, _, _ = harness.state.items[live_key(ref)]
    assert len(harness.task_locations(ref)) == 2
    harness.state.commit(
        {
            "if": [],
            "then": [
                {"set": live_key(ref), "value": {k: head[k] for k in ("job", "at", "state")}},
                {"set": f"{live_key(ref)}/0000", "value": {"t": head["t"]}},
            ],
        }
    )
    harness.fail_over()
    harness.cluster.jobs[ref].version = head["rev"]  # in those versions the head record had the revision of jobs/REF
    assert harness.cluster.jobs[ref].placed_task_count == 2
    harness.settle()
    assert len(harness.task_locations(ref)) == 2
    assert len(harness.workers["vm-000001"].started_attempts) == 2
    assert [row["path"] for row in harness.state.list(live_key(ref))[1]["rows"]] == [live_key(ref)]
    harness.settle(31)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert harness.state.list("live/")[1]["rows"] == []


def test_a_small_job_takes_five_changes_of_the_state_service() -> None:
    """Two changes to accept the job, one for its binding, and two for its completion."""
    harness = ClusterHarness()
    harness.machine(1)
    harness.settle()
    log_length = len(harness.state.log)
    ref = harness.submit(legs=1)
    harness.settle(40)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    writes = [key for _, key, _ in harness.state.log[log_length:] if ref in key]
    assert len(writes) == 5


def test_best_effort_bindings_are_written_after_completions_of_other_jobs() -> None:
    harness = ClusterHarness([Team("crew")])
    for number in range(1, 9):
        harness.machine(number)
    harness.settle(2)
    completed = harness.submit(ref="j-000001", legs=1, voyageS=1.0)
    harness.settle(1)
    for number in range(10, 30):
        harness.submit(ref=f"j-{number:06d}", urgency="idle", legs=1, cores=0.25)
    harness.now += 2 * SECOND
    harness.report(next(w for w in harness.workers.values() if w.started_attempts))
    harness.submit(ref="j-000002", urgency="production", rig="standing", legs=1)
    harness.plan()
    batch = harness.cluster.writes.take_batch(4)
    assert next(iter(batch.sets)) == live_key("j-000002")
    assert [job.job_id for job in batch.completed_jobs] == [completed]


def test_a_cancellation_mark_is_deleted_in_the_same_batch_as_its_job() -> None:
    """Guards against a budget too small for both deletions: a job without its mark would run again after a failover."""
    harness = ClusterHarness()
    harness.machine(1)
    ref = harness.submit()
    harness.settle()
    harness.cancel(ref)
    harness.report(harness.workers["vm-000001"])
    harness.report(harness.workers["vm-000001"])
    assert harness.cluster.writes.jobs_to_delete
    for budget in (0, 1):
        batch = harness.cluster.writes.take_batch(12, budget=budget)
        assert not any(key.startswith(live_key(ref)) for key in batch.deletes)
        assert not batch.deleted_jobs
        harness.cluster.writes.restore_batch(batch)
    assert not harness.cluster.writes.orphaned_keys
    batch = harness.cluster.writes.take_batch(12, budget=12)
    assert {live_key(ref), live_key(ref) + "/x"} <= set(batch.deletes)


def test_completions_are_batched_per_record_and_omitted_if_the_job_completes() -> None:
    """Guards against a change per completion: half of all changes were records rewritten for one more completion.

    A job that completes needs no records of its tasks' completions.
    """
    harness = ClusterHarness([Team("crew")])
    for number in range(1, 6):
        harness.machine(number)
    harness.settle(2)
    ref = harness.submit(legs=10, cores=4.0, voyageS=10.0)
    harness.settle(2)
    tasks = list(harness.cluster.jobs[ref].tasks.values())
    batching_window = 1_500_000
    written = 0
    for task in tasks[:8]:
        harness.now += SECOND // 5
        harness.cluster.now = harness.now
        harness.cluster.tasks.complete(task, harness.now)
        batch = harness.cluster.writes.take_batch(12, 12, batching_window)
        written += len(batch.sets)
        if batch.operation_count:
            harness.cluster.writes.committed(
                batch, harness.state.commit(harness.transaction(batch))[1]["ledgerRev"], harness.now
            )
    assert written <= 1
    assert not harness.cluster.commands._may_forget(
        next(iter(harness.cluster.machines.values())), f"{ref}/{tasks[7].index}", 1
    )
    harness.now += 2 * SECOND
    harness.cluster.now = harness.now
    batch = harness.cluster.writes.take_batch(12, 12, batching_window)
    assert list(batch.sets) == [live_key(ref)]
    harness.cluster.writes.restore_batch(batch)
    for task in tasks[8:]:
        harness.cluster.tasks.complete(task, harness.now)
    batch = harness.cluster.writes.take_batch(12, 12, batching_window)
    assert [job.job_id for job in batch.completed_jobs] == [ref]
    assert set(batch.sets) == {f"jobs/{ref}"}
