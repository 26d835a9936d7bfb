"""Command `backends`: the backends and their leases, merged from several controllers."""

from __future__ import annotations

from gateway.cli.status_client import Row
from gateway.cli.table import format_table

COLUMNS = ("id", "service", "address", "zone", "phase", "cold-left-s", "lease-left-s", "held-by")
LEASE_HOLDERS = "held-by"  # the column that contains a list


def lines(answers: list[Row]) -> list[str]:
    """Lines for the terminal: all backends, each with the longest reported lease."""
    longest: dict[str, Row] = {}
    for answer in answers:
        for row in answer["backends"]:
            previous = longest.setdefault(row["id"], row)
            if (row["lease-left-s"] or 0.0) > (previous["lease-left-s"] or 0.0):
                longest[row["id"]] = row
    return format_table(COLUMNS, [_cells(longest[backend]) for backend in sorted(longest)])


def _cells(row: Row) -> tuple[object, ...]:
    return tuple(" ".join(row[name]) if name == LEASE_HOLDERS else row[name] for name in COLUMNS)
