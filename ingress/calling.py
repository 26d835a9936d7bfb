"""Sampling of the calls to the shared counter, adapted to how fast the counter answers."""

from __future__ import annotations

import random

from ingress import interface as io

# calls per request beyond which sure refusals make none; weight of a request
SAMPLING_THRESHOLD = 0.8
CALL_RATE_WEIGHT = 0.01
# Target of the mean wait for the counter, in timeouts, by which the call share is adapted.
TARGET_WAIT_RATIO = 0.3
CALL_SHARE_STEP = 0.1  # how fast the call share moves
NEED_FACTOR = 4.0  # factor on the call share for requests that would be refused without a call
# least call share; the same while the counter is down, and least in `part`
MIN_CALL_SHARE = 0.05
MIN_CALL_SHARE_DOWN = 0.2
# call share when the counter is back; factor on it after a miss
RECOVERY_CALL_SHARE = 0.5
MISS_FACTOR = 0.6
# Ingresses that may all call for each request, as assumed by one that has just started.
UNSAMPLED_INGRESSES = 8.0
OUTAGE_MISSES = 8  # misses in a row after which the counter counts as down, not just overloaded


class CounterCallPolicy:
    """The call share (the fraction of requests that call the counter), and whether the counter is down."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.timeout = settings.counter_timeout
        self.rng = rng
        self.initial_call_share = min(1.0, UNSAMPLED_INGRESSES / settings.instances)
        # call share, misses in a row, mean calls
        self.call_share = self.initial_call_share
        self.misses = 0
        self.calls_per_request = 1.0

    def counter_down(self) -> bool:
        """Whether the counter is taken to be down."""
        return self.misses >= OUTAGE_MISSES

    def sampling_active(self) -> bool:
        """Whether calls are scarce: a request that is sure to be refused makes none."""
        return self.call_share < 1 or self.calls_per_request > SAMPLING_THRESHOLD

    def counted_ratio(self) -> float:
        """The fraction of the requests' charges that a count is taken to contain where only some call."""
        return max(MIN_CALL_SHARE_DOWN, self.call_share)

    def should_call(self, need: float) -> bool:
        """Decide at random whether a request calls, by how much a verdict on it is needed (0 to 1)."""
        return self.rng.random() < self.draw_share(need)

    def draw_share(self, need: float) -> float:
        """The fraction of requests with such a need that call."""
        if self.misses >= OUTAGE_MISSES:
            return self.call_share
        return max(MIN_CALL_SHARE, self.call_share * self.call_share, NEED_FACTOR * self.call_share * need)

    def record_request(self) -> None:
        """Note a request that may call."""
        self.calls_per_request *= 1 - CALL_RATE_WEIGHT

    def record_call(self) -> None:
        """Note a call that charges a rate."""
        self.calls_per_request += CALL_RATE_WEIGHT

    def answers(self, e: io.CounterReply, acts: list[io.Action]) -> bool:
        """Adapt the call share to a reply; returns whether the counter has added the amount."""
        if e.outcome not in (io.Outcome.OK, io.Outcome.ERROR):
            least = MIN_CALL_SHARE if self.misses < OUTAGE_MISSES else MIN_CALL_SHARE_DOWN
            self.call_share = max(least, self.call_share * MISS_FACTOR)
            self.misses = self.misses + 1
            if self.misses == OUTAGE_MISSES:
                acts.append(io.Log("counter gives no answer: admitting by local shares"))
            return False
        self.call_share += CALL_SHARE_STEP * (TARGET_WAIT_RATIO - e.elapsed / self.timeout)
        if self.misses >= OUTAGE_MISSES:
            acts.append(io.Log(f"counter answers again after {self.misses} misses"))
        back = self.misses >= OUTAGE_MISSES
        self.call_share = (
            min(RECOVERY_CALL_SHARE, self.initial_call_share)
            if back
            else min(1.0, max(MIN_CALL_SHARE, self.call_share))
        )
        self.misses = 0
        return True
