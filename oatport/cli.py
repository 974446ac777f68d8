"""The command line: serve, check settings, and submit, show or cancel a job."""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import logging
import os
import sys
from typing import TYPE_CHECKING, Any

from oatport import __version__
from oatport.lab.cli import add as add_lab
from oatport.lab.cli import run as run_lab
from oatport.settings import SettingsError, load, load_tuning

if TYPE_CHECKING:
    from oatport.control.placement.retry_policy import RetryPolicies
    from oatport.windows.settings import WindowSettings

LEVELS = {"error": logging.ERROR, "warning": logging.WARNING, "info": logging.INFO, "debug": logging.DEBUG}


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="oatport", description="A cluster scheduler for rented machines.")
    parser.add_argument("--version", action="version", version=f"oatport {__version__}")
    parser.add_argument("--config", metavar="FILE", help="serve with this platform settings file (TOML)")
    parser.add_argument(
        "--tuning",
        metavar="FILE",
        default=os.environ.get("OATPORT_TUNING"),
        help="operators' own settings (INI); also $OATPORT_TUNING",
    )
    commands = parser.add_subparsers(dest="command")
    serve = commands.add_parser("serve", help="run a controller node")
    serve.add_argument("file", help="platform settings file (TOML)")
    check = commands.add_parser("check", help="check settings files and exit")
    check.add_argument("file", help="platform settings file (TOML)")
    explain = commands.add_parser("explain", help="why a job is held for a cheaper window, and until when")
    explain.add_argument("--node", required=True, metavar="HOST:PORT", help="a controller node's internal address")
    explain.add_argument("ref", help="the job's id")
    queues = commands.add_parser("queues", help="run a gateway from AMQP work queues (extra: queues)")
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
    name = os.environ.get("LOG_LEVEL", "info").lower()
    level = LEVELS.get(name)
    if level is None:
        raise SettingsError(f"LOG_LEVEL: must be one of {', '.join(LEVELS)}, got {name!r}")
    logging.basicConfig(
        level=level, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s", force=True
    )
    logging.getLogger("asyncio").setLevel(max(level, logging.WARNING))
    logging.getLogger("aiohttp").setLevel(max(level, logging.WARNING))


def load_windows(tuning: str | None) -> WindowSettings | None:
    if tuning is None:
        return None
    from oatport.windows.settings import load as load_section

    return load_section(tuning)


def load_repeats(tuning: str | None) -> RetryPolicies:
    from oatport.control.placement.retry_policy import load_retry_policies

    return load_retry_policies(tuning)


def serve(config: str, tuning: str | None) -> int:
    settings, own = load(config), load_tuning(tuning)
    windows = load_windows(tuning)
    set_up_logging()
    from oatport.service.node import Node

    repeats = load_repeats(tuning)

    # What was imported lives as long as the process: keep the collector off it.
    gc.collect()
    gc.freeze()
    asyncio.run(Node(settings, own, windows, repeats).run())
    return 0


async def _call(node: str, method: str, path: str, body: Any = None) -> int:
    from oatport.clients.http import HttpClient, NoResponseError, make_session
    from oatport.times import SECOND

    session = make_session(64)
    try:
        status, value = await HttpClient(session, node).request(method, path, body, timeout_us=5 * SECOND)
    except NoResponseError as error:
        print(f"oatport: {node}: no answer: {error}", file=sys.stderr)
        return 2
    finally:
        await session.close()
    print(json.dumps(value))
    if status >= 400:
        print(f"oatport: {node} answered {status}", file=sys.stderr)
        return 1
    return 0


async def _explain(node: str, ref: str) -> int:
    from oatport.clients.http import HttpConnector, NoResponseError, make_session
    from oatport.clients.peer import PeerClient
    from oatport.peer_messages import ExplainJob, No, decode_explanation
    from oatport.times import SECOND

    session = make_session(64)
    try:
        client = PeerClient(HttpConnector(session), node, node)
        answer = await client.ask(ExplainJob(ref), decode_explanation, timeout_us=5 * SECOND)
    except (NoResponseError, ValueError) as error:
        print(f"oatport: {node}: no answer: {error}", file=sys.stderr)
        return 2
    finally:
        await session.close()
    if isinstance(answer, No):
        print(f"oatport: {node}: {answer.reason}", file=sys.stderr)
        return 1
    print(json.dumps(answer.explanation, indent=2))
    return 0


def _run_gateway(path: str, only_check: bool) -> int:
    try:
        from oatport.queues.link import run_forever
        from oatport.queues.settings import load as load_gateway
    except ModuleNotFoundError as error:
        print(f"oatport: {error.name} is missing: pip install 'oatport[queues]'", file=sys.stderr)
        return 2
    settings = load_gateway(path)
    if only_check:
        print(f"{path}: ok")
        return 0
    set_up_logging()
    for name in ("aio_pika", "aiormq"):
        logging.getLogger(name).setLevel(logging.ERROR)
    run_forever(settings)
    return 0


def main(argv: list[str] | None = None) -> int:
    arguments = _parser().parse_args(argv)
    try:
        if arguments.command == "serve" or (arguments.command is None and arguments.config):
            return serve(arguments.file if arguments.command else arguments.config, arguments.tuning)
        if arguments.command == "check":
            load(arguments.file)
            load_tuning(arguments.tuning)
            load_windows(arguments.tuning)
            load_repeats(arguments.tuning)
            print(f"{arguments.file}: ok")
            return 0
        if arguments.command == "submit":
            with sys.stdin if arguments.file == "-" else open(arguments.file, encoding="utf-8") as source:
                job = json.load(source)
            return asyncio.run(_call(arguments.node, "POST", "/submissions", job))
        if arguments.command == "queues":
            return _run_gateway(arguments.gateway, arguments.check)
        if arguments.command == "lab":
            return run_lab(arguments)
        if arguments.command == "explain":
            return asyncio.run(_explain(arguments.node, arguments.ref))
        if arguments.command in ("show", "cancel"):
            path = f"/submissions/{arguments.ref}"
            if arguments.command == "cancel":
                return asyncio.run(_call(arguments.node, "POST", path + "/cancel"))
            return asyncio.run(_call(arguments.node, "GET", path))
    except SettingsError as error:
        print(f"oatport: {error}", file=sys.stderr)
        return 2
    except (OSError, json.JSONDecodeError) as error:
        print(f"oatport: {getattr(arguments, 'file', '')}: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130
    _parser().print_help(sys.stderr)
    return 2
