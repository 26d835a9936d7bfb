"""Studies of consensus in the simulator: latency of changes, loss of the leader, and a partitioned region."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

from gateway.programs.paths import CONFIG
from gateway.quota.decision_statistics import DECISION_LABELS
from gateway.runtime.http_call import HttpCall
from simulation.capacity import design, documents
from simulation.capacity.fleet import Fleet, FleetError, FleetSize
from simulation.capacity.isolation import isolated
from simulation.capacity.samples import Sample
from simulation.model.machines import RESTART_S, START_S
from simulation.model.processes import ControllerProcess

STUDY = "agreement"
CUT_STUDY = "region-cut"
LATENCY_AXIS = "members"
CUT_AXIS = "seconds of the cut"
ORDERS = 30
QUICK_ORDERS = 5
SEEDS = 8
QUICK_SEEDS = 1
FINE_S = 0.002
OK = 200
REDIRECT = 307
ORDER_MOST_S = 8.0
ELECT_MOST_S = 10.0
CUT_S = 300.0
QUICK_CUT_S = 2.0
HEAL_S = 15.0
QUICK_HEAL_S = 3.0
WARM_S = 15.0
QUICK_WARM_S = 2.0
CUT_TENANTS = 12
CUT_INGRESSES = 12
CUT_REQUESTS = 10.0
CUT_MARKS = (1.0, 2.0, 5.0, 10.0, 12.0, 15.0, 30.0, 60.0, 120.0, 300.0)


class Layout(NamedTuple):
    """The places of the members, and the one-way delays between zones and regions."""

    name: str
    members: tuple[int, ...]
    zone_delay_s: float
    region_delay_s: float

    @property
    def total(self) -> int:
        """The number of members."""
        return sum(self.members)


def layouts() -> list[Layout]:
    """Return all compared layouts. In `spread` all members are at equal distances."""
    near = design.ZONE_DELAY_S
    far = design.REGION_DELAY_S
    return [
        Layout("one region", (1, 1, 1, 0, 0, 0), near, near),
        Layout("one region", (2, 2, 1, 0, 0, 0), near, near),
        Layout("one region", (3, 2, 2, 0, 0, 0), near, near),
        Layout("35 ms between zones", (1, 1, 1, 0, 0, 0), far, far),
        Layout("35 ms between zones", (1, 1, 1, 1, 1, 0), far, far),
        Layout("35 ms between zones", (2, 1, 1, 1, 1, 1), far, far),
        Layout("two regions", (1, 1, 0, 1, 0, 0), near, far),
        Layout("two regions", (1, 1, 1, 1, 1, 0), near, far),
        Layout("two regions", (2, 1, 1, 1, 1, 1), near, far),
    ]


def settings(quick: bool) -> dict[str, Any]:
    """Return the description of the run that a recording contains."""
    return {
        "orders": QUICK_ORDERS if quick else ORDERS,
        "seeds": QUICK_SEEDS if quick else SEEDS,
        "disk_sync_s": 0.002,
        "zone_delay_s": design.ZONE_DELAY_S,
        "region_delay_s": design.REGION_DELAY_S,
    }


def measure(quick: bool) -> Iterator[list[Sample]]:
    """Yield the latency of changes and the time without a leader, for each layout."""
    for layout in layouts()[::3] if quick else layouts():
        yield isolated(quick, measure_layout, layout, quick)


def measure_layout(layout: Layout, quick: bool) -> list[Sample]:
    """Run all seeds of a layout."""
    latencies: dict[str, list[float]] = {}
    for seed in range(1, 1 + (QUICK_SEEDS if quick else SEEDS)):
        fleet = Fleet(
            FleetSize(
                ingresses=6,
                members=layout.members,
                backends=6,
                services=1,
                requests=0.0,
                zone_delay_s=layout.zone_delay_s,
                region_delay_s=layout.region_delay_s,
            ),
            seed,
        )
        fleet.begin()
        where = fleet.region_name(_leader(fleet).place.zone)
        name = f"{layout.name}, leader in {where}" if layout.name == "two regions" else layout.name
        for _ in range(QUICK_ORDERS if quick else ORDERS):
            latencies.setdefault(f"{name}: order", []).append(order(fleet))
        for figure, seconds in lose_leader(fleet).items():
            latencies.setdefault(f"{layout.name}: {figure}", []).append(seconds)
    found = [
        Sample(LATENCY_AXIS, layout.total, figure, "s", tuple(values)) for figure, values in latencies.items()
    ]
    return found + [
        Sample(LATENCY_AXIS, layout.total, f"{s.figure}s one after the other", "orders/s", (1.0 / s.middle,))
        for s in found
        if s.figure.endswith(": order")
    ]


def order(fleet: Fleet) -> float:
    """Change a route at the leader, and return the seconds until its answer."""
    began = fleet.simulator.now
    status = submit(fleet, _leader(fleet))
    fleet.until(lambda: bool(status), ORDER_MOST_S, FINE_S)
    if status != [200]:
        raise FleetError(f"an order was answered {status[0]}")
    return fleet.simulator.now - began


def lose_leader(fleet: Fleet) -> dict[str, float]:
    """Cut the leader's power; return the seconds until another has a lease, and has acknowledged a change."""
    lost = _leader(fleet)
    began = fleet.simulator.now
    machine = fleet.machine(lost)
    machine.kill(power=True)
    fleet.until(lambda: fleet.leader() not in (None, lost), ELECT_MOST_S, FINE_S)
    elected = fleet.simulator.now - began
    while True:
        status = submit(fleet, _leader(fleet))
        fleet.until(lambda status=status: bool(status), ORDER_MOST_S, FINE_S)  # type: ignore[misc]
        if status == [200]:
            break
    acknowledged = fleet.simulator.now - began
    machine.back(RESTART_S + START_S)
    return {"leader lost, until another is sure": elected, "leader lost, until an order": acknowledged}


def _leader(fleet: Fleet) -> ControllerProcess:
    fleet.until(lambda: fleet.leader() is not None, ELECT_MOST_S, FINE_S)
    leader = fleet.leader()
    if leader is None:
        raise FleetError("no leader")
    return leader


def submit(fleet: Fleet, process: ControllerProcess) -> list[int]:
    """Send a change of a route to a controller. The status is appended to the returned list."""
    generation = process.controller_node.config_state.generation
    status = list[int]()
    entry = documents.route_entry(0, 1, deadline_s=2.0 + (generation % 100) / 100)
    entry["spec"]["target"] = fleet.spec.services[0].name
    body = json.dumps(documents.patch(generation, entry)).encode()
    process.enter(
        process.answer, HttpCall("PATCH", CONFIG, body), lambda code, lines, answer: status.append(code)
    )
    return status


# A partitioned region.


class Region(NamedTuple):
    """The decisions of a region's ingresses by `DECISION_LABELS`, and the number of ready ingresses."""

    decided: tuple[int, ...]
    ready: int
    ingresses: int


def measure_cut(quick: bool) -> Iterator[list[Sample]]:
    """Partition the two regions, and record what each can still do."""
    yield isolated(
        quick, cut_regions, *((QUICK_CUT_S, QUICK_WARM_S, QUICK_HEAL_S) if quick else (CUT_S, WARM_S, HEAL_S))
    )


def cut_settings(quick: bool) -> dict[str, Any]:
    """Return the description of the run that a recording contains."""
    return {
        "ingresses": CUT_INGRESSES,
        "requests": CUT_REQUESTS,
        "members": "4 in A, 3 in B",
        "cut_s": QUICK_CUT_S if quick else CUT_S,
    }


def cut_regions(seconds: float, warm_s: float, heal_s: float) -> list[Sample]:
    """Run a partition of a small fleet, with constant traffic well within each tenant's allowance."""
    fleet = Fleet(
        FleetSize(
            ingresses=CUT_INGRESSES,
            tenants=CUT_TENANTS,
            requests=CUT_REQUESTS,
            region_delay_s=design.REGION_DELAY_S,
        ),
        seed=1,
    )
    fleet.begin()
    fleet.simulator.run(fleet.simulator.now + warm_s)
    found: list[Sample] = []
    before = by_region(fleet)
    fleet.cut((0,), (1,), True)
    began = fleet.simulator.now
    for mark in (m for m in CUT_MARKS if m <= seconds):
        fleet.simulator.run(began + mark)
        before = _add_span(found, fleet, before, mark)
    found += [
        Sample(CUT_AXIS, seconds, f"{name}: orders taken", "orders", (float(takes_orders(fleet, name)),))
        for name in fleet.region_names()
    ]
    fleet.cut((0,), (1,), False)
    healed = fleet.simulator.now
    same = fleet.until(lambda: len({i.proxy_node.version for i in fleet.ingresses()}) == 1, heal_s, FINE_S)
    found.append(Sample(CUT_AXIS, seconds, "after the cut: until all run one configuration", "s", (same,)))
    ready = fleet.until(lambda: all(i.ready() for i in fleet.ingresses()), heal_s, FINE_S)
    found.append(Sample(CUT_AXIS, seconds, "after the cut: until all are ready", "s", (same + ready,)))
    before = by_region(fleet)
    fleet.simulator.run(healed + heal_s)
    _add_span(found, fleet, before, seconds + heal_s)
    return found


def by_region(fleet: Fleet) -> dict[str, Region]:
    """Return the decisions of each region so far."""
    found = {}
    for name in fleet.region_names():
        ingresses = [i for i in fleet.ingresses() if fleet.region_name(i.place.zone) == name]
        statistics = [i.proxy_node.quota_client.statistics for i in ingresses]
        decided = [
            sum(counts[n] for each in statistics for counts in each.decided.values())
            for n in range(len(DECISION_LABELS))
        ]
        found[name] = Region(tuple(decided), sum(i.ready() for i in ingresses), len(ingresses))
    return found


def _add_span(found: list[Sample], fleet: Fleet, before: dict[str, Region], mark: float) -> dict[str, Region]:
    after = by_region(fleet)
    for name, region in after.items():
        parts = [n - b for n, b in zip(region.decided, before[name].decided, strict=True)]
        total = max(1, sum(parts))
        for kind, part in zip(DECISION_LABELS, parts, strict=True):
            found.append(Sample(CUT_AXIS, mark, f"{name}: {kind}", "part", (part / total,)))
        ready = region.ready / region.ingresses
        found.append(Sample(CUT_AXIS, mark, f"{name}: ready", "part", (ready,)))
    return after


def takes_orders(fleet: Fleet, region: str) -> bool:
    """Whether an operator gets a change acknowledged by the controllers of a region.

    A 307 is followed if the leader is reachable from there.
    """
    for controller in fleet.controllers():
        if fleet.region_name(controller.place.zone) != region:
            continue
        status = _answered(fleet, controller)
        leader = fleet.leader()
        reached = leader is not None and fleet.network.reaches(controller.place, leader.place)
        if status == REDIRECT and leader is not None and reached:
            status = _answered(fleet, leader)
        if status == OK:
            return True
    return False


def _answered(fleet: Fleet, process: ControllerProcess) -> int:
    """Return the status of a change at a controller; 0 without an answer in time."""
    status = submit(fleet, process)
    try:
        fleet.until(lambda: bool(status), ORDER_MOST_S, FINE_S)
    except FleetError:
        return 0
    return status[0]
