"""Tests that best-effort jobs of teams without a guarantee use cheap and free capacity, and never delay other jobs."""

from __future__ import annotations

from oatport.control.queueing.tier_router import SPOT
from oatport.control.state.job import Job
from oatport.control.state.machine import Machine
from oatport.settings import Team
from oatport.times import SECOND
from tests.cluster_fixture import World

TEAMS = [Team("crew", cpus=8.0, cpus_max=32.0), Team("scavenger")]
BEST_EFFORT = {"urgency": "idle", "crew": "scavenger", "cores": 2.0}


def test_spot_machines_and_no_owned_one_are_rented_for_a_long_best_effort_array() -> None:
    # Guards against routing long best-effort arrays to owned machines, where they found no capacity all day.
    world = World(TEAMS)
    world.machine(1)
    world.settle()
    ref = world.submit(legs=20, voyageS=300.0, **BEST_EFFORT)
    world.settle()
    assert world.cluster.jobs[ref].tier == SPOT
    assert world.live(ref) == {}  # the empty owned machine is not used, which would keep it rented for this array
    rentals = world.fleet.scale_out.plan(world.now)
    assert rentals
    assert all(rental.spot for rental in rentals)
    for rental in rentals:
        world.fleet.availability.refuse(rental, world.now)
    world.plan()
    assert not any(not rental.spot for rental in world.fleet.scale_out.plan(world.now))


def test_best_effort_tasks_use_the_capacity_beside_replicas() -> None:
    world = World(TEAMS)
    world.machine(1)
    world.submit(ref="j-000001", rig="standing", urgency="production", legs=1, driftwood=False)
    world.settle()
    best_effort = world.submit(ref="j-000002", legs=4, voyageS=300.0, **BEST_EFFORT)
    world.settle()
    assert len(world.live(best_effort)) == 2
    # The best-effort tasks are preempted at once.
    world.submit(ref="j-000003", rig="standing", urgency="production", legs=1, driftwood=False)
    world.settle()
    assert len(world.live("j-000003")) == 1


def test_an_owned_machine_with_best_effort_tasks_only_is_cordoned() -> None:
    world = World(TEAMS)
    world.machine(1)
    service = world.submit(ref="j-000001", rig="standing", urgency="production", legs=1, driftwood=False)
    world.settle()
    best_effort = world.submit(ref="j-000002", legs=4, voyageS=300.0, **BEST_EFFORT)
    world.settle()
    world.cancel(service)
    world.settle()
    assert len(world.live(best_effort)) == 2
    world.fleet.scale_in.update_cordons()
    assert world.cluster.machines["vm-000001"].cordoned_for_scale_in


def test_many_small_jobs_are_not_bound_faster_than_they_can_be_recorded() -> None:
    world = World(TEAMS)
    for number in range(1, 13):
        world.machine(number, spot=True)
    world.settle(2)
    for number in range(100):
        world.submit(ref=f"j-{number:06d}", legs=1, memoryGb=0.5, **{**BEST_EFFORT, "cores": 0.25})
    world.plan()
    bound = sum(job.on_machines for job in world.cluster.jobs.values())
    assert 0 < bound < 40
    urgent = world.submit(ref="j-000200", urgency="production", rig="standing", legs=1)
    world.step()
    assert len(world.live(urgent)) == 1
    world.settle(5)
    assert sum(job.on_machines for job in world.cluster.jobs.values()) == 101


def test_a_huge_array_and_many_small_jobs_are_planned_and_recorded_at_low_cost() -> None:
    world = World(TEAMS)
    for number in range(1, 5):
        world.machine(number, spot=True)
    world.settle(2)
    huge = world.submit(legs=25_000, voyageS=5.0, memoryGb=0.5, **BEST_EFFORT)
    world.settle(12)
    job = world.cluster.jobs[huge]
    assert len(job.completed) > 16
    assert job.on_machines == 16
    assert len(job.tasks) <= 200  # tasks that were never bound are represented by their indexes only
    keys = [key for key in world.state.items if key.startswith(f"live/{huge}")]
    assert len(keys) <= 3
    for number in range(2, 300):
        world.submit(ref=f"j-{number:06d}", legs=1, memoryGb=0.5 + number / 1e6, **{**BEST_EFFORT, "cores": 8.0})
    search = world.placer.candidates.best
    searched: list[Job] = []

    def counting_best(pending: Job, machines: list[Machine]) -> Machine | None:
        searched.append(pending)
        return search(pending, machines)

    world.placer.candidates.best = counting_best  # type: ignore[method-assign]
    world.plan()
    assert 0 < len(searched) <= 30  # a job that found no capacity ends the search for all jobs that need as much


def test_best_effort_tasks_are_preempted_at_once_and_no_machine_is_rented_for_what_they_free() -> None:
    """Guards against slow preemption of best-effort tasks.

    Capacity for only eight array tasks was freed in four seconds, and machines were rented for the rest.
    """
    world = World([Team("crew", cpus=8.0), Team("scavenger")])
    for number in range(1, 11):
        world.machine(number, spot=True)
    world.settle(2)
    world.submit(ref="j-000001", legs=40, voyageS=300.0, **BEST_EFFORT)
    world.settle()
    array = world.submit(ref="j-000002", legs=16, tideS=70.0)
    world.plan()
    assert not world.fleet.scale_out.plan(world.now)
    world.settle(5)  # one task per machine and second
    assert len(world.live(array)) == 16


def test_cordoned_machines_that_are_needed_again_are_reported() -> None:
    """Guards against renting machines for pending work that fits on machines which were just uncordoned."""
    world = World(TEAMS)
    world.machine(1)
    service = world.submit(ref="j-000001", rig="standing", urgency="production", legs=1, driftwood=False)
    world.settle()
    world.submit(ref="j-000002", legs=4, voyageS=300.0, **BEST_EFFORT)
    world.settle()
    world.cancel(service)
    world.settle()
    assert not world.fleet.scale_in.update_cordons()
    world.submit(ref="j-000003", rig="standing", urgency="production", legs=1, driftwood=False)
    world.plan()
    assert world.fleet.scale_in.update_cordons()
    assert not world.fleet.scale_in.update_cordons()


def test_a_new_machine_is_recorded_before_the_bindings_of_many_small_jobs() -> None:
    world = World(TEAMS)
    for number in range(1, 3):
        world.machine(number, spot=True)
    world.settle(2)
    for number in range(20):
        world.submit(ref=f"j-{number:06d}", legs=1, memoryGb=0.5, **{**BEST_EFFORT, "cores": 0.25})
    world.plan()
    world.machine(50, spot=True)
    world.report(world.workers["vm-000050"])
    batch = world.cluster.writes.take_batch(4)
    assert next(iter(batch.sets)).startswith("fleet/")


def test_best_effort_tasks_do_not_set_the_spot_threshold() -> None:
    world = World(TEAMS)
    world.machine(1, spot=True)
    world.settle(2)
    best_effort = world.cluster.jobs[world.submit(ref="j-000001", legs=50, voyageS=2.0, **BEST_EFFORT)]
    world.settle(30)
    assert len(best_effort.completed) > 20
    assert world.cluster.router.threshold == 120 * SECOND
    array = world.cluster.jobs[world.submit(ref="j-000002", legs=2, voyageS=30.0)]
    world.settle(2)
    assert array.tier == SPOT


def test_no_task_is_stopped_for_capacity_that_is_being_freed() -> None:
    """Guards against excess preemption: while the first victims saved for 3 s, more were stopped each second."""
    world = World([Team("crew", cpus=8.0), Team("scavenger")])
    for number in range(1, 11):
        world.machine(number, spot=True)
    world.settle(2)
    world.submit(ref="j-000001", legs=40, voyageS=300.0, mooringS=30.0, stowS=3.0, **BEST_EFFORT)
    world.settle()
    world.submit(ref="j-000002", legs=2)
    stopped = set()
    for _ in range(4):  # the victims are still saving, so no heartbeat reports their end
        world.now += 1_000_000
        world.plan()
        world.plan()
        stopped |= {t.name for m in world.cluster.machines.values() for t in m.tasks if t.stop_grace_s is not None}
    assert len(stopped) == 4  # two tasks of 4 CPUs need four victims of 2 CPUs
