"""Task locations, usage of teams and unrecorded completions across failovers."""

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
from oatport.peer_codec import PeerArray, PeerMessage, any_reply, decode_reply
from oatport.peer_messages import JobAccepted
from oatport.service.leader_context import EarlierCompletions
from oatport.service.node import Node
from oatport.service.orphaned_job_lookup import MAX_CONCURRENT_LOOKUPS
from oatport.settings import Team, Tuning
from oatport.simulation.state_service import KeyStore
from oatport.simulation.worker import Worker
from oatport.times import SECOND, steady
from tests.cluster_fixture import World, job, node_settings
from tests.test_node_failures import leader, peer_reply

# --- completions without a record -----------------------------------------------------------------------


@pytest.fixture
def state() -> KeyStore:
    return KeyStore(lambda: 0)


def _run_until_task_ends(world: World, worker: Worker) -> None:
    """Advances time, with reports but no writes, until a task of this worker has ended and been reported."""
    for _ in range(400):
        world.now += SECOND // 4
        worker.advance()
        ended = any(held.status == "ended" for held in worker.tasks.values())
        for other in [worker] if ended else world.workers.values():
            world.report(other)
        if ended:
            return
    raise AssertionError("no task ended")


def _job_with_unwritten_completion(world: World) -> tuple[str, Worker]:
    """Submits a job with two tasks on two machines; the first completes, which is reported but not written."""
    workers = [world.machine(1), world.machine(2)]
    world.settle(2)
    ref = world.submit(legs=2, cores=8.0, voyageS=20.0)
    world.settle(3)
    first = next(w for w in workers if f"{ref}/0" in {task for task, _ in w.tasks})
    _run_until_task_ends(world, first)
    assert world.cluster.jobs[ref].completed == {0}
    return ref, first


def test_a_machine_with_the_only_report_of_a_completion_is_not_released() -> None:
    """Drained machines were released at once.

    When the record was delayed and the leader's term ended, the task ran again.
    """
    world = World()
    ref, worker = _job_with_unwritten_completion(world)
    machine = world.cluster.machines[worker.name]
    machine.draining = True
    assert world.fleet.scale_in.machines_to_release(world.now) == []
    assert live_key(ref) in world.cluster.writes.urgent_keys  # the completion is written at once
    world.commit()
    assert world.fleet.scale_in.machines_to_release(world.now) == [machine]


def test_a_release_without_a_response_is_repeated_though_tasks_are_recorded_there() -> None:
    """The machine was given up as silent while the cloud was down.

    The request is repeated here, as no other component repeats it.
    """
    world = World()
    worker = world.machine(1)
    world.settle(2)
    world.submit(legs=1, cores=8.0, voyageS=500.0)
    world.settle(3)
    machine = world.cluster.machines[worker.name]
    assert machine.tasks
    assert world.fleet.scale_in.machines_to_release(world.now) == []
    machine.releasing = True
    assert world.fleet.scale_in.machines_to_release(world.now) == [machine]


def test_completions_on_machines_that_stay_are_batched_with_others_of_their_record() -> None:
    """Completions written at once for every machine used up the write limit that submissions need."""
    world = World()
    ref, worker = _job_with_unwritten_completion(world)
    assert world.fleet.scale_in.machines_to_release(world.now) == []
    assert live_key(ref) in world.cluster.writes.dirty_keys
    assert live_key(ref) not in world.cluster.writes.urgent_keys
    assert not world.cluster.machines[worker.name].releasing


def test_a_completion_in_an_uncommitted_batch_holds_the_machine() -> None:
    world = World()
    ref, worker = _job_with_unwritten_completion(world)
    world.cluster.machines[worker.name].draining = True
    batch = world.cluster.writes.take_batch(world.ops)
    assert live_key(ref) in batch.sets
    assert world.fleet.scale_in.machines_to_release(world.now) == []
    world.cluster.writes.restore_batch(batch)
    assert world.fleet.scale_in.machines_to_release(world.now) == []
    world.commit()
    assert len(world.fleet.scale_in.machines_to_release(world.now)) == 1


def test_a_completion_in_an_oversized_record_is_not_forgotten() -> None:
    """Records that are too large are not written for a while.

    A completion in such a record counted as written, and the agent was told to forget the attempt.
    """
    world = World()
    ref, worker = _job_with_unwritten_completion(world)
    world.cluster.writes.value_limit_lowered = True
    world.cluster.writes.layout.max_value_bytes = 10
    batch = world.cluster.writes.take_batch(world.ops)
    assert live_key(ref) not in batch.sets
    world.cluster.writes.in_flight_keys = set()
    machine = world.cluster.machines[worker.name]
    due_commands, _ = world.cluster.commands.for_machine(machine, world.now, direct=True)
    assert not [command for command in due_commands if isinstance(command, wire.ForgetCommand)]
    assert world.cluster.completions.holds_unwritten(machine)


async def test_a_machine_with_the_only_report_of_a_completion_is_not_given_up(state: KeyStore) -> None:
    """The rule applies to releases for any reason: silent, partitioned, not listed or idle."""
    lead, _, _ = leader(state)
    requests: list[list[str]] = []

    async def release(names: list[str]) -> None:
        requests.append(names)

    lead.cloud_controller.cloud.release = release  # type: ignore[method-assign]
    world = World()
    _, worker = _job_with_unwritten_completion(world)
    lead.cluster = lead.cloud_controller.cluster = world.cluster
    machine = world.cluster.machines[worker.name]
    await lead.cloud_controller.release([machine], "silent")
    assert requests == []
    assert not machine.releasing
    assert worker.name in world.cluster.machines
    world.commit()
    await lead.cloud_controller.release([machine], "silent")
    assert requests == [[worker.name]]
    assert worker.name not in world.cluster.machines


def test_a_completion_on_a_machine_with_a_reclamation_notice_is_written_at_once() -> None:
    world = World()
    workers = [world.machine(1), world.machine(2)]
    world.settle(2)
    ref = world.submit(legs=2, cores=8.0, voyageS=20.0)
    world.settle(3)
    workers[0].reclaimed_at = world.now + 40 * SECOND
    world.report(workers[0])
    world.commit()
    _run_until_task_ends(world, workers[0])
    assert live_key(ref) in world.cluster.writes.urgent_keys


def test_the_next_leader_applies_replicated_completions() -> None:
    """The machine hung after its report and was given up; the task must not start again."""
    world = World()
    ref, worker = _job_with_unwritten_completion(world)
    replicated = world.cluster.completions.to_replicate()
    assert [completion[:2] for completion in replicated] == [(ref, 0)]
    world.refused.add(worker.name)  # none of its heartbeats arrives any more
    world.fail_over()
    assert world.cluster.jobs[ref].tasks[0].phase is TaskPhase.BOUND  # as recorded
    world.cluster.completions.apply(replicated)
    assert world.cluster.jobs[ref].completed == {0}
    world.released(worker.name)
    for _ in range(25):
        world.step(1.0)
    assert world.record(ref) == wire.JobStatus.COMPLETED
    assert not any(task == f"{ref}/0" for w in world.workers.values() for task, _ in w.started_attempts)


def test_replicated_completions_apply_to_pending_tasks_but_not_to_newer_attempts() -> None:
    world = World()
    ref, worker = _job_with_unwritten_completion(world)
    replicated = world.cluster.completions.to_replicate()
    world.refused.add(worker.name)
    world.fail_over()
    world.released(worker.name)
    task = world.cluster.jobs[ref].tasks[0]
    assert task.phase is TaskPhase.PENDING
    assert world.cluster.jobs[ref].pending == 1
    world.cluster.completions.apply(replicated)
    assert world.cluster.jobs[ref].completed == {0}
    assert not world.cluster.jobs[ref].pending
    world.cluster.completions.apply(replicated)  # replicated again
    other = world.submit(legs=1, cores=1.0, voyageS=50.0)
    world.settle(3)
    placed = world.cluster.jobs[other].tasks[0]
    assert placed.phase is TaskPhase.BOUND
    world.cluster.completions.apply([(other, 0, placed.attempt), (other, 0, 7), (other, 5, 1), ("j-999999", 0, 1)])
    assert placed.phase is TaskPhase.BOUND
    assert not world.cluster.jobs[other].completed


def test_completions_are_replicated_until_they_are_recorded() -> None:
    world = World()
    ref, _ = _job_with_unwritten_completion(world)
    assert world.cluster.completions.to_replicate()
    world.commit()
    assert world.cluster.completions.to_replicate() == []
    assert not world.cluster.completions.unwritten
    assert world.cluster.jobs[ref].completed == {0}


def test_a_silent_machine_may_hold_unknown_completions_until_its_lease_ends() -> None:
    world = World()
    _, worker = _job_with_unwritten_completion(world)
    world.refused |= set(world.workers)
    cluster = world.fail_over()
    machine, until = cluster.machines[worker.name], world.now + cluster.lease_us
    assert not cluster.completions.may_report_unknown(machine, world.now, until)
    cluster.completions.earlier_may_be_lost = True
    assert cluster.completions.may_report_unknown(machine, world.now, until)
    assert not cluster.completions.may_report_unknown(machine, until, until)
    world.refused.clear()
    world.report(worker)
    assert not cluster.completions.may_report_unknown(machine, world.now, until)  # it has reported


def test_a_node_stores_the_completions_of_the_newest_leaders() -> None:
    log = CompletionLog()
    assert log.before_token(100) is None
    for token in range(1, MAX_LEADERS + 3):
        log.add(token, [(f"j-{token:06d}", 0, 1)])
    assert log.before_token(3) is None
    assert log.before_token(4) == [("j-000003", 0, 1)]
    assert len(log.before_token(100) or []) == MAX_LEADERS
    log.add(MAX_LEADERS + 2, [("j-000099", 0, 1)])
    assert (log.before_token(100) or [])[:2] == [
        ("j-000099", 0, 1),
        (f"j-{MAX_LEADERS + 2:06d}", 0, 1),
    ]  # newest first
    for number in range(2 * MAX_COMPLETIONS):
        log.add(99, [("j-000001", number, 1)])
    found = log.before_token(100) or []
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
def test_malformed_completions_are_rejected(rows: Any) -> None:
    with pytest.raises((ValueError, TypeError)):
        decode_completions(rows)


class Peer:
    """A peer that gives a fixed answer, as of this version or an earlier one."""

    def __init__(self, answer: Any) -> None:
        self.answer, self.requests = answer, list[Any]()

    async def ask(self, request: PeerMessage, decode: Callable[[PeerArray], Any], *, timeout_us: int = 0) -> Any:
        self.requests.append(request.encode())
        if isinstance(self.answer, Exception):
            raise self.answer
        return decode_reply(self.answer, decode)

    async def notify(self, request: PeerMessage) -> None:
        await self.ask(request, any_reply)


async def test_a_takeover_asks_all_nodes_and_ignores_malformed_or_missing_answers() -> None:
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
    assert not (
        await node.completion_replicator.completions_before(9)
    ).complete  # it may have been leader, and have more completions
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


async def test_a_deposed_leader_replicates_what_it_could_not_record(state: KeyStore) -> None:
    lead, _, _ = leader(state)
    world = World()
    ref, _ = _job_with_unwritten_completion(world)
    lead.cluster = world.cluster
    node = Node(node_settings(), Tuning())
    reached = Peer(["ok"])
    node.peers = {"n1": reached}  # type: ignore[dict-item]
    node.completion_replicator.on_deposed(lead)
    await asyncio.sleep(0.01)
    assert reached.requests == [["ends", lead.token, [(ref, 0, 1)]]]
    assert node.completion_replicator.log.before_token(lead.token + 1) == [(ref, 0, 1)]
    node.background.close()


# --- gangs ----------------------------------------------------------------------------------------------


def test_a_gang_completes_when_one_of_its_tasks_completes() -> None:
    """The machine of the other task failed before it could report its completion: that task was started again alone."""
    world = World()
    workers = [world.machine(1), world.machine(2)]
    world.settle(2)
    ref = world.submit(rig="gang", legs=2, cores=8.0, voyageS=20.0)
    world.settle(3)
    assert len(world.live(ref)) == 2
    _run_until_task_ends(world, workers[0])
    started_task = next(iter(workers[0].started_attempts))[0]
    assert len(world.cluster.jobs[ref].completed) == 1
    world.released(workers[1].name)
    world.machine(3)
    world.settle(6)
    assert world.record(ref) == wire.JobStatus.COMPLETED
    assert not world.workers["vm-000003"].started_attempts
    assert started_task.startswith(ref)


def test_a_leader_that_reads_a_completed_gang_task_starts_none_of_the_others() -> None:
    world = World()
    workers = [world.machine(1), world.machine(2)]
    world.settle(2)
    ref = world.submit(rig="gang", legs=2, cores=8.0, voyageS=20.0)
    world.settle(3)
    _run_until_task_ends(world, workers[0])
    world.commit()
    assert world.record(ref) == wire.JobStatus.QUEUED
    world.refused.add(workers[1].name)
    world.fail_over()
    assert world.cluster.jobs[ref].on_machines == 1  # on its recorded machine, until proven gone
    world.released(workers[1].name)
    world.machine(3)
    world.settle(6)
    assert world.record(ref) == wire.JobStatus.COMPLETED
    assert not world.workers["vm-000003"].started_attempts


# --- teams ----------------------------------------------------------------------------------------------


def _start_unrecorded_attempt(world: World, worker: Worker, ref: str, index: int = 0, attempt: int = 9) -> None:
    worker.commands(
        {
            "helm": worker.token,
            "watch": worker.session,
            "orders": [{"orderKind": "start", "leg": f"{ref}/{index}", "sailing": attempt}],
        }
    )
    world.cluster.heartbeats.receive(wire.decode_heartbeat(worker.report()), world.now, world.now)


def test_orphaned_attempts_count_for_their_team_and_zone() -> None:
    """Orphaned attempts counted for their machine only.

    The team's limit was exceeded by the tasks placed in addition to them.
    """
    world = World([Team("crew", cpus_max=8.0)])
    worker, other = world.machine(1), world.machine(2)
    world.settle(2)
    ref = world.submit(legs=2, cores=4.0, voyageS=500.0)
    world.cluster.jobs[ref].retry_at = world.now + 100 * SECOND  # not placed yet
    _start_unrecorded_attempt(world, worker, ref)
    usage = world.cluster.quotas["crew"]
    assert usage.cpus == 4.0
    assert world.cluster.jobs[ref].tasks_by_zone == {"a": 1}
    second = world.submit(legs=2, cores=4.0, voyageS=500.0)
    world.plan()
    assert world.cluster.jobs[second].on_machines == 1  # of two: the limit is eight CPUs
    assert usage.cpus == 8.0
    world.settle(2)  # the orphaned attempt is stopped
    assert world.cluster.jobs[ref].orphaned_attempt_count == 0
    assert world.cluster.jobs[second].on_machines == 2
    assert usage.cpus == 8.0
    assert other.name in world.cluster.machines


def test_no_team_has_quota_left_while_a_task_of_an_unknown_job_runs() -> None:
    world = World()
    worker = world.machine(1)
    world.settle(2)
    world.jobs["j-000777"] = job("j-000777")
    _start_unrecorded_attempt(world, worker, "j-000777")
    ref = world.submit(legs=1, cores=1.0)
    world.plan()
    assert world.cluster.quotas.unknown_attempts == {"j-000777": 1}
    assert not world.cluster.jobs[ref].on_machines
    world.cluster.orphans.resolve("j-000777", None)  # the job was never submitted
    world.plan()
    assert world.cluster.jobs[ref].on_machines == 1
    world.settle(2)
    assert not world.cluster.machines[worker.name].orphaned_attempts


def test_an_orphaned_attempt_counts_once_its_job_is_known() -> None:
    world = World([Team("crew", cpus_max=8.0)])
    worker = world.machine(1)
    world.settle(2)
    spec = wire.decode_submission(job("j-000777", cores=6.0))
    world.jobs["j-000777"] = job("j-000777", cores=6.0)
    _start_unrecorded_attempt(world, worker, "j-000777")
    world.cluster.job_lifecycle.add("j-000777", spec, 1, world.now)
    assert not world.cluster.quotas.unknown_attempts
    assert world.cluster.quotas["crew"].cpus == 6.0
    assert world.cluster.jobs["j-000777"].orphaned_attempt_count == 1
    world.released(worker.name)
    assert world.cluster.quotas["crew"].cpus == 0.0
    assert world.cluster.jobs["j-000777"].orphaned_attempt_count == 0


async def test_the_team_of_an_unknown_job_is_read(state: KeyStore) -> None:
    lead, client, _ = leader(state)
    world = World([Team("crew", cpus_max=8.0)])
    lead.cluster = world.cluster
    worker = world.machine(1)
    world.settle(2)
    world.jobs["j-000777"] = job("j-000777", cores=6.0)
    record = {"state": "queued", "at": 0, "job": job("j-000777", cores=6.0)}
    state.commit({"if": [], "then": [{"set": job_key("j-000777"), "value": record}]})
    _start_unrecorded_attempt(world, worker, "j-000777")
    client.faults = ["refuse"]
    await lead.orphaned_job_lookup.read("j-000777")
    assert world.cluster.quotas.unknown_attempts  # still unknown
    await lead.orphaned_job_lookup.read("j-000777")
    assert not world.cluster.quotas.unknown_attempts
    assert world.cluster.quotas["crew"].cpus == 6.0
    world.released(worker.name)
    assert world.cluster.quotas["crew"].cpus == 0.0


async def test_lookups_of_unknown_jobs_are_limited_in_number(state: KeyStore) -> None:
    """Reports delayed from before a takeover list many attempts of jobs that have ended.

    One read for each of them at once would use up the request limit.
    """
    lead, client, _ = leader(state)
    world = World()
    lead.cluster = world.cluster
    worker = world.machine(1)
    world.settle(2)
    for number in range(20):
        ref = f"j-{700 + number:06d}"
        world.jobs[ref] = job(ref, cores=0.1, memoryGb=0.1)
        _start_unrecorded_attempt(world, worker, ref)
    lead.orphaned_job_lookup.look_up()
    assert len(lead.orphaned_job_lookup.in_flight) == MAX_CONCURRENT_LOOKUPS
    await asyncio.sleep(0.05)
    assert not world.cluster.quotas.unknown_attempts
    assert client.reads == 20
    assert not lead.orphaned_job_lookup.in_flight


def test_a_start_refused_as_in_use_keeps_the_task_from_other_machines() -> None:
    """`in_use` means that the task is on that machine, so it must not start on another one while it is there."""
    world = World()
    worker = world.machine(1)
    world.settle(2)
    ref = world.submit(legs=1, cores=1.0, voyageS=500.0)
    worker.commands(
        {"helm": worker.token, "watch": 1, "orders": [{"orderKind": "start", "leg": f"{ref}/0", "sailing": 9}]}
    )
    world.plan()
    world.commit()
    world.send()
    other = world.machine(2)
    world.cluster.heartbeats.receive(wire.decode_heartbeat(other.report()), world.now, world.now)
    assert world.cluster.jobs[ref].orphaned_attempt_count == 1
    world.plan()
    assert not world.cluster.jobs[ref].on_machines
    world.settle(3)
    assert len(world.live(ref)) == 1
    assert len(world.live(ref)[f"{ref}/0"]) == 1


# --- commits with unknown outcome, and delayed notifications
# -------------------------------------------------------------


async def test_an_identical_cancellation_by_a_user_does_not_make_a_commit_count_as_applied(state: KeyStore) -> None:
    """Only one key was compared: bindings in the same transaction counted as written, and were started."""
    lead, client, _ = leader(state)
    world = World()
    lead.cluster = lead.commits.cluster = world.cluster
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
    state.commit({"if": [], "then": [{"set": job_key(waiting), "value": cancelled}]})  # by the user
    assert not await lead.commits._was_applied(batch)
    state.commit({"if": [], "then": [{"set": k, "value": v} for k, v in batch.sets.items()]})
    client.faults = ["refuse", "lose"]
    assert await lead.commits._was_applied(batch)


async def test_values_of_two_transactions_do_not_count_as_one_commit(state: KeyStore) -> None:
    lead, _, _ = leader(state)
    sets: dict[str, Any] = {"fleet/000000": {"m": []}, "fleet/000001": {"m": []}}
    for key, value in sets.items():
        state.commit({"if": [], "then": [{"set": key, "value": value}]})
    assert not await lead.commits._was_applied(WriteBatch(conditions=dict.fromkeys(sets, 0), sets=sets))


async def test_a_deleted_job_is_not_added_again_by_an_older_notification(state: KeyStore) -> None:
    """Bindings of the job failed on deleted keys, which cost the leader its leadership."""
    lead, _, _ = leader(state)
    record = {"state": "queued", "at": 0, "job": job("j-000001")}
    lead.job_watch.apply_hint(JobAccepted("j-000001", record, 50))
    found = lead.cluster.jobs["j-000001"]
    batch = WriteBatch(deleted_jobs=[found])
    lead.cluster.writes.committed(batch, 60, steady())
    assert not lead.cluster.jobs
    lead.job_watch.apply_hint(JobAccepted("j-000001", record, 50))
    assert not lead.cluster.jobs
