"""Tests that the modules named in README.md, CONTRIBUTING.md and the pages of docs/ exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").glob("*.md"))]
HISTORY = {"measurements.md"}  # reports earlier measurements under the module names of their time
MODULE = re.compile(r"`((?:[a-z_]+/)+[a-z_]+\.py)")


@pytest.mark.parametrize("page", [page for page in PAGES if page.name not in HISTORY], ids=lambda page: page.name)
def test_every_module_that_a_page_names_exists(page: Path) -> None:
    named = set(MODULE.findall(page.read_text(encoding="utf-8")))
    missing = {name for name in named if not (ROOT / name).is_file() and not (ROOT / "oatport" / name).is_file()}
    assert not missing


def test_the_architecture_page_names_modules() -> None:
    assert len(MODULE.findall((ROOT / "docs" / "architecture.md").read_text(encoding="utf-8"))) > 20
