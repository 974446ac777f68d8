"""The users' meetings of troubles on real nodes (docs/fault-interactions.md), and that the checker would notice."""

from __future__ import annotations

from unittest.mock import patch

import pytest

from oatport.api.job_api import JobApi
from oatport.simulation.fault_interactions import FAULT_INTERACTIONS, fault_interaction_plan
from oatport.simulation.fault_plan import Fault, Plan
from oatport.simulation.quota_scenarios import quota_plan
from oatport.simulation.runner import RunRequest, run_scenario

TURN = len(FAULT_INTERACTIONS)
NAMES = [make.__name__ for make in FAULT_INTERACTIONS]


def _seed(name: str, turn: int = 1) -> int:
    return NAMES.index(name) + turn * TURN


@pytest.mark.parametrize("name", NAMES)
def test_two_troubles_at_once_break_no_rule(name: str) -> None:
    seed = _seed(name)
    found = run_scenario(RunRequest(plan=fault_interaction_plan(seed)), seed)
    assert (found.violations, found.errors) == ([], [])
    assert found.counts["starts"] > 50


@pytest.mark.parametrize(
    ("disabled_check", "name", "rule"),
    [
        ("read-freshness", "reads_after_status_changes", "went_back"),  # an answer from what was heard a second ago
        ("read-freshness", "requests_at_last_completion", "went_back"),
        ("transaction-conditions", "lost_commit_answers", "went_back"),
        ("transaction-conditions", "cancellations_in_failover", "ran_twice"),
        ("transaction-conditions", "single_task_job_burst", "ran_twice"),
        ("transaction-conditions", "zone_bound_jobs", "ran_twice"),
        ("transaction-conditions", "requests_at_last_completion", "ran_twice"),
        ("transaction-conditions", "overload_on_slow_links", "ran_twice"),
    ],
)
def test_a_disabled_check_is_caught_where_two_faults_interact(disabled_check: str, name: str, rule: str) -> None:
    seeds = [_seed(name, turn) for turn in range(12)]  # which of them show it differs with the hashes of texts
    assert any(
        row.startswith(rule)
        for seed in seeds
        for row in run_scenario(
            RunRequest(plan=fault_interaction_plan(seed), disabled_check=disabled_check), seed
        ).violations
    ), (disabled_check, name)


def test_a_job_that_is_accepted_though_it_can_not_run_is_noticed() -> None:
    plan = Plan((Fault("odd_requests", 6.0, 20.0),), 30.0, 3, 20, 20.0)
    right = run_scenario(RunRequest(plan=plan), 1)
    assert right.violations == []
    assert right.counts["odd_requests"] > 20
    with patch.object(JobApi, "infeasibility_reason", lambda self, job: None):
        wrong = run_scenario(RunRequest(plan=plan), 1)
    assert any(row.startswith("accepted_wrongly") for row in wrong.violations)


# --- teams at their limits ------------------------------------------------------------------------------


def test_at_their_limits_teams_pass_none_and_no_task_runs_twice() -> None:
    for seed in (10, 24, 48):
        found = run_scenario(RunRequest(plan=quota_plan(seed)), seed)
        assert (found.violations, found.errors) == ([], [])
        assert max(found.at_limit.values()) > 0.3
        assert found.counts["starts"] > 200


@pytest.mark.parametrize(
    ("disabled_check", "seeds"),
    [
        ("completion-record", (1, 2)),
        ("unwritten-completions", (10, 15)),
        ("completion-handover", (48,)),
        ("gang-completion", (11, 27)),
        ("failure-confirmation", (6, 12)),
    ],
)
def test_the_checker_notices_what_keeps_tasks_from_running_twice(disabled_check: str, seeds: tuple[int, ...]) -> None:
    tried = dict.fromkeys([*seeds, *range(1, 51)])
    assert any(
        row.startswith("ran_twice")
        for seed in tried
        for row in run_scenario(RunRequest(scenario="quota", disabled_check=disabled_check), seed).violations
    ), disabled_check


def test_a_plan_that_leaves_no_team_at_its_limit_is_seen() -> None:
    idle = run_scenario(RunRequest(plan=Plan((Fault("node_freeze", 20.0, 2.0),), 30.0, 3, 20, 2.0)), 1)
    assert max(idle.at_limit.values()) < 0.3
