"""Impact of a change to a deployment, estimated by simulating the same days with and without it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import NamedTuple

import numpy as np

from simulation import sweep
from simulation.hunt import on_all_cores
from simulation.measurements import felt
from simulation.planes import PLANE_NAMES, byte_rate, message_rate
from simulation.spec import Disruption, Service, Spec

FIGURES = (
    ("served_part", "of the requests wanted are served"),
    ("timely_part", "are served within their aim"),
    ("worst_second", "of the worst second's are served"),
    ("p50_ms", "ms, half of the answers"),
    ("p99_ms", "ms, 99 of 100 answers"),
    ("refused_part", "of the tries are refused"),
    ("failed_part", "of the tries fail"),
    ("ack_s", "s until an order is acknowledged, at most"),
    ("spread_s", "s from then until all ingresses have it, at most"),
    *((message_rate(plane), f"messages a second of {plane}") for plane in PLANE_NAMES.values()),
    *((byte_rate(plane), f"bytes a second of {plane}") for plane in PLANE_NAMES.values()),
    ("zone_bytes_a_second", "bytes a second between zones"),
)


class Plan(NamedTuple):
    """A day without and with a change. `began` is when it takes effect, in seconds; 0: from the start."""

    title: str
    before: Spec
    after: Spec
    began: float = 0.0


def core(spec: Spec, size: str) -> Plan:
    """Plan: the core gets `size` members, spread over the zones."""
    n = int(size)
    zones = len(spec.zones)
    controllers = tuple(n // zones + (z < n % zones) for z in range(zones))
    proxies = tuple(max(s, p) for s, p in zip(spec.proxies, controllers, strict=True))
    after = replace(spec, controllers=controllers, proxies=proxies, tolerance=max(0, (n - 1) // 2))
    return Plan(f"a core of {n} in place of {sum(spec.controllers)}", spec, after)


def lose_zone(spec: Spec, zone: str) -> Plan:
    """Plan: a zone, given by name or index, loses power permanently."""
    number = spec.zones.index(zone) if zone in spec.zones else int(zone or 0)
    at = spec.day.warm + 10.0
    disruption = Disruption("zone_lost", at, spec.day.seconds, number)
    return Plan(
        f"zone {spec.zones[number]} is lost",
        spec,
        replace(spec, disruptions=(*spec.disruptions, disruption)),
        at,
    )


def roll_out(spec: Spec, apart: str) -> Plan:
    """Plan: a new version is rolled out machine by machine, `apart` seconds from one to the next."""
    gap = float(apart or 7.0)
    at = spec.day.warm + 5.0
    needed = at + gap * sum(spec.proxies) + spec.bounds.grace_s + 10.0
    before = replace(spec, day=replace(spec.day, seconds=max(spec.day.seconds, needed)))
    return Plan(
        f"a roll-out, {gap:g} s from machine to machine",
        before,
        replace(before, disruptions=(*spec.disruptions, Disruption("roll_out", at, gap))),
        at,
    )


def grow(spec: Spec, factor: str) -> Plan:
    """Plan: traffic, ingresses and backends grow by a factor, and the core stays."""
    times = float(factor)

    def more(service: Service) -> Service:
        return replace(service, backends=round(service.backends * times))

    after = replace(
        spec,
        proxies=tuple(round(s * times) for s in spec.proxies),
        services=tuple(map(more, spec.services)),
        day=replace(spec.day, load=spec.day.load * times, clients=round(spec.day.clients * times)),
    )
    return Plan(f"growth by {times:g}", spec, after)


CHANGES: dict[str, Callable[[Spec, str], Plan]] = {
    "core": core,
    "lose-zone": lose_zone,
    "roll-out": roll_out,
    "grow": grow,
}


def make(spec: Spec, change: str) -> Plan:
    """The plan for a change, given as `name` or `name=value`; ValueError for an unknown name."""
    name, _, value = change.partition("=")
    if name not in CHANGES:
        raise ValueError(f"{name}: no change; there are {', '.join(CHANGES)}")
    return CHANGES[name](spec, value)


class Outcome(NamedTuple):
    """The result of a plan: the metrics' means before and after, violated rules, and the change's impact."""

    plan: Plan
    runs: int
    means: dict[str, tuple[float, float]]
    broken: tuple[list[str], list[str]]
    felt_s: float  # seconds with less served than usual, after the change
    lost: float  # fraction lost in the worst of them


def play(plan: Plan, seeds: Sequence[int], most: int = 0) -> Outcome:
    """Simulate both days for all seeds, with at most `most` processes (0: no limit)."""
    calls = [
        (spec, {"name": name}, seed)
        for name, spec in (("before", plan.before), ("after", plan.after))
        for seed in seeds
    ]
    rows = list(on_all_cores(sweep.run, calls, most))
    sides = [[r for r in rows if r.values["name"] == name] for name in ("before", "after")]
    before, after = (
        {figure: float(np.mean([r.figures.get(figure, 0.0) for r in side])) for figure, _ in FIGURES}
        for side in sides
    )
    means = {figure: (before[figure], after[figure]) for figure, _ in FIGURES}
    broken = [[f"seed {r.seed}: {b}" for r in side for b in r.broken] for side in sides]
    spans = []
    for row in sides[1]:
        by = sweep.seconds_of(row)
        spans.append(felt(by, plan.began or plan.after.day.warm, plan.after.day.seconds - 3.0))
    return Outcome(
        plan,
        len(seeds),
        means,
        (broken[0], broken[1]),
        float(np.mean([s for s, _ in spans])),
        float(np.max([lost for _, lost in spans])),
    )


def render_outcome(outcome: Outcome) -> str:
    """An outcome as text for a terminal."""
    plan = outcome.plan
    lines = [f"{plan.title}: {outcome.runs} days before and after", "", f"{'before':>12}{'after':>12}"]
    for figure, text in FIGURES:
        before, after = outcome.means[figure]
        lines.append(f"{before:12.4g}{after:12.4g}  {text}")
    lines += [
        "",
        f"less than usual is served in {outcome.felt_s:.1f} s of the day, "
        f"{outcome.lost:.0%} less in the worst second",
    ]
    for side, found in zip(("before", "after"), outcome.broken, strict=True):
        lines.append(
            f"{side}: "
            + (f"{len(found)} findings\n  " + "\n  ".join(found[:10]) if found else "no rule is broken")
        )
    return "\n".join(lines)
