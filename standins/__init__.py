"""Deprecated: the former name of the package `emulators`. Its commands go on working under their old spelling."""

import runpy
import sys


def forward(old: str, new: str) -> None:
    """Run `python -m emulators.NEW` for its old spelling, after one line on stderr that names the new one."""
    print(f"python -m standins.{old} is deprecated, use python -m emulators.{new}", file=sys.stderr)
    runpy.run_module(f"emulators.{new}", run_name="__main__", alter_sys=True)
