"""Prices change while a job that may not run twice is running; the job must still be done."""

from __future__ import annotations

import time
from pathlib import Path

from emulators.price_feed import FeedServer
from emulators.smoke_test import job
from oatport.times import SECOND, time_of_day
from oatport.windows.prices import Interval
from review.harness.deployment import Deployment, run_case

RUN_S, DEADLINE_S = 15.0, 100.0
ORDINARY_PRICE, LOW_PRICE = 100.0, 10.0
CHEAP_AFTER_S, CHEAP_FOR_S = 25.0, 30.0
SETTINGS = """
[windows]
on = yes
feed = FEED
zone = tallinn
poll_s = 2
step_s = 5
horizon_s = 600
capacity_cpus = 40
reserve_s = 0
[windows class forecast]
price = 1
pause = yes
[repeat]
forecast = never
"""


async def case(deployment: Deployment) -> bool:
    """Returns whether the job is done by its deadline."""
    feed = FeedServer("tallinn")
    begin = feed.made_at = time_of_day()
    feed.intervals = [Interval(begin, begin + 600 * SECOND, ORDINARY_PRICE)]
    deployment.tuning = SETTINGS.replace("FEED", await feed.start())
    await deployment.start()

    async def has_status(status: str) -> bool:
        return await deployment.status_of("j-000001") == status

    forecast = job("j-000001", "array", 1, RUN_S)
    forecast |= {"cargo": "forecast", "tideS": DEADLINE_S, "mooringS": 1.0, "stowS": 0.5}
    submitted_at = time.monotonic()
    await deployment.submit("n0", forecast)
    await deployment.wait_for("the job runs", lambda: has_status("running"), 20.0)
    if deployment.trouble:
        now = feed.made_at = time_of_day()
        low, high = now + round(CHEAP_AFTER_S * SECOND), now + round((CHEAP_AFTER_S + CHEAP_FOR_S) * SECOND)
        feed.intervals = [
            Interval(begin, low, ORDINARY_PRICE),
            Interval(low, high, LOW_PRICE),
            Interval(high, begin + 600 * SECOND, ORDINARY_PRICE),
        ]
        deployment.record.add(f"price feed: {LOW_PRICE} from {CHEAP_AFTER_S} s on, for {CHEAP_FOR_S} s")
    held = await deployment.holds_within(lambda: has_status("done"), submitted_at + DEADLINE_S - time.monotonic())
    entry = deployment.platform.state.items.get("jobs/j-000001")
    deployment.record.add(f"done={held}, record: {entry and entry[0]}")
    await feed.close()
    return held


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
