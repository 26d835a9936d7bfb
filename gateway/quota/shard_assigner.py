"""Assignment of shards to owners by the core's leader, under leases with fencing tokens."""

from __future__ import annotations

from hashlib import blake2b

from gateway.quota.interface import (
    ALL_SHARDS,
    LEASE_S,
    MARGIN_S,
    SHARDS,
    LeadershipChange,
    LiveControllers,
    PublishShardMap,
    Received,
    Tick,
)
from gateway.quota.quota_pb2 import LeaseGrant, LeaseRequest, Message
from gateway.quota.quota_pb2 import ShardMap as ShardMapMessage
from gateway.state_machine import Address, Send

PRESENT_S = 1.0  # a candidate that requested its lease this lately is present
STABLE_S = 2.0  # after this long without a gap in its requests, shards are moved to it from other owners
PUBLISH_INTERVAL_S = 0.2  # between two shard maps, if the first has an owner for each shard
EARLY_REQUEST_S = 0.1  # how long a request from before the leader had its lease is kept: then it is repeated
MAX_EARLY_REQUESTS = 16  # such requests kept
MAX_CACHED_ASSIGNMENTS = 32  # assignments cached, by the set of candidates
NO_OWNER = 255  # in a published shard map: index of a shard without an owner

Output = Send | PublishShardMap
Input = Received | Tick | LeadershipChange | LiveControllers


class OwnerCandidate:
    """A controller that requests shards, as known to the leader."""

    __slots__ = (
        "at",
        "asked",
        "confirmed",
        "ever_offered",
        "asked_since",
        "last_grant",
        "incarnation",
        "possibly_held",
        "offer",
        "ranks",
        "until",
    )

    def __init__(self, address: Address) -> None:
        # of its newest request
        self.incarnation = 0
        self.at = -1.0
        # when that came here, and when the first without a gap
        self.asked = -10.0
        self.asked_since = -10.0
        self.confirmed = -10.0  # when a request last showed that it had the newest grant
        # shards that it may still own, and until when
        self.possibly_held = 0
        self.until = 0.0
        # shards in the newest grant, and that grant's fencing token
        self.offer = 0
        self.last_grant = (0, 0)
        self.ever_offered = 0  # shards in any grant
        self.ranks = [
            blake2b(f"{address} {shard}".encode(), digest_size=8).digest() for shard in range(SHARDS)
        ]


class ShardAssigner:
    """State machine at the leader. Needs a `Tick` each 0.1 s, and `LeadershipChange` and `LiveControllers`
    whenever these change.

    A shard is granted to another owner only when its owner has confirmed that it gave the shard up, when that
    owner's process has restarted, or when its lease has surely expired. A new leader knows none of its
    predecessor's leases: it confirms what owners report, and grants the rest once those leases have expired
    or all controllers that could have one have sent a request.
    """

    def __init__(self) -> None:
        self.term = 0
        self.has_leader_lease = False
        self.began = 0.0
        self.settled = False
        self.number = 0  # of the newest grant or shard map, in this term
        self.live: frozenset[Address] = frozenset()
        self.members: frozenset[Address] = frozenset()
        self.candidates: dict[Address, OwnerCandidate] = {}
        self.owner_of_shard: list[Address | None] = [None] * SHARDS
        # shards not owned since then but by an owner that was told so
        self.idle = 0
        self.idle_since = 0.0
        self.early: dict[
            Address, tuple[float, LeaseRequest]
        ] = {}  # requests of this term from before it had the leader's lease, and when they came
        # has_unowned: in the newest map
        self.changed = False
        self.has_unowned = True
        self.published = 0.0
        self.data = b""
        self.assignments: dict[frozenset[Address], dict[Address, int]] = {}

    def handle(self, now: float, input: Input) -> list[Output]:
        """Process one input at steady time `now` (seconds); returns messages, and a new shard map if any."""
        if type(input) is Received:
            if input.note.WhichOneof("kind") == "request":
                if self.leads():
                    return self.on_lease_request(now, input.frm, input.note.request)
                if self.term and (len(self.early) < MAX_EARLY_REQUESTS or input.frm in self.early):
                    self.early[input.frm] = now, input.note.request
        elif type(input) is Tick:
            return self.tick(now) if self.leads() else []
        elif type(input) is LeadershipChange:
            if input.term != self.term:
                self.begin(now, input.term, input.leaderless_since)
            self.has_leader_lease = input.has_leader_lease
        elif type(input) is LiveControllers:
            self.live = frozenset(input.addresses)
            self.members = frozenset(input.members)
        return []

    def table(self) -> bytes:
        """The newest shard map of this leader in serialized form; empty before the first."""
        return self.data

    def leads(self) -> bool:
        """Whether this process may grant leases."""
        return self.term > 0 and self.has_leader_lease

    def begin(self, now: float, term: int, idle_since: float | None) -> None:
        """Begin to lead, or stop (term 0): what was known of another term is discarded."""
        self.term = term
        self.began = now
        self.settled = False
        self.number = 0
        self.candidates = {}
        self.early = {}
        self.owner_of_shard = [None] * SHARDS
        self.changed = False
        self.has_unowned = True
        self.data = b""
        self.idle, self.idle_since = (0, 0.0) if idle_since is None else (ALL_SHARDS, idle_since)

    # Leases

    def on_lease_request(self, now: float, frm: Address, request: LeaseRequest) -> list[Output]:
        """Process an owner's request: note what it may own, and grant its lease."""
        candidate = self.candidates.get(frm)
        if candidate is None:
            if frm not in self.live and frm not in self.members:
                return []
            candidate = self.candidates[frm] = OwnerCandidate(frm)
            candidate.possibly_held = request.shards
            candidate.until = now + LEASE_S + MARGIN_S
            candidate.confirmed = now
        elif candidate.incarnation != request.incarnation:
            candidate.possibly_held = request.shards
            candidate.offer = 0
            candidate.asked_since = now
            candidate.confirmed = now
            self.idle &= ~candidate.ever_offered  # its earlier process may have counted them
        elif request.at <= candidate.at:
            return []
        elif (request.term, request.number) == candidate.last_grant:
            candidate.possibly_held = request.shards
            candidate.confirmed = now
        if now > candidate.asked + PRESENT_S:
            candidate.asked_since = now
        candidate.incarnation = request.incarnation
        candidate.at = request.at
        candidate.asked = now
        self.idle &= ~(request.shards & ~candidate.ever_offered)  # owned, whoever granted them
        waited = not self.settled
        out = list[Output]()
        self.settle(now)
        out.append(self.grant(now, frm, candidate))
        if waited and self.settled:
            out += self.push(now)
        return out + self.publish(now)

    def settle(self, now: float) -> None:
        """Find out whether unreported leases of an earlier leader may still run; if not, this is settled."""
        if not self.settled:
            heard = bool(self.members) and all(a in self.candidates for a in self.members)
            self.settled = heard or now >= self.began + LEASE_S + 2 * MARGIN_S

    def grant(self, now: float, frm: Address, candidate: OwnerCandidate) -> Send:
        """Grant a candidate its shards, under a lease that runs from when it sent its request."""
        offer = self.offer(now, frm, candidate)
        self.number += 1
        candidate.offer = offer
        candidate.last_grant = (self.term, self.number)
        candidate.possibly_held |= offer
        if offer:
            candidate.until = now + LEASE_S + MARGIN_S
        candidate.ever_offered |= offer
        for shard in range(SHARDS):
            if offer >> shard & 1 and self.owner_of_shard[shard] != frm:
                if self.owner_of_shard[shard] is not None:
                    self.idle &= ~(1 << shard)
                self.owner_of_shard[shard] = frm
                self.changed = True
        hold = LeaseGrant(
            incarnation=candidate.incarnation,
            at=candidate.at,
            term=self.term,
            number=self.number,
            shards=offer,
        )
        if idle := offer & self.idle:
            hold.idle = idle
            hold.idle_ms = int(1000 * (now - self.idle_since))
        return Send(frm, Message(hold=hold))

    def offer(self, now: float, frm: Address, candidate: OwnerCandidate) -> int:
        """The shards that a candidate shall own now: free ones assigned to it, and those that it owns already
        and no stable candidate should get instead.
        """
        taken = 0
        present = []
        stable = []
        for address, other in self.candidates.items():
            if address != frm and now < other.until:
                taken |= other.possibly_held
            if address in self.live and now < other.asked + PRESENT_S and now < other.confirmed + LEASE_S:
                present.append(address)
                if address == frm or now >= other.asked_since + STABLE_S:
                    stable.append(address)
        if not self.settled:
            return candidate.possibly_held & ~taken
        if frm not in present:
            return 0
        return (
            (
                candidate.possibly_held & self.assignment(stable)[frm]
                | ~candidate.possibly_held & self.assignment(present)[frm]
            )
            & ALL_SHARDS
            & ~taken
        )

    def assignment(self, addresses: list[Address]) -> dict[Address, int]:
        """Rendezvous hashing: each shard goes to the address that ranks highest for it."""
        key = frozenset(addresses)
        assignment = self.assignments.get(key)
        if assignment is None:
            if len(self.assignments) >= MAX_CACHED_ASSIGNMENTS:
                self.assignments.clear()
            assignment = self.assignments[key] = dict.fromkeys(key, 0)
            for shard in range(SHARDS):
                owner = max((self.candidates[address].ranks[shard], address) for address in key)[1]
                assignment[owner] |= 1 << shard
        return assignment

    def tick(self, now: float) -> list[Output]:
        """Grant shards that have become free to their candidates, and publish the shard map."""
        out: list[Output] = []
        early, self.early = self.early, {}
        for address, (came, request) in early.items():
            if now - came <= EARLY_REQUEST_S:
                out += self.on_lease_request(now, address, request)
        self.settle(now)
        taken = 0
        for address, candidate in list(self.candidates.items()):
            if now >= candidate.until and now >= candidate.asked + 60:
                del self.candidates[address]
            taken |= candidate.possibly_held if now < candidate.until else 0
        if self.settled and taken != ALL_SHARDS:
            out += self.push(now)
        return out + self.publish(now)

    def push(self, now: float) -> list[Output]:
        """Grant free shards to the candidates they are assigned to, without waiting for the next request."""
        return [
            self.grant(now, address, candidate)
            for address, candidate in self.candidates.items()
            if now < candidate.asked + LEASE_S / 2 and self.offer(now, address, candidate) & ~candidate.offer
        ]

    # The shard map

    def publish(self, now: float) -> list[Output]:
        """Publish a changed shard map: not too often, unless the last one had shards without an owner, and
        not before an earlier leader's leases are accounted for.
        """
        if (
            not self.changed
            or not self.settled
            or (now < self.published + PUBLISH_INTERVAL_S and not self.has_unowned)
        ):
            return []
        self.changed = False
        self.has_unowned = None in self.owner_of_shard
        self.published = now
        self.number += 1
        owners = sorted({a for a in self.owner_of_shard if a is not None})
        owner_of_shard = bytes(NO_OWNER if a is None else owners.index(a) for a in self.owner_of_shard)
        message = ShardMapMessage(
            term=self.term, number=self.number, owners=owners, owner_of_shard=owner_of_shard
        )
        self.data = message.SerializeToString()
        return [PublishShardMap((self.term, self.number), self.data)]
