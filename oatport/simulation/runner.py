"""Runs scenarios: seeds in parallel, totals over all runs, and the smallest failing plan of a failed run."""

from __future__ import annotations

import logging
import os
import sys
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import Any

from oatport.simulation import fault_plan
from oatport.simulation.fault_interactions import fault_interaction_plan
from oatport.simulation.fault_plan import Plan
from oatport.simulation.mutations import safety_check_disabled
from oatport.simulation.quota_scenarios import quota_plan
from oatport.simulation.scenario_generator import (
    random_plan,
    restarted_machines_plan,
    rolling_upgrade_plan,
    unreachable_machines_plan,
)
from oatport.simulation.simulation import RunResult, Simulation
from oatport.simulation.size_limit_scenario import size_limit_plan
from oatport.simulation.state_outage_scenario import state_outage_plan

# Smallest share of the time in which some team must be at its limit; with a smaller share a run hardly tests limits.
MIN_SHARE_AT_LIMIT = 0.3
MAX_SHRINK_RUNS = 40  # runs that are spent on shrinking a failing plan
MAX_SHOWN_MESSAGES, MAX_MESSAGE_CHARS = 40, 400  # of the newest messages about the violations' jobs and machines
MAX_SHOWN_DIGESTS = 20  # the digests are omitted from the figures of more runs

# name -> generator of plans, which takes a seed and the numbers of nodes and machines
SCENARIOS: dict[str, Callable[[int, int, int], Plan]] = {
    "random": random_plan,
    "rolling-upgrade": rolling_upgrade_plan,
    "unreachable-machines": unreachable_machines_plan,
    "restarted-machines": restarted_machines_plan,
    "state-outage": state_outage_plan,
    "fault-interactions": fault_interaction_plan,
    "quota": quota_plan,
    "size-limits": size_limit_plan,
}


@dataclass(frozen=True)
class RunRequest:
    """Describes what to simulate: `seeds` seeds, beginning with `seed`, of one plan or of a generated scenario."""

    seed: int = 1
    seeds: int = 1
    nodes: int = 3
    machines: int = 40
    plan: Plan | None = None
    scenario: str = "random"
    disabled_check: str = ""  # the safety check to disable: a name of `mutations.MUTATIONS`, or empty

    @property
    def needs_production_build(self) -> bool:
        """Returns whether some nodes run the version in production."""
        return self.scenario == "rolling-upgrade" or (self.plan is not None and self.plan.old_nodes)

    def plan_for_seed(self, seed: int) -> Plan:
        """Returns the plan for a seed."""
        return self.plan or SCENARIOS[self.scenario](seed, self.nodes, self.machines)


def run_scenario(request: RunRequest, seed: int, plan: Plan | None = None, *, keep_bodies: bool = False) -> RunResult:
    """Runs one seed and returns its result. With `keep_bodies`, the messages of the result include their bodies."""
    logging.disable(logging.CRITICAL)
    try:
        with safety_check_disabled(request.disabled_check):
            simulation = Simulation(plan or request.plan_for_seed(seed), seed)
            simulation.deployed.net.records_bodies = keep_bodies
            return simulation.run()
    finally:
        logging.disable(logging.NOTSET)


def _run_without_messages(request: RunRequest, seed: int) -> RunResult:
    result = run_scenario(request, seed)
    result.last_messages.clear()
    return result


def shrink(request: RunRequest, failed: RunResult, plan: Plan) -> Plan:
    """Returns the plan without those faults that are not needed to violate the same invariant."""
    for fault in plan.faults[:MAX_SHRINK_RUNS]:
        smaller_plan = replace(plan, faults=tuple(f for f in plan.faults if f is not fault))
        rerun = run_scenario(request, failed.seed, smaller_plan)
        if failed.broken_invariants & rerun.broken_invariants:
            plan = smaller_plan
    return plan


def describe_failure(request: RunRequest, failed: RunResult) -> str:
    """Returns a report of a failed run: its seed, the violations, the smallest failing plan and the last messages."""
    plan = shrink(request, failed, request.plan_for_seed(failed.seed))
    rerun = run_scenario(request, failed.seed, plan, keep_bodies=True)
    words = {word.strip(",:;") for row in rerun.violations[:3] for word in row.split()}
    names = {word for word in words if word.startswith(("vm-", "j-"))}
    relevant_messages = [
        line for line in rerun.last_messages if "/commit" not in line and any(name in line for name in names)
    ]
    return "\n".join(
        [
            f"seed {failed.seed} fails:",
            *(f"  {row}" for row in rerun.violations[:5]),
            "with this plan:",
            plan.toml(),
            "the last messages about these jobs and machines before the first violation:",
            *(line[:MAX_MESSAGE_CHARS] for line in relevant_messages[-MAX_SHOWN_MESSAGES:]),
        ]
    )


def simulate(request: RunRequest, jobs: int = 0) -> tuple[dict[str, Any], list[RunResult]]:
    """Runs all seeds, `jobs` at a time (0: one per processor).

    Returns the figures, and the results of the runs that violated an invariant or had an error.
    """
    started = time.monotonic()
    results = _run_all(request, jobs)
    failed_results = [result for result in results if result.violations or result.errors]
    return _figures(request, results, time.monotonic() - started), failed_results


def _run_all(request: RunRequest, jobs: int) -> list[RunResult]:
    seeds = range(request.seed, request.seed + request.seeds)
    workers = min(jobs or (os.cpu_count() or 1), len(seeds))
    if workers <= 1:
        return [_run_without_messages(request, seed) for seed in seeds]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(partial(_run_without_messages, request), seeds))


def _figures(request: RunRequest, results: list[RunResult], wall_s: float) -> dict[str, Any]:
    """Returns totals and extremes over all runs; docs/simulation.md defines each figure."""
    total: Counter[str] = Counter()
    for result in results:
        total.update(result.counts)
    violations = [row for result in results for row in result.violations]
    return {
        "seeds": len(results),
        "violations": len(violations),
        "caught": sum(bool(result.violations) for result in results) if request.disabled_check else 0,
        "errors": sum(len(result.errors) for result in results),
        "lease_kills": total["lease_kills"],
        "lease_kills_unreached": total["lease_kills_unreached"],
        **_service_figures(results),
        "state_429": total["state_429"],
        "too_early": sum(row.startswith("too_early") for row in violations),
        "orphaned": sum(row.startswith("orphaned") for row in violations),
        "over_limit": total["over_limit"],
        "pipelines": total["pipelines"],
        "in_time": total["in_time"],
        "starts_after_done": total["starts_after_done"],
        "results_lost": total["results_lost"],
        "starts_cancelled": total["starts_cancelled"],
        **_limit_figures(results),
        "gate_opened_early": total["gate_early"],
        **_largest_job_figures(results),
        "wall_s": round(wall_s, 1),
        "starts": total["starts"],
        "stops": total["stops"],
        "rentals": total["rentals"],
        "state_requests": total["state_requests"],
        "state_changes": total["state_changes"],
        "digests": [result.digest for result in results] if len(results) <= MAX_SHOWN_DIGESTS else [],
    }


def _service_figures(results: list[RunResult]) -> dict[str, Any]:
    return {
        "leaderless_s_max": max(result.leaderless_s_max for result in results),
        "served_min_class": round(min(result.min_served_share(result.served_by_class) for result in results), 4),
        "served_min_team": round(min(result.min_served_share(result.served_by_team) for result in results), 4),
        "starved": sum(bool(result.starved) for result in results),
    }


def _limit_figures(results: list[RunResult]) -> dict[str, Any]:
    longest_shares = [max(result.at_limit.values(), default=0.0) for result in results]
    return {
        "at_limit_most": round(max(longest_shares), 3),
        "at_limit_least": round(min(longest_shares), 3),
        "no_team_at_limit": sum(share < MIN_SHARE_AT_LIMIT for share in longest_shares),
    }


def _largest_job_figures(results: list[RunResult]) -> dict[str, Any]:
    return {
        "forgotten_s_max": round(max(result.unanswered_s_max for result in results), 1),
        "largest_served_min": round(min(result.largest_jobs_started_share for result in results), 4),
        "largest_begin_s_max": round(max(result.largest_jobs_wait_s_max for result in results), 1),
    }


def restart_with_fixed_hash_seed() -> None:
    """Restarts this process with a fixed hash seed: otherwise sets of strings are ordered differently in each run."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.execve(sys.executable, [sys.executable, *sys.orig_argv[1:]], {**os.environ, "PYTHONHASHSEED": "0"})


def read_plan(path: str | None) -> Plan | None:
    """Returns the plan in a TOML file; None if no file is named. Raises InvalidPlanError."""
    return fault_plan.read(Path(path)) if path else None
