"""Comparison of two designs for two regions with the current design, in the simulator."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from gateway.quota.decision_statistics import BUCKET_EDGES, DecisionKind
from simulation.capacity import design
from simulation.capacity.agreement import Region, by_region, order, takes_orders
from simulation.capacity.fleet import Fleet, FleetSize
from simulation.capacity.isolation import isolated
from simulation.capacity.samples import Sample
from simulation.model.processes import ProxyProcess

STUDY = "regions"
AXIS = "regions"
INGRESSES = 12
TENANTS = 12
REQUESTS = 10.0
WARM_UP_S = 15.0
QUICK_WARM_UP_S = 2.0
PROPOSAL_TIMEOUT_S = 40.0
QUICK_LOST_S = 2.0
LATE_S = 15.0
"""Seconds after a partition or loss after which shares are used up."""
ORDERS = 20
PERCENTILE = 0.99


class RegionDesign(NamedTuple):
    """A design for two regions: the number of members in each zone, and the region of each zone."""

    name: str
    members: tuple[int, ...]
    regions: tuple[int, ...]


DESIGNS = (
    RegionDesign("one core, 4 + 3", (2, 1, 1, 1, 1, 1), (0, 0, 0, 1, 1, 1)),
    RegionDesign("one core, 3 + 3 + 1 in a third place", (2, 1, 0, 2, 1, 1), (0, 0, 0, 1, 1, 2)),
    RegionDesign("a core in each region, 3 members", (1, 1, 1, 0, 0, 0), (0, 0, 0, 0, 0, 0)),
)


def settings(quick: bool) -> dict[str, Any]:
    """Return the description of the run that a recording contains."""
    return {
        "designs": [d._asdict() for d in DESIGNS],
        "ingresses": INGRESSES,
        "requests": REQUESTS,
        "region_delay_s": design.REGION_DELAY_S,
    }


def measure(quick: bool) -> Iterator[list[Sample]]:
    """Yield the samples of each design."""
    for each in (0, 2) if quick else range(len(DESIGNS)):
        yield isolated(quick, measure_design, each, quick)


def measure_design(number: int, quick: bool) -> list[Sample]:
    """Measure charges and changes normally, during a partition, and after losing the first region."""
    region_design = DESIGNS[number]
    found: list[Sample] = []

    def add_sample(figure: str, unit: str, *values: float) -> None:
        found.append(Sample(AXIS, number, f"{region_design.name}: {figure}", unit, tuple(values)))

    fleet = start(region_design, quick)
    for region in sorted(set(region_design.regions)):
        ingresses = [i for i in fleet.ingresses() if fleet.region(i.place.zone) == region]
        add_sample(f"charge in region {region + 1}, mean", "s", mean_charge(ingresses))
        add_sample(f"charge in region {region + 1}, 99th percentile", "s", percentile(ingresses))
    add_sample("order", "s", *(order(fleet) for _ in range(3 if quick else ORDERS)))
    if len(set(region_design.regions)) == 1:
        return found
    lasts = QUICK_LOST_S if quick else PROPOSAL_TIMEOUT_S
    fleet.cut((0,), (1,), True)
    _add_late_samples(add_sample, fleet, "regions cut off", lasts)
    fleet = start(region_design, quick)
    for machine in fleet.deployment.machines.values():
        if fleet.region(machine.place.zone) == 0:
            machine.kill(power=True)
    _add_late_samples(add_sample, fleet, "first region lost", lasts)
    return found


def start(region_design: RegionDesign, quick: bool) -> Fleet:
    """Return a fleet of this design after some seconds of traffic."""
    fleet = Fleet(
        FleetSize(
            ingresses=INGRESSES,
            members=region_design.members,
            tenants=TENANTS,
            requests=REQUESTS,
            region_delay_s=design.REGION_DELAY_S,
            regions=region_design.regions,
        ),
        seed=1,
    )
    fleet.begin()
    fleet.simulator.run(fleet.simulator.now + (QUICK_WARM_UP_S if quick else WARM_UP_S))
    return fleet


def _add_late_samples(add_sample: Any, fleet: Fleet, event: str, lasts: float) -> None:
    """Return what the regions admit after shares are used up, and whether they accept changes."""
    began = fleet.simulator.now
    fleet.simulator.run(began + min(LATE_S, lasts / 2))
    before = by_region(fleet)
    fleet.simulator.run(began + lasts)
    for name, after in by_region(fleet).items():
        add_sample(f"{event}: admitted in {name}", "part", admitted(before[name], after))
        add_sample(f"{event}: orders taken in {name}", "orders", float(takes_orders(fleet, name)))


def admitted(before: Region, after: Region) -> float:
    """Return the fraction of requests admitted between two samples; 0 if there were none."""
    parts = [n - b for n, b in zip(after.decided, before.decided, strict=True)]
    return (
        (parts[DecisionKind.ADMITTED_BY_OWNER] + parts[DecisionKind.ADMITTED_BY_SHARE]) / total
        if (total := sum(parts))
        else 0.0
    )


def mean_charge(ingresses: Sequence[ProxyProcess]) -> float:
    """Return the mean time in seconds of a charge at its shard owner."""
    statistics = [i.proxy_node.quota_client.statistics for i in ingresses]
    return sum(t.seconds[0] for t in statistics) / max(1, sum(sum(t.times[0]) for t in statistics))


def percentile(ingresses: Sequence[ProxyProcess]) -> float:
    """Return the 99th percentile of that time: the upper edge of its bucket."""
    times = [i.proxy_node.quota_client.statistics.times[0] for i in ingresses]
    counts = [sum(column) for column in zip(*times, strict=True)]
    left = PERCENTILE * sum(counts)
    for edge, count in zip((*BUCKET_EDGES, BUCKET_EDGES[-1]), counts, strict=True):
        left -= count
        if left <= 0:
            return edge
    return BUCKET_EDGES[-1]
