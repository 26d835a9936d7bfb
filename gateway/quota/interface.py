"""Inputs and outputs of the quota plane's state machines, and the constants that they share.

The machines are `QuotaClient` (at each proxy), `ShardOwner` (at each controller) and `ShardAssigner` (at the
leader of the core).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from gateway.quota.quota_pb2 import Message
from gateway.state_machine import Address

SHARDS = 64  # number of shards into which the tenants are divided
ALL_SHARDS = (1 << SHARDS) - 1
FULL_SHARE = 8192  # parts of an allowance that can be leased as shares
LOWEST_PRECEDENCE = 7  # lowest precedence that is distinguished; those beyond count as this one
LEASE_S = 1.5  # duration of a shard owner's lease, from when the owner requested it
MARGIN_S = 0.25  # others take a lease or share for expired only this much later
LEASE_RENEW_S = 0.3  # interval between a shard owner's requests for its lease
SHARE_S = 12.0  # lifetime of a share, from when the charge was sent whose verdict granted or renewed it
CLIENT_HEARTBEAT_S = 0.2  # interval of a quota client's heartbeats to an owner that gets nothing else from it
SILENT_S = 0.45  # a quota client not heard for this long is taken to admit by its shares


class Code:
    """The result in a verdict. After `NOT_YET`, `NOT_MINE` and `UNKNOWN` the client decides by its share.

    `NOT_YET`: the count isn't open yet. `NOT_MINE`: the owner doesn't own the tenant's shard, or has too many
    quota clients. `UNKNOWN`: the owner knows of no limit for the tenant.
    """

    ADMITTED, OVER, NOT_YET, NOT_MINE, UNKNOWN = range(5)


class Received(NamedTuple):
    """A message of the quota plane was received from the process at an address."""

    frm: Address
    note: Message


class Tick(NamedTuple):
    """Time has passed: needed each 0.1 s by `ShardAssigner` and `ShardOwner`, at `due()` by `QuotaClient`."""


class Allowances(NamedTuple):
    """The tenants' limits by label: requests a second and burst in requests; a rate of 0 means no limit."""

    tenants: Mapping[str, tuple[float, float]]


OVER_ALLOWANCE = "over the allowance"  # reason of a refusal because the tenant used its allowance up


class ChargeRequest(NamedTuple):
    """A request wants to be admitted. `patience_s` is how long to wait for the shard owner's verdict."""

    id: int
    tenant: str
    precedence: int
    patience_s: float


class Refund(NamedTuple):
    """An admitted request has not run and never will: its unit is refunded."""

    id: int


class Leave(NamedTuple):
    """This quota client shuts down, and all its requests are done: it returns its shares."""


class ChargeDecision(NamedTuple):
    """The answer to a `ChargeRequest`: 'go', or 'over' with the seconds to wait before a retry, and why."""

    id: int
    verdict: str
    wait_s: float
    why: str = ""


class ShardMap(NamedTuple):
    """A shard map published by the `ShardAssigner`, in serialized form, has reached this quota client."""

    data: bytes


class PublishShardMap(NamedTuple):
    """A new shard map for all quota clients, newer than any with a lower fencing token (term, number)."""

    fencing_token: tuple[int, int]
    data: bytes


class LeadershipChange(NamedTuple):
    """This process leads the core in `term` (0: it doesn't); with `has_leader_lease` nobody else does by now.

    `leaderless_since` is given if this is the first leader since all processes of the core restarted, the
    last of them at that steady time: until then others may have owned shards, and from then until this term
    nobody did. Otherwise it is None.
    """

    term: int
    has_leader_lease: bool
    leaderless_since: float | None = None


class LiveControllers(NamedTuple):
    """The live controllers; `members`, if known, are all that may have a lease from an earlier leader."""

    addresses: Collection[Address]
    members: Collection[Address] = ()


class SetLeader(NamedTuple):
    """The leader from which a shard owner requests its lease; None while there is none."""

    address: Address | None
