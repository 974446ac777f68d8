"""Tests that all that is written and sent keeps PROTOCOL's size limits, and that a refused record stops no other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from oatport import wire
from oatport.api.submission_batcher import SubmissionBatcher, SubmitOutcome
from oatport.clients.http import RequestRefusedError
from oatport.clients.state import Applied
from oatport.control.leadership.fencing_tokens import FencingTokens
from oatport.control.limits.rate_limiter import AdaptiveRateLimiter
from oatport.control.scaling.capacity_slot import CapacitySlot
from oatport.control.state.capacity import task_slots_when_empty
from oatport.control.state.task import TaskPhase
from oatport.control.storage.keys import blocked_key, job_key, live_key
from oatport.control.storage.write_batch import WriteBatch
from oatport.peer_messages import JobProgressUpdate
from oatport.service.group_commit import REFUSED_RETRY_INTERVAL
from oatport.service.job_progress_publisher import split_update
from oatport.service.leader import Leader
from oatport.service.node import MAX_PEER_BODY_BYTES
from oatport.settings import StateLimits, Team
from oatport.simulation.plan_builder import LEASE_S
from oatport.simulation.runner import RunRequest, run_scenario
from oatport.simulation.size_limit_scenario import size_limit_plan
from oatport.simulation.state_service import KeyStore
from oatport.sizes import json_size
from oatport.times import CLOCK, SECOND, steady
from tests.cluster_fixture import TYPES, ClusterHarness, HarnessClock
from tests.test_client_consistency import job as submission
from tests.test_client_consistency import make_api
from tests.test_node_failures import leader

STATE_LIMITS = StateLimits(rps=150.0, write_rps=60.0, value_kb=32.0, txn_ops=16)
UNLIMITED_TEAM = [Team("crew")]


def harness_with_blocked_jobs(dependents: int, dependencies: int) -> tuple[ClusterHarness, list[str], list[str]]:
    """Returns a cluster in which each of some jobs waits for all of some others; the ids of both."""
    harness = ClusterHarness(UNLIMITED_TEAM, STATE_LIMITS)
    harness.enable_record_parts()
    first = [harness.submit(legs=1, cores=0.01, memoryGb=0.01, voyageS=1.0) for _ in range(dependencies)]
    waiting = [harness.submit(legs=1, cores=0.01, memoryGb=0.01, voyageS=1.0, waitsOn=first) for _ in range(dependents)]
    return harness, first, waiting


# --- transactions -----------------------------------------------------------------------------------


def test_cancelled_jobs_with_long_descriptions_are_recorded_in_transactions_of_at_most_64_kib() -> None:
    """Guards against a transaction of the leader that is refused for its size, which each later leader repeated."""
    harness, first, waiting = harness_with_blocked_jobs(dependents=10, dependencies=900)
    harness.cancel(first[0])
    harness.cluster.dependencies.cancel_dependents(first[0])
    harness.commit()
    assert {harness.record(ref) for ref in waiting} == {wire.JobStatus.CANCELLED}
    assert not [ref for ref in waiting if blocked_key(ref) in harness.state.items]


def test_released_jobs_with_long_descriptions_are_bound_in_transactions_of_at_most_64_kib() -> None:
    """Guards against first bindings that are refused for their size when many jobs are released together."""
    harness, first, waiting = harness_with_blocked_jobs(dependents=10, dependencies=900)
    for number in range(1, 4):
        harness.machine(number)
    harness.settle(2)
    for ref in first:
        harness.cluster.dependencies.on_completion_recorded(ref, harness.now)
    harness.settle(4)
    assert {harness.record(ref) for ref in waiting} == {wire.JobStatus.COMPLETED}


def test_a_record_with_its_prerequisites_is_split_where_it_exceeds_64_kib() -> None:
    """Guards against a job whose records fit into the operations of a transaction, but not into its bytes."""
    harness = ClusterHarness(UNLIMITED_TEAM, STATE_LIMITS)
    harness.enable_record_parts()
    for number in range(1, 7):
        harness.machine(number)
    first = [harness.submit(legs=1, cores=0.01, memoryGb=0.01) for _ in range(2)]
    names = ["m8", *(f"kind-{number:059d}" for number in range(63))]
    refs = [
        harness.submit(legs=300, cores=0.01, memoryGb=0.01, berthKinds=names, waitsOn=first, voyageS=3.0)
        for _ in range(6)
    ]
    harness.settle(2)
    for ref in first:
        harness.cluster.dependencies.on_completion_recorded(ref, harness.now)
    harness.settle(8)
    assert all(len(harness.cluster.jobs[ref].completed) > 100 for ref in refs if ref in harness.cluster.jobs)


# --- refused records --------------------------------------------------------------------------------


def refuse_key(state: KeyStore, refused_key: str) -> Callable[[], None]:
    """Has a state service refuse each transaction that sets a key; the returned function ends that."""
    original = state.commit

    def commit(body: dict[str, Any]) -> tuple[int, Any]:
        if any(operation.get("set") == refused_key for operation in body["then"]):
            return 400, {"error": "value too large"}
        return original(body)

    def end() -> None:
        state.commit = original  # type: ignore[method-assign]

    state.commit = commit  # type: ignore[method-assign]
    return end


def lead_cluster(harness: ClusterHarness) -> tuple[Leader, list[str]]:
    """Returns a leader that writes for the harness's cluster state, and the reasons for which it steps down.

    From then on the calling test and its leader have the harness's clock.
    """
    CLOCK.set(HarnessClock(harness))
    lead, _, leading_node = leader(harness.state)
    lead.cluster = lead.commits.cluster = harness.cluster
    harness.cluster.tokens = FencingTokens(lead.token)
    for _ in range(2):  # the workers learn the new token, and then report under it
        harness.now += SECOND
        for worker in harness.workers.values():
            harness.report(worker)
    return lead, leading_node.step_down_reasons


async def commit_all(lead: Leader, harness: ClusterHarness, batches: int = 40) -> None:
    """Commits the next batches."""
    for _ in range(batches):
        batch = harness.cluster.writes.take_batch(harness.max_batch_operations)
        if batch.operation_count:
            await lead.commits.commit(batch)


async def test_a_job_whose_record_is_refused_stops_no_other_job_under_any_leader() -> None:
    """Guards against a leader that steps down for a record which each of its successors has to write as well."""
    harness = ClusterHarness(UNLIMITED_TEAM, STATE_LIMITS)
    for number in range(1, 4):
        harness.machine(number)
    harness.enable_record_parts()
    harness.settle(2)
    refused = harness.submit(legs=2, cores=1.0)
    for _ in range(3):
        harness.fail_over()
        others = [harness.submit(legs=1, cores=1.0) for _ in range(3)]
        end_refusal = refuse_key(harness.state, live_key(refused))
        lead, step_down_reasons = lead_cluster(harness)
        harness.plan()
        assert harness.cluster.jobs[refused].placed_task_count == 2
        await commit_all(lead, harness)
        assert not step_down_reasons
        assert not harness.cluster.jobs[refused].placed_task_count  # its capacity is free for others
        assert all(task.phase is TaskPhase.BOUND for ref in others for task in harness.cluster.jobs[ref].tasks.values())
        harness.plan()
        assert not harness.cluster.jobs[refused].placed_task_count  # not placed again at once
        end_refusal()


async def test_a_record_that_no_transaction_can_hold_stops_no_other_record() -> None:
    """Guards against a record that is never refused, as it is never sent, and that all others wait for."""
    harness = ClusterHarness(UNLIMITED_TEAM, STATE_LIMITS)
    harness.enable_record_parts()
    harness.machine(1)
    harness.settle(2)
    lead, step_down_reasons = lead_cluster(harness)
    harness.cluster.writes.singleton_records["large"] = lambda: {"text": "x" * wire.MAX_TRANSACTION_BYTES}
    harness.cluster.writes.urgent_keys["large"] = 0
    ref = harness.submit(legs=2)
    harness.plan()
    await commit_all(lead, harness)
    assert "large" not in harness.state.items
    assert "t" in harness.state.items[live_key(ref)][0]
    assert not harness.cluster.writes.has_urgent_writes()
    assert step_down_reasons == []


async def test_a_withheld_record_is_written_once_the_state_service_takes_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an accepted job that never runs because its record was refused for a while."""
    harness = ClusterHarness(UNLIMITED_TEAM, STATE_LIMITS)
    harness.enable_record_parts()
    harness.machine(1)
    harness.settle(2)
    monkeypatch.setattr("oatport.service.group_commit.steady", lambda: harness.now)
    lead, step_down_reasons = lead_cluster(harness)
    ref = harness.submit(legs=1)
    end_refusal = refuse_key(harness.state, live_key(ref))
    harness.plan()
    await commit_all(lead, harness)
    end_refusal()
    assert harness.cluster.jobs[ref].retry_at == harness.now + REFUSED_RETRY_INTERVAL
    harness.settle(3)
    assert not harness.cluster.jobs[ref].placed_task_count
    harness.step(REFUSED_RETRY_INTERVAL / SECOND)
    harness.settle(2)
    assert harness.task_locations(ref)
    assert not step_down_reasons


async def test_a_commit_that_was_applied_before_its_repetition_is_refused_leaves_the_leader_deciding() -> None:
    """Guards against a leader that takes its last commit for unanswered, and so places nothing any more."""
    state = KeyStore(lambda: 0)
    lead, client, leading_node = leader(state)
    lead.cluster.writes.layout.should_split_records = True
    key = live_key("j-000001")
    batch = WriteBatch(conditions={key: 0}, sets={key: {"t": [[1]]}})
    client.faults = ["lose"]  # applied, but without an answer
    applied_commit = client.commit

    async def commit_and_then_refuse(*arguments: Any) -> Any:
        try:
            return await applied_commit(*arguments)
        finally:
            refuse_key(state, key)

    client.commit = commit_and_then_refuse  # type: ignore[method-assign]
    await lead.commits.commit(batch)
    assert lead.cluster.writes.versions[key] == state.revision
    assert not lead.commits.is_stuck(steady() + 60 * SECOND)
    assert leading_node.step_down_reasons == []


async def test_a_refused_completion_keeps_its_task_on_record_until_it_is_written() -> None:
    """Guards against a completion that is neither recorded nor pending, whose task would run again."""
    harness = ClusterHarness(UNLIMITED_TEAM, STATE_LIMITS)
    harness.enable_record_parts()
    harness.machine(1)
    harness.settle(2)
    ref = harness.submit(legs=1, voyageS=5.0)
    other = harness.submit(legs=1, cores=0.5, voyageS=5.0)
    harness.settle(2)
    end_refusal = refuse_key(harness.state, job_key(ref))
    lead, step_down_reasons = lead_cluster(harness)
    harness.now += 6 * SECOND
    for worker in harness.workers.values():
        harness.report(worker)
    await commit_all(lead, harness)
    assert not step_down_reasons
    assert harness.record(other) == wire.JobStatus.COMPLETED
    assert harness.record(ref) == wire.JobStatus.QUEUED
    machine = next(iter(harness.cluster.machines.values()))
    assert harness.cluster.completions.has_unwritten_completions(machine)
    end_refusal()


async def test_a_job_that_is_cancelled_while_its_completion_is_withheld_stops_no_other_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a completion whose condition failed again and again, and with it each transaction it was in."""
    harness = ClusterHarness(UNLIMITED_TEAM, STATE_LIMITS)
    harness.enable_record_parts()
    harness.machine(1)
    harness.settle(2)
    monkeypatch.setattr("oatport.service.group_commit.steady", lambda: harness.now)
    ref = harness.submit(legs=1, voyageS=5.0)
    harness.settle(2)
    end_refusal = refuse_key(harness.state, job_key(ref))
    lead, step_down_reasons = lead_cluster(harness)
    harness.now += 6 * SECOND
    for worker in harness.workers.values():
        harness.report(worker)
    await commit_all(lead, harness)
    end_refusal()
    harness.cancel(ref)
    harness.settle(3)
    assert ref not in harness.cluster.jobs
    harness.now += 2 * REFUSED_RETRY_INTERVAL
    harness.settle(2)
    other = harness.submit(legs=1, voyageS=5.0)
    harness.plan()
    harness.commit()  # fails if a transaction does
    assert (harness.record(ref), step_down_reasons) == (wire.JobStatus.CANCELLED, [])
    assert harness.cluster.jobs[other].placed_task_count == 1


async def test_a_submission_that_the_state_service_refuses_stops_no_other_one() -> None:
    """Guards against a batch of submissions that is refused for one of them, as often as they are retried."""

    class State:
        async def commit(self, conditions: dict[str, int], sets: dict[str, Any], *, timeout_us: int) -> Applied:
            if job_key("j-000002") in sets:
                raise RequestRefusedError(400)
            await asyncio.sleep(0)
            return Applied(7)

    batcher = SubmissionBatcher(State(), 12, AdaptiveRateLimiter(60.0, 3))  # type: ignore[arg-type]
    results = await asyncio.gather(*(batcher.submit(f"j-00000{n}", {"job": {}}) for n in range(1, 5)))
    outcomes = [result.outcome for result in results]
    assert outcomes == [SubmitOutcome.CREATED, SubmitOutcome.REFUSED, SubmitOutcome.CREATED, SubmitOutcome.CREATED]


async def test_submissions_are_committed_in_transactions_of_at_most_64_kib() -> None:
    """Guards against a batch whose size is counted as CBOR, while the state service counts JSON."""
    sizes: list[int] = []

    class State:
        async def commit(self, conditions: dict[str, int], sets: dict[str, Any], *, timeout_us: int) -> Applied:
            request = wire.transaction_request(conditions, sets, [], None)
            sizes.append(json_size(request))
            await asyncio.sleep(0)
            return Applied(7)

    batcher = SubmissionBatcher(State(), 16, AdaptiveRateLimiter(600.0, 3))  # type: ignore[arg-type]
    record = {"job": {"text": "\x01" * 1_500}}  # six times as long as JSON
    await asyncio.gather(*(batcher.submit(f"j-{n:06d}", record) for n in range(24)))
    assert len(sizes) > 1
    assert max(sizes) <= wire.MAX_TRANSACTION_BYTES


async def test_a_description_that_fits_no_value_is_refused_unless_the_job_was_accepted() -> None:
    """Guards against a job that is turned away for ever with 503, or accepted without room for its tasks' record."""
    state = KeyStore(lambda: 0)
    api, client, _ = make_api(state)
    texts = {"hull": "\x01" * 200, "cargo": "\x01" * 200}  # 2.4 KB as JSON
    assert (await api.submit(submission(**texts))).status == 201
    api._max_record_bytes = 2048
    assert (await api.submit(submission(**texts))).status == 200  # accepted under larger limits
    refused = await api.submit(submission("j-000002", **texts))
    assert (refused.status, client.faults) == (400, [])


# --- the models refuse what PROTOCOL says is refused ------------------------------------------------


def test_the_simulated_state_service_refuses_what_exceeds_a_limit() -> None:
    state = KeyStore(lambda: 0, value_limit=32 * 1024, ops_limit=16)
    large = [{"set": f"key-{n}", "value": "x" * 30_000} for n in range(3)]
    assert state.commit({"then": large[:2]})[0] == 200
    assert state.commit({"then": large}) == (400, {"error": "transaction too large"})
    for key in ("", "a b", "k" * 201):
        assert state.commit({"then": [{"set": key, "value": 1}]})[0] == 400
    assert state.commit({"if": [{"path": f"k{n}", "entryRev": 0} for n in range(65)]})[0] == 400
    assert [state.grant_lease(duration_ms)[0] for duration_ms in (99, 100, 600_000, 600_001)] == [400, 200, 200, 400]
    for n in range(40):
        state.commit({"then": [{"set": f"page/{n:02d}", "value": "x" * 30_000}]})
    listed = state.list("page/")[1]
    assert listed["hasNext"]
    assert json_size(listed["rows"]) <= 512 * 1024


# --- messages to and from workers -------------------------------------------------------------------


def test_a_machine_gets_no_more_tasks_than_its_heartbeats_can_list() -> None:
    """Guards against heartbeats of more than 64 KiB, which no node takes: the lease expired with all tasks there."""
    harness = ClusterHarness(UNLIMITED_TEAM, STATE_LIMITS)
    worker = harness.machine(1)
    harness.settle(2)
    ref = harness.submit(legs=1_200, cores=0.003, memoryGb=0.005, voyageS=3.0)
    largest = 0
    for _ in range(60):
        harness.step(1.0)
        largest = max(largest, len(worker.tasks))
        assert json_size(worker.report()) <= wire.MAX_BODY_BYTES
        if harness.record(ref) == wire.JobStatus.COMPLETED:
            break
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert largest == wire.MAX_ATTEMPTS_PER_MACHINE  # as many as can be listed


def test_commands_for_one_machine_fit_into_a_message_and_the_others_follow() -> None:
    """Guards against a request to a worker, or a response, of more than 64 KiB."""
    harness = ClusterHarness(UNLIMITED_TEAM, STATE_LIMITS)
    worker = harness.machine(1)
    harness.settle(2)
    ref = harness.submit(ref=f"j-{1:062d}", legs=1_200, cores=0.003, memoryGb=0.005, voyageS=300.0)
    harness.plan()
    harness.commit()
    machine, machine_commands = harness.cluster.machines["vm-000001"], harness.cluster.commands
    due_count = min(len(machine.tasks), wire.MAX_COMMANDS_PER_MESSAGE)
    assert due_count > wire.MAX_COMMANDS_PER_MESSAGE // 2
    commands, starts = machine_commands.for_response(machine)
    started = {(command.task_name, command.attempt) for command in commands if isinstance(command, wire.StartCommand)}
    assert started == {(task.name, task.attempt) for task in starts}
    assert len(started) == len(commands) == due_count
    assert json_size(wire.heartbeat_response(2**64 - 1, commands)) <= wire.MAX_BODY_BYTES
    harness.report(worker)
    harness.cancel(ref, notify_leader=False)
    harness.cluster.job_lifecycle.cancel(ref, harness.state.revision, harness.now)
    message = machine_commands.direct_message(machine, harness.now)
    assert message is not None
    assert {(stop.task_name, stop.attempt) for stop in message.stops} == started
    assert all(isinstance(stop, wire.StopCommand) for stop in message.stops)
    body = wire.command_request(2**64 - 1, 2**64 - 1, message.stops)
    assert json_size(body) <= wire.MAX_BODY_BYTES
    harness.settle(6)
    assert not harness.cluster.machines["vm-000001"].tasks
    assert not harness.task_locations(ref)


def test_scale_out_counts_no_more_tasks_for_a_machine_than_it_can_list() -> None:
    """Guards against too few machines for small tasks, which then wait although their team is under its limit."""
    spec = submission(legs=5_000, cores=0.003, memoryGb=0.005)
    assert task_slots_when_empty(TYPES["m8"], spec) == wire.MAX_ATTEMPTS_PER_MACHINE
    slot = CapacitySlot.of(TYPES["m8"], "a", spot=False)
    assert slot.reserve(spec, 5_000) == wire.MAX_ATTEMPTS_PER_MACHINE
    assert slot.free_slots(submission(cores=0.003)) == 0


def test_progress_updates_between_nodes_keep_the_limit_on_their_bodies() -> None:
    """Guards against counts that stop reaching the other nodes once there are many unfinished jobs."""
    job_ids = [f"j-{number:062d}" for number in range(10_000)]
    update = JobProgressUpdate(dict.fromkeys(job_ids, (100_000, 100_000)), job_ids[:5_000])
    parts = list(split_update(update))
    assert {job_id: counts for part in parts for job_id, counts in part.changed.items()} == update.changed
    assert [job_id for part in parts for job_id in part.removed] == update.removed
    assert max(len(wire.encode(part.encode())) for part in parts) <= MAX_PEER_BODY_BYTES
    assert list(split_update(JobProgressUpdate({}, []))) == []


# --- whole deployments ------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(1, 5))
def test_deployments_at_the_size_limits_serve_all_jobs(seed: int) -> None:
    """Guards against any request, response or transaction that is refused for its size, and the loss of the lead."""
    result = run_scenario(RunRequest(plan=size_limit_plan(seed)), seed)
    assert not result.violations
    assert not result.errors
    assert result.counts["lease_kills"] == 0
    assert result.leaderless_s_max < LEASE_S
