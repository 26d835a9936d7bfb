"""What a quota client knows of one tenant: the holder's last word, and its share for when that is away."""

from __future__ import annotations

from gateway.quota.interface import FULL_SHARE, LOWEST_PRECEDENCE, SHARE_S, Code
from gateway.quota.quota_pb2 import Verdict
from gateway.quota.window import Window
from gateway.state_machine import Address

CALM_CREDIT_WINDOWS = (
    0.3  # windows' shares that can be spent at once when the holder falls silent in calm times
)
MAX_HANDED_WINDOWS = 0.3  # windows' shares that a quota client has unspent and hands to a new holder
MAX_SHARE_WINDOWS = 1.2  # windows' shares that are kept
EXHAUSTED_S = 0.25  # after a verdict that nothing is left in the window, nobody is asked for so long


class LocalQuota:
    """A share flows in evenly, from where the holder's count stood at its last verdict.

    While the tenant asks for more than its allowance, the share flows only from the second window on: the
    holder can't know in the first one that this quota client is cut off. `threshold` in (0, 1] is drawn
    once a quota client, so that shares of less than a unit come to their sum over many quota clients.
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
        self.label, self.number, self.window = label, number, window
        self.threshold = threshold
        self.share, self.until = 0, 0.0  # parts of the allowance, and until when
        self.share_owner: Address | None = None  # which holder gave the share
        self.part, self.sent = 0, 0.0  # the share's number, and when the charge for it was sent
        self.accrued_from, self.over_demand = 0.0, -1e9  # from when units flow in; last verdict under press
        self.spent = 0  # units let go by share
        self.remaining, self.remaining_at = 0, -1e9  # by the newest verdict, and when that came
        self.exhausted_until, self.ends = 0.0, 0.0  # nothing is left until then; end of the holder's window
        self.refused: dict[int, int] = {}  # requests refused since, by precedence

    def note(self, now: float, frm: Address, sent: float, verdict: Verdict) -> None:
        """Take a verdict of an open count, to a charge sent at `sent`."""
        if verdict.share and sent >= self.sent:
            self.share_owner, self.part, self.share, self.sent = frm, verdict.share, verdict.part, sent
        if self.share_owner == frm and self.until < sent + SHARE_S:
            self.until = sent + SHARE_S
        length, allowance = self.window
        self.remaining, self.remaining_at = verdict.remaining, now
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
        """A request is refused without asking the holder, which hears of it with the next charge."""
        level = min(precedence, LOWEST_PRECEDENCE)
        self.refused[level] = self.refused.get(level, 0) + 1

    def live(self, now: float) -> bool:
        """Whether there is a share."""
        return self.share > 0 and now < self.until

    def give_up_share(self) -> None:
        """The share is returned to its owner."""
        self.share, self.until, self.share_owner = 0, 0.0, None

    def accrues_from(self, now: float) -> float:
        """From when the share's units flow, in seconds after now; of those there already only some count."""
        return max(self.accrued_from - now, -MAX_HANDED_WINDOWS * self.window.length_s)

    def spend(self, now: float) -> float:
        """Let one unit go by share: 0 if it may, else seconds until it might."""
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
        """A unit spent was not needed: it may be spent again, but it stays told."""
        if self.share:
            self.accrued_from -= self.window.length_s / (self.share / FULL_SHARE * self.window.allowance)
