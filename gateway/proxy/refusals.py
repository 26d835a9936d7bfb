"""What an ingress turns back, by cause: a line for each second with any, and a bad second is a warning."""

from __future__ import annotations

import logging
from collections import Counter

from gateway.quota.interface import OVER_ALLOWANCE

WARNING_MIN_COUNT, WARNING_MIN_RATIO = (
    5,
    0.25,
)  # requests of one second turned back for causes that lie with the system; of all

log = logging.getLogger("gateway.proxy.refusals")


class Refusals:
    """Counts by cause in the running second. `now` is in seconds of a steady clock."""

    __slots__ = ("causes", "requests", "until")

    def __init__(self) -> None:
        self.requests, self.until = 0, float("-inf")
        self.causes = Counter[str]()

    def request_received(self, now: float) -> None:
        """A request has come."""
        self.roll_over(now)
        self.requests += 1

    def count(self, now: float, why: str) -> None:
        """A request is turned back."""
        self.roll_over(now)
        self.causes[why] += 1

    def roll_over(self, now: float) -> None:
        """Tell of the second that has ended, with the first news after it."""
        if now < self.until:
            return
        if self.causes:
            bad = self.causes.total() - self.causes[OVER_ALLOWANCE]
            level = (
                logging.WARNING
                if bad >= max(WARNING_MIN_COUNT, WARNING_MIN_RATIO * self.requests)
                else logging.INFO
            )
            told = ", ".join(f"{why} {n}" for why, n in sorted(self.causes.items()) if n)
            log.log(level, "of %d requests in a second turned back: %s", self.requests, told)
            self.causes.clear()
        self.requests, self.until = 0, now + 1.0
