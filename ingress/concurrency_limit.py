"""The adaptive concurrency limit: how many attempts one ingress may have in flight to a fleet of backends."""

from __future__ import annotations

INITIAL_SLOTS = 6.0  # initial attempts in flight to a backend by all ingresses together
MIN_SLOTS = 2.0  # the same, at least
OVERLOAD_LATENCY_RATIO = 1.8  # latency over the unloaded latency, above which the limit shrinks
BACKOFF_STEP = 0.01  # least fraction of the slots taken by one answer under overload
BACKOFF_RATE = 0.3  # fraction of the slots taken by such answers per second, and at most by one
REST_ELAPSED_CAP_S = 1.0  # longest attempt duration by which the pause after it is measured


class ConcurrencyLimit:
    """Shrinks while answers take longer than usual, and grows again while all slots are in use.

    A slot is one attempt in flight; fractions of a slot are kept by pauses between attempts.
    """

    def __init__(self, now: float) -> None:
        # own attempts in flight, and how many may be
        self.in_flight = 0
        self.slots = 0.0
        self.floor = MIN_SLOTS
        # latency over the unloaded one, and as of when
        self.latency_ratio = 1.0
        self.observed_at = now
        self.paused_until = 0.0  # end of a pause where there is less than one slot

    @property
    def overloaded(self) -> bool:
        """Whether answers take so long that the backends are overloaded."""
        return self.latency_ratio > OVERLOAD_LATENCY_RATIO

    def allows(self, now: float) -> bool:
        """Whether one more attempt may be sent."""
        return self.in_flight < max(1.0, self.slots) and now >= self.paused_until

    def initialize(self, usable: int, instances: int) -> None:
        """Set the initial limit when the first list of backends is known: this ingress's share of slots."""
        self.slots = self.slots or max(2.0, INITIAL_SLOTS * usable / instances)

    def observe(self, now: float, ratio: float, elapsed: float, usable: int, instances: int) -> None:
        """Adjust to an answer that took `ratio` times the unloaded latency, `elapsed` seconds in all.

        `instances` ingresses share the `usable` backends.
        """
        # Where answers are few, each one weighs more.
        step = min(BACKOFF_RATE, max(BACKOFF_STEP, BACKOFF_RATE * (now - self.observed_at)))
        self.observed_at = now
        self.latency_ratio += min(0.4, 5 * step) * (ratio - self.latency_ratio)
        if self.overloaded:  # all ingresses are over the limit: one slot a backend may be too many
            self.slots = max(self.floor * usable / instances, self.slots * (1 - step))
        elif self.in_flight + 2 > self.slots:
            self.slots += min(self.slots, 1 / self.slots)
        if self.slots < 1:  # less than one attempt in flight on average: a pause after each
            self.paused_until = now + min(REST_ELAPSED_CAP_S, elapsed) * (1 / self.slots - 1)
