"""Statistics for operators: counts in the log, one bad request a second in detail, and totals."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter

log = logging.getLogger(__name__)

REPORT_S = 5.0  # between log lines of counts
SAMPLE_S = 1.0  # between bad requests logged in detail


class RequestStatistics:
    """Counts by kind, and a sample of the bad requests: never a log line for each request."""

    def __init__(self, loop: asyncio.AbstractEventLoop, write: logging.Logger = log) -> None:
        self.loop = loop
        self.write = write
        self.counts = Counter[str]()  # since the last report
        self.totals = Counter[str]()  # since the start, for the console
        self.sampled = -SAMPLE_S
        self.timer = loop.call_later(REPORT_S, self.report)

    def bad(self, now: float) -> bool:
        """Whether a request that has ended badly now is to be logged in detail. `now` is loop time."""
        if now - self.sampled < SAMPLE_S:
            return False
        self.sampled = now
        return True

    def report(self) -> None:
        """Log one line of all counts since the last one, if there are any."""
        if self.counts:
            self.write.info("%s", ", ".join(f"{key} {n}" for key, n in sorted(self.counts.items())))
            self.counts.clear()
        self.timer = self.loop.call_later(REPORT_S, self.report)

    def close(self) -> None:
        """Log the last counts, at the end of the program."""
        self.timer.cancel()
        self.report()
        self.timer.cancel()
