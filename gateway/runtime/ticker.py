"""Periodic calls in the event loop that go on if one of them fails."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from gateway.runtime.clock import steady

log = logging.getLogger("gateway.ticker")


class Ticker:
    """Calls `call(now)` every `period` seconds, the first time after `first` (else `period`) seconds.

    `now` is `clock.steady()`. An exception in a call is logged as an error, and later calls are still made.
    Several calls that came due while the loop was blocked are made as one.
    """

    __slots__ = ("call", "due", "handle", "loop", "period")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        period: float,
        call: Callable[[float], object],
        first: float | None = None,
    ) -> None:
        self.loop = loop
        self.period = period
        self.call = call
        self.due = loop.time() + (period if first is None else first)
        self.handle: asyncio.TimerHandle | None = loop.call_at(self.due, self._tick)

    def _tick(self) -> None:
        self.due = max(self.due + self.period, self.loop.time())
        self.handle = self.loop.call_at(self.due, self._tick)
        try:
            self.call(steady())
        except Exception:
            log.exception("a call every %s s failed", self.period)

    def stop(self) -> None:
        """Make no more calls."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
