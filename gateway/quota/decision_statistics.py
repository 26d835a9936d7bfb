"""Statistics of a quota client's decisions, and of the time they took, since its process started."""

from __future__ import annotations

from bisect import bisect_right

from gateway.quota.interface import LOWEST_PRECEDENCE

HOLDER, SHARE, OVER, REFUSED_LOCALLY, SHARE_EXHAUSTED = range(5)
DECISION_KINDS = ("holder", "share", "over", "unasked", "short")
"""Kinds of decision: admitted by the shard owner, or by the local share; refused by the owner, locally after
the owner's verdict that nothing is left in the window, or because the share is exhausted or missing."""

SPLIT = ("holder", "share", "refused")
SPLIT_OF = (0, 1, 2, 2, 2)
EDGES = tuple(0.00025 * 2 ** (k / 4) for k in range(41))
"""Bounds of the histogram's buckets in seconds: 0.25 ms to 256 ms, each 19% above the one before. A bucket
holds the times below its edge; the last bucket, which has no edge, those beyond all."""


class DecisionStatistics:
    """Counters that only grow.

    `decided` has, by tenant and precedence, a counter for each of `DECISION_KINDS`; `times` and `seconds`
    have, for each of `SPLIT`, the histogram of decision times and the sum of these times.
    """

    def __init__(self) -> None:
        self.decided: dict[tuple[str, int], list[int]] = {}
        self.times = [[0] * (len(EDGES) + 1) for _ in SPLIT]
        self.seconds = [0.0] * len(SPLIT)
        self.back = 0  # units refunded

    def count(self, way: int, tenant: str, precedence: int, waited: float) -> None:
        """Count a request that was decided as `way`, an index of `DECISION_KINDS`, after `waited` seconds."""
        key = tenant, precedence if precedence < LOWEST_PRECEDENCE else LOWEST_PRECEDENCE
        counts = self.decided.get(key)
        if counts is None:
            counts = self.decided[key] = [0] * len(DECISION_KINDS)
        counts[way] += 1
        split = SPLIT_OF[way]
        self.times[split][bisect_right(EDGES, waited)] += 1
        self.seconds[split] += waited
