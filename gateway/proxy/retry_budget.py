"""The retry budget of a service: this proxy's part of the budget that is shared by all proxies."""

from __future__ import annotations

from collections import deque

# Delay before a lower number of proxies is applied, because the missing ones may just be unreachable.
SHRINK_DELAY_S = 60.0
# Once the number of proxies has not increased for this long, it is applied, and the slack is divided by it.
GROWTH_SETTLE_S = 1.0
SAFETY_FACTOR = 0.7  # used fraction of the allowed ratio, because other proxies count by their own clocks
USABLE_SLACK = 0.5  # used fraction of this process's slack, because its predecessor may have spent the rest


class SecondCounts:
    """The attempts within one second."""

    __slots__ = ("requests", "retries", "second")

    def __init__(self, second: int) -> None:
        self.second = second
        self.requests = 0
        self.retries = 0


class RetryBudget:
    """Limits the retries to one service in a sliding window to a ratio of its requests here, plus some slack.

    `window` is in seconds. `slack` is a number of retries for all proxies together. Each process uses half of
    its part, because after a restart it doesn't know what its predecessor has spent. There is no slack until
    the number of proxies is known and has stopped growing, because proxies that start together discover each
    other one by one.
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
        self.seconds: deque[SecondCounts] = deque()  # seconds within the window that have any attempts
        self.requests = 0
        self.retries = 0

    def share_among(self, now: float, ingresses: int) -> None:
        """Divide the slack among this number of proxies.

        An increase is applied at once, a decrease only after `SHRINK_DELAY_S`.
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
        """Count an attempt, which is either a request's first one or a retry."""
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
        """Whether another retry is within the budget."""
        self._expire(now)
        slack = self.slack / self.ingresses if now >= self.grown_at + GROWTH_SETTLE_S else 0.0
        return self.retries + 1 <= self.ratio * self.requests + slack

    def _expire(self, now: float) -> None:
        while self.seconds and self.seconds[0].second < now - self.window - 1:
            expired = self.seconds.popleft()
            self.requests -= expired.requests
            self.retries -= expired.retries
