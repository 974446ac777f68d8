"""What is written down, in which order, and what it costs the state service."""

from __future__ import annotations

from oatport import wire
from oatport.control.storage.keys import live_key
from oatport.settings import Team
from oatport.times import SECOND
from tests.cluster_fixture import ClusterHarness


def test_first_chunks_of_an_earlier_version_are_taken_over() -> None:
    """An upgrade in place: the first chunk once had a key of its own."""
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
    harness.cluster.jobs[ref].version = head["rev"]  # the head had the revision of jobs/REF then
    assert harness.cluster.jobs[ref].placed_task_count == 2
    harness.settle()
    assert len(harness.task_locations(ref)) == 2
    assert len(harness.workers["vm-000001"].started_attempts) == 2
    assert [row["path"] for row in harness.state.list(live_key(ref))[1]["rows"]] == [live_key(ref)]
    harness.settle(31)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert harness.state.list("live/")[1]["rows"] == []


def test_what_a_small_job_costs_the_state_service() -> None:
    """Puts and deletes from accept to end: two, one for its claim, two for its end."""
    harness = ClusterHarness()
    harness.machine(1)
    harness.settle()
    before = len(harness.state.log)
    ref = harness.submit(legs=1)
    harness.settle(40)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    writes = [key for _, key, _ in harness.state.log[before:] if ref in key]
    assert len(writes) == 5


def test_a_swarms_claims_go_after_others_ends() -> None:
    harness = ClusterHarness([Team("crew")])
    for number in range(1, 9):
        harness.machine(number)
    harness.settle(2)
    ended = harness.submit(ref="j-000001", legs=1, voyageS=1.0)
    harness.settle(1)
    for number in range(10, 30):
        harness.submit(ref=f"j-{number:06d}", urgency="idle", legs=1, cores=0.25)
    harness.now += 2 * SECOND
    harness.report(next(w for w in harness.workers.values() if w.started_attempts))
    harness.submit(ref="j-000002", urgency="production", rig="standing", legs=1)
    harness.plan()
    batch = harness.cluster.writes.take_batch(4)
    assert next(iter(batch.sets)) == live_key("j-000002")
    assert [job.job_id for job in batch.completed_jobs] == [ended]


def test_a_cancelled_jobs_mark_goes_with_the_job() -> None:
    """However little the budget holds: a job without its mark would run again after a takeover."""
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


def test_ends_of_one_record_are_written_together_and_none_if_the_job_ends() -> None:
    """Half of all changes were records written again for one more end; the job's own end needs none of them."""
    harness = ClusterHarness([Team("crew")])
    for number in range(1, 6):
        harness.machine(number)
    harness.settle(2)
    ref = harness.submit(legs=10, cores=4.0, voyageS=10.0)
    harness.settle(2)
    tasks = list(harness.cluster.jobs[ref].tasks.values())
    ripe = 1_500_000
    written = 0
    for task in tasks[:8]:
        harness.now += SECOND // 5
        harness.cluster.now = harness.now
        harness.cluster.tasks.complete(task, harness.now)
        batch = harness.cluster.writes.take_batch(12, 12, ripe)
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
    batch = harness.cluster.writes.take_batch(12, 12, ripe)
    assert list(batch.sets) == [live_key(ref)]
    harness.cluster.writes.restore_batch(batch)
    for task in tasks[8:]:
        harness.cluster.tasks.complete(task, harness.now)
    batch = harness.cluster.writes.take_batch(12, 12, ripe)
    assert [job.job_id for job in batch.completed_jobs] == [ref]
    assert set(batch.sets) == {f"jobs/{ref}"}
