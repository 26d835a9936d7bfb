"""The budget: allowed and estimated figures at the size to design for, and the mechanisms behind them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from gateway.cli.status_client import MAX_BODY_BYTES
from gateway.programs.paths import LEASES, STATUS
from gateway.quota.client_registry import MAX_CLIENTS
from gateway.runtime.tcp_links import MAX_OUTBOUND_LINKS, OUTBOUND_IDLE_S
from simulation.capacity import design, programs, remedies
from simulation.capacity.figures import Estimate, Figures, Part, scaled, together
from simulation.capacity.growth import TOTAL

INGRESS = "ingress"
LEADER = "leader"
CONTROLLER = "controller"
TOOLS = "operators' tools"
CHANGES_PER_S: Final = design.CHANGES_PER_DAY / design.SECONDS_PER_DAY
LINK_BYTES_PER_S: Final = 125e6
"""Of a controller's network link of 1 Gbit/s, which is assumed."""
LATE_CHARGE: Final = "one core, 4 + 3: charge in region 2, 99th percentile"
"""How long a request waits for its charge today, in the study of regions."""
LATE_SHARE: Final = 0.01


@dataclass(frozen=True)
class BudgetLine:
    """A line of the budget, in `unit`. `mechanism` causes the figure, `cause` identifies its remedy."""

    role: str
    plane: str
    name: str
    unit: str
    budget: float
    estimate: Estimate
    mechanism: str
    cause: str

    @property
    def ratio(self) -> float:
        """The estimate as a multiple of the budget."""
        return self.estimate.value / self.budget

    @property
    def is_within_budget(self) -> bool:
        """Whether the estimate is within the budget."""
        return self.ratio <= 1.0

    def fails_at(self) -> tuple[str, float] | None:
        """Return the axis with the largest share, and the size along it at which the budget is used up.

        None if no axis makes it grow. The other axes stay at the size to design for.
        """
        growing = [p for p in self.estimate.parts if p.added > 0 and p.wanted > p.measured]
        if not growing:
            return None
        part = max(growing, key=lambda p: p.added)
        slope = part.added / (part.wanted - part.measured)
        return part.axis, part.wanted + (self.budget - self.estimate.value) / slope


def lines(figures: Figures) -> list[BudgetLine]:
    """Return all lines by role."""
    return [
        *_ingress(figures),
        *_ingress_changes(figures),
        *_controllers(figures),
        *_limits(figures),
        *_tools(figures),
    ]


def gaps(found: list[BudgetLine], most: int = 3) -> list[list[BudgetLine]]:
    """Return the lines beyond their budget by cause, the largest first within and among causes."""
    causes: dict[str, list[BudgetLine]] = {}
    for line in sorted(found, key=lambda each: -each.ratio):
        if not line.is_within_budget:
            causes.setdefault(line.cause, []).append(line)
    return list(causes.values())[:most]


def _steady_processor(
    f: Figures, role: str, planes: dict[str, tuple[str, str]], core: float, cause: str
) -> Iterator[BudgetLine]:
    """Return a role's processor time in % of a core: by plane (mechanism, cause), system calls, total."""
    measure = "processor time"
    unit = "% of a core"
    for plane, (mechanism, plane_cause) in planes.items():
        estimate = scaled(f.estimate(role, plane, "processor"), 100.0)
        yield BudgetLine(role, plane, measure, unit, core, estimate, mechanism, plane_cause)
    sockets = scaled(f.sockets(role), 100.0)
    mechanism = "a datagram each, and a wake-up each"
    yield BudgetLine(
        role, "all", f"{measure} of system calls", unit, core, sockets, mechanism, remedies.CHARGES
    )
    total = together([scaled(f.estimate(role, TOTAL, "processor"), 100.0), sockets])
    yield BudgetLine(role, "all", f"{measure}, steady", unit, core, total, "all of these", cause)


def _ingress(f: Figures) -> Iterator[BudgetLine]:
    core = 100 * design.INGRESS_CORE_SHARE
    planes = {
        "timers": ("its timers, which look at every backend and tenant", remedies.SCANS),
        "membership": ("heartbeats to each controller, shuffled views", remedies.FOLLOWERS),
        "quota": ("verdicts and client heartbeats", remedies.CHARGES),
        "requests": ("a charge for each request", remedies.CHARGES),
    }
    yield from _steady_processor(f, INGRESS, planes, core, remedies.SCANS)
    for plane, cause in (
        ("membership", remedies.FOLLOWERS),
        ("quota", remedies.CHARGES),
        (TOTAL, remedies.CHARGES),
    ):
        estimate = scaled(f.both_ways(INGRESS, plane, "bytes"), 1e-3)
        yield BudgetLine(
            INGRESS,
            plane,
            "bytes sent and received",
            "KB/s",
            design.INGRESS_BYTES_PER_S / 1e3,
            estimate,
            "datagrams with their headers",
            cause,
        )
    added = f.samples("regions")
    late = max((s.middle for s in added if s.figure == LATE_CHARGE), default=0.0)
    yield BudgetLine(
        INGRESS,
        "quota",
        "time that the charge adds, 99th percentile",
        "ms",
        design.ADDED_MS,
        _fixed(1e3 * late),
        "the charge is awaited before the request goes on",
        remedies.WAITS,
    )


def _ingress_changes(f: Figures) -> Iterator[BudgetLine]:
    size = f.at_design("whole", "one route as an agreed value", design.TENANTS)
    tenants = design.TENANTS
    yield BudgetLine(
        INGRESS,
        "configuration",
        "bytes of 2,400 changes a day",
        "KB/s",
        design.INGRESS_BYTES_PER_S / 1e3,
        _by_tenants(size * CHANGES_PER_S / 1e3),
        "the whole agreed value with each change",
        remedies.CHANGES,
    )
    yield BudgetLine(
        INGRESS,
        "configuration",
        "bytes of one change within 13 s",
        "KB/s",
        design.INGRESS_BYTES_PER_S / 1e3,
        _by_tenants(size / design.APPLY_S / 1e3),
        "the whole agreed value with each change",
        remedies.CHANGES,
    )
    took = f.at_design("whole", "ingress: take up one route", tenants)
    yield BudgetLine(
        INGRESS,
        "configuration",
        "processor time of 2,400 changes a day",
        "% of a core",
        100 * design.INGRESS_CORE_SHARE,
        _by_tenants(100 * took * CHANGES_PER_S),
        "all entries are read, compared, compiled and hashed",
        remedies.CHANGES,
    )
    yield BudgetLine(
        INGRESS,
        "configuration",
        "requests that wait behind a take-up",
        "% of requests",
        100 * LATE_SHARE,
        _by_tenants(100 * took * CHANGES_PER_S),
        "one thread for requests and control",
        remedies.CHANGES,
    )
    yield _memory(f)
    yield _added_time(f)


def _added_time(f: Figures) -> BudgetLine:
    """Return the lines of real ingresses, with the largest number of tenants measured."""
    points = f.series(programs.AXIS, "added time, 99th percentile")
    first = points[0]
    last = points[-1]
    grown = Part("tenants", first.size, last.size, last.value - first.value)
    estimate = Estimate(last.value, (Part("process", 0, 0, first.value), grown))
    name = f"time added over loopback, 99th percentile, with {last.size:,.0f} tenants"
    return BudgetLine(
        INGRESS,
        "all",
        name,
        "ms",
        design.ADDED_MS,
        estimate,
        "one loop for requests and timers",
        remedies.SCANS,
    )


def _memory(f: Figures) -> BudgetLine:
    """Return the memory of a real ingress, by its tenants and its known backends."""
    line = f.line(programs.AXIS, "ingress: memory at its peak")
    backends = f.line("backends", "simulator: memory").slope * design.BACKENDS / HOLDERS_OF_BACKENDS
    parts = (
        Part("process", 0, 0, line.base),
        Part("backends", 0, design.BACKENDS, backends),
        Part("tenants", 0, design.TENANTS, line.slope * design.TENANTS),
    )
    return BudgetLine(
        INGRESS,
        "all",
        "memory at its peak",
        "MB",
        design.INGRESS_MEMORY_MB,
        Estimate(sum(part.added for part in parts), parts),
        "JSON as it came, typed view, matchers, digests, local shares",
        remedies.MEMORY,
    )


HOLDERS_OF_BACKENDS: Final = 6 + design.CONTROLLERS
"""Processes of the fleet in which backends were varied. Each knows all backends."""


def _controllers(f: Figures) -> Iterator[BudgetLine]:
    core = 100 * design.CONTROLLER_CORE_SHARE
    planes = {
        "timers": ("timers, which look at every backend, follower and tenant", remedies.SCANS),
        "agreement": ("heartbeats ten times a second between members", remedies.SCANS),
        "membership": ("answers to each follower's heartbeats", remedies.FOLLOWERS),
        "quota": ("a verdict for each charge", remedies.CHARGES),
        "backends": ("heartbeats of backends, without the reading of HTTP", remedies.HEARTBEATS),
    }
    for role in (LEADER, CONTROLLER):
        yield from _steady_processor(f, role, planes, core, remedies.CHARGES)
        both = scaled(f.both_ways(role, TOTAL, "bytes"), 1e-6)
        yield BudgetLine(
            role,
            "all",
            "bytes sent and received",
            "MB/s",
            LINK_BYTES_PER_S / 1e6,
            both,
            "datagrams with their headers; heartbeats over HTTP",
            remedies.CHARGES,
        )
    steps = ("decide one route", "encode one route", "digests after one route", "allowances")
    cost = sum(f.at_design("whole", f"controller: {step}", design.TENANTS) for step in steps)
    yield BudgetLine(
        LEADER,
        "configuration",
        "processor time of 2,400 changes a day",
        "% of a core",
        core,
        _by_tenants(100 * cost * CHANGES_PER_S),
        "the whole value is built, packed and hashed again",
        remedies.CHANGES,
    )
    size = f.at_design("whole", "one route as an agreed value", design.TENANTS)
    share = size * design.INGRESSES / design.CONTROLLERS / design.APPLY_S
    yield BudgetLine(
        CONTROLLER,
        "configuration",
        "bytes of one change within 13 s",
        "MB/s",
        LINK_BYTES_PER_S / 1e6,
        _by_tenants(share / 1e6),
        "the whole value to each ingress",
        remedies.CHANGES,
    )


def _limits(f: Figures) -> Iterator[BudgetLine]:
    """Return the limits in the sources that the size reaches; these aren't measured."""
    ingresses = float(design.INGRESSES)
    yield BudgetLine(
        CONTROLLER,
        "all",
        f"links within {OUTBOUND_IDLE_S:g} s, for messages beyond a datagram",
        "links",
        float(MAX_OUTBOUND_LINKS),
        _by_ingresses(ingresses / design.CONTROLLERS),
        "a kept TCP link to each ingress",
        remedies.LINKS,
    )
    yield BudgetLine(
        CONTROLLER,
        "quota",
        "ingresses that a shard owner remembers",
        "ingresses",
        float(MAX_CLIENTS),
        _by_ingresses(ingresses),
        "a record of each",
        remedies.CHARGES,
    )


def _tools(f: Figures) -> Iterator[BudgetLine]:
    answers = ((STATUS, "ingresses", design.INGRESSES), (LEASES, "backends", design.BACKENDS))
    for path, axis, size in answers:
        found = f.at_design(axis, f"tools: GET {path}: bytes", size)
        yield BudgetLine(
            TOOLS,
            "all",
            f"answer to GET {path}",
            "MB",
            MAX_BODY_BYTES / 1e6,
            Estimate(found / 1e6, (Part(axis, 0, size, found / 1e6),)),
            "one answer with all of them",
            remedies.TOOLS,
        )


def _fixed(value: float) -> Estimate:
    return Estimate(value, ())


def _by_tenants(value: float) -> Estimate:
    return Estimate(value, (Part("tenants", 0, design.TENANTS, value),))


def _by_ingresses(value: float) -> Estimate:
    return Estimate(value, (Part("ingresses", 0, design.INGRESSES, value),))
