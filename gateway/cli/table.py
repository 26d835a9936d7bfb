"""Tables for the terminal."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

COLUMN_SEPARATOR = "  "


def format_table(names: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Format rows as a table with aligned columns; the first line contains the names."""
    cells = [tuple(names), *(tuple(map(_format_cell, row)) for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(names))]
    return [
        COLUMN_SEPARATOR.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    return f"{value:.1f}" if isinstance(value, float) else str(value)
