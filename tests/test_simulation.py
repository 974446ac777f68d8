"""The world itself: its network, its models of what is outside, its checker; stories of several real nodes in it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from oatport import wire
from oatport.clients.http import NoResponseError, RequestNotSentError
from oatport.control.state.job import Job
from oatport.control.state.job_lifecycle import JobLifecycle
from oatport.lab import SAFETY_CHECKS as NAMES
from oatport.simulation.deployment import TYPES, cluster_settings
from oatport.simulation.fault_plan import ALL, Fault, InvalidPlanError, Plan, parse, read
from oatport.simulation.gang_coordinator import GangCoordinator
from oatport.simulation.invariant_checker import InvariantChecker
from oatport.simulation.mutations import MUTATIONS, mutated
from oatport.simulation.network import RECONNECT_MAX_US, LinkRule, Net
from oatport.simulation.runner import RunRequest, describe_failure, run_scenario, simulate
from oatport.simulation.scenario_generator import random_plan
from oatport.simulation.state_service import KeyStore
from oatport.simulation.submitted_job import SubmittedJob
from oatport.simulation.virtual_time import Host, VirtualLoop
from oatport.simulation.worker import Worker
from oatport.times import SECOND, steady
from tests.cluster_fixture import job

SMALL = Plan(for_s=40.0, machines=20, jobs_a_minute=20.0)


class Pair:
    """Two hosts, one of which echoes what it is asked."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.net = Net(self.loop, 1)
        self.a, self.b = Host(self.loop, "a", "any"), Host(self.loop, "b", "any", "node")
        self.heard: list[tuple[float, Any]] = []
        self.net.listen("b:1", self.b, self._serve)

    def _serve(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        self.heard.append((self.loop.time(), body))
        return 200, body

    def ask(self, body: Any, timeout_us: int = SECOND) -> Coroutine[Any, Any, tuple[int, Any]]:
        return self.net.request(self.a, "b:1", "POST", "/x", body, timeout_us, "")

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        asyncio.set_event_loop(self.loop)
        try:
            return self.loop.run_until_complete(self.loop.create_task(work, context=self.a.context))
        finally:
            self.loop.cancel_all_tasks()
            asyncio.set_event_loop(None)


# --- the network ------------------------------------------------------------------------------------


def test_what_was_sent_into_a_cut_arrives_late_and_what_was_not_connected_never() -> None:
    pair = Pair()

    async def story() -> None:
        assert await pair.ask("first") == (200, "first")  # leaves one connection open
        cut = LinkRule("a", "b", "hold")
        pair.net.add(cut)
        for body in ("on the connection", "would need another"):
            with pytest.raises(NoResponseError):
                await pair.ask(body)
        assert len(pair.heard) == 1
        pair.net.remove(cut)
        await asyncio.sleep(RECONNECT_MAX_US / SECOND + 1)

    pair.run(story())
    assert [body for _, body in pair.heard] == ["first", "on the connection"]


def test_a_cut_of_one_way_lets_a_request_through_and_holds_its_answer() -> None:
    pair = Pair()

    async def story() -> None:
        await pair.ask("first")
        pair.net.add(LinkRule("b", "a", "hold"))
        with pytest.raises(NoResponseError):
            await pair.ask("executed")

    pair.run(story())
    assert [body for _, body in pair.heard] == ["first", "executed"]


def test_a_lost_message_never_arrives_and_a_refused_connection_is_known_not_to() -> None:
    pair = Pair()

    async def story() -> None:
        await pair.ask("first")
        cut = LinkRule("a", "b", "lost")
        pair.net.add(cut)
        with pytest.raises(NoResponseError):
            await pair.ask("lost")
        pair.net.remove(cut)
        pair.net.add(LinkRule("a", "b", "refuse"))
        with pytest.raises(RequestNotSentError):
            await pair.ask("refused")

    pair.run(story())
    assert [body for _, body in pair.heard] == ["first"]


def test_a_host_that_stands_still_answers_when_it_goes_on_and_its_clocks_ran() -> None:
    pair = Pair()
    seen: list[tuple[float, int]] = []

    async def clock() -> None:
        while True:
            seen.append((pair.loop.time(), steady()))
            await asyncio.sleep(1.0)

    async def story() -> None:
        pair.loop.create_task(clock(), context=pair.b.context)
        await asyncio.sleep(2.5)
        pair.b.freeze()
        with pytest.raises(NoResponseError):
            await pair.ask("waits")
        await asyncio.sleep(4)
        pair.b.thaw()
        await asyncio.sleep(1.5)

    pair.run(story())
    gaps = [later - earlier for (earlier, _), (later, _) in pairwise(seen)]
    assert max(gaps) > 4.9  # it did nothing meanwhile
    assert seen[-1][1] - seen[0][1] >= 8 * SECOND  # but time passed for it
    assert pair.heard[0][0] > 1_007


def test_a_host_that_ends_resets_its_connections_and_refuses_new_ones() -> None:
    pair = Pair()

    async def slow(method: str, path: str, body: Any) -> tuple[int, Any]:
        await asyncio.sleep(100)
        return 200, None

    async def story() -> None:
        pair.net.listen("b:1", pair.b, slow)
        pair.loop.call_later_us(SECOND, None, lambda: (pair.b.end(), pair.net.ended(pair.b)))
        began = pair.loop.time()
        with pytest.raises(NoResponseError, match="reset"):
            await pair.ask("under way", 30 * SECOND)
        assert pair.loop.time() - began < 1.1
        with pytest.raises(RequestNotSentError):
            await pair.ask("after")

    pair.run(story())


# --- models of what is outside ------------------------------------------------------------------------


def test_leases_have_their_full_time_again_after_an_outage() -> None:
    now = [0]
    store = KeyStore(lambda: now[0])
    lease = store.grant_lease(3_000)[1]["permit"]
    store.commit({"if": [{"path": "k", "entryRev": 0}], "then": [{"set": "k", "value": 1, "permit": lease}]})
    now[0] = 2 * SECOND
    store.renew_all()
    now[0] = 4 * SECOND
    assert store.get("k")[0] == 200
    now[0] = 6 * SECOND
    assert store.get("k")[0] == 404


def test_changes_that_are_not_kept_any_more_are_refused() -> None:
    store = KeyStore(lambda: 0)
    for number in range(20_002):
        store.commit({"then": [{"set": "k", "value": number}]})
    assert store.changes("k", 1)[0] == 410
    assert len(store.changes("k", store.revision - 5)[1]["news"]) == 5


class Gang:
    """Two machines and a gang's two tasks, with different images to fetch."""

    def __init__(self, **changes: Any) -> None:
        self.now = 0
        body = job(rig="gang", legs=2, cores=2.0, voyageS=20.0, sizeGb=2.0, **changes)
        gangs = GangCoordinator(30 * SECOND, 4 * SECOND)
        self.workers = [
            Worker(
                lambda: self.now,
                f"vm-{n}",
                f"h{n}",
                "m8",
                "a",
                False,
                8.0,
                lambda ref: body,
                12 * SECOND,
                TYPES["m8"],
                gangs,
            )
            for n in (1, 2)
        ]
        self.tasks = [f"{body['ref']}/{n}" for n in (0, 1)]

    def order(self, number: int, kind: str, **more: Any) -> None:
        worker = self.workers[number]
        order = {"orderKind": kind, "leg": self.tasks[number], "sailing": 1, **more}
        worker.commands({"helm": 1, "watch": worker.session, "orders": [order]})

    def at(self, seconds: float) -> list[tuple[str, str | None]]:
        while self.now < round(seconds * SECOND):
            self.now += SECOND // 2
            for worker in self.workers:
                worker.lease_renewed_at = self.now
                worker.advance()
        return [(h.status, h.exit_reason) for worker in self.workers for h in worker.tasks.values()]


def test_a_gang_starts_together_and_completes_together() -> None:
    gang = Gang()
    gang.order(0, "start")
    assert gang.at(4) == [("waiting", None)]
    gang.order(1, "start")
    assert gang.at(5)[0] == ("waiting", None)
    assert gang.at(7) == [("running", None)] * 2
    assert gang.at(28) == [("ended", "done")] * 2


def test_a_gang_that_stays_incomplete_gives_up_and_one_that_loses_a_task_ends() -> None:
    gang = Gang()
    gang.order(0, "start")
    assert gang.at(40) == [("ended", "incomplete")]
    gang = Gang()
    gang.order(0, "start")
    gang.order(1, "start")
    gang.at(6)
    gang.workers[1].kill("died")
    assert gang.at(9) == [("running", None)]
    assert gang.at(12) == [("ended", "mates_gone")]


def test_a_stopped_task_saves_if_it_gets_the_time_and_goes_on_from_there() -> None:
    gang = Gang(mooringS=5.0, stowS=2.0)
    worker = gang.workers[0]
    body = job(legs=1, voyageS=20.0, mooringS=5.0, stowS=2.0, sizeGb=0.0)
    worker._job_of = lambda ref: body
    gang.order(0, "start")
    gang.at(8)
    gang.order(0, "stop", slackS=3.0)
    assert gang.at(9) == [("flushing", None)]
    assert gang.at(11) == [("ended", "halted")]
    assert worker.progress[gang.tasks[0]] >= 8 * SECOND
    gang.order(0, "forget")
    worker.commands({"helm": 1, "watch": 1, "orders": [{"orderKind": "start", "leg": gang.tasks[0], "sailing": 2}]})
    assert gang.at(22) == [("running", None)]
    assert gang.at(24) == [("ended", "done")]  # 12 s were left


def test_a_lease_that_runs_out_ends_all_and_a_lower_token_is_dropped() -> None:
    gang = Gang()
    worker = gang.workers[0]
    worker._job_of = lambda ref: job(legs=1, voyageS=500.0)
    gang.order(0, "start")
    assert not worker.answer(0, 1, {"helm": 0, "orders": []})
    gang.now = 13 * SECOND
    worker.advance()
    assert (worker.tasks, worker.session, worker.lease_kill_count) == ({}, 2, 1)
    assert worker.commands({"helm": 1, "watch": 1, "orders": []})[0] == 409


# --- the checker --------------------------------------------------------------------------------------


class Judged:
    def __init__(self, **changes: Any) -> None:
        self.loop = VirtualLoop()
        self.checker = InvariantChecker(self.loop, cluster_settings(SMALL))
        self.ask = SubmittedJob(job(**{"crew": "east", "legs": 2, **changes}), 1_000.0)
        self.checker.jobs[self.ask.job_id] = self.ask

    def worker(self, number: int, **changes: Any) -> Worker:
        of = {"zone": "a", "spot": False, **changes}
        return Worker(lambda: 0, f"vm-{number}", f"h{number}", "m8", of["zone"], of["spot"], 8.0, lambda ref: None)

    def task(self, number: int) -> str:
        return f"{self.ask.job_id}/{number}"

    def told(self, what: str, status: int, state: str = "") -> None:
        self.checker.on_user_answer(self.ask, what, status, {"status": state} if state else None)


def broke(judged: Judged) -> set[str]:
    judged.loop.close()
    return judged.checker.broken_invariants


def test_the_checker_sees_what_is_on_machines() -> None:
    twice = Judged()
    twice.checker.on_task_started(twice.worker(1), twice.task(0), 1)
    twice.checker.on_task_started(twice.worker(2), twice.task(0), 2)
    assert broke(twice) == {"ran_twice"}
    wrong = Judged(driftwood=False, spread=True)
    wrong.checker.on_task_started(wrong.worker(1, spot=True), wrong.task(0), 1)
    assert broke(wrong) == {"wrong_place"}
    spread = Judged(spread=True)
    spread.checker.on_task_started(spread.worker(1), spread.task(0), 1)
    spread.checker.on_task_started(spread.worker(2), spread.task(1), 1)
    assert broke(spread) == {"wrong_place"}
    quota = Judged(cores=8.0, legs=9)
    for number in range(9):
        quota.checker.on_task_started(quota.worker(number), quota.task(number), 1)
    assert broke(quota) == {"quota"}  # a quarter of 160 CPUs
    moved = Judged()
    moved.checker.on_task_started(moved.worker(1), moved.task(0), 1)
    moved.checker.on_task_stopped(moved.worker(1), moved.task(0), 1, "lease")  # of another machine's: it stays
    assert broke(moved) == set()


def test_the_checker_hears_what_users_are_told() -> None:
    early = Judged()
    early.told("submit", 201, "queued")
    early.told("poll", 200, "done")
    assert broke(early) == {"not_done"}
    back = Judged()
    back.ask.cancel_at = 1_000.0
    back.told("submit", 201, "queued")
    back.told("cancel", 200, "aborted")
    back.told("poll", 200, "running")
    assert broke(back) == {"went_back"}
    lost = Judged()
    lost.ask.accepted_at = 1_000.0
    lost.told("poll", 404)
    assert broke(lost) == {"forgotten"}
    nobodys = Judged()
    nobodys.told("submit", 201, "queued")
    nobodys.told("poll", 200, "aborted")
    assert broke(nobodys) == {"went_back"}
    ghost = Judged()
    ghost.checker.on_unknown_job_poll("j-900000", 200)
    ghost.checker.finish()
    assert broke(ghost) == {"invented", "nothing_ran"}


# --- plans ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("table", "said"),
    [
        ({"faults": [{"kind": "nodes_cut", "at_s": 1}]}, "faults[0].kind: must be one of"),
        ({"faults": [{"kind": "node_cut"}]}, "faults[0]: needs a kind and at_s"),
        ({"faults": [{"kind": "node_cut", "at_s": float("nan")}]}, "faults[0].at_s: must be a number"),
        ({"faults": [{"kind": "zone_cut", "at_s": 1, "node": "n0"}]}, "faults[0].node: no field of zone_cut"),
        ({"faults": [{"kind": "node_cut", "at_s": 1, "way": "up"}]}, "faults[0].way: must be one of both, to, from"),
        ({"faults": [{"kind": "node_crash", "at_s": 1, "for_s": 0.01}]}, "faults[0].for_s: must be a number from 0.05"),
        ({"faults": [{"kind": "node_crash", "at_s": 1}]}, "faults[0].for_s: must be a number from 0.05"),
        ({"nodes": 8}, "nodes: must be a number from 1 to 7"),
        ({"machnies": 8}, "machnies: no such field"),
        ({"faults": 3}, "faults: must be a list"),
    ],
)
def test_a_bad_plan_gets_one_line_that_names_the_field(table: dict[str, Any], said: str) -> None:
    with pytest.raises(InvalidPlanError) as found:
        parse(table)
    assert str(found.value).startswith(said)
    assert "\n" not in str(found.value)


def test_a_plan_that_is_written_down_reads_as_it_was(tmp_path: Path) -> None:
    drawn = random_plan(5)
    (tmp_path / "plan.toml").write_text(drawn.toml())
    assert read(tmp_path / "plan.toml") == drawn
    with pytest.raises(InvalidPlanError, match=r"missing\.toml"):
        read(tmp_path / "missing.toml")


# --- stories of several nodes -----------------------------------------------------------------------------


def test_a_calm_world_serves_everybody_and_repeats_itself() -> None:
    first, again = (run_scenario(RunRequest(plan=SMALL), 3) for _ in range(2))
    assert (first.violations, first.errors) == ([], [])
    assert first.digest == again.digest
    assert first.messages > 500
    assert {name: row["accepted"] for name, row in first.served_by_team.items()} == {
        "north": 1.0,
        "south": 1.0,
        "east": 1.0,
    }
    assert first.served_by_class["serve"]["completed"] > 0.8
    assert first.leaderless_s_max <= 0.5


def test_the_leader_ends_and_the_next_one_goes_on_from_the_records() -> None:
    plan = Plan((Fault("node_crash", 15.0, 4.0),), 40.0, 3, 20, 20.0)
    found = run_scenario(RunRequest(plan=plan), 4)
    assert (found.violations, found.errors) == ([], [])
    assert 2.0 < found.leaderless_s_max < 5.0
    assert found.counts["lease_kills"] == 0


def test_a_leader_without_the_state_service_hands_over_while_workers_reach_it() -> None:
    plan = Plan((Fault("node_cut", 15.0, 20.0, what="state"),), 40.0, 3, 20, 20.0)
    found = run_scenario(RunRequest(plan=plan), 4)
    assert (found.violations, found.errors) == ([], [])
    assert found.leaderless_s_max < 5.0
    assert found.counts["lease_kills"] == 0


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_safety_check_can_be_disabled(name: str) -> None:
    """A method that was renamed and is still patched by its old name is noticed here, not only in a run."""
    with mutated(name):
        pass


def test_a_disabled_failure_confirmation_is_caught() -> None:
    """Machines that are only cut off are taken to be gone. docs/simulation.md lists all safety checks."""
    assert set(MUTATIONS) == set(NAMES)
    plan = Plan((Fault("machine_cut", 10.0, 30.0, count=8),), 24.0, 3, 20, 40.0)
    asked = RunRequest(plan=plan, disabled_check="failure-confirmation")
    assert any("ran_twice" in row for seed in range(12) for row in run_scenario(asked, seed).violations)


def test_a_failing_run_tells_its_seed_the_least_plan_and_the_last_messages() -> None:
    """Starts go out before they are recorded, the leader ends, and a zone that could tell what runs is not heard."""

    def lost(at: float) -> tuple[Fault, ...]:
        return (
            Fault("rush", at - 1, 2.2, name="guest", amount=40.0),
            Fault("node_cut", at, 1.2, what="state", mode="lost", way="to"),
            Fault("node_crash", at + 0.8, 0.1),
            Fault("links_cut", at + 0.8, 4.0, source="zone:a", target="node"),
        )

    plan = Plan((Fault("cloud_down", 33.0, 0.5), *lost(10), *lost(26)), 34.0, 3, 20, 10.0)
    unwritten = RunRequest(plan=plan, disabled_check="write-ahead")
    # Broken before the cloud is down, which has nothing to do with it then.
    failed = next(
        result
        for seed in range(24)
        if (result := run_scenario(unwritten, seed)).violations
        and float(result.violations[0].split(" at ")[1].split(" ")[0]) < 33.0
    )
    told = describe_failure(unwritten, failed)
    assert f"seed {failed.seed} fails:" in told
    assert "/commands" in told
    assert "cloud_down" not in told  # it has nothing to do with it


def test_many_seeds_are_counted_together() -> None:
    figures, bad = simulate(RunRequest(seed=1, seeds=2, machines=20, plan=SMALL), jobs=1)
    assert bad == []
    assert (figures["seeds"], figures["violations"], figures["caught"], figures["errors"]) == (2, 0, 0, 0)
    named = {"lease_kills", "leaderless_s_max", "served_min_class", "served_min_team", "state_429", "wall_s"}
    assert named <= figures.keys()


def test_no_class_and_no_team_is_under_half_while_there_is_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """A rush of one class ten times: the others and the least of the teams are served, or have no room."""
    rush = Fault("rush", 5.0, 30.0, name="batch", amount=10.0)
    plan = Plan((rush, Fault("node_crash", 20.0, 0.1, node=ALL)), 60.0, 3, 24, 20.0)
    served = run_scenario(RunRequest(plan=plan), 2)
    assert (served.violations, served.errors, served.starved) == ([], [], [])
    add = JobLifecycle.add

    def passes_over(self: JobLifecycle, ref: str, spec: wire.Submission, version: int, at: int) -> Job:
        job = add(self, ref, spec, version, at)
        if spec.job_class == "batch":
            self.cluster.pending.discard(job)
        return job

    monkeypatch.setattr(JobLifecycle, "add", passes_over)
    starved = run_scenario(RunRequest(plan=Plan((), 60.0, 3, 24, 20.0)), 6).starved
    assert [row.split(":")[0] for row in starved] == ["batch", "south"]
