"""Attribution of failures to faulty jobs or faulty machines, by where else jobs and machines fail or succeed."""

from __future__ import annotations

from oatport.control.queueing.tier_router import OWNED
from oatport.control.state.machine import Machine
from oatport.simulation.worker import Worker
from tests.cluster_fixture import World


def fail_all(world: World, ref: str) -> int:
    """Fails all unfinished tasks of a job; returns their number."""
    failed = 0
    for worker in world.workers.values():
        for (name, _), task in worker.tasks.items():
            if name.startswith(ref + "/") and task.status != "ended":
                task.status, task.exit_reason = "ended", "error"
                failed += 1
    return failed


def machines(world: World) -> list[Machine]:
    return list(world.cluster.machines.values())


def test_jobs_that_fail_everywhere_drain_no_machine() -> None:
    # Two faulty jobs each failed on two healthy machines, which were drained permanently and released.
    world = World()
    for number in (1, 2):
        world.machine(number)
    world.machine(3)
    refs = [world.submit(ref=f"j-00000{n}", legs=3) for n in (1, 2)]
    world.settle()
    for _ in range(4):
        for ref in refs:
            fail_all(world, ref)
        world.step(1.0)
    assert all(world.cluster.jobs[ref].suspected_faulty for ref in refs)
    assert not any(m.draining for m in machines(world))
    assert all(m.cordoned_until <= world.now for m in machines(world))
    good = world.submit(ref="j-000003", legs=6)
    world.settle()
    assert len(world.live(good)) == 6


def test_a_suspected_job_runs_a_task_at_a_time_with_backoff_and_without_preemption_or_rental() -> None:
    world = World()
    for number in (1, 2, 3):
        world.machine(number)
    ref = world.submit(legs=6, urgency="high", driftwood=False)
    idle = world.submit(ref="j-000002", urgency="idle", legs=1, voyageS=500.0, driftwood=False)
    world.settle()
    failures = []
    for _ in range(60):
        failed = fail_all(world, ref)
        world.step(1.0)
        failures.append(failed)
    assert failures[0] == 5 or failures[0] == 6
    assert max(failures[2:]) <= 1
    assert 1 <= sum(failures[2:]) <= 6
    assert (
        world.cluster.predictor.run_time(ref, world.cluster.jobs[ref].spec) == 30_000_000
    )  # failures don't change the prediction
    # The suspected job preempts no other job, and no machine is rented for it.
    assert len(world.live(idle)) == 1
    job = world.cluster.jobs[ref]
    job.retry_at = 0
    world.plan()
    assert job.tier != OWNED
    assert world.fleet.scale_out.plan(world.now) == []
    # Its cancellation is carried out, and the job is never reported as done.
    world.cancel(ref)
    world.settle()
    assert world.live(ref) == {}
    assert world.record(ref) == "aborted"


def test_a_faulty_machine_is_drained_by_jobs_that_run_elsewhere() -> None:
    world = World()
    bad = world.machine(1)
    refs = [world.submit(ref=f"j-00000{number}", legs=1) for number in (1, 2)]
    world.settle()
    for ref in refs:
        assert fail_all(world, ref) == 1
    good = world.machine(2)
    world.settle()
    assert len(good.started_attempts) == 2  # both jobs run on another machine at once
    assert not world.cluster.machines[bad.name].draining  # not confirmed yet: the jobs may be faulty
    world.settle(32)
    assert world.cluster.machines[bad.name].draining
    assert [m.name for m in world.fleet.scale_in.machines_to_release(world.now)] == [bad.name]


def test_a_wrongly_suspected_job_is_cleared_by_its_first_completed_task() -> None:
    world = World()
    bad: list[Worker] = [world.machine(1), world.machine(2)]
    ref = world.submit(legs=4)
    world.settle()
    fail_all(world, ref)
    world.step(1.0)
    job = world.cluster.jobs[ref]
    assert job.suspected_faulty
    world.machine(3)
    world.settle(45)
    assert not job.suspected_faulty
    assert all(ref in world.cluster.machines[w.name].confirmed_failed_jobs for w in bad)
    world.settle(40)
    assert world.record(ref) == "done"


def test_a_suspicion_survives_a_failover() -> None:
    world = World()
    for number in (1, 2):
        world.machine(number)
    ref = world.submit(legs=4)
    world.settle()
    fail_all(world, ref)
    world.step(1.0)
    world.commit()
    world.fail_over()
    assert world.cluster.jobs[ref].suspected_faulty
    world.settle()
    assert len(world.live(ref)) <= 1
