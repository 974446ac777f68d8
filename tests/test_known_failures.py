"""Tests that are known to fail: listed, expected strictly, and few."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_failures import InvalidListError, Red, parse

HERE = Path(__file__).parent
LINE = "tests/test_a.py::test_{} | the world is round | issue 7"


def test_a_line_names_test_cause_and_issue() -> None:
    assert parse("") == []
    assert parse(LINE.format("x")) == [Red("tests/test_a.py::test_x", "the world is round", "issue 7")]
    red = parse(LINE.format("x"))[0]
    assert red.covers("tests/test_a.py::test_x[3]")
    assert not red.covers("tests/test_a.py::test_xy")


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("tests/test_a.py::test_x | because", "must be"),
        ("test_x | because | issue 1", "must be"),
        ("tests/test_a.py::test_x | | issue 1", "must be"),
        (f"{LINE.format('x')}\n\n", "must be"),
        (f"{LINE.format('x')}\n{LINE.format('x')}", "twice"),
        ("\n".join(LINE.format(name) for name in "abcd"), "3 at most"),
    ],
)
def test_a_bad_list_is_refused_in_one_line(text: str, said: str) -> None:
    with pytest.raises(InvalidListError, match=said) as caught:
        parse(text)
    assert "\n" not in str(caught.value)


def run(tmp_path: Path, listed: str) -> tuple[int, str]:
    """A run of two tests, one of which fails."""
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_failures.py"):
        shutil.copy(HERE / name, tests / name)
    (tests / "test_a.py").write_text("def test_good(): pass\n\ndef test_bad(): assert False\n", encoding="utf-8")
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n', encoding="utf-8")
    (tmp_path / "KNOWN-RED.txt").write_text(listed, encoding="utf-8")
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize(
    ("listed", "status", "said"),
    [
        ("bad", 0, "known red: tests/test_a.py::test_bad: the world is round (issue 7)"),
        ("good", 1, "XPASS(strict)"),  # its fault is mended: the line has to go, and the other one fails
        ("gone", 4, "there is no test tests/test_a.py::test_gone"),
    ],
)
def test_a_run_passes_over_just_what_is_listed(tmp_path: Path, listed: str, status: int, said: str) -> None:
    code, output = run(tmp_path, LINE.format(listed))
    assert code == status, output
    assert said in output, output


def test_without_a_list_nothing_is_passed_over(tmp_path: Path) -> None:
    code, output = run(tmp_path, "")
    assert code == 1
    assert "1 failed, 1 passed" in output
