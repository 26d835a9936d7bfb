"""Refused requests by cause: a log line for each second with any; one with many is a warning."""

from __future__ import annotations

import logging
from collections import Counter

from gateway.quota.outputs import OVER_ALLOWANCE

# A second is a warning with so many requests refused for other causes than their allowance,
WARNING_MIN_COUNT = 5
WARNING_MIN_RATIO = 0.25  # and so many of all requests

log = logging.getLogger("gateway.proxy.refusals")


class Refusals:
    """Counts refused requests by cause in the current second. `now` is in seconds of a steady clock."""

    __slots__ = ("causes", "requests", "until")

    def __init__(self) -> None:
        self.requests = 0
        self.until = float("-inf")
        self.causes = Counter[str]()

    def request_received(self, now: float) -> None:
        """Count a request received."""
        self.roll_over(now)
        self.requests += 1

    def count(self, now: float, reason: str) -> None:
        """Count a refused request, by cause."""
        self.roll_over(now)
        self.causes[reason] += 1

    def roll_over(self, now: float) -> None:
        """Log the second that has ended, at the first event after it."""
        if now < self.until:
            return
        if self.causes:
            own_refusals = self.causes.total() - self.causes[OVER_ALLOWANCE]
            is_many = own_refusals >= max(WARNING_MIN_COUNT, WARNING_MIN_RATIO * self.requests)
            level = logging.WARNING if is_many else logging.INFO
            causes = ", ".join(f"{cause} {n}" for cause, n in sorted(self.causes.items()) if n)
            log.log(level, "of %d requests in a second rejected: %s", self.requests, causes)
            self.causes.clear()
        self.requests = 0
        self.until = now + 1.0
