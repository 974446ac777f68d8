"""Former spellings of the laboratory's commands, options and values.

Each goes on working, and writes one line to stderr that names the new one.
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
    """Write one line to stderr that names the new spelling."""
    print(f"oatport: {old} is deprecated, use {new}", file=sys.stderr)


def warn_of_options(arguments: argparse.Namespace) -> None:
    """Write one line to stderr for each option that was given under its former spelling."""
    for old, new in getattr(arguments, "deprecated_options", ()):
        warn(old, new)


def current_name(option: str, name: str, renamed: Mapping[str, str]) -> str:
    """The current spelling of an option's value."""
    if name not in renamed:
        return name
    warn(f"{option} {name}", f"{option} {renamed[name]}")
    return renamed[name]


class DeprecatedOption(argparse.Action):
    """The former spelling of an option, kept out of the help texts. `new` is the option that replaces it.

    Its use is only noted here: the process may start itself again before it says so (`warn_of_options`).
    """

    def __init__(self, option_strings: list[str], dest: str, new: str, **options: Any) -> None:
        super().__init__(option_strings, dest, default=argparse.SUPPRESS, help=argparse.SUPPRESS, **options)
        self._new = new

    def __call__(
        self, parser: argparse.ArgumentParser, namespace: argparse.Namespace, values: Any, option: str | None = None
    ) -> None:
        """Store the value for the new option."""
        used = [*getattr(namespace, "deprecated_options", []), (option, self._new)]
        namespace.deprecated_options = used
        setattr(namespace, self.dest, values)
