"""The platform's settings file (TOML) and the operators' own (INI), validated in one place."""

from __future__ import annotations

import configparser
import difflib
import math
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import msgspec

from oatport.errors import OatportError
from oatport.times import micros


class SettingsError(OatportError):
    """A settings file can't be used; the text is one line that names the field."""


class Peer(msgspec.Struct, frozen=True):
    node_name: str
    endpoint: str
    zone: str = ""


class Services(msgspec.Struct, frozen=True):
    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True):
    """What is expected of a class of jobs; repeats the users' aims at start and finish."""

    kind: str
    job_class: str = msgspec.field(name="class", default="")
    within_s: float = 0.0
    share: float = 0.0
    times: float = 1.0


class Workers(msgspec.Struct, frozen=True):
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class NextLimits(msgspec.Struct, frozen=True):
    """What the state service will allow from an unknown moment on; a field that is missing stays as it is."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct, frozen=True):
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextLimits = NextLimits()

    @property
    def least_rps(self) -> float:
        return min(self.rps, self.next.rps or self.rps)

    @property
    def least_write_rps(self) -> float:
        return min(self.write_rps, self.next.write_rps or self.write_rps)

    @property
    def least_value_bytes(self) -> int:
        """What a value may take as JSON, now and later."""
        return int(min(self.value_kb, self.next.value_kb or self.value_kb) * 1024)

    @property
    def least_txn_ops(self) -> int:
        return min(self.txn_ops, self.next.txn_ops or self.txn_ops)


class CloudLimits(msgspec.Struct, frozen=True):
    rps: float
    list_lag_s: float


class Resources(msgspec.Struct, frozen=True):
    cpu_share: float = 1.0
    mem_mb: float = 512.0
    sockets: int = 1024


class ClusterSettings(msgspec.Struct, frozen=True):
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    size: int = 1
    zones: list[str] = []
    clock_off_ms: float = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    resources: Resources = Resources()


class Settings(msgspec.Struct, frozen=True):
    node_name: str
    bind: str
    internal_addr: str
    services: Services
    cluster: ClusterSettings
    zone: str = ""
    peers: list[Peer] = []


ELSEWHERE = ("windows", "repeat")  # sections of the same file that are checked by the package they are for


@dataclass(frozen=True, slots=True)
class Tuning:
    """Operators' own settings (INI), all optional. Times in seconds; docs/operations.md explains them."""

    # [leadership]
    leader_lease_s: float = field(default=3.0, metadata={"section": "leadership", "min": 0.5, "max": 60.0})
    # [routing]
    spot_threshold_s: float = field(default=120.0, metadata={"section": "routing", "min": 0.0, "max": 1e6})
    threshold_percentile: float = field(default=0.99, metadata={"section": "routing", "min": 0.0, "max": 1.0})
    slack_factor: float = field(default=2.0, metadata={"section": "routing", "min": 0.0, "max": 100.0})
    tail_factor: float = field(default=1.0, metadata={"section": "routing", "min": 1.0, "max": 10.0})
    guarantee_patience_s: float = field(default=0.5, metadata={"section": "routing", "min": 0.0, "max": 86400.0})
    begin_within_s: float = field(default=240.0, metadata={"section": "routing", "min": 1.0, "max": 1e6})
    # [fleet]
    idle_s: float = field(default=14.0, metadata={"section": "fleet", "min": 1.0, "max": 86400.0})
    gpu_idle_factor: float = field(default=5.0, metadata={"section": "fleet", "min": 1.0, "max": 100.0})
    boot_patience: float = field(default=4.0, metadata={"section": "fleet", "min": 1.5, "max": 100.0})
    warm_share: float = field(default=0.1, metadata={"section": "fleet", "min": 0.0, "max": 1.0})
    mate_room_tasks: float = field(default=3.0, metadata={"section": "fleet", "min": 1.0, "max": 1e6})
    move_share: float = field(default=0.0005, metadata={"section": "fleet", "min": 0.0, "max": 1.0})
    silent_s: float = field(default=5.0, metadata={"section": "fleet", "min": 1.0, "max": 3600.0})

    def us(self, name: str) -> int:
        return micros(getattr(self, name))


def _address(text: str, where: str) -> None:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{where}: expected host:port, got {text!r}")


def _positive(value: float, where: str, *, zero: bool = False) -> None:
    if not math.isfinite(value) or value < 0 or (value == 0 and not zero):
        raise SettingsError(f"{where}: must be {'at least' if zero else 'above'} 0, got {value}")


def check(settings: Settings) -> Settings:
    """Refuse values that would make the service misbehave later."""
    if not settings.node_name:
        raise SettingsError("node_name: must not be empty")
    _address(settings.bind, "bind")
    _address(settings.internal_addr, "internal_addr")
    _address(settings.services.cloud, "services.cloud")
    _address(settings.services.state, "services.state")
    names = {settings.node_name}
    for i, peer in enumerate(settings.peers):
        _address(peer.endpoint, f"peers[{i}].endpoint")
        if peer.node_name in names:
            raise SettingsError(f"peers[{i}].node_name: {peer.node_name!r} occurs twice")
        names.add(peer.node_name)
    cluster = settings.cluster
    for section, value in (
        ("workers", cluster.workers),
        ("state", cluster.state),
        ("cloud", cluster.cloud),
        ("resources", cluster.resources),
    ):
        for name in value.__struct_fields__:
            if name != "next":
                _positive(getattr(value, name), f"cluster.{section}.{name}", zero=name == "list_lag_s")
    for name in NextLimits.__struct_fields__:
        later = getattr(cluster.state.next, name)
        if later is not None:
            _positive(later, f"cluster.state.next.{name}")
    if cluster.workers.cancel_s <= cluster.workers.lease_s:
        raise SettingsError("cluster.workers.cancel_s: must be above lease_s, or no cancellation is kept")
    teams: set[str] = set()
    for i, team in enumerate(cluster.teams):
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            _positive(getattr(team, name), f"cluster.teams[{i}].{name}", zero=True)
        if team.name in teams:
            raise SettingsError(f"cluster.teams[{i}].name: {team.name!r} occurs twice")
        teams.add(team.name)
    return settings


def load(path: str | Path) -> Settings:
    """Read the platform's file."""
    try:
        raw: Any = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None
    try:
        return check(msgspec.convert(raw, Settings, strict=False))
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from None
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from None


def read_ini(path: str | Path, *, keep_case: bool = False) -> configparser.ConfigParser:
    """An INI file of the operators' own. Raises SettingsError."""
    parser = configparser.ConfigParser(interpolation=None)
    if keep_case:
        parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (configparser.Error, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not INI: {str(error).splitlines()[0]}") from None
    return parser


def ini_number(text: str, where: str, low: float, high: float) -> float:
    """Raises SettingsError; `where` names the file, section and setting."""
    try:
        value = float(text)
    except ValueError:
        raise SettingsError(f"{where}: not a number: {text!r}") from None
    if not low <= value <= high:  # NaN neither
        raise SettingsError(f"{where}: must be {low:g} to {high:g}, got {text}")
    return value


def ini_unknown(name: str, known: Iterable[str], where: str) -> SettingsError:
    """No such setting; with the one that was probably meant."""
    near = difflib.get_close_matches(name, list(known), 1)
    return SettingsError(f"{where} {name}: no such setting" + (f", did you mean {near[0]}?" if near else ""))


def load_tuning(path: str | Path | None) -> Tuning:
    """Read the operators' INI file; without one the documented defaults hold."""
    if path is None:
        return Tuning()
    parser = read_ini(path)
    known = {(f.metadata["section"], f.name): f for f in fields(Tuning)}
    values: dict[str, float] = {}
    for section in parser.sections():
        if section.split(" ")[0] in ELSEWHERE:
            continue
        for name, text in parser.items(section):
            spec = known.get((section, name))
            if spec is None:
                raise ini_unknown(name, (key for at, key in known if at == section), f"{path}: [{section}]")
            low, high = spec.metadata["min"], spec.metadata["max"]
            values[name] = ini_number(text, f"{path}: [{section}] {name}", low, high)
    return Tuning(**values)
