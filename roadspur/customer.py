"""What one ingress knows of its customers."""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from collections.abc import Callable

from roadspur import interface as io

UNKNOWN = 0.8  # of the burst that counts as left of a window that nothing was seen of
EXCESS_S = 0.3  # after which what a total held and no peer has told was a charge that was added back
PART = 0.2  # weight of a new total in a customer's part
KEPT_LENGTHS = 6.0  # windows after which a quiet customer is forgotten: its store has long been full


def mix(a: int, b: int) -> int:
    """A 63-bit name out of two numbers, the same at every instance."""
    return int.from_bytes(hashlib.blake2b(f"{a} {b}".encode(), digest_size=8).digest()) >> 1


class Customer:
    """What one ingress knows of a customer's count: a refilling store, seen through totals."""

    __slots__ = (
        "key",
        "plan",
        "width",
        "first",
        "length",
        "phase",
        "window",
        "total",
        "told",
        "heard",
        "heard_in",
        "excess",
        "excess_at",
        "mine",
        "own_total_sent",
        "peer_totals",
        "level",
        "at",
        "born",
        "level_from_peer",
        "seen",
        "pending",
        "units_in_flight",
        "part",
        "known",
        "chance",
        "out",
        "counted",
        "counted_in",
        "pressed",
        "came",
        "came_at",
        "unreported_arrivals",
        "rate",
        "rate_part",
        "rate_at",
    )

    def __init__(self, key: int, plan: io.PlanSettings, now: float) -> None:
        self.key, self.plan, self.width = key, plan, 1
        self.length = plan.burst / plan.rate if plan.rate > 0 else 1.0
        self.phase = mix(key, 0) / (1 << 63) * self.length  # windows of customers turn at different times
        self.window, self.total = -1, 0.0
        self.told = 0.0  # own units that the total holds
        self.heard, self.heard_in = 0.0, -1  # what peers have told of, and in which window
        self.excess, self.excess_at = 0.0, 0.0  # of the total over both, taken off the level; since when
        self.mine, self.own_total_sent = 0, 0  # quarter units let in here, and as last told to peers
        self.peer_totals: dict[int, int] = {}  # the same of each peer
        # Without history the store counts as full; under a ceiling as what a full quota cannot have spent, so
        # that a restart in a counter outage does not hand the ceiling out twice.
        spent = plan.rate / plan.ceiling_rate if plan.ceiling_rate > 0 else 0.0
        self.level, self.at = plan.burst * max(0.0, 1 - spent), now
        self.first, self.born, self.seen = 0, now, now
        self.level_from_peer = False  # a peer has told the level to this ingress, which had only begun
        self.pending, self.units_in_flight = (
            0.0,
            0.0,
        )  # own use not in the count yet, and charges without a verdict
        self.part = 0.0  # of the customer's recent use, what came through here
        self.known, self.chance = True, 1.0  # carried on from an earlier window; share admitted of late
        self.out = 0  # requests open or about to be here; how many of them a count holds, and which
        self.counted, self.counted_in = 0, -1
        self.pressed = -math.inf  # when a total last showed the cap to be full
        self.came, self.came_at = 0.0, now  # requests of late, as of then
        self.unreported_arrivals = 0  # of them, not yet told to the count
        self.rate, self.rate_part, self.rate_at = 0.0, 0.0, now  # a second, at all ingresses, as a total told

    def window_number(self, now: float) -> int:
        """The number of the window."""
        return int((now + self.phase) // self.length)

    def name(self, now: float) -> int:
        """The name of the count of the window."""
        return mix(self.key, self.window_number(now) + 1)

    def window_id(self, now: float) -> bytes:
        """That name in few bytes, for peers."""
        return self.name(now).to_bytes(8)[:5]

    def available_units(self, now: float) -> float:
        """Units in the store, with all that is known to have been let in taken off."""
        if not self.known:  # a fixed window: no refill within it, the whole burst in the next
            return self.level if self.window_number(now) == self.window else self.plan.burst
        return min(self.plan.burst, self.level + self.plan.rate * (now - self.at))

    def use(self, now: float, units: float) -> None:
        """Units were let in."""
        if self.known:
            self.level, self.at = self.available_units(now) - units, now
        else:
            self.level -= units

    def add_peer_usage(self, now: float, units: float) -> None:
        """Units were let in at a peer; a total may have shown a part of that already."""
        covered = min(max(0.0, self.excess), max(0.0, units))
        window = self.window_number(now)
        self.heard, self.heard_in = units + (self.heard if self.heard_in == window else 0.0), window
        self.excess -= covered
        self.use(now, units - covered)

    def expire_excess(self, now: float, total_is_covered: Callable[[float, Customer], bool]) -> None:
        """What a total held and no peer has told since was a charge that has been added back."""
        if self.excess > 0 and now - self.excess_at > EXCESS_S and total_is_covered(now, self):
            self.level, self.at, self.excess = self.available_units(now) + self.excess, now, 0.0

    def apply_total(
        self,
        now: float,
        window: int,
        units: float,
        total: float,
        charge: float,
        total_is_covered: Callable[[float, Customer], bool],
    ) -> None:
        """Put the store right by a total: what it holds over what is known came in elsewhere."""
        if self.width > self.plan.burst and (
            self.window < window - 1 or (self.window == window and not self.known)
        ):
            # No history at most ingresses: each would take most of a store to be left, anew in every window.
            self.known, self.window, self.total = False, window, total
            self.level, self.at = self.plan.burst - total + charge, now
            return
        self.known = True
        if self.window != window:
            if self.window < window - 1 and not total_is_covered(now, self):
                # No history here: a part of the burst is taken as carried over.
                since = now + self.phase - window * self.length
                self.level, self.at = UNKNOWN * self.plan.burst + self.plan.rate * since, now
            elif self.excess > 0 and total_is_covered(now, self):
                self.level, self.at = self.available_units(now) + self.excess, now
            self.window, self.told, self.excess = window, 0.0, 0.0
        self.told, self.total = self.told + units, total
        self.part += PART * (min(1.0, max(0.0, self.told) / max(total, 1e-9)) - self.part)
        excess = max(0.0, total - self.told - (self.heard if self.heard_in == window else 0.0))
        self.level, self.at = self.available_units(now) - (excess - self.excess), now
        self.excess, self.excess_at = excess, now


class Customers:
    """All customers that are known; those long quiet are forgotten: many come once and never again."""

    def __init__(self, settings: io.Settings) -> None:
        self.known = OrderedDict[int, Customer]()  # the longest quiet first
        lengths = (p.burst / p.rate for p in settings.plans if p.rate > 0)
        self.kept = KEPT_LENGTHS * max(lengths, default=1.0)  # seconds

    def get_or_create(self, now: float, key: int, plan: io.PlanSettings) -> Customer:
        """A customer, known or new."""
        c = self.known.get(key)
        if c is None:
            c = self.known[key] = Customer(key, plan, now)
        else:
            self.known.move_to_end(key)
        c.seen = now
        while (first := next(iter(self.known.values()))).seen < now - self.kept:
            if first.units_in_flight > 0 or first.out > 0:
                first.seen = now
                self.known.move_to_end(first.key)
            else:
                del self.known[first.key]
        return c
