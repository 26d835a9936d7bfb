"""Statistics for operators: totals, counts in the log, and one bad request per second in detail."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter

log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 5.0  # of the log lines with counts
SAMPLE_INTERVAL_S = 1.0  # of the bad requests that are logged in detail


class RequestStatistics:
    """Counts by kind, and a sample of the bad requests. Requests aren't logged one by one."""

    def __init__(self, loop: asyncio.AbstractEventLoop, write: logging.Logger = log) -> None:
        self.loop = loop
        self.write = write
        self.counts = Counter[str]()  # counts since the last report
        self.totals = Counter[str]()  # counts since the start, for the console
        self.sampled = -SAMPLE_INTERVAL_S
        self.timer = loop.call_later(REPORT_INTERVAL_S, self.report)

    def bad(self, now: float) -> bool:
        """Whether to log in detail a request that has ended badly at loop time `now`."""
        if now - self.sampled < SAMPLE_INTERVAL_S:
            return False
        self.sampled = now
        return True

    def report(self) -> None:
        """Log one line with all counts since the last report, if there are any."""
        if self.counts:
            self.write.info("%s", ", ".join(f"{key} {n}" for key, n in sorted(self.counts.items())))
            self.counts.clear()
        self.timer = self.loop.call_later(REPORT_INTERVAL_S, self.report)

    def close(self) -> None:
        """Log the last counts when the process ends."""
        self.timer.cancel()
        self.report()
        self.timer.cancel()
