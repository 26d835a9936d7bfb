"""Sampling of calls to the shared counter, adapted to the counter's response time."""

from __future__ import annotations

import random

from ingress import interface as io

SAMPLING_THRESHOLD = 0.8  # calls per request above which requests that will surely be rejected make none
CALL_RATE_WEIGHT = 0.01  # weight of a request in the moving average of calls per request
# The call share is adapted so that the mean wait for the counter is this fraction of the timeout.
TARGET_WAIT_RATIO = 0.3
CALL_SHARE_STEP = 0.1  # step size of the adaptation
NEED_FACTOR = 4.0  # multiplies the call share for requests that would be rejected without a call
MIN_CALL_SHARE = 0.05
MIN_CALL_SHARE_DOWN = 0.2  # minimum while the counter is down
RECOVERY_CALL_SHARE = 0.5  # maximum call share when the counter has recovered
MISS_FACTOR = 0.6  # multiplies the call share after a missed reply
# A newly started ingress assumes that this many ingresses may call for each request.
UNSAMPLED_INGRESSES = 8.0
OUTAGE_MISSES = 8  # consecutive misses after which the counter counts as down instead of overloaded


class CounterCallPolicy:
    """Determines the call share, the fraction of requests that call the counter, and whether it is down."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.timeout = settings.counter_timeout
        self.rng = rng
        self.initial_call_share = min(1.0, UNSAMPLED_INGRESSES / settings.instances)
        self.call_share = self.initial_call_share
        self.misses = 0  # consecutive missed replies
        self.calls_per_request = 1.0  # moving average

    def counter_down(self) -> bool:
        """Whether the counter is assumed to be down."""
        return self.misses >= OUTAGE_MISSES

    def sampling_active(self) -> bool:
        """Whether calls are scarce, so that a request that will surely be rejected makes none."""
        return self.call_share < 1 or self.calls_per_request > SAMPLING_THRESHOLD

    def counted_ratio(self) -> float:
        """The assumed fraction of charges that a count contains while only some requests call."""
        return max(MIN_CALL_SHARE_DOWN, self.call_share)

    def should_call(self, need: float) -> bool:
        """Decide at random whether a request calls; `need` (0 to 1) is how much a verdict on it is needed."""
        return self.rng.random() < self.draw_share(need)

    def draw_share(self, need: float) -> float:
        """The fraction of requests with this need that call."""
        if self.misses >= OUTAGE_MISSES:
            return self.call_share
        return max(MIN_CALL_SHARE, self.call_share * self.call_share, NEED_FACTOR * self.call_share * need)

    def record_request(self) -> None:
        """Record a request that may call."""
        self.calls_per_request *= 1 - CALL_RATE_WEIGHT

    def record_call(self) -> None:
        """Record a call that charges units to a rate quota."""
        self.calls_per_request += CALL_RATE_WEIGHT

    def on_reply(self, reply: io.CounterReply, actions: list[io.Action]) -> bool:
        """Adapt the call share to a reply; returns whether the counter has added the amount."""
        if reply.outcome not in (io.Outcome.OK, io.Outcome.ERROR):
            least = MIN_CALL_SHARE if self.misses < OUTAGE_MISSES else MIN_CALL_SHARE_DOWN
            self.call_share = max(least, self.call_share * MISS_FACTOR)
            self.misses = self.misses + 1
            if self.misses == OUTAGE_MISSES:
                actions.append(io.Log("counter does not answer: admitting by local shares"))
            return False
        self.call_share += CALL_SHARE_STEP * (TARGET_WAIT_RATIO - reply.elapsed / self.timeout)
        if self.misses >= OUTAGE_MISSES:
            actions.append(io.Log(f"counter answers again after {self.misses} misses"))
        has_recovered = self.misses >= OUTAGE_MISSES
        self.call_share = (
            min(RECOVERY_CALL_SHARE, self.initial_call_share)
            if has_recovered
            else min(1.0, max(MIN_CALL_SHARE, self.call_share))
        )
        self.misses = 0
        return True
