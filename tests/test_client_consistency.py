"""Responses to users stay consistent when commits are lost, delayed or refused."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import cbor2
import pytest

from oatport import wire
from oatport.api.job_api import JobApi
from oatport.control.storage.keys import job_key
from oatport.simulation.state_service import KeyStore
from tests.cluster_fixture import TYPES, FakeStateClient, node_settings
from tests.cluster_fixture import job as body_of


class FakeControllerNode:
    """Records the job ids of notifications in `notifications`, those of cancellations with the prefix "x"."""

    def __init__(self) -> None:
        self.types = dict(TYPES)
        self.job_progress: dict[str, tuple[int, int]] = {}
        self.notifications: list[str] = []

    def is_ready(self) -> bool:
        """Returns True: requests are accepted."""
        return True

    def notify_accepted(self, ref: str, record: dict[str, Any], revision: int) -> None:
        """Records the notification of an accepted job."""
        self.notifications.append(ref)

    def notify_cancelled(self, ref: str, revision: int = 0) -> None:
        """Records the notification of a cancelled job."""
        self.notifications.append("x" + ref)


def job(ref: str = "j-000001", **changes: Any) -> wire.Submission:
    """Returns a decoded submission, with the given fields changed."""
    return wire.decode_submission(body_of(ref, **changes))


@pytest.fixture
def state() -> KeyStore:
    """Returns an empty state service."""
    return KeyStore(lambda: 0)


def make_api(state: KeyStore) -> tuple[JobApi, FakeStateClient, FakeControllerNode]:
    """Returns a node's API for users, with its state client and its controller node."""
    client, controller = FakeStateClient(state), FakeControllerNode()
    return JobApi(node_settings(), client, controller), client, controller  # type: ignore[arg-type]


async def test_a_job_is_accepted_only_once(state: KeyStore) -> None:
    api, _, controller = make_api(state)
    other, _, _ = make_api(state)
    assert (await api.submit(job())).status == 201
    assert (await other.submit(job())).status == 200
    assert state.revision == 1
    assert controller.notifications == ["j-000001"]
    assert (await other.cancel("j-000001")).value == {"ref": "j-000001", "status": "aborted"}
    retry = await api.submit(job())  # a retry may arrive after the job has terminated
    assert (retry.status, retry.value["status"]) == (200, "aborted")


async def test_a_commit_with_a_lost_response_is_read_back(state: KeyStore) -> None:
    api, client, _ = make_api(state)
    client.faults = ["lose"]
    assert (await api.submit(job())).status == 200
    assert (await api.show("j-000001")).value["status"] == "queued"


async def test_a_delayed_commit_creates_no_second_job(state: KeyStore) -> None:
    api, client, _ = make_api(state)
    client.faults = ["late"]
    assert (await api.submit(job())).status == 201
    await api.cancel("j-000001")
    assert client.deliver_delayed() == [409]
    assert (await api.show("j-000001")).value["status"] == "aborted"


async def test_requests_that_cannot_be_decided_get_503_at_once(state: KeyStore) -> None:
    api, client, controller = make_api(state)
    client.faults = ["refuse"] * 4
    for response in (
        await api.submit(job()),
        await api.show("j-000001"),
        await api.cancel("j-000001"),
        await api.submit(job(crew="nobody")),  # 422 would be wrong, since the job may have been accepted earlier
    ):
        assert response.status == 503
        assert response.headers["Retry-After"]
    controller.types = {}
    assert (await api.submit(job())).status == 503  # machine types unknown


async def test_a_submission_with_unknown_outcome_gets_503_after_two_attempts(state: KeyStore) -> None:
    """Guards against a response that is delayed for seconds, which keeps the user from retrying."""
    api, client, _ = make_api(state)
    client.faults = ["late"] * 9
    response = await api.submit(job())
    assert response.status == 503
    assert response.headers["Retry-After"]
    assert len(client.delayed_transactions) == 2
    client.faults = []
    client.deliver_delayed()  # whichever of the delayed commits is applied, a retry finds the job
    assert (await api.submit(job())).status == 200


async def test_a_submission_gets_503_soon_if_all_commits_hang(state: KeyStore) -> None:
    api, client, _ = make_api(state)

    async def hang(*_: Any, **__: Any) -> Any:
        await asyncio.sleep(30)

    client.commit = hang  # type: ignore[method-assign]
    hanging = []
    for n in range(4):
        hanging.append(asyncio.create_task(api.submit(job(f"j-{n:06d}"))))
        await asyncio.sleep(0.01)
    assert (await asyncio.wait_for(api.submit(job("j-000099")), 2)).status == 503
    for task in hanging:
        task.cancel()


async def test_an_accepted_job_is_never_refused(state: KeyStore) -> None:
    """Rule `forgotten`: a repeated submission gets 200 even if a new one like it would be refused now."""
    api, _, controller = make_api(state)
    await api.submit(job())
    controller.types = {"g16": TYPES["g16"]}
    assert (await api.submit(job(berthKinds=["m8"]))).status == 200
    assert (await api.submit(job("j-000002", berthKinds=["m8"]))).status == 422


async def test_a_cancellation_is_committed_before_it_is_confirmed(state: KeyStore) -> None:
    api, client, _ = make_api(state)
    await api.submit(job())
    client.faults = ["", "lose"]
    assert (await api.cancel("j-000001")).value["status"] == "aborted"
    assert state.get(job_key("j-000001"))[1]["value"]["state"] == wire.JobStatus.CANCELLED
    assert (await api.cancel("j-000009")).status == 404


async def test_a_completion_wins_over_a_delayed_cancellation(state: KeyStore) -> None:
    """Rule `went_back`: the commit of a cancellation is conditional on the revision that was read."""
    api, client, _ = make_api(state)
    await api.submit(job())
    record, version, _ = state.items[job_key("j-000001")]
    done = {**record, "state": wire.JobStatus.COMPLETED}
    client.faults = ["", "late"]

    original = client.get

    async def finish_first(key: str, timeout_us: int = 0) -> Any:
        if client.delayed_transactions:
            state.commit({"if": [{"path": key, "entryRev": version}], "then": [{"set": key, "value": done}]})
        return await original(key)

    client.get = finish_first  # type: ignore[method-assign]
    assert (await api.cancel("j-000001")).value["status"] == "done"
    assert client.deliver_delayed() == [409]
    assert (await api.show("j-000001")).value["status"] == "done"


async def test_unknown_jobs_get_404(state: KeyStore) -> None:
    api, _, _ = make_api(state)
    assert (await api.show("j-000404")).status == 404


@pytest.mark.parametrize(
    "change",
    [
        {"legs": 0},
        {"legs": 100_001},
        {"legs": 1.5},
        {"ref": "x-1"},
        {"ref": "j-"},
        {"ref": "j-1/2"},
        {"cores": float("nan")},
        {"cores": -1.0},
        {"cores": "4"},
        {"rig": "other"},
        {"urgency": None},
        {"spread": 1},
        {"voyageS": float("inf")},
        {"hull": ""},
        {"berthKinds": "m8"},
        {"cores": None},
    ],
)
def test_malformed_submissions_are_rejected(change: dict[str, Any]) -> None:
    with pytest.raises(wire.InvalidMessageError):
        wire.decode_submission(body_of(**{"ref": "j-1", **change}))


def test_missing_fields_and_bodies_that_are_not_a_map_are_rejected() -> None:
    body = body_of()
    del body["cores"]
    for value in (body, [], None, 3, "x"):
        with pytest.raises(wire.InvalidMessageError):
            wire.decode_submission(value)
    for raw in (b"", b"\xff", b"\xa1", b"\x01\x01"):
        with pytest.raises(wire.InvalidMessageError):
            wire.decode(raw)
    assert wire.decode_submission({**body_of(), "unheardOf": 1}).task_count == 2


async def test_a_job_that_can_never_run_gets_422(state: KeyStore) -> None:
    api, _, _ = make_api(state)
    for change in (
        {"crew": "nobody"},
        {"cores": 99.0},
        {"berthKinds": ["none"]},
        {"harbor": "mars"},
        {"rig": "gang", "legs": 9},
        {"rig": "standing", "legs": 9},
    ):
        assert (await api.submit(job(**change))).status == 422
    assert (await api.submit(job(legs=9))).status == 201  # an array can run one task at a time


async def test_concurrent_polls_share_one_read_and_are_never_stale(state: KeyStore) -> None:
    """Guards against one read per poll, which with many one-task jobs used the whole request budget."""
    api, client, _ = make_api(state)
    refs = [f"j-{n:06d}" for n in range(40)]
    for ref in refs:
        assert (await api.submit(job(ref, legs=1))).status == 201
    await api.show(refs[0])
    other, _, _ = make_api(state)
    # After one node's confirmation, every node has to report the cancellation.
    assert (await other.cancel(refs[7])).status == 200
    client.reads = 0
    responses = await asyncio.gather(*(api.show(ref) for ref in refs))
    assert [a.status for a in responses] == [200] * 40
    assert responses[7].value["status"] == "aborted"
    assert sum(a.value["status"] == "queued" for a in responses) == 39
    assert client.reads <= 2
    assert (await api.show("j-999999")).status == 404


async def test_a_poll_is_answered_by_a_refresh_sent_after_its_arrival(state: KeyStore) -> None:
    api, client, _ = make_api(state)
    await api.submit(job())
    await api.show("j-000001")
    other, _, _ = make_api(state)
    changes_read = asyncio.Event()
    original = client.watch

    async def slow(*args: Any, **kwargs: Any) -> Any:
        changes = await original(*args, **kwargs)
        changes_read.set()
        await asyncio.sleep(0.01)
        return changes

    client.watch = slow  # type: ignore[method-assign]
    first_poll = asyncio.create_task(api.show("j-000001"))
    await changes_read.wait()
    await other.cancel("j-000001")
    second_poll = await api.show("j-000001")  # arrives while the refresh for the first poll is in progress
    assert (await first_poll).value["status"] == "queued"
    assert second_poll.value["status"] == "aborted"


async def test_a_read_from_before_an_eviction_is_not_cached(state: KeyStore) -> None:
    api, _, _ = make_api(state)
    record = {"state": "queued", "job": {"legs": 1}}
    cache = api._jobs
    eviction_count = cache.eviction_count()
    await api.show("j-000002")  # the first refresh evicts all unfinished jobs
    cache.update_job("j-000001", record, 1, eviction_count)
    assert cache.snapshot("j-000001") is None


async def test_concurrent_submissions_are_committed_in_batches(state: KeyStore) -> None:
    api, client, _ = make_api(state)
    await api.submit(job("j-000003"))
    original = client.commit

    async def slow(*args: Any, **kwargs: Any) -> Any:
        await asyncio.sleep(0.01)
        return await original(*args, **kwargs)

    client.commit = slow  # type: ignore[method-assign]
    initial_commit_count = state.commit_count
    responses = await asyncio.gather(*(api.submit(job(f"j-{n:06d}")) for n in range(1, 8)))
    # The job that exists already does not make the other jobs in its transaction fail.
    assert sorted(a.status for a in responses) == [200] + [201] * 6
    assert state.commit_count - initial_commit_count <= 6


async def test_best_effort_jobs_get_503_before_other_jobs(state: KeyStore) -> None:
    api, _, _ = make_api(state)
    idle = await asyncio.gather(*(api.submit(job(f"j-{n:06d}", urgency="idle")) for n in range(60)))
    rejected = [a for a in idle if a.status == 503]
    assert rejected
    assert all(int(a.headers["Retry-After"]) >= 1 for a in rejected)
    assert (await api.submit(job("j-000100", urgency="production"))).status == 201


async def test_invalid_requests_get_their_error_under_full_load(state: KeyStore) -> None:
    api, _, _ = make_api(state)
    api._active_requests = 10_000

    class Body:
        def __init__(self, value: Any) -> None:
            self.value = value

        async def read(self) -> Any:
            return self.value

    async def status_of(method: str, path: str, value: Any = None) -> int:
        return (await api.handle(method, path, Body(value))).status  # type: ignore[arg-type]

    assert await status_of("GET", "/submissions/strange") == 404
    assert await status_of("POST", "/submissions/strange/cancel") == 404
    assert await status_of("DELETE", "/submissions/j-000001") == 405
    assert await status_of("GET", "/elsewhere") == 404
    with pytest.raises(wire.InvalidMessageError):  # 400
        await status_of("POST", "/submissions", {**body_of(), "cores": -1.0})
    assert await status_of("POST", "/submissions", body_of()) == 503
    assert await status_of("GET", "/submissions/j-000001") == 503


@pytest.mark.parametrize("tag", [2, 28, 35, 55799, 123_456])
def test_bodies_with_semantic_tags_are_refused_unread(tag: int) -> None:
    """Guards against a text that is compiled as a regular expression, for more than a minute on the event loop."""
    costly = "(?i)" + "[\u0000-\U0010ffff]" * 6_000
    body = cbor2.dumps({"ref": cbor2.CBORTag(tag, costly)})
    begin = time.process_time()
    with pytest.raises(wire.InvalidMessageError):
        wire.decode(body)
    assert time.process_time() - begin < 1.0
