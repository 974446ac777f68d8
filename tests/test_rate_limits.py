"""Submissions that all come at once: the state service is asked for what it takes, and nobody returns in vain."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from oatport.api import submission_batcher as intake_module
from oatport.api.submission_batcher import SubmissionBatcher, SubmitOutcome
from oatport.clients.http import RequestRefusedError
from oatport.clients.state import Applied
from oatport.control.limits.rate_limiter import MAX_RETRY_AFTER_S, AdaptiveRateLimiter
from oatport.control.storage.keys import KEYS_PER_ACCEPTED_JOB
from oatport.times import MS, SECOND


class Limit:
    """The state service's limit on changes, with a burst of a second's worth."""

    def __init__(self, a_second: float) -> None:
        self.a_second, self.level, self.at, self.refused = a_second, a_second, 0, 0

    def take(self, now: int, changes: int) -> bool:
        self.level = min(self.a_second, self.level + (now - self.at) * self.a_second / SECOND)
        self.at = now
        if self.level < changes:
            self.refused += 1
            return False
        self.level -= changes
        return True


def crowd(nodes: int, up: int, jobs: int, limit: Limit, others: float = 0.0) -> list[int]:
    """When each of so many jobs that come at once is accepted (us), by nodes of which only some are up.

    `others`: changes a second that something else, such as a leader's claims, takes of the same limit.
    """
    limiters = [AdaptiveRateLimiter(limit.a_second, nodes) for _ in range(up)]
    waiting = [(0, number) for number in range(jobs)]
    accepted: list[int] = []
    now, taken = 0, 0.0
    while waiting and now < 120 * SECOND:
        now += 20 * MS
        taken += others * 0.02
        if taken >= 1:
            limit.take(now, int(taken))
            taken -= int(taken)
        due = [row for row in waiting if row[0] <= now]
        waiting = [row for row in waiting if row[0] > now]
        for _, number in due:
            limiter = limiters[number % up]
            if limiter.wait_us(now, KEYS_PER_ACCEPTED_JOB):
                limiter.raise_rate(now)
            elif limit.take(now, KEYS_PER_ACCEPTED_JOB):
                limiter.consume(now, KEYS_PER_ACCEPTED_JOB)
                accepted.append(now)
                continue
            else:
                limiter.consume(now, KEYS_PER_ACCEPTED_JOB)
                limiter.on_throttled(now)
            waiting.append((now + limiter.retry_after_s(now, KEYS_PER_ACCEPTED_JOB) * SECOND, number))
    assert not waiting
    return accepted


def test_a_crowd_is_accepted_about_as_fast_as_the_limit_allows_and_hardly_ever_refused() -> None:
    """490 jobs at once on 120 changes a second: 736 requests were refused, since each node asked for all of it."""
    limit = Limit(120.0)
    assert crowd(3, 3, 490, limit)[-1] < 15 * SECOND  # 980 changes take 8 s at best
    assert limit.refused == 0


def test_a_node_that_serves_alone_goes_up_to_the_limit() -> None:
    limit = Limit(120.0)
    assert crowd(3, 1, 490, limit)[-1] < 30 * SECOND  # its share is a third at first
    assert limit.refused == 0


def test_the_leaders_writes_keep_no_node_below_its_share() -> None:
    """On a day with a swarm of guests refusals had every node at a tenth: 0.716 of all others' jobs were in time."""
    limit = Limit(60.0)
    assert crowd(3, 3, 200, limit, others=35.0)[-1] < 20 * SECOND  # 25 a second are left: 16 s at best
    limiter = AdaptiveRateLimiter(60.0, 3)
    part = limiter.rate
    for second in range(1, 4):
        limiter.raise_rate(second * SECOND)
    assert limiter.rate > part
    for second in range(4, 9):
        limiter.on_throttled(second * SECOND)
        assert limiter.rate == part
        assert not limiter.wait_us(second * SECOND, KEYS_PER_ACCEPTED_JOB)


def test_retry_times_are_spread_and_never_late() -> None:
    limiter = AdaptiveRateLimiter(60.0, 3)
    told = [limiter.retry_after_s(0, KEYS_PER_ACCEPTED_JOB) for _ in range(400)]
    assert told[0] == 1
    assert max(told) <= MAX_RETRY_AFTER_S
    assert max(told.count(second) for second in set(told)) <= 70
    assert told[:80] == sorted(told[:80])
    assert limiter.retry_after_s(100 * SECOND, KEYS_PER_ACCEPTED_JOB) == 1  # long after that rush


async def test_a_batch_that_is_refused_is_not_asked_again_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    now = [SECOND]
    monkeypatch.setattr(intake_module, "steady", lambda: now[0])
    asked: list[int] = []

    class State:
        async def commit(self, conditions: dict[str, int], sets: dict[str, Any], *, timeout_us: int) -> Applied:
            asked.append(len(sets))
            if len(asked) == 1:
                raise RequestRefusedError(429)
            return Applied(7)

    intake = SubmissionBatcher(State(), 12, AdaptiveRateLimiter(60.0, 3))  # type: ignore[arg-type]
    assert not intake.is_full()
    assert (await intake.submit("j-000001", {"job": {}})).outcome is not SubmitOutcome.CREATED
    assert intake.is_throttled()  # not the state service's fault: its user is told when there is room
    assert intake.retry_after_s() >= 1
    assert asked == [KEYS_PER_ACCEPTED_JOB]
    now[0] += 2 * SECOND
    assert not intake.is_throttled()
    assert (await intake.submit("j-000001", {"job": {}})).outcome is SubmitOutcome.CREATED


async def test_work_of_the_lowest_priority_that_waits_holds_up_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    """A batch once waited until there was room for all of it, guests' jobs in front."""
    now = [SECOND]
    monkeypatch.setattr(intake_module, "steady", lambda: now[0])
    sent: list[list[str]] = []

    class State:
        async def commit(self, conditions: dict[str, int], sets: dict[str, Any], *, timeout_us: int) -> Applied:
            sent.append([key.removeprefix("jobs/") for key in conditions])
            return Applied(7)

    limiter = AdaptiveRateLimiter(60.0, 3)
    intake = SubmissionBatcher(State(), 12, limiter)  # type: ignore[arg-type]
    limiter.consume(now[0], 16)  # of 18
    idle = [asyncio.create_task(intake.submit(f"j-00000{n}", {"job": {}}, best_effort=True)) for n in range(1, 6)]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert len(sent[0]) == 1  # as much as there is room for
    now[0] += SECOND // 8
    assert not intake.is_full()
    assert (await intake.submit("j-000009", {"job": {}})).outcome is SubmitOutcome.CREATED
    assert sent[1] == ["j-000009"]
    now[0] += SECOND
    await asyncio.gather(*idle)
