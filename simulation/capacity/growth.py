"""Messages, bytes and processor time of each role as the fleet grows along one axis at a time."""

from __future__ import annotations

import gc
from collections.abc import Iterator, Sequence
from dataclasses import asdict, replace
from time import thread_time
from typing import Any, NamedTuple

from gateway.programs.paths import LEASES, STATUS
from gateway.runtime.http_call import HttpCall
from simulation.capacity import design
from simulation.capacity.configuration import resident_mb
from simulation.capacity.fleet import Fleet, FleetError, FleetSize
from simulation.capacity.isolation import isolated
from simulation.capacity.meter import Counts
from simulation.capacity.samples import Sample

WARM_UP_S = 5.0
QUICK_WARM_UP_S = 0.5
"""Seconds after the start with more frequent heartbeats."""
WINDOW_S = 6.0
SHORT_WINDOW_S = 2.0
QUICK_WINDOW_S = 1.0
"""Seconds of a window: usually, for the largest fleet, and in a quick run."""
WINDOWS = 3
QUICK_WINDOWS = 2
LARGEST = design.INGRESSES
SMALL = FleetSize(ingresses=3, members=(1, 0, 1, 0, 1, 0), requests=40.0)
"""For many tenants, whose number is limited by memory."""
TOTAL = "all"
AXES = ("ingresses", "ingresses-910", "backends", "requests", "tenants", "tenants-88000", "controllers")


class Step(NamedTuple):
    """A fleet of the study: the axis, its size along it, and its full size."""

    axis: str
    size: float
    fleet: FleetSize


def steps(axis: str, quick: bool) -> list[Step]:
    """Return the fleets along an axis, smallest first."""
    if axis == "ingresses":
        counts = [6, 12, 24] if quick else [30, 100, 300]
        return [Step(axis, n, FleetSize(ingresses=n)) for n in counts]
    if axis == "ingresses-910":
        return [] if quick else [Step("ingresses", LARGEST, FleetSize(ingresses=LARGEST))]
    if axis == "backends":
        sizes = [60, 120, 240] if quick else [130, 430, 1300, 4300]
        return [Step(axis, n, FleetSize(ingresses=6, backends=n, requests=1.0)) for n in sizes]
    if axis == "requests":
        rates = (5.0, 10.0, 20.0) if quick else (10.0, 30.0, 60.0, 121.0)
        return [Step(axis, rate * 12, FleetSize(ingresses=12, requests=rate)) for rate in rates]
    if axis == "tenants":
        sizes = [20, 40, 80] if quick else [20, 1000, 5500, 22_000]
        return [Step(axis, n, replace(SMALL, tenants=n)) for n in sizes]
    if axis == "tenants-88000":
        return [] if quick else [Step("tenants", design.TENANTS, replace(SMALL, tenants=design.TENANTS))]
    if axis == "controllers":
        members = {3: (1, 0, 1, 0, 1, 0), 5: (1, 1, 1, 1, 1, 0), 7: (2, 1, 1, 1, 1, 1)}
        ingresses = 12 if quick else 60
        return [Step(axis, n, FleetSize(ingresses=ingresses, members=m)) for n, m in members.items()]
    raise ValueError(f"{axis}: no axis of growth")


def settings(quick: bool) -> dict[str, Any]:
    """Return the description of the run that a recording contains."""
    seconds, windows = (QUICK_WINDOW_S, QUICK_WINDOWS) if quick else (WINDOW_S, WINDOWS)
    return {
        "windows": windows,
        "window_s": seconds,
        "window_s_of_the_largest": SHORT_WINDOW_S,
        "otherwise": asdict(FleetSize()),
    }


def measure(axis: str, quick: bool) -> Iterator[list[Sample]]:
    """Yield the samples of each fleet along an axis, measured in separate processes."""
    for step in steps(axis, quick):
        large = step.fleet.ingresses >= LARGEST
        seconds = QUICK_WINDOW_S if quick else SHORT_WINDOW_S if large else WINDOW_S
        windows = QUICK_WINDOWS if quick else WINDOWS
        yield isolated(quick, measure_step, step, seconds, windows)


def measure_step(step: Step, window_s: float, windows: int) -> list[Sample]:
    """Run a fleet for several windows, and return the means of each role in each window."""
    gc.collect()
    before = resident_mb()
    fleet = Fleet(step.fleet, seed=1)
    fleet.begin()
    fleet.window(QUICK_WARM_UP_S if window_s <= QUICK_WINDOW_S else WARM_UP_S)
    found: dict[tuple[str, str], list[float]] = {}
    for _ in range(windows):
        fleet.window(window_s)
        for role, counts in roles(fleet).items():
            for key, value in means(role, counts, window_s).items():
                found.setdefault(key, []).append(value)
    found["simulator: memory", "MB"] = [resident_mb() - before]
    for path in STATUS, LEASES:
        cost = measure_query(fleet, path)
        found[f"tools: GET {path}: bytes", "bytes"] = [cost.bytes]
        found[f"tools: GET {path}: processor", "s"] = [cost.processor_s]
    return [
        Sample(step.axis, step.size, figure, unit, _padded(figure, values, windows))
        for (figure, unit), values in found.items()
    ]


class QueryCost(NamedTuple):
    """Return the cost of an operator's status call for a controller."""

    bytes: float
    processor_s: float


def measure_query(fleet: Fleet, path: str) -> QueryCost:
    """Make the calls of the operators' tools to the leader."""
    answers: list[bytes] = []
    leader = fleet.leader()
    if leader is None:
        raise FleetError("no leader")
    began = thread_time()
    leader.answer(HttpCall("GET", path, b""), lambda status, lines, body: answers.append(body))
    return QueryCost(float(len(answers[0])), thread_time() - began)


def roles(fleet: Fleet) -> dict[str, list[Counts]]:
    """Return the counts of the processes of each role in the last window."""
    leader = fleet.leader()
    others = [c for c in fleet.controllers() if c is not leader]
    return {
        "ingress": fleet.counts(fleet.ingresses()),
        "leader": fleet.counts([leader] if leader else []),
        "controller": fleet.counts(others),
    }


def means(role: str, counts: Sequence[Counts], window_s: float) -> dict[tuple[str, str], float]:
    """Return a role's means over its processes per second, by figure and unit."""
    if not counts:
        return {}
    parts = 1.0 / (len(counts) * window_s)
    found: dict[tuple[str, str], float] = {}

    def add(figure: str, unit: str, value: float) -> None:
        found[figure, unit] = found.get((figure, unit), 0.0) + value * parts

    for each in counts:
        for flow, number in each.messages.items():
            for plane, kind in ((flow.plane, flow.kind), (flow.plane, TOTAL), (TOTAL, TOTAL)):
                add(f"{role}: {plane}: {kind} {flow.direction}: messages", "messages/s", number)
                add(f"{role}: {plane}: {kind} {flow.direction}: bytes", "bytes/s", each.bytes[flow])
        for plane, seconds in each.processor.items():
            for name in (plane, TOTAL):
                add(f"{role}: {name}: processor", "s/s", seconds)
        add(f"{role}: lost for want of a link: messages", "messages/s", each.lost)
    found[f"{role}: links open", "links"] = max(c.most_links for c in counts)
    return found


def _padded(figure: str, values: Sequence[float], windows: int) -> tuple[float, ...]:
    """Set kinds of messages that a window doesn't have to 0."""
    if not figure.endswith(("messages", "bytes")) or figure.startswith("tools"):
        return tuple(values)
    return (*values, *([0.0] * (windows - len(values))))
