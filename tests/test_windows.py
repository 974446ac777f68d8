"""Tests of deferred starts: price feeds, and deferred jobs through failures. The planner: test_window_planner.py."""

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
from oatport.control.storage.keys import live_key
from oatport.lab.windows import run
from oatport.service.window_controller import WINDOWS_KEY, WindowController
from oatport.settings import SettingsError, Team, load_tuning
from oatport.simulation.state_service import KeyStore
from oatport.sizes import json_size
from oatport.times import SECOND, time_of_day
from oatport.windows.client import FeedClient
from oatport.windows.feed import decode_series, encode_series
from oatport.windows.holding import MAX_MOVES_PER_JOB, DayClock, DeferralManager
from oatport.windows.margins import RuntimeMargins
from oatport.windows.prices import Interval, InvalidPriceSeriesError, PriceBook
from oatport.windows.settings import Deferral, WindowSettings, load_window_settings
from tests.cluster_fixture import ClusterHarness, UnreachableNetwork
from tests.test_node_failures import leader

HOUR = 3600 * SECOND
DAY = 500_000 * HOUR


def hours(*prices: float, start: int = DAY) -> list[Interval]:
    return [Interval(start + n * HOUR, start + (n + 1) * HOUR, price) for n, price in enumerate(prices)]


def book(*prices: float, now: int = DAY) -> PriceBook:
    price_book = PriceBook(2 * HOUR, 8 * HOUR)
    if prices:
        price_book.add_series(hours(*prices), now, now)
    return price_book


# --- price series and feed ------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("rows", "made_at", "expected_error"),
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
def test_an_invalid_series_changes_nothing(rows: list[Interval], made_at: int, expected_error: str) -> None:
    price_book = book(5.0, 6.0)
    with pytest.raises(InvalidPriceSeriesError, match=expected_error):
        price_book.add_series(rows, made_at, DAY)
    assert [row.price for row in price_book.rows] == [5.0, 6.0]


def test_gaps_and_negative_prices_are_legal_and_unknown_prices_are_ordinary() -> None:
    price_book = book()
    price_book.add_series([Interval(DAY, DAY + HOUR, -50.0), *hours(100.0, 100.0, start=DAY + 3 * HOUR)], DAY, DAY)
    costs = price_book.slot_costs(DAY // HOUR, 6, HOUR, DAY, 1.0, 0.0)
    assert costs[0] < 0
    assert costs[1] == costs[2] == costs[5] == 1.0
    assert costs[3] == costs[4] == 1.0


def test_a_shorter_series_removes_no_prices_and_each_hour_ages_on_its_own() -> None:
    price_book = book(10.0, 20.0, 40.0, 20.0)
    later = DAY + 3 * HOUR // 2
    price_book.add_series(hours(30.0, start=DAY + 2 * HOUR), later, later)
    assert [row.price for row in price_book.rows if row.end > later] == [20.0, 30.0, 20.0]
    much_later = later + 3 * HOUR
    weights = {row.price: price_book.weight(row, much_later) for row in price_book.rows if row.end > later}
    assert weights[20.0] < weights[30.0] < 1.0


def test_a_stale_series_loses_weight_until_it_has_none() -> None:
    price_book = book(*[10.0, 30.0] * 12)
    ranges = [
        max(costs) - min(costs)
        for costs in (
            price_book.slot_costs((DAY + age * HOUR) // HOUR, 4, HOUR, DAY + age * HOUR, 1.0, 0.0)
            for age in (0, 4, 6, 9)
        )
    ]
    assert ranges[0] > ranges[1] > ranges[2] > 0 == ranges[3]


def test_one_outlier_does_not_flatten_the_other_prices() -> None:
    costs = book(50.0, 100.0, 100_000.0, 50.0, 100.0).slot_costs(DAY // HOUR, 5, HOUR, DAY, 1.0, 0.0)
    assert costs[2] <= 5.0
    assert costs[0] < 0.7 * costs[1]


def test_daylight_saving_changes_move_no_hour() -> None:
    """The local night at the end of summer time has 25 hours; the format uses UTC, in which each hour occurs once."""
    body = json_body(encode_series(hours(*range(1, 26)), "tallinn", DAY))
    rows, _ = decode_series(body, "application/json", "tallinn")
    assert [row.end for row in rows[:-1]] == [row.start for row in rows[1:]]


def json_body(value: Any) -> bytes:
    import json

    return json.dumps(value).encode()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b"[1]",
        b"\xff",
        json_body({"v": 2, "zone": "z", "at": 1, "intervals": []}),
        json_body({"v": 1, "zone": "other", "at": 1, "intervals": []}),
        b"[" * 100_000,
        json_body({"v": 1, "zone": "z", "at": 1, "intervals": [{"start": 0, "len": -1, "price": 1}]}),
        b'{"v": 1, "zone": "z", "at": NaN, "intervals": []}',
        b" " * 300_000,
    ],
)
def test_invalid_feed_bodies_are_rejected(body: bytes) -> None:
    with pytest.raises(InvalidPriceSeriesError):
        decode_series(body, "application/json", "z")


async def test_a_feed_that_fails_leaves_the_last_good_series() -> None:
    """A silent, refusing, slowly sending, oversized or malformed response ends by its timeout and changes nothing."""
    feed, price_book, changed = FeedServer("z"), book(), []
    url = await feed.start()
    session = make_session(16)
    client = FeedClient(session, url, "z", price_book, 60.0, 0.3, lambda: changed.append(1))
    client._rate.tokens = client._rate.rate_per_s = 100.0
    now = time_of_day()
    feed.intervals, feed.made_at = hours(10.0, 20.0, start=now), now
    try:
        await client.poll()
        assert [row.price for row in price_book.rows] == [10.0, 20.0]
        for mode in ("silent", "refuse", "drip", "huge", "broken"):
            feed.mode = mode
            pause = await client.poll()
            assert pause >= 2.0
            assert price_book.last_error
            assert [row.price for row in price_book.rows] == [10.0, 20.0]
        assert client.failures == 5
        feed.mode, feed.as_json = "good", False
        feed.intervals = hours(10.0, 25.0, start=now)
        await client.poll()
        assert client.failures == 0
        assert len(changed) == 2
    finally:
        await session.close()
        await feed.close()


# --- deferred jobs --------------------------------------------------------------------------------


class DeferralFixture:
    """A cluster harness with two machines, whose leader defers the jobs of one class."""

    def __init__(self, *prices: float, capacity: float = 8.0, **deferral: Any) -> None:
        self.harness = ClusterHarness([Team("crew")])
        self.harness.now = DAY
        for number in (1, 2):
            worker = self.harness.machine(number)
            worker.lease_renewed_at, worker.lease_us = DAY, 24 * HOUR  # steps are longer than an ordinary lease
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
        self.deferrals = DeferralManager(self.harness.cluster, self.settings, self.book, self.harness.now)

    def submit(self, **changes: Any) -> Job:
        ref = self.harness.submit(**{"voyageS": 300.0, "tideS": 4 * 3600.0, "legs": 2, **changes})
        job = self.harness.cluster.jobs[ref]
        self.deferrals.on_job_added(job, self.harness.now)
        return job

    def run_for(self, seconds: float, step: float = 5.0) -> None:
        until = self.harness.now + round(seconds * SECOND)
        while self.harness.now < until:
            self.harness.step(step)
            self.deferrals.tick(self.harness.now)
            self.harness.commit()

    def fail_over(self) -> None:
        self.harness.fail_over()
        self.deferrals = DeferralManager(self.harness.cluster, self.settings, self.book, self.harness.now)
        for job in list(self.harness.cluster.jobs.values()):
            self.deferrals.on_job_added(job, self.harness.now)


def test_a_job_is_deferred_to_the_cheap_hour_and_meets_its_deadline() -> None:
    fixture = DeferralFixture(50.0, 50.0, 10.0, 50.0, 50.0)
    job = fixture.submit()
    fixture.run_for(600, 30)
    assert not fixture.harness.task_locations(job.job_id)
    assert (
        fixture.harness.cluster.pending == set()
    )  # deferred, not pending: no machine is rented and no task stopped for it
    explanation = fixture.deferrals.explain(job.job_id, fixture.harness.now)
    assert explanation["held"]
    assert explanation["saves"] > 0.5
    assert 0 < explanation["until_s"] <= 2 * 3600
    fixture.run_for(2 * 3600, 30)
    assert fixture.harness.task_locations(job.job_id) or fixture.harness.record(job.job_id) == "done"
    fixture.run_for(900, 30)
    assert fixture.harness.record(job.job_id) == "done"


def test_a_deadline_inside_an_expensive_window_is_met() -> None:
    fixture = DeferralFixture(20.0, 500.0, 500.0, 1.0)
    job = fixture.submit(tideS=2 * 3600.0)
    fixture.run_for(2 * 3600, 30)
    assert fixture.harness.record(job.job_id) == "done"


def test_a_job_that_runs_three_times_its_estimate_meets_its_deadline() -> None:
    fixture = DeferralFixture(50.0, 50.0, 10.0, 10.0)
    job = fixture.submit(tideS=3 * 3600.0)
    fixture.harness.jobs[job.job_id]["voyageS"] = 900.0
    fixture.run_for(3 * 3600, 30)
    assert fixture.harness.record(job.job_id) == "done"


@pytest.mark.parametrize("deadline_s", [30.0, 300.0, 700.0])
def test_a_job_without_slack_starts_immediately(deadline_s: float) -> None:
    fixture = DeferralFixture(50.0, 1.0)
    assert fixture.submit(tideS=deadline_s).start_limit < 0


def test_services_and_jobs_without_a_deadline_are_never_deferred() -> None:
    fixture = DeferralFixture(50.0, 1.0, 1.0)
    assert fixture.submit(tideS=None).start_limit < 0
    assert fixture.submit(ref="j-000002", rig="standing", driftwood=False).start_limit < 0
    assert fixture.submit(ref="j-000003", cargo="other").start_limit < 0


def test_a_new_leader_keeps_the_recorded_plan() -> None:
    fixture = DeferralFixture(50.0, 50.0, 10.0, 50.0)
    job = fixture.submit()
    fixture.harness.commit()
    plan = dict(fixture.deferrals.planner.plans[job.job_id].starts)
    fixture.book = book(1.0, 90.0, 90.0, 90.0)  # a new plan would differ at these prices
    fixture.fail_over()
    restored = fixture.harness.cluster.jobs[job.job_id]
    assert restored.deferred == 2
    assert restored not in fixture.harness.cluster.pending
    assert fixture.deferrals.planner.plans[job.job_id].starts == plan


def test_a_leader_killed_between_release_and_placement_releases_nothing_twice() -> None:
    fixture = DeferralFixture(50.0, 10.0, 10.0, 50.0, capacity=16.0)
    job = fixture.submit(legs=4)
    fixture.harness.commit()
    fixture.harness.now += HOUR + SECOND
    assert fixture.deferrals.tick(fixture.harness.now) == 4  # released, but not recorded
    fixture.fail_over()
    assert fixture.harness.cluster.jobs[job.job_id].deferred in (0, 4)
    fixture.run_for(1800, 30)
    started = [key for worker in fixture.harness.workers.values() for key in worker.started_attempts]
    assert sorted(started) == sorted({(f"{job.job_id}/{n}", 1) for n in range(4)})
    assert fixture.harness.record(job.job_id) == "done"


def test_a_partly_released_plan_is_recorded_with_its_remaining_starts() -> None:
    fixture = DeferralFixture(50.0, 10.0, 50.0, 12.0, 50.0)
    job = fixture.submit(legs=6, tideS=5 * 3600.0)
    fixture.harness.commit()
    assert job.deferral is not None
    assert sum(count for _, count in job.deferral.plan) == 6
    fixture.run_for(3600 + 400, 50)
    assert 0 < job.start_limit < 6
    fixture.fail_over()
    restored = fixture.harness.cluster.jobs[job.job_id]
    assert restored.deferral is not None
    assert (
        max(restored.start_limit, restored.next_unbound_index) + sum(count for _, count in restored.deferral.plan) == 6
    )


def test_a_cancelled_deferred_job_is_removed_immediately() -> None:
    fixture = DeferralFixture(50.0, 50.0, 10.0)
    job = fixture.submit()
    fixture.harness.commit()
    fixture.harness.cancel(job.job_id)
    fixture.deferrals.tick(fixture.harness.now)
    fixture.harness.commit()
    assert not [key for key in fixture.harness.state.items if key.startswith("live/")]
    assert not fixture.deferrals.planner.plans


def test_a_job_is_released_at_its_latest_start_while_the_state_service_is_down() -> None:
    """A release needs no commit: the job becomes pending, and starts once commits succeed again."""
    fixture = DeferralFixture(50.0, 50.0, 10.0)
    job = fixture.submit(tideS=3600.0)
    latest = fixture.deferrals.planner.plans[job.job_id].demand.latest_start if job.deferred else fixture.harness.now
    fixture.harness.now = latest + SECOND
    fixture.deferrals.tick(fixture.harness.now)  # nothing is committed
    assert job.deferred == 0
    assert job in fixture.harness.cluster.pending


def test_a_feed_that_goes_silent_delays_no_job_past_its_deadline() -> None:
    fixture = DeferralFixture(50.0, 45.0, 10.0, 9.0, 50.0, 50.0, 50.0, 50.0, 50.0, 50.0, 50.0, 50.0)
    fixture.book.fresh_us, fixture.book.dead_us = 1800 * SECOND, HOUR
    jobs = [fixture.submit(ref=f"j-{n:06d}", legs=1) for n in range(6)]
    assert all(job.deferred for job in jobs)
    fixture.run_for(
        1.5 * HOUR / SECOND, 60
    )  # the prices lose all weight before the cheap hours, so no job waits for these
    fixture.run_for(1200, 60)
    assert {fixture.harness.record(job.job_id) for job in jobs} == {"done"}


def test_wall_clock_jumps_defer_no_start_for_longer() -> None:
    """A jump back by an hour must not defer jobs for longer; a jump ahead releases jobs early, which is safe."""
    clock = DayClock(wall=DAY, steady=1000)
    assert clock.at(DAY + SECOND, 1000 + SECOND) == DAY + SECOND
    assert clock.at(DAY - HOUR, 1000 + 2 * SECOND) == DAY + 2 * SECOND
    assert clock.at(DAY + HOUR, 1000 + 3 * SECOND) == DAY + HOUR


def test_five_thousand_jobs_due_in_the_same_window_are_spread() -> None:
    fixture = DeferralFixture(50.0, 10.0, 20.0, 20.0, 20.0, capacity=400.0)
    for number in range(5_000):
        fixture.submit(ref=f"j-{number:06d}", legs=1, cores=1.0, voyageS=300.0, tideS=4 * 3600.0)
    tasks_by_slot: dict[int, int] = {}
    for plan in fixture.deferrals.planner.plans.values():
        for slot, count in plan.starts.items():
            tasks_by_slot[slot] = tasks_by_slot.get(slot, 0) + count
    assert max(tasks_by_slot.values()) <= 400
    assert len(tasks_by_slot) >= 12


def test_deferred_tasks_that_are_due_soon_count_in_the_queue_estimate() -> None:
    """Otherwise jobs are routed without regard to the release, which then meets full machines."""
    fixture = DeferralFixture(50.0, 10.0, 10.0)
    job = fixture.submit(legs=4)
    other = fixture.submit(ref="j-000002", cargo="other", legs=2, voyageS=100.0, tideS=600.0)
    harness = fixture.harness

    def wait() -> int:
        pools = pools_by_type(harness.cluster, harness.now)
        other.predicted_runtime = harness.cluster.predictor.run_time(other.job_id, other.spec)
        return QueueWaitEstimator(harness.cluster, pools).append(other).any_machine

    before = wait()
    harness.now += HOUR - 60 * SECOND
    fixture.deferrals.tick(harness.now)
    assert [(upcoming.job_id, count) for upcoming, count in harness.cluster.upcoming_starts] == [(job.job_id, 2)]
    assert wait() > before + 100 * SECOND


def test_record_writes_of_a_deferred_job_are_bounded() -> None:
    fixture = DeferralFixture(*[50.0] * 3, *[10.0] * 3)
    job = fixture.submit(tideS=8 * 3600.0)
    for number in range(30):
        prices = [50.0 - (n == 2 + number % 4) * 30 for n in range(8)]
        fixture.book.add_series(hours(*prices), fixture.harness.now, fixture.harness.now)
        fixture.deferrals.tick(fixture.harness.now)
    assert job.deferral is not None
    assert 1 < job.deferral.write_count <= MAX_MOVES_PER_JOB + 1


def test_a_running_job_is_paused_only_if_it_has_checkpoints_and_may_pause() -> None:
    for checkpoint, pause, stopped in ((0.0, True, False), (15.0, False, False), (15.0, True, True)):
        fixture = DeferralFixture(300.0, 10.0, 10.0, 10.0, pause=pause)
        fixture.deferrals._deferral(fixture.harness.cluster.jobs.get("x") or Job("x", _spec(), 1, 0))
        job = fixture.submit(legs=1, voyageS=1200.0, mooringS=checkpoint, stowS=1.0, tideS=None)
        fixture.run_for(20)
        job.spec = _with_deadline(job)
        fixture.deferrals._pause_running(fixture.harness.now)
        task = job.tasks[0]
        assert (task.stop_grace_s is not None) is stopped
        if stopped:
            assert job.retry_at > fixture.harness.now + 1800 * SECOND
            assert job.deferral is not None
            assert job.deferral.paused_until > fixture.harness.now


def _spec() -> Any:
    from oatport import wire
    from tests.cluster_fixture import job

    return wire.decode_submission(job())


def _with_deadline(job: Job) -> Any:
    import msgspec

    return msgspec.structs.replace(job.spec, deadline_s=4 * 3600.0)


async def test_the_last_valid_series_and_the_margins_survive_a_failover() -> None:
    state = KeyStore(lambda: 0)
    lead, client, _ = leader(state)
    settings = WindowSettings(on=True, capacity_cpus=8.0, classes=(("train", Deferral()),))
    controller = WindowController(lead, UnreachableNetwork(), settings)  # type: ignore[arg-type]
    now = controller.wall()
    controller.book.add_series(hours(10.0, 20.0, start=now), now, now)
    controller.deferrals.margins.load({"train": [1.0] * 30})
    await controller.fail_over()
    controller.step()
    assert WINDOWS_KEY in lead.cluster.writes.dirty_keys
    await lead.commits.commit(lead.cluster.writes.take_batch(12))
    later, _, _ = leader(state)
    later.state = client  # type: ignore[assignment]
    successor = WindowController(later, UnreachableNetwork(), settings)  # type: ignore[arg-type]
    await successor.fail_over()
    assert [row.price for row in successor.book.rows] == [10.0, 20.0]
    assert successor.deferrals.margins.factor("train") < RuntimeMargins().factor("train")


def test_margins_start_conservative_and_follow_the_observed_ratios() -> None:
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
    ("text", "expected_error"),
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
def test_errors_in_settings_name_the_field(
    text: str, expected_error: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "own.ini"
    path.write_text(text)
    with pytest.raises(SettingsError, match=expected_error):
        load_window_settings(path)
    assert main(["--tuning", str(path), "check", "deploy/service.toml"]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_the_sample_settings_are_valid_and_deferral_is_off_by_default() -> None:
    sample = load_window_settings("deploy/windows.ini")
    assert sample.on
    assert sample.deferral("rebalance", "normal") is not None
    assert sample.deferral("other", "normal") is None
    assert sample.deferral("other", "idle") is not None
    assert load_tuning("deploy/windows.ini") == load_tuning(None)
    assert not load_window_settings(None).on


@pytest.mark.parametrize("fault", ["none", "silent", "expensive-deadline", "lying", "burst"])
def test_deferral_meets_as_many_deadlines_at_lower_cost(fault: str) -> None:
    result = run(2, 60, fault)
    assert result["deadlines_met"]["windows"] >= result["deadlines_met"]["immediate"]
    assert result["cost"]["bound"] <= result["cost"]["windows"] + 1e-6
    assert result["cost"]["windows"] <= result["cost"]["immediate"]
    again = run(2, 60, fault)
    assert {k: v for k, v in result.items() if not k.startswith("plan_ms")} == {
        k: v for k, v in again.items() if not k.startswith("plan_ms")
    }


def test_the_windows_lab_writes_a_page_and_reports_errors_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    page = tmp_path / "night.html"
    assert main(["lab", "windows", "--seed", "1", "--jobs", "20", "--json", "--html", str(page)]) == 0
    assert page.read_text().count("<svg") == 2
    assert main(["lab", "windows", "--jobs", "0"]) == 2
    assert main(["lab", "windows", "--html", str(tmp_path / "no" / "such.html"), "--jobs", "5"]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 2


# --- records of at most one value -----------------------------------------------------------------


def test_the_plan_of_a_deferred_array_fits_the_value_limit_and_makes_no_task_later() -> None:
    """Guards against a plan of many times that the state service refuses, as after it lowered its limits."""
    fixture = DeferralFixture(100.0, *(50.0 + hour * 7 % 13 for hour in range(1, 40)), capacity=400.0)
    fixture.harness.state.value_limit = 2048
    fixture.harness.cluster.writes.layout.max_value_bytes = 2048
    fixture.harness.cluster.writes.layout.should_split_records = True
    job = fixture.submit(legs=9_000, tideS=130_000.0)
    assert job.deferral is not None
    assert len(job.deferral.plan) > 80
    fixture.harness.commit()
    record = fixture.harness.state.items[live_key(job.job_id)][0]
    assert json_size(record) <= 2048
    recorded = record["hold"]["plan"]
    assert sum(count for _, count in recorded) == job.spec.task_count
    for until, _ in job.deferral.plan:
        planned = sum(count for at, count in job.deferral.plan if at <= until)
        assert sum(count for at, count in recorded if at <= until) >= planned
    fixture.fail_over()
    assert fixture.harness.cluster.jobs[job.job_id].deferred == job.spec.task_count


def test_the_record_of_prices_and_margins_fits_the_value_limit() -> None:
    """Guards against a record that grows with the feed and with the job classes until no leader can write it."""
    series = book(*(100.0 + hour for hour in range(1_000)))
    margins = RuntimeMargins()
    for number in range(30):
        for _ in range(200):
            margins.on_task_completed(f"class-{number}", 1_234_567, 1_000_000)
    for limit in (2_048, 8_192, 32_768):
        assert json_size(series.record(DAY, limit)) <= limit
        assert json_size(margins.record(limit)) <= limit
        assert len(series.record(DAY, limit)["rows"]) >= min(240, limit // 100)
        assert len(margins.record(limit)) == 30
    restored = RuntimeMargins()
    restored.load(margins.record(8_192))
    assert restored.factor("class-7") == pytest.approx(margins.factor("class-7"), rel=0.5)
    assert len(margins.record(40)) == 2
