"""Events in a fleet without traffic: restarts of an ingress, a rack and a zone, and a change of a route."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple

from simulation.capacity.fleet import ZONES, Fleet, FleetError, FleetSize
from simulation.capacity.growth import QUICK_WARM_UP_S, WARM_UP_S
from simulation.capacity.isolation import isolated
from simulation.capacity.samples import Sample
from simulation.model.machines import RESTART_S, START_S, Machine

STUDY = "restarts"
LARGE_STUDY = "restarts-large"
AXIS = "restarts at ingresses"
SIZES = (30, 90, 180)
QUICK_SIZES = (3, 4, 6)
LARGE = 600
"""More ingresses than the number of links that all controllers together may open."""
TENANTS = 300
"""So many that the committed value doesn't fit a datagram, as at the size to design for."""
RACK = 20
QUIET_S = 4.0
WATCHED_S = 6.0
MOST_S = 40.0
BACKENDS = 60
RELEASE_S = 2.0
DRAIN_S = 1.0
CALM_S = 3.0
"""Seconds between two events, in which links count as idle, so that they don't count for the next event."""


class Totals(NamedTuple):
    """The work of controllers and of the leader within a window."""

    bytes_sent: float
    leader_processor_s: float
    ingress_processor_s: float
    links: float
    lost: float


def settings(quick: bool) -> dict[str, Any]:
    """Return the description of the run that a recording contains."""
    return {"tenants": TENANTS, "rack": RACK, "backends": BACKENDS, "watched_s": WATCHED_S}


def measure(quick: bool) -> Iterator[list[Sample]]:
    """Yield the samples of each size, measured in separate processes."""
    for size in QUICK_SIZES if quick else SIZES:
        yield isolated(quick, measure_size, size, quick=quick)


def measure_large(quick: bool) -> Iterator[list[Sample]]:
    """Measure a change of a route in a large fleet, where the other events would take too long."""
    if not quick:
        yield isolated(quick, measure_size, LARGE, False)


def measure_size(ingresses: int, restarts: bool = True, quick: bool = False) -> list[Sample]:
    """Run all events in a fleet of this number of ingresses, one by one; `quick` omits the restarts."""
    fleet = Fleet(FleetSize(ingresses=ingresses, backends=BACKENDS, tenants=TENANTS, requests=1.0), seed=1)
    fleet.begin()
    fleet.window(QUICK_WARM_UP_S if quick else WARM_UP_S)
    fleet.window(QUIET_S)
    usual = totals(fleet)
    found: list[Sample] = []

    def add_sample(event: str, figure: str, unit: str, value: float) -> None:
        found.append(Sample(AXIS, ingresses, f"{event}: {figure}", unit, (value,)))

    ingress_machines = fleet.machines(fleet.ingresses())
    zone = [m for m in fleet.deployment.machines.values() if m.place.zone == ZONES[-1]]
    events = (("one ingress", ingress_machines[:1]), ("rack", ingress_machines[:RACK]), ("zone", zone))
    for event, machines in events if restarts and not quick else ():
        seconds = restart(fleet, machines)
        _add_totals(add_sample, event, totals(fleet), usual)
        add_sample(event, "until all are ready", "s", seconds)
        fleet.window(CALM_S)
    seconds = change_route(fleet)
    _add_totals(add_sample, "one route", totals(fleet), usual)
    if restarts:
        release(fleet)
        _add_totals(add_sample, "release", totals(fleet), usual)
    add_sample("one route", "from its order to the last ingress in force", "s", seconds)
    return found


def restart(fleet: Fleet, machines: Sequence[Machine]) -> float:
    """Kill machines and start them again; return the seconds from their start until all ingresses are ready.

    -1 if some aren't ready in time.
    """
    _reset(fleet)
    for machine in machines:
        machine.kill()
        machine.back()
    began = fleet.simulator.now
    fleet.simulator.run(began + RESTART_S + START_S)
    return _watch_until(fleet, began, lambda: all(i.ready() for i in fleet.ingresses()))


def change_route(fleet: Fleet) -> float:
    """Change a route; return the seconds until the last ingress has it, -1 if one never has."""
    _reset(fleet)
    began = fleet.simulator.now
    generation = fleet.operator_pool.generation
    fleet.operator_pool.change("move")

    def everywhere() -> bool:
        return all(
            (b := i.proxy_node.compiled_config) is not None and b.generation > generation
            for i in fleet.ingresses()
        )

    return _watch_until(fleet, began, everywhere)


def _watch_until(fleet: Fleet, began: float, condition: Callable[[], bool]) -> float:
    """Return the seconds until a condition holds, -1 if it doesn't; runs until `WATCHED_S` have passed."""
    try:
        took = fleet.until(condition, MOST_S)
    except FleetError:
        return -1.0
    fleet.simulator.run(max(fleet.simulator.now, began + WATCHED_S))
    return took


def release(fleet: Fleet) -> None:
    """Replace every backend by a new one, service by service."""
    _reset(fleet)
    deployment = fleet.deployment
    began = fleet.simulator.now
    old = deployment.alive()
    for n, backend in enumerate(old):
        at = began + RELEASE_S * n / len(old)
        fleet.simulator.at(at, deployment.launch, backend.service, backend.place.zone)
        fleet.simulator.at(at, backend.leave, DRAIN_S)
    fleet.simulator.run(began + WATCHED_S)


def _reset(fleet: Fleet) -> None:
    for meter in fleet.meters.values():
        meter.reset()
        meter.counts.links = {}


def totals(fleet: Fleet) -> Totals:
    """Return the work of the controllers since the last reset."""
    controllers = fleet.counts(fleet.controllers())
    sent = sum(size for c in controllers for flow, size in c.bytes.items() if flow.direction == "sent")
    leader = fleet.leader()
    spent = fleet.meters[leader].counts.total_processor() if leader is not None else 0.0
    ingresses = [c.total_processor() for c in fleet.counts(fleet.ingresses())]
    return Totals(
        sent,
        spent,
        sum(ingresses) / len(ingresses),
        max(c.most_links for c in controllers),
        sum(c.lost for c in controllers),
    )


def _add_totals(add_sample: Any, event: str, found: Totals, usual: Totals) -> None:
    part = WATCHED_S / QUIET_S
    add_sample(
        event,
        "bytes that controllers send beyond the usual",
        "bytes",
        found.bytes_sent - part * usual.bytes_sent,
    )
    add_sample(
        event,
        "processor time of the leader beyond the usual",
        "s",
        found.leader_processor_s - part * usual.leader_processor_s,
    )
    add_sample(
        event,
        "processor time of an ingress beyond the usual",
        "s",
        found.ingress_processor_s - part * usual.ingress_processor_s,
    )
    add_sample(event, "most links open at a controller", "links", found.links)
    add_sample(event, "messages lost for want of a link", "messages", found.lost)
