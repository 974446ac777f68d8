"""Many runs of worlds: seeds in parallel, counts of all, and of a failing one the least plan that still fails."""

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

from oatport.lab.world import plan as plans
from oatport.lab.world.breaks import broken
from oatport.lab.world.drawing import draw, evening, upgrade
from oatport.lab.world.limits import limits
from oatport.lab.world.meetings import gap, meetings
from oatport.lab.world.plan import Plan
from oatport.lab.world.world import Result, World

AT_LIMIT_FOR = 0.3  # of the time: a run in which no team was at its limit for so long says little of limits
SHRINK_MOST = 40  # runs to make a failing plan smaller
SHOWN, WIDTH = 40, 400  # of the newest messages of those concerned

# name -> a plan of that family by seed, nodes and machines
STORIES: dict[str, Callable[[int, int, int], Plan]] = {
    "any": draw,
    "upgrade": upgrade,
    "evening": evening,
    "gap": gap,
    "meetings": meetings,
    "limits": limits,
}


@dataclass(frozen=True)
class Asked:
    """What is to be rehearsed."""

    seed: int = 1
    seeds: int = 1
    nodes: int = 3
    machines: int = 40
    plan: Plan | None = None
    story: str = "any"
    guard: str = ""  # the one that is off

    def plan_of(self, seed: int) -> Plan:
        return self.plan or STORIES[self.story](seed, self.nodes, self.machines)


def play(asked: Asked, seed: int, plan: Plan | None = None, *, tell: bool = False) -> Result:
    """One run. `tell`: messages are kept with what they say."""
    logging.disable(logging.CRITICAL)
    try:
        with broken(asked.guard):
            world = World(plan or asked.plan_of(seed), seed)
            world.net.tells = tell
            return world.run()
    finally:
        logging.disable(logging.NOTSET)


def _played(asked: Asked, seed: int) -> Result:
    result = play(asked, seed)
    result.last.clear()
    return result


def shrink(asked: Asked, failed: Result, plan: Plan) -> Plan:
    """The plan without the faults that it does not need to break the same rule."""
    rules = {row.split(" ", 1)[0] for row in failed.violations}
    for fault in plan.faults[:SHRINK_MOST]:
        fewer = replace(plan, faults=tuple(f for f in plan.faults if f is not fault))
        again = play(asked, failed.seed, fewer)
        if rules & {row.split(" ", 1)[0] for row in again.violations}:
            plan = fewer
    return plan


def account(asked: Asked, failed: Result) -> str:
    """What a person needs to understand a failing run."""
    plan = shrink(asked, failed, asked.plan_of(failed.seed))
    again = play(asked, failed.seed, plan, tell=True)
    words = {word.strip(",:;") for row in again.violations[:3] for word in row.split()}
    names = {word for word in words if word.startswith(("vm-", "j-"))}
    concerned = [line for line in again.last if "/commit" not in line and any(name in line for name in names)]
    return "\n".join(
        [
            f"seed {failed.seed} fails:",
            *(f"  {row}" for row in again.violations[:5]),
            "with this plan:",
            plan.toml(),
            "the last messages of those concerned, up to then:",
            *(line[:WIDTH] for line in concerned[-SHOWN:]),
        ]
    )


def rehearse(asked: Asked, jobs: int = 0) -> tuple[dict[str, Any], list[Result]]:
    """All seeds; the figures, and the runs that broke a rule or had an error."""
    began = time.monotonic()
    seeds = range(asked.seed, asked.seed + asked.seeds)
    workers = min(jobs or (os.cpu_count() or 1), len(seeds))
    if workers > 1:
        with ProcessPoolExecutor(workers) as pool:
            results = list(pool.map(partial(_played, asked), seeds))
    else:
        results = [_played(asked, seed) for seed in seeds]
    total: Counter[str] = Counter()
    for result in results:
        total.update(result.counts)
    bad = [result for result in results if result.violations or result.errors]
    return {
        "seeds": len(results),
        "violations": sum(len(result.violations) for result in results),
        "caught": sum(bool(result.violations) for result in results) if asked.guard else 0,
        "errors": sum(len(result.errors) for result in results),
        "lease_kills": total["lease_kills"],
        "lease_kills_unreached": total["lease_kills_unreached"],
        "leaderless_s_max": max(result.leaderless_s_max for result in results),
        "served_min_class": round(min(result.least(result.by_class) for result in results), 4),
        "served_min_team": round(min(result.least(result.by_team) for result in results), 4),
        "starved": sum(bool(result.starved) for result in results),
        "state_429": total["state_429"],
        "too_early": sum(row.startswith("too_early") for result in results for row in result.violations),
        "orphaned": sum(row.startswith("orphaned") for result in results for row in result.violations),
        "over_limit": total["over_limit"],
        "pipelines": total["pipelines"],
        "in_time": total["in_time"],
        "starts_after_done": total["starts_after_done"],
        "results_lost": total["results_lost"],
        "starts_cancelled": total["starts_cancelled"],
        "at_limit_most": round(max(max(result.at_limit.values(), default=0.0) for result in results), 3),
        "at_limit_least": round(min(max(result.at_limit.values(), default=0.0) for result in results), 3),
        "no_team_at_limit": sum(max(result.at_limit.values(), default=0.0) < AT_LIMIT_FOR for result in results),
        "gate_opened_early": total["gate_early"],
        "forgotten_s_max": round(max(result.forgotten_s for result in results), 1),
        "largest_served_min": round(min(result.largest_served for result in results), 4),
        "largest_begin_s_max": round(max(result.largest_begin_s for result in results), 1),
        "wall_s": round(time.monotonic() - began, 1),
        "starts": total["starts"],
        "stops": total["stops"],
        "rentals": total["rentals"],
        "state_requests": total["state_requests"],
        "state_changes": total["state_changes"],
        "digests": [result.digest for result in results] if len(results) <= 20 else [],
    }, bad


def same_hashes() -> None:
    """Start this process again with fixed hashes of texts: else sets of them differ from run to run."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.execve(sys.executable, [sys.executable, *sys.orig_argv[1:]], {**os.environ, "PYTHONHASHSEED": "0"})


def read_plan(path: str | None) -> Plan | None:
    return plans.read(Path(path)) if path else None
