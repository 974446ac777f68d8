"""The command line of the experiments: `oatport lab windows`, `lab queues` and `lab simulate`."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any

from oatport.lab import QUEUE_SAFETY_CHECKS, SAFETY_CHECKS, SCENARIOS, WINDOW_FAULTS, deprecated_names
from oatport.lab.deprecated_names import DeprecatedOption, current_name


def add(commands: Any) -> None:
    """Adds the `lab` subcommands to the program's parser without importing the experiments' dependencies."""
    lab = commands.add_parser("lab", help="experiments in virtual time (extra: lab)")
    experiments = lab.add_subparsers(dest="experiment", required=True, metavar="{windows,queues,simulate}")
    _add_windows(experiments)
    _add_queues(experiments)
    _add_simulate(experiments, "simulate", help="simulate whole deployments in virtual time and check the invariants")
    _add_simulate(experiments, "rehearse")  # deprecated spelling of `simulate`, without a help text


def _add_windows(experiments: Any) -> None:
    windows = experiments.add_parser(
        "windows", help="compare a night of jobs run immediately, run in execution windows, and a cost lower bound"
    )
    windows.add_argument("--seed", type=int, default=1)
    windows.add_argument("--jobs", type=int, default=500)
    windows.add_argument("--fault", choices=WINDOW_FAULTS, default="none")
    windows.add_argument("--json", action="store_true", help="print the figures as one JSON object")
    windows.add_argument("--html", metavar="FILE", help="write an HTML report with plots")


def _add_queues(experiments: Any) -> None:
    queues = experiments.add_parser(
        "queues", help="send jobs over AMQP while processes are killed, and audit the answers"
    )
    queues.add_argument("--seed", type=int, default=1)
    queues.add_argument("--moves", type=int, default=1000)
    queues.add_argument("--kills", type=int, default=20)
    queues.add_argument("--gateways", type=int, default=2)
    queues.add_argument("--disable-check", choices=QUEUE_SAFETY_CHECKS, default="", help="disable one safety check")
    queues.add_argument(
        "--break", dest="disable_check", choices=QUEUE_SAFETY_CHECKS, action=DeprecatedOption, new="--disable-check"
    )
    queues.add_argument("--json", action="store_true", help="print the figures as one JSON object")


def _add_simulate(experiments: Any, name: str, **options: Any) -> None:
    simulate = experiments.add_parser(name, **options)
    simulate.add_argument("--seed", type=int, default=1)
    simulate.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds, beginning with --seed")
    simulate.add_argument("--nodes", type=int, default=3)
    simulate.add_argument("--machines", type=int, default=40)
    simulate.add_argument(
        "--plan", metavar="FILE", help="read the fault plan from a TOML file instead of generating it"
    )
    simulate.add_argument("--scenario", default="random", help=f"generator of the fault plans: {', '.join(SCENARIOS)}")
    simulate.add_argument("--story", dest="scenario", action=DeprecatedOption, new="--scenario")
    checks = (*SAFETY_CHECKS, *deprecated_names.SAFETY_CHECKS)
    simulate.add_argument(
        "--disable-check",
        choices=checks,
        default="",
        metavar="CHECK",
        help=f"disable one safety check: {', '.join(SAFETY_CHECKS)}",
    )
    simulate.add_argument(
        "--break", dest="disable_check", choices=checks, action=DeprecatedOption, new="--disable-check"
    )
    simulate.add_argument("--jobs", type=int, default=0, help="number of parallel runs (default: one per processor)")
    simulate.add_argument("--json", action="store_true", help="print the figures as one JSON object")


def run(arguments: argparse.Namespace) -> int:
    """Runs the experiment that the arguments name, and returns the exit status."""
    experiments = {"queues": _queues, "windows": _windows, "simulate": _simulate, "rehearse": _simulate}
    return experiments[arguments.experiment](arguments)


def _simulate(arguments: argparse.Namespace) -> int:
    from oatport.simulation import runner
    from oatport.simulation.fault_plan import InvalidPlanError
    from oatport.simulation.production_build import HistoryUnavailableError, production

    runner.restart_with_fixed_hash_seed()
    if arguments.experiment == "rehearse":
        deprecated_names.warn("lab rehearse", "lab simulate")
    deprecated_names.warn_of_options(arguments)
    try:
        request = _run_request(arguments)
        if request.needs_production_build:
            production()
    except (InvalidPlanError, HistoryUnavailableError) as error:
        print(f"oatport: lab {arguments.experiment}: {error}", file=sys.stderr)
        return 2
    figures, failed_results = runner.simulate(request, arguments.jobs)
    for result in failed_results[:3]:
        if result.errors:
            print(f"seed {result.seed}: {result.errors[0]}", file=sys.stderr)
    if any(result.violations for result in failed_results):
        violating_result = next(result for result in failed_results if result.violations)
        print(runner.describe_failure(request, violating_result), file=sys.stderr)
    print(json.dumps(figures) if arguments.json else "\n".join(f"{name:18} {value}" for name, value in figures.items()))
    return 1 if failed_results else 0


def _run_request(arguments: argparse.Namespace) -> Any:
    """Returns the options as a `RunRequest`. Raises InvalidPlanError, which names the invalid option or field."""
    from oatport.simulation import runner
    from oatport.simulation.fault_plan import InvalidPlanError

    scenario = current_name("--scenario", arguments.scenario, deprecated_names.SCENARIOS)
    disabled_check = current_name("--disable-check", arguments.disable_check, deprecated_names.SAFETY_CHECKS)
    if scenario not in runner.SCENARIOS:
        raise InvalidPlanError(f"scenario: must be one of {', '.join(runner.SCENARIOS)}, not {scenario!r}")
    for name, minimum, maximum in (("seeds", 1, 100_000), ("nodes", 1, 7), ("machines", 1, 5000), ("jobs", 0, 256)):
        if not minimum <= getattr(arguments, name) <= maximum:
            raise InvalidPlanError(f"{name}: must be {minimum} to {maximum}, not {getattr(arguments, name)}")
    return runner.RunRequest(
        arguments.seed,
        arguments.seeds,
        arguments.nodes,
        arguments.machines,
        runner.read_plan(arguments.plan),
        scenario,
        disabled_check,
    )


def _queues(arguments: argparse.Namespace) -> int:
    deprecated_names.warn_of_options(arguments)
    try:
        from oatport.lab.queues import has_passed
        from oatport.lab.queues import run as run_queues
    except ModuleNotFoundError as error:
        print(f"oatport: {error.name} is missing: pip install 'oatport[lab,queues]'", file=sys.stderr)
        return 2
    try:
        result = run_queues(
            arguments.seed, arguments.moves, arguments.kills, arguments.gateways, arguments.disable_check
        )
    except (ValueError, ModuleNotFoundError) as error:
        print(f"oatport: lab queues: {error}", file=sys.stderr)
        return 2
    print(json.dumps(result) if arguments.json else "\n".join(f"{name:20} {value}" for name, value in result.items()))
    return 0 if has_passed(result) else 1


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
        print(f"  {name:14}" + "  ".join(f"{column} {value:,}" for column, value in result[name].items()))
    print(
        f"  released late {result['released_late']}, replans {result['replans']}, "
        f"planning {result['plan_ms_p99']} ms (99th percentile)"
    )
    return 0
