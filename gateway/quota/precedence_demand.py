"""A tenant's demand by precedence, used to estimate what higher precedences will need in a window."""

from __future__ import annotations

import math

from gateway.quota.protocol import LOWEST_PRECEDENCE

PRECEDENCE_LEVELS = LOWEST_PRECEDENCE + 1
SMOOTHING = 0.3  # weight of the newest window in moving averages
# Standard deviations reserved for higher precedences on top of their average demand.
RESERVED_DEVIATIONS = 1.5


class PrecedenceDemand:
    """Requests by precedence level in the current window, and their moving averages per window."""

    __slots__ = ("current", "typical")

    def __init__(self) -> None:
        self.current = [0] * PRECEDENCE_LEVELS
        self.typical = [0.0] * PRECEDENCE_LEVELS

    def record(self, level: int, requests: int) -> None:
        """Count requests of a level in the current window."""
        self.current[level] += requests

    def begin_window(self, skipped: bool) -> None:
        """Start a window; `skipped` means that at least one window passed without a request."""
        self.typical = [
            typical + SMOOTHING * ((0 if skipped else current) - typical)
            for typical, current in zip(self.typical, self.current, strict=True)
        ]
        self.current = [0] * PRECEDENCE_LEVELS

    def reserved_for_higher(self, level: int, elapsed: float) -> float:
        """Units that requests above a level are unlikely to exceed in the remainder of this window.

        `elapsed` is the fraction of the window that has passed.
        """
        expected = sum(self.typical[:level]) * (1 - elapsed)
        return expected + RESERVED_DEVIATIONS * math.sqrt(expected)


def level_of(precedence: int) -> int:
    """The level of a precedence; precedences below the lowest level are treated as that level."""
    return precedence if precedence < PRECEDENCE_LEVELS else LOWEST_PRECEDENCE
