"""The command line: run a node or a gateway, check settings, manage jobs, and run the lab."""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import logging
import os
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from oatport import __version__, wire
from oatport.lab.cli import add as add_lab
from oatport.lab.cli import run as run_lab
from oatport.settings import SettingsError, load_settings, load_tuning
from oatport.times import SECOND

if TYPE_CHECKING:
    from oatport.control.placement.retry_policy import RetryPolicies
    from oatport.windows.settings import WindowSettings

SOCKETS = 64  # socket limit of a command that calls a node
REQUEST_TIMEOUT = 5 * SECOND
EXIT_REFUSED, EXIT_FAILED, EXIT_INTERRUPTED = 1, 2, 130

LOG_LEVELS = {"error": logging.ERROR, "warning": logging.WARNING, "info": logging.INFO, "debug": logging.DEBUG}


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="oatport", description="A cluster scheduler for rented machines.")
    parser.add_argument("--version", action="version", version=f"oatport {__version__}")
    parser.add_argument(
        "--config", metavar="FILE", help="run a controller node with this platform settings file (TOML)"
    )
    parser.add_argument(
        "--tuning",
        metavar="FILE",
        default=os.environ.get("OATPORT_TUNING"),
        help="operators' settings file (INI); default: $OATPORT_TUNING",
    )
    commands = parser.add_subparsers(dest="command")
    serve = commands.add_parser("serve", help="run a controller node")
    serve.add_argument("file", help="platform settings file (TOML)")
    check = commands.add_parser("check", help="check settings files and exit")
    check.add_argument("file", help="platform settings file (TOML)")
    explain = commands.add_parser("explain", help="explain why a job waits, and until when")
    explain.add_argument("--node", required=True, metavar="HOST:PORT", help="a controller node's internal address")
    explain.add_argument("ref", help="the job's id")
    queues = commands.add_parser("queues", help="run a gateway that submits jobs from AMQP work queues (extra: queues)")
    queues.add_argument("--config", dest="gateway", metavar="FILE", required=True, help="the gateway's settings (INI)")
    queues.add_argument("--check", action="store_true", help="check the settings and exit")
    add_lab(commands)
    for name, text in (("submit", "submit a job"), ("show", "show a job"), ("cancel", "cancel a job")):
        command = commands.add_parser(name, help=text)
        command.add_argument("--node", required=True, metavar="HOST:PORT", help="a controller node")
        if name == "submit":
            command.add_argument("file", help="the job as JSON, with the fields of POST /submissions; - for stdin")
        else:
            command.add_argument("ref", help="the job's id")
    return parser


def set_up_logging() -> None:
    """Configures logging to the standard error at the level in $LOG_LEVEL. Raises SettingsError."""
    name = os.environ.get("LOG_LEVEL", "info").lower()
    level = LOG_LEVELS.get(name)
    if level is None:
        raise SettingsError(f"LOG_LEVEL: must be one of {', '.join(LOG_LEVELS)}, got {name!r}")
    logging.basicConfig(
        level=level, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s", force=True
    )
    logging.getLogger("asyncio").setLevel(max(level, logging.WARNING))
    logging.getLogger("aiohttp").setLevel(max(level, logging.WARNING))


def _load_windows(tuning: str | None) -> WindowSettings | None:
    if tuning is None:
        return None
    from oatport.windows.settings import load_window_settings

    return load_window_settings(tuning)


def _load_retry_policies(tuning: str | None) -> RetryPolicies:
    from oatport.control.placement.retry_policy import load_retry_policies

    return load_retry_policies(tuning)


def _serve(arguments: argparse.Namespace) -> int:
    settings = load_settings(arguments.file if arguments.command else arguments.config)
    tuning = load_tuning(arguments.tuning)
    windows = _load_windows(arguments.tuning)
    set_up_logging()
    from oatport.service.node import Node

    retry_policies = _load_retry_policies(arguments.tuning)

    # Imported modules live as long as the process, so they are excluded from garbage collection.
    gc.collect()
    gc.freeze()
    asyncio.run(Node(settings, tuning, windows, retry_policies).run())
    return 0


def _check(arguments: argparse.Namespace) -> int:
    load_settings(arguments.file)
    load_tuning(arguments.tuning)
    _load_windows(arguments.tuning)
    _load_retry_policies(arguments.tuning)
    print(f"{arguments.file}: ok")
    return 0


def _submit(arguments: argparse.Namespace) -> int:
    with sys.stdin if arguments.file == "-" else open(arguments.file, encoding="utf-8") as source:
        job = json.load(source)
    return asyncio.run(_call(arguments.node, "POST", wire.SUBMISSIONS_PATH, job))


def _show(arguments: argparse.Namespace) -> int:
    return asyncio.run(_call(arguments.node, "GET", f"{wire.SUBMISSIONS_PATH}/{arguments.ref}"))


def _cancel(arguments: argparse.Namespace) -> int:
    return asyncio.run(_call(arguments.node, "POST", f"{wire.SUBMISSIONS_PATH}/{arguments.ref}/cancel"))


async def _call(node: str, method: str, path: str, body: Any = None) -> int:
    """Calls a node, prints its response as JSON and returns the exit status."""
    from oatport.clients.http import HttpClient, NoResponseError, make_session

    session = make_session(SOCKETS)
    try:
        status, value = await HttpClient(session, node).request(method, path, body, timeout_us=REQUEST_TIMEOUT)
    except NoResponseError as error:
        return _fail(f"{node}: no answer: {error}")
    finally:
        await session.close()
    print(json.dumps(value))
    if status >= 400:
        return _fail(f"{node} answered {status}", EXIT_REFUSED)
    return 0


def _explain(arguments: argparse.Namespace) -> int:
    return asyncio.run(_explain_job(arguments.node, arguments.ref))


async def _explain_job(node: str, job_id: str) -> int:
    from oatport.clients.http import HttpConnector, NoResponseError, make_session
    from oatport.clients.peer import PeerClient
    from oatport.peer_messages import ExplainJob, No, decode_explanation

    session = make_session(SOCKETS)
    try:
        client = PeerClient(HttpConnector(session), node, node)
        reply = await client.ask(ExplainJob(job_id), decode_explanation, timeout_us=REQUEST_TIMEOUT)
    except (NoResponseError, ValueError) as error:
        return _fail(f"{node}: no answer: {error}")
    finally:
        await session.close()
    if isinstance(reply, No):
        return _fail(f"{node}: {reply.reason}", EXIT_REFUSED)
    print(json.dumps(reply.explanation, indent=2))
    return 0


def _queues(arguments: argparse.Namespace) -> int:
    """Runs a gateway, whose libraries are installed by the extra `queues`."""
    try:
        from oatport.queues.link import run_forever
        from oatport.queues.settings import load_gateway_settings
    except ModuleNotFoundError as error:
        return _fail(f"{error.name} is missing: pip install 'oatport[queues]'")
    settings = load_gateway_settings(arguments.gateway)
    if arguments.check:
        print(f"{arguments.gateway}: ok")
        return 0
    set_up_logging()
    for name in ("aio_pika", "aiormq"):
        logging.getLogger(name).setLevel(logging.ERROR)
    run_forever(settings)
    return 0


def _fail(text: str, status: int = EXIT_FAILED) -> int:
    print(f"oatport: {text}", file=sys.stderr)
    return status


COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "serve": _serve,
    "check": _check,
    "submit": _submit,
    "show": _show,
    "cancel": _cancel,
    "explain": _explain,
    "queues": _queues,
    "lab": run_lab,
}


def main(argv: list[str] | None = None) -> int:
    """Runs a command and returns its exit status: 0 done, 1 refused by a node, 2 failed, 130 interrupted."""
    arguments = _parser().parse_args(argv)
    command = arguments.command or ("serve" if arguments.config else None)
    if command is None:
        _parser().print_help(sys.stderr)
        return EXIT_FAILED
    try:
        return COMMANDS[command](arguments)
    except SettingsError as error:
        return _fail(str(error))
    except (OSError, json.JSONDecodeError) as error:
        return _fail(f"{getattr(arguments, 'file', '')}: {error}")
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
