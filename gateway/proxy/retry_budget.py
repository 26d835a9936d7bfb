"""The retry budget of a service: this ingress's part of the budget that all ingresses share."""

from __future__ import annotations

from collections import deque

# Until a lower number of ingresses is accepted: the others may just be unreachable until then.
SHRINK_DELAY_S = 60.0
# Without an increase, until the number of ingresses is accepted and the slack divided by it.
GROWTH_SETTLE_S = 1.0
SAFETY_FACTOR = 0.7  # of the allowed ratio that is used, as the other ingresses count by their own clocks
USABLE_SLACK = 0.5  # of this process's part of the slack: its predecessor may have spent the rest


class SecondCounts:
    """The attempts of one second."""

    __slots__ = ("requests", "retries", "second")

    def __init__(self, second: int) -> None:
        self.second = second
        self.requests = 0
        self.retries = 0


class RetryBudget:
    """Retries to one service within a sliding window: a ratio of its requests here, plus a part of the slack.

    `window` is in seconds. `slack` is a number of retries for all `ingresses` together; each process uses
    half of its part, since after a restart it doesn't know what its predecessor has spent. Until the number
    of ingresses is known and has stopped growing there is no slack: when all start at once, each learns of
    the others one after the other.
    """

    __slots__ = (
        "grown_at",
        "ingresses",
        "ratio",
        "requests",
        "retries",
        "seconds",
        "shared_at",
        "slack",
        "window",
    )

    def __init__(self, ratio: float, slack: float, window: float, ingresses: int) -> None:
        self.ratio = SAFETY_FACTOR * ratio
        self.slack = USABLE_SLACK * slack
        self.window = window
        self.ingresses = ingresses
        self.shared_at: float | None = None
        self.grown_at = float("inf")
        self.seconds: deque[SecondCounts] = deque()  # those in the window, with any attempts
        self.requests = 0
        self.retries = 0

    def share_among(self, now: float, ingresses: int) -> None:
        """Divide the slack among this number of ingresses.

        A higher number counts at once, a lower one only after `SHRINK_DELAY_S`.
        """
        if self.shared_at is None or ingresses > self.ingresses:
            self.grown_at = now
        if self.shared_at is None or ingresses >= self.ingresses:
            self.ingresses = max(self.ingresses, ingresses)
            self.shared_at = now
        elif now - self.shared_at >= SHRINK_DELAY_S:
            self.ingresses = ingresses
            self.shared_at = now

    def count(self, now: float, is_retry: bool) -> None:
        """Count an attempt: a request's first one, or a retry."""
        self._expire(now)
        second = int(now)
        if not self.seconds or self.seconds[-1].second != second:
            self.seconds.append(SecondCounts(second))
        if is_retry:
            self.seconds[-1].retries += 1
            self.retries += 1
        else:
            self.seconds[-1].requests += 1
            self.requests += 1

    def allows(self, now: float) -> bool:
        """Whether one more retry stays within the budget."""
        self._expire(now)
        slack = self.slack / self.ingresses if now >= self.grown_at + GROWTH_SETTLE_S else 0.0
        return self.retries + 1 <= self.ratio * self.requests + slack

    def _expire(self, now: float) -> None:
        while self.seconds and self.seconds[0].second < now - self.window - 1:
            expired = self.seconds.popleft()
            self.requests -= expired.requests
            self.retries -= expired.retries
