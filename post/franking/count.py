"""One tenant's count at its holder: windows, precedence, repeats, and the shares leased to chargers."""

from __future__ import annotations

import math
from collections.abc import Mapping

from post.franking.interface import LOWEST, MARGIN_S, SHARE_S, WHOLE
from post.franking.window import Window
from post.machine import Address

LEVELS = LOWEST + 1    # of precedence
REMEMBER_S = 3.0       # ids are known at least this long, and two windows
SMOOTH = 0.3           # weight of the newest window in what is usual
SURE = 1.5             # standard deviations by which higher precedence may ask more than usual
STEADY = 0.25          # a share within this of its aim stays as it is
YIELDING = 0.05        # the same above its aim, while some charger that asks has no share
LEAST_SHARE = 4        # parts of an allowance
NEVER = 1e18
EARLY = 0.5            # of an allowance that flows evenly before a count opens, if nobody has told a share: a
                       # span of 5 windows meets 6 of them at most, and the rule bears 6.6
USE_ENDS = 0.05        # units a window below which a charger is forgotten
NUMBERS = 1 << 14      # of shares, for the lengths of messages


class Share:
    """What one charger may let go by itself, as far as the holder can't rule it out."""

    __slots__ = ("asked", "before", "flows", "number", "part", "raised", "spent", "until", "use")

    def __init__(self, spent: int) -> None:
        self.part = self.before = 0  # leased now, and the largest that it may still go by instead
        self.number = 0
        self.until = 0.0             # end of the lease, with a margin
        self.spent = spent           # units told as let go by share
        self.asked, self.use = 0, 0.0
        self.flows = NEVER           # from when its units flow into the pool
        self.raised = False          # by this count

    @property
    def out(self) -> int:
        """Parts of the allowance that the charger may go by."""
        return self.part if self.part > self.before else self.before


class Count:
    """The count of one tenant.

    It opens a window after `begun`, when a predecessor may have counted last and filled a window. Until then
    it pools the shares that chargers tell it: they flow evenly, and to whoever asks. Where nobody has counted
    for a time, `begun` is that time's beginning and `real` that of this holder; this one counts again once a
    charger is found to have a share of a predecessor, by which it may have let requests go in between.
    """

    __slots__ = ("admitted", "aims", "asked", "begins", "claimed", "claims", "closed", "ends", "epoch", "ids",
                 "kept", "late", "levels", "next_number", "older", "opens", "out", "pooled", "pressed",
                 "shares", "turns", "usual", "wanting", "window")

    def __init__(self, now: float, window: Window, begun: float, number: int, real: float = 0.0) -> None:
        self.window, self.opens, self.late = window, begun + window.length_s, real + window.length_s
        self.begins = self.ends = begun
        self.admitted, self.asked, self.pressed = 0, 0, False
        self.levels, self.usual = [0] * LEVELS, [0.0] * LEVELS
        self.ids: dict[int, float] = {}    # admitted: begin of their window; -1 once given back
        self.older: dict[int, float] = {}
        self.turns = now
        self.shares: dict[Address, Share] = {}
        self.aims: dict[Address, int] = {}
        self.wanting = False               # whether some charger is to have a share and has none
        self.pooled = False                # whether any share has been told
        self.out, self.closed = 0, False   # sum of all shares; closed: others may be out that aren't told
        self.claims: dict[Address, int] = {}  # an earlier holder's shares, as each charger first told its own
        self.claimed = 0                   # their sum: what others have is in the rest
        self.kept, self.epoch = 0.0, -1    # units kept back, and the holder's epoch for which they are
        self.next_number = number % NUMBERS
        self.roll(now)

    def roll(self, now: float) -> None:
        """Begin the window that `now` is in."""
        length = self.window.length_s
        skipped = now >= self.ends + length
        self.begins += ((now - self.begins) // length) * length
        self.ends = self.begins + length
        if now >= self.ends:  # by rounding
            self.begins, self.ends = self.ends, self.ends + length
        self.pressed = not skipped and self.asked > self.window.allowance
        self.usual = [u + SMOOTH * ((0 if skipped else n) - u)
                      for u, n in zip(self.usual, self.levels, strict=True)]
        self.levels = [0] * LEVELS
        self.admitted = self.asked = 0
        self.epoch = -1
        if now >= self.turns:
            self.older = self.ids if now < self.turns + self.remember() else {}
            self.ids, self.turns = {}, now + self.remember()
        self.aim(now)

    def remember(self) -> float:
        """Seconds for which an id is known at least."""
        return max(REMEMBER_S, 2 * self.window.length_s)

    def resize(self, now: float, window: Window) -> None:
        """The allowance has changed; a window of another length begins now, with what is counted."""
        if window.length_s != self.window.length_s:
            self.begins, self.ends = now, now + window.length_s
        self.window, self.epoch = window, -1

    def charge(self, now: float, share: Share, id: int, precedence: int, more: int, late: int = 0) -> bool:
        """Charge one unit, unless it would pass the allowance. A repeat of an admitted id counts once.

        `more` requests of the same precedence were refused by the charger itself, `late` of them in an
        earlier window: they tell what is usual, and nothing of how this window is pressed.
        """
        if self.ids.get(id, -1.0) >= 0 or self.older.get(id, -1.0) >= 0:
            return True
        level = precedence if precedence < LEVELS else LOWEST
        share.asked += 1 + more
        self.asked += 1 + more - late
        self.levels[level] += 1 + more
        limit = self.window.allowance - self.kept if now >= self.opens else self.pool(now)
        room = limit - self.admitted - 1
        if room < 0 or (self.pressed and level and room < self.above(now, level)):
            return False
        self.admitted += 1
        self.ids[id] = self.begins
        return True

    def above(self, now: float, level: int) -> float:
        """Units that requests of higher precedence are rather sure not to exceed in the rest of this window.

        Nothing once this window's own demand falls well short of the allowance: then all of it fits.
        """
        passed = (now - self.begins) / self.window.length_s
        if self.asked < 0.8 * passed * self.window.allowance:
            return 0.0
        usual = sum(self.usual[:level]) * (1 - passed)
        return usual + SURE * math.sqrt(usual)

    def back(self, id: int) -> None:
        """Give the unit of an id back, once, if it is of this window."""
        for ids in (self.ids, self.older):
            begun = ids.get(id, -1.0)
            if begun >= 0:
                ids[id] = -1.0
                if begun == self.begins and self.admitted:
                    self.admitted -= 1
                return

    def pool(self, now: float) -> float:
        """Units of told shares that have flowed since this count was begun; with none told, a part flows."""
        length = self.window.length_s
        if not self.pooled:
            return EARLY * (1 - (self.opens - now) / length) * self.window.allowance
        flowing = (s for s in self.shares.values() if s.flows < now)
        parts = sum(s.part * min(1.0, (now - s.flows) / length) for s in flowing)
        return parts / WHOLE * self.window.allowance

    def shared_before(self) -> None:
        """A charger has had a share of a predecessor."""
        self.opens = max(self.opens, self.late)

    def remaining(self, now: float) -> float:
        """Units left in this window; before the count opens, those still to come, and one to ask for."""
        if now < self.opens:
            parts = sum(s.part for s in self.shares.values() if s.flows < self.opens)
            return max(1.0, parts / WHOLE * self.window.allowance - self.admitted)
        return max(0.0, self.window.allowance - self.kept - self.admitted)

    def keep(self, silent: Mapping[Address, float], unknown: bool) -> None:
        """Keep back the shares of silent chargers (address: last heard), and those nothing is known of: what
        chargers have told, whatever became of it since, is none of those."""
        self.closed = unknown
        parts = float(max(0, WHOLE - self.claimed)) if unknown else 0.0
        for frm, heard in silent.items():
            share = self.shares.get(frm)
            if share is not None and share.until > self.begins:
                parts += share.out * min(1.0, max(0.0, (self.ends - heard) / self.window.length_s))
        self.kept = parts / WHOLE * self.window.allowance

    # Shares

    def known(self, frm: Address, spent: int) -> Share:
        """The books of a charger, begun if there are none."""
        share = self.shares.get(frm)
        if share is None:
            share = self.shares[frm] = Share(spent)
        return share

    def told(self, now: float, frm: Address, part: int, left_s: float, spent: int, flows: float) -> None:
        """A charger tells the share that it has of an earlier holder, flowing from `flows` on."""
        share = self.known(frm, spent)
        had = share.out
        if frm not in self.claims and not share.raised:
            self.claims[frm] = part
            self.claimed += part
        if share.number == 0:
            self.shared_before()
            share.part, share.number = part, self.number()
            share.use = max(share.use, part / WHOLE * self.window.allowance)  # until more is seen of it
            if now < self.opens:
                share.flows, self.pooled = flows, True
        share.before = max(share.before, part)
        share.until = max(share.until, now + left_s + MARGIN_S)
        self.out += share.out - had

    def report(self, share: Share, spent: int) -> None:
        """Count what a charger let go by its share; at most what its share bore within one window."""
        if spent > share.spent:
            self.admitted += min(spent - share.spent, 1 + int(share.out * self.window.allowance / WHOLE))
        share.spent = spent

    def lease(self, now: float, frm: Address, share: Share, confirmed: int) -> bool:
        """Keep a charger's lease going, move it towards its aim; whether there is news for the charger."""
        had = share.out
        if confirmed and not share.number:  # it goes by a share that isn't in the books
            share.number = self.number()
        if confirmed == share.number:
            share.before = 0
            self.out += share.out - had
        aim = self.aims.get(frm, share.part)
        steady = YIELDING if self.wanting and aim < share.part else STEADY
        if abs(aim - share.part) > steady * share.part + 2:
            self.move(share, aim)
        share.until = now + SHARE_S + MARGIN_S
        return share.number != 0 and confirmed != share.number

    def move(self, share: Share, aim: int) -> None:
        """Lower a share at once, raise it as far as the other shares leave room."""
        had = share.out
        if aim > had:
            most = self.claimed if self.closed else WHOLE
            aim = min(aim, had + max(0, most - self.out))
            share.raised = share.raised or aim > had
        if aim == share.part:
            return
        share.before = max(share.before, share.part)
        share.part, share.number = aim, self.number()
        self.out += share.out - had

    def number(self) -> int:
        """A number for a new share, never 0."""
        self.next_number = self.next_number % (NUMBERS - 1) + 1
        return self.next_number

    def aim(self, now: float) -> None:
        """Share the allowance out by use of late; end what is over."""
        total = 0.0
        for frm, share in list(self.shares.items()):
            share.use += SMOOTH * (share.asked - share.use)
            share.asked = 0
            if now >= share.until and share.out:
                self.out -= share.out
                share.part = share.before = share.number = 0
            if not share.out and share.use < USE_ENDS:
                del self.shares[frm]
            total += share.use
        scale = WHOLE / total if total else 0.0
        aims = {frm: int(share.use * scale) for frm, share in self.shares.items()}
        self.aims = {frm: aim if aim >= LEAST_SHARE else 0 for frm, aim in aims.items()}
        self.wanting = any(aim and not self.shares[frm].out for frm, aim in self.aims.items())

    def forget(self, frm: Address) -> None:
        """A charger's process has ended: it has no share any more."""
        share = self.shares.get(frm)
        if share is not None:
            self.out -= share.out
            share.part = share.before = share.number = share.spent = 0
            share.until, share.flows = 0.0, NEVER
            self.epoch = -1
