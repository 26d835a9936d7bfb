"""A quota client's state of one tenant: the owner's newest verdict, and the local share of its allowance.

The share is what the client admits requests by while the owner doesn't answer.
Shares are in parts of the allowance (`FULL_SHARE` is all of it), times in seconds of the steady clock.
"""

from __future__ import annotations

from gateway.quota.interface import FULL_SHARE, LOWEST_PRECEDENCE, SHARE_S, Code
from gateway.quota.quota_pb2 import Verdict
from gateway.quota.window import Window
from gateway.state_machine import Address

CALM_CREDIT_WINDOWS = (
    0.3  # windows' worth of the share that can be spent at once if the owner falls silent without over-demand
)
MAX_HANDED_WINDOWS = 0.3  # windows' worth of unspent share that count when a new owner takes over
MAX_SHARE_WINDOWS = 1.2  # windows' worth of unspent share that are kept
EXHAUSTED_S = 0.25  # after a verdict that nothing is left in the window, requests are refused locally so long


class LocalQuota:
    """The local share of one tenant, whose units accrue evenly from where the owner's count stood last.

    While the tenant's demand exceeds its allowance, the share accrues only from the second window on: the
    owner can't know in the first one that this quota client is cut off. `threshold` in (0, 1] is drawn once
    per quota client, so that shares of less than a unit come to their sum over many quota clients.
    """

    __slots__ = (
        "accrued_from",
        "ends",
        "share_owner",
        "label",
        "number",
        "part",
        "over_demand",
        "refused",
        "remaining",
        "remaining_at",
        "sent",
        "share",
        "exhausted_until",
        "spent",
        "threshold",
        "until",
        "window",
    )

    def __init__(self, label: str, number: int, window: Window, threshold: float) -> None:
        self.label = label
        self.number = number
        self.window = window
        self.threshold = threshold
        # parts of the allowance, and the share's expiry
        self.share = 0
        self.until = 0.0
        self.share_owner: Address | None = None  # the owner that granted the share
        # the share's number, and when the charge for it was sent
        self.part = 0
        self.sent = 0.0
        # from when units accrue; last verdict of over-demand
        self.accrued_from = 0.0
        self.over_demand = -1e9
        self.spent = 0  # units admitted by share
        # by the newest verdict, and when that came
        self.remaining = 0
        self.remaining_at = -1e9
        # nothing is left until then; end of the owner's window
        self.exhausted_until = 0.0
        self.ends = 0.0
        self.refused: dict[int, int] = {}  # requests refused locally and not reported yet, by precedence

    def note(self, now: float, frm: Address, sent: float, verdict: Verdict) -> None:
        """Take the verdict of an open count on a charge that was sent at `sent`."""
        if verdict.share and sent >= self.sent:
            self.share_owner = frm
            self.part = verdict.share
            self.share = verdict.part
            self.sent = sent
        if self.share_owner == frm and self.until < sent + SHARE_S:
            self.until = sent + SHARE_S
        length, allowance = self.window
        self.remaining = verdict.remaining
        self.remaining_at = now
        if verdict.over_demand or verdict.code == Code.OVER:
            self.over_demand = now
        self.ends = now + verdict.wait_ms / 1000
        if verdict.remaining == 0:
            self.exhausted_until = min(self.ends, now + EXHAUSTED_S)
        accrued_from = self.ends - min(1.0, verdict.remaining / allowance) * length
        accrued_from += length if now < self.over_demand + 2 * length else -CALM_CREDIT_WINDOWS * length
        if accrued_from > self.accrued_from:
            self.accrued_from = accrued_from

    def refuse(self, precedence: int) -> None:
        """Count a request that is refused locally; the owner hears of it with the next charge."""
        level = min(precedence, LOWEST_PRECEDENCE)
        self.refused[level] = self.refused.get(level, 0) + 1

    def live(self, now: float) -> bool:
        """Whether there is a share that hasn't expired."""
        return self.share > 0 and now < self.until

    def give_up_share(self) -> None:
        """Drop the share, which is returned to its owner."""
        self.share = 0
        self.until = 0.0
        self.share_owner = None

    def accrues_from(self, now: float) -> float:
        """From when the share's units accrue, in seconds after now; of accrued units only some count."""
        return max(self.accrued_from - now, -MAX_HANDED_WINDOWS * self.window.length_s)

    def spend(self, now: float) -> float:
        """Admit one unit by the share: 0 if there is one, else the seconds until there might be."""
        if not self.live(now):
            return self.window.length_s
        rate = self.share / FULL_SHARE * self.window.allowance / self.window.length_s
        most = max(1.0, MAX_SHARE_WINDOWS * rate * self.window.length_s)
        self.accrued_from = max(self.accrued_from, now - most / rate)
        missing_units = self.threshold - (now - self.accrued_from) * rate
        if missing_units > 0:
            return missing_units / rate
        self.accrued_from += 1 / rate
        self.spent += 1
        return 0.0

    def undo_spend(self) -> None:
        """Return a unit to the share: it may be spent again, but stays in the total reported as spent."""
        if self.share:
            self.accrued_from -= self.window.length_s / (self.share / FULL_SHARE * self.window.allowance)
