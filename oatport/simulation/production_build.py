"""The version in production, beside this one in the same process: real nodes of both in one simulation.

Its tree comes from the repository's own history (`production` in deploy/service.toml) and is laid under target/. Its
modules are imported under their own names while this version's are out of the way, and then put aside: each keeps its
own classes. What has to fit is what passes between the two: the clocks of a node's context, and errors of the network.
"""

from __future__ import annotations

import importlib
import io
import os
import subprocess
import sys
import tarfile
import tomllib
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

import msgspec

from oatport.clients.http import ConnectionReuse, NoResponseError, RequestNotSentError
from oatport.service.node import Node
from oatport.simulation.network import Net
from oatport.simulation.virtual_time import Host

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = "oatport"


class HistoryUnavailableError(Exception):
    """The version in production can't be had here; one line that says why."""


@dataclass(frozen=True)
class Build:
    """Modules of another version."""

    node: Any
    net: Any
    http: Any
    times: Any
    settings: Any

    def make_node(self, settings: Any, network: Net, host: Host, boot: str) -> Any:
        """A node of that version on a host of this one."""
        host.context.run(self.times.CLOCK.set, host)
        return host.context.run(
            self.node.Node, settings, self.settings.Tuning(), net=_ProductionNetwork(self, network, host), boot=boot
        )


@dataclass(frozen=True)
class LeaderView:
    """What the simulation observes of a leading node, whichever version it runs."""

    token: int
    loaded: bool
    stopped: bool


def leader_of(node: Any) -> LeaderView | None:
    """The node's leader; the version in production has other names for it."""
    if isinstance(node, Node):
        leader = node.leader
        return None if leader is None else LeaderView(leader.token, leader.loaded, leader.stopped)
    leader = node.lead
    return None if leader is None else LeaderView(leader.token, leader.loaded, leader.over)


def production_commit(root: Path = ROOT) -> str:
    """The commit that deploy/service.toml names as in production. Raises HistoryUnavailableError."""
    try:
        value = tomllib.loads((root / "deploy" / "service.toml").read_text(encoding="utf-8"))
        return str(value["production"])
    except (OSError, tomllib.TOMLDecodeError, KeyError) as error:
        raise HistoryUnavailableError(f"deploy/service.toml names no version in production: {error}") from None


def unpack_production_tree(root: Path = ROOT) -> Path:
    """The tree of the version in production, under target/."""
    commit = production_commit(root)
    tree = root / "target" / "production" / commit
    if (tree / PACKAGE).is_dir():
        return tree
    try:
        archive = ["git", "-C", str(root), "archive", "--format=tar", commit, PACKAGE]
        packed = subprocess.run(archive, capture_output=True, check=True).stdout
    except (OSError, subprocess.CalledProcessError):
        raise HistoryUnavailableError(
            f"the version in production, {commit}, is not in this repository's history"
        ) from None
    part = tree.with_name(f"{commit}.{os.getpid()}")
    part.mkdir(parents=True)
    with tarfile.open(fileobj=io.BytesIO(packed)) as opened:
        opened.extractall(part, filter="data")
    try:
        part.rename(tree)
    except OSError:  # another process was faster
        if not (tree / PACKAGE).is_dir():
            raise
    return tree


def _resolve_annotations() -> None:
    """Resolve the annotations of all message types imported now.

    msgspec does so at a type's first use, by the name of its module in `sys.modules`: by then it finds this version's
    module of the same name, or none.
    """
    for name, module in list(sys.modules.items()):
        if name == PACKAGE or name.startswith(PACKAGE + "."):
            for value in vars(module).values():
                if isinstance(value, type) and issubclass(value, msgspec.Struct):
                    msgspec.json.Decoder(value)


@cache
def production(root: Path = ROOT) -> Build:
    """Import the version in production. Raises HistoryUnavailableError."""
    tree = unpack_production_tree(root)
    own = {name: module for name, module in sys.modules.items() if name == PACKAGE or name.startswith(PACKAGE + ".")}
    for name in own:
        del sys.modules[name]
    sys.path.insert(0, str(tree))
    try:
        build = Build(
            node=importlib.import_module(f"{PACKAGE}.service.node"),
            net=importlib.import_module(f"{PACKAGE}.lab.world.net"),
            http=importlib.import_module(f"{PACKAGE}.clients.http"),
            times=importlib.import_module(f"{PACKAGE}.times"),
            settings=importlib.import_module(f"{PACKAGE}.settings"),
        )
        _resolve_annotations()
    finally:
        sys.path.remove(str(tree))
        for name in [n for n in sys.modules if n == PACKAGE or n.startswith(PACKAGE + ".")]:
            del sys.modules[name]
        sys.modules.update(own)
    assert Path(build.node.__file__).is_relative_to(tree)
    return build


class _ProductionClient:
    """Sends requests over this version's network; errors are the other version's own."""

    def __init__(self, build: Build, inner: Any) -> None:
        self._build, self._inner = build, inner

    async def request(self, *args: Any, **more: Any) -> Any:
        try:
            return await self._inner.request(*args, **more)
        except RequestNotSentError as error:
            raise self._build.http.NotSent(str(error)) from None
        except NoResponseError as error:
            raise self._build.http.NoAnswer(str(error)) from None


class _ProductionNetwork:
    """The network as a node of the other version has it."""

    def __init__(self, build: Build, net: Net, host: Host) -> None:
        self._build = build
        self._inner = build.net.NodeNetwork(net, host)

    def client(self, address: str, reuse: ConnectionReuse = ConnectionReuse.KEEP_ALIVE) -> _ProductionClient:
        return _ProductionClient(self._build, self._inner.client(address))

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)
