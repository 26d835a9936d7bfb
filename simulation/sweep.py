"""Parameter sweeps: simulation runs over combinations of values and over seeds, on all cores."""

from __future__ import annotations

import csv
import itertools
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np
from tqdm import tqdm

from simulation.checkers import check
from simulation.hunt import on_all_cores
from simulation.measurements import SecondCounts, measure, seconds
from simulation.model.simulation_run import play
from simulation.spec import Spec, Sweep, change


class Row(NamedTuple):
    """One run: the parameters' values, its seed, its metrics, rule violations, and its course by second."""

    values: dict[str, Any]
    seed: int
    figures: dict[str, float]
    broken: list[str]
    course: list[list[int]]  # by second: wanted, served, served within the aim


def run(spec: Spec, values: dict[str, Any], seed: int) -> Row:
    """Simulate, measure and check one run of a sweep."""
    changed = change(spec, values)
    record = play(changed, seed)
    course = [part.tolist() for part in seconds(record, changed)]
    return Row(values, seed, measure(record, changed), [str(b) for b in check(record)], course)


def seconds_of(row: Row) -> SecondCounts:
    """A run's course, in the form of `measurements.seconds`."""
    return SecondCounts(*(np.array(part) for part in row.course))


def points(sweep: Sweep) -> list[dict[str, Any]]:
    """All combinations of the parameters' values."""
    names = list(sweep.values)
    return [dict(zip(names, each, strict=True)) for each in itertools.product(*sweep.values.values())]


def rows(spec: Spec, sweep: Sweep, most: int = 0, shown: bool = True) -> Iterator[Row]:
    """Yield all runs as they complete, with a progress bar if `shown`; `most` limits the processes."""
    calls = [(spec, values, sweep.first_seed + n) for values in points(sweep) for n in range(sweep.seeds)]
    results: Iterable[Any] = on_all_cores(run, calls, most)
    yield from tqdm(results, total=len(calls), unit="run", disable=not shown)


class Summary(NamedTuple):
    """A point of a sweep: the metrics' means and standard deviations over its runs, and violated rules."""

    values: dict[str, Any]
    runs: int
    means: dict[str, float]
    spreads: dict[str, float]
    broken: list[str]


def summaries(found: Iterable[Row]) -> list[Summary]:
    """Summarize the runs by point, in the order of the values."""
    groups: dict[str, list[Row]] = {}
    for row in found:
        groups.setdefault(repr(row.values), []).append(row)
    out = []
    for group in groups.values():
        names = group[0].figures
        table = {name: np.array([row.figures.get(name, 0.0) for row in group]) for name in names}
        out.append(
            Summary(
                group[0].values,
                len(group),
                {n: float(v.mean()) for n, v in table.items()},
                {n: float(v.std()) for n, v in table.items()},
                [f"seed {row.seed}: {b}" for row in group for b in row.broken],
            )
        )
    return sorted(out, key=lambda s: [str(type(v)) + str(v).rjust(24) for v in s.values.values()])


def write_table(found: Iterable[Row], path: Path) -> None:
    """Write all runs as CSV: parameters, seed, metrics, and violated rules."""
    listed = sorted(found, key=lambda row: (repr(row.values), row.seed))
    if not listed:
        return
    names = list(dict.fromkeys(name for row in listed for name in row.figures))
    with open(path, "w", newline="", encoding="utf-8") as file:
        out = csv.writer(file)
        out.writerow([*listed[0].values, "seed", *names, "broken"])
        for row in listed:
            figures = [f"{row.figures.get(name, 0.0):g}" for name in names]
            out.writerow([*row.values.values(), row.seed, *figures, "; ".join(row.broken)])
