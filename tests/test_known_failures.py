"""Tests of KNOWN-RED.txt: its format, and that pytest accepts exactly the failures that the list names."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_failures import InvalidListError, Red, parse

TESTS = Path(__file__).parent
LINE = "tests/test_a.py::test_{} | the parser drops the last row | issue 7"


def test_each_line_names_test_cause_and_issue() -> None:
    assert parse("") == []
    assert parse(LINE.format("x")) == [Red("tests/test_a.py::test_x", "the parser drops the last row", "issue 7")]
    red = parse(LINE.format("x"))[0]
    assert red.covers("tests/test_a.py::test_x[3]")
    assert not red.covers("tests/test_a.py::test_xy")


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ("tests/test_a.py::test_x | because", "must be"),
        ("test_x | because | issue 1", "must be"),
        ("tests/test_a.py::test_x | | issue 1", "must be"),
        (f"{LINE.format('x')}\n\n", "must be"),
        (f"{LINE.format('x')}\n{LINE.format('x')}", "twice"),
        ("\n".join(LINE.format(name) for name in "abcd"), "3 at most"),
    ],
)
def test_an_invalid_list_is_rejected_with_a_one_line_error(text: str, expected_text: str) -> None:
    with pytest.raises(InvalidListError, match=expected_text) as raised:
        parse(text)
    assert "\n" not in str(raised.value)


def run_pytest(tmp_path: Path, listed: str) -> tuple[int, str]:
    """Runs pytest on two tests, one of which fails, with a list of known failures; returns its status and output."""
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_failures.py"):
        shutil.copy(TESTS / name, tests / name)
    (tests / "test_a.py").write_text("def test_good(): pass\n\ndef test_bad(): assert False\n", encoding="utf-8")
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n', encoding="utf-8")
    (tmp_path / "KNOWN-RED.txt").write_text(listed, encoding="utf-8")
    process = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return process.returncode, process.stdout + process.stderr


@pytest.mark.parametrize(
    ("listed", "status", "expected_text"),
    [
        ("bad", 0, "known red: tests/test_a.py::test_bad: the parser drops the last row (issue 7)"),
        ("good", 1, "XPASS(strict)"),  # the listed test passes, so its line must be removed; the other test fails
        ("gone", 4, "there is no test tests/test_a.py::test_gone"),
    ],
)
def test_only_listed_failures_are_accepted(tmp_path: Path, listed: str, status: int, expected_text: str) -> None:
    code, output = run_pytest(tmp_path, LINE.format(listed))
    assert code == status, output
    assert expected_text in output, output


def test_no_failure_is_accepted_without_a_list(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, "")
    assert code == 1
    assert "1 failed, 1 passed" in output
