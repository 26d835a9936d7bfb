"""Figures at the size to design for, put together from what was measured along each axis."""

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
"""R squared of a line, below which a figure isn't taken to grow along an axis."""
INGRESS = "ingress"
PROCESSOR = "processor"
MESSAGES: Final = ("agreement", "membership", "quota", BACKENDS)
WORK: Final = (TIMERS, REQUESTS, *MESSAGES)
"""Planes with messages, and all that processor time is charged to."""
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
"""The axes, beside ingresses, along which a plane's work can grow by what its code does. Along others a
change is noise, which a line would carry far beyond what was measured."""
RECEIVED = "received"
SENT = "sent"


class Part(NamedTuple):
    """What one axis adds to a figure: from the size that was measured to the size to design for."""

    axis: str
    measured: float
    wanted: float
    added: float


class Estimate(NamedTuple):
    """A figure at the size to design for, and how it came about."""

    value: float
    parts: tuple[Part, ...]

    def breakdown(self, scale: float = 1.0) -> str:
        """The parts, as `ingresses 0.4 + requests 0.5`."""
        return " + ".join(
            f"{part.axis} {number(part.added * scale)}"
            for part in self.parts
            if part.added > 0.005 * abs(self.value)
        )


class Figures:
    """All recordings, seen along axes."""

    def __init__(self, recordings: Mapping[str, Recording]) -> None:
        self.recordings = recordings

    def series(self, axis: str, figure: str) -> list[Point]:
        """The points of a figure along an axis, from all recordings, by size."""
        points = [point for r in self.recordings.values() for point in r.series(axis, figure)]
        return sorted(points, key=lambda p: p.size)

    def names(self, axis: str) -> list[str]:
        """All figures along an axis."""
        return list(dict.fromkeys(name for r in self.recordings.values() for name in r.figures(axis)))

    def samples(self, axis: str) -> list[Sample]:
        """All samples along an axis."""
        return [s for r in self.recordings.values() for s in r.samples if s.axis == axis]

    def line(self, axis: str, figure: str) -> fit.Line:
        """The line through a figure's points; RecordingError where it wasn't measured at enough sizes."""
        try:
            return fit.line(self.series(axis, figure))
        except fit.FitError as error:
            raise RecordingError(f"{axis}: {figure}: {error}") from error

    def last(self, axis: str, figure: str) -> float:
        """A figure at the largest size that was measured."""
        points = self.series(axis, figure)
        if not points:
            raise RecordingError(f"{axis}: {figure} was not measured")
        return points[-1].value

    def at_design(self, axis: str, figure: str, size: float) -> float:
        """A figure at a size: as measured there, else by its line."""
        for point in self.series(axis, figure):
            if point.size == size:
                return point.value
        return self.line(axis, figure).at(size)

    # What a role does, over all axes.

    def estimate(self, role: str, plane: str, what: str) -> Estimate:
        """A role's `processor`, `received: bytes` and so on, for a plane or all of them, a second."""
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
        """How much a figure grows along an axis.

        As measured at the size to design for, else by its line, where one explains what was measured.
        """
        points = self.series(axis, figure)
        line = self.line(axis, figure)
        if points[-1].size >= wanted:
            return max(0.0, points[-1].value - points[0].value)
        return max(0.0, line.slope) * (wanted - measured) if line.certainty >= LEAST_CERTAINTY else 0.0

    def both_ways(self, role: str, plane: str, what: str) -> Estimate:
        """Messages or bytes, sent and received."""
        return together(self.estimate(role, plane, f"{way}: {what}") for way in (SENT, RECEIVED))

    def sockets(self, role: str) -> Estimate:
        """Processor time of system calls for all messages of a role, a second."""
        each = self.series("bytes of a datagram", "processor time of a datagram, sent and received")
        cost = each[0].value / 2  # of one of both ends
        return scaled(self.both_ways(role, TOTAL, "messages"), cost)

    def _axes(self, role: str, plane: str) -> list[tuple[str, float, float, float]]:
        """The other axes that a plane's work follows.

        Size of the usual fleet, the one to design for, and by what both are multiplied to be sizes of that
        axis. Requests are an ingress's own, or all of them.
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
    """Estimates added up, axis by axis."""
    parts: dict[str, Part] = {}
    for estimate in estimates:
        for part in estimate.parts:
            known = parts.get(part.axis)
            parts[part.axis] = part if known is None else part._replace(added=known.added + part.added)
    return Estimate(sum(part.added for part in parts.values()), tuple(parts.values()))


def scaled(estimate: Estimate, factor: float) -> Estimate:
    """An estimate in another unit."""
    parts = tuple(part._replace(added=part.added * factor) for part in estimate.parts)
    return Estimate(estimate.value * factor, parts)


def number(value: float) -> str:
    """A figure for the page: three digits, with commas from a thousand on."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        digits = len(str(int(abs(value)))) - 3
        return f"{round(value, -digits):,.0f}"
    return f"{value:.3g}"


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Lines of a markdown table, with an empty one after it."""
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    return [*lines, *("| " + " | ".join(row) + " |" for row in rows), ""]
