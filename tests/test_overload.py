"""A backlog: thousands of pending tasks while all machines are full. What it may cost, and that no decision changes."""

from __future__ import annotations

import random
from typing import Any

import pytest

from oatport import wire
from oatport.control.queueing import pending_queue
from oatport.control.queueing.pending_job_router import ROUTING_INTERVAL, ROUTING_INTERVAL_MAX, PendingJobRouter
from oatport.control.queueing.pending_queue import PendingQueue, order_key
from oatport.control.scaling.capacity_slot import CapacitySlot
from oatport.control.scaling.cloud_availability import REFUSAL_BACKOFF, REFUSAL_BACKOFF_MAX, ScaleOutRequest
from oatport.control.scaling.incoming_capacity import IncomingCapacity
from oatport.control.scaling.scale_out import MACHINES_PER_PASS
from oatport.control.state.job import Job
from oatport.control.state.machine import Machine
from oatport.settings import Team
from oatport.times import SECOND
from tests.call_counts import backlog, calls
from tests.cluster_fixture import TYPES, World, job


def spec(**changes: Any) -> wire.Submission:
    return wire.decode_submission(job(**changes))


def pending_job(number: int, **changes: Any) -> Job:
    return Job(f"j-{number:06d}", spec(ref=f"j-{number:06d}", **changes), 1, number * SECOND)


def placements_of_a_random_day(seed: int) -> list[tuple[str, str]]:
    """What ran where on a random day of arrays, services, gangs and best-effort jobs, with a lost machine."""
    rng = random.Random(seed)
    world = World([Team("crew", cpus=40.0), Team("other", cpus_max=24.0)])
    for number in range(1, 13):
        world.machine(number, "ab"[number % 2], spot=number % 3 == 0, kind="g16" if number % 6 == 0 else "m8")
    world.step()
    started: list[tuple[str, str]] = []
    seen: set[tuple[str, str]] = set()
    for step in range(30):
        for _ in range(rng.randrange(3)):
            number = 1000 + step * 10 + rng.randrange(10)
            sort = rng.choice(["array", "array", "array", "service", "gang", "best-effort"])
            changes: dict[str, Any] = {
                "array": {"legs": rng.randrange(1, 9), "voyageS": rng.choice([20.0, 90.0]), "tideS": 60.0 * step},
                "service": {"rig": "standing", "legs": 3, "cores": 2.0, "urgency": "production", "spread": True},
                "gang": {"rig": "gang", "legs": 2, "accelerators": 2.0, "cores": 6.0, "urgency": "high"},
                "best-effort": {"legs": 20, "cores": 1.0, "urgency": "idle"},
            }[sort]
            ref = f"j-{number:06d}"
            if ref not in world.cluster.jobs:
                world.submit(ref=ref, crew=rng.choice(["crew", "other"]), cargo=sort, **changes)
        world.step(rng.choice([0.5, 2.0, 5.0]))
        if step == 12:
            name = sorted(world.workers)[rng.randrange(len(world.workers))]
            world.released(name)
        now = {
            (worker.name, f"{task}/{attempt}")
            for worker in world.workers.values()
            for task, attempt in worker.started_attempts
        }
        started += sorted(now - seen)
        seen |= now
    return started


@pytest.mark.parametrize("seed", range(6))
def test_equivalence_classes_place_what_a_look_at_every_job_would_place(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Leaving a class early saves looks and changes no placement: the same day with all jobs looked at one by one."""
    by_classes = placements_of_a_random_day(seed)
    monkeypatch.setattr(pending_queue, "is_interchangeable", lambda job: False)
    assert placements_of_a_random_day(seed) == by_classes
    assert len(by_classes) > 50


def test_the_pending_queue_walks_in_order_while_jobs_come_and_go() -> None:
    rng = random.Random(7)
    found = PendingQueue()
    jobs = [
        pending_job(n, tideS=float(rng.randrange(60, 600)), urgency=rng.choice(["normal", "high", "idle"]))
        for n in range(1, 200)
    ]
    for one in jobs[:150]:
        found.add(one)
    assert [one for _, one in found.walk()] == sorted(jobs[:150], key=order_key)
    for one in jobs[150:]:
        found.add(one)
    for one in jobs[:40]:
        found.discard(one)
    jobs[60].deadline_at = 1  # most urgent now
    found.reposition(jobs[60])
    assert [one for _, one in found.walk()] == sorted(jobs[40:], key=order_key)
    walked = []
    for _, one in found.walk():
        walked.append(one)
        found.discard(jobs[100])  # taken by an earlier one's step: it does not come any more
    assert jobs[100] not in walked[1:]
    assert found.smallest_cpus() == 4.0


def test_pending_jobs_are_not_examined_while_nothing_changes() -> None:
    """Counted: a look at ten thousand pending tasks costs what one at none does."""

    def look(tasks: int) -> int:
        world = World([Team("crew")])
        for number in range(1, 21):
            world.machine(number)
        world.step()
        for _ in range(10):
            world.submit(legs=4, voyageS=3000.0)
        world.settle()
        for number in range(tasks // 20):
            world.submit(ref=f"j-{500000 + number:06d}", legs=20, voyageS=100.0)
        router = PendingJobRouter(world.cluster, world.fleet.availability)
        router.step(world.now, world.now)
        world.placer.plan(world.now)
        world.now += SECOND // 10
        assert not world.placer.due(world.now)
        return calls(lambda: (router.step(world.now, world.now), world.placer.due(world.now)))

    assert look(10_000) <= 2 * look(0)


def test_a_backlog_ten_times_as_large_costs_at_most_ten_times_as_much() -> None:
    small, large = backlog(60, 300), backlog(60, 3000)
    assert small.bindings == large.bindings == 100  # all the capacity that came free was used
    for name in ("unchanged", "completions", "submissions", "longest"):
        assert getattr(large, name) < 10 * getattr(small, name), name
    assert large.heartbeats == small.heartbeats < 10 * 60  # unchanged ones cost the same however much is pending


def test_freed_capacity_is_planned_for_though_nothing_else_changed() -> None:
    world = World()
    worker = world.machine(1)
    world.step()
    first = world.submit(legs=2, voyageS=100.0)
    world.settle()
    second = world.submit(legs=1)
    world.plan()
    assert not world.placer.due(world.now)
    worker.tasks[(f"{first}/0", 1)].completes_at = world.now
    world.report(worker)
    assert world.placer.due(world.now)
    world.step()
    assert (f"{second}/0", 1) in worker.started_attempts


def test_wakeups_that_a_pass_noted_bring_the_next_one() -> None:
    """A refused start keeps a machine from more for three seconds; a job backs off: no event ends that."""
    world = World()
    world.machine(1)
    world.step()
    ref = world.submit(legs=1)
    world.cluster.machines["vm-000001"].cordoned_until = world.now + 3 * SECOND
    world.plan()
    assert not world.placer.due(world.now + SECOND)
    assert world.placer.due(world.now + 3 * SECOND)
    world.cluster.machines["vm-000001"].cordoned_until = 0
    world.cluster.jobs[ref].retry_at = world.now + SECOND // 2
    world.plan()
    assert not world.placer.due(world.now + SECOND // 4)
    assert world.placer.due(world.now + SECOND // 2)


def test_a_team_at_its_limit_is_not_searched_for_victims_that_it_does_not_have() -> None:
    """Each of its pending jobs went through all that the team ran, twice a second."""
    world = World([Team("crew", cpus_max=8.0)])
    for number in range(1, 6):
        world.machine(number)
    world.step()
    world.submit(legs=2, voyageS=500.0)
    world.settle()
    for _ in range(50):
        world.submit(legs=4)
    world.plan()
    assert all(not waits.preempt_after for waits in world.cluster.pending)
    service = world.submit(rig="standing", legs=1, urgency="production")
    world.settle()
    assert len(world.live(service)) == 1  # which it would make room for


def test_a_job_submitted_between_routings_is_routed_by_its_place_in_the_queue() -> None:
    world = World([Team("crew")])
    world.machine(1)
    world.step()
    for number in range(20):
        world.submit(legs=8, voyageS=60.0, tideS=3000.0 + number)
    router = PendingJobRouter(world.cluster, world.fleet.availability)
    router.step(world.now, world.now)
    routed = {one.job_id: one.tier for one in world.cluster.pending}
    urgent = world.cluster.jobs[world.submit(legs=1, voyageS=10.0, tideS=60.0)]
    counted = calls(lambda: router.step(world.now, world.now))
    assert urgent.tier
    assert counted < 150  # the others were not looked at
    assert {one.job_id: one.tier for one in world.cluster.pending if one is not urgent} == routed
    assert next(one for _, one in world.cluster.pending.walk()) is urgent


def test_routing_interval_grows_with_the_backlog() -> None:
    world = World([Team("crew")])
    router = PendingJobRouter(world.cluster, world.fleet.availability)
    assert router.interval() == ROUTING_INTERVAL
    for number in range(800):
        world.cluster.pending.add(pending_job(number + 1))
    assert ROUTING_INTERVAL < router.interval() < ROUTING_INTERVAL_MAX
    for number in range(800, 5000):
        world.cluster.pending.add(pending_job(number + 1))
    assert router.interval() == ROUTING_INTERVAL_MAX


def test_incoming_slots_are_found_in_order_and_examined_once_per_equivalence_class() -> None:
    rng = random.Random(3)
    incoming, plain = IncomingCapacity(), []
    for number in range(200):
        kind = TYPES[rng.choice(["m8", "g16"])]
        zone, on_spot = "ab"[number % 2], rng.random() < 0.5
        incoming.add(CapacitySlot.of(kind, zone, on_spot))
        plain.append(CapacitySlot.of(kind, zone, on_spot))
    wants = [(spec(cores=rng.choice([1.0, 4.0, 12.0])), rng.random() < 0.5) for _ in range(300)]
    for want, on_spot in wants:
        found = incoming.first_feasible(want, on_spot, ("m8", "g16"), ["a", "b"])
        expected = next((r for r in plain if (on_spot or not r.spot) and r.free_slots(want) > 0), None)
        assert (found is None) == (expected is None)
        if found is not None and expected is not None:
            assert plain[found.position] is expected
            assert found.reserve(want, 1) == expected.reserve(want, 1) == 1
    assert incoming.slots_examined < 2 * len(wants) + 6 * len(plain)  # and not one times the other


def test_no_more_machines_are_planned_than_are_requested() -> None:
    world = World([Team("crew")])
    for _ in range(40):
        world.submit(legs=100, voyageS=20.0)
    world.plan()
    rentals = world.fleet.scale_out.plan(world.now)
    assert MACHINES_PER_PASS <= sum(rental.count for rental in rentals) < MACHINES_PER_PASS + 60
    assert not world.fleet.scale_out.due(world.now + SECOND // 10)


def test_repeated_refusals_are_retried_less_often() -> None:
    world = World()
    rental = ScaleOutRequest("m8", "a", True, 5)
    pauses = []
    for _ in range(6):
        world.fleet.availability.refuse(rental, world.now)
        pauses.append(world.fleet.availability.refused_until["m8", "a", True] - world.now)
    assert pauses[0] == REFUSAL_BACKOFF
    assert pauses == sorted(pauses)
    assert pauses[-1] == REFUSAL_BACKOFF_MAX
    world.fleet.availability.grant_partially(rental, world.now)  # some came: there may be more soon
    assert world.fleet.availability.refused_until["m8", "a", True] - world.now == REFUSAL_BACKOFF
    world.fleet.availability.refuse(rental, world.now)
    world.fleet.availability.grant(rental, world.now)
    world.fleet.availability.refuse(rental, world.now)
    assert world.fleet.availability.refused_until["m8", "a", True] - world.now == REFUSAL_BACKOFF


# --- unchanged heartbeats ----------------------------------------------------------------


def settled_world(**changes: Any) -> tuple[World, Machine, str]:
    world = World()
    world.machine(1)
    world.machine(2)
    ref = world.submit(**{"legs": 1, "cores": 8.0, "voyageS": 500.0, **changes})
    world.settle()
    (place,) = world.live(ref)[f"{ref}/0"]
    machine = world.cluster.machines[place]
    assert machine.settled_heartbeat
    return world, machine, ref


def test_an_unchanged_heartbeat_costs_one_comparison() -> None:
    world, machine, _ = settled_world()
    report = wire.decode_heartbeat(world.workers[machine.name].report())
    world.now += SECOND
    assert calls(lambda: world.cluster.heartbeats.receive(report, world.now, world.now)) < 10
    assert machine.last_heartbeat_at == world.now


def test_a_task_missing_from_a_settled_machine_is_noticed() -> None:
    world, machine, ref = settled_world()
    del world.workers[machine.name].tasks[(f"{ref}/0", 1)]
    world.settle()
    assert [attempt for worker in world.workers.values() for _, attempt in worker.started_attempts] == [1, 2]


def test_an_orphaned_attempt_on_a_settled_machine_is_noticed() -> None:
    """A start of an earlier leader's that arrives late."""
    world, machine, _ = settled_world(cores=4.0)
    other = world.submit(legs=1, cores=1.0, berthKinds=["g16"], sizeGb=0.0)
    world.workers[machine.name].commands(
        wire.command_request(world.cluster.fencing_token, machine.agent_epoch, [wire.StartCommand(f"{other}/0", 7)])
    )
    report = wire.decode_heartbeat(world.workers[machine.name].report())
    world.cluster.heartbeats.receive(report, world.now, world.now)
    assert (f"{other}/0", 7) in machine.orphaned_attempts


def test_a_cancelled_task_on_a_settled_machine_is_stopped() -> None:
    world, _, ref = settled_world()
    world.cancel(ref)
    world.settle()
    assert world.live(ref) == {}


def test_a_new_agent_epoch_of_a_settled_machine_is_noticed() -> None:
    world, machine, ref = settled_world()
    world.workers[machine.name].lease_renewed_at = world.now - 60 * SECOND
    world.settle()
    assert sum(len(worker.started_attempts) for worker in world.workers.values()) == 2
    assert len(world.live(ref)) == 1


def test_a_start_that_was_never_sent_is_sent() -> None:
    """Beyond so many machines at a time, commands wait: a start was once left to the next look at all tasks."""
    world = World()
    world.machine(1)
    world.step()
    world.step()
    ref = world.submit(legs=1)
    world.plan()
    world.commit()
    world.cluster.machines_to_command.clear()
    task = world.cluster.jobs[ref].tasks[0]
    assert task in world.cluster.unacknowledged_tasks
    world.step()
    assert task not in world.cluster.unacknowledged_tasks
