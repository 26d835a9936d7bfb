"""Reads the JSON log lines of one of the programs' loggers, with any prefix."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any


def objects(lines: Iterable[str], logger: str) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield the prefix and the JSON object of each line of that logger; truncated lines are skipped."""
    for line in lines:
        begin = line.find("{")
        if begin < 0 or logger not in line:
            continue
        try:
            entry, _ = json.JSONDecoder().raw_decode(line, begin)
        except ValueError:
            continue
        if isinstance(entry, dict) and entry.get("logger") == logger:
            yield line[:begin], entry
