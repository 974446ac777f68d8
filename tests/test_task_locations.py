"""Tests task locations, usage of teams and unwritten completions across failovers."""

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

# --- unwritten completions -------------------------------------------------------------------------------


@pytest.fixture
def state() -> KeyStore:
    """Returns an empty state service."""
    return KeyStore(lambda: 0)


def _run_until_task_ends(harness: ClusterHarness, worker: Worker) -> None:
    """Advances the clock without writes until a task of this worker has ended and a heartbeat has reported that."""
    for _ in range(400):
        harness.now += SECOND // 4
        worker.advance()
        ended = any(attempt.status == "ended" for attempt in worker.tasks.values())
        for other in [worker] if ended else harness.workers.values():
            harness.report(other)
        if ended:
            return
    raise AssertionError("no task ended")


def _job_with_unwritten_completion(harness: ClusterHarness) -> tuple[str, Worker]:
    """Returns a job with a completion that is reported but not written, and the worker that reported it.

    The job has two tasks on two machines.
    """
    workers = [harness.machine(1), harness.machine(2)]
    harness.settle(2)
    ref = harness.submit(legs=2, cores=8.0, voyageS=20.0)
    harness.settle(3)
    first = next(w for w in workers if f"{ref}/0" in {task for task, _ in w.tasks})
    _run_until_task_ends(harness, first)
    assert harness.cluster.jobs[ref].completed == {0}
    return ref, first


def test_a_machine_with_the_only_report_of_a_completion_is_not_released() -> None:
    """Guards against drained machines that are released at once.

    If the write was delayed until the leader's term ended, the completed task ran again.
    """
    harness = ClusterHarness()
    ref, worker = _job_with_unwritten_completion(harness)
    machine = harness.cluster.machines[worker.name]
    machine.draining = True
    assert harness.fleet.scale_in.machines_to_release(harness.now) == []
    assert live_key(ref) in harness.cluster.writes.urgent_keys  # the completion is written at once
    harness.commit()
    assert harness.fleet.scale_in.machines_to_release(harness.now) == [machine]


def test_a_release_without_a_response_is_repeated_though_tasks_are_recorded_there() -> None:
    """The machine was released as silent while the cloud was down.

    Scale-in repeats the release request, as no other component does.
    """
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


def test_completions_on_machines_that_stay_are_batched_with_others_of_their_record() -> None:
    """Guards against completions written at once for every machine, which used up the write limit of submissions."""
    harness = ClusterHarness()
    ref, worker = _job_with_unwritten_completion(harness)
    assert harness.fleet.scale_in.machines_to_release(harness.now) == []
    assert live_key(ref) in harness.cluster.writes.dirty_keys
    assert live_key(ref) not in harness.cluster.writes.urgent_keys
    assert not harness.cluster.machines[worker.name].releasing


def test_a_completion_in_an_uncommitted_batch_holds_the_machine() -> None:
    harness = ClusterHarness()
    ref, worker = _job_with_unwritten_completion(harness)
    harness.cluster.machines[worker.name].draining = True
    batch = harness.cluster.writes.take_batch(harness.max_batch_operations)
    assert live_key(ref) in batch.sets
    assert harness.fleet.scale_in.machines_to_release(harness.now) == []
    harness.cluster.writes.restore_batch(batch)
    assert harness.fleet.scale_in.machines_to_release(harness.now) == []
    harness.commit()
    assert len(harness.fleet.scale_in.machines_to_release(harness.now)) == 1


def test_a_completion_in_an_oversized_record_is_not_forgotten() -> None:
    """Guards against attempts that are forgotten before their completion is written.

    Oversized records are not written for a while, but a completion in such a record counted as written.
    """
    harness = ClusterHarness()
    ref, worker = _job_with_unwritten_completion(harness)
    harness.cluster.writes.is_value_limit_lowered = True
    harness.cluster.writes.layout.max_value_bytes = 10
    batch = harness.cluster.writes.take_batch(harness.max_batch_operations)
    assert live_key(ref) not in batch.sets
    harness.cluster.writes.in_flight_keys = set()
    machine = harness.cluster.machines[worker.name]
    due_commands, _ = harness.cluster.commands.for_response(machine)
    assert not [command for command in due_commands if isinstance(command, wire.ForgetCommand)]
    assert harness.cluster.completions.has_unwritten_completions(machine)


async def test_a_machine_with_the_only_report_of_a_completion_is_not_released_for_any_reason(state: KeyStore) -> None:
    """The rule applies to releases of silent, partitioned, unlisted and idle machines."""
    lead, _, _ = leader(state)
    requests: list[list[str]] = []

    async def release(names: list[str]) -> None:
        requests.append(names)

    lead.cloud_controller.cloud.release = release  # type: ignore[method-assign]
    harness = ClusterHarness()
    _, worker = _job_with_unwritten_completion(harness)
    lead.cluster = lead.cloud_controller.cluster = harness.cluster
    machine = harness.cluster.machines[worker.name]
    await lead.cloud_controller.release([machine], "silent")
    assert requests == []
    assert not machine.releasing
    assert worker.name in harness.cluster.machines
    harness.commit()
    await lead.cloud_controller.release([machine], "silent")
    assert requests == [[worker.name]]
    assert worker.name not in harness.cluster.machines


def test_a_completion_on_a_machine_with_a_reclamation_notice_is_written_at_once() -> None:
    harness = ClusterHarness()
    workers = [harness.machine(1), harness.machine(2)]
    harness.settle(2)
    ref = harness.submit(legs=2, cores=8.0, voyageS=20.0)
    harness.settle(3)
    workers[0].reclaimed_at = harness.now + 40 * SECOND
    harness.report(workers[0])
    harness.commit()
    _run_until_task_ends(harness, workers[0])
    assert live_key(ref) in harness.cluster.writes.urgent_keys


def test_the_next_leader_applies_replicated_completions() -> None:
    """The machine hangs after its report and is released; the task must not start again."""
    harness = ClusterHarness()
    ref, worker = _job_with_unwritten_completion(harness)
    replicated = harness.cluster.completions.to_replicate()
    assert [completion[:2] for completion in replicated] == [(ref, 0)]
    harness.unreachable_machines.add(worker.name)  # none of its heartbeats arrives
    harness.fail_over()
    assert harness.cluster.jobs[ref].tasks[0].phase is TaskPhase.BOUND  # as recorded
    harness.cluster.completions.apply(replicated)
    assert harness.cluster.jobs[ref].completed == {0}
    harness.confirm_release(worker.name)
    for _ in range(25):
        harness.step(1.0)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert not any(task == f"{ref}/0" for w in harness.workers.values() for task, _ in w.started_attempts)


def test_replicated_completions_apply_to_pending_tasks_but_not_to_newer_attempts() -> None:
    harness = ClusterHarness()
    ref, worker = _job_with_unwritten_completion(harness)
    replicated = harness.cluster.completions.to_replicate()
    harness.unreachable_machines.add(worker.name)
    harness.fail_over()
    harness.confirm_release(worker.name)
    task = harness.cluster.jobs[ref].tasks[0]
    assert task.phase is TaskPhase.PENDING
    assert harness.cluster.jobs[ref].pending == 1
    harness.cluster.completions.apply(replicated)
    assert harness.cluster.jobs[ref].completed == {0}
    assert not harness.cluster.jobs[ref].pending
    harness.cluster.completions.apply(replicated)  # replicated again
    other = harness.submit(legs=1, cores=1.0, voyageS=50.0)
    harness.settle(3)
    placed = harness.cluster.jobs[other].tasks[0]
    assert placed.phase is TaskPhase.BOUND
    harness.cluster.completions.apply([(other, 0, placed.attempt), (other, 0, 7), (other, 5, 1), ("j-999999", 0, 1)])
    assert placed.phase is TaskPhase.BOUND
    assert not harness.cluster.jobs[other].completed


def test_completions_are_replicated_until_they_are_recorded() -> None:
    harness = ClusterHarness()
    ref, _ = _job_with_unwritten_completion(harness)
    assert harness.cluster.completions.to_replicate()
    harness.commit()
    assert harness.cluster.completions.to_replicate() == []
    assert not harness.cluster.completions.unwritten
    assert harness.cluster.jobs[ref].completed == {0}


def test_a_silent_machine_may_hold_unknown_completions_until_its_lease_ends() -> None:
    harness = ClusterHarness()
    _, worker = _job_with_unwritten_completion(harness)
    harness.unreachable_machines |= set(harness.workers)
    cluster = harness.fail_over()
    machine, until = cluster.machines[worker.name], harness.now + cluster.lease_us
    assert not cluster.completions.may_hold_unknown_completions(machine, harness.now, until)
    cluster.completions.may_miss_earlier_completions = True
    assert cluster.completions.may_hold_unknown_completions(machine, harness.now, until)
    assert not cluster.completions.may_hold_unknown_completions(machine, until, until)
    harness.unreachable_machines.clear()
    harness.report(worker)
    assert not cluster.completions.may_hold_unknown_completions(machine, harness.now, until)  # it has reported


def test_a_node_stores_the_completions_of_the_newest_leaders() -> None:
    log = CompletionLog()
    assert log.before_token(100) is None
    for token in range(1, MAX_LEADERS + 3):
        log.add(token, [(f"j-{token:06d}", 0, 1)])
    assert log.before_token(3) is None
    assert log.before_token(4) == [("j-000003", 0, 1)]
    assert len(log.before_token(100) or []) == MAX_LEADERS
    log.add(MAX_LEADERS + 2, [("j-000099", 0, 1)])
    # The newest completions come first.
    assert (log.before_token(100) or [])[:2] == [("j-000099", 0, 1), (f"j-{MAX_LEADERS + 2:06d}", 0, 1)]
    for number in range(2 * MAX_COMPLETIONS):
        log.add(99, [("j-000001", number, 1)])
    completions = log.before_token(100) or []
    assert len(completions) == MAX_COMPLETIONS
    assert completions[0] == ("j-000001", 2 * MAX_COMPLETIONS - 1, 1)


def test_restored_completions_are_of_any_leader_bounded_and_held_once() -> None:
    log = CompletionLog()
    for _ in range(2):
        log.restore([("j-000001", number, 1) for number in range(MAX_COMPLETIONS)])
    log.restore([("j-000002", 0, 1)])
    assert log.before_token(1) == [("j-000001", number, 1) for number in range(MAX_COMPLETIONS)]
    log.add(1, [("j-000003", 0, 1)])
    assert (log.before_token(2) or [])[:2] == [("j-000003", 0, 1), ("j-000001", 0, 1)]
    assert len(log.before_token(2) or []) == MAX_COMPLETIONS


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
    """A peer with a fixed reply, or a fixed error, of this version or an earlier one."""

    def __init__(self, reply: Any) -> None:
        self.reply, self.requests = reply, list[Any]()

    async def ask(self, request: PeerMessage, decode: Callable[[PeerArray], Any], *, timeout_us: int = 0) -> Any:
        """Records the request, and returns the decoded reply or raises the error."""
        self.requests.append(request.encode())
        if isinstance(self.reply, Exception):
            raise self.reply
        return decode_reply(self.reply, decode)

    async def notify(self, request: PeerMessage) -> None:
        """Sends a message and ignores the reply."""
        await self.ask(request, ignore_reply)


class PeerNode:
    """A peer that is another `Node` of the test; it is unreachable while `node` is None."""

    def __init__(self) -> None:
        self.node: Node | None = None

    async def ask(self, request: PeerMessage, decode: Callable[[PeerArray], Any], *, timeout_us: int = 0) -> Any:
        """Returns the node's decoded reply. Raises NoResponseError while it is unreachable."""
        if self.node is None:
            raise NoResponseError("unreachable")
        return decode_reply(await peer_reply(self.node, request.encode()), decode)


def _node_with_peer(peer: Node | None) -> tuple[Node, PeerNode]:
    """Returns a process that has just begun, and its connection to its only peer."""
    node, connection = Node(node_settings(), Tuning()), PeerNode()
    connection.node = peer
    node.peers = {"n1": connection}  # type: ignore[dict-item]
    return node, connection


async def test_completions_survive_nodes_that_restart_one_after_the_other() -> None:
    """Guards against replicas that are lost with the process that holds them, one process after the other."""
    holder, _ = _node_with_peer(None)
    await peer_reply(holder, ["ends", 4, [["j-000001", 2, 1], ["j-000002", 0, 1]]])
    for _ in range(3):
        restarted, connection = _node_with_peer(holder)
        await restarted.completion_replicator.restore()
        connection.node = None  # the only other node with the completions ends
        holder = restarted
    earlier = await holder.completion_replicator.completions_before(9)
    assert set(earlier.completions) == {("j-000001", 2, 1), ("j-000002", 0, 1)}


async def test_a_restarted_node_gets_the_completions_that_the_leader_received_before(state: KeyStore) -> None:
    harness = ClusterHarness()
    ref, _ = _job_with_unwritten_completion(harness)
    lead, _, _ = leader(state)
    lead.cluster = harness.cluster
    leading_node, _ = _node_with_peer(None)
    leading_node.election.leader = lead
    restarted, _ = _node_with_peer(leading_node)
    await restarted.completion_replicator.restore()
    assert restarted.completion_replicator.log.before_token(lead.token + 1) == [(ref, 0, 1)]


async def test_a_restarted_node_asks_an_unreachable_peer_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("oatport.service.completion_replication.RESTORE_RETRY_INTERVAL", 0)
    holder, _ = _node_with_peer(None)
    await peer_reply(holder, ["ends", 4, [["j-000001", 2, 1]]])
    restarted, connection = _node_with_peer(None)
    restoring = asyncio.create_task(restarted.completion_replicator.restore())
    for _ in range(3):
        await asyncio.sleep(0)
    connection.node = holder
    await restoring
    assert restarted.completion_replicator.log.before_token(9) == [("j-000001", 2, 1)]


async def test_nothing_is_restored_from_nodes_that_know_of_no_leader() -> None:
    """A restored but empty log would claim that no completion can be missing."""
    restarted, _ = _node_with_peer(_node_with_peer(None)[0])
    await restarted.completion_replicator.restore()
    assert await restarted.completion_replicator.completions_before(9) == EarlierCompletions([], complete=False)
    old, _ = _node_with_peer(None)
    old.peers["n1"] = Peer(UnexpectedReplyError("status 400"))  # type: ignore[assignment]
    await old.completion_replicator.restore()
    assert old.completion_replicator.log.before_token(9) is None


async def test_a_new_leader_requests_completions_from_all_nodes_and_ignores_malformed_or_missing_replies() -> None:
    node = Node(node_settings(), Tuning())
    node.peers = {
        name: Peer(reply)
        for name, reply in {  # type: ignore[assignment, misc]
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
    # The unreachable node may have led, and may have more completions.
    assert not (await node.completion_replicator.completions_before(9)).complete
    node.election.observe_leader("n3", 8)
    assert (await node.completion_replicator.completions_before(9)).complete
    node.election.observe_leader("cut", 9)
    node.election.observe_leader("n0", 10)  # this node itself
    earlier = await node.completion_replicator.completions_before(11)
    assert not earlier.complete
    assert len(earlier.completions) == 2
    assert await peer_reply(node, ["ended", 4]) == ["ended", None]
    assert await peer_reply(node, ["ended", 5]) == ["ended", [("j-000002", 0, 1)]]
    for message in (["ends", "4", []], ["ends", 4, [[]]], ["ended", None]):
        with pytest.raises((ValueError, TypeError)):
            await peer_reply(node, message)


async def test_a_deposed_leader_replicates_its_unwritten_completions(state: KeyStore) -> None:
    lead, _, _ = leader(state)
    harness = ClusterHarness()
    ref, _ = _job_with_unwritten_completion(harness)
    lead.cluster = harness.cluster
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
    """Guards against a gang task that is started again alone because its machine failed before it reported."""
    harness = ClusterHarness()
    workers = [harness.machine(1), harness.machine(2)]
    harness.settle(2)
    ref = harness.submit(rig="gang", legs=2, cores=8.0, voyageS=20.0)
    harness.settle(3)
    assert len(harness.task_locations(ref)) == 2
    _run_until_task_ends(harness, workers[0])
    started_task = next(iter(workers[0].started_attempts))[0]
    assert len(harness.cluster.jobs[ref].completed) == 1
    harness.confirm_release(workers[1].name)
    harness.machine(3)
    harness.settle(6)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert not harness.workers["vm-000003"].started_attempts
    assert started_task.startswith(ref)


def test_a_leader_that_reads_a_completed_gang_task_starts_none_of_the_others() -> None:
    harness = ClusterHarness()
    workers = [harness.machine(1), harness.machine(2)]
    harness.settle(2)
    ref = harness.submit(rig="gang", legs=2, cores=8.0, voyageS=20.0)
    harness.settle(3)
    _run_until_task_ends(harness, workers[0])
    harness.commit()
    assert harness.record(ref) == wire.JobStatus.QUEUED
    harness.unreachable_machines.add(workers[1].name)
    harness.fail_over()
    assert harness.cluster.jobs[ref].placed_task_count == 1  # on its recorded machine, until that is released
    harness.confirm_release(workers[1].name)
    harness.machine(3)
    harness.settle(6)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert not harness.workers["vm-000003"].started_attempts


# --- teams ----------------------------------------------------------------------------------------------


def _start_unrecorded_attempt(
    harness: ClusterHarness, worker: Worker, ref: str, index: int = 0, attempt: int = 9
) -> None:
    worker.commands(
        {
            "helm": worker.token,
            "watch": worker.session,
            "orders": [{"orderKind": "start", "leg": f"{ref}/{index}", "sailing": attempt}],
        }
    )
    harness.cluster.heartbeats.receive(wire.decode_heartbeat(worker.report()), harness.now, harness.now)


def test_orphaned_attempts_count_towards_their_team_and_zone() -> None:
    """Guards against orphaned attempts that count towards the usage of their machine only.

    The tasks that were placed in addition to them exceeded the limit of the team.
    """
    harness = ClusterHarness([Team("crew", cpus_max=8.0)])
    worker, other = harness.machine(1), harness.machine(2)
    harness.settle(2)
    ref = harness.submit(legs=2, cores=4.0, voyageS=500.0)
    harness.cluster.jobs[ref].retry_at = harness.now + 100 * SECOND  # not placed yet
    _start_unrecorded_attempt(harness, worker, ref)
    usage = harness.cluster.quotas["crew"]
    assert usage.cpus == 4.0
    assert harness.cluster.jobs[ref].tasks_by_zone == {"a": 1}
    second = harness.submit(legs=2, cores=4.0, voyageS=500.0)
    harness.plan()
    assert harness.cluster.jobs[second].placed_task_count == 1  # of two: the limit is eight CPUs
    assert usage.cpus == 8.0
    harness.settle(2)  # the orphaned attempt is stopped
    assert harness.cluster.jobs[ref].orphaned_attempt_count == 0
    assert harness.cluster.jobs[second].placed_task_count == 2
    assert usage.cpus == 8.0
    assert other.name in harness.cluster.machines


def test_no_task_is_placed_while_an_attempt_of_an_unknown_job_runs() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle(2)
    harness.jobs["j-000777"] = job("j-000777")
    _start_unrecorded_attempt(harness, worker, "j-000777")
    ref = harness.submit(legs=1, cores=1.0)
    harness.plan()
    assert harness.cluster.quotas.attempts_of_unknown_jobs == {"j-000777": 1}
    assert not harness.cluster.jobs[ref].placed_task_count
    harness.cluster.orphans.resolve("j-000777", None)  # the job was never submitted
    harness.plan()
    assert harness.cluster.jobs[ref].placed_task_count == 1
    harness.settle(2)
    assert not harness.cluster.machines[worker.name].orphaned_attempts


def test_an_orphaned_attempt_counts_towards_its_team_when_its_job_becomes_known() -> None:
    harness = ClusterHarness([Team("crew", cpus_max=8.0)])
    worker = harness.machine(1)
    harness.settle(2)
    spec = wire.decode_submission(job("j-000777", cores=6.0))
    harness.jobs["j-000777"] = job("j-000777", cores=6.0)
    _start_unrecorded_attempt(harness, worker, "j-000777")
    harness.cluster.job_lifecycle.add("j-000777", spec, 1, harness.now)
    assert not harness.cluster.quotas.attempts_of_unknown_jobs
    assert harness.cluster.quotas["crew"].cpus == 6.0
    assert harness.cluster.jobs["j-000777"].orphaned_attempt_count == 1
    harness.confirm_release(worker.name)
    assert harness.cluster.quotas["crew"].cpus == 0.0
    assert harness.cluster.jobs["j-000777"].orphaned_attempt_count == 0


async def test_the_team_of_an_unknown_job_is_read(state: KeyStore) -> None:
    lead, client, _ = leader(state)
    harness = ClusterHarness([Team("crew", cpus_max=8.0)])
    lead.cluster = harness.cluster
    worker = harness.machine(1)
    harness.settle(2)
    harness.jobs["j-000777"] = job("j-000777", cores=6.0)
    record = {"state": "queued", "at": 0, "job": job("j-000777", cores=6.0)}
    state.commit({"if": [], "then": [{"set": job_key("j-000777"), "value": record}]})
    _start_unrecorded_attempt(harness, worker, "j-000777")
    client.faults = ["refuse"]
    await lead.orphaned_job_lookup.read("j-000777")
    assert harness.cluster.quotas.attempts_of_unknown_jobs  # still unknown
    await lead.orphaned_job_lookup.read("j-000777")
    assert not harness.cluster.quotas.attempts_of_unknown_jobs
    assert harness.cluster.quotas["crew"].cpus == 6.0
    harness.confirm_release(worker.name)
    assert harness.cluster.quotas["crew"].cpus == 0.0


async def test_lookups_of_unknown_jobs_are_limited_in_number(state: KeyStore) -> None:
    """Delayed heartbeats from before a failover list many attempts of jobs that have ended.

    Reading all those jobs at once would use up the request limit.
    """
    lead, client, _ = leader(state)
    harness = ClusterHarness()
    lead.cluster = harness.cluster
    worker = harness.machine(1)
    harness.settle(2)
    for number in range(20):
        ref = f"j-{700 + number:06d}"
        harness.jobs[ref] = job(ref, cores=0.1, memoryGb=0.1)
        _start_unrecorded_attempt(harness, worker, ref)
    lead.orphaned_job_lookup.look_up()
    assert len(lead.orphaned_job_lookup.in_flight) == MAX_CONCURRENT_LOOKUPS
    await asyncio.sleep(0.05)
    assert not harness.cluster.quotas.attempts_of_unknown_jobs
    assert client.reads == 20
    assert not lead.orphaned_job_lookup.in_flight


def test_a_start_refused_as_in_use_keeps_the_task_from_other_machines() -> None:
    """`in_use` means that the machine runs the task, which must not start on another machine in that time."""
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.settle(2)
    ref = harness.submit(legs=1, cores=1.0, voyageS=500.0)
    harness.plan()
    harness.commit()
    sent_at, machine_commands = harness.now, harness.cluster.commands
    report = wire.decode_heartbeat(worker.report())
    machine = harness.cluster.heartbeats.receive(report, harness.now, harness.now)
    assert machine is not None
    commands, starts = machine_commands.for_response(machine)
    machine_commands.on_starts_sent(machine, starts)
    # While the response is in flight, an earlier leader's command arrives.
    worker.commands(wire.command_request(worker.token, 1, [wire.StartCommand(f"{ref}/0", 9)]))
    worker.on_heartbeat_response(sent_at, 1, wire.heartbeat_response(worker.token, commands))
    harness.cluster.heartbeats.receive(wire.decode_heartbeat(worker.report()), harness.now, harness.now)
    other = harness.machine(2)
    harness.cluster.heartbeats.receive(wire.decode_heartbeat(other.report()), harness.now, harness.now)
    assert harness.cluster.jobs[ref].orphaned_attempt_count == 1
    harness.plan()
    assert not harness.cluster.jobs[ref].placed_task_count
    harness.settle(3)
    assert len(harness.task_locations(ref)) == 1
    assert len(harness.task_locations(ref)[f"{ref}/0"]) == 1


# --- commits with unknown outcome, and delayed notifications --------------------------------------------


async def test_an_identical_cancellation_by_a_user_does_not_make_a_commit_count_as_applied(state: KeyStore) -> None:
    """Guards against a comparison of one key: bindings in the same transaction counted as written, and were started."""
    lead, client, _ = leader(state)
    harness = ClusterHarness()
    lead.cluster = lead.commits.cluster = harness.cluster
    bound, blocked = "j-000001", "j-000002"
    record = {"state": "queued", "at": 0, "job": job(blocked)}
    version = state.commit(
        {
            "if": [],
            "then": [
                {"set": job_key(blocked), "value": record},
                {"set": blocked_key(blocked), "value": record},
                {"set": job_key(bound), "value": {"state": "queued"}},
                {"set": live_key(bound), "value": {}},
            ],
        },
    )[1]["ledgerRev"]
    cancelled = {**record, "state": wire.JobStatus.CANCELLED}
    batch = WriteBatch(
        conditions={job_key(blocked): version, job_key(bound): version, live_key(bound): version},
        sets={job_key(blocked): cancelled, live_key(bound): {"t": [[1, "vm-000001"]]}},
    )
    client.faults = ["late"]
    state.commit({"if": [], "then": [{"set": job_key(blocked), "value": cancelled}]})  # by the user
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
    """Guards against bindings that fail on deleted keys, by which a leader lost its leadership."""
    lead, _, _ = leader(state)
    record = {"state": "queued", "at": 0, "job": job("j-000001")}
    lead.job_watch.apply_hint(JobAccepted("j-000001", record, 50))
    loaded = lead.cluster.jobs["j-000001"]
    batch = WriteBatch(deleted_jobs=[loaded])
    lead.cluster.writes.committed(batch, 60, steady())
    assert not lead.cluster.jobs
    lead.job_watch.apply_hint(JobAccepted("j-000001", record, 50))
    assert not lead.cluster.jobs
