"""Counts rejected requests by cause, and logs one line for each second in which there were any."""

from __future__ import annotations

import logging
from collections import Counter

from gateway.quota.outputs import OVER_ALLOWANCE

# A second is logged as a warning if at least this many requests, and at least this fraction of all requests,
# were rejected for reasons other than their tenant's allowance.
WARNING_MIN_COUNT = 5
WARNING_MIN_RATIO = 0.25

log = logging.getLogger("gateway.proxy.refusals")


class Refusals:
    """Counts rejected requests by cause in the current second; `now` is in seconds of a monotonic clock."""

    __slots__ = ("causes", "requests", "until")

    def __init__(self) -> None:
        self.requests = 0
        self.until = float("-inf")
        self.causes = Counter[str]()

    def request_received(self, now: float) -> None:
        """Count a received request."""
        self.roll_over(now)
        self.requests += 1

    def count(self, now: float, reason: str) -> None:
        """Count a rejected request by its cause."""
        self.roll_over(now)
        self.causes[reason] += 1

    def roll_over(self, now: float) -> None:
        """Log the previous second at the first event after its end."""
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
