"""How a quota client's requests were decided, and the time that took, since its process began."""

from __future__ import annotations

from bisect import bisect_right

from gateway.quota.interface import LOWEST_PRECEDENCE

HOLDER, SHARE, OVER, REFUSED_LOCALLY, SHARE_EXHAUSTED = range(5)
DECISION_KINDS = ("holder", "share", "over", "unasked", "short")
"""Let go by the holder or by the share; refused by the holder, after its answer that nothing is left, or as the
share has none left."""

SPLIT = ("holder", "share", "refused")
SPLIT_OF = (0, 1, 2, 2, 2)
EDGES = tuple(0.00025 * 2 ** (k / 4) for k in range(41))
"""Seconds between buckets of time: 0.25 ms to 256 ms, each 19% more; a bucket is below its edge, the last one
beyond all."""


class DecisionStatistics:
    """Counts that only grow. `decided` is by tenant and precedence a count for each of `WAYS`; `times` and
    `seconds` are for each of `SPLIT` the counts by bucket and their sum."""

    def __init__(self) -> None:
        self.decided: dict[tuple[str, int], list[int]] = {}
        self.times = [[0] * (len(EDGES) + 1) for _ in SPLIT]
        self.seconds = [0.0] * len(SPLIT)
        self.back = 0  # units given back

    def count(self, way: int, tenant: str, precedence: int, waited: float) -> None:
        """A request was decided after so many seconds."""
        key = tenant, precedence if precedence < LOWEST_PRECEDENCE else LOWEST_PRECEDENCE
        counts = self.decided.get(key)
        if counts is None:
            counts = self.decided[key] = [0] * len(DECISION_KINDS)
        counts[way] += 1
        split = SPLIT_OF[way]
        self.times[split][bisect_right(EDGES, waited)] += 1
        self.seconds[split] += waited
