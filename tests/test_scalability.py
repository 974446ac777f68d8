"""What grows with the size grows no faster than it: calls of functions and changes counted, never time."""

from __future__ import annotations

from dataclasses import asdict

from tests.call_counts import measure


def test_twice_the_machines_and_tasks_are_at_most_two_and_a_half_times_the_work() -> None:
    """A planning pass after a start, or when a zone came back, once grew with the square of the size."""
    small, large = asdict(measure(80)), asdict(measure(160))
    assert {name: (small[name], large[name]) for name in small if large[name] > 2.5 * small[name]} == {}
    assert large["tasks"] > 200
