"""The adaptive concurrency limit: how many attempts one ingress may have out at a fleet of backends."""

from __future__ import annotations

INITIAL_SLOTS = 6.0  # attempts out to a backend by all ingresses together, at first
MIN_SLOTS = 2.0  # and at least
OVERLOAD_LATENCY_RATIO = 1.8  # times the unpressed latency, where the limit shrinks
BACKOFF_STEP = 0.01  # of the slots that an answer under overload takes, at least
BACKOFF_RATE = 0.3  # of the slots that such answers take a second, at most at once
REST_ELAPSED_CAP_S = 1.0  # of an attempt's duration that the rest after it is measured by


class ConcurrencyLimit:
    """Shrinks while answers take longer than usual, and grows again while all slots are in use."""

    def __init__(self, now: float) -> None:
        self.in_flight, self.slots = 0, 0.0  # own attempts out, and how many may be
        self.floor = MIN_SLOTS
        self.latency_ratio, self.observed_at = 1.0, now  # latency over the unpressed one, and as of when
        self.paused_until = 0.0  # a rest where there is less than one slot

    @property
    def overloaded(self) -> bool:
        """Whether answers take so long that the backends hold too much."""
        return self.latency_ratio > OVERLOAD_LATENCY_RATIO

    def allows(self, now: float) -> bool:
        """Whether one more attempt may be sent."""
        return self.in_flight < max(1.0, self.slots) and now >= self.paused_until

    def initialize(self, usable: int, instances: int) -> None:
        """The first list of backends is known: begin with a share of their slots."""
        self.slots = self.slots or max(2.0, INITIAL_SLOTS * usable / instances)

    def observe(self, now: float, ratio: float, elapsed: float, usable: int, instances: int) -> None:
        """Adjust to an answer that took `ratio` times the unpressed latency, `elapsed` seconds in all.

        `instances` ingresses share the `usable` backends.
        """
        # Where answers are few, each says more.
        step = min(BACKOFF_RATE, max(BACKOFF_STEP, BACKOFF_RATE * (now - self.observed_at)))
        self.observed_at = now
        self.latency_ratio += min(0.4, 5 * step) * (ratio - self.latency_ratio)
        if self.overloaded:  # all hold too much there: one slot a backend may be too many
            self.slots = max(self.floor * usable / instances, self.slots * (1 - step))
        elif self.in_flight + 2 > self.slots:
            self.slots += min(self.slots, 1 / self.slots)
        if self.slots < 1:  # less than one attempt out on average: a rest after each
            self.paused_until = now + min(REST_ELAPSED_CAP_S, elapsed) * (1 / self.slots - 1)
