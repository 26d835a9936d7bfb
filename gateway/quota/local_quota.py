"""A quota client's state of one tenant: the owner's newest verdict, and the local share of its allowance.

The share is what the client admits requests by while the owner doesn't answer. Sizes of shares are in parts
of the allowance (`FULL_SHARE` is all of it), times in seconds of the steady clock.
"""

from __future__ import annotations

from gateway.quota.protocol import FULL_SHARE, LOWEST_PRECEDENCE, SHARE_S, VerdictCode
from gateway.quota.quota_pb2 import Verdict
from gateway.quota.window import Window
from gateway.state_machine import LONG_AGO, Address

INITIAL_CREDIT_WINDOWS = 0.3
"""Windows' worth of the share that can be spent at once if the owner falls silent without over-demand."""

MAX_HANDED_OVER_WINDOWS = 0.3  # windows' worth of unspent share that count when a new owner takes over
MAX_UNSPENT_WINDOWS = 1.2  # windows' worth of unspent share that are kept
OVER_DEMAND_WINDOWS = 2  # after a verdict of over-demand, the share accrues later for so many windows
LOCAL_REJECTION_S = 0.25  # after a verdict that nothing is left, requests are rejected locally for so long


class LocalQuota:
    """The local share of one tenant, whose units accrue evenly from where the owner's count stood last.

    While the tenant's demand exceeds its allowance, the share accrues only from the second window on: the
    owner can't know in the first one that this quota client is cut off.

    Args:
        label: The tenant's label.
        number: The tenant's number in messages.
        window: The tenant's windows.
        threshold: In (0, 1], drawn once per quota client, so that shares of less than a unit come to their
            sum over many quota clients.
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
        self.share_charged_at = 0.0  # when the charge was sent whose verdict granted the share
        self.accrual_start = 0.0  # from when units accrue
        self.last_over_demand_at = LONG_AGO  # last verdict of over-demand
        self.spent = 0  # units admitted by share
        self.remaining = 0  # units left in the window, by the newest verdict
        self.remaining_known_at = LONG_AGO  # when that came
        self.exhausted_until = 0.0  # nothing is left until then
        self.window_ends_at = 0.0  # of the owner's window
        self.unreported_rejections: dict[int, int] = {}  # requests rejected locally, by precedence

    def on_verdict(self, now: float, sender: Address, charged_at: float, verdict: Verdict) -> None:
        """Take the verdict of an open count on a charge that was sent at `charged_at`."""
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
        """Count a request that is rejected locally; the owner hears of it with the next charge."""
        level = min(precedence, LOWEST_PRECEDENCE)
        self.unreported_rejections[level] = self.unreported_rejections.get(level, 0) + 1

    def has_share(self, now: float) -> bool:
        """Whether there is a share that hasn't expired."""
        return self.share_size > 0 and now < self.share_expires_at

    def give_up_share(self) -> None:
        """Drop the share, which is returned to its owner."""
        self.share_size = 0
        self.share_expires_at = 0.0
        self.share_owner = None

    def accrues_in_s(self, now: float) -> float:
        """From when the share's units accrue, in seconds after now; of accrued units only some count."""
        return max(self.accrual_start - now, -MAX_HANDED_OVER_WINDOWS * self.window.length_s)

    def try_spend(self, now: float) -> float:
        """Admit one unit by the share.

        Returns:
            0 if there is one, else the seconds until there might be.
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
        """Return a unit to the share: it may be spent again, but stays in the total reported as spent."""
        if self.share_size:
            units_per_window = self.share_size / FULL_SHARE * self.window.allowance
            self.accrual_start -= self.window.length_s / units_per_window
