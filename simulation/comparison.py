"""Validation of the simulation model against the bench: standard days as simulated and as measured.

Measurements are read from entries of the benchmark journal.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from simulation import standard_days
from simulation.hunt import on_all_cores
from simulation.sweep import Row

FIGURES = {
    "whole day": "worth_part",
    "worst windows": "worst_windows",
    "served at all": "at_all_part",
    "refused": "refused_requests",
    "failed": "failed_requests",
    "MB between zones": "zone_mb",
}
"""The bench's name of each metric, and the model's."""


class BenchModelPair(NamedTuple):
    """One metric of a day: the bench's measurement, and the model's value for each seed."""

    site: str
    day: str
    bench: float
    model: list[float]


def measured(path: str | Path) -> dict[tuple[str, str], dict[str, float]]:
    """The metrics of the standard days in a journal entry, by site and day. ValueError if it has none."""
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
    """By metric, all days in some entries (later ones override earlier ones), each with `seeds` simulations.

    `most` limits the worker processes, 0 is no limit.
    """
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
    """Ranks of the values; equal values get the mean of their ranks."""
    _, which, counts = np.unique(np.round(values, 6), return_inverse=True, return_counts=True)
    ends = np.cumsum(counts)
    return (ends - (counts - 1) / 2)[which]


def correlation(found: Sequence[BenchModelPair]) -> float:
    """Spearman's rank correlation of the bench's values and the model's means; 0 if either is constant."""
    ours = ranks([float(np.mean(p.model)) for p in found])
    theirs = ranks([p.bench for p in found])
    if ours.std() == 0 or theirs.std() == 0:
        return 0.0
    return float(np.corrcoef(ours, theirs)[0, 1])


def tables(found: dict[str, list[BenchModelPair]]) -> Iterator[str]:
    """Yield markdown lines: one for each day, with bench and model, and one for each metric's agreement."""
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
