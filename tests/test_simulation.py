"""Tests of the simulation: its network, its models of external systems, its checker, and runs of several real nodes."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Coroutine
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from oatport import wire
from oatport.clients.http import NoResponseError, RequestNotSentError
from oatport.control.state.job import Job
from oatport.control.state.job_lifecycle import JobLifecycle
from oatport.lab import SAFETY_CHECKS
from oatport.simulation.deployment import MACHINE_TYPES, cluster_settings
from oatport.simulation.fault_plan import ALL, Fault, InvalidPlanError, Plan, parse, read
from oatport.simulation.gang_coordinator import GangCoordinator
from oatport.simulation.invariant_checker import InvariantChecker
from oatport.simulation.mutations import MUTATIONS, safety_check_disabled
from oatport.simulation.network import RECONNECT_MAX_US, LinkRule, SimulatedNetwork
from oatport.simulation.runner import RunRequest, describe_failure, run_scenario, simulate
from oatport.simulation.scenario_generator import random_plan, restarted_machines_plan
from oatport.simulation.state_service import KeyStore
from oatport.simulation.submitted_job import SubmittedJob
from oatport.simulation.virtual_time import Host, VirtualLoop
from oatport.simulation.worker import Worker
from oatport.times import SECOND, steady
from tests.cluster_fixture import job

SMALL_PLAN = Plan(for_s=40.0, machines=20, jobs_a_minute=20.0)


class EchoHosts:
    """Two hosts, one of which echoes the bodies of requests."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.net = SimulatedNetwork(self.loop, 1)
        self.a, self.b = Host(self.loop, "a", "any"), Host(self.loop, "b", "any", "node")
        self.received: list[tuple[float, Any]] = []
        self.net.listen("b:1", self.b, self._serve)

    def _serve(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        self.received.append((self.loop.time(), body))
        return 200, body

    def send_request(self, body: Any, timeout_us: int = SECOND) -> Coroutine[Any, Any, tuple[int, Any]]:
        return self.net.request(self.a, "b:1", "POST", "/x", body, timeout_us, "")

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        asyncio.set_event_loop(self.loop)
        try:
            return self.loop.run_until_complete(self.loop.create_task(work, context=self.a.context))
        finally:
            self.loop.cancel_all_tasks()
            asyncio.set_event_loop(None)


# --- the network ------------------------------------------------------------------------------------


def test_messages_held_by_a_cut_arrive_later_and_unconnected_requests_never() -> None:
    hosts = EchoHosts()

    async def scenario() -> None:
        assert await hosts.send_request("first") == (200, "first")  # leaves one connection open, which is reused
        cut = LinkRule("a", "b", "hold")
        hosts.net.add_rule(cut)
        for body in ("on the connection", "would need another"):
            with pytest.raises(NoResponseError):
                await hosts.send_request(body)
        assert len(hosts.received) == 1
        hosts.net.remove_rule(cut)
        await asyncio.sleep(RECONNECT_MAX_US / SECOND + 1)

    hosts.run(scenario())
    assert [body for _, body in hosts.received] == ["first", "on the connection"]


def test_a_one_way_cut_delivers_a_request_and_holds_its_response() -> None:
    hosts = EchoHosts()

    async def scenario() -> None:
        await hosts.send_request("first")
        hosts.net.add_rule(LinkRule("b", "a", "hold"))
        with pytest.raises(NoResponseError):
            await hosts.send_request("executed")

    hosts.run(scenario())
    assert [body for _, body in hosts.received] == ["first", "executed"]


def test_lost_messages_never_arrive_and_refused_requests_raise_not_sent() -> None:
    hosts = EchoHosts()

    async def scenario() -> None:
        await hosts.send_request("first")
        cut = LinkRule("a", "b", "lost")
        hosts.net.add_rule(cut)
        with pytest.raises(NoResponseError):
            await hosts.send_request("lost")
        hosts.net.remove_rule(cut)
        hosts.net.add_rule(LinkRule("a", "b", "refuse"))
        with pytest.raises(RequestNotSentError):
            await hosts.send_request("refused")

    hosts.run(scenario())
    assert [body for _, body in hosts.received] == ["first"]


def test_a_paused_host_answers_after_it_resumes_and_its_clocks_advance() -> None:
    hosts = EchoHosts()
    readings: list[tuple[float, int]] = []

    async def read_clocks() -> None:
        while True:
            readings.append((hosts.loop.time(), steady()))
            await asyncio.sleep(1.0)

    async def scenario() -> None:
        hosts.loop.create_task(read_clocks(), context=hosts.b.context)
        await asyncio.sleep(2.5)
        hosts.b.freeze()
        with pytest.raises(NoResponseError):
            await hosts.send_request("waits")
        await asyncio.sleep(4)
        hosts.b.thaw()
        await asyncio.sleep(1.5)

    hosts.run(scenario())
    gaps = [later - earlier for (earlier, _), (later, _) in pairwise(readings)]
    assert max(gaps) > 4.9  # the host executed nothing while paused
    assert readings[-1][1] - readings[0][1] >= 8 * SECOND  # its clocks advanced during the pause
    assert hosts.received[0][0] > 1_007


@pytest.mark.parametrize(
    ("method", "path", "is_copied"),
    [
        ("POST", wire.COMMANDS_PATH, True),
        ("POST", wire.COMMIT_PATH, True),
        ("POST", wire.PEER_PATH, True),
        ("POST", wire.RELEASE_PATH, True),
        ("POST", f"{wire.LEASES_PATH}/7/touch", True),
        ("DELETE", f"{wire.LEASES_PATH}/7", True),
        ("GET", wire.STORE_PATH, False),
        ("POST", wire.HEARTBEAT_PATH, False),  # the fault report_copies copies heartbeats
    ],
)
def test_copies_of_answered_requests_arrive_later_and_their_responses_reach_nobody(
    method: str, path: str, is_copied: bool
) -> None:
    hosts = EchoHosts()
    hosts.net.duplications.append(("requests", 5.0, []))

    async def scenario() -> None:
        for number in range(60):
            response = await hosts.net.request(hosts.a, "b:1", method, path, number, SECOND, "")
            assert response == (200, number)
        await asyncio.sleep(6)

    hosts.run(scenario())
    copies = Counter(body for _, body in hosts.received)
    assert set(copies) == set(range(60))
    assert max(copies.values()) == (2 if is_copied else 1)
    if is_copied:
        last_arrivals = {body: at for at, body in hosts.received}
        assert max(at for body, at in last_arrivals.items() if copies[body] == 2) > 1_001


def test_the_invariant_checker_detects_starts_in_direct_messages() -> None:
    """Guards against a model whose machines are never back with their first epoch: it could not show the fault."""
    faults = restarted_machines_plan(1, 3, 16, for_s=60.0).faults
    plan = Plan(faults, 60.0, 3, 16, 40.0)
    direct = RunRequest(plan=plan, disabled_check="starts-in-responses")
    assert any("ran_twice" in run_scenario(direct, seed).broken_invariants for seed in range(8))
    assert run_scenario(RunRequest(plan=plan), 0).violations == []


def test_a_crashed_host_resets_its_connections_and_refuses_new_ones() -> None:
    hosts = EchoHosts()

    async def slow(method: str, path: str, body: Any) -> tuple[int, Any]:
        await asyncio.sleep(100)
        return 200, None

    async def scenario() -> None:
        hosts.net.listen("b:1", hosts.b, slow)
        hosts.loop.call_later_us(SECOND, None, lambda: (hosts.b.end(), hosts.net.on_process_ended(hosts.b)))
        started_at = hosts.loop.time()
        with pytest.raises(NoResponseError, match="reset"):
            await hosts.send_request("under way", 30 * SECOND)
        assert hosts.loop.time() - started_at < 1.1
        with pytest.raises(RequestNotSentError):
            await hosts.send_request("after")

    hosts.run(scenario())


# --- models of external systems -----------------------------------------------------------------------


def test_leases_get_their_full_duration_after_an_outage() -> None:
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


def test_reads_of_discarded_changes_are_refused() -> None:
    store = KeyStore(lambda: 0)
    for number in range(20_002):
        store.commit({"then": [{"set": "k", "value": number}]})
    assert store.changes("k", 1)[0] == 410
    assert len(store.changes("k", store.revision - 5)[1]["news"]) == 5


class TwoTaskGang:
    """Two machines, each of which runs one of a gang's two tasks."""

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
                MACHINE_TYPES["m8"],
                gangs,
            )
            for n in (1, 2)
        ]
        self.tasks = [f"{body['ref']}/{n}" for n in (0, 1)]

    def send_command(self, number: int, kind: str, **more: Any) -> None:
        worker = self.workers[number]
        command = {"orderKind": kind, "leg": self.tasks[number], "sailing": 1, **more}
        worker.commands({"helm": 1, "watch": worker.session, "orders": [command]})

    def advance_to(self, seconds: float) -> list[tuple[str, str | None]]:
        while self.now < round(seconds * SECOND):
            self.now += SECOND // 2
            for worker in self.workers:
                worker.lease_renewed_at = self.now
                worker.advance()
        return [(attempt.status, attempt.exit_reason) for worker in self.workers for attempt in worker.tasks.values()]


def test_a_gang_starts_together_and_completes_together() -> None:
    gang = TwoTaskGang()
    gang.send_command(0, "start")
    assert gang.advance_to(4) == [("waiting", None)]
    gang.send_command(1, "start")
    assert gang.advance_to(5)[0] == ("waiting", None)
    assert gang.advance_to(7) == [("running", None)] * 2
    assert gang.advance_to(28) == [("ended", "done")] * 2


def test_an_incomplete_gang_times_out_and_a_gang_that_loses_a_task_ends() -> None:
    gang = TwoTaskGang()
    gang.send_command(0, "start")
    assert gang.advance_to(40) == [("ended", "incomplete")]
    gang = TwoTaskGang()
    gang.send_command(0, "start")
    gang.send_command(1, "start")
    gang.advance_to(6)
    gang.workers[1].kill("died")
    assert gang.advance_to(9) == [("running", None)]
    assert gang.advance_to(12) == [("ended", "mates_gone")]


def test_a_stopped_task_saves_a_checkpoint_and_resumes_from_it() -> None:
    gang = TwoTaskGang(mooringS=5.0, stowS=2.0)
    worker = gang.workers[0]
    body = job(legs=1, voyageS=20.0, mooringS=5.0, stowS=2.0, sizeGb=0.0)
    worker._job_of = lambda ref: body
    gang.send_command(0, "start")
    gang.advance_to(8)
    gang.send_command(0, "stop", slackS=3.0)
    assert gang.advance_to(9) == [("flushing", None)]
    assert gang.advance_to(11) == [("ended", "halted")]
    assert worker.progress[gang.tasks[0]] >= 8 * SECOND
    gang.send_command(0, "forget")
    worker.commands({"helm": 1, "watch": 1, "orders": [{"orderKind": "start", "leg": gang.tasks[0], "sailing": 2}]})
    assert gang.advance_to(22) == [("running", None)]
    assert gang.advance_to(24) == [("ended", "done")]  # 12 s of 20 s were left at the checkpoint


def test_an_expired_lease_ends_all_tasks_and_lower_tokens_are_rejected() -> None:
    gang = TwoTaskGang()
    worker = gang.workers[0]
    worker._job_of = lambda ref: job(legs=1, voyageS=500.0)
    gang.send_command(0, "start")
    assert not worker.on_heartbeat_response(0, 1, {"helm": 0, "orders": []})
    gang.now = 13 * SECOND
    worker.advance()
    assert (worker.tasks, worker.session, worker.lease_kill_count) == ({}, 2, 1)
    assert worker.commands({"helm": 1, "watch": 1, "orders": []})[0] == 409


# --- the checker --------------------------------------------------------------------------------------


class CheckedJob:
    """A job whose tasks and responses are reported to an invariant checker."""

    def __init__(self, **changes: Any) -> None:
        self.loop = VirtualLoop()
        self.checker = InvariantChecker(self.loop, cluster_settings(SMALL_PLAN))
        self.job = SubmittedJob(job(**{"crew": "east", "legs": 2, **changes}), 1_000.0)
        self.checker.jobs[self.job.job_id] = self.job

    def worker(self, number: int, **changes: Any) -> Worker:
        placement = {"zone": "a", "spot": False, **changes}
        return Worker(
            lambda: 0, f"vm-{number}", f"h{number}", "m8", placement["zone"], placement["spot"], 8.0, lambda ref: None
        )

    def task(self, number: int) -> str:
        return f"{self.job.job_id}/{number}"

    def respond(self, request: str, status: int, state: str = "") -> None:
        self.checker.on_user_response(self.job, request, status, {"status": state} if state else None)


def broken_invariants(checked: CheckedJob) -> set[str]:
    checked.loop.close()
    return checked.checker.broken_invariants


def test_the_checker_detects_violations_on_machines() -> None:
    twice = CheckedJob()
    twice.checker.on_task_started(twice.worker(1), twice.task(0), 1)
    twice.checker.on_task_started(twice.worker(2), twice.task(0), 2)
    assert broken_invariants(twice) == {"ran_twice"}
    wrong = CheckedJob(driftwood=False, spread=True)
    wrong.checker.on_task_started(wrong.worker(1, spot=True), wrong.task(0), 1)
    assert broken_invariants(wrong) == {"wrong_place"}
    spread = CheckedJob(spread=True)
    spread.checker.on_task_started(spread.worker(1), spread.task(0), 1)
    spread.checker.on_task_started(spread.worker(2), spread.task(1), 1)
    assert broken_invariants(spread) == {"wrong_place"}
    quota = CheckedJob(cores=8.0, legs=9)
    for number in range(9):
        quota.checker.on_task_started(quota.worker(number), quota.task(number), 1)
    assert broken_invariants(quota) == {"quota"}  # a quarter of 160 CPUs
    stopped = CheckedJob()
    stopped.checker.on_task_started(stopped.worker(1), stopped.task(0), 1)
    stopped.checker.on_task_stopped(
        stopped.worker(1), stopped.task(0), 1, "lease"
    )  # the end of a lease is no violation
    assert broken_invariants(stopped) == set()


def test_the_checker_detects_violations_in_responses_to_users() -> None:
    early = CheckedJob()
    early.respond("submit", 201, "queued")
    early.respond("poll", 200, "done")
    assert broken_invariants(early) == {"not_done"}
    reverted = CheckedJob()
    reverted.job.cancel_at = 1_000.0
    reverted.respond("submit", 201, "queued")
    reverted.respond("cancel", 200, "aborted")
    reverted.respond("poll", 200, "running")
    assert broken_invariants(reverted) == {"went_back"}
    lost = CheckedJob()
    lost.job.accepted_at = 1_000.0
    lost.respond("poll", 404)
    assert broken_invariants(lost) == {"forgotten"}
    uncancelled = CheckedJob()
    uncancelled.respond("submit", 201, "queued")
    uncancelled.respond("poll", 200, "aborted")
    assert broken_invariants(uncancelled) == {"went_back"}
    unknown = CheckedJob()
    unknown.checker.on_unknown_job_poll("j-900000", 200)
    unknown.checker.finish()
    assert broken_invariants(unknown) == {"invented", "nothing_ran"}


# --- plans ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("table", "expected_error"),
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
def test_an_invalid_plan_gets_a_one_line_error_that_names_the_field(table: dict[str, Any], expected_error: str) -> None:
    with pytest.raises(InvalidPlanError) as error:
        parse(table)
    assert str(error.value).startswith(expected_error)
    assert "\n" not in str(error.value)


def test_a_written_plan_is_read_back_unchanged(tmp_path: Path) -> None:
    generated = random_plan(5)
    (tmp_path / "plan.toml").write_text(generated.toml())
    assert read(tmp_path / "plan.toml") == generated
    with pytest.raises(InvalidPlanError, match=r"missing\.toml"):
        read(tmp_path / "missing.toml")


# --- runs of several nodes --------------------------------------------------------------------------------


def test_a_run_without_faults_serves_all_jobs_and_is_deterministic() -> None:
    first, second = (run_scenario(RunRequest(plan=SMALL_PLAN), 3) for _ in range(2))
    assert (first.violations, first.errors) == ([], [])
    assert first.digest == second.digest
    assert first.message_count > 500
    assert {name: row["accepted"] for name, row in first.served_by_team.items()} == {
        "north": 1.0,
        "south": 1.0,
        "east": 1.0,
    }
    assert first.served_by_class["serve"]["completed"] > 0.8
    assert first.leaderless_s_max <= 0.5


def test_the_next_leader_continues_from_the_records_after_a_crash() -> None:
    plan = Plan((Fault("node_crash", 15.0, 4.0),), 40.0, 3, 20, 20.0)
    result = run_scenario(RunRequest(plan=plan), 4)
    assert (result.violations, result.errors) == ([], [])
    assert 2.0 < result.leaderless_s_max < 5.0
    assert result.counts["lease_kills"] == 0


def test_a_leader_cut_off_from_the_state_service_hands_over_while_workers_reach_it() -> None:
    plan = Plan((Fault("node_cut", 15.0, 20.0, what="state"),), 40.0, 3, 20, 20.0)
    result = run_scenario(RunRequest(plan=plan), 4)
    assert (result.violations, result.errors) == ([], [])
    assert result.leaderless_s_max < 5.0
    assert result.counts["lease_kills"] == 0


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_safety_check_can_be_disabled(name: str) -> None:
    """Guards against a mutation that patches a renamed method by its old name; otherwise only a run would show it."""
    with safety_check_disabled(name):
        pass


def test_a_disabled_failure_confirmation_is_caught() -> None:
    """Machines that are only cut off are treated as removed. docs/simulation.md lists all safety checks."""
    assert set(MUTATIONS) == set(SAFETY_CHECKS)
    plan = Plan((Fault("machine_cut", 10.0, 30.0, count=8),), 24.0, 3, 20, 40.0)
    request = RunRequest(plan=plan, disabled_check="failure-confirmation")
    assert any("ran_twice" in row for seed in range(12) for row in run_scenario(request, seed).violations)


def test_a_failing_run_tells_its_seed_the_least_plan_and_the_last_messages() -> None:
    """The report of a failed run has its seed, the smallest failing plan and the last messages.

    The run fails since starts are sent before they are recorded: the leader crashes, its writes are lost, and no
    heartbeats arrive from a zone in which the tasks may run.
    """

    def crash_with_lost_commit(at_s: float) -> tuple[Fault, ...]:
        return (
            Fault("rush", at_s - 1, 2.2, name="guest", amount=40.0),
            Fault("node_cut", at_s, 1.2, what="state", mode="lost", way="to"),
            Fault("node_crash", at_s + 0.8, 0.1),
            Fault("links_cut", at_s + 0.8, 4.0, source="zone:a", target="node"),
        )

    plan = Plan(
        (Fault("cloud_down", 33.0, 0.5), *crash_with_lost_commit(10), *crash_with_lost_commit(26)), 34.0, 3, 20, 10.0
    )
    request = RunRequest(plan=plan, disabled_check="write-ahead")
    # The violation must precede the outage of the cloud, so that the outage can't have caused it.
    failed = next(
        result
        for seed in range(24)
        if (result := run_scenario(request, seed)).violations
        and float(result.violations[0].split(" at ")[1].split(" ")[0]) < 33.0
    )
    report = describe_failure(request, failed)
    assert f"seed {failed.seed} fails:" in report
    assert "/commands" in report
    assert "cloud_down" not in report  # shrinking must remove the unrelated fault


def test_the_figures_cover_all_seeds() -> None:
    figures, failed_results = simulate(RunRequest(seed=1, seeds=2, machines=20, plan=SMALL_PLAN), jobs=1)
    assert failed_results == []
    assert (figures["seeds"], figures["violations"], figures["caught"], figures["errors"]) == (2, 0, 0, 0)
    expected_keys = {"lease_kills", "leaderless_s_max", "served_min_class", "served_min_team", "state_429", "wall_s"}
    assert expected_keys <= figures.keys()


def test_no_class_or_team_is_starved_while_capacity_is_free(monkeypatch: pytest.MonkeyPatch) -> None:
    """While one class is submitted ten times as often, no class or team starves beside free capacity.

    The second run passes over a class, and the statistics must report it and its team as starved.
    """
    rush = Fault("rush", 5.0, 30.0, name="batch", amount=10.0)
    plan = Plan((rush, Fault("node_crash", 20.0, 0.1, node=ALL)), 60.0, 3, 24, 20.0)
    result = run_scenario(RunRequest(plan=plan), 2)
    assert (result.violations, result.errors, result.starved) == ([], [], [])
    add = JobLifecycle.add

    def add_without_queueing(self: JobLifecycle, ref: str, spec: wire.Submission, version: int, at: int) -> Job:
        job = add(self, ref, spec, version, at)
        if spec.job_class == "batch":
            self.cluster.pending.discard(job)
        return job

    monkeypatch.setattr(JobLifecycle, "add", add_without_queueing)
    starved = run_scenario(RunRequest(plan=Plan((), 60.0, 3, 24, 20.0)), 6).starved
    assert [row.split(":")[0] for row in starved] == ["batch", "south"]
