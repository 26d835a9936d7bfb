"""The designs that close gaps between budget and figure. They are judgements, kept in remedies.toml."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Final, NamedTuple

FILE: Final = Path(__file__).with_name("remedies.toml")

CHANGES = "changes"
SCANS = "scans"
CHARGES = "charges"
WAITS = "waits"
MEMORY = "memory"
LINKS = "links"
FOLLOWERS = "followers"
HEARTBEATS = "heartbeats"
TOOLS = "tools"
"""Causes of gaps: the tables of the file."""


class Remedy(NamedTuple):
    """What is to replace a mechanism, in short and at length, and its expected cost."""

    title: str
    short: str
    design: str
    cost: str


def load() -> dict[str, Remedy]:
    """All remedies, by the cause that they remove."""
    with open(FILE, "rb") as file:
        tables = tomllib.load(file)
    return {
        cause: Remedy(**{name: " ".join(text.split()) for name, text in table.items()})
        for cause, table in tables.items()
    }
