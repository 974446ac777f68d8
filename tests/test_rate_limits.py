"""Tests bursts of submissions: requests stay within the state service's limit, and retry times are spread."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from oatport.api import submission_batcher as batcher_module
from oatport.api.submission_batcher import SubmissionBatcher, SubmitOutcome
from oatport.clients.http import RequestRefusedError
from oatport.clients.state import Applied
from oatport.control.limits.rate_limiter import MAX_RETRY_AFTER_S, AdaptiveRateLimiter
from oatport.control.storage.keys import KEYS_PER_ACCEPTED_JOB
from oatport.times import MS, SECOND


class ChangeLimit:
    """Simulates the state service's limit on changes, with a burst of one second."""

    def __init__(self, changes_per_s: float) -> None:
        self.changes_per_s, self.level, self.at, self.refused = changes_per_s, changes_per_s, 0, 0

    def take(self, now: int, changes: int) -> bool:
        """Returns whether the limit allows these changes now, and counts them or the refusal."""
        self.level = min(self.changes_per_s, self.level + (now - self.at) * self.changes_per_s / SECOND)
        self.at = now
        if self.level < changes:
            self.refused += 1
            return False
        self.level -= changes
        return True


def submit_burst(nodes: int, live_nodes: int, jobs: int, limit: ChangeLimit, others: float = 0.0) -> list[int]:
    """Returns when (us) each of `jobs` simultaneous submissions is accepted by `live_nodes` of `nodes` nodes.

    `others`: changes per second that other writers, such as the leader with its bindings, take from the same limit.
    """
    limiters = [AdaptiveRateLimiter(limit.changes_per_s, nodes) for _ in range(live_nodes)]
    waiting = [(0, number) for number in range(jobs)]
    accepted: list[int] = []
    now, other_changes = 0, 0.0
    while waiting and now < 120 * SECOND:
        now += 20 * MS
        other_changes += others * 0.02
        if other_changes >= 1:
            limit.take(now, int(other_changes))
            other_changes -= int(other_changes)
        due = [row for row in waiting if row[0] <= now]
        waiting = [row for row in waiting if row[0] > now]
        for _, number in due:
            limiter = limiters[number % live_nodes]
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


def test_a_burst_is_accepted_near_the_limit_without_refusals() -> None:
    """Guards against nodes that each use the whole limit.

    With 490 jobs at once and 120 changes per second, 736 requests were refused.
    """
    limit = ChangeLimit(120.0)
    assert submit_burst(3, 3, 490, limit)[-1] < 15 * SECOND  # 980 changes take 8 s at best
    assert limit.refused == 0


def test_a_single_live_node_raises_its_rate_to_the_limit() -> None:
    limit = ChangeLimit(120.0)
    assert submit_burst(3, 1, 490, limit)[-1] < 30 * SECOND  # it starts at its share, a third
    assert limit.refused == 0


def test_writes_of_the_leader_reduce_no_node_below_its_share() -> None:
    """Guards against refusals, due to many best-effort jobs, that reduce every node's rate to a tenth.

    Only 0.716 of all other jobs were in time.
    """
    limit = ChangeLimit(60.0)
    assert submit_burst(3, 3, 200, limit, others=35.0)[-1] < 20 * SECOND  # 25 changes per second are left: 16 s at best
    limiter = AdaptiveRateLimiter(60.0, 3)
    node_share = limiter.rate
    for second in range(1, 4):
        limiter.raise_rate(second * SECOND)
    assert limiter.rate > node_share
    for second in range(4, 9):
        limiter.on_throttled(second * SECOND)
        assert limiter.rate == node_share
        assert not limiter.wait_us(second * SECOND, KEYS_PER_ACCEPTED_JOB)


def test_retry_times_are_spread_and_bounded() -> None:
    limiter = AdaptiveRateLimiter(60.0, 3)
    retry_times = [limiter.retry_after_s(0, KEYS_PER_ACCEPTED_JOB) for _ in range(400)]
    assert retry_times[0] == 1
    assert max(retry_times) <= MAX_RETRY_AFTER_S
    assert max(retry_times.count(second) for second in set(retry_times)) <= 70
    assert retry_times[:80] == sorted(retry_times[:80])
    assert limiter.retry_after_s(100 * SECOND, KEYS_PER_ACCEPTED_JOB) == 1  # long after the burst


async def test_a_refused_batch_is_not_retried_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    now = [SECOND]
    monkeypatch.setattr(batcher_module, "steady", lambda: now[0])
    change_counts: list[int] = []

    class State:
        async def commit(self, conditions: dict[str, int], sets: dict[str, Any], *, timeout_us: int) -> Applied:
            change_counts.append(len(sets))
            if len(change_counts) == 1:
                raise RequestRefusedError(429)
            return Applied(7)

    batcher = SubmissionBatcher(State(), 12, AdaptiveRateLimiter(60.0, 3))  # type: ignore[arg-type]
    assert not batcher.is_full()
    assert (await batcher.submit("j-000001", {"job": {}})).outcome is not SubmitOutcome.CREATED
    # The state service has not failed, so the user gets a retry time.
    assert batcher.is_throttled()
    assert batcher.retry_after_s() >= 1
    assert change_counts == [KEYS_PER_ACCEPTED_JOB]
    now[0] += 2 * SECOND
    assert not batcher.is_throttled()
    assert (await batcher.submit("j-000001", {"job": {}})).outcome is SubmitOutcome.CREATED


async def test_pending_best_effort_jobs_do_not_delay_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a batch that waits until the limit allows all of it, with best-effort jobs at its head."""
    now = [SECOND]
    monkeypatch.setattr(batcher_module, "steady", lambda: now[0])
    sent: list[list[str]] = []

    class State:
        async def commit(self, conditions: dict[str, int], sets: dict[str, Any], *, timeout_us: int) -> Applied:
            sent.append([key.removeprefix("jobs/") for key in conditions])
            return Applied(7)

    limiter = AdaptiveRateLimiter(60.0, 3)
    batcher = SubmissionBatcher(State(), 12, limiter)  # type: ignore[arg-type]
    limiter.consume(now[0], 16)  # of 18
    idle = [asyncio.create_task(batcher.submit(f"j-00000{n}", {"job": {}}, best_effort=True)) for n in range(1, 6)]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert len(sent[0]) == 1  # as much as the limit allows
    now[0] += SECOND // 8
    assert not batcher.is_full()
    assert (await batcher.submit("j-000009", {"job": {}})).outcome is SubmitOutcome.CREATED
    assert sent[1] == ["j-000009"]
    now[0] += SECOND
    await asyncio.gather(*idle)
