"""Deprecated spellings of the commands, options and values of `oatport lab`.

Each deprecated spelling is still accepted, and its use writes one line to stderr that names the current spelling.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Mapping
from typing import Any

SAFETY_CHECKS: Mapping[str, str] = {
    "forget": "start-in-flight",
    "unproven": "failure-confirmation",
    "boot": "process-identity",
    "early": "dependency-release",
    "orphan": "transitive-cancellation",
    "gate": "feature-gate",
    "size": "record-size",
    "copies": "heartbeat-order",
    "order": "heartbeat-order",
    "told": "cancellation-log",
    "conditions": "transaction-conditions",
    "ends": "completion-record",
    "returned": "unwritten-completions",
    "handed-on": "completion-handover",
    "whole": "gang-completion",
    "asked": "read-freshness",
    "one-key": "commit-verification",
}
SCENARIOS: Mapping[str, str] = {
    "any": "random",
    "upgrade": "rolling-upgrade",
    "evening": "unreachable-machines",
    "gap": "state-outage",
    "meetings": "fault-interactions",
    "limits": "quota",
}


def warn(old: str, new: str) -> None:
    """Writes one line to stderr that names the deprecated and the current spelling."""
    print(f"oatport: {old} is deprecated, use {new}", file=sys.stderr)


def warn_of_options(arguments: argparse.Namespace) -> None:
    """Writes one line to stderr for each option that was given under its deprecated spelling."""
    for old, new in getattr(arguments, "deprecated_options", ()):
        warn(old, new)


def current_name(option: str, name: str, renamed: Mapping[str, str]) -> str:
    """Returns the current spelling of an option's value; a deprecated one also writes a line to stderr."""
    if name not in renamed:
        return name
    warn(f"{option} {name}", f"{option} {renamed[name]}")
    return renamed[name]


class DeprecatedOption(argparse.Action):
    """Accepts the deprecated spelling of an option, hidden from the help texts. `new` is the option that replaces it.

    The action only records that the deprecated spelling was used. `warn_of_options` writes the warning later, because
    the process may restart itself after the options are parsed.
    """

    def __init__(self, option_strings: list[str], dest: str, new: str, **options: Any) -> None:
        super().__init__(option_strings, dest, default=argparse.SUPPRESS, help=argparse.SUPPRESS, **options)
        self._new = new

    def __call__(
        self, parser: argparse.ArgumentParser, namespace: argparse.Namespace, values: Any, option: str | None = None
    ) -> None:
        """Stores the value under the current option, and records the use of the deprecated one."""
        used = [*getattr(namespace, "deprecated_options", []), (option, self._new)]
        namespace.deprecated_options = used
        setattr(namespace, self.dest, values)
