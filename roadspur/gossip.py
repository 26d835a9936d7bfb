"""What ingresses tell one another of what they have let in: between its own calls none sees it in a count."""

from __future__ import annotations

import struct
from collections import OrderedDict
from itertools import islice

from roadspur import interface as io
from roadspur.calling import CounterCallPolicy
from roadspur.customer import Customer, Customers

GOSSIP_INTERVAL_S, GOSSIP_INTERVAL_MAX_S = (
    0.1,
    0.25,
)  # between tellings to peers of what was let in, and at most
GOSSIP_MESSAGE_SHARE = 0.75  # of the messages that an ingress takes in, that its peers' tellings may make up
PEER_SILENT_S = 1.0  # without a message, after which a peer counts as out of touch while the counter is down;
PEER_GONE_S = 60.0  # while totals come they tell of it, and it is likely to be restarting
LEVELS = 100.0  # steps of a burst in which a message tells what is left in a store
USAGE_FORMAT = struct.Struct(">5sHbb")  # customer, plan; quarter units let in so far, since last told; level
USAGE_PREFIX = b"\x01"
USAGE_ENTRIES_MAX = (
    256 - len(USAGE_PREFIX)
) // USAGE_FORMAT.size  # customers that a message of 256 bytes tells of


class Gossip:
    """What is to be told to peers, and what was heard of them."""

    def __init__(
        self, settings: io.Settings, customers: Customers, call_policy: CounterCallPolicy, now: float
    ) -> None:
        self.s, self.customers, self.call_policy, self.began = settings, customers, call_policy, now
        self.plans = settings.plans
        taken_in = GOSSIP_MESSAGE_SHARE * settings.peer_in_per_s
        self.every = max(GOSSIP_INTERVAL_S, (settings.instances - 1) / max(1e-9, taken_in))  # seconds
        self.most = int(taken_in * self.every / max(1, settings.instances - 1))  # messages at once
        self.enabled = settings.peers and settings.instances > 1 and self.every <= GOSSIP_INTERVAL_MAX_S
        self.unsent_usage: dict[int, Customer] = {}  # whose use is to be told
        self.send_scheduled = False
        self.spent = OrderedDict[bytes, float]()  # windows known to be used up, until when it matters
        self.last_heard_from = dict.fromkeys(range(settings.instances), 0.0)  # when each peer was last heard
        self.plan_numbers = {p.name: n for n, p in enumerate(settings.plans)}

    def record_admission(self, c: Customer, units: float) -> None:
        """Units were let in here."""
        if self.enabled and c.width <= c.plan.burst:
            c.mine += round(4 * units)
            self.unsent_usage[c.key] = c

    def due_messages(self, now: float) -> list[io.Action]:
        """The messages that are due."""
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

    def encode_usage(self, now: float, c: Customer) -> bytes:
        """What a message says of one customer."""
        del self.unsent_usage[c.key]
        new = max(-128, min(127, c.mine - c.own_total_sent))
        c.own_total_sent = c.mine
        name = c.key << 7 | self.plan_numbers[c.plan.name]
        level = max(-LEVELS, min(LEVELS, LEVELS * c.available_units(now) / c.plan.burst))
        return USAGE_FORMAT.pack(name.to_bytes(5), c.mine & 0xFFFF, new, round(level))

    def handle_peer_message(self, now: float, e: io.PeerMessage) -> None:
        """What a peer has let in, or a window that is used up; what is long over is forgotten."""
        self.last_heard_from[e.sender] = now
        if e.payload[:1] == USAGE_PREFIX and len(e.payload) % USAGE_FORMAT.size == 1 and self.enabled:
            for name, total, new, level in USAGE_FORMAT.iter_unpack(e.payload[1:]):
                self.add_peer_usage(now, e.sender, int.from_bytes(name), total, new, level / LEVELS)
            return
        self.spent[e.payload] = now + self.customers.kept
        self.spent.move_to_end(e.payload)
        while self.spent[first := next(iter(self.spent))] < now:
            del self.spent[first]

    def add_peer_usage(self, now: float, peer: int, name: int, total: int, new: int, level: float) -> None:
        """A customer's use at a peer. Its total makes up for lost messages, unless it has begun anew.

        An ingress that has only begun itself knows nothing of what went before: the peer's level stands in.
        """
        plan = self.plans[name & 127] if name & 127 < len(self.plans) else None
        if plan is None or plan.rate <= 0:
            return
        c = self.customers.get_or_create(now, name >> 7, plan)
        more = (total - c.peer_totals.get(peer, total - new) + 0x8000) % 0x10000 - 0x8000
        if not -8 * self.s.max_units <= more <= 8 * c.plan.burst:
            more = new
        c.peer_totals[peer] = total
        c.add_peer_usage(now, more / 4)
        if not c.level_from_peer and now - self.began < self.customers.kept:
            c.level_from_peer, c.level, c.at = True, min(c.available_units(now), level * c.plan.burst), now

    def all_peers_reachable(self, now: float, c: Customer) -> bool:
        """Whether all ingresses of the customer's set are heard of: the store is known without calls."""
        peers = (i % self.s.instances for i in range(c.first, c.first + c.width))
        since = now - (PEER_SILENT_S if self.call_policy.counter_down() else PEER_GONE_S)
        return (
            self.enabled
            and c.width <= c.plan.burst
            and all(i == self.s.me or self.last_heard_from[i] > since for i in peers)
        )

    def total_is_covered(self, now: float, c: Customer) -> bool:
        """Whether all that the present window's total holds must have been heard of too."""
        return self.all_peers_reachable(now, c) and c.born <= c.window_number(now) * c.length - c.phase
