"""`oatport lab ...`: the experiments' command line."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any

from oatport.lab import BREAKS, FAULTS


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


def run(arguments: argparse.Namespace) -> int:
    return _queues(arguments) if arguments.experiment == "queues" else _windows(arguments)


def _queues(arguments: argparse.Namespace) -> int:
    try:
        from oatport.lab.queues import run as run_queues
        from oatport.lab.queues import sound
    except ModuleNotFoundError as error:
        print(f"oatport: {error.name} is missing: pip install 'oatport[lab,queues]'", file=sys.stderr)
        return 2
    try:
        result = run_queues(
            arguments.seed, arguments.moves, arguments.kills, arguments.gateways, arguments.broken)
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
    print(f"{result['jobs']} jobs on {result['capacity_cpus']:.0f} CPUs, "
          f"seed {result['seed']}, fault {result['fault']}")
    for name in ("deadlines_met", "cost"):
        print(f"  {name:14}" + "  ".join(f"{way} {value:,}" for way, value in result[name].items()))
    print(f"  released late {result['released_late']}, plans made anew {result['replans']}, "
          f"planning {result['plan_ms_p99']} ms (99th percentile)")
    return 0
