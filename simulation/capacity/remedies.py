"""The designs that close gaps between budgets and estimates; remedies.toml contains these judgements."""

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
"""Causes of gaps, which are the tables of the file."""


class Remedy(NamedTuple):
    """The replacement of a mechanism, in a short and a long description, and its expected cost."""

    title: str
    short: str
    design: str
    cost: str


def load() -> dict[str, Remedy]:
    """Return all remedies by the cause that they remove."""
    with open(FILE, "rb") as file:
        tables = tomllib.load(file)
    return {
        cause: Remedy(**{name: " ".join(text.split()) for name, text in table.items()})
        for cause, table in tables.items()
    }
