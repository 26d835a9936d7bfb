"""Slopes and exponents of measurements at several sizes."""

from __future__ import annotations

import math
import operator
from collections.abc import Sequence
from typing import NamedTuple

from simulation.capacity.samples import Point

LEAST_POINTS = 3


class FitError(ValueError):
    """The measurements have too few sizes to fit a line."""


class Line(NamedTuple):
    """A straight line by least squares: `base` at size 0, `slope` for each unit of size.

    `certainty` is the fraction of the values' variance that it explains (R squared).
    """

    base: float
    slope: float
    certainty: float

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.base + self.slope * size

    def size_at(self, value: float) -> float | None:
        """Return the size at which the line reaches a value; None if it doesn't grow."""
        return (value - self.base) / self.slope if self.slope > 0 else None


def line(points: Sequence[Point]) -> Line:
    """Fit a line to points, weighted by the inverse of their sizes so that small sizes count as well."""
    _check(points)
    sizes = [float(point.size) for point in points]
    values = [float(point.value) for point in points]
    least = min([1.0, *(size for size in sizes if size > 0)])
    base, slope = _least_squares(sizes, values, [1.0 / max(size, least) for size in sizes])
    mean = math.fsum(values) / len(values)
    left = math.fsum((base + slope * size - value) ** 2 for size, value in zip(sizes, values, strict=True))
    total = math.fsum((value - mean) ** 2 for value in values)
    return Line(base, slope, max(0.0, 1 - left / total) if total else 1.0)


def exponent(points: Sequence[Point]) -> float | None:
    """Return the exponent of the values' growth with size; None if a value or size isn't positive."""
    _check(points)
    if any(point.size <= 0 or point.value <= 0 for point in points):
        return None
    sizes = [math.log(point.size) for point in points]
    values = [math.log(point.value) for point in points]
    return _least_squares(sizes, values, [1.0] * len(points))[1]


def _least_squares(
    sizes: Sequence[float], values: Sequence[float], weights: Sequence[float]
) -> tuple[float, float]:
    """Return base and slope of the weighted line, in closed form, so that all processors give equal digits.

    Equal values have a slope of exactly 0, which a solver of linear equations misses by rounding errors.
    """
    if min(values) == max(values):
        return values[0], 0.0
    total = math.fsum(weights)
    mean_size = math.fsum(map(operator.mul, weights, sizes)) / total
    mean_value = math.fsum(map(operator.mul, weights, values)) / total
    from_mean = [size - mean_size for size in sizes]
    spread = math.fsum(weight * each**2 for weight, each in zip(weights, from_mean, strict=True))
    together = math.fsum(
        weight * each * (value - mean_value)
        for weight, each, value in zip(weights, from_mean, values, strict=True)
    )
    slope = together / spread
    return mean_value - slope * mean_size, slope


def _check(points: Sequence[Point]) -> None:
    if len({p.size for p in points}) < LEAST_POINTS:
        raise FitError(f"expected {LEAST_POINTS} sizes or more, got {len(points)}")
