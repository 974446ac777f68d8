"""Tests one-way partitions, in which commands do not reach machines; late copies of heartbeats; large jobs."""

from __future__ import annotations

from oatport import wire
from oatport.control.queueing.pending_job_router import route_pending
from oatport.control.queueing.pending_queue import order_key
from oatport.settings import Team
from oatport.simulation.fault_plan import Fault, Plan
from oatport.simulation.runner import RunRequest, run_scenario
from oatport.simulation.state_service import KeyStore
from oatport.times import SECOND, steady, time_of_day
from tests.cluster_fixture import ClusterHarness, job
from tests.test_node_failures import leader


def test_a_machine_unreachable_for_commands_gets_no_tasks_until_a_command_reaches_it() -> None:
    """Guards against binding lost tasks to the machine that lost them.

    Its worker epoch ended and its heartbeats listed no tasks, so it ranked best.
    """
    harness = ClusterHarness()
    command_unreachable, other = harness.machine(1), harness.machine(2)
    harness.settle(2)
    first = harness.submit(legs=2, cores=6.0, voyageS=500.0)
    harness.settle(2)
    harness.one_way_partitioned.add(command_unreachable.name)
    for _ in range(14):
        harness.step(1.0)
    assert command_unreachable.session == 2
    assert not command_unreachable.tasks
    lost = harness.cluster.machines[command_unreachable.name]
    assert lost.command_unreachable
    assert not lost.tasks
    assert len(harness.task_locations(first)) == 1  # the other task waits for capacity elsewhere
    assert other.name in next(iter(harness.task_locations(first).values()))
    harness.one_way_partitioned.clear()
    harness.settle(2)
    assert not lost.command_unreachable
    assert len(harness.task_locations(first)) == 2


def test_a_start_that_heartbeats_never_list_means_that_commands_do_not_arrive() -> None:
    harness = ClusterHarness()
    harness.machine(1)
    harness.settle(2)
    harness.one_way_partitioned.add("vm-000001")
    harness.submit(legs=1)
    for _ in range(9):
        harness.step(1.0)
    assert harness.cluster.machines["vm-000001"].command_unreachable


def test_a_leader_that_reaches_no_machine_releases_none() -> None:
    harness = ClusterHarness()
    for number in range(1, 6):
        harness.machine(number)
    harness.settle(2)
    harness.one_way_partitioned |= set(harness.workers)
    for _ in range(60):
        harness.step(1.0)
        assert harness.fleet.scale_in.machines_to_release(harness.now) == []
    assert all(m.command_unreachable for m in harness.cluster.machines.values())


async def test_no_start_in_the_response_to_a_late_heartbeat_copy_counts_as_sent() -> None:
    """Guards against start commands in a response that may not reach the machine.

    They counted as sent: the leader waited for their acknowledgement, and took them as evidence that a task had ended.
    """
    state = KeyStore(lambda: 0)
    lead, _, _ = leader(state)
    harness = ClusterHarness()
    worker = harness.machine(1)
    lead.cluster.catalog.types.update(harness.cluster.catalog.types)
    late_copy = wire.decode_heartbeat(worker.report())
    worker.token = lead.token
    lead.cluster.heartbeats.receive(wire.decode_heartbeat(worker.report()), steady(), time_of_day())
    machine = lead.cluster.machines[worker.name]
    machine.persisted = True
    spec = wire.decode_submission(job(legs=1))
    waiting = lead.cluster.job_lifecycle.add(spec.job_id, spec, 5, time_of_day())
    task = lead.cluster.tasks.begin_binding(waiting, machine, steady())
    batch = lead.cluster.writes.take_batch(12)
    lead.cluster.writes.committed(batch, 9, steady())
    initial_heartbeat = (machine.worker_epoch, machine.heartbeat_seq, machine.last_heartbeat_at)
    response = lead.answer_heartbeat(late_copy)
    assert response == {"helm": lead.token, "orders": []}
    assert not task.start_epoch
    assert (machine.worker_epoch, machine.heartbeat_seq, machine.last_heartbeat_at) == initial_heartbeat
    response = lead.answer_heartbeat(wire.decode_heartbeat(worker.report()))
    assert response is not None
    assert [order["orderKind"] for order in response["orders"]] == ["start"]


def test_one_way_partitions_and_late_copies_violate_no_invariant() -> None:
    for number, fault in enumerate(
        (
            Fault("machine_deaf", 12.0, 20.0, count=5),
            Fault("machine_deaf", 12.0, 15.0, zone="a"),
            Fault("report_copies", 10.0, 30.0, amount=20.0),
            Fault("late_repeats", 10.0, 30.0, amount=5.0),
            Fault("node_alone", 12.0, 20.0),
            Fault("machine_blink", 15.0, count=4),
            Fault("machine_blink", 15.0, count=4, amount=1.0),
        )
    ):
        plan = Plan((fault, Fault("node_crash", 20.0, 0.1)), 50.0, 3, 20, 20.0, 6.0)
        result = run_scenario(RunRequest(plan=plan), number)
        assert (result.violations, result.errors) == ([], []), fault.kind


def test_the_invariant_checker_detects_copies_of_heartbeats_taken_for_new_ones() -> None:
    plan = Plan((Fault("report_copies", 8.0, 40.0, amount=20.0),), 50.0, 3, 20, 40.0)
    request = RunRequest(plan=plan, disabled_check="heartbeat-order")
    assert any(run_scenario(request, seed).violations for seed in range(8))


def test_the_largest_job_starves_only_for_a_limited_time() -> None:
    """Guards against starvation of the largest job, which the Moore-Hodgson rule drops first while a burst lasts."""
    harness = ClusterHarness([Team("crew")])
    harness.machine(1)
    harness.settle(2)
    large = harness.submit(ref="j-000001", legs=200, voyageS=60.0, tideS=100.0)
    harness.machine(2)
    blocker = harness.submit(ref="j-000002", legs=4, voyageS=500.0, urgency="production", rig="standing")
    small = [harness.submit(ref=f"j-{n:06d}", legs=1, voyageS=5.0, tideS=400.0) for n in range(10, 20)]
    jobs = harness.cluster.jobs
    route_pending(harness.cluster, harness.fleet.availability, harness.now, harness.now)
    assert jobs[large].deadline_missed
    assert order_key(jobs[large]) > order_key(jobs[small[0]])
    harness.now += 121 * SECOND
    newer = harness.submit(ref="j-000020", legs=1, voyageS=5.0, tideS=400.0)
    route_pending(harness.cluster, harness.fleet.availability, harness.now, harness.now)
    assert jobs[large].starving
    assert order_key(jobs[large]) < order_key(jobs[newer])
    assert order_key(jobs[blocker]) < order_key(jobs[large])  # the priority is unchanged
    jobs[large].started = True
    route_pending(harness.cluster, harness.fleet.availability, harness.now, harness.now)
    assert not jobs[large].starving


def test_the_status_line_shows_how_many_of_the_largest_jobs_started() -> None:
    harness = ClusterHarness([Team("crew")])
    harness.machine(1)
    harness.settle(2)
    large = harness.submit(ref="j-000100", legs=50, accelerators=1.0)  # no machine has capacity for it
    for number in range(1, 20):
        harness.submit(ref=f"j-{number:06d}", legs=1, cores=0.25, voyageS=5.0)
    harness.settle(10)
    assert harness.cluster.job_statistics.started_of_largest() == {"train": (1, 2)}
    assert "largest train" in harness.cluster.job_statistics.summary()
    harness.cancel(large)
    harness.settle(2)
    started, count = harness.cluster.job_statistics.started_of_largest()["train"]
    assert started == count
