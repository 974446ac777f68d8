"""Submissions that name other jobs, and what users are told of them by nodes that know nothing of one another."""

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
from tests.test_client_consistency import FakeControllerNode, job, node


@pytest.fixture
def state() -> KeyStore:
    return KeyStore(lambda: 0)


def done(state: KeyStore, ref: str) -> None:
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
    "named",
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
def test_lists_that_are_none(named: Any) -> None:
    with pytest.raises(wire.InvalidMessageError, match="waitsOn"):
        wire.decode_submission(body_of("j-000009", waitsOn=named))


def test_null_missing_and_empty_are_none_and_doubles_count_once() -> None:
    assert (
        wire.decode_submission(body_of()).dependencies
        is wire.decode_submission(body_of(waitsOn=None)).dependencies
        is None
    )
    assert wire.decode_submission(body_of(waitsOn=[])).dependencies is None
    assert wire.decode_submission(body_of("j-9", waitsOn=["j-2", "j-1", "j-2"])).dependencies == ["j-2", "j-1"]


async def test_a_waiting_job_is_laid_where_an_earlier_version_finds_nothing(state: KeyStore) -> None:
    users, _, _ = node(state)
    assert (await users.submit(job("j-000001"))).status == 201
    assert (await users.submit(job("j-000002", waitsOn=["j-000001"]))).status == 201
    assert blocked_key("j-000002") in state.items
    assert live_key("j-000002") not in state.items
    shown = (await users.show("j-000002")).value
    assert shown["status"] == "queued"
    assert shown["waitsOn"] == ["j-000001"]
    again = await users.submit(job("j-000002", waitsOn=["j-000001"]))
    assert (again.status, again.value["status"]) == (200, "queued")


async def test_what_was_never_accepted_can_not_be_waited_for(state: KeyStore) -> None:
    users, client, _ = node(state)
    other, _, _ = node(state)
    await users.submit(job("j-000001"))
    refused = await users.submit(job("j-000003", waitsOn=["j-000001", "j-000002"]))
    assert refused.status == 422
    assert "j-000002" in refused.value["error"]
    # Accepted a moment ago by the node beside it.
    assert (await other.submit(job("j-000002"))).status == 201
    assert (await users.submit(job("j-000003", waitsOn=["j-000001", "j-000002"]))).status == 201
    client.faults = ["refuse", "refuse"]
    unsure = await users.submit(job("j-000005", waitsOn=["j-000004"]))
    assert unsure.status == 503
    assert unsure.headers["Retry-After"]


async def test_a_service_is_never_done(state: KeyStore) -> None:
    users, _, _ = node(state)
    await users.submit(job("j-000001", rig="standing", legs=1))
    refused = await users.submit(job("j-000002", waitsOn=["j-000001"]))
    assert refused.status == 422
    assert "service" in refused.value["error"]
    assert job_key("j-000002") not in state.items


async def test_a_job_whose_needed_one_is_cancelled_is_called_so_by_every_node_at_once(state: KeyStore) -> None:
    """Nobody has recorded that yet, and one of the nodes knows an older state of the needed job."""
    users, _, _ = node(state)
    lagging, _, _ = node(state)
    for ref, needs in (("j-000001", None), ("j-000002", ["j-000001"]), ("j-000003", ["j-000002"])):
        await users.submit(job(ref, waitsOn=needs))
        assert (await lagging.show(ref)).value["status"] == "queued"
    assert (await users.cancel("j-000001")).value["status"] == "aborted"
    fresh, _, _ = node(state)
    for asked in (users, lagging, fresh):
        assert [(await asked.show(f"j-00000{n}")).value["status"] for n in (3, 2, 1)] == ["aborted"] * 3
    assert (await fresh.submit(job("j-000003", waitsOn=["j-000002"]))).value["status"] == "aborted"
    late = await fresh.submit(job("j-000004", waitsOn=["j-000003"]))
    assert late.status == 201
    assert (await lagging.show("j-000004")).value["status"] == "aborted"
    assert state.items[job_key("j-000003")][0]["state"] == "queued"  # as recorded


async def test_a_node_that_knew_nothing_of_the_job_still_asks_what_became_of_those_it_names(state: KeyStore) -> None:
    """It knew the needed one from before: read alone, the waiting job would be called queued again."""
    users, _, _ = node(state)
    lagging, _, _ = node(state)
    await users.submit(job("j-000001"))
    await lagging.show("j-000001")
    await users.submit(job("j-000002", waitsOn=["j-000001"]))
    await users.cancel("j-000001")
    assert (await users.show("j-000002")).value["status"] == "aborted"
    assert (await lagging.show("j-000002")).value["status"] == "aborted"


async def test_done_before_the_cancellation_and_the_others_go_on(state: KeyStore) -> None:
    users, _, _ = node(state)
    await users.submit(job("j-000001"))
    await users.submit(job("j-000002", waitsOn=["j-000001"]))
    done(state, "j-000001")
    assert (await users.cancel("j-000001")).value["status"] == "done"
    assert (await users.show("j-000002")).value["status"] == "queued"


async def test_a_waiting_job_is_cancelled_by_its_own_user(state: KeyStore) -> None:
    users, _, _ = node(state)
    await users.submit(job("j-000001"))
    await users.submit(job("j-000002", waitsOn=["j-000001"]))
    assert (await users.cancel("j-000002")).value["status"] == "aborted"
    assert cancel_key("j-000002") in state.items
    assert (await users.show("j-000001")).value["status"] == "queued"


async def test_a_job_that_names_a_thousand_and_one_that_thousands_name(state: KeyStore) -> None:
    """Requests are counted: names that lie together share one, and what is known costs none."""
    users, client, _ = node(state)
    spec = job("j-000001")
    for number in range(1, 1001):
        ref = f"j-{number:06d}"
        record = {"state": "queued", "at": 0, "job": {**wire_of(spec), "ref": ref}}
        state.commit({"if": [], "then": [{"set": job_key(ref), "value": record}]})
    before = client.reads
    assert (await users.submit(job("j-005000", waitsOn=[f"j-{n:06d}" for n in range(1, 1001)]))).status == 201
    assert client.reads - before <= 12
    await users.show("j-005000")
    before = client.reads
    await asyncio.gather(*(users.show("j-005000") for _ in range(50)))
    assert client.reads - before <= 2
    for number in range(1, 1001):
        done(state, f"j-{number:06d}")
    await users.show("j-005000")
    assert users._jobs.snapshot("j-005000").dependencies == ()  # type: ignore[union-attr]  # not looked at again


def wire_of(spec: wire.Submission) -> dict[str, Any]:
    return dict(msgspec.to_builtins(spec))


async def test_a_list_longer_than_a_value_is_written_ahead_and_counts_with_the_accept(state: KeyStore) -> None:
    small = KeyStore(lambda: 0, 2048, 4)
    limits = StateLimits(rps=100.0, write_rps=50.0, value_kb=32.0, txn_ops=16, next=NextLimits(value_kb=2.0, txn_ops=4))
    settings = node_settings()
    settings = msgspec.structs.replace(settings, cluster=msgspec.structs.replace(settings.cluster, state=limits))
    client: Any = FakeStateClient(small)
    users = JobApi(settings, client, FakeControllerNode())
    named = [f"j-{number:06d}" for number in range(1, 701)]
    for ref in named:
        record = {"state": "queued", "at": 0, "job": {**wire_of(job(ref)), "ref": ref}}
        small.commit({"if": [], "then": [{"set": job_key(ref), "value": record}]})
    client.faults = [""] * 20  # reads; then the accept is lost for good
    assert (await users.submit(job("j-005000", waitsOn=named))).status == 201
    assert (await users.show("j-005000")).value["waitsOn"][:2] == named[:2]
    other = JobApi(settings, client, FakeControllerNode())
    assert (await other.cancel("j-000700")).value["status"] == "aborted"
    assert (await other.show("j-005000")).value["status"] == "aborted"


def test_the_next_limits_are_checked_like_the_present_ones() -> None:
    settings = node_settings()
    for name in ("rps", "write_rps", "value_kb", "txn_ops"):
        limits = msgspec.structs.replace(settings.cluster.state, next=NextLimits(**{name: -1}))
        with pytest.raises(SettingsError, match=f"cluster.state.next.{name}"):
            validate(msgspec.structs.replace(settings, cluster=msgspec.structs.replace(settings.cluster, state=limits)))
    larger = msgspec.structs.replace(settings.cluster.state, next=NextLimits(value_kb=64.0))
    assert larger.min_value_bytes == 8 * 1024
    assert larger.min_txn_ops == 12


async def test_five_thousand_known_jobs_after_all_nodes_ended(state: KeyStore) -> None:
    """Polls of all at once at a node that knows nothing: each is answered, and none for a request of its own."""
    spec = job("j-000001")
    refs = [f"j-{number * 37 % 5003:06d}" for number in range(1, 5001)]
    for ref in refs:
        state.commit(
            {
                "if": [],
                "then": [
                    {"set": job_key(ref), "value": {"state": "queued", "at": 0, "job": {**wire_of(spec), "ref": ref}}}
                ],
            }
        )
    users, client, _ = node(state)
    waiting, rounds = list(refs), 0
    while waiting and rounds < 15:  # users come back every 5 s: 75 s
        rounds += 1
        answers = await asyncio.gather(*(users.show(ref) for ref in waiting))
        waiting = [ref for ref, answer in zip(waiting, answers, strict=True) if answer.status != 200]
    assert not waiting
    assert client.reads <= 120
    assert (await users.show("j-999999")).status == 404


async def test_a_reader_that_fails_sends_away_who_waits_and_the_next_ask_anew(state: KeyStore) -> None:
    users, client, _ = node(state)
    other, _, _ = node(state)
    await other.submit(job("j-000001"))
    await users.show("j-000009")
    client.faults = ["refuse"]
    assert (await users.show("j-000001")).status == 503
    assert (await users.show("j-000001")).status == 200


async def test_a_poll_shares_no_read_that_was_asked_before_it_came(state: KeyStore) -> None:
    """Another node told the cancellation in between: the older answer was an answer that went back."""
    users, client, _ = node(state)
    other, _, _ = node(state)
    await other.submit(job("j-000001"))
    await users.show("j-000009")
    some, held = client.get_many, asyncio.Event()

    async def slow(prefix: str, names: list[str]) -> Any:
        found = await some(prefix, names)
        await held.wait()
        return found

    client.get_many = slow  # type: ignore[method-assign]
    first = asyncio.ensure_future(users.show("j-000001"))
    await asyncio.sleep(0.01)
    assert (await other.cancel("j-000001")).value["status"] == "aborted"
    second = asyncio.ensure_future(users.show("j-000001"))
    await asyncio.sleep(0.01)
    held.set()
    assert (await second).value["status"] == "aborted"
    assert (await first).status == 200
