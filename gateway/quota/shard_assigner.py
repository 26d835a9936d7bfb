"""Assignment of shards to owners by the core's leader, under leases with fencing tokens."""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple, assert_never

from gateway.quota.events import AssignerEvent, LeadershipChange, LiveControllers, Received, Tick
from gateway.quota.outputs import AssignerOutput, PublishShardMap
from gateway.quota.protocol import ALL_SHARDS, LEASE_MARGIN_S, LEASE_S, SHARDS
from gateway.quota.quota_pb2 import LeaseGrant, LeaseRequest, Message, ShardMap
from gateway.state_machine import LONG_AGO, Address, FencingToken, Send

PRESENT_S = 1.0  # a candidate that requested its lease this lately is present
STABLE_S = 2.0  # after this long without a gap in its requests, shards are moved to it from other owners
FORGET_S = 60.0  # a candidate without a lease that hasn't requested one for so long is forgotten
PUBLISH_INTERVAL_S = 0.2  # between two shard maps, if the first has an owner for each shard
EARLY_REQUEST_S = 0.1  # how long a request from before the leader had its lease is kept: then it is repeated
MAX_EARLY_REQUESTS = 16  # such requests kept
MAX_CACHED_ASSIGNMENTS = 32  # assignments cached, by the set of candidates
NO_OWNER = 255  # in a published shard map: index of a shard without an owner


class OwnerCandidate:
    """A controller that requests shards, as known to the leader. Sets of shards are bitmasks."""

    __slots__ = (
        "ever_granted",
        "grant_confirmed_at",
        "granted",
        "incarnation",
        "last_grant",
        "lease_expires_at",
        "possibly_owned",
        "ranks",
        "request_sent_at",
        "requested_at",
        "requesting_since",
    )

    def __init__(self, address: Address) -> None:
        self.incarnation = 0  # of its newest request
        self.request_sent_at = -1.0  # its newest request, by its own clock
        self.requested_at = LONG_AGO  # when that came here
        self.requesting_since = LONG_AGO  # when the first one without a gap since came here
        self.grant_confirmed_at = LONG_AGO  # when a request last showed that it had the newest grant
        self.possibly_owned = 0  # shards that it may still own
        self.lease_expires_at = 0.0  # until when it may
        self.granted = 0  # shards in the newest grant
        self.last_grant = FencingToken(0, 0)
        self.ever_granted = 0  # shards in any grant
        self.ranks = [
            blake2b(f"{address} {shard}".encode(), digest_size=8).digest() for shard in range(SHARDS)
        ]


class EarlyRequest(NamedTuple):
    """A request that came before this process had the leader's lease, and when."""

    came_at: float
    request: LeaseRequest


class ShardAssigner:
    """State machine at the leader.

    Needs a `Tick` each 0.1 s, and `LeadershipChange` and `LiveControllers` whenever these change.

    A shard is granted to another owner only when its owner has confirmed that it gave the shard up, when that
    owner's process has restarted, or when its lease has surely expired. A new leader knows none of its
    predecessor's leases: it confirms what owners report, and grants the rest once those leases have expired
    or all controllers that could have one have sent a request.
    """

    def __init__(self) -> None:
        self.term = 0
        self.has_leader_lease = False
        self.term_began_at = 0.0
        self.former_leases_known = False  # no unreported lease of an earlier leader may still run
        self.number = 0  # of the newest grant or shard map, in this term
        self.live: frozenset[Address] = frozenset()
        self.members: frozenset[Address] = frozenset()
        self.candidates: dict[Address, OwnerCandidate] = {}
        self.owner_of_shard: list[Address | None] = [None] * SHARDS
        self.idle = 0  # shards not owned since `idle_since`, but by an owner that was told so
        self.idle_since = 0.0
        self.early_requests: dict[Address, EarlyRequest] = {}  # of this term
        self.is_changed = False  # since the newest shard map
        self.has_unowned = True  # in the newest shard map
        self.published_at = 0.0
        self.published_map = b""
        self.assignments: dict[frozenset[Address], dict[Address, int]] = {}

    def handle(self, now: float, event: AssignerEvent) -> list[AssignerOutput]:
        """Process one event at steady time `now` (seconds); returns messages, and a new shard map if any."""
        match event:
            case Received(sender, message):
                if message.WhichOneof("kind") == "lease_request":
                    return self._receive(now, sender, message.lease_request)
            case Tick():
                return self._tick(now) if self._may_grant() else []
            case LeadershipChange():
                if event.term != self.term:
                    self._begin_term(now, event.term, event.leaderless_since)
                self.has_leader_lease = event.has_leader_lease
            case LiveControllers():
                self.live = frozenset(event.addresses)
                self.members = frozenset(event.members)
            case _:
                assert_never(event)
        return []

    def shard_map(self) -> bytes:
        """The newest shard map of this leader in serialized form; empty before the first."""
        return self.published_map

    def _may_grant(self) -> bool:
        """Whether this process may grant leases."""
        return self.term > 0 and self.has_leader_lease

    def _begin_term(self, now: float, term: int, idle_since: float | None) -> None:
        """Begin to lead, or stop (term 0): what was known of another term is discarded."""
        self.term = term
        self.term_began_at = now
        self.former_leases_known = False
        self.number = 0
        self.candidates = {}
        self.early_requests = {}
        self.owner_of_shard = [None] * SHARDS
        self.is_changed = False
        self.has_unowned = True
        self.published_map = b""
        self.idle = 0 if idle_since is None else ALL_SHARDS
        self.idle_since = 0.0 if idle_since is None else idle_since

    # Leases.

    def _receive(self, now: float, sender: Address, request: LeaseRequest) -> list[AssignerOutput]:
        if self._may_grant():
            return self._on_lease_request(now, sender, request)
        has_room = len(self.early_requests) < MAX_EARLY_REQUESTS or sender in self.early_requests
        if self.term and has_room:
            self.early_requests[sender] = EarlyRequest(now, request)
        return []

    def _on_lease_request(self, now: float, sender: Address, request: LeaseRequest) -> list[AssignerOutput]:
        """Process an owner's request: note what it may own, and grant its lease."""
        candidate = self._update_candidate(now, sender, request)
        if candidate is None:
            return []
        self.idle &= ~(request.shards & ~candidate.ever_granted)  # owned, whoever granted them
        was_known = self.former_leases_known
        self._check_former_leases(now)
        outputs: list[AssignerOutput] = [self._grant(now, sender, candidate)]
        if self.former_leases_known and not was_known:
            outputs += self._grant_free_shards(now)
        return outputs + self._publish(now)

    def _update_candidate(self, now: float, sender: Address, request: LeaseRequest) -> OwnerCandidate | None:
        """Note what an owner's request says of it; None if it gets no answer."""
        candidate = self.candidates.get(sender)
        if candidate is None:
            if sender not in self.live and sender not in self.members:
                return None
            candidate = OwnerCandidate(sender)
            self.candidates[sender] = candidate
            candidate.possibly_owned = request.shards
            candidate.lease_expires_at = now + LEASE_S + LEASE_MARGIN_S
            candidate.grant_confirmed_at = now
        elif candidate.incarnation != request.incarnation:
            candidate.possibly_owned = request.shards
            candidate.granted = 0
            candidate.requesting_since = now
            candidate.grant_confirmed_at = now
            self.idle &= ~candidate.ever_granted  # its earlier process may have counted them
        elif request.sent_at <= candidate.request_sent_at:
            return None
        elif (request.term, request.number) == candidate.last_grant:
            candidate.possibly_owned = request.shards
            candidate.grant_confirmed_at = now
        if now > candidate.requested_at + PRESENT_S:
            candidate.requesting_since = now
        candidate.incarnation = request.incarnation
        candidate.request_sent_at = request.sent_at
        candidate.requested_at = now
        return candidate

    def _check_former_leases(self, now: float) -> None:
        """Find out whether unreported leases of an earlier leader may still run."""
        if not self.former_leases_known:
            all_heard = bool(self.members) and all(a in self.candidates for a in self.members)
            expire_at = self.term_began_at + LEASE_S + 2 * LEASE_MARGIN_S
            self.former_leases_known = all_heard or now >= expire_at

    def _grant(self, now: float, address: Address, candidate: OwnerCandidate) -> Send:
        """Grant a candidate its shards, under a lease that runs from when it sent its request."""
        granted = self._shards_to_grant(now, address, candidate)
        self.number += 1
        candidate.granted = granted
        candidate.last_grant = FencingToken(self.term, self.number)
        candidate.possibly_owned |= granted
        if granted:
            candidate.lease_expires_at = now + LEASE_S + LEASE_MARGIN_S
        candidate.ever_granted |= granted
        self._set_owner(granted, address)
        grant = LeaseGrant(
            incarnation=candidate.incarnation,
            request_sent_at=candidate.request_sent_at,
            term=self.term,
            number=self.number,
            shards=granted,
        )
        if idle := granted & self.idle:
            grant.idle_shards = idle
            grant.idle_ms = int(1000 * (now - self.idle_since))
        return Send(address, Message(lease_grant=grant))

    def _set_owner(self, shards: int, address: Address) -> None:
        """Note the owner of these shards; one that another candidate had owned isn't idle any more."""
        for shard in range(SHARDS):
            if shards >> shard & 1 and self.owner_of_shard[shard] != address:
                if self.owner_of_shard[shard] is not None:
                    self.idle &= ~(1 << shard)
                self.owner_of_shard[shard] = address
                self.is_changed = True

    def _shards_to_grant(self, now: float, address: Address, candidate: OwnerCandidate) -> int:
        """The shards that a candidate shall own now.

        These are free ones assigned to it, and those that it owns already and no stable candidate should get
        instead.
        """
        taken = 0
        present: list[Address] = []
        stable: list[Address] = []
        for other_address, other in self.candidates.items():
            if other_address != address and now < other.lease_expires_at:
                taken |= other.possibly_owned
            if self._is_present(now, other_address, other):
                present.append(other_address)
                if other_address == address or now >= other.requesting_since + STABLE_S:
                    stable.append(other_address)
        if not self.former_leases_known:
            return candidate.possibly_owned & ~taken
        if address not in present:
            return 0
        kept = candidate.possibly_owned & self._assignment(stable)[address]
        new = ~candidate.possibly_owned & self._assignment(present)[address]
        return (kept | new) & ALL_SHARDS & ~taken

    def _is_present(self, now: float, address: Address, candidate: OwnerCandidate) -> bool:
        """Whether a candidate may be granted shards: it is live, and its grants reach it."""
        return (
            address in self.live
            and now < candidate.requested_at + PRESENT_S
            and now < candidate.grant_confirmed_at + LEASE_S
        )

    def _assignment(self, addresses: list[Address]) -> dict[Address, int]:
        """Rendezvous hashing: each shard goes to the address that ranks highest for it."""
        key = frozenset(addresses)
        assignment = self.assignments.get(key)
        if assignment is None:
            if len(self.assignments) >= MAX_CACHED_ASSIGNMENTS:
                self.assignments.clear()
            assignment = dict.fromkeys(key, 0)
            for shard in range(SHARDS):
                owner = max((self.candidates[address].ranks[shard], address) for address in key)[1]
                assignment[owner] |= 1 << shard
            self.assignments[key] = assignment
        return assignment

    def _tick(self, now: float) -> list[AssignerOutput]:
        """Grant shards that have become free to their candidates, and publish the shard map."""
        outputs: list[AssignerOutput] = []
        early_requests = self.early_requests
        self.early_requests = {}
        for address, early in early_requests.items():
            if now - early.came_at <= EARLY_REQUEST_S:
                outputs += self._on_lease_request(now, address, early.request)
        self._check_former_leases(now)
        taken = 0
        for address, candidate in list(self.candidates.items()):
            has_lease = now < candidate.lease_expires_at
            if not has_lease and now >= candidate.requested_at + FORGET_S:
                del self.candidates[address]
            taken |= candidate.possibly_owned if has_lease else 0
        if self.former_leases_known and taken != ALL_SHARDS:
            outputs += self._grant_free_shards(now)
        return outputs + self._publish(now)

    def _grant_free_shards(self, now: float) -> list[AssignerOutput]:
        """Grant free shards to the candidates they are assigned to, without waiting for the next request."""
        return [
            self._grant(now, address, candidate)
            for address, candidate in self.candidates.items()
            if now < candidate.requested_at + LEASE_S / 2
            and self._shards_to_grant(now, address, candidate) & ~candidate.granted
        ]

    # The shard map.

    def _publish(self, now: float) -> list[AssignerOutput]:
        """Publish a changed shard map.

        Not too often, unless the last one had shards without an owner, and not before an earlier leader's
        leases are accounted for.
        """
        if not self.is_changed or not self.former_leases_known:
            return []
        if now < self.published_at + PUBLISH_INTERVAL_S and not self.has_unowned:
            return []
        self.is_changed = False
        self.has_unowned = None in self.owner_of_shard
        self.published_at = now
        self.number += 1
        owners = sorted({a for a in self.owner_of_shard if a is not None})
        owner_of_shard = bytes(NO_OWNER if a is None else owners.index(a) for a in self.owner_of_shard)
        shard_map = ShardMap(term=self.term, number=self.number, owners=owners, owner_of_shard=owner_of_shard)
        self.published_map = shard_map.SerializeToString()
        return [PublishShardMap(FencingToken(self.term, self.number), self.published_map)]
