"""Statistics of a quota client's decisions and of their latency, since its process started."""

from __future__ import annotations

from bisect import bisect_right
from enum import IntEnum

from gateway.quota.protocol import LOWEST_PRECEDENCE


class DecisionKind(IntEnum):
    """How a request was decided."""

    ADMITTED_BY_OWNER = 0
    ADMITTED_BY_SHARE = 1
    REJECTED_BY_OWNER = 2
    REJECTED_LOCALLY = 3  # after the owner reported that nothing is left in the window
    SHARE_EXHAUSTED = 4  # the owner didn't decide, and the local share is exhausted or missing


DECISION_LABELS = ("holder", "share", "over", "unasked", "short")
"""Names of the decision kinds in reports and metrics."""

LATENCY_LABELS = ("holder", "share", "refused")
"""Groups of decisions whose latencies are reported together."""

LATENCY_GROUPS = (0, 1, 2, 2, 2)
"""For each decision kind, the index of its group in `LATENCY_LABELS`."""

BUCKET_EDGES = tuple(0.00025 * 2 ** (k / 4) for k in range(41))
"""Upper bounds of the histogram's buckets in seconds: 0.25 ms to 256 ms, each 19% above the previous one.

One more bucket contains all greater times.
"""


class DecisionStatistics:
    """Counters that never decrease.

    `decided` maps a tenant and precedence to a counter for each `DecisionKind`. `times` and `seconds`
    contain, for each of `LATENCY_LABELS`, the histogram and the sum of decision times.
    """

    def __init__(self) -> None:
        self.decided: dict[tuple[str, int], list[int]] = {}
        self.times = [[0] * (len(BUCKET_EDGES) + 1) for _ in LATENCY_LABELS]
        self.seconds = [0.0] * len(LATENCY_LABELS)
        self.refunded = 0  # units

    def count(self, kind: DecisionKind, tenant: str, precedence: int, waited_s: float) -> None:
        """Count a request that was decided after `waited_s` seconds."""
        key = tenant, precedence if precedence < LOWEST_PRECEDENCE else LOWEST_PRECEDENCE
        counts = self.decided.get(key)
        if counts is None:
            counts = [0] * len(DECISION_LABELS)
            self.decided[key] = counts
        counts[kind] += 1
        group = LATENCY_GROUPS[kind]
        self.times[group][bisect_right(BUCKET_EDGES, waited_s)] += 1
        self.seconds[group] += waited_s
