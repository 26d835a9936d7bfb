"""Usage reports between ingresses. Without them, usage at peers is visible only in the counter's totals."""

from __future__ import annotations

import struct
from collections import OrderedDict
from itertools import islice

from ingress import interface as io
from ingress.calling import CounterCallPolicy
from ingress.customer import Customer, Customers

GOSSIP_INTERVAL_S = 0.1  # minimum interval between usage reports
GOSSIP_INTERVAL_MAX_S = 0.25  # usage reports are disabled if the rate limit requires a longer interval
GOSSIP_MESSAGE_SHARE = 0.75  # fraction of an ingress's incoming message rate used for usage reports
PEER_SILENT_S = 1.0  # a peer counts as unreachable after this time while the counter is down
# The same while the counter is up: its totals contain the peer's usage, and the peer is probably restarting.
PEER_GONE_S = 60.0
LEVELS = 100.0  # resolution of a bucket level in a report, in steps per burst
# Customer and plan; total in quarter units; quarter units since the last report; level.
USAGE_FORMAT = struct.Struct(">5sHbb")
USAGE_PREFIX = b"\x01"
USAGE_ENTRIES_MAX = (256 - len(USAGE_PREFIX)) // USAGE_FORMAT.size  # a message has at most 256 bytes


class Gossip:
    """Usage to be reported to peers, and the usage that peers have reported."""

    def __init__(
        self, settings: io.Settings, customers: Customers, call_policy: CounterCallPolicy, now: float
    ) -> None:
        self.settings = settings
        self.customers = customers
        self.call_policy = call_policy
        self.began = now
        self.plans = settings.plans
        taken_in = GOSSIP_MESSAGE_SHARE * settings.peer_in_per_s
        # Interval in seconds.
        self.every = max(GOSSIP_INTERVAL_S, (settings.instances - 1) / max(1e-9, taken_in))
        # Maximum messages per interval.
        self.most = int(taken_in * self.every / max(1, settings.instances - 1))
        self.enabled = settings.peers and settings.instances > 1 and self.every <= GOSSIP_INTERVAL_MAX_S
        self.unsent_usage: dict[int, Customer] = {}  # customers with usage to be reported
        self.send_scheduled = False
        self.spent = OrderedDict[bytes, float]()  # windows that are used up, and until when this is relevant
        self.last_heard_from = dict.fromkeys(range(settings.instances), 0.0)  # by peer
        self.plan_numbers = {p.name: n for n, p in enumerate(settings.plans)}

    def record_admission(self, customer: Customer, units: float) -> None:
        """Record locally admitted units to be reported."""
        if self.enabled and customer.width <= customer.plan.burst:
            customer.own_total += round(4 * units)
            self.unsent_usage[customer.key] = customer

    def due_messages(self, now: float) -> list[io.Action]:
        """Build the usage reports that are due; what exceeds the rate limit waits for the next interval."""
        self.send_scheduled = False
        waiting = list(islice(self.unsent_usage.values(), max(1, self.most) * USAGE_ENTRIES_MAX))
        return [
            io.SendPeerMessage(
                None,
                USAGE_PREFIX
                + b"".join(self.encode_usage(now, c) for c in waiting[n : n + USAGE_ENTRIES_MAX]),
            )
            for n in range(0, len(waiting), USAGE_ENTRIES_MAX)
        ]

    def encode_usage(self, now: float, customer: Customer) -> bytes:
        """Encode one customer's entry in a usage report."""
        del self.unsent_usage[customer.key]
        new = max(-128, min(127, customer.own_total - customer.own_total_sent))
        customer.own_total_sent = customer.own_total
        name = customer.key << 7 | self.plan_numbers[customer.plan.name]
        level = max(-LEVELS, min(LEVELS, LEVELS * customer.available_units(now) / customer.plan.burst))
        return USAGE_FORMAT.pack(name.to_bytes(5), customer.own_total & 0xFFFF, new, round(level))

    def handle_peer_message(self, now: float, event: io.PeerMessage) -> None:
        """Handle a peer's usage report, or its notice that a window is used up."""
        self.last_heard_from[event.sender] = now
        if event.payload[:1] == USAGE_PREFIX and len(event.payload) % USAGE_FORMAT.size == 1 and self.enabled:
            for name, total, new, level in USAGE_FORMAT.iter_unpack(event.payload[1:]):
                self.add_peer_usage(now, event.sender, int.from_bytes(name), total, new, level / LEVELS)
            return
        self.spent[event.payload] = now + self.customers.retention_s
        self.spent.move_to_end(event.payload)
        while self.spent[first := next(iter(self.spent))] < now:
            del self.spent[first]

    def add_peer_usage(self, now: float, peer: int, name: int, total: int, new: int, level: float) -> None:
        """Apply a customer's usage at a peer; its total makes up for lost messages unless the peer restarted.

        An ingress that has just started has no history, so it adopts the peer's level instead.
        """
        plan = self.plans[name & 127] if name & 127 < len(self.plans) else None
        if plan is None or plan.rate <= 0:
            return
        customer = self.customers.get_or_create(now, name >> 7, plan)
        more = (total - customer.peer_totals.get(peer, total - new) + 0x8000) % 0x10000 - 0x8000
        if not -8 * self.settings.max_units <= more <= 8 * customer.plan.burst:
            more = new
        customer.peer_totals[peer] = total
        customer.add_peer_usage(now, more / 4)
        if not customer.level_from_peer and now - self.began < self.customers.retention_s:
            customer.level_from_peer, customer.level, customer.level_at = (
                True,
                min(customer.available_units(now), level * customer.plan.burst),
                now,
            )

    def all_peers_reachable(self, now: float, customer: Customer) -> bool:
        """Whether all ingresses of the customer's set are in contact, so that calls aren't needed."""
        peers = (i % self.settings.instances for i in range(customer.first, customer.first + customer.width))
        since = now - (PEER_SILENT_S if self.call_policy.counter_down() else PEER_GONE_S)
        return (
            self.enabled
            and customer.width <= customer.plan.burst
            and all(i == self.settings.me or self.last_heard_from[i] > since for i in peers)
        )

    def total_is_covered(self, now: float, customer: Customer) -> bool:
        """Whether peers must have reported all usage in the current window's total."""
        return (
            self.all_peers_reachable(now, customer)
            and customer.born <= customer.window_number(now) * customer.length - customer.phase
        )
