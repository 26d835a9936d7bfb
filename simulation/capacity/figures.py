"""Estimates at the size to design for, computed from the measurements along each axis."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from simulation.capacity import design, fit
from simulation.capacity.fleet import FleetSize
from simulation.capacity.growth import TOTAL
from simulation.capacity.meter import BACKENDS, REQUESTS, TIMERS
from simulation.capacity.samples import Point, Recording, RecordingError, Sample

USUAL = FleetSize()
REQUESTS_FLEET = 12
"""Ingresses of the fleets in which requests and tenants were varied."""
LEAST_CERTAINTY = 0.7
"""A figure counts as growing along an axis only if the R squared of its line is at least this."""
INGRESS = "ingress"
PROCESSOR = "processor"
MESSAGES: Final = ("agreement", "membership", "quota", BACKENDS)
WORK: Final = (TIMERS, REQUESTS, *MESSAGES)
"""Planes with messages, and all parts to which processor time is charged."""
FOLLOWS_AT_INGRESS: Final = {
    TIMERS: ("requests", "backends", "tenants"),
    REQUESTS: ("requests", "tenants"),
    "agreement": (),
    "membership": ("backends",),
    "quota": ("requests", "tenants"),
    BACKENDS: (),
}
FOLLOWS_AT_CONTROLLER: Final = {
    TIMERS: ("backends", "tenants"),
    REQUESTS: (),
    "agreement": (),
    "membership": ("backends",),
    "quota": ("requests", "tenants"),
    BACKENDS: ("backends",),
}
"""The axes, besides ingresses, along which a plane's work can grow according to its code. Changes along other
axes are noise, which a line would extrapolate far beyond the measurements."""
RECEIVED = "received"
SENT = "sent"


class Part(NamedTuple):
    """The contribution of an axis to an estimate, between the measured size and the size to design for."""

    axis: str
    measured: float
    wanted: float
    added: float


class Estimate(NamedTuple):
    """An estimate at the size to design for, and its parts."""

    value: float
    parts: tuple[Part, ...]

    def breakdown(self, scale: float = 1.0) -> str:
        """Return the parts as text, as in `ingresses 0.4 + requests 0.5`."""
        return " + ".join(
            f"{part.axis} {number(part.added * scale)}"
            for part in self.parts
            if part.added > 0.005 * abs(self.value)
        )


class Figures:
    """All recordings, by axis."""

    def __init__(self, recordings: Mapping[str, Recording]) -> None:
        self.recordings = recordings

    def series(self, axis: str, figure: str) -> list[Point]:
        """Return the points of a figure along an axis, from all recordings, by size."""
        points = [point for r in self.recordings.values() for point in r.series(axis, figure)]
        return sorted(points, key=lambda p: p.size)

    def names(self, axis: str) -> list[str]:
        """Return all figures along an axis."""
        return list(dict.fromkeys(name for r in self.recordings.values() for name in r.figures(axis)))

    def samples(self, axis: str) -> list[Sample]:
        """Return all samples along an axis."""
        return [s for r in self.recordings.values() for s in r.samples if s.axis == axis]

    def line(self, axis: str, figure: str) -> fit.Line:
        """Return the line through a figure's points. Raises RecordingError if there are too few sizes."""
        try:
            return fit.line(self.series(axis, figure))
        except fit.FitError as error:
            raise RecordingError(f"{axis}: {figure}: {error}") from error

    def last(self, axis: str, figure: str) -> float:
        """Return a figure at the largest measured size."""
        points = self.series(axis, figure)
        if not points:
            raise RecordingError(f"{axis}: {figure} was not measured")
        return points[-1].value

    def at_design(self, axis: str, figure: str, size: float) -> float:
        """Return a figure at a size: the measurement if there is one, else the value of the line."""
        for point in self.series(axis, figure):
            if point.size == size:
                return point.value
        return self.line(axis, figure).at(size)

    # Estimates of a role over all axes.

    def estimate(self, role: str, plane: str, what: str) -> Estimate:
        """Return a role's figure per second (`processor`, `received: bytes`, ...), for one or all planes."""
        if plane == TOTAL:
            planes = WORK if what == PROCESSOR else MESSAGES
            return together(self.estimate(role, each, what) for each in planes)
        figure = f"{role}: {plane}: {what}" if what == PROCESSOR else f"{role}: {plane}: {TOTAL} {what}"
        if not self.series("ingresses", figure):
            return Estimate(0.0, ())
        base = self.at_design("ingresses", figure, design.INGRESSES)
        parts = [Part("ingresses", USUAL.ingresses, design.INGRESSES, base)]
        for axis, measured, wanted, scale in self._axes(role, plane):
            if self.series(axis, figure):
                added = self._added(axis, figure, measured * scale, wanted * scale)
                parts.append(Part(axis, measured, wanted, added))
        return Estimate(sum(part.added for part in parts), tuple(parts))

    def _added(self, axis: str, figure: str, measured: float, wanted: float) -> float:
        """Return the growth of a figure along an axis.

        Taken from the measurement at the size to design for, else from the line if it fits the measurements.
        """
        points = self.series(axis, figure)
        line = self.line(axis, figure)
        if points[-1].size >= wanted:
            return max(0.0, points[-1].value - points[0].value)
        return max(0.0, line.slope) * (wanted - measured) if line.certainty >= LEAST_CERTAINTY else 0.0

    def both_ways(self, role: str, plane: str, what: str) -> Estimate:
        """Return messages or bytes, sent and received."""
        return together(self.estimate(role, plane, f"{way}: {what}") for way in (SENT, RECEIVED))

    def sockets(self, role: str) -> Estimate:
        """Return the processor time of system calls for all messages of a role, per second."""
        each = self.series("bytes of a datagram", "processor time of a datagram, sent and received")
        cost = each[0].value / 2  # for one of the two ends
        return scaled(self.both_ways(role, TOTAL, "messages"), cost)

    def _axes(self, role: str, plane: str) -> list[tuple[str, float, float, float]]:
        """Return the other axes on which a plane's work depends.

        Each with the size of the usual fleet, the size to design for, and the factor by which both become
        sizes of that axis. Requests are those of one ingress, or all of them.
        """
        one = role == INGRESS
        usual = USUAL.requests * (1 if one else design.INGRESSES)
        wanted = design.REQUESTS_PER_INGRESS if one else float(design.REQUESTS_PER_S)
        axes = {
            "requests": (usual, wanted, REQUESTS_FLEET if one else 1.0),
            "backends": (USUAL.backends, design.BACKENDS, 1.0),
            "tenants": (USUAL.tenants, design.TENANTS, 1.0),
        }
        follows = FOLLOWS_AT_INGRESS if one else FOLLOWS_AT_CONTROLLER
        return [(axis, *axes[axis]) for axis in follows[plane]]


def together(estimates: Iterable[Estimate]) -> Estimate:
    """Return the sum of estimates, by axis."""
    parts: dict[str, Part] = {}
    for estimate in estimates:
        for part in estimate.parts:
            known = parts.get(part.axis)
            parts[part.axis] = part if known is None else part._replace(added=known.added + part.added)
    return Estimate(sum(part.added for part in parts.values()), tuple(parts.values()))


def scaled(estimate: Estimate, factor: float) -> Estimate:
    """Return an estimate in another unit."""
    parts = tuple(part._replace(added=part.added * factor) for part in estimate.parts)
    return Estimate(estimate.value * factor, parts)


def number(value: float) -> str:
    """Format a figure for the page: three digits, with commas from a thousand on."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        digits = len(str(int(abs(value)))) - 3
        return f"{round(value, -digits):,.0f}"
    return f"{value:.3g}"


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a markdown table, followed by an empty line."""
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    return [*lines, *("| " + " | ".join(row) + " |" for row in rows), ""]
