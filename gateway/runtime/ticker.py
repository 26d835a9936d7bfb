"""Periodic calls in the event loop that continue even if a call fails."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from gateway.runtime.clock import steady

log = logging.getLogger("gateway.ticker")


class Ticker:
    """Calls `call(now)` every `period_s` seconds, first after `first_after_s` seconds (default: `period_s`).

    `now` is `clock.steady()`. An exception in a call is logged as an error and doesn't prevent later calls.
    Calls that became due while the loop was blocked are combined into one.
    """

    __slots__ = ("call", "due_at", "handle", "loop", "period_s")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        period_s: float,
        call: Callable[[float], object],
        first_after_s: float | None = None,
    ) -> None:
        self.loop = loop
        self.period_s = period_s
        self.call = call
        self.due_at = loop.time() + (period_s if first_after_s is None else first_after_s)
        self.handle: asyncio.TimerHandle | None = loop.call_at(self.due_at, self._tick)

    def _tick(self) -> None:
        self.due_at = max(self.due_at + self.period_s, self.loop.time())
        self.handle = self.loop.call_at(self.due_at, self._tick)
        try:
            self.call(steady())
        except Exception:
            log.exception("periodic call failed (period %s s)", self.period_s)

    def stop(self) -> None:
        """Stop the calls."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
