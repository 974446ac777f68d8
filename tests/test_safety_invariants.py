"""One story or more for each rule of the protocol and each safety point of the design."""

from __future__ import annotations

from oatport import wire
from oatport.control.leadership.failure_detection import silent_machines
from oatport.control.placement.feasibility import machine_allowed
from oatport.control.state.task import TaskPhase
from oatport.control.storage.keys import LEADER_KEY, chunk_key, live_key
from oatport.settings import Team
from oatport.simulation.attempt import AttemptKey
from oatport.times import SECOND
from tests.cluster_fixture import ClusterHarness


def test_an_array_runs_and_its_record_says_done() -> None:
    harness = ClusterHarness()
    harness.machine(1)
    ref = harness.submit()
    harness.settle()
    assert len(harness.task_locations(ref)) == 2
    assert harness.record(ref) == wire.JobStatus.QUEUED  # not_done: nothing but the end changes it
    harness.settle(31)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert harness.state.list("live/")[1]["rows"] == []


def test_not_done_before_the_last_task() -> None:
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


def test_no_start_goes_out_before_its_commit() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit()
    harness.plan()
    harness.send()
    harness.report(worker)
    assert worker.started_attempts == []  # claimed, not committed
    harness.commit()
    harness.send()  # directly, not with the next report
    assert sorted(worker.started_attempts) == [(f"{ref}/0", 1), (f"{ref}/1", 1)]
    row = harness.state.get(chunk_key(ref, 0))[1]["value"]["t"]
    assert row == [[1, worker.name], [1, worker.name]]


def test_a_start_is_conditioned_on_the_job_not_being_cancelled() -> None:
    """Cancellation racing a start: whichever commit is first wins."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit()
    harness.plan()
    harness.cancel(ref, notify_leader=False)  # another node commits it, the leader has not heard
    batch = harness.cluster.writes.take_batch(12)
    status, value = harness.state.commit(harness.transaction(batch))
    assert status == 409
    assert value["failed"] == [f"jobs/{ref}"]
    harness.cluster.writes.restore_batch(batch)
    harness.cluster.job_lifecycle.cancel(ref, 0)
    harness.settle()
    assert worker.started_attempts == []


def test_a_cancelled_job_leaves_its_machines_and_records() -> None:
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
    assert worker.tasks == {}  # forgotten, once the end needs no recording any more


def test_a_cancellation_between_commit_and_start_sends_no_start() -> None:
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


def test_silence_is_no_proof() -> None:
    """ran_twice: a task on a silent machine is not started elsewhere until the machine is gone."""
    harness = ClusterHarness()
    first, second = harness.machine(1), harness.machine(2)
    ref = harness.submit(legs=1, cores=8.0)
    harness.settle()
    (place,) = harness.task_locations(ref)[f"{ref}/0"]
    silent, other = (first, second) if place == first.name else (second, first)
    harness.unreachable_machines.add(silent.name)
    for _ in range(20):
        harness.step(5.0)
    assert other.started_attempts == []
    harness.confirm_release(silent.name)
    harness.settle()
    assert other.started_attempts == [(f"{ref}/0", 2)]


def test_a_later_session_proves_the_tasks_gone() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    ref = harness.submit(legs=1)
    harness.settle()
    worker.lease_renewed_at = harness.now - 60 * SECOND  # its lease ran out meanwhile
    harness.settle()
    assert worker.session == 2
    assert worker.started_attempts == [(f"{ref}/0", 1), (f"{ref}/0", 2)]


def test_an_older_report_changes_nothing() -> None:
    """A report held by a cut is as old as its task list."""
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


def test_an_unanswered_start_is_repeated_and_never_forgotten() -> None:
    """It may land late: after a `forget` it would start the task again."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit(legs=1, voyageS=5.0)
    harness.plan()
    harness.commit()
    harness.unreachable_machines.add(worker.name)
    harness.send()  # lost on the way, as far as the leader knows
    harness.unreachable_machines.clear()
    assert worker.started_attempts == []
    harness.settle(2)
    assert worker.started_attempts == [(f"{ref}/0", 1)]
    harness.step(6.0)
    harness.settle(3)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    key = (f"{ref}/0", 1)
    assert key in worker.tasks  # still listed as ended, so the late copy has no effect
    worker.commands(wire.command_request(harness.cluster.fencing_token, worker.session, [wire.StartCommand(*key)]))
    assert worker.tasks[key].status == "ended"
    assert worker.started_attempts == [key]


def test_a_start_in_an_answer_on_its_way_is_not_forgotten_by_direct_commands() -> None:
    """On a slow link they overtook it: the task ran elsewhere when the answer started it once more."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit(legs=1, voyageS=50.0)
    harness.plan()
    harness.commit()
    cluster, key = harness.cluster, (f"{ref}/0", 1)
    report = wire.decode_heartbeat(worker.report())
    machine = cluster.heartbeats.receive(report, harness.now, harness.now)
    assert machine is not None
    cluster.commands.on_heartbeat_delivered(machine, report)
    late, starts = cluster.commands.for_machine(machine, harness.now, direct=False)
    cluster.commands.on_sent(machine, starts, harness.now, direct=False)  # on its way
    cluster.machines_to_command.add(machine)
    harness.send()
    cluster.tasks.stop(cluster.jobs[ref].tasks[0], 0.0)
    harness.send()
    harness.commit()
    assert worker.tasks[key].status == "ended"
    assert cluster.jobs[ref].placed_task_count == 0  # it may run elsewhere
    cluster.machines_to_command.add(machine)
    harness.send()
    cluster.commands.on_heartbeat_delivered(machine, report)  # held by a cut, that report comes once more
    cluster.machines_to_command.add(machine)
    harness.send()
    worker.commands(wire.command_request(cluster.fencing_token, 1, late))
    assert worker.started_attempts == [key]
    harness.report(worker)  # it reports again, so it has had that answer, or dropped it
    cluster.machines_to_command.add(machine)
    harness.send()
    assert key not in worker.tasks


def test_an_end_is_committed_before_it_is_forgotten() -> None:
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


def test_a_refused_commit_of_an_old_leader() -> None:
    """Writes arrive late: each is conditioned on the leader key's version."""
    harness = ClusterHarness()
    harness.machine(1)
    harness.settle()
    harness.submit()
    harness.plan()
    late = harness.transaction(harness.cluster.writes.take_batch(12))
    harness.fail_over()
    status, value = harness.state.commit(late)
    assert status == 409
    assert LEADER_KEY in value["failed"]


def test_a_claim_made_anew_is_not_covered_by_the_old_commit() -> None:
    """The machine died while the claim's commit was under way and the task was claimed elsewhere."""
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


def test_takeover_with_a_silent_machine() -> None:
    """Records say that a task is there: it stays there, and the rest goes on without it."""
    harness = ClusterHarness()
    silent, other = harness.machine(1, "a"), harness.machine(2, "b")
    ref = harness.submit(legs=4)
    harness.settle()
    harness.unreachable_machines.add(silent.name)
    harness.fail_over()
    harness.settle()
    more = harness.submit(ref="j-000002", legs=1, voyageS=1.0)
    harness.settle(40)
    assert len([s for s in other.started_attempts if s[0].startswith(ref)]) == 2
    assert harness.record(more) == wire.JobStatus.COMPLETED
    assert harness.record(ref) == wire.JobStatus.QUEUED
    assert harness.cluster.quotas["crew"].cpus == 8.0  # they count for the team's limit


def test_takeover_judges_absence_only_under_its_own_token() -> None:
    """An old leader's start may still land at a worker that has not seen the new token."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit(legs=1)
    harness.plan()
    harness.commit()  # the old leader dies here; its start is under way
    late = wire.command_request(harness.cluster.fencing_token, worker.session, [wire.StartCommand(f"{ref}/0", 1)])
    harness.fail_over()
    harness.cluster.heartbeats.receive(wire.decode_heartbeat(worker.report()), harness.now, harness.now)
    assert harness.cluster.jobs[ref].tasks[0].phase is TaskPhase.BOUND
    worker.commands(late)  # lands before the new token does
    harness.settle()
    assert worker.started_attempts == [(f"{ref}/0", 1)]  # taken over, not started again
    assert harness.cluster.jobs[ref].tasks[0].start_acknowledged


def test_takeover_finds_a_start_that_never_went_out() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit(legs=1)
    harness.plan()
    harness.commit()
    late = wire.command_request(harness.cluster.fencing_token, worker.session, [wire.StartCommand(f"{ref}/0", 1)])
    harness.fail_over()
    harness.settle()
    assert worker.started_attempts == [(f"{ref}/0", 2)]
    assert worker.commands(late)[0] == 409


def test_takeover_keeps_cancellations_told() -> None:
    harness = ClusterHarness()
    harness.machine(1)
    ref = harness.submit(rig="standing")
    harness.settle()
    harness.cancel(ref, notify_leader=False)
    harness.fail_over()
    harness.settle()
    assert harness.task_locations(ref) == {}
    assert harness.record(ref) == wire.JobStatus.CANCELLED


def test_a_machine_silent_since_the_last_leader_is_judged_sooner() -> None:
    """A machine was cut just before its leader died: the next one waited 7 s before it released it."""
    harness = ClusterHarness()
    worker, other = harness.machine(1), harness.machine(2)
    harness.submit(legs=1)
    harness.settle()
    harness.fail_over()
    harness.report(other)
    gone = harness.cluster.machines[worker.name]
    machines = list(harness.cluster.machines.values())
    assert silent_machines(machines, harness.now + 3 * SECOND, 5 * SECOND) == []
    assert silent_machines(machines, harness.now + 4 * SECOND, 5 * SECOND) == [gone]


def test_quota_counts_what_is_not_proven_gone() -> None:
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


def test_wrong_place_spread_zone_type_and_kind() -> None:
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
    assert not machine_allowed(job, machine)


def test_same_place_holds_while_an_old_task_is_not_proven_gone() -> None:
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


def test_a_gang_starts_whole_or_not() -> None:
    harness = ClusterHarness()
    first = harness.machine(1)
    ref = harness.submit(rig="gang", legs=3)
    harness.settle()
    assert harness.task_locations(ref) == {}
    second = harness.machine(2)
    harness.settle()
    assert len(harness.task_locations(ref)) == 3
    assert {attempt for _, attempt in first.started_attempts + second.started_attempts} == {1}


def test_a_gang_that_lost_a_machine_starts_again_only_when_nothing_is_left() -> None:
    harness = ClusterHarness()
    first, second = harness.machine(1), harness.machine(2)
    ref = harness.submit(rig="gang", legs=4)
    harness.settle()
    harness.unreachable_machines.add(first.name)
    harness.confirm_release(first.name)
    harness.machine(3)
    harness.settle()
    assert all(attempt == 1 for _, attempt in second.started_attempts)  # the rest still runs
    for key in list(second.tasks):
        second.tasks[key].status, second.tasks[key].exit_reason = "ended", "mates_gone"
    harness.settle()
    assert len(harness.task_locations(ref)) == 4
    assert {a for w in harness.workers.values() for (n, a), t in w.tasks.items() if t.status != "ended"} == {2}


def test_a_service_preempts_an_array_and_the_array_runs_again() -> None:
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


def test_only_a_job_that_fits_its_teams_guarantee_stops_other_teams() -> None:
    """Twelve teams below their guarantees, with jobs larger than those, once stopped one another's work in turns."""
    harness = ClusterHarness([Team("crew", cpus=8.0, cpus_max=32.0), Team("other", cpus=0.0, cpus_max=32.0)])
    harness.machine(1)
    borrowed = harness.submit(crew="other", voyageS=500.0)
    harness.settle()
    large = harness.submit(ref="j-000002", legs=3)  # 12 CPUs of 8
    harness.settle(6)
    assert len(harness.task_locations(borrowed)) == 2
    harness.cancel(large)
    harness.settle(2)
    own = harness.submit(ref="j-000003", legs=1)
    harness.settle(6)
    assert len(harness.task_locations(own)) == 1
    assert len(harness.task_locations(borrowed)) == 1


def test_full_corrects_the_view() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    worker.cores = 4.0  # less than its type promises
    ref = harness.submit(legs=2)
    harness.settle(3)
    assert len(harness.task_locations(ref)) == 1
    assert harness.cluster.machines[worker.name].cordoned_until > 0
    harness.machine(2)
    harness.settle()
    assert len(harness.task_locations(ref)) == 2


def test_a_notice_moves_what_would_not_finish() -> None:
    harness = ClusterHarness()
    doomed = harness.machine(1, spot=True)
    ref = harness.submit(legs=1, voyageS=55.0)
    harness.settle()
    assert doomed.started_attempts
    doomed.notice_s = 15.0
    other = harness.machine(2)
    harness.settle(3)
    assert other.started_attempts == [(f"{ref}/0", 2)]
    assert all(t.status == "ended" for t in doomed.tasks.values())


def test_strays_are_stopped_before_their_task_is_placed() -> None:
    """An attempt where no record puts it: nothing of the job starts until it is gone."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle()
    ref = harness.submit(legs=1)
    worker._start(AttemptKey(f"{ref}/0", 7))
    harness.report(worker)
    assert (f"{ref}/0", 7) not in worker.tasks or worker.tasks[(f"{ref}/0", 7)].status == "ended"
    harness.settle()
    assert worker.started_attempts == [(f"{ref}/0", 7), (f"{ref}/0", 1)]


def test_a_large_job_is_dropped_in_parts_and_never_comes_back() -> None:
    """Its head goes first; chunks that outlive it are swept up, also by the next leader."""
    harness = ClusterHarness([Team("crew")])
    ref = harness.submit(legs=2500, cores=0.001, voyageS=8.0, memoryGb=0.0)
    worker = harness.machine(1)
    harness.settle(3)
    assert len(worker.started_attempts) == 2500
    harness.now += 9 * SECOND
    harness.report(worker)
    for _ in range(20):
        batch = harness.cluster.writes.take_batch(12)
        status, value = harness.state.commit(harness.transaction(batch))
        assert status == 200
        if f"jobs/{ref}" in batch.sets:
            break  # the leader dies here
        harness.cluster.writes.committed(batch, value["ledgerRev"], harness.now)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert harness.state.list(live_key(ref))[1]["rows"]
    harness.fail_over()
    harness.commit()
    assert harness.cluster.jobs == {}
    assert harness.state.list(live_key(ref))[1]["rows"] == []


def test_a_service_does_not_wait_for_its_own_teams_arrays() -> None:
    """Its team was at its limit with arrays: it waited 60 s, while other teams' work would have been stopped."""
    harness = ClusterHarness([Team("crew", cpus_max=16.0)])
    for number in range(1, 5):
        harness.machine(number)
    array = harness.submit(legs=4, voyageS=300.0)
    harness.settle()
    assert len(harness.task_locations(array)) == 4
    service = harness.submit(ref="j-000002", rig="standing", urgency="production", legs=2, driftwood=False)
    harness.settle()
    assert len(harness.task_locations(service)) == 2
    assert len(harness.task_locations(array)) == 2  # no more than the limit needs
    harness.submit(ref="j-000003", legs=2)  # work of the same priority does not
    harness.settle()
    assert len(harness.task_locations(array)) == 2
    assert harness.cluster.quotas["crew"].cpus <= 16.0
