"""Tests each rule of PROTOCOL and each safety point of DESIGN at least once."""

from __future__ import annotations

from oatport import wire
from oatport.control.leadership.failure_detection import silent_machines
from oatport.control.placement.feasibility import is_machine_allowed
from oatport.control.state.task import TaskPhase
from oatport.control.storage.keys import LEADER_KEY, chunk_key, live_key
from oatport.settings import Team
from oatport.simulation.attempt import AttemptKey
from oatport.times import SECOND
from tests.cluster_fixture import ClusterHarness


def test_an_array_runs_and_its_completion_is_recorded() -> None:
    harness = ClusterHarness()
    harness.machine(1)
    ref = harness.submit()
    harness.settle()
    assert len(harness.task_locations(ref)) == 2
    assert harness.record(ref) == wire.JobStatus.QUEUED  # rule `not_done`: only the completion changes the record
    harness.settle(31)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert harness.state.list("live/")[1]["rows"] == []


def test_a_job_is_not_completed_before_its_last_task() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    ref = harness.submit(legs=2)
    harness.settle()
    worker.tasks[(f"{ref}/0", 1)].completes_at = harness.now
    harness.settle(3)
    assert harness.record(ref) == wire.JobStatus.QUEUED
    worker.tasks[(f"{ref}/1", 1)].completes_at = harness.now
    harness.settle(3)
    assert harness.record(ref) == wire.JobStatus.COMPLETED


def test_no_start_command_is_sent_before_its_binding_is_committed() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit()
    harness.plan()
    harness.send()
    harness.report(worker)
    assert worker.started_attempts == []  # bound, but not committed
    harness.commit()
    harness.send()  # by a direct command, not with the next heartbeat response
    assert sorted(worker.started_attempts) == [(f"{ref}/0", 1), (f"{ref}/1", 1)]
    row = harness.state.get(chunk_key(ref, 0))[1]["value"]["t"]
    assert row == [[1, worker.name], [1, worker.name]]


def test_a_binding_is_conditional_on_the_job_not_being_cancelled() -> None:
    """A cancellation races with a binding: the first commit wins."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit()
    harness.plan()
    harness.cancel(ref, notify_leader=False)  # committed by another node, whose notification did not reach the leader
    batch = harness.cluster.writes.take_batch(12)
    status, value = harness.state.commit(harness.transaction(batch))
    assert status == 409
    assert value["failed"] == [f"jobs/{ref}"]
    harness.cluster.writes.restore_batch(batch)
    harness.cluster.job_lifecycle.cancel(ref, 0)
    harness.settle()
    assert worker.started_attempts == []


def test_a_cancelled_job_is_removed_from_its_machines_and_records() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    ref = harness.submit(rig="standing")
    harness.settle()
    assert len(harness.task_locations(ref)) == 2
    harness.cancel(ref)
    harness.send()
    assert harness.task_locations(ref) == {}
    harness.settle()
    assert harness.state.list(f"live/{ref}")[1]["rows"] == []
    assert harness.record(ref) == wire.JobStatus.CANCELLED
    assert worker.tasks == {}  # forgotten: the exit of a cancelled job's task need not be recorded


def test_no_start_command_is_sent_for_a_job_cancelled_after_the_commit() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit()
    harness.plan()
    harness.commit()
    harness.cancel(ref)
    harness.send()
    harness.settle()
    assert worker.started_attempts == []


def test_tasks_of_a_silent_machine_are_not_restarted_before_it_is_released() -> None:
    """Rule `ran_twice`: the task may run on the silent machine until the machine is released."""
    harness = ClusterHarness()
    first, second = harness.machine(1), harness.machine(2)
    ref = harness.submit(legs=1, cores=8.0)
    harness.settle()
    (machine_name,) = harness.task_locations(ref)[f"{ref}/0"]
    silent, other = (first, second) if machine_name == first.name else (second, first)
    harness.unreachable_machines.add(silent.name)
    for _ in range(20):
        harness.step(5.0)
    assert other.started_attempts == []
    harness.confirm_release(silent.name)
    harness.settle()
    assert other.started_attempts == [(f"{ref}/0", 2)]


def test_a_later_session_confirms_that_the_tasks_have_ended() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    ref = harness.submit(legs=1)
    harness.settle()
    worker.lease_renewed_at = harness.now - 60 * SECOND  # its lease has expired
    harness.settle()
    assert worker.session == 2
    assert worker.started_attempts == [(f"{ref}/0", 1), (f"{ref}/0", 2)]


def test_an_outdated_heartbeat_has_no_effect() -> None:
    """A heartbeat that a partition delayed lists outdated tasks."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle(2)
    old = wire.decode_heartbeat(worker.report())
    ref = harness.submit(legs=1)
    harness.settle()
    task = harness.cluster.jobs[ref].tasks[0]
    harness.cluster.heartbeats.receive(old, harness.now, harness.now)
    assert task.phase is TaskPhase.BOUND
    assert task.attempt == 1


def test_an_unacknowledged_start_is_repeated_and_runs_once() -> None:
    """Guards against a start in a lost response that is never repeated, or that a copy of a message executes again."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit(legs=1, voyageS=5.0)
    harness.plan()
    harness.commit()
    harness.report_without_response(worker)  # the leader does not know whether the start arrived
    assert worker.started_attempts == []
    harness.settle(2)
    assert worker.started_attempts == [(f"{ref}/0", 1)]
    harness.step(6.0)
    harness.settle(3)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    for body in harness.direct_commands.get(worker.name, []):
        worker.commands(body)
    assert worker.started_attempts == [(f"{ref}/0", 1)]


def test_a_start_in_a_delayed_heartbeat_response_is_not_forgotten_by_direct_commands() -> None:
    """Guards against direct commands that overtake a heartbeat response on a slow link.

    The delayed response started a task that was running elsewhere by then.
    """
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    harness.machine(2)
    ref = harness.submit(legs=1, voyageS=50.0)
    harness.plan()
    harness.commit()
    cluster, key = harness.cluster, (f"{ref}/0", 1)
    sent_at, report = harness.now, wire.decode_heartbeat(worker.report())
    machine = cluster.heartbeats.receive(report, harness.now, harness.now)
    assert machine is not None
    cluster.commands.on_heartbeat_delivered(machine, report)
    delayed, starts = cluster.commands.for_response(machine)
    cluster.commands.on_starts_sent(machine, starts)  # in flight
    cluster.tasks.stop(cluster.jobs[ref].tasks[0], 0.0)
    machine.draining = True
    harness.send()  # the stop overtakes the response
    cluster.commands.on_heartbeat_delivered(machine, report)  # a partition delivers a copy of the same heartbeat
    harness.plan()
    harness.commit()
    assert cluster.jobs[ref].placed_task_count == 1  # not bound elsewhere: the response may still start it here
    worker.on_heartbeat_response(sent_at, 1, wire.heartbeat_response(cluster.fencing_token, delayed))
    assert worker.started_attempts == [key]
    for _ in range(4):
        harness.step(0.5)
        assert all(len(machines) == 1 for machines in harness.task_locations(ref).values())
    assert list(harness.task_locations(ref).values()) == [["vm-000002"]]


def test_an_exit_is_committed_before_its_attempt_is_forgotten() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    ref = harness.submit(legs=2, voyageS=30.0)
    harness.settle()
    key = (f"{ref}/0", 1)
    worker.tasks[key].completes_at = harness.now
    harness.report(worker)
    assert key in worker.tasks
    harness.report(worker)
    assert key in worker.tasks  # not committed yet
    harness.commit()
    harness.report(worker)
    assert key not in worker.tasks


def test_a_delayed_commit_of_a_former_leader_is_refused() -> None:
    """Writes may arrive late: each is conditional on the version of the leader key."""
    harness = ClusterHarness()
    harness.machine(1)
    harness.settle()
    harness.submit()
    harness.plan()
    delayed = harness.transaction(harness.cluster.writes.take_batch(12))
    harness.fail_over()
    status, value = harness.state.commit(delayed)
    assert status == 409
    assert LEADER_KEY in value["failed"]


def test_a_new_binding_is_not_confirmed_by_the_commit_of_the_former_one() -> None:
    """The machine failed while its binding was being committed, and the task was bound to another machine."""
    harness = ClusterHarness()
    harness.machine(1)
    harness.settle()
    ref = harness.submit(legs=1)
    harness.plan()
    batch = harness.cluster.writes.take_batch(12)
    _, value = harness.state.commit(harness.transaction(batch))
    harness.confirm_release("vm-000001")
    second = harness.machine(2)
    harness.report(second)
    harness.report(second)
    harness.cluster.machines[second.name].persisted = True
    harness.plan()
    task = harness.cluster.jobs[ref].tasks[0]
    assert task.machine is harness.cluster.machines[second.name]
    harness.cluster.writes.committed(batch, value["ledgerRev"], harness.now)
    assert task.phase is TaskPhase.BINDING
    harness.send()
    assert second.started_attempts == []


def test_a_failover_with_a_silent_machine_keeps_its_tasks_bound() -> None:
    """A task that is recorded on the silent machine stays bound there, and all other tasks run."""
    harness = ClusterHarness()
    silent, other = harness.machine(1, "a"), harness.machine(2, "b")
    ref = harness.submit(legs=4)
    harness.settle()
    harness.unreachable_machines.add(silent.name)
    harness.fail_over()
    harness.settle()
    new_job = harness.submit(ref="j-000002", legs=1, voyageS=1.0)
    harness.settle(40)
    assert len([s for s in other.started_attempts if s[0].startswith(ref)]) == 2
    assert harness.record(new_job) == wire.JobStatus.COMPLETED
    assert harness.record(ref) == wire.JobStatus.QUEUED
    # The tasks on the silent machine count towards the limit of the team.
    assert harness.cluster.quotas["crew"].cpus == 8.0


def test_after_a_failover_a_missing_attempt_counts_as_ended_only_under_the_new_token() -> None:
    """A start command of the former leader is still accepted by a worker that has not seen the new fencing token."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit(legs=1)
    harness.plan()
    harness.commit()  # the leader fails here, with its start command in flight
    delayed = wire.command_request(harness.cluster.fencing_token, worker.session, [wire.StartCommand(f"{ref}/0", 1)])
    harness.fail_over()
    harness.cluster.heartbeats.receive(wire.decode_heartbeat(worker.report()), harness.now, harness.now)
    assert harness.cluster.jobs[ref].tasks[0].phase is TaskPhase.BOUND
    worker.commands(delayed)  # arrives before the new token
    harness.settle()
    assert worker.started_attempts == [(f"{ref}/0", 1)]  # adopted, not started again
    assert harness.cluster.jobs[ref].tasks[0].start_acknowledged


def test_after_a_failover_a_binding_whose_start_was_never_sent_is_started() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit(legs=1)
    harness.plan()
    harness.commit()
    delayed = wire.command_request(harness.cluster.fencing_token, worker.session, [wire.StartCommand(f"{ref}/0", 1)])
    harness.fail_over()
    harness.settle()
    assert worker.started_attempts == [(f"{ref}/0", 2)]
    assert worker.commands(delayed)[0] == 409


def test_a_confirmed_cancellation_is_carried_out_after_a_failover() -> None:
    harness = ClusterHarness()
    harness.machine(1)
    ref = harness.submit(rig="standing")
    harness.settle()
    harness.cancel(ref, notify_leader=False)
    harness.fail_over()
    harness.settle()
    assert harness.task_locations(ref) == {}
    assert harness.record(ref) == wire.JobStatus.CANCELLED


def test_a_machine_silent_since_the_failover_is_suspected_sooner() -> None:
    """Guards against a full detection delay after a failover.

    A machine was partitioned just before its leader failed, and the next leader waited 7 s before it released it.
    """
    harness = ClusterHarness()
    worker, other = harness.machine(1), harness.machine(2)
    harness.submit(legs=1)
    harness.settle()
    harness.fail_over()
    harness.report(other)
    silent = harness.cluster.machines[worker.name]
    machines = list(harness.cluster.machines.values())
    assert silent_machines(machines, harness.now + 3 * SECOND, 5 * SECOND) == []
    assert silent_machines(machines, harness.now + 4 * SECOND, 5 * SECOND) == [silent]


def test_quota_counts_tasks_that_are_not_confirmed_as_ended() -> None:
    harness = ClusterHarness([Team("crew", cpus=8.0, cpus_max=8.0)])
    first = harness.machine(1)
    harness.submit(legs=2)
    harness.settle()
    harness.machine(2)
    harness.unreachable_machines.add(first.name)
    second = harness.submit(ref="j-000002", legs=2)
    harness.settle(8)
    assert harness.task_locations(second) == {}
    harness.confirm_release(first.name)
    harness.settle()
    assert sum(len(places) for ref in ("j-000001", second) for places in harness.task_locations(ref).values()) == 2


def test_placement_respects_spread_zone_and_tier() -> None:
    harness = ClusterHarness()
    for number, zone in ((1, "a"), (2, "a"), (3, "b"), (4, "b")):
        harness.machine(number, zone)
    ref = harness.submit(legs=4, spread=True, rig="standing")
    harness.settle()
    zones = [harness.workers[p[0]].zone for p in harness.task_locations(ref).values()]
    assert sorted(zones) == ["a", "a", "b", "b"]
    harness = ClusterHarness()
    spot = harness.machine(1, "a", spot=True)
    harness.machine(2, "b")
    ref = harness.submit(driftwood=False, harbor="a")
    harness.settle()
    assert harness.task_locations(ref) == {}
    machine = harness.cluster.machines[spot.name]
    job = harness.cluster.jobs[ref]
    assert not is_machine_allowed(job, machine)


def test_a_single_zone_job_stays_in_its_zone_while_a_former_attempt_may_run() -> None:
    harness = ClusterHarness()
    first = harness.machine(1, "a")
    ref = harness.submit(legs=2, samePlace=True)
    harness.settle()
    assert len(harness.task_locations(ref)) == 2
    harness.machine(2, "b")
    first.tasks[(f"{ref}/0", 1)].status, first.tasks[(f"{ref}/0", 1)].exit_reason = "ended", "error"
    harness.settle(2)
    harness.unreachable_machines.add(first.name)
    for _ in range(4):
        harness.step(10.0)
    assert all(harness.workers[p[0]].zone == "a" for p in harness.task_locations(ref).values())


def test_a_gang_starts_all_its_tasks_or_none() -> None:
    harness = ClusterHarness()
    first = harness.machine(1)
    ref = harness.submit(rig="gang", legs=3)
    harness.settle()
    assert harness.task_locations(ref) == {}
    second = harness.machine(2)
    harness.settle()
    assert len(harness.task_locations(ref)) == 3
    assert {attempt for _, attempt in first.started_attempts + second.started_attempts} == {1}


def test_a_gang_that_lost_a_machine_restarts_only_after_all_members_have_ended() -> None:
    harness = ClusterHarness()
    first, second = harness.machine(1), harness.machine(2)
    ref = harness.submit(rig="gang", legs=4)
    harness.settle()
    harness.unreachable_machines.add(first.name)
    harness.confirm_release(first.name)
    harness.machine(3)
    harness.settle()
    assert all(attempt == 1 for _, attempt in second.started_attempts)  # the other members still run
    for key in list(second.tasks):
        second.tasks[key].status, second.tasks[key].exit_reason = "ended", "mates_gone"
    harness.settle()
    assert len(harness.task_locations(ref)) == 4
    assert {a for w in harness.workers.values() for (n, a), t in w.tasks.items() if t.status != "ended"} == {2}


def test_a_service_preempts_an_array_and_the_array_is_restarted() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    low = harness.submit(legs=2)
    harness.settle()
    high = harness.submit(ref="j-000002", rig="standing", urgency="production", legs=1, driftwood=False)
    harness.settle(3)
    assert len(harness.task_locations(high)) == 1
    assert len(harness.task_locations(low)) == 1
    assert len(worker.started_attempts) == 3
    harness.machine(2)
    harness.settle()
    assert len(harness.task_locations(low)) == 2


def test_only_a_job_within_its_teams_guarantee_preempts_other_teams() -> None:
    """Guards against teams that preempt one another's tasks in turns.

    Twelve teams below their guarantees, with jobs larger than the guarantees, did so.
    """
    harness = ClusterHarness([Team("crew", cpus=8.0, cpus_max=32.0), Team("other", cpus=0.0, cpus_max=32.0)])
    harness.machine(1)
    borrowed = harness.submit(crew="other", voyageS=500.0)
    harness.settle()
    large = harness.submit(ref="j-000002", legs=3)  # needs 12 CPUs, the guarantee is 8
    harness.settle(6)
    assert len(harness.task_locations(borrowed)) == 2
    harness.cancel(large)
    harness.settle(2)
    own = harness.submit(ref="j-000003", legs=1)
    harness.settle(6)
    assert len(harness.task_locations(own)) == 1
    assert len(harness.task_locations(borrowed)) == 1


def test_a_start_refused_as_full_cordons_the_machine() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    worker.cores = 4.0  # less than its machine type has
    ref = harness.submit(legs=2)
    harness.settle(3)
    assert len(harness.task_locations(ref)) == 1
    assert harness.cluster.machines[worker.name].cordoned_until > 0
    harness.machine(2)
    harness.settle()
    assert len(harness.task_locations(ref)) == 2


def test_a_reclamation_notice_moves_tasks_that_would_not_complete_in_time() -> None:
    harness = ClusterHarness()
    reclaimed = harness.machine(1, spot=True)
    ref = harness.submit(legs=1, voyageS=55.0)
    harness.settle()
    assert reclaimed.started_attempts
    reclaimed.notice_s = 15.0
    other = harness.machine(2)
    harness.settle(3)
    assert other.started_attempts == [(f"{ref}/0", 2)]
    assert all(t.status == "ended" for t in reclaimed.tasks.values())


def test_orphaned_attempts_are_stopped_before_their_task_is_placed() -> None:
    """An attempt runs without a record of its binding: no task of its job starts until the attempt has ended."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit(legs=1)
    worker._start(AttemptKey(f"{ref}/0", 7))
    harness.report(worker)
    assert (f"{ref}/0", 7) not in worker.tasks or worker.tasks[(f"{ref}/0", 7)].status == "ended"
    harness.settle()
    assert worker.started_attempts == [(f"{ref}/0", 7), (f"{ref}/0", 1)]


def test_a_large_job_is_deleted_in_several_batches_and_does_not_reappear() -> None:
    """The head of the job's record is deleted first; remaining chunks are deleted later, also by the next leader."""
    harness = ClusterHarness([Team("crew")])
    ref = harness.submit(legs=2500, cores=0.001, voyageS=8.0, memoryGb=0.0)
    workers = [harness.machine(number) for number in range(1, 8)]  # each lists a few hundred tasks
    harness.settle(3)
    assert sum(len(worker.started_attempts) for worker in workers) == 2500
    harness.now += 9 * SECOND
    for worker in workers:
        harness.report(worker)
    for _ in range(20):
        batch = harness.cluster.writes.take_batch(12)
        status, value = harness.state.commit(harness.transaction(batch))
        assert status == 200
        if f"jobs/{ref}" in batch.sets:
            break  # the leader fails here
        harness.cluster.writes.committed(batch, value["ledgerRev"], harness.now)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert harness.state.list(live_key(ref))[1]["rows"]
    harness.fail_over()
    harness.commit()
    assert harness.cluster.jobs == {}
    assert harness.state.list(live_key(ref))[1]["rows"] == []


def test_a_service_preempts_arrays_of_its_own_team_at_the_limit() -> None:
    """Guards against a service that waits while its own team's arrays use up the limit of the team.

    The service waited 60 s, although tasks of other teams would have been preempted for it.
    """
    harness = ClusterHarness([Team("crew", cpus_max=16.0)])
    for number in range(1, 5):
        harness.machine(number)
    array = harness.submit(legs=4, voyageS=300.0)
    harness.settle()
    assert len(harness.task_locations(array)) == 4
    service = harness.submit(ref="j-000002", rig="standing", urgency="production", legs=2, driftwood=False)
    harness.settle()
    assert len(harness.task_locations(service)) == 2
    assert len(harness.task_locations(array)) == 2  # no more are preempted than the limit requires
    harness.submit(ref="j-000003", legs=2)  # a job of the same priority preempts none
    harness.settle()
    assert len(harness.task_locations(array)) == 2
    assert harness.cluster.quotas["crew"].cpus <= 16.0
