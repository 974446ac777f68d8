"""Deprecated alias of the package `emulators`, whose commands are still accepted under their former names."""

import runpy
import sys


def forward(old: str, new: str) -> None:
    """Runs `python -m emulators.NEW` for a deprecated command; a line on stderr names the current command."""
    print(f"python -m standins.{old} is deprecated, use python -m emulators.{new}", file=sys.stderr)
    runpy.run_module(f"emulators.{new}", run_name="__main__", alter_sys=True)
