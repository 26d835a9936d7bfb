"""Writes docs/CAPACITY.md from recordings."""

from __future__ import annotations

from collections.abc import Mapping

from simulation.capacity import design, former_names, remedies, sections
from simulation.capacity.budget import BudgetLine, gaps, lines
from simulation.capacity.figures import LEAST_CERTAINTY, Figures, number, table
from simulation.capacity.samples import Recording

COMMAND = "python -m simulation capacity"


def page(recordings: Mapping[str, Recording]) -> str:
    """Return the whole page."""
    figures = Figures(recordings)
    found = lines(figures)
    parts = [
        _head(recordings),
        _gaps(found),
        _budget(figures, found),
        sections.messages(figures),
        sections.configuration(figures),
        sections.real_programs(figures),
        sections.agreement(figures),
        sections.events(figures),
        sections.regions(figures),
        _runs(recordings),
        sections.not_measured(),
    ]
    return "\n".join(line for part in parts for line in part).rstrip() + "\n"


def _head(recordings: Mapping[str, Recording]) -> list[str]:
    return [
        "# Capacity",
        "",
        f"Made by `{COMMAND}` from the recordings in `docs/capacity`; `--from docs/capacity` makes it again "
        "without measuring.",
        *_to_measure_again(recordings),
        f"The size to design for: {design.INGRESSES} ingresses, {design.BACKENDS:,} backends in "
        f"{design.SERVICES} services, {design.REQUESTS_PER_S:,} requests a second, {design.ROUTES:,} routes, "
        f"{design.TENANTS:,} tenants, {design.REGIONS} regions with {design.ZONES} zones, "
        f"{design.CONTROLLERS} controllers, {design.CHANGES_PER_DAY:,} changes a day in force within "
        f"{design.APPLY_S:g} s.",
        "",
        "A figure at that size is measured there, or it is what was measured at smaller ones, continued by "
        f"a line through three sizes or more; where R squared is under {LEAST_CERTAINTY:g} it isn't taken to "
        "grow. Axes are varied one at a time and added up, so what grows with the product of two of them is "
        "told too low. An axis counts for a plane only if the plane's code follows it. Hollow fleets run the "
        "programs' state machines with real messages in one process; system calls are added by the cost of "
        "one datagram on loopback.",
        "",
    ]


def _to_measure_again(recordings: Mapping[str, Recording]) -> list[str]:
    """Return a note if recordings are older than remedies that change what they measured."""
    measured = {r.source.removesuffix(former_names.CHANGED_TREE) for r in recordings.values()}
    old = [f"`{source}`" for source in former_names.SOURCES if source in measured]
    if not old:
        return []
    quota = " and ".join(f"`{commit}`" for commit in former_names.QUOTA_FIXES)
    elections = " and ".join(f"`{commit}`" for commit in former_names.ELECTION_FIXES)
    return [
        f"**To be measured again**: recordings of the sources at {', '.join(old)} were measured before the "
        f"mends of quota ({quota}) and elections ({elections}) of the same day. Their "
        "former names of messages are translated here to the present ones.",
    ]


def _gaps(found: list[BudgetLine]) -> list[str]:
    known = remedies.load()
    out = ["## The three largest gaps", ""]
    for place, group in enumerate(gaps(found), 1):
        remedy = known[group[0].cause]
        worst = "; ".join(map(_over, group))
        out += [
            f"{place}. **{remedy.title}.** {worst}.",
            f"   Design: {remedy.design}",
            f"   Expected cost (not measured): {remedy.cost}",
            "",
        ]
    return out


def _over(line: BudgetLine) -> str:
    """Describe a line beyond its budget in a few words."""
    return (
        f"{line.role}, {line.plane}: {line.name} {number(line.estimate.value)} {line.unit} of "
        f"{number(line.budget)} ({number(line.ratio)} times)"
    )


def _budget(figures: Figures, found: list[BudgetLine]) -> list[str]:
    known = remedies.load()
    out = [
        "## Budget",
        "",
        "Where it fails: the axis that weighs most, at the size at which the budget is used up while all "
        "others are at the size to design for; none if they alone use it up.",
        "",
        _uneven(figures),
        "",
        *_lost(figures),
    ]
    head = (
        "plane",
        "line",
        "budget",
        "figure",
        "held",
        "of which",
        "mechanism",
        "fails at",
        "to be replaced by",
    )
    for role in dict.fromkeys(line.role for line in found):
        rows = [_row(line, known) for line in found if line.role == role]
        out += [f"### {role.capitalize()}", "", *table(head, rows)]
    return out


def _uneven(figures: Figures) -> str:
    """Return how unevenly the counts were distributed in these runs."""
    leader, other = (
        figures.last("requests", f"{role}: quota: charge received: messages")
        for role in ("leader", "controller")
    )
    share = leader / (leader + (design.CONTROLLERS - 1) * other)
    return (
        "In the fleets in which requests were varied the leader, by the cut of tenants over controllers, "
        f"held the counts of {share:.0%} of all charges (an even part is {1 / design.CONTROLLERS:.0%}); "
        "which controller has the most is chance."
    )


def _lost(figures: Figures) -> list[str]:
    """Return a note on messages that found no link, if there were any."""
    found = {
        role: figures.series("ingresses", f"{role}: lost for want of a link: messages")
        for role in ("leader", "controller")
    }
    parts = [
        f"{number(points[-1].value)} a second at the {role} with {number(points[-1].size)} ingresses"
        for role, points in found.items()
        if points and points[-1].value
    ]
    return [f"Values that found no link and were asked for again: {', '.join(parts)}.", ""] if parts else []


def _row(line: BudgetLine, known: Mapping[str, remedies.Remedy]) -> tuple[str, ...]:
    budget = f"{number(line.budget)} {line.unit}"
    value = number(line.estimate.value)
    return (
        line.plane,
        line.name,
        budget,
        value,
        "yes" if line.is_within_budget else "**no**",
        line.estimate.breakdown(),
        line.mechanism,
        _fails_at(line),
        known[line.cause].short,
    )


def _fails_at(line: BudgetLine) -> str:
    found = line.fails_at()
    if found is None:
        return "any size" if not line.is_within_budget else "doesn't grow"
    axis, size = found
    return f"{number(size)} {axis}" if size > 0 else f"without {axis} too"


def _runs(recordings: Mapping[str, Recording]) -> list[str]:
    head = ("study", "command", "date", "source", "seconds", "machine", "spread, largest and median")
    rows = [
        (r.study, f"`{r.command}`", r.date, r.source, number(r.seconds), r.machine, sections.spread(r))
        for r in recordings.values()
    ]
    return [
        "## The runs",
        "",
        "Spread is half of the range of the repetitions, as a part of their median. "
        "Source with a plus: the sources differed from that commit.",
        "",
        *table(head, rows),
    ]
