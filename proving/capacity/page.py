"""Writes docs/CAPACITY.md from recordings."""

from __future__ import annotations

from collections.abc import Mapping

from proving.capacity import fit
from proving.capacity.samples import Recording


def page(recordings: Mapping[str, Recording]) -> str:
    """The whole page."""
    lines = ["# Capacity", ""]
    for recording in recordings.values():
        lines += [f"## {recording.study}", "", f"`{recording.command}`, {recording.date}, "
                  f"source {recording.source}, {recording.machine}; spread up to "
                  f"{recording.worst_spread():.0%}.", "", "| figure | base | slope | exponent |",
                  "| --- | --- | --- | --- |"]
        for axis in dict.fromkeys(s.axis for s in recording.samples):
            for figure in recording.figures(axis):
                points = recording.series(axis, figure)
                found, power = fit.line(points), fit.exponent(points)
                lines.append(f"| {axis}: {figure} | {found.base:.4g} | {found.slope:.4g} | "
                             f"{'' if power is None else f'{power:.2f}'} |")
        lines.append("")
    return "\n".join(lines)
