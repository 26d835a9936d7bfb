"""The retry budget of a service: this ingress's part of the budget that all ingresses share."""

from __future__ import annotations

from collections import deque

SHRINK_DELAY_S = (
    60.0  # until a lower number of ingresses is accepted: the others may just be unreachable until then
)
GROWTH_SETTLE_S = (
    1.0  # without an increase, until the number of ingresses is accepted and the slack divided by it
)
SAFETY_FACTOR = 0.7  # of the allowed ratio that is used, as the other ingresses count by their own clocks


class RetryBudget:
    """Retries to one service within a sliding window: a ratio of its requests here, plus a part of the slack.

    `window` is in seconds. `slack` is a number of retries for all `ingresses` together; each process uses
    half of its part, since after a restart it doesn't know what its predecessor has spent. Until the number
    of ingresses is known and has stopped growing there is no slack: when all start at once, each learns of
    the others one after the other.
    """

    __slots__ = (
        "ratio",
        "slack",
        "window",
        "seconds",
        "requests",
        "repeats",
        "ingresses",
        "shared_at",
        "grown_at",
    )

    def __init__(self, ratio: float, slack: float, window: float, ingresses: int) -> None:
        self.ratio = SAFETY_FACTOR * ratio
        self.slack = slack / 2
        self.window = window
        self.ingresses = ingresses
        self.shared_at: float | None = None
        self.grown_at = float("inf")
        self.seconds: deque[list[float]] = deque()  # second, requests, repeats
        self.requests = 0.0
        self.repeats = 0.0

    def share_among(self, now: float, ingresses: int) -> None:
        """Divide the slack among this number of ingresses: a higher number counts at once, a lower one only
        after `SHRINK_DELAY_S`."""
        if self.shared_at is None or ingresses > self.ingresses:
            self.grown_at = now
        if self.shared_at is None or ingresses >= self.ingresses:
            self.ingresses = max(self.ingresses, ingresses)
            self.shared_at = now
        elif now - self.shared_at >= SHRINK_DELAY_S:
            self.ingresses = ingresses
            self.shared_at = now

    def count(self, now: float, repeat: bool) -> None:
        """Count an attempt: a request's first one, or a retry (`repeat`)."""
        self._forget(now)
        second = float(int(now))
        if not self.seconds or self.seconds[-1][0] != second:
            self.seconds.append([second, 0.0, 0.0])
        self.seconds[-1][2 if repeat else 1] += 1
        if repeat:
            self.repeats += 1
        else:
            self.requests += 1

    def allows(self, now: float) -> bool:
        """Whether one more retry stays within the budget."""
        self._forget(now)
        slack = self.slack / self.ingresses if now >= self.grown_at + GROWTH_SETTLE_S else 0.0
        return self.repeats + 1 <= self.ratio * self.requests + slack

    def _forget(self, now: float) -> None:
        while self.seconds and self.seconds[0][0] < now - self.window - 1:
            _, requests, repeats = self.seconds.popleft()
            self.requests -= requests
            self.repeats -= repeats
