"""The adaptive concurrency limit of attempts that one ingress has in flight to a fleet of backends."""

from __future__ import annotations

INITIAL_SLOTS = 6.0  # initial attempts in flight per backend, of all ingresses together
MIN_SLOTS = 2.0  # minimum attempts in flight per backend, of all ingresses together
# The limit shrinks while the latency is above this multiple of the unloaded latency.
OVERLOAD_LATENCY_RATIO = 1.8
BACKOFF_STEP = 0.01  # minimum fraction of the slots that one response under overload removes
# Maximum fraction of the slots that responses under overload remove per second or per response.
BACKOFF_RATE = 0.3
# Attempt durations are capped at this value when the pause after an attempt is computed.
REST_ELAPSED_CAP_S = 1.0


class ConcurrencyLimit:
    """Shrinks while responses take longer than usual, and grows again while all slots are in use.

    A slot is one attempt in flight. A limit of less than one slot is enforced by pauses between attempts.
    """

    def __init__(self, now: float) -> None:
        # Own attempts in flight, and the limit.
        self.in_flight = 0
        self.slots = 0.0
        self.floor = MIN_SLOTS
        # Latency relative to the unloaded latency, and the time of the last observation.
        self.latency_ratio = 1.0
        self.observed_at = now
        self.paused_until = 0.0  # end of the pause that enforces a limit of less than one slot

    @property
    def overloaded(self) -> bool:
        """Whether responses take so long that the backends must be overloaded."""
        return self.latency_ratio > OVERLOAD_LATENCY_RATIO

    def allows(self, now: float) -> bool:
        """Whether another attempt may be sent."""
        return self.in_flight < max(1.0, self.slots) and now >= self.paused_until

    def initialize(self, usable: int, instances: int) -> None:
        """Set the initial limit, this ingress's share of the slots, when the first backend list arrives."""
        self.slots = self.slots or max(2.0, INITIAL_SLOTS * usable / instances)

    def observe(self, now: float, ratio: float, elapsed: float, usable: int, instances: int) -> None:
        """Adapt to a response that took `elapsed` seconds, `ratio` times the unloaded latency.

        The `usable` backends are shared by `instances` ingresses.
        """
        # If responses are rare, each one has a greater weight.
        step = min(BACKOFF_RATE, max(BACKOFF_STEP, BACKOFF_RATE * (now - self.observed_at)))
        self.observed_at = now
        self.latency_ratio += min(0.4, 5 * step) * (ratio - self.latency_ratio)
        if self.overloaded:  # all ingresses exceed the limit; even one slot per backend may be too many
            self.slots = max(self.floor * usable / instances, self.slots * (1 - step))
        elif self.in_flight + 2 > self.slots:
            self.slots += min(self.slots, 1 / self.slots)
        if self.slots < 1:  # less than one attempt in flight on average: pause after each attempt
            self.paused_until = now + min(REST_ELAPSED_CAP_S, elapsed) * (1 / self.slots - 1)
