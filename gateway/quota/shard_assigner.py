"""Assignment of shards to owners by the leader of the core, under leases with fencing tokens."""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple, assert_never

from gateway.quota.events import AssignerEvent, LeadershipChange, LiveControllers, Received, Tick
from gateway.quota.outputs import AssignerOutput, PublishShardMap
from gateway.quota.protocol import ALL_SHARDS, LEASE_MARGIN_S, LEASE_S, SHARDS
from gateway.quota.quota_pb2 import LeaseGrant, LeaseRequest, Message, ShardMap
from gateway.state_machine import LONG_AGO, Address, FencingToken, Send

PRESENT_S = 1.0  # a candidate whose last lease request is more recent than this counts as present
# A candidate that has sent requests without a gap for this long may take over shards of other owners.
STABLE_S = 2.0
FORGET_S = 60.0  # a candidate without a lease is removed after this time without a request
PUBLISH_INTERVAL_S = 0.2  # minimum interval between shard maps, if the first one has an owner for each shard
# Requests received before the leader had its lease are stored this long; then they are repeated.
EARLY_REQUEST_S = 0.1
MAX_EARLY_REQUESTS = 16  # maximum number of such requests
MAX_CACHED_ASSIGNMENTS = 32  # cached assignments, by set of candidates
NO_OWNER = 255  # index of a shard without an owner in a published shard map


class OwnerCandidate:
    """A controller that requests shards, as seen by the leader. Sets of shards are bitmasks."""

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
        self.incarnation = 0  # incarnation in its newest request
        self.request_sent_at = -1.0  # send time of its newest request, by its own clock
        self.requested_at = LONG_AGO  # when that request was received
        self.requesting_since = LONG_AGO  # when the first of its requests without a gap was received
        self.grant_confirmed_at = LONG_AGO  # when a request last confirmed the newest grant
        self.possibly_owned = 0  # shards that it may still own
        self.lease_expires_at = 0.0  # end of the lease for these shards
        self.granted = 0  # shards in the newest grant
        self.last_grant = FencingToken(0, 0)
        self.ever_granted = 0  # shards in any grant
        self.ranks = [
            blake2b(f"{address} {shard}".encode(), digest_size=8).digest() for shard in range(SHARDS)
        ]


class EarlyRequest(NamedTuple):
    """A request received before this process had the leader's lease."""

    came_at: float
    request: LeaseRequest


class ShardAssigner:
    """State machine of the leader that assigns shards.

    It must receive a `Tick` every 0.1 s, and `LeadershipChange` and `LiveControllers` on every change.

    A shard is granted to another owner only after its owner has confirmed giving it up, after that owner's
    process has restarted, or after its lease has expired. A new leader doesn't know its predecessor's leases:
    it confirms the shards that owners report, and grants the rest once those leases have expired or all
    controllers that could have a lease have sent a request.
    """

    def __init__(self) -> None:
        self.term = 0
        self.has_leader_lease = False
        self.term_began_at = 0.0
        self.former_leases_known = False  # no unreported lease of an earlier leader can still be valid
        self.number = 0  # of the newest grant or shard map in this term
        self.live: frozenset[Address] = frozenset()
        self.members: frozenset[Address] = frozenset()
        self.candidates: dict[Address, OwnerCandidate] = {}
        self.owner_of_shard: list[Address | None] = [None] * SHARDS
        self.idle = 0  # shards not owned since `idle_since`, except by an owner that was informed of this
        self.idle_since = 0.0
        self.early_requests: dict[Address, EarlyRequest] = {}  # received in this term
        self.is_changed = False  # whether an owner has changed since the newest shard map
        self.has_unowned = True  # whether a shard has no owner in the newest shard map
        self.published_at = 0.0
        self.published_map = b""
        self.assignments: dict[frozenset[Address], dict[Address, int]] = {}

    def handle(self, now: float, event: AssignerEvent) -> list[AssignerOutput]:
        """Process one event at monotonic time `now` (seconds); returns messages and shard maps."""
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
        """The newest serialized shard map of this leader; empty if there is none yet."""
        return self.published_map

    def _may_grant(self) -> bool:
        """Whether this process may grant leases."""
        return self.term > 0 and self.has_leader_lease

    def _begin_term(self, now: float, term: int, idle_since: float | None) -> None:
        """Start or end (term 0) leading; state of other terms is discarded."""
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
        """Handle an owner's request: record the shards that it may own, and grant its lease."""
        candidate = self._update_candidate(now, sender, request)
        if candidate is None:
            return []
        self.idle &= ~(request.shards & ~candidate.ever_granted)  # owned by the sender, whoever granted them
        were_known = self.former_leases_known
        self._check_former_leases(now)
        outputs: list[AssignerOutput] = [self._grant(now, sender, candidate)]
        if self.former_leases_known and not were_known:
            outputs += self._grant_free_shards(now)
        return outputs + self._publish(now)

    def _update_candidate(self, now: float, sender: Address, request: LeaseRequest) -> OwnerCandidate | None:
        """Update a candidate from its request; returns None if the request gets no response."""
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
        """Determine whether unreported leases of an earlier leader may still be valid."""
        if not self.former_leases_known:
            all_reported = bool(self.members) and all(a in self.candidates for a in self.members)
            expire_at = self.term_began_at + LEASE_S + 2 * LEASE_MARGIN_S
            self.former_leases_known = all_reported or now >= expire_at

    def _grant(self, now: float, address: Address, candidate: OwnerCandidate) -> Send:
        """Grant a candidate its shards under a lease that starts at the send time of its request."""
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
        """Record the owner of these shards; a shard taken over from another candidate is no longer idle."""
        for shard in range(SHARDS):
            if shards >> shard & 1 and self.owner_of_shard[shard] != address:
                if self.owner_of_shard[shard] is not None:
                    self.idle &= ~(1 << shard)
                self.owner_of_shard[shard] = address
                self.is_changed = True

    def _shards_to_grant(self, now: float, address: Address, candidate: OwnerCandidate) -> int:
        """The shards that a candidate should own now.

        These are free shards assigned to it, and shards that it already owns unless a stable candidate should
        take them over.
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
        retained = candidate.possibly_owned & self._assignment(stable)[address]
        new = ~candidate.possibly_owned & self._assignment(present)[address]
        return (retained | new) & ALL_SHARDS & ~taken

    def _is_present(self, now: float, address: Address, candidate: OwnerCandidate) -> bool:
        """Whether a candidate may be granted shards: it is live, and its grants arrive."""
        return (
            address in self.live
            and now < candidate.requested_at + PRESENT_S
            and now < candidate.grant_confirmed_at + LEASE_S
        )

    def _assignment(self, addresses: list[Address]) -> dict[Address, int]:
        """Rendezvous hashing: each shard is assigned to the address with the highest rank for it."""
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
        """Grant free shards to their assigned candidates immediately instead of with their next request."""
        return [
            self._grant(now, address, candidate)
            for address, candidate in self.candidates.items()
            if now < candidate.requested_at + LEASE_S / 2
            and self._shards_to_grant(now, address, candidate) & ~candidate.granted
        ]

    # The shard map.

    def _publish(self, now: float) -> list[AssignerOutput]:
        """Publish the shard map if it has changed.

        It is rate limited unless shards had no owner in the last map, and it is not published before the
        leases of an earlier leader are accounted for.
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
