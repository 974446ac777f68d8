"""The version in production, loaded beside this one, so that nodes of both versions run in one simulation.

The source tree of that version comes from the repository's history (`production` in deploy/service.toml) and is
unpacked under target/. Its modules are imported under their own names while this version's modules are removed from
`sys.modules`; then this version's are put back, and each version keeps its own classes. Only the interface between the
two versions is adapted: the clocks of a node's context, and the errors of the network.
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
from oatport.simulation.network import SimulatedNetwork
from oatport.simulation.virtual_time import Host

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = "oatport"


class HistoryUnavailableError(Exception):
    """Raised if the version in production is not available; the message is one line with the cause."""


@dataclass(frozen=True)
class Build:
    """Holds the modules of the version in production."""

    node: Any
    net: Any
    http: Any
    times: Any
    settings: Any

    def make_node(self, settings: Any, network: SimulatedNetwork, host: Host, boot: str) -> Any:
        """Returns a node of that version on a host of the simulation."""
        host.context.run(self.times.CLOCK.set, host)
        return host.context.run(
            self.node.Node, settings, self.settings.Tuning(), net=_ProductionNetwork(self, network, host), boot=boot
        )


@dataclass(frozen=True)
class LeaderView:
    """Holds the state of a leading node that the simulation observes, in either version."""

    token: int
    loaded: bool
    stopped: bool


def leader_of(node: Any) -> LeaderView | None:
    """Returns the leader state of a node; None: the node does not lead.

    The version in production names these attributes differently.
    """
    if isinstance(node, Node):
        leader = node.leader
        return None if leader is None else LeaderView(leader.token, leader.loaded, leader.stopped)
    leader = node.lead
    return None if leader is None else LeaderView(leader.token, leader.loaded, leader.over)


def production_commit(root: Path = ROOT) -> str:
    """Returns the commit that deploy/service.toml names as in production. Raises HistoryUnavailableError."""
    try:
        value = tomllib.loads((root / "deploy" / "service.toml").read_text(encoding="utf-8"))
        return str(value["production"])
    except (OSError, tomllib.TOMLDecodeError, KeyError) as error:
        raise HistoryUnavailableError(f"deploy/service.toml names no version in production: {error}") from None


def unpack_production_tree(root: Path = ROOT) -> Path:
    """Returns the source tree of the version in production, unpacked under target/ if it is not there yet.

    Raises HistoryUnavailableError.
    """
    commit = production_commit(root)
    tree = root / "target" / "production" / commit
    if (tree / PACKAGE).is_dir():
        return tree
    try:
        archive = ["git", "-C", str(root), "archive", "--format=tar", commit, PACKAGE]
        archive_bytes = subprocess.run(archive, capture_output=True, check=True).stdout
    except (OSError, subprocess.CalledProcessError):
        raise HistoryUnavailableError(
            f"the version in production, {commit}, is not in this repository's history"
        ) from None
    partial_tree = tree.with_name(f"{commit}.{os.getpid()}")
    partial_tree.mkdir(parents=True)
    with tarfile.open(fileobj=io.BytesIO(archive_bytes)) as archive_file:
        archive_file.extractall(partial_tree, filter="data")
    try:
        partial_tree.rename(tree)
    except OSError:  # another process has unpacked the tree concurrently
        if not (tree / PACKAGE).is_dir():
            raise
    return tree


def _resolve_annotations() -> None:
    """Resolves the annotations of all message types that are imported now.

    msgspec resolves them at a type's first use, by the module name in `sys.modules`: by then it would find this
    version's module of the same name, or none.
    """
    for name, module in list(sys.modules.items()):
        if name == PACKAGE or name.startswith(PACKAGE + "."):
            for value in vars(module).values():
                if isinstance(value, type) and issubclass(value, msgspec.Struct):
                    msgspec.json.Decoder(value)


@cache
def production(root: Path = ROOT) -> Build:
    """Imports the version in production and returns its modules. Raises HistoryUnavailableError."""
    tree = unpack_production_tree(root)
    current_modules = {
        name: module for name, module in sys.modules.items() if name == PACKAGE or name.startswith(PACKAGE + ".")
    }
    for name in current_modules:
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
        sys.modules.update(current_modules)
    assert Path(build.node.__file__).is_relative_to(tree)
    return build


class _ProductionClient:
    """Sends requests over this version's network and raises the error classes of the other version."""

    def __init__(self, build: Build, inner: Any) -> None:
        self._build, self._inner = build, inner

    async def request(self, *args: Any, **options: Any) -> Any:
        try:
            return await self._inner.request(*args, **options)
        except RequestNotSentError as error:
            raise self._build.http.NotSent(str(error)) from None
        except NoResponseError as error:
            raise self._build.http.NoAnswer(str(error)) from None


class _ProductionNetwork:
    """Adapts this version's network to the interface that a node of the other version expects."""

    def __init__(self, build: Build, net: SimulatedNetwork, host: Host) -> None:
        self._build = build
        self._inner = build.net.NodeNetwork(net, host)

    def client(self, address: str, reuse: ConnectionReuse = ConnectionReuse.KEEP_ALIVE) -> _ProductionClient:
        return _ProductionClient(self._build, self._inner.client(address))

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)
