"""The customers of one ingress: an estimate of each customer's token bucket, kept from counts and peers."""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from collections.abc import Callable

from ingress import interface as io

ASSUMED_CARRYOVER = 0.8  # fraction of the burst taken as left over from a window of which nothing was seen
EXCESS_S = 0.3  # after which a total's excess that no peer has reported was a charge that was added back
LOCAL_SHARE_STEP = 0.2  # weight of a new total in a customer's local part
RETENTION_WINDOWS = 6.0  # windows after which an idle customer is forgotten: its bucket has long been full


def mix(a: int, b: int) -> int:
    """Hash two numbers to a 63-bit name, the same at every instance."""
    return int.from_bytes(hashlib.blake2b(f"{a} {b}".encode(), digest_size=8).digest()) >> 1


class Customer:
    """One ingress's estimate of a customer's token bucket, corrected by totals of the shared counter.

    `level` is in units, as of the time `level_at`; `length` is a window of the count in seconds.
    """

    __slots__ = (
        "arrivals_at",
        "born",
        "cap_full_at",
        "chance",
        "counted",
        "counted_in",
        "excess",
        "excess_at",
        "first",
        "key",
        "known",
        "length",
        "level",
        "level_at",
        "level_from_peer",
        "open_requests",
        "own_total",
        "own_total_sent",
        "own_units_in_total",
        "part",
        "peer_totals",
        "peer_units",
        "peer_units_window",
        "pending",
        "phase",
        "plan",
        "rate",
        "rate_at",
        "rate_part",
        "recent_arrivals",
        "seen",
        "total",
        "units_in_flight",
        "unreported_arrivals",
        "width",
        "window",
    )

    def __init__(self, key: int, plan: io.PlanSettings, now: float) -> None:
        self.key = key
        self.plan = plan
        self.width = 1
        self.length = plan.burst / plan.rate if plan.rate > 0 else 1.0
        self.phase = mix(key, 0) / (1 << 63) * self.length  # customers' windows begin at different times
        self.window = -1
        self.total = 0.0
        self.own_units_in_total = 0.0  # own units in the total
        # units reported by peers, and in which window
        self.peer_units = 0.0
        self.peer_units_window = -1
        # of the total over both, taken off the level; since when
        self.excess = 0.0
        self.excess_at = 0.0
        # quarter units admitted here, and as last sent to peers
        self.own_total = 0
        self.own_total_sent = 0
        self.peer_totals: dict[int, int] = {}  # the same of each peer
        # Without history the bucket counts as full; under a ceiling it holds what a full quota cannot have
        # spent, so that a restart in a counter outage does not grant the ceiling twice.
        spent = plan.rate / plan.limit_rate if plan.limit_rate > 0 else 0.0
        self.level = plan.burst * max(0.0, 1 - spent)
        self.level_at = now
        self.first = 0
        self.born = now
        self.seen = now
        self.level_from_peer = False  # a peer has sent the level, as this ingress had just started
        # own usage not yet counted, and charges without a verdict
        self.pending = 0.0
        self.units_in_flight = 0.0
        self.part = 0.0  # fraction of the customer's recent usage that came through here
        # level carried over between windows; recent admission rate
        self.known = True
        self.chance = 1.0
        self.open_requests = 0  # open here or about to be
        # How many of them are counted, and in which window.
        self.counted = 0
        self.counted_in = -1
        self.cap_full_at = -math.inf  # when a total last showed the cap to be full
        # decaying count of recent requests, as of then
        self.recent_arrivals = 0.0
        self.arrivals_at = now
        self.unreported_arrivals = 0  # of them, not yet added to the count
        # a second at all ingresses, by a total
        self.rate = 0.0
        self.rate_part = 0.0
        self.rate_at = now

    def window_number(self, now: float) -> int:
        """The number of the window at a time."""
        return int((now + self.phase) // self.length)

    def name(self, now: float) -> int:
        """The name of the window's count at the shared counter."""
        return mix(self.key, self.window_number(now) + 1)

    def window_id(self, now: float) -> bytes:
        """The first five bytes of that name, for messages to peers."""
        return self.name(now).to_bytes(8)[:5]

    def available_units(self, now: float) -> float:
        """Units in the bucket, less all that is known to have been admitted."""
        if not self.known:  # a fixed window: no refill within it, the whole burst in the next
            return self.level if self.window_number(now) == self.window else self.plan.burst
        return min(self.plan.burst, self.level + self.plan.rate * (now - self.level_at))

    def use(self, now: float, units: float) -> None:
        """Take admitted units off the level."""
        if self.known:
            self.level = self.available_units(now) - units
            self.level_at = now
        else:
            self.level -= units

    def add_peer_usage(self, now: float, units: float) -> None:
        """Take units admitted at a peer off the level, as far as no total has contained them already."""
        covered = min(max(0.0, self.excess), max(0.0, units))
        window = self.window_number(now)
        self.peer_units = units + (self.peer_units if self.peer_units_window == window else 0.0)
        self.peer_units_window = window
        self.excess -= covered
        self.use(now, units - covered)

    def expire_excess(self, now: float, total_is_covered: Callable[[float, Customer], bool]) -> None:
        """Restore the excess of a total that no peer has reported: it was a charge that was added back."""
        if self.excess > 0 and now - self.excess_at > EXCESS_S and total_is_covered(now, self):
            self.level = self.available_units(now) + self.excess
            self.level_at = now
            self.excess = 0.0

    def apply_total(
        self,
        now: float,
        window: int,
        units: float,
        total: float,
        charge: float,
        total_is_covered: Callable[[float, Customer], bool],
    ) -> None:
        """Correct the level by a total of `window`: its excess over known usage was admitted elsewhere.

        `units` were added by the call, of which `charge` belongs to a request that is still undecided.
        """
        has_gap = self.window < window - 1
        if self.width > self.plan.burst and (has_gap or (self.window == window and not self.known)):
            # Most ingresses have no history: each would assume a nearly full bucket in every window.
            self.known = False
            self.window = window
            self.total = total
            self.level = self.plan.burst - total + charge
            self.level_at = now
            return
        self.known = True
        if self.window != window:
            self._open_window(now, window, total_is_covered(now, self))
        self.own_units_in_total = self.own_units_in_total + units
        self.total = total
        own_ratio = min(1.0, max(0.0, self.own_units_in_total) / max(total, 1e-9))
        self.part += LOCAL_SHARE_STEP * (own_ratio - self.part)
        peer_units = self.peer_units if self.peer_units_window == window else 0.0
        excess = max(0.0, total - self.own_units_in_total - peer_units)
        self.level = self.available_units(now) - (excess - self.excess)
        self.level_at = now
        self.excess = excess
        self.excess_at = now

    def _open_window(self, now: float, window: int, is_covered: bool) -> None:
        """A total of another window has come; `is_covered`: peers report all usage in it."""
        if self.window < window - 1 and not is_covered:
            # No history here: a fraction of the burst is taken as carried over.
            since = now + self.phase - window * self.length
            self.level = ASSUMED_CARRYOVER * self.plan.burst + self.plan.rate * since
            self.level_at = now
        elif self.excess > 0 and is_covered:
            self.level = self.available_units(now) + self.excess
            self.level_at = now
        self.window = window
        self.own_units_in_total = 0.0
        self.excess = 0.0


class Customers:
    """All known customers; those idle for long are forgotten, as many come once and never again."""

    def __init__(self, settings: io.Settings) -> None:
        self.known = OrderedDict[int, Customer]()  # the longest idle first
        lengths = (p.burst / p.rate for p in settings.plans if p.rate > 0)
        self.retention_s = RETENTION_WINDOWS * max(lengths, default=1.0)  # seconds

    def get_or_create(self, now: float, key: int, plan: io.PlanSettings) -> Customer:
        """A customer, created if it isn't known."""
        customer = self.known.get(key)
        if customer is None:
            customer = self.known[key] = Customer(key, plan, now)
        else:
            self.known.move_to_end(key)
        customer.seen = now
        while (first := next(iter(self.known.values()))).seen < now - self.retention_s:
            if first.units_in_flight > 0 or first.open_requests > 0:
                first.seen = now
                self.known.move_to_end(first.key)
            else:
                del self.known[first.key]
        return customer
