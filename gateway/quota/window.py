"""The fixed windows of a tenant's count."""

from __future__ import annotations

import math
from typing import NamedTuple

MIN_WINDOW_S = 0.5
# Share of the rate that a tenant without a burst gets in the long run; the rest is a margin for local shares.
STEADY_RATE_FRACTION = 0.96


class Window(NamedTuple):
    """Fixed windows of `length_s` seconds with `allowance` units each."""

    length_s: float
    allowance: float


def plan(rate: float, burst: float, span_s: float) -> Window | None:
    """Choose windows that allow `rate` per second in the long run, and `rate` x span + `burst` in any span.

    If the burst is one n-th of `rate` x span, the windows are burst / rate long and allow the burst. They are
    at least half a second long and allow at least one unit; the tolerance of the rule QUOTA covers both
    minimums.

    Returns:
        None if there is no limit.
    """
    if rate <= 0:
        return None
    most = math.ceil(span_s / MIN_WINDOW_S)
    spans = min(most, math.ceil(span_s * rate / burst)) if burst > 0 else most
    allowance = max((rate * span_s + burst) / (spans + 1), STEADY_RATE_FRACTION * rate * MIN_WINDOW_S, 1.0)
    return Window(max(allowance / rate, MIN_WINDOW_S), allowance)
