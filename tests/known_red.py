"""Tests that fail for a real fault which is known: `KNOWN-RED.txt` at the root names them.

A line is `test, cause, issue`: the test as pytest names it, why it fails, the number of the issue. The run
passes over just these and prints them. It fails if one of them passes, isn't there, or there are too many.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


class Red(NamedTuple):
    """A test that is known to fail."""

    test: str
    cause: str
    issue: int


def read(path: Path) -> list[Red]:
    """The tests named in a file, none if there is none. Raises UsageError with the place of what is odd."""
    reds: list[Red] = []
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        test, comma, rest = line.partition(", ")
        cause, second, issue = rest.rpartition(", ")
        if not (comma and second and "::" in test and cause.strip() and issue.strip().isdecimal()):
            raise pytest.UsageError(f"{path.name}:{number}: expected `test, cause, issue`, got {line!r}")
        if any(red.test == test for red in reds):
            raise pytest.UsageError(f"{path.name}:{number}: {test} is named twice")
        reds.append(Red(test, cause, int(issue)))
    if len(reds) > MOST:
        raise pytest.UsageError(f"{path.name}: {len(reds)} tests, {MOST} at most")
    return reds


class KnownRed:
    """The plugin: each named test must fail; a test of that name with parameters is one of its own."""

    def __init__(self, reds: list[Red]) -> None:
        self.reds = reds

    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        """Mark them; where all tests are collected, each must be there."""
        named = {item.nodeid: item for item in items}
        for red in self.reds:
            item = named.get(red.test)
            if item is not None:
                item.add_marker(pytest.mark.xfail(reason=f"{red.cause} (issue {red.issue})", strict=True))
            elif all((config.rootpath / arg).is_dir() for arg in config.args):
                raise pytest.UsageError(f"{FILE}: no test {red.test}")

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print them."""
        if self.reds:
            terminalreporter.section("known to be red")
        for red in self.reds:
            terminalreporter.line(f"{red.test}: {red.cause} (issue {red.issue})")
