"""Settings of deferred starts: sections of the tuning file (INI), disabled unless `[windows] on = yes`."""

from __future__ import annotations

import configparser
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from oatport.settings import SettingsError, parse_ini_number, read_ini, unknown_setting_error

MAIN_SECTION = "windows"
CLASS_SECTION_PREFIX = "windows class "
PRIORITY_SECTION_PREFIX = "windows priority "
PRIORITIES = ("production", "high", "normal", "idle")
MAX_STEPS = 20_000  # of the planning horizon


@dataclass(frozen=True, slots=True)
class Deferral:
    """Describes how jobs of a class or priority may be deferred. A field's `metadata` has its range."""

    price: float = field(default=1.0, metadata={"range": (0.0, 1000.0)})  # weight of the price
    carbon: float = field(default=0.0, metadata={"range": (0.0, 1000.0)})  # weight of the CO2 emissions
    lateness: float = field(
        default=0.0, metadata={"range": (0.0, 10.0)}
    )  # cost of waiting until the latest start, as a share of the immediate cost
    pause: bool = False  # stop running jobs that write checkpoints, if a much cheaper hour comes in time


@dataclass(frozen=True, slots=True)
class WindowSettings:
    """Holds the settings of deferred starts; all times are in seconds."""

    on: bool = False
    feed: str = ""  # http address of the price feed; if empty, all hours cost the same
    zone: str = ""  # the feed's zone
    poll_s: float = field(default=300.0, metadata={"range": (2.0, 86400.0)})
    timeout_s: float = field(default=5.0, metadata={"range": (0.1, 60.0)})
    fresh_s: float = field(default=7200.0, metadata={"range": (1.0, 1e6)})  # a price up to this age has full weight
    dead_s: float = field(default=28800.0, metadata={"range": (2.0, 1e7)})  # a price from this age on has no weight
    step_s: float = field(default=300.0, metadata={"range": (5.0, 3600.0)})  # length of a slot of the planner
    horizon_s: float = field(default=129600.0, metadata={"range": (60.0, 604800.0)})
    capacity_cpus: float = field(default=0.0, metadata={"range": (0.0, 1e7)})  # CPUs that deferred jobs can use
    reserve_s: float = field(default=180.0, metadata={"range": (0.0, 86400.0)})  # subtracted from each latest start
    ahead_s: float = field(default=120.0, metadata={"range": (0.0, 86400.0)})  # earlier releases count in queue waits
    classes: tuple[tuple[str, Deferral], ...] = ()
    priorities: tuple[tuple[str, Deferral], ...] = ()

    def deferral(self, job_class: str, priority: str) -> Deferral | None:
        """Returns how a job may be deferred, by its class or else by its priority; None if it may not."""
        return dict(self.classes).get(job_class) or dict(self.priorities).get(priority)


def is_window_section(section: str) -> bool:
    """Returns whether a section of the tuning file belongs to these settings."""
    return section == MAIN_SECTION or section.startswith((CLASS_SECTION_PREFIX, PRIORITY_SECTION_PREFIX))


def read_window_settings(parser: configparser.ConfigParser, path: str | Path) -> WindowSettings:
    """Returns the settings in the sections of a file. Raises SettingsError with one line that names the field."""
    values: dict[str, Any] = {}
    classes: list[tuple[str, Deferral]] = []
    priorities: list[tuple[str, Deferral]] = []
    for section in filter(is_window_section, parser.sections()):
        where = f"{path}: [{section}]"
        texts = dict(parser.items(section))
        if section == MAIN_SECTION:
            values = _parse_values(WindowSettings, texts, where)
        elif section.startswith(CLASS_SECTION_PREFIX):
            classes.append(_parse_deferral(section.removeprefix(CLASS_SECTION_PREFIX), texts, where))
        else:
            row = _parse_deferral(section.removeprefix(PRIORITY_SECTION_PREFIX), texts, where)
            if row[0] not in PRIORITIES:
                raise SettingsError(f"{where}: no such priority")
            priorities.append(row)
    settings = WindowSettings(**values, classes=tuple(classes), priorities=tuple(priorities))
    _validate(settings, f"{path}: [{MAIN_SECTION}]")
    return settings


def _parse_deferral(name: str, texts: dict[str, str], where: str) -> tuple[str, Deferral]:
    """Returns the class or priority that a section names, and its settings."""
    name = name.strip()
    if not name:
        raise SettingsError(f"{where}: names no class or priority")
    return name, Deferral(**_parse_values(Deferral, texts, where))


def _validate(settings: WindowSettings, where: str) -> None:
    if settings.feed:
        parts = urlsplit(settings.feed)
        if parts.scheme != "http" or not parts.hostname:
            raise SettingsError(f"{where} feed: expected an http address, got {settings.feed!r}")
        if not settings.zone:
            raise SettingsError(f"{where} zone: must be given with a feed")
    if settings.fresh_s >= settings.dead_s:
        raise SettingsError(f"{where} dead_s: must be above fresh_s")
    if settings.horizon_s < 2 * settings.step_s:
        raise SettingsError(f"{where} horizon_s: must be at least two steps")
    if settings.horizon_s / settings.step_s > MAX_STEPS:
        raise SettingsError(f"{where} step_s: too small for the horizon, at most {MAX_STEPS} steps")
    if settings.on and settings.capacity_cpus <= 0:
        raise SettingsError(f"{where} capacity_cpus: must be above 0, the number of CPUs available to deferred jobs")


def load_window_settings(path: str | Path | None) -> WindowSettings:
    """Returns the settings in the tuning file; disabled without a file or section. Raises SettingsError."""
    if path is None:
        return WindowSettings()
    return read_window_settings(read_ini(path), path)


def _parse_values(kind: type, texts: dict[str, str], where: str) -> dict[str, Any]:
    known_settings = {
        setting.name: setting for setting in fields(kind) if setting.name not in ("classes", "priorities")
    }
    values: dict[str, Any] = {}
    for name, text in texts.items():
        if name not in known_settings:
            raise unknown_setting_error(name, known_settings, where)
        default = known_settings[name].default
        if isinstance(default, bool):
            flag = configparser.ConfigParser.BOOLEAN_STATES.get(text.lower())
            if flag is None:
                raise SettingsError(f"{where} {name}: expected yes or no, got {text!r}")
            values[name] = flag
        elif isinstance(default, float):
            values[name] = parse_ini_number(text, f"{where} {name}", *known_settings[name].metadata["range"])
        else:
            values[name] = text
    return values
