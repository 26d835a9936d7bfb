"""The sections of the page with measurements, without comparison to a budget."""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median

from gateway.runtime.tcp_links import MAX_OUTBOUND_LINKS
from simulation.capacity import design, fit, growth, programs, restarts
from simulation.capacity.agreement import CUT_AXIS, LATENCY_AXIS
from simulation.capacity.figures import LEAST_CERTAINTY, Figures, number, table
from simulation.capacity.regions import AXIS as REGIONS_AXIS
from simulation.capacity.regions import DESIGNS
from simulation.capacity.samples import Point, Recording

LEAST_MESSAGES = 0.5
"""Kinds with fewer messages per second in the largest fleet aren't shown."""


def spread(recording: Recording) -> str:
    """Return the largest and the median spread of a recording's figures."""
    spreads = [s.spread for s in recording.samples if len(s.values) > 1]
    return f"{max(spreads):.0%}, {median(spreads):.0%}" if spreads else "one run"


def source(figures: Figures, studies: Iterable[str]) -> str:
    """Return the runs behind a table, with their dates and the median of their spread."""
    known = [figures.recordings[name] for name in studies if name in figures.recordings]
    parts = [f"`{r.command}`, {r.date}, spread (largest, median) {spread(r)}" for r in known]
    return "From " + "; ".join(parts) + "."


def messages(figures: Figures) -> list[str]:
    """Return messages and bytes by role, plane and kind, as the fleet grows."""
    out = [
        "## Messages of a hollow fleet",
        "",
        "A second, at one process; 4 requests a second at each ingress, 60 backends, 20 tenants. Sizes "
        "are ingresses. The exponent is the power of the number of ingresses.",
        "",
        source(figures, ("ingresses", "ingresses-910")),
        "",
    ]
    for role in ("ingress", "leader", "controller"):
        rows = []
        for name in sorted(figures.names("ingresses")):
            if not name.startswith(f"{role}: ") or not name.endswith(
                (" sent: messages", " received: " "messages")
            ):
                continue
            points = figures.series("ingresses", name)
            if len(points) >= fit.LEAST_POINTS and points[-1].value >= LEAST_MESSAGES:
                sizes = figures.series("ingresses", name.replace("messages", "bytes"))
                _, plane, what = name.removesuffix(": messages").split(": ")
                rows.append((plane, what, along(points), along(sizes), power(points)))
        out += [
            f"### {role.capitalize()}",
            "",
            *table(("plane", "kind", "messages", "bytes", "exponent"), rows),
        ]
    return out + _processor(figures)


def _processor(figures: Figures) -> list[str]:
    out = [
        "### Processor time",
        "",
        "Milliseconds a second, at one process, along each axis.",
        "",
        source(figures, (*growth.AXES,)),
        "",
    ]
    rows = []
    for axis in ("ingresses", "backends", "requests", "tenants", "controllers"):
        for name in figures.names(axis):
            points = [Point(p.size, 1000 * p.value) for p in figures.series(axis, name)]
            wanted = name.endswith(": processor") and not name.startswith("tools")
            if wanted and len(points) >= fit.LEAST_POINTS:
                rows.append(
                    (
                        axis,
                        name.removesuffix(": processor"),
                        along(points),
                        number(fit.line(points).slope),
                        power(points),
                    )
                )
    return [*out, *table(("axis", "role and plane", "ms a second", "slope", "exponent"), rows)]


def configuration(figures: Figures) -> list[str]:
    """Return the cost of a configuration by its size, in total and for one change."""
    out = [
        "## Configuration",
        "",
        f"Along `whole` routes, tenants and services grow together, up to {design.ROUTES:,}, "
        f"{design.TENANTS:,} and {design.SERVICES}; sizes are tenants. Along `routes` there are 100 "
        f"tenants, along `tenants` 100 routes, {design.SERVICES} services with both.",
        "",
        source(figures, ("configuration-routes", "configuration-tenants", "configuration-whole")),
        "",
    ]
    rows = []
    for axis in ("whole", "routes", "tenants"):
        for name in figures.names(axis):
            points = figures.series(axis, name)
            if len(points) >= fit.LEAST_POINTS and (axis == "whole" or not name.startswith("ingress, ")):
                unit = next(s.unit for s in figures.samples(axis) if s.figure == name)
                rows.append((axis, name, unit, along(points), f"{fit.line(points).slope:.3g}", power(points)))
    return [*out, *table(("axis", "figure", "unit", "at the sizes", "slope", "exponent"), rows)]


def real_programs(figures: Figures) -> list[str]:
    """Return the measurements of the real programs over loopback."""
    out = [
        "## Real programs",
        "",
        "Three controllers, three ingresses and two backends as processes over loopback; sizes are "
        "tenants, with a route for twenty of them. Requests come one at a time, each on a connection of "
        "its own, straight to a backend and through an ingress; added is the difference of "
        "both's percentiles.",
        "",
        source(figures, (programs.STUDY,)),
        "",
    ]
    rows = []
    for name in figures.names(programs.AXIS):
        points = figures.series(programs.AXIS, name)
        unit = next(s.unit for s in figures.samples(programs.AXIS) if s.figure == name)
        rows.append((name, unit, along(points), f"{fit.line(points).slope:.3g}"))
    return [*out, *table(("figure", "unit", "at the sizes", "slope"), rows)]


def agreement(figures: Figures) -> list[str]:
    """Return the latency of changes and the time without a leader."""
    out = [
        "## Agreement",
        "",
        "Seconds, simulated: disks that sync in 2 ms three times a save, links that lose nothing, "
        "processes that cost no time. An order is one changed route in a small configuration, one after "
        "the other; `until an order`: from the loss to the next acknowledgement.",
        "",
        source(figures, ("agreement",)),
        "",
    ]
    rows = [
        (number(s.size), s.figure, number(s.middle), number(max(s.values)), str(len(s.values)))
        for s in sorted(figures.samples(LATENCY_AXIS), key=lambda s: (s.figure, s.size))
    ]
    return [*out, *table(("members", "figure", "median", "worst", "of"), rows)]


def events(figures: Figures) -> list[str]:
    """Return a row for each event of a usual year."""
    axis = restarts.AXIS
    out = [
        "## Events",
        "",
        f"In hollow fleets with {restarts.TENANTS} tenants and {restarts.BACKENDS} backends; what is "
        f"beyond the usual within {restarts.WATCHED_S:g} s. A rack is {restarts.RACK} ingresses, a zone a "
        "sixth of the fleet with its controllers; a restart takes 1.05 s until the process begins. -1: "
        "some ingress was not ready, or did not have the change, within 40 s. What a start costs by the "
        "size of the configuration is in the table above (`take up a whole one`). Processor time beyond "
        "the usual is the difference of two windows: under 0.05 s it is noise.",
        "",
        source(figures, (restarts.STUDY, restarts.LARGE_STUDY)),
        "",
    ]
    rows = []
    for name in figures.names(axis):
        points = figures.series(axis, name)
        event, figure = name.split(": ", 1)
        unit = next(s.unit for s in figures.samples(axis) if s.figure == name)
        rows.append((event, figure, unit, along(points), _continued(points, unit)))
    out += table(("event", "figure", "unit", "at ingresses", f"line at {design.INGRESSES}"), rows)
    return out + _worked_out(figures) + _cut(figures)


def _continued(points: list[Point], unit: str) -> str:
    """Return a figure at the size to design for by its line; empty if the line fits badly."""
    if len(points) < fit.LEAST_POINTS:
        return ""
    line = fit.line(points)
    value = line.at(design.INGRESSES)
    if line.certainty < LEAST_CERTAINTY or value < 0:
        return ""
    if unit == "links" and value > MAX_OUTBOUND_LINKS:
        return f"{MAX_OUTBOUND_LINKS} (the limit)"
    return number(value)


def _worked_out(figures: Figures) -> list[str]:
    """Return the events at the size to design for, from the slopes above."""

    def at_full_size(name: str) -> float:
        return figures.at_design("whole", name, design.TENANTS)

    value = at_full_size("agreed value")
    change = at_full_size("one route as an agreed value")
    key = at_full_size("one key as an agreed value")
    apply_config = at_full_size("ingress: take up a whole one")
    one = at_full_size("ingress: take up one route")
    one_key = at_full_size("ingress: take up one key")
    zone = design.INGRESSES / design.ZONES
    rows = [
        ("restart of one ingress", number(value / 1e6), number(apply_config)),
        (f"restart of a rack ({restarts.RACK})", number(restarts.RACK * value / 1e6), number(apply_config)),
        (f"restart of a zone ({zone:.0f})", number(zone * value / 1e6), number(apply_config)),
        ("a change of one route", number(design.INGRESSES * change / 1e6), number(one)),
        ("a new key", number(design.INGRESSES * key / 1e6), number(one_key)),
    ]
    found = [
        "Worked out from the slopes: what the configuration alone costs at the size to design for.",
        "",
        *table(("event", "MB that controllers send", "s of processor time at each ingress"), rows),
    ]
    return found + _release(figures)


def _release(figures: Figures) -> list[str]:
    """Return the cost of a release of all services, from that of replacing one backend."""
    name = "release: bytes that controllers send beyond the usual"
    each = figures.line(restarts.AXIS, name).slope / restarts.BACKENDS
    spent = figures.last(restarts.AXIS, "release: processor time of an ingress beyond the usual")
    total = each * design.INGRESSES * design.BACKENDS
    processor = spent / restarts.BACKENDS * design.BACKENDS
    return [
        f"A release of {design.SERVICES} services replaces {design.BACKENDS:,} backends: by the slope of "
        f"{number(each)} bytes for a backend and an ingress, controllers send {number(total / 1e6)} MB "
        f"in all, and each ingress spends {number(processor)} s of processor time, however long the "
        "release takes.",
        "",
    ]


def _cut(figures: Figures) -> list[str]:
    """Return what each region can do during and after a partition of the regions."""
    out = [
        "### Regions cut off for five minutes",
        "",
        "4 members in region 1, 3 in region 2, traffic well within all allowances. Parts of the requests "
        "in the span that ends at that second, by who decided: the shard owner (`holder`), the "
        "ingress's local share (`share`), or none (`short`: no share left, refused).",
        "",
        source(figures, ("region-cut",)),
        "",
    ]
    samples = figures.samples(CUT_AXIS)
    spans = sorted({s.size for s in samples if s.figure.endswith(": holder")})
    rows = []
    for size in spans:
        here = {s.figure: s.middle for s in samples if s.size == size}
        rows.append(
            (
                f"{size:g}",
                *(
                    f"{here.get(f'region {n}: {way}', 0.0):.2f}"
                    for n in (1, 2)
                    for way in ("holder", "share", "short", "ready")
                ),
            )
        )
    head = ("until s", *(f"{n}: {way}" for n in (1, 2) for way in ("holder", "share", "short", "ready")))
    out += table(head, rows)
    others = [
        f"{s.figure}: {number(s.middle)} {s.unit}"
        for s in samples
        if s.figure.endswith("orders taken") or s.figure.startswith("after the cut")
    ]
    return [
        *out,
        "; ".join(others) + ". The last row is the time after the cut.",
        "",
        "Region 1 keeps the majority: it takes orders, hands out all counts after their leases are over, "
        "and serves as before. Region 2 serves within the local shares that its ingresses have, and nothing "
        "after those; its ingresses call themselves ready all the while, so clients are still led there. "
        "By the design, not simulated here: region 2 may not acknowledge that a backend leaves, and an "
        "ingress that begins anew there serves nobody until the cut ends.",
        "",
    ]


def regions(figures: Figures) -> list[str]:
    """Return the designs for two regions, with the simulated figures of each."""
    samples = figures.samples(REGIONS_AXIS)
    names = list(dict.fromkeys(s.figure.split(": ", 1)[1] for s in samples if "region 3" not in s.figure))
    known = {(int(s.size), s.figure.split(": ", 1)[1]): s for s in samples}
    rows = []
    for name in names:
        cells = [known.get((n, name)) for n in range(len(DESIGNS))]
        rows.append((name, *("" if c is None else f"{number(c.middle)} {c.unit}" for c in cells)))
    return [
        "## Two regions",
        "",
        source(figures, ("regions",)),
        "",
        "Percentiles are the upper edges of buckets 19% wide. With a core in each region nothing crosses, so "
        "a cut wasn't simulated.",
        "",
        *table(("simulated, 35 ms one way", *(d.name for d in DESIGNS)), rows),
        "- **One core, 4 + 3** (what stands today). Orders are agreed on in the larger region, so they are "
        "as fast as in one. Counts are cut over all members without regard to regions, so that about half "
        "of all charges cross; the cut-off half stops admitting once its shares are over, and the loss of "
        "the larger region stops orders and admission until its members are back.",
        "- **One core with a member in a third place**. Either region may be lost and orders go on, at a "
        "round trip between regions each. A cut between the two regions is no better for the smaller half's "
        "tenants than before, since shard owners are leased by one leader.",
        "- **A core in each region**. Charges and orders stay in the region, and a cut takes nothing from "
        "either half. Its price isn't in the simulation: a tenant's allowance has to be split between the "
        "two cores, so that what one side doesn't use is lost to the other until it is moved; QUOTA over "
        "both halves holds only if the parts add up to one allowance and are moved by leases that expire. "
        "And a change has to be taken by both cores, each with its own version: in force in one region "
        "first, and during a cut in one alone.",
        "",
        "Proposed: a core in each region for counts and backends, with each tenant's allowance split by its "
        "traffic of the last minutes and moved under leases; and for the configuration one core with a "
        "member in a third place, whose orders may take a round trip: 2,400 a day don't hurry. Expected, "
        "not measured.",
        "",
    ]


def not_measured() -> list[str]:
    """Return the limitations of the page."""
    return [
        "## Not measured",
        "",
        "- Real programs at the size to design for: their memory and start are continued from 22,000 "
        "tenants, and the time that they add was measured at a light load only.",
        "- The reading of HTTP for backends' heartbeats, and requests themselves: only their charges are "
        "here.",
        "- TCP links beyond their number and headers, and what a full link does to what waits.",
        f"- {design.BACKENDS:,} backends and {design.REQUESTS_PER_S:,} requests a second in one fleet: both "
        "are continued by lines, each from small fleets.",
        "- The daily 63 failures and 760 restarts together: a restart is measured by itself, on a quiet "
        "fleet.",
        "- `fleetbench sweep`: this command doesn't run it.",
        "",
    ]


def along(points: Iterable[Point]) -> str:
    """Return a figure at its sizes, as in `30: 1.2, 100: 1.4`."""
    return ", ".join(f"{number(p.size)}: {number(p.value)}" for p in points)


def power(points: list[Point]) -> str:
    """Return the exponent of a series; empty if it has none."""
    found = fit.exponent(points)
    return "" if found is None else f"{found:.2f}"
