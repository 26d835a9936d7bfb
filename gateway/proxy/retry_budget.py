"""The budget of further tries that all ingresses share, as this one's part of it."""

from __future__ import annotations

from collections import deque

SHRINK_DELAY_S = (
    60.0  # after which fewer ingresses are believed: until then some may be there and out of reach
)
GROWTH_SETTLE_S = (
    1.0  # without more ingresses, after which their number is believed, and the slack shared by it
)
SAFETY_FACTOR = 0.7  # of the allowed ratio that is used, as the others count by clocks of their own


class RetryBudget:
    """Repeats to one service within a sliding window: a share of its requests here, and a part of the slack.

    `window` is in seconds; `slack` is for all `ingresses`, of which a life of the process uses half of its
    part: one that has begun again does not know what the last one has spent. Until the number of ingresses
    is told and stays there is no slack: when all begin at once, each meets the others one after the other.
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
        self.ratio, self.slack, self.window = SAFETY_FACTOR * ratio, slack / 2, window
        self.ingresses = ingresses
        self.shared_at: float | None = None
        self.grown_at = float("inf")
        self.seconds: deque[list[float]] = deque()  # second, requests, repeats
        self.requests = self.repeats = 0.0

    def share_among(self, now: float, ingresses: int) -> None:
        """Share the slack among so many: more at once, fewer only after a time."""
        if self.shared_at is None or ingresses > self.ingresses:
            self.grown_at = now
        if self.shared_at is None or ingresses >= self.ingresses:
            self.ingresses, self.shared_at = max(self.ingresses, ingresses), now
        elif now - self.shared_at >= SHRINK_DELAY_S:
            self.ingresses, self.shared_at = ingresses, now

    def count(self, now: float, repeat: bool) -> None:
        """An attempt has gone out: a request's first, or a repeat."""
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
        """Whether one more repeat stays within the budget."""
        self._forget(now)
        slack = self.slack / self.ingresses if now >= self.grown_at + GROWTH_SETTLE_S else 0.0
        return self.repeats + 1 <= self.ratio * self.requests + slack

    def _forget(self, now: float) -> None:
        while self.seconds and self.seconds[0][0] < now - self.window - 1:
            _, requests, repeats = self.seconds.popleft()
            self.requests -= requests
            self.repeats -= repeats
