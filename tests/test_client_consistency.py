"""Users' stories: answers that stay true whatever happens to the commits behind them."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from oatport import wire
from oatport.api.job_api import JobApi
from oatport.control.storage.keys import job_key
from oatport.simulation.state_service import KeyStore
from tests.cluster_fixture import TYPES, FakeStateClient, node_settings
from tests.cluster_fixture import job as body_of


class FakeControllerNode:
    def __init__(self) -> None:
        self.types = dict(TYPES)
        self.job_progress: dict[str, tuple[int, int]] = {}
        self.told: list[str] = []

    def is_ready(self) -> bool:
        return True

    def notify_accepted(self, ref: str, record: dict[str, Any], revision: int) -> None:
        self.told.append(ref)

    def notify_cancelled(self, ref: str, revision: int = 0) -> None:
        self.told.append("x" + ref)


def job(ref: str = "j-000001", **changes: Any) -> wire.Submission:
    return wire.decode_submission(body_of(ref, **changes))


@pytest.fixture
def state() -> KeyStore:
    return KeyStore(lambda: 0)


def node(state: KeyStore) -> tuple[JobApi, FakeStateClient, FakeControllerNode]:
    client, desk = FakeStateClient(state), FakeControllerNode()
    return JobApi(node_settings(), client, desk), client, desk  # type: ignore[arg-type]


async def test_accepted_once_for_ever(state: KeyStore) -> None:
    users, _, desk = node(state)
    other, _, _ = node(state)
    assert (await users.submit(job())).status == 201
    assert (await other.submit(job())).status == 200
    assert state.revision == 1
    assert desk.told == ["j-000001"]
    assert (await other.cancel("j-000001")).value == {"ref": "j-000001", "status": "aborted"}
    again = await users.submit(job())  # a retry may come when the job is over
    assert (again.status, again.value["status"]) == (200, "aborted")


async def test_a_lost_answer_to_the_commit_is_read_back(state: KeyStore) -> None:
    users, client, _ = node(state)
    client.faults = ["lose"]
    assert (await users.submit(job())).status == 200
    assert (await users.show("j-000001")).value["status"] == "queued"


async def test_a_late_commit_makes_no_second_job(state: KeyStore) -> None:
    users, client, _ = node(state)
    client.faults = ["late"]
    assert (await users.submit(job())).status == 201
    await users.cancel("j-000001")
    assert client.deliver_late() == [409]
    assert (await users.show("j-000001")).value["status"] == "aborted"


async def test_what_cannot_be_decided_is_503_at_once(state: KeyStore) -> None:
    users, client, desk = node(state)
    client.faults = ["refuse"] * 4
    for answer in (
        await users.submit(job()),
        await users.show("j-000001"),
        await users.cancel("j-000001"),
        await users.submit(job(crew="nobody")),  # not even 422: it might be a known job
    ):
        assert answer.status == 503
        assert answer.headers["Retry-After"]
    desk.types = {}
    assert (await users.submit(job())).status == 503  # machine types unknown


async def test_a_submission_that_stays_unsure_is_sent_away_after_two_tries(state: KeyStore) -> None:
    """It was once held back for seconds, so that the user would not ask again."""
    users, client, _ = node(state)
    client.faults = ["late"] * 9
    answer = await users.submit(job())
    assert answer.status == 503
    assert answer.headers["Retry-After"]
    assert len(client.held) == 2
    client.faults = []
    client.deliver_late()  # whichever arrives, the user who comes back learns that the job is there
    assert (await users.submit(job())).status == 200


async def test_nobody_waits_long_for_a_slot(state: KeyStore) -> None:
    users, client, _ = node(state)

    async def hang(*_: Any, **__: Any) -> Any:
        await asyncio.sleep(30)

    client.commit = hang  # type: ignore[method-assign]
    busy = []
    for n in range(4):
        busy.append(asyncio.create_task(users.submit(job(f"j-{n:06d}"))))
        await asyncio.sleep(0.01)
    assert (await asyncio.wait_for(users.submit(job("j-000099")), 2)).status == 503
    for task in busy:
        task.cancel()


async def test_a_known_job_is_never_refused(state: KeyStore) -> None:
    """forgotten: a repeated submission gets 200 even if it would be judged otherwise today."""
    users, _, desk = node(state)
    await users.submit(job())
    desk.types = {"g16": TYPES["g16"]}
    assert (await users.submit(job(berthKinds=["m8"]))).status == 200
    assert (await users.submit(job("j-000002", berthKinds=["m8"]))).status == 422


async def test_cancel_is_committed_before_it_is_told(state: KeyStore) -> None:
    users, client, _ = node(state)
    await users.submit(job())
    client.faults = ["", "lose"]
    assert (await users.cancel("j-000001")).value["status"] == "aborted"
    assert state.get(job_key("j-000001"))[1]["value"]["state"] == wire.JobStatus.CANCELLED
    assert (await users.cancel("j-000009")).status == 404


async def test_done_wins_over_a_late_cancel(state: KeyStore) -> None:
    """went_back: the cancel's commit is conditioned on the version that it read."""
    users, client, _ = node(state)
    await users.submit(job())
    record, version, _ = state.items[job_key("j-000001")]
    done = {**record, "state": wire.JobStatus.COMPLETED}
    client.faults = ["", "late"]

    original = client.get

    async def finish_first(key: str, timeout_us: int = 0) -> Any:
        if client.held:
            state.commit({"if": [{"path": key, "entryRev": version}], "then": [{"set": key, "value": done}]})
        return await original(key)

    client.get = finish_first  # type: ignore[method-assign]
    assert (await users.cancel("j-000001")).value["status"] == "done"
    assert client.deliver_late() == [409]
    assert (await users.show("j-000001")).value["status"] == "done"


async def test_unknown_jobs_are_404_and_nothing_is_invented(state: KeyStore) -> None:
    users, _, _ = node(state)
    assert (await users.show("j-000404")).status == 404


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
def test_malformed_submissions(change: dict[str, Any]) -> None:
    with pytest.raises(wire.InvalidMessageError):
        wire.decode_submission(body_of(**{"ref": "j-1", **change}))


def test_missing_fields_and_bodies_that_are_no_map() -> None:
    body = body_of()
    del body["cores"]
    for value in (body, [], None, 3, "x"):
        with pytest.raises(wire.InvalidMessageError):
            wire.decode_submission(value)
    for raw in (b"", b"\xff", b"\xa1", b"\x01\x01"):
        with pytest.raises(wire.InvalidMessageError):
            wire.decode(raw)
    assert wire.decode_submission({**body_of(), "unheardOf": 1}).task_count == 2


async def test_what_can_never_run(state: KeyStore) -> None:
    users, _, _ = node(state)
    for change in (
        {"crew": "nobody"},
        {"cores": 99.0},
        {"berthKinds": ["none"]},
        {"harbor": "mars"},
        {"rig": "gang", "legs": 9},
        {"rig": "standing", "legs": 9},
    ):
        assert (await users.submit(job(**change))).status == 422
    assert (await users.submit(job(legs=9))).status == 201  # an array: one task at a time is enough


async def test_polls_that_wait_share_one_read_and_are_never_stale(state: KeyStore) -> None:
    """A swarm of one-task jobs: a read for each poll took the whole budget of the state service."""
    users, client, _ = node(state)
    refs = [f"j-{n:06d}" for n in range(40)]
    for ref in refs:
        assert (await users.submit(job(ref, legs=1))).status == 201
    await users.show(refs[0])
    other, _, _ = node(state)
    assert (await other.cancel(refs[7])).status == 200  # told by another node: nobody may say less from now on
    client.reads = 0
    answers = await asyncio.gather(*(users.show(ref) for ref in refs))
    assert [a.status for a in answers] == [200] * 40
    assert answers[7].value["status"] == "aborted"
    assert sum(a.value["status"] == "queued" for a in answers) == 39
    assert client.reads <= 2
    assert (await users.show("j-999999")).status == 404


async def test_a_poll_is_answered_from_a_question_asked_after_it(state: KeyStore) -> None:
    users, client, _ = node(state)
    await users.submit(job())
    await users.show("j-000001")
    other, _, _ = node(state)
    asked = asyncio.Event()
    real = client.watch

    async def slow(*args: Any, **more: Any) -> Any:
        found = await real(*args, **more)
        asked.set()
        await asyncio.sleep(0.01)
        return found

    client.watch = slow  # type: ignore[method-assign]
    early = asyncio.create_task(users.show("j-000001"))
    await asked.wait()
    await other.cancel("j-000001")
    late = await users.show("j-000001")  # comes while the question of the first is under way
    assert (await early).value["status"] == "queued"
    assert late.value["status"] == "aborted"


async def test_what_was_forgotten_meanwhile_is_not_learnt_from_an_older_read(state: KeyStore) -> None:
    users, _, _ = node(state)
    record = {"state": "queued", "job": {"legs": 1}}
    view = users._jobs
    mark = view.mark()
    await users.show("j-000002")  # the first refresh forgets all
    view.learn("j-000001", record, 1, mark)
    assert view.snapshot("j-000001") is None


async def test_jobs_that_come_at_once_are_committed_together(state: KeyStore) -> None:
    users, client, _ = node(state)
    await users.submit(job("j-000003"))
    real = client.commit

    async def slow(*args: Any, **more: Any) -> Any:
        await asyncio.sleep(0.01)
        return await real(*args, **more)

    client.commit = slow  # type: ignore[method-assign]
    before = state.commit_count
    answers = await asyncio.gather(*(users.submit(job(f"j-{n:06d}")) for n in range(1, 8)))
    # The known one in a transaction does not hurt the others.
    assert sorted(a.status for a in answers) == [200] + [201] * 6
    assert state.commit_count - before <= 6


async def test_idle_work_is_told_to_come_back_before_the_rest_is(state: KeyStore) -> None:
    users, _, _ = node(state)
    idle = await asyncio.gather(*(users.submit(job(f"j-{n:06d}", urgency="idle")) for n in range(60)))
    told = [a for a in idle if a.status == 503]
    assert told
    assert all(int(a.headers["Retry-After"]) >= 1 for a in told)
    assert (await users.submit(job("j-000100", urgency="production"))).status == 201


async def test_bad_requests_are_told_so_under_full_load(state: KeyStore) -> None:
    users, _, _ = node(state)
    users._requests = 10_000

    class Body:
        def __init__(self, value: Any) -> None:
            self.value = value

        async def read(self) -> Any:
            return self.value

    async def ask(method: str, path: str, value: Any = None) -> int:
        return (await users.handle(method, path, Body(value))).status  # type: ignore[arg-type]

    assert await ask("GET", "/submissions/strange") == 404
    assert await ask("POST", "/submissions/strange/cancel") == 404
    assert await ask("DELETE", "/submissions/j-000001") == 405
    assert await ask("GET", "/elsewhere") == 404
    with pytest.raises(wire.InvalidMessageError):  # 400
        await ask("POST", "/submissions", {**body_of(), "cores": -1.0})
    assert await ask("POST", "/submissions", body_of()) == 503
    assert await ask("GET", "/submissions/j-000001") == 503
