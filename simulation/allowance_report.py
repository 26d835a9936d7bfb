"""HTML report of the quota plane over a day: one file with embedded plots."""

from __future__ import annotations

import html
from pathlib import Path
from typing import Any

import numpy as np
from matplotlib import pyplot as plt

from gateway.quota.decision_statistics import BUCKET_EDGES, DECISION_LABELS
from simulation import allowance
from simulation.allowance import STEP_S, Day, Table
from simulation.report import STYLE, picture

COLOURS = ("#2f855a", "#2b6cb0", "#c05621", "#dd9b5f", "#c53030")


def course(day: Day) -> str:
    """Plot of how requests were decided, and of refunded units, by steps of 5 s; an HTML image."""
    figure, axes = plt.subplots(figsize=(11, 3.4))
    steps = sorted(day.course)
    floor = np.zeros(len(steps))
    for n, (way, colour) in enumerate(zip(DECISION_LABELS, COLOURS, strict=True)):
        height = np.array([day.course[step][n] for step in steps])
        axes.bar(steps, height, STEP_S * 0.9, floor, align="edge", label=way, color=colour)
        floor = floor + height
    axes.step(steps, [day.back[step] for step in steps], where="post", color="black", label="given back")
    return finished(figure, axes, "second", "requests in 5 s")


def rest(day: Day) -> str:
    """Plots for each tenant of the largest difference of a view and of the units it lies outside replies."""
    figure, (left, right) = plt.subplots(1, 2, figsize=(12, 3.6))
    for tenant in sorted({v.tenant for v in day.views}):
        own = [v for v in day.views if v.tenant == tenant]
        left.plot([v.at for v in own], [v.differs / v.allowance for v in own], ".-", lw=0.7, label=tenant)
        right.plot([v.at for v in own], [v.beyond for v in own], ".-", lw=0.7)
    left.set_title("largest difference of a view, old as it is, in parts of the allowance", fontsize=9)
    right.set_title("units by which a view is beyond what was said in its time", fontsize=9)
    right.set_xlabel("second")
    return finished(figure, left, "second", "")


def times(day: Day) -> str:
    """Plot of the cumulative distribution of the time that a charge takes."""
    figure, axes = plt.subplots(figsize=(11, 3.4))
    edges = [1000 * e for e in (*BUCKET_EDGES, BUCKET_EDGES[-1] * 2)]
    for name, counts in day.times.items():
        if total := sum(counts):
            axes.step(edges, np.cumsum(counts) / total, where="post", label=name)
    axes.set_xscale("log")
    return finished(figure, axes, "ms", "part decided by then")


def finished(figure: Any, axes: Any, x: str, y: str) -> str:
    """Label the axes `x` and `y`, add a legend, and render the figure as an HTML image."""
    axes.set_xlabel(x)
    axes.set_ylabel(y)
    axes.legend(fontsize=7)
    return picture(figure)


def table(rows: Table) -> str:
    """A table as HTML."""
    head, *body = [[html.escape(cell) for cell in row] for row in rows]
    lines = ["".join(f"<td>{cell}</td>" for cell in row) for row in body]
    return f"<table><tr><th>{'<th>'.join(head)}</tr>{''.join(f'<tr>{line}</tr>' for line in lines)}</table>"


def write(day: Day, name: str, folder: Path) -> Path:
    """Write the report as HTML, and its tables as text beside it; returns the path of the HTML file."""
    parts = [
        f"<h1>{html.escape(name)}</h1>",
        "<h2>Asked, admitted, refused early</h2>",
        course(day),
        table(allowance.table(day)),
        "<h2>Time that the charge adds</h2>",
        times(day),
        table(allowance.added(day)),
        "<h2>Agreement</h2>",
        rest(day),
        table(allowance.agreement(day)),
        f"<h2>Units given back</h2><p>{day.back.total()}</p>",
        "<h2>Keys that changed hands</h2>",
        table(allowance.hands(day)),
    ]
    head = f'<!doctype html><meta charset="utf-8"><title>{html.escape(name)}</title>'
    path = folder / f"{name}.html"
    path.write_text(f"{head}<style>{STYLE}</style>" + "\n".join(parts), encoding="utf-8")
    path.with_suffix(".txt").write_text(allowance.render_day(day) + "\n", encoding="utf-8")
    return path
