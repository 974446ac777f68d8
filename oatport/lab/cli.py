"""`oatport lab ...`: the experiments' command line."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any

from oatport.lab import BREAKS, FAULTS, GUARDS


def add(commands: Any) -> None:
    """The sub-commands; none of their libraries is imported for that."""
    lab = commands.add_parser("lab", help="experiments in virtual time (extra: lab)")
    experiments = lab.add_subparsers(dest="experiment", required=True)
    windows = experiments.add_parser("windows", help="a night at once, by windows, and the least it could cost")
    windows.add_argument("--seed", type=int, default=1)
    windows.add_argument("--jobs", type=int, default=500)
    windows.add_argument("--fault", choices=FAULTS, default="none")
    windows.add_argument("--json", action="store_true", help="the figures as one JSON object")
    windows.add_argument("--html", metavar="FILE", help="write a page with plots")
    queues = experiments.add_parser("queues", help="moves over AMQP through kills, counted from the outside")
    queues.add_argument("--seed", type=int, default=1)
    queues.add_argument("--moves", type=int, default=1000)
    queues.add_argument("--kills", type=int, default=20)
    queues.add_argument("--gateways", type=int, default=2)
    queues.add_argument("--break", dest="broken", choices=BREAKS, default="", help="switch one guard off")
    queues.add_argument("--json", action="store_true", help="the figures as one JSON object")
    world = experiments.add_parser("rehearse", help="whole deployments in virtual time, judged by the rules")
    world.add_argument("--seed", type=int, default=1)
    world.add_argument("--seeds", type=int, default=1, help="so many, from --seed on")
    world.add_argument("--nodes", type=int, default=3)
    world.add_argument("--machines", type=int, default=40)
    world.add_argument("--plan", metavar="FILE", help="troubles from a TOML file instead of drawn ones")
    world.add_argument("--story", default="any", help="a family of plans")
    world.add_argument("--break", dest="broken", choices=GUARDS, default="", help="switch one guard off")
    world.add_argument("--jobs", type=int, default=0, help="runs at a time (default: all processors)")
    world.add_argument("--json", action="store_true", help="the figures as one JSON object")


def run(arguments: argparse.Namespace) -> int:
    experiments = {"queues": _queues, "windows": _windows, "rehearse": _rehearse}
    return experiments[arguments.experiment](arguments)


def _rehearse(arguments: argparse.Namespace) -> int:
    from oatport.lab.world import rehearse as world
    from oatport.lab.world.plan import InvalidPlanError

    try:
        if arguments.story not in world.STORIES:
            raise InvalidPlanError(f"story: must be one of {', '.join(world.STORIES)}, not {arguments.story!r}")
        for name, least, most in (("seeds", 1, 100_000), ("nodes", 1, 7), ("machines", 1, 5000), ("jobs", 0, 256)):
            if not least <= getattr(arguments, name) <= most:
                raise InvalidPlanError(f"{name}: must be {least} to {most}, not {getattr(arguments, name)}")
        plan = world.read_plan(arguments.plan)
    except InvalidPlanError as error:
        print(f"oatport: lab rehearse: {error}", file=sys.stderr)
        return 2
    world.same_hashes()
    if arguments.story == "upgrade" or (plan is not None and plan.old_nodes):
        from oatport.lab.world import builds

        try:
            builds.production()
        except builds.HistoryUnavailableError as error:
            print(f"oatport: lab rehearse: {error}", file=sys.stderr)
            return 2
    asked = world.Asked(
        arguments.seed, arguments.seeds, arguments.nodes, arguments.machines, plan, arguments.story, arguments.broken
    )
    figures, bad = world.rehearse(asked, arguments.jobs)
    for result in bad[:3]:
        if result.errors:
            print(f"seed {result.seed}: {result.errors[0]}", file=sys.stderr)
    if any(result.violations for result in bad):
        print(world.account(asked, next(result for result in bad if result.violations)), file=sys.stderr)
    print(json.dumps(figures) if arguments.json else "\n".join(f"{name:18} {value}" for name, value in figures.items()))
    return 1 if bad else 0


def _queues(arguments: argparse.Namespace) -> int:
    try:
        from oatport.lab.queues import run as run_queues
        from oatport.lab.queues import sound
    except ModuleNotFoundError as error:
        print(f"oatport: {error.name} is missing: pip install 'oatport[lab,queues]'", file=sys.stderr)
        return 2
    try:
        result = run_queues(arguments.seed, arguments.moves, arguments.kills, arguments.gateways, arguments.broken)
    except (ValueError, ModuleNotFoundError) as error:
        print(f"oatport: lab queues: {error}", file=sys.stderr)
        return 2
    print(json.dumps(result) if arguments.json else "\n".join(f"{name:20} {value}" for name, value in result.items()))
    return 0 if sound(result) else 1


def _windows(arguments: argparse.Namespace) -> int:
    try:
        from oatport.lab.windows import run as run_windows
    except ModuleNotFoundError as error:
        print(f"oatport: {error.name} is missing: pip install 'oatport[lab]'", file=sys.stderr)
        return 2
    try:
        result = run_windows(arguments.seed, arguments.jobs, arguments.fault, arguments.html)
    except (ValueError, OSError) as error:
        print(f"oatport: lab windows: {error}", file=sys.stderr)
        return 2
    if arguments.json:
        print(json.dumps(result))
        return 0
    print(
        f"{result['jobs']} jobs on {result['capacity_cpus']:.0f} CPUs, seed {result['seed']}, fault {result['fault']}"
    )
    for name in ("deadlines_met", "cost"):
        print(f"  {name:14}" + "  ".join(f"{way} {value:,}" for way, value in result[name].items()))
    print(
        f"  released late {result['released_late']}, plans made anew {result['replans']}, "
        f"planning {result['plan_ms_p99']} ms (99th percentile)"
    )
    return 0
