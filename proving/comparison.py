"""The model against the bench: standard days as the model plays them and as a journal tells of them."""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from proving import standard_days
from proving.hunt import on_all_cores
from proving.sweep import Row

FIGURES = {
    "whole day": "worth_part",
    "worst windows": "worst_windows",
    "served at all": "at_all_part",
    "refused": "refused_requests",
    "failed": "failed_requests",
    "MB between zones": "zone_mb",
}
"""What the bench calls a figure, and what the model does."""


class BenchModelPair(NamedTuple):
    """A figure of a day: what the bench measured, and what the model says for each seed."""

    site: str
    day: str
    bench: float
    model: list[float]


def measured(path: str | Path) -> dict[tuple[str, str], dict[str, float]]:
    """The standard days of a journal's entry, by site and day. ValueError if it has none."""
    entry = json.loads(Path(path).read_text(encoding="utf-8"))
    site = entry.get("site")
    found = {
        (site, day["name"]): _figures(day)
        for day in entry.get("days", ())
        if day["name"] in standard_days.DAYS.get(site, ())
    }
    if not found:
        raise ValueError(f"{path}: no standard day of a known site")
    return found


def _figures(day: dict[str, Any]) -> dict[str, float]:
    parts = {name: value for name, _, value in day["parts"]}
    megabytes = {name: 1000 * amount for name, amount, _ in day["prices"]}["GB between zones"]
    return {name: parts.get(name, day.get(name, megabytes)) for name in FIGURES}


def pairs(paths: Sequence[str | Path], seeds: int, most: int = 0) -> dict[str, list[BenchModelPair]]:
    """By figure, all days of some entries (later ones go before earlier) and as many seeds of the model."""
    bench = {key: figures for path in paths for key, figures in measured(path).items()}
    calls = [(*key, seed) for key in bench for seed in range(1, seeds + 1)]
    rows: dict[tuple[str, str], list[Row]] = {key: [] for key in bench}
    for row in on_all_cores(standard_days.run, calls, most):
        rows[row.values["site"], row.values["day"]].append(row)
    return {
        name: [
            BenchModelPair(*key, bench[key][name], [row.figures[ours] for row in rows[key]]) for key in bench
        ]
        for name, ours in FIGURES.items()
    }


def ranks(values: Sequence[float]) -> np.ndarray[Any, Any]:
    """Places in order; equal values share the mean of theirs."""
    _, which, counts = np.unique(np.round(values, 6), return_inverse=True, return_counts=True)
    ends = np.cumsum(counts)
    return (ends - (counts - 1) / 2)[which]


def correlation(found: Sequence[BenchModelPair]) -> float:
    """Spearman's: of the bench's figures and the model's means."""
    ours, theirs = ranks([float(np.mean(p.model)) for p in found]), ranks([p.bench for p in found])
    if ours.std() == 0 or theirs.std() == 0:
        return 0.0
    return float(np.corrcoef(ours, theirs)[0, 1])


def tables(found: dict[str, list[BenchModelPair]]) -> Iterator[str]:
    """Markdown: a line a day, bench and model side by side, and a line a figure with the agreement."""
    days = next(iter(found.values()))
    yield "| | " + " | ".join(f"{name}: bench | model" for name in found) + " |"
    yield "|" + " --- |" * (1 + 2 * len(found))
    for n, day in enumerate(days):
        cells = [
            f"{each[n].bench:.3f} | {np.mean(each[n].model):.3f} ±{np.std(each[n].model):.3f}"
            for each in found.values()
        ]
        yield f"| {day.site} {day.day} | " + " | ".join(cells) + " |"
    yield ""
    yield "| figure | rank correlation | mean difference, model less bench | mean size of the difference |"
    yield "| --- | --- | --- | --- |"
    for name, each in found.items():
        apart = np.array([np.mean(p.model) - p.bench for p in each])
        yield f"| {name} | {correlation(each):.2f} | {apart.mean():+.3f} | {np.abs(apart).mean():.3f} |"
