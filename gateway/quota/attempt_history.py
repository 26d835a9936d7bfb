"""Charged attempts, so that a retry is counted only once and a unit is refunded only once."""

from __future__ import annotations

MIN_RETENTION_S = 3.0  # minimum time, and at least two windows, for which an attempt is remembered

_REFUNDED = -1.0


class AttemptHistory:
    """The charged attempts of one tenant in two generations; the older one is discarded as a whole."""

    __slots__ = ("charged", "previous", "rotate_at")

    def __init__(self, now: float) -> None:
        # By attempt: start of the window in which it was charged, or `_REFUNDED`.
        self.charged: dict[int, float] = {}
        self.previous: dict[int, float] = {}
        self.rotate_at = now

    def is_charged(self, attempt_id: int) -> bool:
        """Whether an attempt was charged and has not been refunded since."""
        return self.charged.get(attempt_id, _REFUNDED) >= 0 or self.previous.get(attempt_id, _REFUNDED) >= 0

    def add(self, attempt_id: int, window_began_at: float) -> None:
        """Record that an attempt is charged in the window that began at this time."""
        self.charged[attempt_id] = window_began_at

    def refund(self, attempt_id: int) -> float | None:
        """Record that an attempt is refunded.

        Returns:
            The start of the window in which it was charged; None if there is nothing to refund.
        """
        for attempts in (self.charged, self.previous):
            window_began_at = attempts.get(attempt_id, _REFUNDED)
            if window_began_at >= 0:
                attempts[attempt_id] = _REFUNDED
                return window_began_at
        return None

    def rotate_if_due(self, now: float, window_s: float) -> None:
        """Start a new generation if the newest one is old enough."""
        if now < self.rotate_at:
            return
        retention_s = retention(window_s)
        self.previous = self.charged if now < self.rotate_at + retention_s else {}
        self.charged = {}
        self.rotate_at = now + retention_s


def retention(window_s: float) -> float:
    """Minimum time in seconds for which an attempt is remembered."""
    return max(MIN_RETENTION_S, 2 * window_s)
