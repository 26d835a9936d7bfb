"""Tests of the plugin for known failures: only listed tests may fail, and all entries are printed."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests import known_red

ENTRY = """test: test_it.py::test_{}
command: python -m pytest test_it.py
seed: 7
seen: the second copy is late
issue: 19

"""
SUMMARY = "the second copy is late (issue 19; python -m pytest test_it.py; seed 7)"
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


def run_listed(pytester: pytest.Pytester, *lines: str) -> pytest.RunResult:
    """Run the tests with this content of the file."""
    pytester.makepyfile(test_it=TESTS)
    pytester.makeconftest(CONFTEST)
    (pytester.path / known_red.FILE).write_text("".join(lines))
    return pytester.runpytest_inprocess("-p", "no:cacheprovider", ".")


def test_only_listed_tests_may_fail(pytester: pytest.Pytester) -> None:
    result = run_listed(pytester, ENTRY.format("bad"))
    result.assert_outcomes(passed=1, failed=1, xfailed=1)
    result.stdout.fnmatch_lines(
        [
            "*known to be red*",
            f"test_it.py::test_bad: {SUMMARY}",
            "FAILED test_it.py::test_worse*",
        ]
    )
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_run_with_only_listed_failures_passes(pytester: pytest.Pytester) -> None:
    result = run_listed(pytester, ENTRY.format("bad"), ENTRY.format("worse"))
    result.assert_outcomes(passed=1, xfailed=2)
    assert result.ret == pytest.ExitCode.OK


def test_listed_test_that_passes_is_a_failure(pytester: pytest.Pytester) -> None:
    result = run_listed(pytester, ENTRY.format("bad"), ENTRY.format("worse"), ENTRY.format("good"))
    result.assert_outcomes(failed=1, xfailed=2)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize(
    "lines, error",
    [
        ([ENTRY.format("gone")], "no test test_it.py::test_gone"),
        (
            [ENTRY.format("bad"), "test: test_it.py::test_worse\n"],
            "KNOWN-RED.txt:7: the entry has no command",
        ),
        ([ENTRY.format("bad").replace("seed: 7\n", "")], "KNOWN-RED.txt:1: the entry has no seed"),
        (
            [ENTRY.format("bad").replace("19", "soon")],
            "KNOWN-RED.txt:1: 'soon' is not the number of an issue",
        ),
        ([ENTRY.format("bad").replace("seen:", "cause:")], "KNOWN-RED.txt:4: expected a line `field: value`"),
        ([ENTRY.format("bad").replace(" 7", "")], "KNOWN-RED.txt:3: expected a line `field: value`"),
        ([ENTRY.format("bad"), ENTRY.format("bad")], "KNOWN-RED.txt:7: test_it.py::test_bad is listed twice"),
        (
            [ENTRY.format("bad").replace("::test_bad", "")],
            "KNOWN-RED.txt:1: 'test_it.py' is not the id of a test",
        ),
        (
            [ENTRY.format("bad").rstrip() + "\n", ENTRY.format("worse")],
            "KNOWN-RED.txt:6: expected an empty line",
        ),
        (["test_it.py::test_bad, the second copy is late, 19\n"], "KNOWN-RED.txt:1: expected a line"),
    ],
)
def test_malformed_file_is_rejected(pytester: pytest.Pytester, lines: list[str], error: str) -> None:
    result = run_listed(pytester, *lines)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*{error}*"])


@pytest.mark.parametrize(
    ("line", "passes"),
    [(ENTRY.format("bad"), True), (ENTRY.format("good"), False), (ENTRY.format("gone"), False)],
)
def test_parallel_workers_tolerate_the_same_tests(
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
        result.stdout.fnmatch_lines([f"test_it.py::test_bad: {SUMMARY}"])
