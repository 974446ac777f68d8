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
from tests.cluster_fixture import World


def test_an_array_runs_and_its_record_says_done() -> None:
    world = World()
    world.machine(1)
    ref = world.submit()
    world.settle()
    assert len(world.live(ref)) == 2
    assert world.record(ref) == wire.JobStatus.QUEUED  # not_done: nothing but the end changes it
    world.settle(31)
    assert world.record(ref) == wire.JobStatus.COMPLETED
    assert world.state.list("live/")[1]["rows"] == []


def test_not_done_before_the_last_task() -> None:
    world = World()
    worker = world.machine(1)
    ref = world.submit(legs=2)
    world.settle()
    worker.tasks[(f"{ref}/0", 1)].completes_at = world.now
    world.settle(3)
    assert world.record(ref) == wire.JobStatus.QUEUED
    worker.tasks[(f"{ref}/1", 1)].completes_at = world.now
    world.settle(3)
    assert world.record(ref) == wire.JobStatus.COMPLETED


def test_no_start_goes_out_before_its_commit() -> None:
    world = World()
    worker = world.machine(1)
    world.settle()
    ref = world.submit()
    world.plan()
    world.send()
    world.report(worker)
    assert worker.started_attempts == []  # claimed, not committed
    world.commit()
    world.send()  # directly, not with the next report
    assert sorted(worker.started_attempts) == [(f"{ref}/0", 1), (f"{ref}/1", 1)]
    row = world.state.get(chunk_key(ref, 0))[1]["value"]["t"]
    assert row == [[1, worker.name], [1, worker.name]]


def test_a_start_is_conditioned_on_the_job_not_being_cancelled() -> None:
    """Cancellation racing a start: whichever commit is first wins."""
    world = World()
    worker = world.machine(1)
    world.settle()
    ref = world.submit()
    world.plan()
    world.cancel(ref, tell=False)  # another node commits it, the leader has not heard
    batch = world.cluster.writes.take_batch(12)
    status, value = world.state.commit(world.transaction(batch))
    assert status == 409
    assert value["failed"] == [f"jobs/{ref}"]
    world.cluster.writes.restore_batch(batch)
    world.cluster.job_lifecycle.cancel(ref, 0)
    world.settle()
    assert worker.started_attempts == []


def test_a_cancelled_job_leaves_its_machines_and_records() -> None:
    world = World()
    worker = world.machine(1)
    ref = world.submit(rig="standing")
    world.settle()
    assert len(world.live(ref)) == 2
    world.cancel(ref)
    world.send()
    assert world.live(ref) == {}
    world.settle()
    assert world.state.list(f"live/{ref}")[1]["rows"] == []
    assert world.record(ref) == wire.JobStatus.CANCELLED
    assert worker.tasks == {}  # forgotten, once the end needs no recording any more


def test_a_cancellation_between_commit_and_start_sends_no_start() -> None:
    world = World()
    worker = world.machine(1)
    world.settle()
    ref = world.submit()
    world.plan()
    world.commit()
    world.cancel(ref)
    world.send()
    world.settle()
    assert worker.started_attempts == []


def test_silence_is_no_proof() -> None:
    """ran_twice: a task on a silent machine is not started elsewhere until the machine is gone."""
    world = World()
    first, second = world.machine(1), world.machine(2)
    ref = world.submit(legs=1, cores=8.0)
    world.settle()
    (place,) = world.live(ref)[f"{ref}/0"]
    silent, other = (first, second) if place == first.name else (second, first)
    world.refused.add(silent.name)
    for _ in range(20):
        world.step(5.0)
    assert other.started_attempts == []
    world.released(silent.name)
    world.settle()
    assert other.started_attempts == [(f"{ref}/0", 2)]


def test_a_later_session_proves_the_tasks_gone() -> None:
    world = World()
    worker = world.machine(1)
    ref = world.submit(legs=1)
    world.settle()
    worker.lease_renewed_at = world.now - 60 * SECOND  # its lease ran out meanwhile
    world.settle()
    assert worker.session == 2
    assert worker.started_attempts == [(f"{ref}/0", 1), (f"{ref}/0", 2)]


def test_an_older_report_changes_nothing() -> None:
    """A report held by a cut is as old as its task list."""
    world = World()
    worker = world.machine(1)
    world.settle(2)
    old = wire.decode_heartbeat(worker.report())
    ref = world.submit(legs=1)
    world.settle()
    task = world.cluster.jobs[ref].tasks[0]
    world.cluster.heartbeats.receive(old, world.now, world.now)
    assert task.phase is TaskPhase.BOUND
    assert task.attempt == 1


def test_an_unanswered_start_is_repeated_and_never_forgotten() -> None:
    """It may land late: after a `forget` it would start the task again."""
    world = World()
    worker = world.machine(1)
    world.settle()
    ref = world.submit(legs=1, voyageS=5.0)
    world.plan()
    world.commit()
    world.refused.add(worker.name)
    world.send()  # lost on the way, as far as the leader knows
    world.refused.clear()
    assert worker.started_attempts == []
    world.settle(2)
    assert worker.started_attempts == [(f"{ref}/0", 1)]
    world.step(6.0)
    world.settle(3)
    assert world.record(ref) == wire.JobStatus.COMPLETED
    key = (f"{ref}/0", 1)
    assert key in worker.tasks  # still listed as ended, so the late copy has no effect
    worker.commands(wire.command_request(world.cluster.fencing_token, worker.session, [wire.StartCommand(*key)]))
    assert worker.tasks[key].status == "ended"
    assert worker.started_attempts == [key]


def test_a_start_in_an_answer_on_its_way_is_not_forgotten_by_direct_commands() -> None:
    """On a slow link they overtook it: the task ran elsewhere when the answer started it once more."""
    world = World()
    worker = world.machine(1)
    world.settle()
    ref = world.submit(legs=1, voyageS=50.0)
    world.plan()
    world.commit()
    cluster, key = world.cluster, (f"{ref}/0", 1)
    report = wire.decode_heartbeat(worker.report())
    machine = cluster.heartbeats.receive(report, world.now, world.now)
    assert machine is not None
    cluster.commands.on_heartbeat_delivered(machine, report)
    late, starts = cluster.commands.for_machine(machine, world.now, direct=False)
    cluster.commands.on_sent(machine, starts, world.now, direct=False)  # on its way
    cluster.machines_to_command.add(machine)
    world.send()
    cluster.tasks.stop(cluster.jobs[ref].tasks[0], 0.0)
    world.send()
    world.commit()
    assert worker.tasks[key].status == "ended"
    assert cluster.jobs[ref].on_machines == 0  # it may run elsewhere
    cluster.machines_to_command.add(machine)
    world.send()
    cluster.commands.on_heartbeat_delivered(machine, report)  # held by a cut, that report comes once more
    cluster.machines_to_command.add(machine)
    world.send()
    worker.commands(wire.command_request(cluster.fencing_token, 1, late))
    assert worker.started_attempts == [key]
    world.report(worker)  # it reports again, so it has had that answer, or dropped it
    cluster.machines_to_command.add(machine)
    world.send()
    assert key not in worker.tasks


def test_an_end_is_committed_before_it_is_forgotten() -> None:
    world = World()
    worker = world.machine(1)
    ref = world.submit(legs=2, voyageS=30.0)
    world.settle()
    key = (f"{ref}/0", 1)
    worker.tasks[key].completes_at = world.now
    world.report(worker)
    assert key in worker.tasks
    world.report(worker)
    assert key in worker.tasks  # not committed yet
    world.commit()
    world.report(worker)
    assert key not in worker.tasks


def test_a_refused_commit_of_an_old_leader() -> None:
    """Writes arrive late: each is conditioned on the leader key's version."""
    world = World()
    world.machine(1)
    world.settle()
    world.submit()
    world.plan()
    late = world.transaction(world.cluster.writes.take_batch(12))
    world.fail_over()
    status, value = world.state.commit(late)
    assert status == 409
    assert LEADER_KEY in value["failed"]


def test_a_claim_made_anew_is_not_covered_by_the_old_commit() -> None:
    """The machine died while the claim's commit was under way and the task was claimed elsewhere."""
    world = World()
    world.machine(1)
    world.settle()
    ref = world.submit(legs=1)
    world.plan()
    batch = world.cluster.writes.take_batch(12)
    _, value = world.state.commit(world.transaction(batch))
    world.released("vm-000001")
    second = world.machine(2)
    world.report(second)
    world.report(second)
    world.cluster.machines[second.name].persisted = True
    world.plan()
    task = world.cluster.jobs[ref].tasks[0]
    assert task.machine is world.cluster.machines[second.name]
    world.cluster.writes.committed(batch, value["ledgerRev"], world.now)
    assert task.phase is TaskPhase.BINDING
    world.send()
    assert second.started_attempts == []


def test_takeover_with_a_silent_machine() -> None:
    """Records say that a task is there: it stays there, and the rest goes on without it."""
    world = World()
    silent, other = world.machine(1, "a"), world.machine(2, "b")
    ref = world.submit(legs=4)
    world.settle()
    world.refused.add(silent.name)
    world.fail_over()
    world.settle()
    more = world.submit(ref="j-000002", legs=1, voyageS=1.0)
    world.settle(40)
    assert len([s for s in other.started_attempts if s[0].startswith(ref)]) == 2
    assert world.record(more) == wire.JobStatus.COMPLETED
    assert world.record(ref) == wire.JobStatus.QUEUED
    assert world.cluster.quotas["crew"].cpus == 8.0  # they count for the team's limit


def test_takeover_judges_absence_only_under_its_own_token() -> None:
    """An old leader's start may still land at a worker that has not seen the new token."""
    world = World()
    worker = world.machine(1)
    world.settle()
    ref = world.submit(legs=1)
    world.plan()
    world.commit()  # the old leader dies here; its start is under way
    late = wire.command_request(world.cluster.fencing_token, worker.session, [wire.StartCommand(f"{ref}/0", 1)])
    world.fail_over()
    world.cluster.heartbeats.receive(wire.decode_heartbeat(worker.report()), world.now, world.now)
    assert world.cluster.jobs[ref].tasks[0].phase is TaskPhase.BOUND
    worker.commands(late)  # lands before the new token does
    world.settle()
    assert worker.started_attempts == [(f"{ref}/0", 1)]  # taken over, not started again
    assert world.cluster.jobs[ref].tasks[0].start_acknowledged


def test_takeover_finds_a_start_that_never_went_out() -> None:
    world = World()
    worker = world.machine(1)
    world.settle()
    ref = world.submit(legs=1)
    world.plan()
    world.commit()
    late = wire.command_request(world.cluster.fencing_token, worker.session, [wire.StartCommand(f"{ref}/0", 1)])
    world.fail_over()
    world.settle()
    assert worker.started_attempts == [(f"{ref}/0", 2)]
    assert worker.commands(late)[0] == 409


def test_takeover_keeps_cancellations_told() -> None:
    world = World()
    world.machine(1)
    ref = world.submit(rig="standing")
    world.settle()
    world.cancel(ref, tell=False)
    world.fail_over()
    world.settle()
    assert world.live(ref) == {}
    assert world.record(ref) == wire.JobStatus.CANCELLED


def test_a_machine_silent_since_the_last_leader_is_judged_sooner() -> None:
    """A machine was cut just before its leader died: the next one waited 7 s before it released it."""
    world = World()
    worker, other = world.machine(1), world.machine(2)
    world.submit(legs=1)
    world.settle()
    world.fail_over()
    world.report(other)
    gone = world.cluster.machines[worker.name]
    machines = list(world.cluster.machines.values())
    assert silent_machines(machines, world.now + 3 * SECOND, 5 * SECOND) == []
    assert silent_machines(machines, world.now + 4 * SECOND, 5 * SECOND) == [gone]


def test_quota_counts_what_is_not_proven_gone() -> None:
    world = World([Team("crew", cpus=8.0, cpus_max=8.0)])
    first = world.machine(1)
    world.submit(legs=2)
    world.settle()
    world.machine(2)
    world.refused.add(first.name)
    second = world.submit(ref="j-000002", legs=2)
    world.settle(8)
    assert world.live(second) == {}
    world.released(first.name)
    world.settle()
    assert sum(len(places) for ref in ("j-000001", second) for places in world.live(ref).values()) == 2


def test_wrong_place_spread_zone_type_and_kind() -> None:
    world = World()
    for number, zone in ((1, "a"), (2, "a"), (3, "b"), (4, "b")):
        world.machine(number, zone)
    ref = world.submit(legs=4, spread=True, rig="standing")
    world.settle()
    zones = [world.workers[p[0]].zone for p in world.live(ref).values()]
    assert sorted(zones) == ["a", "a", "b", "b"]
    world = World()
    spot = world.machine(1, "a", spot=True)
    world.machine(2, "b")
    ref = world.submit(driftwood=False, harbor="a")
    world.settle()
    assert world.live(ref) == {}
    machine = world.cluster.machines[spot.name]
    job = world.cluster.jobs[ref]
    assert not machine_allowed(job, machine)


def test_same_place_holds_while_an_old_task_is_not_proven_gone() -> None:
    world = World()
    first = world.machine(1, "a")
    ref = world.submit(legs=2, samePlace=True)
    world.settle()
    assert len(world.live(ref)) == 2
    world.machine(2, "b")
    first.tasks[(f"{ref}/0", 1)].status, first.tasks[(f"{ref}/0", 1)].exit_reason = "ended", "error"
    world.settle(2)
    world.refused.add(first.name)
    for _ in range(4):
        world.step(10.0)
    assert all(world.workers[p[0]].zone == "a" for p in world.live(ref).values())


def test_a_gang_starts_whole_or_not() -> None:
    world = World()
    first = world.machine(1)
    ref = world.submit(rig="gang", legs=3)
    world.settle()
    assert world.live(ref) == {}
    second = world.machine(2)
    world.settle()
    assert len(world.live(ref)) == 3
    assert {attempt for _, attempt in first.started_attempts + second.started_attempts} == {1}


def test_a_gang_that_lost_a_machine_starts_again_only_when_nothing_is_left() -> None:
    world = World()
    first, second = world.machine(1), world.machine(2)
    ref = world.submit(rig="gang", legs=4)
    world.settle()
    world.refused.add(first.name)
    world.released(first.name)
    world.machine(3)
    world.settle()
    assert all(attempt == 1 for _, attempt in second.started_attempts)  # the rest still runs
    for key in list(second.tasks):
        second.tasks[key].status, second.tasks[key].exit_reason = "ended", "mates_gone"
    world.settle()
    assert len(world.live(ref)) == 4
    assert {a for w in world.workers.values() for (n, a), t in w.tasks.items() if t.status != "ended"} == {2}


def test_a_service_preempts_an_array_and_the_array_runs_again() -> None:
    world = World()
    worker = world.machine(1)
    low = world.submit(legs=2)
    world.settle()
    high = world.submit(ref="j-000002", rig="standing", urgency="production", legs=1, driftwood=False)
    world.settle(3)
    assert len(world.live(high)) == 1
    assert len(world.live(low)) == 1
    assert len(worker.started_attempts) == 3
    world.machine(2)
    world.settle()
    assert len(world.live(low)) == 2


def test_only_a_job_that_fits_its_teams_guarantee_stops_other_teams() -> None:
    """Twelve teams below their guarantees, with jobs larger than those, once stopped one another's work in turns."""
    world = World([Team("crew", cpus=8.0, cpus_max=32.0), Team("other", cpus=0.0, cpus_max=32.0)])
    world.machine(1)
    borrowed = world.submit(crew="other", voyageS=500.0)
    world.settle()
    large = world.submit(ref="j-000002", legs=3)  # 12 CPUs of 8
    world.settle(6)
    assert len(world.live(borrowed)) == 2
    world.cancel(large)
    world.settle(2)
    own = world.submit(ref="j-000003", legs=1)
    world.settle(6)
    assert len(world.live(own)) == 1
    assert len(world.live(borrowed)) == 1


def test_full_corrects_the_view() -> None:
    world = World()
    worker = world.machine(1)
    worker.cores = 4.0  # less than its type promises
    ref = world.submit(legs=2)
    world.settle(3)
    assert len(world.live(ref)) == 1
    assert world.cluster.machines[worker.name].cordoned_until > 0
    world.machine(2)
    world.settle()
    assert len(world.live(ref)) == 2


def test_a_notice_moves_what_would_not_finish() -> None:
    world = World()
    doomed = world.machine(1, spot=True)
    ref = world.submit(legs=1, voyageS=55.0)
    world.settle()
    assert doomed.started_attempts
    doomed.notice_s = 15.0
    other = world.machine(2)
    world.settle(3)
    assert other.started_attempts == [(f"{ref}/0", 2)]
    assert all(t.status == "ended" for t in doomed.tasks.values())


def test_strays_are_stopped_before_their_task_is_placed() -> None:
    """An attempt where no record puts it: nothing of the job starts until it is gone."""
    world = World()
    worker = world.machine(1)
    world.settle()
    ref = world.submit(legs=1)
    worker._start(AttemptKey(f"{ref}/0", 7))
    world.report(worker)
    assert (f"{ref}/0", 7) not in worker.tasks or worker.tasks[(f"{ref}/0", 7)].status == "ended"
    world.settle()
    assert worker.started_attempts == [(f"{ref}/0", 7), (f"{ref}/0", 1)]


def test_a_large_job_is_dropped_in_parts_and_never_comes_back() -> None:
    """Its head goes first; chunks that outlive it are swept up, also by the next leader."""
    world = World([Team("crew")])
    ref = world.submit(legs=2500, cores=0.001, voyageS=8.0, memoryGb=0.0)
    worker = world.machine(1)
    world.settle(3)
    assert len(worker.started_attempts) == 2500
    world.now += 9 * SECOND
    world.report(worker)
    for _ in range(20):
        batch = world.cluster.writes.take_batch(12)
        status, value = world.state.commit(world.transaction(batch))
        assert status == 200
        if f"jobs/{ref}" in batch.sets:
            break  # the leader dies here
        world.cluster.writes.committed(batch, value["ledgerRev"], world.now)
    assert world.record(ref) == wire.JobStatus.COMPLETED
    assert world.state.list(live_key(ref))[1]["rows"]
    world.fail_over()
    world.commit()
    assert world.cluster.jobs == {}
    assert world.state.list(live_key(ref))[1]["rows"] == []


def test_a_service_does_not_wait_for_its_own_teams_arrays() -> None:
    """Its team was at its limit with arrays: it waited 60 s, while other teams' work would have been stopped."""
    world = World([Team("crew", cpus_max=16.0)])
    for number in range(1, 5):
        world.machine(number)
    array = world.submit(legs=4, voyageS=300.0)
    world.settle()
    assert len(world.live(array)) == 4
    service = world.submit(ref="j-000002", rig="standing", urgency="production", legs=2, driftwood=False)
    world.settle()
    assert len(world.live(service)) == 2
    assert len(world.live(array)) == 2  # no more than the limit needs
    world.submit(ref="j-000003", legs=2)  # work of the same priority does not
    world.settle()
    assert len(world.live(array)) == 2
    assert world.cluster.quotas["crew"].cpus <= 16.0
