"""Cheaper hours: what a feed may say, and held work through failures. The planner: test_window_planner.py."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import pytest

from emulators.price_feed import FeedServer
from oatport.cli import main
from oatport.clients.http import make_session
from oatport.control.queueing.capacity_pools import pools_by_type
from oatport.control.queueing.queue_wait import QueueWaitEstimator
from oatport.control.state.job import Job
from oatport.lab.windows import run
from oatport.service.window_controller import WINDOWS_KEY, WindowController
from oatport.settings import SettingsError, Team, load_tuning
from oatport.simulation.state_service import KeyStore
from oatport.times import SECOND, time_of_day
from oatport.windows.client import FeedClient
from oatport.windows.feed import decode_series, encode_series
from oatport.windows.holding import MOVES_MOST, DayClock, Holder
from oatport.windows.margins import RuntimeMargins
from oatport.windows.prices import Book, Interval, InvalidPriceSeriesError
from oatport.windows.settings import Deferral, WindowSettings, load_window_settings
from tests.cluster_fixture import ClusterHarness, UnreachableNetwork
from tests.test_node_failures import leader

HOUR = 3600 * SECOND
DAY = 500_000 * HOUR


def hours(*prices: float, start: int = DAY) -> list[Interval]:
    return [Interval(start + n * HOUR, start + (n + 1) * HOUR, price) for n, price in enumerate(prices)]


def book(*prices: float, now: int = DAY) -> Book:
    made = Book(2 * HOUR, 8 * HOUR)
    if prices:
        made.learn(hours(*prices), now, now)
    return made


# --- what a feed says -----------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("rows", "made_at", "why"),
    [
        ([], 0, "no intervals"),
        (hours(1.0) + hours(2.0), 0, "overlap"),
        ([Interval(DAY, DAY, 1.0)], 0, "length"),
        (hours(math.nan), 0, "not a usable number"),
        (hours(math.inf), 0, "not a usable number"),
        (hours(1.0, 1e9), 0, "not a usable number"),
        (hours(1.0), DAY + HOUR, "in the future"),
        (hours(*[1.0] * 3000), 0, "at most"),
    ],
)
def test_a_series_that_cannot_be_used_changes_nothing(rows: list[Interval], made_at: int, why: str) -> None:
    known = book(5.0, 6.0)
    with pytest.raises(InvalidPriceSeriesError, match=why):
        known.learn(rows, made_at, DAY)
    assert [row.price for row in known.rows] == [5.0, 6.0]


def test_gaps_and_negative_prices_are_legal_and_what_is_not_known_is_ordinary() -> None:
    known = book()
    known.learn([Interval(DAY, DAY + HOUR, -50.0), *hours(100.0, 100.0, start=DAY + 3 * HOUR)], DAY, DAY)
    unit = known.slots(DAY // HOUR, 6, HOUR, DAY, 1.0, 0.0)
    assert unit[0] < 0
    assert unit[1] == unit[2] == unit[5] == 1.0
    assert unit[3] == unit[4] == 1.0


def test_a_series_that_shrinks_takes_nothing_away_and_ages_hour_by_hour() -> None:
    known = book(10.0, 20.0, 40.0, 20.0)
    later = DAY + 3 * HOUR // 2
    known.learn(hours(30.0, start=DAY + 2 * HOUR), later, later)
    assert [row.price for row in known.rows if row.end > later] == [20.0, 30.0, 20.0]
    much_later = later + 3 * HOUR
    weights = {row.price: known.weight(row, much_later) for row in known.rows if row.end > later}
    assert weights[20.0] < weights[30.0] < 1.0


def test_a_stale_series_loses_weight_until_it_counts_for_nothing() -> None:
    known = book(*[10.0, 30.0] * 12)
    spread = [
        max(unit) - min(unit)
        for unit in (
            known.slots((DAY + age * HOUR) // HOUR, 4, HOUR, DAY + age * HOUR, 1.0, 0.0) for age in (0, 4, 6, 9)
        )
    ]
    assert spread[0] > spread[1] > spread[2] > 0 == spread[3]


def test_one_hour_of_a_thousand_does_not_flatten_the_rest_of_the_night() -> None:
    unit = book(50.0, 100.0, 100_000.0, 50.0, 100.0).slots(DAY // HOUR, 5, HOUR, DAY, 1.0, 0.0)
    assert unit[2] <= 5.0
    assert unit[0] < 0.7 * unit[1]


def test_clock_changes_of_a_zone_move_no_hour() -> None:
    """A night of summer time's end has 25 hours of local time: the format has none, each hour is there once."""
    body = wire_body(encode_series(hours(*range(1, 26)), "tallinn", DAY))
    rows, _ = decode_series(body, "application/json", "tallinn")
    assert [row.end for row in rows[:-1]] == [row.start for row in rows[1:]]


def wire_body(value: Any) -> bytes:
    import json

    return json.dumps(value).encode()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b"[1]",
        b"\xff",
        wire_body({"v": 2, "zone": "z", "at": 1, "intervals": []}),
        wire_body({"v": 1, "zone": "other", "at": 1, "intervals": []}),
        b"[" * 100_000,
        wire_body({"v": 1, "zone": "z", "at": 1, "intervals": [{"start": 0, "len": -1, "price": 1}]}),
        b'{"v": 1, "zone": "z", "at": NaN, "intervals": []}',
        b" " * 300_000,
    ],
)
def test_bodies_that_are_no_series(body: bytes) -> None:
    with pytest.raises(InvalidPriceSeriesError):
        decode_series(body, "application/json", "z")


async def test_a_feed_that_fails_leaves_the_last_good_series() -> None:
    """Silent, slow, dripping, too large, broken, refusing: each ends within its deadline and changes nothing."""
    feed, known, changed = FeedServer("z"), book(), []
    url = await feed.start()
    session = make_session(16)
    client = FeedClient(session, url, "z", known, 60.0, 0.3, lambda: changed.append(1))
    client._rate.tokens = client._rate.rate_per_s = 100.0
    now = time_of_day()
    feed.intervals, feed.made_at = hours(10.0, 20.0, start=now), now
    try:
        await client.poll()
        assert [row.price for row in known.rows] == [10.0, 20.0]
        for mode in ("silent", "refuse", "drip", "huge", "broken"):
            feed.mode = mode
            pause = await client.poll()
            assert pause >= 2.0
            assert known.problem
            assert [row.price for row in known.rows] == [10.0, 20.0]
        assert client.failures == 5
        feed.mode, feed.as_json = "good", False
        feed.intervals = hours(10.0, 25.0, start=now)
        await client.poll()
        assert client.failures == 0
        assert len(changed) == 2
    finally:
        await session.close()
        await feed.close()


# --- held work ------------------------------------------------------------------------------------


class Night:
    """A world with one machine's worth of room, and a holder on its leader's view."""

    def __init__(self, *prices: float, capacity: float = 8.0, **deferral: Any) -> None:
        self.harness = ClusterHarness([Team("crew")])
        self.harness.now = DAY
        for number in (1, 2):
            worker = self.harness.machine(number)
            worker.lease_renewed_at, worker.lease_us = DAY, 24 * HOUR  # steps are longer than a real lease
        self.harness.settle(2)
        self.settings = WindowSettings(
            on=True,
            capacity_cpus=capacity,
            reserve_s=60.0,
            step_s=300.0,
            horizon_s=86400.0,
            classes=(("train", Deferral(**deferral)),),
        )
        self.book = book(*prices)
        self.holder = Holder(self.harness.cluster, self.settings, self.book, self.harness.now)

    def submit(self, **changes: Any) -> Job:
        ref = self.harness.submit(**{"voyageS": 300.0, "tideS": 4 * 3600.0, "legs": 2, **changes})
        job = self.harness.cluster.jobs[ref]
        self.holder.joined(job, self.harness.now)
        return job

    def go(self, seconds: float, step: float = 5.0) -> None:
        until = self.harness.now + round(seconds * SECOND)
        while self.harness.now < until:
            self.harness.step(step)
            self.holder.tick(self.harness.now)
            self.harness.commit()

    def fail_over(self) -> None:
        self.harness.fail_over()
        self.holder = Holder(self.harness.cluster, self.settings, self.book, self.harness.now)
        for job in list(self.harness.cluster.jobs.values()):
            self.holder.joined(job, self.harness.now)


def test_a_job_waits_for_the_cheap_hour_and_is_done_in_time() -> None:
    night = Night(50.0, 50.0, 10.0, 50.0, 50.0)
    job = night.submit()
    night.go(600, 30)
    assert not night.harness.task_locations(job.job_id)
    assert night.harness.cluster.pending == set()  # held, not waiting: nothing is rented or stopped for it
    said = night.holder.explain(job.job_id, night.harness.now)
    assert said["held"]
    assert said["saves"] > 0.5
    assert 0 < said["until_s"] <= 2 * 3600
    night.go(2 * 3600, 30)
    assert night.harness.task_locations(job.job_id) or night.harness.record(job.job_id) == "done"
    night.go(900, 30)
    assert night.harness.record(job.job_id) == "done"


def test_a_deadline_inside_a_dear_window_is_kept() -> None:
    night = Night(20.0, 500.0, 500.0, 1.0)
    job = night.submit(tideS=2 * 3600.0)
    night.go(2 * 3600, 30)
    assert night.harness.record(job.job_id) == "done"


def test_what_takes_three_times_as_long_as_estimated_still_ends_in_time() -> None:
    night = Night(50.0, 50.0, 10.0, 10.0)
    job = night.submit(tideS=3 * 3600.0)
    night.harness.jobs[job.job_id]["voyageS"] = 900.0
    night.go(3 * 3600, 30)
    assert night.harness.record(job.job_id) == "done"


@pytest.mark.parametrize("tide", [30.0, 300.0, 700.0])
def test_a_job_without_slack_starts_at_once(tide: float) -> None:
    night = Night(50.0, 1.0)
    assert night.submit(tideS=tide).start_limit < 0


def test_services_and_jobs_without_a_deadline_are_never_held() -> None:
    night = Night(50.0, 1.0, 1.0)
    assert night.submit(tideS=None).start_limit < 0
    assert night.submit(ref="j-000002", rig="standing", driftwood=False).start_limit < 0
    assert night.submit(ref="j-000003", cargo="other").start_limit < 0


def test_a_new_leader_holds_and_lets_go_as_the_last_one_would_have() -> None:
    night = Night(50.0, 50.0, 10.0, 50.0)
    job = night.submit()
    night.harness.commit()
    plan = dict(night.holder.planner.plans[job.job_id].starts)
    night.book = book(1.0, 90.0, 90.0, 90.0)  # it would plan otherwise itself
    night.fail_over()
    again = night.harness.cluster.jobs[job.job_id]
    assert again.deferred == 2
    assert again not in night.harness.cluster.pending
    assert night.holder.planner.plans[job.job_id].starts == plan


def test_a_leader_killed_between_release_and_placement_releases_nothing_twice() -> None:
    night = Night(50.0, 10.0, 10.0, 50.0, capacity=16.0)
    job = night.submit(legs=4)
    night.harness.commit()
    night.harness.now += HOUR + SECOND
    assert night.holder.tick(night.harness.now) == 4  # let go, nothing written about that
    night.fail_over()
    assert night.harness.cluster.jobs[job.job_id].deferred in (0, 4)
    night.go(1800, 30)
    started = [key for worker in night.harness.workers.values() for key in worker.started_attempts]
    assert sorted(started) == sorted({(f"{job.job_id}/{n}", 1) for n in range(4)})
    assert night.harness.record(job.job_id) == "done"


def test_a_plan_let_go_in_part_is_recorded_with_what_is_left_of_it() -> None:
    night = Night(50.0, 10.0, 50.0, 12.0, 50.0)
    job = night.submit(legs=6, tideS=5 * 3600.0)
    night.harness.commit()
    assert job.deferral is not None
    assert sum(count for _, count in job.deferral.plan) == 6
    night.go(3600 + 400, 50)
    assert 0 < job.start_limit < 6
    night.fail_over()
    again = night.harness.cluster.jobs[job.job_id]
    assert again.deferral is not None
    assert max(again.start_limit, again.next_unbound_index) + sum(count for _, count in again.deferral.plan) == 6


def test_a_cancelled_held_job_goes_at_once() -> None:
    night = Night(50.0, 50.0, 10.0)
    job = night.submit()
    night.harness.commit()
    night.harness.cancel(job.job_id)
    night.holder.tick(night.harness.now)
    night.harness.commit()
    assert not [key for key in night.harness.state.items if key.startswith("live/")]
    assert not night.holder.planner.plans


def test_the_state_service_is_down_at_the_latest_start() -> None:
    """Holding back needs the state service for nothing: the job is let go, and starts once commits go through."""
    night = Night(50.0, 50.0, 10.0)
    job = night.submit(tideS=3600.0)
    latest = night.holder.planner.plans[job.job_id].need.latest if job.deferred else night.harness.now
    night.harness.now = latest + SECOND
    night.holder.tick(night.harness.now)  # nothing is committed
    assert job.deferred == 0
    assert job in night.harness.cluster.pending


def test_a_feed_that_goes_silent_makes_nobody_late() -> None:
    night = Night(50.0, 45.0, 10.0, 9.0, 50.0, 50.0, 50.0, 50.0, 50.0, 50.0, 50.0, 50.0)
    night.book.fresh_us, night.book.dead_us = 1800 * SECOND, HOUR
    jobs = [night.submit(ref=f"j-{n:06d}", legs=1) for n in range(6)]
    assert all(job.deferred for job in jobs)
    night.go(1.5 * HOUR / SECOND, 60)  # dead before the cheap hours come: no reason to wait for them is left
    night.go(1200, 60)
    assert {night.harness.record(job.job_id) for job in jobs} == {"done"}


def test_the_clock_of_the_day_jumps() -> None:
    """Back by an hour: nothing is held for longer. Ahead: work goes early, which makes nobody late."""
    clock = DayClock(wall=DAY, steady=1000)
    assert clock.at(DAY + SECOND, 1000 + SECOND) == DAY + SECOND
    assert clock.at(DAY - HOUR, 1000 + 2 * SECOND) == DAY + 2 * SECOND
    assert clock.at(DAY + HOUR, 1000 + 3 * SECOND) == DAY + HOUR


def test_five_thousand_jobs_due_in_the_same_window_are_spread() -> None:
    night = Night(50.0, 10.0, 20.0, 20.0, 20.0, capacity=400.0)
    for number in range(5_000):
        night.submit(ref=f"j-{number:06d}", legs=1, cores=1.0, voyageS=300.0, tideS=4 * 3600.0)
    taken: dict[int, int] = {}
    for plan in night.holder.planner.plans.values():
        for slot, count in plan.starts.items():
            taken[slot] = taken.get(slot, 0) + count
    assert max(taken.values()) <= 400
    assert len(taken) >= 12


def test_held_work_that_comes_due_counts_in_the_queue_estimate() -> None:
    """Its release at dawn would meet a full house."""
    night = Night(50.0, 10.0, 10.0)
    job = night.submit(legs=4)
    other = night.submit(ref="j-000002", cargo="other", legs=2, voyageS=100.0, tideS=600.0)
    harness = night.harness

    def wait() -> int:
        pools = pools_by_type(harness.cluster, harness.now)
        other.predicted_runtime = harness.cluster.predictor.run_time(other.job_id, other.spec)
        return QueueWaitEstimator(harness.cluster, pools).append(other).any_machine

    before = wait()
    harness.now += HOUR - 60 * SECOND
    night.holder.tick(harness.now)
    assert [(held.job_id, count) for held, count in harness.cluster.upcoming_starts] == [(job.job_id, 2)]
    assert wait() > before + 100 * SECOND


def test_records_of_a_held_job_are_bounded() -> None:
    night = Night(*[50.0] * 3, *[10.0] * 3)
    job = night.submit(tideS=8 * 3600.0)
    for number in range(30):
        prices = [50.0 - (n == 2 + number % 4) * 30 for n in range(8)]
        night.book.learn(hours(*prices), night.harness.now, night.harness.now)
        night.holder.tick(night.harness.now)
    assert job.deferral is not None
    assert 1 < job.deferral.write_count <= MOVES_MOST + 1


def test_running_work_is_paused_only_if_it_saves_and_is_allowed_to() -> None:
    for checkpoint, pause, stopped in ((0.0, True, False), (15.0, False, False), (15.0, True, True)):
        night = Night(300.0, 10.0, 10.0, 10.0, pause=pause)
        night.holder._deferral(night.harness.cluster.jobs.get("x") or Job("x", _spec(), 1, 0))
        job = night.submit(legs=1, voyageS=1200.0, mooringS=checkpoint, stowS=1.0, tideS=None)
        night.go(20)
        job.spec = _with_deadline(job)
        night.holder._pause(night.harness.now)
        task = job.tasks[0]
        assert (task.stop_grace_s is not None) is stopped
        if stopped:
            assert job.retry_at > night.harness.now + 1800 * SECOND
            assert job.deferral is not None
            assert job.deferral.paused_until > night.harness.now


def _spec() -> Any:
    from oatport import wire
    from tests.cluster_fixture import job

    return wire.decode_submission(job())


def _with_deadline(job: Job) -> Any:
    import msgspec

    return msgspec.structs.replace(job.spec, deadline_s=4 * 3600.0)


async def test_the_last_good_series_and_what_was_learnt_outlive_the_leader() -> None:
    state = KeyStore(lambda: 0)
    lead, client, _ = leader(state)
    settings = WindowSettings(on=True, capacity_cpus=8.0, classes=(("train", Deferral()),))
    keeper = WindowController(lead, UnreachableNetwork(), settings)  # type: ignore[arg-type]
    now = keeper.wall()
    keeper.book.learn(hours(10.0, 20.0, start=now), now, now)
    keeper.holder.margins.load({"train": [1.0] * 30})
    await keeper.fail_over()
    keeper.step()
    assert WINDOWS_KEY in lead.cluster.writes.dirty_keys
    await lead.commits.commit(lead.cluster.writes.take_batch(12))
    later, _, _ = leader(state)
    later.state = client  # type: ignore[assignment]
    heir = WindowController(later, UnreachableNetwork(), settings)  # type: ignore[arg-type]
    await heir.fail_over()
    assert [row.price for row in heir.book.rows] == [10.0, 20.0]
    assert heir.holder.margins.factor("train") < RuntimeMargins().factor("train")


def test_margins_start_careful_and_follow_what_was_seen() -> None:
    margins = RuntimeMargins()
    assert margins.factor("x") == 3.0
    for _ in range(40):
        margins.on_task_completed("x", 100, 100)
    assert margins.factor("x") == pytest.approx(1.2)
    for _ in range(40):
        margins.on_task_completed("x", 400, 100)
    assert margins.factor("x") == pytest.approx(4.0)


# --- settings, command line, experiment -----------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("[windows]\non = yes", "capacity_cpus"),
        ("[windows]\non = maybe", "yes or no"),
        ("[windows]\nfeed = ftp://x\nzone = z", "http address"),
        ("[windows]\nfeed = http://x/", "zone"),
        ("[windows]\nstep_s = nan", "step_s"),
        ("[windows]\nsteps_s = 3", "did you mean step_s"),
        ("[windows]\nfresh_s = 5\ndead_s = 4", "dead_s"),
        ("[windows class ]\nprice = 1", "names no class"),
        ("[windows priority urgent]\nprice = 1", "no such priority"),
        ("[windows class x]\nprice = -1", "price"),
    ],
)
def test_bad_settings_name_the_field(text: str, why: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "own.ini"
    path.write_text(text)
    with pytest.raises(SettingsError, match=why):
        load_window_settings(path)
    assert main(["--tuning", str(path), "check", "deploy/service.toml"]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_the_sample_settings_are_good_and_without_them_windows_are_off() -> None:
    sample = load_window_settings("deploy/windows.ini")
    assert sample.on
    assert sample.deferral("rebalance", "normal") is not None
    assert sample.deferral("other", "normal") is None
    assert sample.deferral("other", "idle") is not None
    assert load_tuning("deploy/windows.ini") == load_tuning(None)
    assert not load_window_settings(None).on


@pytest.mark.parametrize("fault", ["none", "silent", "expensive-deadline", "lying", "burst"])
def test_a_small_night_meets_as_many_deadlines_for_less(fault: str) -> None:
    result = run(2, 60, fault)
    assert result["deadlines_met"]["windows"] >= result["deadlines_met"]["immediate"]
    assert result["cost"]["bound"] <= result["cost"]["windows"] + 1e-6
    assert result["cost"]["windows"] <= result["cost"]["immediate"]
    again = run(2, 60, fault)
    assert {k: v for k, v in result.items() if not k.startswith("plan_ms")} == {
        k: v for k, v in again.items() if not k.startswith("plan_ms")
    }


def test_the_experiments_page_and_its_one_line_errors(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    page = tmp_path / "night.html"
    assert main(["lab", "windows", "--seed", "1", "--jobs", "20", "--json", "--html", str(page)]) == 0
    assert page.read_text().count("<svg") == 2
    assert main(["lab", "windows", "--jobs", "0"]) == 2
    assert main(["lab", "windows", "--html", str(tmp_path / "no" / "such.html"), "--jobs", "5"]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 2
