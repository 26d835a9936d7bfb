"""Slopes and exponents of what was measured at several sizes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from proving.capacity.samples import Point

LEAST_POINTS = 3


class FitError(ValueError):
    """There are too few sizes to fit a line."""


class Line(NamedTuple):
    """A straight line by least squares: `base` at size 0, `slope` for each unit of size. `certainty` is the
    part of the values' variance that it explains (R squared)."""

    base: float
    slope: float
    certainty: float

    def at(self, size: float) -> float:
        """The line's value at a size."""
        return self.base + self.slope * size

    def size_at(self, value: float) -> float | None:
        """The size at which the line reaches a value; None if it doesn't grow."""
        return (value - self.base) / self.slope if self.slope > 0 else None


def line(points: Sequence[Point]) -> Line:
    """The line through points, each weighted by the inverse of its size so that small sizes count as well."""
    _check(points)
    sizes = np.array([p.size for p in points], dtype=float)
    values = np.array([p.value for p in points], dtype=float)
    weights = 1.0 / np.maximum(sizes, sizes[sizes > 0].min(initial=1.0))
    slope, base = np.polyfit(sizes, values, 1, w=np.sqrt(weights))
    left, all_of_it = np.sum((base + slope * sizes - values) ** 2), np.sum((values - values.mean()) ** 2)
    return Line(float(base), float(slope), max(0.0, float(1 - left / all_of_it)) if all_of_it else 1.0)


def exponent(points: Sequence[Point]) -> float | None:
    """The power of the size with which the values grow; None where a value or a size isn't positive."""
    _check(points)
    if any(p.size <= 0 or p.value <= 0 for p in points):
        return None
    sizes = np.log([p.size for p in points])
    values = np.log([p.value for p in points])
    return float(np.polyfit(sizes, values, 1)[0])


def _check(points: Sequence[Point]) -> None:
    if len({p.size for p in points}) < LEAST_POINTS:
        raise FitError(f"expected {LEAST_POINTS} sizes or more, got {len(points)}")
