"""Pytest plugin for the tests that fail because of a known fault, which `KNOWN-RED.txt` at the root lists.

Entries are separated by empty lines. Each has the lines `test:` (the id that pytest prints), `command:`
(which shows the failure), `seed:` (`none` if the test has no seed), `seen:` (what was observed) and `issue:`
(the number of an open issue). The run tolerates the failure of exactly these tests and prints the entries. It
fails if a listed test passes or doesn't exist.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"


class Red(NamedTuple):
    """An entry of the file: a test that is known to fail."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str

    def summary(self) -> str:
        """Return the entry in one line."""
        return f"{self.test}: {self.seen} (issue {self.issue}; {self.command}; seed {self.seed})"


class Line(NamedTuple):
    """A line of the file: its place, for errors, and its text."""

    place: str
    text: str


def read(path: Path) -> list[Red]:
    """Return the entries of a file, if it exists. Raises UsageError with the place of an error."""
    entries: list[Red] = []
    for lines in _blocks(path):
        entry = _parse(lines)
        if any(other.test == entry.test for other in entries):
            raise pytest.UsageError(f"{lines[0].place}: {entry.test} is listed twice")
        entries.append(entry)
    return entries


def _blocks(path: Path) -> Iterator[list[Line]]:
    """Yield the lines of each entry."""
    texts = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    block: list[Line] = []
    for number, text in enumerate(texts, 1):
        if text.strip():
            block.append(Line(f"{path.name}:{number}", text))
        elif block:
            yield block
            block = []
    if block:
        yield block


def _parse(lines: list[Line]) -> Red:
    """Parse an entry. Raises UsageError if a field is unknown, repeated, missing or malformed."""
    fields: dict[str, str] = {}
    for place, text in lines:
        name, colon, value = (part.strip() for part in text.partition(":"))
        missing = [field for field in Red._fields if field not in fields]
        if not missing:
            raise pytest.UsageError(f"{place}: expected an empty line after the entry; got {text!r}")
        if not colon or name not in missing or not value:
            expected = ", ".join(missing)
            raise pytest.UsageError(f"{place}: expected a line `field: value` for {expected}; got {text!r}")
        fields[name] = value
    missing = [field for field in Red._fields if field not in fields]
    if missing:
        raise pytest.UsageError(f"{lines[0].place}: the entry has no {', '.join(missing)}")
    if "::" not in fields["test"]:
        raise pytest.UsageError(f"{lines[0].place}: {fields['test']!r} is not the id of a test")
    if not fields["issue"].isdecimal():
        raise pytest.UsageError(f"{lines[0].place}: {fields['issue']!r} is not the number of an issue")
    return Red(**fields)


class KnownRed:
    """The plugin. Each listed test must fail; each set of parameters of a test is listed on its own."""

    def __init__(self, reds: list[Red]) -> None:
        self.reds = reds

    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        """Mark the listed tests. If all tests are collected, each listed test must exist."""
        items_by_id = {item.nodeid: item for item in items}
        for red in self.reds:
            item = items_by_id.get(red.test)
            if item is not None:
                item.add_marker(pytest.mark.xfail(reason=f"{red.seen} (issue {red.issue})", strict=True))
            elif all((config.rootpath / arg).is_dir() for arg in config.args):
                raise pytest.UsageError(f"{FILE}: no test {red.test}")

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the entries."""
        if self.reds:
            terminalreporter.section("known to be red")
        for red in self.reds:
            terminalreporter.line(red.summary())
