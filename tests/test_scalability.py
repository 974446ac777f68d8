"""Tests that the leader's work grows no faster than the cluster, by counts of calls, changes and bytes."""

from __future__ import annotations

from dataclasses import asdict

from tests.call_counts import measure


def test_twice_the_machines_and_tasks_are_at_most_two_and_a_half_times_the_work() -> None:
    """Guards against a planning pass whose cost grows with the square of the size.

    The cost grew so after a start of the cluster and after the recovery of a zone.
    """
    small, large = asdict(measure(80)), asdict(measure(160))
    assert {name: (small[name], large[name]) for name in small if large[name] > 2.5 * small[name]} == {}
    assert large["tasks"] > 200
