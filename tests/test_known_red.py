"""What CI passes over: just the tests named, printed, three at most, and none that passes."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests import known_red

OVER = "test_it.py::test_{}, the second copy is late, 19\n"
TESTS = """
def test_bad(): assert False
def test_worse(): assert False
def test_good(): pass
"""
CONFTEST = """
from tests import known_red
def pytest_configure(config):
    config.pluginmanager.register(known_red.KnownRed(known_red.read(config.rootpath / known_red.FILE)))
"""


def play(pytester: pytest.Pytester, *lines: str) -> pytest.RunResult:
    """Run these tests where the file names some."""
    pytester.makepyfile(test_it=TESTS)
    pytester.makeconftest(CONFTEST)
    (pytester.path / known_red.FILE).write_text("".join(lines))
    return pytester.runpytest_inprocess("-p", "no:cacheprovider", ".")


def test_just_the_named_ones_are_passed_over(pytester: pytest.Pytester) -> None:
    result = play(pytester, OVER.format("bad"))
    result.assert_outcomes(passed=1, failed=1, xfailed=1)
    result.stdout.fnmatch_lines(
        [
            "*known to be red*",
            "test_it.py::test_bad: the second copy is late (issue 19)",
            "FAILED test_it.py::test_worse*",
        ]
    )
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_red_ones_alone_pass(pytester: pytest.Pytester) -> None:
    result = play(pytester, OVER.format("bad"), OVER.format("worse"))
    result.assert_outcomes(passed=1, xfailed=2)
    assert result.ret == pytest.ExitCode.OK


def test_a_named_one_that_passes_fails(pytester: pytest.Pytester) -> None:
    result = play(pytester, OVER.format("bad"), OVER.format("worse"), OVER.format("good"))
    result.assert_outcomes(failed=1, xfailed=2)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize(
    "lines, told",
    [
        ([OVER.format(name) for name in ("bad", "worse", "good", "x")], "4 tests, 3 at most"),
        ([OVER.format("gone")], "no test test_it.py::test_gone"),
        ([OVER.format("bad"), "test_it.py::test_worse, no issue\n"], "KNOWN-RED.txt:2: expected"),
        ([OVER.format("bad"), OVER.format("bad")], "KNOWN-RED.txt:2: test_it.py::test_bad is named twice"),
        (["test_it.py, a file is no test, 19\n"], "KNOWN-RED.txt:1: expected"),
    ],
)
def test_an_odd_file_fails(pytester: pytest.Pytester, lines: list[str], told: str) -> None:
    result = play(pytester, *lines)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*{told}*"])


@pytest.mark.parametrize(
    ("line", "passes"),
    [(OVER.format("bad"), True), (OVER.format("good"), False), (OVER.format("gone"), False)],
)
def test_parallel_workers_pass_over_the_same_tests(
    pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch, line: str, passes: bool
) -> None:
    monkeypatch.setenv("PYTHONPATH", str(Path(known_red.__file__).parents[1]))
    pytester.makepyfile(test_it="def test_bad(): assert False\ndef test_good(): pass\n")
    pytester.makeconftest(CONFTEST)
    (pytester.path / known_red.FILE).write_text(line)
    result = pytester.runpytest_subprocess("-n", "2", "-p", "no:cacheprovider", ".")
    assert (result.ret == pytest.ExitCode.OK) is passes
    if passes:
        result.assert_outcomes(passed=1, xfailed=1)
        result.stdout.fnmatch_lines(["test_it.py::test_bad: the second copy is late (issue 19)"])
