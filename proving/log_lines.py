"""Lines of a day's log that came from one logger of the programs, whatever stands before them."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any


def objects(lines: Iterable[str], logger: str) -> Iterator[tuple[str, dict[str, Any]]]:
    """What stands before each JSON object of that logger, and the object; lines cut off are passed over."""
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
