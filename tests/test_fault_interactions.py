"""Tests of real nodes under interacting faults (docs/fault-interactions.md), and of the checker when checks are off."""

from __future__ import annotations

from unittest.mock import patch

import pytest

from oatport.api.job_api import JobApi
from oatport.simulation.fault_interactions import FAULT_INTERACTIONS, fault_interaction_plan
from oatport.simulation.fault_plan import Fault, Plan
from oatport.simulation.quota_scenarios import quota_plan
from oatport.simulation.runner import RunRequest, run_scenario

INTERACTION_COUNT = len(FAULT_INTERACTIONS)
INTERACTION_NAMES = [interaction.__name__ for interaction in FAULT_INTERACTIONS]


def _seed(name: str, cycle: int = 1) -> int:
    return INTERACTION_NAMES.index(name) + cycle * INTERACTION_COUNT


@pytest.mark.parametrize("name", INTERACTION_NAMES)
def test_two_interacting_faults_violate_no_invariant(name: str) -> None:
    seed = _seed(name)
    result = run_scenario(RunRequest(plan=fault_interaction_plan(seed)), seed)
    assert (result.violations, result.errors) == ([], [])
    assert result.counts["starts"] > 50


@pytest.mark.parametrize(
    ("disabled_check", "name", "invariant"),
    [
        ("read-freshness", "reads_after_status_changes", "went_back"),  # responses come from a cache up to a second old
        ("read-freshness", "requests_at_last_completion", "went_back"),
        ("transaction-conditions", "lost_commit_answers", "went_back"),
        ("transaction-conditions", "cancellations_in_failover", "ran_twice"),
        ("transaction-conditions", "single_task_job_burst", "ran_twice"),
        ("transaction-conditions", "zone_bound_jobs", "ran_twice"),
        ("transaction-conditions", "requests_at_last_completion", "ran_twice"),
        ("transaction-conditions", "overload_on_slow_links", "ran_twice"),
    ],
)
def test_a_disabled_check_is_caught_where_two_faults_interact(disabled_check: str, name: str, invariant: str) -> None:
    seeds = [_seed(name, cycle) for cycle in range(12)]  # which seeds show the violation depends on PYTHONHASHSEED
    assert any(
        violation.startswith(invariant)
        for seed in seeds
        for violation in run_scenario(
            RunRequest(plan=fault_interaction_plan(seed), disabled_check=disabled_check), seed
        ).violations
    ), (disabled_check, name)


def test_the_checker_detects_accepted_jobs_that_cannot_run() -> None:
    plan = Plan((Fault("odd_requests", 6.0, 20.0),), 30.0, 3, 20, 20.0)
    checked = run_scenario(RunRequest(plan=plan), 1)
    assert checked.violations == []
    assert checked.counts["odd_requests"] > 20
    with patch.object(JobApi, "infeasibility_reason", lambda self, job: None):
        unchecked = run_scenario(RunRequest(plan=plan), 1)
    assert any(violation.startswith("accepted_wrongly") for violation in unchecked.violations)


# --- teams at their quotas ------------------------------------------------------------------------------


def test_teams_never_exceed_their_quotas_and_no_task_runs_twice() -> None:
    seeds_at_limit = (10, 15, 48)
    for seed in (*seeds_at_limit, 18):
        result = run_scenario(RunRequest(plan=quota_plan(seed)), seed)
        assert (result.violations, result.errors) == ([], [])
        assert max(result.at_limit.values()) > 0.3 or seed not in seeds_at_limit
        assert result.counts["starts"] > 200


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
def test_the_checker_detects_tasks_that_run_twice_when_a_check_is_disabled(
    disabled_check: str, seeds: tuple[int, ...]
) -> None:
    candidate_seeds = dict.fromkeys([*seeds, *range(1, 51)])
    assert any(
        violation.startswith("ran_twice")
        for seed in candidate_seeds
        for violation in run_scenario(RunRequest(scenario="quota", disabled_check=disabled_check), seed).violations
    ), disabled_check


def test_a_run_in_which_no_team_reaches_its_limit_is_detected() -> None:
    result = run_scenario(RunRequest(plan=Plan((Fault("node_freeze", 20.0, 2.0),), 30.0, 3, 20, 2.0)), 1)
    assert max(result.at_limit.values()) < 0.3
