"""Tests records that fit lowered limits, oversized records of earlier versions, and when new formats are written."""

from __future__ import annotations

import random
from typing import Any

import pytest

from oatport import wire
from oatport.control.leadership.fencing_tokens import FencingTokens
from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.state.job import Job
from oatport.control.state.task import TaskPhase
from oatport.control.storage.job_records import encode_job, encode_submission
from oatport.control.storage.keys import FLEET_PREFIX, LIVE_PREFIX, SCHEMA_VERSION_KEY, blocked_key, live_key
from oatport.control.storage.overflow_records import is_accepted_as_blocked, merge_overflow, split_overflow
from oatport.control.storage.record_layout import RecordLayout
from oatport.control.storage.schema_version import SCHEMA_VERSION, SchemaVersionGate
from oatport.control.storage.write_batch import WriteBatch
from oatport.peer_codec import MalformedReplyError, PeerArray, decode_reply
from oatport.peer_messages import SchemaVersionReply, SchemaVersionRequest
from oatport.service.catalog import RecordedCatalog, catalog_values, read_catalog, write_catalog
from oatport.service.leader import Leader
from oatport.service.schema_version_controller import compatible_boots
from oatport.settings import NextLimits, StateLimits, Team
from oatport.simulation.state_service import KeyStore
from oatport.sizes import json_size
from oatport.times import SECOND
from tests.cluster_fixture import ClusterHarness, FakeStateClient, job
from tests.test_node_failures import FakePeer, leader

STATE_LIMITS = StateLimits(
    rps=100.0, write_rps=50.0, value_kb=32.0, txn_ops=16, next=NextLimits(value_kb=2.0, txn_ops=4)
)
UNLIMITED_TEAM = [Team("crew")]


def make_harness(machines: int, *, gate_open: bool) -> ClusterHarness:
    """Returns a cluster with `machines` machines, which writes the new formats if `gate_open`."""
    harness = ClusterHarness(UNLIMITED_TEAM, STATE_LIMITS)
    if gate_open:
        harness.enable_record_parts()
    for number in range(1, machines + 1):
        harness.machine(number, zone="ab"[number % 2])
    harness.settle(3)
    return harness


def lower_limits(harness: ClusterHarness) -> None:
    """Lowers the limits; existing records remain as they are."""
    harness.state.value_limit, harness.state.ops_limit = 2048, 4


def open_gate_and_lower_limits(harness: ClusterHarness) -> None:
    """Opens the gate, as after replies of all nodes, and then lowers the limits."""
    harness.state.commit({"if": [], "then": [{"set": SCHEMA_VERSION_KEY, "value": {"reads": SCHEMA_VERSION}}]})
    harness.cluster.writes.enable_record_parts()
    lower_limits(harness)


def task_placements(harness: ClusterHarness, ref: str) -> dict[int, tuple[int, str | None]]:
    """Returns the attempt and the machine of each task, by index."""
    return {i: (t.attempt, t.machine.name if t.machine else None) for i, t in harness.cluster.jobs[ref].tasks.items()}


def test_every_record_fits_the_next_limits() -> None:
    harness = make_harness(130, gate_open=True)
    lower_limits(harness)
    ref = harness.submit(legs=250, voyageS=50.0)
    harness.settle(6)
    assert len(harness.task_locations(ref)) == 250
    parts = [key for key in harness.state.items if key.startswith(f"{LIVE_PREFIX}{ref}")]
    assert len(parts) == 5
    assert len([key for key in harness.state.items if key.startswith(FLEET_PREFIX)]) == 10
    assert max(json_size(value) for value, _, _ in harness.state.items.values()) <= 2048
    placements = task_placements(harness, ref)
    harness.fail_over()
    assert task_placements(harness, ref) == placements
    assert len(harness.cluster.machines) == 130
    harness.settle(60)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert not [key for key in harness.state.items if key.startswith(LIVE_PREFIX)]


def test_an_oversized_record_of_an_earlier_version_is_split_when_it_is_rewritten() -> None:
    harness = make_harness(130, gate_open=False)
    ref = harness.submit(legs=250, voyageS=50.0)
    harness.settle(6)
    assert {len(value["t"]) for key, (value, _, _) in harness.state.items.items() if key.startswith(LIVE_PREFIX)} == {
        100,
        50,
    }
    assert len([key for key in harness.state.items if key.startswith(FLEET_PREFIX)]) == 4
    open_gate_and_lower_limits(harness)
    placements = task_placements(harness, ref)
    for number in (3, 40, 41, 77, 125):  # their tasks start elsewhere, with new attempt numbers
        harness.confirm_release(f"vm-{number:06d}")
    harness.machine(500)
    harness.settle(4)
    assert len(harness.task_locations(ref)) == 250
    new_placements = task_placements(harness, ref)
    assert new_placements != placements
    harness.fail_over()
    assert task_placements(harness, ref) == new_placements
    assert len(harness.cluster.machines) == 126
    harness.settle(120)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert not [key for key in harness.state.items if key.startswith(LIVE_PREFIX)]


@pytest.mark.parametrize("seed", range(12))
def test_a_new_leader_loads_all_committed_bindings_after_any_transaction(seed: int) -> None:
    """Covers oversized records, parts beside them, and rewritten smaller records, in any order that batches produce."""
    rng = random.Random(seed)
    harness = make_harness(70, gate_open=False)
    refs = [harness.submit(legs=rng.choice([60, 90, 120]), cores=1.0, voyageS=rng.uniform(20, 60)) for _ in range(3)]
    harness.settle(4)
    open_gate_and_lower_limits(harness)
    for step in range(12):
        removed = rng.choice(sorted(harness.cluster.machines))
        harness.confirm_release(removed)
        for ref in refs:
            for task in list(harness.cluster.jobs[ref].tasks.values()) if ref in harness.cluster.jobs else []:
                if rng.random() < 0.05 and task.phase is TaskPhase.BOUND:
                    harness.cluster.tasks.stop(task, 0.0)
        harness.plan()
        if harness.cluster.writes.has_pending_writes():
            batch = harness.cluster.writes.take_batch(rng.choice([2, 3, 4]))
            if batch.operation_count:
                status, value = harness.state.commit(harness.transaction(batch))
                assert status == 200, value
                harness.cluster.writes.committed(batch, value["ledgerRev"], harness.now)
        bound = {
            ref: {
                i: row
                for i, row in task_placements(harness, ref).items()
                if harness.cluster.jobs[ref].tasks[i].phase is TaskPhase.BOUND
            }
            for ref in refs
            if ref in harness.cluster.jobs
        }
        harness.fail_over()
        for ref, rows in bound.items():
            after = task_placements(harness, ref)
            # A removed machine may still be recorded; no placed task may be missing.
            assert all(after.get(i) == row for i, row in rows.items()), (seed, step, ref)
        harness.settle(1)
    harness.settle(150)
    assert {harness.record(ref) for ref in refs} == {wire.JobStatus.COMPLETED}


def test_a_head_record_without_space_left_has_no_tasks() -> None:
    layout = RecordLayout(2048, 1, should_split_records=True)
    large = Job(
        "j-1", wire.decode_submission(job("j-1", legs=300, berthKinds=[f"kind-{i:020d}" for i in range(60)])), 1, 0
    )
    assert layout.tasks_in_head_record(large) == 0
    keys = list(layout.task_keys(large, 0, 300))
    assert keys[0] == "live/j-1/0000.00"
    assert "live/j-1/0001" in keys
    assert [layout.task_key(large, i) for i in range(300)] == [
        key for key in keys for _ in range(*layout.task_span(large, key)) if True
    ][:300]


def test_records_are_not_split_if_they_fit_the_limits() -> None:
    layout = RecordLayout(8192, 10, should_split_records=True)
    small = Job("j-1", wire.decode_submission(job("j-1", legs=300)), 1, 0)
    assert list(layout.task_keys(small, 0, 300)) == ["live/j-1", "live/j-1/0001", "live/j-1/0002"]
    assert list(layout.fleet_keys("fleet/000003")) == ["fleet/000003"]


def test_long_lists_are_split_off_into_overflow_records() -> None:
    spec = wire.decode_submission(job("j-1", waitsOn=[f"j-{i:06d}" for i in range(2, 1002)]))
    record, parts = split_overflow(encode_submission(spec, 5, wire.JobStatus.QUEUED), 2048)
    assert json_size(record) <= 2048 - 300
    assert all(json_size(part) <= 2048 for part in parts)
    assert merge_overflow(record, parts)["job"]["waitsOn"] == spec.dependencies
    assert split_overflow(encode_submission(spec, 5, wire.JobStatus.QUEUED), 32 * 1024)[1] == []


def test_the_predictor_is_recorded_in_parts_that_can_be_loaded_separately() -> None:
    predictor = RuntimePredictor()
    for number in range(60):
        spec = wire.decode_submission(job(cargo=f"class-{number:02d}", voyageS=10.0))
        for _ in range(3):
            predictor.task_completed("j-1", spec, 20 * SECOND)
        predictor.spot_machine_ended(number * SECOND, reclaimed=True)
    parts = predictor.parts(2048)
    assert len(parts) > 1
    assert max(map(json_size, parts)) <= 2048
    assert len(predictor.parts(32 * 1024)) == 1
    loaded = RuntimePredictor()
    for part in parts:
        loaded.load(part)
    spec = wire.decode_submission(job(cargo="class-39", voyageS=10.0))
    assert loaded.run_time("j-9", spec) == predictor.run_time("j-9", spec)
    assert loaded.spot_half_life([]) == predictor.spot_half_life([])


async def test_the_catalog_is_recorded_in_parts() -> None:
    kinds = wire.decode_catalog(
        {
            "berthKinds": [
                {
                    "label": f"kind-{i}",
                    "cores": 8.0,
                    "accelerators": 0.0,
                    "memoryGb": 32.0,
                    "price": 1.0,
                    "marketPrice": 0.4,
                    "startupS": 30,
                    "harbors": ["a", "b"],
                }
                for i in range(40)
            ]
        }
    )
    assert max(map(json_size, catalog_values(kinds.values(), 2048))) <= 2048
    state = KeyStore(lambda: 0, 2048, 4)
    token = state.commit({"if": [], "then": [{"set": "leader", "value": {}}]})[1]["ledgerRev"]
    client: Any = FakeStateClient(state)
    await write_catalog(client, token, RecordedCatalog(kinds, 0), 2048)
    found = await read_catalog(client)
    assert found is not None
    assert found.types == kinds


# --- the gate ---------------------------------------------------------------------------------------


def version_reply(name: str, boot: str) -> PeerArray:
    """Returns the reply of a node of this version."""
    return SchemaVersionReply(name, boot, SCHEMA_VERSION).encode()


def decode_boots(rows: list[PeerArray]) -> dict[str, str]:
    """Returns the boot IDs that a round of replies shows."""
    replies: list[SchemaVersionReply | BaseException] = []
    for row in rows:
        try:
            replies.append(decode_reply(row, SchemaVersionReply.decode_reply))
        except MalformedReplyError as error:
            replies.append(error)
    return compatible_boots(replies)


def test_the_gate_opens_after_two_rounds_with_replies_from_the_same_processes_of_all_nodes() -> None:
    gate = SchemaVersionGate(["n0", "n1"])
    both = [version_reply("n0", "a"), version_reply("n1", "b")]
    assert not gate.on_poll_round(decode_boots(both))
    assert gate.on_poll_round(decode_boots(both))
    assert not SchemaVersionGate(["n0", "n1"]).on_poll_round(decode_boots([*both, version_reply("n0", "a")]))


@pytest.mark.parametrize(
    "second",
    [
        [version_reply("n0", "a")],  # n1 does not reply
        # n1 was restarted, so its next process may run an earlier version.
        [version_reply("n0", "a"), version_reply("n1", "c")],
        [version_reply("n0", "a"), ["formats", "n1", "b", 1]],
        [version_reply("n0", "a"), ["pong", "n1"]],
        [version_reply("n0", "a"), version_reply("n0", "b")],
    ],
)
def test_the_gate_stays_closed_if_a_node_is_silent_restarted_or_older(second: list[Any]) -> None:
    gate = SchemaVersionGate(["n0", "n1"])
    gate.on_poll_round(decode_boots([version_reply("n0", "a"), version_reply("n1", "b")]))
    assert not gate.on_poll_round(decode_boots(second))
    assert (
        not gate.on_poll_round(decode_boots([version_reply("n0", "a"), version_reply("n1", "c")]))
        or second[-1][2] == "c"
    )


async def run_poll_rounds(lead: Leader, times: int) -> None:
    """Polls the versions of all nodes `times` times, and opens the gate if the replies allow it."""
    gate = SchemaVersionGate([lead.node.node_name, *lead.node.peers])
    for _ in range(times):
        own = SchemaVersionReply(lead.node.node_name, lead.node.boot_id, SCHEMA_VERSION)
        peers = lead.node.peers.values()
        replies = [await peer.ask(SchemaVersionRequest(), SchemaVersionReply.decode_reply) for peer in peers]
        if gate.on_poll_round(compatible_boots([own, *replies])):
            await lead.schema_version_controller.open_gate(gate)


async def test_the_schema_version_is_recorded_once_and_only_by_the_leader() -> None:
    state = KeyStore(lambda: 0)
    lead, client, leading_node = leader(state)
    leading_node.peers["n1"] = FakePeer(version_reply("n1", "b"))
    await run_poll_rounds(lead, 1)
    assert SCHEMA_VERSION_KEY not in state.items
    assert not lead.cluster.writes.layout.should_split_records
    client.faults = ["lose"]
    with pytest.raises(Exception, match="lose"):
        await run_poll_rounds(lead, 2)  # the outcome is unknown: the gate counts as closed
    assert not lead.cluster.writes.layout.should_split_records
    await run_poll_rounds(lead, 2)
    assert lead.cluster.writes.layout.should_split_records
    assert state.items[SCHEMA_VERSION_KEY][0]["reads"] == SCHEMA_VERSION
    second, _, other = leader(state)
    other.peers["n1"] = FakePeer(version_reply("n1", "b"))
    await run_poll_rounds(lead, 2)  # the former leader finds the record
    await run_poll_rounds(second, 2)
    assert second.cluster.writes.layout.should_split_records


async def test_a_record_refused_for_its_size_before_the_gate_opens_is_not_retried() -> None:
    """The limits are lowered while a node is down.

    Guards against a refusal that is handled as an error, which deposed leader after leader.
    """
    harness = ClusterHarness(UNLIMITED_TEAM, STATE_LIMITS)
    for number in range(1, 61):
        harness.machine(number)
    harness.settle(3)
    ref = harness.submit(legs=100, voyageS=50.0, hull="img-" + 100 * "x")
    small = harness.submit(legs=2, voyageS=5.0)
    harness.plan()
    lower_limits(harness)
    lead, _, leading_node = leader(harness.state)
    lead.cluster = lead.commits.cluster = harness.cluster
    harness.cluster.tokens = FencingTokens(lead.token)
    refused = harness.cluster.writes.take_batch(4)
    assert max(json_size(value) for value in refused.sets.values()) > 2048
    harness.state.commit = _fail_on_repeated_refusal(harness.state.commit)  # type: ignore[method-assign]
    await lead.commits.commit(refused)
    assert not leading_node.step_down_reasons
    assert harness.cluster.writes.is_value_limit_lowered
    for _ in range(20):
        batch = harness.cluster.writes.take_batch(4)
        if batch.operation_count:
            await lead.commits.commit(batch)
    assert not leading_node.step_down_reasons
    assert live_key(small) in harness.state.items
    assert "t" in harness.state.items[live_key(small)][0]
    assert "t" not in harness.state.items[live_key(ref)][0]
    harness.cluster.writes.enable_record_parts()
    harness.commit()
    assert len(harness.state.items[live_key(ref)][0]["t"]) < 100
    assert any(key.startswith(f"{LIVE_PREFIX}{ref}/0000.") for key in harness.state.items)


def _fail_on_repeated_refusal(commit: Any) -> Any:
    def counted(body: dict[str, Any]) -> Any:
        status, value = commit(body)
        assert status != 400 or not counted.refused  # type: ignore[attr-defined]
        counted.refused = counted.refused or status == 400  # type: ignore[attr-defined]
        return status, value

    counted.refused = False  # type: ignore[attr-defined]
    return counted


def test_a_batch_contains_the_records_of_all_its_bindings() -> None:
    """A part that is written before its main record includes its own bindings."""
    harness = make_harness(60, gate_open=False)
    harness.submit(legs=100, voyageS=50.0)
    harness.settle(3)
    harness.cluster.writes.enable_record_parts()
    job_ = next(iter(harness.cluster.jobs.values()))
    for index in (5, 95):
        task = job_.tasks[index]
        harness.cluster.tasks.requeue(task, lost=True)
    harness.plan()
    batch = WriteBatch()
    while harness.cluster.writes.has_urgent_writes():
        batch = harness.cluster.writes.take_batch(4)
        batch_keys = {key for key in batch.sets if key.startswith(LIVE_PREFIX)}
        assert {harness.cluster.writes.layout.task_key(t.job, t.index) for t, _, _ in batch.bindings} <= batch_keys
        status, value = harness.state.commit(harness.transaction(batch))
        assert status == 200, value
        harness.cluster.writes.committed(batch, value["ledgerRev"], harness.now)
    assert all(job_.tasks[i].phase is TaskPhase.BOUND for i in (5, 95))


async def test_a_job_with_overflow_records_and_no_dependencies_is_loaded_from_its_blocked_record() -> None:
    """The job is stored under waits/ although it has no dependencies.

    While it was assumed to be under live/, every write of its first binding failed.
    """
    spec = wire.decode_submission(job("j-000001", berthKinds=["m8", *(f"kind-{number:050d}" for number in range(40))]))
    record, parts = split_overflow(encode_submission(spec, 5, wire.JobStatus.QUEUED), 2048)
    assert parts
    assert is_accepted_as_blocked(record)
    assert not is_accepted_as_blocked(encode_submission(wire.decode_submission(job()), 5, wire.JobStatus.QUEUED))
    lead, _, _ = leader(KeyStore(lambda: 0))
    lead.job_watch.admit("j-000001", merge_overflow(record, parts), 7)
    loaded = lead.cluster.jobs["j-000001"]
    assert loaded.spec == spec
    assert loaded in lead.cluster.pending
    assert lead.cluster.writes.versions[blocked_key("j-000001")] == 7
    assert live_key("j-000001") not in lead.cluster.writes.versions
    assert encode_job(loaded, wire.JobStatus.COMPLETED)["job"] == record["job"]
