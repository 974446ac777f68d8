"""Runs one case: python3 -m review.run N."""

import runpy
import sys
from pathlib import Path

if __name__ == "__main__":
    runpy.run_path(str(Path(__file__).resolve().parent / sys.argv[1] / "case.py"), run_name="__main__")
