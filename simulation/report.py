"""HTML report of a sweep: one file with embedded plots."""

from __future__ import annotations

import base64
import html
import io
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np

from simulation.planes import PLANE_NAMES, message_rate
from simulation.spec import Spec
from simulation.sweep import Row, Summary, summaries

matplotlib.use("Agg")
from matplotlib import pyplot as plt

SHOWN = (
    "served_part",
    "worth_part",
    "timely_part",
    "worst_second",
    "worst_ten_seconds",
    "p50_ms",
    "p99_ms",
    "refused_part",
    "failed_part",
    "ack_s",
    "spread_s",
    "zone_bytes_a_second",
    *map(message_rate, PLANE_NAMES.values()),
    "times_real",
    "node_seconds_a_second",
)
PLOTTED = ("served_part", "worst_second", "p99_ms", "spread_s", "zone_bytes_a_second", "times_real")
STYLE = """body{font:15px/1.45 system-ui,sans-serif;max-width:76rem;margin:2rem auto;padding:0 1rem}
table{border-collapse:collapse;font-size:13px}th,td{border:1px solid #ccc;padding:3px 7px;text-align:right}
th{background:#f2f2ee;font-weight:600}td:first-child,th:first-child{text-align:left}
.bad{color:#a00}img{max-width:100%}pre{background:#f6f6f2;padding:.7rem;overflow:auto}"""


def picture(figure: Any) -> str:
    """Render a matplotlib figure as an embedded HTML image, and close it."""
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=110, bbox_inches="tight")
    plt.close(figure)
    return f'<img alt="" src="data:image/png;base64,{base64.b64encode(data.getvalue()).decode()}">'


def course(found: Sequence[Row], spec: Spec) -> str:
    """Plot of the requests by second, averaged over all runs, with the day's disruptions."""
    most = max(len(row.course[0]) for row in found)
    total = np.zeros((3, most))
    for row in found:
        for n, part in enumerate(row.course):
            total[n, : len(part)] += part
    figure, axes = plt.subplots(figsize=(11, 3.2))
    times = np.arange(most)
    for part, label, colour in zip(
        total / len(found),
        ("wanted", "served", "within the aim"),
        ("#999", "#2b6cb0", "#2f855a"),
        strict=True,
    ):
        axes.step(times, part, where="post", label=label, color=colour)
    for disruption in spec.disruptions:
        axes.axvspan(disruption.at, disruption.at + disruption.lasts, color="#c53030", alpha=0.12)
        axes.annotate(disruption.kind, (disruption.at, axes.get_ylim()[1]), fontsize=7, rotation=30)
    axes.set_xlabel("second of the day")
    axes.set_ylabel("requests a second")
    axes.legend(loc="lower left", fontsize=8)
    return picture(figure)


def against(points: Sequence[Summary], name: str) -> str:
    """Plots of the metrics against one parameter, with a line for each combination of the others."""
    figure, panes = plt.subplots(2, 3, figsize=(12, 6))
    others = {str({k: v for k, v in p.values.items() if k != name}) for p in points}
    for axes, metric in zip(panes.flat, PLOTTED, strict=True):
        for other in sorted(others):
            line = [p for p in points if str({k: v for k, v in p.values.items() if k != name}) == other]
            at = [p.values[name] for p in line]
            places = at if all(isinstance(v, int | float) for v in at) else list(range(len(at)))
            axes.errorbar(
                places,
                [p.means.get(metric, 0.0) for p in line],
                yerr=[p.spreads.get(metric, 0.0) for p in line],
                marker="o",
                capsize=3,
                label=other if len(others) > 1 else None,
            )
            if places is not at:
                axes.set_xticks(places, [str(v) for v in at], fontsize=7)
        axes.set_title(metric, fontsize=9)
        axes.set_xlabel(name, fontsize=8)
        if len(others) > 1:
            axes.legend(fontsize=6)
    figure.tight_layout()
    return picture(figure)


def table(points: Sequence[Summary]) -> str:
    """An HTML table of the metrics' means at each point of the sweep."""
    head = "".join(f"<th>{html.escape(str(n))}</th>" for n in ["point", "runs", "with a broken rule", *SHOWN])
    lines = []
    for p in points:
        name = ", ".join(f"{k} = {v}" for k, v in p.values.items()) or "as it is"
        bad = len({b.partition(":")[0] for b in p.broken})
        cells = "".join(f"<td>{p.means.get(metric, 0.0):.4g}</td>" for metric in SHOWN)
        lines.append(
            f"<tr><td>{html.escape(name)}</td><td>{p.runs}</td>"
            f"<td class={'bad' if bad else 'good'}>{bad}</td>{cells}</tr>"
        )
    return f"<table><tr>{head}</tr>{''.join(lines)}</table>"


def write(spec: Spec, found: Sequence[Row], path: Path, text: str = "") -> None:
    """Write the report of some runs to `path`, with `text` as an introduction."""
    points = summaries(found)
    parts = [
        f"<h1>{html.escape(spec.name)}</h1>",
        f"<p>{html.escape(text)}</p>" if text else "",
        f"<p>{len(found)} runs, {len(spec.zones)} zones, {sum(spec.proxies)} proxies, "
        f"{sum(spec.controllers)} controllers, {spec.day.seconds:g} s a day.</p>",
        table(points),
    ]
    if spec.day.traffic:
        parts += ["<h2>The day</h2>", course(found, spec)]
    names = points[0].values if points else {}
    for name in names:
        parts += [f"<h2>By {html.escape(name)}</h2>", against(points, name)]
    broken = [b for p in points for b in p.broken]
    if broken:
        parts += ["<h2>Broken rules</h2>", f"<pre>{html.escape(chr(10).join(broken[:200]))}</pre>"]
    head = f'<!doctype html><meta charset="utf-8"><title>{html.escape(spec.name)}</title>'
    path.write_text(f"{head}<style>{STYLE}</style>" + "\n".join(parts), encoding="utf-8")
