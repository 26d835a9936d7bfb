"""The customers of one ingress: an estimate of each customer's token bucket, from counts and peers."""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from collections.abc import Callable

from ingress import interface as io

ASSUMED_CARRYOVER = 0.8  # fraction of the burst assumed to be left over from a window without observations
EXCESS_S = 0.3  # an excess of a total that no peer reports within this time was a charge that was reversed
LOCAL_SHARE_STEP = 0.2  # weight of a new total in a customer's local fraction
# Idle customers are removed after this many windows; their buckets have been full for long.
RETENTION_WINDOWS = 6.0


def mix(a: int, b: int) -> int:
    """Hash two numbers to a 63-bit name that is the same at every ingress."""
    return int.from_bytes(hashlib.blake2b(f"{a} {b}".encode(), digest_size=8).digest()) >> 1


class Customer:
    """One ingress's estimate of a customer's token bucket, corrected by totals of the shared counter.

    `level` is the number of units at the time `level_at`; `length` is the length of a count's window in
    seconds.
    """

    __slots__ = (
        "admit_rate",
        "arrivals_at",
        "born",
        "cap_full_at",
        "carries_over",
        "counted",
        "counted_in",
        "excess",
        "excess_at",
        "first",
        "key",
        "length",
        "level",
        "level_at",
        "level_from_peer",
        "local_fraction",
        "open_requests",
        "own_total",
        "own_total_sent",
        "own_units_in_total",
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
        # The windows of customers begin at different times.
        self.phase = mix(key, 0) / (1 << 63) * self.length
        self.window = -1
        self.total = 0.0
        self.own_units_in_total = 0.0  # own units contained in the total
        # Units reported by peers, and the window they belong to.
        self.peer_units = 0.0
        self.peer_units_window = -1
        # Part of the total beyond both, which was taken from the level, and the time of the last total.
        self.excess = 0.0
        self.excess_at = 0.0
        # Quarter units admitted here, in total and as last sent to peers.
        self.own_total = 0
        self.own_total_sent = 0
        self.peer_totals: dict[int, int] = {}  # the same total for each peer
        # Without history the bucket is assumed to be full. With a rate limit, units that a full quota may
        # have spent are subtracted, so that a restart during a counter outage does not grant the limit twice.
        spent = plan.rate / plan.limit_rate if plan.limit_rate > 0 else 0.0
        self.level = plan.burst * max(0.0, 1 - spent)
        self.level_at = now
        self.first = 0
        self.born = now
        self.seen = now
        self.level_from_peer = False  # a peer has sent the level because this ingress had just started
        # Own usage that isn't counted yet, and charges without a verdict.
        self.pending = 0.0
        self.units_in_flight = 0.0
        self.local_fraction = 0.0  # fraction of the customer's recent usage that arrived here
        # Whether the level carries over between windows; recent admission rate.
        self.carries_over = True
        self.admit_rate = 1.0
        self.open_requests = 0  # open here, or about to be
        # The counted part of them, and the window of that count.
        self.counted = 0
        self.counted_in = -1
        self.cap_full_at = -math.inf  # time of the last total that reached the cap
        # Decaying count of recent requests, and its time.
        self.recent_arrivals = 0.0
        self.arrivals_at = now
        self.unreported_arrivals = 0  # arrivals that haven't been added to the count
        # Arrivals per second at all ingresses according to a total, and the weight of that estimate.
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
        """Units in the bucket, reduced by everything that is known to have been admitted."""
        if not self.carries_over:  # a fixed window: no refill within it, the complete burst in the next one
            return self.level if self.window_number(now) == self.window else self.plan.burst
        return min(self.plan.burst, self.level + self.plan.rate * (now - self.level_at))

    def use(self, now: float, units: float) -> None:
        """Take admitted units from the level."""
        if self.carries_over:
            self.level = self.available_units(now) - units
            self.level_at = now
        else:
            self.level -= units

    def add_peer_usage(self, now: float, units: float) -> None:
        """Take units admitted at a peer from the level, unless a total has already included them."""
        covered = min(max(0.0, self.excess), max(0.0, units))
        window = self.window_number(now)
        self.peer_units = units + (self.peer_units if self.peer_units_window == window else 0.0)
        self.peer_units_window = window
        self.excess -= covered
        self.use(now, units - covered)

    def expire_excess(self, now: float, total_is_covered: Callable[[float, Customer], bool]) -> None:
        """Restore an excess that no peer has reported, because it was a charge that was reversed."""
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
        """Correct the level by a total of `window`; its excess over known usage was admitted elsewhere.

        The call added `units`, of which `charge` belongs to a request that is still undecided.
        """
        has_gap = self.window < window - 1
        if self.width > self.plan.burst and (has_gap or (self.window == window and not self.carries_over)):
            # Most ingresses have no history and would assume a nearly full bucket in every window.
            self.carries_over = False
            self.window = window
            self.total = total
            self.level = self.plan.burst - total + charge
            self.level_at = now
            return
        self.carries_over = True
        if self.window != window:
            self._open_window(now, window, total_is_covered(now, self))
        self.own_units_in_total = self.own_units_in_total + units
        self.total = total
        own_ratio = min(1.0, max(0.0, self.own_units_in_total) / max(total, 1e-9))
        self.local_fraction += LOCAL_SHARE_STEP * (own_ratio - self.local_fraction)
        peer_units = self.peer_units if self.peer_units_window == window else 0.0
        excess = max(0.0, total - self.own_units_in_total - peer_units)
        self.level = self.available_units(now) - (excess - self.excess)
        self.level_at = now
        self.excess = excess
        self.excess_at = now

    def _open_window(self, now: float, window: int, is_covered: bool) -> None:
        """Start another window; `is_covered` means that peers report all usage in it."""
        if self.window < window - 1 and not is_covered:
            # Without history, a fraction of the burst is assumed to be carried over.
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
    """All known customers. Long idle ones are removed, because many customers never return."""

    def __init__(self, settings: io.Settings) -> None:
        self.by_key = OrderedDict[int, Customer]()  # in order of decreasing idle time
        lengths = (p.burst / p.rate for p in settings.plans if p.rate > 0)
        self.retention_s = RETENTION_WINDOWS * max(lengths, default=1.0)  # seconds

    def get_or_create(self, now: float, key: int, plan: io.PlanSettings) -> Customer:
        """Return a customer, which is created if necessary."""
        customer = self.by_key.get(key)
        if customer is None:
            customer = self.by_key[key] = Customer(key, plan, now)
        else:
            self.by_key.move_to_end(key)
        customer.seen = now
        while (first := next(iter(self.by_key.values()))).seen < now - self.retention_s:
            if first.units_in_flight > 0 or first.open_requests > 0:
                first.seen = now
                self.by_key.move_to_end(first.key)
            else:
                del self.by_key[first.key]
        return customer
