"""Faulty jobs and faulty machines, told apart by both sides of the evidence."""

from __future__ import annotations

from oatport.control.queueing.tier_router import OWNED
from oatport.control.state.machine import Machine
from oatport.simulation.worker import Worker
from tests.cluster_fixture import ClusterHarness


def fail_all(harness: ClusterHarness, ref: str) -> int:
    """Every task of a job on any machine fails; how many there were."""
    failed = 0
    for worker in harness.workers.values():
        for (name, _), task in worker.tasks.items():
            if name.startswith(ref + "/") and task.status != "ended":
                task.status, task.exit_reason = "ended", "error"
                failed += 1
    return failed


def machines(harness: ClusterHarness) -> list[Machine]:
    return list(harness.cluster.machines.values())


def test_jobs_that_fail_everywhere_drain_no_machine() -> None:
    # Each of two such jobs failed on two healthy machines, which were drained for good and returned.
    harness = ClusterHarness()
    for number in (1, 2):
        harness.machine(number)
    harness.machine(3)
    refs = [harness.submit(ref=f"j-00000{n}", legs=3) for n in (1, 2)]
    harness.settle()
    for _ in range(4):
        for ref in refs:
            fail_all(harness, ref)
        harness.step(1.0)
    assert all(harness.cluster.jobs[ref].suspected_faulty for ref in refs)
    assert not any(m.draining for m in machines(harness))
    assert all(m.cordoned_until <= harness.now for m in machines(harness))
    good = harness.submit(ref="j-000003", legs=6)
    harness.settle()
    assert len(harness.task_locations(good)) == 6


def test_a_suspected_job_runs_a_task_at_a_time_with_backoff_and_without_preemption_or_rental() -> None:
    harness = ClusterHarness()
    for number in (1, 2, 3):
        harness.machine(number)
    ref = harness.submit(legs=6, urgency="high", driftwood=False)
    idle = harness.submit(ref="j-000002", urgency="idle", legs=1, voyageS=500.0, driftwood=False)
    harness.settle()
    failures = []
    for _ in range(60):
        failed = fail_all(harness, ref)
        harness.step(1.0)
        failures.append(failed)
    assert failures[0] == 5 or failures[0] == 6
    assert max(failures[2:]) <= 1
    assert 1 <= sum(failures[2:]) <= 6
    assert (
        harness.cluster.predictor.run_time(ref, harness.cluster.jobs[ref].spec) == 30_000_000
    )  # nothing is learnt from it
    # It stops nobody else's work, and nothing is rented for it.
    assert len(harness.task_locations(idle)) == 1
    job = harness.cluster.jobs[ref]
    job.retry_at = 0
    harness.plan()
    assert job.tier != OWNED
    assert harness.fleet.scale_out.plan(harness.now) == []
    # Its cancellation is met, and it is never called done.
    harness.cancel(ref)
    harness.settle()
    assert harness.task_locations(ref) == {}
    assert harness.record(ref) == "aborted"


def test_a_faulty_machine_is_drained_by_jobs_that_run_elsewhere() -> None:
    harness = ClusterHarness()
    bad = harness.machine(1)
    refs = [harness.submit(ref=f"j-00000{number}", legs=1) for number in (1, 2)]
    harness.settle()
    for ref in refs:
        assert fail_all(harness, ref) == 1
    good = harness.machine(2)
    harness.settle()
    assert len(good.started_attempts) == 2  # they run elsewhere at once
    assert not harness.cluster.machines[bad.name].draining  # not confirmed yet: it may be the jobs
    harness.settle(32)
    assert harness.cluster.machines[bad.name].draining
    assert [m.name for m in harness.fleet.scale_in.machines_to_release(harness.now)] == [bad.name]


def test_a_job_wrongly_suspected_is_cleared_by_its_first_completed_task() -> None:
    harness = ClusterHarness()
    bad: list[Worker] = [harness.machine(1), harness.machine(2)]
    ref = harness.submit(legs=4)
    harness.settle()
    fail_all(harness, ref)
    harness.step(1.0)
    job = harness.cluster.jobs[ref]
    assert job.suspected_faulty
    harness.machine(3)
    harness.settle(45)
    assert not job.suspected_faulty
    assert all(ref in harness.cluster.machines[w.name].confirmed_failed_jobs for w in bad)
    harness.settle(40)
    assert harness.record(ref) == "done"


def test_a_suspicion_outlives_a_failover() -> None:
    harness = ClusterHarness()
    for number in (1, 2):
        harness.machine(number)
    ref = harness.submit(legs=4)
    harness.settle()
    fail_all(harness, ref)
    harness.step(1.0)
    harness.commit()
    harness.fail_over()
    assert harness.cluster.jobs[ref].suspected_faulty
    harness.settle()
    assert len(harness.task_locations(ref)) <= 1
