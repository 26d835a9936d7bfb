"""The fixed windows of a tenant's count, and numbers for labels and attempts."""

from __future__ import annotations

import math
import zlib
from hashlib import blake2b
from typing import NamedTuple

MIN_WINDOW_S = 0.5  # shortest window
STEADY_RATE_FRACTION = (
    0.96  # of the rate that a tenant without a burst gets in the long run, for the sake of shares
)


class Window(NamedTuple):
    """Fixed windows of `length_s` with `allowance` units each."""

    length_s: float
    allowance: float


def plan(rate: float, burst: float, span_s: float) -> Window | None:
    """The windows that allow `rate` a second in the long run, and `rate` x span + `burst` in any span.

    With a burst of `rate` x the span's n-th part they are burst / rate long and allow the burst. They are at
    least half a second long and allow at least one unit, which the rule's excess and slack cover. None means
    that there is no limit.
    """
    if rate <= 0:
        return None
    most = math.ceil(span_s / MIN_WINDOW_S)
    spans = min(most, math.ceil(span_s * rate / burst)) if burst > 0 else most
    allowance = max((rate * span_s + burst) / (spans + 1), STEADY_RATE_FRACTION * rate * MIN_WINDOW_S, 1.0)
    return Window(max(allowance / rate, MIN_WINDOW_S), allowance)


def tenant_number(label: str) -> int:
    """A label's number in messages, 32 bits; its lowest six are the shard."""
    return zlib.crc32(label.encode())


def attempt_number(attempt_id: str) -> int:
    """An `Attempt-Id` as a number of 64 bits; one that isn't 16 hex digits is hashed."""
    if len(attempt_id) == 16:
        try:
            return int(attempt_id, 16) & 0xFFFFFFFFFFFFFFFF
        except ValueError:
            pass
    return int.from_bytes(blake2b(attempt_id.encode(), digest_size=8).digest(), "little")
