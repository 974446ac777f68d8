"""Reads and validates the platform's settings file (TOML) and the operators' tuning file (INI)."""

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
    """A settings file is invalid; the text is one line that names the field."""


class Peer(msgspec.Struct, frozen=True):
    """Holds the name and zone of another controller node; `endpoint` is its internal address as host:port."""

    node_name: str
    endpoint: str
    zone: str = ""


class Services(msgspec.Struct, frozen=True):
    """Holds the addresses of the services that a node calls, as host:port."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """Holds a team's guaranteed cpus and gpus, and the maximum that it may use at a time; 0: no maximum."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True):
    """Holds a service objective for the start or the finish of a class of jobs; it repeats one that the users set."""

    kind: str
    job_class: str = msgspec.field(name="class", default="")
    within_s: float = 0.0
    share: float = 0.0
    times: float = 1.0


class Workers(msgspec.Struct, frozen=True):
    """Holds the timing of the workers: the heartbeat interval, the lease of their tasks, and the wait times of gangs.

    `cancel_s`: the time within which a cancelled job's tasks have to be stopped.
    """

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class NextLimits(msgspec.Struct, frozen=True):
    """Holds the state service's limits from an unknown future time on; a missing field keeps its present limit."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct, frozen=True):
    """Holds the limits of the state service. Sizes are those of values encoded as JSON.

    The `min_` properties are the lower of the present and the next limit, so they hold now and later.
    """

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextLimits = NextLimits()

    @property
    def min_rps(self) -> float:
        """Returns the allowed requests per second."""
        return min(self.rps, self.next.rps or self.rps)

    @property
    def min_write_rps(self) -> float:
        """Returns the allowed write operations per second."""
        return min(self.write_rps, self.next.write_rps or self.write_rps)

    @property
    def min_value_bytes(self) -> int:
        """Returns the allowed size of a value as JSON."""
        return int(min(self.value_kb, self.next.value_kb or self.value_kb) * 1024)

    @property
    def min_txn_ops(self) -> int:
        """Returns the allowed number of operations in one transaction."""
        return min(self.txn_ops, self.next.txn_ops or self.txn_ops)


class CloudLimits(msgspec.Struct, frozen=True):
    """Holds the limits of the cloud; `list_lag_s` is the maximum age of the machine list that it returns."""

    rps: float
    list_lag_s: float


class Resources(msgspec.Struct, frozen=True):
    """Holds the resources that one node may use."""

    cpu_share: float = 1.0
    mem_mb: float = 512.0
    sockets: int = 1024


class ClusterSettings(msgspec.Struct, frozen=True):
    """Holds the settings that are the same for all nodes."""

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
    """Holds the platform's settings file for one node."""

    node_name: str
    bind: str
    internal_addr: str
    services: Services
    cluster: ClusterSettings
    zone: str = ""
    peers: list[Peer] = []


MAX_PORT = 65535
SECTIONS_VALIDATED_ELSEWHERE = ("windows", "repeat")  # of the tuning file, by the packages that use them


@dataclass(frozen=True, slots=True)
class Tuning:
    """Holds operators' settings (INI), all optional. Times are in seconds; docs/operations.md documents each one."""

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

    def duration_us(self, name: str) -> int:
        """Returns a setting that is in seconds as microseconds."""
        return micros(getattr(self, name))


def _check_address(text: str, where: str) -> None:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"{where}: expected host:port, got {text!r}")


def _check_positive(value: float, where: str) -> None:
    if not math.isfinite(value) or value <= 0:
        raise SettingsError(f"{where}: must be above 0, got {value}")


def _check_not_negative(value: float, where: str) -> None:
    if not math.isfinite(value) or value < 0:
        raise SettingsError(f"{where}: must be at least 0, got {value}")


def validate(settings: Settings) -> Settings:
    """Returns the settings if all values are valid, otherwise raises a SettingsError that names the field."""
    if not settings.node_name:
        raise SettingsError("node_name: must not be empty")
    _check_address(settings.bind, "bind")
    _check_address(settings.internal_addr, "internal_addr")
    _check_address(settings.services.cloud, "services.cloud")
    _check_address(settings.services.state, "services.state")
    _check_peers(settings)
    _check_limits(settings.cluster)
    if settings.cluster.workers.cancel_s <= settings.cluster.workers.lease_s:
        raise SettingsError(
            "cluster.workers.cancel_s: must be above lease_s, or cancellations can't be enforced in time"
        )
    _check_teams(settings.cluster.teams)
    return settings


def _check_peers(settings: Settings) -> None:
    names = {settings.node_name}
    for i, peer in enumerate(settings.peers):
        _check_address(peer.endpoint, f"peers[{i}].endpoint")
        if peer.node_name in names:
            raise SettingsError(f"peers[{i}].node_name: {peer.node_name!r} occurs twice")
        names.add(peer.node_name)


def _check_limits(cluster: ClusterSettings) -> None:
    for section, limits in (
        ("workers", cluster.workers),
        ("state", cluster.state),
        ("cloud", cluster.cloud),
        ("resources", cluster.resources),
    ):
        for name in limits.__struct_fields__:
            if name == "list_lag_s":
                _check_not_negative(getattr(limits, name), f"cluster.{section}.{name}")
            elif name != "next":
                _check_positive(getattr(limits, name), f"cluster.{section}.{name}")
    for name in NextLimits.__struct_fields__:
        limit = getattr(cluster.state.next, name)
        if limit is not None:
            _check_positive(limit, f"cluster.state.next.{name}")


def _check_teams(teams: list[Team]) -> None:
    names: set[str] = set()
    for i, team in enumerate(teams):
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            _check_not_negative(getattr(team, name), f"cluster.teams[{i}].{name}")
        if team.name in names:
            raise SettingsError(f"cluster.teams[{i}].name: {team.name!r} occurs twice")
        names.add(team.name)


def load_settings(path: str | Path) -> Settings:
    """Reads and validates the platform's settings file. Raises SettingsError."""
    try:
        raw: Any = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    try:
        return validate(msgspec.convert(raw, Settings, strict=False))
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error


def read_ini(path: str | Path, *, keep_case: bool = False) -> configparser.ConfigParser:
    """Reads an operators' INI file; `keep_case` keeps upper case in the names of settings. Raises SettingsError."""
    parser = configparser.ConfigParser(interpolation=None)
    if keep_case:
        parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (configparser.Error, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not INI: {str(error).splitlines()[0]}") from error
    return parser


def parse_ini_number(text: str, where: str, low: float, high: float) -> float:
    """Returns the number in a setting's text. Raises SettingsError; `where` names the file, section and setting."""
    try:
        value = float(text)
    except ValueError as error:
        raise SettingsError(f"{where}: not a number: {text!r}") from error
    if not low <= value <= high:  # also true for NaN
        raise SettingsError(f"{where}: must be {low:g} to {high:g}, got {text}")
    return value


def unknown_setting_error(name: str, existing: Iterable[str], where: str) -> SettingsError:
    """Returns the error for a setting that doesn't exist, with the most similar existing setting as a suggestion."""
    matches = difflib.get_close_matches(name, list(existing), 1)
    return SettingsError(f"{where} {name}: no such setting" + (f", did you mean {matches[0]}?" if matches else ""))


def load_tuning(path: str | Path | None) -> Tuning:
    """Reads the operators' tuning file; without a file the documented defaults apply. Raises SettingsError."""
    if path is None:
        return Tuning()
    parser = read_ini(path)
    existing = {(setting.metadata["section"], setting.name): setting for setting in fields(Tuning)}
    values: dict[str, float] = {}
    for section in parser.sections():
        if section.split(" ")[0] in SECTIONS_VALIDATED_ELSEWHERE:
            continue
        for name, text in parser.items(section):
            setting = existing.get((section, name))
            if setting is None:
                raise unknown_setting_error(
                    name, (key for at, key in existing if at == section), f"{path}: [{section}]"
                )
            low, high = setting.metadata["min"], setting.metadata["max"]
            values[name] = parse_ini_number(text, f"{path}: [{section}] {name}", low, high)
    return Tuning(**values)
