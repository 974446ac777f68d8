"""Tests a backlog of thousands of pending tasks on full machines: its cost is bounded, placements are unchanged."""

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
from tests.call_counts import count_calls, measure_backlog
from tests.cluster_fixture import TYPES, ClusterHarness, job


def spec(**changes: Any) -> wire.Submission:
    """Returns a decoded submission."""
    return wire.decode_submission(job(**changes))


def pending_job(number: int, **changes: Any) -> Job:
    """Returns a job submitted at second `number`."""
    return Job(f"j-{number:06d}", spec(ref=f"j-{number:06d}", **changes), 1, number * SECOND)


def placements_of_a_random_day(seed: int) -> list[tuple[str, str]]:
    """Returns the attempts started on each machine, in order of their starts.

    The random workload has arrays, services, gangs and best-effort jobs; one machine is lost.
    """
    rng = random.Random(seed)
    harness = ClusterHarness([Team("crew", cpus=40.0), Team("other", cpus_max=24.0)])
    for number in range(1, 13):
        harness.machine(number, "ab"[number % 2], spot=number % 3 == 0, kind="g16" if number % 6 == 0 else "m8")
    harness.step()
    started: list[tuple[str, str]] = []
    seen: set[tuple[str, str]] = set()
    for step in range(30):
        for _ in range(rng.randrange(3)):
            number = 1000 + step * 10 + rng.randrange(10)
            job_kind = rng.choice(["array", "array", "array", "service", "gang", "best-effort"])
            changes: dict[str, Any] = {
                "array": {"legs": rng.randrange(1, 9), "voyageS": rng.choice([20.0, 90.0]), "tideS": 60.0 * step},
                "service": {"rig": "standing", "legs": 3, "cores": 2.0, "urgency": "production", "spread": True},
                "gang": {"rig": "gang", "legs": 2, "accelerators": 2.0, "cores": 6.0, "urgency": "high"},
                "best-effort": {"legs": 20, "cores": 1.0, "urgency": "idle"},
            }[job_kind]
            ref = f"j-{number:06d}"
            if ref not in harness.cluster.jobs:
                harness.submit(ref=ref, crew=rng.choice(["crew", "other"]), cargo=job_kind, **changes)
        harness.step(rng.choice([0.5, 2.0, 5.0]))
        if step == 12:
            name = sorted(harness.workers)[rng.randrange(len(harness.workers))]
            harness.confirm_release(name)
        now = {
            (worker.name, f"{task}/{attempt}")
            for worker in harness.workers.values()
            for task, attempt in worker.started_attempts
        }
        started += sorted(now - seen)
        seen |= now
    return started


@pytest.mark.parametrize("seed", range(6))
def test_equivalence_classes_place_the_same_tasks_as_examining_every_job(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Skipping the rest of an equivalence class changes no placement, compared with a run that examines every job."""
    by_classes = placements_of_a_random_day(seed)
    monkeypatch.setattr(pending_queue, "is_interchangeable", lambda job: False)
    assert placements_of_a_random_day(seed) == by_classes
    assert len(by_classes) > 50


def test_the_pending_queue_stays_in_order_while_jobs_are_added_and_discarded() -> None:
    rng = random.Random(7)
    queue = PendingQueue()
    jobs = [
        pending_job(n, tideS=float(rng.randrange(60, 600)), urgency=rng.choice(["normal", "high", "idle"]))
        for n in range(1, 200)
    ]
    for queued in jobs[:150]:
        queue.add(queued)
    assert [queued for _, queued in queue.walk()] == sorted(jobs[:150], key=order_key)
    for queued in jobs[150:]:
        queue.add(queued)
    for queued in jobs[:40]:
        queue.discard(queued)
    jobs[60].deadline_at = 1  # the earliest deadline
    queue.reposition(jobs[60])
    assert [queued for _, queued in queue.walk()] == sorted(jobs[40:], key=order_key)
    walked = []
    for _, queued in queue.walk():
        walked.append(queued)
        queue.discard(jobs[100])  # discarded during the walk, so it is not returned
    assert jobs[100] not in walked[1:]
    assert queue.smallest_cpus() == 4.0


def test_pending_jobs_are_not_examined_while_nothing_changes() -> None:
    """A step of the loops with ten thousand pending tasks costs at most twice the calls of one with none."""

    def calls_per_step(tasks: int) -> int:
        harness = ClusterHarness([Team("crew")])
        for number in range(1, 21):
            harness.machine(number)
        harness.step()
        for _ in range(10):
            harness.submit(legs=4, voyageS=3000.0)
        harness.settle()
        for number in range(tasks // 20):
            harness.submit(ref=f"j-{500000 + number:06d}", legs=20, voyageS=100.0)
        router = PendingJobRouter(harness.cluster, harness.fleet.availability)
        router.step(harness.now, harness.now)
        harness.placer.plan(harness.now)
        harness.now += SECOND // 10
        assert not harness.placer.is_due(harness.now)
        return count_calls(lambda: (router.step(harness.now, harness.now), harness.placer.is_due(harness.now)))

    assert calls_per_step(10_000) <= 2 * calls_per_step(0)


def test_a_backlog_ten_times_as_large_costs_at_most_ten_times_as_much() -> None:
    small, large = measure_backlog(60, 300), measure_backlog(60, 3000)
    assert small.bindings == large.bindings == 100  # all freed capacity was used
    for name in ("unchanged", "completions", "submissions", "longest"):
        assert getattr(large, name) < 10 * getattr(small, name), name
    # The cost of unchanged heartbeats does not depend on the backlog.
    assert large.heartbeats == small.heartbeats < 10 * 60


def test_freed_capacity_alone_makes_a_planning_pass_due() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.step()
    first = harness.submit(legs=2, voyageS=100.0)
    harness.settle()
    second = harness.submit(legs=1)
    harness.plan()
    assert not harness.placer.is_due(harness.now)
    worker.tasks[(f"{first}/0", 1)].completes_at = harness.now
    harness.report(worker)
    assert harness.placer.is_due(harness.now)
    harness.step()
    assert (f"{second}/0", 1) in worker.started_attempts


def test_a_planning_pass_is_due_when_a_cordon_or_a_backoff_ends() -> None:
    """A refused start cordons a machine for three seconds, and a job backs off: no event marks the end of either."""
    harness = ClusterHarness()
    harness.machine(1)
    harness.step()
    ref = harness.submit(legs=1)
    harness.cluster.machines["vm-000001"].cordoned_until = harness.now + 3 * SECOND
    harness.plan()
    assert not harness.placer.is_due(harness.now + SECOND)
    assert harness.placer.is_due(harness.now + 3 * SECOND)
    harness.cluster.machines["vm-000001"].cordoned_until = 0
    harness.cluster.jobs[ref].retry_at = harness.now + SECOND // 2
    harness.plan()
    assert not harness.placer.is_due(harness.now + SECOND // 4)
    assert harness.placer.is_due(harness.now + SECOND // 2)


def test_no_victims_are_searched_for_a_team_at_its_limit_without_lower_priorities() -> None:
    """Guards against a search of all running tasks of the team, twice a second for each of its pending jobs."""
    harness = ClusterHarness([Team("crew", cpus_max=8.0)])
    for number in range(1, 6):
        harness.machine(number)
    harness.step()
    harness.submit(legs=2, voyageS=500.0)
    harness.settle()
    for _ in range(50):
        harness.submit(legs=4)
    harness.plan()
    assert all(not queued.preempt_after for queued in harness.cluster.pending)
    service = harness.submit(rig="standing", legs=1, urgency="production")
    harness.settle()
    assert len(harness.task_locations(service)) == 1  # it preempts an array of its team


def test_a_job_submitted_between_routings_is_routed_by_its_position_in_the_queue() -> None:
    harness = ClusterHarness([Team("crew")])
    harness.machine(1)
    harness.step()
    for number in range(20):
        harness.submit(legs=8, voyageS=60.0, tideS=3000.0 + number)
    router = PendingJobRouter(harness.cluster, harness.fleet.availability)
    router.step(harness.now, harness.now)
    routed = {pending.job_id: pending.tier for pending in harness.cluster.pending}
    urgent = harness.cluster.jobs[harness.submit(legs=1, voyageS=10.0, tideS=60.0)]
    call_count = count_calls(lambda: router.step(harness.now, harness.now))
    assert urgent.tier
    assert call_count < 150  # the others were not examined
    assert {pending.job_id: pending.tier for pending in harness.cluster.pending if pending is not urgent} == routed
    assert next(pending for _, pending in harness.cluster.pending.walk()) is urgent


def test_routing_interval_grows_with_the_backlog() -> None:
    harness = ClusterHarness([Team("crew")])
    router = PendingJobRouter(harness.cluster, harness.fleet.availability)
    assert router.interval() == ROUTING_INTERVAL
    for number in range(800):
        harness.cluster.pending.add(pending_job(number + 1))
    assert ROUTING_INTERVAL < router.interval() < ROUTING_INTERVAL_MAX
    for number in range(800, 5000):
        harness.cluster.pending.add(pending_job(number + 1))
    assert router.interval() == ROUTING_INTERVAL_MAX


def test_incoming_slots_are_found_in_order_and_examined_once_per_equivalence_class() -> None:
    rng = random.Random(3)
    incoming, slots = IncomingCapacity(), []
    for number in range(200):
        kind = TYPES[rng.choice(["m8", "g16"])]
        zone, on_spot = "ab"[number % 2], rng.random() < 0.5
        incoming.add(CapacitySlot.of(kind, zone, on_spot))
        slots.append(CapacitySlot.of(kind, zone, on_spot))
    requests = [(spec(cores=rng.choice([1.0, 4.0, 12.0])), rng.random() < 0.5) for _ in range(300)]
    for submission, on_spot in requests:
        found = incoming.first_feasible(submission, on_spot, ("m8", "g16"), ["a", "b"])
        expected = next((r for r in slots if (on_spot or not r.spot) and r.free_slots(submission) > 0), None)
        assert (found is None) == (expected is None)
        if found is not None and expected is not None:
            assert slots[found.position] is expected
            assert found.reserve(submission, 1) == expected.reserve(submission, 1) == 1
    assert incoming.slots_examined < 2 * len(requests) + 6 * len(slots)  # rather than the product of both


def test_one_scale_out_pass_plans_a_bounded_number_of_machines() -> None:
    harness = ClusterHarness([Team("crew")])
    for _ in range(40):
        harness.submit(legs=100, voyageS=20.0)
    harness.plan()
    rentals = harness.fleet.scale_out.plan(harness.now)
    assert MACHINES_PER_PASS <= sum(rental.count for rental in rentals) < MACHINES_PER_PASS + 60
    assert not harness.fleet.scale_out.is_due(harness.now + SECOND // 10)


def test_repeated_refusals_are_retried_less_often() -> None:
    harness = ClusterHarness()
    rental = ScaleOutRequest("m8", "a", True, 5)
    pauses = []
    for _ in range(6):
        harness.fleet.availability.on_refused(rental, harness.now)
        pauses.append(harness.fleet.availability.refused_until["m8", "a", True] - harness.now)
    assert pauses[0] == REFUSAL_BACKOFF
    assert pauses == sorted(pauses)
    assert pauses[-1] == REFUSAL_BACKOFF_MAX
    harness.fleet.availability.on_partly_granted(rental, harness.now)  # a partial grant: more capacity may follow soon
    assert harness.fleet.availability.refused_until["m8", "a", True] - harness.now == REFUSAL_BACKOFF
    harness.fleet.availability.on_refused(rental, harness.now)
    harness.fleet.availability.on_granted(rental, harness.now)
    harness.fleet.availability.on_refused(rental, harness.now)
    assert harness.fleet.availability.refused_until["m8", "a", True] - harness.now == REFUSAL_BACKOFF


# --- unchanged heartbeats ----------------------------------------------------------------


def settled_cluster(**changes: Any) -> tuple[ClusterHarness, Machine, str]:
    """Returns a cluster, the machine that runs its only job, and the job's id; heartbeats are unchanged by now."""
    harness = ClusterHarness()
    harness.machine(1)
    harness.machine(2)
    ref = harness.submit(**{"legs": 1, "cores": 8.0, "voyageS": 500.0, **changes})
    harness.settle()
    (machine_name,) = harness.task_locations(ref)[f"{ref}/0"]
    machine = harness.cluster.machines[machine_name]
    assert machine.settled_heartbeat
    return harness, machine, ref


def test_an_unchanged_heartbeat_costs_one_comparison() -> None:
    harness, machine, _ = settled_cluster()
    report = wire.decode_heartbeat(harness.workers[machine.name].report())
    harness.now += SECOND
    assert count_calls(lambda: harness.cluster.heartbeats.receive(report, harness.now, harness.now)) < 10
    assert machine.last_heartbeat_at == harness.now


def test_a_task_missing_from_a_settled_machine_is_restarted() -> None:
    harness, machine, ref = settled_cluster()
    del harness.workers[machine.name].tasks[(f"{ref}/0", 1)]
    harness.settle()
    assert [attempt for worker in harness.workers.values() for _, attempt in worker.started_attempts] == [1, 2]


def test_an_orphaned_attempt_on_a_settled_machine_is_detected() -> None:
    """The attempt was started by a delayed command of an earlier leader."""
    harness, machine, _ = settled_cluster(cores=4.0)
    other = harness.submit(legs=1, cores=1.0, berthKinds=["g16"], sizeGb=0.0)
    harness.workers[machine.name].commands(
        wire.command_request(harness.cluster.fencing_token, machine.worker_epoch, [wire.StartCommand(f"{other}/0", 7)])
    )
    report = wire.decode_heartbeat(harness.workers[machine.name].report())
    harness.cluster.heartbeats.receive(report, harness.now, harness.now)
    assert (f"{other}/0", 7) in machine.orphaned_attempts


def test_a_cancelled_task_on_a_settled_machine_is_stopped() -> None:
    harness, _, ref = settled_cluster()
    harness.cancel(ref)
    harness.settle()
    assert harness.task_locations(ref) == {}


def test_a_new_worker_epoch_of_a_settled_machine_is_detected() -> None:
    harness, machine, ref = settled_cluster()
    harness.workers[machine.name].lease_renewed_at = harness.now - 60 * SECOND
    harness.settle()
    assert sum(len(worker.started_attempts) for worker in harness.workers.values()) == 2
    assert len(harness.task_locations(ref)) == 1


def test_a_deferred_start_command_is_sent_in_the_next_step() -> None:
    """Guards against a deferred start command that is sent only by the next check of all tasks.

    Commands are sent to a limited number of machines at a time; the others are deferred.
    """
    harness = ClusterHarness()
    harness.machine(1)
    harness.step()
    harness.step()
    ref = harness.submit(legs=1)
    harness.plan()
    harness.commit()
    harness.cluster.machines_to_command.clear()
    task = harness.cluster.jobs[ref].tasks[0]
    assert task in harness.cluster.unacknowledged_tasks
    harness.step()
    assert task not in harness.cluster.unacknowledged_tasks
