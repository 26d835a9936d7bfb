"""A quota client's state for one tenant: the owner's newest verdict, and the local share of the allowance.

The client admits requests by its share while the owner doesn't respond. Share sizes are fractions of the
allowance in units of 1 / `FULL_SHARE`; times are seconds of the monotonic clock.
"""

from __future__ import annotations

from gateway.quota.protocol import FULL_SHARE, LOWEST_PRECEDENCE, SHARE_S, VerdictCode
from gateway.quota.quota_pb2 import Verdict
from gateway.quota.window import Window
from gateway.state_machine import LONG_AGO, Address

INITIAL_CREDIT_WINDOWS = 0.3
"""Windows' worth of the share available at once if the owner stops responding without over-demand."""

# Windows' worth of the unspent share that remain valid when a new owner takes over.
MAX_HANDED_OVER_WINDOWS = 0.3
MAX_UNSPENT_WINDOWS = 1.2  # maximum number of windows' worth of unspent share
# Accrual of the share is delayed for this many windows after a verdict of over-demand.
OVER_DEMAND_WINDOWS = 2
LOCAL_REJECTION_S = 0.25  # requests are rejected locally for this long after a verdict that nothing is left


class LocalQuota:
    """The local share of one tenant. Its units accrue evenly, starting from the owner's last known count.

    While the tenant's demand exceeds its allowance, the share starts to accrue in the second window, because
    in the first window the owner can't know yet that this quota client is disconnected.

    Args:
        label: The tenant's label.
        number: The tenant's number in messages.
        window: The tenant's windows.
        threshold: A random number in (0, 1] per quota client, so that fractional shares of many quota clients
            add up to their sum.
    """

    __slots__ = (
        "accrual_start",
        "exhausted_until",
        "label",
        "last_over_demand_at",
        "number",
        "remaining",
        "remaining_known_at",
        "share_charged_at",
        "share_expires_at",
        "share_number",
        "share_owner",
        "share_size",
        "spent",
        "threshold",
        "unreported_rejections",
        "window",
        "window_ends_at",
    )

    def __init__(self, label: str, number: int, window: Window, threshold: float) -> None:
        self.label = label
        self.number = number
        self.window = window
        self.threshold = threshold
        self.share_size = 0
        self.share_expires_at = 0.0
        self.share_owner: Address | None = None  # the owner that granted the share
        self.share_number = 0
        self.share_charged_at = 0.0  # send time of the charge whose verdict granted the share
        self.accrual_start = 0.0  # time from which units accrue
        self.last_over_demand_at = LONG_AGO  # time of the last verdict of over-demand
        self.spent = 0  # units admitted by the share
        self.remaining = 0  # units left in the window according to the newest verdict
        self.remaining_known_at = LONG_AGO  # time of that verdict
        self.exhausted_until = 0.0  # nothing is left in the window before this time
        self.window_ends_at = 0.0  # end of the owner's window
        self.unreported_rejections: dict[int, int] = {}  # requests rejected locally, by precedence

    def on_verdict(self, now: float, sender: Address, charged_at: float, verdict: Verdict) -> None:
        """Apply the verdict of an open count on a charge that was sent at `charged_at`."""
        if verdict.share_number and charged_at >= self.share_charged_at:
            self.share_owner = sender
            self.share_number = verdict.share_number
            self.share_size = verdict.share_size
            self.share_charged_at = charged_at
        if self.share_owner == sender and self.share_expires_at < charged_at + SHARE_S:
            self.share_expires_at = charged_at + SHARE_S
        length = self.window.length_s
        self.remaining = verdict.remaining
        self.remaining_known_at = now
        if verdict.over_demand or verdict.code == VerdictCode.REJECTED:
            self.last_over_demand_at = now
        self.window_ends_at = now + verdict.window_ends_in_ms / 1000
        if verdict.remaining == 0:
            self.exhausted_until = min(self.window_ends_at, now + LOCAL_REJECTION_S)
        is_over_demand = now < self.last_over_demand_at + OVER_DEMAND_WINDOWS * length
        accrual_start = self.window_ends_at - min(1.0, verdict.remaining / self.window.allowance) * length
        accrual_start += length if is_over_demand else -INITIAL_CREDIT_WINDOWS * length
        self.accrual_start = max(self.accrual_start, accrual_start)

    def record_local_rejection(self, precedence: int) -> None:
        """Count a locally rejected request, to be reported to the owner with the next charge."""
        level = min(precedence, LOWEST_PRECEDENCE)
        self.unreported_rejections[level] = self.unreported_rejections.get(level, 0) + 1

    def has_share(self, now: float) -> bool:
        """Whether there is a share that has not expired."""
        return self.share_size > 0 and now < self.share_expires_at

    def give_up_share(self) -> None:
        """Discard the share, because it is returned to its owner."""
        self.share_size = 0
        self.share_expires_at = 0.0
        self.share_owner = None

    def accrues_in_s(self, now: float) -> float:
        """Seconds until the share starts to accrue; negative for accrued units, which are limited."""
        return max(self.accrual_start - now, -MAX_HANDED_OVER_WINDOWS * self.window.length_s)

    def try_spend(self, now: float) -> float:
        """Admit one unit by the share.

        Returns:
            0 if a unit is available, otherwise the number of seconds until one may be.
        """
        if not self.has_share(now):
            return self.window.length_s
        rate = self.share_size / FULL_SHARE * self.window.allowance / self.window.length_s
        most = max(1.0, MAX_UNSPENT_WINDOWS * rate * self.window.length_s)
        self.accrual_start = max(self.accrual_start, now - most / rate)
        missing_units = self.threshold - (now - self.accrual_start) * rate
        if missing_units > 0:
            return missing_units / rate
        self.accrual_start += 1 / rate
        self.spent += 1
        return 0.0

    def undo_spend(self) -> None:
        """Return a unit to the share, to be spent again; the total reported as spent is unchanged."""
        if self.share_size:
            units_per_window = self.share_size / FULL_SHARE * self.window.allowance
            self.accrual_start -= self.window.length_s / units_per_window
