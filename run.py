"""Starts the command line with the libraries that the build installed under target/deps."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from oatport.cli import main

if __name__ == "__main__":
    sys.exit(main())
