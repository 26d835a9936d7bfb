"""One tenant's count at its shard owner: windows, precedence, retries, and the shares of quota clients.

An allowance is in units (requests) a window; a share is in parts of it, of which there are `FULL_SHARE`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from gateway.quota.interface import FULL_SHARE, LOWEST_PRECEDENCE, MARGIN_S, SHARE_S
from gateway.quota.window import Window
from gateway.state_machine import Address

PRECEDENCE_LEVELS = LOWEST_PRECEDENCE + 1  # number of levels
REMEMBER_S = 3.0  # ids are remembered at least this long, and for two windows
SMOOTHING = 0.3  # weight of the newest window in moving averages
HIGHER_PRECEDENCE_DEVIATIONS = 1.5  # standard deviations reserved for higher precedence over its usual demand
SHARE_TOLERANCE = 0.25  # a share is not changed while within this fraction of its target
YIELDING = 0.05  # the same for one above its target, while some quota client with a target has no share
MIN_SHARE = 4  # smallest share, in parts of an allowance
NEVER = 1e18  # a time that doesn't come
EARLY_FRACTION = 0.5  # of an allowance that accrues evenly before a count opens, if no share is reported: a
# span of 5 windows meets at most 6 of them, and the rule's bound is 6.6 allowances
MIN_USAGE = 0.05  # units a window below which a quota client is forgotten
SHARE_NUMBERS = 1 << 14  # numbers of shares are below this, which keeps messages short


class ClientShare:
    """What one quota client may admit by itself, as far as the owner can't rule it out."""

    __slots__ = ("asked", "before", "accrues_from", "number", "part", "raised", "spent", "until", "usage")

    def __init__(self, spent: int) -> None:
        # leased now, and the largest share it may still use instead
        self.part = 0
        self.before = 0
        self.number = 0
        self.until = 0.0  # expiry of the lease, with a margin
        self.spent = spent  # units reported as admitted by share
        # requests in this window, and their moving average a window
        self.asked = 0
        self.usage = 0.0
        self.accrues_from = NEVER  # from when its units accrue in the pool
        self.raised = False  # whether this count has raised it

    @property
    def outstanding(self) -> int:
        """Parts of the allowance by which the quota client may admit."""
        return self.part if self.part > self.before else self.before


class TenantCounter:
    """The count of one tenant.

    It opens one window after `begun`, when an earlier owner may have counted last and filled a window. Until
    then it pools the shares that quota clients report: their units accrue evenly, and go to any request.
    Where nobody has counted for a time, `begun` is the start of that time and `lease_began` the start of this
    owner's lease; the latter counts instead once a quota client is found to have a share of an earlier owner,
    by which it may have admitted requests in between.
    """

    __slots__ = (
        "admitted",
        "target_shares",
        "asked",
        "begins",
        "claimed",
        "claimed_by_client",
        "has_unreported",
        "ends",
        "epoch",
        "ids",
        "reserved",
        "late",
        "levels",
        "next_number",
        "previous_ids",
        "opens",
        "outstanding",
        "has_reported_shares",
        "over_demand",
        "shares",
        "rotate_at",
        "typical_demand",
        "wanting",
        "window",
    )

    def __init__(
        self, now: float, window: Window, begun: float, number: int, lease_began: float = 0.0
    ) -> None:
        self.window = window
        self.opens = begun + window.length_s
        self.late = lease_began + window.length_s
        self.begins = self.ends = begun
        self.admitted = 0
        self.asked = 0
        self.over_demand = False
        self.levels = [0] * PRECEDENCE_LEVELS
        self.typical_demand = [0.0] * PRECEDENCE_LEVELS
        self.ids: dict[int, float] = {}  # admitted ids: start of their window; -1 once refunded
        self.previous_ids: dict[int, float] = {}
        self.rotate_at = now
        self.shares: dict[Address, ClientShare] = {}
        self.target_shares: dict[Address, int] = {}
        self.wanting = False  # whether some quota client has a target and no share
        self.has_reported_shares = False  # whether any share has been reported
        self.outstanding = 0  # sum of all shares
        self.has_unreported = False  # whether there may be others that aren't reported
        self.claimed_by_client: dict[
            Address, int
        ] = {}  # an earlier owner's shares, as each client first reported its own
        self.claimed = 0  # their sum: the shares of other clients are within the rest
        # units kept back, and the registry's epoch they are valid for
        self.reserved = 0.0
        self.epoch = -1
        self.next_number = number % SHARE_NUMBERS
        self.begin_window(now)

    def begin_window(self, now: float) -> None:
        """Begin the window that contains `now`, and compute the target shares."""
        length = self.window.length_s
        skipped = now >= self.ends + length
        self.begins += ((now - self.begins) // length) * length
        self.ends = self.begins + length
        if now >= self.ends:  # by rounding
            self.begins = self.ends
            self.ends = self.ends + length
        self.over_demand = not skipped and self.asked > self.window.allowance
        self.typical_demand = [
            u + SMOOTHING * ((0 if skipped else n) - u)
            for u, n in zip(self.typical_demand, self.levels, strict=True)
        ]
        self.levels = [0] * PRECEDENCE_LEVELS
        self.admitted = 0
        self.asked = 0
        self.epoch = -1
        if now >= self.rotate_at:
            self.previous_ids = self.ids if now < self.rotate_at + self.remember() else {}
            self.ids = {}
            self.rotate_at = now + self.remember()
        self.target(now)

    def remember(self) -> float:
        """Seconds for which an id is remembered at least."""
        return max(REMEMBER_S, 2 * self.window.length_s)

    def resize(self, now: float, window: Window) -> None:
        """Change the allowance; a window of another length begins now, and keeps what is counted."""
        if window.length_s != self.window.length_s:
            self.begins = now
            self.ends = now + window.length_s
        self.window = window
        self.epoch = -1

    def charge(
        self, now: float, share: ClientShare, id: int, precedence: int, refused_locally: int, late: int = 0
    ) -> bool:
        """Charge one unit; False if it would exceed the allowance. A retry of an admitted id counts once.

        `refused_locally` requests of the same precedence were refused by the quota client itself, `late` of
        them in an earlier window: these count for the usual demand, not for the demand in this window.
        """
        if self.ids.get(id, -1.0) >= 0 or self.previous_ids.get(id, -1.0) >= 0:
            return True
        level = precedence if precedence < PRECEDENCE_LEVELS else LOWEST_PRECEDENCE
        share.asked += 1 + refused_locally
        self.asked += 1 + refused_locally - late
        self.levels[level] += 1 + refused_locally
        limit = self.window.allowance - self.reserved if now >= self.opens else self.early_limit(now)
        room = limit - self.admitted - 1
        if room < 0 or (self.over_demand and level and room < self.reserved_for_higher(now, level)):
            return False
        self.admitted += 1
        self.ids[id] = self.begins
        return True

    def reserved_for_higher(self, now: float, level: int) -> float:
        """Units that requests of higher precedence are unlikely to exceed in the rest of this window.

        0 while this window's own demand falls well short of the allowance: then all of it fits.
        """
        passed = (now - self.begins) / self.window.length_s
        if self.asked < 0.8 * passed * self.window.allowance:
            return 0.0
        typical_demand = sum(self.typical_demand[:level]) * (1 - passed)
        return typical_demand + HIGHER_PRECEDENCE_DEVIATIONS * math.sqrt(typical_demand)

    def back(self, id: int) -> None:
        """Refund the unit of an id, once; it can be used again if it was charged in this window."""
        for ids in (self.ids, self.previous_ids):
            begun = ids.get(id, -1.0)
            if begun >= 0:
                ids[id] = -1.0
                if begun == self.begins and self.admitted:
                    self.admitted -= 1
                return

    def early_limit(self, now: float) -> float:
        """Units of reported shares accrued since this count began; with none, those of `EARLY_FRACTION`."""
        length = self.window.length_s
        if not self.has_reported_shares:
            return EARLY_FRACTION * (1 - (self.opens - now) / length) * self.window.allowance
        flowing = (s for s in self.shares.values() if s.accrues_from < now)
        parts = sum(s.part * min(1.0, (now - s.accrues_from) / length) for s in flowing)
        return parts / FULL_SHARE * self.window.allowance

    def note_earlier_share(self) -> None:
        """Note that a quota client has had a share of an earlier owner: the count opens by this lease."""
        self.opens = max(self.opens, self.late)

    def remaining(self, now: float) -> float:
        """Units left in this window; before the count opens, those still to accrue, but 1 at least."""
        if now < self.opens:
            parts = sum(s.part for s in self.shares.values() if s.accrues_from < self.opens)
            return max(1.0, parts / FULL_SHARE * self.window.allowance - self.admitted)
        return max(0.0, self.window.allowance - self.reserved - self.admitted)

    def reserve(self, silent: Mapping[Address, float], unknown: bool) -> None:
        """Reserve units for the shares of silent quota clients (address: last heard), and if `unknown` for
        unreported shares: what clients have reported, whatever became of it since, is none of these."""
        self.has_unreported = unknown
        parts = float(max(0, FULL_SHARE - self.claimed)) if unknown else 0.0
        for frm, heard in silent.items():
            share = self.shares.get(frm)
            if share is not None and share.until > self.begins:
                parts += share.outstanding * min(1.0, max(0.0, (self.ends - heard) / self.window.length_s))
        self.reserved = parts / FULL_SHARE * self.window.allowance

    # Shares

    def known(self, frm: Address, spent: int) -> ClientShare:
        """The state of a quota client's share, created if there is none."""
        share = self.shares.get(frm)
        if share is None:
            share = self.shares[frm] = ClientShare(spent)
        return share

    def told(
        self, now: float, frm: Address, part: int, left_s: float, spent: int, accrues_from: float
    ) -> None:
        """Take a client's report of a share of an earlier owner, which expires in `left_s` seconds."""
        share = self.known(frm, spent)
        previous = share.outstanding
        if frm not in self.claimed_by_client and not share.raised:
            self.claimed_by_client[frm] = part
            self.claimed += part
        if share.number == 0:
            self.note_earlier_share()
            share.part = part
            share.number = self.number()
            # Until more is seen of its usage:
            share.usage = max(share.usage, part / FULL_SHARE * self.window.allowance)
            if now < self.opens:
                share.accrues_from = accrues_from
                self.has_reported_shares = True
        share.before = max(share.before, part)
        share.until = max(share.until, now + left_s + MARGIN_S)
        self.outstanding += share.outstanding - previous

    def report(self, share: ClientShare, spent: int) -> None:
        """Count the units that a quota client admitted by its share, at most one window's worth of it."""
        if spent > share.spent:
            self.admitted += min(
                spent - share.spent, 1 + int(share.outstanding * self.window.allowance / FULL_SHARE)
            )
        share.spent = spent

    def lease(self, now: float, frm: Address, share: ClientShare, confirmed: int) -> bool:
        """Renew the lease of a client's share and move the share towards its target. `confirmed` is the
        number of the newest share the client has of this owner; returns whether it must be sent another."""
        previous = share.outstanding
        if confirmed and not share.number:  # it admits by a share that isn't known here
            share.number = self.number()
        if confirmed == share.number:
            share.before = 0
            self.outstanding += share.outstanding - previous
        target = self.target_shares.get(frm, share.part)
        steady = YIELDING if self.wanting and target < share.part else SHARE_TOLERANCE
        if abs(target - share.part) > steady * share.part + 2:
            self.change_share(share, target)
        share.until = now + SHARE_S + MARGIN_S
        return share.number != 0 and confirmed != share.number

    def change_share(self, share: ClientShare, target: int) -> None:
        """Lower a share at once, or raise it as far as the other shares leave room."""
        previous = share.outstanding
        if target > previous:
            most = self.claimed if self.has_unreported else FULL_SHARE
            target = min(target, previous + max(0, most - self.outstanding))
            share.raised = share.raised or target > previous
        if target == share.part:
            return
        share.before = max(share.before, share.part)
        share.part = target
        share.number = self.number()
        self.outstanding += share.outstanding - previous

    def number(self) -> int:
        """A number for a new share, never 0."""
        self.next_number = self.next_number % (SHARE_NUMBERS - 1) + 1
        return self.next_number

    def target(self, now: float) -> None:
        """Compute the target shares from recent usage; end the shares that have expired."""
        total = 0.0
        for frm, share in list(self.shares.items()):
            share.usage += SMOOTHING * (share.asked - share.usage)
            share.asked = 0
            if now >= share.until and share.outstanding:
                self.outstanding -= share.outstanding
                share.part = 0
                share.before = 0
                share.number = 0
            if not share.outstanding and share.usage < MIN_USAGE:
                del self.shares[frm]
            total += share.usage
        scale = FULL_SHARE / total if total else 0.0
        target_shares = {frm: int(share.usage * scale) for frm, share in self.shares.items()}
        self.target_shares = {
            frm: target if target >= MIN_SHARE else 0 for frm, target in target_shares.items()
        }
        self.wanting = any(
            target and not self.shares[frm].outstanding for frm, target in self.target_shares.items()
        )

    def take_back(self, frm: Address, spent: int) -> None:
        """A quota client leaves, having admitted `spent` units by its shares: it has no share any more."""
        share = self.shares.get(frm)
        if share is not None:
            self.report(share, max(spent, share.spent))
            spent = share.spent
            self.forget(frm)
            share.spent = spent
            share.asked = 0
            share.usage = 0.0

    def forget(self, frm: Address) -> None:
        """A quota client's process has ended: it has no share any more."""
        share = self.shares.get(frm)
        if share is not None:
            self.outstanding -= share.outstanding
            share.part = 0
            share.before = 0
            share.number = 0
            share.spent = 0
            share.until = 0.0
            share.accrues_from = NEVER
            self.epoch = -1
