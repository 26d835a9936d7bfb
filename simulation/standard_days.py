"""The bench's standard days of both sites, approximated: the same kinds of disruption at random times.

The kinds of a day's disruptions are known from its record; their times, sizes and targets are not.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import numpy as np

from simulation import spec as specs
from simulation import sweep
from simulation.hunt import on_all_cores
from simulation.spec import Disruption, Spec

SITES = Path(__file__).parent / "sites"
LOAD = {"quiet": 0.5, "trouble": 0.5, "scale": 0.6}
"""Factors on the rates in a site's page, as the days have about half of these requests."""

DAYS = {
    "bmgs-noms": {
        "quiet-1": ("config_change",),
        "trouble-1": (
            "answer_lost",
            "config_change",
            "hot_tenant",
            "node_kill",
            "replace_core",
            "revoke",
            "scale_in",
        ),
        "scale-1": ("after_ack_kill", "config_change", "garble", "node_kill", "scale_in", "srv_crash"),
        "trouble-2": ("answer_lost", "config_change", "herd_kill", "hot_tenant", "scale_in", "seed_turnover"),
        "scale-2": (
            "answer_lost",
            "big_config",
            "config_change",
            "garble",
            "node_cut",
            "release",
            "scale_in",
        ),
        "trouble-3": (
            "after_ack_wipe",
            "config_change",
            "config_race",
            "core_cut",
            "garble",
            "node_cut",
            "revoke",
            "scale_in",
        ),
    },
    "atlas-cadastre": {
        "quiet-1": ("config_change",),
        "trouble-1": ("config_change", "disk_full", "node_kill", "release", "scale_in", "srv_crash"),
        "scale-1": ("after_ack_kill", "config_change", "garble", "herd_kill", "hot_tenant", "scale_in"),
        "trouble-2": ("answer_lost", "config_change", "core_cut", "revoke", "scale_in", "seed_turnover"),
        "scale-2": ("answer_lost", "config_change", "config_race", "node_cut", "revoke", "scale_in"),
        "trouble-3": ("after_ack_wipe", "config_change", "garble", "hot_tenant", "node_kill", "scale_in"),
    },
}
HOT_S = (6.0, 16.0)
"""Range of how long a tenant is hot; the fraction of refused requests is then that of the bench's days."""

CLOSING = ("trouble-1", "scale-1", "trouble-3")
"""Days whose worst windows indicate a closing fault, at both sites."""

SHOWN = ("worth_part", "at_all_part", "worst_windows", "refused_requests", "failed_requests", "zone_mb")


def day(site: str, name: str, seed: int) -> Spec:
    """One of the days, with times drawn from a seed."""
    site_spec = specs.load(SITES / f"{site}.toml")[0]
    rng = random.Random(f"{site} {name} {seed}")
    kind = name.partition("-")[0]
    seconds = 48.0 if kind == "quiet" else 68.0
    disruptions = []
    for disruption in DAYS[site][name]:
        at = rng.uniform(14.0, seconds - 16.0)
        which = rng.randrange(1000)
        if disruption in ("revoke", "config_change"):  # no limit is cut, no route moved to where it overloads
            disruption = "config_change"
            which = 3 if disruption == "revoke" else rng.choice((0, 1))
        much = 0.4 if disruption == "herd_kill" else 1.0
        lasts = rng.uniform(2.0, 5.0)
        if disruption == "hot_tenant":  # one of the three largest, for a long time
            at = rng.uniform(14.0, 22.0)
            which = which % 3
            lasts = rng.uniform(*HOT_S)
        disruptions.append(Disruption(disruption, at, lasts, which, much))
    closing = seconds - 26.0 if name in CLOSING else 0.0
    if closing:
        disruptions = [t for t in disruptions if t.at < closing - 5.0]
    return replace(
        site_spec,
        name=f"{site} {name}",
        disruptions=tuple(sorted(disruptions, key=lambda t: t.at)),
        day=replace(site_spec.day, seconds=seconds, load=LOAD[kind], closing=closing),
    )


def run(site: str, name: str, seed: int) -> sweep.Row:
    """Simulate one of the days; the row's values are the site and the day's name."""
    return sweep.run(day(site, name, seed), {}, seed)._replace(values={"site": site, "day": name})


def table(site: str, seeds: int, most: int = 0) -> Iterator[str]:
    """Yield the lines of a text table: for each day, the metrics' means and deviations over seeds."""
    calls = [(site, name, seed) for name in DAYS[site] for seed in range(1, seeds + 1)]
    rows = list(on_all_cores(run, calls, most))
    yield "day".ljust(12) + "".join(name.rjust(20) for name in SHOWN) + "  with a broken rule"
    for name in DAYS[site]:
        found = [row for row in rows if row.values["day"] == name]
        cells = [[row.figures[figure] for row in found] for figure in SHOWN]
        broken = sum(bool(row.broken) for row in found)
        yield (
            name.ljust(12)
            + "".join(f"{np.mean(c):.3f} ±{np.std(c):.3f}".rjust(20) for c in cells)
            + (f"  {broken} of {len(found)}")
        )
