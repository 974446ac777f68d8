"""Tests submissions with dependencies, and the consistency of their status between nodes with different caches."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from oatport import wire
from oatport.api.job_api import JobApi
from oatport.control.storage.keys import blocked_key, cancel_key, job_key, live_key
from oatport.settings import NextLimits, SettingsError, StateLimits, validate
from oatport.simulation.state_service import KeyStore
from tests.cluster_fixture import FakeStateClient, node_settings
from tests.cluster_fixture import job as body_of
from tests.test_client_consistency import FakeControllerNode, job, make_api


@pytest.fixture
def state() -> KeyStore:
    """Returns an empty state service."""
    return KeyStore(lambda: 0)


def complete_job(state: KeyStore, ref: str) -> None:
    """Records a job as completed."""
    record, version, _ = state.items[job_key(ref)]
    assert (
        state.commit(
            {
                "if": [{"path": job_key(ref), "entryRev": version}],
                "then": [{"set": job_key(ref), "value": {**record, "state": wire.JobStatus.COMPLETED}}],
            }
        )[0]
        == 200
    )


@pytest.mark.parametrize(
    "dependencies",
    [
        "j-000001",
        [1],
        ["x-1"],
        ["j-"],
        ["j-1", None],
        {"j-1": 1},
        ["j-000009"],
        [["j-1"]],
    ],
)
def test_invalid_dependency_lists_are_rejected(dependencies: Any) -> None:
    with pytest.raises(wire.InvalidMessageError, match="waitsOn"):
        wire.decode_submission(body_of("j-000009", waitsOn=dependencies))


def test_null_missing_and_empty_dependency_lists_are_none_and_duplicates_are_removed() -> None:
    assert (
        wire.decode_submission(body_of()).dependencies
        is wire.decode_submission(body_of(waitsOn=None)).dependencies
        is None
    )
    assert wire.decode_submission(body_of(waitsOn=[])).dependencies is None
    assert wire.decode_submission(body_of("j-9", waitsOn=["j-2", "j-1", "j-2"])).dependencies == ["j-2", "j-1"]


async def test_a_blocked_job_is_stored_where_an_earlier_version_finds_nothing(state: KeyStore) -> None:
    api, _, _ = make_api(state)
    assert (await api.submit(job("j-000001"))).status == 201
    assert (await api.submit(job("j-000002", waitsOn=["j-000001"]))).status == 201
    assert blocked_key("j-000002") in state.items
    assert live_key("j-000002") not in state.items
    job_status = (await api.show("j-000002")).value
    assert job_status["status"] == "queued"
    assert job_status["waitsOn"] == ["j-000001"]
    retry = await api.submit(job("j-000002", waitsOn=["j-000001"]))
    assert (retry.status, retry.value["status"]) == (200, "queued")


async def test_a_dependency_that_was_never_accepted_is_refused(state: KeyStore) -> None:
    api, client, _ = make_api(state)
    other, _, _ = make_api(state)
    await api.submit(job("j-000001"))
    refused = await api.submit(job("j-000003", waitsOn=["j-000001", "j-000002"]))
    assert refused.status == 422
    assert "j-000002" in refused.value["error"]
    # Another node accepts the missing dependency.
    assert (await other.submit(job("j-000002"))).status == 201
    assert (await api.submit(job("j-000003", waitsOn=["j-000001", "j-000002"]))).status == 201
    client.faults = ["refuse", "refuse"]
    undecided = await api.submit(job("j-000005", waitsOn=["j-000004"]))
    assert undecided.status == 503
    assert undecided.headers["Retry-After"]


async def test_a_dependency_on_a_service_is_refused(state: KeyStore) -> None:
    api, _, _ = make_api(state)
    await api.submit(job("j-000001", rig="standing", legs=1))
    refused = await api.submit(job("j-000002", waitsOn=["j-000001"]))
    assert refused.status == 422
    assert "service" in refused.value["error"]
    assert job_key("j-000002") not in state.items


async def test_every_node_reports_dependents_of_a_cancelled_job_as_cancelled_at_once(state: KeyStore) -> None:
    """The dependents' cancellation is not recorded yet, and one node has an outdated state of the dependency cached."""
    api, _, _ = make_api(state)
    stale, _, _ = make_api(state)
    for ref, waits_on in (("j-000001", None), ("j-000002", ["j-000001"]), ("j-000003", ["j-000002"])):
        await api.submit(job(ref, waitsOn=waits_on))
        assert (await stale.show(ref)).value["status"] == "queued"
    assert (await api.cancel("j-000001")).value["status"] == "aborted"
    fresh, _, _ = make_api(state)
    for api_of_node in (api, stale, fresh):
        assert [(await api_of_node.show(f"j-00000{n}")).value["status"] for n in (3, 2, 1)] == ["aborted"] * 3
    assert (await fresh.submit(job("j-000003", waitsOn=["j-000002"]))).value["status"] == "aborted"
    new_dependent = await fresh.submit(job("j-000004", waitsOn=["j-000003"]))
    assert new_dependent.status == 201
    assert (await stale.show("j-000004")).value["status"] == "aborted"
    assert state.items[job_key("j-000003")][0]["state"] == "queued"  # the record is not updated yet


async def test_a_node_that_reads_a_job_for_the_first_time_refreshes_its_cached_dependencies(state: KeyStore) -> None:
    """A node with an outdated cached dependency would report the dependent as queued if it read only the dependent."""
    api, _, _ = make_api(state)
    stale, _, _ = make_api(state)
    await api.submit(job("j-000001"))
    await stale.show("j-000001")
    await api.submit(job("j-000002", waitsOn=["j-000001"]))
    await api.cancel("j-000001")
    assert (await api.show("j-000002")).value["status"] == "aborted"
    assert (await stale.show("j-000002")).value["status"] == "aborted"


async def test_a_completed_dependency_cannot_be_cancelled_and_its_dependents_continue(state: KeyStore) -> None:
    api, _, _ = make_api(state)
    await api.submit(job("j-000001"))
    await api.submit(job("j-000002", waitsOn=["j-000001"]))
    complete_job(state, "j-000001")
    assert (await api.cancel("j-000001")).value["status"] == "done"
    assert (await api.show("j-000002")).value["status"] == "queued"


async def test_a_blocked_job_can_be_cancelled(state: KeyStore) -> None:
    api, _, _ = make_api(state)
    await api.submit(job("j-000001"))
    await api.submit(job("j-000002", waitsOn=["j-000001"]))
    assert (await api.cancel("j-000002")).value["status"] == "aborted"
    assert cancel_key("j-000002") in state.items
    assert (await api.show("j-000001")).value["status"] == "queued"


async def test_a_job_with_a_thousand_dependencies_needs_few_reads(state: KeyStore) -> None:
    """Reads of jobs with neighbouring ids share one request, and cached jobs need none."""
    api, client, _ = make_api(state)
    submission = job("j-000001")
    for number in range(1, 1001):
        ref = f"j-{number:06d}"
        record = {"state": "queued", "at": 0, "job": {**wire_of(submission), "ref": ref}}
        state.commit({"if": [], "then": [{"set": job_key(ref), "value": record}]})
    initial_reads = client.reads
    assert (await api.submit(job("j-005000", waitsOn=[f"j-{n:06d}" for n in range(1, 1001)]))).status == 201
    assert client.reads - initial_reads <= 12
    await api.show("j-005000")
    initial_reads = client.reads
    await asyncio.gather(*(api.show("j-005000") for _ in range(50)))
    assert client.reads - initial_reads <= 2
    for number in range(1, 1001):
        complete_job(state, f"j-{number:06d}")
    await api.show("j-005000")
    assert api._jobs.snapshot("j-005000").dependencies == ()  # type: ignore[union-attr]  # completed ones are not checked again


def wire_of(submission: wire.Submission) -> dict[str, Any]:
    """Returns a submission as a record stores it."""
    return dict(msgspec.to_builtins(submission))


async def test_a_dependency_list_larger_than_a_value_is_written_before_the_job(state: KeyStore) -> None:
    store = KeyStore(lambda: 0, 2048, 4)
    limits = StateLimits(rps=100.0, write_rps=50.0, value_kb=32.0, txn_ops=16, next=NextLimits(value_kb=2.0, txn_ops=4))
    settings = node_settings()
    settings = msgspec.structs.replace(settings, cluster=msgspec.structs.replace(settings.cluster, state=limits))
    client: Any = FakeStateClient(store)
    api = JobApi(settings, client, FakeControllerNode())
    dependencies = [f"j-{number:06d}" for number in range(1, 701)]
    for ref in dependencies:
        record = {"state": "queued", "at": 0, "job": {**wire_of(job(ref)), "ref": ref}}
        store.commit({"if": [], "then": [{"set": job_key(ref), "value": record}]})
    client.faults = [""] * 20  # none of the next 20 calls fails
    assert (await api.submit(job("j-005000", waitsOn=dependencies))).status == 201
    assert (await api.show("j-005000")).value["waitsOn"][:2] == dependencies[:2]
    other = JobApi(settings, client, FakeControllerNode())
    assert (await other.cancel("j-000700")).value["status"] == "aborted"
    assert (await other.show("j-005000")).value["status"] == "aborted"


def test_the_next_limits_are_validated_like_the_present_limits() -> None:
    settings = node_settings()
    for name in ("rps", "write_rps", "value_kb", "txn_ops"):
        limits = msgspec.structs.replace(settings.cluster.state, next=NextLimits(**{name: -1}))
        with pytest.raises(SettingsError, match=f"cluster.state.next.{name}"):
            validate(msgspec.structs.replace(settings, cluster=msgspec.structs.replace(settings.cluster, state=limits)))
    larger = msgspec.structs.replace(settings.cluster.state, next=NextLimits(value_kb=64.0))
    assert larger.min_value_bytes == 8 * 1024
    assert larger.min_txn_ops == 12


async def test_polls_of_five_thousand_jobs_after_a_restart_of_all_nodes_share_reads(state: KeyStore) -> None:
    """Concurrent polls of all jobs at a node with an empty cache share reads; every poll is answered in 15 rounds."""
    submission = job("j-000001")
    refs = [f"j-{number * 37 % 5003:06d}" for number in range(1, 5001)]
    for ref in refs:
        state.commit(
            {
                "if": [],
                "then": [
                    {
                        "set": job_key(ref),
                        "value": {"state": "queued", "at": 0, "job": {**wire_of(submission), "ref": ref}},
                    }
                ],
            }
        )
    api, client, _ = make_api(state)
    pending_refs, rounds = list(refs), 0
    while pending_refs and rounds < 15:  # users retry every 5 s, so 15 rounds are 75 s
        rounds += 1
        responses = await asyncio.gather(*(api.show(ref) for ref in pending_refs))
        pending_refs = [ref for ref, response in zip(pending_refs, responses, strict=True) if response.status != 200]
    assert not pending_refs
    assert client.reads <= 120
    assert (await api.show("j-999999")).status == 404


async def test_a_failed_read_rejects_its_callers_and_a_retry_reads_again(state: KeyStore) -> None:
    api, client, _ = make_api(state)
    other, _, _ = make_api(state)
    await other.submit(job("j-000001"))
    await api.show("j-000009")
    client.faults = ["refuse"]
    assert (await api.show("j-000001")).status == 503
    assert (await api.show("j-000001")).status == 200


async def test_a_poll_does_not_share_a_read_sent_before_its_arrival(state: KeyStore) -> None:
    """Guards against a reverted status: another node confirmed a cancellation after the shared read was sent."""
    api, client, _ = make_api(state)
    other, _, _ = make_api(state)
    await other.submit(job("j-000001"))
    await api.show("j-000009")
    original, release_read = client.get_many, asyncio.Event()

    async def slow(prefix: str, names: list[str]) -> Any:
        page = await original(prefix, names)
        await release_read.wait()
        return page

    client.get_many = slow  # type: ignore[method-assign]
    first_poll = asyncio.ensure_future(api.show("j-000001"))
    await asyncio.sleep(0.01)
    assert (await other.cancel("j-000001")).value["status"] == "aborted"
    second_poll = asyncio.ensure_future(api.show("j-000001"))
    await asyncio.sleep(0.01)
    release_read.set()
    assert (await second_poll).value["status"] == "aborted"
    assert (await first_poll).status == 200
