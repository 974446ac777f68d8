"""Tests that best-effort jobs of teams without a guarantee use cheap and free capacity, and never delay other jobs."""

from __future__ import annotations

from oatport.control.queueing.tier_router import SPOT
from oatport.control.state.job import Job
from oatport.control.state.machine import Machine
from oatport.settings import Team
from oatport.times import SECOND
from tests.cluster_fixture import ClusterHarness

TEAMS = [Team("crew", cpus=8.0, cpus_max=32.0), Team("scavenger")]
BEST_EFFORT = {"urgency": "idle", "crew": "scavenger", "cores": 2.0}


def test_spot_machines_and_no_owned_one_are_rented_for_a_long_best_effort_array() -> None:
    # Guards against routing long best-effort arrays to owned machines, where no capacity was free all day.
    harness = ClusterHarness(TEAMS)
    harness.machine(1)
    harness.settle()
    ref = harness.submit(legs=20, voyageS=300.0, **BEST_EFFORT)
    harness.settle()
    assert harness.cluster.jobs[ref].tier == SPOT
    # A task on the empty owned machine would keep that machine rented.
    assert harness.task_locations(ref) == {}
    rentals = harness.fleet.scale_out.plan(harness.now)
    assert rentals
    assert all(rental.spot for rental in rentals)
    for rental in rentals:
        harness.fleet.availability.on_refused(rental, harness.now)
    harness.plan()
    assert not any(not rental.spot for rental in harness.fleet.scale_out.plan(harness.now))


def test_best_effort_tasks_use_the_capacity_beside_replicas() -> None:
    harness = ClusterHarness(TEAMS)
    harness.machine(1)
    harness.submit(ref="j-000001", rig="standing", urgency="production", legs=1, driftwood=False)
    harness.settle()
    best_effort = harness.submit(ref="j-000002", legs=4, voyageS=300.0, **BEST_EFFORT)
    harness.settle()
    assert len(harness.task_locations(best_effort)) == 2
    # The best-effort tasks are preempted at once.
    harness.submit(ref="j-000003", rig="standing", urgency="production", legs=1, driftwood=False)
    harness.settle()
    assert len(harness.task_locations("j-000003")) == 1


def test_an_owned_machine_with_best_effort_tasks_only_is_cordoned() -> None:
    harness = ClusterHarness(TEAMS)
    harness.machine(1)
    service = harness.submit(ref="j-000001", rig="standing", urgency="production", legs=1, driftwood=False)
    harness.settle()
    best_effort = harness.submit(ref="j-000002", legs=4, voyageS=300.0, **BEST_EFFORT)
    harness.settle()
    harness.cancel(service)
    harness.settle()
    assert len(harness.task_locations(best_effort)) == 2
    harness.fleet.scale_in.update_cordons()
    assert harness.cluster.machines["vm-000001"].cordoned_for_scale_in


def test_many_small_jobs_are_not_bound_faster_than_they_can_be_recorded() -> None:
    harness = ClusterHarness(TEAMS)
    for number in range(1, 13):
        harness.machine(number, spot=True)
    harness.settle(2)
    for number in range(100):
        harness.submit(ref=f"j-{number:06d}", legs=1, memoryGb=0.5, **{**BEST_EFFORT, "cores": 0.25})
    harness.plan()
    bound = sum(job.placed_task_count for job in harness.cluster.jobs.values())
    assert 0 < bound < 40
    urgent = harness.submit(ref="j-000200", urgency="production", rig="standing", legs=1)
    harness.step()
    assert len(harness.task_locations(urgent)) == 1
    harness.settle(5)
    assert sum(job.placed_task_count for job in harness.cluster.jobs.values()) == 101


def test_a_huge_array_and_many_small_jobs_are_planned_and_recorded_at_low_cost() -> None:
    harness = ClusterHarness(TEAMS)
    for number in range(1, 5):
        harness.machine(number, spot=True)
    harness.settle(2)
    huge = harness.submit(legs=25_000, voyageS=5.0, memoryGb=0.5, **BEST_EFFORT)
    harness.settle(12)
    job = harness.cluster.jobs[huge]
    assert len(job.completed) > 16
    assert job.placed_task_count == 16
    assert len(job.tasks) <= 200  # tasks that were never bound are represented by their indexes only
    keys = [key for key in harness.state.items if key.startswith(f"live/{huge}")]
    assert len(keys) <= 3
    for number in range(2, 300):
        harness.submit(ref=f"j-{number:06d}", legs=1, memoryGb=0.5 + number / 1e6, **{**BEST_EFFORT, "cores": 8.0})
    search = harness.placer.candidates.best
    searched: list[Job] = []

    def counting_best(pending: Job, machines: list[Machine]) -> Machine | None:
        searched.append(pending)
        return search(pending, machines)

    harness.placer.candidates.best = counting_best  # type: ignore[method-assign]
    harness.plan()
    assert 0 < len(searched) <= 30  # a job without a feasible machine ends the search for all jobs that need as much


def test_best_effort_tasks_are_preempted_at_once_and_no_machine_is_rented_for_the_freed_capacity() -> None:
    """Guards against slow preemption of best-effort tasks.

    Capacity for only eight array tasks was freed in four seconds, and on-demand machines were rented for the rest.
    """
    harness = ClusterHarness([Team("crew", cpus=8.0), Team("scavenger")])
    for number in range(1, 11):
        harness.machine(number, spot=True)
    harness.settle(2)
    harness.submit(ref="j-000001", legs=40, voyageS=300.0, **BEST_EFFORT)
    harness.settle()
    array = harness.submit(ref="j-000002", legs=16, tideS=70.0)
    harness.plan()
    assert not harness.fleet.scale_out.plan(harness.now)
    harness.settle(5)  # one task per machine and second
    assert len(harness.task_locations(array)) == 16


def test_cordoned_machines_that_are_needed_again_are_reported() -> None:
    """Guards against renting machines for pending work that fits on machines which were just uncordoned."""
    harness = ClusterHarness(TEAMS)
    harness.machine(1)
    service = harness.submit(ref="j-000001", rig="standing", urgency="production", legs=1, driftwood=False)
    harness.settle()
    harness.submit(ref="j-000002", legs=4, voyageS=300.0, **BEST_EFFORT)
    harness.settle()
    harness.cancel(service)
    harness.settle()
    assert not harness.fleet.scale_in.update_cordons()
    harness.submit(ref="j-000003", rig="standing", urgency="production", legs=1, driftwood=False)
    harness.plan()
    assert harness.fleet.scale_in.update_cordons()
    assert not harness.fleet.scale_in.update_cordons()


def test_a_new_machine_is_recorded_before_the_bindings_of_many_small_jobs() -> None:
    harness = ClusterHarness(TEAMS)
    for number in range(1, 3):
        harness.machine(number, spot=True)
    harness.settle(2)
    for number in range(20):
        harness.submit(ref=f"j-{number:06d}", legs=1, memoryGb=0.5, **{**BEST_EFFORT, "cores": 0.25})
    harness.plan()
    harness.machine(50, spot=True)
    harness.report(harness.workers["vm-000050"])
    batch = harness.cluster.writes.take_batch(4)
    assert next(iter(batch.sets)).startswith("fleet/")


def test_best_effort_tasks_do_not_set_the_spot_threshold() -> None:
    harness = ClusterHarness(TEAMS)
    harness.machine(1, spot=True)
    harness.settle(2)
    best_effort = harness.cluster.jobs[harness.submit(ref="j-000001", legs=50, voyageS=2.0, **BEST_EFFORT)]
    harness.settle(30)
    assert len(best_effort.completed) > 20
    assert harness.cluster.router.threshold == 120 * SECOND
    array = harness.cluster.jobs[harness.submit(ref="j-000002", legs=2, voyageS=30.0)]
    harness.settle(2)
    assert array.tier == SPOT


def test_no_task_is_stopped_for_capacity_that_is_being_freed() -> None:
    """Guards against excess preemption: while the first victims saved for 3 s, others were stopped each second."""
    harness = ClusterHarness([Team("crew", cpus=8.0), Team("scavenger")])
    for number in range(1, 11):
        harness.machine(number, spot=True)
    harness.settle(2)
    harness.submit(ref="j-000001", legs=40, voyageS=300.0, mooringS=30.0, stowS=3.0, **BEST_EFFORT)
    harness.settle()
    harness.submit(ref="j-000002", legs=2)
    stopped = set()
    for _ in range(4):  # the victims are still saving, so no heartbeat reports their end
        harness.now += 1_000_000
        harness.plan()
        harness.plan()
        stopped |= {t.name for m in harness.cluster.machines.values() for t in m.tasks if t.stop_grace_s is not None}
    assert len(stopped) == 4  # two tasks of 4 CPUs need four victims of 2 CPUs
