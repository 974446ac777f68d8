"""Where a task may be, what its team takes, and what is known of its end, across leaders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from oatport import wire
from oatport.clients.http import NoResponseError, RequestNotSentError
from oatport.clients.peer import UnexpectedReplyError
from oatport.control.state.completions import MAX_COMPLETIONS, MAX_LEADERS, CompletionLog, decode_completions
from oatport.control.state.task import TaskPhase
from oatport.control.storage.keys import blocked_key, job_key, live_key
from oatport.control.storage.write_batch import WriteBatch
from oatport.peer_codec import PeerArray, PeerMessage, decode_reply, ignore_reply
from oatport.peer_messages import JobAccepted
from oatport.service.leader_context import EarlierCompletions
from oatport.service.node import Node
from oatport.service.orphaned_job_lookup import MAX_CONCURRENT_LOOKUPS
from oatport.settings import Team, Tuning
from oatport.simulation.state_service import KeyStore
from oatport.simulation.worker import Worker
from oatport.times import SECOND, steady
from tests.cluster_fixture import ClusterHarness, job, node_settings
from tests.test_node_failures import leader, peer_reply

# --- ends that no record says yet -----------------------------------------------------------------------


@pytest.fixture
def state() -> KeyStore:
    return KeyStore(lambda: 0)


def _until_done(harness: ClusterHarness, worker: Worker) -> None:
    """Time passes, all report and nothing is written, until a task of this worker has ended and it has told so."""
    for _ in range(400):
        harness.now += SECOND // 4
        worker.advance()
        ended = any(held.status == "ended" for held in worker.tasks.values())
        for other in [worker] if ended else harness.workers.values():
            harness.report(other)
        if ended:
            return
    raise AssertionError("no task ended")


def _done_unwritten(harness: ClusterHarness) -> tuple[str, Worker]:
    """A job of two tasks on two machines, of which one is done; that is reported, and not written."""
    workers = [harness.machine(1), harness.machine(2)]
    harness.settle(2)
    ref = harness.submit(legs=2, cores=8.0, voyageS=20.0)
    harness.settle(3)
    first = next(w for w in workers if f"{ref}/0" in {task for task, _ in w.tasks})
    _until_done(harness, first)
    assert harness.cluster.jobs[ref].completed == {0}
    return ref, first


def test_a_machine_that_alone_tells_of_an_end_is_not_returned() -> None:
    """Drained machines were returned at once; with the record late and the leader gone the task ran again."""
    harness = ClusterHarness()
    ref, worker = _done_unwritten(harness)
    machine = harness.cluster.machines[worker.name]
    machine.draining = True
    assert harness.fleet.scale_in.machines_to_release(harness.now) == []
    assert live_key(ref) in harness.cluster.writes.urgent_keys  # and it is written at once
    harness.commit()
    assert harness.fleet.scale_in.machines_to_release(harness.now) == [machine]


def test_a_release_without_an_answer_is_repeated_though_tasks_are_recorded_there() -> None:
    """It was given up as silent while the cloud was down: nobody else asks again."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle(2)
    harness.submit(legs=1, cores=8.0, voyageS=500.0)
    harness.settle(3)
    machine = harness.cluster.machines[worker.name]
    assert machine.tasks
    assert harness.fleet.scale_in.machines_to_release(harness.now) == []
    machine.releasing = True
    assert harness.fleet.scale_in.machines_to_release(harness.now) == [machine]


def test_ends_on_machines_that_stay_wait_for_others_of_their_record() -> None:
    """Written at once for every machine, they used up the changes that submissions wait for."""
    harness = ClusterHarness()
    ref, worker = _done_unwritten(harness)
    assert harness.fleet.scale_in.machines_to_release(harness.now) == []
    assert live_key(ref) in harness.cluster.writes.dirty_keys
    assert live_key(ref) not in harness.cluster.writes.urgent_keys
    assert not harness.cluster.machines[worker.name].releasing


def test_an_end_under_way_to_its_record_holds_the_machine_as_well() -> None:
    harness = ClusterHarness()
    ref, worker = _done_unwritten(harness)
    harness.cluster.machines[worker.name].draining = True
    batch = harness.cluster.writes.take_batch(harness.ops)
    assert live_key(ref) in batch.sets
    assert harness.fleet.scale_in.machines_to_release(harness.now) == []
    harness.cluster.writes.restore_batch(batch)
    assert harness.fleet.scale_in.machines_to_release(harness.now) == []
    harness.commit()
    assert len(harness.fleet.scale_in.machines_to_release(harness.now)) == 1


def test_an_end_held_back_for_its_size_is_not_forgotten() -> None:
    """Records that are too large are not written for a while: such an end counted as written, and was forgotten."""
    harness = ClusterHarness()
    ref, worker = _done_unwritten(harness)
    harness.cluster.writes.is_value_limit_lowered = True
    harness.cluster.writes.layout.max_value_bytes = 10
    batch = harness.cluster.writes.take_batch(harness.ops)
    assert live_key(ref) not in batch.sets
    harness.cluster.writes.in_flight_keys = set()
    machine = harness.cluster.machines[worker.name]
    orders, _ = harness.cluster.commands.for_machine(machine, harness.now, direct=True)
    assert not [order for order in orders if isinstance(order, wire.ForgetCommand)]
    assert harness.cluster.completions.has_unwritten_completions(machine)


async def test_nothing_that_alone_tells_of_an_end_is_given_up(state: KeyStore) -> None:
    """Whatever the reason: silent, cut off, not listed, idle."""
    lead, _, _ = leader(state)
    asked: list[list[str]] = []

    async def release(names: list[str]) -> None:
        asked.append(names)

    lead.cloud_controller.cloud.release = release  # type: ignore[method-assign]
    harness = ClusterHarness()
    _, worker = _done_unwritten(harness)
    lead.cluster = lead.cloud_controller.cluster = harness.cluster
    machine = harness.cluster.machines[worker.name]
    await lead.cloud_controller.release([machine], "silent")
    assert asked == []
    assert not machine.releasing
    assert worker.name in harness.cluster.machines
    harness.commit()
    await lead.cloud_controller.release([machine], "silent")
    assert asked == [[worker.name]]
    assert worker.name not in harness.cluster.machines


def test_what_a_machine_with_a_notice_tells_is_written_at_once() -> None:
    harness = ClusterHarness()
    workers = [harness.machine(1), harness.machine(2)]
    harness.settle(2)
    ref = harness.submit(legs=2, cores=8.0, voyageS=20.0)
    harness.settle(3)
    workers[0].reclaimed_at = harness.now + 40 * SECOND
    harness.report(workers[0])
    harness.commit()
    _until_done(harness, workers[0])
    assert live_key(ref) in harness.cluster.writes.urgent_keys


def test_the_next_leader_goes_by_ends_that_it_is_told() -> None:
    """The machine hung after its report and was given up: the task is not started again."""
    harness = ClusterHarness()
    ref, worker = _done_unwritten(harness)
    ends = harness.cluster.completions.to_replicate()
    assert [end[:2] for end in ends] == [(ref, 0)]
    harness.unreachable_machines.add(worker.name)  # it is not heard any more
    harness.fail_over()
    assert harness.cluster.jobs[ref].tasks[0].phase is TaskPhase.BOUND  # as recorded
    harness.cluster.completions.apply(ends)
    assert harness.cluster.jobs[ref].completed == {0}
    harness.confirm_release(worker.name)
    for _ in range(25):
        harness.step(1.0)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert not any(task == f"{ref}/0" for w in harness.workers.values() for task, _ in w.started_attempts)


def test_told_ends_are_taken_for_pending_tasks_too_and_not_for_newer_attempts() -> None:
    harness = ClusterHarness()
    ref, worker = _done_unwritten(harness)
    ends = harness.cluster.completions.to_replicate()
    harness.unreachable_machines.add(worker.name)
    harness.fail_over()
    harness.confirm_release(worker.name)
    task = harness.cluster.jobs[ref].tasks[0]
    assert task.phase is TaskPhase.PENDING
    assert harness.cluster.jobs[ref].pending == 1
    harness.cluster.completions.apply(ends)
    assert harness.cluster.jobs[ref].completed == {0}
    assert not harness.cluster.jobs[ref].pending
    harness.cluster.completions.apply(ends)  # told again
    other = harness.submit(legs=1, cores=1.0, voyageS=50.0)
    harness.settle(3)
    placed = harness.cluster.jobs[other].tasks[0]
    assert placed.phase is TaskPhase.BOUND
    harness.cluster.completions.apply([(other, 0, placed.attempt), (other, 0, 7), (other, 5, 1), ("j-999999", 0, 1)])
    assert placed.phase is TaskPhase.BOUND
    assert not harness.cluster.jobs[other].completed


def test_ends_are_told_until_they_are_recorded() -> None:
    harness = ClusterHarness()
    ref, _ = _done_unwritten(harness)
    assert harness.cluster.completions.to_replicate()
    harness.commit()
    assert harness.cluster.completions.to_replicate() == []
    assert not harness.cluster.completions.unwritten
    assert harness.cluster.jobs[ref].completed == {0}


def test_where_nobody_knows_of_ends_a_machine_never_heard_of_has_its_lease() -> None:
    harness = ClusterHarness()
    _, worker = _done_unwritten(harness)
    harness.unreachable_machines |= set(harness.workers)
    cluster = harness.fail_over()
    machine, until = cluster.machines[worker.name], harness.now + cluster.lease_us
    assert not cluster.completions.may_hold_unknown_completions(machine, harness.now, until)
    cluster.completions.may_miss_earlier_completions = True
    assert cluster.completions.may_hold_unknown_completions(machine, harness.now, until)
    assert not cluster.completions.may_hold_unknown_completions(machine, until, until)
    harness.unreachable_machines.clear()
    harness.report(worker)
    assert not cluster.completions.may_hold_unknown_completions(machine, harness.now, until)  # it has told


def test_a_node_keeps_what_the_newest_leaders_told() -> None:
    ends = CompletionLog()
    assert ends.before_token(100) is None
    for token in range(1, MAX_LEADERS + 3):
        ends.add(token, [(f"j-{token:06d}", 0, 1)])
    assert ends.before_token(3) is None
    assert ends.before_token(4) == [("j-000003", 0, 1)]
    assert len(ends.before_token(100) or []) == MAX_LEADERS
    ends.add(MAX_LEADERS + 2, [("j-000099", 0, 1)])
    assert (ends.before_token(100) or [])[:2] == [
        ("j-000099", 0, 1),
        (f"j-{MAX_LEADERS + 2:06d}", 0, 1),
    ]  # the newest first
    for number in range(2 * MAX_COMPLETIONS):
        ends.add(99, [("j-000001", number, 1)])
    found = ends.before_token(100) or []
    assert len(found) == MAX_COMPLETIONS
    assert found[0] == ("j-000001", 2 * MAX_COMPLETIONS - 1, 1)


@pytest.mark.parametrize(
    "rows",
    [
        None,
        5,
        [5],
        [["j-000001", 0]],
        [["j-000001", "0", 1]],
        [["j-000001", 0, 1.5]],
        [[1, 0, 1]],
        [["j-000001", True, 1]],
        [["j-000001", 0, 1]] * 3000,
    ],
)
def test_what_are_no_ends_proves_nothing(rows: Any) -> None:
    with pytest.raises((ValueError, TypeError)):
        decode_completions(rows)


class Peer:
    """Another node, of this version or an earlier one."""

    def __init__(self, answer: Any) -> None:
        self.answer, self.asked = answer, list[Any]()

    async def ask(self, request: PeerMessage, decode: Callable[[PeerArray], Any], *, timeout_us: int = 0) -> Any:
        self.asked.append(request.encode())
        if isinstance(self.answer, Exception):
            raise self.answer
        return decode_reply(self.answer, decode)

    async def notify(self, request: PeerMessage) -> None:
        await self.ask(request, ignore_reply)


async def test_a_takeover_asks_all_nodes_and_strange_or_missing_answers_are_none() -> None:
    node = Node(node_settings(), Tuning())
    node.peers = {
        name: Peer(answer)
        for name, answer in {  # type: ignore[assignment, misc]
            "old": UnexpectedReplyError("status 400"),
            "strange": ["ended", [["x"]]],
            "other": ["seen", 1, True],
            "short": ["ended"],
            "down": RequestNotSentError("refused"),
        }.items()
    }
    assert await node.completion_replicator.completions_before(9) == EarlierCompletions([], complete=False)
    node.peers["n3"] = Peer(["ended", [["j-000001", 2, 1]]])  # type: ignore[assignment]
    assert await node.completion_replicator.completions_before(9) == EarlierCompletions(
        [("j-000001", 2, 1)], complete=True
    )
    assert await peer_reply(node, ["ends", 4, [["j-000002", 0, 1]]]) == ["ok"]
    earlier = await node.completion_replicator.completions_before(9)
    assert set(earlier.completions) == {("j-000001", 2, 1), ("j-000002", 0, 1)}
    assert earlier.complete
    node.peers["cut"] = Peer(NoResponseError("timeout"))  # type: ignore[assignment]
    assert not (await node.completion_replicator.completions_before(9)).complete  # it may have led, and know more
    node.election.learn_leader("n3", 8)
    assert (await node.completion_replicator.completions_before(9)).complete
    node.election.learn_leader("cut", 9)
    node.election.learn_leader("n0", 10)  # this node itself
    earlier = await node.completion_replicator.completions_before(11)
    assert not earlier.complete
    assert len(earlier.completions) == 2
    assert await peer_reply(node, ["ended", 4]) == ["ended", None]
    assert await peer_reply(node, ["ended", 5]) == ["ended", [("j-000002", 0, 1)]]
    for message in (["ends", "4", []], ["ends", 4, [[]]], ["ended", None]):
        with pytest.raises((ValueError, TypeError)):
            await peer_reply(node, message)


async def test_a_deposed_leader_tells_what_it_could_not_record(state: KeyStore) -> None:
    lead, _, _ = leader(state)
    harness = ClusterHarness()
    ref, _ = _done_unwritten(harness)
    lead.cluster = harness.cluster
    node = Node(node_settings(), Tuning())
    reached = Peer(["ok"])
    node.peers = {"n1": reached}  # type: ignore[dict-item]
    node.completion_replicator.on_deposed(lead)
    await asyncio.sleep(0.01)
    assert reached.asked == [["ends", lead.token, [(ref, 0, 1)]]]
    assert node.completion_replicator.log.before_token(lead.token + 1) == [(ref, 0, 1)]
    node.background.close()


# --- gangs ----------------------------------------------------------------------------------------------


def test_a_gang_of_which_one_task_is_done_is_done_whole() -> None:
    """The other's machine died before it could tell: that task was started again by itself."""
    harness = ClusterHarness()
    workers = [harness.machine(1), harness.machine(2)]
    harness.settle(2)
    ref = harness.submit(rig="gang", legs=2, cores=8.0, voyageS=20.0)
    harness.settle(3)
    assert len(harness.task_locations(ref)) == 2
    _until_done(harness, workers[0])
    told = next(iter(workers[0].started_attempts))[0]
    assert len(harness.cluster.jobs[ref].completed) == 1
    harness.confirm_release(workers[1].name)
    harness.machine(3)
    harness.settle(6)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert not harness.workers["vm-000003"].started_attempts
    assert told.startswith(ref)


def test_a_leader_that_reads_of_a_done_task_of_a_gang_starts_none_of_the_others() -> None:
    harness = ClusterHarness()
    workers = [harness.machine(1), harness.machine(2)]
    harness.settle(2)
    ref = harness.submit(rig="gang", legs=2, cores=8.0, voyageS=20.0)
    harness.settle(3)
    _until_done(harness, workers[0])
    harness.commit()
    assert harness.record(ref) == wire.JobStatus.QUEUED
    harness.unreachable_machines.add(workers[1].name)
    harness.fail_over()
    assert harness.cluster.jobs[ref].placed_task_count == 1  # where it is recorded, until that is disproved
    harness.confirm_release(workers[1].name)
    harness.machine(3)
    harness.settle(6)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert not harness.workers["vm-000003"].started_attempts


# --- teams ----------------------------------------------------------------------------------------------


def _start_behind_its_back(harness: ClusterHarness, worker: Worker, ref: str, index: int = 0, attempt: int = 9) -> None:
    worker.commands(
        {
            "helm": worker.token,
            "watch": worker.session,
            "orders": [{"orderKind": "start", "leg": f"{ref}/{index}", "sailing": attempt}],
        }
    )
    harness.cluster.heartbeats.receive(wire.decode_heartbeat(worker.report()), harness.now, harness.now)


def test_attempts_that_no_record_knows_count_for_their_team_and_zone() -> None:
    """They took room of their machine alone: the team's limit was passed with what was placed beside them."""
    harness = ClusterHarness([Team("crew", cpus_max=8.0)])
    worker, other = harness.machine(1), harness.machine(2)
    harness.settle(2)
    ref = harness.submit(legs=2, cores=4.0, voyageS=500.0)
    harness.cluster.jobs[ref].retry_at = harness.now + 100 * SECOND  # not placed yet
    _start_behind_its_back(harness, worker, ref)
    use = harness.cluster.quotas["crew"]
    assert use.cpus == 4.0
    assert harness.cluster.jobs[ref].tasks_by_zone == {"a": 1}
    second = harness.submit(legs=2, cores=4.0, voyageS=500.0)
    harness.plan()
    assert harness.cluster.jobs[second].placed_task_count == 1  # of two: the limit is eight CPUs
    assert use.cpus == 8.0
    harness.settle(2)  # it was told to stop
    assert harness.cluster.jobs[ref].orphaned_attempt_count == 0
    assert harness.cluster.jobs[second].placed_task_count == 2
    assert use.cpus == 8.0
    assert other.name in harness.cluster.machines


def test_while_a_task_of_an_unknown_job_runs_no_team_has_room() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle(2)
    harness.jobs["j-000777"] = job("j-000777")
    _start_behind_its_back(harness, worker, "j-000777")
    ref = harness.submit(legs=1, cores=1.0)
    harness.plan()
    assert harness.cluster.quotas.attempts_of_unknown_jobs == {"j-000777": 1}
    assert not harness.cluster.jobs[ref].placed_task_count
    harness.cluster.orphans.resolve("j-000777", None)  # nobody ever submitted it
    harness.plan()
    assert harness.cluster.jobs[ref].placed_task_count == 1
    harness.settle(2)
    assert not harness.cluster.machines[worker.name].orphaned_attempts


def test_an_attempt_of_a_job_that_comes_to_be_known_counts_from_then() -> None:
    harness = ClusterHarness([Team("crew", cpus_max=8.0)])
    worker = harness.machine(1)
    harness.settle(2)
    spec = wire.decode_submission(job("j-000777", cores=6.0))
    harness.jobs["j-000777"] = job("j-000777", cores=6.0)
    _start_behind_its_back(harness, worker, "j-000777")
    harness.cluster.job_lifecycle.add("j-000777", spec, 1, harness.now)
    assert not harness.cluster.quotas.attempts_of_unknown_jobs
    assert harness.cluster.quotas["crew"].cpus == 6.0
    assert harness.cluster.jobs["j-000777"].orphaned_attempt_count == 1
    harness.confirm_release(worker.name)
    assert harness.cluster.quotas["crew"].cpus == 0.0
    assert harness.cluster.jobs["j-000777"].orphaned_attempt_count == 0


async def test_the_team_of_an_unknown_attempt_is_read(state: KeyStore) -> None:
    lead, client, _ = leader(state)
    harness = ClusterHarness([Team("crew", cpus_max=8.0)])
    lead.cluster = harness.cluster
    worker = harness.machine(1)
    harness.settle(2)
    harness.jobs["j-000777"] = job("j-000777", cores=6.0)
    record = {"state": "queued", "at": 0, "job": job("j-000777", cores=6.0)}
    state.commit({"if": [], "then": [{"set": job_key("j-000777"), "value": record}]})
    _start_behind_its_back(harness, worker, "j-000777")
    client.faults = ["refuse"]
    await lead.orphaned_job_lookup.read("j-000777")
    assert harness.cluster.quotas.attempts_of_unknown_jobs  # it is still not known
    await lead.orphaned_job_lookup.read("j-000777")
    assert not harness.cluster.quotas.attempts_of_unknown_jobs
    assert harness.cluster.quotas["crew"].cpus == 6.0
    harness.confirm_release(worker.name)
    assert harness.cluster.quotas["crew"].cpus == 0.0


async def test_unknown_jobs_are_looked_up_a_few_at_a_time(state: KeyStore) -> None:
    """Copies from before a takeover tell of many that are over: a read for each at once would use up the requests."""
    lead, client, _ = leader(state)
    harness = ClusterHarness()
    lead.cluster = harness.cluster
    worker = harness.machine(1)
    harness.settle(2)
    for number in range(20):
        ref = f"j-{700 + number:06d}"
        harness.jobs[ref] = job(ref, cores=0.1, memoryGb=0.1)
        _start_behind_its_back(harness, worker, ref)
    lead.orphaned_job_lookup.look_up()
    assert len(lead.orphaned_job_lookup.in_flight) == MAX_CONCURRENT_LOOKUPS
    await asyncio.sleep(0.05)
    assert not harness.cluster.quotas.attempts_of_unknown_jobs
    assert client.reads == 20
    assert not lead.orphaned_job_lookup.in_flight


def test_an_attempt_that_refuses_another_keeps_its_task_from_other_machines() -> None:
    """`in_use` says that the task is there: it doesn't start elsewhere meanwhile."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle(2)
    ref = harness.submit(legs=1, cores=1.0, voyageS=500.0)
    worker.commands(
        {"helm": worker.token, "watch": 1, "orders": [{"orderKind": "start", "leg": f"{ref}/0", "sailing": 9}]}
    )
    harness.plan()
    harness.commit()
    harness.send()
    other = harness.machine(2)
    harness.cluster.heartbeats.receive(wire.decode_heartbeat(other.report()), harness.now, harness.now)
    assert harness.cluster.jobs[ref].orphaned_attempt_count == 1
    harness.plan()
    assert not harness.cluster.jobs[ref].placed_task_count
    harness.settle(3)
    assert len(harness.task_locations(ref)) == 1
    assert len(harness.task_locations(ref)[f"{ref}/0"]) == 1


# --- unsure commits, and what is told late -------------------------------------------------------------


async def test_a_users_cancellation_in_the_same_words_does_not_make_a_commit_applied(state: KeyStore) -> None:
    """One key was compared: claims that went along counted as written, and were started."""
    lead, client, _ = leader(state)
    harness = ClusterHarness()
    lead.cluster = lead.commits.cluster = harness.cluster
    claimed, waiting = "j-000001", "j-000002"
    record = {"state": "queued", "at": 0, "job": job(waiting)}
    version = state.commit(
        {
            "if": [],
            "then": [
                {"set": job_key(waiting), "value": record},
                {"set": blocked_key(waiting), "value": record},
                {"set": job_key(claimed), "value": {"state": "queued"}},
                {"set": live_key(claimed), "value": {}},
            ],
        },
    )[1]["ledgerRev"]
    cancelled = {**record, "state": wire.JobStatus.CANCELLED}
    batch = WriteBatch(
        conditions={job_key(waiting): version, job_key(claimed): version, live_key(claimed): version},
        sets={job_key(waiting): cancelled, live_key(claimed): {"t": [[1, "vm-000001"]]}},
    )
    client.faults = ["late"]
    state.commit({"if": [], "then": [{"set": job_key(waiting), "value": cancelled}]})  # by its user
    assert not await lead.commits._was_applied(batch)
    state.commit({"if": [], "then": [{"set": k, "value": v} for k, v in batch.sets.items()]})
    client.faults = ["refuse", "lose"]
    assert await lead.commits._was_applied(batch)


async def test_two_transactions_are_not_taken_for_one(state: KeyStore) -> None:
    lead, _, _ = leader(state)
    sets: dict[str, Any] = {"fleet/000000": {"m": []}, "fleet/000001": {"m": []}}
    for key, value in sets.items():
        state.commit({"if": [], "then": [{"set": key, "value": value}]})
    assert not await lead.commits._was_applied(WriteBatch(conditions=dict.fromkeys(sets, 0), sets=sets))


async def test_a_job_that_is_over_is_not_taken_up_from_an_older_change(state: KeyStore) -> None:
    """Its claims failed on keys that were gone, which cost the lead."""
    lead, _, _ = leader(state)
    record = {"state": "queued", "at": 0, "job": job("j-000001")}
    lead.job_watch.apply_hint(JobAccepted("j-000001", record, 50))
    found = lead.cluster.jobs["j-000001"]
    batch = WriteBatch(deleted_jobs=[found])
    lead.cluster.writes.committed(batch, 60, steady())
    assert not lead.cluster.jobs
    lead.job_watch.apply_hint(JobAccepted("j-000001", record, 50))
    assert not lead.cluster.jobs
