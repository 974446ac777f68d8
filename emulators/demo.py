"""Writes the settings of three nodes on loopback, and a job, for running oatport by hand."""

import json
import sys
from pathlib import Path

from emulators.smoke_test import job, settings

PORTS = [2379, 8443, 8080, 8081, 8082, 8083, 8084, 8085]  # state, cloud, then bind and internal port of each node


def main() -> None:
    """Writes n0.toml to n2.toml and job.json into the folder named on the command line."""
    if len(sys.argv) != 2:
        sys.exit("usage: python3 -m emulators.demo FOLDER")
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    for index in range(3):
        (folder / f"n{index}.toml").write_text(settings(index, PORTS))
    (folder / "job.json").write_text(json.dumps(job("j-000001", "array", 6, 5.0), indent=1) + "\n")
    print(f"wrote n0.toml, n1.toml, n2.toml and job.json to {folder}")


if __name__ == "__main__":
    main()
