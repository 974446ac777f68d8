"""Tests that failures are attributed to faulty jobs or machines by where else these fail or succeed."""

from __future__ import annotations

from oatport.control.queueing.tier_router import OWNED
from oatport.control.state.machine import Machine
from oatport.simulation.worker import Worker
from tests.cluster_fixture import ClusterHarness


def fail_all(harness: ClusterHarness, ref: str) -> int:
    """Fails all unfinished tasks of a job; returns their number."""
    failed = 0
    for worker in harness.workers.values():
        for (name, _), task in worker.tasks.items():
            if name.startswith(ref + "/") and task.status != "ended":
                task.status, task.exit_reason = "ended", "error"
                failed += 1
    return failed


def machines(harness: ClusterHarness) -> list[Machine]:
    """Returns the machines of the leader's view."""
    return list(harness.cluster.machines.values())


def test_jobs_that_fail_everywhere_drain_no_machine() -> None:
    # Guards against two faulty jobs that fail on two healthy machines: those were drained permanently and released.
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
    healthy_job = harness.submit(ref="j-000003", legs=6)
    harness.settle()
    assert len(harness.task_locations(healthy_job)) == 6


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
    # Failures do not change the prediction.
    assert harness.cluster.predictor.run_time(ref, harness.cluster.jobs[ref].spec) == 30_000_000
    # The suspected job preempts no other job, and no machine is rented for it.
    assert len(harness.task_locations(idle)) == 1
    job = harness.cluster.jobs[ref]
    job.retry_at = 0
    harness.plan()
    assert job.tier != OWNED
    assert harness.fleet.scale_out.plan(harness.now) == []
    # Its cancellation is carried out, and the job is never reported as done.
    harness.cancel(ref)
    harness.settle()
    assert harness.task_locations(ref) == {}
    assert harness.record(ref) == "aborted"


def test_a_faulty_machine_is_drained_by_jobs_that_run_elsewhere() -> None:
    harness = ClusterHarness()
    faulty = harness.machine(1)
    refs = [harness.submit(ref=f"j-00000{number}", legs=1) for number in (1, 2)]
    harness.settle()
    for ref in refs:
        assert fail_all(harness, ref) == 1
    healthy = harness.machine(2)
    harness.settle()
    assert len(healthy.started_attempts) == 2  # both jobs run on another machine at once
    assert not harness.cluster.machines[faulty.name].draining  # not confirmed yet: the jobs may be faulty
    harness.settle(32)
    assert harness.cluster.machines[faulty.name].draining
    assert [m.name for m in harness.fleet.scale_in.machines_to_release(harness.now)] == [faulty.name]


def test_a_wrongly_suspected_job_is_cleared_by_its_first_completed_task() -> None:
    harness = ClusterHarness()
    faulty: list[Worker] = [harness.machine(1), harness.machine(2)]
    ref = harness.submit(legs=4)
    harness.settle()
    fail_all(harness, ref)
    harness.step(1.0)
    job = harness.cluster.jobs[ref]
    assert job.suspected_faulty
    harness.machine(3)
    harness.settle(45)
    assert not job.suspected_faulty
    assert all(ref in harness.cluster.machines[w.name].confirmed_failed_jobs for w in faulty)
    harness.settle(40)
    assert harness.record(ref) == "done"


def test_a_suspicion_survives_a_failover() -> None:
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
