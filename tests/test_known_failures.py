"""The list of tests that are known to fail: its form, and what a run does with a listed test."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_failures import InvalidListError, KnownFailure, parse

HERE = Path(__file__).parent
LINE = "tests/test_a.py::test_{} | pytest tests/test_a.py, seed 3 | the world is round | issue 7"


def test_a_line_names_test_command_with_seed_observation_and_issue() -> None:
    assert parse("") == []
    fields = ("tests/test_a.py::test_x", "pytest tests/test_a.py, seed 3", "the world is round", "issue 7")
    assert parse(LINE.format("x")) == [KnownFailure(*fields, is_intermittent=False)]
    failure = parse(LINE.format("x"))[0]
    assert failure.describe() == LINE.format("x")
    assert failure.covers("tests/test_a.py::test_x[3]")
    assert not failure.covers("tests/test_a.py::test_xy")


def test_a_fifth_field_marks_a_test_that_fails_only_at_times() -> None:
    line = f"{LINE.format('x')} | sometimes"
    (failure,) = parse(line)
    assert failure.is_intermittent
    assert failure.issue == "issue 7"
    assert failure.describe() == line


def test_any_number_of_tests_may_be_listed() -> None:
    names = [f"n{number}" for number in range(50)]
    failures = parse("\n".join(LINE.format(name) for name in names))
    assert [failure.test for failure in failures] == [f"tests/test_a.py::test_{name}" for name in names]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("tests/test_a.py::test_x | because", "must be"),
        ("tests/test_a.py::test_x | because | issue 1", "must be"),  # the form of earlier lists
        ("tests/test_a.py::test_x | pytest, seed 1 | issue 1", "must be"),
        ("test_x | pytest, seed 1 | because | issue 1", "must be"),
        (" | pytest, seed 1 | because | issue 1", "must be"),
        ("tests/test_a.py::test_x | | because | issue 1", "must be"),
        ("tests/test_a.py::test_x | pytest | because | issue 1", "must be"),  # no seed
        ("tests/test_a.py::test_x | pytest, seed 1 | | issue 1", "must be"),
        ("tests/test_a.py::test_x | pytest, seed 1 | because | ", "must be"),
        (f"{LINE.format('x')} | ", "must be"),
        (f"{LINE.format('x')} | sometimes | sometimes", "must be"),
        (f"{LINE.format('x')} | often", "fifth field must be 'sometimes', not 'often'"),
        (f"{LINE.format('x')}\n\n", "must be"),
        (f"{LINE.format('x')}\n{LINE.format('x')}", "twice"),
        (f"{LINE.format('x')}\n{LINE.format('x')} | sometimes", "twice"),
    ],
)
def test_an_invalid_list_is_refused_in_one_line(text: str, message: str) -> None:
    with pytest.raises(InvalidListError, match=message) as caught:
        parse(text)
    assert "\n" not in str(caught.value)


def run(tmp_path: Path, listed: str) -> tuple[int, str]:
    """Returns the exit status and the output of a run of two tests, one of which fails."""
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_failures.py"):
        shutil.copy(HERE / name, tests / name)
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


BAD, GOOD, MISSING = LINE.format("bad"), LINE.format("good"), LINE.format("missing")


@pytest.mark.parametrize(
    ("listed", "status", "expected"),
    [
        (BAD, 0, f"known red: {BAD}\n"),
        (f"{BAD} | sometimes", 0, f"known red: {BAD} | sometimes\n"),
        (GOOD, 1, "XPASS(strict)"),  # its fault is fixed: the entry has to go, and the other test fails
        (f"{BAD}\n{GOOD}", 1, "XPASS(strict)"),  # the pass alone fails the run
        (f"{BAD}\n{GOOD} | sometimes", 0, "1 xfailed, 1 xpassed"),
        (f"{BAD}\n{GOOD} | sometimes", 0, f"known red: {BAD}\nknown red: {GOOD} | sometimes\n"),
        (f"{GOOD} | sometimes", 1, "1 failed, 1 xpassed"),  # the other test is not covered
        (MISSING, 4, "there is no test tests/test_a.py::test_missing"),
        (f"{MISSING} | sometimes", 4, "there is no test tests/test_a.py::test_missing"),
    ],
)
def test_a_run_passes_over_only_the_listed_tests(tmp_path: Path, listed: str, status: int, expected: str) -> None:
    code, output = run(tmp_path, listed)
    assert code == status, output
    assert expected in output, output


def test_an_invalid_list_stops_the_run(tmp_path: Path) -> None:
    code, output = run(tmp_path, f"{BAD} | often")
    assert code == 4, output
    assert "KNOWN-RED.txt:1: the fifth field must be 'sometimes', not 'often'" in output, output


def test_without_a_list_no_test_is_passed_over(tmp_path: Path) -> None:
    code, output = run(tmp_path, "")
    assert code == 1
    assert "1 failed, 1 passed" in output
