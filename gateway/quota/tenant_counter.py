"""One tenant's count at its shard owner: windows, admission, and units reserved for shares.

An allowance is a number of units (requests) per window.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from gateway.quota.attempt_history import AttemptHistory
from gateway.quota.precedence_demand import PrecedenceDemand, level_of
from gateway.quota.protocol import FULL_SHARE
from gateway.quota.share_allocator import ClientShare, ShareAllocator
from gateway.quota.window import Window
from gateway.state_machine import Address

EARLY_FRACTION = 0.5
"""Fraction of an allowance that accrues evenly before a count opens if no share is reported. A span of 5
windows overlaps at most 6 of them, and the bound of the rule QUOTA is 6.6 allowances."""

# While demand is below this part of the allowance so far, nothing is reserved for higher precedences.
LIGHT_DEMAND_RATIO = 0.8
NO_EPOCH = -1


class ReportedShare(NamedTuple):
    """A client's report of a share that was granted by an earlier owner.

    `size` is a fraction of the allowance in units of 1 / `FULL_SHARE`, `spent` the number of units admitted
    by the share, and `accrues_from` the time from which its units accrue.
    """

    size: int
    expires_in_s: float
    spent: int
    accrues_from: float


class CounterState(NamedTuple):
    """An open count: remaining units, the allowance, and units reserved as of the last charge."""

    remaining: float
    allowance: float
    reserved: float


class TenantCounter:
    """The count of one tenant.

    It opens one window after `last_counted_at`, because an earlier owner may have used a complete window
    until then. Before it opens, it pools the shares reported by quota clients: their units accrue evenly and
    may be used by any request. If nobody has counted for some time, `last_counted_at` is the start of that
    time, and `lease_began_at` is the start of this owner's lease. The latter applies instead as soon as a
    quota client turns out to have a share of an earlier owner, by which it may have admitted requests in
    between.

    Args:
        now: Seconds of the owner's clock, as are all times here.
        window: The tenant's windows.
        last_counted_at: Latest time at which an earlier owner may have counted.
        first_share_number: The first number for shares of this count.
        lease_began_at: Start of this owner's lease of the shard.
    """

    __slots__ = (
        "admitted",
        "attempts",
        "deferred_opens_at",
        "demand",
        "has_reported_shares",
        "opens_at",
        "over_demand",
        "precedence_demand",
        "reservation_epoch",
        "reserved",
        "shares",
        "window",
        "window_began_at",
        "window_ends_at",
    )

    def __init__(
        self,
        now: float,
        window: Window,
        last_counted_at: float,
        first_share_number: int,
        lease_began_at: float = 0.0,
    ) -> None:
        self.window = window
        self.opens_at = last_counted_at + window.length_s
        self.deferred_opens_at = lease_began_at + window.length_s
        self.window_began_at = last_counted_at
        self.window_ends_at = last_counted_at
        self.admitted = 0  # units in the current window
        self.demand = 0  # requests in the current window
        self.over_demand = False  # whether the demand of the previous window exceeded the allowance
        self.precedence_demand = PrecedenceDemand()
        self.attempts = AttemptHistory(now)
        self.shares = ShareAllocator(first_share_number)
        self.has_reported_shares = False  # whether a share was reported before the count opened
        self.reserved = 0.0  # units of the current window that clients may admit by their shares
        self.reservation_epoch = NO_EPOCH  # the registry's epoch for which `reserved` was computed
        self.begin_window(now)

    # Windows.

    def begin_window(self, now: float) -> None:
        """Start the window that contains `now`, and compute the targets of the shares."""
        length = self.window.length_s
        skipped = now >= self.window_ends_at + length
        self.window_began_at += ((now - self.window_began_at) // length) * length
        self.window_ends_at = self.window_began_at + length
        if now >= self.window_ends_at:  # due to rounding
            self.window_began_at = self.window_ends_at
            self.window_ends_at += length
        self.over_demand = not skipped and self.demand > self.window.allowance
        self.precedence_demand.begin_window(skipped)
        self.admitted = 0
        self.demand = 0
        self.reservation_epoch = NO_EPOCH
        self.attempts.rotate_if_due(now, length)
        self.shares.update_targets(now)

    def resize(self, now: float, window: Window) -> None:
        """Change the allowance; a window of another length starts now and keeps the counts."""
        if window.length_s != self.window.length_s:
            self.window_began_at = now
            self.window_ends_at = now + window.length_s
        self.window = window
        self.reservation_epoch = NO_EPOCH

    def defer_opening(self) -> None:
        """A client had a share of an earlier owner: open one window after this lease began."""
        self.opens_at = max(self.opens_at, self.deferred_opens_at)

    # Charges.

    def charge(
        self,
        now: float,
        share: ClientShare,
        attempt_id: int,
        precedence: int,
        refused_locally: int,
        refused_earlier: int = 0,
    ) -> bool:
        """Charge one unit. Retries of an admitted attempt are not charged again.

        Args:
            now: Seconds of the owner's clock.
            share: The share of the charging client.
            attempt_id: The attempt to charge.
            precedence: Precedence of the request within its tenant; 0 is the highest.
            refused_locally: Requests of the same precedence that the client has rejected itself.
            refused_earlier: Those of them that belong to an earlier window. They count towards the typical
                demand, but not towards the demand of the current window.

        Returns:
            False if the charge would exceed the allowance.
        """
        if self.attempts.is_charged(attempt_id):
            return True
        level = level_of(precedence)
        requests = 1 + refused_locally
        share.demand += requests
        self.demand += requests - refused_earlier
        self.precedence_demand.record(level, requests)
        limit = self.window.allowance - self.reserved if now >= self.opens_at else self.early_limit(now)
        room = limit - self.admitted - 1
        if room < 0 or (self.over_demand and level and room < self._reserved_for_higher(now, level)):
            return False
        self.admitted += 1
        self.attempts.add(attempt_id, self.window_began_at)
        return True

    def _reserved_for_higher(self, now: float, level: int) -> float:
        """Units that requests of higher precedence are unlikely to exceed in the remainder of this window.

        The result is 0 while the demand in this window is well below the allowance, because then everything
        fits.
        """
        elapsed = (now - self.window_began_at) / self.window.length_s
        if self.demand < LIGHT_DEMAND_RATIO * elapsed * self.window.allowance:
            return 0.0
        return self.precedence_demand.reserved_for_higher(level, elapsed)

    def refund(self, attempt_id: int) -> None:
        """Refund an attempt's unit once; it becomes available again if charged in this window."""
        charged_in = self.attempts.refund(attempt_id)
        if charged_in == self.window_began_at and self.admitted:
            self.admitted -= 1

    def early_limit(self, now: float) -> float:
        """Units accrued so far: those of reported shares, or of `EARLY_FRACTION` if there are none."""
        length = self.window.length_s
        if not self.has_reported_shares:
            return EARLY_FRACTION * (1 - (self.opens_at - now) / length) * self.window.allowance
        return self._units(self.shares.accrued_size(now, length))

    def remaining(self, now: float) -> float:
        """Units left in the current window; before the count opens, those still to accrue, but at least 1."""
        if now < self.opens_at:
            return max(1.0, self._units(self.shares.accruing_size(self.opens_at)) - self.admitted)
        return max(0.0, self.window.allowance - self.reserved - self.admitted)

    def reserve(self, unresponsive: Mapping[Address, float], has_unreported: bool) -> None:
        """Reserve units that clients may admit by their shares without this owner's knowledge.

        Args:
            unresponsive: The unresponsive clients, and the time of the last contact with each.
            has_unreported: Whether a client may have an unreported share from an earlier owner.
        """
        self.shares.has_unreported = has_unreported
        size = self.shares.reserved_size(
            has_unreported,
            unresponsive,
            self.window_began_at,
            self.window_ends_at,
            self.window.length_s,
        )
        self.reserved = self._units(size)

    def _units(self, size: float) -> float:
        """The number of units per window that corresponds to a share size."""
        return size / FULL_SHARE * self.window.allowance

    # Shares.

    def on_share_reported(self, now: float, client: Address, report: ReportedShare) -> None:
        """Apply a client's report of a share from an earlier owner."""
        share = self.shares.share_of(client, report.spent)
        if share.number == 0:
            self.defer_opening()
            if now < self.opens_at:
                share.accrues_from = report.accrues_from
                self.has_reported_shares = True
        self.shares.adopt_reported(
            now, client, share, report.size, report.expires_in_s, self.window.allowance
        )

    def count_spent(self, share: ClientShare, spent: int) -> None:
        """Count units that a client admitted by its share, up to one window's worth of the share."""
        if spent > share.spent:
            most = 1 + int(share.outstanding * self.window.allowance / FULL_SHARE)
            self.admitted += min(spent - share.spent, most)
        share.spent = spent

    def return_share(self, client: Address, spent: int) -> None:
        """Count the `spent` units that a leaving client admitted by its shares, and end its share."""
        share = self.shares.by_client.get(client)
        if share is None:
            return
        self.count_spent(share, max(spent, share.spent))
        spent = share.spent
        self.end_share(client)
        share.spent = spent
        share.demand = 0
        share.usage = 0.0

    def end_share(self, client: Address) -> None:
        """End the share of a quota client whose process has ended."""
        if self.shares.end(client):
            self.reservation_epoch = NO_EPOCH
